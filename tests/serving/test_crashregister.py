"""Tests of the register of crashes and of the requests running at the time."""

from bankrack.decisions.poison import Crash
from bankrack.serving import crashregister
from bankrack.serving.crashregister import CrashRegister
from bankrack.serving.crashregister import RETENTION_SECONDS
from bankrack.serving.crashregister import RETEST_SECONDS
from bankrack.serving.crashregister import RETEST_STEP_SECONDS
from tests.base import TestCase


def crash(upstream: str, software: str = "1", *, early: bool = True) -> Crash:
    return Crash(upstream, software, early=early)


class Quarantine(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.register = CrashRegister(clock=lambda: self.now)

    def new_register(self) -> CrashRegister:
        return CrashRegister(clock=lambda: self.now)

    def test_crash_reported_by_two_nodes_counts_once(self):
        self.register.note_crash("f", crash("a"))
        self.register.take("f", [crash("a")], source="n-2")
        self.assertTrue(self.register.may_run_on("f", "1"))

    def test_crashes_seen_by_two_nodes_add_up(self):
        peer = self.new_register()
        peer.note_crash("f", crash("a"))
        self.register.note_crash("f", crash("b"))
        for fingerprint, crashes in peer.take_updates().items():
            self.register.take(fingerprint, crashes, source="n-2")
        self.assertFalse(self.register.may_run_on("f", "1"))
        self.assertEqual(["f"], self.register.quarantined())

    def test_order_of_reports_does_not_matter(self):
        reports = [[crash("a")], [crash("b")], [crash("a"), crash("c")]]
        for order in (reports, reports[::-1], reports * 2):
            register = self.new_register()
            for report in order:
                register.take("f", report, source="n")
            upstreams = sorted(c.upstream for c in register.crashes("f"))
            self.assertEqual(["a", "b", "c"], upstreams)

    def test_reports_of_other_nodes_are_not_forwarded(self):
        self.register.take("f", [crash("a")], source="n-2")
        self.assertFalse(self.register.has_updates.is_set())
        self.assertEqual({}, self.register.take_updates())

    def test_serving_clears_the_request_on_all_nodes(self):
        peer = self.new_register()
        for register in (self.register, peer):
            register.take("f", [crash("a"), crash("b")], source="n")
        peer.note_served("f", "1")
        for fingerprint, crashes in peer.take_updates().items():
            self.register.take(fingerprint, crashes, source="n-2")
        self.assertTrue(self.register.may_run_on("f", "1"))
        # An older report does not restore the quarantine.
        self.register.take("f", [crash("a"), crash("b")], source="n-3")
        self.assertTrue(self.register.may_run_on("f", "1"))

    def test_serving_by_other_software_does_not_clear_the_request(self):
        self.register.take("f", [crash("a"), crash("b")], source="n")
        self.register.note_served("f", "2")
        self.assertFalse(self.register.may_run_on("f", "1"))
        self.assertTrue(self.register.may_run_on("f", "2"))

    def test_first_crash_of_a_recently_served_request_is_cleared(self):
        """A frequent request runs on several upstreams that crash at the same time."""
        self.register.note_served("f", "1")
        self.register.note_crash("f", crash("a"))
        self.register.note_crash("f", crash("b"))
        self.assertTrue(self.register.may_run_on("f", "1"))
        self.register.note_crash("f", crash("c"))
        self.assertFalse(self.register.may_run_on("f", "1"))

    def test_only_one_crash_is_cleared_among_all_nodes(self):
        peer = self.new_register()
        peer.note_served("f", "1")
        self.register.note_served("f", "1")
        peer.note_crash("f", crash("a"))
        for fingerprint, crashes in peer.take_updates().items():
            self.register.take(fingerprint, crashes, source="n-2")
        self.register.note_crash("f", crash("b"))
        self.register.note_crash("f", crash("c"))
        self.assertFalse(self.register.may_run_on("f", "1"))

    def test_quarantine_ends_after_the_retention_period(self):
        self.register.take("f", [crash("a"), crash("b")], source="n")
        self.now += RETENTION_SECONDS + 1.0
        self.assertEqual([], self.register.quarantined())
        self.assertTrue(self.register.may_run_on("f", "1"))

    def test_histories_and_crashes_are_bounded(self):
        self.patch(crashregister, "MAX_HISTORIES", 5)
        self.patch(crashregister, "MAX_CRASHES", 3)
        for number in range(20):
            self.register.note_crash(f"f-{number}", crash("a"))
            self.register.note_crash("often", crash(f"a-{number}"))
        self.assertEqual(3, len(self.register.crashes("often")))
        known = [n for n in range(20) if self.register.crashes(f"f-{n}")]
        self.assertLessEqual(len(known), 5)

    def test_quarantine_is_unsaved_until_the_store_has_it(self):
        self.register.note_crash("f", crash("a"))
        self.assertEqual([], self.register.unsaved())
        self.register.note_crash("f", crash("b"))
        self.assertEqual(["f"], self.register.unsaved())
        self.register.apply_stored("f", [crash("a"), crash("b")])
        self.assertEqual([], self.register.unsaved())
        self.register.note_served("f", "1")
        self.assertEqual(["f"], self.register.unsaved())


def by(request: str, upstream: str) -> Crash:
    """Return a crash before the first event of one request with a part."""
    return Crash(upstream, "1", early=True, request=request)


class QuarantinedParts(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.register = CrashRegister(clock=lambda: self.now)

    def may_run(self, *parts: str, fingerprint: str = "other") -> bool:
        return self.register.may_run_on(fingerprint, "1", parts=parts)

    def quarantine(self, *parts: str) -> None:
        for request, upstream in (("x", "a"), ("y", "b")):
            for part in parts:
                self.register.note_crash(part, by(request, upstream))

    def test_part_is_refused_in_any_request(self):
        self.quarantine("part-1")
        self.assertFalse(self.may_run("part-0", "part-1"))
        self.assertTrue(self.may_run("part-0"))
        self.assertEqual(["part-1"], self.register.quarantined())

    def test_one_of_two_suspect_parts_may_run_until_it_is_known_which(self):
        self.quarantine("part-1", "part-2")
        self.assertFalse(self.may_run("part-1", "part-2"))
        self.assertTrue(self.may_run("part-1"))
        self.register.note_served("part-1", "1")
        self.assertFalse(self.may_run("part-2"))

    def test_success_before_clears_the_crashes_of_one_moment_only(self):
        """The upstreams of a hall crash together, with a common part on each."""
        self.register.note_served("part-1", "1")
        for number in range(4):
            self.register.note_crash("part-1", by(f"x{number}", f"a{number}"))
            self.now += 0.1
        self.assertTrue(self.may_run("part-1"))
        self.now += 1.0
        self.quarantine("part-1")
        self.assertFalse(self.may_run("part-1"))

    def test_node_where_the_part_is_served_objects(self):
        peer = CrashRegister(clock=lambda: self.now)
        peer.note_served("part-1", "1")
        for request, upstream in (("x", "a"), ("y", "b")):
            self.register.note_crash("part-1", by(request, upstream))
            crashes = self.register.take_updates()["part-1"]
            peer.take("part-1", crashes, source="n-1")
            objections = peer.object_to("part-1", crashes)
            self.register.take_objection("part-1", objections, source="n-2")
        self.assertTrue(self.may_run("part-1"))
        self.assertIn("part-1", self.register.take_updates())

    def test_success_with_other_software_is_no_objection(self):
        self.register.note_served("part-1", "2")
        self.assertEqual([], self.register.object_to("part-1", [by("x", "a")]))

    def test_one_request_is_retested_when_it_is_due(self):
        self.quarantine("part-1")
        self.assertFalse(self.register.take_retest("part-1", "f"))
        self.now += RETEST_SECONDS + 0.1
        self.assertTrue(self.register.take_retest("part-1", "f"))
        self.assertFalse(self.register.take_retest("part-1", "g"))
        self.assertTrue(self.may_run("part-1", fingerprint="f"))
        self.assertFalse(self.may_run("part-1", fingerprint="g"))

    def test_failed_retest_keeps_the_quarantine_and_a_success_ends_it(self):
        self.quarantine("part-1")
        self.now += RETEST_SECONDS + 0.1
        self.register.take_retest("part-1", "f")
        self.register.note_crash("part-1", by("f", "c"))
        self.assertFalse(self.may_run("part-1", fingerprint="f"))
        self.now += RETEST_SECONDS + 0.1
        self.assertTrue(self.register.take_retest("part-1", "g"))
        self.register.note_served("part-1", "1")
        self.assertTrue(self.may_run("part-1"))

    def test_nodes_of_lower_rank_retest_later(self):
        self.register.rank = lambda trait: 3
        self.quarantine("part-1")
        self.now += RETEST_SECONDS + 0.1
        self.assertFalse(self.register.take_retest("part-1", "f"))
        self.now += 3 * RETEST_STEP_SECONDS
        self.assertTrue(self.register.take_retest("part-1", "f"))

    def test_part_that_was_cleared_of_many_crashes_can_still_be_blamed(self):
        for number in range(2 * crashregister.MAX_CRASHES):
            self.register.note_served("part-1", "1")
            self.register.note_crash("part-1", by(f"x{number}", f"a{number}"))
        self.now += 10.0
        self.quarantine("part-1")
        self.assertFalse(self.may_run("part-1"))

    def test_requests_with_one_part_at_one_crash_are_bounded(self):
        for number in range(20):
            self.register.note_crash("part-1", by(f"x{number}", "a"))
        self.register.note_crash("part-1", by("y", "b"))
        self.assertFalse(self.may_run("part-1"))


class CrashedUpstreams(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.register = CrashRegister(clock=lambda: self.now)

    def test_crash_time_is_that_of_the_first_report(self):
        self.register.note_crash("f", crash("a"))
        self.now += 10.0
        self.register.take("g", [crash("a"), crash("b")], source="n-2")
        self.assertEqual(["a", "b"], self.register.crashed_since(99.0))
        self.assertEqual(["b"], self.register.crashed_since(105.0))

    def test_crashes_from_the_store_have_no_time(self):
        self.register.apply_stored("f", [crash("a")])
        self.assertEqual([], self.register.crashed_since(0.0))

    def test_crashed_upstreams_are_bounded(self):
        for number in range(2 * crashregister.MAX_CRASHED_UPSTREAMS):
            self.register.note_crash(f"f-{number}", crash(f"u-{number}"))
        self.assertEqual(
            crashregister.MAX_CRASHED_UPSTREAMS, len(self.register.crashed_since(0.0))
        )
