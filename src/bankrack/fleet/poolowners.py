"""Selects the node that keeps the ledger of a pool of engines, and queries it.

All nodes compute the same order of members. The first responsive member owns the first
pool, the next one the second, and so on. Nodes that disagree for a moment place runs
with less knowledge, which is safe as each engine confirms its reservations itself.
"""

import asyncio
import functools
import logging
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.fleet.documents import Member
from bankrack.fleet.messages import decode_message
from bankrack.fleet.messages import decode_verdict
from bankrack.fleet.messages import encode_verdict
from bankrack.fleet.messages import IdentifiedQuery
from bankrack.fleet.messages import is_digest
from bankrack.fleet.messages import PlacementQuery
from bankrack.fleet.messages import QueueingResponse
from bankrack.fleet.messages import RunUpdate
from bankrack.fleet.messages import RunUpdateKind
from bankrack.fleet.reports import encode_reports
from bankrack.fleet.reports import merge_reports
from bankrack.fleet.reports import ReportMessage
from bankrack.fleet.roster import rank_members
from bankrack.fleet.suspects import SuspectList
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import LEARN_SECONDS
from bankrack.placement.allocation import PlacementRequest
from bankrack.placement.ledger import Ledger
from bankrack.serving.assignment import Assignment
from bankrack.serving.choice import Chooser
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.job import Demand
from bankrack.serving.pools import count_pools
from bankrack.serving.pools import pool_of
from bankrack.serving.pools import select_pool
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import Upstreams
from bankrack.utils import stable_digest

PLACE_PATH = "/peer/place"
NOTES_PATH = "/peer/notes"
QUERY_TIMEOUT_SECONDS = 0.04
"""Longest wait for a pool owner's response."""
FLUSH_INTERVAL_SECONDS = 0.1
"""Delay by which run updates are batched."""
FLUSH_TIMEOUT_SECONDS = 0.5
CROWDED_SECONDS = 10.0
"""Queries are identified for this long after the owner queued or refused a run; several
times the interval between two runs of a node of a large fleet."""
DIGEST_LENGTH = 12
"""Length of the digests that identify a query; with 48 bits collisions are rare and
only affect the order of waiting runs."""
MAX_QUEUED_UPDATES = 500
"""Run updates kept between two flushes; further ones are dropped."""

UNIDENTIFIED_FIELDS = len(PlacementQuery.__struct_fields__)
"""Fields of a query that does not tell whose run it is."""

_logger = logging.getLogger(__name__)


