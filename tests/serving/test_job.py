"""Tests of jobs and of what a generation demands."""

from bankrack.serving.job import Demand
from bankrack.serving.job import MAX_LOGGED_ID_LENGTH
from bankrack.serving.job import MAX_LOGGED_PARTS
from bankrack.serving.job import PromptPart
from bankrack.serving.job import shared_part_names
from tests.base import TestCase


class SharedPartsTest(TestCase):
    def test_last_part_is_not_shared(self):
        parts = (PromptPart("a", 1), PromptPart("b", 2), PromptPart("own", 3))
        self.assertEqual("a,b", shared_part_names(Demand(parts=parts)))
        self.assertEqual("", shared_part_names(Demand(parts=parts[-1:])))
        self.assertEqual("", shared_part_names(Demand()))

    def test_logged_names_are_bounded(self):
        parts = tuple(PromptPart("x" * 1000, 1) for _ in range(1000))
        longest = MAX_LOGGED_PARTS * (MAX_LOGGED_ID_LENGTH + 1)
        self.assertLess(len(shared_part_names(Demand(parts=parts))), longest)
