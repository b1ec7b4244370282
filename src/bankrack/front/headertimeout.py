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
from bankrack.front.idleconnections import awaits_request
from bankrack.front.idleconnections import close_idle_connections
from bankrack.front.recentconnections import RecentConnections
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

    __slots__ = ("_header_started", "_limits", "_recent", "_timer")

    def __init__(
        self,
        manager: web.Server,
        *,
        limits: t.Callable[[], CallerLimits],
        recent: RecentConnections,
        **options: t.Any,
    ) -> None:
        super().__init__(manager, **options)
        self._limits = limits
        self._recent = recent
        self._header_started = False
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._recent.note_active(self)
        self._set_timer(self._limits().idle_seconds)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        self._recent.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._recent.note_active(self)
        super().data_received(data)
        if not awaits_request(self):
            self._header_started = False
            self._stop_timer()
        elif not self._header_started:
            self._header_started = True
            self._set_timer(self._limits().header_seconds)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request is here."""
        return awaits_request(self) and not self._header_started

    def _process_keepalive(self) -> None:
        """Close an idle connection; a head that has begun is subject to its timeout."""
        if self._header_started:
            self._keepalive_handle = None
            return
        super()._process_keepalive()

    def _set_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if not awaits_request(self):
            return
        logs.event(_logger, "head_timed_out", began=self._header_started)
        if self._header_started and self.transport is not None:
            self.transport.write(TIMEOUT_RESPONSE)
        self.force_close()


class _NewConnection(asyncio.Protocol):
    """A connection of which nothing is read until it was admitted.

    :param decide: admits the connection, or closes it.
    """

    __slots__ = ("_decide",)

    def __init__(self, decide: t.Callable[[asyncio.Transport], None]) -> None:
        self._decide = decide

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._decide(t.cast(asyncio.Transport, transport))


class HeaderTimeoutServer(web.Server):
    """Server whose connections enforce the header timeout.

    :param limits: returns the current limits.
    :param admit: decides on each new connection, given its descriptor.
    :param note_wait: called with the seconds that a connection waited to be accepted.
    """

    def __init__(
        self,
        handler: t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]],
        *,
        limits: t.Callable[[], CallerLimits],
        admit: t.Callable[[int], bool] = lambda descriptor: True,
        note_wait: t.Callable[[float], None] = lambda seconds: None,
        **options: t.Any,
    ) -> None:
        super().__init__(handler, **options)
        self._limits = limits
        self._admit = admit
        self._note_wait = note_wait
        self._recent = RecentConnections()
        self._stopped = False

    # asyncio takes any protocol, whereas the base class promises its own.
    def __call__(self) -> t.Any:
        """Create the protocol of one connection."""
        return _NewConnection(self._decide)

    def _decide(self, transport: asyncio.Transport) -> None:
        """Admit a connection, or close it unread."""
        connection = transport.get_extra_info("socket")
        if self._stopped:
            transport.abort()
            return
        if not self._admit(connection.fileno()):
            transport.abort()
            return
        self._note_wait(kernel_wait_seconds(connection))
        handler = _HeaderTimeoutHandler(
            self,
            limits=self._limits,
            recent=self._recent,
            loop=self._loop,
            **self._kwargs,
        )
        transport.set_protocol(handler)
        handler.connection_made(transport)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections on which a request is served or partly here."""
        return sum(not each.is_idle for each in self._connections)  # type: ignore[attr-defined]

    def close_idle(self) -> bool:
        """Close the connection that has been idle for longest, if one is."""
        return self._recent.close_idle()

    def close_all_idle(self) -> int:
        """Close all idle connections, and return their number."""
        return close_idle_connections(self, lambda connection: connection.is_idle)

    def stop(self) -> int:
        """Admit no more connections, and close the idle ones; returns their number.

        The others go on until their requests are answered.
        """
        self._stopped = True
        return self.close_all_idle()
