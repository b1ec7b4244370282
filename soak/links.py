"""TCP links that can be cut, stalled, delayed or cut one way."""

import asyncio
import contextlib

CHUNK = 65536


class Link:
    """Forwards connections from one address to another."""

    def __init__(self, listen: str, target: str) -> None:
        self.listen = listen
        self.target = target
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._answering = asyncio.Event()
        self._answering.set()
        self.delay = 0.0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stall(self) -> None:
        """Let nothing pass, but keep all connections."""
        self._flowing.clear()

    def stall_answers(self) -> None:
        """Let nothing come back, while everything still goes out."""
        self._answering.clear()

    def heal(self) -> None:
        """Let everything pass again, what was held back first."""
        self.delay = 0.0
        self._flowing.set()
        self._answering.set()

    def end(self) -> None:
        """Refuse connections from now on, and reset those that are open."""
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
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, self._flowing),
                self._pump(far_reader, writer, self._answering),
            )
        except asyncio.CancelledError:
            return  # The soak ends.
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(CHUNK):
                await asyncio.sleep(self.delay)
                await self._flowing.wait()
                await way.wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # One side is gone: the other is to see it at once.
            writer.transport.abort()
