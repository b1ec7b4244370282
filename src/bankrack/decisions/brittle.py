"""Rate limits for upstreams that fall over if they must reject many requests.

The rejections of all nodes count together.  So the first one limits the rate of all
nodes, and the limit grows again only as the upstream serves what it is sent.
"""

import math

FIRST_FRACTION = 0.5
"""Rate after the first rejection, as a fraction of the rejections that are borne in a
second: even if all of it were rejected, half would be left for what is under way."""
DECREASE = 0.5
INCREASE = 2.0
"""Factors on the rate after a rejection, and after a time without any."""
INCREASE_INTERVAL_SECONDS = 0.25
MAX_RATE = 1000.0
"""Rate from which on there is no limit any more."""


def rate_after_rejection(
    borne: float, rate: float, *, sent_at: float, set_at: float
) -> float:
    """Return the rate limit after the upstream rejected a request.

    A request that was sent before the limit in force says nothing of it.

    :param borne: rejections that the upstream bears in a second.
    :param rate: limit in force, in requests a second; infinite without one.
    :param sent_at: time when the request was sent.
    :param set_at: time when the limit was set.
    """
    first = FIRST_FRACTION * borne
    if math.isinf(rate):
        return first
    return rate if sent_at < set_at else max(min(first, rate), DECREASE * rate)


def rate_after_service(rate: float, *, sent_at: float, set_at: float) -> float:
    """Return the rate limit after the upstream served a request; see above."""
    if sent_at < set_at + INCREASE_INTERVAL_SECONDS:
        return rate
    increased = INCREASE * rate
    return increased if increased < MAX_RATE else math.inf
