"""Answers of the store and of engines that end early or lack fields."""

import asyncio
import contextlib
import typing as t

from aiohttp import web

from bankrack.clock import boottime
from bankrack.exceptions import PlatformUnavailable
from bankrack.exceptions import UpstreamFailed
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.sessions import new_session
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from engines import PlatformEngineControl
from store import PlatformStore
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.fakes import HOST

PAGE = b'{"items":[{"tlsKey":"servers/a","value":"","revision":7}],"more":true,"at":9}'
CHANGES = b'{"events":[{"tlsKey":"servers/a","revision":7,"gone":true}],"at":9}'
LEASE = b'{"lease":5,"ttl_ms":3000}'
REPORT = b'{"running":9,"queued":2,"kvUsed":4000,"kvTotal":9000,"runs":[["r",5,1,0]]}'


@contextlib.asynccontextmanager
async def answering(body: bytes) -> t.AsyncIterator[tuple[str, t.Any]]:
    """Answer each request with a body that only the end of its connection ends.

    Yields the server's address and a session.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        writer.close()

    server = await asyncio.start_server(answer, HOST, 0)
    session = new_session(reuse=False)
    try:
        yield f"{HOST}:{server.sockets[0].getsockname()[1]}", session
    finally:
        await session.close()
        server.close()


class StoreAnswers(TestCase):
    async def assert_no_answer(self, body: bytes, work: t.Any) -> None:
        async with answering(body) as (address, session):
            with self.subTest(body), self.assertRaises(PlatformUnavailable):
                await work(PlatformStore(session, address))

    async def test_page_without_a_field_is_taken_for_the_last_one(self):
        bodies = b"{}", b'{"items":[],"at":9}', b'{"items":[],"more":false}'
        for body in (*bodies, b'{"more":false,"at":9}'):
            await self.assert_no_answer(
                body, lambda store: store.read(members=True, timeout=1.0)
            )

    async def test_watch_without_a_field_hides_changes(self):
        for body in b"{}", b'{"events":[]}', b'{"at":9}':
            await self.assert_no_answer(body, lambda store: store.watch(1, wait=0.1))

    async def test_lease_without_a_field_is_granted(self):
        for body in b"{}", b'{"lease":5}', b'{"ttl_ms":3000}':
            await self.assert_no_answer(body, lambda store: store.grant(3.0))

    async def test_answer_that_ends_early_is_believed(self):
        for size in range(len(PAGE)):
            await self.assert_no_answer(
                PAGE[:size], lambda store: store.read(members=True, timeout=1.0)
            )
        for size in range(len(CHANGES)):
            await self.assert_no_answer(
                CHANGES[:size], lambda store: store.watch(1, wait=0.1)
            )
        for size in range(len(LEASE)):
            await self.assert_no_answer(LEASE[:size], lambda store: store.grant(3.0))

    async def test_page_without_a_field_removes_servers(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            known = set(gateway.upstreams.by_id)
            found = {"items": [], "at": deployment.store.revision + 1}
            deployment.store._range = lambda query: web.json_response(found)
            await asyncio.sleep(1.5)
            self.assertEqual(known, set(gateway.upstreams.by_id))


class EngineAnswers(TestCase):
    async def assert_fails(self, body: bytes, work: t.Any) -> None:
        async with answering(body) as (address, session):
            control = PlatformEngineControl(session, NoticeHandler())
            record = UpstreamRecord("e-1", "s", address, "a", slots=1)
            with self.subTest(body), self.assertRaises(UpstreamFailed):
                await work(control, Upstream(record, boottime()))

    async def test_report_without_load_tells_of_an_empty_engine(self):
        parts = b'"running":9', b'"queued":2', b'"kvUsed":4000', b'"kvTotal":9000'
        for missing in parts:
            left = b",".join(part for part in parts if part is not missing)
            await self.assert_fails(b"{%s}" % left, _report)
        await self.assert_fails(b"{}", _report)

    async def test_reservation_or_copy_without_its_id_is_used(self):
        async def reserve(control: PlatformEngineControl, engine: Upstream) -> None:
            await control.reserve(engine, 100, 1.0, CallProgress())

        async def copy(control: PlatformEngineControl, engine: Upstream) -> None:
            await control.copy(engine, "r-1", engine)

        await self.assert_fails(b"{}", reserve)
        await self.assert_fails(b'{"made":4}', copy)

    async def test_report_that_ends_early_is_believed(self):
        for size in range(len(REPORT)):
            await self.assert_fails(REPORT[:size], _report)


async def _report(control: PlatformEngineControl, engine: Upstream) -> None:
    await control.report(engine)
