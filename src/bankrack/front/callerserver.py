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
from bankrack.exceptions import HeadersTooLarge
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestTooLarge
from bankrack.front.connectiongate import ConnectionGate
from bankrack.front.headertimeout import HeaderTimeoutServer
from bankrack.front.heldbytes import HeldBytes
from bankrack.front.httpreply import HttpReply
from bankrack.front.idleconnections import has_next_request
from bankrack.front.requestbodies import BodyReservation
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


class CallerServer:
    """HTTP server that decodes callers' requests to jobs and writes the responses.

    :param serve: serves a job; raises :exc:`BankrackError` if it fails before the
        response was started.
    :param limits: returns the current limits.
    :param held: accounts for the bytes of requests and of unread responses.
    :param gate: decides on each new connection.
    :param note_wait: called with the seconds that a connection waited to be accepted.
    :ivar closing: whether connections are closed after their responses.
    """

    def __init__(
        self,
        dialect: CallerDialect,
        serve: t.Callable[[Job, HttpReply], t.Awaitable[None]],
        limits: t.Callable[[], CallerLimits],
        *,
        held: HeldBytes,
        gate: ConnectionGate,
        note_wait: t.Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._dialect = dialect
        self._gate = gate
        self._note_wait = note_wait
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
            admit=self._gate.admit,
            note_wait=self._note_wait,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._limits().idle_seconds,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            lingering_time=0.0,
        )
        server = self._server
        self._gate.open_connections = lambda: server.open_count
        self._gate.close_idle = server.close_idle
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

    @property
    def busy_count(self) -> int:
        """Number of connections on which a request is served or partly here."""
        return self._server.busy_count if self._server is not None else 0

    def close_idle(self) -> int:
        """Close all idle connections, and return their number."""
        return self._server.close_all_idle() if self._server is not None else 0

    def stop(self) -> int:
        """Stop listening and close the idle connections; returns their number.

        Nothing is awaited, so that no request is read that nobody answers. Requests
        that are partly here or served now are still answered.
        """
        if self._listener is not None:
            self._listener.close()
        return self._server.stop() if self._server is not None else 0

    def apply_limits(self) -> None:
        """Apply the current idle timeout to connections opened from now on."""
        if self._server is not None:
            idle = self._limits().idle_seconds
            self._server._kwargs["keepalive_timeout"] = idle

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        reply = HttpReply(
            request,
            is_closing=lambda: self.closing and not has_next_request(request.protocol),
            unread=self._unread,
        )
        head = _request_head(request, boottime())
        reservation = self._bodies.reservation()
        job: Job | None = None
        try:
            job = await self._read(request, head, reservation)
            reply.request_id = job.id
            await self._serve(job, reply)
        except CallerDisconnected:
            reply.abort()
            return web.Response()
        except BodiesTooLarge as error:
            reservation.release()
            await self._refuse_body(reply, error, request, head)
        except BankrackError as error:
            if not reply.started:
                await self._refuse(reply, error, job, head)
        except asyncio.CancelledError:
            if job is None:
                logs.event(_logger, "request_not_read", request=self._id_of(head))
            raise
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
                await self._refuse(reply, failure, job, head)
        finally:
            reply.close()
            reservation.release()
        if reply.unended:
            # The HTTP library would end it as complete.
            logs.event(
                _logger,
                "reply_unended",
                level=logging.ERROR,
                request=reply.request_id,
            )
            reply.abort()
        return reply.response

    async def _refuse_body(
        self,
        reply: HttpReply,
        error: BodiesTooLarge,
        request: web.BaseRequest,
        head: RequestHead,
    ) -> None:
        """Refuse a request whose body was not read, and skip the body.

        Closing the connection with unread bytes would reset it, and the caller could
        lose the refusal.
        """
        job: Job | None = None
        # A caller that waits for the interim response will not send the body.
        waits = "Expect" in request.headers and request.content_length is not None
        if waits:
            reply.close_connection()
        try:
            job = self._dialect.decode(head, b"")
            error.retry_after = job.retry_after
            self._bodies.log_refused(job.id, request.content_length or 0)
            await self._refuse(reply, error, job, head)
        except InvalidRequest as invalid:
            await self._refuse(reply, invalid, None, head)
        if waits:
            return
        with contextlib.suppress(
            TimeoutError, OSError, aiohttp.ClientError, web.RequestPayloadError
        ):
            async with asyncio.timeout(SKIP_TIMEOUT_SECONDS):
                while await request.content.readany():
                    pass

    async def _refuse(
        self,
        reply: HttpReply,
        error: BankrackError,
        job: Job | None,
        head: RequestHead,
    ) -> None:
        if job is None:
            logs.event(
                _logger,
                "request_refused",
                request=self._id_of(head),
                code=error.code,
                reason=error.message,
            )
        answer = self._dialect.refusal(error, job.id if job else None)
        try:
            await reply.answer(answer)
        except CallerDisconnected:
            reply.abort()

    def _id_of(self, head: RequestHead) -> str | None:
        """Return the id of a request that was not read; ``None`` if it has none."""
        try:
            return self._dialect.decode(head, b"").id
        except InvalidRequest:
            return None

    async def _read(
        self, request: web.BaseRequest, head: RequestHead, reservation: BodyReservation
    ) -> Job:
        limits = self._limits()
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
        except BodiesTooLarge:
            # The exception keeps this frame while the rest of the body is skipped.
            parts.clear()
            raise
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
