"""Whether a response is complete that only the end of its connection ends."""

from bankrack.decisions.responseends import Answered
from bankrack.decisions.responseends import cut_evidence
from bankrack.decisions.responseends import doubt
from bankrack.decisions.responseends import HeldCopy
from bankrack.decisions.responseends import Instance
from bankrack.decisions.responseends import is_settled
from bankrack.decisions.responseends import LEAVING_SECONDS
from bankrack.decisions.responseends import NoRecourse
from bankrack.decisions.responseends import OtherUpstream
from bankrack.decisions.responseends import patience
from bankrack.decisions.responseends import pause_before_question
from bankrack.decisions.responseends import recourse_of
from bankrack.decisions.responseends import Refused
from bankrack.decisions.responseends import time_alone
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


class Settling(TestCase):
    def test_only_a_proof_or_an_end_of_the_instance_settles_a_doubt(self):
        upstream = Instance("e-1", born=1)
        for evidence in (
            Refused("refused"),
            Answered(Instance("e-2")),
            Answered(Instance("e-1", born=2)),
            Answered(upstream),
        ):
            self.assertTrue(is_settled(upstream, evidence, behind=0.0), evidence)
        for evidence in (
            Unanswered("no answer"),
            Answered(Instance(None)),
            Answered(Instance("e-1")),
        ):
            self.assertFalse(is_settled(upstream, evidence, behind=9.0), evidence)

    def test_instance_that_may_be_ending_proves_nothing_at_first(self):
        upstream, answer = Instance("e-1"), Answered(Instance("e-1"), healthy=False)
        self.assertFalse(is_settled(upstream, answer, behind=0.1))
        self.assertTrue(is_settled(upstream, answer, behind=LEAVING_SECONDS))

    def test_slow_question_that_may_prove_nothing_does_not_hold_up_the_next(self):
        self.assertEqual(LEAVING_SECONDS, time_alone(behind=0.0))
        self.assertIsNone(time_alone(behind=LEAVING_SECONDS))

    def test_node_that_ends_soon_neither_pauses_nor_waits_for_long(self):
        silence = Unanswered("reset")
        pauses = [
            pause_before_question(
                Instance("e-1"), silence, behind=5.0, now=5.0, hurried=hurried
            )
            for hurried in (False, True)
        ]
        self.assertEqual([1.0, 0.2], pauses)
        self.assertEqual(0.4, patience(OtherUpstream(), time_left=9.0, hurried=True))
        self.assertEqual(8.95, patience(NoRecourse(), time_left=9.0, hurried=True))

    def test_silence_ends_no_response_that_nothing_else_can_serve(self):
        self.assertEqual(29.95, patience(NoRecourse(), time_left=30.0))
        self.assertEqual(0.0, patience(NoRecourse(), time_left=0.01))
        self.assertEqual(2.0, patience(OtherUpstream(), time_left=30.0))
        self.assertEqual(0.6, patience(HeldCopy(), time_left=30.0))
        self.assertEqual(HeldCopy(), recourse_of(has_copy=True, may_repeat=True))
        self.assertEqual(OtherUpstream(), recourse_of(has_copy=False, may_repeat=True))
        self.assertEqual(NoRecourse(), recourse_of(has_copy=False, may_repeat=False))
