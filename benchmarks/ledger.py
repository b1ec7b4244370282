"""Processor time of a pool owner's decisions on the placement of runs.

``python -m benchmarks.ledger``
"""

import functools
import time

from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from benchmarks.timing import median_microseconds

ENGINES = (5, 24, 100, 400)
RUNS_PER_ENGINE = 8
MEMORY = 34_000
ROUNDS = 300


def make_engines(count: int) -> list[Upstream]:
    """Return engines with a recent load report."""
    now = time.monotonic()
    engines = []
    for number in range(count):
        record = UpstreamRecord(f"e-{number}", "s", "10.0.0.1:1", "a", slots=64)
        engine = Upstream(record, now)
        engine.note_report(EngineReport(8, 0, 20_000, MEMORY, taken=now))
        engines.append(engine)
    return engines


def make_allocator(engines: list[Upstream]) -> Allocator:
    """Return an allocator with ``RUNS_PER_ENGINE`` runs on each engine."""
    allocator = Allocator()
    demand = Demand(prompt=3000, output_limit=700)
    for number in range(len(engines) * RUNS_PER_ENGINE):
        engine = engines[number % len(engines)]
        allocator.ledger.place(f"r-{number}", engine.id, demand)
        allocator.ledger.begin(f"r-{number}", engine.id)
    return allocator


def main() -> None:
    """Run the benchmark and print a table."""
    print("| engines | runs | us/order | us/decision |\n| --- | --- | --- | --- |")
    for count in ENGINES:
        engines = make_engines(count)
        allocator = make_allocator(engines)
        demand = Demand(prompt=3000, output_limit=700)
        wish = PlacementRequest(
            "r-0", demand, MEMORY, "a", (0, 1), due=1.0, left=30.0, silence_left=30.0
        )
        order = median_microseconds(
            functools.partial(
                allocator.ledger.order, engines, demand, memory=MEMORY, hall="a"
            ),
            rounds=ROUNDS,
        )
        decision = median_microseconds(
            functools.partial(allocator.decide, engines, wish), rounds=ROUNDS
        )
        runs = count * RUNS_PER_ENGINE
        print(f"| {count} | {runs} | {order:.0f} | {decision:.0f} |")


if __name__ == "__main__":
    main()
