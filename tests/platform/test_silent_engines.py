"""Tests that a stream is not lost as its engine is silent for a while."""

import asyncio
import contextlib
import typing as t

from aiohttp import web

from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.pace import MIN_SAMPLES
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import not_run_response
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import ReceivedResponse

EVENTS = 40
PAUSE_SECONDS = 0.03
SILENCE_SECONDS = 2.0
PATIENT = {"Bankrack-Deadline-Ms": "20000"}

Handler = t.Callable[[web.BaseRequest], t.Awaitable[t.Any]]


def whole_body() -> bytes:
    return b"".join(b"id: %d\ndata: token%d\n\n" % (n, n) for n in range(EVENTS))


async def reset(request: web.BaseRequest) -> web.Response:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def go_on(request: web.BaseRequest) -> None:
    return None


def responding(status: int = 0, *, after: float = 0.0) -> Handler:
    """Return a handler that responds late; with a rejection by default."""

    async def handle(request: web.BaseRequest) -> web.Response:
        await asyncio.sleep(after)
        return web.Response(status=status) if status else not_run_response()

    return handle


AT_THE_COPY: dict[str, Handler] = {
    "goes on": go_on,
    "rejects": responding(),
    "rejects late": responding(after=0.25),
    "404": responding(404),
    "503 that states nothing": responding(503),
    "reset": reset,
    "answers late": responding(after=3.0),
    "never answers": responding(after=60.0),
}
"""What the engine with the copy does with the run that it is sent."""


async def home_of(deployment: Deployment) -> FakeEngine:
    """Wait for a run; returns its engine."""
    await until(lambda: len(deployment.arrivals()) == 1)
    [home] = [engine for engine in deployment.engines if engine.arrivals]
    return home


async def serve_beside_silence(
    deployment: Deployment,
    at_the_copy: Handler,
    *,
    stops: bool = False,
    begin_seconds: t.Sequence[float] = (),
    headers: dict[str, str] = PATIENT,
) -> ReceivedResponse:
    """Serve a stream whose engine is silent for a while and then goes on.

    :param at_the_copy: handles the run at the engine with its copy.
    :param stops: the node begins to stop before the silence.
    :param begin_seconds: times in which earlier copies began.
    """

    async def handle(request: web.BaseRequest) -> t.Any:
        return await at_the_copy(request) if "Kv-From" in request.headers else None

    for engine in deployment.engines:
        engine.events, engine.pause = EVENTS, PAUSE_SECONDS
        engine.custom_handler = handle
    gateway = await deployment.start_ready_gateway()
    for seconds in begin_seconds:
        gateway.chooser.pace_of("engines").resumed(seconds)
    stream = asyncio.create_task(
        call(gateway.settings.front, "/talk/x", headers=headers)
    )
    home = await home_of(deployment)
    await asyncio.sleep(0.4)
    stopping = asyncio.create_task(gateway.stop("test")) if stops else None
    home.pause = SILENCE_SECONDS
    await asyncio.sleep(0.2)
    home.pause = PAUSE_SECONDS
    response = await stream
    if stopping is not None:
        await stopping
    return response


class SilentEngines(TestCase):
    """Engines that answer calls, send no event for 2 s, and then go on."""

    async def check_whole(self, *, stops: bool) -> None:
        async with contextlib.AsyncExitStack() as stack:
            deployments = [
                await stack.enter_async_context(running()) for _ in AT_THE_COPY
            ]
            responses = await asyncio.gather(
                *(
                    serve_beside_silence(deployment, handler, stops=stops)
                    for deployment, handler in zip(
                        deployments, AT_THE_COPY.values(), strict=True
                    )
                )
            )
        whole = {
            name: response.complete and response.body == whole_body()
            for name, response in zip(AT_THE_COPY, responses, strict=True)
        }
        self.assertEqual([], [name for name, is_whole in whole.items() if not is_whole])

    async def test_stream_is_not_lost_if_a_copy_fails_while_its_engine_lives(self):
        await self.check_whole(stops=False)

    async def test_stream_is_not_lost_at_a_node_that_stops_while_its_engine_lives(self):
        await self.check_whole(stops=True)

    async def test_engine_is_not_left_early_by_a_hurried_run_whose_copies_begin_at_once(
        self,
    ):
        async with running() as deployment:
            response = await serve_beside_silence(
                deployment,
                reset,
                begin_seconds=[0.1] * MIN_SAMPLES,
                headers={"Bankrack-Deadline-Ms": "4000"},
            )
        self.assertEqual(whole_body(), response.body)
        self.assertTrue(response.complete)


class MovedRuns(TestCase):
    """Runs of silent engines that go on at their copies, or stay."""

    async def serve(
        self,
        *,
        runs: list[list[t.Any]] | None = None,
        unresponsive: t.Collection[str] = (),
        silence: float = 30.0,
    ) -> tuple[ReceivedResponse, float]:
        """Serve a stream whose engine falls silent behind its first event.

        Returns the response and the seconds from its begin to its second engine.

        :param runs: list of runs in the silent engine's report.
        :param unresponsive: "home" and "others" for engines that answer no call.
        """
        async with running() as deployment:

            async def fall_silent(request: web.BaseRequest) -> None:
                if "Kv-From" in request.headers:
                    return
                for engine in deployment.engines:
                    is_home = bool(engine.arrivals)
                    engine.pause = silence if is_home else 0.0
                    engine.unresponsive = ("others", "home")[is_home] in unresponsive
                    engine.runs = runs if is_home else None

            for engine in deployment.engines:
                engine.events = 2
                engine.custom_handler = fall_silent
            gateway = await deployment.start_ready_gateway()
            response = await call(gateway.settings.front, "/talk/x", headers=PATIENT)
            sent_at = sorted(arrival.at for arrival in deployment.arrivals())
            return response, sent_at[-1] - sent_at[0]

    async def check_moved(
        self, runs: list[list[t.Any]], *, after: float, before: float
    ) -> None:
        response, seconds = await self.serve(runs=runs)
        self.assertTrue(response.complete)
        self.assertGreater(seconds, after)
        self.assertLess(seconds, before)

    async def test_preempted_run_does_not_wait_until_its_engine_has_room(self):
        await self.check_moved([["r-2", 90, 1, 1]], after=0.5, before=1.35)

    async def test_stalled_run_is_not_lost_as_its_caller_gives_up(self):
        await self.check_moved([["r-1", 90, 1, 1]], after=1.2, before=1.9)

    async def test_run_is_not_lost_at_a_copy_whose_engine_answers_no_call(self):
        response, seconds = await self.serve(
            unresponsive=("home", "others"), silence=1.2
        )
        self.assertTrue(response.complete)
        self.assertEqual(0.0, seconds)

    async def test_new_run_that_a_report_lacks_is_not_taken_for_a_preempted_one(self):
        _, seconds = await self.serve(runs=[["r-2", 90, 1, 1]])
        self.assertGreater(seconds, REPORT_LAG_SECONDS)
