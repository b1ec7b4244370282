import contextlib
import io
import json
import pathlib
import random
import socket
import subprocess
import sys
import tempfile

from bankrack import cli
from tests.base import TestCase
from tests.fakes import intent_text
from tests.fakes import settings_text

DEMO_PORTS = 12
"""Ports that the demo listens on at most, counted from the one it is given."""


def call(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    code = 0
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            cli.main(arguments)
        except SystemExit as done:
            code = int(done.code or 0)
    return code, out.getvalue(), err.getvalue()


class TestCommandLine(TestCase):
    def test_help_of_each_command_has_example(self):
        for command in [
            "node",
            "check",
            "hash-token",
            "demo",
            "bench",
            "lab",
            "plan",
            "confirm",
            "show",
            "history",
            "state",
            "drain",
        ]:
            code, out, _ = call(command, "--help")
            self.assertEqual(0, code)
            self.assertIn("example:", out)

    def test_check_prints_all_problems_and_exits_with_3(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "intent.toml"
            path.write_text("[security]\n[[services]]\nkind = 'x'\n", encoding="utf-8")
            code, _, err = call("check", str(path))
            self.assertEqual(cli.EXIT_INVALID, code)
            self.assertGreaterEqual(len(err.splitlines()), 3)
            path.write_text(intent_text([], []), encoding="utf-8")
            self.assertEqual(0, call("check", str(path))[0])
            path.write_text(settings_text("n", "127.0.0.1:1"), encoding="utf-8")
            self.assertEqual(0, call("check", str(path))[0])

    def test_lab_runs_scenario_and_writes_counts(self):
        with tempfile.TemporaryDirectory() as folder:
            scenario = pathlib.Path(folder) / "calm.toml"
            scenario.write_text(
                "seconds = 3\n[[stream]]\nname = 'note'\nrate = 2.0\n"
                "prompt = 500\noutput = 10\ntarget = 1.0\npatience = 5.0\n",
                encoding="utf-8",
            )
            output = pathlib.Path(folder) / "figures.json"
            code, out, _ = call(
                "lab", "run", str(scenario), "--seeds", "1", "--output", str(output)
            )
            self.assertEqual(0, code)
            self.assertIn("note", out)
            figures = json.loads(output.read_text(encoding="utf-8"))
            counts = figures["streams"][0]["count_by_fate"]
            self.assertEqual(sum(counts.values()), counts["in time"])
            scenario.write_text("seconds = -1\n", encoding="utf-8")
            code, _, err = call("lab", "run", str(scenario))
            self.assertEqual(cli.EXIT_INVALID, code)
            self.assertIn("seconds", err)

    def test_unreachable_node_prints_message_without_traceback(self):
        code, _, err = call("show", "--node", "127.0.0.1:1")
        self.assertEqual(cli.EXIT_FAILED, code)
        self.assertIn("name another with --node", err)
        self.assertNotIn("Traceback", err)

    def test_missing_file_prints_message_without_traceback(self):
        code, _, err = call("check", "/nowhere.toml")
        self.assertEqual(cli.EXIT_FAILED, code)
        self.assertNotIn("Traceback", err)


def first_of_free_ports(count: int) -> int:
    """Return a port that is free, as are those that follow it."""
    while True:
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            first = random.randrange(20_000, 30_000)
            for port in range(first, first + count):
                stack.enter_context(socket.create_server(("127.0.0.1", port)))
            return first


class TestDemo(TestCase):
    def test_demo_prints_caption_and_summary(self):
        port = str(first_of_free_ports(DEMO_PORTS))
        done = subprocess.run(
            [sys.executable, "-m", "bankrack", "demo", "--once", "--port", port],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn("mouths-35 the-36 lecture-37 turns-38 now-39", done.stdout)
        self.assertIn("answered 409", done.stdout)
