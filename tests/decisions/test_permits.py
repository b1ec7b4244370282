"""Tests of how many requests all nodes send to an upstream that named a rate."""

import random
import typing as t

from bankrack.decisions.permits import ALONE_PART
from bankrack.decisions.permits import Asker
from bankrack.decisions.permits import DEPUTY
from bankrack.decisions.permits import FIRST
from bankrack.decisions.permits import MAX_REST_SECONDS
from bankrack.decisions.permits import PermitCount
from bankrack.decisions.permits import ranked_keepers
from bankrack.decisions.permits import SPAN_SECONDS
from bankrack.decisions.permits import Terms
from tests.base import TestCase


def most_in_a_span(moments: t.Sequence[float]) -> int:
    return max(sum(at <= m < at + SPAN_SECONDS for m in moments) for at in moments)


class Counting(TestCase):
    def ask(
        self,
        count: PermitCount,
        now: float,
        *,
        node: str = "n",
        rank: int = 0,
        terms: Terms = FIRST,
        rate: float = 2.0,
    ) -> float:
        return count.ask(Asker(node, rank), terms, rate, now=now, draw=0.0)

    def test_at_first_one_is_granted_and_then_as_many_as_the_rate(self):
        count = PermitCount(100.0)
        self.assertEqual(0.0, self.ask(count, 100.0))
        self.assertAlmostEqual(0.5, self.ask(count, 100.0))
        self.assertEqual(0.0, self.ask(count, 100.5))
        self.assertGreater(self.ask(count, 100.9), 0.0)

    def test_what_was_not_used_is_kept_for_a_burst_and_no_more(self):
        count = PermitCount(100.0)
        granted = [self.ask(count, 160.0) == 0.0 for _ in range(5)]
        self.assertEqual([True, True, False, False, False], granted)

    def test_what_was_sent_at_a_higher_rate_counts_after_it_fell(self):
        count = PermitCount(100.0)
        moments = [100.0 + n / 10 for n in range(40)]
        for at in moments:
            self.assertEqual(0.0, self.ask(count, at, rate=10.0))
        for n in range(800):
            if self.ask(count, 104.0 + n / 100, rate=2.0) == 0.0:
                moments.append(104.0 + n / 100)
        self.assertGreaterEqual(moments[40], 107.0)
        later = [at for at in moments if at > 103.0]
        self.assertLessEqual(most_in_a_span(later), 2.0 * SPAN_SECONDS + 2.0)

    def test_a_deputy_grants_little(self):
        count = PermitCount(100.0)
        asked = [100.0 + n / 100 for n in range(800)]
        moments = [at for at in asked if self.ask(count, at, terms=DEPUTY) == 0.0]
        self.assertLessEqual(
            most_in_a_span(moments), DEPUTY.part * 2.0 * SPAN_SECONDS + 1.0
        )

    def test_nodes_that_are_refused_are_told_different_times(self):
        count = PermitCount(100.0)
        rng = random.Random(1)
        waits = [
            count.ask(Asker(f"n-{n}", 0), FIRST, 2.0, now=100.0, draw=rng.random())
            for n in range(20)
        ]
        self.assertEqual(0.0, waits[0])
        self.assertEqual(19, len(set(waits[1:])))
        self.assertGreater(max(waits), 5.0)
        self.assertLessEqual(max(waits), MAX_REST_SECONDS + 0.5)


class Urgency(TestCase):
    def test_the_most_urgent_go_first_and_the_others_get_what_they_leave(self):
        count = PermitCount(100.0)
        granted = {0: 0, 3: 0}
        for n in range(2000):
            at = 100.0 + n / 100
            for rank in (3, 0):
                if n % 100 < 50 and rank == 0 and at < 110.0:
                    continue
                if count.ask(Asker("n", rank), FIRST, 2.0, now=at, draw=0.0) == 0.0:
                    granted[rank] += 1
        self.assertGreater(granted[0], 2 * granted[3])
        self.assertGreater(sum(granted.values()), 38)

    def test_without_urgent_ones_the_others_get_all(self):
        count = PermitCount(100.0)
        count.ask(Asker("n", 0), FIRST, 2.0, now=100.0, draw=0.0)
        granted = 0
        for n in range(2000):
            wait = count.ask(Asker("n", 3), FIRST, 2.0, now=106.0 + n / 100, draw=0.0)
            granted += wait == 0.0
        self.assertGreaterEqual(granted, 40)


class Fleet(TestCase):
    """Nodes with more work than the rate, which ask when they were told to."""

    def play(self, nodes: int, rate: float, *, seconds: float = 60.0) -> list[float]:
        rng = random.Random(nodes)
        count = PermitCount(0.0)
        rest = [0.0] * nodes
        moments, now = [], 0.0
        while now < seconds:
            now += rng.expovariate(3 * rate)
            node = rng.randrange(nodes)
            if now < rest[node]:
                continue
            asker = Asker(f"n-{node}", 0)
            wait = count.ask(asker, FIRST, rate, now=now, draw=rng.random())
            if wait:
                rest[node] = now + wait
            else:
                moments.append(now)
        return moments

    def test_the_rate_is_used_and_kept(self):
        for nodes in (1, 8, 62, 390):
            for rate in (0.5, 1.8, 10.0, 40.0):
                moments = self.play(nodes, rate)
                self.assertGreater(len(moments), 0.8 * rate * 60.0, (nodes, rate))
                self.assertLessEqual(
                    most_in_a_span(moments), rate * SPAN_SECONDS + 2.0, (nodes, rate)
                )


class Order(TestCase):
    def test_all_nodes_see_the_same_and_upstreams_have_different_ones(self):
        names = [f"n-{n}" for n in range(8)]
        self.assertEqual(
            ranked_keepers(names, "u"), ranked_keepers(reversed(names), "u")
        )
        firsts = {ranked_keepers(names, f"u-{n}")[0] for n in range(100)}
        self.assertEqual(set(names), firsts)

    def test_a_node_that_joins_or_leaves_changes_no_order_of_the_others(self):
        names = [f"n-{n}" for n in range(8)]
        ranked = ranked_keepers(names, "u")
        for gone in names:
            rest = ranked_keepers([n for n in names if n != gone], "u")
            self.assertEqual([n for n in ranked if n != gone], rest)


class Sum(TestCase):
    def test_all_that_may_count_at_once_stay_within_what_is_borne(self):
        for rate in (0.1, 1.8, 40.0):
            sent = FIRST.part * rate * SPAN_SECONDS + FIRST.burst
            sent += 2 * (DEPUTY.part * rate * SPAN_SECONDS + DEPUTY.burst)
            sent += ALONE_PART * rate * SPAN_SECONDS + 1.0
            self.assertLessEqual(sent, 1.5 * rate * SPAN_SECONDS + 5 + 1e-9)
