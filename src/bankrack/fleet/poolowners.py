"""Selects the node that keeps the ledger of a pool of engines, and queries it.

All nodes compute the same order of members. The first responsive member owns the first
pool, the next one the second, and so on. Nodes that disagree for a moment place runs
with less knowledge, which is safe as each engine confirms its reservations itself.
"""

import asyncio
import logging
import math
import typing as t

import aiohttp
import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.fleet.documents import Member
from bankrack.fleet.ledgers import Ledgers
from bankrack.fleet.messages import decode_verdict
from bankrack.fleet.messages import DIGEST_LENGTH
from bankrack.fleet.messages import IdentifiedQuery
from bankrack.fleet.messages import PaceUpdate
from bankrack.fleet.messages import PlacementQuery
from bankrack.fleet.messages import QueueingResponse
from bankrack.fleet.messages import RunUpdate
from bankrack.fleet.messages import RunUpdateKind
from bankrack.fleet.messages import workspace_digest
from bankrack.fleet.poolrooms import PoolRooms
from bankrack.fleet.reports import merge_reports
from bankrack.fleet.roster import rank_members
from bankrack.fleet.suspects import SuspectList
from bankrack.serving.assignment import Assignment
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.gaps import GapMeter
from bankrack.serving.pools import pool_of_engine
from bankrack.serving.pools import PoolIndex
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream

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
MAX_QUEUED_UPDATES = 500
"""Run updates kept between two flushes; further ones are dropped."""

UNIDENTIFIED_FIELDS = len(PlacementQuery.__struct_fields__)
"""Fields of a query that does not tell whose run it is."""

_logger = logging.getLogger(__name__)


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
        count_overflow: t.Callable[[str], None] = lambda outcome: None,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.rooms = PoolRooms(self._left, count=count_overflow, clock=clock)
        self._pool_index = PoolIndex(upstreams)
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
        pools = self._upstreams.pools_of(service)
        ranked = self._ranked()
        own = {
            pool
            for pool in range(pools)
            if self._owner_of(pool, ranked).name == self._own.name
        }
        return [e for e in engines if pool_of_engine(e.id, pools) in own]

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
        pools = self._upstreams.pools_of(work.service.name)

        async def ask(pool: int, queue: bool) -> Verdict | None:
            return await self._query(
                work, pool=pool, pools=pools, memory=memory, avoid=avoid, queue=queue
            )

        return await self.rooms.decide(work, pools, ask)

    async def place_copy(
        self, work: Assignment, *, memory: int, avoid: t.Collection[str]
    ) -> Verdict | None:
        """Have the owner choose engines for a copy of a run."""
        pools = self._upstreams.pools_of(work.service.name)
        pool = self.rooms.pool(work, pools)
        return await self._query(
            work,
            pool=pool,
            pools=pools,
            memory=memory,
            avoid=avoid,
            copy=True,
        )

    async def _query(
        self,
        work: Assignment,
        *,
        pool: int,
        pools: int,
        memory: int,
        avoid: t.Collection[str],
        copy: bool = False,
        queue: bool = True,
    ) -> Verdict | None:
        demand = work.job.demand
        service = work.service.name
        engines = self._pool_index.engines(service, pool, pools)
        query = IdentifiedQuery(
            service=service,
            pool=pool,
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
            queue=queue,
        )
        if not copy:
            self._drop_end(service, pool, query.run)
        owner = self.owner(query.pool)
        if owner.name == self._own.name:
            return self._ledgers.decide(query)
        unidentified = msgspec.structs.astuple(query)[:UNIDENTIFIED_FIELDS]
        if copy:
            return await self._ask(owner, unidentified)
        key = service, query.pool
        until = self._crowded_until_by_pool.get(key)
        crowded = until is not None and self._clock() < until
        verdict = await self._ask(
            owner, query if crowded or not queue else unidentified
        )
        if isinstance(verdict, Refuse) and not crowded and queue:
            verdict = await self._ask(owner, query)
        if isinstance(verdict, Wait | Refuse):
            self._crowded_until_by_pool[key] = self._clock() + CROWDED_SECONDS
        return verdict

    def _drop_end(self, service: str, pool: int, run: str) -> None:
        """Drop the queued end of a run in a pool that it asks again.

        It would be applied after the answer, and end the new placement.
        """
        self._updates = [
            update
            for update in self._updates
            if (update.kind, update.run, update.pool, update.service)
            != ("ended", run, pool, service)
        ]

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
        if (
            math.isinf(engine.slowdown_at)
            or self._clock() - engine.slowdown_at > FRESH_SECONDS
            or not self._upstreams.uneven(work.service.name)
        ):
            self._queue_update(work, "began", engine.id, took=took)
            return
        self._append_update(
            PaceUpdate(
                *self._address_of(work),
                "began",
                engine.id,
                took=took,
                stated=engine.slowdown,
            )
        )

    def paced(self, work: Assignment, gaps: GapMeter) -> None:
        """Report how far apart the events of a run are on an engine."""
        self._append_update(
            PaceUpdate(
                *self._address_of(work),
                "paced",
                gaps.engine,
                took=gaps.base,
                events=gaps.events,
                longest=gaps.longest,
                gap_target=work.route.gap_target,
                target_latency=work.route.target_latency,
            )
        )

    def failed(self, work: Assignment, engine: Upstream) -> None:
        """Report an engine that was unreachable, disconnected or produced no event."""
        if self.owner(self._pool(work)).name != self._own.name:
            self._queue_update(work, "failed", engine.id)

    def ended(self, work: Assignment, *, took: float) -> None:
        """Report the end of a run."""
        self._queue_update(work, "ended", "", took=took)
        self.rooms.forget(work)

    def _left(self, work: Assignment, pool: int) -> None:
        """Report that a run is no longer placed or queued in a pool."""
        self._queue_update(work, "ended", "", pool=pool)

    def _pool(self, work: Assignment) -> int:
        return self.rooms.pool(work, self._upstreams.pools_of(work.service.name))

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
            # An owner that does not know of paces rejects a message as a whole.
            batches: dict[tuple[int, bool], list[RunUpdate]] = {}
            for update in updates:
                key = update.pool, update.kind == "paced"
                batches.setdefault(key, []).append(update)
            for (pool, _), batch in batches.items():
                await self._send_updates(pool, batch)

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
        pool: int | None = None,
    ) -> None:
        service, own_pool, run = self._address_of(work)
        pool = own_pool if pool is None else pool
        self._append_update(
            RunUpdate(service, pool, run, kind, engine, prompt, output, took)
        )

    def _address_of(self, work: Assignment) -> tuple[str, int, str]:
        """Service, pool and id of a run."""
        return work.service.name, self._pool(work), work.job.id

    def _append_update(self, update: RunUpdate) -> None:
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
