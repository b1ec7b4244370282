"""Command line of the gateway soak: ``python -m soak.gateway --seed 1 --minutes 1``.

The exit code is 1 on any violation.  A seed always draws the same faults; their effects
vary with the timing of real processes.
"""

import argparse
import asyncio
import collections
import functools
import logging
import pathlib
import random
import sys
import tempfile
import time
import typing as t

from soak.gateway.buggy import BUGS
from soak.gateway.callers import Callers
from soak.gateway.checks import Checker
from soak.gateway.disasters import DisasterInjector
from soak.gateway.fakes import Journal
from soak.gateway.fakes import SoakStore
from soak.gateway.faults import FaultInjector
from soak.gateway.faults import plan
from soak.gateway.lag import describe_blocked_loops
from soak.gateway.lag import LagMonitor
from soak.gateway.lives import LifeInjector
from soak.gateway.muting import Muting
from soak.gateway.processes import Gateway
from soak.gateway.silencing import Silencing
from soak.gateway.stopcallers import StoppingCallers
from soak.gateway.stopping import Stopping

SETTLE_BEFORE_SECONDS = 3.0
"""Time in which gateways that started together agree on their leaders."""
SETTLE_SECONDS = 8.0
HALLS = ("a", "b")
ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ("src", "platform", "soak", "tests")
EXIT_INCONCLUSIVE = 3
"""Exit code of an inconclusive soak: its source files changed while it ran."""

FEW_DESCRIPTORS = 256
"""Limit of a gateway's open files while many connections are idle."""


