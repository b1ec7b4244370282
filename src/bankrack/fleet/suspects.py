"""Failure detection: members that did not respond are skipped for a while."""

import typing as t

from bankrack.clock import boottime
from bankrack.fleet.documents import Member

SUSPICION_SECONDS = 3.0
"""Time for which a failed member is skipped; shorter than its lease."""


class SuspectList:
    """The members that one node suspects to have failed, for one purpose."""

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self._clock = clock
        self._suspected_until_by_name: dict[str, float] = {}

    def suspect(self, member: Member, *, seconds: float = SUSPICION_SECONDS) -> None:
        """Suspect a member of having failed for ``seconds``."""
        self._suspected_until_by_name[member.name] = self._clock() + seconds

    def is_trusted(self, member: Member) -> bool:
        """Whether a member may be used."""
        return self._clock() >= self._suspected_until_by_name.get(member.name, 0.0)
