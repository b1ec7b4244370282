"""Tests that a short soak of real gateways passes and that it detects known bugs."""

import asyncio
import itertools
import math
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from soak.gateway import __main__ as command
from soak.gateway.callers import Call
from soak.gateway.conduct import Report
from soak.gateway.ends import UnframedEnds
from soak.gateway.fakes import Arrival
from soak.gateway.fakes import event_count
from soak.gateway.fakes import expected_event
from soak.gateway.fakes import Run
from soak.gateway.faults import plan
from soak.gateway.lag import LagMonitor
from soak.gateway.losses import Losses
from soak.gateway.processes import Gateway
from soak.gateway.runs import Troubles
from soak.gateway.runs import violations
from soak.gateway.unanswered import Unanswered

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


def formerly_failing_seeds() -> list[int]:
    """Return the seeds listed in ``seeds.txt``."""
    lines = SEEDS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def first_seed_with(kind: str, *, before: float) -> int:
    """Return the first seed that plans a fault of ``kind`` in its first seconds."""
    return next(
        seed
        for seed in itertools.count(1)
        if any(fault.kind == kind for fault in plan(seed, before))
    )


class Planning(TestCase):
    def planned(self, seed: int, seconds: float) -> list[tuple[float, str, float]]:
        found = plan(seed, seconds)
        return [(fault.at, fault.kind, fault.rng.random()) for fault in found]

    def test_same_seed_plans_same_faults(self):
        self.assertEqual(self.planned(7, 60.0), self.planned(7, 60.0))
        self.assertNotEqual(self.planned(7, 60.0), self.planned(8, 60.0))

    def test_longer_plan_starts_with_shorter_one(self):
        short = self.planned(7, 20.0)
        self.assertEqual(short, self.planned(7, 60.0)[: len(short)])


