"""Memory and processor time of a node's tables at several sizes.

``python -m benchmarks.tables``
"""

import gc
import time
import tracemalloc
import typing as t

from bankrack.control import claims
from bankrack.control import configuration
from bankrack.control import groups
from bankrack.control.configuration import Document
from bankrack.control.configuration import Head
from bankrack.control.intent import Intent
from bankrack.control.intent import Service
from bankrack.control.intent import Upstream
from bankrack.control.intent import Workspace
from bankrack.control.placement import place
from bankrack.scheduling.lengths import Lengths
from bankrack.scheduling.policies import Forecast
from bankrack.scheduling.policies import Request
from bankrack.scheduling.scheduler import Scheduler

MODELS = 4
HALLS = 10


def intent(upstreams: int, workspaces: int) -> Intent:
    """Return an intent with some numbers of upstreams and workspaces."""
    names = [f"engine-{n}" for n in range(upstreams)]
    made = {
        name: Upstream(
            name,
            f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:9000",
            region=f"region-{n % 3}",
            hall=f"hall-{n % HALLS}",
            models=(f"model-{n % MODELS}",),
        )
        for n, name in enumerate(names)
    }
    owners = [Workspace(f"workspace-{n}", f"{n:064x}") for n in range(workspaces)]
    services = [Service(f"service-{n}", model=f"model-{n}") for n in range(MODELS)]
    return Intent(
        {w.name: w for w in owners},
        {s.name: s for s in services},
        made,
        "key" * 12,
    )


def measure(make: t.Callable[[], t.Any]) -> tuple[t.Any, float, float]:
    """Call ``make``; return its result, the megabytes held and the seconds taken."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started = time.perf_counter()
    make()
    return made, size, time.perf_counter() - started


def document(made: Intent) -> Document:
    """Return the stored form of an intent."""
    sections = configuration.split(made)
    hashes = {name: configuration.content_hash(data) for name, data in sections.items()}
    head = Head(1, "plan", "alice", 0.0, hashes)
    return Document(head, {hashes[n]: data for n, data in sections.items()})


def configurations() -> None:
    """Print the cost of a configuration by size."""
    print(
        "| upstreams | workspaces | MB in force | join ms | place ms | head B |"
        " largest section B | all sections B | groups |"
    )
    print("|" + " --- |" * 9)
    for upstreams, workspaces in ((10, 10), (100, 60), (1000, 200), (6100, 680)):
        made = intent(upstreams, workspaces)
        stored = document(made)
        _, size, seconds = measure(lambda d=stored: configuration.join(d))
        _, _, placing = measure(lambda m=made: place(m))
        sections = [len(data) for data in stored.sections_by_hash.values()]
        head = len(configuration.encode_head(stored.head))
        count = len(groups.group_engines(made))
        print(
            f"| {upstreams} | {workspaces} | {size:.2f} | {seconds * 1e3:.1f} "
            f"| {placing * 1e3:.1f} | {head} | {max(sections)} | {sum(sections)} "
            f"| {count} |"
        )


def schedulers() -> None:
    """Print the cost of a pool owner's decisions by engines and running requests."""
    print("\n| engines | running each | decision us | refresh ms | MB |")
    print("|" + " --- |" * 5)
    for engines, running in ((5, 20), (16, 20), (16, 40), (32, 40)):
        made, size, _ = measure(lambda e=engines, r=running: make_scheduler(e, r))
        started = time.perf_counter()
        count = 200
        for number in range(count):
            name = f"probe-{number}"
            made.submit(request(name), 1.0)
            made.decide(1.0)
            made.ended(name, None)
            made.withdraw(name)
        decision = (time.perf_counter() - started) / count * 1e6
        started = time.perf_counter()
        made._refresh(2.0)
        refresh = (time.perf_counter() - started) * 1e3
        print(
            f"| {engines} | {running} | {decision:.0f} | {refresh:.2f} | {size:.2f} |"
        )


def make_scheduler(engines: int, running: int) -> Scheduler:
    """Return a scheduler with ``running`` requests on each engine."""
    made = Scheduler(Forecast())
    for number in range(engines):
        made.set_engine(f"engine-{number}", 1000000)
    for number in range(engines * running):
        made.adopt(request(number), f"engine-{number % engines}", 50, 0.0)
    made._refresh(0.5)
    return made


def request(name: t.Hashable) -> Request:
    """Return a request with some id."""
    return Request(
        id=name,
        workspace="workspace-1",
        service="service-1",
        priority=1,
        prompt_tokens=700,
        max_tokens=4000,
        submitted=0.0,
        deadline=1e9,
    )


def lengths_and_claims() -> None:
    """Print the cost of length histograms and claims."""

    def histograms() -> Lengths:
        made = Lengths()
        for number in range(680):
            for service in range(MODELS):
                made.observe(f"service-{service}", f"workspace-{number}", 100)
        return made

    _, size, _ = measure(histograms)
    print(f"\n2,720 length histograms: {size:.2f} MB")
    record = claims.RECORD_BYTES
    for rate in (100, 1000, 8400):
        held = rate * claims.BUCKET_SECONDS / claims.SHARDS * record
        print(f"claims document at {rate} claims/s: {held / 1e3:.0f} kB when full")


if __name__ == "__main__":
    configurations()
    schedulers()
    lengths_and_claims()
