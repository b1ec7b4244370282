"""Failed background tasks are restarted, and stopping cancels all of them."""

import asyncio
import time

from bankrack import background
from bankrack.background import BackgroundTasks
from bankrack.background import LoopMonitor
from tests.base import TestCase


class TestBackgroundTasks(TestCase):
    async def test_failed_task_is_restarted(self):
        self.patch(background, "RESTART_DELAY_SECONDS", 0.01)
        calls = []
        failures = []

        async def work():
            calls.append(len(calls))
            if len(calls) < 3:
                raise ValueError

        tasks = BackgroundTasks(lambda: failures.append(1))
        tasks.spawn(work)
        await asyncio.sleep(0.2)
        self.assertEqual([0, 1, 2], calls)
        self.assertEqual(2, len(failures))
        await tasks.stop()

    async def test_stop_cancels_all_tasks(self):
        ended = []

        async def work():
            try:
                await asyncio.sleep(60)
            finally:
                ended.append(1)

        tasks = BackgroundTasks()
        tasks.spawn(work)
        tasks.spawn(work)
        await asyncio.sleep(0.01)
        await tasks.stop()
        self.assertEqual(2, len(ended))


class TestLoopMonitor(TestCase):
    async def delays_of(self, block) -> list[float]:
        delays: list[float] = []
        monitoring = asyncio.create_task(LoopMonitor(lambda: 3, delays.append).run())
        await asyncio.sleep(0.05)
        block()
        await asyncio.sleep(0.1)
        monitoring.cancel()
        return delays

    async def test_blocked_loop_is_logged_with_own_processor_time(self):
        def compute():
            until = time.process_time() + 0.4
            while time.process_time() < until:
                pass

        for block, cpu in ((lambda: time.sleep(0.4), "0.0"), (compute, "0.[34]")):
            with self.assertLogs("bankrack.background") as logged:
                [delay] = await self.delays_of(block)
            self.assertGreater(delay, 0.2)
            self.assertRegex(logged.output[0], rf"own_cpu={cpu}\d* in_flight=3")

    async def test_loop_that_is_not_blocked_is_not_logged(self):
        self.assertEqual([], await self.delays_of(lambda: None))
