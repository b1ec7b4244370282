"""Logs of gateways that stop while the reader of their output is slow."""

import asyncio
import contextlib
import fcntl
import os
import re
import signal
import time
import typing as t

import aiohttp
from soak.gateway import processes
from soak.gateway.processes import Gateway

from bankrack.gateway import BALANCER_NOTICE_SECONDS
from tests.base import TestCase
from tests.gatewayprocesses import running_gateways

SHORT_GRACE_SECONDS = 2
"""Grace period that ends while requests are held."""
LONG_GRACE_SECONDS = 5
"""Grace period of a process that has nothing to do for its last seconds."""
PIPE_BYTES = 4096
SERVED = 200
HELD = 5
"""Number of requests that no upstream answers."""
IDLE_END_SECONDS = BALANCER_NOTICE_SECONDS + 0.8
"""Time from SIGTERM until the event loop of an idle process has ended."""
READ_INTERVAL_SECONDS = 0.001
CLOSED = (OSError, asyncio.IncompleteReadError)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nBankrack-Response-Seal: s\r\nContent-Length: 5\r\n"
    b"Connection: close\r\n\r\nwhole"
)
HALF_REQUEST = (
    b"POST /look/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Request-Id: half\r\n"
    b"Content-Length: 2\r\n\r\nh"
)


class Reader:
    """Reads the output of a process through a small pipe, only when it is told to."""

    def __init__(self) -> None:
        self._descriptor = -1
        self._content = b""

    def attach(self, gateway: Gateway) -> None:
        """Let a process that is started next write its output here."""
        os.mkfifo(gateway.log)
        self._descriptor = os.open(gateway.log, os.O_RDONLY | os.O_NONBLOCK)
        fcntl.fcntl(self._descriptor, fcntl.F_SETPIPE_SZ, PIPE_BYTES)

    def read(self) -> None:
        """Read what the pipe has."""
        with contextlib.suppress(BlockingIOError):
            while part := os.read(self._descriptor, PIPE_BYTES):
                self._content += part

    async def read_until_end(self, gateway: Gateway) -> None:
        """Read all until the process has ended."""
        while gateway.process.alive:
            self.read()
            await asyncio.sleep(READ_INTERVAL_SECONDS)
        self.read()

    def close(self) -> None:
        os.close(self._descriptor)

    def lines(self, event: str) -> list[str]:
        """Return the lines of an event."""
        lines = self._content.decode().splitlines()
        return [line for line in lines if f"event={event} " in line]

    def requests_ended(self) -> list[str]:
        """Return the ids of the requests whose ends were logged."""
        found = (re.search(r" request=(\S+)", e) for e in self.lines("request_ended"))
        return sorted(each[1] for each in found if each)


class HoldingUpstream:
    """Answers requests, unless their path says that they are to be held.

    :ivar held: request lines of those that it got and holds, or held.
    """

    def __init__(self) -> None:
        self.held: set[bytes] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one request."""
        with contextlib.closing(writer), contextlib.suppress(*CLOSED):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"/look/held" in head:
                self.held.add(head.split(b"\r\n")[0])
                await reader.read()
            else:
                writer.write(RESPONSE)


async def request(session: aiohttp.ClientSession, gateway: Gateway, name: str) -> int:
    """Send one request; returns the status."""
    headers = {
        "Host": "h.example",
        "Bankrack-Request-Id": name,
        "Bankrack-Key": "key-1",
        "Bankrack-Deadline-Ms": "20000",
    }
    url = f"http://{gateway.front}/look/{name}"
    async with session.get(url, headers=headers) as response:
        await response.read()
        return response.status


class UnreadLogs(TestCase):
    def setUp(self):
        super().setUp()
        self.reader = Reader()
        self.addCleanup(self.reader.close)
        self.upstream = HoldingUpstream()
        self.names = [f"served-{n}" for n in range(SERVED)]

    @contextlib.asynccontextmanager
    async def unread_gateway(self, *, grace: int) -> t.AsyncIterator[Gateway]:
        """Start a gateway whose output is not read yet.

        :param grace: its grace period in seconds.
        """
        self.patch(processes, "GRACE_SECONDS", grace)
        async with running_gateways(
            1, self.upstream.serve, prepare=self.reader.attach
        ) as [gateway]:
            self.reader.read()
            yield gateway

    async def serve_and_stop(self, gateway: Gateway) -> float:
        """Serve requests, and stop the process until the last one was answered.

        Returns the monotonic time of SIGTERM.
        """
        async with aiohttp.ClientSession() as session:
            calls = [
                asyncio.create_task(request(session, gateway, name))
                for name in self.names
            ]
            await asyncio.gather(*calls[:SERVED])
            while len(self.upstream.held) < len(calls) - SERVED:
                # A request that no upstream has is refused as the stop begins.
                await asyncio.sleep(0.01)
            stopped_at = time.monotonic()
            gateway.process.signal(signal.SIGTERM)
            await asyncio.gather(*calls)
        return stopped_at

    async def test_lines_that_wait_for_the_reader_are_lost_as_the_process_ends(self):
        self.names += [f"held-{n}" for n in range(HELD)]
        async with self.unread_gateway(grace=SHORT_GRACE_SECONDS) as gateway:
            await self.serve_and_stop(gateway)
            await self.reader.read_until_end(gateway)
        self.assertEqual(sorted(self.names), self.reader.requests_ended())
        [line] = self.reader.lines("stop_ended")
        self.assertIn(f" cut={HELD} ", line)

    async def test_request_whose_body_arrives_as_the_process_ends_is_not_named(self):
        async with self.unread_gateway(grace=SHORT_GRACE_SECONDS) as gateway:
            host, _, port = gateway.front.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                writer.write(HALF_REQUEST)
                await self.serve_and_stop(gateway)
                await self.reader.read_until_end(gateway)
        [line] = self.reader.lines("request_not_read")
        self.assertTrue(line.endswith(" request=half"), line)

    async def test_second_signal_ends_a_process_that_waits_for_the_reader(self):
        """Guards against lines that are lost as an operator signals again."""
        async with self.unread_gateway(grace=LONG_GRACE_SECONDS) as gateway:
            await self.serve_and_stop(gateway)
            await asyncio.sleep(IDLE_END_SECONDS)
            self.assertTrue(gateway.process.alive)
            for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
                gateway.process.signal(number)
            await self.reader.read_until_end(gateway)
            self.assertEqual(0, gateway.process.wait(0.0))
        self.assertEqual(sorted(self.names), self.reader.requests_ended())

    async def test_reader_that_never_reads_holds_the_process_up(self):
        async with self.unread_gateway(grace=LONG_GRACE_SECONDS) as gateway:
            stopped_at = await self.serve_and_stop(gateway)
            limit = stopped_at + LONG_GRACE_SECONDS
            while gateway.process.alive and time.monotonic() < limit:
                await asyncio.sleep(0.01)
            self.assertEqual(0, gateway.process.wait(0.0))
