"""Limits the requests that are sent to an upstream after a cold start.

When the upstreams of a hall come back together, every node has requests for them, and
one that gets far more than its rate fails again.  The limit applies to all nodes
together; each has a fixed share, so they need not coordinate.
"""

import dataclasses
import typing as t

from bankrack.utils import stable_digest

WINDOW_SECONDS = 1.25
"""Window over which sends are counted.

It exceeds one second because latency varies: sends made within it can arrive within
the same second."""


@dataclasses.dataclass(slots=True, frozen=True)
class ColdTolerance:
    """How far all nodes together may exceed a cold upstream's rate in any second.

    :param overshoot: multiple of the rate.
    :param slack: requests on top of that.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def fleet_rate(self, rate: float) -> float:
        """Requests per second that all nodes together aim at: at most half the limit.

        While a fleet doubles, or two nodes both act as the owner of a pool, some nodes
        do not know of each other yet and the fleet may send up to twice this rate.
        """
        return min(rate, (self.overshoot * rate + self.slack) / 2)


@dataclasses.dataclass(slots=True, frozen=True)
class Quota:
    """At most ``count`` sends within any period of ``seconds``."""

    count: int
    seconds: float


ZERO_QUOTA = Quota(0, WINDOW_SECONDS)


def quota_of(rate: float) -> Quota:
    """The quota of a single sender.

    :param rate: requests per second; a rate below 1 gives one send per longer period.
    """
    if rate <= 0.0:
        return ZERO_QUOTA
    return Quota(max(1, int(rate)), WINDOW_SECONDS * max(1.0, 1.0 / rate))


def node_quota(
    own: str, members: t.Collection[str], upstream: str, *, rate: float
) -> Quota:
    """The share of one node in the sends of all nodes to an upstream.

    There may be more nodes than sends per second, and fractions of a send are of no
    use, so only some nodes get a share.  All nodes select them alike, separately for
    each upstream.  A node that is not a member, such as one that has just started, has
    no share.

    :param own: name of the node.
    :param members: names of all live nodes.
    :param upstream: id of the upstream.
    :param rate: requests per second of all nodes together.
    """
    if own not in members or rate <= 0.0:
        return ZERO_QUOTA
    holders = min(len(members), max(1, int(rate)))
    ranked = sorted(members, key=lambda name: stable_digest(f"{upstream} {name}"))
    if own not in ranked[:holders]:
        return ZERO_QUOTA
    return quota_of(rate / holders)
