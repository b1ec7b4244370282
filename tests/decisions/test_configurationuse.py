"""Tests of the right by which a node serves with the configuration that it has."""

import dataclasses

from bankrack.decisions.configurationuse import Confirm
from bankrack.decisions.configurationuse import Evidence
from bankrack.decisions.configurationuse import judge
from bankrack.decisions.configurationuse import MAX_AGE_SECONDS
from bankrack.decisions.configurationuse import MAX_CONTACT_AGE_SECONDS
from bankrack.decisions.configurationuse import Refuse
from bankrack.decisions.configurationuse import Serve
from tests.base import TestCase

OLD = Evidence(
    age=MAX_AGE_SECONDS + 1.0,
    newer_known=False,
    contact_age=0.1,
    goes_by_outage=False,
    own_reads_fail=False,
)


class ConfigurationUseTest(TestCase):
    def test_request_is_served_while_the_configuration_is_young(self):
        young = dataclasses.replace(OLD, age=MAX_AGE_SECONDS, newer_known=True)
        self.assertEqual(Serve(), judge(young, confirmation_failed=False))

    def test_request_asks_before_a_change_must_be_in_force(self):
        """Guards against routes that are still served 2 s after they were dropped."""
        at_the_bound = dataclasses.replace(OLD, age=2.0)
        self.assertEqual(Confirm(), judge(at_the_bound, confirmation_failed=False))

    def test_node_in_touch_does_not_serve_by_a_version_that_it_knows_to_be_old(self):
        known = dataclasses.replace(OLD, newer_known=True, goes_by_outage=True)
        self.assertEqual(Confirm(), judge(known, confirmation_failed=False))
        self.assertEqual(Refuse(), judge(known, confirmation_failed=True))

    def test_node_that_was_cut_off_after_it_learned_of_a_version_serves_on(self):
        cut_off = dataclasses.replace(
            OLD, newer_known=True, contact_age=MAX_CONTACT_AGE_SECONDS + 1.0
        )
        self.assertIsInstance(judge(cut_off, confirmation_failed=False), Serve)

    def test_requests_do_not_wait_in_an_outage_of_which_other_nodes_know(self):
        told = dataclasses.replace(OLD, goes_by_outage=True)
        self.assertIsInstance(judge(told, confirmation_failed=False), Serve)

    def test_failed_read_of_a_follower_does_not_end_confirmations(self):
        """Guards against an old view that is never confirmed again, as the node's own
        last read had failed."""
        self.assertEqual(Confirm(), judge(OLD, confirmation_failed=False))
        self.assertIsInstance(judge(OLD, confirmation_failed=True), Serve)
