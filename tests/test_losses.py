"""Tests of the causes of failed requests as read from logs."""

from benchmarks.losses import Day
from benchmarks.losses import TIMED_OUT

from tests.base import TestCase

LINE = "  1.5 n-1 time=2026-01-01 level=INFO event=%s request=%s %s"


class Causes(TestCase):
    def causes(self, *rows: tuple[str, str, str]) -> dict[str, int]:
        return dict(Day(LINE % row for row in rows).causes())

    def test_run_without_end_is_lost_with_its_node(self):
        found = self.causes(("run_sent", "r", "outcome=200 elapsed=0.1"))
        self.assertEqual({"node ended under it": 1}, found)

    def test_interrupted_stream_has_cause_by_copy(self):
        cut = 'outcome="stream_interrupted (ran): gone" elapsed=3'
        found = self.causes(
            ("run_sent", "a", "outcome=200 elapsed=0.1"),
            ("request_ended", "a", cut),
            ("run_sent", "b", "outcome=200 backup=e-2 elapsed=0.1"),
            ("resume_refused", "b", "outcome=budget elapsed=3"),
            ("request_ended", "b", cut),
        )
        wanted = {
            "engine ended without a copy": 1,
            "engine ended, copy refused (budget)": 1,
        }
        self.assertEqual(wanted, found)

    def test_upstream_errors_and_denials_are_distinguished(self):
        found = self.causes(
            ("request_ended", "a", 'outcome="200 after 1 sends" elapsed=0.1'),
            ("request_ended", "b", 'outcome="500 after 2 sends" elapsed=0.1'),
            ("request_ended", "c", 'outcome="not_found (not_run): x" elapsed=0.1'),
            ("request_ended", "d", 'outcome="deadline_exceeded (unknown): x"'),
        )
        self.assertEqual({"upstreams failed it": 1, TIMED_OUT: 1}, found)

    def test_late_first_event_has_cause_of_delay(self):
        whole = 'outcome="whole, 1 sends, 0 resumes" elapsed=9'
        found = self.causes(
            ("place_kept", "a", "outcome=ok elapsed=1.6"),
            ("run_sent", "a", "outcome=200 elapsed=2.0"),
            ("request_ended", "a", whole),
            ("place_kept", "b", "outcome=ok elapsed=0.1"),
            ("run_sent", "b", "outcome=200 elapsed=2.0"),
            ("request_ended", "b", whole),
        )
        wanted = {"late: waited for a place": 1, "late: its engine was slow": 1}
        self.assertEqual(wanted, found)


class Pauses(TestCase):
    def test_pauses_have_causes(self):
        fields = (
            "first_event=0.4 events=90 between_events=%s base_gap=%s "
            "longest_pause=%s pause_moved=%s stood_still=%s"
        )
        rows = [
            (0.03, 0.03, 0.1, False, 0),
            (0.03, 0.03, 0.2, False, 0.02),
            (0.03, 0.03, 0.3, True, 0.12),
            (0.03, 0.03, 1.1, False, 0.9),
            (0.06, 0.05, 0.25, False, 0.07),
            (0.06, 0, 0.25, False, 0.07),
        ]
        lines = (
            LINE % ("stream_paced", f"r-{number}", fields % row)
            for number, row in enumerate(rows)
        )
        wanted = {
            "a prompt was read beside it on another engine": 1,
            "the run changed its engine": 1,
            "its engine stood still, or preempted it": 1,
            "a prompt was read beside it on a slow engine": 1,
            "unknown": 1,
        }
        self.assertEqual(wanted, dict(Day(lines).pauses()))


class Paces(TestCase):
    def test_only_long_streams_are_counted(self):
        fields = "first_event=0.4 events=%d between_events=0.03"
        day = Day(
            LINE % ("stream_paced", name, fields % events)
            for name, events in (("a", 3), ("b", 90))
        )
        self.assertEqual([0.03], day.paces())
