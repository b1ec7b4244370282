"""Runs a soak of gateways: ``python -m soak.gateway --seed 1 --minutes 1``.

Ends with 1 on any violation.  The same seed draws the same faults, as far as real
processes allow.
"""

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time

from soak.gateway.buggy import BUGS
from soak.gateway.callers import Callers
from soak.gateway.judge import Judge
from soak.gateway.processes import Gateway
from soak.gateway.troubles import plan
from soak.gateway.troubles import Troubles
from soak.gateway.world import Journal
from soak.gateway.world import SoakStore

COME_UP_SECONDS = 4.0
SETTLE_SECONDS = 8.0
HALLS = ("a", "b")


async def soak(
    seed: int, minutes: float, bug: str, count: int, workers: int, folder: pathlib.Path
) -> int:
    """Run one soak; returns the exit code."""
    store = SoakStore(random.Random(seed + 1))
    await store.start()
    names = [f"gateway-{number}" for number in range(count)]
    gateways = [
        Gateway(name, HALLS[number % len(HALLS)], store.address, folder, bug)
        for number, name in enumerate(names)
    ]
    journal = Journal()
    callers = Callers(gateways, random.Random(seed + 2))
    judge = Judge(callers, journal)
    callers.calm = lambda gateway: time.monotonic() > gateway.calm_from
    troubles = Troubles(gateways, store, journal, judge, random.Random(seed + 3))
    expiring = asyncio.create_task(store.expire())
    try:
        await troubles.begin()
        for gateway in gateways:
            await gateway.store_link.start()
            gateway.launch()
        await asyncio.sleep(COME_UP_SECONDS)
        seconds = minutes * 60.0
        until = time.monotonic() + seconds + SETTLE_SECONDS
        await asyncio.gather(
            troubles.run(plan(seed, seconds)), callers.run(until, workers)
        )
    finally:
        for gateway in gateways:
            gateway.end()
        expiring.cancel()
        await troubles.end()
        await store.stop()
    judge.judge(gateways)
    print(f"seed {seed}, {minutes} minutes, bug {bug}, {count} gateways")
    _report(callers, troubles, journal, judge)
    return 1 if judge.violations else 0


def _report(
    callers: Callers, troubles: Troubles, journal: Journal, judge: Judge
) -> None:
    for name, number in sorted(troubles.counts.items()):
        print(f"  {name}: {number}")
    outcomes = collections.Counter(
        f"{call.path[:4]} {call.status}{'' if call.whole else ' cut'}"
        for call in callers.calls
    )
    for name, number in sorted(outcomes.items()):
        print(f"  {name}: {number}")
    resumed = sum(run.resumed for run in journal.runs)
    print(f"runs: {len(journal.runs)}, of them gone on from a copy: {resumed}")
    print(f"violations: {len(judge.violations)}")


def main() -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="soak.gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument("--bug", default="none", choices=list(BUGS))
    parser.add_argument("--keep", default="", help="folder to keep the logs in")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=not options.keep)
        return asyncio.run(
            soak(
                options.seed,
                options.minutes,
                options.bug,
                options.gateways,
                options.workers,
                folder,
            )
        )


if __name__ == "__main__":
    sys.exit(main())
