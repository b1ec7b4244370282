"""Tests of the ledger of placements."""

import random

from bankrack.placement import ledger as ledger_module
from bankrack.placement.ledger import Ledger
from bankrack.placement.ledger import PLACEMENT_TTL_SECONDS
from bankrack.placement.placements import READ_TIMEOUT_SECONDS
from bankrack.placement.shortruns import RATE_WINDOW_SECONDS
from bankrack.serving.choice import Chooser
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

MEMORY = 30_000
SHORT = Demand(prompt=3000, output_limit=100)
LONG = Demand(prompt=3000, output_limit=6000)


class LedgerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.ledger = Ledger(clock=lambda: self.now, rng=random.Random(1))
        self.engines = [self.engine("one"), self.engine("two")]

    def engine(self, name: str, *, used: int = 0, hall: str = "a") -> Upstream:
        record = UpstreamRecord(name, "s", f"10.0.0.1:{len(name)}", hall, slots=8)
        upstream = Upstream(record, self.now - 50)
        upstream.note_report(EngineReport(0, 0, used, MEMORY, taken=self.now))
        return upstream

    def first(self, demand: Demand = SHORT) -> str:
        ordered = self.ledger.order(self.engines, demand, memory=MEMORY, hall="a")
        return ordered[0].id

    def test_engine_with_unread_prompts_goes_behind(self):
        self.ledger.place("r-1", "one", SHORT)
        self.assertEqual({"two"}, {self.first() for _ in range(20)})
        self.ledger.place("r-2", "two", SHORT)
        self.ledger.place("r-3", "two", SHORT)
        self.assertEqual({"one"}, {self.first() for _ in range(20)})

    def test_prompt_of_begun_run_counts_as_read(self):
        self.ledger.place("r-1", "one", SHORT)
        self.ledger.begin("r-1", "one")
        self.ledger.place("r-2", "two", SHORT)
        self.assertEqual("one", self.first())

    def test_run_counts_on_engine_where_it_was_resumed(self):
        self.ledger.place("r-1", "one", LONG)
        self.ledger.begin("r-1", "two")
        self.now += 1.0
        self.assertEqual("one", self.first())

    def test_expected_growth_of_runs_counts(self):
        self.engines = [
            self.engine("one", used=18_000),
            self.engine("two", used=20_000),
        ]
        for run in ("r-1", "r-2"):
            self.ledger.place(run, "one", LONG)
            self.ledger.begin(run, "one")
        self.now += 2.0
        for engine in self.engines:
            used = engine.report.used if engine.report else 0
            engine.note_report(EngineReport(2, 0, used, MEMORY, taken=self.now))
        self.assertEqual("two", self.first(LONG))
        for run in ("r-1", "r-2"):
            self.ledger.end(run)
        self.assertEqual("one", self.first(LONG))

    def test_prompt_placed_after_report_takes_memory(self):
        self.engines = [
            self.engine("one", used=24_000),
            self.engine("two", used=25_000),
        ]
        self.ledger.place("r-1", "one", SHORT)
        self.ledger.begin("r-1", "one")
        self.assertEqual("two", self.first())

    def test_unread_prompt_expires_without_notification(self):
        for number in range(4):
            self.ledger.place(f"r-{number}", "one", SHORT)
        self.ledger.place("r-9", "two", SHORT)
        self.assertEqual("two", self.first())
        self.now += READ_TIMEOUT_SECONDS + 0.1
        self.ledger.place("r-10", "two", SHORT)
        self.assertEqual("one", self.first())

    def test_placement_expires_without_notification(self):
        self.ledger.place("r-1", "one", LONG)
        self.now += PLACEMENT_TTL_SECONDS + 1.0
        self.first()
        self.assertEqual({}, self.ledger._placement_by_run)

    def test_short_runs_use_few_engines_of_large_pool(self):
        self.engines = [self.engine(f"e-{number}") for number in range(20)]
        used: dict[bool, set[str]] = {True: set(), False: set()}
        for number in range(120):
            short = number % 2 == 0
            demand = Demand(prompt=2500, output_limit=12 if short else 800)
            name = self.first(demand)
            self.ledger.place(f"r-{number}", name, demand)
            self.ledger.begin(f"r-{number}", name)
            if short:
                self.ledger.end(f"r-{number}")
            if number >= 40:
                used[short].add(name)
            self.now += 0.04
        self.assertLessEqual(len(used[True]), 5)
        self.assertEqual(set(), used[True] & used[False])

    def split(self) -> set[str]:
        long_tokens = self.ledger._long_tokens()
        return self.ledger._short_runs.select(
            self.engines, long_tokens=long_tokens, memory=MEMORY
        )

    def test_small_pool_is_not_split(self):
        for number in range(20):
            self.ledger.place(f"r-{number}", "one", Demand(prompt=2500, output_limit=9))
        self.assertEqual(set(), self.split())

    def test_pool_is_split_only_while_memory_allows(self):
        self.engines = [self.engine(f"e-{number}") for number in range(12)]
        for number in range(20):
            self.ledger.place(f"s-{number}", "e-1", Demand(prompt=2500, output_limit=9))
        self.assertEqual(2, len(self.split()))
        for number in range(16):
            self.ledger.place(f"l-{number}", "e-2", LONG)
        self.assertEqual(2, len(self.split()))
        self.ledger.place("l-16", "e-2", LONG)
        self.assertEqual(set(), self.split())

    def test_number_of_placements_is_bounded(self):
        self.patch(ledger_module, "MAX_PLACEMENTS", 3)
        for number in range(10):
            self.ledger.place(f"r-{number}", "one", SHORT)
        self.assertEqual(["r-7", "r-8", "r-9"], list(self.ledger._placement_by_run))

    def test_recorded_prompts_expire(self):
        for number in range(100):
            self.now += 1.0
            demand = Demand(prompt=3000, output_limit=9)
            self.ledger.place(f"r-{number}", "one", demand)
        oldest = self.ledger._short_runs._prompts[0][0]
        self.assertLessEqual(self.now - oldest, RATE_WINDOW_SECONDS)

    def test_suspected_engine_goes_last(self):
        self.engines[0].suspect_until = self.now + 1.0
        self.assertEqual({"two"}, {self.first() for _ in range(20)})

    def test_one_failure_does_not_keep_the_fastest_engine_idle_for_good(self):
        for engine, stated in zip(self.engines, (0.6, 1.0), strict=True):
            self.ledger.speeds.observe_stated(engine.id, stated)
        self.assertEqual("one", self.first())
        chooser = Chooser(hall="a", clock=lambda: self.now)
        chooser.answered(self.engines[0], failed=True)
        self.assertEqual("two", self.first())
        self.now += 10.0
        self.assertEqual("one", self.first())

    def test_engine_in_same_hall_goes_first(self):
        self.engines = [self.engine("far", hall="b"), self.engine("near")]
        ordered = [self.first() for _ in range(50)]
        self.assertGreater(ordered.count("near"), 40)
