"""Forwards HTTP requests of any method to the upstreams of plain services."""

import asyncio
import itertools
import logging
import typing as t

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.intent import Intent
from bankrack.control.intent import Service
from bankrack.control.intent import Upstream
from bankrack.control.intent import Workspace
from bankrack.exceptions import BankrackError
from bankrack.exceptions import CallerDisconnected
from bankrack.exceptions import NoUpstream
from bankrack.exceptions import Outcome
from bankrack.exceptions import RequestTooLarge
from bankrack.exceptions import UpstreamDisconnected
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamUnreachable
from bankrack.generations.engine import failed_error
from bankrack.generations.engine import unreachable_error
from bankrack.generations.retries import RetryBudget
from bankrack.metrics import Metrics
from bankrack.scheduling.health import Health
from bankrack.scheduling.slots import no_upstream_error
from bankrack.serving.endable import EndableRequest
from bankrack.serving.framing import Framing
from bankrack.serving.framing import framing_of
from bankrack.serving.giveup import RESET_ON_CLOSE
from bankrack.serving.giveup import SEND_ON_CLOSE
from bankrack.serving.giveup import set_linger
from bankrack.settings import Limits
from bankrack.wire import requestkeys

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_ATTEMPTS = 3
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_logger = logging.getLogger(__name__)

Claimer = t.Callable[[str, str], t.Callable[[], t.Awaitable[None]]]


class Relayed(t.NamedTuple):
    """A response that was passed on.

    :param error: why it may be incomplete.
    """

    response: web.StreamResponse
    error: BankrackError | None = None


class Progress:
    """How far a request has come.

    :ivar may_have_run: an upstream has it, or had it and did not reject it.
    :ivar begun: its response has begun.
    """

    __slots__ = ("begun", "may_have_run")

    def __init__(self) -> None:
        self.may_have_run = False
        self.begun = False


