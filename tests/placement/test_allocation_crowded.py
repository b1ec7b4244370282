"""Replays of load that asks for more than a pool holds."""

import collections
import heapq
import itertools
import math
import random
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.serving.job import Demand
from tests.placement.test_allocation import LONG
from tests.placement.test_allocation import MEMORY
from tests.placement.test_allocation import PoolTestCase

CHECK = Demand(prompt=2000, output_limit=16)


class CrowdedPoolTestCase(PoolTestCase):
    """Two engines whose four runs began, and identified queries."""

    def setUp(self):
        super().setUp()
        self.engines = [self.engine("one", slots=64), self.engine("two", slots=64)]
        self.running = collections.deque(self.fill())
        self.begin(list(self.running))

    def ask_as(
        self,
        caller: str,
        workspace: str = "w",
        demand: Demand = LONG,
        *,
        run: str = "",
        rank: int = 1,
        due: float = 2.0,
        left: float = 30.0,
        silence: float = 900.0,
    ) -> Verdict:
        return self.allocator.decide(
            self.engines,
            PlacementRequest(
                run or caller,
                demand,
                MEMORY,
                "a",
                (0, rank),
                due,
                left,
                silence,
                workspace=workspace,
                caller=caller,
            ),
        )

    def end_one(self) -> None:
        self.allocator.ledger.end(self.running.popleft())

    def replay(self, callers: t.Sequence[tuple[str, str]], places: int) -> list[str]:
        """Let callers ask in turn while single places are freed; who got them."""
        admitted: list[str] = []
        waiting = dict(callers)
        for _ in range(places):
            self.now += 0.06
            for caller, workspace in list(waiting.items()):
                self.ask_as(caller, workspace, left=900.0, due=900.0)
            self.end_one()
            for caller, workspace in list(waiting.items()):
                found = self.ask_as(caller, workspace, left=900.0, due=900.0)
                if isinstance(found, Admit):
                    admitted.append(workspace)
                    del waiting[caller]
                    self.running.append(caller)
                    self.begin([caller])
                    break
        return admitted


class SharesTest(CrowdedPoolTestCase):
    def test_workspace_that_repeats_takes_from_itself(self):
        """One workspace asks three times as often as each of the others, and first."""
        # Without shares the first by name would go first, as all are due together.
        callers = [(f"a-{number:02}", "a") for number in range(12)]
        for name in ("b", "c", "d"):
            callers += [(f"{name}-{number}", name) for number in range(4)]
        admitted = self.replay(callers, 12)
        self.assertLessEqual(admitted.count("a"), 4)
        self.assertGreaterEqual(min(admitted.count(name) for name in "bcd"), 2)

    def test_single_workspace_uses_all_room(self):
        callers = [(f"only-{number}", "only") for number in range(8)]
        self.assertEqual(8, len(self.replay(callers, 8)))


class ReturnsTest(CrowdedPoolTestCase):
    def refuse(self, caller: str) -> Refuse:
        """Refuse a caller that bears less silence than the wait of 8 s."""
        found = self.ask_as(caller, demand=CHECK, left=39.0, due=0.5, silence=4.0)
        assert isinstance(found, Refuse), found
        return found

    def crowd(self) -> None:
        """Runs of a better rank wait for the next ends, of nodes that saw no crowd."""
        for number in range(2):
            self.ask(f"ahead-{number}", rank=0, due=1.9, left=90.0)

    def test_burst_is_refused_at_first_question_never_later(self):
        """Checks come in a burst; no run ends when it should."""
        self.crowd()
        outcomes = [
            self.ask_as(f"check-{number}", demand=CHECK, left=60.0, due=9.0)
            for number in range(40)
        ]
        kept = [n for n, found in enumerate(outcomes) if isinstance(found, Wait)]
        self.assertGreater(len(kept), 2)
        self.assertLess(len(kept), 38)
        for step in range(1, 120):
            self.now += 0.25
            self.crowd()
            for number in kept:
                found = self.ask_as(
                    f"check-{number}",
                    demand=CHECK,
                    left=60.0 - step / 4,
                    due=9.0 - step / 4,
                )
                self.assertIsInstance(found, Wait)
        self.now += 0.5
        found = self.ask_as("check-0", demand=CHECK, left=29.75, due=-21.0)
        self.assertIsInstance(found, Refuse)

    def test_run_that_would_begin_late_is_refused_at_first_question(self):
        """It would begin within half of its time, but after its target."""
        self.assertIsInstance(self.ask_as("patient", due=20.0, left=90.0), Wait)
        self.assertIsInstance(self.ask_as("pressed", due=2.0, left=90.0), Refuse)
        self.assertIsInstance(self.ask_as("late", due=-1.0, left=90.0), Wait)

    def test_first_attempt_goes_before_returns(self):
        """Also before one that is due earlier."""
        self.crowd()
        booked = self.refuse("back").booked
        assert booked is not None
        self.now += booked
        self.crowd()
        newcomer = self.ask_as("new", demand=CHECK, due=11.0)
        returning = self.ask_as("back", demand=CHECK, run="second", due=10.5)
        assert isinstance(returning, Wait)
        assert isinstance(newcomer, Wait)
        assert returning.queueing is not None
        self.assertTrue(returning.queueing.returning)
        self.assertEqual(newcomer.ahead + 1, returning.ahead)

    def test_return_that_would_begin_late_waits_for_a_late_answer(self):
        self.crowd()
        booked = self.refuse("back").booked
        assert booked is not None
        self.now += booked
        self.crowd()
        self.assertIsInstance(self.ask_as("new", demand=CHECK, due=0.5), Refuse)
        returning = self.ask_as("back", demand=CHECK, run="second", due=0.5)
        self.assertIsInstance(returning, Wait)

    def test_early_return_is_told_the_same_time(self):
        self.crowd()
        booked = self.refuse("eager").booked
        assert booked is not None
        self.now += 0.2
        again = self.refuse("eager").booked
        assert again is not None
        self.assertAlmostEqual(booked - 0.2, again)
        self.assertEqual(1, len(self.allocator.crowding.calendar))

    def test_absurd_times_and_sizes_are_not_kept(self):
        huge = Demand(prompt=10**9, output_limit=10**9)
        for left in (math.nan, -1.0, 1e9):
            for demand in (CHECK, huge):
                self.ask_as("odd", demand=demand, left=left, due=left, silence=left)
        self.now += 100.0
        self.assertIsNone(self.allocator.crowding.calendar.find("odd", self.now))
        debts = self.allocator.crowding.shares.debts()
        self.assertTrue(all(debt <= MEMORY for debt in debts.values()))


