"""Overload replayed in virtual time: with the line, and without."""

import pathlib
import tempfile

from bankrack.exceptions import InvalidDocument
from bankrack.lab.poolplay import Fate
from bankrack.lab.poolplay import Play
from bankrack.lab.poolplay import Tally
from bankrack.lab.poolscenario import load
from bankrack.lab.poolscenario import Scenario
from tests.base import TestCase

OVERLOAD = pathlib.Path(__file__).parents[2] / "examples" / "lab" / "overload.toml"
BRIM = pathlib.Path(__file__).parents[2] / "examples" / "lab" / "brim.toml"
SEEDS = range(10, 15)


def play_all(scenario: Scenario, *, lined: bool) -> list[Tally]:
    return [Play(scenario, seed=seed, lined=lined).run() for seed in SEEDS]


def count(tallies: list[Tally], stream: str, fate: Fate) -> int:
    return sum(tally.fates_by_stream[stream][fate] for tally in tallies)


class Overload(TestCase):
    """2.5 times the traffic, two of five engines gone, then 5 times the short runs."""

    lined: list[Tally]
    loose: list[Tally]

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        scenario = load(str(OVERLOAD))
        cls.lined = play_all(scenario, lined=True)
        cls.loose = play_all(scenario, lined=False)

    def test_more_urgent_runs_begin_in_time(self):
        with_line = count(self.lined, "caption", Fate.IN_TIME)
        without = count(self.loose, "caption", Fate.IN_TIME)
        self.assertGreater(with_line, 1.15 * without)

    def test_urgent_runs_are_served_no_worse_than_others(self):
        served = (Fate.IN_TIME, Fate.LATE)
        for tally in self.lined:
            urgent = tally.share("caption", *served)
            self.assertGreaterEqual(urgent, tally.share("summary", *served))

    def test_hardly_any_caller_waits_for_nothing(self):
        def expired(tallies: list[Tally]) -> int:
            return sum(count(tallies, s, Fate.EXPIRED) for s in ("caption", "summary"))

        self.assertLess(expired(self.lined), 0.05 * expired(self.loose))
        held = sum(tally.held_in_vain for tally in self.lined)
        self.assertLess(held, 0.1 * sum(tally.held_in_vain for tally in self.loose))

    def test_little_is_read_in_vain(self):
        read = sum(tally.read_in_vain for tally in self.lined)
        self.assertLess(read, 0.5 * sum(tally.read_in_vain for tally in self.loose))

    def test_every_run_has_one_fate(self):
        for lined, loose in zip(self.lined, self.loose, strict=True):
            for stream, fates in lined.fates_by_stream.items():
                asked = sum(loose.fates_by_stream[stream].values())
                self.assertEqual(asked, sum(fates.values()))


class ThirdOfThePool(TestCase):
    """Memory is nearly full, and a third of the engines is gone for eight seconds."""

    def test_more_runs_begin_in_time_than_with_the_line_emptied_into_queues(self):
        scenario = load(str(BRIM))
        bounded = Play(scenario, seed=1).run()
        emptied = Play(scenario, seed=1, read_ahead=60.0).run()
        for stream in ("caption", "summary"):
            self.assertGreater(
                bounded.fates_by_stream[stream][Fate.IN_TIME],
                emptied.fates_by_stream[stream][Fate.IN_TIME],
            )
        self.assertLess(bounded.preempted, emptied.preempted)


class Plays(TestCase):
    def test_a_seed_repeats(self):
        scenario = load(str(OVERLOAD))
        one, other = (Play(scenario, seed=3).run() for _ in range(2))
        self.assertEqual(one, other)


class Scenarios(TestCase):
    def problems(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            error = self.assertRaises(InvalidDocument, load, file.name)
        return str(error)

    def test_all_that_is_wrong_is_told_with_its_key(self):
        text = '[pool]\nengines = 0\nspeed = 1\n[[stream]]\nname = "x"\nrate = "many"\n'
        found = self.problems(text)
        for key in ("pool.engines", "pool.speed", "stream[0].rate", "target"):
            self.assertIn(key, found)

    def test_a_scenario_without_runs_is_refused(self):
        self.assertIn("stream", self.problems("seconds = 3\n"))

    def test_broken_toml_is_refused(self):
        self.assertIn("valid TOML", self.problems("seconds = \n"))
