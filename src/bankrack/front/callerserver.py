"""HTTP server for callers; the platform's dialect decodes the requests."""

import asyncio
import contextlib
import dataclasses
import logging
import socket
import typing as t

import aiohttp
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.exceptions import BankrackError
from bankrack.exceptions import BodiesTooLarge
from bankrack.exceptions import CallerDisconnected
from bankrack.exceptions import CallerTooSlow
from bankrack.exceptions import HeadersTooLarge
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestTooLarge
from bankrack.front.headertimeout import HeaderTimeoutServer
from bankrack.front.heldbytes import HeldBytes
from bankrack.front.requestbodies import BodyReservation
from bankrack.front.unreadreplies import SLOW_BYTES
from bankrack.front.unreadreplies import UnreadReplies
from bankrack.front.unreadreplies import WatchedReply
from bankrack.serving.assignment import MIN_SILENCE_SECONDS
from bankrack.serving.job import Answer
from bankrack.serving.job import Header
from bankrack.serving.job import Job
from bankrack.serving.routing import CallerLimits

MAX_LINE_BYTES = 64 * 1024
"""Limit of the HTTP parser for one line, beside the configured limit on headers."""
LISTEN_BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""
BODY_TIMEOUT_SECONDS = 30.0
"""Maximum time to receive a request body."""
LARGE_ANSWER_BYTES = 64 * 1024
"""Size of an answer that waits for its caller, as asyncio buffers no more."""
SKIP_TIMEOUT_SECONDS = 5.0
"""Maximum time to skip the body of a request that was refused before it was read."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class RequestHead:
    """Request line and headers as received, before decoding by the dialect.

    :param arrived: boot-time clock reading when the request arrived.
    """

    method: str
    target: str
    headers: list[Header]
    arrived: float


class CallerDialect(t.Protocol):
    """Codec for callers' requests and responses."""

    def decode(self, head: RequestHead, body: bytes) -> Job:
        """Decode a request; raises :exc:`InvalidRequest`."""
        ...

    def refusal(self, error: BankrackError, request_id: str | None) -> Answer:
        """Encode an error as a response.

        :param request_id: ``None`` if the request could not be decoded.
        """
        ...