class Ledgers:
    """The ledgers that this node owns, by service and pool, and their HTTP handlers.

    :param note_use: called on queries of other nodes, as engines are polled while in
        use.
    :param crashed_since: returns the upstreams that crashed after a given time.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        chooser: Chooser,
        *,
        note_use: t.Callable[[], None] = lambda: None,
        crashed_since: t.Callable[[float], t.Collection[str]] = lambda moment: (),
    ) -> None:
        self._ended_since = crashed_since
        self._upstreams = upstreams
        self._chooser = chooser
        self._note_use = note_use
        self.learn_seconds = LEARN_SECONDS
        self.invalid_digests = 0
        self._allocator_by_pool: dict[tuple[str, int], Allocator] = {}

    def decide(self, query: IdentifiedQuery) -> Verdict:
        """Decide on a run; records an admitted run as placed on its first engine."""
        of_service = self._upstreams.open_of(query.service)
        of_pool = select_pool(of_service, query.pool, query.pools)
        engines = [engine for engine in of_pool if engine.id not in query.avoid]
        if not engines:
            return Admit(())
        placement = PlacementRequest(
            run=query.run,
            demand=Demand(prompt=query.prompt, output_limit=query.output),
            memory=query.memory,
            hall=query.hall,
            rank=query.rank,
            due=query.due,
            left=query.left,
            silence_left=query.silence_left,
            cold_rate=query.cold_rate,
            workspace=self._digest_or_unknown(query.workspace),
            caller=self._digest_or_unknown(query.caller),
        )
        allocator = self._allocator(query.service, query.pool)
        if query.copy:
            return allocator.place_copy(engines, placement)
        return allocator.decide(engines, placement)

    def _digest_or_unknown(self, value: t.Any) -> str:
        if is_digest(value):
            return t.cast("str", value)
        self.invalid_digests += 1
        return ""

    def take(self, update: RunUpdate) -> None:
        """Apply an update on a run."""
        ledger = self._ledger(update.service, update.pool)
        match update.kind:
            case "placed":
                demand = Demand(prompt=update.prompt, output_limit=update.output)
                ledger.place(update.run, update.engine, demand)
            case "began":
                ledger.begin(update.run, update.engine, took=update.took)
                if engine := self._upstreams.by_id.get(update.engine):
                    self._chooser.answered(engine, failed=False)
            case "failed":
                if engine := self._upstreams.by_id.get(update.engine):
                    self._chooser.suspect(engine)
                    self._chooser.answered(engine, failed=True)
            case "ended":
                ledger.end(update.run, took=update.took)
            case "copy_dropped":
                ledger.drop_copy(update.run)

    def describe(self, workspaces: t.Iterable[str]) -> list[dict[str, t.Any]]:
        """Return the owned pools for the state dump.

        :param workspaces: names of the workspaces, of which the owner knows digests.
        """
        name_by_digest = {workspace_digest(name): name for name in workspaces}
        return [
            {
                "service": service,
                "pool": pool,
                **allocator.crowding.describe(name_by_digest),
            }
            for (service, pool), allocator in self._allocator_by_pool.items()
        ]

    def gauges(self) -> dict[str, float]:
        """Return the values of the gauges of all owned pools by name."""
        crowdings = [each.crowding for each in self._allocator_by_pool.values()]
        return {
            "runs_waiting": float(sum(len(each.queue) for each in crowdings)),
            "runs_refused": float(sum(each.refused for each in crowdings)),
            "returns_booked": float(sum(len(each.calendar) for each in crowdings)),
            "returns_matched": float(sum(each.calendar.matched for each in crowdings)),
            "returns_expired": float(sum(each.calendar.expired for each in crowdings)),
            "digests_invalid": float(self.invalid_digests),
        }

    async def handle_query(self, request: web.Request) -> web.Response:
        """Answer another node's query."""
        query = decode_message(await request.read(), IdentifiedQuery)
        self._note_use()
        verdict = self.decide(query)
        reports: list[ReportMessage] = []
        if query.pools > 1 and isinstance(verdict, Admit):
            by_id = self._upstreams.by_id
            reports = encode_reports(by_id[name] for name in verdict.engines)
        advice = encode_verdict(verdict, reports)
        return web.Response(body=msgspec.msgpack.encode(advice))

    async def handle_run_updates(self, request: web.Request) -> web.Response:
        """Apply run updates of another node."""
        body = await request.read()
        for update in decode_message(body, list[RunUpdate]):
            self.take(update)
        return web.Response()

    def _allocator(self, service: str, pool: int) -> Allocator:
        key = service, pool
        if key not in self._allocator_by_pool:
            allocator = Allocator(
                learn_seconds=self.learn_seconds,
                crashed_since=functools.partial(self._crashed_of, service),
            )
            self._allocator_by_pool[key] = allocator
        return self._allocator_by_pool[key]

    def _crashed_of(self, service: str, moment: float) -> list[str]:
        """Return the engines of a service that crashed after a given time."""
        found = [(i, self._upstreams.find(i)) for i in self._ended_since(moment)]
        return [i for i, known in found if known and known.record.service == service]

    def _ledger(self, service: str, pool: int) -> Ledger:
        return self._allocator(service, pool).ledger


