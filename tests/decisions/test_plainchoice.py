"""Replay of 61 nodes before 3 upstreams whose speed changes every 0.2 to 2 s."""

import heapq
import itertools
import math
import random
import typing as t

from bankrack.decisions.plainchoice import expected_slowdown
from bankrack.decisions.plainchoice import load_score
from tests.base import TestCase

NODES = 61
UPSTREAMS = range(3)
SLOTS = 6
WORK_SECONDS = 0.06
LINK_SECONDS = 0.004
TARGET_SECONDS = 0.3
SECONDS = 40.0
SLOWDOWNS = (1.0, 1.0, 2.5, 4.0)


class Known:
    """What a node knows of an upstream."""

    def __init__(self) -> None:
        self.in_flight = self.queued = 0
        self.slowdown, self.stated_at = 1.0, -math.inf

    @property
    def load(self) -> float:
        return (self.in_flight + self.queued) / SLOTS


def by_queue(known: Known, now: float) -> float:
    return known.load


def by_last_figure(known: Known, now: float) -> float:
    return known.slowdown * (1.0 + known.load)


def by_aged_figure(known: Known, now: float) -> float:
    slowdown = expected_slowdown(known.slowdown, age=now - known.stated_at)
    return load_score(known.load, slowdown)


def late_fraction(
    score: t.Callable[[Known, float], float],
    *,
    rate: float,
    candidates: int = 3,
    seed: int = 1,
) -> float:
    """Return the fraction of late answers.

    :param rate: requests a second of all nodes.
    :param candidates: upstreams, drawn at random, of which the best is chosen.
    """
    draw = random.Random(seed)
    order = itertools.count()
    nodes = [[Known() for _ in UPSTREAMS] for _ in range(NODES)]
    speeds = [random.Random(10 * seed + i) for i in UPSTREAMS]
    slowdown, changes_at = [1.0] * 3, [0.0] * 3
    busy, queues = [0] * 3, [[] for _ in UPSTREAMS]
    events: list[t.Any] = []
    late = total = 0
    now = 0.0
    while now < SECONDS:
        now += draw.expovariate(rate)
        heapq.heappush(events, (now, next(order), "new", draw.randrange(NODES), 0, now))
    while events:
        now, _, kind, node, u, began = heapq.heappop(events)
        for i in UPSTREAMS:
            while now >= changes_at[i]:
                slowdown[i] = speeds[i].choice(SLOWDOWNS)
                changes_at[i] += speeds[i].uniform(0.2, 2.0)
        known = nodes[node][u]
        if kind == "new":
            scores = {
                i: score(nodes[node][i], now) + 0.04 * draw.random()
                for i in draw.sample(UPSTREAMS, candidates)
            }
            u = min(scores, key=scores.__getitem__)
            nodes[node][u].in_flight += 1
            queues[u].append((node, began))
        elif kind == "end":
            busy[u] -= 1
            ends = (now + LINK_SECONDS, next(order), "answer", node, u, began)
            heapq.heappush(events, ends)
        else:
            known.in_flight -= 1
            known.queued, known.slowdown = len(queues[u]), slowdown[u]
            known.stated_at = now
            late += now - began > TARGET_SECONDS
            total += 1
        while queues[u] and busy[u] < SLOTS:
            busy[u] += 1
            first, at = queues[u].pop(0)
            ends = now + LINK_SECONDS + WORK_SECONDS * slowdown[u]
            heapq.heappush(events, (ends, next(order), "end", first, u, at))
    return late / total


class ReplayTest(TestCase):
    def test_fewer_answers_are_late_than_with_other_ways(self):
        def late(score: t.Any, candidates: int = 3) -> float:
            return sum(
                late_fraction(score, rate=80.0, candidates=candidates, seed=seed)
                for seed in range(8)
            )

        self.assertLess(late(by_aged_figure), 0.9 * late(by_queue))
        self.assertLess(late(by_aged_figure), 0.9 * late(by_last_figure))
        self.assertLess(late(by_aged_figure), late(by_aged_figure, candidates=2))


class ScoreTest(TestCase):
    def test_score_is_the_load_at_the_usual_speed(self):
        for load in (0.0, 0.1, 1 / 3, 7.3):
            slowdown = expected_slowdown(1.0, age=math.inf)
            self.assertEqual(load, load_score(load, slowdown))

    def test_absurd_figures_are_bounded(self):
        for stated in (math.nan, math.inf, -math.inf, -1e9, 0.0, 1e9):
            for age in (-1.0, 0.0, 1e9):
                slowdown = expected_slowdown(stated, age=age)
                self.assertTrue(0.0 < slowdown <= 10.0, (stated, age))
