"""A silent engine that is kept while another engine may still reject its run."""

import asyncio

from bankrack.clock import boottime
from bankrack.metrics import GatewayMetrics
from bankrack.serving.client import Exchange
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream

MAX_OVERLAP_SECONDS = 0.15
"""Time from sending the run to another engine until the silent one is left.  Upstreams
may both work on a run for 0.4 s, which includes the time until they see the close."""


class SilentEngine:
    """The connection of a run to an engine that stopped sending events.

    The engine may only be overloaded, so its connection is kept while copies are asked.
    Once the run was sent to another engine, both may work on it, so the silent engine
    is left after a short time even if there is no answer.  It is left at once if the
    other engine may have begun, and kept if that one rejected the run.

    :ivar left: the connection was closed.
    """

    __slots__ = ("_log", "_metrics", "_sent_at", "_timer", "engine", "exchange", "left")

    def __init__(
        self, engine: Upstream, exchange: Exchange, log: RunLog, metrics: GatewayMetrics
    ) -> None:
        self.engine = engine
        self.exchange = exchange
        self.left = False
        self._log = log
        self._metrics = metrics
        self._sent_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def note_sent(self) -> None:
        """Bound the time that is left, as the run is being sent to another engine."""
        if self.left:
            return
        self._sent_at = boottime()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            MAX_OVERLAP_SECONDS, self.leave, "the other engine has not answered"
        )

    def keep(self) -> None:
        """Lift the bound, as the other engine does not have the run."""
        self._sent_at = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def leave(self, reason: str) -> None:
        """Close the connection, which makes the engine stop the run."""
        if self.left:
            return
        self.left = True
        self.exchange.close()
        self.engine.in_flight -= 1
        overlap = None if self._sent_at is None else boottime() - self._sent_at
        self.keep()
        if overlap is not None:
            self._metrics.overlap.observe({}, overlap)
        self._log.write("engine_left", self.engine, reason, overlap=overlap)
