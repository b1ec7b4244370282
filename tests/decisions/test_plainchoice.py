"""Replay of 61 nodes before 3 upstreams whose speed changes every 0.2 to 2 s."""

import bisect
import heapq
import math
import random
import typing as t

from bankrack.decisions.plainchoice import expected_slowdown
from bankrack.decisions.plainchoice import load_score
from tests.base import TestCase

NODES, SLOTS = 61, 6
UPSTREAMS = range(3)
WORK_SECONDS, TARGET_SECONDS, SECONDS = 0.06, 0.3, 40.0
SLOWDOWNS = (1.0, 1.0, 2.5, 4.0)


class Known:
    """What a node knows of an upstream."""

    def __init__(self) -> None:
        self.in_flight = self.queued = 0
        self.slowdown, self.stated_at = 1.0, -math.inf

    @property
    def load(self) -> float:
        return (self.in_flight + self.queued) / SLOTS


def by_load(known: Known, now: float) -> float:
    return known.load


def by_last_figure(known: Known, now: float) -> float:
    return known.slowdown * (1.0 + known.load)


def by_aged_figure(known: Known, now: float) -> float:
    slowdown = expected_slowdown(known.slowdown, age=now - known.stated_at)
    return load_score(known.load, slowdown)


def late_fraction(
    score: t.Callable[[Known, float], float], *, rate: float, drawn: int, seed: int
) -> float:
    """Return the fraction of late answers.

    :param rate: requests a second of all nodes.
    :param drawn: upstreams drawn at random, of which the best is chosen.
    """
    draw = random.Random(seed)
    nodes = [[Known() for _ in UPSTREAMS] for _ in range(NODES)]
    changes, starts = [[0.0] for _ in UPSTREAMS], [[0.0] for _ in UPSTREAMS]
    free_at = [[0.0] * SLOTS for _ in UPSTREAMS]
    for times in changes:
        while times[-1] < 2 * SECONDS:
            times.append(times[-1] + draw.uniform(0.2, 2.0))
    slowdowns = [[draw.choice(SLOWDOWNS) for _ in times] for times in changes]
    answers: list[tuple[float, int, int]] = []
    now, late, total = 0.0, 0, 0

    def slowdown(u: int, at: float) -> float:
        return slowdowns[u][min(bisect.bisect(changes[u], at), len(changes[u])) - 1]

    while now < SECONDS:
        now += draw.expovariate(rate)
        while answers and answers[0][0] <= now:
            at, node, u = heapq.heappop(answers)
            known = nodes[node][u]
            known.in_flight -= 1
            known.queued = len(starts[u]) - bisect.bisect(starts[u], at)
            known.slowdown, known.stated_at = slowdown(u, at), at
        node = draw.randrange(NODES)
        _, u = min(
            (score(nodes[node][u], now) + 0.04 * draw.random(), u)
            for u in draw.sample(UPSTREAMS, drawn)
        )
        start = max(now, heapq.heappop(free_at[u]))
        end = start + WORK_SECONDS * slowdown(u, start)
        heapq.heappush(free_at[u], end)
        heapq.heappush(answers, (end, node, u))
        starts[u].append(start)
        nodes[node][u].in_flight += 1
        late += end - now > TARGET_SECONDS
        total += 1
    return late / total


def mean_late(score: t.Any, *, rate: float = 80.0, drawn: int = 3) -> float:
    seeds = range(8)
    return sum(late_fraction(score, rate=rate, drawn=drawn, seed=s) for s in seeds) / 8


class PlainChoiceTest(TestCase):
    def test_fewer_answers_are_late_than_with_other_ways(self):
        late = mean_late(by_aged_figure)
        self.assertLess(late, 0.9 * mean_late(by_load))
        self.assertLess(late, 0.9 * mean_late(by_last_figure))
        self.assertLess(late, mean_late(by_aged_figure, drawn=2))

    def test_score_is_the_load_at_the_usual_speed(self):
        for load in (0.0, 0.1, 1 / 3, 7.3):
            slowdown = expected_slowdown(1.0, age=math.inf)
            self.assertEqual(load, load_score(load, slowdown))

    def test_absurd_figures_are_bounded(self):
        for stated in (math.nan, math.inf, -math.inf, -1e9, 0.0, 1e9):
            for age in (-1.0, 0.0, 1e9):
                slowdown = expected_slowdown(stated, age=age)
                self.assertTrue(0.0 < slowdown <= 10.0, (stated, age))
