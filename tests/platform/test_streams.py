"""End-to-end tests of streams."""

import asyncio
from types import MappingProxyType

from aiohttp import web

from bankrack.clock import boottime
from bankrack.decisions import backups
from bankrack.serving import silence
from bankrack.serving.pace import MIN_SAMPLES
from tests.base import TestCase
from tests.platform.deployment import not_run_response
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import Arrival
from tests.platform.fakes import call


async def respond_500(request: web.BaseRequest) -> web.Response:
    return web.Response(status=500, headers={"Bankrack-Response-Seal": "s"})


class Streams(TestCase):
    def expected_body(self, count: int = 5) -> bytes:
        return b"".join(b"id: %d\ndata: token%d\n\n" % (n, n) for n in range(count))

    async def test_stream_is_forwarded_completely(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            self.assertEqual(self.expected_body(), response.body)
            [arrival] = deployment.arrivals()
            self.assertEqual("h-1", arrival.get("Hold"))
            self.assertIsNotNone(arrival.get("Kv-Backup"))

    async def test_stream_continues_after_its_engine_fails(self):
        await self.check_cut_stream_continues(cuts_inside_event=False)

    async def test_stream_continues_after_its_engine_fails_inside_an_event(self):
        await self.check_cut_stream_continues(cuts_inside_event=True)

    async def check_cut_stream_continues(self, *, cuts_inside_event: bool) -> None:
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def cut_first(request: web.BaseRequest) -> None:
                first = "Kv-From" not in request.headers
                for engine in deployment.engines:
                    engine.cut_after = 2 if first else -1
                    engine.cuts_inside_event = cuts_inside_event

            for engine in deployment.engines:
                engine.custom_handler = cut_first
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            self.assertEqual(self.expected_body(), response.body)
            self.assertEqual(2, len(deployment.arrivals()))

    async def test_engine_that_answers_5xx_is_avoided_by_all_nodes(self):
        async with running() as deployment:
            names = ("n-1", "n-2")
            gateways = [await deployment.start_ready_gateway(name) for name in names]
            await until(lambda: all(len(g.view.members_by_name) == 2 for g in gateways))
            deployment.engines[0].custom_handler = respond_500
            statuses = []
            for n in range(24):
                front = gateways[n % 2].settings.front
                response = await call(
                    front,
                    "/talk/x",
                    body=b"%d" % n,
                    headers={"Bankrack-Request-Id": f"r-{n}"},
                )
                statuses.append(response.status)
                await asyncio.sleep(0.02)
            # A third of them without the owner's knowledge.
            self.assertLessEqual(statuses.count(500), 4)

    async def test_run_that_every_engine_answers_5xx_suspects_one(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                engine.custom_handler = respond_500
            for _ in range(4):
                await call(gateway.settings.front, "/talk/x", body=b"bad")
            engines = gateway.upstreams.of("engines")
            self.assertEqual(1, sum(e.suspect_until > 0.0 for e in engines))
            self.assertEqual(1, sum(e.failures for e in engines))

    async def test_stream_without_a_copy_is_cut_visibly(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def cut(request: web.BaseRequest) -> web.Response | None:
                for engine in deployment.engines:
                    engine.cut_after = 2
                return not_run_response() if "Kv-From" in request.headers else None

            for engine in deployment.engines:
                engine.custom_handler = cut
            response = await call(gateway.settings.front, "/talk/x")
            self.assertFalse(response.complete)
            self.assertEqual(self.expected_body(2), response.body)

    async def test_stream_cut_before_its_first_event_is_not_run_twice(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def cut(request: web.BaseRequest) -> web.Response | None:
                for engine in deployment.engines:
                    engine.cut_after = 0
                return not_run_response() if "Kv-From" in request.headers else None

            for engine in deployment.engines:
                engine.custom_handler = cut
            response = await call(gateway.settings.front, "/talk/x")
            self.assertEqual(502, response.status)
            fresh = [a for a in deployment.arrivals() if a.get("Kv-From") is None]
            self.assertEqual(1, len(fresh))

    async def test_short_stream_gets_no_backup(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            short = {"Bankrack-Token-Usage": "2000,20"}
            response = await call(gateway.settings.front, "/talk/x", headers=short)
            self.assertTrue(response.complete)
            [arrival] = deployment.arrivals()
            self.assertIsNone(arrival.get("Kv-Backup"))

    async def test_run_is_copied_when_its_engine_leaves(self):
        self.patch(backups, "CALM_BACKUP_FILL", -1.0)
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                engine.events, engine.pause = 200, 0.02
            patient = {"Bankrack-Deadline-Ms": "20000"}
            task = asyncio.create_task(
                call(gateway.settings.front, "/talk/x", headers=patient)
            )
            await until(lambda: len(deployment.arrivals()) == 1)
            [home] = [e for e in deployment.engines if e.arrivals]
            entry = home.entry("engines", state="draining")
            deployment.store.put(f"servers/{home.id}", entry)
            # A second request, which refreshes the copy, shows that the node knows it.
            await until(lambda: [p for p, _ in home.orders].count("/v1/kv-move") > 1)
            home.breaks_off = True
            response = await task
            self.assertTrue(response.complete)
            self.assertEqual(self.expected_body(200), response.body)
            self.assertEqual(2, len(deployment.arrivals()))

    async def test_copies_of_a_preempted_run_are_requested_with_pauses(
        self,
    ):
        """A copy of a preempted run fails at once, so retries need pauses."""
        self.patch(backups, "CALM_BACKUP_FILL", -1.0)
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                engine.events, engine.pause = 100, 0.02
                engine.preempts = True
            stream = asyncio.create_task(call(gateway.settings.front, "/talk/x"))
            await until(lambda: len(deployment.arrivals()) == 1)
            [home] = [e for e in deployment.engines if e.arrivals]
            entry = home.entry("engines", state="draining")
            deployment.store.put(f"servers/{home.id}", entry)
            await stream
            copy_requests = [path for path, _ in home.orders].count("/v1/kv-move")
            self.assertGreater(copy_requests, 1)
            self.assertLess(copy_requests, 9)

    async def test_stalled_stream_resumes_from_a_copy(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def stall(request: web.BaseRequest) -> None:
                first = "Kv-From" not in request.headers
                for engine in deployment.engines:
                    engine.pause = 30.0 if first else 0.0

            for engine in deployment.engines:
                engine.custom_handler = stall
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            self.assertEqual(self.expected_body(), response.body)
            self.assertEqual(1, sum(e.cancelled for e in deployment.engines))

    async def test_slow_stream_stays_on_its_engine(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            pace = gateway.chooser.pace_of("engines")
            for _ in range(MIN_SAMPLES):
                pace.spaced(0.3)
            self.patch(silence, "SILENCE_TIMEOUT_SECONDS", 0.1)
            for engine in deployment.engines:
                engine.pause = 0.3
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            self.assertEqual(1, len(deployment.arrivals()))

    async def test_stalled_stream_stays_if_no_copy_can_resume_it(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def stall(request: web.BaseRequest) -> web.Response | None:
                for engine in deployment.engines:
                    engine.pause = 0.35
                return not_run_response() if "Kv-From" in request.headers else None

            self.patch(silence, "SILENCE_TIMEOUT_SECONDS", 0.2)
            for engine in deployment.engines:
                engine.custom_handler = stall
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            self.assertEqual(self.expected_body(), response.body)


class ResumableStreams(TestCase):
    """Streams of a resumable route, which may run more than once."""

    SHORT = MappingProxyType({"Bankrack-Token-Usage": "2000,20"})

    async def test_stream_cut_before_its_first_event_is_restarted(self):
        await self.check_first_run_is_cut(after=0)

    async def test_stream_cut_midway_continues_after_its_last_event(self):
        arrivals = await self.check_first_run_is_cut(after=2)
        last_events = {arrival.get("Last-Event-Id") for arrival in arrivals}
        self.assertEqual({None, "1"}, last_events)

    async def check_first_run_is_cut(self, *, after: int) -> list[Arrival]:
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def cut_first(request: web.BaseRequest) -> None:
                for engine in deployment.engines:
                    engine.cut_after = after if len(deployment.arrivals()) == 1 else -1

            for engine in deployment.engines:
                engine.custom_handler = cut_first
            response = await call(
                gateway.settings.front, "/note/x", headers=dict(self.SHORT)
            )
            self.assertTrue(response.complete)
            self.assertEqual(5, response.body.count(b"data:"))
            self.assertEqual(2, len([e for e in deployment.engines if e.arrivals]))
            return [arrival for e in deployment.engines for arrival in e.arrivals]

    async def test_stream_runs_on_no_more_engines_than_allowed(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                engine.cut_after = 0
            response = await call(
                gateway.settings.front, "/note/x", headers=dict(self.SHORT)
            )
            self.assertEqual(502, response.status)
            self.assertEqual(2, len(deployment.arrivals()))

    async def test_stream_that_does_not_begin_is_sent_to_another_engine(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def hang_first(request: web.BaseRequest) -> None:
                if len(deployment.arrivals()) == 1:
                    await asyncio.sleep(30.0)

            for engine in deployment.engines:
                engine.custom_handler = hang_first
            response = await call(
                gateway.settings.front, "/note/x", headers=dict(self.SHORT)
            )
            self.assertTrue(response.complete)
            self.assertEqual(1, sum(e.cancelled for e in deployment.engines))


class Suspicion(TestCase):
    async def test_engine_that_begins_no_run_is_suspected_by_the_pool_owner(self):
        async with running() as deployment:
            nodes = [
                await deployment.start_ready_gateway(name) for name in ("n-1", "n-2")
            ]
            await until(lambda: sum(node.owners.owns_first_pool for node in nodes) == 1)
            [other] = [node for node in nodes if not node.owners.owns_first_pool]
            [owner] = [node for node in nodes if node.owners.owns_first_pool]

            async def hang(request: web.BaseRequest) -> None:
                await asyncio.sleep(1.0)

            for engine in deployment.engines:
                engine.custom_handler = hang
            calling = asyncio.create_task(call(other.settings.front, "/talk/x"))
            await until(lambda: len(deployment.arrivals()) == 1)
            [home] = [engine for engine in deployment.engines if engine.arrivals]
            known = owner.upstreams.by_id[home.id]
            await until(lambda: known.suspect_until > boottime())
            await calling
