"""HTTP API for callers."""

import contextlib
import logging
import typing as t
import uuid

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.intent import ANY
from bankrack.control.intent import Service
from bankrack.control.intent import Workspace
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import InvariantViolated
from bankrack.exceptions import NodeNotReady
from bankrack.exceptions import NotFound
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestTooLarge
from bankrack.exceptions import StreamInterrupted
from bankrack.front import handles
from bankrack.front.answers import error_response
from bankrack.front.answers import GenerationResponse
from bankrack.generations.generation import Generation
from bankrack.generations.jobs import Job
from bankrack.generations.stream import StreamCheck
from bankrack.scheduling.slots import AdmissionRequest
from bankrack.serving.endable import EndableRequest
from bankrack.wire import completions
from bankrack.wire import requestkeys
from bankrack.wire.completions import CompletionRequest

if t.TYPE_CHECKING:
    from bankrack.node import Node

MAX_PREFIX_CHARACTERS = 256
_logger = logging.getLogger(__name__)


class CallerApi:
    """Serves the OpenAI-compatible API and the plain services."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def application(self) -> web.Application:
        """Create the HTTP application."""
        limit = self._node.settings.limits.body_bytes
        app = web.Application(client_max_size=limit)
        app.on_response_prepare.append(self._close_when_draining)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/v1/models", self._with_error_handling(self._models))
        text = self._with_error_handling(self._completion(completions.TEXT))
        app.router.add_post("/v1/completions", text)
        chat = self._with_error_handling(self._completion(completions.CHAT))
        app.router.add_post("/v1/chat/completions", chat)
        app.router.add_get(
            "/v1/generations/{handle}", self._with_error_handling(self._continue)
        )
        plain = self._with_error_handling(self._forward_plain)
        app.router.add_route("*", "/services/{service}/{path:.*}", plain)
        app.router.add_route(
            "*", "/{path:.*}", self._with_error_handling(self._unknown_path)
        )
        return app

    def _with_error_handling(self, handler: t.Any) -> t.Any:
        """Wrap a handler so that failures become error responses with a code."""

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
        """Close kept-alive connections while draining, so that callers reconnect."""
        if self._node.draining:
            response.headers["Connection"] = "close"
            response.force_close()

    def _check_ready(self) -> None:
        """Reject requests before the first configuration, as no token is known yet."""
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
            "an internal error ended the request; report the time of the request",
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

    async def _unknown_path(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        raise NotFound("unknown path; see the documentation for callers")

    @contextlib.contextmanager
    def _serving(self, workspace: Workspace) -> t.Iterator[EndableRequest]:
        """Count the request of the current task, which a drain may end."""
        node = self._node
        with node.in_flight.enter(workspace), node.requests.serving() as request:
            yield request

    async def _forward_plain(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        service = self._service(request.match_info["service"], workspace, "plain")
        with self._serving(workspace) as in_flight:
            return await self._node.plain.forward(
                request, workspace, service, in_flight
            )

    def _completion(self, kind: str) -> t.Any:
        async def handle(
            request: web.Request, workspace: Workspace
        ) -> web.StreamResponse:
            last_event_id = request.headers.get("Last-Event-ID")
            if last_event_id:
                return await self._resume(request, workspace, last_event_id)
            body = completions.decode_request(await request.read(), kind)
            service = self._service(body.model, workspace, "model")
            key = requestkeys.read(request.headers)
            with self._serving(workspace) as in_flight:
                job = _job(body, service, workspace, kind, key)
                return await self._run(request, workspace, job, body, in_flight)

        return handle

    async def _run(
        self,
        request: web.Request,
        workspace: Workspace,
        job: Job,
        body: CompletionRequest,
        in_flight: EndableRequest,
    ) -> web.StreamResponse:
        node = self._node
        node.engines.retries.earn()
        claim = None
        if job.key:
            claim = node.claims.claimer(workspace.name, job.key)
        generation = Generation(node.engines, job, claim=claim)
        answer = GenerationResponse(
            node,
            workspace,
            job,
            generation,
            in_flight=in_flight,
            started=boottime(),
        )
        if body.stream:
            return await answer.stream(request, with_usage=body.includes_usage)
        return await answer.unstreamed()

    async def _continue(
        self, request: web.Request, workspace: Workspace
    ) -> web.StreamResponse:
        handle = request.match_info["handle"]
        last_event_id = request.headers.get("Last-Event-ID", f"{handle}:-1")
        return await self._resume(request, workspace, last_event_id)

    async def _resume(
        self, request: web.Request, workspace: Workspace, last_event_id: str
    ) -> web.StreamResponse:
        """Resume a stream that this or another node started.

        :param last_event_id: id of the last event that the caller received.
        """
        text, _, number = last_event_id.rpartition(":")
        intent = self._node.configuration.intent
        handle = handles.verify(text, intent.handle_key, workspace.name)
        offset = _offset_after(number)
        service = self._service(handle.service, workspace, "model")
        upstream = intent.upstreams_by_name.get(handle.upstream)
        if upstream is None:
            raise StreamInterrupted(
                "the upstream of this generation was removed; send a new request"
            )
        ask = AdmissionRequest(
            _request_id(), workspace.name, service, 0, service.max_output_tokens
        )
        job = Job(ask.request_id, ask, handle.kind, b"")
        check = StreamCheck(handle.generation, offset=offset)
        with self._serving(workspace) as in_flight:
            generation = Generation.continued(self._node.engines, job, upstream, check)
            answer = GenerationResponse(
                self._node,
                workspace,
                job,
                generation,
                in_flight=in_flight,
                started=boottime(),
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
    ask = AdmissionRequest(
        request_id=_request_id(),
        workspace=workspace.name,
        service=service,
        prompt_tokens=completions.prompt_tokens(body),
        max_tokens=limit,
        prefix=completions.prompt_text(body)[:MAX_PREFIX_CHARACTERS],
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
