"""Rules for blaming parts of prompts, compared on the same drawn arrivals.

``python -m benchmarks.blame`` draws runs that share parts, upstreams that crash because
of a part or by chance, and asks each rule what it would have refused.  With
``--nodes N`` it also measures how long a report and its objection take between N nodes
on the loopback interface.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import heapq
import random
import time
import typing as t

from tests.fleet.test_crashupdates import running

from bankrack.decisions import poison
from bankrack.decisions.poison import Crash
from bankrack.serving.crashregister import CrashRegister

SEEDS = 10
SECONDS = 40.0
BEGIN_SECONDS = 0.3
"""Mean time from a send to the first event."""
RUN_SECONDS = 3.0
DEADLY_INTERVAL_SECONDS = 0.8
CRASH_INTERVAL_SECONDS = 1.0
"""Mean time between crashes for which no request is to blame."""
SESSIONS = 40
SOFTWARE = "1"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a prompt."""

    name: str
    parts: tuple[str, ...]
    deadly: bool
    engine: str
    begins_at: float
    attempt: int = 0


class Rule(t.Protocol):
    """A rule that blames parts."""

    def allows(self, run: Run) -> bool:
        """Whether a run may be sent."""
        ...

    def note_begun(self, run: Run) -> None:
        """Record the first event of a run."""
        ...

    def note_crash(self, aboard: t.Sequence[Run]) -> None:
        """Record a crash with the runs that had sent no event."""
        ...


class RegisterRule:
    """The rule of the gateway; all nodes share one register."""

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._register = CrashRegister(clock=clock)

    def allows(self, run: Run) -> bool:
        """Whether no part of a run is blamed."""
        return self._register.may_run_on(run.name, SOFTWARE, parts=run.parts)

    def note_begun(self, run: Run) -> None:
        """Record the first event of a run."""
        for part in run.parts:
            self._register.note_served(part, SOFTWARE)

    def note_crash(self, aboard: t.Sequence[Run]) -> None:
        """Record a crash with the runs that had sent no event."""
        for run in aboard:
            crash = Crash(run.engine, SOFTWARE, early=True, request=run.name)
            for part in run.parts:
                self._register.note_crash(part, crash)


class CountRule:
    """Blames a part after some crashes, whatever engines answered."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count_by_part: collections.Counter[str] = collections.Counter()

    def allows(self, run: Run) -> bool:
        """Whether no part of a run is blamed."""
        return all(self._count_by_part[part] < self._limit for part in run.parts)

    def note_begun(self, run: Run) -> None:
        """Ignore the first event of a run."""

    def note_crash(self, aboard: t.Sequence[Run]) -> None:
        """Record a crash with the runs that had sent no event."""
        self._count_by_part.update({part for run in aboard for part in run.parts})


class NeverBegunRule(CountRule):
    """Blames a part after some crashes unless an engine ever answered on it."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._begun: set[str] = set()

    def note_begun(self, run: Run) -> None:
        """Record the first event of a run."""
        self._begun.update(run.parts)
        for part in run.parts:
            self._count_by_part.pop(part, None)

    def note_crash(self, aboard: t.Sequence[Run]) -> None:
        """Record a crash with the runs that had sent no event."""
        parts = {part for run in aboard for part in run.parts}
        self._count_by_part.update(parts - self._begun)


@dataclasses.dataclass(slots=True)
class Result:
    """What a rule did with one draw."""

    crashes: int = 0
    sound: int = 0
    refused: int = 0


class Draw:
    """One drawn sequence of arrivals and crashes.

    :param rate: sound runs a second.
    :param served_before: seconds for which the deadly part is harmless.
    """

    def __init__(
        self,
        seed: int,
        *,
        engines: int,
        rate: float,
        deadly: bool,
        crashes: bool,
        served_before: float = 0.0,
    ) -> None:
        self.now = 0.0
        self._rng = random.Random(seed)
        self._engines = [f"e{number}" for number in range(engines)]
        self._numbers = iter(range(10**9))
        self._running: list[Run] = []
        self._deadly_from = served_before
        self._events: list[tuple[float, int, str, Run | None]] = []
        self._schedule_all(rate, 1 / rate, "sound")
        if deadly:
            self._schedule_all(1.0, DEADLY_INTERVAL_SECONDS, "deadly")
        if crashes:
            self._schedule_all(1.0, CRASH_INTERVAL_SECONDS, "crash")

    def _schedule_all(self, rate: float, gap: float, kind: str) -> None:
        at = self._rng.expovariate(1 / gap)
        while at < SECONDS:
            self._schedule(at, kind)
            at += self._rng.expovariate(1 / gap)

    def _schedule(self, at: float, kind: str, run: Run | None = None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, run))

    def play(self, rule: Rule) -> Result:
        """Play the draw under a rule."""
        result = Result()
        while self._events:
            self.now, _, kind, run = heapq.heappop(self._events)
            match kind:
                case "sound" | "deadly":
                    self._arrive(rule, result, deadly=kind == "deadly")
                case "begin" if run in self._running:
                    assert run is not None
                    self._begin(rule, result, run)
                case "end" if run in self._running:
                    assert run is not None
                    self._running.remove(run)
                case "crash":
                    self._crash(rule, result, self._rng.choice(self._engines))
        return result

    def _arrive(self, rule: Rule, result: Result, *, deadly: bool) -> None:
        name = f"r{next(self._numbers)}"
        session = f"part-s{self._rng.randrange(SESSIONS)}"
        parts = ("part-common", session)
        if deadly:
            parts = ("part-common", "part-deadly", session)
        run = Run(name, parts, deadly, "", 0.0)
        result.sound += not deadly
        self._send(rule, result, run)

    def _send(self, rule: Rule, result: Result, run: Run) -> None:
        if not rule.allows(run):
            result.refused += not run.deadly
            return
        run.engine = self._rng.choice(self._engines)
        run.begins_at = self.now + self._rng.expovariate(1 / BEGIN_SECONDS)
        self._running.append(run)
        self._schedule(run.begins_at, "begin", run)

    def _begin(self, rule: Rule, result: Result, run: Run) -> None:
        if run.deadly and self.now >= self._deadly_from:
            self._crash(rule, result, run.engine)
            return
        rule.note_begun(run)
        self._schedule(self.now + RUN_SECONDS, "end", run)

    def _crash(self, rule: Rule, result: Result, engine: str) -> None:
        result.crashes += 1
        aboard = [run for run in self._running if run.engine == engine]
        self._running = [run for run in self._running if run.engine != engine]
        self._engines.remove(engine)
        self._engines.append(f"e{next(self._numbers)}")
        waiting = [run for run in aboard if run.begins_at >= self.now]
        rule.note_crash(waiting)
        for run in waiting:
            if not run.deadly and not run.attempt:
                run.attempt = 1
                self._send(rule, result, run)


