"""The callers' HTTP interface."""

import asyncio
import logging
import time
import typing as t
import uuid

import msgspec
from aiohttp import web

from bankrack import completions
from bankrack import handles
from bankrack import logs
from bankrack import requestkeys
from bankrack.admission import Ask
from bankrack.completions import ChunkWriter
from bankrack.completions import CompletionRequest
from bankrack.completions import Usage
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import NodeNotReady
from bankrack.exceptions import NotFound
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestTooLarge
from bankrack.exceptions import StreamInterrupted
from bankrack.generation import Generation
from bankrack.generation import Job
from bankrack.handles import Handle
from bankrack.intent import ANY
from bankrack.intent import Service
from bankrack.intent import Workspace
from bankrack.metrics import GapRecorder
from bankrack.stream import StreamCheck
from bankrack.stream import Token

if t.TYPE_CHECKING:
    from bankrack.node import Node

DRAIN_WRITE_TIMEOUT = 60.0
PREFIX_CHARACTERS = 256
_logger = logging.getLogger(__name__)


class Callers:
    """Serves the OpenAI-compatible interface and the plain services."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def application(self) -> web.Application:
        """Make the HTTP application."""
        limit = self._node.settings.limits.body_bytes
        app = web.Application(client_max_size=limit)
        app.on_response_prepare.append(self._close_when_draining)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/v1/models", self._guarded(self._models))
        text = self._guarded(self._completion(completions.TEXT))
        app.router.add_post("/v1/completions", text)
        chat = self._guarded(self._completion(completions.CHAT))
        app.router.add_post("/v1/chat/completions", chat)
        app.router.add_get("/v1/generations/{handle}", self._guarded(self._continue))
        plain = self._guarded(self._plain)
        app.router.add_route("*", "/services/{service}/{path:.*}", plain)
        app.router.add_route("*", "/{path:.*}", self._guarded(self._no_such_path))
        return app

    def _guarded(self, handler: t.Any) -> t.Any:
        """Wrap a handler so that every failure is a typed answer."""

        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                self._check_ready()
                workspace = self._node.workspaces.authenticate(request)
                return t.cast(web.StreamResponse, await handler(request, workspace))
            except BankrackError as error:
                return self._error_response(request, error)
            except web.HTTPRequestEntityTooLarge:
                return self._error_response(request, _too_large())
            except web.HTTPException:
                raise
            except (ConnectionError, TimeoutError):
                raise
            except Exception as error:
                return self._error_response(request, self._unexpected(error))

        return handle

    async def _close_when_draining(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Let a caller's kept connection end here, so that it goes elsewhere."""
        if self._node.draining:
            response.headers["Connection"] = "close"
            response.force_close()

    def _check_ready(self) -> None:
        """Refuse before a configuration is in force: no token is known yet."""
        if not self._node.configuration.revision:
            raise NodeNotReady(
                "this node has just started and has no configuration yet; try again",
                retry_after=1.0,
            )

    def _unexpected(self, error: Exception) -> BankrackError:
        if isinstance(error, InvariantViolated):
            self._node.metrics.violations.inc({"kind": "callers"})
        _logger.exception("event=unexpected_error error=%s", type(error).__name__)
        return BankrackError(
            "an internal error ended the request; report it with the time",
            outcome=Outcome.UNKNOWN,
        )

    def _error_response(
        self, request: web.Request, error: BankrackError
    ) -> web.Response:
        self._node.metrics.requests.inc(
            {"outcome": error.outcome.value, "code": error.code}
        )
        logs.event(
            _logger,
            "request_refused",
            path=request.path,
            code=error.code,
            outcome=error.outcome.value,
        )
        return error_response(error)

    async def _health(self, request: web.Request) -> web.Response:
        ready = self._node.ready
        return web.Response(
            status=200 if ready else 503, text="ready\n" if ready else "not ready\n"
        )

    async def _models(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        services = self._node.configuration.intent.services_by_name.values()
        data = [
            {"id": s.name, "object": "model", "created": 0, "owned_by": "bankrack"}
            for s in services
            if s.kind == "model" and _allowed(s, workspace)
        ]
        return web.json_response({"object": "list", "data": data})

    async def _no_such_path(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        raise NotFound("there is nothing at this path; see the callers' page")

    async def _plain(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        service = self._service(request.match_info["service"], workspace, "plain")
        with self._node.in_flight.enter(workspace):
            return await self._node.plain.forward(request, workspace, service)

    def _completion(self, kind: str) -> t.Any:
        async def handle(
            request: web.Request, workspace: Workspace
        ) -> web.StreamResponse:
            last = request.headers.get("Last-Event-ID")
            if last:
                return await self._resume(request, workspace, last)
            body = completions.decode_request(await request.read(), kind)
            service = self._service(body.model, workspace, "model")
            key = requestkeys.read(request.headers)
            with self._node.in_flight.enter(workspace):
                job = _job(body, service, workspace, kind, key)
                return await self._run(request, workspace, job, body)

        return handle

    async def _run(
        self,
        request: web.Request,
        workspace: Workspace,
        job: Job,
        body: CompletionRequest,
    ) -> web.StreamResponse:
        node = self._node
        node.engines.retries.earn()
        claim = None
        if job.key:
            claim = node.claims.claimer(workspace.name, job.key)
        generation = Generation(node.engines, job, claim=claim)
        answer = Answer(node, workspace, job, generation, started=time.monotonic())
        if body.stream:
            return await answer.stream(request, with_usage=body.includes_usage)
        return await answer.whole()

    async def _continue(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        handle = request.match_info["handle"]
        last = request.headers.get("Last-Event-ID", f"{handle}:-1")
        return await self._resume(request, workspace, last)

    async def _resume(
        self, request: web.Request, workspace: Workspace, last: str
    ) -> web.StreamResponse:
        """Continue a stream that this or another node began."""
        text, _, number = last.rpartition(":")
        intent = self._node.configuration.intent
        handle = handles.verify(text, intent.handle_key, workspace.name)
        offset = _offset_after(number)
        service = self._service(handle.service, workspace, "model")
        upstream = intent.upstreams_by_name.get(handle.upstream)
        if upstream is None:
            raise StreamInterrupted(
                "the upstream of this generation is gone; send the request anew"
            )
        ask = Ask(_request_id(), workspace.name, service, 0, service.max_output_tokens)
        job = Job(ask.request_id, ask, handle.kind, b"")
        check = StreamCheck(handle.generation, offset=offset)
        with self._node.in_flight.enter(workspace):
            generation = Generation.continued(self._node.engines, job, upstream, check)
            answer = Answer(
                self._node, workspace, job, generation, started=time.monotonic()
            )
            return await answer.stream(request, with_usage=True)

    def _service(self, name: str, workspace: Workspace, kind: str) -> Service:
        service = self._node.configuration.intent.services_by_name.get(name)
        if service is None or service.kind != kind or not _allowed(service, workspace):
            raise NotFound(
                f"no service {name[:80]!r} for workspace {workspace.name}; "
                "see /v1/models for those it may use"
            )
        return service


class Answer:
    """Delivers one generation to its caller."""

    def __init__(
        self,
        node: "Node",
        workspace: Workspace,
        job: Job,
        generation: Generation,
        *,
        started: float,
    ) -> None:
        self._node = node
        self._workspace = workspace
        self._job = job
        self._generation = generation
        self._started = started
        self._gaps = GapRecorder()
        self._delivered = 0
        self._first_offset = generation.check.offset

    async def whole(self) -> web.Response:
        """Collect the answer and return it whole, or a typed error."""
        parts: list[str] = []

        async def collect(tokens: list[Token]) -> None:
            parts.extend(token.text for token in tokens)
            self._delivered += len(tokens)
            self._note_tokens()

        try:
            await self._generation.run(collect)
        except BankrackError as error:
            self._finish(error)
            raise
        except BaseException:
            self._finish_cancelled()
            raise
        self._finish(None)
        check = self._generation.check
        data = completions.whole_response(
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
        """Pass the answer on as it arrives."""
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
            await response.write(self._encode(writer, tokens))

        try:
            await self._generation.run(deliver)
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

    def _encode(self, writer: ChunkWriter, tokens: list[Token]) -> bytes:
        first = tokens[0]
        if first.offset != self._first_offset + self._delivered:
            raise InvariantViolated("a token was skipped or repeated")
        self._delivered += len(tokens)
        self._note_tokens()
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

    def _note_tokens(self) -> None:
        now = time.monotonic()
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
        self._note_end("cancelled", Outcome.RAN.value)

    def _finish(self, error: BankrackError | None) -> None:
        code = error.code if error else "ok"
        outcome = error.outcome if error else Outcome.RAN
        if error is not None and self._delivered:
            outcome = Outcome.RAN
        self._note_end(code, outcome.value)

    def _note_end(self, code: str, outcome: str) -> None:
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
            seconds=time.monotonic() - self._started,
            stall=self._gaps.stall,
        )


def error_response(error: BankrackError) -> web.Response:
    """Make the answer for an error before any event was sent."""
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
    """End a stream with an error event; it has no ``[DONE]``."""
    error.outcome = Outcome.RAN
    body = completions.error_envelope(error)
    async with asyncio.timeout(DRAIN_WRITE_TIMEOUT):
        await response.write(b"event: error\ndata: " + body + b"\n\n")
        await response.write_eof()


def _allowed(service: Service, workspace: Workspace) -> bool:
    return ANY in service.workspaces or workspace.name in service.workspaces


def _job(
    body: CompletionRequest,
    service: Service,
    workspace: Workspace,
    kind: str,
    key: str,
) -> Job:
    limit = completions.output_limit(body) or service.max_output_tokens
    limit = min(limit, service.max_output_tokens)
    sent = msgspec.structs.replace(
        body,
        model=service.engine_model,
        stream=True,
        stream_options=completions.StreamOptions(include_usage=True),
        max_tokens=limit,
        max_completion_tokens=None,
    )
    ask = Ask(
        request_id=_request_id(),
        workspace=workspace.name,
        service=service,
        prompt_tokens=completions.prompt_tokens(body),
        max_tokens=limit,
        prefix=completions.prompt_text(body)[:PREFIX_CHARACTERS],
    )
    return Job(ask.request_id, ask, kind, msgspec.json.encode(sent), key)


def _request_id() -> str:
    return f"req-{uuid.uuid4().hex}"


def _offset_after(number: str) -> int:
    if number == "-1":
        return 0
    if not number.isdigit() or len(number) > 9:
        raise InvalidRequest(
            "Last-Event-ID is not the id of an event; send the last one received"
        )
    return int(number) + 1


def _too_large() -> RequestTooLarge:
    return RequestTooLarge("the body is too large; shorten it")
