"""Tests of placement on engines of unequal speed."""

import random

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Wait
from bankrack.decisions.pauses import PauseCost
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

MEMORY = 27_000
SHORT = Demand(prompt=2500, output_limit=10)
LONG = Demand(prompt=3000, output_limit=750)
PAUSE_COST = PauseCost(gap_target=0.18, seconds=1.8)
GAP_BY_SPEED = {"slow": 0.051, "usual": 0.030, "fast": 0.019}


class UnevenEnginesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.allocator = Allocator(clock=lambda: self.now, rng=random.Random(1))
        self.ledger = self.allocator.ledger
        self.engines = [
            self.engine(f"{speed}-{number}")
            for number in range(2)
            for speed in GAP_BY_SPEED
        ]

    def engine(self, name: str) -> Upstream:
        record = UpstreamRecord(name, "s", f"10.0.0.1:{len(name)}", "a", slots=24)
        upstream = Upstream(record, self.now - 50)
        upstream.note_report(EngineReport(0, 0, 0, MEMORY, taken=self.now))
        return upstream

    def learn_gaps(self) -> None:
        for engine in self.engines:
            self.pace(f"gone-{engine.id}", engine.id)

    def pace(self, run: str, engine: str, *, longest: float = 0.05) -> None:
        gap = GAP_BY_SPEED[engine.split("-")[0]]
        self.ledger.pace(
            run, engine, gap=gap, events=60, longest=longest, pause_cost=PAUSE_COST
        )

    def begin(self, run: str, engine: str, demand: Demand) -> None:
        self.ledger.place(run, engine, demand)
        self.ledger.begin(run, engine, took=0.3)

    def first(self, demand: Demand) -> str:
        ordered = self.ledger.order(self.engines, demand, memory=MEMORY, hall="a")
        return ordered[0].id

    def request(self, run: str, *, due: float, demand: Demand = LONG):
        return PlacementRequest(
            run, demand, MEMORY, "a", (0, 1), due, left=39.0, silence_left=7.0
        )

    def test_factors_are_learned_from_one_stream_per_engine(self):
        self.learn_gaps()
        factor = self.ledger.speeds.factor
        self.assertGreater(factor("slow-0"), 1.4)
        self.assertAlmostEqual(1.0, factor("usual-0"), delta=0.15)
        self.assertLess(factor("fast-0"), 0.75)

    def test_load_of_long_streams_and_many_prompts_pauses_no_stream(self):
        """A wave of prompts and streams, as on uneven engines at the peak of a day."""
        self.learn_gaps()
        long_engines, short_engines = [], []
        for number in range(24):
            self.now += 0.15
            run, demand = f"r-{number}", SHORT if number % 2 else LONG
            engine = self.first(demand)
            self.begin(run, engine, demand)
            (short_engines if demand.short else long_engines).append(engine)
            if demand.short:
                self.ledger.end(run)
            else:
                self.pace(run, engine)
        slow_long = [name for name in long_engines if name.startswith("slow")]
        self.assertEqual([], slow_long)
        slow_short = [name for name in short_engines if name.startswith("slow")]
        self.assertGreater(len(slow_short), len(short_engines) / 2)

    def test_long_runs_fill_the_engines_that_complete_them_soonest(self):
        """A wave of long streams that the fast engines alone can hold."""
        self.learn_gaps()
        engines = []
        for number in range(8):
            self.now += 0.5
            engines.append(self.first(LONG))
            self.begin(f"r-{number}", engines[-1], LONG)
            self.pace(f"r-{number}", engines[-1])
        self.assertEqual({"fast-0", "fast-1"}, set(engines))

    def test_prompt_keeps_away_from_streams_on_a_slow_engine(self):
        self.learn_gaps()
        self.begin("stream", "slow-0", LONG)
        self.pace("stream", "slow-0")
        self.engines = [e for e in self.engines if e.id.startswith("slow")]
        self.assertEqual("slow-1", self.first(SHORT))

    def test_short_run_avoids_slow_engines_where_it_would_be_late(self):
        self.learn_gaps()
        for number in range(24):
            self.now += 0.1
            engine = self.first(SHORT)
            self.begin(f"r-{number}", engine, SHORT)
            self.ledger.end(f"r-{number}")

        def first(due: float) -> str:
            ordered = self.ledger.order(
                self.engines, SHORT, memory=MEMORY, hall="a", due=due
            )
            return ordered[0].id.split("-")[0]

        self.assertEqual("slow", first(due=5.0))
        self.assertNotEqual("slow", first(due=0.2))

    def test_stream_that_was_paused_already_keeps_no_prompt_away(self):
        self.learn_gaps()
        for name in ("slow-0", "slow-1"):
            self.begin(f"stream-{name}", name, LONG)
            longest = 0.25 if name == "slow-0" else 0.05
            self.pace(f"stream-{name}", name, longest=longest)
        self.engines = [e for e in self.engines if e.id.startswith("slow")]
        self.assertEqual("slow-0", self.first(SHORT))

    def test_long_run_with_time_left_waits_for_an_engine_without_pauses(self):
        self.learn_gaps()
        # The engines take prompts all the time.
        for number in range(60):
            self.now += 0.02
            self.begin(f"r-{number}", f"usual-{number % 2}", SHORT)
            self.ledger.end(f"r-{number}")
        slow = [e for e in self.engines if e.id.startswith("slow")]
        early = self.allocator.decide(slow, self.request("early", due=3.0))
        self.assertIsInstance(early, Wait)
        late = self.allocator.decide(slow, self.request("late", due=0.2))
        self.assertIsInstance(late, Admit)
        short = self.request("short", due=3.0, demand=SHORT)
        self.assertIsInstance(self.allocator.decide(slow, short), Admit)
        every = self.allocator.decide(self.engines, self.request("any", due=3.0))
        self.assertIsInstance(every, Admit)

    def test_read_rate_is_learned_from_prompts_that_were_read_alone(self):
        """A peak at which runs meet others on their engine and overtake them."""
        self.learn_gaps()
        rng = random.Random(1)
        for number in range(64):
            self.now += 5.0
            alone = Demand(prompt=rng.randint(1000, 5000), output_limit=10)
            self.ledger.place(f"alone-{number}", "usual-0", alone)
            self.ledger.place(f"overtakes-{number}", "usual-0", SHORT)
            self.ledger.begin(f"overtakes-{number}", "usual-0", took=0.1)
            took = alone.prompt / 7000
            self.ledger.begin(f"alone-{number}", "usual-0", took=took)
            for run in (f"alone-{number}", f"overtakes-{number}"):
                self.ledger.end(run)
        self.assertAlmostEqual(7000, self.ledger.read_rate, delta=700)

    def test_prompt_in_progress_counts_as_partly_read(self):
        """Drafts that wait at a peak for engines which have almost read a prompt."""
        self.begin("unknown", "usual-0", LONG)
        self.ledger.place("r-1", "usual-0", LONG)
        self.now += 0.2
        self.assertEqual({"usual-0": 3000}, self.ledger.unread_by_engine())
        self.learn_gaps()
        unread = self.ledger.unread_by_engine()["usual-0"]
        self.assertAlmostEqual(3000 - 0.2 * 7000, unread, delta=500)

    def test_short_stream_keeps_away_from_engines_that_would_pause_it(self):
        """Letters of some twenty events between prompts that come all the time."""
        self.learn_gaps()
        for number in range(60):
            self.now += 0.02
            self.begin(f"r-{number}", f"usual-{number % 2}", SHORT)
            self.ledger.end(f"r-{number}")
        letter = Demand(prompt=2500, output_limit=80)
        self.assertEqual("slow", self.first(SHORT).split("-")[0])
        self.assertNotEqual("slow", self.first(letter).split("-")[0])

    def test_prompt_keeps_away_from_a_run_that_will_be_resumed(self):
        """A wave of prompts while an engine leaves and its streams have copies."""
        self.learn_gaps()
        self.engines = [self.engine("usual-0"), self.engine("usual-1")]
        self.engines[1].note_report(EngineReport(0, 0, 6000, MEMORY, taken=self.now))
        self.assertEqual("usual-0", self.first(SHORT))
        self.ledger.place_copy("stream", "usual-0", LONG)
        self.assertEqual("usual-1", self.first(SHORT))
        self.ledger.drop_copy("stream")
        self.assertEqual("usual-0", self.first(SHORT))

    def test_nothing_is_learned_before_gaps_are_reported(self):
        self.begin("r-1", "slow-0", LONG)
        self.ledger.end("r-1", took=5.0)
        self.assertEqual(1.0, self.ledger.speeds.factor("slow-0"))
        self.assertEqual({}, self.ledger.speeds.describe())

    def test_new_life_of_an_engine_is_one_of_those_known(self):
        self.learn_gaps()
        speeds = self.ledger.speeds
        self.assertEqual(1.0, speeds.factor("slow-0-born-again"))
        hazard = speeds.hazard("slow-0-born-again")
        self.assertGreater(hazard, speeds.hazard("fast-0"))
        self.assertLess(hazard, speeds.hazard("slow-0"))
