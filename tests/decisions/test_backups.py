"""Tests of the memory use up to which runs get backups."""

from bankrack.decisions.backups import CALM_BACKUP_FILL
from bankrack.decisions.backups import crash_probability
from bankrack.decisions.backups import MAX_BACKUP_FILL
from bankrack.decisions.backups import max_fill_with_backup
from tests.base import TestCase


class CrashProbabilityTest(TestCase):
    def probability(
        self, crashes: int, *, upstreams: int = 5, seconds: float = 8.0
    ) -> float:
        return crash_probability(
            crashes, upstreams=upstreams, window=60.0, seconds=seconds
        )

    def test_probability_is_zero_without_crashes(self):
        self.assertEqual(0.0, self.probability(0))

    def test_probability_rises_with_crashes_and_time_and_falls_with_engines(self):
        self.assertLess(self.probability(1), self.probability(2))
        self.assertLess(self.probability(1, seconds=1.0), self.probability(1))
        self.assertLess(self.probability(1, upstreams=50), self.probability(1))
        self.assertLess(self.probability(10_000), 1.0 + 1e-9)

    def test_service_without_upstreams_does_not_divide_by_zero(self):
        self.assertGreater(self.probability(1, upstreams=0), 0.0)


class BackupFillTest(TestCase):
    def test_fill_is_minimal_without_crashes(self):
        self.assertEqual(CALM_BACKUP_FILL, max_fill_with_backup(0.0))

    def test_fill_rises_with_probability_up_to_maximum(self):
        self.assertLess(CALM_BACKUP_FILL, max_fill_with_backup(0.02))
        self.assertLess(max_fill_with_backup(0.02), max_fill_with_backup(0.05))
        self.assertEqual(MAX_BACKUP_FILL, max_fill_with_backup(1.0))
        self.assertLess(MAX_BACKUP_FILL, 1.0)
