"""Tests of the number of pools of a service."""

from bankrack.decisions.poolcount import ENGINES_PER_POOL
from bankrack.decisions.poolcount import HOLD_SECONDS
from bankrack.decisions.poolcount import PoolCounts
from tests.base import TestCase


class PoolCountsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.counts = PoolCounts(clock=lambda: self.now)

    def test_replaced_engines_do_not_split_a_pool(self):
        """A sixth of the engines is replaced every 3.3 s; the new ones join first."""
        for _ in range(20):
            for engines in (ENGINES_PER_POOL, ENGINES_PER_POOL + 8):
                self.assertEqual(1, self.counts.count("s", engines))
                self.now += 1.65
        self.assertEqual(0, self.counts.changes)

    def test_lasting_size_changes_number(self):
        self.assertEqual(1, self.counts.count("s", ENGINES_PER_POOL + 8))
        self.now += HOLD_SECONDS
        self.assertEqual(2, self.counts.count("s", ENGINES_PER_POOL + 8))
        self.assertEqual(2, self.counts.count("s", 30))
        self.now += HOLD_SECONDS
        self.assertEqual(1, self.counts.count("s", 30))

    def test_much_larger_service_is_split_at_once(self):
        self.assertEqual(2, self.counts.count("s", 71))
        self.assertEqual(128, self.counts.count("t", 6_100))
        self.assertEqual(128, self.counts.count("t", 6_300))
