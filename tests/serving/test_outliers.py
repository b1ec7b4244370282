"""Tests of the monitor of failing upstreams, on a clock of their own."""

import math
import typing as t

from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import MAX_RETEST_SECONDS
from bankrack.decisions.outliers import MIN_RETEST_SECONDS
from bankrack.decisions.outliers import Outcome
from bankrack.decisions.outliers import PROBATION_SECONDS
from bankrack.decisions.outliers import RETESTS_TO_READMIT
from bankrack.decisions.outliers import WINDOW_SECONDS
from bankrack.metrics import GatewayMetrics
from bankrack.serving.exclusions import Exclusion
from bankrack.serving.exclusions import MAX_TESTERS
from bankrack.serving.outcomes import MAX_OUTCOMES
from bankrack.serving.outcomes import MAX_SERVED_AGES
from bankrack.serving.outcomes import MAX_UPSTREAMS
from bankrack.serving.outliers import MAX_REPORTED_FAILURES
from bankrack.serving.outliers import OutlierMonitor
from bankrack.serving.outliers import PEER_SUSPICION_SECONDS
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

VERDICT = Exclude(("n-1", "n-2"), 2, 0)


class MonitorTest(TestCase):
    """Four upstreams of 6 slots, of which two may be excluded."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.upstreams = Upstreams(clock=lambda: self.now)
        for name in ("u-1", "u-2", "u-3", "u-4"):
            self.upstreams.put(UpstreamRecord(name, "s", "10.0.0.2:1", "a", 6))
        self.upstream = self.upstreams.by_id["u-1"]
        self.members = ["n-1"]
        self.monitor = self.new_monitor("n-1")

    def new_monitor(self, name: str) -> OutlierMonitor:
        return OutlierMonitor(
            name,
            "a",
            lambda: self.members,
            self.upstreams,
            GatewayMetrics(),
            clock=lambda: self.now,
        )

    def exclude(self, upstream_id: str = "u-1", *, failed_retests: int = 0) -> None:
        """Apply an exclusion by another node, retested after 0.5 s."""
        left = MIN_RETEST_SECONDS + PROBATION_SECONDS
        exclusion = Exclusion(VERDICT, failed_retests, left)
        self.monitor.take_exclusion(upstream_id, exclusion)

    def exclusion(self) -> Exclusion:
        found = self.monitor.exclusion("u-1")
        assert found is not None
        return found


class OwnFailures(MonitorTest):
    def reported(self) -> list[str]:
        return list(self.monitor.take_pending().failed_by_id)

    def test_failure_is_reported_once(self):
        self.monitor.note_failed(self.upstream, answered=True)
        self.assertTrue(self.monitor.has_updates.is_set())
        pending = self.monitor.take_pending()
        self.assertTrue(pending.failed_by_id["u-1"].answered)
        self.assertFalse(self.monitor.has_updates.is_set())
        self.assertEqual([], self.reported())

    def test_few_failures_a_second_are_reported(self):
        for _ in range(MAX_REPORTED_FAILURES):
            self.monitor.note_failed(self.upstream)
            self.assertEqual(["u-1"], self.reported())
        self.now += 0.5
        self.monitor.note_failed(self.upstream)
        self.assertEqual([], self.reported())
        self.now += 0.5
        self.monitor.note_failed(self.upstream)
        self.assertEqual(["u-1"], self.reported())

    def test_failures_that_can_exclude_nothing_are_not_reported(self):
        self.exclude("u-2")
        self.monitor.note_failed(self.upstream)
        self.assertEqual(["u-1"], self.reported())
        self.exclude("u-3")
        self.monitor.note_failed(self.upstream)
        self.assertEqual([], self.reported())

    def test_leaving_upstream_is_not_reported(self):
        self.upstream.note_leaving(self.now)
        self.monitor.note_failed(self.upstream)
        self.assertEqual([], self.reported())

    def test_broken_connection_of_an_overloaded_upstream_is_no_failure(self):
        self.upstream.queue_length = 3
        self.monitor.note_failed(self.upstream)
        self.upstream.queue_length = 2
        self.upstream.full_until = self.now + 0.1
        self.monitor.note_failed(self.upstream)
        self.assertEqual([], self.reported())
        self.monitor.note_failed(self.upstream, answered=True)
        self.assertEqual(["u-1"], self.reported())

    def test_unreachable_upstream_that_is_not_excluded_is_not_reported(self):
        self.monitor.note_unreachable(self.upstream)
        self.assertEqual([], self.reported())

    def test_requests_served_before_the_first_failure_are_not_kept(self):
        self.monitor.note_served(self.upstream)
        self.assertEqual([], self.monitor.served_ages("u-1"))
        self.monitor.note_failed(self.upstream)
        self.assertEqual([], self.monitor.served_ages("u-1"))
        for _ in range(MAX_SERVED_AGES + 1):
            self.monitor.note_served(self.upstream)
        self.now += 1.0
        self.assertEqual([1.0] * MAX_SERVED_AGES, self.monitor.served_ages("u-1"))
        self.now += 2.0
        self.assertEqual([], self.monitor.served_ages("u-1"))

    def test_outcomes_and_upstreams_are_bounded(self):
        for _ in range(MAX_OUTCOMES + 1):
            self.monitor.note_failed(self.upstream)
        self.assertEqual(MAX_OUTCOMES, self.monitor.describe()[0]["failures"])
        for number in range(MAX_UPSTREAMS):
            name = f"v-{number}"
            self.upstreams.put(UpstreamRecord(name, "s", "10.0.0.2:1", "a", 6))
            self.monitor.note_failed(self.upstreams.by_id[name])
        described = {d["upstream"] for d in self.monitor.describe()}
        self.assertEqual(MAX_UPSTREAMS, len(described))
        self.assertNotIn("u-1", described)

    def test_5xx_of_the_same_run_speaks_against_an_engine_once(self):
        for request, expected in (("a", True), ("b", True), ("a", False), ("", True)):
            self.assertEqual(expected, self.monitor.note_run_error(request))
        self.assertTrue(self.monitor.note_run_error(""))
        self.now += WINDOW_SECONDS
        self.assertTrue(self.monitor.note_run_error("a"))


class PeerFailures(MonitorTest):
    def fail(self, upstream_id: str, reporter: str = "n-2", **more: t.Any) -> None:
        self.monitor.take_failure(
            upstream_id, age=0.1, reporter=reporter, hall="a", **more
        )

    def suspected(self) -> list[str]:
        every = self.upstreams.of("s")
        return [u.id for u in every if u.peer_suspected(self.now)]

    def test_first_failure_of_a_peer_keeps_requests_away_for_a_moment(self):
        self.fail("u-1")
        self.assertEqual(["u-1"], self.suspected())
        self.now += PEER_SUSPICION_SECONDS
        self.assertEqual([], self.suspected())

    def test_peer_that_fails_again_and_again_keeps_them_away_once(self):
        self.exclude("u-2")
        self.fail("u-1")
        self.now += 1.0
        self.fail("u-1")
        self.assertEqual([], self.suspected())
        self.fail("u-1", "n-3")
        self.assertEqual(["u-1"], self.suspected())
        self.now += PEER_SUSPICION_SECONDS / 2
        self.fail("u-1", "n-4")
        self.now += PEER_SUSPICION_SECONDS / 2
        self.assertEqual(["u-1"], self.suspected())

    def test_single_5xx_keeps_none_away(self):
        self.fail("u-1", answered=True)
        self.assertEqual([], self.suspected())

    def test_at_most_half_are_avoided(self):
        self.exclude("u-1")
        self.fail("u-2")
        self.fail("u-3")
        self.assertEqual(["u-2"], self.suspected())

    def test_failures_of_two_nodes_exclude_an_upstream_unless_others_are_served(self):
        self.fail("u-1")
        self.monitor.note_failed(self.upstream)
        self.monitor.take_pending()
        served = [Outcome(self.now - 0.05, f"n-{n}", "a", False) for n in range(3, 7)]
        self.monitor.judge("u-1", served)
        self.assertIsNone(self.monitor.exclusion("u-1"))
        self.monitor.judge("u-1", ())
        self.assertEqual(VERDICT, self.exclusion().verdict)
        self.assertEqual({"u-1"}, self.monitor.take_pending().changed)
        self.monitor.judge("u-1", ())
        self.assertEqual(set(), self.monitor.take_pending().changed)

    def test_same_request_of_two_nodes_excludes_once_it_is_served_elsewhere(self):
        self.fail("u-1", request="same")
        self.monitor.note_failed(self.upstream, request="same")
        self.monitor.judge("u-1", ())
        self.assertIsNone(self.monitor.exclusion("u-1"))
        self.monitor.note_served(self.upstreams.by_id["u-2"], request="same")
        self.monitor.judge("u-1", ())
        self.assertIsNotNone(self.monitor.exclusion("u-1"))
        self.now += WINDOW_SECONDS
        self.assertFalse(self.monitor.has_served("same"))


class Retests(MonitorTest):
    def setUp(self):
        super().setUp()
        self.exclude()

    def wait(self) -> None:
        self.now = self.upstream.retest_at

    def test_failed_retests_double_the_pause(self):
        pauses = []
        for _ in range(4):
            self.wait()
            self.monitor.note_unreachable(self.upstream)
            self.assertEqual({"u-1"}, self.monitor.take_pending().changed)
            pauses.append(self.exclusion().retest_in)
        self.assertEqual([1.0, 2.0, MAX_RETEST_SECONDS, MAX_RETEST_SECONDS], pauses)

    def test_failure_before_a_retest_is_due_extends_nothing(self):
        self.now += MIN_RETEST_SECONDS / 2
        self.monitor.note_failed(self.upstream)
        self.assertEqual(0, self.exclusion().failed_retests)
        self.assertEqual(set(), self.monitor.take_pending().changed)

    def test_upstream_that_served_meanwhile_is_retested_soon(self):
        self.exclude(failed_retests=3)
        self.wait()
        self.monitor.note_served(self.upstream)
        self.monitor.note_failed(self.upstream)
        self.assertEqual(1, self.exclusion().failed_retests)

    def test_served_retests_end_the_exclusion(self):
        self.monitor.note_served(self.upstream)
        self.assertEqual([], self.monitor.take_pending().served)
        self.wait()
        self.monitor.note_failed(self.upstream)
        self.wait()
        for _ in range(RETESTS_TO_READMIT - 1):
            self.monitor.note_served(self.upstream)
        self.assertEqual(["u-1"] * 2, self.monitor.take_pending().served)
        self.monitor.note_served(self.upstream)
        self.assertEqual(["u-1"], self.monitor.take_pending().readmitted)
        self.assertIsNone(self.monitor.exclusion("u-1"))
        self.assertEqual(math.inf, self.upstream.retest_at)
        self.assertEqual([], self.monitor.describe())

    def test_retests_that_others_serve_count(self):
        for _ in range(RETESTS_TO_READMIT - 1):
            self.monitor.take_served_retest("u-1")
        self.exclude()
        for _ in range(RETESTS_TO_READMIT - 1):
            self.monitor.take_served_retest("u-1")
        self.assertIsNotNone(self.monitor.exclusion("u-1"))
        self.monitor.take_served_retest("u-1")
        self.assertIsNone(self.monitor.exclusion("u-1"))

    def test_only_few_nodes_retest(self):
        self.members = [f"n-{n}" for n in range(4 * MAX_TESTERS)]
        testers = 0
        for name in self.members:
            self.upstream.readmit()
            self.monitor = self.new_monitor(name)
            self.exclude()
            testers += math.isfinite(self.upstream.retest_at)
        self.assertEqual(MAX_TESTERS, testers)

    def test_exclusion_ends_by_time(self):
        self.now += MIN_RETEST_SECONDS + PROBATION_SECONDS
        self.assertIsNone(self.monitor.exclusion("u-1"))
        self.monitor.note_served(self.upstream)
        self.assertEqual([], self.monitor.take_pending().served)


class PeerExclusions(MonitorTest):
    def test_nodes_of_an_exempt_hall_go_on(self):
        verdict = Exclude(("n-1", "n-2"), 2, 0, frozenset("a"))
        self.monitor.take_exclusion("u-1", Exclusion(verdict, 0, 10.0))
        self.assertIsNone(self.monitor.exclusion("u-1"))

    def test_only_a_newer_state_of_an_exclusion_is_adopted(self):
        for state in (2, 1, 3):
            self.exclude(failed_retests=state)
        self.assertEqual(3, self.exclusion().failed_retests)
        self.exclude(failed_retests=1)
        self.assertEqual(3, self.exclusion().failed_retests)

    def test_state_dump_names_recent_failures_and_who_excluded(self):
        self.monitor.note_failed(self.upstream)
        self.monitor.note_served(self.upstream)
        self.assertEqual([1], [d["failures"] for d in self.monitor.describe()])
        self.now += WINDOW_SECONDS
        self.assertEqual([], self.monitor.describe())
        self.exclude()
        [described] = self.monitor.describe()
        self.assertEqual(VERDICT.reporters, described["excluded_by"])
        self.assertEqual(MIN_RETEST_SECONDS, described["retest_in"])
