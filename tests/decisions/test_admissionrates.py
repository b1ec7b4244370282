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


class CrowdedPoolTest(TestCase):
    """Short runs come at 16/s beside two long ones; room is for ten runs a second.

    Who is refused comes back once, 1.6 s later.
    """

    def replay(self) -> collections.Counter[str]:
        queue, rates = AdmissionQueue(), AdmissionRates()
        count: collections.Counter[str] = collections.Counter()
        returns: dict[int, list[str]] = collections.defaultdict(list)
        waiting: dict[str, Candidate] = {}
        room = 0.0
        for step in range(300):
            now = step * SLOT_SECONDS
            ids = [(f"{step}-{n}", False) for n in range(2)]
            ids += [(run, True) for run in returns.pop(step, [])]
            coming = [
                Candidate(run, (1, 1), 2500.0, now + 1.1, now + 2.6, returning=back)
                for run, back in ids
            ]
            if step % 4 == 0:
                long = Candidate(f"long-{step}", (0, 0), 3400.0, now + 1, now + 9)
                coming.append(long)
            for one in coming:
                ahead = queue.ahead(one, now)
                if now + rates.seconds_until_first(one, ahead, now) <= one.due:
                    queue.enqueue(one, until=1e9)
                    waiting[one.run] = one
                elif one.returning:
                    count["refused again"] += 1
                else:
                    returns[step + 13].append(f"{one.run}-again")
            room = min(room, 1.0) + 1.2
            for one in list(waiting.values()):
                if now > one.start_deadline:
                    queue.remove(one.run)
                    del waiting[one.run]
                    count["refused after waiting"] += 1
                elif room >= 1.0 and not queue.ahead(one, now):
                    queue.remove(one.run)
                    del waiting[one.run]
                    rates.note_admitted(one, now)
                    room -= 1.0
                    kind = "late" if now > one.due else "on time"
                    count[f"rank {one.rank[0]} {kind}{' again' * one.returning}"] += 1
                else:
                    rates.note_wait(now)
        return count

    def test_room_goes_to_first_attempts_and_most_others_are_told_at_once(self):
        count = self.replay()
        self.assertEqual(75, count["rank 0 on time"])
        self.assertGreaterEqual(count["rank 1 on time"], 270)
        self.assertEqual(0, count["rank 1 late"])
        self.assertGreater(count["refused again"], 5 * count["refused after waiting"])


class RateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.rates = AdmissionRates()

    def seconds(self, now: float, rank: int = 1, **options: float) -> float:
        """Seconds behind four runs of equal size."""
        own = Candidate("new", (rank, 0), 1000.0, now, now)
        return self.rates.seconds_until_first(own, [own] * 4, now, **options)

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
        found = [self.seconds(now, rank) for rank in range(3)]
        self.assertEqual([3.0, 3.0, 12.0], found)

    def test_queue_that_all_arrivals_pass_moves_if_more_is_admitted(self):
        now = self.crowd(24)
        self.assertAlmostEqual(8.0, self.seconds(now, arriving=4000 / 3 - 500.0))
        self.assertEqual(math.inf, self.seconds(now, arriving=2000.0))

    def test_pool_that_is_not_crowded_for_long_has_no_rate(self):
        self.assertEqual(0.0, self.seconds(self.crowd(MIN_SLOTS - 1)))
        self.assertEqual(0.0, self.seconds(self.crowd(24) + WINDOW_SECONDS + 0.1))

    def test_admissions_while_nobody_waits_show_no_rate(self):
        for number in range(24):
            admitted = Candidate(f"r-{number}", (1, 0), 1000.0, 0.0, 0.0)
            self.rates.note_admitted(admitted, number * SLOT_SECONDS)
        self.assertEqual(0.0, self.seconds(3.0))
