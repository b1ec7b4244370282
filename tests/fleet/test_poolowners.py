"""Tests of the owners of pools and of the queries to them."""

import asyncio
import contextlib
import math
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.coldstart import ColdTolerance
from bankrack.fleet import poolowners
from bankrack.fleet.documents import Member
from bankrack.fleet.ledgers import Ledgers
from bankrack.fleet.messages import decode_verdict
from bankrack.fleet.messages import IdentifiedQuery
from bankrack.fleet.messages import PaceUpdate
from bankrack.fleet.messages import PlacementQuery
from bankrack.fleet.messages import PlacementResponse
from bankrack.fleet.messages import QueueingResponse
from bankrack.fleet.messages import RunUpdate
from bankrack.fleet.poolowners import CROWDED_SECONDS
from bankrack.fleet.poolowners import FLUSH_INTERVAL_SECONDS
from bankrack.fleet.poolowners import NOTES_PATH
from bankrack.fleet.poolowners import PLACE_PATH
from bankrack.fleet.poolowners import PoolOwnerClient
from bankrack.fleet.roster import rank_members
from bankrack.fleet.suspects import SUSPICION_SECONDS
from bankrack.serving.assignment import Assignment
from bankrack.serving.choice import Chooser
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.gaps import GapMeter
from bankrack.serving.job import Demand
from bankrack.serving.job import Job
from bankrack.serving.job import RequestKind
from bankrack.serving.pools import candidate_pools
from bankrack.serving.pools import pool_of
from bankrack.serving.registry import Upstreams
from bankrack.serving.routing import Route
from bankrack.serving.routing import Service
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.fakes import free_address

MEMORY = 30_000


def assignment(run: str) -> Assignment:
    job = Job(
        id=run,
        method="POST",
        host="h",
        target="/",
        headers=[],
        body=b"",
        key=None,
        arrived=boottime(),
        caller_timeout=None,
        demand=Demand(prompt=3000, output_limit=500),
    )
    route = Route("r", "h", "/", (), RequestKind.STREAM, 30.0, 1.0, gap_target=0.18)
    return Assignment(job, route, Service("s"), None, 0, 1e9, fingerprint="f00d")


class Node:
    """A node's ledgers and its client for pool owners."""

    def __init__(self, member: Member, members: list[Member]) -> None:
        self.now = 100.0
        self.upstreams = Upstreams()
        for name in ("one", "two", "three"):
            self.upstreams.put(UpstreamRecord(name, "s", "10.0.0.1:1", "a", slots=8))
        self.ledgers = Ledgers(self.upstreams, Chooser(hall="a"))
        self.session = aiohttp.ClientSession()
        self.client = PoolOwnerClient(
            self.session,
            member,
            lambda: members,
            self.ledgers,
            self.upstreams,
            ColdQuotas(member.name, lambda: [m.name for m in members], ColdTolerance()),
            clock=lambda: self.now,
        )
        self.address = member.address
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        application = web.Application()
        application.router.add_post(PLACE_PATH, self.ledgers.handle_query)
        application.router.add_post(NOTES_PATH, self.ledgers.handle_run_updates)
        self._runner = web.AppRunner(application, shutdown_timeout=0.05)
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        await self.session.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def query_engines(self, run: str) -> list[str] | None:
        """Query the engines for a run; ``None`` if the owner does not respond."""
        verdict = await self.client.decide(assignment(run), memory=MEMORY, avoid=())
        if verdict is None:
            return None
        assert isinstance(verdict, Admit), verdict
        return list(verdict.engines)


@contextlib.asynccontextmanager
async def two_nodes() -> t.AsyncIterator[tuple[Node, Node]]:
    """Run the owner and a node that queries it; only the owner listens."""
    members = [Member(f"n-{n}", free_address(), "a", 1000.0) for n in range(2)]
    owning, asking = rank_members(members)
    nodes = Node(owning, members), Node(asking, members)
    await nodes[0].start()
    try:
        yield nodes
    finally:
        for node in nodes:
            await node.stop()


