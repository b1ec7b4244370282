"""Measures how far apart the events of a stream are on its current engine."""

import typing as t

FIRST_EVENTS = 8
"""Gaps after which the first report is made."""
REPORT_SECONDS = 1.0
"""Time between two reports on a running stream: a new pool owner knows the speeds of
the engines after it."""
MAX_GAPS = 64
"""Recent gaps whose low quantile is reported."""
QUANTILE = 0.2
"""Low, so that neither prompts that are read beside the stream nor moments in which the
engine is slow change it."""


class GapMeter:
    """The gaps between the events of a stream on one engine.

    :param engine: id of the engine.
    :ivar events: number of gaps.
    :ivar longest: longest gap in seconds.
    """

    __slots__ = ("_gaps", "_report", "_reported_at", "engine", "events", "longest")

    def __init__(
        self, engine: str, report: t.Callable[["GapMeter"], None] | None = None
    ) -> None:
        self.engine = engine
        self.events = 0
        self.longest = 0.0
        self._gaps: list[float] = []
        self._report = report
        self._reported_at: float | None = None

    def add(self, seconds: float, now: float) -> None:
        """Record the time between two events."""
        if len(self._gaps) < MAX_GAPS:
            self._gaps.append(seconds)
        else:
            self._gaps[self.events % MAX_GAPS] = seconds
        self.events += 1
        self.longest = max(self.longest, seconds)
        last = self._reported_at
        due = (
            self.events >= FIRST_EVENTS if last is None else now > last + REPORT_SECONDS
        )
        if due:
            self.report(now)

    def report(self, now: float) -> None:
        """Report the gaps to the pool owner, unless there are too few."""
        if self.events >= FIRST_EVENTS and self._report is not None:
            self._reported_at = now
            self._report(self)

    @property
    def base(self) -> float:
        """Low quantile of the gaps in seconds; 0 without any."""
        if not self._gaps:
            return 0.0
        return sorted(self._gaps)[int(QUANTILE * len(self._gaps))]
