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

from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

PROMPT_TOKENS_PER_SECOND = 7_000.0
"""Rate at which an engine reads prompts while other runs decode; half of what it
reads alone, since each step then does both (users' bench: 14 tokens/ms alone)."""
SECONDS_PER_TOKEN = 0.009
"""An engine's step, measured with about ten runs beside each other."""
PROMPT_SECONDS = 3.0
"""A prompt that was placed so long ago counts as read though nobody told of it."""
RUN_SECONDS = 60.0
"""A run that was placed so long ago has ended; the note of its end was lost."""
MAX_PLACEMENTS = 20_000
"""Some 100 bytes each; far more than the engines of a service can run at once."""
MEMORY_LIMIT = 0.95
"""Part of an engine's memory that the runs there may come to need."""
FULL_SECONDS = 4.0
"""How long a prompt may rather wait for another engine than go to one whose memory
is short by all that it has; preempted runs wait that long and longer."""
FILL_SECONDS = 0.15
"""What a full engine weighs against an empty one when both have room."""
FAR_SECONDS = 0.01
"""What an engine in another hall weighs; bytes between halls are priced."""
READ_TOKENS_PER_SECOND = 14_000.0
"""Rate at which an engine reads prompts when no other runs decode."""
MIN_ENGINES_TO_SPLIT = 12
"""A smaller pool needs the memory of all its engines for long runs; on the users'
sites of five engines keeping short runs apart brought nothing in 24 days."""
SPLIT_LOAD = 0.5
"""Part of their time that engines for short runs may spend reading prompts."""
MOST_SPLIT = 0.25
"""Part of the engines that short runs may have for themselves at most."""
RATE_WINDOW_SECONDS = 4.0
APART_SECONDS = 0.3
"""How long a run may rather wait than go to an engine for runs of the other kind."""
SUSPECT_SECONDS = 10.0
"""Puts an engine that just failed behind all others."""
FAILURE_SECONDS = 2.0
"""How long a run may rather wait than go to an engine that fails all runs; one that
fails a part of them counts for that part."""
JITTER_SECONDS = 0.01


@dataclasses.dataclass(slots=True)
class Placement:
    """One run on one engine.

    :param began: monotonic seconds at which its first event was told of, if it was.
    """

    engine: str
    prompt: int
    output: int
    placed: float
    began: float | None = None

    def unread(self, now: float) -> int:
        """Prompt tokens that the engine still has to read."""
        waiting = self.began is None and now < self.placed + PROMPT_SECONDS
        return self.prompt if waiting else 0

    def growth(self, now: float) -> float:
        """Tokens by which the run is still expected to grow."""
        if self.began is None:
            return float(self.output)
        return max(0.0, self.output - (now - self.began) / SECONDS_PER_TOKEN)


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
        self._placement_by_run: dict[str, Placement] = {}
        self._short_prompts: collections.deque[tuple[float, int]] = collections.deque()

    def place(self, run: str, engine: str, demand: Demand) -> None:
        """Note that a run was sent to ``engine``."""
        if len(self._placement_by_run) >= MAX_PLACEMENTS:
            # A node that is told much but never asked holds only the newest.
            del self._placement_by_run[next(iter(self._placement_by_run))]
        now = self._clock()
        placement = Placement(engine, demand.prompt, demand.output, now)
        if demand.short and run not in self._placement_by_run:
            self._forget_prompts()
            self._short_prompts.append((placement.placed, placement.prompt))
        self._placement_by_run[run] = placement

    def begin(self, run: str, engine: str) -> None:
        """Note that a run makes events, on ``engine``."""
        placement = self._placement_by_run.get(run)
        if placement is None:
            return
        placement.engine = engine
        if placement.began is None:
            placement.began = self._clock()

    def end(self, run: str) -> None:
        """Note that a run ended, wherever it was."""
        self._placement_by_run.pop(run, None)

    def order(
        self, engines: t.Iterable[Upstream], demand: Demand, *, memory: int, hall: str
    ) -> list[Upstream]:
        """Order engines for a run, the one that begins it soonest first.

        :param memory: tokens that an engine holds where no report tells.
        :param hall: where the node is that asks.
        """
        self._forget()
        engines = list(engines)
        short_ids = self._engines_for_short(engines)
        by_engine: dict[str, list[Placement]] = {}
        for placement in self._placement_by_run.values():
            by_engine.setdefault(placement.engine, []).append(placement)

        def cost(engine: Upstream) -> float:
            placements = by_engine.get(engine.id, [])
            apart = engine.id in short_ids
            cost = self._cost(engine, placements, demand, memory, hall, apart=apart)
            if short_ids and apart != demand.short:
                cost += APART_SECONDS
            return cost

        return sorted(engines, key=cost)

    def _engines_for_short(self, engines: list[Upstream]) -> set[str]:
        """Ids of the engines that short runs have for themselves.

        A prompt that is read holds up all long runs beside it, so in a large pool
        short runs gather on as few engines as read their prompts in time.
        """
        if len(engines) < MIN_ENGINES_TO_SPLIT:
            return set()
        tokens = sum(prompt for _, prompt in self._short_prompts)
        rate = tokens / RATE_WINDOW_SECONDS
        wanted = math.ceil(rate / (SPLIT_LOAD * READ_TOKENS_PER_SECOND))
        count = min(wanted, int(MOST_SPLIT * len(engines)))
        return set(sorted((engine.id for engine in engines), key=stable_digest)[:count])

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
        unread = sum(placement.unread(now) for placement in placements)
        rate = READ_TOKENS_PER_SECOND if apart else PROMPT_TOKENS_PER_SECOND
        cost = unread / rate
        total = engine.report.total if engine.report else memory
        used = _used(engine.report, placements)
        growth = sum(placement.growth(now) for placement in placements)
        short = used + growth + demand.expected - MEMORY_LIMIT * total
        cost += FILL_SECONDS * used / max(1, total)
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
