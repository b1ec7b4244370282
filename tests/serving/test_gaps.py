"""Tests of the measurement of gaps between events."""

from bankrack.serving.gaps import FIRST_EVENTS
from bankrack.serving.gaps import GapMeter
from bankrack.serving.gaps import REPORT_SECONDS
from tests.base import TestCase


class GapMeterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reports: list[tuple[float, float]] = []
        self.meter = GapMeter(
            "e", lambda meter: self.reports.append((meter.base, meter.longest))
        )
        self.now = 10.0

    def add(self, seconds: float) -> None:
        self.now += seconds
        self.meter.add(seconds, self.now)

    def test_base_gap_is_that_without_prompts_beside_the_stream(self):
        for number in range(40):
            self.add(0.12 if number % 2 else 0.03)
        self.assertEqual(0.03, self.meter.base)
        self.assertEqual(0.12, self.meter.longest)

    def test_first_report_follows_a_few_events_and_others_at_intervals(self):
        for _ in range(FIRST_EVENTS - 1):
            self.add(0.03)
        self.assertEqual([], self.reports)
        self.add(0.03)
        self.assertEqual([(0.03, 0.03)], self.reports)
        for _ in range(int(REPORT_SECONDS / 0.03) + 2):
            self.add(0.03)
        self.assertEqual(2, len(self.reports))

    def test_short_stream_reports_nothing(self):
        self.add(0.03)
        self.meter.report(self.now)
        self.assertEqual([], self.reports)
        self.assertEqual(0.0, GapMeter("e").base)
