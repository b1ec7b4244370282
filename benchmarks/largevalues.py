"""Compares ways to bring a large value to all nodes over narrow links.

``python -m benchmarks.largevalues --nodes 390 --mbps 5`` runs the view, the parts, the
server and the fetcher of each node in one process, over loopback connections; each
node's responses leave at the rate of its link. All ways get the same values: a large
one, then the same with one route more. The nodes follow one leader for each 30 of a
hall, as in a fleet.

Printed for each way: seconds until the middle and the last node have each value, bytes
sent in all and by the busiest node, and the memory of the process.
"""

import argparse
import asyncio
import contextlib
import functools
import json
import random
import resource
import statistics
import typing as t

import aiohttp
from aiohttp import web
from tests.fakes import free_address

from bankrack.clock import boottime
from bankrack.fleet.documents import Member
from bankrack.fleet.partfetcher import PartFetcher
from bankrack.fleet.partserver import LinkPacer
from bankrack.fleet.partserver import PARTS_PATH
from bankrack.fleet.partserver import PartServer
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View
from bankrack.fleet.wholeviews import BYTES_PER_MEGABIT
from bankrack.front.listeners import serve_application
from bankrack.serving.registry import Upstreams

HALLS = 3
NODES_PER_LEADER = 30
KEY = "configuration"
VALUE_PATH = "/value"
WAYS = ("whole", "announcer", "hall")
POLL_SECONDS = 0.01


def configuration(rng: random.Random, routes: int) -> list[dict[str, t.Any]]:
    """Return routes with random names, as those of a fleet of small services."""
    template = {"kind": "idempotent", "timeoutMs": 1500, "maxAttempts": 2}
    return [
        {
            **template,
            "name": f"r-{rng.getrandbits(36):09x}",
            "hostname": f"{rng.getrandbits(24):06x}.example",
            "pathPrefix": f"/{rng.getrandbits(32):08x}/",
            "service": f"s-{rng.getrandbits(20):05x}",
            "priority": rng.randint(0, 5),
            "targetLatencyMs": rng.randint(100, 2000),
        }
        for _ in range(routes)
    ]


class Node:
    """One node: its view, and its link over which its responses leave."""

    def __init__(self, number: int, mbps: float) -> None:
        self.member = Member(f"n-{number}", free_address(), f"hall-{number % HALLS}")
        self.view = View(lambda item: None, Upstreams())
        self.parts = ValueParts()
        self.sent_bytes = 0
        self.arrived_at = 0.0
        self._rate = mbps * BYTES_PER_MEGABIT
        self._free_at = 0.0
        self._server = PartServer(self.parts, LinkPacer(mbps), TransferLog())

    async def handle_parts(self, request: web.Request) -> web.Response:
        """Answer a request for parts at the rate of the link."""
        response = await self._server.handle(request)
        await self._carry(response)
        return response

    async def handle_value(self, request: web.Request) -> web.Response:
        """Answer with the whole value at the rate of the link."""
        item = self.view.item(KEY)
        response = web.Response(body=item.value if item else b"")
        await self._carry(response)
        return response

    async def _carry(self, response: web.Response) -> None:
        size = len(t.cast(bytes, response.body or b""))
        self.sent_bytes += size
        self._free_at = max(self._free_at, boottime()) + size / self._rate
        await asyncio.sleep(self._free_at - boottime())


