"""End-to-end tests of engines that state how long work takes."""

import asyncio

from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.fleet.poolowners import FLUSH_INTERVAL_SECONDS
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.fakes import call

USUAL = "0,0,8,100"
RATHER_SLOW = "0,0,8,150"
SLOW = "0,0,8,400"


class SlowMoments(TestCase):
    async def run_often(self, deployment: Deployment) -> None:
        for engine in deployment.engines:
            engine.events, engine.pause = 3, 0.03
        gateway = await deployment.start_ready_gateway()
        await self.send_runs(gateway)

    async def send_runs(self, gateway: Gateway) -> None:
        for number in range(12):
            response = await call(
                gateway.settings.front,
                "/talk/x",
                headers={"Bankrack-Request-Id": f"r-{number}"},
            )
            self.assertTrue(response.complete)

    async def test_engine_in_a_slow_moment_is_passed_over(self):
        """The engine was the fastest before, so that it would get the next runs."""
        async with running() as deployment:
            fastest, *others = deployment.engines
            fastest.load = USUAL
            for engine in others:
                engine.load = RATHER_SLOW
            await self.run_often(deployment)
            before = len(fastest.arrivals)
            self.assertGreater(before, 0)
            fastest.load, fastest.probes = SLOW, 0
            await asyncio.sleep(FRESH_SECONDS)
            await self.send_runs(deployment.gateways[0])
            self.assertEqual(before, len(fastest.arrivals))
            self.assertGreater(fastest.probes, 0)

    async def test_runs_begin_while_all_engines_are_slow(self):
        async with running() as deployment:
            for engine in deployment.engines:
                engine.load = SLOW
            await self.run_often(deployment)
            self.assertEqual(12, len(deployment.arrivals()))

    async def test_engines_are_not_probed_where_none_states_a_slowdown(self):
        async with running() as deployment:
            for engine in deployment.engines:
                engine.load = USUAL
            await self.run_often(deployment)
            self.assertEqual([0, 0, 0], [e.probes for e in deployment.engines])


class Speeds(TestCase):
    async def speeds_after_a_stream(self, load: str) -> dict[str, object]:
        async with running() as deployment:
            for engine in deployment.engines:
                engine.load, engine.events, engine.pause = load, 20, 0.005
            gateway = await deployment.start_ready_gateway()
            await call(gateway.settings.front, "/talk/x")
            await asyncio.sleep(3 * FLUSH_INTERVAL_SECONDS)
            return gateway.state().describe()["engine_speeds"]

    async def test_owner_learns_speeds_from_streams(self):
        speeds = await self.speeds_after_a_stream(SLOW)
        self.assertEqual(["engines"], list(speeds))

    async def test_nothing_is_learned_without_a_stated_slowdown(self):
        for load in ("", "0,0,8", USUAL, "0,0,8,0", "0,0,8,1000000000"):
            self.assertEqual({}, await self.speeds_after_a_stream(load))
