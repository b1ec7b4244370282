"""Finds out whether new callers get through to this node."""

import asyncio
import contextlib
import logging

from bankrack import logs
from bankrack.clock import boottime
from bankrack.front.connectiongate import ConnectionGate

RECENT_SECONDS = 1.0
"""Time for which one admitted connection shows that others are admitted as well."""
TIMEOUT_SECONDS = 0.5
"""Time in which a connection of this node's own must be admitted."""

_logger = logging.getLogger(__name__)


class SelfCheck:
    """Checks that the callers' socket is served, by connecting to it if need be.

    :param address: the callers' address, as ``ip:port``.
    :ivar passed: result of the latest check.
    """

    def __init__(self, address: str, gate: ConnectionGate) -> None:
        self._address = address
        self._gate = gate
        self._checking: asyncio.Task[bool] | None = None
        self.passed = True

    async def run(self) -> bool:
        """Return whether a new connection was admitted lately, or is now.

        Concurrent calls share one check.
        """
        if boottime() < self._gate.admitted_at + RECENT_SECONDS:
            self._note(passed=True)
            return True
        if self._checking is None or self._checking.done():
            self._checking = asyncio.create_task(self._connect())
        passed = await asyncio.shield(self._checking)
        self._note(passed=passed)
        return passed

    async def _connect(self) -> bool:
        """Connect as a caller does; returns whether any connection was admitted."""
        began = boottime()
        host, _, port = self._address.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    await self._wait_until_decided(reader, began)
                finally:
                    writer.transport.abort()
        return self._gate.admitted_at >= began

    async def _wait_until_decided(
        self, reader: asyncio.StreamReader, began: float
    ) -> None:
        """Wait until a connection is admitted, or this one is closed unread."""
        closing = asyncio.create_task(reader.read(1))
        try:
            while self._gate.admitted_at < began and not closing.done():
                admitting = asyncio.create_task(self._gate.admission.wait())
                await asyncio.wait(
                    {closing, admitting}, return_when=asyncio.FIRST_COMPLETED
                )
                admitting.cancel()
        finally:
            closing.cancel()
            await asyncio.gather(closing, return_exceptions=True)

    def _note(self, *, passed: bool) -> None:
        """Log a change of the result."""
        if passed == self.passed:
            return
        self.passed = passed
        logs.event(
            _logger,
            "self_check_changed",
            level=logging.INFO if passed else logging.ERROR,
            passed=passed,
            admitted_ago=boottime() - self._gate.admitted_at,
            open=self._gate.open_connections(),
        )
