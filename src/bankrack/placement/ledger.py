"""The ledger: recent placements of runs on the engines of a service, by all nodes.

Engines' reports are more than half a second old on arrival, and all nodes see the same
ones.  The pool owner is notified of each placement at once, so it can estimate an
engine's unread prompt tokens and the memory that its runs need.
"""

import math
import random
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.enginespeed import Kind
from bankrack.decisions.pauses import DELAY_VALUE
from bankrack.decisions.pauses import PauseCost
from bankrack.placement.occupancy import Occupancy
from bankrack.placement.pauserisk import PauseRisk
from bankrack.placement.placements import MAX_READ_WAITS
from bankrack.placement.placements import Placement
from bankrack.placement.shortruns import ShortRunEngines
from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.job import Demand
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream

PLACEMENT_TTL_SECONDS = 60.0
"""Lifetime of a placement if the notification of the run's end is lost."""
MAX_PLACEMENTS = 20_000
"""Limit on placements in the ledger, far above what a service's engines can run at
once."""
MAX_MEMORY_FRACTION = 0.95
"""Fraction of an engine's memory that its runs may need."""
FULL_COST_SECONDS = 4.0
"""Cost of an engine that lacks its whole memory, in proportion for a smaller
shortfall; about the delay of a preempted run."""
FILL_COST_PROMPTS = 0.4
"""Cost of a full engine against an empty one, in multiples of the prompt's read
time."""
FAR_COST_SECONDS = 0.01
"""Cost of an engine in another hall, as traffic between halls is charged."""
MISMATCH_COST_PROMPTS = 0.85
"""Cost of an engine that is meant for the other kind of run, in multiples of the
prompt's read time."""
COMPLETION_COST = 0.25
"""Cost of a second by which a long run ends later, against that of a second by which
it begins later.  Its caller reads meanwhile, but waits for the end of the answer, and
loses it if the engine or the VM fails before."""
SUSPECT_COST_SECONDS = 10.0
"""Cost of an engine that failed recently; places it behind all others."""
FAILURE_COST_SECONDS = 2.0
"""Cost of an engine that fails all runs, in proportion to its failure rate."""
JITTER_COST_SECONDS = 0.01
"""Upper bound of a random cost, which decides between similar engines."""


