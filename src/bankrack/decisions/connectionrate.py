"""Decides how many new connections a node accepts.

A load balancer may hand most new connections to one node.  What it accepts beyond its
capacity makes it late for everyone, whereas a caller whose connection is closed unread
tries another node at once.  The capacity differs by node, request and moment, so it is
found as in congestion control: more is accepted until the event loop becomes late.
"""

TICK_SECONDS = 0.05
"""Period in which connections are counted and the event loop's delay is measured."""
START_RATE = 2560.0
"""Connections a second that a node accepts before it knows its capacity."""
MIN_RATE = 80.0
"""Lower bound, so that a short delay turns no callers away."""
MAX_RATE = 20_000.0
MAX_BURST = 128.0
"""Bounds the connections accepted at once, as many callers reconnect to a new node."""
BURST_SECONDS = 0.25
"""Time whose connections are accepted at once after a delay of the event loop."""
MAX_DELAY_SECONDS = 0.04
"""Delay of the event loop from which fewer connections are accepted; a request passes
through several iterations of the loop."""
INCREASE = 1.04
DECREASE = 0.85
DECREASE_IF_REFUSED = 0.7


def next_rate(
    rate: float, *, delay: float, seconds: float, accepted: int, refused: int
) -> float:
    """Return the connections to accept a second from now on.

    A late node that turns callers away accepts less than what it just managed; one that
    does not is late for another reason, or only for a moment.

    :param rate: connections a second that were allowed in the last period.
    :param delay: delay of the event loop in that period, in seconds.
    :param seconds: length of that period, with the delay.
    :param accepted: connections accepted in that period.
    :param refused: connections refused in that period.
    """
    if delay > MAX_DELAY_SECONDS:
        if not refused:
            return max(MIN_RATE, DECREASE * rate)
        managed = min(rate, accepted / seconds)
        return max(MIN_RATE, DECREASE_IF_REFUSED * managed)
    is_used = accepted + refused >= rate * seconds / 2
    if is_used or rate < START_RATE:
        return min(MAX_RATE, INCREASE * rate)
    return rate


def refill(allowance: float, rate: float, *, seconds: float, refused: int) -> float:
    """Return the connections that may be accepted in the next period.

    A node that was late but refused nobody also accepts those who came meanwhile.

    :param allowance: what was left in the last period.
    :param seconds: length of that period, with the event loop's delay.
    :param refused: connections refused in that period.
    """
    if refused:
        return rate * TICK_SECONDS
    return min(MAX_BURST, BURST_SECONDS * rate, allowance + rate * seconds)
