"""HTTP client sessions, and the protocol handler of their connections."""

import asyncio
import functools
import typing as t

import aiohttp

from bankrack.clock import boottime
from bankrack.serving.callprogress import trace_progress
from bankrack.serving.giveup import give_up
from bankrack.serving.paths import create_socket
from bankrack.serving.paths import UpstreamConnector
from bankrack.serving.paths import UpstreamHandler
from bankrack.serving.paths import UpstreamPaths
from bankrack.serving.responseheads import FirstFieldCheck
from bankrack.serving.responseheads import malformation

MAX_HEADER_BYTES = 16 * 1024
READ_BUFFER_BYTES = 64 * 1024
SURPLUS_SECONDS = 0.1
"""Time for which the connection of an answered call stays open for surplus answers."""
MAX_INTERIM_RESPONSES = 16
"""Responses with a status of 1xx before the one that answers a request."""


class ResetAwareHandler(UpstreamHandler):
    """Protocol handler that fails a response without length if its connection is reset.

    aiohttp itself treats any end of the connection as the end of such a response.  It
    also keeps the unsent rest of a request whose connection was closed, until the
    upstream reads it; here the rest is dropped unless the whole response has arrived.
    A connection on which interim responses don't end is closed.

    :ivar unread_seconds: longest time for which arriving bytes were not read.
    """

    _first_field: FirstFieldCheck | None = None
    _interim_count = 0
    _paused_at: float | None = None
    unread_seconds = 0.0

    def pause_reading(self) -> None:
        """Stop reading, and note since when."""
        super().pause_reading()
        if self._paused_at is None:
            self._paused_at = boottime()

    def resume_reading(self, *args: t.Any, **more: t.Any) -> None:
        """Read on, and note how long nothing was read."""
        super().resume_reading(*args, **more)
        if self._paused_at is not None:
            paused = boottime() - self._paused_at
            self.unread_seconds = max(self.unread_seconds, paused)
            self._paused_at = None

    def set_response_params(self, **params: t.Any) -> None:
        """Expect the response to one more request."""
        self._first_field = FirstFieldCheck()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response."""
        if self._first_field is not None and self._first_field.finds_blank(data):
            self._fail("a blank before the first field")
            return
        super().data_received(data)

    def feed_data(self, data: t.Any, size: int = 0) -> None:
        """Take the head of a response with the stream of its body.

        What is no response's head ends the connection, as the request may have run.
        """
        message, _ = data
        fault = malformation(message.code, message.reason or "", message.raw_headers)
        is_interim = 100 <= message.code < 200
        self._interim_count = self._interim_count + 1 if is_interim else 0
        if self._interim_count > MAX_INTERIM_RESPONSES:
            fault = "too many interim responses"
        if fault:
            self._fail(fault)
        elif self.exception() is None:
            super().feed_data(data, size)

    def _fail(self, fault: str) -> None:
        # Aborting forgets an exception that was set before.
        self.abort()
        self.set_exception(aiohttp.ClientPayloadError(f"no response: {fault}"))

    def close(self) -> None:
        """Close the connection; a request that is not answered is given up."""
        is_answered = self._payload is not None and self._payload.is_eof()
        if self.transport is not None and not is_answered:
            give_up(self.transport)
        super().close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a body that a reset cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)


class SurplusHandler(ResetAwareHandler):
    """The same, and reports bytes that arrive behind the whole response.

    The connection stays open for a moment after the response, unless the upstream
    closes it, but is not used again.

    :param note_surplus: called with the upstream's address and the number of bytes.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        note_surplus: t.Callable[[str, int], None],
    ) -> None:
        super().__init__(loop)
        self._note_surplus = note_surplus
        self._closing: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Close the connection, after a moment if the response is whole."""
        payload = self._payload
        if self._closing is not None or payload is None or not payload.is_eof():
            super().close()
            return
        self._closing = self._loop.call_later(SURPLUS_SECONDS, self._end)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the response, or report those behind it.

        :param data: empty where aiohttp reads on after a pause.
        """
        if self._closing is None:
            super().data_received(data)
        elif data:
            self._note_surplus(self.address, len(data))
            self._end()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget a connection that the upstream closed."""
        if self._closing is not None:
            self._closing.cancel()
        super().connection_lost(exc)

    def _end(self) -> None:
        if self._closing is not None:
            self._closing.cancel()
        super().close()


class _CountingHandler(ResetAwareHandler):
    """The same, and reports how many bytes arrive.

    :param note_received: called with the size of each piece.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        note_received: t.Callable[[int], None],
    ) -> None:
        super().__init__(loop)
        self._note_received = note_received

    def data_received(self, data: bytes) -> None:
        self._note_received(len(data))
        super().data_received(data)


def new_session(
    *,
    reuse: bool,
    upstream_paths: UpstreamPaths | None = None,
    note_received: t.Callable[[int], None] | None = None,
    note_surplus: t.Callable[[str, int], None] | None = None,
) -> aiohttp.ClientSession:
    """Create a client session; requires a running event loop.

    :param reuse: keep connections open for further requests.
    :param upstream_paths: opens the connections of a session to upstreams.
    :param note_received: called with the size of each piece that arrives.
    :param note_surplus: called with the address of an upstream that sends more than a
        whole response, and the number of bytes; requires that nothing is reused.
    """
    if upstream_paths is not None:
        connector: aiohttp.TCPConnector = UpstreamConnector(upstream_paths, reuse=reuse)
    else:
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=not reuse,
            socket_factory=lambda address: create_socket(address[0]),
        )
    loop = asyncio.get_running_loop()
    factory: t.Any = functools.partial(ResetAwareHandler, loop=loop)
    if note_received is not None:
        factory = functools.partial(_CountingHandler, loop, note_received=note_received)
    if note_surplus is not None:
        factory = functools.partial(SurplusHandler, loop, note_surplus=note_surplus)
    connector._factory = factory
    session = aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace_progress()] if upstream_paths is not None else None,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # aiohttp would silently resend a request whose connection broke.  The request may
    # have run, so it could run twice or be reported as not run.
    session._retry_connection = reuse
    return session
