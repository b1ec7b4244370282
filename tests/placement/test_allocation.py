"""Tests of the admission of runs to a pool."""

import random

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.placement.occupancy import UNLISTED_SECONDS
from bankrack.placement.occupancy import USABLE_MEMORY_FRACTION
from bankrack.serving.choice import REPORT_LAG_SECONDS
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

MEMORY = 10_000
LONG = Demand(prompt=3000, output_limit=900)


class PoolTestCase(TestCase):
    """Two engines, each with memory for two long runs, and their allocator."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        # The clock stands still here, so the limit on unread prompts is lifted.
        self.allocator = Allocator(
            clock=lambda: self.now, rng=random.Random(1), read_ahead=60.0
        )
        self.engines = [self.engine("one"), self.engine("two")]

    def engine(self, name: str, *, slots: int = 8) -> Upstream:
        record = UpstreamRecord(name, "s", name, "a", slots)
        upstream = Upstream(record, self.now - 50)
        upstream.note_report(EngineReport(0, 0, 0, MEMORY, taken=self.now))
        return upstream

    def ask(
        self,
        run: str,
        demand: Demand = LONG,
        *,
        rank: int = 1,
        due: float = 2.0,
        left: float = 30.0,
        silence_left: float = 30.0,
    ) -> Verdict:
        request = PlacementRequest(
            run, demand, MEMORY, "a", (0, rank), due, left, silence_left
        )
        return self.allocator.decide(self.engines, request)

    def fill(self) -> list[str]:
        """Place runs until there is no room; return their ids."""
        placed = []
        for number in range(20):
            if not isinstance(self.ask(f"old-{number}"), Admit):
                self.allocator.queue.remove(f"old-{number}")
                return placed
            placed.append(f"old-{number}")
        raise AssertionError("the pool never filled")

    def begin(self, runs: list[str]) -> None:
        """Let placed runs generate tokens from now on."""
        for run in runs:
            placement = self.allocator.ledger._placement_by_run[run]
            self.allocator.ledger.begin(run, placement.engine)

    def report(self, **tokens_by_run: int) -> None:
        """Let both engines report their runs among these."""
        placed = self.allocator.ledger._placement_by_run
        for engine in self.engines:
            own = {
                run: tokens
                for run, tokens in tokens_by_run.items()
                if placed[run].engine == engine.id
            }
            used = sum(own.values())
            engine.note_report(
                EngineReport(
                    len(own), 0, used, MEMORY, taken=self.now, tokens_by_run=own
                )
            )


class AdmissionTest(PoolTestCase):
    def test_run_waits_while_pool_is_full(self):
        """Each engine fits two runs of 3,000 tokens growing by 444 in four seconds."""
        placed = self.fill()
        self.assertEqual(4, len(placed))
        self.assertIsInstance(self.ask("new"), Wait)

    def test_freed_memory_goes_to_most_urgent_run(self):
        placed = self.fill()
        self.assertIsInstance(self.ask("summary", rank=3), Wait)
        self.assertIsInstance(self.ask("caption", rank=0), Wait)
        self.allocator.ledger.end(placed[0])
        self.assertIsInstance(self.ask("summary", rank=3), Wait)
        self.assertIsInstance(self.ask("caption", rank=0), Admit)

    def test_repeated_request_is_counted_once(self):
        for _ in range(20):
            self.assertIsInstance(self.ask("new"), Admit)

    def test_run_that_cannot_begin_in_time_is_refused_at_first_request(self):
        self.begin(self.fill())
        found = self.ask("new", left=3.0)
        assert isinstance(found, Refuse)
        self.assertGreater(found.expected, 1.5)

    def test_run_is_refused_once_it_cannot_begin_within_half_of_its_time(self):
        """Half of the remaining time, computed for each request, would never be over.

        All current runs are overdue, so their expected end stays 1.6 s ahead.
        """
        self.begin(self.fill())
        self.now += LONG.output * self.allocator.ledger._pace.token_seconds + 1.0
        began = self.now
        while isinstance(self.ask_since(began, 6.0), Wait):
            self.now += 0.1
        self.assertLess(self.now - began, 6.0 / 2 - 1.5)

    def ask_since(self, began: float, seconds: float) -> Verdict:
        """Ask for a run that first asked at ``began`` and has ``seconds`` in total."""
        left = seconds - (self.now - began)
        return self.ask("new", due=left - 4.5, left=left, silence_left=left)

    def test_run_does_not_wait_longer_than_callers_accept_silence(self):
        """Callers with a late deadline still give up a stream without events."""
        self.begin(self.fill())
        self.assertIsInstance(self.ask("new", silence_left=30.0), Wait)
        self.assertIsInstance(self.ask("new", silence_left=7.2), Refuse)

    def test_expected_wait_is_end_of_first_runs(self):
        self.begin(self.fill())
        token_seconds = self.allocator.ledger._pace.token_seconds
        found = self.ask("new")
        assert isinstance(found, Wait)
        self.assertAlmostEqual(900 * token_seconds, found.expected)

    def test_need_is_bounded_by_output_possible_in_time(self):
        endless = Demand(prompt=3000, output_limit=1_000_000)
        self.assertIsInstance(self.ask("endless", endless), Admit)

    def test_run_larger_than_an_engine_is_admitted_to_an_empty_one(self):
        huge = Demand(prompt=2 * MEMORY, output_limit=10)
        self.assertIsInstance(self.ask("huge", huge), Admit)

    def test_run_waits_without_free_slot(self):
        self.engines = [self.engine("one", slots=2)]
        small = Demand(prompt=10, output_limit=10)
        self.assertIsInstance(self.ask("a", small), Admit)
        self.assertIsInstance(self.ask("b", small), Admit)
        self.assertIsInstance(self.ask("c", small), Wait)


class ReportTest(PoolTestCase):
    def test_reported_memory_outside_placements_counts(self):
        for engine in self.engines:
            used = int(USABLE_MEMORY_FRACTION * MEMORY) - 100
            engine.note_report(EngineReport(0, 0, used, MEMORY, taken=self.now))
        self.assertIsInstance(self.ask("new"), Wait)

    def test_unlisted_runs_of_dead_nodes_are_dropped(self):
        """No end of a run is notified after its node was killed."""
        self.begin(self.fill())
        self.now += REPORT_LAG_SECONDS + UNLISTED_SECONDS + 0.5
        self.report()
        self.assertIsInstance(self.ask("new"), Admit)
        self.assertEqual(["new"], list(self.allocator.ledger._placement_by_run))

    def test_releases_of_dropped_runs_are_forgotten(self):
        self.begin(self.fill())
        occupancy = self.allocator.ledger.occupancy
        self.now += REPORT_LAG_SECONDS + UNLISTED_SECONDS + 0.5
        self.assertNotEqual([], occupancy.releases(self.engines))
        self.report()
        occupancy.free_by_engine(self.engines, memory=MEMORY)
        self.assertEqual([], occupancy.releases(self.engines))

    def test_listed_runs_are_kept(self):
        placed = self.fill()
        self.begin(placed)
        self.now += REPORT_LAG_SECONDS + UNLISTED_SECONDS + 0.5
        self.report(**dict.fromkeys(placed, 3100))
        self.assertIsInstance(self.ask("new"), Wait)

    def test_run_placed_after_report_is_kept(self):
        placed = self.fill()
        self.now += 0.2
        self.report()
        self.assertIsInstance(self.ask("new"), Wait)
        self.assertLessEqual(set(placed), set(self.allocator.ledger._placement_by_run))

    def test_run_just_resumed_on_other_engine_is_kept(self):
        """The report of the new engine is older than the resumption."""
        self.ask("moved")
        self.begin(["moved"])
        self.now += 5.0
        self.allocator.ledger.begin("moved", "two")
        self.now += 0.3
        self.report()
        self.ask("new")
        self.assertIn("moved", self.allocator.ledger._placement_by_run)

    def test_growth_rate_is_learned_from_two_reports(self):
        self.engines = [self.engine(f"e-{n}") for n in range(20)]
        placed = [f"r-{n}" for n in range(40)]
        for run in placed:
            self.assertIsInstance(self.ask(run), Admit)
        self.begin(placed)
        for tokens in (3200, 3250):
            self.now += 2.0
            self.report(**dict.fromkeys(placed, tokens))
            self.ask("next")
        learned = self.allocator.ledger._pace.generated_token_seconds
        self.assertAlmostEqual(2.0 / 50, learned)


class NewOwnerTest(PoolTestCase):
    """Both engines list two runs that an earlier owner placed."""

    def setUp(self):
        super().setUp()
        self.list_runs(one=["a", "b"], two=["c", "d"])

    def list_runs(self, **runs_by_engine: list[str]) -> None:
        for engine in self.engines:
            listed = dict.fromkeys(runs_by_engine[engine.id], 3200)
            report = EngineReport(
                len(listed), 0, sum(listed.values()), MEMORY, self.now, False, listed
            )
            engine.note_report(report)

    def test_runs_of_an_earlier_owner_hold_memory_until_they_end(self):
        self.assertIsInstance(self.ask("new"), Wait)
        self.allocator.ledger.end("a")
        self.assertEqual(Admit(("one",)), self.ask("new"))
        self.now += 2.0
        self.list_runs(one=["b", "new"], two=["c"])
        self.assertEqual(Admit(("two",)), self.ask("newer"))

    def test_ended_run_holds_no_memory_though_an_older_report_lists_it(self):
        self.allocator.ledger.place("a", "one", LONG)
        self.allocator.ledger.end("a")
        self.assertEqual(Admit(("one",)), self.ask("new"))

    def test_run_that_ended_before_the_first_report_holds_no_memory(self):
        self.allocator.ledger.end("c")
        self.assertEqual(Admit(("two",)), self.ask("new"))

    def test_identified_run_is_told_a_time_behind_them(self):
        request = PlacementRequest(
            "new", LONG, MEMORY, "a", (0, 1), 2.0, 30.0, 30.0, caller="caller"
        )
        self.assertIsInstance(self.allocator.decide(self.engines, request), Wait)


class SuspectTest(PoolTestCase):
    def setUp(self):
        super().setUp()
        for engine in self.engines:
            engine.suspect_until = self.now + 60.0

    def test_run_waits_for_engine_that_is_not_suspected(self):
        self.assertIsInstance(self.ask("new"), Wait)
        self.engines[1].suspect_until = 0.0
        found = self.ask("new")
        self.assertEqual(Admit(("two",)), found)

    def test_late_run_may_use_suspected_engine(self):
        self.assertIsInstance(self.ask("new", due=-0.1), Admit)


class JoiningEngineTest(PoolTestCase):
    """Many runs are queued when an engine joins that has memory for all of them."""

    def test_joining_engine_does_not_get_all_queued_prompts(self):
        self.allocator = Allocator(clock=lambda: self.now, rng=random.Random(1))
        self.engines = [self.engine("one", slots=24)]
        self.engines[0].note_report(EngineReport(0, 0, 0, 40_000, taken=self.now))
        prompt = int(self.allocator.ledger.read_rate * 0.4)
        long, short = Demand(prompt, 100), Demand(prompt, 8)
        for number in range(6):
            self.ask(f"short-{number}", short, rank=1)
        self.allocator.ledger.end("short-0")
        placed = []
        while len(placed) < 6 and self.now < 110.0:
            for number in range(6):
                name = f"long-{number}" if number < 3 else f"short-{number}"
                rank, demand = (0, long) if number < 3 else (1, short)
                if name in placed:
                    continue
                verdict = self.ask(name, demand, rank=rank, due=115.0 - self.now)
                if isinstance(verdict, Admit):
                    placed.append(name)
                    ledger = self.allocator.ledger
                    unread = ledger.unread_by_engine()["one"]
                    self.assertLessEqual(unread, 2 * prompt + 1)
            self.now += 0.05
            self.begin_oldest()
        # All urgent runs are read before the others.
        self.assertEqual({"long-0", "long-1", "long-2"}, set(placed[:3]))

    def begin_oldest(self) -> None:
        """Let the engine begin the oldest run once its prompt must have been read."""
        for run, placement in self.allocator.ledger._placement_by_run.items():
            if placement.began is None and self.now - placement.placed >= 0.4:
                self.allocator.ledger.begin(run, "one")
                return


class CopyTest(PoolTestCase):
    """An engine leaves with a run; the two others have one each, and room for two."""

    def setUp(self):
        super().setUp()
        self.ledger = self.allocator.ledger
        for run, engine in (("moving", "gone"), ("a", "one"), ("b", "two")):
            self.ledger.place(run, engine, LONG)
            self.ledger.begin(run, engine)

    def copy(self, run: str = "moving") -> Verdict:
        request = PlacementRequest(run, LONG, MEMORY, "a", (0, 1), 2.0, 30.0, 30.0)
        return self.allocator.place_copy(self.engines, request)

    def names(self) -> list[str]:
        return list(self.ledger._placement_by_run)

    def test_memory_of_admitted_copy_is_counted_at_once(self):
        self.assertIsInstance(self.copy(), Admit)
        self.assertIsInstance(self.ask("new-0"), Admit)
        self.assertIsInstance(self.ask("new-1"), Wait)

    def test_copy_goes_before_queued_runs(self):
        for run in ("new-0", "new-1"):
            self.assertIsInstance(self.ask(run), Admit)
        self.assertIsInstance(self.ask("new-2", rank=0), Wait)
        self.assertIsInstance(self.copy(), Wait)
        self.ledger.end("new-0")
        self.assertIsInstance(self.ask("new-2", rank=0), Wait)
        self.assertIsInstance(self.copy(), Admit)

    def test_run_resumed_from_its_copy_is_counted_once(self):
        found = self.copy()
        assert isinstance(found, Admit)
        self.ledger.begin("moving", found.engines[0])
        self.assertEqual(["a", "b", "moving"], sorted(self.names()))

    def test_copy_is_removed_when_dropped_or_when_run_ends(self):
        for forget in (self.ledger.drop_copy, self.ledger.end):
            self.copy()
            self.assertEqual(4, len(self.names()))
            forget("moving")
            self.assertFalse(any("copy" in name for name in self.names()))


class ColdEngineTest(PoolTestCase):
    """Both engines are empty, and some have just returned cold."""

    def cold_request(self, run: str, rate: float) -> PlacementRequest:
        return PlacementRequest(
            run, LONG, MEMORY, "a", (0, 1), 2.0, 30.0, 30.0, cold_rate=rate
        )

    def test_cold_engine_gets_no_more_runs_than_its_rate(self):
        self.engines = [self.engine("one", slots=99)]
        self.engines[0].note_cold(60.0, self.now)
        small = Demand(prompt=10, output_limit=10)
        admitted_at = []
        for number in range(400):
            request = PlacementRequest(
                f"r-{number}", small, MEMORY, "a", (0, 1), 2.0, 30.0, 30.0, cold_rate=4
            )
            if isinstance(self.allocator.decide(self.engines, request), Admit):
                admitted_at.append(self.now)
                self.allocator.ledger.end(f"r-{number}")
            self.now += 0.02
        max_per_second = max(
            sum(a <= b < a + 1.0 for b in admitted_at) for a in admitted_at
        )
        self.assertLessEqual(max_per_second, 4)
        self.assertGreater(len(admitted_at), 20)

    def test_verdict_names_at_most_one_cold_engine(self):
        for engine in self.engines:
            engine.note_cold(60.0, self.now)
        verdict = self.allocator.decide(self.engines, self.cold_request("r", 5.0))
        assert isinstance(verdict, Admit)
        self.assertEqual(1, len(verdict.engines))

    def test_cold_engines_are_not_limited_without_cold_rate(self):
        for engine in self.engines:
            engine.note_cold(60.0, self.now)
        verdict = self.allocator.decide(self.engines, self.cold_request("r", 0.0))
        assert isinstance(verdict, Admit)
        self.assertEqual(2, len(verdict.engines))


class OverdueRunTest(PoolTestCase):
    def test_overdue_run_is_expected_to_keep_growing(self):
        self.engines = self.engines[:1]
        for run in ("a", "b"):
            self.allocator.ledger.place(run, "one", LONG)
            self.allocator.ledger.begin(run, "one")
        free = self.allocator.ledger.occupancy.free_by_engine
        pace = self.allocator.ledger._pace
        self.now += LONG.output * pace.generated_token_seconds + 1.0
        held = 2 * (LONG.prompt + LONG.output + 1.0 / pace.generated_token_seconds)
        room = USABLE_MEMORY_FRACTION * MEMORY - held
        self.assertLess(free(self.engines, memory=MEMORY)["one"], room - 100)
