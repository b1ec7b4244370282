"""The whole path: callers, gateway, store and upstreams in the platform's dialect."""

import asyncio
import contextlib
import time
import typing as t

import aiohttp
from aiohttp import web

from bankrack.gateway import DENIAL_AGE_SECONDS
from bankrack.gateway import Gateway
from bankrack.gateway import GatewaySettings
from bankrack.serving import copies as copies_module
from bankrack.serving import streams as streams_module
from bankrack.serving.budget import BudgetTerms
from serve import PlatformDialect
from tests.base import TestCase
from tests.fakes import free_address
from tests.platform.world import call
from tests.platform.world import configuration
from tests.platform.world import FakeEngine
from tests.platform.world import FakeServer
from tests.platform.world import FakeStore

LATEST_GONE_SECONDS = 2.9
"""Nothing may be sent to an upstream that stayed away from 3 s after an outage."""


class World:
    """A store, two plain servers, three engines and some gateways."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.plain = [FakeServer("p-1"), FakeServer("p-2")]
        self.engines = [FakeEngine(f"e-{n}") for n in range(3)]
        self.gateways: list[Gateway] = []

    async def start(self, *, configured: bool = True) -> None:
        for served in [self.store, *self.plain, *self.engines]:
            await served.start()
        for engine in self.engines:
            engine.engine_by_address = {e.address: e for e in self.engines}
        if configured:
            self.store.put("op/config", configuration())
        for server in self.plain:
            self.store.put(f"servers/{server.id}", server.entry("plain"))
        for engine in self.engines:
            self.store.put(f"servers/{engine.id}", engine.entry("engines"))

    async def gateway(self, name: str = "n-1", *, grace: float = 8.0) -> Gateway:
        settings = GatewaySettings(
            name=name,
            hall="a",
            front=free_address(),
            ready=free_address(),
            inner=free_address(),
            ready_path="/v1/readyz",
            seeds=(),
            grace=grace,
            budget=BudgetTerms(ratio=0.2, reserve=60, window=10.0),
        )
        gateway = Gateway(settings, PlatformDialect(self.store.address))
        await gateway.start()
        self.gateways.append(gateway)
        return gateway

    async def ready_gateway(self, name: str = "n-1", **more: t.Any) -> Gateway:
        gateway = await self.gateway(name, **more)
        await until(lambda: gateway.ready)
        return gateway

    async def stop(self) -> None:
        for gateway in self.gateways:
            if not gateway.stopped.is_set():
                await gateway._close()
        for served in [self.store, *self.plain, *self.engines]:
            await served.stop()

    def arrivals(self) -> list[t.Any]:
        servers = [*self.plain, *self.engines]
        return [arrival for server in servers for arrival in server.arrivals]


@contextlib.asynccontextmanager
async def running(*, configured: bool = True) -> t.AsyncIterator[World]:
    world = World()
    try:
        await world.start(configured=configured)
        yield world
    finally:
        await world.stop()


async def until(condition: t.Callable[[], bool], *, seconds: float = 5.0) -> None:
    limit = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError("the condition did not come true in time")
        await asyncio.sleep(0.01)


def not_run(status: int = 503) -> web.Response:
    return web.Response(status=status, headers={"Bankrack-Not-Executed": "1"})


class PlainRequests(TestCase):
    async def test_it_reaches_a_server_unchanged_but_for_its_own_headers(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            found = await call(
                gateway.settings.front,
                "/bill/a%2Fb?x=1&y=%20",
                headers={
                    "Hold": "stolen",
                    "Kv-From": "1.2.3.4:5/x",
                    "Bankrack-Tenant": "someone",
                    "X-Other": "kept",
                },
            )
            self.assertEqual((200, b"whole"), (found.status, found.body))
            self.assertEqual("seal", found.headers["Bankrack-Response-Seal"])
            [arrival] = world.arrivals()
            self.assertEqual("/bill/a%2Fb?x=1&y=%20", arrival.target)
            self.assertEqual(b"question", arrival.body)
            self.assertEqual("kept", arrival.get("X-Other"))
            self.assertEqual("r-1", arrival.get("Bankrack-Request-Id"))
            self.assertEqual("tutors", arrival.get("Bankrack-Tenant"))
            self.assertIsNone(arrival.get("Bankrack-Key"))
            self.assertIsNone(arrival.get("Hold"))
            self.assertIsNone(arrival.get("Kv-From"))
            left = int(arrival.get("Bankrack-Deadline-Ms"))
            self.assertLessEqual(left, 3000)
            self.assertGreater(left, 1000)

    async def test_a_repeatable_request_is_sent_again_after_a_500(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def fail(request: web.BaseRequest) -> web.Response:
                return web.Response(status=500, headers={"Bankrack-Response-Seal": "s"})

            world.plain[0].behave = fail
            for _ in range(6):
                found = await call(gateway.settings.front, "/look/x", method="GET")
                self.assertEqual(200, found.status)

    async def test_a_repeatable_request_runs_on_no_more_servers_than_allowed(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def fail(request: web.BaseRequest) -> web.Response:
                return web.Response(status=500, headers={"Bankrack-Response-Seal": "s"})

            for server in world.plain:
                server.behave = fail
            found = await call(gateway.settings.front, "/look/x", method="GET")
            self.assertEqual(500, found.status)
            self.assertEqual("s", found.headers["Bankrack-Response-Seal"])
            self.assertEqual(2, len(world.arrivals()))

    async def test_a_billed_request_that_may_have_run_is_not_sent_again(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def drop(request: web.BaseRequest) -> web.Response:
                assert request.transport is not None
                request.transport.abort()
                return web.Response()

            for server in world.plain:
                server.behave = drop
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(502, found.status)
            self.assertEqual(1, len(world.arrivals()))

    async def test_a_billed_request_that_was_rejected_goes_to_another_server(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def shed(request: web.BaseRequest) -> web.Response:
                return not_run()

            world.plain[0].behave = shed
            for _ in range(5):
                found = await call(gateway.settings.front, "/bill/x")
                self.assertEqual(200, found.status)

    async def test_one_that_may_have_run_is_never_told_that_it_has_not(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def drop(request: web.BaseRequest) -> web.Response:
                assert request.transport is not None
                request.transport.abort()
                return web.Response()

            async def shed(request: web.BaseRequest) -> web.Response:
                return not_run()

            world.plain[0].behave = drop
            world.plain[1].behave = shed
            for _ in range(4):
                found = await call(gateway.settings.front, "/look/x", method="GET")
                self.assertEqual(502, found.status)

    async def test_a_refusal_says_when_to_come_back(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def shed(request: web.BaseRequest) -> web.Response:
                return not_run()

            for server in world.plain:
                server.behave = shed
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(503, found.status)
            self.assertGreater(float(found.headers["Retry-After"]), 0.0)

    async def test_an_address_that_another_server_took_over_runs_nothing(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            world.plain[0].id = "someone-else"
            for _ in range(5):
                found = await call(gateway.settings.front, "/bill/x")
                self.assertEqual(200, found.status)
            self.assertEqual(5, len(world.plain[1].arrivals))

    async def test_an_answer_without_length_that_is_reset_is_not_whole(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def reset(request: web.BaseRequest) -> web.Response:
                transport = request.transport
                assert transport is not None
                transport.write(
                    b"HTTP/1.1 200 OK\r\nBankrack-Response-Seal: s\r\n"
                    b"Bankrack-Request-Id: r-1\r\n\r\nhalf"
                )
                await asyncio.sleep(0.05)
                sock = transport.get_extra_info("socket")
                linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                sock.setsockopt(1, 13, linger)  # SO_LINGER of zero resets.
                transport.abort()
                return web.Response()

            for server in world.plain:
                server.behave = reset
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(502, found.status)

    async def test_an_answer_for_another_request_is_not_passed_on(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def crossed(request: web.BaseRequest) -> web.Response:
                headers = {"Bankrack-Request-Id": "r-9", "Bankrack-Response-Seal": "s"}
                return web.Response(body=b"theirs", headers=headers)

            for server in world.plain:
                server.behave = crossed
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(502, found.status)
            self.assertNotIn(b"theirs", found.body)

    async def test_a_success_without_seal_is_not_passed_on(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def bare(request: web.BaseRequest) -> web.Response:
                return web.Response(body=b"what")

            for server in world.plain:
                server.behave = bare
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(502, found.status)

    async def test_the_final_answer_comes_by_the_route_timeout(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def hang(request: web.BaseRequest) -> None:
                await asyncio.sleep(60)

            for server in world.plain:
                server.behave = hang
            began = time.monotonic()
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(504, found.status)
            self.assertLess(time.monotonic() - began, 2.4)
            self.assertNotIn("Retry-After", found.headers)

    async def test_a_caller_that_leaves_ends_the_work_at_once(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def hang(request: web.BaseRequest) -> None:
                await asyncio.sleep(60)

            for server in world.plain:
                server.behave = hang
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    await call(gateway.settings.front, "/bill/x")
            await until(lambda: sum(s.cancelled for s in world.plain) == 1, seconds=0.5)


class Refusals(TestCase):
    async def test_nothing_is_denied_before_a_configuration_is_known(self):
        async with running(configured=False) as world:
            gateway = await world.gateway()
            await asyncio.sleep(0.2)
            self.assertFalse(gateway.ready)
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(503, found.status)

    async def test_unknown_keys_and_routes_are_denied(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            front = gateway.settings.front
            found = await call(front, "/bill/x", headers={"Bankrack-Key": "no"})
            self.assertEqual(401, found.status)
            self.assertEqual(404, (await call(front, "/none/x")).status)
            self.assertEqual([], world.arrivals())

    async def test_a_key_that_was_added_unseen_is_not_denied(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            await until(
                lambda: gateway.follower.leader is None and gateway.view.age < 1
            )
            world.store.watch_blind = True
            added = [{"name": "tutors", "apiKeys": ["key-1", "key-2"]}]
            world.store.put("op/config", configuration(2, tenants=added))
            # A denial may rest on a reading that is a moment old.
            await asyncio.sleep(DENIAL_AGE_SECONDS)
            found = await call(
                gateway.settings.front, "/bill/x", headers={"Bankrack-Key": "key-2"}
            )
            self.assertEqual(200, found.status)

    async def test_nothing_is_denied_while_the_store_can_not_be_asked(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            world.store.status = 503
            await asyncio.sleep(DENIAL_AGE_SECONDS + 0.2)
            found = await call(gateway.settings.front, "/none/x")
            self.assertEqual(503, found.status)
            self.assertEqual(
                200, (await call(gateway.settings.front, "/bill/x")).status
            )

    async def test_malformed_requests_get_a_typed_error(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            front = gateway.settings.front
            bad = {"Bankrack-Deadline-Ms": "soon"}
            self.assertEqual(400, (await call(front, "/bill/x", headers=bad)).status)
            big = {"X-Big": "x" * 9000}
            self.assertEqual(431, (await call(front, "/bill/x", headers=big)).status)
            body = b"x" * 100_001
            self.assertEqual(413, (await call(front, "/bill/x", body=body)).status)


class Following(TestCase):
    async def test_a_change_that_the_watch_missed_is_in_force_within_two_seconds(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            await asyncio.sleep(1.2)
            world.store.watch_blind = True
            world.store.put("op/config", configuration(2))
            table = gateway.view.table
            assert table is not None
            await until(lambda: gateway.view.table.version == 2, seconds=1.8)

    async def test_forgotten_history_is_read_anew(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            await asyncio.sleep(1.2)
            world.store.forgotten = world.store.revision + 100
            world.store.put("op/config", configuration(3))
            await until(lambda: gateway.view.table.version == 3, seconds=1.8)

    async def test_an_older_version_never_comes_back(self):
        async with running() as world:
            world.store.put("op/config", configuration(7))
            gateway = await world.ready_gateway()
            world.store.put("op/config", configuration(5))
            await asyncio.sleep(1.2)
            self.assertEqual(7, gateway.view.table.version)

    async def test_a_broken_configuration_leaves_the_last_good_one_in_force(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            world.store.put("op/config", b"{broken")
            world.store.put("servers/x", b"[]")
            await asyncio.sleep(1.2)
            self.assertEqual(
                200, (await call(gateway.settings.front, "/bill/x")).status
            )

    async def test_a_leaving_server_gets_nothing_new(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            leaving = world.plain[0]
            entry = leaving.entry("plain", state="draining")
            world.store.put(f"servers/{leaving.id}", entry)
            await until(lambda: gateway.upstreams.by_id[leaving.id].leaving)
            for _ in range(5):
                await call(gateway.settings.front, "/bill/x")
            self.assertEqual([], leaving.arrivals)

    async def test_one_node_of_a_hall_reads_and_tells_the_other(self):
        async with running() as world:
            gateways = [await world.ready_gateway(f"n-{n}") for n in range(3)]
            await until(
                lambda: sum(g.follower.leader is None for g in gateways) == 1,
                seconds=6.0,
            )
            world.store.put("op/config", configuration(4))
            await until(
                lambda: all(g.view.table.version == 4 for g in gateways), seconds=0.5
            )

    async def test_what_stays_away_after_an_outage_is_gone_everywhere_in_time(self):
        async with running() as world:
            nodes = [await world.ready_gateway(f"n-{n}") for n in range(3)]
            await until(lambda: all(len(n.view.members_by_name) == 3 for n in nodes))
            await until(lambda: sum(n.follower.leader is None for n in nodes) == 1)
            world.store.status = 503
            await asyncio.sleep(2.5)
            world.store.remove("servers/p-1")
            world.store.status = 0
            returned = time.monotonic()
            await until(lambda: all("p-1" not in n.upstreams.by_id for n in nodes))
            self.assertLess(time.monotonic() - returned, LATEST_GONE_SECONDS)

    async def test_a_follower_reads_for_itself_once_its_leader_dies(self):
        async with running() as world:
            gateways = [await world.ready_gateway(f"n-{n}") for n in range(2)]
            await until(
                lambda: sum(g.follower.leader is None for g in gateways) == 1,
                seconds=6.0,
            )
            [leader] = [g for g in gateways if g.follower.leader is None]
            [follower] = [g for g in gateways if g is not leader]
            await leader._close()
            world.store.put("op/config", configuration(4))
            await until(lambda: follower.view.table.version == 4, seconds=1.8)


class Streams(TestCase):
    def want(self, count: int = 5) -> bytes:
        return b"".join(b"id: %d\ndata: token%d\n\n" % (n, n) for n in range(count))

    async def test_it_is_passed_on_whole(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            found = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(found.whole)
            self.assertEqual(self.want(), found.body)
            [arrival] = world.arrivals()
            self.assertEqual("h-1", arrival.get("Hold"))
            self.assertIsNotNone(arrival.get("Kv-Backup"))

    async def test_it_outlives_its_engine(self):
        await self.check_cut_stream_goes_on(torn=False)

    async def test_it_outlives_its_engine_that_broke_off_inside_an_event(self):
        await self.check_cut_stream_goes_on(torn=True)

    async def check_cut_stream_goes_on(self, *, torn: bool) -> None:
        async with running() as world:
            gateway = await world.ready_gateway()

            async def cut_first(request: web.BaseRequest) -> None:
                first = "Kv-From" not in request.headers
                for engine in world.engines:
                    engine.cut_after = 2 if first else -1
                    engine.torn = torn

            for engine in world.engines:
                engine.behave = cut_first
            found = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(found.whole)
            self.assertEqual(self.want(), found.body)
            self.assertEqual(2, len(world.arrivals()))

    async def test_it_is_cut_visibly_where_no_copy_is_left(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def cut(request: web.BaseRequest) -> web.Response | None:
                for engine in world.engines:
                    engine.cut_after = 2
                return not_run() if "Kv-From" in request.headers else None

            for engine in world.engines:
                engine.behave = cut
            found = await call(gateway.settings.front, "/talk/x")
            self.assertFalse(found.whole)
            self.assertEqual(self.want(2), found.body)

    async def test_one_that_broke_before_its_first_event_is_never_run_twice(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def cut(request: web.BaseRequest) -> web.Response | None:
                for engine in world.engines:
                    engine.cut_after = 0
                return not_run() if "Kv-From" in request.headers else None

            for engine in world.engines:
                engine.behave = cut
            found = await call(gateway.settings.front, "/talk/x")
            self.assertEqual(502, found.status)
            fresh = [a for a in world.arrivals() if a.get("Kv-From") is None]
            self.assertEqual(1, len(fresh))

    async def test_a_run_is_copied_when_its_engine_leaves(self):
        self.patch(copies_module, "BACKUP_FILL", -1.0)
        async with running() as world:
            gateway = await world.ready_gateway()
            for engine in world.engines:
                engine.events, engine.pause = 200, 0.02
            patient = {"Bankrack-Deadline-Ms": "20000"}
            task = asyncio.create_task(
                call(gateway.settings.front, "/talk/x", headers=patient)
            )
            await until(lambda: len(world.arrivals()) == 1)
            [home] = [e for e in world.engines if e.arrivals]
            entry = home.entry("engines", state="draining")
            world.store.put(f"servers/{home.id}", entry)
            # The copy is known once it is ordered again to be brought up to date.
            await until(lambda: [p for p, _ in home.orders].count("/v1/kv-move") > 1)
            home.ends = True
            found = await task
            self.assertTrue(found.whole)
            self.assertEqual(self.want(200), found.body)
            self.assertEqual(2, len(world.arrivals()))

    async def test_an_engine_that_falls_silent_is_left_for_a_copy(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def stall(request: web.BaseRequest) -> None:
                first = "Kv-From" not in request.headers
                for engine in world.engines:
                    engine.pause = 30.0 if first else 0.0

            for engine in world.engines:
                engine.behave = stall
            found = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(found.whole)
            self.assertEqual(self.want(), found.body)
            self.assertEqual(1, sum(e.cancelled for e in world.engines))

    async def test_a_silent_engine_is_kept_where_no_copy_can_go_on(self):
        async with running() as world:
            gateway = await world.ready_gateway()

            async def stall(request: web.BaseRequest) -> web.Response | None:
                for engine in world.engines:
                    engine.pause = 0.35
                return not_run() if "Kv-From" in request.headers else None

            self.patch(streams_module, "SILENCE_SECONDS", 0.2)
            for engine in world.engines:
                engine.behave = stall
            found = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(found.whole)
            self.assertEqual(self.want(), found.body)


class Stopping(TestCase):
    async def test_it_is_unready_at_once_and_finishes_what_it_has(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            for engine in world.engines:
                engine.pause = 0.2
            task = asyncio.create_task(call(gateway.settings.front, "/talk/x"))
            await until(lambda: len(world.arrivals()) == 1)
            stopping = asyncio.create_task(gateway.stop("test"))
            await asyncio.sleep(0.05)
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{gateway.settings.ready}/v1/readyz") as response,
            ):
                self.assertEqual(503, response.status)
            self.assertTrue((await task).whole)
            await stopping

    async def test_a_stream_that_its_end_would_cut_is_refused_with_a_true_answer(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            stopping = asyncio.create_task(gateway.stop("test"))
            await asyncio.sleep(0.05)
            long = {"Bankrack-Token-Usage": "100,5000"}
            found = await call(gateway.settings.front, "/talk/x", headers=long)
            self.assertEqual(503, found.status)
            self.assertIn("Retry-After", found.headers)
            self.assertEqual("close", found.headers["Connection"].lower())
            self.assertEqual([], world.arrivals())
            short = {"Bankrack-Token-Usage": "100,20"}
            found = await call(gateway.settings.front, "/talk/x", headers=short)
            self.assertEqual(200, found.status)
            await stopping

    async def test_no_stream_is_taken_once_the_balancer_should_know(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            gateway.dispatcher.stop_at(time.monotonic() + 60)
            gateway.dispatcher._streams_until = time.monotonic()
            found = await call(gateway.settings.front, "/talk/x")
            self.assertEqual(503, found.status)
            self.assertEqual([], world.arrivals())


class Watching(TestCase):
    async def test_metrics_and_state_tell_what_was_served(self):
        async with running() as world:
            gateway = await world.ready_gateway()
            await call(gateway.settings.front, "/bill/x")
            await call(gateway.settings.front, "/talk/x")
            async with aiohttp.ClientSession() as session:
                base = f"http://{gateway.settings.inner}"
                async with session.get(base + "/metrics") as response:
                    page = await response.text()
                async with session.get(base + "/state") as response:
                    state = await response.json()
            self.assertIn('bankrack_requests{outcome="200",service="plain"} 1', page)
            self.assertIn('bankrack_requests{outcome="whole"', page)
            self.assertIn("bankrack_answer_seconds", page)
            self.assertIn("bankrack_sends", page)
            self.assertEqual(1, state["version"])
            self.assertEqual(5, len(state["upstreams"]))


class Paging(TestCase):
    async def test_members_beyond_the_first_page_are_read_seldom(self):
        async with running() as world:
            for number in range(30):
                member = {"name": f"m{number}", "address": "127.0.0.1:1", "hall": "b"}
                world.store.put(f"system/nodes/m{number}", member)
            world.store.page = 12
            gateway = await world.ready_gateway()
            await until(lambda: len(gateway.view.members_by_name) > 30)
            world.store.calls.clear()
            await asyncio.sleep(2.0)
            self.assertLessEqual(world.store.calls.count("kv-range"), 3)
            self.assertGreater(len(gateway.view.members_by_name), 30)
