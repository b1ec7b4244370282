"""Tests of choosing upstreams."""

import collections
import random

from bankrack.serving.choice import Chooser
from bankrack.serving.choice import MAX_FULL_SECONDS
from bankrack.serving.choice import MAX_SUSPICION_SECONDS
from bankrack.serving.choice import MIN_FULL_SECONDS
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Load
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

MEMORY = 30_000


class ChooserTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.chooser = Chooser(hall="a", clock=lambda: self.now, rng=random.Random(1))

    def upstream(self, name: str, *, used: int = 0, hall: str = "a") -> Upstream:
        record = UpstreamRecord(name, "s", f"10.0.0.1:{len(name)}", hall, slots=8)
        upstream = Upstream(record, self.now - 50)
        upstream.note_report(EngineReport(0, 0, used, MEMORY, taken=self.now))
        return upstream

    def first_choices(self, engines: list[Upstream]) -> collections.Counter[str]:
        demand = Demand(prompt=2000, output_limit=500)
        return collections.Counter(
            self.chooser.engines_by_room(engines, demand, memory=MEMORY)[0].id
            for _ in range(300)
        )

    def test_engine_with_room_goes_before_full_one(self):
        engines = [self.upstream("full", used=29_000), self.upstream("free")]
        self.assertGreater(self.first_choices(engines)["free"], 290)

    def test_choice_spreads_over_similar_engines(self):
        engines = [self.upstream("one", used=8000), self.upstream("other", used=6000)]
        self.assertGreater(min(self.first_choices(engines).values()), 60)

    def test_sends_since_report_count_as_used(self):
        engine = self.upstream("one")
        engine.note_sent(5000, self.now)
        self.assertEqual(5000, self.chooser.view(engine, MEMORY).used)
        self.now += 2.0
        engine.note_report(EngineReport(1, 0, 5000, MEMORY, taken=self.now))
        self.assertEqual(5000, self.chooser.view(engine, MEMORY).used)

    def test_suspected_upstream_is_avoided_until_suspicion_ends(self):
        upstreams = [self.upstream("bad"), self.upstream("good")]
        self.chooser.suspect(upstreams[0])
        chosen = {self.chooser.plain(upstreams).id for _ in range(50)}
        self.assertEqual({"good"}, chosen)
        self.now += 1.0
        chosen = {self.chooser.plain(upstreams).id for _ in range(50)}
        self.assertIn("bad", chosen)

    def test_upstream_that_rejects_is_rarely_chosen(self):
        """It rejects at once, so no request is ever in flight there."""
        rejecting, *others = (self.upstream(name) for name in ("r", "one", "two"))
        for upstream in others:
            upstream.in_flight = 3
        upstreams = [rejecting, *others]
        turned_away = 0
        for _ in range(1000):
            self.now += 0.01
            if self.chooser.plain(upstreams) is rejecting:
                turned_away += 1
                self.chooser.rejected(rejecting)
        self.assertLessEqual(turned_away, 11)

    def test_full_time_is_reset_when_upstream_serves(self):
        rejecting, other = self.upstream("r"), self.upstream("one")
        other.in_flight = 3
        for _ in range(20):
            self.chooser.rejected(rejecting)
        self.assertIs(other, self.chooser.plain([rejecting, other]))
        self.now += MAX_FULL_SECONDS
        self.assertIs(rejecting, self.chooser.plain([rejecting, other]))
        self.chooser.answered(rejecting, failed=False)
        self.chooser.rejected(rejecting)
        self.now += MIN_FULL_SECONDS
        self.assertIs(rejecting, self.chooser.plain([rejecting, other]))

    def test_least_loaded_is_chosen_when_all_are_full(self):
        upstreams = [self.upstream("r"), self.upstream("one")]
        upstreams[1].in_flight = 8
        for upstream in upstreams:
            self.chooser.rejected(upstream)
        self.assertIs(upstreams[0], self.chooser.plain(upstreams))

    def test_log_tells_for_how_long_an_upstream_is_avoided(self):
        bad = self.upstream("bad")
        with self.assertLogs("bankrack", "INFO") as lines:
            for _ in range(2):
                self.chooser.suspect(bad)
        self.assertIn("upstream_suspected upstream=bad failures=2", lines.output[1])
        self.assertIn("seconds=1", lines.output[1])

    def test_suspicion_time_is_bounded(self):
        engine = self.upstream("gone")
        for _ in range(3000):
            self.chooser.suspect(engine)
        self.assertAlmostEqual(self.now + MAX_SUSPICION_SECONDS, engine.suspect_until)

    def test_slow_upstream_is_avoided_while_its_figure_is_new(self):
        slow, other = self.upstream("slow"), self.upstream("other")
        slow.note_load(Load(queued=0, slowdown=3.0), self.now)
        self.assertEqual({"other"}, self.chosen(slow, other))
        self.now += 2.0
        self.assertEqual({"slow", "other"}, self.chosen(slow, other))

    def test_excluded_upstream_is_used_only_for_retests_or_alone(self):
        out, other = self.upstream("out"), self.upstream("other")
        out.exclude(
            self.now + 10.0, retest_at=self.now + 1.0, early_retest_at=self.now + 0.5
        )
        self.assertEqual({"other"}, self.chosen(out, other, may_retest=True))
        self.assertIs(out, self.chooser.plain([out]))
        self.now += 0.6
        self.assertEqual({"other"}, self.chosen(out, other, may_retest=True))
        other.note_load(Load(queued=4), self.now)
        self.assertEqual({"out"}, self.chosen(out, other, may_retest=True))
        other.note_load(Load(queued=0), self.now)
        self.now += 0.4
        self.assertEqual({"other"}, self.chosen(out, other, repeatable=True))
        self.assertEqual({"out"}, self.chosen(out, other, may_retest=True))
        out.in_flight = 1
        self.assertEqual({"other"}, self.chosen(out, other, may_retest=True))

    def chosen(self, *upstreams: Upstream, **options: bool) -> set[str]:
        return {self.chooser.plain(upstreams, **options).id for _ in range(50)}

    def test_only_upstream_is_chosen_though_suspected(self):
        upstream = self.upstream("only")
        self.chooser.suspect(upstream)
        self.assertIs(upstream, self.chooser.plain([upstream]))

    def test_avoided_upstream_is_chosen_if_it_is_the_only_one(self):
        upstream = self.upstream("only")
        self.assertIs(upstream, self.chooser.plain([upstream], avoid={"only"}))
        self.assertIsNone(self.chooser.plain([]))
