"""Runs a soak: ``python -m soak --seed 1 --minutes 5``.

Ends with 1 on any violation.  The same seed gives the same sequence of faults
and requests, as far as real processes allow.
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
from soak.ledger import Ledger
from soak.operators import OperatorsAtWork

WORKERS = 24
FAULT_PAUSE = (1.0, 5.0)
SETTLE_SECONDS = 12.0


class Faults:
    """Puts faults upon a fleet, at times two at once."""

    def __init__(self, fleet: Fleet, operators: OperatorsAtWork, seed: int) -> None:
        self.fleet = fleet
        self.operators = operators
        self.chance = random.Random(seed)

    async def run(self, until: float) -> None:
        """Go on until monotonic time ``until``."""
        tasks: set[asyncio.Task[None]] = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.chance.uniform(*FAULT_PAUSE))
            for _ in range(self.chance.choice([1, 1, 2])):
                name, work = self._draw()
                self.fleet.ledger.faults[name] += 1
                print(f"{time.strftime('%H:%M:%S')} fault {name}", flush=True)
                tasks.add(asyncio.ensure_future(work))
        await asyncio.gather(*tasks)

    def _draw(self) -> tuple[str, t.Coroutine[t.Any, t.Any, None]]:
        fleet = self.fleet
        node = self.chance.choice(sorted(fleet.callers))
        upstream = self.chance.choice(sorted(fleet.links_by_name))
        kind = self.chance.choice(["down", "slow", "lossy"])
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
        name, make = self.chance.choice(choices)
        return name, make()


def check_drains(callers: Callers, fleet: Fleet, ledger: Ledger) -> None:
    """A connection may break only where its node was killed or frozen."""
    for broken in callers.broken_by_node:
        killed = fleet.killed_at.get(broken.node, [])
        # A frozen or killed node breaks calls for as long as their time limit.
        if not any(when - 10.0 < broken.at < when + 45.0 for when in killed):
            ledger.violation(f"a call to {broken.node} broke: {broken.error}")


async def soak(seed: int, minutes: float, bug: str, folder: pathlib.Path) -> int:
    """Run one soak; returns the exit code."""
    ledger = Ledger()
    fleet = Fleet(folder, ledger, seed, bug)
    callers = Callers(fleet.callers, ledger, seed)
    operators = OperatorsAtWork(fleet, ledger, seed)
    faults = Faults(fleet, operators, seed)
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
        check_drains(callers, fleet, ledger)
    finally:
        fleet.stop()
        if fleet.session is not None:
            await fleet.session.close()
    ledger.judge(fleet.journals, sorted(folder.glob("node-*.log")))
    _find_violations_in_logs(folder, ledger)
    print(f"seed {seed}, {minutes} minutes, bug {bug or 'none'}")
    print(ledger.report())
    print(f"spans in which an engine was leaving: {len(ledger.leaving_spans)}")
    return 1 if ledger.violations else 0


def _find_violations_in_logs(folder: pathlib.Path, ledger: Ledger) -> None:
    for path in sorted(folder.glob("node-*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        for word in ("InvariantViolated", "event=unexpected_error", "peer_task_failed"):
            if word in text:
                ledger.violation(f"{path.name} has {word}")


def main() -> int:
    """Parse the command line and run."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument(
        "--bug", default="", choices=["", *BUGS], help="put one known bug back"
    )
    parser.add_argument("--keep", default="", help="folder to keep the logs in")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(arguments.keep or scratch)
        folder.mkdir(parents=True, exist_ok=not arguments.keep)
        return asyncio.run(
            soak(arguments.seed, arguments.minutes, arguments.bug, folder)
        )


if __name__ == "__main__":
    sys.exit(main())
