"""Admission of new connections, as many as the node can serve."""

import asyncio
import logging
import math
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.connectionrate import MAX_BURST
from bankrack.decisions.connectionrate import next_rate
from bankrack.decisions.connectionrate import refill
from bankrack.decisions.connectionrate import START_RATE
from bankrack.decisions.connectionrate import TICK_SECONDS
from bankrack.decisions.descriptors import leaves_room
from bankrack.decisions.descriptors import Use
from bankrack.utils import max_open_files

MAX_DESCRIPTOR_SHARE = 0.5
"""Share of the process's file descriptors for callers' connections; the others are for
upstreams, other nodes and the store."""
LOG_INTERVAL_SECONDS = 1.0

_logger = logging.getLogger(__name__)


class ConnectionGate:
    """Admits new connections at the rate that the node can serve.

    :param count: called with the outcome of each new connection.
    :param note_delay: called with the event loop's delay in each period, in seconds.
    :param open_connections: returns the number of callers' open connections.
    :param close_idle: closes the connection that has been idle for longest; returns
        whether there was one.
    :param max_open: bound of the open connections; half of the descriptors if ``None``.
    :param max_descriptors: limit of the process; read from the system if ``None``.
    :ivar admitted_at: time of the latest admission.
    :ivar admission: set, and replaced by a new event, on each admission.
    """

    def __init__(
        self,
        count: t.Callable[[str], None],
        *,
        note_delay: t.Callable[[float], None] = lambda seconds: None,
        open_connections: t.Callable[[], int] = lambda: 0,
        close_idle: t.Callable[[], bool] = lambda: False,
        max_open: int | None = None,
        max_descriptors: int | None = None,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.open_connections = open_connections
        self.close_idle = close_idle
        self.admitted_at = -math.inf
        self.admission = asyncio.Event()
        self._clock = clock
        self._count = count
        self._note_delay = note_delay
        self._max_descriptors = max_descriptors or max_open_files()
        self._max_open = max_open or int(MAX_DESCRIPTOR_SHARE * self._max_descriptors)
        self._rate = START_RATE
        self._allowance = MAX_BURST
        self._accepted = 0
        self._refused = 0
        self._unlogged = 0
        self._delay = 0.0
        self._logged_at = 0.0

    def admit(self, descriptor: int = 0) -> bool:
        """Decide on a new connection; a refused one is to be closed unread.

        An idle connection makes room for a new one: its caller opens another when it
        has a request, whereas a new caller has one now.

        :param descriptor: of the connection's socket.
        """
        if self._allowance >= 1.0 and (self._has_room(descriptor) or self.close_idle()):
            self._allowance -= 1.0
            self._accepted += 1
            self._count("accepted")
            self.admitted_at = self._clock()
            self.admission.set()
            self.admission = asyncio.Event()
            return True
        self._refused += 1
        self._unlogged += 1
        self._count("refused")
        return False

    def _has_room(self, descriptor: int) -> bool:
        if self.open_connections() >= self._max_open:
            return False
        return leaves_room(descriptor, self._max_descriptors, Use.CALLER)

    async def run(self) -> None:
        """Adapt to the delay of the event loop until cancelled."""
        while True:
            due_at = self._clock() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            self.end_period(delay=now - due_at)
            self._note_delay(now - due_at)
            self._log(now)

    def end_period(self, *, delay: float) -> None:
        """Begin a new period.

        :param delay: delay of the event loop in the last one, in seconds.
        """
        seconds = TICK_SECONDS + delay
        self._rate = next_rate(
            self._rate,
            delay=delay,
            seconds=seconds,
            accepted=self._accepted,
            refused=self._refused,
        )
        # Not refilled in between: a late loop would accept more before it adapts.
        self._allowance = refill(
            self._allowance, self._rate, seconds=seconds, refused=self._refused
        )
        self._accepted = 0
        self._refused = 0
        self._delay = max(self._delay, delay)

    def _log(self, now: float) -> None:
        """Log refusals since the last line, and the longest delay."""
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        if self._unlogged:
            logs.event(
                _logger,
                "connections_refused",
                count=self._unlogged,
                rate=self._rate,
                delay=self._delay,
                open=self.open_connections(),
            )
        self._unlogged = 0
        self._delay = 0.0
        self._logged_at = now
