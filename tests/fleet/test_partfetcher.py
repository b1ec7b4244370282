"""Tests of collecting large values in parts from other nodes."""

import asyncio
import contextlib
import typing as t

import aiohttp
from aiohttp import web

from bankrack.fleet.documents import Member
from bankrack.fleet.partfetcher import PartFetcher
from bankrack.fleet.partserver import LinkPacer
from bankrack.fleet.partserver import PARTS_PATH
from bankrack.fleet.partserver import PartServer
from bankrack.fleet.store import Item
from bankrack.fleet.store import joint_revision
from bankrack.fleet.store import Snapshot
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View
from bankrack.front.listeners import serve_application
from bankrack.serving.registry import Upstreams
from tests.base import TestCase
from tests.fakes import free_address
from tests.fleet.test_valueparts import document

KEY = "config"


def decode(item: Item) -> None:
    """Leave the document out; only the items matter here."""


class Source:
    """A node that serves parts, and what it does wrong."""

    def __init__(self, name: str, *, link_mbps: float = 0.0) -> None:
        self.member = Member(name, free_address(), "a")
        self.parts = ValueParts()
        self.requests = 0
        self.hangs = False
        self.body: bytes | None = None
        pacer = LinkPacer(link_mbps)
        self._server = PartServer(self.parts, pacer, TransferLog())

    async def handle(self, request: web.Request) -> web.Response:
        self.requests += 1
        if self.hangs:
            await asyncio.sleep(60)
        if self.body is not None:
            return web.Response(body=self.body)
        return await self._server.handle(request)


class Collector:
    """A node that collects values from some sources."""

    def __init__(self, *sources: Source) -> None:
        self.sources = sources
        self.view = View(decode, Upstreams())
        self.store_reads = 0
        self.parts = ValueParts()
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Collector":
        session = await self._stack.enter_async_context(aiohttp.ClientSession())
        for source in self.sources:
            application = web.Application()
            application.router.add_post(PARTS_PATH, source.handle)
            runner = await serve_application(application, source.member.address)
            self._stack.push_async_callback(runner.cleanup)
        fetcher = PartFetcher(
            session,
            Member("own", "10.0.0.9:1", "a"),
            lambda: [source.member for source in self.sources],
            self.view,
            self.parts,
            TransferLog(),
            read_store=self._read_store,
            is_standby=lambda: True,
        )
        task = asyncio.create_task(fetcher.run())
        self._stack.callback(task.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def _read_store(self) -> bool:
        self.store_reads += 1
        return False

    def announce(self, value: bytes, revision: int, *holders: Source) -> None:
        """Announce a value as the first of its holders does."""
        outlines = [h.parts.outline_of(Item(KEY, value, revision)) for h in holders]
        self.view.announce(outlines[0], holders[0].member)

    async def value(self, revision: int) -> bytes | None:
        async with asyncio.timeout(5.0):
            while self.view.revision_of(KEY) < revision:
                await self.view.updated.wait()
        item = self.view.item(KEY)
        return item.value if item else None


class PartFetcherTest(TestCase):
    async def test_value_is_collected_although_its_announcer_falls_silent(self):
        """Guards against work that is lost together with the node that sent it."""
        first, second = Source("first"), Source("second")
        async with Collector(first, second) as node:
            first.hangs = True
            node.announce(document(seed=2), 5, first, second)
            self.assertEqual(document(seed=2), await node.value(5))

    async def test_busy_announcer_is_left_to_others_and_the_value_still_comes(self):
        narrow, other = Source("narrow", link_mbps=0.2), Source("other")
        async with Collector(narrow, other) as node:
            large = document(routes=4_000)
            node.announce(large, 5, narrow, other)
            self.assertEqual(large, await node.value(5))
            self.assertGreater(other.requests, 0)

    async def test_wrong_bytes_of_one_node_put_no_invalid_value_in_force(self):
        liar, sound = Source("liar"), Source("sound")
        async with Collector(liar, sound) as node:
            liar.body = b"\x91\x91\xc4\x05wrong"
            node.announce(document(), 5, liar, sound)
            self.assertEqual(document(), await node.value(5))

    async def test_newer_value_replaces_one_that_is_still_being_collected(self):
        """Guards against an older value that arrives late and is put in force."""
        source = Source("source")
        async with Collector(source) as node:
            source.hangs = True
            node.announce(document(seed=1), 5, source)
            await asyncio.sleep(0.1)
            node.announce(document(seed=2), 6, source)
            source.hangs = False
            self.assertEqual(document(seed=2), await node.value(6))
            node.announce(document(seed=1), 5, source)
            self.assertEqual({}, node.view.pending.by_key)

    async def test_same_value_in_a_later_era_is_not_requested_again(self):
        source = Source("source")
        async with Collector(source) as node:
            node.announce(document(), 5, source)
            await node.value(5)
            requests = source.requests
            later = joint_revision(1, 3)
            node.announce(document(), later, source)
            self.assertEqual(document(), await node.value(later))
            self.assertEqual(requests, source.requests)

    async def test_store_is_read_if_nobody_sends_the_parts(self):
        source = Source("source")
        async with Collector(source) as node:
            node.announce(document(), 5, source)
            source.body = b"\x91\x90"
            await self._until(lambda: node.store_reads > 0)

    async def test_value_removed_meanwhile_is_no_longer_awaited(self):
        source = Source("source")
        async with Collector(source) as node:
            source.hangs = True
            node.announce(document(), 5, source)
            snapshot = Snapshot((), 6)
            node.view.confirm(snapshot, asked_at=1.0, source="store")
            self.assertEqual({}, node.view.pending.by_key)

    async def _until(self, condition: t.Callable[[], bool]) -> None:
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)
