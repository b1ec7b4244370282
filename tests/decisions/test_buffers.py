"""Tests of the bounds for unread replies and request bodies."""

import dataclasses
import math
import random

from bankrack.decisions import buffers
from bankrack.decisions.buffers import choose_cuts
from bankrack.decisions.buffers import Cut
from bankrack.decisions.buffers import Keep
from bankrack.decisions.buffers import Limits
from bankrack.decisions.buffers import UnreadReply
from tests.base import TestCase

STEP_SECONDS = 0.25


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream of 445 events; its caller reads ``rate`` bytes a second.

    :param piece: bytes after which its host tells that it has read.
    """

    event_bytes: int
    rate: float
    left: int = 445
    held: int = 0
    stalled: float = 0.0
    piece: int = 1
    untold: int = 0

    def step(self, total: int, limits: Limits) -> int:
        """Generate and read for one step; returns the bytes now held by all."""
        for _ in range(min(self.left, 6)):
            held, more = self.held + self.event_bytes, total + self.event_bytes
            if isinstance(buffers.may_hold(held, more, limits), Keep):
                self.held, total = held, more
                self.left -= 1
        read = min(self.held, int(self.rate * STEP_SECONDS))
        self.held -= read
        self.untold += read
        told = self.untold >= self.piece or not self.held
        self.stalled = 0.0 if told else self.stalled + STEP_SECONDS
        self.untold = 0 if told else self.untold
        return total - read


class UnreadReplies(TestCase):
    LIMITS = Limits(replies=1000, reply=500, bodies=1000)

    def test_300_callers_that_read_nothing_beside_30_slow_ones(self):
        """A VM of 128 MB holds what it can; callers that read get everything."""
        limits = buffers.limits_of(128)
        rng = random.Random(1)
        idle = [Stream(rng.randint(300, 2400), 0.0) for _ in range(300)]
        slow = [Stream(rng.randint(300, 2400), 8_000.0) for _ in range(30)]
        by_number = dict(enumerate([*idle, *slow]))
        reasons = set()
        for _ in range(int(600 / STEP_SECONDS)):
            total = sum(stream.held for stream in by_number.values())
            for stream in by_number.values():
                total = stream.step(total, limits)
            self.assertLessEqual(total, 16 * 1024 * 1024)
            unread = [
                UnreadReply(number, stream.held, stream.stalled, 2.0)
                for number, stream in by_number.items()
                if stream.held
            ]
            for cut in choose_cuts(unread, limits):
                self.assertIn(by_number.pop(cut.number), idle)
                reasons.add(cut.reason)
        self.assertEqual(slow, list(by_number.values()))
        self.assertEqual(0, sum(stream.left + stream.held for stream in slow))
        self.assertEqual({"memory", "stalled"}, reasons)

    def test_callers_that_read_in_pieces_fill_the_memory_and_keep_their_streams(self):
        """A host with the usual receive buffer of 128 kB tells of every 8 kB."""
        limits = buffers.limits_of(8)
        streams = [Stream(1000, 10_000.0, piece=8192) for _ in range(40)]
        most = 0
        for _ in range(int(60 / STEP_SECONDS)):
            total = sum(stream.held for stream in streams)
            for stream in streams:
                total = stream.step(total, limits)
            most = max(most, total)
            unread = [
                UnreadReply(number, stream.held, stream.stalled, 2.0)
                for number, stream in enumerate(streams)
            ]
            self.assertEqual([], choose_cuts(unread, limits))
        self.assertGreater(most, buffers.FULL_FRACTION * limits.replies)
        self.assertEqual(0, sum(stream.left + stream.held for stream in streams))

    def test_reply_waits_above_its_own_and_above_the_common_limit(self):
        for held, total, waits in [
            (500, 1000, False),
            (501, 501, True),
            (9, 1001, True),
        ]:
            verdict = buffers.may_hold(held, total, self.LIMITS)
            self.assertEqual(waits, isinstance(verdict, buffers.Wait))

    def test_longest_stalled_goes_first_until_there_is_room(self):
        held_and_stalled = [(400, 0.0), (200, 1.5), (300, 1.5), (100, 1.1)]
        replies = [
            UnreadReply(number, held, stalled, 2.0)
            for number, (held, stalled) in enumerate(held_and_stalled)
        ]
        self.assertEqual([Cut(2, "memory")], choose_cuts(replies, self.LIMITS))
        self.assertEqual([], choose_cuts(replies[1:], self.LIMITS))

    def test_caller_that_paused_shortly_is_cut_only_if_memory_is_full(self):
        for held, stalled, cut in [
            (874, 3.9, False),
            (1000, 0.99, False),
            (875, 1.0, True),
        ]:
            cuts = choose_cuts([UnreadReply(1, held, stalled, 2.0)], self.LIMITS)
            self.assertEqual([Cut(1, "memory")] if cut else [], cuts)

    def test_stalled_reply_is_cut_while_there_is_room(self):
        replies = [UnreadReply(1, 9, 4.0, 2.0), UnreadReply(2, 9, 3.9, 2.0)]
        self.assertEqual([Cut(1, "stalled")], choose_cuts(replies, self.LIMITS))

    def test_absurd_memory_sizes_give_no_limits(self):
        for size in (0.0, -1.0, math.nan, math.inf):
            self.assertFalse(buffers.limits_of(size).bounded)


class Bodies(TestCase):
    def test_large_bodies_are_refused_above_the_limit(self):
        half, limit = 20_000, 40_000
        for size, held, accepted in [
            (half, half, True),
            (half + 1, half, False),
            (limit + 1, 0, True),
            (9, limit, True),
        ]:
            verdict = buffers.may_accept_body(size, held, limit)
            self.assertEqual(accepted, isinstance(verdict, Keep))
            self.assertEqual(accepted, buffers.may_send_body(size, held, limit))
