"""Gives requests up in a way that their peer learns at once."""

import asyncio
import fcntl
import socket
import struct
import typing as t

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing resets the connection."""
SEND_ON_CLOSE = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which closing sends what was written."""
SIOCOUTQNSD = 0x894B
"""Linux' request for the number of bytes that the kernel has not sent yet."""
_COUNT = struct.Struct("i")


def set_linger(transport: asyncio.BaseTransport | None, value: bytes) -> None:
    """Set how a connection is closed, also if this process ends.

    :param value: :data:`RESET_ON_CLOSE` or :data:`SEND_ON_CLOSE`.
    """
    if transport is not None and not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def give_up(transport: asyncio.WriteTransport) -> None:
    """Close the connection of a request that is not wanted any more.

    The end of a connection travels behind all bytes that were written, which may be
    until the peer reads.  Where bytes are unsent they are dropped, and the connection
    is reset.  Otherwise it is closed, as the kernel repeats a lost close but no reset.
    """
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is not None and _has_unsent(transport, connection):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def _has_unsent(transport: asyncio.WriteTransport, connection: socket.socket) -> bool:
    if transport.get_write_buffer_size():
        return True
    # The socket of a transport that was closed has no descriptor.
    if connection.fileno() < 0:
        return False
    count = fcntl.ioctl(connection.fileno(), SIOCOUTQNSD, bytes(_COUNT.size))
    return t.cast(int, _COUNT.unpack(count)[0]) > 0
