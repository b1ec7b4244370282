"""Tests of splitting engines into pools."""

import collections

from bankrack.decisions.poolcount import count_pools
from bankrack.decisions.poolcount import ENGINES_PER_POOL
from bankrack.serving.pools import open_engines_of_pool
from bankrack.serving.pools import pool_of
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


def engines(count: int, *, leaving: bool = False) -> list[Upstream]:
    return [
        Upstream(UpstreamRecord(f"e-{n}", "s", "10.0.0.1:1", "a", 8, leaving), 1.0)
        for n in range(count)
    ]


class PoolTest(TestCase):
    def test_few_engines_form_one_pool(self):
        self.assertEqual(1, count_pools(24))
        self.assertEqual(0, pool_of("any", 1))

    def test_pools_have_similar_sizes(self):
        pools = count_pools(20 * ENGINES_PER_POOL)
        sizes = collections.Counter(pool_of(f"e-{n}", pools) for n in range(960))
        self.assertEqual(pools, len(sizes))
        self.assertLess(max(sizes.values()), 2 * ENGINES_PER_POOL)

    def test_one_pool_more_takes_equal_shares_of_the_others(self):
        ids = [f"e-{n}" for n in range(2_000)]
        moved = [i for i in ids if pool_of(i, 20) != pool_of(i, 21)]
        self.assertEqual({20}, {pool_of(i, 21) for i in moved})
        self.assertLess(len(moved), 150)

    def test_open_engines_of_pool_are_of_same_pool(self):
        known = engines(4 * ENGINES_PER_POOL)
        found = open_engines_of_pool(known[0], known, 4)
        self.assertIn(known[0], found)
        self.assertEqual({pool_of("e-0", 4)}, {pool_of(u.id, 4) for u in found})
        leaving = engines(5, leaving=True)
        self.assertEqual([], open_engines_of_pool(known[0], leaving, 1))
