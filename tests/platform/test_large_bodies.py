"""End-to-end tests of large request bodies by many callers."""

import asyncio
import collections
import contextlib
import socket
import typing as t

from aiohttp import web
from soak.gateway.lag import LagMonitor

from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import HOST

BODY = b"x" * 4_000_000


@contextlib.asynccontextmanager
async def serving(
    *, memory_mb: float, timeout_ms: int = 2000
) -> t.AsyncIterator[tuple[Deployment, Gateway]]:
    """Run a gateway whose configuration allows bodies of 4 MB."""
    limits = {"maxHeaderBytes": 8000, "maxBodyBytes": 4_194_304}
    config = configuration(2, limits=limits)
    for route in config["routes"]:
        route["timeoutMs"] = route["targetLatencyMs"] = timeout_ms
    async with running() as deployment:
        gateway = await deployment.start_ready_gateway(memory_mb=memory_mb)
        deployment.store.put("op/config", config)
        await until(lambda: gateway.view.table.version == 2)
        yield deployment, gateway


class LargeBodies(TestCase):
    async def test_bodies_beyond_the_memory_are_refused_at_once(self):
        async with serving(memory_mb=128) as (deployment, gateway):
            front = gateway.settings.front
            large = [call(front, "/bill/x", body=BODY) for _ in range(20)]
            task = asyncio.gather(*large)
            while not task.done():
                self.assertLessEqual(gateway.held.bodies.held, 16 * 1024 * 1024)
                await asyncio.sleep(0.001)
            statuses = collections.Counter(r.status for r in task.result())
            self.assertEqual({200, 503}, set(statuses))
            self.assertEqual(statuses[200], len(deployment.arrivals()))
            retry_after = {r.headers.get("Retry-After") for r in task.result()}
            self.assertEqual({None, "0.75"}, retry_after)
            self.assertEqual(0, gateway.held.bodies.held)

    async def send_chunk(
        self, gateway: Gateway
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a body of 1 MB and more, whose end does not come."""
        host, _, port = gateway.settings.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /bill/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Key: key-1\r\n"
            b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n100000\r\n" + b"x" * 1024 * 1024
        )
        return reader, writer

    async def test_refusal_reaches_caller_that_reads_it_after_sending(self):
        """One that waits for the interim response sends nothing and is closed."""
        head = (
            b"POST /bill/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Key: key-1\r\n"
            b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n"
            b"Content-Length: 4000000\r\nConnection: close\r\n"
        )
        async with serving(memory_mb=128) as (_, gateway):
            gateway.held.bodies.reservation().extend(16 * 1024 * 1024)
            host, _, port = gateway.settings.front.rpartition(":")
            for sent in b"\r\n" + BODY, b"Expect: 100-continue\r\n\r\n":
                reader, writer = await asyncio.open_connection(host, int(port))
                with contextlib.closing(writer):
                    writer.write(head + sent)
                    await writer.drain()
                    await asyncio.sleep(0.2)
                    self.assertIn(b" 503 ", await reader.readline())
                    async with asyncio.timeout(2.0):
                        await reader.read()

    async def test_refused_chunked_body_is_dropped_at_once(self):
        """The rest of it is skipped for some seconds."""
        async with serving(memory_mb=128) as (_, gateway):
            others = gateway.held.bodies.reservation()
            others.extend(16 * 1024 * 1024 - 500_000)
            reader, writer = await self.send_chunk(gateway)
            with contextlib.closing(writer):
                self.assertIn(b" 503 ", await reader.readline())
                self.assertEqual(others.size, gateway.held.bodies.held)

    async def test_chunked_body_counts_as_it_arrives(self):
        async with serving(memory_mb=128) as (_, gateway):
            _, writer = await self.send_chunk(gateway)
            with contextlib.closing(writer):
                await until(lambda: gateway.held.bodies.held == 1024 * 1024)
            await until(lambda: not gateway.held.bodies.held)

    async def test_large_bodies_go_to_an_upstream_one_after_the_other(self):
        async with serving(memory_mb=512, timeout_ms=40_000) as (deployment, gateway):
            now, most = collections.Counter(), collections.Counter()

            for server in deployment.plain:

                async def respond(
                    request: web.BaseRequest, respond=server.respond
                ) -> t.Any:
                    assert request.transport is not None
                    address = request.transport.get_extra_info("sockname")
                    kind = (address, request.content_length)
                    now[kind] += 1
                    most[kind] = max(most[kind], now[kind])
                    await asyncio.sleep(0.3)
                    response = await respond(request)
                    now[kind] -= 1
                    return response

                server.respond = respond
            monitor = LagMonitor()
            asyncio.create_task(monitor.watch())
            patient = {"Bankrack-Deadline-Ms": "40000"}
            bodies = [BODY] * 3 + [b"small"] * 20
            front = gateway.settings.front
            responses = await asyncio.gather(
                *(call(front, "/bill/x", body=b, headers=patient) for b in bodies)
            )
            statuses = {response.status for response in responses}
            self.assertEqual({200}, statuses, str(monitor))
            for (_, size), count in most.items():
                self.assertEqual(size == len(BODY), count == 1)

    async def test_unsent_body_is_dropped_at_the_deadline(self):
        """An upstream that does not read gets no more than the kernel had taken."""
        async with serving(memory_mb=128) as (deployment, gateway):
            listener = socket.create_server((HOST, 0))
            self.addCleanup(listener.close)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            address = f"{HOST}:{listener.getsockname()[1]}"
            for server in deployment.plain:
                deployment.store.remove(f"servers/{server.id}")
            entry = deployment.plain[0].entry("plain", address=address)
            deployment.store.put("servers/p-3", entry)
            available = gateway.upstreams.available_of
            await until(lambda: [u.id for u in available("plain")] == ["p-3"])
            response = await call(gateway.settings.front, "/bill/x", body=BODY)
            self.assertEqual(504, response.status)
            connection, _ = listener.accept()
            connection.settimeout(5.0)
            received = 0
            with contextlib.suppress(ConnectionResetError), connection:
                while part := await asyncio.to_thread(connection.recv, 1 << 20):
                    received += len(part)
            self.assertLess(received, len(BODY))

    async def test_unsent_body_is_dropped_if_its_response_is_given_up(self):
        """An upstream that answers while it reads learns that the request ended."""
        async with serving(memory_mb=128) as (deployment, gateway):
            listener = socket.create_server((HOST, 0))
            self.addCleanup(listener.close)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            address = f"{HOST}:{listener.getsockname()[1]}"
            for server in deployment.plain:
                deployment.store.remove(f"servers/{server.id}")
            entry = deployment.plain[0].entry("plain", address=address)
            deployment.store.put("servers/p-3", entry)
            available = gateway.upstreams.available_of
            await until(lambda: [u.id for u in available("plain")] == ["p-3"])
            calling = asyncio.create_task(
                call(gateway.settings.front, "/bill/x", body=BODY)
            )
            connection, _ = await asyncio.to_thread(listener.accept)
            with connection:
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nBankrack-Response-Seal: s\r\n"
                    b"Bankrack-Request-Id: r-1\r\nContent-Length: 9\r\n\r\nhalf"
                )
                self.assertEqual(504, (await calling).status)
                connection.settimeout(5.0)
                received = 0
                with contextlib.suppress(ConnectionResetError):
                    while part := await asyncio.to_thread(connection.recv, 1 << 20):
                        received += len(part)
            self.assertLess(received, len(BODY))
