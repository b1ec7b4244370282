"""Logs once a second what a node's connections, event loop and link bore.

A node that is ready and takes no new connections may lack descriptors, turn its event
loop slowly, or wait for its link.  One line shows all of them for the same second.
"""

import asyncio
import dataclasses
import logging
import socket
import struct
import typing as t

from bankrack import logs
from bankrack.clock import boottime

INTERVAL_SECONDS = 1.0
TURNS = 8
"""Iterations of the event loop that a new connection passes through, about, until its
request is served."""
TCP_INFO_BYTES = 56
LAST_DATA_RECEIVED = struct.Struct("=52xI")
"""``tcpi_last_data_recv`` of Linux' ``struct tcp_info``, in milliseconds."""

_logger = logging.getLogger(__name__)


def kernel_wait_seconds(connection: socket.socket) -> float:
    """Return the time since a connection was established, or its last bytes arrived.

    For one that was just accepted, this is the time that it waited at least; 0 where
    the kernel does not tell.
    """
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        [milliseconds] = LAST_DATA_RECEIVED.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return float(milliseconds) / 1000


@dataclasses.dataclass(slots=True)
class _Figures:
    """Sums and maxima since the last line.

    :ivar waited: longest time that a connection waited before it was accepted.
    :ivar delay: longest delay of a timer.
    :ivar sent: bytes of responses to other nodes.
    :ivar received: bytes from other nodes and the store.
    :ivar ready_checks: checks of the readiness that were answered.
    """

    accepted: int = 0
    refused: int = 0
    accept_errors: int = 0
    waited: float = 0.0
    delay: float = 0.0
    sent: int = 0
    received: int = 0
    ready_checks: int = 0


class LoadLog:
    """Collects the figures and logs them as ``node_load``.

    :ivar describe: returns further figures of the moment, by name.
    """

    def __init__(self) -> None:
        self._figures = _Figures()
        self.describe: t.Callable[[], dict[str, t.Any]] = dict

    def note_connection(self, outcome: str) -> None:
        """Count a new connection that was ``accepted`` or ``refused``."""
        if outcome == "accepted":
            self._figures.accepted += 1
        else:
            self._figures.refused += 1

    def note_wait(self, seconds: float) -> None:
        """Record how long a new connection waited before it was accepted."""
        self._figures.waited = max(self._figures.waited, seconds)

    def note_accept_error(self) -> bool:
        """Count a failure to accept; returns whether it is the first since the line."""
        self._figures.accept_errors += 1
        return self._figures.accept_errors == 1

    def note_delay(self, seconds: float) -> None:
        """Record the delay of a timer."""
        self._figures.delay = max(self._figures.delay, seconds)

    def note_sent(self, size: int) -> None:
        """Count bytes of a response to another node."""
        self._figures.sent += size

    def note_received(self, size: int) -> None:
        """Count bytes that arrived from another node or the store."""
        self._figures.received += size

    def note_ready_check(self) -> None:
        """Count a check of the readiness."""
        self._figures.ready_checks += 1

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            turns = await _measure_turns()
            figures, self._figures = self._figures, _Figures()
            logs.event(
                _logger,
                "node_load",
                **dataclasses.asdict(figures),
                turns=turns,
                **self.describe(),
            )


async def _measure_turns() -> float:
    """Return the duration of :data:`TURNS` iterations of the event loop."""
    began = boottime()
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return boottime() - began
