"""Processor time per token of a node, compared with minimal relays.

``python -m benchmarks.relay --streams 100 --tokens 500``
"""

import argparse
import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import typing as t

from tests.fakes import free_address
from tests.fakes import intent_text
from tests.fakes import listen_addresses
from tests.fakes import OPERATORS
from tests.fakes import settings_text
from tests.fakes import TOKENS

from benchmarks.processes import Process
from benchmarks.processes import wait_until_listening

SETTLE_SECONDS = 0.5


class RelayCost(t.NamedTuple):
    """Results of one relay.

    :param microseconds_per_token: processor time per token.
    :param user_microseconds: the part of it in user mode.
    :param p99_gap_ms: 99th percentile of the time between events of a stream.
    :param whole: number of streams that were read to their ends.
    """

    name: str
    microseconds_per_token: float
    user_microseconds: float
    p99_gap_ms: float
    events: int
    whole: int


def client(target: str, streams: int) -> dict[str, t.Any]:
    """Run the load generator and return its counts."""
    arguments = ["--target", target, "--streams", str(streams)]
    arguments += ["--token", TOKENS["north"]]
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.client", *arguments],
        stdout=subprocess.PIPE,
        check=True,
        timeout=300,
    )
    found: dict[str, t.Any] = json.loads(done.stdout)
    return found


def measure(name: str, process: Process, target: str, streams: int) -> RelayCost:
    """Put load on one relay and measure the processor time that it used."""
    before = process.cpu_times()
    found = client(target, streams)
    after = process.cpu_times()
    events = max(1, found["events"])
    user = (after.user - before.user) / events * 1e6
    system = (after.system - before.system) / events * 1e6
    gap = found["gap_p99"] * 1e3
    return RelayCost(name, user + system, user, gap, found["events"], found["whole"])


def median(column: t.Sequence[RelayCost]) -> RelayCost:
    """Return the round with the median processor time."""
    ordered = sorted(column, key=lambda m: m.microseconds_per_token)
    return ordered[len(ordered) // 2]


class BenchmarkSetup:
    """The processes of one benchmark.

    :param tokens: number of events of each stream.
    :param interval: seconds between two events.
    :param folder: for settings and logs.
    """

    def __init__(self, tokens: int, interval: float, folder: pathlib.Path) -> None:
        self.processes: list[Process] = []
        self.folder = folder
        self.source = free_address()
        pacing = ["--tokens", str(tokens), "--interval", str(interval)]
        listen = ["-m", "benchmarks.source", "--listen", self.source]
        self.start("source", self.source, [*listen, *pacing])

    def start(self, name: str, address: str, arguments: list[str]) -> Process:
        """Start a process and wait until it listens."""
        process = Process(name, arguments, log=str(self.folder / f"{name}.log"))
        self.processes.append(process)
        wait_until_listening(address)
        return process

    def bare(self, name: str, *options: str) -> tuple[Process, str]:
        """Start a minimal relay; return it and its address."""
        address = free_address()
        arguments = ["-m", "benchmarks.bare_relay", "--listen", address]
        arguments += ["--upstream", self.source, *options]
        return self.start(name, address, arguments), address

    def node(self) -> tuple[Process, str]:
        """Start a platform, and a node with the source as its engine.

        :return: the node and its address for callers.
        """
        platform = free_address()
        self.start(
            "platform",
            platform,
            ["-m", "bankrack", "standin-platform", "--listen", platform],
        )
        text = settings_text("node-0", platform)
        path = self.folder / "node.toml"
        path.write_text(text, encoding="utf-8")
        addresses = listen_addresses(text)
        process = self.start(
            "node",
            addresses["operators"],
            ["-m", "bankrack", "node", "--settings", str(path)],
        )
        asyncio.run(self.confirm(addresses["operators"]))
        wait_until_listening(addresses["callers"])
        return process, addresses["callers"]

    async def confirm(self, operators: str) -> None:
        """Configure the source as an engine with ample memory."""
        from bankrack.operator.client import OperatorClient

        text = intent_text([self.source], [])
        text = text.replace(
            'models = ["m"]', 'models = ["m"]\nmemory_tokens = 50000000'
        )
        text = text.replace('name = "north"', 'name = "north"\nmax_in_flight = 100000')
        operator = OperatorClient(operators, OPERATORS["alice"])
        plan = await operator.post("/v1/plan", text.encode())
        await operator.post("/v1/confirm", json.dumps(plan).encode())

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.stop()


def main() -> None:
    """Measure all relays and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--tokens", type=int, default=500)
    parser.add_argument("--interval", type=float, default=0.02)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        setup = BenchmarkSetup(
            arguments.tokens, arguments.interval, pathlib.Path(folder)
        )
        try:
            lean, lean_address = setup.bare("lean")
            lines, lines_address = setup.bare("lines", "--lines")
            node, node_address = setup.node()
            streams = arguments.streams
            relays = [
                ("lean relay", lean, lean_address),
                ("line-by-line relay", lines, lines_address),
                ("bankrack node", node, node_address),
            ]
            rounds = [
                [measure(*relay, streams) for relay in relays]
                for _ in range(arguments.rounds)
            ]
            results = [median(column) for column in zip(*rounds, strict=True)]
            memory = node.memory_bytes()
        finally:
            setup.stop()
    base = results[0].microseconds_per_token
    for result in results:
        print(
            f"{result.name:20s} {result.microseconds_per_token:7.1f} us/token "
            f"({result.user_microseconds:.1f} in user mode) "
            f"ratio {result.microseconds_per_token / base:.2f} "
            f"p99 gap {result.p99_gap_ms:.1f} ms "
            f"events {result.events} whole {result.whole}"
        )
    print(f"node memory after the run: {memory / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
