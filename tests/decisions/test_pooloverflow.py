"""Tests of the choice between two pools."""

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Wait
from bankrack.decisions.pooloverflow import AskSecond
from bankrack.decisions.pooloverflow import FULL_SECONDS
from bankrack.decisions.pooloverflow import FullPool
from bankrack.decisions.pooloverflow import next_question
from bankrack.decisions.pooloverflow import Outcome
from bankrack.decisions.pooloverflow import settle
from bankrack.decisions.pooloverflow import Size
from tests.base import TestCase

HERE = Admit(("one",))
LONG = Wait(0.3, 4, 3.0)
SHORT = Wait(0.05, 1, 0.01)
NO = Refuse(9, 5.0)


class PoolOverflowTest(TestCase):
    def ask(self, first, *, second_at=0.0, waited=False, tokens=1000, rank=(0, 1)):
        size, second = (
            Size(tokens, rank),
            FullPool(Size(1000, (0, 1)), 3.0, second_at),
        )
        return next_question(first, size=size, second=second, waited=waited, now=100.0)

    def test_second_pool_is_asked_only_if_first_cannot_take_run_now(self):
        self.assertIsNone(self.ask(HERE))
        self.assertIsNone(self.ask(SHORT))
        for verdict in (LONG, Wait(0.1, 2, None), Admit(()), None):
            self.assertEqual(AskSecond(queue=False), self.ask(verdict))
        self.assertEqual(AskSecond(queue=False), self.ask(SHORT, waited=True))

    def test_full_second_pool_is_asked_again_only_for_refused_run(self):
        self.assertIsNone(self.ask(LONG, second_at=99.9))
        self.assertEqual(AskSecond(queue=True), self.ask(NO, second_at=99.9))
        self.assertIsNotNone(self.ask(LONG, second_at=99.9, tokens=500))
        self.assertIsNotNone(self.ask(LONG, second_at=99.9, rank=(0, 0)))
        self.assertIsNotNone(self.ask(LONG, second_at=100.0 - FULL_SECONDS))

    def test_refused_run_that_waited_is_not_queued_anew(self):
        """A second queue would count its start deadline from then on."""
        question = self.ask(NO, waited=True)
        self.assertEqual(AskSecond(queue=False), question)
        found = settle(NO, LONG, may_move=False, may_queue=question.queue)
        self.assertEqual(Outcome(NO, second=False), found)

    def test_verdict_that_holds(self):
        less = Wait(0.3, 1, 2.5)
        for first, second, expected in (
            (LONG, HERE, Outcome(HERE, second=True)),
            (None, HERE, Outcome(HERE, second=True)),
            (NO, LONG, Outcome(LONG, second=True)),
            (NO, Refuse(3, 2.0), Outcome(Refuse(9, 2.0), second=False)),
            (NO, None, Outcome(NO, second=False)),
            (None, LONG, Outcome(None, second=False)),
            (LONG, Admit(()), Outcome(LONG, second=False)),
            (LONG, less, Outcome(LONG, second=False)),
            (LONG, SHORT, Outcome(SHORT, second=True)),
            (Wait(0.1, 1, 1.0), Wait(0.1, 1, 0.3), Outcome(Wait(0.1, 1, 1.0), False)),
            (Wait(0.3, 9, 10.0), Wait(0.3, 7, 8.0), Outcome(Wait(0.3, 9, 10.0), False)),
        ):
            self.assertEqual(expected, settle(first, second, may_move=True))
        self.assertEqual(LONG, settle(LONG, SHORT, may_move=False).verdict)
