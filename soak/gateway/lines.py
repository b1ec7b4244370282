"""Connections of callers, possibly behind links with a delay and little bandwidth."""

import asyncio
import contextlib
import dataclasses
import socket
import time

PIECE_BYTES = 1024
"""Most that a slow link forwards at a time."""
RECEIVE_BUFFER_BYTES = 4096
"""Size of the kernel's receive buffer at the end of a slow link."""


@dataclasses.dataclass(slots=True, frozen=True)
class Link:
    """A caller's link.

    :param delay: seconds in each direction.
    :param rate: bytes a second in each direction; 0 for no limit.
    """

    delay: float = 0.0
    rate: float = 0.0

    @property
    def trip(self) -> float:
        """Seconds from the sending of a byte until an answer to it returns."""
        return 2 * self.delay


class Connection:
    """A connection to a gateway, as its caller sees it.

    :param link: it lies behind it.
    :ivar received: what has come over the link.
    """

    def __init__(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._link = link
        self._reader = reader
        self._writer = writer
        self.received = asyncio.StreamReader() if link.rate else reader
        self._sending: list[asyncio.TimerHandle] = []
        self._pump = asyncio.create_task(self._receive()) if link.rate else None

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent, as far as the caller knows."""
        return not self.received.at_eof() and self.received.exception() is None

    async def send(self, data: bytes) -> float:
        """Send data; returns the monotonic time at which its last byte was sent."""
        if not self._link.rate:
            self._writer.write(data)
            return time.monotonic()
        loop = asyncio.get_running_loop()
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            await asyncio.sleep(len(piece) / self._link.rate)
            self._sending.append(
                loop.call_later(self._link.delay, self._writer.write, piece)
            )
        return time.monotonic()

    def close(self) -> None:
        """Close it, along with what is still on the link."""
        for sending in self._sending:
            sending.cancel()
        if self._pump is not None:
            self._pump.cancel()
        self._writer.transport.abort()

    async def _receive(self) -> None:
        """Forward what the gateway sends at the link's rate and with its delay."""
        loop = asyncio.get_running_loop()
        delay = self._link.delay
        try:
            while data := await self._reader.read(PIECE_BYTES):
                await asyncio.sleep(len(data) / self._link.rate)
                loop.call_later(delay, self.received.feed_data, data)
        except OSError as error:
            loop.call_later(delay, self.received.set_exception, error)
        else:
            loop.call_later(delay, self.received.feed_eof)


async def connect(address: str, link: Link) -> Connection | None:
    """Connect to a gateway; returns ``None`` if it does not listen."""
    host, _, port = address.rpartition(":")
    endpoint = socket.socket()
    endpoint.setblocking(False)
    if link.rate:
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await asyncio.sleep(2 * link.delay)
    try:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            await loop.sock_connect(endpoint, (host, int(port)))
        found = await asyncio.open_connection(sock=endpoint, limit=2**16)
    except (OSError, TimeoutError):
        with contextlib.suppress(OSError):
            endpoint.close()
        return None
    return Connection(link, *found)
