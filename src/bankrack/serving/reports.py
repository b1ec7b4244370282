"""Polling of the engines' status reports."""

import asyncio
import logging
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.exceptions import BankrackError
from bankrack.serving.choice import Chooser
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.upstreams import Upstream

REPORT_INTERVAL_SECONDS = 1.0
"""Pause between two polls of an engine; each poll costs as much as a probe."""
IDLE_TIMEOUT_SECONDS = 5.0
"""Time without requests to engines after which polling stops."""
REPORT_TIMEOUT_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class ReportPoller:
    """Polls the engines' status reports.

    :param select: returns the engines of a service that this node polls.
    """

    def __init__(
        self,
        chooser: Chooser,
        control: EngineControl,
        *,
        select: t.Callable[[str], list[Upstream]],
    ) -> None:
        self._chooser = chooser
        self._control = control
        self._services: set[str] = set()
        self._select = select
        self._last_used_at = 0.0

    def follow(self, services: set[str]) -> None:
        """Set the services whose upstreams are engines."""
        self._services = services

    async def run(self) -> None:
        """Poll periodically while engines are in use; runs until cancelled."""
        while True:
            if self.in_use():
                engines = [u for name in self._services for u in self._select(name)]
                await asyncio.gather(*(self._poll(engine) for engine in engines))
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def note_use(self) -> None:
        """Record that this node, or one of its followers, uses engines."""
        self._last_used_at = boottime()

    def in_use(self) -> bool:
        """Whether engines were used recently."""
        return boottime() - self._last_used_at < IDLE_TIMEOUT_SECONDS

    async def _poll(self, engine: Upstream) -> None:
        was_leaving = engine.leaving
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                report = await self._control.report(engine)
        except (BankrackError, TimeoutError) as error:
            self._chooser.suspect(engine)
            logs.event(
                _logger,
                "report_missing",
                upstream=engine.id,
                address=engine.address,
                reason=repr(error),
                last_age=boottime() - engine.report.taken if engine.report else None,
            )
            return
        if not engine.note_report(report):
            logs.event(
                _logger,
                "report_of_another_life",
                upstream=engine.id,
                born=engine.record.born,
                told=report.born,
            )
        if engine.leaving and not was_leaving:
            logs.event(_logger, "upstream_leaving", upstream=engine.id, source="report")
