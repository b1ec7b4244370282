"""The gateway: one stateless process on an entry VM that serves callers.

:class:`Gateway` constructs all components and connects them.
"""

import asyncio
import logging
import socket
import typing as t

from aiohttp import web

from bankrack import logs
from bankrack.background import BackgroundTasks
from bankrack.background import LoopMonitor
from bankrack.background import SuspensionLog
from bankrack.clock import boottime
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.confirmedview import ConfirmedView
from bankrack.fleet.documents import Member
from bankrack.fleet.fleetsize import FleetSize
from bankrack.fleet.follower import Follower
from bankrack.fleet.ledgers import Ledgers
from bankrack.fleet.lending import LEND_PATH
from bankrack.fleet.lending import Lender
from bankrack.fleet.membership import Announcer
from bankrack.fleet.partfetcher import PartFetcher
from bankrack.fleet.partserver import LinkPacer
from bankrack.fleet.partserver import PARTS_PATH
from bankrack.fleet.partserver import PartServer
from bankrack.fleet.peers import LeaderClient
from bankrack.fleet.poolowners import NOTES_PATH
from bankrack.fleet.poolowners import PLACE_PATH
from bankrack.fleet.poolowners import PoolOwnerClient
from bankrack.fleet.ratelimits import RateLimits
from bankrack.fleet.roster import Roster
from bankrack.fleet.stoppingpeers import STOPPING_PATH
from bankrack.fleet.stoppingpeers import StoppingPeers
from bankrack.fleet.store import era_of
from bankrack.fleet.store import number_of
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.tunnelclient import TunnelClient
from bankrack.fleet.tunnelserver import TunnelServer
from bankrack.fleet.updates import FleetUpdates
from bankrack.fleet.updateserver import UPDATES_PATH
from bankrack.fleet.updateserver import UpdateServer
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View
from bankrack.front.callerserver import CallerServer
from bankrack.front.connectiongate import ConnectionGate
from bankrack.front.heldbytes import HeldBytes
from bankrack.front.idleconnections import stop_runner
from bankrack.front.internalserver import serve_paths
from bankrack.front.selfcheck import SelfCheck
from bankrack.integration import GatewayDialect
from bankrack.integration import GatewaySettings
from bankrack.loadlog import LoadLog
from bankrack.metrics import GatewayMetrics
from bankrack.nodestate import NodeState
from bankrack.serving.budget import SharedRetryBudget
from bankrack.serving.choice import Chooser
from bankrack.serving.client import UpstreamClient
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.crashes import CrashMonitor
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.dispatch import Dispatcher
from bankrack.serving.enginecontrol import GuardedControl
from bankrack.serving.failurereports import FailureReporter
from bankrack.serving.job import Job
from bankrack.serving.job import Reply
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.outliers import OutlierMonitor
from bankrack.serving.paths import UpstreamPaths
from bankrack.serving.plain import PlainRelay
from bankrack.serving.registry import Upstreams
from bankrack.serving.relay import RelayDependencies
from bankrack.serving.reports import ReportPoller
from bankrack.serving.reservations import Reservations
from bankrack.serving.responseends import ResponseEnds
from bankrack.serving.routing import CallerLimits
from bankrack.serving.sessions import new_session
from bankrack.serving.streams import StreamRelay
from bankrack.serving.upstreams import Upstream

