"""Tests of the notification of leaving upstreams."""

import asyncio
import typing as t

import msgspec
from aiohttp import web
from aiohttp.test_utils import make_mocked_request

from bankrack.fleet.documents import Member
from bankrack.fleet.leavingupdates import LEAVING_PATH
from bankrack.fleet.leavingupdates import LeavingUpdates
from bankrack.fleet.leavingupdates import STORE_DELAY_SECONDS
from bankrack.serving.notices import Notice
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


class RecordingBroadcast:
    """Records notifications instead of sending them."""

    def __init__(self) -> None:
        self.bodies: list[list[str]] = []

    async def notify(self, path: str, body: bytes) -> list[Member]:
        assert path == LEAVING_PATH
        self.bodies.append(msgspec.msgpack.decode(body, type=list[str]))
        return []


class LeavingNewsTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.upstreams = Upstreams()
        for name in ("x", "y"):
            self.put(name)
        self.notices = NoticeHandler()
        self.broadcast = RecordingBroadcast()
        self.leaving_updates = LeavingUpdates(
            t.cast(t.Any, self.broadcast), self.notices, self.upstreams
        )

    def put(self, name: str, *, leaving: bool = False) -> None:
        record = UpstreamRecord(name, "s", "10.0.0.1:1", "a", slots=1, leaving=leaving)
        self.upstreams.put(record)

    def receive_notice(self, name: str) -> None:
        notice = Notice(leaving=True)
        self.notices.take(self.upstreams.by_id[name], notice, status=200, sent_at=0.0)

    async def run_for_a_while(self) -> None:
        task = asyncio.create_task(self.leaving_updates.run())
        await asyncio.sleep(3 * STORE_DELAY_SECONDS)
        task.cancel()


class SendingTest(LeavingNewsTestCase):
    async def test_repeated_notices_are_sent_once_in_one_message(self):
        for name in ("x", "y", "x", "y"):
            self.receive_notice(name)
        await self.run_for_a_while()
        self.assertEqual([["x", "y"]], self.broadcast.bodies)

    async def test_upstream_leaving_in_store_is_not_sent(self):
        self.receive_notice("x")
        self.put("x", leaving=True)
        await self.run_for_a_while()
        self.assertEqual([], self.broadcast.bodies)

    async def test_notification_of_another_node_is_not_forwarded(self):
        self.upstreams.note_leaving("x")
        self.receive_notice("x")
        await self.run_for_a_while()
        self.assertEqual([], self.broadcast.bodies)


class ReceivingTest(LeavingNewsTestCase):
    async def take(self, body: bytes) -> None:
        async def read() -> bytes:
            return body

        request = make_mocked_request("POST", f"{LEAVING_PATH}?from=n-2")
        request.read = read
        await self.leaving_updates.handle(request)

    async def test_notification_applies_to_upstream_without_entry(self):
        self.upstreams.remove("y")
        with self.assertLogs("bankrack", "INFO") as lines:
            await self.take(msgspec.msgpack.encode(["x", "y", "nobody"]))
        self.assertEqual(2, len(lines.output))
        self.assertIn("event=upstream_leaving upstream=x source=n-2", lines.output[0])
        self.put("y")
        self.assertEqual([], self.upstreams.open_of("s"))

    async def test_malformed_notification_is_rejected_without_effect(self):
        with self.assertLogs("bankrack"), self.assertRaises(web.HTTPBadRequest):
            await self.take(b"\xc1")
        self.assertEqual(2, len(self.upstreams.open_of("s")))
