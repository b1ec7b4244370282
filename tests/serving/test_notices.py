"""Tests of the processing of the notices in upstreams' responses."""

import dataclasses
import math

from bankrack.serving.notices import BACKOFF_JITTER
from bankrack.serving.notices import LOG_INTERVAL_SECONDS
from bankrack.serving.notices import MAX_BACKOFF_SECONDS
from bankrack.serving.notices import MIN_RATE
from bankrack.serving.notices import Notice
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Load
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


class NoticesTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.notices = NoticeHandler(clock=lambda: self.now)
        record = UpstreamRecord("u", "s", "10.0.0.1:1", "a", slots=8)
        self.upstream = Upstream(record, self.now)


class Leaving(NoticesTestCase):
    def test_shutdown_is_recorded_from_the_first_response(self):
        self.notices.take(self.upstream, Notice(leaving=True), status=200, sent_at=0.0)
        self.assertTrue(self.upstream.leaving)
        self.assertEqual(100.0, self.upstream.leaving_at)

    def test_later_response_does_not_undo_a_shutdown(self):
        self.notices.take(self.upstream, Notice(leaving=True), status=500, sent_at=0.0)
        self.notices.take(self.upstream, Notice(), status=200, sent_at=0.0)
        self.assertTrue(self.upstream.leaving)

    def test_misdirected_response_is_ignored(self):
        self.notices.take(self.upstream, Notice(leaving=True), status=421, sent_at=0.0)
        self.assertFalse(self.upstream.leaving)


class LoadAndWarmUp(NoticesTestCase):
    def test_values_are_recorded_for_any_status(self):
        for status, waiting in ((200, 3), (503, 7), (500, 0)):
            notice = Notice(load=Load(waiting), cold_seconds=1.0 + waiting)
            self.notices.take(self.upstream, notice, status=status, sent_at=0.0)
            self.assertEqual(waiting, self.upstream.queue_length)
            self.assertEqual(101.0 + waiting, self.upstream.cold_until)

    def test_values_of_a_misdirected_response_are_ignored(self):
        notice = Notice(load=Load(7), cold_seconds=9.0)
        self.notices.take(self.upstream, notice, status=421, sent_at=0.0)
        self.assertEqual(0, self.upstream.queue_length)
        self.assertFalse(self.upstream.cold(100.0))

    def test_slowdown_is_recorded_with_its_time(self):
        notice = Notice(load=Load(0, 2.5))
        self.notices.take(self.upstream, notice, status=200, sent_at=0.0)
        self.assertEqual(2.5, self.upstream.slowdown)
        self.assertEqual(100.0, self.upstream.slowdown_at)

    def test_response_without_values_changes_nothing(self):
        self.notices.take(self.upstream, Notice(load=Load(3)), status=200, sent_at=0.0)
        self.notices.take(self.upstream, Notice(), status=200, sent_at=0.0)
        self.assertEqual(3, self.upstream.queue_length)


class BackOffs(NoticesTestCase):
    def backoff(self, seconds: float) -> float:
        """Apply a back-off; returns its end in seconds after the test's start."""
        self.notices.take(
            self.upstream, Notice(backoff_seconds=seconds), status=503, sent_at=0.0
        )
        return self.upstream.backoff_until - 100.0

    def test_backoff_has_bounded_jitter_and_is_never_shorter(self):
        for _ in range(50):
            self.upstream.backoff_until = 0.0
            duration = self.backoff(3.0)
            self.assertGreaterEqual(duration, 3.0)
            self.assertLessEqual(duration, 3.0 * (1.0 + BACKOFF_JITTER))

    def test_shorter_backoff_does_not_end_a_longer_one(self):
        duration = self.backoff(3.0)
        self.now += 1.0
        self.assertEqual(duration, self.backoff(0.5))
        self.assertGreaterEqual(self.backoff(5.0), 6.0)

    def test_success_does_not_end_a_backoff(self):
        duration = self.backoff(3.0)
        self.notices.take(self.upstream, Notice(), status=200, sent_at=0.0)
        self.assertEqual(100.0 + duration, self.upstream.backoff_until)

    def test_zero_and_excessive_backoffs(self):
        self.assertEqual(-100.0, self.backoff(0.0))
        self.assertLessEqual(self.backoff(1e9), 1.1 * MAX_BACKOFF_SECONDS)

    def test_backoff_elapses_while_the_vm_is_suspended(self):
        self.backoff(3.0)
        self.assertTrue(self.upstream.backing_off(102.9))
        self.assertFalse(self.upstream.backing_off(160.0))

    def test_backoff_applies_to_one_instance(self):
        self.backoff(30.0)
        upstreams = Upstreams(clock=lambda: self.now)
        upstreams.by_id["u"] = self.upstream
        upstreams.remove("u")
        upstreams.put(self.upstream.record)
        self.assertEqual([], upstreams.available_of("s"))
        self.assertEqual(1, len(upstreams.open_of("s")))
        restarted = dataclasses.replace(self.upstream.record, id="u.2", born=2)
        upstreams.put(restarted)
        self.assertEqual(["u.2"], [u.id for u in upstreams.available_of("s")])


