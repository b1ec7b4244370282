"""Tests of the exchange of failures and exclusions of upstreams."""

import asyncio
import math
import typing as t

import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from bankrack.fleet.documents import Member
from bankrack.fleet.outlierupdates import OUTLIERS_PATH
from bankrack.fleet.outlierupdates import OutlierUpdates
from bankrack.metrics import GatewayMetrics
from bankrack.serving.outliers import OutlierMonitor
from bankrack.serving.upstreams import UpstreamRecord
from bankrack.serving.upstreams import Upstreams
from tests.base import TestCase
from tests.platform.deployment import until

EXCLUSION = ["u-1", 500, 0, ["n-1", "n-2"], 2, 0, []]
EMPTY: dict[str, t.Any] = {"failures": [], "exclusions": [], "served": []}


class Node:
    """A node that delivers its messages to others directly."""

    def __init__(self, name: str, fleet: "list[Node]") -> None:
        self.member = Member(name, "10.0.0.1:1", "a")
        self.fleet = fleet
        self.upstreams = Upstreams()
        for upstream in ("u-1", "u-2", "u-3"):
            self.upstreams.put(UpstreamRecord(upstream, "s", "10.0.0.2:1", "a", 6))
        self.upstream = self.upstreams.by_id["u-1"]
        self.monitor = OutlierMonitor(
            name,
            "a",
            lambda: [node.member.name for node in fleet],
            self.upstreams,
            GatewayMetrics(),
        )
        self.updates = OutlierUpdates(t.cast(t.Any, self), self.member, self.monitor)
        self.messages = 0

    async def notify(
        self, path: str, body: bytes, *, on_first_round: t.Any, on_response: t.Any
    ) -> list[Member]:
        self.messages += 1
        for node in self.fleet:
            if node is not self:
                on_response(node.member, await node.receive(body, self.member.name))
        on_first_round()
        return []

    async def receive(self, body: bytes, source: str) -> bytes:
        async def read() -> bytes:
            return body

        request = make_mocked_request("POST", f"{OUTLIERS_PATH}?from={source}")
        request.read = read
        response = await self.updates.handle(request)
        assert isinstance(response.body, bytes)
        return response.body

    def excludes(self) -> bool:
        return self.upstream.excluded_until > 0.0


class OutlierUpdatesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet: list[Node] = []
        for number in range(4):
            self.fleet.append(Node(f"n-{number}", self.fleet))

    async def run_nodes(self, nodes: t.Iterable[Node]) -> None:
        for node in nodes:
            task = asyncio.create_task(node.updates.run())
            self.addCleanup(task.cancel)
        await asyncio.sleep(0)

    async def take(self, **fields: t.Any) -> None:
        message = ["a", *{**EMPTY, **fields}.values()]
        await self.fleet[0].receive(msgspec.msgpack.encode(message), "n-1")

    async def test_failures_of_two_nodes_exclude_an_upstream_at_all(self):
        await self.run_nodes(self.fleet)
        self.fleet[0].monitor.note_failed(self.fleet[0].upstream)
        await until(lambda: all(node.upstream.doubted_until for node in self.fleet[1:]))
        self.assertFalse(any(node.excludes() for node in self.fleet))
        self.fleet[1].monitor.note_failed(self.fleet[1].upstream)
        await until(lambda: all(node.excludes() for node in self.fleet), seconds=0.5)

    async def test_served_requests_of_other_nodes_outweigh_failures(self):
        await self.run_nodes(self.fleet)
        self.fleet[0].monitor.note_failed(self.fleet[0].upstream)
        await until(lambda: self.fleet[0].messages == 1)
        for node in self.fleet[2:]:
            node.monitor.note_served(node.upstream)
            node.monitor.note_served(node.upstream)
        self.fleet[1].monitor.note_failed(self.fleet[1].upstream)
        await until(lambda: self.fleet[1].messages == 1)
        await asyncio.sleep(0.05)
        self.assertFalse(any(node.excludes() for node in self.fleet))

    async def test_new_node_learns_of_an_exclusion_from_its_first_failure(self):
        await self.take(exclusions=[EXCLUSION])
        await self.run_nodes(self.fleet)
        self.fleet[3].monitor.note_failed(self.fleet[3].upstream)
        await until(self.fleet[3].excludes)

    async def test_exclusion_of_a_further_upstream_is_ignored(self):
        await self.take(exclusions=[EXCLUSION, ["u-2", *EXCLUSION[1:]]])
        excluded = [u.excluded_until > 0 for u in self.fleet[0].upstreams.of("s")]
        self.assertEqual([True, False, False], excluded)

    async def test_malformed_values_change_nothing(self):
        for bad in (math.nan, -1, 10**9, 0.5, "x"):
            for fields in (
                {"failures": [["u-1", bad]]},
                {"exclusions": [["u-1", bad, *EXCLUSION[2:]]]},
                {"exclusions": [["u-1", 500, bad, *EXCLUSION[3:]]]},
                {"served": [bad]} if bad != "x" else {"served": bad},
            ):
                with self.assertLogs("bankrack"), self.assertRaises(web.HTTPBadRequest):
                    await self.take(**fields)
        await self.take(served=["nobody"], failures=[["nobody", 0]])
        self.assertFalse(
            self.fleet[0].excludes() or self.fleet[0].upstream.doubted_until
        )