class Fleet:
    """The nodes and the leader that each of them follows."""

    def __init__(self, nodes: int, mbps: float, way: str) -> None:
        self.nodes = [Node(number, mbps) for number in range(nodes)]
        self.leader_by_name = self._leaders()
        self._way = way
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    def _leaders(self) -> dict[str, Node]:
        """Return the node that each node but the first one follows."""
        reader = self.nodes[0]
        leader_by_name: dict[str, Node] = {}
        for hall in range(HALLS):
            members = self.nodes[hall::HALLS]
            leaders = members[: 1 + (len(members) - 1) // NODES_PER_LEADER]
            for index, node in enumerate(members):
                is_leader = index < len(leaders)
                leader = reader if is_leader else leaders[index % len(leaders)]
                leader_by_name[node.member.name] = leader
        del leader_by_name[reader.member.name]
        return leader_by_name

    async def __aenter__(self) -> "Fleet":
        connector = aiohttp.TCPConnector(limit=0)
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        for node in self.nodes:
            await self._start(node)
        return self

    async def _start(self, node: Node) -> None:
        application = web.Application()
        application.router.add_post(PARTS_PATH, node.handle_parts)
        application.router.add_get(VALUE_PATH, node.handle_value)
        runner = await serve_application(application, node.member.address)
        self._stack.push_async_callback(runner.cleanup)
        assert self._session is not None
        members = [node.member for node in self.nodes]
        if self._way == "announcer":
            leader = self.leader_by_name.get(node.member.name)
            members = [leader.member] if leader else []
        fetcher = PartFetcher(
            self._session,
            node.member,
            lambda: members,
            node.view,
            node.parts,
            TransferLog(),
            read_store=functools.partial(asyncio.sleep, 0, False),
            is_standby=lambda: False,
        )
        task = asyncio.create_task(fetcher.run())
        self._stack.callback(task.cancel)

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def bring(self, value: bytes, revision: int) -> list[float]:
        """Give the first node a value; returns the seconds until each node has it."""
        began = boottime()
        first = self.nodes[0]
        item = Item(KEY, value, revision)
        first.view.apply_changes(Snapshot((item,), revision), source="store")
        others = self.nodes[1:]
        if self._way == "whole":
            followings = [self._follow_whole(node, revision) for node in others]
        else:
            outline = first.parts.outline_of(item)
            for node in others:
                leader = self.leader_by_name[node.member.name]
                node.view.announce(outline, leader.member)
            followings = [self._wait_for(node, revision) for node in others]
        await asyncio.gather(*followings)
        return sorted(node.arrived_at - began for node in others)

    async def _wait_for(self, node: Node, revision: int) -> None:
        while node.view.revision_of(KEY) < revision:
            await node.view.updated.wait()
        node.arrived_at = boottime()

    async def _follow_whole(self, node: Node, revision: int) -> None:
        """Request the whole value from the leader once the leader has it."""
        assert self._session is not None
        leader = self.leader_by_name[node.member.name]
        while leader.view.revision_of(KEY) < revision:
            await asyncio.sleep(POLL_SECONDS)
        url = f"http://{leader.member.address}{VALUE_PATH}"
        async with self._session.get(url) as response:
            item = Item(KEY, await response.read(), revision)
        node.view.apply_changes(Snapshot((item,), revision), source="leader")
        node.arrived_at = boottime()


async def measure(way: str, options: argparse.Namespace) -> None:
    """Bring both values to a fleet in one way and print the figures."""
    rng = random.Random(options.seed)
    routes = configuration(rng, options.routes)
    first = json.dumps({"version": 1, "routes": routes}).encode()
    routes.insert(rng.randrange(len(routes)), configuration(rng, 1)[0])
    second = json.dumps({"version": 2, "routes": routes}).encode()
    async with Fleet(options.nodes, options.mbps, way) as fleet:
        for name, value, revision in (("large", first, 1), ("behind it", second, 2)):
            before = [node.sent_bytes for node in fleet.nodes]
            seconds = await fleet.bring(value, revision)
            sent = [
                node.sent_bytes - b for node, b in zip(fleet.nodes, before, strict=True)
            ]
            print(
                f"{way:9} {name:9} {len(value):7} bytes: middle node "
                f"{statistics.median(seconds):6.2f} s, last {seconds[-1]:6.2f} s; sent "
                f"{sum(sent) / 1e6:6.2f} MB, busiest {max(sent) / 1e6:5.2f} MB",
                flush=True,
            )
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"{way:9} memory of all nodes so far {peak:.0f} MB", flush=True)


def main() -> None:
    """Parse the command line and measure each way."""
    parser = argparse.ArgumentParser(prog="benchmarks.largevalues")
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--mbps", type=float, default=10.0)
    parser.add_argument("--routes", type=int, default=1_400)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--way", choices=WAYS, action="append")
    options = parser.parse_args()
    for way in options.way or WAYS:
        asyncio.run(measure(way, options))


if __name__ == "__main__":
    main()
