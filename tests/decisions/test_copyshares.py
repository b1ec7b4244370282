"""Tests of how long a copy has to begin while other copies are left."""

from bankrack.decisions.copyshares import seconds_for_copy
from tests.base import TestCase


class SecondsForCopy(TestCase):
    def test_second_copy_has_time_before_the_caller_gives_up(self):
        seconds = seconds_for_copy(1.4, copies=2, begin=0.1, limit=2.0)
        self.assertAlmostEqual(0.7, seconds)

    def test_copy_of_a_slow_pool_is_not_left_before_it_begins(self):
        for left in (-1.0, 0.0, 1.4):
            seconds = seconds_for_copy(left, copies=2, begin=0.8, limit=2.0)
            self.assertEqual(2.0, seconds)

    def test_copy_is_not_waited_for_longer_than_its_limit(self):
        seconds = seconds_for_copy(60.0, copies=2, begin=0.1, limit=2.0)
        self.assertEqual(2.0, seconds)
