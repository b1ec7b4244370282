"""Admission of requests and dispatch to the relay for their kind."""

import asyncio
import logging
import random
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.stopping import judge
from bankrack.decisions.stopping import RequestState
from bankrack.decisions.stopping import Verdict
from bankrack.exceptions import AuthenticationFailed
from bankrack.exceptions import BankrackError
from bankrack.exceptions import DeadlineExceeded
from bankrack.exceptions import EndedBy
from bankrack.exceptions import NodeNotReady
from bankrack.exceptions import NotFound
from bankrack.exceptions import Outcome
from bankrack.metrics import GatewayMetrics
from bankrack.serving.assignment import Assignment
from bankrack.serving.budget import SharedRetryBudget
from bankrack.serving.crashes import CrashMonitor
from bankrack.serving.endable import draining
from bankrack.serving.fingerprint import fingerprint
from bankrack.serving.job import Job
from bankrack.serving.job import Reply
from bankrack.serving.job import RequestKind
from bankrack.serving.job import shared_part_names
from bankrack.serving.plain import PlainRelay
from bankrack.serving.registry import Upstreams
from bankrack.serving.requestsinflight import RequestInFlight
from bankrack.serving.requestsinflight import RequestsInFlight
from bankrack.serving.routing import Route
from bankrack.serving.routing import RoutingTable
from bankrack.serving.routing import Service
from bankrack.serving.routing import Workspace
from bankrack.serving.streams import StreamRelay
from bankrack.serving.traits import part_traits

STREAM_GRACE_SECONDS = 2.5
"""Time for which streams are accepted after a shutdown began, as the load balancer
still sends requests meanwhile."""
DEADLINE_SLACK_SECONDS = 0.03
"""Margin between the end of serving and the caller's deadline."""

_logger = logging.getLogger(__name__)


class ConfigurationSource(t.Protocol):
    """Source of the configuration in force."""

    @property
    def table(self) -> RoutingTable | None:
        """The newest known version."""
        ...

    @property
    def age(self) -> float:
        """Seconds since the version was last confirmed to be the newest."""
        ...

    async def refresh_if_stale(self) -> None:
        """Wait for the newest version if the one here is too old to rely on.

        Raises :exc:`NodeNotReady` if a newer one is known and does not arrive.
        """
        ...

    async def confirm(self) -> bool:
        """Confirm the version now; returns whether that succeeded."""
        ...


