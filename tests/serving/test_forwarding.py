"""Tests of forwarding events and of the pauses recorded for a stream."""

from bankrack.serving import forwarding
from bankrack.serving.client import Head
from bankrack.serving.forwarding import EventForwarder
from bankrack.serving.gaps import GapMeter
from tests.base import TestCase

HEAD = Head(status=200, headers=[], not_run=False, run_id="r", sealed=True)


class Caller:
    """A reply that accepts everything."""

    def __init__(self) -> None:
        self.started = False
        self.waited = False

    async def begin(self, status, headers) -> None:
        self.started = True

    async def write(self, data) -> bool:
        assert self.started
        return self.waited


class Pauses(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 50.0
        self.patch(forwarding, "boottime", lambda: self.now)
        self.caller = Caller()
        self.forwarder = EventForwarder(self.caller, gap_target=0.18)

    async def event(self, number: int, *, after: float) -> None:
        self.now += after
        await self.forwarder.feed(b"id: %d\ndata: x\n\n" % number, HEAD)

    async def test_longest_pause_and_its_position(self):
        for number, after in enumerate([2.0, 0.04, 0.5, 0.04, 0.2]):
            await self.event(number, after=after)
        pause = self.forwarder.longest_pause
        self.assertEqual(
            (0.5, 2, False), (round(pause.seconds, 3), pause.event, pause.moved)
        )
        self.assertAlmostEqual(0.34, self.forwarder.excess_pause_seconds, places=3)

    async def test_pause_during_a_change_of_engine_is_marked(self):
        await self.event(0, after=1.0)
        self.forwarder.change_engine()
        await self.event(1, after=0.3)
        await self.event(2, after=0.1)
        self.assertTrue(self.forwarder.longest_pause.moved)

    async def test_restored_engine_is_not_a_change(self):
        await self.event(0, after=1.0)
        splitter = self.forwarder.change_engine()
        self.forwarder.restore_engine(splitter)
        await self.event(1, after=0.3)
        self.assertFalse(self.forwarder.longest_pause.moved)

    async def test_events_that_waited_for_the_caller_tell_nothing_of_the_engine(self):
        meter = GapMeter("e-1")
        self.forwarder.change_engine(meter)
        for number in range(4):
            await self.event(number, after=0.04)
        self.caller.waited = True
        await self.event(4, after=0.04)
        self.caller.waited = False
        for number in range(5, 20):
            await self.event(number, after=0.7)
        self.assertEqual(4, meter.events)
        self.assertAlmostEqual(0.04, meter.longest)
