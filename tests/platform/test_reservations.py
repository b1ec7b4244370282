"""Reservations whose answers are late, at engines or at a busy gateway."""

import asyncio

from aiohttp import web

from bankrack.clock import boottime
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine

RESERVE = "/v1/hold-take"
RELEASE = "/v1/hold-drop/h-1"


def delay_answers(engine: FakeEngine, seconds: float, *, to: str = RESERVE) -> None:
    """Let an engine answer each control call to a path, and below it, later."""
    answer = engine.control

    async def control(request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(to):
            await asyncio.sleep(seconds)
        return await answer(request)

    engine.control = control


def count(deployment: Deployment, path: str) -> int:
    return sum(p == path for e in deployment.engines for p, _ in e.orders)


async def statuses(front: str, count: int) -> list[int]:
    patient = {"Bankrack-Deadline-Ms": "15000"}
    calls = (call(front, "/talk/x", headers=patient) for _ in range(count))
    return [response.status for response in await asyncio.gather(*calls)]


class LateAnswers(TestCase):
    async def test_engines_that_answer_late_are_not_taken_for_unreachable(self):
        """Their requests outnumber the runs only by few repeats."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                delay_answers(engine, 0.4)
            found = await statuses(gateway.settings.front, 30)
            self.assertEqual([200] * 30, found)
            self.assertLess(count(deployment, RESERVE), 40)

    async def test_busy_gateway_does_not_take_engines_for_unreachable(self):
        """Its event loop reads the answers later than its timers expire."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            loop = asyncio.get_running_loop()

            def block() -> None:
                ends_at = boottime() + 0.25
                while boottime() < ends_at:
                    pass
                blocking[0] = loop.call_later(0.01, block)

            blocking = [loop.call_later(0.0, block)]
            found = await statuses(gateway.settings.front, 20)
            blocking[0].cancel()
            self.assertEqual([200] * 20, found)
            self.assertLess(count(deployment, RESERVE), 30)

    async def test_reservation_that_comes_too_late_is_released(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            slow = deployment.engines[:2]
            for engine in slow:
                delay_answers(engine, 0.6)
            runs = 0
            while not sum(len(engine.orders) for engine in slow):
                self.assertEqual([200], await statuses(gateway.settings.front, 1))
                runs += 1
            await until(
                lambda: count(deployment, RESERVE) - count(deployment, RELEASE) == runs
            )
            self.assertGreater(count(deployment, RELEASE), 0)

    async def test_hung_engine_delays_the_first_runs_only(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            hung = deployment.engines[0]
            delay_answers(hung, 60.0)
            front = gateway.settings.front
            while not hung.orders:
                self.assertEqual([200], await statuses(front, 1))
            began = boottime()
            self.assertEqual([200] * 10, await statuses(front, 10))
            self.assertLess(boottime() - began, 0.3)

    async def test_silence_of_all_engines_is_found_out_once(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                delay_answers(engine, 60.0, to="/v1/")
            front = gateway.settings.front
            began = boottime()
            first = await call(front, "/talk/x")
            self.assertLess(boottime() - began, 1.5)
            began = boottime()
            later = await asyncio.gather(*(call(front, "/talk/x") for _ in range(10)))
            self.assertEqual({503}, {r.status for r in [first, *later]})
            self.assertLess(boottime() - began, 1.5)
            delays = {r.headers["Retry-After"] for r in later}
            self.assertGreater(len(delays), 5)
