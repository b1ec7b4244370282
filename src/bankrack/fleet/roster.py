"""Which nodes read the store, and whom the others ask.

Every node reading the store for itself costs more calls the more nodes there
are.  So in each hall a few read it, and the others follow one of them.  The
order is computed from the members that live; nodes that disagree about it for
a moment only read more often than needed.
"""

import hashlib
import time
import typing as t

from bankrack.fleet.documents import Member

NODES_PER_READER = 30
"""A reader answers each of its followers some four times a second."""
WIDE_LINK_MBPS = 40.0
"""A leader of 30 sends some 3 Mbit/s while much changes, in bursts."""
DEPUTIES = 2
"""Members after the readers who are asked before a node reads for itself."""
DISTRUST_SECONDS = 3.0
"""How long a reader that failed, or whose view was old, is passed over."""


def _rank(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _order(member: Member) -> tuple[bool, bytes, str]:
    """Members with wide links first, in an order that all compute alike."""
    narrow = member.link_mbps < WIDE_LINK_MBPS
    return narrow, _rank(member.name), member.name


def rank_members(members: t.Iterable[Member]) -> list[Member]:
    """Sort members into the order that all nodes compute alike, each name once."""
    return sorted({member.name: member for member in members}.values(), key=_order)


def _count_readers(ranked: t.Sequence[Member]) -> int:
    return 1 + (len(ranked) - 1) // NODES_PER_READER


class Roster:
    """Order of the members of one hall.

    :param members: gives the members that live, this node among them or not.
    :param seeds: inner addresses of some nodes, perhaps out of date.
    """

    def __init__(
        self,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        *,
        seeds: t.Sequence[str] = (),
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._members = members
        self._clock = clock
        self._distrusted_until_by_name: dict[str, float] = {}

    def leader(self) -> Member | None:
        """Whom to follow; ``None`` when this node reads the store itself."""
        if self.reads():
            return None
        now = self._clock()
        ranked = self._ranked()
        readers = _count_readers(ranked)
        offset = int.from_bytes(_rank(self._own.name)) % readers
        first = ranked[offset:readers] + ranked[:offset]
        for member in [*first, *ranked[readers : readers + DEPUTIES]]:
            if member.name == self._own.name:
                return None
            if now >= self._distrusted_until_by_name.get(member.name, 0.0):
                return member
        return None

    def reads(self) -> bool:
        """Whether this node is one of those that are to read the store."""
        ranked = self._ranked()
        readers = ranked[: _count_readers(ranked)]
        return any(member.name == self._own.name for member in readers)

    def seeds(self) -> list[Member]:
        """Nodes to ask when nothing is known yet; they may be gone."""
        others = [seed for seed in self._seeds if seed != self._own.address]
        return [Member(seed, seed, "") for seed in others]

    def distrust(self, member: Member, *, seconds: float = DISTRUST_SECONDS) -> None:
        """Pass a member over for a while."""
        self._distrusted_until_by_name[member.name] = self._clock() + seconds

    def _ranked(self) -> list[Member]:
        neighbours = [m for m in self._members() if m.hall == self._own.hall]
        return rank_members([*neighbours, self._own])
