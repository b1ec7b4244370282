"""Tests of the order of the admission queue."""

from bankrack.decisions.admissionqueue import AdmissionQueue
from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.admissionqueue import MAX_PASSES
from bankrack.decisions.fairshares import FairShares
from tests.base import TestCase


def candidate(
    run: str, *, rank: int = 1, due: float = 10.0, workspace: str = "", **options: bool
) -> Candidate:
    return Candidate(
        run,
        (0, rank),
        need=1000.0,
        due=due,
        start_deadline=due + 10.0,
        workspace=workspace,
        **options,
    )


class QueueOrderTest(TestCase):
    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue()

    def ahead(self, run: Candidate, *, now: float = 0.0) -> list[str]:
        return [other.run for other in self.queue.ahead(run, now)]

    def enqueue(self, *runs: Candidate) -> None:
        for run in runs:
            self.queue.enqueue(run, until=100.0)

    def test_run_with_lower_rank_goes_first(self):
        self.enqueue(candidate("summary", rank=3), candidate("caption", rank=0))
        self.assertEqual(["caption"], self.ahead(candidate("new", rank=2)))

    def test_earliest_due_run_of_equal_rank_goes_first(self):
        self.enqueue(candidate("late-comer", due=12.0), candidate("old", due=8.0))
        self.assertEqual(["old"], self.ahead(candidate("new", due=10.0)))

    def test_run_still_on_time_goes_before_late_run(self):
        self.enqueue(candidate("late", rank=0, due=1.0))
        self.assertEqual([], self.ahead(candidate("new", due=10.0), now=2.0))

    def test_run_is_not_ahead_of_itself(self):
        self.enqueue(candidate("new"))
        self.assertEqual([], self.ahead(candidate("new")))

    def test_entry_expires_unless_renewed(self):
        self.queue.enqueue(candidate("gone", rank=0), until=1.0)
        self.assertEqual([], self.ahead(candidate("new"), now=1.5))
        self.assertEqual(0, len(self.queue))

    def test_removed_run_is_not_ahead(self):
        self.enqueue(candidate("caption", rank=0))
        self.queue.remove("caption")
        self.queue.remove("caption")
        self.assertEqual([], self.ahead(candidate("new")))

    def test_urgent_run_with_time_lets_a_pressed_one_pass(self):
        self.enqueue(candidate("plan", rank=0, due=4.0))
        self.assertEqual([], self.ahead(candidate("check", due=1.5)))
        self.assertEqual(["plan"], self.ahead(candidate("check", due=3.5), now=2.5))

    def test_first_attempt_goes_before_returns_of_its_rank(self):
        self.enqueue(candidate("back", due=9.0, returning=True), candidate("old"))
        self.enqueue(candidate("urgent", rank=0, returning=True))
        self.assertEqual(["urgent"], self.ahead(candidate("new", due=9.9), now=8.5))
        ahead = self.ahead(candidate("again", due=9.5, returning=True), now=8.5)
        self.assertEqual(["urgent", "old", "back"], ahead)

    def test_workspace_that_used_more_goes_behind_within_its_rank(self):
        shares = FairShares()
        shares.charge((0, 1), "large", 5000.0, waiting=["small"])
        self.enqueue(candidate("a", due=8.0, workspace="large"))
        self.enqueue(candidate("b", rank=2, due=8.0, workspace="small"))
        new = candidate("new", due=9.0, workspace="small")
        self.assertEqual([], self.queue.ahead(new, 7.5, shares=shares, quantum=2000.0))
        self.assertEqual(["a"], [c.run for c in self.queue.ahead(new, 7.5)])

    def test_oldest_late_run_is_passed_by_a_bounded_number(self):
        self.enqueue(candidate("late", due=1.0), candidate("later", due=2.0))
        for number in range(MAX_PASSES):
            new = candidate(f"new-{number}")
            self.assertEqual([], self.ahead(new, now=9.0))
            self.queue.note_admitted(new, 9.0)
        self.assertEqual(["late"], self.ahead(candidate("last"), now=9.0))
        self.queue.note_admitted(candidate("late", due=1.0), 9.0)
        self.assertEqual([], self.ahead(candidate("last"), now=9.0))
