"""Decides how many new connections a node accepts.

A load balancer may hand most new connections to one node.  What it accepts beyond its
capacity makes it late for everyone, whereas a caller whose connection is closed unread
tries another node at once.  The capacity differs by node, request and moment, so it is
found as in congestion control: more is accepted until the event loop becomes late.
"""

TICK_SECONDS = 0.05
"""Period in which connections are counted and the event loop's delay is measured."""
START_ALLOWANCE = 128.0
"""Connections that a node accepts in its first period, before it knows its capacity."""
MIN_ALLOWANCE = 4.0
"""Lower bound, so that a single delay turns few callers away."""
MAX_ALLOWANCE = 1024.0
MAX_DELAY_SECONDS = 0.05
"""Delay of the event loop from which fewer connections are accepted."""
INCREASE = 1.1
DECREASE = 0.7


def next_allowance(allowance: float, *, delay: float, accepted: int) -> float:
    """Return how many connections to accept in the next period.

    :param allowance: connections that were allowed in the period that ends.
    :param delay: delay of the event loop in that period, in seconds.
    :param accepted: connections accepted in that period.
    """
    if delay > MAX_DELAY_SECONDS:
        return max(MIN_ALLOWANCE, DECREASE * allowance)
    is_probed = accepted >= allowance / 2
    if is_probed or allowance < START_ALLOWANCE:
        return min(MAX_ALLOWANCE, INCREASE * allowance)
    return allowance
