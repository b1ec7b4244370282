"""Tells when the machine of a peer ended without closing its connections."""

import asyncio
import socket
import struct

PROBE_AFTER_SECONDS = 5
"""Time without bytes after which the kernel begins to probe a peer."""
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED = 5
"""Segments or probes in a row that a peer does not acknowledge before it is gone; the
kernel sends so many in about 6 s where bytes wait for the peer."""
CHECK_INTERVAL_SECONDS = 0.5
_TCP_INFO = struct.Struct("=2xBB")
"""``tcpi_retransmits`` and ``tcpi_probes`` of Linux' ``struct tcp_info``."""


async def until_gone(connection: socket.socket) -> None:
    """Wait until a peer acknowledges nothing any more.

    One that is there but does not read for long acknowledges the kernel's probes, while
    TCP_USER_TIMEOUT would end its connection.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, seconds in (
        (socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, seconds)
    while _unanswered(connection) < MAX_UNANSWERED:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)


def _unanswered(connection: socket.socket) -> int:
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    return sum(_TCP_INFO.unpack(info))
