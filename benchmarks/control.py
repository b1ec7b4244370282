"""Processor time and traffic of idle nodes, at several sizes of the fleet.

``python -m benchmarks.control --nodes 2 4 8 16 32 --seconds 15``
"""

import argparse
import asyncio
import json
import pathlib
import tempfile
import time
import typing as t

import aiohttp
from tests.fakes import free_address
from tests.fakes import intent_text
from tests.fakes import listen_addresses
from tests.fakes import OPERATORS
from tests.fakes import settings_text

from bankrack.operator.client import OperatorClient
from benchmarks.processes import Process
from benchmarks.processes import wait_until_listening

SETTLE_SECONDS = 6.0


class Node(t.NamedTuple):
    """One node process and its addresses."""

    process: Process
    operators: str
    peers: str


class Totals(t.NamedTuple):
    """Totals of all nodes at monotonic time ``at``.

    :param cpu: processor time in seconds.
    :param sent: bytes sent to other nodes.
    :param received: bytes received from other nodes.
    :param calls: calls of the platform.
    """

    at: float
    cpu: float
    sent: int
    received: int
    calls: int


def start(count: int, folder: pathlib.Path, platform: str) -> list[Node]:
    """Start nodes and wait until they listen; the first three seed the later ones."""
    nodes: list[Node] = []
    for number in range(count):
        seeds = [node.peers for node in nodes[:3]]
        text = settings_text(f"node-{number}", platform, seeds=seeds)
        path = folder / f"node-{number}.toml"
        path.write_text(text, encoding="utf-8")
        addresses = listen_addresses(text)
        command = ["-m", "bankrack", "node", "--settings", str(path)]
        process = Process(f"node-{number}", command)
        nodes.append(Node(process, addresses["operators"], addresses["peers"]))
    for node in nodes:
        wait_until_listening(node.operators)
    return nodes


async def confirm(node: Node, upstreams: int) -> None:
    """Put an intent with some number of engines in force."""
    addresses = [f"127.1.{n // 250}.{n % 250 + 1}:9" for n in range(upstreams)]
    client = OperatorClient(node.operators, OPERATORS["alice"])
    plan = await client.post("/v1/plan", intent_text(addresses, []).encode())
    await client.post("/v1/confirm", json.dumps(plan).encode())


async def read(nodes: list[Node], platform: str) -> Totals:
    """Read the totals of all nodes."""
    sent = received = 0
    for node in nodes:
        client = OperatorClient(node.operators, OPERATORS["bob"])
        state = await client.get("/v1/state")
        sent += state["peers"]["bytes_sent"]
        received += state["peers"]["bytes_received"]
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{platform}/counts") as response,
    ):
        counts = (await response.json())["calls_by_path"]
    cpu = sum(node.process.cpu_seconds() for node in nodes)
    return Totals(time.monotonic(), cpu, sent, received, sum(counts.values()))


async def measure(count: int, upstreams: int, seconds: float) -> None:
    """Measure one size for some seconds and print a row of results."""
    platform = free_address()
    command = ["-m", "bankrack", "standin-platform", "--listen", platform]
    stand_in = Process("platform", command)
    nodes: list[Node] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            wait_until_listening(platform)
            nodes = start(count, pathlib.Path(folder), platform)
            await confirm(nodes[0], upstreams)
            await asyncio.sleep(SETTLE_SECONDS)
            before = await read(nodes, platform)
            await asyncio.sleep(seconds)
            after = await read(nodes, platform)
            memory = max(node.process.memory_bytes() for node in nodes)
        finally:
            for node in nodes:
                node.process.stop()
            stand_in.stop()
    span = (after.at - before.at) * count
    print(
        f"| {count} | {upstreams} | {(after.cpu - before.cpu) / span * 100:.2f} "
        f"| {(after.sent - before.sent) / span:.0f} "
        f"| {(after.received - before.received) / span:.0f} "
        f"| {(after.calls - before.calls) / span:.2f} | {memory / 1e6:.0f} |",
        flush=True,
    )


def main() -> None:
    """Measure each size and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="+", default=[2, 4, 8, 16, 32])
    parser.add_argument("--upstreams", type=int, nargs="+", default=[0])
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    print("| nodes | upstreams | core % | sent B/s | received B/s | calls/s | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for upstreams in arguments.upstreams:
        for count in arguments.nodes:
            asyncio.run(measure(count, upstreams, arguments.seconds))


if __name__ == "__main__":
    main()
