"""Upstreams in trouble that send bytes without end until the connection is closed."""

import asyncio
import contextlib
import pathlib
import resource
import typing as t

from bankrack.clock import boottime
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import HOST
from tests.platform.fakes import ReceivedResponse
from tests.platform.test_outliers import send_load
from tests.platform.test_outliers import start_fleet

PIECE = b"x" * 65536
OK = b"HTTP/1.1 200 OK\r\n"
SEALED = OK + b"Bankrack-Response-Seal: s\r\nBankrack-Request-Id: r-1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
EVENTS = SEALED + b"Content-Type: text/event-stream\r\n" + CHUNKED
MEMORY_MB = 150.0
MAX_GROWTH_MB = 60.0
"""Two fifths of the memory of a VM; the servers are in the same process."""
SLACK_SECONDS = 0.5


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return chunk(b"id: %d\ndata: token%d\n\n" % (number, number))


class EndlessServer:
    """Sends a beginning, then the same piece until its connection is closed.

    :ivar sent: bytes sent on each connection of a request.
    :ivar probe: beginning and piece of answers to control calls; 503 if ``None``.
    """

    def __init__(
        self, begin: bytes, piece: bytes, *, probe: tuple[bytes, bytes] | None = None
    ) -> None:
        self.begin = begin
        self.piece = piece
        self.probe = probe
        self.sent: list[int] = []
        self.ended = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            begin, piece = self.begin, self.piece
            if head.startswith((b"GET /v1/", b"GET /healthz", b"POST /v1/", b"DELETE")):
                if self.probe is None:
                    writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                    writer.close()
                    return
                begin, piece = self.probe
            number = len(self.sent)
            self.sent.append(0)
            try:
                writer.write(begin)
                while True:
                    writer.write(piece)
                    self.sent[number] += len(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                self.ended += 1
                writer.transport.abort()


@contextlib.asynccontextmanager
async def endless(
    service: str, *servers: EndlessServer, memory_mb: float = MEMORY_MB
) -> t.AsyncIterator[tuple[Deployment, str]]:
    """Run a gateway whose service has only the given servers; yields its address."""
    async with running() as deployment:
        fakes = deployment.engines if service == "engines" else deployment.plain
        for fake in fakes:
            deployment.store.remove(f"servers/{fake.id}")
        for number, server in enumerate(servers):
            entry = fakes[0].entry(service, address=await server.start())
            deployment.store.put(f"servers/raw-{number}", entry)
        gateway = await deployment.start_ready_gateway(memory_mb=memory_mb)
        try:
            yield deployment, gateway.settings.front
        finally:
            for server in servers:
                server.stop()


def used_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024 / 1024


@contextlib.asynccontextmanager
async def growth_below(megabytes: float) -> t.AsyncIterator[None]:
    """Check that the memory of this process does not grow by more."""
    before = used_mb()
    peak = before

    async def sample() -> None:
        nonlocal peak
        while True:
            peak = max(peak, used_mb())
            await asyncio.sleep(0.01)

    task = asyncio.create_task(sample())
    try:
        yield
    finally:
        task.cancel()
    grown = peak - before
    if grown > megabytes:
        raise AssertionError(f"{grown:.0f} MB more are in use, not {megabytes:g}")


class Heads(TestCase):
    async def check(self, begin: bytes, piece: bytes) -> ReceivedResponse:
        """A head without end is given up after some bytes, not at the deadline."""
        server = EndlessServer(begin, piece)
        async with endless("plain", server) as (_, front):
            began = boottime()
            response = await call(front, "/bill/x")
            self.assertEqual(502, response.status)
            self.assertLess(boottime() - began, SLACK_SECONDS)
            self.assertLess(max(server.sent), 8 * 1024 * 1024)
        return response

    async def test_endless_line_is_given_up(self):
        await self.check(b"HTTP/1.1 200 ", PIECE)

    async def test_endless_header_is_given_up(self):
        await self.check(OK + b"A: ", PIECE)

    async def test_endless_headers_are_given_up(self):
        await self.check(OK, b"A: b\r\n" * 1000)

    async def test_bytes_that_are_no_answer_are_given_up(self):
        await self.check(b"", PIECE)

    async def test_endless_interim_responses_are_given_up(self):
        """Guards against a caller that waits for its deadline while a server sends."""
        await self.check(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)


class Bodies(TestCase):
    async def check(self, begin: bytes, piece: bytes) -> None:
        server = EndlessServer(begin, piece)
        async with endless("plain", server) as (_, front):
            response = await call(front, "/bill/x")
            self.assertIn(response.status, (502, 504))
            await asyncio.sleep(0.1)
            self.assertEqual(len(server.sent), server.ended)

    async def test_endless_body_without_a_length_is_given_up(self):
        await self.check(SEALED + b"\r\n", PIECE)

    async def test_endless_body_with_a_length_is_given_up(self):
        await self.check(SEALED + b"Content-Length: 99999999999\r\n\r\n", PIECE)

    async def test_endless_chunks_are_given_up(self):
        await self.check(SEALED + CHUNKED, CHUNK)

    async def test_endless_chunk_extension_is_given_up(self):
        await self.check(SEALED + CHUNKED + b"1;", PIECE)

    async def test_bytes_behind_a_promise_leave_it_true(self):
        """Guards against a request that is not run and gets no answer."""
        head = b"HTTP/1.1 503 No\r\nBankrack-Not-Executed: 1\r\n\r\n"
        server = EndlessServer(head, PIECE)
        async with endless("plain", server) as (_, front):
            response = await call(front, "/bill/x")
            self.assertIn(response.status, (502, 503, 504))
            self.assertLess(max(server.sent), 64 * 1024 * 1024)

    async def test_memory_is_bounded_while_all_servers_send_without_end(self):
        """Guards against a process that is killed for its memory, with all requests."""
        servers = [EndlessServer(SEALED + CHUNKED, CHUNK) for _ in range(3)]
        async with endless("plain", *servers) as (_, front):
            await call(front, "/bill/x")
            calls = [call(front, "/bill/x") for _ in range(40)]
            async with growth_below(MAX_GROWTH_MB):
                found = await asyncio.gather(*calls, return_exceptions=True)
        for response in found:
            self.assertIsInstance(response, ReceivedResponse)


class Streams(TestCase):
    async def stream(self, begin: bytes, piece: bytes) -> ReceivedResponse:
        server = EndlessServer(begin, piece)
        async with endless("engines", server) as (_, front):
            async with asyncio.timeout(10.0):
                response = await call(front, "/talk/x")
            await asyncio.sleep(0.1)
            self.assertEqual(len(server.sent), server.ended)
        return response

    async def test_event_without_end_is_no_whole_stream(self):
        response = await self.stream(EVENTS + event(0) + event(1), chunk(PIECE))
        self.assertFalse(response.status == 200 and response.complete)

    async def test_head_without_end_is_given_up(self):
        response = await self.stream(OK + b"A: ", PIECE)
        self.assertNotEqual(200, response.status)


class ControlCalls(TestCase):
    async def test_memory_is_bounded_while_reports_have_no_end(self):
        """Guards against an answer to a control call that is read without a bound."""
        probe = (OK + CHUNKED, CHUNK)
        servers = [EndlessServer(SEALED, b"", probe=probe) for _ in range(3)]
        async with endless("engines", *servers) as (_, front):
            async with growth_below(MAX_GROWTH_MB):
                response = await call(front, "/talk/x")
                await asyncio.sleep(1.0)
            self.assertIn(response.status, (502, 503, 504))
            self.assertIn("Retry-After", response.headers)


class Exclusion(TestCase):
    async def test_server_without_end_is_passed_over(self):
        """Guards against requests that go on to a server that never answers."""
        server = EndlessServer(OK + b"A: ", PIECE)
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            entry = deployment.plain[0].entry("plain", address=await server.start())
            deployment.store.put("servers/raw", entry)
            await until(lambda: all("raw" in g.upstreams.by_id for g in gateways))
            await send_load(gateways, seconds=3.0)
            seen = len(server.sent)
            await send_load(gateways, seconds=1.0)
            server.stop()
            self.assertLess(len(server.sent) - seen, 10)
