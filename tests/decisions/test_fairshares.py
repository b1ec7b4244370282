"""Tests of the fair shares of a crowded pool."""

import math

from bankrack.decisions.fairshares import FairShares
from tests.base import TestCase

RANK = (1, 0)


class FairSharesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.shares = FairShares()

    def serve(self, workspaces: list[str], count: int) -> list[str]:
        """Serve runs of 1,000 tokens while all these workspaces always wait."""
        served = []
        for _ in range(count):
            first = min(workspaces, key=lambda name: self.shares.debt(RANK, name))
            self.shares.charge(RANK, first, 1000.0, waiting=workspaces)
            served.append(first)
        return served

    def test_waiting_workspaces_are_served_equally(self):
        served = self.serve(["a", "b", "c"], 30)
        self.assertEqual([10, 10, 10], [served.count(name) for name in "abc"])

    def test_idle_workspace_gains_no_credit(self):
        self.serve(["a", "b"], 100)
        served = self.serve(["a", "b", "idle"], 9)
        self.assertEqual(3, served.count("idle"))

    def test_use_without_waiting_runs_is_no_debt(self):
        for _ in range(50):
            self.shares.charge(RANK, "large", 1000.0)
        self.assertLessEqual(self.shares.debt(RANK, "large"), 1000.0)

    def test_light_run_keeps_debts_of_others(self):
        """Its workspace would lose its turn to those that used far more."""
        for name in ("a", "b"):
            for _ in range(20):
                self.shares.charge(RANK, name, 1000.0, waiting=["light"])
        self.shares.charge(RANK, "light", 500.0, waiting=["a", "b"])
        found = [self.shares.debt(RANK, name) for name in ("a", "b", "light")]
        self.assertEqual([20_000.0, 20_000.0, 500.0], found)
        self.shares.charge(RANK, "a", 1000.0, waiting=["a", "b"])
        self.assertEqual(0.0, self.shares.debt(RANK, "b"))

    def test_ranks_are_separate(self):
        self.shares.charge(RANK, "a", 1000.0)
        self.assertEqual(0.0, self.shares.debt((1, 2), "a"))

    def test_weight_scales_the_share(self):
        self.shares.charge(RANK, "a", 1000.0, waiting=["b"], weight=2.0)
        self.assertEqual(500.0, self.shares.debt(RANK, "a"))

    def test_absurd_tokens_are_not_charged(self):
        for tokens in (math.nan, math.inf, -5.0, 0.0):
            self.shares.charge(RANK, "a", tokens, waiting=["b"])
        self.assertEqual({}, self.shares.debts())
