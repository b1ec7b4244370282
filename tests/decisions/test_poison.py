"""Tests of blaming a request for crashes of upstreams."""

import itertools

from bankrack.decisions.poison import companions
from bankrack.decisions.poison import Crash
from bankrack.decisions.poison import evidence
from bankrack.decisions.poison import is_blamed
from bankrack.decisions.poison import is_early
from bankrack.decisions.poison import is_poison
from bankrack.decisions.poison import may_run_on
from bankrack.decisions.poison import merge
from tests.base import TestCase


def early(upstream: str, software: str = "1", *, cleared: bool = False) -> Crash:
    return Crash(upstream, software, early=True, cleared=cleared)


def late(upstream: str) -> Crash:
    return Crash(upstream, "1", early=False)


class BlameTest(TestCase):
    def test_crash_is_early_before_the_first_event(self):
        self.assertTrue(is_early(0))
        self.assertFalse(is_early(1))

    def test_one_crash_is_not_enough(self):
        self.assertFalse(is_poison([early("a")]))

    def test_two_early_crashes_are_enough(self):
        self.assertTrue(is_poison([early("a"), early("b")]))

    def test_three_late_crashes_are_not_enough(self):
        self.assertFalse(is_poison([late("a"), late("b"), late("c")]))

    def test_four_late_crashes_are_enough(self):
        self.assertTrue(is_poison([late("a"), late("b"), late("c"), late("d")]))

    def test_cleared_crash_does_not_count(self):
        self.assertFalse(is_poison([early("a", cleared=True), early("b")]))


def by(request: str, upstream: str, *, cleared: bool = False) -> Crash:
    """Return a crash before the first event of one request with a part."""
    return Crash(upstream, "1", early=True, cleared=cleared, request=request)


class IndependenceTest(TestCase):
    def test_crashes_of_one_request_are_one_piece_of_evidence(self):
        self.assertEqual(1.0, evidence([by("x", "a"), by("x", "b")]))

    def test_requests_aboard_one_crash_are_one_piece_of_evidence(self):
        self.assertEqual(1.0, evidence([by("x", "a"), by("y", "a")]))

    def test_crashes_linked_by_a_request_are_one_piece_in_any_order(self):
        linked = [by("x", "a"), by("y", "b"), by("x", "b")]
        for order in itertools.permutations(linked):
            self.assertEqual(1.0, evidence(order))

    def test_different_requests_at_different_crashes_add_up(self):
        self.assertEqual(2.0, evidence([by("x", "a"), by("y", "b")]))


class BlamedPartTest(TestCase):
    def test_crashes_that_a_part_explains_do_not_count_against_a_common_one(self):
        deadly = [by("x", "a"), by("y", "b")]
        common = [by("z", "other"), *deadly]
        histories = {"deadly": deadly, "common": common}
        self.assertTrue(is_blamed("deadly", histories))
        self.assertFalse(is_blamed("common", histories))

    def test_unexplained_crashes_still_count_against_a_common_part(self):
        deadly = [by("x", "a"), by("y", "b")]
        common = [by("v", "c"), by("w", "d"), *deadly]
        self.assertTrue(is_blamed("common", {"deadly": deadly, "common": common}))

    def test_part_of_innocent_requests_aboard_is_not_blamed(self):
        deadly = [by("x", "a"), by("y", "b"), by("z", "c")]
        aboard = [by("v", "a"), by("w", "b")]
        histories = {"deadly": deadly, "aboard": aboard}
        self.assertTrue(is_blamed("deadly", histories))
        self.assertFalse(is_blamed("aboard", histories))

    def test_parts_with_equal_crashes_are_blamed_together(self):
        crashes = [by("x", "a"), by("y", "b")]
        histories = {"one": crashes, "other": crashes}
        self.assertEqual({"other"}, companions("one", histories))
        self.assertTrue(is_blamed("one", histories))

    def test_success_with_one_of_two_parts_leaves_the_other(self):
        crashes = [by("x", "a"), by("y", "b")]
        cleared = [by("x", "a", cleared=True), by("y", "b", cleared=True)]
        histories = {"one": crashes, "other": cleared}
        self.assertEqual(set(), companions("one", histories))
        self.assertFalse(is_blamed("other", histories))

    def test_part_of_other_requests_at_the_same_crashes_is_no_companion(self):
        histories = {
            "deadly": [by("x", "a"), by("y", "b")],
            "aboard": [by("v", "a"), by("w", "b")],
        }
        self.assertEqual(set(), companions("deadly", histories))


class SoftwareVersionTest(TestCase):
    def test_request_is_tried_on_version_without_its_crashes(self):
        crashes = [early("a"), early("b")]
        self.assertFalse(may_run_on("1", crashes))
        self.assertTrue(may_run_on("2", crashes))

    def test_one_crash_of_new_version_is_enough(self):
        self.assertFalse(may_run_on("2", [early("a"), early("b"), early("c", "2")]))

    def test_unblamed_request_may_run_on_any_version(self):
        self.assertTrue(may_run_on("1", [early("a")]))


class MergeTest(TestCase):
    def test_cleared_flag_is_kept_by_merge_in_either_order(self):
        one, other = early("a", cleared=True), early("a")
        self.assertEqual(one, merge(one, other))
        self.assertEqual(one, merge(other, one))

    def test_merge_with_late_report_is_late(self):
        self.assertFalse(merge(early("a"), late("a")).early)
