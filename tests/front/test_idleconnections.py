"""Idle connections are closed in a way that loses no request."""

import asyncio
import socket

from aiohttp import web

from bankrack.front.headertimeout import HeaderTimeoutServer
from bankrack.front.idleconnections import close_idle_connections
from bankrack.front.idleconnections import stop_runner
from bankrack.front.internalserver import serve_paths
from bankrack.serving.routing import CallerLimits
from tests.base import TestCase
from tests.fakes import free_address

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class CloseIdle(TestCase):
    def setUp(self):
        super().setUp()
        self.limits = CallerLimits(header_seconds=1.0, idle_seconds=0.6)
        self.served = 0

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        self.served += 1
        return web.Response(body=b"whole")

    async def connect(
        self,
    ) -> tuple[HeaderTimeoutServer, asyncio.StreamReader, asyncio.StreamWriter]:
        server = HeaderTimeoutServer(
            self.respond,
            limits=lambda: self.limits,
            keepalive_timeout=self.limits.idle_seconds,
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        port = listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST)
        await reader.readuntil(b"whole")
        return server, reader, writer

    async def test_request_that_crosses_the_close_is_reset_unread(self):
        """Guards against a request that is read behind the close and dropped."""
        server, reader, writer = await self.connect()
        writer.write(REQUEST)
        # The request lies in the kernel's buffer, as the loop has not read it yet.
        self.assertEqual(1, server.close_all_idle())
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        self.assertEqual(1, self.served)

    async def test_connection_with_a_part_of_a_head_stays_open(self):
        """Guards against a close in the midst of a request."""
        server, reader, writer = await self.connect()
        writer.write(REQUEST[:9])
        await asyncio.sleep(0.05)
        self.assertEqual(0, server.close_all_idle())
        writer.write(REQUEST[9:])
        await reader.readuntil(b"whole")
        self.assertEqual(1, server.close_all_idle())

    async def test_connection_accepted_before_the_stop_is_reset_after_it(self):
        """Guards against a connection that is admitted behind the close of all."""
        server, _, _ = await self.connect()
        server.stop()
        caller, accepted = socket.socketpair()
        self.addCleanup(caller.close)
        await asyncio.get_running_loop().connect_accepted_socket(server, accepted)
        await asyncio.sleep(0.05)
        self.assertEqual(0, server.open_count)

    async def test_idle_timeout_does_not_cut_off_a_head(self):
        """Guards against an idle timeout that ends amid the next request's head."""
        _, reader, writer = await self.connect()
        await asyncio.sleep(self.limits.idle_seconds - 0.2)
        writer.write(REQUEST[:9])
        await asyncio.sleep(0.4)
        writer.write(REQUEST[9:])
        async with asyncio.timeout(1.0):
            self.assertIn(b"whole", await reader.readuntil(b"whole"))


class StopRunner(TestCase):
    async def test_crossing_request_between_nodes_is_reset_or_answered(self):
        """Guards against an internal listener that drops what it has read."""

        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=b"whole")

        address = free_address()
        runner = await serve_paths(address, {"/": answer})
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        await reader.readuntil(b"whole")
        writer.write(REQUEST)
        self.assertEqual(1, close_idle_connections(runner.server))
        await stop_runner(runner)
        with self.assertRaises(ConnectionResetError):
            await reader.read()
