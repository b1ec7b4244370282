"""A short soak of real gateways, and proof that it would find a known bug."""

import pathlib
import subprocess
import sys

from soak.gateway.troubles import plan

from tests.base import TestCase

ROOT = pathlib.Path(__file__).parents[1]
SEEDS = ROOT / "soak" / "gateway" / "seeds.txt"
LIMIT_SECONDS = 120.0


def soak(seed: int, minutes: float, *options: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "soak.gateway", "--seed", str(seed)]
    return subprocess.run(
        [*command, "--minutes", str(minutes), *options],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
    )


def known_seeds() -> list[int]:
    """Seeds that failed once, each with a line on its cause."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


class Planning(TestCase):
    def planned(self, seed: int, seconds: float) -> list[tuple[float, str, float]]:
        found = plan(seed, seconds)
        return [(fault.at, fault.kind, fault.chance.random()) for fault in found]

    def test_a_seed_always_draws_the_same_faults(self):
        self.assertEqual(self.planned(7, 60.0), self.planned(7, 60.0))
        self.assertNotEqual(self.planned(7, 60.0), self.planned(8, 60.0))

    def test_a_longer_soak_begins_like_a_shorter_one(self):
        short = self.planned(7, 20.0)
        self.assertEqual(short, self.planned(7, 60.0)[: len(short)])


class Soaking(TestCase):
    def test_a_short_soak_breaks_no_promise(self):
        found = soak(1, 0.25)
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertIn("violations: 0", found.stdout)

    def test_seeds_that_failed_before_break_no_promise(self):
        for seed in known_seeds():
            found = soak(seed, 0.25)
            self.assertEqual(0, found.returncode, found.stdout + found.stderr)

    def test_a_known_bug_is_found(self):
        found = soak(3, 0.4, "--bug", "table")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertIn("was denied with 404", found.stdout)

    def test_an_unknown_bug_is_refused_with_the_names_there_are(self):
        found = soak(1, 0.1, "--bug", "nonsense")
        self.assertEqual(2, found.returncode)
        self.assertIn("resume", found.stderr)
