"""Admission of new connections, as many as the node can serve."""

import asyncio
import logging
import resource
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.connectionrate import next_allowance
from bankrack.decisions.connectionrate import START_ALLOWANCE
from bankrack.decisions.connectionrate import TICK_SECONDS

MAX_DESCRIPTOR_SHARE = 0.5
"""Share of the process's file descriptors for callers' connections; the others are for
upstreams, other nodes and the store."""
LOG_INTERVAL_SECONDS = 1.0

_logger = logging.getLogger(__name__)


class ConnectionGate:
    """Admits new connections at the rate that the node can serve.

    :param count: called with the outcome of each new connection.
    :param open_connections: returns the number of callers' open connections.
    :param max_open: bound of the open connections; half of the descriptors if ``None``.
    """

    def __init__(
        self,
        count: t.Callable[[str], None],
        *,
        open_connections: t.Callable[[], int] = lambda: 0,
        max_open: int | None = None,
    ) -> None:
        self.open_connections = open_connections
        self._count = count
        self._max_open = max_open or _max_open_connections()
        self._allowance = START_ALLOWANCE
        self._accepted = 0
        self._refused = 0
        self._delay = 0.0
        self._logged_at = 0.0

    def admit(self) -> bool:
        """Decide on a new connection; a refused one is to be closed unread."""
        fits = self.open_connections() < self._max_open
        if fits and self._accepted < self._allowance:
            self._accepted += 1
            self._count("accepted")
            return True
        self._refused += 1
        self._count("refused")
        return False

    async def run(self) -> None:
        """Adapt to the delay of the event loop until cancelled."""
        while True:
            began = boottime()
            await asyncio.sleep(TICK_SECONDS)
            now = boottime()
            self.end_period(delay=now - began - TICK_SECONDS)
            self._log(now)

    def end_period(self, *, delay: float) -> None:
        """Begin a new period.

        :param delay: delay of the event loop in the last one, in seconds.
        """
        self._allowance = next_allowance(
            self._allowance, delay=delay, accepted=self._accepted
        )
        self._accepted = 0
        self._delay = max(self._delay, delay)

    def _log(self, now: float) -> None:
        """Log refusals since the last line, and the longest delay."""
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        if self._refused:
            logs.event(
                _logger,
                "connections_refused",
                count=self._refused,
                allowance=self._allowance,
                delay=self._delay,
                open=self.open_connections(),
            )
        self._refused = 0
        self._delay = 0.0
        self._logged_at = now


def _max_open_connections() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return int(MAX_DESCRIPTOR_SHARE * soft)
