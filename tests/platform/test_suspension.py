"""Tests of nodes whose VM is suspended for seconds.

The monotonic clock stops during a suspension, while deadlines, leases and other
timeouts go on.
"""

import asyncio
import re
import time

from aiohttp import web

from bankrack.clock import SuspensionMeter
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call


class Suspensions(TestCase):
    def setUp(self):
        super().setUp()
        self.suspended_seconds = 0.0
        read = time.clock_gettime

        def clock_with_suspension(clock: int) -> float:
            suspended_seconds = (
                self.suspended_seconds if clock == time.CLOCK_BOOTTIME else 0.0
            )
            return read(clock) + suspended_seconds

        self.patch(time, "clock_gettime", clock_with_suspension)

    async def test_request_is_not_retried_if_its_deadline_passed_meanwhile(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def suspend_and_fail(request: web.BaseRequest) -> web.Response:
                self.suspended_seconds += 5.0
                return web.Response(status=500, headers={"Bankrack-Response-Seal": "s"})

            for server in deployment.plain:
                server.custom_handler = suspend_and_fail
            await call(gateway.settings.front, "/look/x")
            self.assertEqual(1, len(deployment.arrivals()))

    async def test_view_is_confirmed_before_use_after_a_suspension(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await call(gateway.settings.front, "/look/x")
            # The view ages without an update, as during a suspension.
            before = gateway.view.confirmed_at
            self.suspended_seconds += 30.0
            self.assertGreater(gateway.view.age, 29.0)
            await call(gateway.settings.front, "/look/x")
            self.assertGreater(gateway.view.confirmed_at, before + 29.0)

    async def test_suspicion_of_an_upstream_expires_during_a_suspension(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            upstream = gateway.upstreams.of("plain")[0]
            gateway.chooser.suspect(upstream)
            self.suspended_seconds += 30.0
            self.assertLess(upstream.suspect_until, gateway.chooser._clock())

    async def test_duration_is_logged(self):
        with self.assertLogs("bankrack", "INFO") as lines:
            async with running() as deployment:
                await deployment.start_ready_gateway()
                self.suspended_seconds += 4.0

                def is_logged() -> bool:
                    return any("event=vm_was_suspended" in r for r in lines.output)

                await until(is_logged, seconds=2.0)
        [line] = [r for r in lines.output if "event=vm_was_suspended" in r]
        match = re.search(r" seconds=([0-9.]+) ", line)
        assert match is not None, line
        # Two clocks can't be read at one moment, so it may also be slightly less.
        self.assertAlmostEqual(4.0, float(match[1]), delta=0.05)

    def test_delay_between_readings_of_clocks_is_no_suspension(self):
        """Guards against a suspension that is logged as the process was held up."""
        meter = SuspensionMeter()
        read, delays = time.clock_gettime, [0.2, 0.0]

        def read_slowly(clock: int) -> float:
            moment = read(clock)
            if delays:
                time.sleep(delays.pop(0))
            return moment

        self.patch(time, "clock_gettime", read_slowly)
        self.assertLess(abs(meter.seconds_since_last_call()), 0.01)


class Timers(TestCase):
    def test_timers_expire_during_a_suspension(self):
        from bankrack.clock import BoottimeEventLoop

        suspended_seconds = 0.0
        read = time.clock_gettime
        self.patch(time, "clock_gettime", lambda clock: read(clock) + suspended_seconds)

        async def wait() -> float:
            nonlocal suspended_seconds
            began = time.monotonic()
            timer = asyncio.create_task(asyncio.sleep(30.0))
            await asyncio.sleep(0.01)
            suspended_seconds = 60.0
            await asyncio.sleep(0.01)
            await asyncio.wait_for(timer, 1.0)
            return time.monotonic() - began

        with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner:
            self.assertLess(runner.run(wait()), 1.0)