class Dispatcher:
    """Entry point for jobs of all kinds."""

    def __init__(
        self,
        *,
        directory: ConfigurationSource,
        upstreams: Upstreams,
        budget: SharedRetryBudget,
        plain: PlainRelay,
        streams: StreamRelay,
        crashes: CrashMonitor,
        metrics: GatewayMetrics,
        rng: random.Random | None = None,
    ) -> None:
        self._configuration = directory
        self._upstreams = upstreams
        self._budget = budget
        self._plain = plain
        self._streams = streams
        self._crashes = crashes
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._requests = RequestsInFlight()
        self._stops_at: float | None = None
        self._stop_began_at: float | None = None
        self._streams_until = 0.0

    @property
    def in_flight(self) -> int:
        """Number of jobs that are being served."""
        return len(self._requests)

    @property
    def request_ids(self) -> list[str]:
        """Ids of the requests that are being served, the oldest first."""
        return [request.job.id for request in self._requests]

    def stop_at(self, stops_at: float) -> None:
        """Accept only requests expected to end before ``stops_at``.

        :param stops_at: boot-time seconds when the process ends.
        """
        self._stops_at = stops_at
        self._streams.stop_at(stops_at)
        self._stop_began_at = boottime()
        self._streams_until = self._stop_began_at + STREAM_GRACE_SECONDS

    def end_requests(self) -> None:
        """End those requests that this node, as it stops, can't or need not serve."""
        assert self._stops_at is not None
        left = self._stops_at - boottime()
        for request in self._requests:
            state = RequestState(request.may_have_run, self._max_seconds(request))
            if judge(state, left=left) is not Verdict.SERVE:
                request.end()

    def _max_seconds(self, request: RequestInFlight) -> float | None:
        """Most seconds that a request still takes; ``None`` before it was admitted."""
        work = request.assignment
        if work is None:
            return None
        if work.route.kind is not RequestKind.STREAM:
            return work.time_left()
        return self._stream_seconds(work.route, work.service, work.job)

    def _stream_seconds(self, route: Route, service: Service, job: Job) -> float:
        """Most seconds that a stream takes that is sent now."""
        seconds = self._streams.max_seconds(service.name, job.demand)
        return route.target_latency + seconds

    async def serve(self, job: Job, reply: Reply) -> None:
        """Serve one job; raises :exc:`BankrackError` if no response was started."""
        number, request = self._requests.begin(job)
        outcome = code = "cancelled"
        broken_off_by: EndedBy | None = None
        try:
            outcome = await self._serve(request, reply)
            code = outcome.partition(" ")[0].rstrip(",")
        except BankrackError as error:
            code = error.code
            outcome = f"{error.code} ({error.outcome}): {error.message}"
            if not reply.started:
                raise
            broken_off_by = error.ended_by
            self._metrics.broken_off.inc({"by": broken_off_by.value})
            reply.abort()
        except asyncio.CancelledError:
            broken_off_by = self._cancelled_by()
            raise
        finally:
            self._requests.remove(number)
            self._count(job, request.assignment, code)
            self._log(
                job,
                request.assignment,
                outcome,
                broken_off_by=broken_off_by,
                unanswered=code == "cancelled" and not reply.started,
            )

    async def _serve(self, request: RequestInFlight, reply: Reply) -> str:
        """Admit and relay a request; returns the outcome for the log."""
        try:
            work = request.assignment = await self._admit(request.job)
            upstreams = self._upstreams.open_of(work.service.name)
            self._crashes.refuse_unless_any_allowed(work, upstreams)
            return await self._relay(work, reply)
        except asyncio.CancelledError as error:
            if (ended := request.take_end()) is None:
                raise
            raise ended from error

    def _cancelled_by(self) -> EndedBy:
        """Return why a job is cancelled: its caller has left, or the process ends."""
        return EndedBy.STOP if self._is_over else EndedBy.CALLER

    @property
    def _is_over(self) -> bool:
        """Whether the grace period is over, so that nothing is served any more."""
        return self._stops_at is not None and boottime() >= self._stops_at

    async def _admit(self, job: Job) -> Assignment:
        if self._is_over:
            raise draining()
        self._require_table(job)
        await self._configuration.refresh_if_stale()
        try:
            return self._assign(job)
        except (AuthenticationFailed, NotFound) as error:
            # A newer version may allow the request, so only the newest one denies it.
            if await self._configuration.confirm():
                return self._assign(job)
            raise NodeNotReady(
                "the configuration can't be confirmed now; retry the request",
                retry_after=job.retry_after,
            ) from error

    def _require_table(self, job: Job) -> RoutingTable:
        """Return the configuration in force; raises :exc:`NodeNotReady` without one."""
        table = self._configuration.table
        if table is None:
            raise NodeNotReady(
                "this node has no configuration yet; retry the request",
                retry_after=job.retry_after,
            )
        return table

    def _assign(self, job: Job) -> Assignment:
        table = self._require_table(job)
        route = table.match(job.host, job.target.partition("?")[0])
        if route is None:
            raise NotFound(
                f"no route matches {job.host}{job.target[:80]}; check the path"
            )
        workspace = _authenticate(table, route, job.key)
        timeout = min(route.timeout, job.caller_timeout or route.timeout)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        service = self._pick_service(table, route)
        workspace_name = workspace.name if workspace else None
        if self._stops_at is not None:
            self._refuse_if_interrupted(job, route, service, self._stops_at)
        self._budget.earn(service.name)
        return Assignment(
            job=job,
            route=route,
            service=service,
            workspace=workspace_name,
            priority=priority,
            deadline=job.arrived + timeout - DEADLINE_SLACK_SECONDS,
            fingerprint=fingerprint(job, workspace_name),
            parts=part_traits(job.demand),
        )

    def _refuse_if_interrupted(
        self, job: Job, route: Route, service: Service, stops_at: float
    ) -> None:
        """Reject a request that this node's shutdown would interrupt.

        Raises :exc:`~bankrack.exceptions.NodeDraining`; the caller can retry at another
        node.
        """
        now = boottime()
        if route.kind is RequestKind.STREAM:
            ends_at = now + self._stream_seconds(route, service, job)
            fits = now < self._streams_until and ends_at < stops_at
        else:
            fits = now + route.timeout < stops_at
        if not fits:
            raise draining()

    def _pick_service(self, table: RoutingTable, route: Route) -> Service:
        """Choose a backend by weight, preferring those with an available upstream."""
        available = [
            b for b in route.backends if self._upstreams.available_of(b.service)
        ]
        backends = available or list(route.backends)
        weights = [backend.weight for backend in backends]
        if not any(weights):
            weights = [1] * len(backends)
        name = self._rng.choices(backends, weights)[0].service
        return table.services_by_name.get(name) or Service(name)

    async def _relay(self, work: Assignment, reply: Reply) -> str:
        try:
            async with asyncio.timeout(max(0.0, work.time_left())) as limit:
                reply.set_limit(limit, max_silence=work.max_silence)
                if work.route.kind is RequestKind.STREAM:
                    return await self._streams.serve(work, reply)
                return await self._plain.serve(work, reply)
        except TimeoutError as error:
            if reply.cut is not None:
                raise reply.cut from error
            raise DeadlineExceeded(
                "no complete response before the deadline; the request may have run",
                outcome=Outcome.UNKNOWN,
            ) from error

    def _count(self, job: Job, work: Assignment | None, code: str) -> None:
        service = work.service.name if work else "none"
        self._metrics.requests.inc({"service": service, "outcome": code})
        elapsed = boottime() - job.arrived
        self._metrics.latency.observe({"service": service}, elapsed)

    def _log(
        self,
        job: Job,
        work: Assignment | None,
        outcome: str,
        *,
        broken_off_by: EndedBy | None,
        unanswered: bool,
    ) -> None:
        table = self._configuration.table
        now = boottime()
        stop_began_at = self._stop_began_at
        logs.event(
            _logger,
            "request_ended",
            request=job.id,
            route=work.route.name if work else None,
            service=work.service.name if work else None,
            workspace=work.workspace if work else None,
            fingerprint=work.fingerprint if work else None,
            parts=shared_part_names(job.demand) or None,
            broken_off_by=broken_off_by.value if broken_off_by else None,
            unanswered=unanswered or None,
            stopping_for=None if stop_began_at is None else now - stop_began_at,
            outcome=outcome,
            sent_to=",".join(work.sends.upstreams) or None if work else None,
            tunnel=work.sends.tunnel if work else None,
            elapsed=now - job.arrived,
            version=table.version if table else None,
            version_age=self._configuration.age,
        )


def _authenticate(
    table: RoutingTable, route: Route, key: str | None
) -> Workspace | None:
    if not table.keyed:
        return None
    workspace = table.workspaces_by_key.get(key or "")
    if workspace is None and not route.public:
        raise AuthenticationFailed("unknown API key; check the key")
    return workspace