class Ledger:
    """The placements of one service that this node has been notified of."""

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._pace = Pace()
        self.speeds = EngineSpeeds()
        self.pause_risk = PauseRisk(self.speeds, clock=clock)
        self._short_runs = ShortRunEngines(
            self._pace, self.speeds, self.pause_risk, clock=clock
        )
        self._placement_by_run: dict[str, Placement] = {}
        self.occupancy = Occupancy(
            self._placement_by_run, self._pace, self.speeds, clock=clock
        )

    def place(self, run: str, engine: str, demand: Demand) -> None:
        """Record that a run was sent to ``engine``."""
        if len(self._placement_by_run) >= MAX_PLACEMENTS:
            # A node that is notified but not asked keeps only the newest placements.
            del self._placement_by_run[next(iter(self._placement_by_run))]
        now = self._clock()
        short_only = engine in self._short_runs.engine_ids
        others = [p for p in self._placement_by_run.values() if p.engine == engine]
        ahead = self._unread(engine, others, short_only=short_only)
        placement = Placement(engine, demand, now, ahead, short_only, confirmed=now)
        self.pause_risk.note_prompt(others)
        if demand.short and run not in self._placement_by_run:
            self._short_runs.note_prompt(placement.prompt, placement.placed)
        self.withdraw(run)
        self._placement_by_run[run] = placement
        self.occupancy.invalidate(engine)

    def running(self, run: str) -> Placement | None:
        """The placement of a run, if known."""
        return self._placement_by_run.get(run)

    def place_copy(self, run: str, engine: str, demand: Demand) -> None:
        """Record that ``engine`` stores a copy of a run; it grows like the run."""
        now = self._clock()
        running = self._placement_by_run.get(run)
        began = now if running is None or running.began is None else running.began
        placement = Placement(
            engine, demand, now, began=began, confirmed=now, copy=True
        )
        self._placement_by_run[copy_name(run)] = placement
        self.occupancy.invalidate(engine)

    def drop_copy(self, run: str) -> None:
        """Remove the copy of a run: it was used or does not exist."""
        self.withdraw(copy_name(run))

    def begin(self, run: str, engine: str, *, took: float = 0.0) -> None:
        """Record that a run produces events on ``engine``.

        :param took: seconds from its send to the first event; 0 if unknown.
        """
        self.drop_copy(run)
        placement = self._placement_by_run.get(run)
        if placement is None:
            return
        if placement.began is None:
            placement.began = self._clock()
            if placement.engine == engine:
                tokens = placement.ahead + placement.prompt
                self._observe_first_event(placement, tokens, took)
        if placement.engine != engine:
            placement.gap, placement.gaps, placement.longest_pause = 0.0, 0, 0.0
            placement.prompts_beside = 0
        self.occupancy.invalidate(placement.engine, engine)
        placement.engine = engine
        placement.confirmed = self._clock()

    def _observe_first_event(
        self, placement: Placement, tokens: int, took: float
    ) -> None:
        """Learn from the time in which an engine read prompts.

        Engines of unequal speed are compared by prompts that they read alone: a run
        with a reservation goes before those that wait there, so the wait of one that
        met others says little about the tokens that were ahead of it.
        """
        if self.speeds.active and placement.ahead > 0:
            return
        engine, short_only = placement.engine, placement.short_only
        if self.speeds.active and tokens > 0 and took > 0.0:
            rate = self._pace.wait_rate(short_only=short_only)
            self.speeds.observe(engine, Kind.FIRST_EVENT, took * rate / tokens)
        factor = self.speeds.factor(engine)
        self._pace.began(tokens, took / factor, short_only=short_only)

    def pace(
        self,
        run: str,
        engine: str,
        *,
        gap: float,
        events: int,
        longest: float,
        pause_cost: PauseCost,
    ) -> None:
        """Record how far apart the events of a run are on an engine.

        :param gap: usual seconds between two events.
        :param events: number of gaps.
        :param longest: longest gap in seconds.
        """
        self.speeds.observe_gaps(engine, gap, pause_cost)
        placement = self._placement_by_run.get(run)
        if placement is not None and placement.engine == engine:
            placement.gap, placement.gaps = gap, events
            placement.longest_pause = longest

    def end(self, run: str, *, took: float = 0.0) -> None:
        """Record that a run ended, on any engine.

        :param took: seconds from its first to its last event; 0 unless it completed.
        """
        self.drop_copy(run)
        placement = self.withdraw(run)
        self.occupancy.note_end(run)
        if placement is not None:
            factor = self.speeds.factor(placement.engine)
            self._pace.ended(placement.demand, took / factor)
            self.pause_risk.note_end(placement, took)

    def withdraw(self, run: str) -> Placement | None:
        """Remove and return a placement, for instance of a run that never began."""
        placement = self._placement_by_run.pop(run, None)
        if placement is not None:
            self.occupancy.note_end(run)
            self.occupancy.invalidate(placement.engine)
        return placement

    @property
    def read_rate(self) -> float:
        """Prompt tokens per second that one engine reads alongside its runs."""
        return self._pace.read_rate()

    def unread_by_engine(self) -> dict[str, float]:
        """Unread prompt tokens by engine, for engines that have any.

        A slow engine has as many as one of the usual speed reads in the same time.
        """
        now = self._clock()
        wait_rate = self._pace.wait_rate()
        unread: dict[str, float] = {}
        oldest_by_engine: dict[str, tuple[float, float]] = {}
        for placement in self._placement_by_run.values():
            if placement.began is None:
                engine = placement.engine
                factor = max(1.0, self.speeds.factor(engine))
                tokens = factor * placement.unread(now, wait_rate / factor)
                unread[engine] = unread.get(engine, 0.0) + tokens
                if tokens:
                    oldest_by_engine.setdefault(engine, (placement.placed, tokens))
        if self.speeds.active:
            for engine, (placed, tokens) in oldest_by_engine.items():
                unread[engine] -= min(tokens, wait_rate * (now - placed))
        return unread

    def run_seconds(self, demand: Demand) -> float:
        """Estimated seconds from a run's placement to its end."""
        output_seconds = demand.output * self._pace.token_seconds
        return self.read_seconds(demand) + output_seconds

    def read_seconds(self, demand: Demand) -> float:
        """Usual upper bound of the time from a run's placement to its first event."""
        return MAX_READ_WAITS * demand.prompt / self._pace.wait_rate()

    def order(
        self,
        engines: t.Iterable[Upstream],
        demand: Demand,
        *,
        memory: int,
        hall: str,
        due: float = math.inf,
    ) -> list[Upstream]:
        """Order engines for a run, the one that begins it soonest first.

        :param memory: memory in tokens of an engine without a report.
        :param hall: hall of the node that asks.
        :param due: seconds until the target latency is over.
        """
        self.forget()
        engines = list(engines)
        if not self.speeds.active:
            self.speeds.active = any(engine.uneven for engine in engines)
        short_ids = self._short_runs.select(
            engines, long_tokens=self._long_tokens(), memory=memory
        )
        by_engine: dict[str, list[Placement]] = {}
        for placement in self._placement_by_run.values():
            by_engine.setdefault(placement.engine, []).append(placement)

        def cost(engine: Upstream) -> float:
            placements = by_engine.get(engine.id, [])
            short_only = engine.id in short_ids
            cost = self._cost(
                engine,
                placements,
                demand,
                memory,
                hall,
                short_only=short_only,
            )
            cost += self.pause_risk.cost(
                engine.id,
                placements,
                demand,
                engines=len(engines),
                token_seconds=self._pace.token_seconds,
                read_rate=self._pace.wait_rate(),
            )
            if self.speeds.active and demand.short:
                cost += self._lateness_cost(engine, placements, demand, due)
            if short_ids and short_only != demand.short:
                cost += MISMATCH_COST_PROMPTS * demand.prompt / self._pace.read_rate()
            return cost

        return sorted(engines, key=cost)

    def _long_tokens(self) -> int:
        """Tokens that the long runs are expected to hold at their ends."""
        placements = self._placement_by_run.values()
        return sum(p.demand.expected for p in placements if not p.demand.short)

    def forget(self) -> None:
        """Remove expired placements and prompts."""
        oldest = self._clock() - PLACEMENT_TTL_SECONDS
        for run, placement in list(self._placement_by_run.items()):
            if placement.placed < oldest:
                self.withdraw(run)
        self._short_runs.expire()

    def _unread(
        self, engine: str, placements: list[Placement], *, short_only: bool
    ) -> int:
        """Unread prompt tokens of an engine's placements."""
        now = self._clock()
        wait_rate = self._pace.wait_rate(short_only=short_only)
        wait_rate /= self.speeds.factor(engine)
        return sum(placement.unread(now, wait_rate) for placement in placements)

    def _cost(
        self,
        engine: Upstream,
        placements: list[Placement],
        demand: Demand,
        memory: int,
        hall: str,
        *,
        short_only: bool,
    ) -> float:
        """Estimated seconds until the run would begin on an engine, plus penalties."""
        now = self._clock()
        usual_rate = self._pace.read_rate(short_only=short_only)
        factor = self.speeds.factor(engine.id)
        rate = usual_rate / factor
        cost = self._unread(engine.id, placements, short_only=short_only) / rate
        total = engine.report.total if engine.report else memory
        used = _used(engine.report, placements)
        token_seconds = self._pace.token_seconds * factor
        growth = sum(p.growth(now, token_seconds) for p in placements)
        shortfall = used + growth + demand.expected - MAX_MEMORY_FRACTION * total
        cost += FILL_COST_PROMPTS * demand.prompt / usual_rate * used / max(1, total)
        cost += FULL_COST_SECONDS * max(0.0, shortfall) / max(1, total)
        if demand.short:
            cost += demand.prompt * (1.0 / rate - 1.0 / usual_rate)
        else:
            stream_seconds = demand.output * self._pace.token_seconds
            cost += COMPLETION_COST * stream_seconds * (factor - 1.0)
        if engine.record.hall != hall:
            cost += FAR_COST_SECONDS
        cost += FAILURE_COST_SECONDS * engine.failure_rate
        if now < engine.suspect_until:
            cost += SUSPECT_COST_SECONDS
        return cost + JITTER_COST_SECONDS * self._rng.random()

    def _lateness_cost(
        self,
        engine: Upstream,
        placements: list[Placement],
        demand: Demand,
        due: float,
    ) -> float:
        """Cost of the time by which a short run may begin late on an engine.

        Short runs get the slow engines, so that long ones are not paused, but not at
        the price of their own target.
        """
        rate = self._pace.read_rate(short_only=True) / self.speeds.factor(engine.id)
        unread = self._unread(engine.id, placements, short_only=True)
        seconds = MAX_READ_WAITS * (unread + demand.prompt) / rate
        return max(0.0, seconds - max(0.0, due)) / DELAY_VALUE


def _used(report: EngineReport | None, placements: list[Placement]) -> float:
    """Estimate an engine's memory in use from its report and later placements."""
    if report is None:
        return float(sum(placement.prompt for placement in placements))
    seen = report.taken - REPORT_LAG_SECONDS
    recent = sum(
        placement.prompt for placement in placements if placement.placed > seen
    )
    return report.used + recent


def copy_name(run: str) -> str:
    """The key under which a run's copy is recorded in the ledger."""
    return f"{run}/copy"
