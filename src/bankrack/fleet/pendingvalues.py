"""Large values of which this node has the outline only."""

import dataclasses
import logging
import typing as t

from bankrack import logs
from bankrack.fleet.documents import Member
from bankrack.fleet.store import number_of
from bankrack.fleet.valueparts import Outline

MAX_ANNOUNCERS = 4
"""Nodes that are kept as sources of one value."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class PendingValue:
    """A value that is newer than the one here.

    :param announcers: nodes that sent the outline, the latest last.
    :param announced_at: time at which this node learned of the value.
    """

    outline: Outline
    announcers: list[Member]
    announced_at: float

    def note_announcer(self, announcer: Member) -> None:
        """Add a source, in place of the oldest one if there are many."""
        known = [m for m in self.announcers if m.name != announcer.name]
        self.announcers = [*known, announcer][-MAX_ANNOUNCERS:]


class PendingValues:
    """The newest value of each key that is known by its outline only."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self.by_key: dict[str, PendingValue] = {}
        self._clock = clock

    def add(self, outline: Outline, announcer: Member) -> bool:
        """Record an outline; returns whether it is news."""
        known = self.by_key.get(outline.key)
        if known is not None and known.outline.revision >= outline.revision:
            if known.outline.revision == outline.revision:
                known.note_announcer(announcer)
            return False
        now = self._clock()
        self.by_key[outline.key] = PendingValue(outline, [announcer], now)
        logs.event(
            _logger,
            "value_announced",
            key=outline.key,
            revision=number_of(outline.revision),
            parts=len(outline.digests),
            source=announcer.name,
            replaced=number_of(known.outline.revision) if known else None,
        )
        return True

    def settle(self, key: str, revision: int) -> None:
        """Drop what is not newer than a revision that arrived in another way."""
        pending = self.by_key.get(key)
        if pending is not None and pending.outline.revision <= revision:
            del self.by_key[key]

    def revision_of(self, key: str) -> int:
        """Return the revision of the pending value of a key; 0 if there is none."""
        pending = self.by_key.get(key)
        return pending.outline.revision if pending else 0

    def describe(self) -> list[dict[str, t.Any]]:
        """Return the pending values for the state dump."""
        now = self._clock()
        return [
            {
                "key": key,
                "revision": number_of(pending.outline.revision),
                "age": now - pending.announced_at,
                "announcers": [member.name for member in pending.announcers],
            }
            for key, pending in self.by_key.items()
        ]
