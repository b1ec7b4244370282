"""Detects engines that stop sending events while their connection stays open."""

import asyncio

from bankrack.exceptions import UpstreamFailed
from bankrack.serving.client import Exchange
from bankrack.serving.pace import Pace

SILENCE_TIMEOUT_SECONDS = 0.6
"""Time without an event after which a stream is resumed at a copy."""
SILENCE_TIMEOUT_GAPS = 8.0
"""Lower bound of the same timeout in mean event intervals, for slow engines."""


class EngineSilent(UpstreamFailed):
    """An engine stopped sending events; it may still be running the run."""


async def read_unless_silent(exchange: Exchange, pace: Pace) -> bytes:
    """Read the available bytes of a stream; raises :exc:`EngineSilent`."""
    silence_timeout = max(
        SILENCE_TIMEOUT_SECONDS, SILENCE_TIMEOUT_GAPS * pace.event_seconds
    )
    try:
        async with asyncio.timeout(silence_timeout):
            return await exchange.read_available()
    except TimeoutError as error:
        raise EngineSilent(
            f"the engine sent no event for {silence_timeout:.2f} s"
        ) from error
