"""Tests of the decision which requests a stopping node still serves."""

from bankrack.decisions.stopping import judge
from bankrack.decisions.stopping import RequestState
from bankrack.decisions.stopping import Verdict
from tests.base import TestCase


class Judge(TestCase):
    def test_request_that_an_upstream_has_is_served_until_the_node_ends(self):
        state = RequestState(may_have_run=True, seconds=60.0)
        self.assertIs(Verdict.SERVE, judge(state, left=0.1))
        self.assertIs(Verdict.END, judge(state, left=0.0))

    def test_request_that_no_upstream_has_is_refused_once_it_would_outlast_the_node(
        self,
    ):
        state = RequestState(may_have_run=False, seconds=2.0)
        self.assertIs(Verdict.SERVE, judge(state, left=2.1))
        self.assertIs(Verdict.REFUSE, judge(state, left=2.0))

    def test_request_that_was_not_admitted_is_refused_as_the_node_ends(self):
        state = RequestState(may_have_run=False, seconds=None)
        self.assertIs(Verdict.SERVE, judge(state, left=0.1))
        self.assertIs(Verdict.REFUSE, judge(state, left=0.0))
