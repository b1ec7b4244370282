"""Selects the node that coordinates the permits for an upstream with a rate limit."""

import typing as t

from bankrack.clock import boottime
from bankrack.decisions.permits import PERMIT_WINDOW_SECONDS
from bankrack.decisions.permits import rank_coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.suspects import SuspectList

RANKING_CACHE_SECONDS = 0.5
"""Time for which a ranking of the members is cached."""
MAX_CACHED_RANKINGS = 2_000
"""Upstreams whose ranking is cached."""
MEMBERSHIP_DELAY_SECONDS = 3.0
"""Time within which a change of the members reaches every node connected to the
store."""
MAX_COORDINATORS = 2
"""The coordinator and its standby. With a third, a fleet partitioned into three parts
could exceed what upstreams tolerate."""


class Coordinators:
    """The members in the order in which they coordinate an upstream's permits.

    :param members: returns the live members, with or without this node.
    :ivar learn_seconds: time after which a new coordinator no longer has to account for
        grants of its predecessor and for nodes that still ask that node.
    """

    def __init__(
        self,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.learn_seconds = PERMIT_WINDOW_SECONDS + MEMBERSHIP_DELAY_SECONDS
        self._own = own
        self._members = members
        self._clock = clock
        self._suspects = SuspectList(clock=clock)
        self._names = self.names()
        self._changed_at = clock()
        self._ranking_by_id: dict[str, tuple[float, list[Member]]] = {}
        self._coordinator_since_by_id: dict[str, tuple[str, float]] = {}

    def candidates(self, upstream_id: str) -> list[Member]:
        """Return the members to ask for permits, in order: coordinator, then standby.

        Suspected members are left out. The list is empty while this node is not a
        member itself: it may not know the other members then, and nodes that start at
        once would each become coordinator.
        """
        if self._own.name not in self._names:
            return []
        ranked = self._ranked(upstream_id)[:MAX_COORDINATORS]
        return [member for member in ranked if self._suspects.is_trusted(member)]

    def suspect(self, member: Member) -> None:
        """Suspect a member that did not respond; it is skipped for a while."""
        self._suspects.suspect(member)

    def is_coordinator(self, upstream_id: str) -> bool:
        """Whether this node is the coordinator and its learning period is over."""
        self.note_members()
        first = self._ranked(upstream_id)[0].name
        if len(self._coordinator_since_by_id) >= MAX_CACHED_RANKINGS:
            self._coordinator_since_by_id.clear()
        known, since = self._coordinator_since_by_id.get(upstream_id, ("", 0.0))
        if known != first:
            since = self._clock() if known else self._changed_at
            self._coordinator_since_by_id[upstream_id] = first, since
        settled = self._clock() >= since + self.learn_seconds
        return first == self._own.name and settled

    def note_members(self) -> None:
        """Record the time of a change of the members; must be called periodically."""
        names = self.names()
        if names != self._names:
            self._names = names
            self._changed_at = self._clock()

    def names(self) -> frozenset[str]:
        """Return the names of the live members."""
        return frozenset(member.name for member in self._members())

    def _ranked(self, upstream_id: str) -> list[Member]:
        now = self._clock()
        until, ranked = self._ranking_by_id.get(upstream_id, (0.0, []))
        if now < until:
            return ranked
        if len(self._ranking_by_id) >= MAX_CACHED_RANKINGS:
            self._ranking_by_id.clear()
        by_name = {member.name: member for member in [*self._members(), self._own]}
        ranked = [by_name[name] for name in rank_coordinators(by_name, upstream_id)]
        self._ranking_by_id[upstream_id] = now + RANKING_CACHE_SECONDS, ranked
        return ranked
