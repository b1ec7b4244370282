"""Selects the nodes that read the store and the node that each other node follows.

Reads of the store must not grow with the number of nodes. Each hall has a few hall
leaders, which the other nodes of the hall follow. The first hall leader of the fleet
reads the store, and the others follow it. All nodes compute this order from the
members; nodes that disagree for a moment only read more often than needed.
"""

import collections
import itertools
import typing as t

from bankrack.clock import boottime
from bankrack.fleet.documents import Member
from bankrack.fleet.suspects import SuspectList
from bankrack.fleet.suspects import SUSPICION_SECONDS
from bankrack.utils import stable_digest

NODES_PER_HALL_LEADER = 30
"""Nodes of a hall for each of its leaders; bounds the requests that a leader
answers."""
WIDE_LINK_MBPS = 40.0
"""Link rate from which on a wider link makes no better leader. Below it the wider one
is preferred, for bursts of updates."""
MAX_REQUESTERS = 3
"""Nodes that requested updates before this node had a view, kept as further seeds; as
many as there are configured seeds."""
MAX_STANDBYS = 2
"""Standby members that are tried after the readers before a node reads the store."""


def _rank_key(member: Member) -> tuple[float, bytes, str]:
    """Return a member's sort key: wide links first, then a stable hash."""
    rate = min(member.link_mbps, WIDE_LINK_MBPS)
    return -rate, stable_digest(member.name), member.name


def rank_members(members: t.Iterable[Member]) -> list[Member]:
    """Sort members into the order that all nodes compute alike, each name once."""
    return sorted({member.name: member for member in members}.values(), key=_rank_key)


def _hall_leaders(members: t.Iterable[Member]) -> list[Member]:
    """Return the members that the other nodes of a hall follow."""
    ranked = rank_members(members)
    return ranked[: 1 + (len(ranked) - 1) // NODES_PER_HALL_LEADER]


class Roster:
    """Selects the node that this node follows.

    :param members: returns the live members, with or without this node.
    :param seeds: internal addresses of some nodes, possibly out of date.
    """

    def __init__(
        self,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        *,
        seeds: t.Sequence[str] = (),
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._own = own
        self._seeds = seeds
        self._members = members
        self._suspects = SuspectList(clock=clock)
        self._requesters: collections.deque[str] = collections.deque(
            maxlen=MAX_REQUESTERS
        )

    def leader(self) -> Member | None:
        """Return the node to follow; ``None`` if this node reads the store itself."""
        return next(iter(self.leaders()), None)

    def leaders(self) -> list[Member]:
        """Return the nodes that this node may follow, in the order of preference.

        There are none if it reads the store itself.
        """
        hall = self._members_of(self._own.hall)
        hall_leaders = _hall_leaders(hall)
        if self._includes_own(hall_leaders):
            return self._trusted_before_own(self._reader_and_standbys())
        ranked = rank_members(hall)
        first_fallback = len(hall_leaders) + MAX_STANDBYS
        standbys = ranked[len(hall_leaders) : first_fallback]
        candidates = [*self._rotated(hall_leaders), *standbys]
        if len(hall_leaders) > 1:
            last = first_fallback + len(hall_leaders)
            candidates += self._fallbacks(ranked[first_fallback:last])
        return self._trusted_before_own(candidates)

    def _fallbacks(self, members: list[Member]) -> list[Member]:
        """Order the nodes that a large hall follows once all leaders are silent.

        Otherwise each of its nodes would read the store. They follow each other in one
        order, so that no two wait for each other, and all others are spread over them.
        """
        return members if self._includes_own(members) else self._rotated(members)

    def _rotated(self, members: list[Member]) -> list[Member]:
        """Return members in their order, beginning at one that depends on this node."""
        if not members:
            return members
        offset = int.from_bytes(stable_digest(self._own.name)) % len(members)
        return members[offset:] + members[:offset]

    def standby(self) -> Member | None:
        """Return the node to ask if the store turns this node away, if there is one."""
        hall = rank_members(self._members_of(self._own.hall))
        candidates = [*self._reader_and_standbys(), *hall[: 1 + MAX_STANDBYS]]
        trusted = (
            member
            for member in candidates
            if member.name != self._own.name and self._suspects.is_trusted(member)
        )
        return next(trusted, None)

    def count(self) -> int:
        """Return the number of nodes of the fleet."""
        return len({self._own.name, *(member.name for member in self._members())})

    def is_reader(self) -> bool:
        """Whether this node is the one that is to read the store for the fleet."""
        hall_leaders = _hall_leaders(self._members_of(self._own.hall))
        if not self._includes_own(hall_leaders):
            return False
        return self._reader_and_standbys()[0].name == self._own.name

    def is_standby(self) -> bool:
        """Whether this node is among the first of its hall to read on failure."""
        hall = self._members_of(self._own.hall)
        first = len(_hall_leaders(hall)) + MAX_STANDBYS
        return self._includes_own(rank_members(hall)[:first])

    def _reader_and_standbys(self) -> list[Member]:
        """Return the members that hall leaders follow, the reader first."""
        by_hall: dict[str, list[Member]] = {}
        for member in [*self._members(), self._own]:
            by_hall.setdefault(member.hall, []).append(member)
        leaders = [m for hall in by_hall.values() for m in _hall_leaders(hall)]
        return rank_members(leaders)[: 1 + MAX_STANDBYS]

    def _trusted_before_own(self, candidates: t.Iterable[Member]) -> list[Member]:
        """Return the responsive candidates that are ranked before this node."""
        before = itertools.takewhile(
            lambda member: member.name != self._own.name, candidates
        )
        return [member for member in before if self._suspects.is_trusted(member)]

    def _includes_own(self, members: t.Iterable[Member]) -> bool:
        return any(member.name == self._own.name for member in members)

    def seeds(self) -> list[Member]:
        """Return nodes to query before any member is known; they may be gone."""
        known = dict.fromkeys([*self._seeds, *self._requesters])
        others = [seed for seed in known if seed != self._own.address]
        return [Member(seed, seed, "") for seed in others]

    def is_seed(self) -> bool:
        """Whether other nodes query this one before any member is known."""
        return self._own.address in self._seeds

    def note_requester(self, address: str) -> None:
        """Record a node that requested updates before this node had a view.

        It may have a view by now, while the seeds may be gone or restarted like this
        node.
        """
        if address not in self._requesters:
            self._requesters.append(address)

    def suspect(self, member: Member, *, seconds: float = SUSPICION_SECONDS) -> None:
        """Suspect a member; it is skipped for ``seconds``."""
        self._suspects.suspect(member, seconds=seconds)

    def _members_of(self, hall: str) -> list[Member]:
        neighbours = [m for m in self._members() if m.hall == hall]
        return [*neighbours, self._own]