class PoolOwnerClient:
    """Queries pool owners, which may be this node itself.

    :param members: returns the live members.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        ledgers: Ledgers,
        upstreams: Upstreams,
        cold: ColdQuotas,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._cold = cold
        self._clock = clock
        self._session = session
        self._own = own
        self._members = members
        self._ledgers = ledgers
        self._upstreams = upstreams
        self._suspects = SuspectList(clock=clock)
        self._updates: list[RunUpdate] = []
        self._has_updates = asyncio.Event()
        self._owner_name_by_pool: dict[int, str] = {}
        self._crowded_until_by_pool: dict[tuple[str, int], float] = {}

    def owner(self, pool: int) -> Member:
        """Return the member that owns a pool's ledgers: the first responsive one."""
        member = self._owner_of(pool, self._ranked())
        if member.name != self._owner_name_by_pool.get(pool):
            self._owner_name_by_pool[pool] = member.name
            logs.event(_logger, "owner_chosen", pool=pool, owner=member.name)
        return member

    def owned(self, service: str) -> list[Upstream]:
        """Return the engines of a service whose ledger this node owns."""
        engines = self._upstreams.of(service)
        pools = count_pools(len(engines))
        ranked = self._ranked()
        own = {
            pool
            for pool in range(pools)
            if self._owner_of(pool, ranked).name == self._own.name
        }
        return [engine for engine in engines if pool_of(engine.id, pools) in own]

    @property
    def owns_first_pool(self) -> bool:
        """Whether this node owns the first pool."""
        return self.owner(0).name == self._own.name

    def _ranked(self) -> list[Member]:
        return rank_members([*self._members(), self._own])

    def _owner_of(self, pool: int, ranked: list[Member]) -> Member:
        start = pool % len(ranked)
        for member in [*ranked[start:], *ranked[:start]]:
            if self._suspects.is_trusted(member):
                return member
        return self._own

    async def decide(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict | None:
        """Have the owner decide on a run; ``None`` if it does not respond."""
        return await self._query(work, memory=memory, avoid=avoid, copy=False)

    async def place_copy(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict | None:
        """Have the owner choose engines for a copy of a run."""
        return await self._query(work, memory=memory, avoid=avoid, copy=True)

    async def _query(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str], copy: bool
    ) -> Verdict | None:
        demand = work.job.demand
        service = work.service.name
        engines = self._upstreams.of(service)
        pools = count_pools(len(engines))
        query = IdentifiedQuery(
            service=service,
            pool=pool_of(work.job.id, pools),
            pools=pools,
            run=work.job.id,
            prompt=demand.prompt,
            output=demand.output,
            memory=memory,
            hall=self._own.hall,
            avoid=[*avoid, *self._unavailable_here(engines)],
            rank=(work.priority, work.route.priority),
            due=work.job.arrived + work.route.target_latency - boottime(),
            left=work.time_left(),
            silence_left=work.silence_left(),
            cold_rate=self._cold.owner_rate(work.service),
            copy=copy,
            workspace=workspace_digest(work.workspace or ""),
            caller=work.fingerprint[:DIGEST_LENGTH],
        )
        owner = self.owner(query.pool)
        if owner.name == self._own.name:
            return self._ledgers.decide(query)
        key = service, query.pool
        # Copies go before all queued runs, whoever they belong to.
        until = None if copy else self._crowded_until_by_pool.get(key)
        if until is not None and self._clock() < until:
            verdict = await self._ask(owner, query)
        else:
            plain = msgspec.structs.astuple(query)[:UNIDENTIFIED_FIELDS]
            verdict = await self._ask(owner, plain)
            if isinstance(verdict, Refuse) and not copy:
                verdict = await self._ask(owner, query)
        if isinstance(verdict, Wait | Refuse) and not copy:
            self._crowded_until_by_pool[key] = self._clock() + CROWDED_SECONDS
        return verdict

    async def _ask(self, owner: Member, query: t.Any) -> Verdict | None:
        """Send a query to the owner; ``None`` if it does not respond."""
        body = await self._post(owner, PLACE_PATH, query, QUERY_TIMEOUT_SECONDS)
        if body is None:
            return None
        try:
            advice = msgspec.msgpack.decode(body, type=QueueingResponse)
        except msgspec.MsgspecError as error:
            self._suspect(owner, f"invalid response: {error}")
            return None
        merge_reports(self._upstreams, advice.reports)
        verdict = decode_verdict(advice)
        if isinstance(verdict, Admit):
            return Admit(
                tuple(self._available_here(verdict.engines)),
                backup_fits=verdict.backup_fits,
            )
        return verdict

    def _available_here(self, ids: t.Iterable[str]) -> t.Iterator[str]:
        """Yield the engines that accept new work according to this node."""
        by_id = self._upstreams.by_id
        now = self._clock()
        return (i for i in ids if i in by_id and by_id[i].is_available(now))

    def _unavailable_here(self, engines: t.Iterable[Upstream]) -> t.Iterator[str]:
        """Yield the engines that do not accept new work according to this node.

        The owner may not have received the notices that this node did, and would offer
        these engines on each attempt of the run.
        """
        now = self._clock()
        for engine in engines:
            if not engine.is_available(now):
                yield engine.id

    def placed(self, work: Assignment, engine: Upstream) -> None:
        """Report that a run was placed on another engine than the first one offered."""
        demand = work.job.demand
        self._queue_update(
            work, "placed", engine.id, prompt=demand.prompt, output=demand.output
        )

    def began(self, work: Assignment, engine: Upstream, *, took: float) -> None:
        """Report that a run produced its first event on ``engine``."""
        self._queue_update(work, "began", engine.id, took=took)

    def failed(self, work: Assignment, engine: Upstream) -> None:
        """Report an engine that was unreachable, disconnected or produced no event."""
        pools = count_pools(len(self._upstreams.of(work.service.name)))
        if self.owner(pool_of(work.job.id, pools)).name != self._own.name:
            self._queue_update(work, "failed", engine.id)

    def ended(self, work: Assignment, *, took: float) -> None:
        """Report the end of a run."""
        self._queue_update(work, "ended", "", took=took)

    def copy_dropped(self, work: Assignment) -> None:
        """Report that a run has no copy although one was admitted."""
        self._queue_update(work, "copy_dropped", "")

    async def run(self) -> None:
        """Send queued run updates until cancelled."""
        while True:
            await self._has_updates.wait()
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self._has_updates.clear()
            updates, self._updates = self._updates, []
            updates_by_pool: dict[int, list[RunUpdate]] = {}
            for update in updates:
                updates_by_pool.setdefault(update.pool, []).append(update)
            for pool, of_pool in updates_by_pool.items():
                await self._send_updates(pool, of_pool)

    async def _send_updates(self, pool: int, updates: list[RunUpdate]) -> None:
        owner = self.owner(pool)
        if owner.name != self._own.name:
            await self._post(owner, NOTES_PATH, updates, FLUSH_TIMEOUT_SECONDS)
            return
        for update in updates:
            self._ledgers.take(update)

    def _queue_update(
        self,
        work: Assignment,
        kind: RunUpdateKind,
        engine: str,
        prompt: int = 0,
        output: int = 0,
        took: float = 0.0,
    ) -> None:
        service = work.service.name
        pool = pool_of(work.job.id, count_pools(len(self._upstreams.of(service))))
        run = work.job.id
        update = RunUpdate(service, pool, run, kind, engine, prompt, output, took)
        if len(self._updates) < MAX_QUEUED_UPDATES:
            self._updates.append(update)
        self._has_updates.set()

    async def _post(
        self, owner: Member, path: str, message: t.Any, seconds: float
    ) -> bytes | None:
        """Post a message to the owner; ``None`` if it does not respond."""
        url = f"http://{owner.address}{path}"
        data = msgspec.msgpack.encode(message)
        try:
            async with (
                asyncio.timeout(seconds),
                self._session.post(url, data=data) as response,
            ):
                body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._suspect(owner, repr(error))
            return None
        if response.status != 200:
            self._suspect(owner, f"status {response.status}")
            return None
        return body

    def _suspect(self, owner: Member, reason: str) -> None:
        self._suspects.suspect(owner)
        logs.event(_logger, "owner_lost", owner=owner.name, reason=reason)


@functools.lru_cache(maxsize=1024)
def workspace_digest(workspace: str) -> str:
    """Digest of a workspace's name; empty without a workspace."""
    return stable_digest(workspace).hex()[:DIGEST_LENGTH] if workspace else ""
