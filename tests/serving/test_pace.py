"""Tests of learning the speeds of engines."""

from bankrack.serving.job import Demand
from bankrack.serving.pace import INITIAL_READ_RATE
from bankrack.serving.pace import INITIAL_RESUME_SECONDS
from bankrack.serving.pace import INITIAL_TOKEN_SECONDS
from bankrack.serving.pace import MIN_RUNS
from bankrack.serving.pace import MIN_SAMPLES
from bankrack.serving.pace import Pace
from tests.base import TestCase

LONG = Demand(prompt=1000, output_limit=500)


class PaceTest(TestCase):
    def test_initial_estimates_hold_for_few_runs(self):
        pace = Pace()
        for _ in range(MIN_SAMPLES - 1):
            pace.began(1000, 10.0)
        for _ in range(MIN_RUNS - 1):
            pace.ended(LONG, 100.0)
        self.assertEqual(INITIAL_READ_RATE, pace.read_rate())
        self.assertEqual(INITIAL_TOKEN_SECONDS, pace.token_seconds)

    def test_speeds_are_learned_and_logged(self):
        pace = Pace()
        with self.assertLogs("bankrack.serving.pace") as found:
            for _ in range(MIN_RUNS):
                pace.began(1000, 0.5)
                pace.ended(LONG, 20.0)
        self.assertEqual(2000.0, pace.read_rate())
        self.assertEqual(0.04, pace.token_seconds)
        self.assertEqual(2, len(found.output))

    def test_engines_for_short_runs_are_learned_separately(self):
        pace = Pace()
        for _ in range(MIN_SAMPLES):
            pace.began(1000, 0.5, short_only=True)
        self.assertEqual(INITIAL_READ_RATE, pace.read_rate())
        self.assertEqual(2000.0, pace.read_rate(short_only=True))

    def test_wait_independent_of_prompt_does_not_affect_read_rate(self):
        pace = Pace()
        for number in range(20):
            tokens = 1000 + 100 * number
            pace.began(tokens, 0.1 + tokens / 14_000)
        self.assertEqual(14_000, round(pace.read_rate()))

    def test_single_outlier_is_ignored(self):
        pace = Pace()
        for _ in range(20):
            pace.began(1000, 0.1)
        pace.began(1000, 60.0)
        self.assertEqual(10_000.0, pace.read_rate())

    def test_runs_without_duration_and_short_runs_are_ignored(self):
        pace = Pace()
        for _ in range(2 * MIN_RUNS):
            pace.began(1000, 0.0)
            pace.ended(LONG, 0.0)
            pace.ended(Demand(prompt=1000, output_limit=10), 5.0)
        self.assertEqual(INITIAL_READ_RATE, pace.read_rate())
        self.assertEqual(INITIAL_TOKEN_SECONDS, pace.token_seconds)

    def test_slow_begin_of_a_copy_is_not_forgotten_at_once(self):
        pace = Pace()
        for seconds in [0.1] * (MIN_SAMPLES - 1):
            pace.resumed(seconds)
        self.assertEqual(INITIAL_RESUME_SECONDS, pace.resume_seconds)
        pace.resumed(0.8)
        pace.resumed(0.1)
        self.assertEqual(0.8, pace.resume_seconds)
