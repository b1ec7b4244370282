"""Tests of how long a run waits for a reservation, and what a late answer tells."""

import math

from bankrack.decisions.reservations import judge
from bankrack.decisions.reservations import MAX_REPEATS
from bankrack.decisions.reservations import may_repeat
from bankrack.decisions.reservations import MIN_TIMEOUT_SECONDS
from bankrack.decisions.reservations import Overdue
from bankrack.decisions.reservations import RoundTrips
from bankrack.decisions.reservations import Silence
from bankrack.decisions.reservations import timeout_seconds
from bankrack.decisions.reservations import unreachable_retry_seconds
from bankrack.decisions.reservations import Verdict
from tests.base import TestCase


def answered(*trips: tuple[float, float]) -> RoundTrips:
    """Round trips of an engine; each has the times of the request and its answer."""
    found = RoundTrips()
    for sent_at, answered_at in trips:
        found.observe(sent_at, sent_at, answered_at)
    return found


class Timeouts(TestCase):
    def test_timeout_follows_late_answers(self):
        slow = answered(*((n, n + 0.3) for n in range(20)))
        self.assertGreater(slow.timeout, 0.3)
        self.assertLess(slow.timeout, 0.4)

    def test_slow_engine_does_not_delay_requests_to_a_fast_one(self):
        slow, fast = answered((0.0, 0.9)), answered((0.0, 0.01))
        self.assertEqual(MIN_TIMEOUT_SECONDS, timeout_seconds([slow, fast], 1.0))

    def test_old_round_trips_do_not_count(self):
        slow, fast = answered((19.0, 19.9)), answered((0.0, 0.01))
        self.assertEqual(slow.timeout, timeout_seconds([slow, fast], 20.0))
        self.assertEqual(MIN_TIMEOUT_SECONDS, timeout_seconds([], 20.0))


class Judgements(TestCase):
    def verdict(
        self, engine: RoundTrips, *others: RoundTrips, timer_late: float = 0.0
    ) -> Verdict:
        return judge(Overdue(1.0, timer_late), engine, others)

    def test_engine_that_answers_earlier_requests_is_not_silent(self):
        busy, other = answered((0.5, 1.1)), answered((1.05, 1.1))
        self.assertIs(Verdict.QUEUED, self.verdict(busy, other))

    def test_engine_is_silent_if_only_others_answer(self):
        silent, other = answered((0.5, 0.6)), answered((1.05, 1.1))
        self.assertIs(Verdict.SILENT, self.verdict(silent, other))

    def test_nothing_is_known_while_no_engine_answers(self):
        silent, other = answered((0.5, 0.6)), answered((0.95, 1.1))
        self.assertIs(Verdict.UNKNOWN, self.verdict(silent, other))

    def test_request_that_was_overtaken_may_be_lost(self):
        self.assertIs(Verdict.UNKNOWN, self.verdict(answered((1.05, 1.1))))

    def test_late_timer_tells_nothing_of_engines(self):
        silent, other = answered((0.5, 0.6)), answered((1.05, 1.1))
        found = self.verdict(silent, other, timer_late=0.1)
        self.assertIs(Verdict.LATE_TIMER, found)

    def test_request_that_waited_here_was_not_overtaken(self):
        """The others were queued before it, and sent later."""
        found = RoundTrips()
        found.observe(0.9, 1.05, 1.1)
        self.assertIs(Verdict.QUEUED, self.verdict(found))


class Repeats(TestCase):
    def test_repeats_are_few_while_no_engine_answers(self):
        self.assertTrue(may_repeat(MAX_REPEATS - 1, in_flight=1))
        self.assertFalse(may_repeat(MAX_REPEATS, in_flight=20))
        self.assertTrue(may_repeat(MAX_REPEATS, in_flight=100))


class Refusals(TestCase):
    def test_known_silence_is_tested_by_one_run_at_a_time(self):
        silence = Silence()
        silence.note(10.0)
        found = [silence.refuses(10.0 + n / 10, 9.0) for n in range(6)]
        self.assertEqual([True, True, True, False, True, True], found)

    def test_new_node_refuses_nothing(self):
        silence = Silence()
        found = [silence.refuses(10.0 + n / 10, -math.inf) for n in range(3)]
        self.assertEqual([False] * 3, found)

    def test_any_answer_ends_a_known_silence(self):
        silence = Silence()
        silence.note(10.0)
        self.assertFalse(silence.refuses(10.1, 10.05))

    def test_refused_callers_do_not_return_at_once(self):
        delays = [unreachable_retry_seconds(n / 10) for n in range(11)]
        self.assertEqual(sorted(set(delays)), delays)
        self.assertGreaterEqual(delays[-1], 3 * delays[0])
