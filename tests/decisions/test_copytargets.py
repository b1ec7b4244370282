"""Tests of which engines may get a copy."""

from bankrack.decisions.copytargets import avoided_by_round
from tests.base import TestCase


class CopyTargetsTest(TestCase):
    def test_engines_of_the_same_hall_come_first(self):
        hall_by_engine = {"e-1": "a", "e-2": "b", "e-3": "b"}
        found = avoided_by_round(hall_by_engine, hall="a")
        self.assertEqual([{"e-2", "e-3"}, set()], found)

    def test_single_hall_has_one_round(self):
        self.assertEqual([set()], avoided_by_round({"e-1": "a"}, hall="a"))
