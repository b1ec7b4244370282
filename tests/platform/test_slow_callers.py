"""End-to-end tests of callers that read slowly or not at all."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import types
import typing as t

import aiohttp
from aiohttp import web
from soak.gateway.processes import SETTINGS

import serve
from bankrack import gateway as gateway_module
from bankrack.clock import boottime
from bankrack.front import unreadreplies
from bankrack.gateway import Gateway
from bankrack.serving.assignment import MIN_SILENCE_SECONDS
from tests.base import TestCase
from tests.fakes import free_address
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import configuration
from tests.platform.fakes import HOST

SMALL_SOCKET_BYTES = 4096
"""Size of the kernel's buffers, so that unread bytes stay in the gateway."""


class SlowCaller:
    """A caller that reads only on request.

    :ivar was_reset: its connection was reset, not closed.
    """

    _numbers = itertools.count()

    def __init__(
        self, front: str, path: str = "/talk/x", *, version: bytes = b"1.1"
    ) -> None:
        self._front = front
        self._path = path.encode()
        self._version = version
        self.was_reset = False
        self.request = f"slow-{next(self._numbers)}"
        self.longest_pause = 0.0

    async def send(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_SOCKET_BYTES)
        sock.setblocking(False)
        host, _, port = self._front.rpartition(":")
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self._reader, self._writer = await asyncio.open_connection(sock=sock, limit=1)
        self._writer.write(
            b"POST %b HTTP/%b\r\nHost: h.example\r\nBankrack-Key: key-1\r\n"
            b"Bankrack-Request-Id: %b\r\nBankrack-Deadline-Ms: 15000\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            % (self._path, self._version, self.request.encode())
        )

    async def read(self, *, pause: float = 0.0) -> bytes:
        """Read to the end of the connection; returns the chunked body."""
        received, read_at = b"", 0.0
        try:
            while part := await self._reader.read(4096 if pause else 65536):
                await asyncio.sleep(pause)
                now = boottime()
                self.longest_pause = max(self.longest_pause, now - (read_at or now))
                read_at = now
                received += part
        except ConnectionError:
            self.was_reset = True
        self._writer.close()
        return received.partition(b"\r\n\r\n")[2]


@contextlib.asynccontextmanager
async def serving(
    *, memory_mb: float, events: int, pause: float
) -> t.AsyncIterator[tuple[Deployment, Gateway, str]]:
    """Run a gateway before engines whose events have 2 kB."""
    listening = socket.create_server((HOST, 0), backlog=100)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_SOCKET_BYTES)
    listening.setblocking(False)
    async with running() as deployment:
        for engine in deployment.engines:
            engine.events, engine.pause = events, pause
            engine.padding = b"." * 2000
        gateway = await deployment.start_ready_gateway(
            listening=listening, memory_mb=memory_mb
        )
        host, port = listening.getsockname()
        yield deployment, gateway, f"{host}:{port}"


END = b"0\r\n\r\n"
"""End of a chunked body."""


