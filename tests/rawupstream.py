"""An upstream over raw sockets, which tells when it sees the end of a connection."""

import asyncio
import contextlib
import select
import socket
import typing as t

from bankrack.clock import boottime

LARGE = b"x" * 30_000_000
"""More than fits into the kernel's buffers of some connections."""
SMALL_SOCKET_BYTES = 4096
"""Size of an upstream's receive buffer, so that few bytes fill it."""


class RawUpstream:
    """An upstream that reads and sends only on request."""

    def __init__(self) -> None:
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._listening.setblocking(False)
        self._listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_SOCKET_BYTES
        )
        host, port = self._listening.getsockname()
        self.address = f"{host}:{port}"
        self.sock: socket.socket | None = None

    async def accept(self) -> socket.socket:
        self.sock, _ = await asyncio.get_running_loop().sock_accept(self._listening)
        self.sock.setblocking(False)
        return self.sock

    def sees_end(self) -> bool:
        """Whether the kernel knows that the other side closed or reset."""
        poll = select.poll()
        poll.register(t.cast(socket.socket, self.sock), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def seconds_until_end(self, *, limit: float = 2.0) -> float:
        began = boottime()
        while not self.sees_end() and boottime() < began + limit:
            await asyncio.sleep(0.002)
        return boottime() - began

    async def read_rest(self) -> int:
        """Read to the end; returns the number of bytes."""
        loop = asyncio.get_running_loop()
        size = 0
        sock = t.cast(socket.socket, self.sock)
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(2.0):
                while data := await loop.sock_recv(sock, 1 << 20):
                    size += len(data)
        return size

    def close(self) -> None:
        self._listening.close()
        if self.sock is not None:
            self.sock.close()