class RateLimits(NoticesTestCase):
    def limit_after(
        self, rate: float | None, *, took: float = 0.1, request: str | None = "r"
    ) -> float:
        """Apply a response received now; returns the rate limit then in effect.

        :param took: seconds from the request to the response.
        """
        self.notices.take(
            self.upstream,
            Notice(rate_limit=rate),
            status=200,
            sent_at=self.now - took,
            request=request,
        )
        return self.upstream.limit.rate

    def test_rate_is_unlimited_by_default(self):
        self.assertEqual(math.inf, self.limit_after(math.inf))
        self.assertFalse(self.upstream.limit.bounded)

    def test_limit_holds_until_a_later_request_gets_none(self):
        self.assertEqual(1.8, self.limit_after(1.8))
        self.now += 0.05
        self.assertEqual(1.8, self.limit_after(math.inf, took=0.1))
        self.now += 60.0
        self.assertEqual(1.8, self.limit_after(math.inf, took=60.1))
        self.assertEqual(1.8, self.limit_after(math.inf, took=59.9))
        self.assertEqual(math.inf, self.limit_after(math.inf, took=59.5))

    def test_lower_limit_applies_at_once_and_higher_one_after_a_later_request(self):
        self.assertEqual(2.7, self.limit_after(2.7))
        self.now += 0.05
        self.assertEqual(1.8, self.limit_after(1.8, took=0.2))
        self.assertEqual(1.8, self.limit_after(2.7, took=0.2))
        self.now += 0.1
        self.assertEqual(2.7, self.limit_after(2.7, took=0.05))

    def test_response_received_before_the_last_request_is_outdated(self):
        self.limit_after(1.8)
        self.now += 1.0
        self.assertEqual(math.inf, self.limit_after(math.inf, took=0.5))
        late = RateLimit(rate=1.8, sent_at=99.9, received_at=100.0)
        self.assertFalse(self.upstream.note_limit(late))
        self.assertEqual(math.inf, self.upstream.limit.rate)

    def test_invalid_limit_changes_nothing(self):
        self.limit_after(1.8)
        self.now += 1.0
        self.assertEqual(1.8, self.limit_after(None))

    def test_control_response_may_set_but_not_lift_a_limit(self):
        self.assertEqual(1.8, self.limit_after(1.8, request=None))
        self.now += 1.0
        self.assertEqual(1.8, self.limit_after(math.inf, request=None))

    def test_limit_of_zero_is_raised_to_the_minimum(self):
        self.assertEqual(MIN_RATE, self.limit_after(0.0))

    def test_misdirected_response_is_ignored(self):
        notice = Notice(rate_limit=1.8)
        self.notices.take(self.upstream, notice, status=421, sent_at=0.0, request="r")
        self.assertFalse(self.upstream.limit.bounded)

    def test_each_change_is_logged_once(self):
        with self.assertLogs("bankrack", "INFO") as found:
            for rate in (1.8, 1.8, math.inf, math.inf):
                self.limit_after(rate, took=0.0)
                self.now += 1.0
        self.assertEqual(2, len(found.output))
        self.assertIn("limit=1.8 news=True", found.output[0])
        self.assertIn("limit=inf news=True", found.output[1])


class LogLines(NoticesTestCase):
    def lines(self, notice: Notice, count: int = 1) -> list[str]:
        with self.assertLogs("bankrack", "INFO") as found:
            for _ in range(count):
                self.notices.take(
                    self.upstream, notice, status=503, sent_at=0.0, request="r"
                )
        return found.output

    def test_line_has_the_notice_and_whether_it_is_news(self):
        [line] = self.lines(Notice(leaving=True, backoff_seconds=3.0))
        self.assertIn("event=upstream_told request=r upstream=u", line)
        self.assertIn("status=503 leaving=True backoff=3 news=True", line)

    def test_line_names_unreadable_headers(self):
        [line] = self.lines(Notice(unreadable=("Retry-After: soon",)))
        self.assertIn('unreadable="Retry-After: soon"', line)

    def test_change_is_logged_right_after_another_line(self):
        self.lines(Notice(unreadable=("x",)))
        self.assertEqual(1, len(self.lines(Notice(leaving=True), count=100)))

    def test_repeated_notices_are_logged_at_an_interval(self):
        self.assertEqual(1, len(self.lines(Notice(unreadable=("x",)), count=100)))
        self.now += LOG_INTERVAL_SECONDS
        self.assertEqual(1, len(self.lines(Notice(unreadable=("x",)), count=100)))

    def test_load_is_not_logged(self):
        with self.assertNoLogs("bankrack", "INFO"):
            notice = Notice(load=Load(3), cold_seconds=1.0)
            self.notices.take(self.upstream, notice, status=200, sent_at=0.0)
