"""Tests of judging upstreams by the outcomes of all nodes' requests."""

import random
import typing as t

from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import Healthy
from bankrack.decisions.outliers import judge
from bankrack.decisions.outliers import Outcome
from bankrack.decisions.outliers import Verdict
from tests.base import TestCase

NODES = 61
HALLS = ("a", "b", "c")


def outcomes(text: str) -> list[Outcome]:
    """Return outcomes 10 ms apart: ``x1`` for a failure at node 1, ``o1`` if served.

    ``e1`` is a 5xx answer; ``x1/r`` failed with request ``r``.
    """
    found = []
    for n, entry in enumerate(text.split()):
        name, _, request = entry.partition("/")
        kind, node = name[0], name[1:]
        hall = HALLS[int(node) % 3]
        found.append(Outcome(0.01 * n, node, hall, kind != "o", kind == "e", request))
    return found


def judged(
    text: str,
    *,
    excluded: int = 0,
    upstreams: int = 3,
    served_requests: t.Collection[str] = (),
) -> Verdict:
    return judge(
        outcomes(text),
        now=1.0,
        excluded=excluded,
        upstreams=upstreams,
        served_requests=served_requests,
    )


class JudgeTest(TestCase):
    def test_failures_of_two_nodes_exclude_an_upstream(self):
        self.assertEqual(Exclude(("1", "2"), 2, 0), judged("o3 o4 x1 x2"))
        self.assertIsInstance(judged("x1 x1 o2 o2 x2"), Exclude)

    def test_three_5xx_answers_exclude_an_upstream(self):
        self.assertEqual(Healthy(), judged("e1 e2"))
        self.assertEqual(Exclude(("1", "2", "3"), 3, 0), judged("e1 e2 e3"))

    def test_one_node_does_not_exclude_an_upstream(self):
        self.assertEqual(Healthy(), judged("x1 x1 x1 x1 x1 x1"))

    def test_served_requests_outweigh_failures(self):
        self.assertEqual(Healthy(), judged("x1 o3 o4 o5 x2 o3 o4 o5 x1"))

    def test_at_most_half_of_the_upstreams_are_excluded(self):
        self.assertEqual(Healthy(), judged("x1 x2", excluded=1, upstreams=3))
        self.assertIsInstance(judged("x1 x2", excluded=1, upstreams=4), Exclude)
        self.assertEqual(Healthy(), judged("x1 x2", upstreams=1))

    def test_hall_whose_nodes_are_served_is_exempt(self):
        """The link between two halls and the upstream is bad."""
        verdict = judged("x1 o0 x2 o3 x4 o6 x5 o9")
        self.assertEqual(Exclude(("1", "2", "4", "5"), 4, 0, frozenset("a")), verdict)

    def test_hall_is_not_exempt_if_nodes_of_failing_halls_are_served_too(self):
        self.assertEqual(Healthy(), judged("x1 o0 o2 o3 o1 x2 o6 o9 x4 o4"))

    def test_hall_that_was_served_before_the_failures_is_not_exempt(self):
        verdict = judged("x1 o0 o3 o6 o9 o2 o4 x2 x1")
        self.assertEqual(Exclude(("1", "2"), 2, 0), verdict)

    def test_request_that_is_sent_again_counts_once(self):
        self.assertEqual(Healthy(), judged("x1/bad x2/bad x3/bad x4/bad"))
        self.assertEqual(Healthy(), judged("e1/bad e2/bad e3/bad x4/bad"))
        self.assertEqual(Healthy(), judged("x1/bad x2/bad x1/other"))
        self.assertIsInstance(judged("x1/bad x2/bad x3/other"), Exclude)

    def test_request_that_is_served_elsewhere_counts_each_time(self):
        text = "x1/same x2/same"
        self.assertEqual(Healthy(), judged(text, served_requests={"other"}))
        self.assertIsInstance(judged(text, served_requests={"same"}), Exclude)

    def test_old_outcomes_do_not_count(self):
        found = judge(outcomes("x1 x2"), now=10.0, excluded=0, upstreams=3)
        self.assertEqual(Healthy(), found)


class ReplayTest(TestCase):
    """61 nodes send 20 requests a second to one of three upstreams."""

    def failures_until_excluded(self, fraction: float, *, seed: int) -> int | None:
        """Return the failures until the exclusion; ``None`` if 20 s pass without."""
        draw = random.Random(seed)
        seen: list[Outcome] = []
        for n in range(400):
            node = draw.randrange(NODES)
            failed = draw.random() < fraction
            seen.append(Outcome(n / 20, f"n-{node}", HALLS[node % 3], failed))
            verdict = judge(seen, now=n / 20, excluded=0, upstreams=3)
            if failed and isinstance(verdict, Exclude):
                return sum(outcome.failed for outcome in seen)
        return None

    def test_bad_request_of_one_caller_excludes_no_quiet_upstream(self):
        """Three requests a second at one of two upstreams, half of them a bad one."""
        draw = random.Random(1)
        seen: list[Outcome] = []
        for n in range(600):
            node, is_bad = draw.randrange(NODES), draw.random() < 0.5
            request = "bad" if is_bad else f"r-{n}"
            hall = HALLS[node % 3]
            seen.append(Outcome(n / 3, f"n-{node}", hall, is_bad, False, request))
            verdict = judge(seen, now=n / 3, excluded=0, upstreams=2)
            self.assertEqual(Healthy(), verdict)

    def test_upstream_that_fails_all_is_excluded_after_two_failures(self):
        found = [self.failures_until_excluded(1.0, seed=seed) for seed in range(50)]
        self.assertLessEqual(max(found), 3)

    def test_upstream_that_loses_few_answers_is_seldom_excluded(self):
        found = [self.failures_until_excluded(0.03, seed=seed) for seed in range(50)]
        self.assertLess(sum(count is not None for count in found), 25)

    def test_upstream_that_fails_two_of_five_is_excluded(self):
        found = [self.failures_until_excluded(0.4, seed=seed) for seed in range(50)]
        self.assertNotIn(None, found)