class HttpReply:
    """Writes the response to one request.

    :param closing: whether to close the connection after the response.
    :param unread: accounts for the bytes that callers have not read.
    """

    def __init__(
        self, request: web.BaseRequest, *, closing: bool, unread: UnreadReplies
    ) -> None:
        self._request = request
        self._closing = closing
        self._response: web.StreamResponse | None = None
        self._unread = unread
        self._watched: WatchedReply | None = None
        self._limit: asyncio.Timeout | None = None
        self._max_silence = MIN_SILENCE_SECONDS
        self.cut: CallerTooSlow | None = None
        self.request_id = ""
        self.was_aborted = False

    @property
    def started(self) -> bool:
        """Whether the response was started."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """The response to return to the HTTP server."""
        assert self._response is not None
        return self._response

    @property
    def behind(self) -> bool:
        """Whether the caller has not read all that was written."""
        return self._watched is not None and self._watched.held > 0

    def set_limit(self, limit: asyncio.Timeout, *, max_silence: float) -> None:
        """Set the timeout that ends the serving of the request.

        :param max_silence: seconds without an event after which the caller gives up.
        """
        self._limit = limit
        self._max_silence = max_silence

    async def answer(self, answer: Answer) -> None:
        """Write a complete response."""
        response = web.StreamResponse(status=answer.status)
        response.headers.extend(answer.headers)
        response.content_length = len(answer.body)
        await self._prepare(response)
        if len(answer.body) > LARGE_ANSWER_BYTES:
            self._watch()
        try:
            if answer.body:
                await response.write(answer.body)
            await self._write_end()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error

    async def begin(self, status: int, headers: t.Sequence[Header]) -> None:
        """Start a streamed response."""
        response = web.StreamResponse(status=status)
        response.headers.extend(headers)
        if self._request.version >= aiohttp.HttpVersion11:
            response.enable_chunked_encoding()
        await self._prepare(response)

    async def write(self, data: bytes) -> None:
        """Write a chunk of a streamed response.

        Waits for a caller that does not read only if no more may be held for it.
        """
        if len(data) > SLOW_BYTES:
            self._watch()
        try:
            await self.response.write(data)
            if self._watched is not None:
                if self._unread.must_wait(self._watched, len(data)):
                    await self._wait_until_read(SLOW_BYTES)
            elif self._buffered > SLOW_BYTES:
                self._watch()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error

    async def end(self) -> None:
        """End a streamed response as complete."""
        try:
            await self._write_end()
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error

    def abort(self) -> None:
        """Close the connection before the response is complete."""
        self.was_aborted = True
        transport = self._request.transport
        if transport is None:
            return
        if self.cut is not None:
            transport.abort()
        else:
            transport.close()

    def close(self) -> None:
        """End the serving; bytes that the caller has not read yet are still sent."""
        if self._watched is not None:
            self._watched.cut = None

    async def _write_end(self) -> None:
        await self.response.write_eof()
        if self._watched is not None:
            await self._wait_until_read(0)
            self._watched.set_limit()
            self.close()

    async def _wait_until_read(self, size: int) -> None:
        """Wait until the caller has read all but ``size`` bytes."""
        assert self._watched is not None
        self._watched.set_limit(size, low=size)
        await self._request.writer.drain()
        self._watched.set_limit(self._unread.limits.reply)

    @property
    def _buffered(self) -> int:
        transport = self._request.transport
        return transport.get_write_buffer_size() if transport is not None else 0

    def _watch(self) -> None:
        """Let the connection hold what its caller has not read."""
        transport = self._request.transport
        if self._watched is None and transport is not None and self._unread.enabled:
            self._watched = WatchedReply(
                transport, request=self.request_id, max_silence=self._max_silence
            )
            self._watched.cut = self._cut
            self._unread.watch(self._watched)

    def _cut(self, held: int, reason: str) -> None:
        """End the serving of the request, whose caller is cut off."""
        self.cut = CallerTooSlow(
            f"the caller left {held} bytes unread ({reason}); read the response as it "
            "arrives, and send a new request"
        )
        assert self._limit is not None
        self._limit.reschedule(asyncio.get_running_loop().time())

    async def _prepare(self, response: web.StreamResponse) -> None:
        if self._closing:
            response.force_close()
        self._response = response
        try:
            await response.prepare(self._request)
        except OSError as error:
            raise CallerDisconnected("the caller closed the connection") from error


class CallerServer:
    """HTTP server that decodes callers' requests to jobs and writes the responses.

    :param serve: serves a job; raises :exc:`BankrackError` if it fails before the
        response was started.
    :param limits: returns the current limits.
    :param held: accounts for the bytes of requests and of unread responses.
    """

    def __init__(
        self,
        dialect: CallerDialect,
        serve: t.Callable[[Job, HttpReply], t.Awaitable[None]],
        limits: t.Callable[[], CallerLimits],
        *,
        held: HeldBytes,
    ) -> None:
        self._dialect = dialect
        self._serve = serve
        self._limits = limits
        self._bodies = held.bodies
        self._unread = held.replies
        self._server: HeaderTimeoutServer | None = None
        self._listener: asyncio.Server | None = None
        self.closing = False

    async def start(
        self, address: str, *, listening: socket.socket | None = None
    ) -> None:
        """Listen on ``ip:port``, or on ``listening``, which already listens there."""
        self._server = HeaderTimeoutServer(
            self._handle,
            limits=self._limits,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._limits().idle_seconds,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            lingering_time=0.0,
        )
        loop = asyncio.get_running_loop()
        if listening is not None:
            self._listener = await loop.create_server(
                self._server, sock=listening, backlog=LISTEN_BACKLOG
            )
            return
        host, _, port = address.rpartition(":")
        self._listener = await loop.create_server(
            self._server, host, int(port), backlog=LISTEN_BACKLOG, reuse_address=True
        )

    async def stop(self) -> None:
        """Stop listening and close the idle connections."""
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            self._server.pre_shutdown()

    def apply_limits(self) -> None:
        """Apply the current idle timeout to connections opened from now on."""
        if self._server is not None:
            idle = self._limits().idle_seconds
            self._server._kwargs["keepalive_timeout"] = idle

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = boottime()
        reply = HttpReply(request, closing=self.closing, unread=self._unread)
        reservation = self._bodies.reservation()
        job: Job | None = None
        try:
            job = await self._read(request, arrived, reservation)
            reply.request_id = job.id
            await self._serve(job, reply)
        except CallerDisconnected:
            reply.abort()
            return web.Response()
        except BodiesTooLarge as error:
            await self._refuse_body(reply, error, request, arrived)
        except BankrackError as error:
            if not reply.started:
                await self._refuse(reply, error, job)
        except Exception as error:
            logs.event(
                _logger,
                "request_crashed",
                level=logging.ERROR,
                request=job.id if job else None,
                reason=repr(error),
            )
            _logger.exception("request crashed")
            if reply.started:
                reply.abort()
            else:
                failure = BankrackError("internal error", outcome=Outcome.UNKNOWN)
                await self._refuse(reply, failure, job)
        finally:
            reply.close()
            reservation.release()
        return reply.response

    async def _refuse_body(
        self,
        reply: HttpReply,
        error: BodiesTooLarge,
        request: web.BaseRequest,
        arrived: float,
    ) -> None:
        """Refuse a request whose body was not read, and skip the body.

        Closing the connection with unread bytes would reset it, and the caller could
        lose the refusal.
        """
        job: Job | None = None
        try:
            job = self._dialect.decode(_request_head(request, arrived), b"")
            error.retry_after = job.retry_after
            self._bodies.log_refused(job.id, request.content_length or 0)
            await self._refuse(reply, error, job)
        except InvalidRequest as invalid:
            await self._refuse(reply, invalid, None)
        with contextlib.suppress(TimeoutError, aiohttp.ClientError, OSError):
            async with asyncio.timeout(SKIP_TIMEOUT_SECONDS):
                while await request.content.readany():
                    pass

    async def _refuse(
        self, reply: HttpReply, error: BankrackError, job: Job | None
    ) -> None:
        if job is None:
            logs.event(
                _logger, "request_refused", code=error.code, reason=error.message
            )
        answer = self._dialect.refusal(error, job.id if job else None)
        try:
            await reply.answer(answer)
        except CallerDisconnected:
            reply.abort()

    async def _read(
        self, request: web.BaseRequest, arrived: float, reservation: BodyReservation
    ) -> Job:
        limits = self._limits()
        head = _request_head(request, arrived)
        size = sum(len(name) + len(value) + 4 for name, value in head.headers)
        if size > limits.header_bytes:
            raise HeadersTooLarge(
                f"the headers have {size} bytes, the limit is {limits.header_bytes}; "
                "send fewer"
            )
        body = await self._read_body(request, limits, reservation)
        return self._dialect.decode(head, body)

    async def _read_body(
        self,
        request: web.BaseRequest,
        limits: CallerLimits,
        reservation: BodyReservation,
    ) -> bytes:
        if not request.body_exists:
            return b""
        if (request.content_length or 0) > limits.body_bytes:
            raise RequestTooLarge(
                f"the request body exceeds the limit of {limits.body_bytes} bytes"
            )
        reservation.extend(request.content_length or 0)
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(CONTINUE_RESPONSE)
            request.writer.output_size = 0
        parts = []
        size = 0
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                while part := await request.content.readany():
                    size += len(part)
                    if size > limits.body_bytes:
                        raise RequestTooLarge(
                            "the request body exceeds the limit of "
                            f"{limits.body_bytes} bytes"
                        )
                    reservation.extend(size)
                    parts.append(part)
        except TimeoutError as error:
            raise InvalidRequest(
                f"the request body was not received within {BODY_TIMEOUT_SECONDS:g} s"
            ) from error
        except (aiohttp.ClientError, aiohttp.web.RequestPayloadError) as error:
            raise InvalidRequest(f"the body is malformed ({error!r})") from error
        return b"".join(parts)


def _request_head(request: web.BaseRequest, arrived: float) -> RequestHead:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    ]
    return RequestHead(request.method, request.raw_path, headers, arrived)
