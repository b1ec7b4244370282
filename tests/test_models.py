"""Each model passes its check, and fails it with each known bug reintroduced."""

import os
import pathlib
import re
import shutil
import subprocess
import tempfile
import typing as t

from tests.base import TestCase

MODELS = pathlib.Path(__file__).parent.parent / "models"
SEARCH_DEPTH = "-m200000"


class Verdict(t.NamedTuple):
    errors: int
    states: int
    depth_reached: bool


def check(model: str, bug: str = "") -> Verdict:
    with tempfile.TemporaryDirectory() as folder:
        options = [f"-D{bug}"] if bug else []
        run(["spin", "-a", *options, str(MODELS / f"{model}.pml")], folder)
        compile_options = ["-O2", "-DSAFETY", "-o", "pan", "pan.c"]
        run(["gcc", *compile_options], folder)
        output = run(["./pan", SEARCH_DEPTH], folder)
    errors = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+) states, stored", output)
    assert errors is not None and states is not None, output
    truncated = "max search depth too small" in output
    return Verdict(int(errors.group(1)), int(states.group(1)), not truncated)


def run(command: list[str], folder: str) -> str:
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, timeout=300
    )
    assert done.returncode == 0, done.stdout + done.stderr
    return done.stdout


class TestModels(TestCase):
    def setUp(self):
        super().setUp()
        if shutil.which("spin") is None and not os.environ.get("CI"):
            self.skipTest("spin is not installed; .ci/run installs it")

    def assert_passes(self, model):
        verdict = check(model)
        print(f"model {model}: {verdict.states} states")
        self.assertEqual(0, verdict.errors)
        self.assertTrue(verdict.depth_reached)

    def assert_finds(self, model, bug):
        self.assertEqual(1, check(model, bug).errors, f"{model} misses {bug}")

    def test_claim(self):
        self.assert_passes("claim")
        self.assert_finds("claim", "BUG_NO_READ_BACK")
        self.assert_finds("claim", "BUG_NO_FLOOR")

    def test_confirm(self):
        self.assert_passes("confirm")
        self.assert_finds("confirm", "BUG_ADOPT_ANY")
        self.assert_finds("confirm", "BUG_NO_READ_BACK")

    def test_order(self):
        self.assert_passes("order")
        self.assert_finds("order", "BUG_NO_FENCE")
        self.assert_finds("order", "BUG_NO_WAIT")

    def test_resume(self):
        self.assert_passes("resume")
        self.assert_finds("resume", "BUG_ANY_OFFSET")
        self.assert_finds("resume", "BUG_RESUME_LATE")
        self.assert_finds("resume", "BUG_ANY_GENERATION")

    def test_budget(self):
        self.assert_passes("budget")
        self.assert_finds("budget", "BUG_NEVER_YOUNG")
        self.assert_finds("budget", "BUG_NO_SHARE")
        self.assert_finds("budget", "BUG_START_OFTEN")
        self.assert_finds("budget", "BUG_LEND_UNCOUNTED")

    def test_handover(self):
        self.assert_passes("handover")
        self.assert_finds("handover", "BUG_ANY_EVENT")
        self.assert_finds("handover", "BUG_CUT_IS_END")
        self.assert_finds("handover", "BUG_KEEP_OLD")
        self.assert_finds("handover", "BUG_AWAIT_COPY")
        self.assert_finds("handover", "BUG_RESUME_EMPTY")

    def test_cold(self):
        self.assert_passes("cold")
        self.assert_finds("cold", "BUG_WHOLE_BOUND")
        self.assert_finds("cold", "BUG_NO_SHARE")
        self.assert_finds("cold", "BUG_UNCOUNTED")

    def test_permits(self):
        self.assert_passes("permits")
        self.assert_finds("permits", "BUG_NEVER_YOUNG")
        self.assert_finds("permits", "BUG_NO_PART")
        self.assert_finds("permits", "BUG_ALONE_WHOLE")
