"""Whether a response is complete that only the end of its connection ends."""

from bankrack.decisions.responseends import Answered
from bankrack.decisions.responseends import cut_evidence
from bankrack.decisions.responseends import doubt
from bankrack.decisions.responseends import Instance
from bankrack.decisions.responseends import Unanswered
from tests.base import TestCase


class Doubt(TestCase):
    def test_only_the_instance_itself_completes_its_response(self):
        upstream = Instance("e-1")
        self.assertIsNone(doubt(upstream, Answered(Instance("e-1"))))
        for other in (Instance("e-2"), Instance(None)):
            self.assertIsNotNone(doubt(upstream, Answered(other)))
        self.assertEqual("refused", doubt(upstream, Unanswered("refused")))

    def test_next_life_under_the_same_name_does_not_complete_a_response(self):
        upstream = Instance("e-1", born=1)
        self.assertIsNone(doubt(upstream, Answered(Instance("e-1", born=1))))
        for born in (2, None):
            self.assertIsNotNone(doubt(upstream, Answered(Instance("e-1", born))))

    def test_response_that_was_left_unread_may_have_been_cut_off(self):
        evidence = cut_evidence(unread=2.0, time_left=5.0)
        self.assertIsNotNone(evidence and doubt(Instance("e-1"), evidence))

    def test_response_that_ends_as_its_time_is_over_may_have_been_cut_off(self):
        evidence = cut_evidence(unread=0.0, time_left=0.01)
        self.assertIsNotNone(evidence and doubt(Instance("e-1"), evidence))
        self.assertIsNone(cut_evidence(unread=0.1, time_left=0.5))