class OwnershipTest(TestCase):
    async def test_all_nodes_compute_same_owner(self):
        async with two_nodes() as (owner, other):
            self.assertTrue(owner.client.owns_first_pool)
            self.assertFalse(other.client.owns_first_pool)

    def test_member_with_wide_link_is_ranked_first(self):
        narrow = [Member(f"n-{n}", "", "a", 10.0) for n in range(8)]
        wide = Member("w", "", "b", 1000.0)
        self.assertEqual("w", rank_members([*narrow, wide])[0].name)


class PlacementTest(TestCase):
    async def test_runs_of_all_nodes_are_spread_over_engines(self):
        async with two_nodes() as (owner, other):
            firsts = []
            for number in range(3):
                node = (owner, other)[number % 2]
                ordered = await node.query_engines(f"r-{number}")
                assert ordered is not None
                firsts.append(ordered[0])
            self.assertEqual({"one", "two", "three"}, set(firsts))

    async def test_leaving_engine_is_not_offered(self):
        async with two_nodes() as (_, other):
            other.upstreams.put(
                UpstreamRecord("two", "s", "10.0.0.1:1", "a", slots=8, leaving=True)
            )
            self.assertNotIn("two", await other.query_engines("r-1") or [])

    async def test_engines_unavailable_to_asking_node_are_avoided(self):
        """The owner records the engine in use and offers others to other nodes."""
        async with two_nodes() as (owner, other):
            other.upstreams.by_id["one"].note_leaving(1.0)
            other.upstreams.by_id["two"].note_backoff(other.now + 3.0)
            self.assertEqual(["three"], await other.query_engines("r-1"))
            placed = owner.ledgers._ledger("s", 0)._placement_by_run
            self.assertEqual(["three"], [p.engine for p in placed.values()])
            other_engines = await owner.query_engines("r-2") or []
            self.assertLessEqual({"one", "two"}, set(other_engines))
            engines = other.upstreams.of("s")
            self.assertEqual(
                ["one", "two"], list(other.client._unavailable_here(engines))
            )
            other.now += 3.5
            self.assertEqual(["one"], list(other.client._unavailable_here(engines)))

    async def test_unreachable_owner_is_skipped_temporarily(self):
        async with two_nodes() as (owner, other):
            await owner.stop()
            self.assertIsNone(await other.query_engines("r-1"))
            self.assertTrue(other.client.owns_first_pool)
            self.assertIsNotNone(await other.query_engines("r-2"))
            other.now += SUSPICION_SECONDS + 0.1
            self.assertFalse(other.client.owns_first_pool)

    async def test_run_updates_reach_owner(self):
        async with two_nodes() as (owner, other):
            work = assignment("r-1")
            sending = asyncio.create_task(other.client.run())
            other.client.placed(work, other.upstreams.by_id["one"])
            await asyncio.sleep(3 * FLUSH_INTERVAL_SECONDS)
            self.assertNotEqual("one", (await owner.query_engines("r-2") or [""])[0])
            other.client.ended(work, took=0.0)
            other.client.ended(assignment("r-2"), took=0.0)
            await asyncio.sleep(3 * FLUSH_INTERVAL_SECONDS)
            ledger = owner.ledgers._ledger("s", 0)
            self.assertEqual({}, ledger._placement_by_run)
            sending.cancel()

    async def test_run_that_comes_back_to_a_pool_stays_placed_there(self):
        async with two_nodes() as (owner, other):
            sending = asyncio.create_task(other.client.run())
            other.client.rooms._leave(assignment("r-1"), 0)
            other.client.rooms._leave(assignment("r-2"), 0)
            self.assertIsNotNone(await other.query_engines("r-1"))
            await asyncio.sleep(3 * FLUSH_INTERVAL_SECONDS)
            ledger = owner.ledgers._ledger("s", 0)
            self.assertEqual(["r-1"], list(ledger._placement_by_run))
            sending.cancel()

    async def test_gaps_of_streams_reach_owner_and_the_next_one(self):
        async with two_nodes() as (owner, other):
            sending = asyncio.create_task(other.client.run())
            for _ in range(2):
                for engine, gap in (("one", 0.05), ("two", 0.03), ("three", 0.018)):
                    meter = GapMeter(engine)
                    for number in range(40):
                        meter.add(gap, 100.0 + number)
                    other.client.paced(assignment(f"r-{engine}"), meter)
                await asyncio.sleep(3 * FLUSH_INTERVAL_SECONDS)
                ledger = owner.ledgers._ledger("s", 0)
                factors = [ledger.speeds.factor(e) for e in ("one", "two", "three")]
                self.assertEqual(sorted(factors, reverse=True), factors)
                self.assertGreater(factors[0], 1.4)
                self.assertIn("one", owner.ledgers.describe_speeds()["s"])
                # The owner is gone; running streams tell the next one.
                await owner.stop()
                other.client._suspect(owner.client._own, "gone")
                owner = other
            sending.cancel()

    def test_updates_without_gaps_are_encoded_as_before(self):
        update = RunUpdate("s", 0, "r-1", "began", "one", took=0.5)
        data = msgspec.msgpack.encode([update])
        self.assertEqual(8, len(msgspec.msgpack.decode(data)[0]))
        [decoded] = msgspec.msgpack.decode(data, type=list[PaceUpdate])
        self.assertEqual((0.5, 0), (decoded.took, decoded.events))

    async def test_absurd_gaps_change_nothing(self):
        async with two_nodes() as (owner, _):
            for took in (0.0, -1.0, float("nan"), float("inf")):
                owner.ledgers.take(PaceUpdate("s", 0, "r", "paced", "one", took=took))
            self.assertEqual({}, owner.ledgers.describe_speeds())

    async def test_query_without_pools_is_rejected(self):
        placement_query = PlacementQuery("s", 0, 0, "r-1", 1, 1, MEMORY, "a", [])
        async with two_nodes() as (owner, other):
            url = f"http://{owner.address}{PLACE_PATH}"
            data = msgspec.msgpack.encode(placement_query)
            async with other.session.post(url, data=data) as response:
                self.assertEqual(400, response.status)

    async def test_run_is_queued_only_where_it_asks_for_it(self):
        async with two_nodes() as (owner, _):
            for engine in owner.upstreams.of("s"):
                engine.suspect_until = boottime() + 60.0
            pool = pool_of("one", 2)
            query = IdentifiedQuery("s", pool, 2, "r-1", 100, 1, MEMORY, "a", [])
            query.left = query.silence_left = 30.0
            allocator = owner.ledgers._allocator("s", pool)
            for queue in (False, True):
                query.queue = queue
                self.assertIsInstance(owner.ledgers.decide(query), Wait)
                self.assertEqual(int(queue), len(allocator.queue))
            owner.ledgers.take(RunUpdate("s", pool, "r-1", "ended"))
            self.assertEqual(0, len(allocator.queue))

    def test_absurd_times_in_response_are_rejected(self):
        for value in (-1.0, 1e9, math.nan, math.inf):
            for response in (
                PlacementResponse([], [], "wait", value),
                PlacementResponse([], [], "refuse", expected=value),
            ):
                with self.assertRaises(msgspec.ValidationError):
                    body = msgspec.msgpack.encode(response)
                    msgspec.msgpack.decode(body, type=PlacementResponse)

    async def test_malformed_message_is_rejected_without_effect(self):
        async with two_nodes() as (owner, other):
            for path in (PLACE_PATH, NOTES_PATH):
                url = f"http://{owner.address}{path}"
                async with other.session.post(url, data=b"\xc1nonsense") as response:
                    self.assertEqual(400, response.status)
            self.assertIsNotNone(await other.query_engines("r-1"))