class ErrorLog(logging.Handler):
    """Collects the errors of the soak's own servers."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.errors: set[str] = set()

    def emit(self, record: logging.LogRecord) -> None:
        """Collect one error; requests that fail alike count once."""
        error = record.exc_info[1] if record.exc_info else None
        self.errors.add(repr(error) if error else record.getMessage())


def source_mtimes() -> dict[str, int]:
    """Modification times of all source files in nanoseconds, by path."""
    files = (path for name in SOURCES for path in (ROOT / name).rglob("*.py"))
    return {str(path): path.stat().st_mtime_ns for path in files}


async def soak(
    seed: int,
    minutes: float,
    bug: str,
    count: int,
    workers: int,
    folder: pathlib.Path,
    *,
    replacing: bool = False,
    poison: bool = False,
    crowded: bool = False,
    flooded: bool = False,
    idle: bool = False,
    large: bool = False,
    silencing: bool = False,
    handover: bool = False,
    unframed: bool = False,
    silent: bool = False,
    stopping: bool = False,
) -> int:
    """Run one soak.

    :param bug: name of the bug to enable in all gateways.
    :param count: number of gateways.
    :param workers: number of concurrent callers.
    :param folder: for settings and logs of the gateways.
    :param replacing: replace all gateways in turn instead of injecting faults.
    :param poison: also send requests that crash engines, by their body or a part.
    :param flooded: open most new connections at one gateway after the other.
    :param idle: keep idle connections at one gateway after the other, which have few
        descriptors.
    :param large: also write large configurations in series, over narrow links.
    :param silencing: only pause most of a hall while routes are dropped and servers
        drain, and stop gateways with kept connections while the store is silent.
    :param handover: also have engines stand still and break answers off, and stop
        gateways with kept connections.
    :param unframed: also have servers send responses without framing, and end processes
        of servers in their midst.
    :param silent: only have engines fall silent in the midst of runs and come back, and
        holders of copies fail, while gateways are stopped in series.
    :param stopping: only stop gateways in series that overlap, beside engines that
        leave or reject runs and callers behind slow links.
    :param crowded: let a workspace ask for most of the engines instead.
    :return: the exit code.
    """
    mtimes = source_mtimes()
    error_log = ErrorLog()
    logging.getLogger("aiohttp.server").addHandler(error_log)
    store = SoakStore(random.Random(seed + 1))
    await store.start()
    names = [f"gateway-{number}" for number in range(count)]
    bugs = f"{bug},backups" if handover or unframed or silent else bug
    gateways = [
        Gateway(name, HALLS[number % len(HALLS)], store.address, folder, bugs)
        for number, name in enumerate(names)
    ]
    store.link_by_address = {
        gateway.inner.encode(): gateway.inner_link.listen.encode()
        for gateway in gateways
    }
    journal = Journal()
    callers = Callers(gateways, random.Random(seed + 2))
    callers.until_gone = handover or stopping
    callers.impatient = silent
    checker = Checker(callers, journal)
    callers.undisturbed = lambda gateway: time.monotonic() > gateway.undisturbed_from
    injector = FaultInjector(gateways, store, journal, checker, random.Random(seed + 3))
    disasters = DisasterInjector(gateways, store, lambda: injector.servers, checker)
    lives = LifeInjector(injector, store, checker)
    silenced = Silencing(callers, injector, store, checker)
    expiring = asyncio.create_task(store.expire())
    lag_monitor = LagMonitor()
    checker.held_up = lag_monitor.spans
    monitoring = asyncio.create_task(lag_monitor.watch())
    try:
        await injector.begin(
            conducts=random.Random(seed) if handover else None,
            unframed=random.Random(f"unframed {seed}") if unframed else None,
            silences=random.Random(f"silent {seed}") if silent else None,
            patient=stopping,
        )
        for gateway in gateways:
            await gateway.store_link.start()
            await gateway.inner_link.start()
            if idle:
                gateway.descriptors = FEW_DESCRIPTORS
            gateway.launch()
        await asyncio.gather(*(gateway.wait_until_ready() for gateway in gateways))
        await asyncio.sleep(SETTLE_BEFORE_SECONDS)
        calling = asyncio.create_task(callers.run(workers))
        chosen = {
            callers.poison: poison,
            callers.flood: flooded,
            callers.crowd: idle,
            callers.press: crowded,
            callers.stream: unframed or silent,
            functools.partial(
                StoppingCallers(callers).run, random.Random(f"callers {seed}")
            ): stopping,
        }
        other_calls = asyncio.gather(*(call() for call, on in chosen.items() if on))
        if crowded:
            await asyncio.sleep(minutes * 60.0)
        elif replacing:
            await injector.replace_all()
            await asyncio.sleep(SETTLE_SECONDS)
        elif silent:
            await Muting(gateways, injector, checker).run(seed, minutes * 60.0)
        elif stopping:
            await Stopping(gateways, injector).run(seed, minutes * 60.0)
        elif silencing:
            await silenced.run(seed, minutes * 60.0)
            await asyncio.sleep(SETTLE_SECONDS)
        else:
            seconds = minutes * 60.0
            await asyncio.gather(
                silenced.stop_nodes(random.Random(seed), seconds * handover),
                lives.run(seed, seconds * unframed),
                _inject_faults(injector, disasters, seed, seconds=seconds, large=large),
            )
        callers.ended = True
        await calling
        await other_calls
        for gateway in gateways:
            checker.check_held(gateway, await gateway.held())
    finally:
        for gateway in gateways:
            gateway.end()
        expiring.cancel()
        monitoring.cancel()
        await injector.end()
        await store.stop()
    checker.check(gateways, speeds=not stopping)
    _check_more(
        checker,
        error_log,
        {
            checker.check_replacement: replacing,
            checker.check_crowded: crowded,
            functools.partial(checker.check_losses, gateways): silent,
            functools.partial(checker.check_stops, gateways): stopping,
            functools.partial(checker.check_poison, injector.poisoned_by_cause): True,
        },
    )
    print(f"seed {seed}, {minutes} minutes, bug {bug}, {count} gateways")
    _report(callers, injector, journal, checker)
    kept = collections.Counter(silenced.outcomes)
    print(f"kept connections: {', '.join(f'{n} {how}' for how, n in kept.items())}")
    print(lag_monitor)
    print(describe_blocked_loops(gateways))
    if source_mtimes() != mtimes:
        print("void: source files changed during the soak, restarted gateways differ")
        return EXIT_INCONCLUSIVE
    return 1 if checker.violations else 0


def _check_more(
    checker: Checker,
    error_log: ErrorLog,
    chosen: t.Mapping[t.Callable[[], None], bool],
) -> None:
    for error in sorted(error_log.errors):
        checker.record_violation(f"a server of the soak itself failed: {error}")
    checker.check_floods()
    checker.check_crowds()
    for check, on in chosen.items():
        if on:
            check()


async def _inject_faults(
    injector: FaultInjector,
    disasters: DisasterInjector,
    seed: int,
    *,
    seconds: float,
    large: bool,
) -> None:
    injections = [
        injector.run(plan(seed, seconds)),
        disasters.run(seed, seconds),
    ]
    if large:
        injections.append(injector.change_large_configurations(seed, seconds))
    await asyncio.gather(*injections)
    await asyncio.gather(asyncio.sleep(SETTLE_SECONDS), injector.ask_for_backoff())


def _report(
    callers: Callers, injector: FaultInjector, journal: Journal, checker: Checker
) -> None:
    for name, number in sorted(injector.counts.items()):
        print(f"  {name}: {number}")
    outcomes = collections.Counter(
        f"{call.path[:4]} {call.status}{'' if call.complete else ' cut'}"
        for call in callers.calls
    )
    for name, number in sorted(outcomes.items()):
        print(f"  {name}: {number}")
    print(f"cuts of VMs: {len(checker.cuts)}, falls: {len(journal.falls)}")
    for cause, ended in injector.poisoned_by_cause.items():
        print(f"engines ended by one {cause}: {len(ended)}")
    refused = sum(not call.status for calls in callers.floods for call in calls)
    print(f"floods: {len(callers.floods)}, calls without a response: {refused}")
    print(f"crowds of idle connections: {len(callers.crowds)}")
    rates = [f"{rate:.1f} at {speed}" for speed, rate in checker.run_rates().items()]
    shares = [f"{share:.2f} of {key}" for key, share in checker.served_shares().items()]
    print(f"streams served: {', '.join(shares)}")
    print(f"runs/s of engines by speed: {', '.join(rates) or 'too little time'}")
    lost = [f"{n} {how}" for how, n in sorted(checker.loss_counts.items())]
    print(f"lost behind silences that are not waited for: {', '.join(lost) or 0}")
    unanswered = [f"{n} {why}" for why, n in sorted(checker.unanswered_counts.items())]
    print(f"without a whole answer around a stop: {', '.join(unanswered) or 0}")
    resumed = sum(run.resumed for run in journal.runs)
    unframed = [f"{n} {end}" for end, n in sorted(checker.unframed_counts.items())]
    print(f"without framing: {', '.join(unframed) or 'nothing'}")
    print(f"runs: {len(journal.runs)}, of them resumed from a copy: {resumed}")
    print(f"violations: {len(checker.violations)}")


def main() -> int:
    """Parse the command line, run the soak and return its exit code."""
    parser = argparse.ArgumentParser(prog="soak.gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument("--bug", default="none", choices=list(BUGS))
    parser.add_argument(
        "--replacing",
        action="store_true",
        help="replace all gateways in turn, without other faults",
    )
    parser.add_argument(
        "--poison",
        action="store_true",
        help="send requests that crash engines, by their body or a part of the prompt",
    )
    parser.add_argument(
        "--flooded",
        action="store_true",
        help="open most new connections at one gateway after the other",
    )
    parser.add_argument(
        "--idle",
        action="store_true",
        help="keep idle connections at gateways with few descriptors",
    )
    parser.add_argument(
        "--crowded",
        action="store_true",
        help="let a workspace ask for most of the engines, without faults",
    )
    parser.add_argument(
        "--large",
        action="store_true",
        help="write configurations of 1,400 routes in series, over narrow links",
    )
    parser.add_argument(
        "--silencing",
        action="store_true",
        help="pause most of a hall and stop gateways with kept connections in series",
    )
    parser.add_argument(
        "--handover",
        action="store_true",
        help="have engines stand still, and stop gateways with kept connections",
    )
    parser.add_argument(
        "--unframed",
        action="store_true",
        help="send responses without framing, and end servers' processes amid them",
    )
    parser.add_argument(
        "--silent",
        action="store_true",
        help="have engines fall silent and copies fail, and stop gateways in series",
    )
    parser.add_argument(
        "--stopping",
        action="store_true",
        help="stop gateways in series that overlap, with engines that leave or reject",
    )
    parser.add_argument(
        "--keep", default="", help="new folder for the logs, kept after the soak"
    )
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
                replacing=options.replacing,
                poison=options.poison,
                crowded=options.crowded,
                flooded=options.flooded,
                idle=options.idle,
                large=options.large,
                silencing=options.silencing,
                handover=options.handover,
                unframed=options.unframed,
                silent=options.silent,
                stopping=options.stopping,
            )
        )


if __name__ == "__main__":
    sys.exit(main())
