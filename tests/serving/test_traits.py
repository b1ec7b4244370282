"""Tests of the traits by which requests are held to account for crashes."""

from bankrack.serving.job import Demand
from bankrack.serving.job import PromptPart
from bankrack.serving.traits import is_part
from bankrack.serving.traits import MAX_PARTS
from bankrack.serving.traits import part_traits
from tests.base import TestCase


def demand(*ids: str) -> Demand:
    return Demand(parts=tuple(PromptPart(part_id, 10) for part_id in ids))


class PartTraitsTest(TestCase):
    def test_last_part_is_no_trait(self):
        self.assertEqual(("part-a", "part-b"), part_traits(demand("a", "b", "own")))
        self.assertEqual((), part_traits(demand("own")))

    def test_repeated_part_is_one_trait(self):
        self.assertEqual(("part-a",), part_traits(demand("a", "a", "own")))

    def test_odd_ids_are_named_by_a_short_digest(self):
        one, other = part_traits(demand("x/" * 500, "/" * 1000, "own"))
        self.assertNotEqual(one, other)
        self.assertTrue(is_part(one))
        self.assertRegex(one, "^part--[0-9a-f]{24}$")

    def test_parts_are_bounded(self):
        ids = [f"p{number}" for number in range(1000)]
        self.assertEqual(MAX_PARTS, len(part_traits(demand(*ids))))
