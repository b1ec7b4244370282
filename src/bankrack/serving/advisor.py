"""The interface through which a node uses the owner of a pool of engines."""

import typing as t

from bankrack.decisions.admission import Verdict
from bankrack.serving.assignment import Assignment
from bankrack.serving.gaps import GapMeter
from bankrack.serving.upstreams import Upstream


class PlacementAdvisor(t.Protocol):
    """Decides on placements with more recent data than the engines' reports.

    The methods without a result are notifications.
    """

    async def decide(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict | None:
        """Admit, queue or reject a run; ``None`` if no owner answers.

        An admitted run counts as placed on the first engine until another one is
        notified.

        :param memory: memory in tokens of an engine without a report.
        :param avoid: ids of engines that must not be used.
        """
        ...

    async def place_copy(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict | None:
        """Select an engine for a copy of a run; ``None`` if no owner answers.

        An admitted copy counts as stored until the run is resumed or ends, or the copy
        is dropped.

        :param memory: memory in tokens of an engine without a report.
        :param avoid: ids of engines that must not be used.
        """
        ...

    def copy_dropped(self, work: Assignment) -> None:
        """An admitted copy of a run does not exist, or no longer exists."""
        ...

    def placed(self, work: Assignment, engine: Upstream) -> None:
        """A run was placed on another engine than the first one of the verdict."""
        ...

    def began(self, work: Assignment, engine: Upstream, *, took: float) -> None:
        """A run produces events on ``engine``.

        :param took: seconds from the send to the first event; 0 if the run was resumed.
        """
        ...

    def paced(self, work: Assignment, gaps: GapMeter) -> None:
        """The events of a run are this far apart on an engine."""
        ...

    def failed(self, work: Assignment, engine: Upstream) -> None:
        """An engine was unreachable, broke off the run or did not begin it."""
        ...

    def ended(self, work: Assignment, *, took: float) -> None:
        """A run ended.

        :param took: seconds from its first to its last event; 0 unless it completed.
        """
        ...
