"""Tests of when an engine counts as silent."""

import asyncio
import time
import typing as t

from bankrack.decisions.silentengines import TimeLeft
from bankrack.decisions.silentengines import Unanswered
from bankrack.serving import silence
from bankrack.serving.engineinquiry import Answers
from bankrack.serving.pace import Pace
from bankrack.serving.silence import EngineSilent
from bankrack.serving.silence import SilenceWatch
from tests.base import TestCase

TIMEOUT_SECONDS = 0.1
STALL_SECONDS = 0.3


class SocketExchange:
    """A response that is read from a stream of bytes."""

    sent_at = 0.0

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    async def read_available(self) -> bytes:
        return await self._reader.read(100)


class DeadEngine:
    """Answers to questions about a run whose engine is dead, and its copy is not."""

    async def ask(self, *args: t.Any, **more: t.Any) -> Answers:
        return Answers(Unanswered(), frozenset(("e-2",)))


class Silence(TestCase):
    """Waits of a node whose event loop is blocked in between."""

    def setUp(self):
        super().setUp()
        self.patch(silence, "SILENCE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
        self.patch(silence, "SILENCE_TIMEOUT_GAPS", 0.0)
        self.patch(silence, "ASK_SECONDS", TIMEOUT_SECONDS / 2)

    async def read(self, *stalls: tuple[float, bytes]) -> bytes:
        """Read once while the loop is blocked at some times, in seconds.

        The bytes have arrived when it goes on.
        """
        data = await silence._read_unless_silent(self.start(*stalls), TIMEOUT_SECONDS)
        if data is None:
            raise EngineSilent("no event", ())
        return data

    def start(self, *stalls: tuple[float, bytes]) -> t.Any:
        reader = asyncio.StreamReader()
        for after, data in stalls:
            self.stall(reader, after, data)
        return SocketExchange(reader)

    def stall(self, reader: asyncio.StreamReader, after: float, data: bytes) -> None:

        def block() -> None:
            time.sleep(STALL_SECONDS)
            # As from a socket: in the same turn as the timers that are due.
            asyncio.get_running_loop().call_soon(reader.feed_data, data)

        asyncio.get_running_loop().call_later(after, block)

    async def test_engine_without_an_event_is_silent(self):
        inquiry: t.Any = DeadEngine()
        engine: t.Any = None
        watch = SilenceWatch(
            inquiry,
            Pace(),
            max_silence=2.0,
            time_left=lambda: TimeLeft(20.0, begin=2.0, rest=0.0),
        )
        began = time.monotonic()
        with self.assertRaises(EngineSilent):
            await watch.read(self.start(), engine, list)
        self.assertLess(time.monotonic() - began, 2 * TIMEOUT_SECONDS)

    async def test_events_that_arrived_during_a_stall_are_no_silence(self):
        read = await self.read((TIMEOUT_SECONDS / 2, b"event"))
        self.assertEqual(b"event", read)

    async def test_events_that_arrived_during_a_second_stall_are_no_silence(self):
        second = STALL_SECONDS + TIMEOUT_SECONDS
        read = await self.read((TIMEOUT_SECONDS / 2, b""), (second, b"event"))
        self.assertEqual(b"event", read)

    async def test_node_that_stalls_again_and_again_finds_a_silent_engine(self):
        stalls = [(number * STALL_SECONDS, b"") for number in range(1, 5)]
        with self.assertRaises(EngineSilent):
            await self.read(*stalls)
