"""Command line of the soak test: ``python -m soak --seed 1 --minutes 5``.

The exit code is 1 on any violation.  The same seed gives the same sequence of faults
and requests, except for differences in the timing of real processes.
"""

import argparse
import asyncio
import contextlib
import pathlib
import random
import sys
import tempfile
import time
import typing as t

from soak.buggy_node import BUGS
from soak.callers import Callers
from soak.fleet import Fleet
from soak.operators import ConcurrentOperators
from soak.results import SoakResults

WORKERS = 24
FAULT_PAUSE_SECONDS = (1.0, 5.0)
SETTLE_SECONDS = 12.0


class FaultInjector:
    """Injects random faults into a fleet, one or two at a time."""

    def __init__(self, fleet: Fleet, operators: ConcurrentOperators, seed: int) -> None:
        self.fleet = fleet
        self.operators = operators
        self.rng = random.Random(seed)

    async def run(self, until: float) -> None:
        """Inject faults until monotonic time ``until``, then wait for their ends."""
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(*FAULT_PAUSE_SECONDS))
            for _ in range(self.rng.choice([1, 1, 2])):
                name, work = self._draw()
                self.fleet.results.faults[name] += 1
                print(f"{time.strftime('%H:%M:%S')} fault {name}", flush=True)
                tasks.add(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    def _draw(self) -> tuple[str, t.Coroutine[t.Any, t.Any, None]]:
        fleet = self.fleet
        node = self.rng.choice(sorted(fleet.callers))
        upstream = self.rng.choice(sorted(fleet.links_by_name))
        kind = self.rng.choice(["down", "slow", "lossy"])
        choices: list[tuple[str, t.Any]] = [
            ("node killed", lambda: fleet.kill(node)),
            ("node frozen", lambda: fleet.freeze(node)),
            ("node drained", lambda: fleet.drain(node)),
            ("upstream killed", lambda: fleet.kill(upstream)),
            ("upstream frozen", lambda: fleet.freeze(upstream)),
            ("link cut", lambda: fleet.cut(upstream)),
            ("link stalled", lambda: fleet.stall(upstream)),
            (f"platform {kind}", lambda: fleet.platform_fault(kind)),
            ("operators race", self.operators.race),
        ]
        name, make = self.rng.choice(choices)
        return name, make()


def check_broken_connections(
    callers: Callers, fleet: Fleet, results: SoakResults
) -> None:
    """Check that only connections to killed or frozen nodes broke."""
    for broken in callers.broken_connections:
        killed = fleet.killed_at.get(broken.node, [])
        # A fault of a node may break calls until their timeout.
        if not any(when - 10.0 < broken.at < when + 45.0 for when in killed):
            results.record_violation(
                f"connection to {broken.node} broke: {broken.error}"
            )


async def soak(seed: int, minutes: float, bug: str, folder: pathlib.Path) -> int:
    """Run one soak.

    :param bug: name of the bug to enable in all nodes, or empty.
    :param folder: for settings, logs and journals of the processes.
    :return: the exit code.
    """
    results = SoakResults()
    fleet = Fleet(folder, results, seed, bug)
    callers = Callers(fleet.callers, results, seed)
    operators = ConcurrentOperators(fleet, results, seed)
    faults = FaultInjector(fleet, operators, seed)
    try:
        await fleet.start()
        await operators.begin()
        await asyncio.sleep(3.0)
        watch = asyncio.create_task(operators.watch())
        until = time.monotonic() + minutes * 60.0
        await asyncio.gather(
            faults.run(until), callers.run(until + SETTLE_SECONDS, WORKERS)
        )
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        check_broken_connections(callers, fleet, results)
    finally:
        fleet.stop()
        if fleet.session is not None:
            await fleet.session.close()
    results.check(fleet.journals, sorted(folder.glob("node-*.log")))
    _find_violations_in_logs(folder, results)
    print(f"seed {seed}, {minutes} minutes, bug {bug or 'none'}")
    print(results.report())
    print(f"time spans with a leaving engine: {len(results.leaving_spans)}")
    return 1 if results.violations else 0


def _find_violations_in_logs(folder: pathlib.Path, results: SoakResults) -> None:
    for path in sorted(folder.glob("node-*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        for sign in ("InvariantViolated", "event=unexpected_error", "peer_task_failed"):
            if sign in text:
                results.record_violation(f"{path.name} contains {sign}")


def main() -> int:
    """Parse the command line, run the soak and return its exit code."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument(
        "--bug", default="", choices=["", *BUGS], help="enable one known bug"
    )
    parser.add_argument(
        "--keep", default="", help="new folder for the logs, kept after the soak"
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(arguments.keep or scratch)
        folder.mkdir(parents=True, exist_ok=not arguments.keep)
        return asyncio.run(
            soak(arguments.seed, arguments.minutes, arguments.bug, folder)
        )


if __name__ == "__main__":
    sys.exit(main())