class PlainServices:
    """Forwards requests to the upstreams of plain services.

    :param intent: returns the configuration in force.
    :param leaving: returns whether an upstream must not get new requests.
    :param claimer: returns the claim function for a workspace and an idempotency
        key.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        intent: t.Callable[[], Intent],
        leaving: t.Callable[[Upstream], bool],
        claimer: Claimer,
        health: Health,
        retries: RetryBudget,
        metrics: Metrics,
        limits: Limits,
    ) -> None:
        self._session = session
        self._intent = intent
        self._leaving = leaving
        self._claimer = claimer
        self._health = health
        self._retries = retries
        self._metrics = metrics
        self._limits = limits
        self._rotation = itertools.count()
        self.in_flight_by_upstream: dict[str, int] = {}

    async def forward(
        self,
        request: web.Request,
        workspace: Workspace,
        service: Service,
        in_flight: EndableRequest,
    ) -> web.StreamResponse:
        """Forward one request; a stop of the node ends it with an error.

        One whose response has begun is broken off.
        """
        progress = Progress()
        try:
            return await self._forward(request, workspace, service, progress)
        except asyncio.CancelledError as error:
            if progress.begun:
                raise
            ended = in_flight.take_error(may_have_run=progress.may_have_run)
            if ended is None:
                raise
            raise ended from error

    async def _forward(
        self,
        request: web.Request,
        workspace: Workspace,
        service: Service,
        progress: Progress,
    ) -> web.StreamResponse:
        """Forward one request, with retries on other upstreams.

        A request is retried if nothing was sent.  A request with an idempotent
        method, no body and no idempotency key is also retried after a failure
        before the response headers.
        """
        key = requestkeys.read(request.headers)
        claim = self._claimer(workspace.name, key) if key else None
        repeatable = request.method in IDEMPOTENT_METHODS and not key
        repeatable = repeatable and not request.can_read_body
        self._retries.earn()
        tried: list[str] = []
        started = boottime()
        while True:
            try:
                upstream = self._choose(service, tried)
            except NoUpstream as error:
                if progress.may_have_run:
                    error.outcome = Outcome.UNKNOWN
                raise
            tried.append(upstream.name)
            if claim is not None:
                await claim()
                claim = None
            ran_before = progress.may_have_run
            try:
                relayed = await self._attempt(request, upstream, progress)
            except (UpstreamUnreachable, UpstreamFailed) as error:
                self._health.failed(upstream.name)
                certain = error.outcome is Outcome.NOT_RUN
                retryable = certain or repeatable
                progress.may_have_run = ran_before or not certain
                if progress.may_have_run:
                    error.outcome = Outcome.UNKNOWN
                if not retryable or len(tried) >= MAX_ATTEMPTS:
                    raise
                if not self._retries.take():
                    raise
                continue
            self._health.succeeded(upstream.name)
            self._log_end(workspace, service, upstream, relayed, started)
            return relayed.response

    def _choose(self, service: Service, tried: list[str]) -> Upstream:
        """Return the usable upstream with the fewest requests in flight."""
        candidates = [
            upstream
            for upstream in self._intent().upstreams_of(service)
            if upstream.name not in tried
            and not self._leaving(upstream)
            and self._health.usable(upstream.name)
        ]
        if not candidates:
            raise no_upstream_error(service)
        first = next(self._rotation) % len(candidates)
        rotated = candidates[first:] + candidates[:first]
        counts = self.in_flight_by_upstream
        chosen = min(rotated, key=lambda u: counts.get(u.name, 0))
        self._health.started(chosen.name)
        return chosen

    async def _attempt(
        self, request: web.Request, upstream: Upstream, progress: Progress
    ) -> Relayed:
        counts = self.in_flight_by_upstream
        counts[upstream.name] = counts.get(upstream.name, 0) + 1
        try:
            return await self._exchange(request, upstream, progress)
        finally:
            counts[upstream.name] -= 1

    async def _exchange(
        self, request: web.Request, upstream: Upstream, progress: Progress
    ) -> Relayed:
        path = request.raw_path.split("/", 3)
        url = f"http://{upstream.address}/{path[3] if len(path) > 3 else ''}"
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._limits.connect_timeout,
            sock_read=self._limits.first_token_timeout,
        )
        body = self._limited_body(request) if request.can_read_body else None
        progress.may_have_run = True
        try:
            upstream_response = await self._session.request(
                request.method,
                url,
                headers=_end_to_end_headers(request.headers),
                data=body,
                timeout=timeout,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise unreachable_error(upstream) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            if isinstance(error.__cause__, BankrackError):
                raise error.__cause__ from error
            raise failed_error(upstream, type(error).__name__) from error
        progress.begun = True
        async with upstream_response:
            return await self._relay(request, upstream, upstream_response)

    async def _relay(
        self,
        request: web.Request,
        upstream: Upstream,
        upstream_response: aiohttp.ClientResponse,
    ) -> Relayed:
        """Forward the response; abort the caller's connection if it may be truncated.

        A truncated response must not end as if it were complete.
        """
        response = web.StreamResponse(
            status=upstream_response.status,
            headers=_end_to_end_headers(upstream_response.headers),
        )
        if upstream_response.content_length is not None:
            response.content_length = upstream_response.content_length
        if request.version < aiohttp.HttpVersion11:
            # Only a reset tells this caller, who does not read chunks, of a break.
            set_linger(request.transport, RESET_ON_CLOSE)
        await response.prepare(request)
        try:
            await _forward_body(request.method, upstream, upstream_response, response)
        except BankrackError as error:
            if request.transport is not None:
                request.transport.abort()
            return Relayed(response, error)
        set_linger(request.transport, SEND_ON_CLOSE)
        await response.write_eof()
        return Relayed(response)

    async def _limited_body(self, request: web.Request) -> t.AsyncIterator[bytes]:
        size = 0
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > self._limits.body_bytes:
                raise RequestTooLarge(
                    f"the request body exceeds {self._limits.body_bytes} bytes; "
                    "shorten it",
                    outcome=Outcome.UNKNOWN,
                )
            yield chunk

    def _log_end(
        self,
        workspace: Workspace,
        service: Service,
        upstream: Upstream,
        relayed: Relayed,
        started: float,
    ) -> None:
        code = relayed.error.code if relayed.error else "ok"
        self._metrics.requests.inc({"outcome": Outcome.RAN.value, "code": code})
        logs.event(
            _logger,
            "plain_request_ended",
            workspace=workspace.name,
            service=service.name,
            upstream=upstream.name,
            status=relayed.response.status,
            code=code,
            seconds=boottime() - started,
        )


async def _forward_body(
    method: str,
    upstream: Upstream,
    upstream_response: aiohttp.ClientResponse,
    response: web.StreamResponse,
) -> None:
    """Forward a body; raise a :exc:`BankrackError` if it may be incomplete."""
    try:
        async for chunk in upstream_response.content.iter_any():
            try:
                await response.write(chunk)
            except ConnectionError as error:
                # Converted here because aiohttp raises the same types for upstreams.
                raise CallerDisconnected("the caller closed the connection") from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise failed_error(upstream, type(error).__name__) from error
    _check_framed(method, upstream_response)


def _check_framed(method: str, response: aiohttp.ClientResponse) -> None:
    """Raise :exc:`UpstreamDisconnected` if only its connection ended a response.

    The system closes the connections of a process that ends, too.
    """
    framing = framing_of(method, response.status, response.headers)
    if framing is Framing.CONNECTION:
        raise UpstreamDisconnected(
            "the response has neither a length nor chunks, so it may be incomplete; "
            "have the upstream send one of them"
        )


def _end_to_end_headers(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in _HOP_BY_HOP_HEADERS:
            kept.add(name, value)
    return kept
