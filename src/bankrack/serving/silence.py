"""Detects engines that stop sending events while their connection stays open."""

import asyncio
import contextlib
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.silentengines import ASK_INTERVAL_SECONDS
from bankrack.decisions.silentengines import EngineAnswer
from bankrack.decisions.silentengines import Move
from bankrack.decisions.silentengines import next_step
from bankrack.decisions.silentengines import TimeLeft
from bankrack.decisions.silentengines import Wait
from bankrack.exceptions import EndedBy
from bankrack.exceptions import UpstreamFailed
from bankrack.serving.client import Exchange
from bankrack.serving.copies import Copy
from bankrack.serving.engineinquiry import Answers
from bankrack.serving.engineinquiry import ASK_SECONDS
from bankrack.serving.engineinquiry import EngineInquiry
from bankrack.serving.engineinquiry import MAX_TIMER_DELAY_SECONDS
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import Upstream

SILENCE_TIMEOUT_SECONDS = 0.6
"""Time without an event after which a stream may be resumed at a copy."""
SILENCE_TIMEOUT_GAPS = 8.0
"""Lower bound of the same timeout in mean event intervals, for slow engines."""

MAX_WAITS = 2
"""Bounds the waits for an event on a node that stands still again and again."""


class EngineSilent(UpstreamFailed):
    """An engine stopped sending events; it may still be running the run.

    :param holders: ids of the engines with a copy that are to be tried.
    """

    ended_by = EndedBy.NODE

    def __init__(self, message: str, holders: t.Collection[str]) -> None:
        super().__init__(message)
        self.holders = holders


class SilenceWatch:
    """Reads the stream of a run that has copies.

    :param max_silence: seconds without an event after which the caller gives up.
    :param time_left: returns the time for the rest of the run.
    """

    __slots__ = (
        "_exchange",
        "_inquiry",
        "_max_silence",
        "_pace",
        "_silent_since",
        "_time_left",
    )

    def __init__(
        self,
        inquiry: EngineInquiry,
        pace: Pace,
        *,
        max_silence: float,
        time_left: t.Callable[[], TimeLeft],
    ) -> None:
        self._inquiry = inquiry
        self._pace = pace
        self._max_silence = max_silence
        self._time_left = time_left
        # Response that is silent, and since when, also while copies rejected the run.
        self._exchange: Exchange | None = None
        self._silent_since = 0.0

    async def read(
        self,
        exchange: Exchange,
        engine: Upstream,
        copies: t.Callable[[], t.Sequence[Copy]],
    ) -> bytes:
        """Read the available bytes; raises :exc:`EngineSilent` to move the run.

        :param copies: returns the copies, which may be replaced during a silence.
        """
        data = await self._read_until_moved(exchange, engine, copies)
        self._exchange = None
        return data

    async def _read_until_moved(
        self,
        exchange: Exchange,
        engine: Upstream,
        copies: t.Callable[[], t.Sequence[Copy]],
    ) -> bytes:
        wait = self._begin(exchange)
        before: EngineAnswer | None = None
        while True:
            data = await _read_unless_silent(exchange, wait)
            if data is not None:
                return data
            found = await self._read_or_ask(exchange, engine, copies())
            if isinstance(found, bytes):
                return found
            silence = boottime() - self._silent_since
            match next_step(
                silence,
                found.engine,
                before,
                max_silence=self._max_silence,
                time_left=self._time_left(),
                holder_answered=bool(found.holders),
                ask_seconds=ASK_SECONDS,
            ):
                case Move():
                    message = f"the engine sent no event for {silence:.2f} s"
                    raise EngineSilent(message, found.holders or found.silent_holders)
                case Wait(seconds):
                    wait, before = seconds, found.engine

    def _begin(self, exchange: Exchange) -> float:
        """Note since when a response is silent; returns the seconds before asking."""
        if exchange is self._exchange:
            return ASK_INTERVAL_SECONDS
        self._exchange, self._silent_since = exchange, boottime()
        timeout = max(
            SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_GAPS * self._pace.event_seconds
        )
        return max(0.0, timeout - ASK_SECONDS)

    async def _read_or_ask(
        self, exchange: Exchange, engine: Upstream, copies: t.Sequence[Copy]
    ) -> bytes | Answers:
        """Ask the engines; returns the bytes that arrive meanwhile, if any do."""
        asking = asyncio.create_task(
            self._inquiry.ask(engine, copies, sent_at=exchange.sent_at)
        )
        try:
            data = await _read_unless_silent(exchange, ASK_SECONDS)
            return await asking if data is None else data
        finally:
            asking.cancel()


async def _read_unless_silent(exchange: Exchange, seconds: float) -> bytes | None:
    """Read the available bytes, or return ``None`` if none arrive in time.

    While this node stands still nothing is read, which is not the engine's silence.
    """
    for _ in range(MAX_WAITS):
        due = boottime() + seconds
        # Bytes that are here already are read even if no time is left.
        for timeout in (seconds, 0.0):
            with contextlib.suppress(TimeoutError):
                return await _read_within(exchange, timeout)
        if boottime() - due <= MAX_TIMER_DELAY_SECONDS:
            break
    return None


async def _read_within(exchange: Exchange, seconds: float) -> bytes:
    async with asyncio.timeout(seconds):
        return await exchange.read_available()
