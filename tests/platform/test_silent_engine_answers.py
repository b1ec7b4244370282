"""Tests that what engines answer beside a silent stream does not lose the stream."""

import asyncio
import time
import typing as t

from aiohttp import web

from bankrack.serving.pace import MIN_SAMPLES
from tests.base import TestCase
from tests.platform.deployment import not_run_response
from tests.platform.deployment import running
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import ReceivedResponse

CALLER_PATIENCE_SECONDS = 2.0
"""Time without an event after which the callers of these streams give up."""
THIS_RUN = [["r-1", 90, 1, 1]]
REPORT = {"running": 0, "queued": 0, "kvUsed": 0, "kvTotal": 30000}


class Engines(t.NamedTuple):
    """The engine of a run, that with its backup, and a third one."""

    home: FakeEngine
    backup: FakeEngine
    third: FakeEngine


Handler = t.Callable[[web.BaseRequest], t.Awaitable[t.Any]]


async def resume(request: web.BaseRequest) -> None:
    return None


async def reset(request: web.BaseRequest) -> web.Response:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class Streams(TestCase):
    async def serve(
        self,
        fall_silent: t.Callable[[Engines], t.Any],
        *,
        silence: float = 30.0,
        at_copies: Handler = resume,
    ) -> tuple[ReceivedResponse, list[float], Engines]:
        """Serve a stream whose engine falls silent behind its first event.

        Returns the response, the seconds from its begin to each resumption, and the
        engines.

        :param fall_silent: called with the engines as the run begins; returns what
            answers the calls to the engine of the run, or nothing.
        """
        async with running() as deployment:
            found: list[Engines] = []

            async def handle(request: web.BaseRequest) -> t.Any:
                if "Kv-From" in request.headers:
                    return await at_copies(request)
                address = request.headers["Kv-Backup"]
                [home] = [each for each in deployment.engines if each.arrivals]
                backup = home.engine_by_address[address]
                [third] = set(deployment.engines) - {home, backup}
                found.append(Engines(home, backup, third))
                home.pause = silence
                fall_silent(found[0])
                return None

            for engine in deployment.engines:
                engine.events = 2
                engine.custom_handler = handle
            gateway = await deployment.start_ready_gateway()
            self.deployment = deployment
            response = await call(
                gateway.settings.front,
                "/talk/x",
                headers={"Bankrack-Deadline-Ms": "5000"},
            )
            began_at, *resumed_at = sorted(a.at for a in deployment.arrivals())
            return response, [at - began_at for at in resumed_at], found[0]

    def leave(self, engine: FakeEngine) -> None:
        entry = engine.entry("engines", state="draining")
        self.deployment.store.put(f"servers/{engine.id}", entry)

    def die_once_copied(self, engines: Engines) -> None:
        """Make the engine of the run and its backup leave, the first with a copy."""
        home, backup, third = engines
        home.events, home.pause = 30, 0.1
        backup.events = third.events = 30
        self.leave(home)
        self.leave(backup)

        async def control(request: web.BaseRequest) -> web.StreamResponse:
            answer = await FakeEngine.control(home, request)
            if request.path == "/v1/kv-move":
                home.pause, home.unresponsive = 30.0, True
            return answer

        t.cast(t.Any, home).control = control

    async def test_engine_that_lists_no_run_is_not_waited_for_until_its_caller_left(
        self,
    ):
        def fall_silent(engines: Engines) -> None:
            engines.home.runs = []

        response, resumed, _ = await self.serve(fall_silent)
        self.assertTrue(response.complete)
        self.assertLess(resumed[0], 1.35)

    async def test_copy_made_during_a_silence_is_not_overlooked(self):
        def fall_silent(engines: Engines) -> None:
            engines.home.runs = THIS_RUN
            engines.backup.unresponsive = True
            self.leave(engines.home)
            self.leave(engines.backup)

        response, resumed, engines = await self.serve(fall_silent)
        self.assertTrue(response.complete)
        self.assertEqual(1, len(engines.third.arrivals))
        self.assertLess(resumed[0], CALLER_PATIENCE_SECONDS)

    async def test_second_copy_is_not_given_up_as_its_engine_answered_late(self):
        async def handle(request: web.BaseRequest) -> t.Any:
            address = request.headers["Kv-From"].partition("/")[0]
            return await reset(request) if address == engines[0].home.address else None

        engines: list[Engines] = []

        def fall_silent(found: Engines) -> None:
            engines.append(found)
            found.backup.unresponsive = True
            self.die_once_copied(found)

        response, resumed, _ = await self.serve(fall_silent, at_copies=handle)
        self.assertTrue(response.complete)
        self.assertEqual(2, len(resumed))

    async def test_caller_gives_up_no_stream_as_the_first_of_its_copies_hangs(self):
        async def hang(request: web.BaseRequest) -> None:
            address = request.headers["Kv-From"].partition("/")[0]
            if address == engines[0].home.address:
                await asyncio.sleep(30.0)

        engines: list[Engines] = []

        def fall_silent(found: Engines) -> None:
            engines.append(found)
            self.die_once_copied(found)
            for _ in range(MIN_SAMPLES):
                self.deployment.gateways[0].chooser.pace_of("engines").resumed(0.1)

        response, resumed, _ = await self.serve(fall_silent, at_copies=hang)
        self.assertTrue(response.complete)
        before_moving = 0.6
        self.assertLess(
            before_moving + resumed[1] - resumed[0], CALLER_PATIENCE_SECONDS
        )

    async def test_caller_gives_up_no_stream_as_its_copy_rejected_it_once(self):
        rejected = []

        async def reject_once(request: web.BaseRequest) -> t.Any:
            rejected.append(request)
            return not_run_response() if len(rejected) == 1 else None

        def fall_silent(engines: Engines) -> None:
            engines.home.runs = THIS_RUN

        response, resumed, _ = await self.serve(fall_silent, at_copies=reject_once)
        self.assertTrue(response.complete)
        self.assertLess(resumed[1], CALLER_PATIENCE_SECONDS)

    async def check_kept(self, answer: Handler) -> None:
        """Check that an engine that answers a call somehow is waited for."""

        def fall_silent(engines: Engines) -> None:
            async def control(request: web.BaseRequest) -> t.Any:
                return await answer(request)

            t.cast(t.Any, engines.home).control = control

        response, _, _ = await self.serve(fall_silent, silence=1.2, at_copies=reset)
        self.assertTrue(response.complete)

    async def test_stream_is_not_lost_as_its_engine_refuses_a_report(self):
        async def refuse(request: web.BaseRequest) -> web.Response:
            return web.Response(status=503)

        await self.check_kept(refuse)

    async def test_stream_is_not_lost_as_its_engine_sends_an_odd_report(self):
        for body in ("{}", "[" * 100_000, '{"runs": "none"}', "\x00"):

            async def report(request: web.BaseRequest, body: str = body) -> t.Any:
                return web.Response(text=body)

            with self.subTest(body[:20]):
                await self.check_kept(report)

    async def test_stream_is_not_lost_as_its_node_stands_still_while_it_asks(self):
        blocked = []

        async def block(request: web.BaseRequest) -> t.Any:
            # The engine with the copy has answered by then.
            await asyncio.sleep(0.05)
            if not blocked:
                blocked.append(request)
                time.sleep(0.5)
            return web.json_response(REPORT)

        await self.check_kept(block)

    async def test_stream_is_not_lost_as_its_engine_answers_a_call_slowly(self):
        async def report(request: web.BaseRequest) -> t.Any:
            await asyncio.sleep(0.4)
            return web.json_response(REPORT)

        await self.check_kept(report)

    async def test_run_of_a_dead_engine_is_not_lost_as_the_next_one_answers_slowly(
        self,
    ):
        async def report(request: web.BaseRequest) -> t.Any:
            await asyncio.sleep(0.4)
            return web.json_response(REPORT)

        def fall_silent(engines: Engines) -> None:
            engines.home.unresponsive = True
            t.cast(t.Any, engines.backup).control = report

        response, resumed, _ = await self.serve(fall_silent)
        self.assertTrue(response.complete)
        self.assertLess(resumed[0], CALLER_PATIENCE_SECONDS)
