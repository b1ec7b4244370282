"""Requests without a response as the grace period of their node ends."""

import asyncio
import functools
import itertools
import typing as t

from aiohttp import web

from bankrack import gateway as gateway_module
from bankrack.clock import boottime
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import not_run_response
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import ReceivedResponse

GRACE_SECONDS = 1.6
STOP_SECONDS = 1.0
"""Time from SIGTERM until the node ends what it still serves."""


def crowd(gateway: Gateway, *, after: int = 0) -> None:
    """Let each run wait for room in the pool.

    :param after: number of runs that find room before.
    """
    original = gateway.owners.decide
    verdicts = itertools.count()

    async def decide(*found: t.Any, **more: t.Any) -> Verdict | None:
        if next(verdicts) < after:
            return await original(*found, **more)
        return Wait(0.05, ahead=0, expected=0.1)

    gateway.owners.decide = decide


def wait_for_room(gateway: Gateway) -> None:
    """Let a plain request wait without end once an upstream rejected it."""
    original = gateway.dispatcher._plain._with_room
    rounds = itertools.count()

    async def with_room(*found: t.Any) -> t.Any:
        if next(rounds):
            await asyncio.sleep(30.0)
        return await original(*found)

    gateway.dispatcher._plain._with_room = with_room


def admit_nothing(gateway: Gateway) -> None:
    """Let each request wait for a newer configuration."""

    async def refresh() -> None:
        await asyncio.sleep(30.0)

    gateway.configuration.refresh_if_stale = refresh


async def never(request: web.BaseRequest) -> web.Response:
    await asyncio.sleep(30.0)
    return web.Response(status=500)


async def reject(request: web.BaseRequest) -> web.Response:
    return not_run_response()


class Outcome(t.NamedTuple):
    """What the caller of a stopping node got.

    :param response: ``None`` if there was none as the process ended.
    :param seconds: from SIGTERM.
    """

    response: ReceivedResponse | None
    seconds: float

    @property
    def status(self) -> int:
        return self.response.status if self.response is not None else 0

    @property
    def retry_after(self) -> str | None:
        return self.response.headers.get("Retry-After") if self.response else None


class EndOfTheGracePeriod(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.1)

    async def stop(
        self,
        deployment: Deployment,
        path: str,
        *,
        arrivals: int = 1,
        tokens: str = "100,20",
        prepare: t.Callable[[Gateway], None] = lambda gateway: None,
    ) -> Outcome:
        """Stop a node that has one request; returns what its caller got by its end.

        :param arrivals: of the request at upstreams as the stop begins.
        """
        gateway = await deployment.start_ready_gateway(
            grace=GRACE_SECONDS, prepare=prepare
        )
        headers = {"Bankrack-Token-Usage": tokens, "Bankrack-Deadline-Ms": "20000"}
        calling = asyncio.create_task(
            call(gateway.settings.front, path, headers=headers)
        )
        await until(lambda: gateway.dispatcher.in_flight == 1)
        await until(lambda: len(deployment.arrivals()) >= arrivals)
        began = boottime()
        stopping = asyncio.create_task(gateway.stop("test"))
        await asyncio.wait([calling, stopping], return_when=asyncio.FIRST_COMPLETED)
        response = calling.result() if calling.done() else None
        outcome = Outcome(response, boottime() - began)
        calling.cancel()
        await asyncio.gather(calling, stopping, return_exceptions=True)
        return outcome

    def assert_stopped(self, outcome: Outcome) -> None:
        """Assert that it may have run, and that the stop itself ended it."""
        self.assertEqual((502, None), (outcome.status, outcome.retry_after))
        assert outcome.response is not None
        self.assertIn(b"node_stopped", outcome.response.body)

    def assert_refused(self, outcome: Outcome) -> None:
        self.assertEqual(503, outcome.status)
        self.assertIsNotNone(outcome.retry_after)

    async def test_run_that_waits_for_room_is_closed_without_an_answer(self):
        async with running() as deployment:
            outcome = await self.stop(deployment, "/talk/x", arrivals=0, prepare=crowd)
            self.assertEqual([], deployment.arrivals())
        self.assert_refused(outcome)

    async def test_run_that_would_outlast_the_stop_waits_until_its_end(self):
        """A caller that is refused at once has time to return to another node."""
        async with running() as deployment:
            outcome = await self.stop(
                deployment, "/talk/x", arrivals=0, tokens="100,9000", prepare=crowd
            )
        self.assert_refused(outcome)
        self.assertLess(outcome.seconds, STOP_SECONDS / 2)

    async def test_run_that_an_engine_rejected_is_closed_without_an_answer(self):
        async with running() as deployment:
            for engine in deployment.engines:
                engine.custom_handler = reject
            outcome = await self.stop(
                deployment, "/talk/x", prepare=functools.partial(crowd, after=1)
            )
        self.assert_refused(outcome)

    async def test_run_that_no_engine_has_begun_is_closed_without_an_answer(self):
        async with running() as deployment:
            for engine in deployment.engines:
                engine.custom_handler = never
            outcome = await self.stop(deployment, "/talk/x")
        self.assert_stopped(outcome)

    async def test_plain_request_is_closed_without_an_answer(self):
        async with running() as deployment:
            for server in deployment.plain:
                server.custom_handler = never
            outcome = await self.stop(deployment, "/bill/x")
        self.assert_stopped(outcome)

    async def test_plain_request_that_was_rejected_is_reported_as_run(self):
        """It waits for large bodies on their way, as no upstream has room for it."""
        async with running() as deployment:
            for server in deployment.plain:
                server.custom_handler = reject
            outcome = await self.stop(deployment, "/bill/x", prepare=wait_for_room)
        self.assert_refused(outcome)

    async def test_request_that_is_not_admitted_is_closed_without_an_answer(self):
        async with running() as deployment:
            outcome = await self.stop(
                deployment, "/bill/x", arrivals=0, prepare=admit_nothing
            )
        self.assert_refused(outcome)

    async def test_request_behind_the_grace_period_waits_for_a_configuration(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway(prepare=admit_nothing)
            gateway.dispatcher.stop_at(boottime())
            async with asyncio.timeout(1.0):
                response = await call(gateway.settings.front, "/bill/x")
        self.assertEqual(503, response.status)

    async def test_line_of_a_request_that_the_process_cancels_blames_its_caller(self):
        async with running() as deployment:
            for server in deployment.plain:
                server.custom_handler = never
            gateway = await deployment.start_ready_gateway()
            calling = asyncio.create_task(call(gateway.settings.front, "/bill/x"))
            await until(lambda: len(deployment.arrivals()) == 1)
            gateway.dispatcher.stop_at(boottime())
            with self.assertLogs("bankrack", "INFO") as found:
                calling.cancel()
                await until(lambda: not gateway.dispatcher.in_flight)
        [line] = [line for line in found.output if "event=request_ended" in line]
        self.assertIn("broken_off_by=stop unanswered=True", line)

    async def test_stream_with_too_low_a_length_hint_is_accepted_and_cut(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            stopping = asyncio.create_task(gateway.stop("test"))
            await until(lambda: gateway.stopping)
            headers = {"Bankrack-Token-Usage": "100,9000", "Length-Hint": "10"}
            response = await call(gateway.settings.front, "/talk/x", headers=headers)
            self.assertEqual([], deployment.arrivals())
            await stopping
        self.assertEqual(503, response.status)
