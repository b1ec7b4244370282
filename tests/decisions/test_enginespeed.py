"""Tests of the estimate of an engine's speed."""

import math
import random

from bankrack.decisions.enginespeed import Kind
from bankrack.decisions.enginespeed import observe
from bankrack.decisions.enginespeed import UNKNOWN
from bankrack.decisions.enginespeed import usual
from tests.base import TestCase


class EngineSpeedTest(TestCase):
    def test_unknown_engine_has_the_usual_speed(self):
        self.assertEqual(1.0, UNKNOWN.factor)

    def test_one_observation_of_gaps_tells_a_slow_engine_from_a_usual_one(self):
        slow = observe(UNKNOWN, Kind.GAPS, 1 / 0.6)
        self.assertGreater(slow.factor, 1.5)
        self.assertLess(slow.sd, 0.2)

    def test_first_events_alone_tell_engines_apart_within_a_few_runs(self):
        rng = random.Random(4)
        for factor in (1 / 1.6, 1 / 0.6):
            speed = UNKNOWN
            for _ in range(8):
                noise = rng.gauss(0.0, Kind.FIRST_EVENT.value)
                speed = observe(speed, Kind.FIRST_EVENT, factor * math.exp(noise))
            self.assertEqual(factor > 1.0, speed.factor > 1.0)

    def test_precise_observations_outweigh_weak_ones(self):
        speed = observe(UNKNOWN, Kind.GAPS, 2.0)
        speed = observe(speed, Kind.GROWTH, 0.5)
        self.assertGreater(speed.factor, 1.5)

    def test_change_of_speed_is_noticed_after_many_observations(self):
        speed = UNKNOWN
        for _ in range(1000):
            speed = observe(speed, Kind.GAPS, 1.0)
        for _ in range(30):
            speed = observe(speed, Kind.GAPS, 2.0)
        self.assertGreater(speed.factor, 1.8)

    def test_absurd_observations_change_nothing_or_little(self):
        for ratio in (0.0, -1.0, math.inf, math.nan):
            self.assertIs(UNKNOWN, observe(UNKNOWN, Kind.GAPS, ratio))
        self.assertLess(observe(UNKNOWN, Kind.GAPS, 1e9).factor, 17.0)

    def test_usual_value_is_the_median_by_engine(self):
        self.assertIsNone(usual([]))
        self.assertEqual(0.03, usual([0.03]))
        self.assertEqual(0.03, usual([0.05, 0.018, 0.03]))
        self.assertAlmostEqual(0.02, usual([0.01, 0.04, 0.01, 0.04]) or 0.0)
