"""Tests of the forwarding of plain requests."""

import asyncio
import contextlib
import typing as t

from aiohttp import web

from bankrack.standins.plain import PlainStandIn
from tests.base import TestCase
from tests.control.test_claims import new_key
from tests.fakes import free_address
from tests.fakes import testbed
from tests.fakes import TOKENS


async def run_and_break_off(
    service: PlainStandIn, request: web.Request
) -> web.StreamResponse:
    """Count a run, then close the connection without a response."""
    await request.read()
    service.runs += 1
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class TestIdempotencyKeys(TestCase):
    """A request with an idempotency key runs at most once with any method.

    Guards against the HTTP library's own retries of GET, PUT and DELETE requests.
    """

    async def test_request_with_key_is_not_retried_after_closed_connection(self):
        self.patch(PlainStandIn, "_echo", run_and_break_off)
        for method in ("GET", "PUT", "DELETE", "POST"):
            async with testbed(engines=0, plain=1) as b:
                address = b.nodes[0].settings.callers
                headers = {
                    "Authorization": f"Bearer {TOKENS['north']}",
                    "Idempotency-Key": new_key(),
                }
                url = f"http://{address}/services/fonts/x"
                async with b.session.request(method, url, headers=headers) as response:
                    self.assertEqual(502, response.status)
                self.assertEqual(1, b.plain[0].runs, method)


async def answer_raw(address: str, response: bytes) -> asyncio.Server:
    """Listen at an address; send these bytes for a request, then close."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.close()

    return await asyncio.start_server(serve, *address.split(":"))


class Received(t.NamedTuple):
    """Bytes up to the end of a caller's connection, and whether it was a reset.

    :param metrics: the node's page of metrics.
    """

    data: bytes
    reset: bool
    metrics: str


async def ask_raw(response: bytes, *, version: str = "1.1") -> Received:
    """Send a plain request to a node whose upstream answers with these bytes."""
    async with testbed(engines=0) as b:
        address = free_address()
        b.plain_addresses.append(address)
        await b.confirm()
        async with await answer_raw(address, response):
            callers = b.nodes[0].settings.callers
            reader, writer = await asyncio.open_connection(*callers.split(":"))
            writer.write(
                f"GET /services/fonts/x HTTP/{version}\r\nHost: {callers}\r\n"
                f"Authorization: Bearer {TOKENS['north']}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            data = b""
            reset = False
            try:
                while part := await asyncio.wait_for(reader.read(1 << 16), 5.0):
                    data += part
            except ConnectionResetError:
                reset = True
            writer.close()
            with contextlib.suppress(ConnectionResetError):
                await writer.wait_closed()
            page, _ = b.nodes[0].metrics.page(())
            return Received(data, reset, page.decode())


class TestResponseEnds(TestCase):
    """A response ends as complete only if something proves that it is."""

    async def test_end_of_a_connection_does_not_complete_a_response(self):
        # The system closes the connections of a process that ends.
        for header in ("", "Transfer-Encoding: identity\r\n"):
            response = f"HTTP/1.1 200 OK\r\n{header}\r\npart".encode()
            received = await ask_raw(response)
            self.assertFalse(received.data.endswith(b"0\r\n\r\n"), received)

    async def test_framed_response_is_complete(self):
        for header, body, version in (
            ("Content-Length: 4", "part", "1.1"),
            ("Transfer-Encoding: chunked", "4\r\npart\r\n0\r\n\r\n", "1.1"),
            ("Transfer-Encoding: chunked", "4\r\npart\r\n0\r\n\r\n", "1.0"),
        ):
            response = f"HTTP/1.1 200 OK\r\n{header}\r\n\r\n{body}".encode()
            received = await ask_raw(response, version=version)
            sent = body if version == "1.1" else "part"
            self.assertTrue(received.data.endswith(f"\r\n{sent}".encode()), received)
            self.assertFalse(received.reset, received)

    async def test_caller_without_chunks_sees_that_a_response_broke_off(self):
        response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        received = await ask_raw(response, version="1.0")
        self.assertTrue(received.reset, received)

    async def test_response_that_broke_off_is_not_counted_as_ok(self):
        for header in ("Content-Length: 9\r\n", "Transfer-Encoding: identity\r\n"):
            response = f"HTTP/1.1 200 OK\r\n{header}\r\npart".encode()
            received = await ask_raw(response)
            self.assertNotIn('code="ok"', received.metrics)
            self.assertIn('code="upstream_failed"', received.metrics)

    async def test_damaged_response_is_not_filled_up_with_an_error(self):
        # A status line behind a part of the body would be taken for its rest.
        for response in (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\nzz\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\npart",
        ):
            received = await ask_raw(response)
            self.assertNotIn(b"HTTP/1.1 500", received.data)
            self.assertNotIn(b"0\r\n\r\n", received.data)
