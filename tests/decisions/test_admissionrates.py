"""Tests of the rate at which a crowded pool admits runs."""

import collections
import math

from bankrack.decisions.admissionqueue import AdmissionQueue
from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.admissionrates import AdmissionRates
from bankrack.decisions.admissionrates import MIN_SLOTS
from bankrack.decisions.admissionrates import SLOT_SECONDS
from bankrack.decisions.admissionrates import WINDOW_SECONDS
from tests.base import TestCase


def short(run: str, now: float, **options: bool) -> Candidate:
    return Candidate(run, (1, 1), 2500.0, now + 1.1, now + 2.6, **options)


class CrowdedPoolTest(TestCase):
    """Short runs come at 16/s beside two long ones; room is for ten runs a second.

    Who is refused comes back once, 1.6 s later.
    """

    def setUp(self):
        super().setUp()
        self.queue = AdmissionQueue()
        self.rates = AdmissionRates()
        self.count: collections.Counter[str] = collections.Counter()

    def ask_first(self, candidate: Candidate, now: float) -> bool:
        """Whether a run waits, as it can begin on time."""
        ahead = self.queue.ahead(candidate, now)
        seconds = self.rates.seconds_until_first(candidate, ahead, now)
        if now + seconds > candidate.due:
            return False
        self.queue.enqueue(candidate, until=1e9)
        return True

    def admit(self, candidate: Candidate, now: float) -> None:
        self.queue.remove(candidate.run)
        self.rates.note_admitted(candidate, now)
        kind = "late" if now > candidate.due else "on time"
        again = " again" if candidate.returning else ""
        self.count[f"rank {candidate.rank[0]} {kind}{again}"] += 1

    def replay(self) -> None:
        waiting: dict[str, Candidate] = {}
        returns: dict[int, list[str]] = collections.defaultdict(list)
        room = 0.0
        for step in range(300):
            now = step * SLOT_SECONDS
            coming = [short(f"{step}-{n}", now) for n in range(2)]
            coming += [short(run, now, returning=True) for run in returns.pop(step, [])]
            if step % 4 == 0:
                coming.append(
                    Candidate(f"long-{step}", (0, 0), 3400.0, now + 1, now + 9)
                )
            for one in coming:
                if self.ask_first(one, now):
                    waiting[one.run] = one
                elif one.returning:
                    self.count["refused again"] += 1
                else:
                    returns[step + 13].append(f"{one.run}-again")
            room = min(room, 1.0) + 1.2
            for one in list(waiting.values()):
                if now > one.start_deadline:
                    self.queue.remove(one.run)
                    self.count["refused after waiting"] += 1
                    del waiting[one.run]
                elif room >= 1.0 and not self.queue.ahead(one, now):
                    self.admit(waiting.pop(one.run), now)
                    room -= 1.0
                else:
                    self.rates.note_wait(now)

    def test_room_goes_to_first_attempts_that_begin_on_time(self):
        self.replay()
        count = self.count
        self.assertEqual(75, count["rank 0 on time"])
        self.assertGreaterEqual(count["rank 1 on time"], 270)
        self.assertEqual(0, count["rank 1 late"])

    def test_most_others_are_refused_at_their_first_question(self):
        self.replay()
        told = self.count["refused again"]
        self.assertGreater(told, 5 * self.count["refused after waiting"])


class RateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.rates = AdmissionRates()

    def seconds(self, now: float, *, rank: int = 1) -> float:
        """Seconds behind four runs of equal size."""
        own = Candidate("new", (rank, 0), 1000.0, now, now)
        return self.rates.seconds_until_first(own, [own] * 4, now)

    def crowd(self, slots: int) -> float:
        """A run of rank 1 is admitted each second while another one waits."""
        for number in range(slots):
            self.rates.note_wait(number * SLOT_SECONDS)
            if number % 8 == 4:
                admitted = Candidate(f"r-{number}", (1, 0), 1000.0, 0.0, 0.0)
                self.rates.note_admitted(admitted, number * SLOT_SECONDS)
        return slots * SLOT_SECONDS

    def test_queue_moves_at_the_rate_of_equal_and_worse_ranks(self):
        now = self.crowd(24)
        self.assertAlmostEqual(3.0, self.seconds(now))
        self.assertAlmostEqual(3.0, self.seconds(now, rank=0))
        self.assertAlmostEqual(12.0, self.seconds(now, rank=2))

    def test_queue_that_all_arrivals_pass_moves_if_more_is_admitted(self):
        now = self.crowd(24)
        own = Candidate("late", (1, 0), 1000.0, now, now)
        for arriving, seconds in ((0.0, 3.0), (4000 / 3 - 500.0, 8.0)):
            found = self.rates.seconds_until_first(
                own, [own] * 4, now, arriving=arriving
            )
            self.assertAlmostEqual(seconds, found)
        found = self.rates.seconds_until_first(own, [own], now, arriving=2000.0)
        self.assertEqual(math.inf, found)

    def test_pool_that_is_not_crowded_for_long_has_no_rate(self):
        self.assertEqual(0.0, self.seconds(self.crowd(MIN_SLOTS - 1)))
        self.assertEqual(0.0, self.seconds(self.crowd(24) + WINDOW_SECONDS + 0.1))

    def test_admissions_while_nobody_waits_show_no_rate(self):
        for number in range(24):
            admitted = Candidate(f"r-{number}", (1, 0), 1000.0, 0.0, 0.0)
            self.rates.note_admitted(admitted, number * SLOT_SECONDS)
        self.assertEqual(0.0, self.seconds(3.0))
