"""Scores upstreams of a plain service by load and by how slow each is just now.

The load: many nodes send to a few upstreams, each of which states with its answers by
how much its work is slowed down, and this changes several times a second.  A node is
answered by one upstream every few seconds, so most of its figures are out of date; if
nodes followed the last one, they would avoid an upstream that is fast again and queue
at one that is not.
"""

import math

FIGURE_LIFETIME_SECONDS = 0.3
"""Time in which a figure's deviation from the usual decays to a third.  Upstreams share
their machines with others, whose work lasts for fractions of a second."""
IDLE_LOAD = 0.3
"""Load at which the slowness of an upstream weighs as much as its queue.  An idle slow
upstream still serves in time, a loaded one does not."""
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 10.0


def expected_slowdown(stated: float, *, age: float) -> float:
    """Return how long work takes now, as a multiple of the usual time.

    :param stated: the last figure; 1 if there is none.
    :param age: seconds since it was stated.
    """
    if stated == 1.0 or not math.isfinite(stated):
        return 1.0
    bounded = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, stated))
    return 1.0 + (bounded - 1.0) * math.exp(-max(0.0, age) / FIGURE_LIFETIME_SECONDS)


def load_score(load: float, slowdown: float) -> float:
    """Return the score of an upstream; the lowest is chosen.

    It is the load itself at the usual speed.

    :param load: requests in flight and queued, as a fraction of the slots.
    :param slowdown: how long work takes now, as a multiple of the usual time.
    """
    return load + (slowdown - 1.0) * (IDLE_LOAD + load)
