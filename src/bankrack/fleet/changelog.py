"""Aggregated log lines on joining and leaving members and upstreams.

One line per member would grow with the square of the fleet's size when it starts: 195
nodes would write 38,025 lines.
"""

import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime

MEMBER_LOG_INTERVAL_SECONDS = 1.0
"""Changes of members within this time share a line."""
MAX_NAMED_MEMBERS = 8
"""Members named in a line; each node logs its own entry."""
MAX_SINGLE_UPSTREAMS = 3
"""Upstreams of one read that have lines of their own; if more, all share one line."""

_logger = logging.getLogger(__name__)


class MemberLog:
    """Collects joined and left members and logs them periodically."""

    __slots__ = ("_clock", "_due", "_joined", "_left", "_source")

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self._clock = clock
        self._due = 0.0
        self._joined: list[str] = []
        self._left: list[str] = []
        self._source = ""

    def joined(self, name: str, source: str) -> None:
        """Record a member that joined."""
        self._note(self._joined, name, source)

    def left(self, name: str, source: str) -> None:
        """Record a member that left."""
        self._note(self._left, name, source)

    def flush(self, *, members: int) -> None:
        """Write the line if it is due.

        :param members: current number of members.
        """
        if not (self._joined or self._left) or self._clock() < self._due:
            return
        logs.event(
            _logger,
            "members_changed",
            joined=len(self._joined),
            left=len(self._left),
            members=members,
            names_joined=_first_names(self._joined),
            names_left=_first_names(self._left),
            source=self._source,
        )
        self._joined, self._left = [], []

    def _note(self, names: list[str], name: str, source: str) -> None:
        if not (self._joined or self._left):
            self._due = self._clock() + MEMBER_LOG_INTERVAL_SECONDS
        names.append(name)
        self._source = source


def _first_names(names: list[str]) -> str | None:
    """Join the first names; ``None`` if there are none."""
    return ",".join(names[:MAX_NAMED_MEMBERS]) or None


class UpstreamLog:
    """Collects the changes of upstreams in one read and logs them."""

    __slots__ = ("_fields_by_id_by_event",)

    def __init__(self) -> None:
        self._fields_by_id_by_event: dict[str, dict[str, dict[str, t.Any]]] = {}

    def note(self, event: str, upstream: str, **fields: t.Any) -> None:
        """Record an event of an upstream."""
        by_id = self._fields_by_id_by_event.setdefault(event, {})
        by_id[upstream] = fields

    def flush(self) -> None:
        """Write and clear the collected events."""
        for event, fields_by_id in self._fields_by_id_by_event.items():
            if len(fields_by_id) > MAX_SINGLE_UPSTREAMS:
                _write_together(event, fields_by_id)
                continue
            for upstream, fields in fields_by_id.items():
                logs.event(_logger, event, upstream=upstream, **fields)
        self._fields_by_id_by_event = {}


def _write_together(event: str, fields_by_id: dict[str, dict[str, t.Any]]) -> None:
    names = ",".join(
        f"{upstream}@{fields.get('address')}"
        for upstream, fields in fields_by_id.items()
    )
    last = next(reversed(fields_by_id.values()))
    logs.event(
        _logger,
        event,
        count=len(fields_by_id),
        upstreams=names,
        source=last.get("source"),
    )
