"""Tests of which runs of a pool get backups."""

import random

from bankrack.decisions.admission import Admit
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import CRASH_WINDOW_SECONDS
from bankrack.placement.allocation import LEARN_SECONDS
from bankrack.placement.allocation import PEAK_WINDOW_SECONDS
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from tests.placement.test_allocation import MEMORY
from tests.placement.test_allocation import PoolTestCase


class BackupTest(PoolTestCase):
    """Two engines of 10,000 tokens, in use for longer than the learning time."""

    def setUp(self):
        super().setUp()
        self.small = Demand(prompt=500, output_limit=100)
        self.gets_backup("first")
        self.now += LEARN_SECONDS

    def gets_backup(self, run: str) -> bool:
        verdict = self.ask(run, self.small)
        assert isinstance(verdict, Admit)
        self.allocator.ledger.end(run)
        return verdict.backup_fits

    def test_backup_is_granted_with_spare_memory(self):
        self.assertTrue(self.gets_backup("a"))

    def test_backup_is_refused_in_newly_used_pool(self):
        self.now -= LEARN_SECONDS - 0.5
        self.assertFalse(self.gets_backup("a"))

    def test_backup_is_refused_shortly_after_pool_was_full(self):
        for run in self.fill():
            self.allocator.ledger.end(run)
        self.now += PEAK_WINDOW_SECONDS / 2
        self.assertFalse(self.gets_backup("a"))
        self.now += PEAK_WINDOW_SECONDS
        self.assertTrue(self.gets_backup("b"))

    def test_runs_that_an_earlier_owner_placed_do_not_prevent_backups(self):
        """They end soon, and would count as a peak for long after."""
        for engine in self.engines:
            listed = {f"old-{engine.id}": 7000}
            report = EngineReport(1, 0, 7000, MEMORY, self.now, False, listed)
            engine.note_report(report)
        self.assertTrue(self.gets_backup("a"))

    def test_backup_is_refused_unless_run_and_backup_fit(self):
        large = Demand(prompt=4500, output_limit=200)
        verdict = self.ask("large", large)
        assert isinstance(verdict, Admit)
        self.assertFalse(verdict.backup_fits)


class BackupAfterCrashTest(PoolTestCase):
    """Several engines crash at once while the pool has room."""

    def setUp(self):
        super().setUp()
        self.crashed_at: list[float] = []
        self.allocator = Allocator(
            clock=lambda: self.now,
            rng=random.Random(1),
            read_ahead=60.0,
            crashed_since=lambda moment: [at for at in self.crashed_at if at > moment],
        )
        self.long = Demand(prompt=500, output_limit=400)

    def gets_backup(self, run: str, demand: Demand | None = None) -> bool:
        verdict = self.ask(run, demand or self.long)
        assert isinstance(verdict, Admit)
        self.allocator.ledger.end(run)
        return verdict.backup_fits

    def test_backup_is_granted_after_crashes_in_newly_used_pool(self):
        self.assertFalse(self.gets_backup("a"))
        self.crashed_at = [self.now] * 4
        self.assertTrue(self.gets_backup("b"))

    def test_backup_is_granted_in_fuller_pool_after_crashes(self):
        half = Demand(prompt=4000, output_limit=300)
        self.ask("half-0", half)
        self.ask("half-1", half)
        self.now += LEARN_SECONDS
        self.assertFalse(self.gets_backup("a"))
        self.crashed_at = [self.now] * 4
        self.assertTrue(self.gets_backup("b"))

    def test_backup_is_refused_in_full_pool_after_crashes(self):
        for run in self.fill():
            self.allocator.ledger.end(run)
        self.crashed_at = [self.now] * 4
        self.assertFalse(self.gets_backup("a"))

    def test_backup_is_refused_once_crashes_are_outside_window(self):
        self.crashed_at = [self.now] * 4
        self.assertTrue(self.gets_backup("a"))
        self.now += CRASH_WINDOW_SECONDS + 1.0
        self.allocator = Allocator(
            clock=lambda: self.now,
            crashed_since=lambda moment: [at for at in self.crashed_at if at > moment],
        )
        self.assertFalse(self.gets_backup("b"))
