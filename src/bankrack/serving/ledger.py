"""What runs were lately placed on the engines of a service, by all nodes.

Reports of engines are more than half a second old when they come, and every node
reads the same ones.  The node that keeps a service's ledger hears of each placement
at once, so it knows how many prompt tokens an engine still has to read and what
memory its runs will come to need.
"""

import collections
import dataclasses
import math
import random
import time
import typing as t

from bankrack.decisions.memory import Holding
from bankrack.decisions.memory import peak
from bankrack.decisions.memory import Release
from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.job import Demand
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

PROMPT_SECONDS = 3.0
"""A prompt that was placed so long ago counts as read though nobody told of it."""
WAITS_TO_READ = 2.0
"""Usual waits after which a prompt should be read.  Counted as read bit by bit instead,
crowded engines that had not begun were given more: worth of four crowded days 0.490
instead of 0.540."""
NOTE_SECONDS = 0.25
"""Within so long it is told that a run began; a prompt of which nothing is heard later
than that is still unread, since its engine is slower than was believed."""
RUN_SECONDS = 60.0
"""A run that was placed so long ago has ended; the note of its end was lost."""
MAX_PLACEMENTS = 20_000
"""Some 100 bytes each; far more than the engines of a service can run at once."""
MEMORY_LIMIT = 0.95
"""Part of an engine's memory that the runs there may come to need."""
FULL_SECONDS = 4.0
"""How long a prompt may rather wait for another engine than go to one whose memory
is short by all that it has; preempted runs wait that long and longer."""
FILL_PROMPTS = 0.4
"""What a full engine weighs against an empty one when both have room, in times that
reading the run's own prompt takes."""
FAR_SECONDS = 0.01
"""What an engine in another hall weighs; bytes between halls are priced."""
MIN_ENGINES_TO_SPLIT = 12
"""A smaller pool is not split.  With nine engines it left 35.6 ms between the events of
long streams, as without, and 53 short runs began late on ten days instead of 2."""
SPLIT_FILL = 0.5
"""Part of the memory of the other engines that long runs may come to need where some
engines are kept for short ones; a fuller pool needs the memory of all."""
SPLIT_LOAD = 0.5
"""Part of their time that engines for short runs may spend reading prompts."""
MOST_SPLIT = 0.25
"""Part of the engines that short runs may have for themselves at most."""
RATE_WINDOW_SECONDS = 4.0
APART_PROMPTS = 0.85
"""How long a run may rather wait than go to an engine for runs of the other kind, in
times that reading its prompt takes."""
SUSPECT_SECONDS = 10.0
"""Puts an engine that just failed behind all others."""
FAILURE_SECONDS = 2.0
"""How long a run may rather wait than go to an engine that fails all runs; one that
fails a part of them counts for that part."""
JITTER_SECONDS = 0.01
ROOM_PART = 0.97
"""Part of an engine's memory that its runs may need within the foresight.  On eight
emulated plays of an overloaded pool 127,000 prompt tokens were read in vain with 0.95,
252,000 with 0.97 and 456,000 with 1.0, of 786,000 without any bound; with less, runs
wait that would fit."""
FORESIGHT_SECONDS = 1.5
"""How far ahead the growth of runs is counted.  Until they end others end, move or are
cut: with growth to their ends 42 of 59 long runs began in time on a crowded day, with
none at all 50."""
UNLISTED_SECONDS = 0.5
"""An engine that does not list a run so long after it was placed does not have it; the
note of its end was lost with its node."""
FRESH_SECONDS = 0.05
"""What an engine has free is reckoned anew after so long, and when its runs change.
Runs that wait ask several times a second each; reckoned anew for each question, 24
engines took 0.41 ms of it.
"""
OVERDUE_PART = 0.2
"""Part of what was expected of a run that it still makes when it has made all of it;
half of all runs make more than their callers guess."""


