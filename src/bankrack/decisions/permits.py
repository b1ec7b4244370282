"""Counts the requests that all nodes together send to an upstream with a rate limit.

An overloaded upstream may name a rate of less than one request per second for each
node.  Fixed equal shares would waste most of such a rate or exceed it, so one node, the
coordinator, grants permits to all.  A standby, or a node that reaches neither, grants
only a small fraction, so that the sum stays within what the upstream tolerates.
"""

import collections
import dataclasses
import math
import typing as t

from bankrack.utils import stable_digest

PERMIT_WINDOW_SECONDS = 4.0
"""Sends are limited within any window of this length, as upstreams count them."""
MAX_WAIT_SECONDS = 10.0
"""Longest time that a node is asked to wait before its next request for a permit."""
ROUNDING_SECONDS = 1e-6
URGENT_RESERVE_SECONDS = 5.0
"""Time after an urgent request for which tokens are reserved for the next one."""
URGENT_RESERVE_TOKENS = 0.5
"""Tokens that less urgent requests must leave in the bucket during this time."""
ISOLATED_FRACTION = 0.1
"""Fraction of the rate that all isolated nodes share."""


@dataclasses.dataclass(slots=True, frozen=True)
class PermitLimits:
    """What one counter may grant.

    :param fraction: fraction of the rate that the upstream named.
    :param burst: capacity of the token bucket.
    """

    fraction: float
    burst: float


COORDINATOR_LIMITS = PermitLimits(fraction=1.0, burst=2.0)
"""Limits of the coordinator.

The sum of its grants, those of a standby, those after its own restart and the sends
of isolated nodes stays within what upstreams tolerate."""
STANDBY_LIMITS = PermitLimits(fraction=0.2, burst=1.0)
"""Limits of a standby, and of a new coordinator while its predecessor may still be
asked."""


@dataclasses.dataclass(slots=True, frozen=True)
class PermitRequester:
    """The node that requests a permit.

    :param node: its name.
    :param rank: rank of the request; the lowest goes first.
    """

    node: str
    rank: int


class PermitCounter:
    """Token bucket and window count of the sends granted for one upstream."""

    __slots__ = (
        "_counted_at",
        "_granted",
        "_refused_at_by_node",
        "_tokens",
        "_urgent_at",
        "_urgent_rank",
    )

    def __init__(self, now: float) -> None:
        self._tokens = 1.0
        self._counted_at = now
        self._granted: collections.deque[float] = collections.deque()
        self._refused_at_by_node: dict[str, float] = {}
        self._urgent_rank = 0
        self._urgent_at = -math.inf

    def ask(
        self,
        requester: PermitRequester,
        limits: PermitLimits,
        rate: float,
        *,
        now: float,
        draw: float,
    ) -> float:
        """Grant a send that is made now, or return the delay until the next try.

        :param rate: requests per second that the upstream named.
        :param draw: random number from 0 to 1, drawn for each call.
        :return: 0 if granted, else seconds to wait.
        """
        self._refill(limits, rate, now)
        needed = 1.0 + self._reserve(requester, limits, now)
        wait = (needed - self._tokens) / (limits.fraction * rate)
        if (
            len(self._granted) + 1
            > limits.fraction * rate * PERMIT_WINDOW_SECONDS + limits.burst
        ):
            # Sends granted at a previous, higher rate count in the window too.
            wait = max(wait, self._granted[0] + PERMIT_WINDOW_SECONDS - now)
        if wait <= ROUNDING_SECONDS:
            self._tokens -= 1.0
            self._granted.append(now)
            self._refused_at_by_node.pop(requester.node, None)
            return 0.0
        return wait + self._stagger_seconds(
            requester, limits.fraction * rate, now, draw
        )

    def _refill(self, limits: PermitLimits, rate: float, now: float) -> None:
        gained = (now - self._counted_at) * limits.fraction * rate
        self._tokens = min(limits.burst, self._tokens + gained)
        self._counted_at = now
        while self._granted and self._granted[0] <= now - PERMIT_WINDOW_SECONDS:
            self._granted.popleft()

    def _reserve(
        self, requester: PermitRequester, limits: PermitLimits, now: float
    ) -> float:
        """Tokens that the request must leave for more urgent ones."""
        if (
            requester.rank <= self._urgent_rank
            or now > self._urgent_at + URGENT_RESERVE_SECONDS
        ):
            self._urgent_rank, self._urgent_at = requester.rank, now
            return 0.0
        return URGENT_RESERVE_TOKENS if limits.burst > 1.0 else 0.0

    def _stagger_seconds(
        self, requester: PermitRequester, rate: float, now: float, draw: float
    ) -> float:
        """Additional delay that spreads the retries of waiting nodes.

        With equal delays all would ask at the same moment, and only one would succeed.
        """
        refused = self._refused_at_by_node
        for node, at in list(refused.items()):
            if at <= now - MAX_WAIT_SECONDS:
                del refused[node]
        refused[requester.node] = now
        return min(MAX_WAIT_SECONDS, draw * (len(refused) - 1) / rate)


def rank_coordinators(names: t.Iterable[str], upstream: str) -> list[str]:
    """Order of the nodes as coordinators for an upstream, the coordinator first.

    All nodes compute the same order; it differs between upstreams.
    """
    return sorted(names, key=lambda name: stable_digest(f"{upstream} {name}"))
