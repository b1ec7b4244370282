"""Tests of how far a node goes by an outage of which others told it."""

import random

from bankrack.decisions.storeoutage import leaves_reads_to_others
from bankrack.decisions.storeoutage import MAX_TOLD_SECONDS
from bankrack.decisions.storeoutage import may_have_lapsed
from bankrack.decisions.storeoutage import Outage
from bankrack.decisions.storeoutage import SEEN_OUTAGE_SECONDS
from bankrack.decisions.storeoutage import TOLD_OUTAGE_SECONDS
from bankrack.decisions.storeoutage import turn_seconds
from tests.base import TestCase

NONE = Outage(seen=False, told=False)
TOLD = Outage(seen=False, told=True)
SEEN = Outage(seen=True, told=True)
STORE_READS_PER_SECOND = 2000
PAGES = 13
"""Calls of one read at 6,100 servers."""


class TurnTest(TestCase):
    def test_followed_node_waits_for_another_one_s_word(self):
        self.assertEqual(0.0, turn_seconds(followed=True, members=390, draw=0.9))

    def test_small_fleet_waits_longer_than_a_change_may_take(self):
        self.assertLess(turn_seconds(followed=False, members=8, draw=1.0), 0.3)

    def test_all_nodes_of_a_large_fleet_read_at_once(self):
        """Guards against reads beyond the store's rate as it returns."""
        rng = random.Random(1)
        turns = sorted(
            turn_seconds(followed=False, members=390, draw=rng.random())
            for _ in range(390)
        )
        most = max(sum(at <= turn < at + 1.0 for turn in turns) for at in turns)
        self.assertLess(most * PAGES, STORE_READS_PER_SECOND / 2)


class WordTest(TestCase):
    def test_node_goes_by_an_outage_until_its_turn(self):
        for outage in TOLD, SEEN:
            waits = leaves_reads_to_others(outage, has_turn=False, contact_age=0.1)
            reads = leaves_reads_to_others(outage, has_turn=True, contact_age=0.1)
            self.assertEqual((True, False), (waits, reads))

    def test_word_of_a_node_that_fell_silent_counts(self):
        silent = MAX_TOLD_SECONDS + 0.1
        self.assertFalse(
            leaves_reads_to_others(TOLD, has_turn=False, contact_age=silent)
        )

    def test_node_without_an_outage_waits(self):
        self.assertFalse(leaves_reads_to_others(NONE, has_turn=False, contact_age=0.1))


class LapseTest(TestCase):
    def test_entry_that_left_is_kept(self):
        """Guards against a grace period that no outage of the store is due to."""
        self.assertFalse(may_have_lapsed(NONE, view_age=9.0))
        self.assertFalse(may_have_lapsed(TOLD, view_age=TOLD_OUTAGE_SECONDS))
        self.assertFalse(may_have_lapsed(SEEN, view_age=SEEN_OUTAGE_SECONDS))

    def test_entry_that_expired_in_an_outage_is_dropped(self):
        self.assertTrue(may_have_lapsed(TOLD, view_age=TOLD_OUTAGE_SECONDS + 0.1))
        self.assertTrue(may_have_lapsed(SEEN, view_age=SEEN_OUTAGE_SECONDS + 0.1))