@dataclasses.dataclass(slots=True)
class Placement:
    """One run on one engine.

    :param ahead: prompt tokens that the engine had to read before this run's.
    :param apart: the engine was kept for short runs then.
    :param began: monotonic seconds at which its first event was told of, if it was.
    :param told: seconds at which it was last told of that the run is on this engine.
    """

    engine: str
    demand: Demand
    placed: float
    ahead: int = 0
    apart: bool = False
    began: float | None = None
    told: float = 0.0

    @property
    def prompt(self) -> int:
        """Tokens of its prompt."""
        return self.demand.prompt

    def unread(self, now: float, wait_rate: float) -> int:
        """Prompt tokens that the engine still has to read, as far as can be told.

        Where engines read faster than notes come, a prompt counts as read once it
        should long be, until a note of that is overdue.

        :param wait_rate: tokens a second, counted over the whole wait of a run.
        """
        age = now - self.placed
        if self.began is not None or age > PROMPT_SECONDS:
            return 0
        read_by = WAITS_TO_READ * (self.ahead + self.prompt) / wait_rate
        return 0 if read_by < age < read_by + NOTE_SECONDS else self.prompt

    def tokens(self, now: float, made_seconds: float) -> float:
        """Tokens that it holds, its prompt in full, as far as can be told.

        :param made_seconds: that it takes for each token.
        """
        if self.began is None or now < self.began:
            return float(self.prompt)
        return self.prompt + (now - self.began) / made_seconds

    def growth(self, now: float, token_seconds: float) -> float:
        """Tokens by which the run is still expected to grow."""
        output = self.demand.output
        if self.began is None:
            return float(output)
        return max(0.0, output - (now - self.began) / token_seconds)


