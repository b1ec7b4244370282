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
        self.assertEqual(1, self.pools(ENGINES_PER_POOL))
        self.now += HOLD_SECONDS

    def pools(self, engines: int) -> int:
        self.counts.note("s", engines)
        return self.counts.pools("s")

    def test_replaced_engines_do_not_split_a_pool(self):
        """A sixth of the engines is replaced every 3.3 s; the new ones join first."""
        for _ in range(20):
            for engines in (ENGINES_PER_POOL, ENGINES_PER_POOL + 8):
                self.assertEqual(1, self.pools(engines))
                self.now += 1.65

    def test_lasting_size_changes_number_on_all_nodes(self):
        """The number follows also if nobody asks for it meanwhile."""
        self.counts.note("s", ENGINES_PER_POOL + 8)
        self.now += HOLD_SECONDS - 0.1
        self.assertEqual(1, self.counts.pools("s"))
        self.now += 0.1
        self.assertEqual(2, self.counts.pools("s"))
        self.assertEqual(1, self.counts.changes)
        self.assertEqual(2, self.pools(30))
        self.now += HOLD_SECONDS
        self.assertEqual(1, self.counts.pools("s"))

    def test_number_follows_at_once_on_young_node_and_for_large_change(self):
        self.assertEqual(2, self.pools(71))
        young = PoolCounts(clock=lambda: self.now)
        for engines in range(1, 60):
            young.note("s", engines)
        self.assertEqual(2, young.pools("s"))
