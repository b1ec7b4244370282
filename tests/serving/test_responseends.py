"""Questions behind the ends of responses."""

import asyncio
import typing as t

from bankrack.clock import boottime
from bankrack.exceptions import UpstreamDisconnected
from bankrack.metrics import GatewayMetrics
from bankrack.serving.enginecontrol import Health
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.responseends import EndedResponse
from bankrack.serving.responseends import ResponseEnds
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


class _Control:
    """States a name after a moment; the upstream is replaced meanwhile."""

    def __init__(self) -> None:
        self.questions = 0
        self.name = "e-1"
        self.delay = 0.05

    async def identify(self, upstream: Upstream, path: str) -> Health:
        self.questions += 1
        name = self.name
        await asyncio.sleep(self.delay)
        return Health(name, healthy=True)


class _LatePermits:
    """Grants permits from 2.3 s on."""

    def __init__(self) -> None:
        self.from_ = boottime() + 2.3

    async def take(self, upstream: Upstream, *, rank: int) -> float:
        return max(0.0, self.from_ - boottime())


class Questions(TestCase):
    async def test_answer_from_before_an_end_does_not_complete_its_response(self):
        """Later ends wait for one question of their own, which they share."""
        control = _Control()
        ends = ResponseEnds(
            t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())

        async def is_whole() -> bool:
            try:
                await ends.confirm(upstream, EndedResponse("r", "/healthz", boottime()))
            except UpstreamDisconnected:
                return False
            return True

        first = asyncio.create_task(is_whole())
        await asyncio.sleep(0.01)
        control.name = "e-2"
        later = await asyncio.gather(*[is_whole() for _ in range(20)])
        self.assertEqual((True, {False}), (await first, set(later)))
        self.assertEqual(2, control.questions)

    async def test_wait_for_a_permit_does_not_cut_a_response(self):
        """The response is whole, and its caller has the time."""
        permits = _LatePermits()
        ends = ResponseEnds(
            t.cast(t.Any, _Control()), t.cast(t.Any, permits), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        upstream.note_limit(RateLimit(0.4, boottime(), boottime()))
        response = EndedResponse("r", "/healthz", boottime(), time_left=5.0)
        await ends.confirm(upstream, response)
        self.assertGreaterEqual(boottime(), permits.from_)

    async def test_response_is_not_complete_if_the_node_stood_still(self):
        """Its upstream may have cut it off meanwhile, and lives."""
        ends = ResponseEnds(
            t.cast(t.Any, _Control()), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        sent = EndedResponse("r", "/healthz", boottime())
        await ends.confirm(upstream, sent)
        ends.note_blocked(1.5)
        with self.assertRaises(UpstreamDisconnected):
            await ends.confirm(upstream, sent)
        await ends.confirm(upstream, EndedResponse("r", "/healthz", boottime()))

    async def test_node_that_stands_still_behind_an_end_does_not_cut_the_response(self):
        """The upstream is asked for long, and the response lay here whole."""
        control = _Control()
        ends = ResponseEnds(
            t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        for blocked, whole in ((1.01, True), (1.5, False)):
            control.delay = 1.2
            sent = EndedResponse("r", "/healthz", boottime())
            checking = asyncio.create_task(ends.confirm(upstream, sent))
            await asyncio.sleep(1.1)
            ends.note_blocked(blocked)
            await asyncio.wait([checking])
            self.assertEqual(whole, checking.exception() is None, blocked)

    async def test_questions_end_with_the_responses_that_wait_for_them(self):
        """Each would keep a connection to a server that does not answer."""
        control = _Control()
        control.delay = 60.0
        ends = ResponseEnds(
            t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        tasks = asyncio.all_tasks()
        response = EndedResponse("r", "/healthz", boottime(), time_left=0.3)
        with self.assertRaises(UpstreamDisconnected):
            await ends.confirm(upstream, response)
        await asyncio.sleep(0.01)
        self.assertEqual((1, tasks), (control.questions, asyncio.all_tasks()))

    async def test_question_beside_a_slow_one_ends_with_the_response_too(self):
        control = _Control()
        control.delay = 60.0
        ends = ResponseEnds(
            t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        tasks = asyncio.all_tasks()
        response = EndedResponse("r", "/healthz", boottime(), time_left=1.0)
        with self.assertRaises(UpstreamDisconnected):
            await ends.confirm(upstream, response)
        await asyncio.sleep(0.01)
        self.assertEqual((2, tasks), (control.questions, asyncio.all_tasks()))

    async def test_answer_that_may_be_from_before_the_end_proves_nothing(self):
        """Nor does one of an upstream whose next life keeps its name."""
        for born, sent_later, whole in (
            (None, 0.0, True),
            (None, -0.3, False),
            (5, 0.0, False),
        ):
            control = _Control()
            control.delay = 60.0
            ends = ResponseEnds(
                t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
            )
            record = UpstreamRecord("e-1", "s", "x:1", "a", 1, born=born)
            upstream = Upstream(record, boottime())
            response = EndedResponse("r", "/healthz", boottime(), time_left=0.4)
            checking = asyncio.create_task(ends.confirm(upstream, response))
            await asyncio.sleep(0.1)
            sent_at = boottime() + sent_later
            ends.note_answer(upstream, sent_at=sent_at, healthy=True)
            await asyncio.wait([checking])
            self.assertEqual(whole, checking.exception() is None, (born, sent_later))

    async def test_responses_in_doubt_do_not_outlast_the_node(self):
        """Their callers would wait for the end until their deadlines."""
        control = _Control()
        control.delay = 60.0
        ends = ResponseEnds(
            t.cast(t.Any, control), t.cast(t.Any, None), GatewayMetrics()
        )
        upstream = Upstream(UpstreamRecord("e-1", "s", "x:1", "a", 1), boottime())
        response = EndedResponse("r", "/healthz", boottime(), time_left=60.0)
        checking = asyncio.create_task(ends.confirm(upstream, response))
        await asyncio.sleep(0.1)
        await ends.close()
        async with asyncio.timeout(1.0):
            with self.assertRaises(UpstreamDisconnected):
                await checking
            with self.assertRaises(UpstreamDisconnected):
                await ends.confirm(upstream, response)
