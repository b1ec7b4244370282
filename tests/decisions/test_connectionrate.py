"""Tests of the rate at which new connections are accepted."""

from bankrack.decisions.connectionrate import MAX_ALLOWANCE
from bankrack.decisions.connectionrate import MAX_DELAY_SECONDS
from bankrack.decisions.connectionrate import MIN_ALLOWANCE
from bankrack.decisions.connectionrate import next_allowance
from bankrack.decisions.connectionrate import START_ALLOWANCE
from bankrack.decisions.connectionrate import TICK_SECONDS
from tests.base import TestCase


def simulate(capacity: float, offered: float, *, periods: int) -> float:
    """Return the accepted share of a node's capacity, in connections a second.

    Work beyond the capacity delays the event loop until it is done.
    """
    allowance, backlog, accepted_sum, seconds = START_ALLOWANCE, 0.0, 0.0, 0.0
    for _ in range(periods):
        accepted = min(allowance, offered * TICK_SECONDS)
        backlog = max(0.0, backlog + accepted - capacity * TICK_SECONDS)
        delay = backlog / capacity
        allowance = next_allowance(allowance, delay=delay, accepted=int(accepted))
        accepted_sum += accepted
        seconds += TICK_SECONDS
    return accepted_sum / seconds / capacity


class NextAllowanceTest(TestCase):
    def test_fewer_are_accepted_while_the_loop_is_late(self):
        found = next_allowance(100.0, delay=2 * MAX_DELAY_SECONDS, accepted=100)
        self.assertLess(found, 100.0)

    def test_some_are_always_accepted(self):
        allowance = START_ALLOWANCE
        for _ in range(100):
            allowance = next_allowance(allowance, delay=10.0, accepted=0)
        self.assertEqual(MIN_ALLOWANCE, allowance)

    def test_more_are_accepted_only_if_they_come(self):
        allowance = 2 * START_ALLOWANCE
        self.assertEqual(allowance, next_allowance(allowance, delay=0.0, accepted=1))
        accepted = int(0.9 * allowance)
        self.assertGreater(
            next_allowance(allowance, delay=0.0, accepted=accepted), allowance
        )

    def test_node_without_delays_returns_to_the_start(self):
        allowance = MIN_ALLOWANCE
        for _ in range(100):
            allowance = next_allowance(allowance, delay=0.0, accepted=0)
        self.assertGreaterEqual(allowance, START_ALLOWANCE)
        self.assertLess(allowance, 1.2 * START_ALLOWANCE)

    def test_allowance_is_bounded(self):
        allowance = START_ALLOWANCE
        for _ in range(200):
            allowance = next_allowance(allowance, delay=0.0, accepted=2000)
        self.assertEqual(MAX_ALLOWANCE, allowance)

    def test_capacity_is_used_under_a_flood(self):
        for capacity in (100.0, 400.0, 1600.0):
            share = simulate(capacity, 8 * capacity, periods=400)
            self.assertGreater(share, 0.75)
            self.assertLess(share, 1.05)
