"""The ledgers of the pools that this node owns, and the queries of other nodes."""

import functools
import typing as t

import msgspec
from aiohttp import web

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Verdict
from bankrack.decisions.pauses import PauseCost
from bankrack.fleet.messages import decode_message
from bankrack.fleet.messages import encode_verdict
from bankrack.fleet.messages import IdentifiedQuery
from bankrack.fleet.messages import is_digest
from bankrack.fleet.messages import PaceUpdate
from bankrack.fleet.messages import RunUpdate
from bankrack.fleet.messages import workspace_digest
from bankrack.fleet.reports import encode_reports
from bankrack.fleet.reports import ReportMessage
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import LEARN_SECONDS
from bankrack.placement.allocation import PlacementRequest
from bankrack.placement.ledger import Ledger
from bankrack.serving.choice import Chooser
from bankrack.serving.job import Demand
from bankrack.serving.pools import PoolIndex
from bankrack.serving.registry import Upstreams


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
        self._pool_index = PoolIndex(upstreams)
        self._upstreams = upstreams
        self._chooser = chooser
        self._note_use = note_use
        self.learn_seconds = LEARN_SECONDS
        self.invalid_digests = 0
        self._allocator_by_pool: dict[tuple[str, int], Allocator] = {}
        self._split_services: set[str] = set()

    def decide(self, query: IdentifiedQuery) -> Verdict:
        """Decide on a run; records an admitted run as placed on its first engine."""
        of_pool = self._pool_index.engines(query.service, query.pool, query.pools)
        engines = [e for e in of_pool if e.open and e.id not in query.avoid]
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
            # A return begins in another pool, which does not know the booking.
            caller=self._digest_or_unknown(query.caller) if query.pools == 1 else "",
            queue=query.queue,
        )
        allocator = self._allocator(query.service, query.pool)
        if query.pools > 1:
            self._split_services.add(query.service)
        if query.copy:
            return allocator.place_copy(engines, placement)
        verdict = allocator.decide(engines, placement)
        if not query.queue:
            allocator.queue.remove(query.run)
        return verdict

    def _digest_or_unknown(self, value: t.Any) -> str:
        if is_digest(value):
            return t.cast("str", value)
        self.invalid_digests += 1
        return ""

    def take(self, update: RunUpdate) -> None:
        """Apply an update on a run."""
        allocator = self._allocator(update.service, update.pool)
        ledger = allocator.ledger
        match update.kind:
            case "placed":
                demand = Demand(prompt=update.prompt, output_limit=update.output)
                ledger.place(update.run, update.engine, demand)
            case "began":
                ledger.begin(update.run, update.engine, took=update.took)
                if isinstance(update, PaceUpdate) and update.stated:
                    ledger.speeds.observe_stated(update.engine, update.stated)
                if engine := self._upstreams.by_id.get(update.engine):
                    self._chooser.answered(engine, failed=False)
            case "failed":
                if engine := self._upstreams.by_id.get(update.engine):
                    self._chooser.suspect(engine)
                    self._chooser.answered(engine, failed=True)
            case "ended":
                ledger.end(update.run, took=update.took)
                if update.service in self._split_services:
                    # It may have been admitted to another pool.
                    allocator.queue.remove(update.run)
            case "copy_dropped":
                ledger.drop_copy(update.run)
            case "paced" if isinstance(update, PaceUpdate):
                ledger.pace(
                    update.run,
                    update.engine,
                    gap=update.took,
                    events=update.events,
                    longest=update.longest,
                    pause_cost=PauseCost(update.gap_target, update.target_latency),
                )

    def describe_speeds(self) -> dict[str, dict[str, t.Any]]:
        """Return the speeds of the engines by service and engine."""
        found: dict[str, dict[str, t.Any]] = {}
        for (service, _), allocator in self._allocator_by_pool.items():
            if allocator.ledger.speeds.active:
                speeds = allocator.ledger.speeds.describe()
                found.setdefault(service, {}).update(speeds)
        return found

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
        for update in decode_message(body, list[PaceUpdate]):
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
