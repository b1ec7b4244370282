"""Estimates the free memory of a pool's engines and when their runs will free memory.

The estimates rest on the placements of a ledger and on the engines' reports, which also
show how fast runs grow and which of them have ended.
"""

import math
import statistics
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.enginespeed import Kind
from bankrack.decisions.memory import Holding
from bankrack.decisions.memory import peak
from bankrack.decisions.memory import Release
from bankrack.placement.placements import Placement
from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.job import Demand
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream

USABLE_MEMORY_FRACTION = 0.97
"""Fraction of an engine's memory that its runs may need within the foresight.

More causes preemptions, after which prompts are read again; with less, runs are
queued that would fit."""
FORESIGHT_SECONDS = 1.5
"""Time for which the growth of current runs is counted; by then others will have
ended."""
LONG_FORESIGHT_SECONDS = 4.0
"""The same when a long run is placed.  Engines preempt the newest of the least
urgent runs, so a short run only risks itself, while a long one may pause others."""
UNLISTED_SECONDS = 0.5
"""A run that its engine does not list this long after its placement has ended, and
the notification was lost with its node."""
ENDED_SECONDS = 10.0
"""Time for which ended runs are remembered, several times the age of a report."""
CACHE_SECONDS = 0.05
"""An engine's free memory is computed again after this time or when its runs change,
as each queued run asks several times per second."""
OVERDUE_FRACTION = 0.2
"""Minimum of a run's expected growth, as a fraction of its expected output: half of
all runs generate more than expected."""


