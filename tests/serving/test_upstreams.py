"""Tests of the registry of upstreams."""

from bankrack.serving.registry import MAX_REMOVED
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Load
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


def record(upstream_id: str, hall: str = "a", **more) -> UpstreamRecord:
    return UpstreamRecord(upstream_id, "s", "10.0.0.1:1", hall, slots=8, **more)


class Halls(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 1.0
        self.upstreams = Upstreams(clock=lambda: self.now)
        self.upstreams.put(record("x", "a"))
        self.upstreams.put(record("y", "b"))

    def open_ids(self) -> set[str]:
        return {upstream.id for upstream in self.upstreams.open_of("s")}

    def test_upstreams_in_an_evacuated_hall_accept_no_new_work(self):
        self.upstreams.evacuate("a")
        self.assertEqual({"y"}, self.open_ids())

    def test_upstreams_in_an_evacuated_hall_are_not_leaving(self):
        self.upstreams.evacuate("a")
        self.assertFalse(self.upstreams.by_id["x"].leaving)

    def test_upstream_joining_an_evacuated_hall_accepts_no_work(self):
        self.upstreams.evacuate("a")
        self.upstreams.put(record("z", "a"))
        self.assertEqual({"y"}, self.open_ids())

    def test_hall_is_used_after_its_evacuation(self):
        self.upstreams.evacuate("a")
        self.upstreams.end_evacuation("a")
        self.assertEqual({"x", "y"}, self.open_ids())


class Instances(TestCase):
    def report(self, born: int | None) -> EngineReport:
        return EngineReport(1, 0, 500, 1000, taken=2.0, born=born)

    def test_report_of_another_instance_is_dropped(self):
        upstreams = Upstreams(clock=lambda: 1.0)
        upstreams.put(record("x.2", name="x", born=2))
        engine = upstreams.by_id["x.2"]
        self.assertFalse(engine.note_report(self.report(1)))
        self.assertIsNone(engine.report)
        self.assertTrue(engine.note_report(self.report(2)))
        self.assertEqual(500, engine.report.used)

    def test_report_without_start_time_is_stored(self):
        upstreams = Upstreams(clock=lambda: 1.0)
        upstreams.put(record("x"))
        self.assertTrue(upstreams.by_id["x"].note_report(self.report(None)))


class Leaving(TestCase):
    def setUp(self):
        super().setUp()
        self.upstreams = Upstreams(clock=lambda: 1.0)
        self.upstreams.put(record("x"))
        self.upstreams.by_id["x"].note_leaving(0.5)

    def test_updated_entry_does_not_undo_a_shutdown(self):
        self.upstreams.put(record("x"))
        self.upstreams.put(record("x", cold_seconds=1.0))
        self.assertEqual([], self.upstreams.open_of("s"))

    def test_expired_and_restored_entry_does_not_undo_a_shutdown(self):
        self.upstreams.remove("x")
        self.assertEqual("leaving", self.upstreams.put(record("x")))
        self.assertEqual([], self.upstreams.open_of("s"))
        self.assertEqual(0.5, self.upstreams.by_id["x"].leaving_at)

    def test_new_instance_starts_with_a_new_state(self):
        self.upstreams.note_restart("x")
        self.upstreams.remove("x")
        self.assertEqual("joined", self.upstreams.put(record("x.2", name="x", born=2)))
        self.assertEqual(1, len(self.upstreams.open_of("s")))

    def test_removed_upstreams_are_bounded(self):
        for number in range(MAX_REMOVED + 10):
            self.upstreams.put(record(f"y{number}"))
            self.upstreams.remove(f"y{number}")
        self.assertEqual(MAX_REMOVED, len(self.upstreams._removed_by_id))


class WarmUp(TestCase):
    def test_rewritten_entry_restarts_the_warm_up(self):
        now = [1.0]
        upstreams = Upstreams(clock=lambda: now[0])
        upstreams.put(record("x", cold_seconds=2.0))
        engine = upstreams.by_id["x"]
        self.assertTrue(engine.cold(2.9))
        self.assertFalse(engine.cold(3.1))
        now[0] = 10.0
        upstreams.put(record("x", cold_seconds=2.0))
        self.assertTrue(engine.cold(11.0))
        upstreams.put(record("x"))
        self.assertFalse(engine.cold(11.0))


class Uneven(TestCase):
    def test_only_upstreams_of_the_service_count(self):
        upstreams = Upstreams(clock=lambda: 1.0)
        upstreams.put(UpstreamRecord("x", "s", "10.0.0.1:1", "a", slots=8))
        upstreams.put(UpstreamRecord("y", "other", "10.0.0.1:1", "a", slots=8))
        upstreams.by_id["y"].note_load(Load(0, slowdown=1.6), 1.0)
        self.assertFalse(upstreams.uneven("s"))
        self.assertTrue(upstreams.uneven("other"))
