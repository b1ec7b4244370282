"""TCP proxies that can reset, stall or delay connections."""

import asyncio
import contextlib
import time

CHUNK_BYTES = 65536


class Link:
    """Forwards connections from one address to another.

    :param listen: address to listen at.
    :param target: address to forward connections to.
    :ivar delay: seconds by which each chunk of data is delayed.
    :ivar rate: bytes a second that all responses together are sent at; 0 for no limit.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._responding = asyncio.Event()
        self._responding.set()
        self.delay = 0.0
        self.rate = 0.0
        self._free_at = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stall(self) -> None:
        """Hold back all data in both directions; connections stay open."""
        self._flowing.clear()

    def stall_responses(self) -> None:
        """Hold back data from the target; data to it still passes."""
        self._responding.clear()

    def repair(self) -> None:
        """Forward data again without delay, beginning with the data held back."""
        self.delay = 0.0
        self._flowing.set()
        self._responding.set()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        assert self._server is not None
        self._server.close()
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            await self._flowing.wait()
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, self._flowing),
                self._forward(target_reader, writer, self._responding, limited=True),
            )
        except asyncio.CancelledError:
            return  # The soak ends.
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
        *,
        limited: bool = False,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay)
                if limited and self.rate:
                    await self._wait_for_turn(len(data))
                await self._flowing.wait()
                await gate.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # One side closed its connection: close the other at once.
            writer.transport.abort()

    async def _wait_for_turn(self, size: int) -> None:
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self.rate
        await asyncio.sleep(self._free_at - now)