class Occupancy:
    """The memory of a pool's engines.

    :param placement_by_run: placements of the ledger, shared with it.
    :param pace: usual speeds of the engines.
    :param speeds: speed of each engine compared with the usual.
    """

    def __init__(
        self,
        placement_by_run: dict[str, Placement],
        pace: Pace,
        speeds: EngineSpeeds,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._placement_by_run = placement_by_run
        self._pace = pace
        self._speeds = speeds
        self._clock = clock
        self._report_by_engine: dict[str, EngineReport] = {}
        self._ended_at_by_run: dict[str, float] = {}
        self._adopted: set[str] = set()
        # By engine and whether for a long run: time of computation, and tokens.
        self._free_by_engine: dict[tuple[str, bool], tuple[float, float]] = {}
        self._releases: tuple[float, list[Release]] = (-math.inf, [])

    def invalidate(self, *engines: str) -> None:
        """Discard cached values of engines whose runs changed."""
        for engine in engines:
            self._invalidate_free(engine)
        self._releases = -math.inf, []

    def note_end(self, run: str) -> None:
        """Record that a run has left its engine, whose reports may still list it."""
        now = self._clock()
        self._ended_at_by_run.pop(run, None)
        self._ended_at_by_run[run] = now
        while (oldest := next(iter(self._ended_at_by_run))) != run:
            if now < self._ended_at_by_run[oldest] + ENDED_SECONDS:
                break
            del self._ended_at_by_run[oldest]

    def _invalidate_free(self, engine: str) -> None:
        for long in (False, True):
            self._free_by_engine.pop((engine, long), None)

    def need(self, demand: Demand, *, memory: int, seconds: float) -> float:
        """Upper estimate of the tokens that a run will hold.

        :param memory: memory of an engine, in tokens.
        :param seconds: time that the run has left; bounds its output, as callers often
            expect far too much.
        """
        output = self._pace.output_ratio * demand.output
        seconds = min(seconds, _foresight(long=not demand.short))
        output = min(output, seconds / self._pace.generated_token_seconds)
        return min(demand.prompt + output, USABLE_MEMORY_FRACTION * memory)

    def need_now(
        self, running: Placement | None, demand: Demand, *, memory: int
    ) -> float:
        """Upper estimate of the tokens that a run which produces events will hold."""
        if running is None:
            return min(float(demand.expected), USABLE_MEMORY_FRACTION * memory)
        now = self._clock()
        holding = self._holding(running, now, _foresight(long=True))
        return min(holding.tokens + holding.growth, USABLE_MEMORY_FRACTION * memory)

    def _holding(self, placement: Placement, now: float, foresight: float) -> Holding:
        """Memory that a run holds, and its growth within the foresight."""
        pace = self._pace
        token_seconds = pace.generated_token_seconds
        token_seconds *= self._speeds.factor(placement.engine)
        growth = self._growth(placement, now) * pace.output_ratio
        return Holding(
            placement.tokens(now, token_seconds),
            min(growth, foresight / token_seconds),
        )

    def _growth(self, placement: Placement, now: float) -> float:
        """Tokens that a run is still expected to generate, even if it is overdue."""
        factor = self._speeds.factor(placement.engine)
        growth = placement.growth(now, self._pace.token_seconds * factor)
        return max(growth, OVERDUE_FRACTION * placement.demand.output)

    def releases(self, engines: t.Iterable[Upstream]) -> list[Release]:
        """Memory that the runs on these engines are expected to free, in no order."""
        now = self._clock()
        computed_at, found = self._releases
        if now < computed_at + CACHE_SECONDS:
            return found
        pace = self._pace
        open_ids = {engine.id for engine in engines if now >= engine.suspect_until}
        found = []
        for placement in self._placement_by_run.values():
            if placement.engine not in open_ids:
                continue
            factor = self._speeds.factor(placement.engine)
            growth = self._growth(placement, now)
            held = placement.tokens(now, pace.generated_token_seconds * factor)
            held += growth * pace.output_ratio
            found.append(Release(growth * pace.token_seconds * factor, held))
        self._releases = now, found
        return found

    def free_by_engine(
        self,
        engines: t.Sequence[Upstream],
        *,
        memory: int,
        long: bool = False,
        suspects: bool = False,
    ) -> dict[str, float]:
        """Tokens by engine that stay free at the peak use of its current runs.

        An engine without a free slot has none.

        :param memory: memory in tokens of an engine without a report.
        :param long: for a long run, with the longer foresight.
        :param suspects: treat suspected engines like the others; otherwise they have
            none.
        """
        now = self._clock()
        self._read_reports(engines)
        free = {}
        stale = []
        for engine in engines:
            at, value = self._free_by_engine.get((engine.id, long), (-math.inf, 0.0))
            if now >= at + CACHE_SECONDS:
                stale.append(engine)
            free[engine.id] = value
        if stale:
            free.update(self._compute_free(stale, memory, long=long))
        if not suspects:
            for engine in engines:
                if now < engine.suspect_until:
                    free[engine.id] = 0.0
        return free

    def _compute_free(
        self, engines: t.Sequence[Upstream], memory: int, *, long: bool
    ) -> dict[str, float]:
        now = self._clock()
        by_engine: dict[str, list[Placement]] = {e.id: [] for e in engines}
        for placement in self._placement_by_run.values():
            if placement.engine in by_engine:
                by_engine[placement.engine].append(placement)
        free = {}
        for engine in engines:
            placements = by_engine[engine.id]
            full = len(placements) >= engine.record.slots
            value = 0.0
            if not full:
                value = self._free(engine, placements, memory, _foresight(long=long))
            free[engine.id] = value
            self._free_by_engine[engine.id, long] = now, value
        return free

    def _read_reports(self, engines: t.Sequence[Upstream]) -> None:
        """Learn from new reports, and drop those of engines that have left."""
        if len(self._report_by_engine) > 2 * len(engines):
            ids = {engine.id for engine in engines}
            for gone in self._report_by_engine.keys() - ids:
                del self._report_by_engine[gone]
                self._invalidate_free(gone)
        for engine in engines:
            self._learn_from_report(engine)

    def _free(
        self,
        engine: Upstream,
        placements: list[Placement],
        memory: int,
        foresight: float,
    ) -> float:
        now = self._clock()
        holdings = [self._holding(run, now, foresight) for run in placements]
        total = engine.report.total if engine.report else memory
        other = self._other_memory(engine, placements)
        return USABLE_MEMORY_FRACTION * total - other - peak(holdings)

    def _other_memory(self, engine: Upstream, placements: list[Placement]) -> float:
        """Reported memory that does not belong to placements, mostly copies."""
        report = engine.report
        if report is None:
            return 0.0
        if report.tokens_by_run:
            return max(0.0, report.used - sum(report.tokens_by_run.values()))
        seen = report.taken - REPORT_LAG_SECONDS
        token_seconds = self._pace.generated_token_seconds
        token_seconds *= self._speeds.factor(engine.id)
        known = sum(
            placement.tokens(seen, token_seconds)
            for placement in placements
            if placement.placed <= seen
        )
        return max(0.0, report.used - known)

    def _learn_from_report(self, engine: Upstream) -> None:
        """Process a new report: growth since the last one, and runs that have ended."""
        newest = engine.report
        last = self._report_by_engine.get(engine.id)
        if newest is None or last is newest:
            return
        self._report_by_engine[engine.id] = newest
        self._invalidate_free(engine.id)
        self._drop_unlisted(engine.id, newest)
        self._adopt_unknown(engine.id, newest)
        if last is not None:
            self._learn_growth(engine.id, last, newest)

    def _drop_unlisted(self, engine: str, report: EngineReport) -> None:
        """Drop placements of runs that the engine no longer has.

        If a node dies, the ends of its runs are not notified, and they would count
        until their placements expire.  A run in the engine's own queue may not be
        listed, so nothing is dropped while that queue is not empty.
        """
        if report.queued or not (report.tokens_by_run or report.running == 0):
            return
        before = report.taken - REPORT_LAG_SECONDS - UNLISTED_SECONDS
        for run, placement in list(self._placement_by_run.items()):
            if placement.engine != engine or run in report.tokens_by_run:
                continue
            if placement.confirmed < before:
                del self._placement_by_run[run]
                self._releases = -math.inf, []

    def _adopt_unknown(self, engine: str, report: EngineReport) -> None:
        """Record the runs of an engine that another owner placed there.

        A new owner would take full engines for empty.  The length of these runs is not
        known, so they are expected to grow until they end.
        """
        now = self._clock()
        for run, tokens in report.tokens_by_run.items():
            if run in self._placement_by_run or run in self._ended_at_by_run:
                continue
            demand = Demand(prompt=tokens)
            self._adopted.add(run)
            self._placement_by_run[run] = Placement(
                engine, demand, now, began=now, confirmed=now
            )
            self._releases = -math.inf, []

    def adopted_tokens(self) -> float:
        """Tokens that the runs hold which another owner placed."""
        self._adopted &= self._placement_by_run.keys()
        now = self._clock()
        token_seconds = self._pace.generated_token_seconds
        found = (self._placement_by_run[run] for run in self._adopted)
        return sum(placement.tokens(now, token_seconds) for placement in found)

    def _learn_growth(
        self, engine: str, last: EngineReport, newest: EngineReport
    ) -> None:
        """Learn from two reports how fast the runs in both of them grew."""
        observed = []
        seconds = newest.taken - last.taken
        for run, tokens in newest.tokens_by_run.items():
            placement = self._placement_by_run.get(run)
            grown = tokens - last.tokens_by_run.get(run, tokens)
            if placement is None or placement.began is None or grown <= 0:
                continue
            if placement.began < last.taken - REPORT_LAG_SECONDS:
                observed.append(seconds / grown)
                self._pace.grew(seconds / grown / self._speeds.factor(engine))
        if observed and self._speeds.active:
            # The runs of an engine share its steps, so they are one observation.
            ratio = statistics.median(observed) / self._pace.generated_token_seconds
            self._speeds.observe(engine, Kind.GROWTH, ratio)


def _foresight(*, long: bool) -> float:
    """Seconds for which growth is counted when a long or a short run is placed."""
    return LONG_FORESIGHT_SECONDS if long else FORESIGHT_SECONDS
