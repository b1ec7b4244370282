"""Tests that logs tell who broke a response off."""

import asyncio
import typing as t

from aiohttp import web

from bankrack import gateway as gateway_module
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine

Prepare = t.Callable[[FakeEngine], None]


def line_of(lines: t.Iterable[str], event: str) -> str:
    [line] = [line for line in lines if f"event={event} " in line]
    return line


class BrokenOff(TestCase):
    async def request_ended(
        self, prepare: Prepare, *, deadline_ms: str = "20000"
    ) -> str:
        """Serve a stream that is broken off; returns its line."""
        async with running() as deployment:
            for engine in deployment.engines:
                prepare(engine)
            gateway = await deployment.start_ready_gateway()
            headers = {"Bankrack-Deadline-Ms": deadline_ms}
            with self.assertLogs("bankrack", "INFO") as found:
                response = await call(
                    gateway.settings.front, "/talk/x", headers=headers
                )
        self.assertFalse(response.complete)
        return line_of(found.output, "request_ended")

    async def test_break_of_the_upstream_is_not_mistaken_for_the_node_s(self):
        def break_off(engine: FakeEngine) -> None:
            engine.cut_after = 1

        self.assertIn("broken_off_by=upstream", await self.request_ended(break_off))

    async def test_end_at_the_deadline_is_not_mistaken_for_a_break(self):
        def stall(engine: FakeEngine) -> None:
            engine.pause = 30.0

        line = await self.request_ended(stall, deadline_ms="600")
        self.assertIn("broken_off_by=time", line)

    async def test_engine_that_the_node_left_is_not_taken_for_one_that_broke_off(self):
        async def fail_at_the_copy(request: web.BaseRequest) -> web.Response | None:
            return web.Response(status=500) if "Kv-From" in request.headers else None

        def leave(engine: FakeEngine) -> None:
            engine.custom_handler = fail_at_the_copy
            engine.pause = 30.0
            engine.runs = [["r-2", 90, 1, 1]]

        self.assertIn("broken_off_by=node", await self.request_ended(leave))


class Stops(TestCase):
    async def stop(self, deployment: Deployment) -> list[str]:
        """Stop a gateway in the midst of a stream that outlasts its grace period."""
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.1)
        for engine in deployment.engines:
            engine.events, engine.pause = 1000, 0.01
        gateway = await deployment.start_ready_gateway(grace=1.2)
        stream = asyncio.create_task(call(gateway.settings.front, "/talk/x"))
        await until(lambda: gateway.dispatcher.in_flight == 1)
        with self.assertLogs("bankrack", "INFO") as found:
            await gateway.stop("test")
            self.assertFalse((await stream).complete)
        return found.output

    async def test_request_that_a_stop_cuts_off_is_not_unnamed(self):
        async with running() as deployment:
            lines = await self.stop(deployment)
        self.assertIn("requests=r-1", line_of(lines, "stop_began"))
        self.assertIn("requests=r-1", line_of(lines, "stop_ended"))
        self.assertIn("stopping_for=", line_of(lines, "request_ended"))

    async def test_request_that_a_stop_cuts_off_is_not_ascribed_to_its_upstream(self):
        async with running() as deployment:
            lines = await self.stop(deployment)
        self.assertIn("broken_off_by=stop", line_of(lines, "request_ended"))