class TwoPoolsTest(TestCase):
    """A node whose run is admitted by its second pool only."""

    @contextlib.asynccontextmanager
    async def running(self) -> t.AsyncIterator[PoolOwnerClient]:
        members = [Member(f"n-{n}", free_address(), "a", 1000.0) for n in range(2)]
        node = Node(members[0], members)
        node.upstreams.pools_of = lambda service: 2
        self.first, self.second = candidate_pools("r-1", 2)
        self.queries = []
        self.work = assignment("r-1")

        async def ask(owner: Member, query: t.Any) -> Verdict | None:
            self.queries.append(query)
            return self.verdict(query)

        node.client._ask = ask
        node.client._owner_of = lambda pool, ranked: members[1]
        yield node.client
        await node.stop()

    def verdict(self, query: t.Any) -> Verdict | None:
        return self.first_waits(query, Admit(("one",)))

    def first_waits(self, query: t.Any, second: Verdict | None) -> Verdict | None:
        pool = query.pool if isinstance(query, IdentifiedQuery) else query[1]
        return Wait(0.3, 4, 3.0) if pool == self.first else second

    async def test_updates_and_copies_follow_run(self):
        async with self.running() as client:
            await client.decide(self.work, memory=MEMORY, avoid=())
            await client.place_copy(self.work, memory=MEMORY, avoid=())
            self.assertEqual(self.second, self.queries[-1][1])
            client.ended(self.work, took=1.0)
            ended = [(update.kind, update.pool) for update in client._updates]
            self.assertEqual([("ended", self.first), ("ended", self.second)], ended)
            self.assertEqual(self.first, client.rooms.pool(self.work, 2))

    async def test_silent_second_owner_is_told_that_run_is_not_there(self):
        self.verdict = lambda query: self.first_waits(query, None)
        async with self.running() as client:
            await client.decide(self.work, memory=MEMORY, avoid=())
            [update] = client._updates
            self.assertEqual(("ended", self.second), (update.kind, update.pool))

    async def test_second_owner_is_asked_once_and_not_to_queue(self):
        self.verdict = lambda query: Refuse(9, 5.0)
        async with self.running() as client:
            pools = {"pool": 1, "pools": 2}
            await client._query(
                self.work, memory=MEMORY, avoid=(), queue=False, **pools
            )
        [query] = self.queries
        self.assertIsInstance(query, IdentifiedQuery)
        self.assertFalse(query.queue)


