"""HTTP responses that deliver one generation, streamed or complete."""

import asyncio
import logging
import time
import typing as t

from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.intent import Workspace
from bankrack.exceptions import BankrackError
from bankrack.exceptions import CallerDisconnected
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import Outcome
from bankrack.front import handles
from bankrack.front.handles import Handle
from bankrack.generations.generation import Deliver
from bankrack.generations.generation import Generation
from bankrack.generations.jobs import Job
from bankrack.generations.stream import Token
from bankrack.metrics import GapRecorder
from bankrack.serving.endable import EndableRequest
from bankrack.wire import completions
from bankrack.wire.completions import ChunkWriter
from bankrack.wire.completions import Usage

if t.TYPE_CHECKING:
    from bankrack.node import Node

ERROR_WRITE_TIMEOUT_SECONDS = 60.0
_logger = logging.getLogger(__name__)


class GenerationResponse:
    """The response that delivers one generation to its caller.

    :param in_flight: the caller's request.
    :param started: boot-time clock reading when the request was accepted.
    """

    def __init__(
        self,
        node: "Node",
        workspace: Workspace,
        job: Job,
        generation: Generation,
        *,
        in_flight: EndableRequest,
        started: float,
    ) -> None:
        self._node = node
        self._workspace = workspace
        self._job = job
        self._generation = generation
        self._in_flight = in_flight
        self._started = started
        self._gaps = GapRecorder()
        self._delivered = 0
        self._first_offset = generation.check.offset

    async def unstreamed(self) -> web.Response:
        """Run the generation and return its text as one response.

        Raises the :exc:`BankrackError` that the generation ended with.
        """
        parts: list[str] = []

        async def collect(tokens: list[Token]) -> None:
            parts.extend(token.text for token in tokens)
            self._delivered += len(tokens)
            self._record_tokens()

        try:
            await self._generate(collect)
        except BankrackError as error:
            self._finish(error)
            raise
        except BaseException:
            self._finish_cancelled()
            raise
        self._finish(None)
        check = self._generation.check
        data = completions.completion_response(
            kind=self._job.kind,
            request_id=self._job.request_id,
            created=int(time.time()),
            service=self._job.ask.service.name,
            text="".join(parts),
            finish_reason=check.finish_reason or "",
            usage=self._usage(),
        )
        return web.Response(body=data, content_type="application/json")

    async def stream(
        self, request: web.Request, *, with_usage: bool
    ) -> web.StreamResponse:
        """Stream the generation to the caller as its tokens arrive.

        An error before the first event is raised; a later one is sent as an event.
        """
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "X-Request-Id": self._job.request_id,
            }
        )
        writer: ChunkWriter | None = None

        async def deliver(tokens: list[Token]) -> None:
            nonlocal writer
            if writer is None:
                writer = self._writer()
                await response.prepare(request)
                self._generation.continuable = True
            try:
                await response.write(self._encode(writer, tokens))
            except ConnectionError as error:
                # Converted here because aiohttp raises the same types for upstreams.
                raise CallerDisconnected("the caller closed the connection") from error

        try:
            await self._generate(deliver)
        except CallerDisconnected:
            self._finish_cancelled()
            return response
        except BankrackError as error:
            self._finish(error)
            if writer is None:
                raise
            await _write_error(response, error)
            return response
        except BaseException:
            self._finish_cancelled()
            raise
        self._finish(None)
        if writer is None:
            writer = self._writer()
            await response.prepare(request)
        await self._write_end(response, writer, with_usage=with_usage)
        return response

    async def _generate(self, deliver: Deliver) -> None:
        """Run the generation; raises an error if the node's stop ends it."""
        generation = self._generation
        try:
            await generation.run(deliver)
        except asyncio.CancelledError as error:
            ended = self._in_flight.take_error(may_have_run=generation.may_have_run)
            if ended is None:
                raise
            raise ended from error

    def _encode(self, writer: ChunkWriter, tokens: list[Token]) -> bytes:
        first = tokens[0]
        if first.offset != self._first_offset + self._delivered:
            raise InvariantViolated("a token was skipped or repeated")
        self._delivered += len(tokens)
        self._record_tokens()
        if len(tokens) == 1:
            return writer.token(first.offset, first.text, first.finish_reason)
        return b"".join(
            writer.token(token.offset, token.text, token.finish_reason)
            for token in tokens
        )

    async def _write_end(
        self, response: web.StreamResponse, writer: ChunkWriter, *, with_usage: bool
    ) -> None:
        offset = self._first_offset + self._delivered
        data = b""
        if with_usage:
            data = writer.usage(offset, self._usage())
        await response.write(data + writer.done(offset + 1))
        await response.write_eof()

    def _writer(self) -> ChunkWriter:
        upstream = self._generation.upstream
        assert upstream is not None
        handle = Handle(
            self._workspace.name,
            self._job.ask.service.name,
            upstream.name,
            self._generation.check.generation,
            self._job.kind,
        )
        return ChunkWriter(
            handle=handles.sign(handle, self._node.configuration.intent.handle_key),
            kind=self._job.kind,
            request_id=self._job.request_id,
            created=int(time.time()),
            service=self._job.ask.service.name,
        )

    def _record_tokens(self) -> None:
        now = boottime()
        if self._gaps.record(now):
            labels = {"service": self._job.ask.service.name}
            self._node.metrics.first_token.observe(labels, now - self._started)

    def _usage(self) -> Usage:
        check = self._generation.check
        if check.usage is not None:
            return check.usage
        prompt = self._job.ask.prompt_tokens
        return Usage(prompt, self._delivered, prompt + self._delivered)

    def _finish_cancelled(self) -> None:
        self._record_end("cancelled", Outcome.RAN.value)

    def _finish(self, error: BankrackError | None) -> None:
        code = error.code if error else "ok"
        outcome = error.outcome if error else Outcome.RAN
        if error is not None and self._delivered:
            outcome = Outcome.RAN
        self._record_end(code, outcome.value)

    def _record_end(self, code: str, outcome: str) -> None:
        node = self._node
        service = self._job.ask.service.name
        check = self._generation.check
        node.metrics.requests.inc({"outcome": outcome, "code": code})
        node.metrics.stream_ended(service, self._gaps, self._delivered)
        if check.discarded:
            node.metrics.discarded.add({"service": service}, check.discarded)
        if self._generation.resumes:
            node.metrics.resumes.add({"service": service}, self._generation.resumes)
        upstream = self._generation.upstream
        logs.event(
            _logger,
            "request_ended",
            request=self._job.request_id,
            workspace=self._workspace.name,
            service=service,
            upstream=upstream.name if upstream else None,
            generation=check.generation or None,
            code=code,
            outcome=outcome,
            tokens=self._delivered,
            seconds=boottime() - self._started,
            stall=self._gaps.stall,
        )


def error_response(error: BankrackError) -> web.Response:
    """Return the response for an error that occurs before any event was sent."""
    headers = {"X-Outcome": error.outcome.value}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=error.status,
        body=completions.error_envelope(error),
        headers=headers,
        content_type="application/json",
    )


async def _write_error(response: web.StreamResponse, error: BankrackError) -> None:
    """End a stream with an error event and without ``[DONE]``."""
    error.outcome = Outcome.RAN
    body = completions.error_envelope(error)
    async with asyncio.timeout(ERROR_WRITE_TIMEOUT_SECONDS):
        await response.write(b"event: error\ndata: " + body + b"\n\n")
        await response.write_eof()
