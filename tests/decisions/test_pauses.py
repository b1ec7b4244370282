"""Tests of the forecast of pauses."""

from bankrack.decisions.pauses import can_be_paused
from bankrack.decisions.pauses import DELAY_VALUE
from bankrack.decisions.pauses import expected_loss
from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.decisions.pauses import is_slow_moment
from bankrack.decisions.pauses import lifetime_risk
from bankrack.decisions.pauses import MIN_STREAMS
from bankrack.decisions.pauses import pause_hazard
from bankrack.decisions.pauses import PauseCost
from bankrack.decisions.pauses import resumption_hazard
from bankrack.decisions.pauses import StreamPause
from tests.base import TestCase

PAUSE_COST = PauseCost(gap_target=0.18, seconds=1.8)


class PauseHazardTest(TestCase):
    # One stream in four is paused for five times its usual gap by one of its prompts.
    observed = [StreamPause(5.0, 8), *[StreamPause(2.2, 8)] * 3] * 4

    def hazard(self, gap: float) -> float:
        return pause_hazard(self.observed, gap=gap, gap_target=PAUSE_COST.gap_target)

    def test_only_slow_engines_pause_their_streams_too_long(self):
        self.assertEqual(0.0, self.hazard(0.019))
        self.assertEqual(0.0, self.hazard(0.030))
        self.assertAlmostEqual(1 / 32, self.hazard(0.051))
        self.assertAlmostEqual(1 / 8, self.hazard(0.090))

    def test_initial_estimate_counts_until_enough_streams_were_observed(self):
        few = [StreamPause(1.5, 8)] * (MIN_STREAMS - 1)
        self.assertGreater(pause_hazard(few, gap=0.051, gap_target=0.18), 0.0)
        enough = [*few, StreamPause(1.5, 8)]
        self.assertEqual(0.0, pause_hazard(enough, gap=0.051, gap_target=0.18))

    def test_without_a_target_or_a_gap_there_is_none(self):
        self.assertEqual(0.0, pause_hazard(self.observed, gap=0.09, gap_target=0.0))
        self.assertEqual(0.0, pause_hazard(self.observed, gap=0.0, gap_target=0.18))

    def test_streams_without_prompts_beside_them(self):
        alone = [StreamPause(5.0, 0)] * MIN_STREAMS
        self.assertLessEqual(pause_hazard(alone, gap=0.09, gap_target=0.18), 1.0)

    def test_risk_of_a_stream_grows_with_the_prompts_beside_it(self):
        self.assertEqual(0.0, lifetime_risk(0.1, prompts=0.0))
        self.assertAlmostEqual(0.1, lifetime_risk(0.1, prompts=1.0))
        self.assertGreater(lifetime_risk(0.1, prompts=20.0), 0.8)

    def test_slow_moment_is_one_that_pauses_streams_too_long(self):
        def is_slow(slowdown: float, *, age: float = 0.0) -> bool:
            return is_slow_moment(slowdown, age=age, gap=0.03, gap_target=0.18)

        self.assertEqual([False, False, True], [is_slow(s) for s in (1.0, 2.5, 4.0)])
        self.assertFalse(is_slow(4.0, age=10 * FRESH_SECONDS))
        self.assertFalse(is_slow(4.0, age=-1.0))

    def test_resumed_run_is_paused_by_prompts_that_take_long(self):
        def hazard(reading: float) -> float:
            return resumption_hazard(reading=reading, gap_target=0.18)

        self.assertEqual([0.0, 1.0], [hazard(0.15), hazard(5.0)])
        self.assertGreater(hazard(0.65), hazard(0.4))

    def test_stream_that_ends_before_a_prompt_is_read_is_not_paused(self):
        self.assertFalse(can_be_paused(seconds=0.06, reading=0.4))
        self.assertTrue(can_be_paused(seconds=0.2, reading=0.4))

    def test_expected_loss_counts_the_run_and_each_stream_beside_it(self):
        loss = expected_loss(own=0.5, others=[0.1, 0.1], pause_cost=PAUSE_COST)
        self.assertAlmostEqual(0.7 * 1.8 / DELAY_VALUE, loss)
