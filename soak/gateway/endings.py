"""Responses that only the ends of their connections end, and ends of processes."""

import asyncio
import contextlib
import socket
import typing as t

from aiohttp import web

from bankrack.serving.giveup import RESET_ON_CLOSE
from bankrack.serving.giveup import SEND_ON_CLOSE
from soak.links import Link


class UnframedResponse(web.StreamResponse):
    """A response with neither a length nor chunks."""

    async def _prepare_headers(self) -> None:
        self.force_close()
        await super()._prepare_headers()
        del self.headers["Transfer-Encoding"]
        assert self._payload_writer is not None
        self._payload_writer.chunked = False  # type: ignore[attr-defined]


class _ResettingWriter:
    """A writer whose connection is reset unless it is closed.

    A clean end of the connection would look like the end of the response.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._set_linger(RESET_ON_CLOSE)

    def __getattr__(self, name: str) -> t.Any:
        return getattr(self._writer, name)

    def close(self) -> None:
        """Close the connection without a reset."""
        self._set_linger(SEND_ON_CLOSE)
        self._writer.close()

    def _set_linger(self, how: bytes) -> None:
        with contextlib.suppress(OSError):
            found: socket.socket = self._writer.get_extra_info("socket")
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, how)


class Port(Link):
    """The port of a server's process, which can end; its faults reset connections."""

    def end(self) -> None:
        """Close the listener and all connections, as the system does for a process."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def fall_silent(self) -> list[socket.socket]:
        """Listen with a full queue once it has ended; returns the sockets to close."""
        host, _, port = self.listen.rpartition(":")
        address = host, int(port)
        sockets = [socket.create_server(address, backlog=0)]
        for _ in range(2):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(address)
            sockets.append(waiting)
        return sockets

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        resetting = t.cast(asyncio.StreamWriter, _ResettingWriter(writer))
        await super()._serve(reader, resetting)
