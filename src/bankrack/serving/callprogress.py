"""How far a call to an upstream has come, as the HTTP client reports it.

A time-out alone does not show its cause: the connection may not have been
established, the upstream may not have answered, or its answer waits to be read here.
"""

import enum
import types
import typing as t

import aiohttp

from bankrack.clock import boottime


class CallPhase(enum.StrEnum):
    """What a call waits for."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    ANSWER = "answer"
    BODY = "body"


class CallProgress:
    """Progress of one call.  Times are boot-time seconds.

    :param on_connected: called when the call has a connection, just before its request
        is written.
    :ivar started_at: start of the call.
    :ivar connected_at: time when it had a connection; ``None`` before.
    :ivar reused: the connection was open before the call.
    :ivar answered_at: time when the head of the answer was read; ``None`` before.
    """

    __slots__ = (
        "answered_at",
        "connected_at",
        "on_connected",
        "reused",
        "started_at",
    )

    def __init__(self, on_connected: t.Callable[[], None] = lambda: None) -> None:
        self.on_connected = on_connected
        self.started_at = boottime()
        self.connected_at: float | None = None
        self.reused = False
        self.answered_at: float | None = None

    @property
    def connecting_seconds(self) -> float | None:
        """Seconds until the call had a connection; ``None`` before."""
        if self.connected_at is None:
            return None
        return self.connected_at - self.started_at

    @property
    def phase(self) -> CallPhase:
        """What the call waits for."""
        if self.connected_at is None:
            return CallPhase.CONNECTING
        return CallPhase.ANSWER if self.answered_at is None else CallPhase.BODY


def trace_progress() -> aiohttp.TraceConfig:
    """Create a trace that records the progress of calls.

    A call is recorded if its request has a :class:`CallProgress` as the context of its
    trace.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connected)
    trace.on_connection_reuseconn.append(_note_reused)
    trace.on_request_end.append(_note_answered)
    return trace


def _progress_of(context: types.SimpleNamespace) -> CallProgress | None:
    return t.cast("CallProgress | None", context.trace_request_ctx)


async def _note_connected(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, _: t.Any
) -> None:
    if (progress := _progress_of(context)) is not None:
        progress.connected_at = boottime()
        progress.on_connected()


async def _note_reused(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, _: t.Any
) -> None:
    if (progress := _progress_of(context)) is not None:
        progress.connected_at = boottime()
        progress.reused = True
        progress.on_connected()


async def _note_answered(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, _: t.Any
) -> None:
    if (progress := _progress_of(context)) is not None:
        progress.answered_at = boottime()