class Ledger:
    """The placements of one service, as far as this node was told of them."""

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._pace = Pace()
        self._short_ids: set[str] = set()
        self._placement_by_run: dict[str, Placement] = {}
        self._short_prompts: collections.deque[tuple[float, int]] = collections.deque()
        self._report_by_engine: dict[str, EngineReport] = {}
        self._free_by_engine: dict[str, tuple[float, float]] = {}
        self._releases: tuple[float, list[Release]] = (-math.inf, [])

    def place(self, run: str, engine: str, demand: Demand) -> None:
        """Note that a run was sent to ``engine``."""
        if len(self._placement_by_run) >= MAX_PLACEMENTS:
            # A node that is told much but never asked holds only the newest.
            del self._placement_by_run[next(iter(self._placement_by_run))]
        now = self._clock()
        apart = engine in self._short_ids
        there = [p for p in self._placement_by_run.values() if p.engine == engine]
        ahead = self._unread(there, apart=apart)
        placement = Placement(engine, demand, now, ahead, apart, told=now)
        if demand.short and run not in self._placement_by_run:
            self._forget_prompts()
            self._short_prompts.append((placement.placed, placement.prompt))
        self.withdraw(run)
        self._placement_by_run[run] = placement
        self._reckon_anew(engine)

    def begin(self, run: str, engine: str, *, took: float = 0.0) -> None:
        """Note that a run makes events, on ``engine``.

        :param took: seconds from its send to the first event; 0 where not known.
        """
        placement = self._placement_by_run.get(run)
        if placement is None:
            return
        if placement.began is None:
            placement.began = self._clock()
            if placement.engine == engine:
                tokens = placement.ahead + placement.prompt
                self._pace.began(tokens, took, apart=placement.apart)
        self._reckon_anew(placement.engine, engine)
        placement.engine = engine
        placement.told = self._clock()

    def end(self, run: str, *, took: float = 0.0) -> None:
        """Note that a run ended, wherever it was.

        :param took: seconds from its first event to its last; 0 unless it was whole.
        """
        placement = self.withdraw(run)
        if placement is not None:
            self._pace.ended(placement.demand, took)

    def withdraw(self, run: str) -> Placement | None:
        """Forget a placement, as of a run that came to nothing; returns it."""
        placement = self._placement_by_run.pop(run, None)
        if placement is not None:
            self._reckon_anew(placement.engine)
        return placement

    def _reckon_anew(self, *engines: str) -> None:
        """Forget what was reckoned of engines whose runs changed."""
        for engine in engines:
            self._free_by_engine.pop(engine, None)
        self._releases = -math.inf, []

    def need(self, demand: Demand, *, memory: int, seconds: float) -> float:
        """Tokens that a run will come to hold, at most.

        :param memory: tokens that an engine holds.
        :param seconds: that the run has; guesses at its length are often far beyond.
        """
        output = self._pace.output_ratio * demand.output
        seconds = min(seconds, FORESIGHT_SECONDS)
        output = min(output, seconds / self._pace.made_seconds)
        return min(demand.prompt + output, ROOM_PART * memory)

    def releases(self, engines: t.Iterable[Upstream]) -> list[Release]:
        """What the runs on these engines are expected to give back, the first first."""
        now = self._clock()
        reckoned_at, found = self._releases
        if now < reckoned_at + FRESH_SECONDS:
            return found
        pace = self._pace
        open_ids = {engine.id for engine in engines if now >= engine.suspect_until}
        found = []
        for placement in self._placement_by_run.values():
            if placement.engine not in open_ids:
                continue
            growth = placement.growth(now, pace.token_seconds)
            growth = max(growth, OVERDUE_PART * placement.demand.output)
            held = placement.tokens(now, pace.made_seconds)
            held += growth * pace.output_ratio
            found.append(Release(growth * pace.token_seconds, held))
        self._releases = now, found
        return found

    def free_by_engine(
        self, engines: t.Sequence[Upstream], *, memory: int, suspects: bool = False
    ) -> dict[str, float]:
        """Tokens of each engine that stay free when all its runs are at their largest.

        An engine whose slots are all taken has none.

        :param suspects: count engines that are suspected like the others; they have
            nothing free otherwise.
        """
        now = self._clock()
        self._take_reports(engines)
        free = {}
        stale = []
        for engine in engines:
            at, value = self._free_by_engine.get(engine.id, (-math.inf, 0.0))
            if now >= at + FRESH_SECONDS:
                stale.append(engine)
            free[engine.id] = value
        if stale:
            self._forget()
            free.update(self._reckon_free(stale, memory))
        if not suspects:
            for engine in engines:
                if now < engine.suspect_until:
                    free[engine.id] = 0.0
        return free

    def _reckon_free(
        self, engines: t.Sequence[Upstream], memory: int
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
            value = 0.0 if full else self._free(engine, placements, memory)
            free[engine.id] = value
            self._free_by_engine[engine.id] = now, value
        return free

    def _take_reports(self, engines: t.Sequence[Upstream]) -> None:
        """Learn from reports that are new, and forget those of engines that went."""
        if len(self._report_by_engine) > 2 * len(engines):
            ids = {engine.id for engine in engines}
            for gone in self._report_by_engine.keys() - ids:
                del self._report_by_engine[gone]
                self._free_by_engine.pop(gone, None)
        for engine in engines:
            self._learn_from_report(engine)

    def _free(
        self, engine: Upstream, placements: list[Placement], memory: int
    ) -> float:
        now = self._clock()
        pace = self._pace
        most_growth = FORESIGHT_SECONDS / pace.made_seconds
        holdings = [
            Holding(
                placement.tokens(now, pace.made_seconds),
                min(
                    most_growth,
                    placement.growth(now, pace.token_seconds) * pace.output_ratio,
                ),
            )
            for placement in placements
        ]
        total = engine.report.total if engine.report else memory
        other = self._held_otherwise(engine, placements)
        return ROOM_PART * total - other - peak(holdings)

    def _held_otherwise(self, engine: Upstream, placements: list[Placement]) -> float:
        """Memory by the engine's report that is not its runs': copies, above all."""
        report = engine.report
        if report is None:
            return 0.0
        if report.tokens_by_run:
            return max(0.0, report.used - sum(report.tokens_by_run.values()))
        seen = report.taken - REPORT_LAG_SECONDS
        known = sum(
            placement.tokens(seen, self._pace.made_seconds)
            for placement in placements
            if placement.placed <= seen
        )
        return max(0.0, report.used - known)

    def _learn_from_report(self, engine: Upstream) -> None:
        """Take in a new report: what grew since the last one, and what is gone."""
        newest = engine.report
        last = self._report_by_engine.get(engine.id)
        if newest is None or last is newest:
            return
        self._report_by_engine[engine.id] = newest
        self._free_by_engine.pop(engine.id, None)
        self._drop_unlisted(engine.id, newest)
        if last is not None:
            self._learn_growth(last, newest)

    def _drop_unlisted(self, engine: str, report: EngineReport) -> None:
        """Drop placements that an engine does not have any more.

        Notes of runs whose node died never come; their places would count as taken for
        a minute.  One that waits at its engine may not be listed, so nothing is dropped
        while some do.
        """
        if report.queued or not (report.tokens_by_run or report.running == 0):
            return
        before = report.taken - REPORT_LAG_SECONDS - UNLISTED_SECONDS
        for run, placement in list(self._placement_by_run.items()):
            if placement.engine != engine or run in report.tokens_by_run:
                continue
            if placement.told < before:
                del self._placement_by_run[run]

    def _learn_growth(self, last: EngineReport, newest: EngineReport) -> None:
        """Learn from two reports how fast the runs in both of them grew."""
        seconds = newest.taken - last.taken
        for run, tokens in newest.tokens_by_run.items():
            placement = self._placement_by_run.get(run)
            grown = tokens - last.tokens_by_run.get(run, tokens)
            if placement is None or placement.began is None or grown <= 0:
                continue
            if placement.began < last.taken - REPORT_LAG_SECONDS:
                self._pace.grew(seconds / grown)

    def order(
        self, engines: t.Iterable[Upstream], demand: Demand, *, memory: int, hall: str
    ) -> list[Upstream]:
        """Order engines for a run, the one that begins it soonest first.

        :param memory: tokens that an engine holds where no report tells.
        :param hall: where the node is that asks.
        """
        self._forget()
        engines = list(engines)
        short_ids = self._engines_for_short(engines, memory=memory)
        self._short_ids = short_ids
        by_engine: dict[str, list[Placement]] = {}
        for placement in self._placement_by_run.values():
            by_engine.setdefault(placement.engine, []).append(placement)

        def cost(engine: Upstream) -> float:
            placements = by_engine.get(engine.id, [])
            apart = engine.id in short_ids
            cost = self._cost(engine, placements, demand, memory, hall, apart=apart)
            if short_ids and apart != demand.short:
                cost += APART_PROMPTS * demand.prompt / self._pace.read_rate()
            return cost

        return sorted(engines, key=cost)

    def _engines_for_short(self, engines: list[Upstream], *, memory: int) -> set[str]:
        """Ids of the engines that short runs have for themselves.

        A prompt that is read holds up all long runs beside it, so where there is memory
        to spare short runs gather on as few engines as read their prompts in time.
        """
        if len(engines) < MIN_ENGINES_TO_SPLIT:
            return set()
        tokens = sum(prompt for _, prompt in self._short_prompts)
        rate = tokens / RATE_WINDOW_SECONDS
        wanted = math.ceil(rate / (SPLIT_LOAD * self._pace.read_rate(apart=True)))
        count = min(wanted, int(MOST_SPLIT * len(engines)))
        ordered = sorted(engines, key=lambda engine: stable_digest(engine.id))
        rest = ordered[count:]
        room = sum(e.report.total if e.report else memory for e in rest)
        if self._long_tokens() > SPLIT_FILL * room:
            return set()
        return {engine.id for engine in ordered[:count]}

    def _long_tokens(self) -> int:
        """Tokens that the long runs will hold at their ends."""
        placements = self._placement_by_run.values()
        return sum(p.demand.expected for p in placements if not p.demand.short)

    def _forget(self) -> None:
        oldest = self._clock() - RUN_SECONDS
        for run, placement in list(self._placement_by_run.items()):
            if placement.placed < oldest:
                del self._placement_by_run[run]
        self._forget_prompts()

    def _forget_prompts(self) -> None:
        since = self._clock() - RATE_WINDOW_SECONDS
        while self._short_prompts and self._short_prompts[0][0] < since:
            self._short_prompts.popleft()

    def _unread(self, placements: list[Placement], *, apart: bool) -> int:
        """Prompt tokens that an engine has still to read of its placements."""
        now = self._clock()
        wait_rate = self._pace.wait_rate(apart=apart)
        return sum(placement.unread(now, wait_rate) for placement in placements)

    def _cost(
        self,
        engine: Upstream,
        placements: list[Placement],
        demand: Demand,
        memory: int,
        hall: str,
        *,
        apart: bool,
    ) -> float:
        """Seconds until a run would begin there, and what else speaks against it."""
        now = self._clock()
        rate = self._pace.read_rate(apart=apart)
        cost = self._unread(placements, apart=apart) / rate
        total = engine.report.total if engine.report else memory
        used = _used(engine.report, placements)
        token_seconds = self._pace.token_seconds
        growth = sum(p.growth(now, token_seconds) for p in placements)
        short = used + growth + demand.expected - MEMORY_LIMIT * total
        cost += FILL_PROMPTS * demand.prompt / rate * used / max(1, total)
        cost += FULL_SECONDS * max(0.0, short) / max(1, total)
        if engine.record.hall != hall:
            cost += FAR_SECONDS
        cost += FAILURE_SECONDS * engine.failure_rate
        if now < engine.suspect_until:
            cost += SUSPECT_SECONDS
        return cost + JITTER_SECONDS * self._rng.random()


def _used(report: EngineReport | None, placements: list[Placement]) -> float:
    """Reckon an engine's memory from its report and what was placed since."""
    if report is None:
        return float(sum(placement.prompt for placement in placements))
    seen = report.taken - REPORT_LAG_SECONDS
    recent = sum(
        placement.prompt for placement in placements if placement.placed > seen
    )
    return report.used + recent
