"""HTTP server with a timeout for the header section of a request.

aiohttp has no such timeout, so a caller that sends its headers byte by byte, or sends
nothing, could hold a connection open indefinitely.
"""

import asyncio
import logging
import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from bankrack import logs
from bankrack.loadlog import kernel_wait_seconds
from bankrack.serving.routing import CallerLimits

TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

_logger = logging.getLogger(__name__)


class _HeaderTimeoutHandler(RequestHandler):
    """One connection; bounds the time from a header section's first byte to its end.

    A new connection without data is subject to the idle timeout instead.
    """

    __slots__ = ("_header_started", "_limits", "_note_wait", "_timer")

    def __init__(
        self,
        manager: web.Server,
        *,
        limits: t.Callable[[], CallerLimits],
        note_wait: t.Callable[[float], None],
        **options: t.Any,
    ) -> None:
        super().__init__(manager, **options)
        self._limits = limits
        self._note_wait = note_wait
        self._header_started = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._note_wait(kernel_wait_seconds(transport.get_extra_info("socket")))
        self._set_timer(self._limits().idle_seconds)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self._awaits_header():
            self._header_started = False
            self._stop_timer()
        elif not self._header_started:
            self._header_started = True
            self._set_timer(self._limits().header_seconds)

    def _awaits_header(self) -> bool:
        """Return whether no request is served and the next headers are incomplete."""
        if self._request_count == 0:
            return True
        return self._waiter is not None and not self._waiter.done()

    def _set_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if not self._awaits_header():
            return
        logs.event(_logger, "head_timed_out", began=self._header_started)
        if self._header_started and self.transport is not None:
            self.transport.write(TIMEOUT_RESPONSE)
        self.force_close()


class _RefusedConnection(asyncio.Protocol):
    """A connection that is closed before anything is read from it."""

    __slots__ = ()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        t.cast(asyncio.Transport, transport).abort()


class HeaderTimeoutServer(web.Server):
    """Server whose connections enforce the header timeout.

    :param limits: returns the current limits.
    :param admit: decides on each new connection.
    :param note_wait: called with the seconds that a connection waited to be accepted.
    """

    def __init__(
        self,
        handler: t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]],
        *,
        limits: t.Callable[[], CallerLimits],
        admit: t.Callable[[], bool] = lambda: True,
        note_wait: t.Callable[[float], None] = lambda seconds: None,
        **options: t.Any,
    ) -> None:
        super().__init__(handler, **options)
        self._limits = limits
        self._admit = admit
        self._note_wait = note_wait

    # asyncio takes any protocol, whereas the base class promises its own.
    def __call__(self) -> t.Any:
        """Create the protocol of one connection."""
        if not self._admit():
            return _RefusedConnection()
        return _HeaderTimeoutHandler(
            self,
            limits=self._limits,
            note_wait=self._note_wait,
            loop=self._loop,
            **self._kwargs,
        )
