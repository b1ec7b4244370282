"""Tests of the speeds of a service's engines."""

from bankrack.decisions.pauses import PauseCost
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.enginespeeds import MAX_ENGINES
from tests.base import TestCase

PAUSE_COST = PauseCost(gap_target=0.18, seconds=1.8)


class EngineSpeedsTest(TestCase):
    def test_number_of_engines_is_bounded(self):
        speeds = EngineSpeeds()
        for number in range(MAX_ENGINES + 50):
            speeds.observe_gaps(f"e-{number}", 0.03, PAUSE_COST)
        self.assertEqual(MAX_ENGINES, len(speeds.describe()))

    def test_absurd_gaps_are_ignored(self):
        speeds = EngineSpeeds()
        for gap in (0.0, -1.0, float("inf"), float("nan")):
            speeds.observe_gaps("e", gap, PAUSE_COST)
        self.assertFalse(speeds.active)
        self.assertEqual(0.0, speeds.hazard("e"))

    def test_stated_figures_are_known_from_the_first_run_on(self):
        speeds = EngineSpeeds()
        for name, stated in (("slow", 1.6), ("usual", 1.0), ("fast", 0.6)):
            speeds.observe_stated(name, stated)
        self.assertGreater(speeds.factor("slow"), 1.4)
        self.assertLess(speeds.factor("fast"), 0.7)
        for _ in range(3):
            speeds.observe_stated("usual", 1.0)
            speeds.observe_stated("usual", 2.5)
        self.assertAlmostEqual(1.0, speeds.factor("usual"), delta=0.1)

    def test_gap_while_work_takes_as_usual_is_known_from_any_engine(self):
        speeds = EngineSpeeds()
        self.assertIsNone(speeds.unit_gap)
        speeds.observe_gaps("fast", 0.018, PAUSE_COST)
        self.assertIsNone(speeds.unit_gap)
        speeds.observe_stated("fast", 0.6)
        self.assertAlmostEqual(0.03, speeds.unit_gap or 0.0)

    def test_absurd_stated_figures_are_ignored(self):
        speeds = EngineSpeeds()
        for stated in (0.0, -1.0, float("inf"), float("nan")):
            speeds.observe_stated("e", stated)
        self.assertFalse(speeds.active)

    def test_pauses_that_fast_engines_have_too_do_not_count_against_a_slow_one(self):
        speeds = EngineSpeeds()
        for name, gap in (("slow", 0.051), ("usual", 0.03), ("fast", 0.019)):
            speeds.observe_gaps(name, gap, PAUSE_COST)
        for _ in range(20):
            # Preempted streams stand still for a second on any engine.
            speeds.observe_stream(gap=0.03, longest_pause=1.0, events=90, prompts=8)
        self.assertEqual(0.0, speeds.hazard("slow"))
