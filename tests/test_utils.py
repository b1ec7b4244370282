"""Tests of backoff and sliding-window maximum."""

from bankrack.utils import backoff_seconds
from bankrack.utils import WindowMaximum
from tests.base import TestCase


class TestBackoff(TestCase):
    def test_backoff_doubles_up_to_maximum(self):
        delays = [backoff_seconds(n, first=0.5, maximum=4.0) for n in range(5)]
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0], delays)

    def test_thousands_of_failures_do_not_overflow(self):
        """As while the store is unavailable for an hour."""
        self.assertEqual(4.0, backoff_seconds(5000, first=0.5, maximum=4.0))


class TestWindowMaximum(TestCase):
    def test_maximum_is_kept_for_length_of_window(self):
        now = 0.0
        peak = WindowMaximum(10.0, clock=lambda: now)
        self.assertEqual(195, peak.observe(195))
        now = 9.0
        self.assertEqual(195, peak.observe(3))
        now = 11.0
        self.assertEqual(190, peak.observe(190))
        now = 30.0
        self.assertEqual(4, peak.observe(4))