def whole_body(events: int, *, padding: int = 2000) -> bytes:
    """The chunked body of a stream, with its end."""
    pad = b"." * padding
    parts = [b"id: %d\ndata: token%d%b\n\n" % (n, n, pad) for n in range(events)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + END


START = f"""
import os, socket, sys
sys.path.insert(0, "platform")
import earlysocket, serve
serve.EARLY_SOCKET = earlysocket.listen(os.environ[serve.SETTINGS_VARIABLE])
serve.EARLY_SOCKET.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, {SMALL_SOCKET_BYTES})
sys.exit(serve.main())
"""
"""Runs ``platform/serve.py`` with small kernel buffers for its callers."""


class GatewayProcess:
    """A gateway in a process of its own, on a VM of 128 MB."""

    def __init__(self, store: str) -> None:
        self.front, self.inner = free_address(), free_address()
        self._ready = free_address()
        self._settings = SETTINGS.format(
            name="n-1",
            hall="a",
            front=self.front,
            ready=self._ready,
            inner=self.inner,
            store=store,
            grace=8,
            tunnel_port=free_address().rpartition(":")[2],
        )

    async def start(self, test: TestCase) -> None:
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.toml"
        path.write_text(self._settings)
        root = pathlib.Path(__file__).parent.parent.parent
        variables = {serve.SETTINGS_VARIABLE: str(path), "PYTHONPATH": "src"}
        process = subprocess.Popen(
            [sys.executable, "-c", START],
            cwd=root,
            env={**os.environ, **variables},
            stderr=subprocess.DEVNULL,
        )
        test.addCleanup(process.wait)
        test.addCleanup(process.kill)
        self._status = pathlib.Path(f"/proc/{process.pid}/status")
        while await self._get(f"http://{self._ready}/v1/readyz") is None:
            await asyncio.sleep(0.05)

    async def unread_bytes(self) -> int:
        state = await self._get(f"http://{self.inner}/state")
        return json.loads(state or b"{}")["unread_bytes"]

    def peak_mb(self) -> float:
        """Most memory that was resident at once."""
        lines = dict(line.split(":") for line in self._status.read_text().splitlines())
        return int(lines["VmHWM"].split()[0]) / 1024

    async def _get(self, url: str) -> bytes | None:
        with contextlib.suppress(aiohttp.ClientError):
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return await response.read() if response.status == 200 else None
        return None


class SlowCallers(TestCase):
    async def test_caller_that_reads_again_gets_everything(self):
        """The engine has ended long before its caller reads."""
        async with serving(memory_mb=128, events=150, pause=0.002) as found:
            _, gateway, front = found
            caller = SlowCaller(front)
            await caller.send()
            await until(lambda: gateway.held.replies.held > 250_000)
            engines = gateway.upstreams.of("engines")
            await until(lambda: not any(engine.in_flight for engine in engines))
            self.assertEqual(1, gateway.dispatcher.in_flight)
            await asyncio.sleep(2.0)
            self.assertEqual(whole_body(150), await caller.read())
            await until(lambda: not len(gateway.held.replies))
            self.assertEqual(0, gateway.held.replies.held)

    async def test_caller_that_never_reads_is_cut(self):
        logged = []
        logs = types.SimpleNamespace(
            event=lambda _, name, **keys: logged.append((name, keys.get("reason")))
        )
        self.patch(unreadreplies, "logs", logs)
        async with serving(memory_mb=128, events=1000, pause=0.01) as found:
            deployment, gateway, front = found
            caller = SlowCaller(front)
            await caller.send()
            await until(lambda: sum(e.cancelled for e in deployment.engines) == 1)
            self.assertEqual(0, gateway.held.replies.held)
            body = await caller.read()
            self.assertFalse(body.endswith(END))
            self.assertLess(len(body), 100_000)
            self.assertEqual([("caller_slow", None), ("caller_cut", "stalled")], logged)

    async def test_ended_stream_that_is_cut_looks_whole_without_chunks(self):
        """An HTTP/1.0 caller reads on after the node gave up waiting for it."""
        async with serving(memory_mb=128, events=50, pause=0.002) as found:
            _, gateway, front = found
            caller = SlowCaller(front, version=b"1.0")
            await caller.send()
            await until(lambda: gateway.held.replies.held > 80_000)
            await until(lambda: not gateway.dispatcher.in_flight, seconds=9.0)
            await caller.read()
            self.assertTrue(caller.was_reset)

    async def test_caller_without_chunks_that_reads_again_gets_everything(self):
        async with serving(memory_mb=128, events=50, pause=0.002) as found:
            _, gateway, front = found
            caller = SlowCaller(front, version=b"1.0")
            await caller.send()
            await until(lambda: gateway.held.replies.held > 80_000)
            await asyncio.sleep(0.5)
            body = await caller.read()
        events = [
            b"id: %d\ndata: token%d%b\n\n" % (n, n, b"." * 2000) for n in range(50)
        ]
        self.assertEqual((b"".join(events), False), (body, caller.was_reset))

    async def test_engine_waits_for_caller_that_left_an_eighth_of_the_share(self):
        limit = 8 * 1024 * 1024 / 64
        async with serving(memory_mb=8, events=150, pause=0.002) as found:
            _, gateway, front = found
            caller = SlowCaller(front)
            await caller.send()
            await until(lambda: gateway.held.replies.held > limit - 2100)
            await asyncio.sleep(0.5)
            self.assertLess(gateway.held.replies.held, limit + 2100)
            self.assertEqual(whole_body(150), await caller.read())

    async def test_unread_events_are_sent_after_the_last_engine_failed(self):
        async with serving(memory_mb=128, events=150, pause=0.002) as found:
            deployment, gateway, front = found
            for engine in deployment.engines:
                engine.cut_after = 100
            caller = SlowCaller(front)
            await caller.send()
            await until(lambda: gateway.held.replies.held > 100_000)
            await until(lambda: not gateway.dispatcher.in_flight)
            self.assertEqual(whole_body(100).removesuffix(END), await caller.read())

    async def test_planned_stop_waits_for_the_rest_of_an_answer(self):
        """The request has ended, as the rest fits into the connection's buffer."""
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.2)
        async with serving(memory_mb=128, events=1, pause=0.0) as found:
            deployment, gateway, front = found
            body = b"." * 50_000
            for server in deployment.plain:

                async def respond(request: web.BaseRequest, server=server) -> t.Any:
                    return web.Response(body=body, headers=server.sealed(request))

                server.custom_handler = respond
            caller = SlowCaller(front, "/bill/x")
            await caller.send()
            await until(lambda: gateway.held.replies.held > 20_000)
            stopping = asyncio.create_task(gateway.stop("test"))
            await asyncio.sleep(1.0)
            self.assertEqual(0, gateway.dispatcher.in_flight)
            self.assertEqual(body, await caller.read())
            await stopping
            self.assertEqual(0, gateway.held.replies.held)

    async def test_many_callers_that_read_nothing(self):
        """They are cut as the memory fills; a caller beside them notices nothing."""
        async with serving(memory_mb=8, events=120, pause=0.02) as found:
            _, gateway, front = found
            idle = [SlowCaller(front) for _ in range(20)]
            await asyncio.gather(*(caller.send() for caller in idle))
            reading = SlowCaller(front)
            await reading.send()
            task = asyncio.create_task(reading.read())
            most = 0
            while not task.done():
                most = max(most, gateway.held.replies.held)
                await asyncio.sleep(0.01)
            whole = whole_body(120)
            self.assertEqual(whole, await task)
            self.assertLess(reading.longest_pause, MIN_SILENCE_SECONDS / 4)
            self.assertLess(most, 1024 * 1024 + len(idle) * 2100)
            cuts = gateway.metrics.cuts.get({"reason": "memory"})
            self.assertGreater(cuts, 0)
            bodies = await asyncio.gather(*(caller.read() for caller in idle))
            self.assertTrue(all(whole.startswith(body) for body in bodies))
            self.assertEqual(cuts, sum(body != whole for body in bodies))

    async def test_300_callers_that_read_nothing_on_a_vm_of_128_mb(self):
        """Callers that read, also slowly, get everything and notice nothing."""
        config = configuration()
        for route in config["routes"]:
            route["timeoutMs"] = 60_000
        config["services"][1]["engine"].update(slots=200, kvCapacity=10_000_000)
        async with running(configured=False) as deployment:
            deployment.store.put("op/config", config)
            for engine in deployment.engines:
                engine.events, engine.pause = 32, 0.3
                engine.padding = b"." * 8000
            gateway = GatewayProcess(deployment.store.address)
            await gateway.start(self)
            reading = [SlowCaller(gateway.front) for _ in range(3)]
            slow = SlowCaller(gateway.front)
            idle = [SlowCaller(gateway.front) for _ in range(300)]
            for caller in [slow, *reading, *idle]:
                await caller.send()
                await asyncio.sleep(0.003)
            bodies = asyncio.gather(
                slow.read(pause=0.1), *(caller.read() for caller in reading)
            )
            most = 0
            while not bodies.done():
                most = max(most, await gateway.unread_bytes())
                await asyncio.sleep(0.1)
            whole = whole_body(32, padding=8000)
            self.assertEqual([whole] * 4, bodies.result())
            self.assertEqual(300, sum(e.cancelled for e in deployment.engines))
            self.assertLess(most, 16 * 1024 * 1024 + len(idle) * 8100)
            self.assertLess(gateway.peak_mb(), 100.0)
            longest = max(caller.longest_pause for caller in reading)
            self.assertLess(longest, MIN_SILENCE_SECONDS / 2)