class PatienceTest(CrowdedPoolTestCase):
    """Callers of one workspace that ask for one run after the other."""

    RUN_SECONDS = 1.5
    EARLY_FRACTION = 0.2
    LEFT_SECONDS = 6.0

    def setUp(self):
        super().setUp()
        for run in self.running:
            self.allocator.ledger.end(run)
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.random = random.Random(1)
        self.served: collections.Counter[float] = collections.Counter()

    def at(self, seconds: float, action: t.Callable[[], None]) -> None:
        event = self.now + seconds, next(self.numbers), action
        heapq.heappush(self.events, event)

    def ask_for_run(self, patience: float) -> None:
        """Let a caller ask until its request is served, and then for the next one.

        :param patience: fraction of the time that it is told after which it returns.
        """
        request = f"request-{next(self.numbers)}"
        pause = self.random.uniform(0.0, 0.1)
        self.at(pause, lambda: self.attempt(request, patience))

    def attempt(self, request: str, patience: float) -> None:
        run, began = f"run-{next(self.numbers)}", self.now
        self.decide(request, run, began, patience)

    def decide(self, request: str, run: str, began: float, patience: float) -> None:
        left = self.LEFT_SECONDS - (self.now - began)
        due = left - 4.2
        found = self.ask_as(request, run=run, due=due, left=left, silence=left)
        match found:
            case Admit():
                self.served[patience] += 1
                self.begin([run])
                seconds = self.RUN_SECONDS * self.random.uniform(0.7, 1.3)
                self.at(seconds, lambda: self.end(run, patience))
            case Wait(seconds):
                self.at(seconds, lambda: self.decide(request, run, began, patience))
            case Refuse(_, expected, booked):
                told = min(expected, left / 3) if booked is None else booked
                self.at(patience * told, lambda: self.attempt(request, patience))

    def end(self, run: str, patience: float) -> None:
        self.allocator.ledger.end(run)
        self.ask_for_run(patience)

    def test_who_returns_when_told_is_served_as_often_as_who_returns_early(self):
        """Guards against callers that gain from asking more often than they are told:
        each place that is freed goes to those who happen to ask just then."""
        for _ in range(8):
            self.ask_for_run(self.EARLY_FRACTION)
            self.ask_for_run(1.0)
        end = self.now + 100.0
        while self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()
        places = 4 * 100.0 / self.RUN_SECONDS
        self.assertGreater(sum(self.served.values()), 0.95 * places)
        # A tenth is left to chance.
        self.assertGreater(self.served[1.0], 0.9 * self.served[self.EARLY_FRACTION])


class PreemptionTest(CrowdedPoolTestCase):
    """Streams of workspaces with rank 1, which grow by some 270 tokens in 2.5 s."""

    def ask_short(self, workspace_rank: int) -> Verdict:
        free = self.allocator.ledger.occupancy.free_by_engine(
            self.engines, memory=MEMORY, long=False
        )
        demand = Demand(prompt=int(max(free.values())) - 300, output_limit=10)
        rank = (workspace_rank, 0)
        return self.allocator.decide(
            self.engines,
            PlacementRequest("short", demand, MEMORY, "a", rank, 1.0, 30.0, 30.0),
        )

    def setUp(self):
        super().setUp()
        for number in range(3):
            self.allocator.crowding.note_long((number, 1), self.now)

    def test_urgent_short_run_does_not_preempt_streams(self):
        self.assertIsInstance(self.ask_short(0), Wait)

    def test_short_run_that_risks_only_itself_is_admitted(self):
        self.assertIsInstance(self.ask_short(2), Admit)


class LostOwnerTest(CrowdedPoolTestCase):
    def test_new_owner_takes_returns_as_newcomers(self):
        """A new owner knows no bookings, shares or queue; it refuses nobody for it."""
        self.allocator = Allocator(
            clock=lambda: self.now, rng=random.Random(2), read_ahead=60.0
        )
        found = [self.ask_as(f"caller-{number}", due=14.0) for number in range(30)]
        admitted = sum(isinstance(verdict, Admit) for verdict in found)
        self.assertEqual(4, admitted)
        waits = [verdict for verdict in found if isinstance(verdict, Wait)]
        self.assertTrue(waits)
        self.assertFalse(any(one.queueing and one.queueing.returning for one in waits))