class CrowdedPoolTest(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(poolowners, "QUERY_TIMEOUT_SECONDS", 5.0)

    def fill(self, owner: Node) -> None:
        """Take all slots of the three engines."""
        ledger = owner.ledgers._ledger("s", 0)
        for number in range(8):
            for name in ("one", "two", "three"):
                ledger.place(f"{name}-{number}", name, Demand(10, output_limit=500))

    async def test_queries_are_identified_only_once_a_run_had_to_wait(self):
        async with two_nodes() as (owner, other):
            seen: list[t.Any] = []
            decide = owner.ledgers.decide
            owner.ledgers.decide = lambda query: seen.append(query) or decide(query)
            await other.query_engines("r-1")
            self.fill(owner)
            seen.clear()
            for run in ("r-2", "r-3"):
                await other.client.decide(assignment(run), memory=MEMORY, avoid=())
            other.now += CROWDED_SECONDS + 1.0
            await other.client.decide(assignment("r-4"), memory=MEMORY, avoid=())
            identified = [bool(query.caller) for query in seen]
            # A run that would be refused without identification asks again with it.
            self.assertEqual([False, True, True, False, True], identified)

    async def test_query_of_an_older_node_is_accepted(self):
        query = PlacementQuery("s", 0, 1, "r-1", 1, 1, MEMORY, "a", [])
        self.assertIsInstance(await self.send(query), Admit)

    async def test_absurd_identities_change_nothing_but_a_count(self):
        for value in (math.nan, -1, 10**9, "x" * 1000, ["a"], None):
            query = IdentifiedQuery(
                "s", 0, 1, "r-1", 1, 1, MEMORY, "a", [], workspace=value, caller=value
            )
            self.assertIsInstance(await self.send(query, invalid=2), Admit)

    async def send(self, query: PlacementQuery, invalid: int = 0) -> Verdict:
        """Post a query to a new owner, which then has counted invalid digests."""
        async with two_nodes() as (owner, other):
            url = f"http://{owner.address}{PLACE_PATH}"
            data = msgspec.msgpack.encode(query)
            async with other.session.post(url, data=data) as response:
                body = await response.read()
            self.assertEqual(invalid, owner.ledgers.gauges()["digests_invalid"])
            return decode_verdict(msgspec.msgpack.decode(body, type=QueueingResponse))

    async def test_owner_describes_its_pools(self):
        async with two_nodes() as (owner, _):
            self.fill(owner)
            await owner.client.decide(assignment("r-1"), memory=MEMORY, avoid=())
            (pool,) = owner.ledgers.describe(["acme"])
            self.assertEqual(
                ("s", 0, 1), (pool["service"], pool["pool"], pool["refused"])
            )
