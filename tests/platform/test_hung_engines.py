"""Tests that a run of an engine that hangs ends in time at the engine with its copy.

The engine keeps its connection and answers calls, sends nothing, and states no runs.
"""

import asyncio
import typing as t

from aiohttp import web

from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import ReceivedResponse

EVENTS = 5


async def serve_beside_hung_engine(
    deployment: Deployment,
    *,
    head_after: float,
    deadline_ms: int = 20_000,
    stops_with_grace: float | None = None,
) -> ReceivedResponse:
    """Serve a stream whose engine hangs behind its first event.

    :param head_after: seconds that the engine with the copy takes to begin.
    :param stops_with_grace: grace period in seconds of a node that stops at once.
    """

    async def hang(request: web.BaseRequest) -> None:
        is_copy = "Kv-From" in request.headers
        for engine in deployment.engines:
            engine.pause = 0.0 if is_copy else 30.0
        await asyncio.sleep(head_after if is_copy else 0.0)

    for engine in deployment.engines:
        engine.events, engine.custom_handler = EVENTS, hang
    more: dict[str, t.Any] = {"grace": stops_with_grace} if stops_with_grace else {}
    gateway = await deployment.start_ready_gateway(**more)
    headers = {"Bankrack-Deadline-Ms": str(deadline_ms)}
    stream = asyncio.create_task(
        call(gateway.settings.front, "/talk/x", headers=headers)
    )
    await until(lambda: len(deployment.arrivals()) == 1)
    if stops_with_grace is not None:
        await gateway.stop("test")
    return await stream


class HungEngines(TestCase):
    async def check_whole(self, *heads_after: float, **more: t.Any) -> None:
        """Check that streams are whole whose copies begin late by some seconds."""

        async def serve(head_after: float) -> bool:
            async with running() as deployment:
                response = await serve_beside_hung_engine(
                    deployment, head_after=head_after, **more
                )
                return response.complete

        whole = await asyncio.gather(*map(serve, heads_after))
        found = dict(zip(heads_after, whole, strict=True))
        self.assertEqual(dict.fromkeys(heads_after, True), found)

    async def test_run_of_a_hung_engine_is_whole_before_its_caller_s_time_is_over(self):
        await self.check_whole(0.0, 0.6, 1.5, deadline_ms=3000)

    async def test_run_of_a_hung_engine_is_whole_before_its_stopping_node_ends(self):
        await self.check_whole(0.0, 0.6, 1.5, stops_with_grace=4.0)
