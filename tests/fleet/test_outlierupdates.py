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
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.platform.deployment import until

EXCLUSION = ["u-1", 10_500, 0, ["n-1", "n-2"], 2, 0, []]


class Node:
    """A node whose notifications reach one other node, without a network."""

    def __init__(self, name: str, other: "Node | None" = None) -> None:
        self.member = Member(name, "10.0.0.1:1", "a")
        self.other = other
        self.upstreams = Upstreams()
        for upstream in ("u-1", "u-2", "u-3"):
            self.upstreams.put(UpstreamRecord(upstream, "s", "10.0.0.2:1", "a", 6))
        self.upstream = self.upstreams.by_id["u-1"]
        self.monitor = OutlierMonitor(
            name, "a", lambda: [name], self.upstreams, GatewayMetrics()
        )
        self.updates = OutlierUpdates(t.cast(t.Any, self), self.member, self.monitor)

    async def notify(
        self, path: str, body: bytes, *, on_first_round: t.Any, on_response: t.Any
    ) -> list[Member]:
        assert self.other is not None
        on_response(self.other.member, await self.other.receive(body))
        on_first_round()
        return []

    async def receive(self, body: bytes) -> bytes:
        async def read() -> bytes:
            return body

        request = make_mocked_request("POST", f"{OUTLIERS_PATH}?from=n-9")
        request.read = read
        response = await self.updates.handle(request)
        assert isinstance(response.body, bytes)
        return response.body

    async def take(
        self,
        *,
        failures: t.Any = (),
        exclusions: t.Any = (),
        served: t.Any = (),
        readmitted: t.Any = (),
    ) -> None:
        message = ["a", failures, exclusions, served, readmitted]
        await self.receive(msgspec.msgpack.encode(message))

    def excluded(self) -> list[str]:
        return [u.id for u in self.upstreams.of("s") if u.excluded_until > 0.0]


class OutlierUpdatesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.node = Node("n-1")

    async def test_new_node_learns_of_an_exclusion_from_its_first_failure(self):
        await self.node.take(exclusions=[["u-1", 2_000, *EXCLUSION[2:]]])
        new = Node("n-2", self.node)
        running = asyncio.create_task(new.updates.run())
        new.monitor.note_failed(new.upstream)
        await until(lambda: new.excluded() == ["u-1"])
        running.cancel()
        ends_at = self.node.upstream.excluded_until
        self.assertAlmostEqual(ends_at, new.upstream.excluded_until, delta=0.5)
        await new.take(readmitted=["u-1", "nobody"])
        self.assertEqual([], new.excluded())

    async def test_same_request_excludes_once_another_node_was_served_it(self):
        new = Node("n-2", self.node)
        running = asyncio.create_task(new.updates.run())
        await new.take(failures=[["u-1", 0, False, "same"]])
        new.monitor.note_failed(new.upstream, request="same")
        await until(lambda: self.node.monitor.describe() != [])
        await asyncio.sleep(0.05)
        self.assertEqual([], new.excluded())
        other = self.node.upstreams.by_id["u-2"]
        self.node.monitor.note_served(other, request="same")
        new.monitor.note_failed(new.upstream, request="same")
        await until(lambda: new.excluded() == ["u-1"])
        running.cancel()

    async def test_exclusion_of_a_further_upstream_is_ignored(self):
        await self.node.take(exclusions=[EXCLUSION, ["u-2", *EXCLUSION[1:]]])
        self.assertEqual(["u-1"], self.node.excluded())

    async def test_malformed_values_change_nothing(self):
        for bad in (math.nan, -1, 10**9, 0.5, "x"):
            for fields in (
                {"failures": [["u-1", bad]]},
                {"exclusions": [["u-1", bad, *EXCLUSION[2:]]]},
                {"exclusions": [["u-1", 10_500, bad, *EXCLUSION[3:]]]},
                {"served": bad},
            ):
                with self.assertLogs("bankrack"), self.assertRaises(web.HTTPBadRequest):
                    await self.node.take(**fields)
        await self.node.take(served=["nobody"], failures=[["nobody", 0]])
        self.assertEqual([], self.node.excluded())
        self.assertEqual(0.0, self.node.upstream.peer_suspect_until)