FIRST_VIEW_TIMEOUT_SECONDS = 0.1
"""Maximum time that a request waits for the first configuration."""
BALANCER_NOTICE_SECONDS = 3.0
"""Minimum time that a stopping node keeps serving.

The balancer checks every second and removes a node after two failed checks.
"""
STOP_MARGIN_SECONDS = 0.6
"""Time reserved for closing before the process is killed."""
MIN_LEAVE_SECONDS = 0.2
"""Shortest time for the store to remove this node's entry as it stops."""
STOP_POLL_INTERVAL_SECONDS = 0.05
END_REQUESTS_SECONDS = 0.1
"""Time for the answers to requests that are ended as the grace period ends."""
LAST_QUESTIONS_SECONDS = 1.0
"""Time before the end in which responses in doubt are settled without long pauses."""
MAX_LOGGED_REQUESTS = 50
"""Requests in flight that are named as a stop begins and ends."""
APPLY_INTERVAL_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class Gateway:
    """One gateway process.

    :param dialect: translates between the platform's wire formats and bankrack.
    :ivar ends_by: boot-time seconds when the process is killed; 0 until it is stopped.
    """

    def __init__(self, settings: GatewaySettings, dialect: GatewayDialect) -> None:
        self.settings = settings
        self.metrics = GatewayMetrics()
        self.upstreams = Upstreams()
        self.crashes = CrashRegister()
        self.view = View(dialect.decode, self.upstreams, crashes=self.crashes)
        self.stopping = False
        self.stopped = asyncio.Event()
        self.ends_by = 0.0
        self._dialect = dialect
        self._tasks = BackgroundTasks()
        self._suspension_log = SuspensionLog()
        self._load = LoadLog()
        self.fleet_size = FleetSize(lambda: self.view.members_by_name)
        self._runners: list[web.AppRunner] = []
        self._create_components()

    def _create_components(self) -> None:
        """Construct the components; requires a running event loop."""
        dialect = self._dialect
        settings = self.settings
        members = self.view.members_by_name.values
        own = Member(
            settings.name,
            settings.inner,
            settings.hall,
            settings.link_mbps,
            settings.tunnel,
        )
        tunnel_client = TunnelClient(own, members)
        self.paths = UpstreamPaths(self.metrics, tunnel_client)
        self.tunnels = TunnelServer(
            self.upstreams.has_address, self.paths.is_cut_off, self.metrics
        )
        self._upstream_session = new_session(reuse=False, upstream_paths=self.paths)
        # An answer to a control call does not name its call, so that on a connection
        # that is used again a surplus one would be taken for the next answer.
        self._control_session = new_session(
            reuse=False, upstream_paths=self.paths, note_surplus=self._note_surplus
        )
        self._internal_session = new_session(
            reuse=True, note_received=self._load.note_received
        )
        store = dialect.store(self._internal_session)
        self.transfers = TransferLog(self._note_transfer)
        self.roster = Roster(
            own, self.view.members_by_name.values, seeds=settings.seeds
        )
        leaders = LeaderClient(
            self._internal_session,
            self.view,
            self.upstreams,
            address=settings.inner,
            uses_engines=lambda: self.reports.in_use(),
            transfers=self.transfers,
        )
        self.follower = Follower(store, self.view, self.roster, leaders)
        self.parts = ValueParts()
        self.part_fetcher = PartFetcher(
            self._internal_session,
            own,
            members,
            self.view,
            self.parts,
            self.transfers,
            read_store=self.follower.read,
            is_standby=self.roster.is_standby,
        )
        self.announcer = Announcer(
            store,
            own,
            view_age=lambda: self.view.age,
            store_era=lambda: era_of(self.view.revision),
            members=self.fleet_size.count,
        )
        self.chooser = Chooser(hall=settings.hall)
        self.budget = SharedRetryBudget(settings.budget, nodes=self.fleet_size.count)
        self.lender = Lender(self._internal_session, own, members, self.budget)
        self.budget.set_borrow(self.lender.borrow)
        names = self.view.members_by_name.keys
        self.outliers = OutlierMonitor(
            own.name, own.hall, names, self.upstreams, self.metrics
        )
        self.cold = ColdQuotas(settings.name, names, settings.cold)
        self.notices = NoticeHandler()
        broadcast = Broadcast(self._internal_session, own, members)
        self.stopping_peers = StoppingPeers(broadcast, tunnel_client, self.tunnels)
        self.rate_limits = RateLimits(
            self._internal_session,
            own,
            members,
            self.upstreams,
            self.notices,
            broadcast,
            self.metrics,
            view_age=lambda: self.view.age,
        )
        self.held = HeldBytes(settings.memory_mb, self.metrics, self._caller_limits)
        control = GuardedControl(dialect.control(self._control_session, self.notices))
        self.response_ends = ResponseEnds(
            control, self.rate_limits.permits, self.metrics
        )
        client = UpstreamClient(
            self._upstream_session,
            dialect.upstreams,
            self.notices,
            self.rate_limits.permits,
            self.held.in_flight,
            self.response_ends,
            self.held.responses,
        )
        self.ledgers = Ledgers(
            self.upstreams,
            self.chooser,
            note_use=lambda: self.reports.note_use(),
            crashed_since=self.crashes.crashed_since,
        )
        self.owners = PoolOwnerClient(
            self._internal_session,
            own,
            self.view.members_by_name.values,
            self.ledgers,
            self.upstreams,
            self.cold,
            count_overflow=lambda outcome: self.metrics.pool_overflows.inc(
                {"outcome": outcome}
            ),
        )
        self.reports = ReportPoller(self.chooser, control, select=self._engines_to_poll)
        self.reservations = Reservations(
            control, self.chooser, self.owners, self.metrics
        )
        dependencies = RelayDependencies(
            client,
            self.chooser,
            self.upstreams,
            self.budget,
            self.metrics,
            self.cold,
            CrashMonitor(self.crashes, self.paths),
            self.outliers,
            FailureReporter(self.outliers, self.paths),
        )
        self.updates = FleetUpdates(
            broadcast,
            own,
            members,
            store,
            self.notices,
            dependencies,
            view_age=lambda: self.view.age,
        )
        self.configuration = ConfirmedView(self.view, self.follower)
        self.dispatcher = Dispatcher(
            directory=self.configuration,
            upstreams=self.upstreams,
            budget=self.budget,
            metrics=self.metrics,
            plain=PlainRelay(dependencies),
            streams=StreamRelay(
                dependencies,
                control=control,
                advisor=self.owners,
                reservations=self.reservations,
            ),
            crashes=dependencies.crashes,
        )
        self._load.describe = self._describe_load
        self._loop_monitor = LoopMonitor(
            lambda: self.dispatcher.in_flight,
            self._note_blocked,
        )
        self._gate = ConnectionGate(
            self._count_connection, note_delay=self._load.note_delay
        )
        self._self_check = SelfCheck(settings.front, self._gate)
        self.front = CallerServer(
            dialect.callers,
            self._serve,
            self._caller_limits,
            held=self.held,
            gate=self._gate,
            note_wait=self._load.note_wait,
        )

    async def start(self, *, listening: socket.socket | None = None) -> None:
        """Open the listeners and start following the store.

        :param listening: a socket that already listens on the callers' address.
        """
        settings = self.settings
        asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
        self._tasks.spawn(self.follower.run)
        await self.front.start(settings.front, listening=listening)
        ready = {settings.ready_path: self._handle_ready}
        self._runners.append(await serve_paths(settings.ready, ready))
        updates = UpdateServer(
            self.view,
            self.upstreams,
            parts=self.parts,
            name=f"{settings.name}-{boottime():.9f}",
            note_engines=self.reports.note_use,
            note_requester=self.roster.note_requester,
            count=lambda outcome: self.metrics.updates.inc({"outcome": outcome}),
            link_mbps=settings.link_mbps,
            transfers=self.transfers,
        )
        parts = PartServer(self.parts, LinkPacer(settings.link_mbps), self.transfers)
        inner = {
            UPDATES_PATH: updates.handle,
            PARTS_PATH: parts.handle,
            PLACE_PATH: self.ledgers.handle_query,
            NOTES_PATH: self.ledgers.handle_run_updates,
            LEND_PATH: self.lender.handle,
            STOPPING_PATH: self.stopping_peers.handle,
            **self.updates.handler_by_path,
            **self.rate_limits.handler_by_path,
            "/metrics": self._handle_metrics,
            "/state": self._handle_state,
        }
        self._runners.append(await serve_paths(settings.inner, inner))
        if settings.tunnel:
            await self._start_tunnels(settings.tunnel)
        self._tasks.spawn(self.follower.keep_sweeping)
        self._tasks.spawn(self.part_fetcher.run)
        self._tasks.spawn(self.announcer.run)
        self._tasks.spawn(self._loop_monitor.run)
        self._tasks.spawn(self._gate.run)
        self._tasks.spawn(self._load.run)
        self._tasks.spawn(self.reports.run)
        self._tasks.spawn(self.owners.run)
        self._tasks.spawn(self.rate_limits.run)
        for run in self.updates.tasks:
            self._tasks.spawn(run)
        self._tasks.spawn(self._apply_loop)
        logs.event(
            _logger,
            "gateway_started",
            node=settings.name,
            hall=settings.hall,
            front=settings.front,
            inner=settings.inner,
        )

    async def _start_tunnels(self, address: str) -> None:
        """Open tunnels for other nodes; without them this node still serves callers."""
        try:
            await self.tunnels.start(address)
        except OSError as error:
            logs.event(
                _logger,
                "tunnels_unavailable",
                level=logging.ERROR,
                address=address,
                reason=repr(error),
                remedy="free the last port of the node's range",
            )

    @property
    def ready(self) -> bool:
        """Whether the balancer may route callers to this node, as far as is known."""
        serves = self.view.table is not None and not self.stopping
        return serves and self._self_check.passed

    def state(self) -> NodeState:
        """Return a snapshot of this node's state."""
        table = self.view.table
        return NodeState(
            node=self.settings.name,
            ready=self.ready,
            version=table.version if table else None,
            view_age=self.view.age,
            configuration_age=self.configuration.age,
            store_age=self.follower.store_age,
            revision=number_of(self.view.revision),
            store_era=era_of(self.view.revision),
            in_flight=self.dispatcher.in_flight,
            members=list(self.view.members_by_name),
            upstreams=list(self.upstreams.by_id.values()),
            keeps_ledgers=self.owners.owns_first_pool,
            quarantined=self.crashes.quarantined(),
            held=self.held.describe(),
            pool_gauges=self.ledgers.gauges(),
            details=self._details,
        )

    def _details(self) -> dict[str, t.Any]:
        """Return the parts of the state dump that the gauges do not need."""
        table = self.view.table
        workspaces = table.workspaces_by_key.values() if table else ()
        return {
            "failing": self.outliers.describe(),
            "paths": self.paths.describe(),
            "pending_values": self.view.pending.describe(),
            "full_pools": self.owners.rooms.describe(),
            "engine_speeds": self.ledgers.describe_speeds(),
            "pools": self.ledgers.describe({each.name for each in workspaces}),
        }

    def reload(self, settings: GatewaySettings) -> None:
        """Apply those of the new settings that can change without a restart.

        Changes to any other setting are logged and take effect at the next start.
        """
        self.settings, applied, waiting = self.settings.reloaded(settings)
        self.budget.set_policy(self.settings.budget)
        self.cold.tolerance = self.settings.cold
        logs.event(
            _logger,
            "settings_reloaded",
            node=self.settings.name,
            applied=",".join(applied) or "none",
            waiting=",".join(waiting) or "none",
        )

    async def stop(self, reason: str) -> None:
        """Drain and close: fail readiness, finish requests in flight, then close.

        Requests that no upstream has are refused once they would outlast the grace
        period.  When it ends, streams that have begun are cut off, and so are responses
        that their callers have not read; all other requests get an answer.

        :param reason: logged with the event.
        """
        if self.stopping:
            return
        started_at = boottime()
        self.stopping = True
        self.front.closing = True
        self.tunnels.stopping = True
        self._tasks.spawn(self.stopping_peers.announce)
        self.ends_by = started_at + self.settings.grace
        deadline = self.ends_by - STOP_MARGIN_SECONDS
        self.dispatcher.stop_at(deadline)
        logs.event(
            _logger,
            "stop_began",
            reason=reason,
            in_flight=self.dispatcher.in_flight,
            requests=self._requests_in_flight(),
        )
        idle_closed = 0
        while boottime() < deadline:
            self.dispatcher.end_requests()
            if boottime() > deadline - LAST_QUESTIONS_SECONDS:
                self.response_ends.hurry()
            if boottime() > started_at + BALANCER_NOTICE_SECONDS:
                # From here on new connections reach other nodes.
                idle_closed += self.front.close_idle()
                if not self._is_busy():
                    break
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        ended, requests = self.dispatcher.in_flight, self._requests_in_flight()
        await self._end_requests()
        idle_closed += self.front.stop()
        logs.event(
            _logger,
            "stop_ended",
            cut=ended,
            requests=requests,
            tunnels_cut=self.tunnels.active,
            connections_cut=self.front.busy_count,
            idle_closed=idle_closed,
            elapsed=boottime() - started_at,
        )
        await self._close(leave_by=deadline)

    async def _end_requests(self) -> None:
        """End the requests that are left, and let their answers be written."""
        limit = boottime() + END_REQUESTS_SECONDS
        while self.dispatcher.in_flight and boottime() < limit:
            self.dispatcher.end_requests()
            await asyncio.sleep(END_REQUESTS_SECONDS / 10)

    def _requests_in_flight(self) -> str | None:
        """Return the ids of the oldest requests in flight for the log, if any."""
        ids = self.dispatcher.request_ids[:MAX_LOGGED_REQUESTS]
        return ",".join(ids) or None

    def _is_busy(self) -> bool:
        """Whether a request is served or partly here, or a response not yet read."""
        return bool(
            self.dispatcher.in_flight
            or self.front.busy_count
            or self.held.replies.held
            or self.tunnels.active
        )

    async def _close(self, *, leave_by: float = 0.0) -> None:
        """Close everything, and let the process end whatever fails meanwhile.

        :param leave_by: boot-time seconds until which the store may take to remove this
            node's entry.
        """
        try:
            await self._close_all(leave_by)
        except Exception as error:
            logs.event(_logger, "close_failed", level=logging.ERROR, reason=repr(error))
            _logger.exception("closing failed")
        finally:
            self.stopped.set()

    async def _close_all(self, leave_by: float) -> None:
        """Close everything; callers' idle connections first, as nothing is awaited."""
        self.front.stop()
        limit = max(MIN_LEAVE_SECONDS, leave_by - boottime())
        await self.announcer.leave(within=limit)
        await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        await self._tasks.stop()
        await asyncio.gather(*(stop_runner(runner) for runner in self._runners))
        await self.tunnels.stop()
        await self.reservations.close()
        await self.response_ends.close()
        await self.paths.close()
        await self._upstream_session.close()
        await self._control_session.close()
        await self._internal_session.close()

    def _note_blocked(self, seconds: float) -> None:
        """Record that the event loop was blocked."""
        self.metrics.blocked.observe({}, seconds)
        self.response_ends.note_blocked(seconds)

    def _note_surplus(self, address: str, size: int) -> None:
        """Record that an upstream answered a control call more than once."""
        self.metrics.surplus_answers.inc({})
        logs.event(_logger, "surplus_answer", address=address, bytes=size)

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, t.Any]
    ) -> None:
        """Log an error that the event loop met outside of any task.

        It reports a failure to accept once for each connection that it expected.
        """
        error = context.get("exception")
        is_accept = isinstance(error, OSError) and "socket" in context
        if not is_accept:
            loop.default_exception_handler(context)
        elif not self._load.note_accept_error():
            return
        logs.event(
            _logger,
            "loop_error",
            level=logging.ERROR,
            reason=context.get("message", ""),
            error=repr(error),
        )

    # Serving

    async def _serve(self, job: Job, reply: Reply) -> None:
        if self.view.table is None:
            await self.follower.wait_for_first_attempt(FIRST_VIEW_TIMEOUT_SECONDS)
        self.reports.note_use()
        await self.dispatcher.serve(job, reply)

    def _caller_limits(self) -> CallerLimits:
        return self.view.table.limits if self.view.table else CallerLimits()

    def _engines_to_poll(self, service: str) -> list[Upstream]:
        """Return the engines of a service whose load reports this node polls.

        Reports of the other engines arrive from this node's leader.  Engines charge
        for each poll, so while the store is unavailable only some of the nodes
        without a leader poll all engines.
        """
        engines = self.upstreams.of(service)
        polls_all = self.follower.leader is None and self.roster.is_standby()
        if not polls_all or self.upstreams.pools_of(service) > 1:
            engines = self.owners.owned(service)
        # Engines that are evacuated or asked for backoff are not polled.
        now = boottime()
        return [e for e in engines if not e.evacuated and not e.backing_off(now)]

    async def _apply_loop(self) -> None:
        """Periodically apply the current configuration to the components."""
        while True:
            self._suspension_log.log(view_age=self.view.age)
            # Sampled in every round: after an outage the first retry's share of the
            # budget is computed from the largest recent fleet size.
            self.fleet_size.count()
            self.rate_limits.coordinators.note_members()
            table = self.view.table
            if table is not None:
                services = table.services_by_name.values()
                self.reports.follow({s.name for s in services if s.engine})
                self.front.apply_limits()
            self._set_gauges()
            await asyncio.sleep(APPLY_INTERVAL_SECONDS)

    def _set_gauges(self) -> None:
        """Update the gauges from the current state."""
        for name, value in self.state().gauges().items():
            self.metrics.values.set({"name": name}, value)

    def _note_transfer(
        self, direction: str, outcome: str, size: int, seconds: float
    ) -> None:
        self.metrics.note_transfer(direction, outcome, size, seconds)
        if direction == "sent":
            self._load.note_sent(size)

    def _count_connection(self, outcome: str) -> None:
        self.metrics.caller_connections.inc({"outcome": outcome})
        self._load.note_connection(outcome)

    def _describe_load(self) -> dict[str, t.Any]:
        """Return what the line on the node's load says of this moment."""
        return {
            "open": self._gate.open_connections(),
            "unread": self.held.replies.held,
            "tunnels": self.tunnels.active,
            "ready": self.ready,
        }

    # Request handlers

    async def _handle_ready(self, request: web.Request) -> web.Response:
        self._load.note_ready_check()
        if self.view.table is None or self.stopping:
            return web.Response(status=503)
        passed = await self._self_check.run()
        return web.Response(status=200 if passed else 503)

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        content, headers = self.metrics.page(request.headers.getall("Accept", []))
        return web.Response(body=content, headers=headers)

    async def _handle_state(self, request: web.Request) -> web.Response:
        return web.json_response(self.state().describe())
