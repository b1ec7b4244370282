"""Time that the owner of a ledger takes to order engines for one run.

``python -m benchmarks.ledger``
"""

import time

from bankrack.serving.job import Demand
from bankrack.serving.ledger import Ledger
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord

ENGINES = (5, 24, 100, 400)
RUNS_PER_ENGINE = 8
MEMORY = 34_000
ROUNDS = 300


def make_engines(count: int) -> list[Upstream]:
    """Engines that have just reported."""
    now = time.monotonic()
    engines = []
    for number in range(count):
        record = UpstreamRecord(f"e-{number}", "s", "10.0.0.1:1", "a", slots=64)
        engine = Upstream(record, now)
        engine.note_report(EngineReport(8, 0, 20_000, MEMORY, taken=now))
        engines.append(engine)
    return engines


def microseconds_an_order(count: int) -> float:
    """Median time of one order, with eight runs on each engine."""
    engines = make_engines(count)
    ledger = Ledger()
    demand = Demand(prompt=3000, output_limit=700)
    for number in range(count * RUNS_PER_ENGINE):
        engine = engines[number % count]
        ledger.place(f"r-{number}", engine.id, demand)
        ledger.begin(f"r-{number}", engine.id)
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        ledger.order(engines, demand, memory=MEMORY, hall="a")
        times.append(time.perf_counter() - began)
    return sorted(times)[ROUNDS // 2] * 1e6


def main() -> None:
    """Print a row a size."""
    print("| engines | runs | us an order |\n| --- | --- | --- |")
    for count in ENGINES:
        runs = count * RUNS_PER_ENGINE
        print(f"| {count} | {runs} | {microseconds_an_order(count):.0f} |")


if __name__ == "__main__":
    main()
