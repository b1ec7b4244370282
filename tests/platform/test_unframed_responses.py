"""Responses with neither a length nor chunks, which end with their connection."""

import asyncio
import contextlib
import socket
import struct
import typing as t

from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.fakes import call
from tests.platform.fakes import HOST
from tests.platform.fakes import ReceivedResponse

EVENTS = [b"id: %d\ndata: token%d\n\n" % (number, number) for number in range(4)]
STREAM = b"".join(EVENTS)
RESET_LINGER = struct.pack("ii", 1, 0)


class RawServer:
    """A server that sends given bytes and ends the connection.

    :param bodies: sent behind a head without any framing, one for each request.
    :param resets: the connection is reset instead of closed.
    :param crashes: the listener is closed before the connection.
    """

    def __init__(
        self,
        *bodies: bytes,
        status: str = "200 OK",
        resets: bool = False,
        crashes: bool = False,
    ) -> None:
        self.requests: list[bytes] = []
        self.bodies = list(bodies)
        self._status = status
        self._resets = resets
        self._crashes = crashes
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{HOST}:{port}"

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith((b"GET /v1/", b"GET /healthz", b"POST /v1/", b"DELETE")):
                writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                writer.close()
                return
            self.requests.append(head)
            body = self.bodies.pop(0)
            writer.write(
                f"HTTP/1.1 {self._status}\r\nBankrack-Response-Seal: s\r\n"
                "Bankrack-Request-Id: r-1\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            if self._crashes:
                self.stop()
            if self._resets:
                raw = t.cast(socket.socket, writer.get_extra_info("socket"))
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
                writer.transport.abort()
            else:
                writer.close()


async def replace_servers(
    deployment: Deployment, service: str, *servers: RawServer
) -> None:
    """Let raw servers take the place of a service's servers."""
    fakes = deployment.engines if service == "engines" else deployment.plain
    for fake in fakes:
        deployment.store.remove(f"servers/{fake.id}")
    for number, server in enumerate(servers):
        entry = fakes[0].entry(service, address=await server.start())
        deployment.store.put(f"servers/raw-{number}", entry)


async def ask(
    service: str, path: str, *servers: RawServer, method: str = "POST"
) -> ReceivedResponse:
    """Send one request to a node that knows only the given servers of a service."""
    async with running() as deployment:
        await replace_servers(deployment, service, *servers)
        gateway = await deployment.start_ready_gateway()
        body = None if method == "HEAD" else b"question"
        response = await call(gateway.settings.front, path, method=method, body=body)
        for server in servers:
            server.stop()
        return response


class PlainResponses(TestCase):
    async def test_body_ends_with_the_connection(self):
        response = await ask("plain", "/bill/x", RawServer(b"whole"))
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual(b"whole", response.body)

    async def test_empty_body_is_complete(self):
        response = await ask("plain", "/bill/x", RawServer(b""))
        self.assertEqual((200, True, b""), _read(response))

    async def test_reset_connection_leaves_no_whole_response(self):
        response = await ask("plain", "/bill/x", RawServer(b"part", resets=True))
        self.assertEqual(502, response.status)

    async def test_crash_behind_the_body_leaves_no_whole_response(self):
        """A process that ends closes its connections as if the body were complete."""
        response = await ask("plain", "/bill/x", RawServer(b"part", crashes=True))
        self.assertEqual(502, response.status)

    async def test_responses_without_a_body_are_complete(self):
        response = await ask("plain", "/look/x", RawServer(b""), method="HEAD")
        self.assertEqual((200, True, b""), _read(response))
        server = RawServer(b"", status="204 No Content")
        response = await ask("plain", "/bill/x", server)
        self.assertEqual((204, True, b""), _read(response))

    async def test_refused_head_request_gets_no_body(self):
        """The caller would take the body for the start of the next response."""
        server = RawServer(b"", resets=True)
        async with running() as deployment:
            await replace_servers(deployment, "plain", server)
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"HEAD /nowhere/x HTTP/1.1\r\nHost: h.example\r\n"
                b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n"
                b"Bankrack-Key: key-1\r\nConnection: close\r\n\r\n"
            )
            received = await reader.read()
            writer.close()
            server.stop()
        self.assertTrue(received.startswith(b"HTTP/1.1 404"), received)
        self.assertTrue(received.endswith(b"\r\n\r\n"), received)


class Streams(TestCase):
    async def test_stream_ends_with_the_connection(self):
        response = await ask("engines", "/talk/x", RawServer(STREAM))
        self.assertEqual((200, True, STREAM), _read(response))

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        response = await ask("engines", "/talk/x", RawServer(STREAM + b"id: 4\nda"))
        self.assertEqual((200, False, STREAM), _read(response))

    async def test_stream_that_is_reset_behind_an_event_is_broken_off(self):
        response = await ask("engines", "/talk/x", RawServer(STREAM, resets=True))
        self.assertEqual((200, False), (response.status, response.complete))

    async def test_stream_of_an_engine_that_crashes_behind_an_event_is_broken_off(self):
        """A process that ends closes its connections as if the stream were complete."""
        response = await ask("engines", "/talk/x", RawServer(STREAM, crashes=True))
        self.assertEqual((200, False, STREAM), _read(response))

    async def test_stream_goes_on_behind_the_last_whole_event(self):
        """Whichever of the engines is chosen first breaks off; the other goes on."""
        start = EVENTS[0] + EVENTS[1] + b"id: 2\ndat"
        servers = [RawServer(start), RawServer(start)]
        bodies = servers[0].bodies = servers[1].bodies
        bodies.append(EVENTS[2] + EVENTS[3])
        response = await ask("engines", "/note/x", *servers)
        self.assertEqual((200, True, STREAM), _read(response))
        requests = [request for server in servers for request in server.requests]
        self.assertEqual(2, len(requests))
        self.assertTrue(any(b"last-event-id: 1" in r.lower() for r in requests))


def _read(response: ReceivedResponse) -> tuple[int, bool, bytes]:
    return response.status, response.complete, response.body