class Sources(TestCase):
    def test_changed_source_file_is_detected(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.patch(command, "ROOT", pathlib.Path(folder.name))
        source = pathlib.Path(folder.name) / "src" / "part.py"
        source.parent.mkdir()
        source.write_text("first")
        mtimes = command.source_mtimes()
        self.assertEqual(mtimes, command.source_mtimes())
        os.utime(source, (0, 0))
        self.assertNotEqual(mtimes, command.source_mtimes())


class LagMonitoring(TestCase):
    async def test_blocked_event_loop_is_reported(self):
        monitor = LagMonitor()
        watching = asyncio.create_task(monitor.watch())
        await asyncio.sleep(0.1)
        time.sleep(0.5)
        await asyncio.sleep(0.1)
        watching.cancel()
        self.assertEqual(1, len(monitor.delays))
        self.assertIn("held up itself 1 times", str(monitor))


class Overlap(TestCase):
    """Two engines at work on a run, with and without hold-ups and faults."""

    def found(self, *runs, held_up=(), links=(), disturbed_at=()):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Gateway("n", "a", "127.0.0.1:1", pathlib.Path(folder.name), "none")
        node.disturbed_at = list(disturbed_at)
        troubles = Troubles(list(held_up), {node: []}, {"e-1": list(links)})
        call = Call("q1", "talk", node, 0.0, True)
        return list(violations([call], runs, troubles))

    def run_at(self, server, began, ended, *, resumed=True):
        return Run("q1", server, "engines", began, resumed, ended)

    def test_overlap_of_over_400_ms_is_found(self):
        later = self.run_at("e-3", 2.0, 5.0)
        short = self.run_at("e-1", 1.0, 2.39, resumed=False)
        self.assertEqual([], self.found(short, later))
        long = self.run_at("e-1", 1.0, 2.42, resumed=False)
        (text,) = self.found(long, later)
        self.assertIn("q1 was at work at e-1 and at e-3 for 0.42 s", text)

    def test_only_measured_hold_ups_and_faults_excuse_an_overlap(self):
        runs = self.run_at("e-1", 1.0, 2.6, resumed=False), self.run_at("e-3", 2.0, 5.0)
        self.assertEqual([], self.found(*runs, held_up=[(2.1, 2.4)]))
        self.assertEqual(1, len(self.found(*runs, held_up=[(2.1, 2.2), (3.0, 4.0)])))
        self.assertEqual([], self.found(*runs, links=[(0.5, 2.1)]))
        self.assertEqual(1, len(self.found(*runs, links=[(0.5, 1.5)])))
        self.assertEqual([], self.found(*runs, disturbed_at=[2.2]))
        self.assertEqual(1, len(self.found(*runs, disturbed_at=[1.5, 2.8])))


class UnframedStreams(TestCase):
    """Ends of streams without framing, as the soak's own checks see them."""

    def call(self, events, *, complete, pause=0.0):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Gateway("n", "a", "127.0.0.1:1", pathlib.Path(folder.name), "none")
        body = b"".join(expected_event("q1", number) for number in range(events))
        return Call(
            *("q1", "talk", node, 1.0, True),
            status=200,
            complete=complete,
            body=body,
            ended=2.0,
            pause=pause,
        )

    def found(self, call, *, whole=True, gone=math.inf, links=()):
        run = Run("q1", "e-1", "engines", 1.0, False, 1.8, unframed=True, whole=whole)
        troubles = Troubles([], {call.node: []}, {"e-1": list(links)})
        return list(UnframedEnds([call], [run], troubles, {"e-1": gone}).violations())

    def test_stream_that_ends_as_complete_too_early_is_found(self):
        count = event_count("q1")
        self.assertEqual("", self.call(count, complete=True).response_error())
        self.assertEqual("", self.call(3, complete=False).response_error())
        error = self.call(3, complete=True).response_error()
        self.assertEqual(f"ended as complete after event 3 of {count}", error)

    def test_only_faults_excuse_a_whole_stream_that_is_broken_off(self):
        call = self.call(3, complete=False)
        self.assertEqual(1, len(self.found(call)))
        self.assertEqual(1, len(self.found(call, gone=9.0, links=[(4.0, 5.0)])))
        self.assertEqual([], self.found(call, whole=False))
        self.assertEqual([], self.found(call, gone=1.9))
        self.assertEqual([], self.found(call, links=[(1.5, 1.6)]))
        self.assertEqual([], self.found(self.call(3, complete=False, pause=1.2)))


class LostStreams(TestCase):
    """Streams that are broken off while their engines live, and what excuses it."""

    def found(self, *, sent=1.0, ended=2.0, stopped_at=(), links=(), held_up=(), **run):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Gateway("n", "a", "127.0.0.1:1", pathlib.Path(folder.name), "none")
        node.stopped_at = list(stopped_at)
        call = Call("q1", "talk", node, sent, True, status=200, ended=ended)
        runs = [Run("q1", "e-1", "engines", sent, False, ended, **run)]
        troubles = Troubles(list(held_up), {node: []}, {"e-1": list(links)})
        self.losses = Losses([call], runs, troubles)
        return list(self.losses.violations())

    def test_only_faults_excuse_a_stream_that_is_broken_off(self):
        (text,) = self.found(stopped_at=[1.5], silence=1.7)
        self.assertIn("broken off at n (stopping) after event 0, but e-1 lived", text)
        self.assertNotIn("stopping", *self.found(silence=1.7))
        self.assertEqual([], self.found(broke_off=True))
        self.assertEqual([], self.found(links=[(1.5, 1.6)]))
        self.assertEqual([], self.found(held_up=[(1.1, 1.5)]))
        self.assertEqual([], self.found(ended=6.9))

    def test_only_the_last_sixth_of_the_grace_period_excuses_it(self):
        self.assertEqual(1, len(self.found(sent=3.5, ended=7.4, stopped_at=[1.0])))
        self.assertEqual([], self.found(sent=3.5, ended=7.8, stopped_at=[1.0]))
        self.assertEqual(1, len(self.found(sent=4.5, ended=7.8, stopped_at=[1.0])))

    def test_silences_that_are_not_waited_for_are_counted(self):
        self.assertEqual([], self.found(silence=2.1))
        self.assertFalse(self.losses.counts)
        for report in (Report.PREEMPTED, Report.STANDING_STILL):
            self.assertEqual([], self.found(silence=1.7, report=report))
            self.assertEqual({report.value: 1}, self.losses.counts)


class RequestsAroundStops(TestCase):
    """Requests without a whole answer around a SIGTERM, and what excuses them."""

    def found(
        self,
        *runs,
        path="talk",
        sent=5.0,
        ended=17.5,
        arrived=True,
        held_up=(),
        gone=math.inf,
        trip=0.0,
        deadline=25.0,
    ):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        node = Gateway("n", "a", "127.0.0.1:1", pathlib.Path(folder.name), "none")
        node.stopped_at = [10.0]
        call = Call("q1", path, node, sent, True, ended=ended, trip=trip)
        call.whole_at, call.deadline = sent, deadline
        arrivals = [Arrival("q1", "e-1", "engines", sent)] * arrived
        ran = [Run("q1", "e-1", "engines", sent, False, end) for end in runs]
        troubles = Troubles(list(held_up), {node: []}, {})
        unanswered = Unanswered([call], arrivals, ran, troubles, {"e-1": gone})
        return list(unanswered.violations())

    def test_request_that_no_upstream_had_is_found(self):
        (text,) = self.found(arrived=False)
        self.assertIn("7.50 s after SIGTERM", text)
        self.assertIn("no upstream ran it", text)
        self.assertEqual(1, len(self.found(sent=13.5)))
        self.assertEqual([], self.found(arrived=False, ended=19.1, sent=18.0))

    def test_only_requests_that_crossed_the_close_unread_are_not_counted(self):
        crossed = {"sent": 13.0, "ended": 13.15}
        self.assertEqual([], self.found(**crossed, arrived=False))
        self.assertEqual(1, len(self.found(**crossed)))
        late = {"sent": 13.0, "ended": 13.35, "arrived": False}
        self.assertEqual(1, len(self.found(**late)))
        self.assertEqual([], self.found(**late, trip=0.2))
        self.assertEqual([], self.found(**late, held_up=[(13.0, 13.2)]))

    def test_only_work_in_the_last_sixth_excuses_early_requests(self):
        self.assertEqual([], self.found(17.4))
        self.assertEqual(1, len(self.found(16.6)))
        self.assertEqual([], self.found(17.4, sent=12.9))
        self.assertEqual(1, len(self.found(17.4, sent=13.1)))

    def test_upstreams_that_break_off_and_time_that_is_over_excuse_it(self):
        self.assertEqual([], self.found(13.0, ended=13.1, gone=12.9))
        self.assertEqual(1, len(self.found(13.0, ended=13.1, gone=13.2)))
        self.assertEqual([], self.found(ended=15.0, deadline=10.0))
        self.assertEqual(1, len(self.found(ended=14.8, deadline=10.0)))
        self.assertEqual([], self.found(path="bill", sent=11.0, ended=13.0))


class Soaking(TestCase):
    def test_short_soak_has_no_violation(self):
        found = soak(1, 0.25)
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertIn("violations: 0", found.stdout)

    def test_formerly_failing_seeds_have_no_violation(self):
        for seed in formerly_failing_seeds():
            found = soak(seed, 0.25)
            self.assertEqual(0, found.returncode, found.stdout + found.stderr)

    def test_known_bug_is_detected(self):
        seed = first_seed_with("configuration changed", before=5.0)
        found = soak(seed, 0.4, "--bug", "table")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertIn("was denied with 404", found.stdout)

    def test_nobody_notices_that_all_gateways_are_replaced(self):
        found = soak(1, 0.1, "--replacing", "--gateways", "3")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertIn("gateway replaced: 3", found.stdout)

    def test_gateway_without_graceful_stop_is_detected(self):
        found = soak(1, 0.1, "--replacing", "--gateways", "2", "--bug", "stop")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertIn("while nodes were replaced", found.stdout)

    def test_poison_request_crashes_few_engines(self):
        found = soak(901, 0.15, "--poison")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, "engines ended by one request: [1-6]\n")
        self.assertRegex(found.stdout, "engines ended by one part: [1-6]\n")

    def test_large_configurations_in_series_are_in_force_in_time(self):
        found = soak(1, 0.2, "--large", "--gateways", "6")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, "large configuration: [1-9]")

    def test_silent_neighbours_and_stops_with_kept_connections_harm_nobody(self):
        """Guards against requests that a stopping node reads and never answers, and
        against changes that a node learns late as its neighbours are silent."""
        found = soak(2, 0.3, "--silencing", "--gateways", "8")
        self.assertEqual(0, found.returncode, found.stdout)
        self.assertRegex(found.stdout, "hall paused: [1-9]")
        self.assertRegex(found.stdout, "kept connections stopped: [1-9]")

    def test_runs_that_move_are_not_at_work_at_two_engines(self):
        """Guards against a silent engine that works on beside the one that has taken
        over its run, and against runs that are begun twice for lack of an event."""
        found = soak(1, 0.1, "--handover")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"resumed from a copy: \d\d")

    def test_runs_at_two_engines_are_detected(self):
        for bug, sign in (
            ("lingering", r"was at work at e-\d+ and at e-\d+ for"),
            ("eventless", r"\(talk\) ran [2-9] times"),
        ):
            found = soak(1, 0.05, "--handover", "--bug", bug)
            self.assertEqual(1, found.returncode, found.stdout + found.stderr)
            self.assertRegex(found.stdout, sign)

    def test_streams_of_processes_that_end_are_not_taken_for_complete(self):
        """Guards against streams without framing that end as complete too early, and
        against true ends that are taken for breaks."""
        found = soak(2, 0.1, "--unframed")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"\d\d streams complete")

    def test_ends_of_connections_that_nobody_confirms_are_detected(self):
        found = soak(2, 0.05, "--unframed", "--bug", "unconfirmed")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"ended as complete after event \d+ of \d+")

    def test_streams_of_engines_that_fall_silent_are_not_lost(self):
        """Guards against streams that are given up although their engines live."""
        found = soak(2, 0.05, "--silent")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, "gateway stopped: [1-9]")

    def test_streams_lost_at_silent_engines_that_are_not_asked_are_detected(self):
        found = soak(2, 0.05, "--silent", "--bug", "hasty")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"but e-\d+ lived and would have gone on")

    def test_requests_are_answered_and_logged_around_stops_in_series(self):
        """Guards against requests without a whole answer, or without a line on their
        end, at gateways that stop beside full pools, engines that leave, slow links."""
        found = soak(3, 0.1, "--stopping")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, "gateway stopped: [2-9]")

    def test_requests_without_a_line_on_their_end_are_detected(self):
        found = soak(3, 0.1, "--stopping", "--bug", "unlogged")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"gateway-\d logged 0 ends of \w+")

    def test_new_callers_get_through_beside_idle_connections(self):
        found = soak(1, 0.15, "--idle")
        self.assertEqual(0, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, "crowds of idle connections: [1-9]")

    def test_gateways_that_forget_crashes_are_detected(self):
        found = soak(901, 0.15, "--poison", "--bug", "forget")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertIn("one request ended", found.stdout)
        self.assertIn("one part ended", found.stdout)

    def test_gateways_that_ignore_notices_are_detected(self):
        found = soak(1, 0.3, "--bug", "deaf")
        self.assertEqual(1, found.returncode, found.stdout + found.stderr)
        self.assertRegex(found.stdout, r"had asked gateway-\d for 1.5 s of back-off")

    def test_unknown_bug_is_refused_with_known_names(self):
        found = soak(1, 0.1, "--bug", "nonsense")
        self.assertEqual(2, found.returncode)
        self.assertIn("resume", found.stderr)
