"""Nodes that fall silent or stop while others depend on them.

In turn most of a hall is paused, while routes are dropped and servers drain, and a node
is stopped on which callers keep connections, while the store is silent.
"""

import asyncio
import dataclasses
import random
import time

from soak.gateway.callers import Call
from soak.gateway.callers import CALL_TIMEOUT_SECONDS
from soak.gateway.callers import Callers
from soak.gateway.callers import CROSS_SECONDS
from soak.gateway.callers import KEY
from soak.gateway.checks import Checker
from soak.gateway.fakes import SoakStore
from soak.gateway.faults import FaultInjector
from soak.gateway.processes import Gateway

PAUSED_SECONDS = (4.0, 8.0)
CHANGE_SECONDS = (0.2, 0.7)
LEAVE_SECONDS = (0.5, 1.5)
STORE_SILENT_AFTER_SECONDS = (0.0, 3.5)
STORE_SILENT_SECONDS = (1.0, 4.5)
KEPT_CONNECTIONS = 30
USE_SECONDS = 6.0
"""Time after SIGTERM over which kept connections are used."""
REQUEST = (
    "POST /bill/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Request-Id: {id}\r\n"
    "Bankrack-Deadline-Ms: 3000\r\nBankrack-Key: {key}\r\nContent-Length: 2\r\n\r\nhi"
)


@dataclasses.dataclass(slots=True)
class KeptConnection:
    """A connection on which a caller got a response and may send another request."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def request(self, call: Call) -> str:
        """Send a request; returns its status or how the connection ended."""
        try:
            self.writer.write(REQUEST.format(id=call.request, key=KEY).encode())
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                call.status = await self._receive(call)
        except asyncio.IncompleteReadError:
            return "closed"
        except OSError:
            # The caller knows that its request was not read.
            call.connected = False
            return "reset"
        finally:
            call.ended = time.monotonic()
        return str(call.status)

    async def _receive(self, call: Call) -> int:
        head = await self.reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                size = int(line.partition(b":")[2])
                call.body = await self.reader.readexactly(size)
        call.complete = True
        return int(head.split()[1])


class Silencing:
    """Silences and stops gateways in series until some time has passed.

    :ivar outcomes: of requests on kept connections, in order.
    """

    def __init__(
        self,
        callers: Callers,
        injector: FaultInjector,
        store: SoakStore,
        checker: Checker,
    ) -> None:
        self.outcomes: list[str] = []
        self._callers = callers
        self._gateways = callers.gateways
        self._injector = injector
        self._store = store
        self._checker = checker

    async def run(self, seed: int, seconds: float) -> None:
        """Run series of pauses and stops beside each other."""
        ends_at = time.monotonic() + seconds
        rng = random.Random(f"silencing {seed}")
        await asyncio.gather(
            self._pause_halls(random.Random(rng.getrandbits(64)), ends_at),
            self._change(random.Random(rng.getrandbits(64)), ends_at),
            self._drain(random.Random(rng.getrandbits(64)), ends_at),
            self.stop_nodes(random.Random(rng.getrandbits(64)), seconds),
        )

    async def _pause_halls(self, rng: random.Random, ends_at: float) -> None:
        """Pause all gateways of a hall but one, again and again."""
        halls = sorted({gateway.hall for gateway in self._gateways})
        while time.monotonic() < ends_at:
            hall = rng.choice(halls)
            nodes = [g for g in self._gateways if g.hall == hall and not g.busy]
            paused = rng.sample(nodes, max(0, len(nodes) - 1))
            self._injector.counts["hall paused"] += 1
            await asyncio.gather(
                *(self._pause(node, rng.uniform(*PAUSED_SECONDS)) for node in paused)
            )
            await asyncio.sleep(rng.uniform(0.5, 2.0))

    async def _pause(self, node: Gateway, seconds: float) -> None:
        await self._injector.run_exclusively(node, lambda: node.freeze(seconds))

    async def _change(self, rng: random.Random, ends_at: float) -> None:
        """Add routes, and drop them later."""
        while time.monotonic() < ends_at:
            await self._injector.change_configuration(rng)
            await asyncio.sleep(rng.uniform(*CHANGE_SECONDS))
            await self._injector.drop_route(rng)
            await asyncio.sleep(rng.uniform(*CHANGE_SECONDS))

    async def _drain(self, rng: random.Random, ends_at: float) -> None:
        leaving = set()
        while time.monotonic() < ends_at:
            self._injector.counts["server drained"] += 1
            details = random.Random(rng.getrandbits(64))
            leaving.add(asyncio.create_task(self._injector.server_leaves(details)))
            await asyncio.sleep(rng.uniform(*LEAVE_SECONDS))
        await asyncio.gather(*leaving)

    async def stop_nodes(self, rng: random.Random, seconds: float) -> None:
        """Stop one node after the other, while callers use connections to it."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(1.0, 3.0))
            node = rng.choice(self._gateways)
            if not node.busy:
                await self._injector.run_exclusively(
                    node, lambda node=node: self._stop(node, rng)
                )

    async def _stop(self, node: Gateway, rng: random.Random) -> None:
        """Stop a node, and use kept connections to it until it has ended."""
        self._injector.counts["kept connections stopped"] += 1
        kept = [await self._connect(node) for _ in range(KEPT_CONNECTIONS)]
        uses = [
            asyncio.create_task(self._use(node, each, rng.uniform(0.1, USE_SECONDS)))
            for each in kept
            if each is not None
        ]
        silence = asyncio.create_task(self._silence_store(rng))
        await self._injector.stop(node)
        await asyncio.gather(silence, *uses)

    async def _connect(self, node: Gateway) -> KeptConnection | None:
        host, _, port = node.front.rpartition(":")
        try:
            kept = KeptConnection(*await asyncio.open_connection(host, int(port)))
        except OSError:
            return None
        found = await kept.request(self._callers.begin("bill", node))
        return kept if found == "200" else None

    async def _use(self, node: Gateway, kept: KeptConnection, seconds: float) -> None:
        """Use a connection some seconds after SIGTERM.

        A close without a reset tells the caller that its request was read, unless the
        close came first.
        """
        await asyncio.sleep(seconds)
        if kept.reader.at_eof():
            self.outcomes.append("closed before use")
            return
        call = self._callers.begin("bill", node)
        found = await kept.request(call)
        kept.writer.transport.abort()
        self.outcomes.append(found)
        if found != "closed":
            return
        call.connected = False
        self._callers.crossing.append(call)
        if call.ended > call.sent + CROSS_SECONDS:
            self._checker.record_violation(
                f"{call.request}: {node.name} closed a kept connection {seconds:.1f} s "
                "after SIGTERM with a request that it had read"
            )

    async def _silence_store(self, rng: random.Random) -> None:
        await asyncio.sleep(rng.uniform(*STORE_SILENT_AFTER_SECONDS))
        began = time.monotonic()
        self._store.unresponsive = True
        await asyncio.sleep(rng.uniform(*STORE_SILENT_SECONDS))
        self._store.unresponsive = False
        self._checker.store_faults.append((began, time.monotonic()))
