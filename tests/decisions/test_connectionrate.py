"""Tests of the rate at which new connections are accepted."""

from bankrack.decisions.connectionrate import BURST_SECONDS
from bankrack.decisions.connectionrate import MAX_BURST
from bankrack.decisions.connectionrate import MAX_DELAY_SECONDS
from bankrack.decisions.connectionrate import MAX_RATE
from bankrack.decisions.connectionrate import MIN_RATE
from bankrack.decisions.connectionrate import next_rate
from bankrack.decisions.connectionrate import refill
from bankrack.decisions.connectionrate import START_RATE
from bankrack.decisions.connectionrate import TICK_SECONDS
from tests.base import TestCase

LATE = 2 * MAX_DELAY_SECONDS


def simulate(capacity: float, offered: float, *, seconds: float) -> tuple[float, float]:
    """Return the accepted share of a node's capacity, and its longest late delay.

    Work beyond the capacity delays the event loop until it is done.
    """
    rate, allowance, delay, refused = START_RATE, MAX_BURST, 0.0, 0
    now = accepted_sum = longest = 0.0
    while now < seconds:
        period = TICK_SECONDS + delay
        allowance = refill(allowance, rate, seconds=period, refused=refused)
        accepted = int(min(allowance, offered * period))
        refused = int(offered * period) - accepted
        allowance -= accepted
        delay = max(0.0, accepted / capacity - TICK_SECONDS)
        rate = next_rate(
            rate, delay=delay, seconds=period, accepted=accepted, refused=refused
        )
        now += period
        accepted_sum += accepted
        if now > seconds / 2:
            longest = max(longest, delay)
    return accepted_sum / now / capacity, longest


class NextRateTest(TestCase):
    def next(self, rate: float, **found: float) -> float:
        usual = {"delay": 0.0, "seconds": TICK_SECONDS, "accepted": 0, "refused": 0}
        return next_rate(rate, **{**usual, **found})

    def test_late_node_that_turns_callers_away_accepts_less_than_it_managed(self):
        found = self.next(START_RATE, delay=LATE, seconds=0.3, accepted=90, refused=9)
        self.assertLess(found, 90 / 0.3)

    def test_short_delay_without_refusals_lowers_the_rate_a_little(self):
        found = self.next(START_RATE, delay=LATE, seconds=0.3, accepted=1)
        self.assertGreater(found, START_RATE / 2)
        self.assertLess(found, START_RATE)

    def test_some_are_always_accepted(self):
        rate = START_RATE
        for _ in range(100):
            rate = self.next(rate, delay=10.0, seconds=10.0)
        self.assertEqual(MIN_RATE, rate)

    def test_more_are_accepted_only_if_they_come(self):
        rate = 2 * START_RATE
        self.assertEqual(rate, self.next(rate, accepted=1))
        accepted = int(0.9 * rate * TICK_SECONDS)
        self.assertGreater(self.next(rate, accepted=accepted), rate)

    def test_node_without_delays_returns_to_the_start(self):
        rate = MIN_RATE
        for _ in range(100):
            rate = self.next(rate)
        self.assertGreaterEqual(rate, START_RATE)
        self.assertLess(rate, 1.2 * START_RATE)

    def test_rate_is_bounded(self):
        rate = START_RATE
        for _ in range(200):
            rate = self.next(rate, accepted=5000)
        self.assertEqual(MAX_RATE, rate)

    def test_capacity_is_used_under_a_flood_without_long_delays(self):
        for capacity in (100.0, 400.0, 1600.0):
            share, longest = simulate(capacity, 8 * capacity, seconds=20.0)
            self.assertGreater(share, 0.75)
            self.assertLess(share, 1.05)
            self.assertLess(longest, 2 * BURST_SECONDS)


class RefillTest(TestCase):
    def test_connections_of_a_delay_are_accepted_behind_it(self):
        self.assertEqual(60.0, refill(0.0, 300.0, seconds=0.2, refused=0))

    def test_node_that_refuses_gets_no_credit_for_its_delay(self):
        found = refill(50.0, 300.0, seconds=0.2, refused=1)
        self.assertEqual(300.0 * TICK_SECONDS, found)

    def test_burst_is_bounded(self):
        self.assertEqual(
            300.0 * BURST_SECONDS, refill(0.0, 300.0, seconds=9.0, refused=0)
        )
        self.assertEqual(MAX_BURST, refill(0.0, MAX_RATE, seconds=9.0, refused=0))
