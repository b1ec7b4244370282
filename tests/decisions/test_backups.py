"""Tests of how full a pool may be for its runs to have backups."""

from bankrack.decisions.backups import backup_fill
from bankrack.decisions.backups import CALM_FILL
from bankrack.decisions.backups import chance_of_end
from bankrack.decisions.backups import MOST_FILL
from tests.base import TestCase


class Chance(TestCase):
    def chance(self, ends: int, *, upstreams: int = 5, seconds: float = 8.0) -> float:
        return chance_of_end(ends, upstreams=upstreams, window=60.0, seconds=seconds)

    def test_none_without_an_end(self):
        self.assertEqual(0.0, self.chance(0))

    def test_it_grows_with_ends_and_time_and_falls_with_engines(self):
        self.assertLess(self.chance(1), self.chance(2))
        self.assertLess(self.chance(1, seconds=1.0), self.chance(1))
        self.assertLess(self.chance(1, upstreams=50), self.chance(1))
        self.assertLess(self.chance(10_000), 1.0 + 1e-9)

    def test_a_service_without_upstreams(self):
        self.assertGreater(self.chance(1, upstreams=0), 0.0)


class Fill(TestCase):
    def test_calm_pools_keep_memory_for_runs(self):
        self.assertEqual(CALM_FILL, backup_fill(0.0))

    def test_where_ends_are_likely_more_is_given_and_never_all(self):
        self.assertLess(CALM_FILL, backup_fill(0.02))
        self.assertLess(backup_fill(0.02), backup_fill(0.05))
        self.assertEqual(MOST_FILL, backup_fill(1.0))
        self.assertLess(MOST_FILL, 1.0)
