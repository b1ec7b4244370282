"""The node: one stateless daemon on each entry VM.

A node follows the configuration, serves callers and operators, and sends
heartbeats to its peers.
"""

import asyncio
import contextlib
import functools
import itertools
import logging
import typing as t

import aiohttp
from aiohttp import web

from bankrack import logs
from bankrack.background import BackgroundTasks
from bankrack.clock import boottime
from bankrack.control.claims import Claims
from bankrack.control.configuration import Configuration
from bankrack.control.configuration import Document
from bankrack.control.follower import Follower
from bankrack.control.follower import VmList
from bankrack.control.intent import Intent
from bankrack.control.intent import Upstream
from bankrack.control.keyvalue import Platform
from bankrack.control.membership import HEARTBEAT_SECONDS
from bankrack.control.membership import Membership
from bankrack.control.messages import Heartbeat
from bankrack.control.messages import MemberRecord
from bankrack.control.orders import OrderSender
from bankrack.control.peers import Peers
from bankrack.front.auth import Workspaces
from bankrack.front.callers import CallerApi
from bankrack.front.idleconnections import stop_runner
from bankrack.front.limits import InFlightLimiter
from bankrack.front.listeners import serve_application
from bankrack.front.operators import NodeSummary
from bankrack.front.operators import OperatorApi
from bankrack.front.operators import Overview
from bankrack.generations.engine import EngineClient
from bankrack.generations.jobs import GenerationContext
from bankrack.generations.plain import PlainServices
from bankrack.generations.retries import RetryBudget
from bankrack.metrics import Metrics
from bankrack.scheduling.admission import Admission
from bankrack.scheduling.health import Health
from bankrack.serving.endable import EndableRequests
from bankrack.serving.sessions import ResetAwareHandler
from bankrack.settings import Settings

DRAIN_POLL_INTERVAL_SECONDS = 0.05
DRAIN_LINGER_SECONDS = 0.3
_logger = logging.getLogger(__name__)


