"""Tests of when a run is moved off an engine that sends no events."""

from bankrack.decisions.silentengines import ASK_INTERVAL_SECONDS
from bankrack.decisions.silentengines import EngineAnswer
from bankrack.decisions.silentengines import Move
from bankrack.decisions.silentengines import next_step
from bankrack.decisions.silentengines import NotAsked
from bankrack.decisions.silentengines import RESUME_SECONDS
from bankrack.decisions.silentengines import RunListed
from bankrack.decisions.silentengines import RunNotListed
from bankrack.decisions.silentengines import RunsNotStated
from bankrack.decisions.silentengines import TimeLeft
from bankrack.decisions.silentengines import Unanswered
from bankrack.decisions.silentengines import Wait
from tests.base import TestCase

MAX_SILENCE = 2.0
AMPLE = TimeLeft(20.0, begin=2.0, rest=10.0)
LIVING = (NotAsked(), RunListed(9), RunsNotStated())


def step(
    silence: float,
    engine: EngineAnswer,
    before: EngineAnswer | None = None,
    *,
    time_left: TimeLeft = AMPLE,
    holder_answered: bool = True,
) -> Wait | Move:
    return next_step(
        silence,
        engine,
        before,
        max_silence=MAX_SILENCE,
        time_left=time_left,
        holder_answered=holder_answered,
        ask_seconds=0.25,
    )


class NextStep(TestCase):
    def test_engine_that_does_not_answer_or_has_no_such_run_is_not_waited_for(self):
        self.assertEqual(Move(), step(0.6, Unanswered()))
        self.assertEqual(Move(), step(0.6, RunNotListed()))

    def test_run_is_not_moved_to_an_engine_that_does_not_answer(self):
        for silence in (0.6, 10.0):
            for engine in (RunNotListed(), RunListed(9), RunsNotStated()):
                waits = step(silence, engine, holder_answered=False)
                self.assertEqual(Wait(ASK_INTERVAL_SECONDS), waits)
        waits = step(0.6, Unanswered(), holder_answered=False)
        self.assertEqual(Wait(ASK_INTERVAL_SECONDS), waits)

    def test_run_is_not_lost_with_a_dead_engine_as_nobody_answers(self):
        due = MAX_SILENCE - RESUME_SECONDS
        self.assertEqual(Move(), step(due, Unanswered(), holder_answered=False))

    def test_run_is_not_moved_off_an_engine_that_answers_too_early(self):
        for engine in (RunListed(9), NotAsked()):
            for silence in (0.6, MAX_SILENCE - RESUME_SECONDS - 0.01):
                self.assertIsInstance(step(silence, engine), Wait)

    def test_run_that_stands_still_is_moved_before_its_caller_gives_up(self):
        for before in (None, RunListed(9), RunsNotStated()):
            due = MAX_SILENCE - RESUME_SECONDS
            self.assertEqual(Move(), step(due, RunListed(9), before))

    def test_run_that_grows_is_not_moved_while_its_caller_waits(self):
        self.assertIsInstance(step(MAX_SILENCE, RunListed(10), RunListed(9)), Wait)

    def test_engine_that_states_no_runs_is_not_left_while_its_caller_waits(self):
        self.assertIsInstance(step(MAX_SILENCE, RunsNotStated()), Wait)

    def test_run_is_not_moved_later_than_it_is_due(self):
        wait = step(1.1, RunListed(9))
        assert isinstance(wait, Wait)
        self.assertAlmostEqual(0.05, wait.seconds)
        self.assertEqual(Wait(0.0), step(1.3, RunListed(9)))

    def test_copy_is_left_the_time_to_finish_the_run(self):
        for engine in LIVING:
            spare = step(0.6, engine, time_left=TimeLeft(4.4, begin=2.0, rest=2.0))
            assert isinstance(spare, Wait)
            self.assertAlmostEqual(0.15, spare.seconds)
            due = step(0.6, engine, time_left=TimeLeft(4.0, begin=2.0, rest=2.0))
            self.assertEqual(Move(), due)

    def test_run_that_ends_in_time_nowhere_is_not_staked_on_a_copy(self):
        for engine in LIVING:
            never = TimeLeft(2.0, begin=2.0, rest=2.0)
            self.assertIsInstance(step(0.6, engine, time_left=never), Wait)

    def test_run_with_little_time_is_not_moved_to_an_engine_that_does_not_answer(self):
        over = TimeLeft(1.0, begin=2.0, rest=0.0)
        waits = step(0.6, RunListed(9), time_left=over, holder_answered=False)
        self.assertEqual(Wait(ASK_INTERVAL_SECONDS), waits)
