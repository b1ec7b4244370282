"""Kept connections of callers while a gateway stops."""

import asyncio
import typing as t

from bankrack import gateway as gateway_module
from bankrack.clock import boottime
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.rawservers import RawServer
from tests.platform.rawservers import replace_servers
from tests.platform.rawservers import STREAM
from tests.platform.test_slow_callers import END
from tests.platform.test_slow_callers import SlowCaller

NOTICE_SECONDS = 0.4
"""Time for which a stopping gateway keeps idle connections in these tests."""
LOSS_SLACK_SECONDS = 0.2
"""A request that is sent so shortly before the close may cross it unread."""
REQUEST = (
    b"POST /bill/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Request-Id: %s\r\n"
    b"Bankrack-Deadline-Ms: 3000\r\nBankrack-Key: key-1\r\nContent-Length: 2\r\n\r\nhi"
)


class Caller:
    """A caller with one kept connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> "Caller":
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def receive(self) -> str:
        """Return the status of the next response, or how the connection ended."""
        try:
            async with asyncio.timeout(10.0):
                head = await self._reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await self._reader.readexactly(int(line.partition(b":")[2]))
        except ConnectionResetError:
            return "reset"
        except asyncio.IncompleteReadError:
            return "closed"
        return head.split()[1].decode()

    async def request(self, request_id: bytes) -> str:
        if self._reader.at_eof():
            return "closed before use"
        try:
            self.writer.write(REQUEST % request_id)
            await self.writer.drain()
        except ConnectionResetError:
            return "reset"
        return await self.receive()


class KeptConnections(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", NOTICE_SECONDS)

    async def connect(self, deployment: Deployment, count: int) -> t.Any:
        gateway = await deployment.start_ready_gateway()
        front = gateway.settings.front
        return gateway, [await Caller.connect(front) for _ in range(count)]

    async def test_no_request_is_read_and_lost_while_the_store_is_silent(self):
        """Guards against idle connections that stay open while a stopping node waits
        for the store, and whose requests are read and never answered."""
        async with running() as deployment:
            gateway, callers = await self.connect(deployment, 20)
            for caller in callers:
                self.assertEqual("200", await caller.request(b"first"))
            await until(lambda: gateway.announcer._lease is not None)
            deployment.store.unresponsive = True
            stopping = asyncio.create_task(gateway.stop("test"))
            outcomes = []
            for number, caller in enumerate(callers):
                began = boottime()
                outcome = await caller.request(b"kept-%d" % number)
                if boottime() < began + LOSS_SLACK_SECONDS and outcome == "closed":
                    outcome = "crossed the close"
                outcomes.append(outcome)
                await asyncio.sleep(0.06)
            await stopping
        self.assertIn("200", outcomes)
        self.assertIn("closed before use", outcomes)
        self.assertNotIn("closed", outcomes)

    async def test_request_that_is_partly_here_is_answered(self):
        """Guards against a drain that ends while a head or a body is received."""
        async with running() as deployment:
            gateway, callers = await self.connect(deployment, 2)
            whole = REQUEST % b"partly"
            for caller, size in zip(callers, (30, len(whole) - 1), strict=True):
                caller.writer.write(whole[:size])
            await until(lambda: gateway.front.busy_count == 2)
            stopping = asyncio.create_task(gateway.stop("test"))
            await asyncio.sleep(NOTICE_SECONDS + 0.3)
            for caller, size in zip(callers, (30, len(whole) - 1), strict=True):
                caller.writer.write(whole[size:])
            outcomes = [await caller.receive() for caller in callers]
            await stopping
        self.assertEqual(["200", "200"], outcomes)

    async def test_request_behind_the_last_response_is_answered(self):
        """Guards against pipelined requests that were read before the connection was
        closed behind the response to the one in front of them."""
        async with running() as deployment:
            gateway, [caller] = await self.connect(deployment, 1)
            stopping = asyncio.create_task(gateway.stop("test"))
            await asyncio.sleep(0.05)
            caller.writer.write(REQUEST % b"one" + REQUEST % b"two")
            outcomes = [await caller.receive() for _ in range(3)]
            await stopping
        self.assertEqual(["200", "200", "closed"], outcomes)

    async def test_response_to_a_request_before_the_stop_announces_the_close(self):
        """Guards against a connection that a caller keeps, as the request on it began
        before the node stopped."""
        async with running() as deployment:
            gateway, [caller] = await self.connect(deployment, 1)
            for server in deployment.plain:
                server.pause = 0.2
            task = asyncio.create_task(caller.request(b"before"))
            await until(lambda: len(deployment.arrivals()) == 1)
            stopping = asyncio.create_task(gateway.stop("test"))
            self.assertEqual("200", await task)
            self.assertEqual("closed", await caller.receive())
            self.assertFalse(stopping.done())
            await stopping

    async def test_store_that_is_silent_does_not_delay_the_end_beyond_the_grace(self):
        """Guards against a process that is killed as it waits for the store."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway(grace=1.2)
            await until(lambda: gateway.announcer._lease is not None)
            deployment.store.unresponsive = True
            async with asyncio.timeout(1.2):
                await gateway.stop("test")


class Streams(TestCase):
    """Streams that outlast the grace period must not look complete."""

    def setUp(self):
        super().setUp()
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.1)

    async def stop_within(self, version: bytes, *, framed: bool) -> bytes:
        """Stop a node in the midst of a stream; returns all that its caller reads.

        :param framed: the engine sends chunks.
        """
        async with running() as deployment:
            server = RawServer(STREAM)
            server.may_end.clear()
            if not framed:
                await replace_servers(deployment, "engines", server)
            for engine in deployment.engines:
                engine.events, engine.pause = 1000, 0.01
            gateway = await deployment.start_ready_gateway(grace=1.2)
            caller = SlowCaller(gateway.settings.front, version=version)
            caller.request = "r-1"
            await caller.send()
            await until(lambda: gateway.dispatcher.in_flight == 1)
            await asyncio.sleep(0.2)
            await gateway.stop("test")
            async with asyncio.timeout(3.0):
                received = await caller.read()
            server.stop()
            self.assertEqual(version == b"1.0", caller.was_reset)
            return received

    async def test_stop_completes_a_stream_for_a_caller_that_reads_chunks(self):
        for framed in (True, False):
            received = await self.stop_within(b"1.1", framed=framed)
            self.assertIn(b"token3", received)
            self.assertFalse(received.endswith(END), framed)

    async def test_stop_completes_a_stream_for_a_caller_without_chunks(self):
        for framed in (True, False):
            await self.stop_within(b"1.0", framed=framed)


class Failures(TestCase):
    async def test_failure_on_the_way_out_does_not_keep_the_process_running(self):
        """Guards against a process that is killed, with the last lines of its log."""

        async def fail() -> None:
            raise RuntimeError("the tunnels can't be closed")

        async with running() as deployment:
            gateway = await deployment.start_ready_gateway(grace=1.2)
            original = gateway.tunnels.stop
            self.patch(gateway.tunnels, "stop", fail)
            with self.assertLogs("bankrack", "ERROR") as found:
                await gateway.stop("test")
            self.assertTrue(gateway.stopped.is_set())
            await original()
        self.assertIn("event=close_failed", found.output[0])
