"""Failure detection and membership by gossiped heartbeats.

Each second a node sends a few peers its own heartbeat counter and those of
other members.  A member whose counter has not increased for some time is
suspected.  A heartbeat contains a bounded number of members, those of the
sender's hall first; in large halls members are suspected later, so that the
traffic stays bounded.
"""

import hashlib
import random
import typing as t

from bankrack.clock import boottime
from bankrack.control.messages import MemberRecord

HEARTBEAT_SECONDS = 1.0
FANOUT = 3
RECORDS_PER_HEARTBEAT = 8
SUSPICION_SECONDS = 3.5
"""Minimum silence after which a member is suspected."""
SUSPICION_ROUNDS = 4.0
"""Number of rounds, each over all members of the hall, before a suspicion."""
EXPIRY_SECONDS = 600.0


class Member:
    """Another node; times in monotonic seconds.

    :param advanced_at: when its counter last increased.
    :param sent_at: when its record was last sent in a heartbeat.
    """

    __slots__ = ("advanced_at", "record", "sent_at")

    def __init__(self, record: MemberRecord, now: float) -> None:
        self.record = record
        self.advanced_at = now
        self.sent_at = 0.0


class Membership:
    """The other members that this node knows.

    :param name: this node's name.
    :param hall: this node's data hall.
    :param seed: seed of the choice of targets.
    """

    def __init__(
        self,
        *,
        name: str,
        hall: str,
        clock: t.Callable[[], float] = boottime,
        seed: int | None = None,
    ) -> None:
        self.members_by_name: dict[str, Member] = {}
        self._name = name
        self._hall = hall
        self._clock = clock
        self._random = random.Random(seed)

    def merge(self, records: t.Iterable[MemberRecord]) -> None:
        """Apply the records of a heartbeat; older ones are ignored."""
        now = self._clock()
        for record in records:
            if record.name == self._name:
                continue
            member = self.members_by_name.get(record.name)
            if member is None:
                self.members_by_name[record.name] = Member(record, now)
            elif _is_newer(record, member.record):
                member.record = record
                member.advanced_at = now

    def forget_old(self) -> list[str]:
        """Remove members that have been silent for long; return their names."""
        now = self._clock()
        old = [
            name
            for name, member in self.members_by_name.items()
            if now - member.advanced_at > EXPIRY_SECONDS
        ]
        for name in old:
            del self.members_by_name[name]
        return old

    def live(self) -> list[MemberRecord]:
        """List the members that are not suspected, including draining ones."""
        oldest = self._clock() - self._suspicion_seconds()
        return [
            member.record
            for member in self.members_by_name.values()
            if member.advanced_at >= oldest
        ]

    def candidates(self, own: MemberRecord) -> list[MemberRecord]:
        """List the nodes that may own groups or shards: live and not draining."""
        return [record for record in [*self.live(), own] if not record.draining]

    def digest(self) -> list[MemberRecord]:
        """Choose the records of a heartbeat: own hall and least recently sent first."""
        now = self._clock()
        oldest = now - self._suspicion_seconds()
        fresh = [m for m in self.members_by_name.values() if m.advanced_at >= oldest]
        fresh.sort(key=lambda m: (m.record.hall != self._hall, m.sent_at))
        chosen = fresh[:RECORDS_PER_HEARTBEAT]
        for member in chosen:
            member.sent_at = now
        return [member.record for member in chosen]

    def targets(self, known: t.Collection[str]) -> list[str]:
        """Choose the peers to send a heartbeat to, including one silent peer."""
        names = sorted(known)
        live = {record.name for record in self.live()}
        chosen = [name for name in names if name in live]
        silent = [name for name in names if name not in live]
        self._random.shuffle(chosen)
        chosen = chosen[:FANOUT]
        if silent:
            chosen.append(self._random.choice(silent))
        return chosen

    def highest_revision(self) -> tuple[int, str]:
        """Return the highest configuration revision of live members and its node."""
        best = (0, "")
        for record in self.live():
            best = max(best, (record.revision, record.name))
        return best

    def _suspicion_seconds(self) -> float:
        near = sum(
            1 for m in self.members_by_name.values() if m.record.hall == self._hall
        )
        per_second = FANOUT * RECORDS_PER_HEARTBEAT
        return max(SUSPICION_SECONDS, SUSPICION_ROUNDS * near / per_second)


def rendezvous(key: str, names: t.Iterable[str]) -> str:
    """Choose a name for ``key`` by rendezvous hashing.

    The choice changes only if the chosen name is removed or a name with a
    higher weight is added.
    """
    return max(names, key=lambda name: _weight(key, name), default="")


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()


def _is_newer(record: MemberRecord, known: MemberRecord) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return record.counter > known.counter