class Node:
    """One node process.

    ``start`` returns once the listeners are open.  ``begin_drain`` finishes the
    requests in flight before it closes the node; ``close`` does not wait for them.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.workspaces = Workspaces()
        self.configuration = Configuration(self._configuration_changed)
        self.in_flight = InFlightLimiter(
            max_requests=settings.limits.requests_in_flight
        )
        self.requests = EndableRequests()
        self.health = Health()
        self.vms = VmList()
        self.membership = Membership(name=settings.name, hall=settings.hall)
        self.peers = Peers(
            name=settings.name, address=settings.peers, key=settings.peer_key
        )
        self.draining = False
        self.stopped = asyncio.Event()
        self._heartbeat_counter = itertools.count(1)
        self._tasks = BackgroundTasks(self._count_failure)
        self._runners: list[web.AppRunner] = []
        self._sessions: list[aiohttp.ClientSession] = []
        self._drain_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open all listeners and start following the configuration."""
        self._create_clients()
        await self.peers.start()
        self.peers.handle(Heartbeat, self._handle_heartbeat)
        await self.follower.refresh()
        self._tasks.spawn(self.follower.run)
        self._tasks.spawn(self._heartbeat_loop)
        self._tasks.spawn(self.admission.run)
        self._tasks.spawn(self.admission.poll_reports)
        self._tasks.spawn(self.engines.interrupt_stalled)
        self._tasks.spawn(self.order_sender.run)
        self._tasks.spawn(self.claims.run_floor_updates)
        settings = self.settings
        callers = CallerApi(self).application()
        operators = OperatorApi(self).application()
        self._runners = [
            await serve_application(
                callers, settings.callers, tls=settings.callers_tls
            ),
            await serve_application(
                operators, settings.operators, tls=settings.operators_tls
            ),
        ]
        logs.event(
            _logger,
            "node_started",
            node=settings.name,
            callers=settings.callers,
            operators=settings.operators,
            peers=settings.peers,
            revision=self.configuration.revision,
        )

    def _create_clients(self) -> None:
        """Construct the clients; requires a running event loop."""
        platform_session = self._new_session(limit=64)
        engine_session = self._new_session(limit=0, retry_connection=False)
        plain_session = self._new_session(
            limit=0, auto_decompress=False, retry_connection=False
        )
        settings = self.settings
        self.platform = Platform(
            platform_session, settings.platform_urls, prefix=settings.platform_prefix
        )
        self.follower = Follower(
            platform=self.platform,
            configuration_in_force=self.configuration,
            peers=self.peers,
            membership=self.membership,
            vms=self.vms,
        )
        self.claims = Claims(
            platform=self.platform, peers=self.peers, writers=self._writers
        )
        engine_client = EngineClient(
            engine_session, connect_timeout=settings.limits.connect_timeout
        )
        self.admission = Admission(
            peers=self.peers,
            health=self.health,
            hall=settings.hall,
            candidates=self._candidates,
            is_leaving=self.is_leaving,
            read_report=engine_client.report,
            alone=settings.admission == "alone",
        )
        self.engines = GenerationContext(
            client=engine_client,
            admission=self.admission,
            health=self.health,
            retries=RetryBudget(),
            limits=settings.limits,
            ensure_fresh=self.follower.ensure_fresh,
            is_leaving=self.is_leaving,
        )
        self.order_sender = OrderSender(
            engine_session,
            self.platform,
            name=settings.name,
            holders=self._writers,
            groups=lambda: self.admission.groups_by_name,
            placement=lambda: self.admission.placement,
            revision=lambda: self.configuration.revision,
        )
        self.plain = PlainServices(
            plain_session,
            intent=lambda: self.configuration.intent,
            leaving=self.is_leaving,
            claimer=self.claims.claimer,
            health=self.health,
            retries=RetryBudget(),
            metrics=self.metrics,
            limits=settings.limits,
        )

    def _new_session(
        self, *, limit: int, auto_decompress: bool = True, retry_connection: bool = True
    ) -> aiohttp.ClientSession:
        """Create a client session.

        :param limit: maximum number of connections; 0 for no limit.
        :param retry_connection: whether aiohttp may retry idempotent methods when a
            connection breaks.  A request with an idempotency key must not be retried
            this way, as it would run twice.  If false, connections are not reused,
            because an idle connection may close just as a request is sent on it, and a
            surplus answer would be taken for that of the next request.
        """
        connector = aiohttp.TCPConnector(limit=limit, force_close=not retry_connection)
        loop = asyncio.get_running_loop()
        factory: t.Any = functools.partial(ResetAwareHandler, loop=loop)
        connector._factory = factory
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=auto_decompress,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        session._retry_connection = retry_connection
        self._sessions.append(session)
        return session

    def _count_failure(self) -> None:
        self.metrics.violations.inc({"kind": "background"})

    async def close(self) -> None:
        """Close immediately, without waiting for requests in flight."""
        await self._tasks.stop()
        for runner in self._runners:
            await stop_runner(runner)
        await self.peers.close()
        for session in self._sessions:
            await session.close()
        self.stopped.set()

    @property
    def ready(self) -> bool:
        """Whether the balancer may route callers to this node."""
        return self.configuration.revision > 0 and not self.draining

    def begin_drain(self, reason: str) -> None:
        """Start a drain: fail readiness, finish requests in flight, then close.

        Requests that arrive before the balancer removes this node are still served.

        :param reason: logged with the event.
        """
        if self._drain_task is not None:
            return
        self.draining = True
        logs.event(
            _logger, "drain_began", reason=reason, in_flight=self.in_flight.total
        )
        self._drain_task = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        self._send_heartbeats()
        await asyncio.sleep(self.settings.limits.drain_notice)
        self.in_flight.closed = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.limits.drain_timeout):
                while self.in_flight.total:
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
        ended = self.in_flight.total
        self.engines.ending = True
        self.requests.end_all()
        # Meanwhile the answers to these are written, and requests sent on kept-alive
        # connections are refused.
        await asyncio.sleep(DRAIN_LINGER_SECONDS)
        logs.event(_logger, "drain_ended", cut=ended)
        await self.close()

    def is_leaving(self, upstream: Upstream) -> bool:
        """Return whether an upstream must get no new requests."""
        return upstream.leaving or self.vms.leaving(upstream.name, upstream.address)

    def confirmed(self, document: Document) -> None:
        """Adopt a configuration confirmed on this node and notify the peers."""
        self.follower.adopt(document, source="confirm")
        self._send_heartbeats()

    def _own_record(self, *, counter: int) -> MemberRecord:
        settings = self.settings
        return MemberRecord(
            name=settings.name,
            address=settings.peers,
            region=settings.region,
            hall=settings.hall,
            incarnation=self.peers.incarnation,
            counter=counter,
            revision=self.configuration.revision,
            draining=self.draining,
        )

    def _candidates(self) -> list[MemberRecord]:
        """Return the nodes eligible to own groups and to write claims."""
        return self.membership.candidates(self._own_record(counter=0))

    def _writers(self) -> list[str]:
        return [record.name for record in self._candidates()]

    async def _heartbeat_loop(self) -> None:
        while True:
            if not self.membership.live():
                for seed in self.settings.seeds:
                    self.peers.add_seed(seed)
            self._send_heartbeats()
            for name in self.membership.forget_old():
                self.peers.forget(name)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _send_heartbeats(self) -> None:
        known = self.peers.peers_by_name
        own = self._own_record(counter=next(self._heartbeat_counter))
        for name in self.membership.targets(known):
            records = [own, *self.membership.digest()]
            self.peers.send(name, Heartbeat(records))

    async def _handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        self.membership.merge(heartbeat.records)
        for record in heartbeat.records:
            self.peers.set_peer(record.name, record.address)
            if record.revision > self.configuration.revision:
                self.follower.request_read()

    def _configuration_changed(self, intent: Intent) -> None:
        self.workspaces.replace(intent)
        self.admission.configure(intent)

    def overview(self) -> Overview:
        """Summarise nodes and upstreams."""
        live = {record.name for record in self.membership.live()}
        records = [m.record for m in self.membership.members_by_name.values()]
        own = self._own_record(counter=0)
        live.add(own.name)
        nodes = [
            NodeSummary(r.name, r.hall, r.revision, r.draining, r.name in live)
            for r in sorted([*records, own], key=lambda r: r.name)
        ]
        upstreams = [
            {
                "name": upstream.name,
                "kind": upstream.kind,
                "hall": upstream.hall,
                "leaving": self.is_leaving(upstream),
                "usable": self.health.usable(upstream.name),
            }
            for upstream in self.configuration.intent.upstreams_by_name.values()
        ]
        return Overview(
            self.configuration.revision, self.follower.platform_up, nodes, upstreams
        )

    def state(self) -> dict[str, t.Any]:
        """Return the state dump; it contains no secrets."""
        now = boottime()
        document = self.configuration.document
        return {
            "node": self.settings.name,
            "ready": self.ready,
            "draining": self.draining,
            "configuration": {
                "revision": self.configuration.revision,
                "plan": document.head.plan_id if document else None,
                "seconds_since_read": now - self.follower.last_successful_read_at,
                "platform_up": self.follower.platform_up,
            },
            "in_flight_by_workspace": self.in_flight.by_workspace,
            "members": [
                {
                    "name": member.record.name,
                    "revision": member.record.revision,
                    "draining": member.record.draining,
                    "silent_seconds": now - member.advanced_at,
                }
                for member in self.membership.members_by_name.values()
            ],
            "ejected_by_upstream": {
                name: max(0.0, health.ejected_until - now)
                for name, health in self.health.by_upstream.items()
            },
            "peers": {
                "bytes_sent": self.peers.bytes_sent,
                "bytes_received": self.peers.bytes_received,
                "envelopes_sent": self.peers.envelopes_sent,
                "refused": self.peers.refused,
                "dropped": self.peers.dropped,
            },
            "platform": {
                "reads": self.platform.reads,
                "writes": self.platform.writes,
                "failures": self.platform.failures,
            },
            "admission": {
                "owner_by_group": self.admission.owner_by_group,
                "owner_changes": self.admission.owner_changes,
                "decided_alone": self.admission.decided_alone,
                "held": len(self.admission.slots_by_id),
                "waiting": len(self.admission.waiting_by_id),
                "owned": [
                    self._describe_owned_group(name)
                    for name in self.admission.owners_by_group
                ],
            },
            "orders": {
                "fence_by_group": {
                    name: lease.fence
                    for name, lease in self.order_sender.leases_by_group.items()
                },
                "sent": self.order_sender.sent,
            },
            "claims": {
                "commits": sum(w.commits for w in self.claims.shard_writers),
                "conflicts": sum(w.conflicts for w in self.claims.shard_writers),
            },
        }

    def _describe_owned_group(self, name: str) -> dict[str, t.Any]:
        """Describe one group owned by this node for the state dump."""
        scheduler = self.admission.owners_by_group[name].scheduler
        engines = [
            {
                "name": engine.name,
                "usable": engine.usable,
                "granted": len(engine.granted_by_id),
                "forecast_tokens": round(engine.forecast.peak(0.0)),
                "memory_tokens": engine.memory_tokens,
            }
            for engine in scheduler.engines_by_name.values()
        ]
        return {
            "group": name,
            "waiting": len(scheduler.waiting_by_id),
            "engines": engines,
        }

    def update_gauges(self) -> None:
        """Update the gauges; called before each scrape."""
        age = boottime() - self.follower.last_successful_read_at
        values = {
            "configuration_revision": self.configuration.revision,
            "configuration_age_seconds": age,
            "requests_in_flight": self.in_flight.total,
            "members_live": len(self.membership.live()) + 1,
            "requests_waiting": len(self.admission.waiting_by_id),
            "owner_changes": self.admission.owner_changes,
            "decided_alone": self.admission.decided_alone,
            "preemptions_seen": sum(
                owner.preemptions for owner in self.admission.owners_by_group.values()
            ),
            "retries_taken": self.engines.retries.taken,
            "retries_refused": self.engines.retries.refused,
        }
        for name, value in values.items():
            self.metrics.values.set({"name": name}, value)


async def run(settings: Settings) -> None:
    """Run a node until a signal or an operator drains it."""
    import signal  # Only the daemon installs signal handlers.

    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.begin_drain, number.name)
    await node.start()
    await node.stopped.wait()
