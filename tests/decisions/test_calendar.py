"""Tests of the forecast of a pool's room and of booked returns."""

import dataclasses
import math

from bankrack.decisions.calendar import Arrival
from bankrack.decisions.calendar import Calendar
from bankrack.decisions.calendar import forecast_start
from bankrack.decisions.calendar import MAX_BOOKINGS
from bankrack.decisions.calendar import Outlook
from bankrack.decisions.calendar import RecentArrivals
from bankrack.decisions.calendar import RETURN_GRACE_SECONDS
from bankrack.decisions.calendar import Stay
from bankrack.decisions.memory import Release
from tests.base import TestCase

RANK = (1, 0)
RUN = Stay(need=1000.0, prompt=1000.0, seconds=2.0)


def outlook(*ends: float, free: float = 0.0, unread: float = 0.0) -> Outlook:
    releases = [Release(seconds, 1000.0) for seconds in ends]
    return Outlook(free, releases, unread, read_rate=10_000.0, read_ahead=0.4)


def start(pool: Outlook, ahead: int = 0, **options) -> float:
    options = {"arrivals": [], "horizon": 30.0, **options}
    return forecast_start(RUN, pool, ahead=[RUN] * ahead, **options)


class ForecastTest(TestCase):
    def test_run_begins_when_those_ahead_have_room_too(self):
        self.assertAlmostEqual(0.0, start(outlook(free=1000.0)))
        self.assertAlmostEqual(3.0, start(outlook(1.0, 2.0, 3.0), ahead=2))

    def test_runs_ahead_free_their_room_again(self):
        self.assertAlmostEqual(3.0, start(outlook(1.0), ahead=1))

    def test_unread_prompts_delay_the_start(self):
        self.assertAlmostEqual(0.6, start(outlook(free=9000.0, unread=10_000.0)))

    def test_earlier_arrivals_take_the_room(self):
        early = Arrival(0.5, RUN)
        self.assertAlmostEqual(2.0, start(outlook(1.0, 2.0), arrivals=[early]))

    def test_arrivals_of_a_moment_do_not_block_the_pool_for_good(self):
        burst = Arrival(0.5, Stay(need=5000.0, prompt=5000.0, seconds=2.0))
        pool = outlook(1.0, 2.0, 3.0, 4.0)
        self.assertLess(start(pool, ahead=1, arrivals=[burst]), 10.0)

    def test_start_beyond_the_horizon_or_never_is_infinite(self):
        self.assertEqual(math.inf, start(outlook(9.0), horizon=5.0))
        self.assertEqual(math.inf, start(outlook()))

    def test_recent_arrivals_of_better_ranks_repeat(self):
        recent = RecentArrivals()
        for number in range(20):
            recent.note((number % 2, 0), RUN, now=number * 0.1)
        found = recent.expected(2.0, 4.0, goes_first=lambda rank: rank < RANK)
        self.assertEqual(20 * RUN.need, sum(one.stay.need for one in found))


class ReturnsTest(TestCase):
    """200 callers are refused within half a second by a pool that frees 20/s."""

    def setUp(self):
        super().setUp()
        self.calendar = Calendar()
        self.times = []
        ends = [1.0 + number / 20 for number in range(400)]
        pool = dataclasses.replace(outlook(*ends), read_rate=1e6)
        for number in range(200):
            arrivals = self.calendar.arrivals(0.0, goes_first=lambda rank: True)
            at = start(pool, arrivals=arrivals)
            self.assertTrue(self.calendar.book(f"caller-{number}", RANK, RUN, at))
            self.times.append(at)

    def test_returns_are_spread_over_the_room(self):
        for second in range(1, 4):
            due = sum(second <= at < second + 1 for at in self.times)
            self.assertGreaterEqual(due, 18)
            self.assertLessEqual(due, 45)

    def test_return_at_its_time_is_known_once(self):
        """One that comes early gains nothing by it, and does not use the booking."""
        at = self.times[7]
        self.assertTrue(self.calendar.claim("caller-7", "early", at - 0.3))
        self.assertEqual(0, self.calendar.matched)
        self.assertTrue(self.calendar.claim("caller-7", "run", at))
        self.assertTrue(self.calendar.claim("caller-7", "run", at + 0.1))
        self.assertFalse(self.calendar.claim("caller-7", "repeated", at + 0.1))
        self.assertEqual(1, self.calendar.matched)

    def test_early_return_leaves_room_for_those_refused_before_it(self):
        calendar = Calendar()
        for number in range(3):
            calendar.book(f"c-{number}", RANK, RUN, 5.0 - number, now=float(number))
        calendar.book("urgent", (RANK[0], RANK[1] - 1), RUN, 4.0, now=0.5)
        calendar.book("less urgent", (RANK[0], RANK[1] + 1), RUN, 4.0, now=0.5)
        self.assertEqual(3, len(calendar.promised_before("c-2", 2.5)))
        self.assertEqual([], calendar.promised_before("c-0", 2.5))
        self.assertEqual([], calendar.promised_before("c-2", 3.0))
        # A caller that is refused again keeps its place, and one that came has none.
        calendar.claim("c-0", "run", 5.0)
        calendar.book("c-0", RANK, RUN, 9.0, now=5.0)
        calendar.claim("urgent", "other", 5.0)
        found = calendar.promised_before("c-1", 2.5)
        self.assertEqual([0.0], [booking.since for booking in found])

    def test_unused_bookings_expire(self):
        end = max(self.times) + RETURN_GRACE_SECONDS + 0.1
        self.assertEqual([], self.calendar.arrivals(end, goes_first=lambda rank: True))
        self.assertEqual((0, 200), (len(self.calendar), self.calendar.expired))

    def test_work_of_a_forecast_is_bounded(self):
        """Thousands of callers return within ten seconds."""
        for number in range(MAX_BOOKINGS):
            self.calendar.book(f"many-{number}", RANK, RUN, 2.0 + number % 100 / 10)
        arrivals = self.calendar.arrivals(0.0, goes_first=lambda rank: True)
        self.assertLessEqual(len(arrivals), 200)
        booked = len(self.calendar)
        self.assertAlmostEqual(booked * RUN.need, sum(a.stay.need for a in arrivals))
        for number in range(MAX_BOOKINGS):
            self.calendar.claim(f"many-{number}", "run", 12.0)
            self.calendar.close(f"caller-{number}")
        self.assertEqual([], self.calendar.arrivals(9.0, goes_first=lambda rank: True))

    def test_bookings_are_bounded(self):
        for number in range(2 * MAX_BOOKINGS):
            self.calendar.book(f"other-{number}", RANK, RUN, 1.0)
        self.assertEqual(MAX_BOOKINGS, len(self.calendar))