SCENARIOS: dict[str, dict[str, t.Any]] = {
    "deadly part, 5 engines, 4 runs/s": {
        "engines": 5,
        "rate": 4.0,
        "deadly": True,
        "crashes": False,
    },
    "the same, 0.5 runs/s": {
        "engines": 5,
        "rate": 0.5,
        "deadly": True,
        "crashes": False,
    },
    "the same, harmless for 20 s": {
        "engines": 5,
        "rate": 4.0,
        "deadly": True,
        "crashes": False,
        "served_before": 20.0,
    },
    "deadly part and other crashes, 30 engines": {
        "engines": 30,
        "rate": 60.0,
        "deadly": True,
        "crashes": True,
    },
    "other crashes alone, 5 engines": {
        "engines": 5,
        "rate": 4.0,
        "deadly": False,
        "crashes": True,
    },
}


def compare() -> None:
    """Print what each rule does with the same draws."""
    for title, options in SCENARIOS.items():
        print(title)
        results: dict[str, list[Result]] = collections.defaultdict(list)
        for seed in range(SEEDS):
            for name, make in _rules().items():
                draw = Draw(seed, **options)
                results[name].append(draw.play(make(draw)))
            with _limit(3.0):
                draw = Draw(seed, **options)
                result = draw.play(RegisterRule(lambda draw=draw: draw.now))
                results["gateway's rule, 3 crashes"].append(result)
        for name, found in results.items():
            sound = sum(result.sound for result in found)
            refused = sum(result.refused for result in found) / sound
            crashes = sorted(result.crashes for result in found)
            print(
                f"  {name}: {crashes[0]} to {crashes[-1]} crashes, "
                f"sound requests refused {refused:.4f}"
            )


def _rules() -> dict[str, t.Callable[[Draw], Rule]]:
    return {
        "none": lambda draw: CountRule(10**9),
        "3 crashes": lambda draw: CountRule(3),
        "2 crashes, never begun": lambda draw: NeverBegunRule(2),
        "gateway's rule": lambda draw: RegisterRule(lambda: draw.now),
    }


@contextlib.contextmanager
def _limit(value: float) -> t.Iterator[None]:
    usual = poison.SUSPICION_LIMIT
    poison.SUSPICION_LIMIT = value
    try:
        yield
    finally:
        poison.SUSPICION_LIMIT = usual


async def exchange(nodes: int) -> None:
    """Measure a report on a part that all other nodes object to."""
    async with running(nodes=nodes) as fleet:
        reporter, others = fleet.nodes[0], fleet.nodes[1:]
        for node in others:
            node.register.note_served("part-common", SOFTWARE)
        for number in range(2):
            crash = Crash(f"i-{number}", SOFTWARE, early=True, request=f"{number:024x}")
            for node in others:
                node.register.note_served("part-common", SOFTWARE)
            began, used = time.monotonic(), time.process_time()
            reporter.register.note_crash("part-common", crash)
            await _until_told(fleet.nodes, number + 1)
            told = time.monotonic() - began
            await _until_cleared(fleet.nodes)
            print(
                f"{nodes} nodes in one process: told after {told:.2f} s, cleared "
                f"after {time.monotonic() - began:.2f} s, processor time of all "
                f"{time.process_time() - used:.2f} s"
            )


async def _until_told(nodes: t.Sequence[t.Any], crashes: int) -> None:
    while any(len(n.register.crashes("part-common")) < crashes for n in nodes):
        await asyncio.sleep(0.005)


async def _until_cleared(nodes: t.Sequence[t.Any]) -> None:
    while any(n.register.is_suspect("part-common") for n in nodes):
        await asyncio.sleep(0.005)


def main() -> None:
    """Run the comparison, and the exchange if it is asked for."""
    parser = argparse.ArgumentParser(prog="benchmarks.blame", description=__doc__)
    parser.add_argument("--nodes", type=int, default=0)
    options = parser.parse_args()
    compare()
    if options.nodes:
        asyncio.run(exchange(options.nodes))


if __name__ == "__main__":
    main()
