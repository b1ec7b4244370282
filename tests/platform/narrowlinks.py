"""Narrow links of VMs: relays in front of gateways that forward at a bounded rate."""

import asyncio
import contextlib
import dataclasses

from bankrack.clock import boottime
from bankrack.gateway import Gateway
from tests.fakes import free_address

CHUNK_BYTES = 4096
BYTES_PER_MEGABIT = 125_000


class NarrowLink:
    """Relays connections to a gateway's internal address.

    All responses together leave at the link's rate. A link that is ``cut`` forwards
    nothing and stays silent.

    :ivar sent_bytes: forwarded so far.
    """

    def __init__(self, mbps: float) -> None:
        self.address = free_address()
        self.cut = False
        self.sent_bytes = 0
        self._rate = mbps * BYTES_PER_MEGABIT
        self._free_at = 0.0
        self._target = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def announce(self, gateway: Gateway) -> None:
        """Have a gateway announce the link's address as its own."""
        self._target = gateway.settings.inner
        own = dataclasses.replace(gateway.announcer._own, address=self.address)
        gateway.announcer._own = own

    async def open(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._relay, host, int(port))

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, caller: asyncio.StreamReader, reply: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            reader, writer = await asyncio.open_connection(host, int(port))
            both = (self._copy(caller, writer), self._copy(reader, reply, limited=True))
            await asyncio.gather(*both)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        limited: bool = False,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if limited:
                    await self._wait_for_turn(len(chunk))
                while self.cut:
                    await asyncio.sleep(0.1)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()

    async def _wait_for_turn(self, size: int) -> None:
        self._free_at = max(self._free_at, boottime()) + size / self._rate
        self.sent_bytes += size
        await asyncio.sleep(self._free_at - boottime())
