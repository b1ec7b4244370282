"""Limits the requests that this node sends to cold upstreams."""

import typing as t

from bankrack.clock import boottime
from bankrack.decisions.coldstart import ColdTolerance
from bankrack.decisions.coldstart import node_quota
from bankrack.decisions.coldstart import Quota
from bankrack.decisions.coldstart import ZERO_QUOTA
from bankrack.serving.routing import Service
from bankrack.serving.sendlog import MAX_UPSTREAMS
from bankrack.serving.sendlog import SendLog
from bankrack.serving.upstreams import Upstream

QUOTA_REFRESH_SECONDS = 0.5
"""A node's quota is computed again after this time."""
OWNER_FRACTION = 0.5
"""Fraction of an engine's cold rate that the owner of its pool allocates; the rest
is for runs that are sent without a placement."""


class ColdQuotas:
    """Counts this node's own sends to cold upstreams.

    :param own: name of this node.
    :param members: returns the names of the live nodes.
    """

    def __init__(
        self,
        own: str,
        members: t.Callable[[], t.Collection[str]],
        tolerance: ColdTolerance,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self.tolerance = tolerance
        self._own = own
        self._members = members
        self._clock = clock
        self._quota_by_id: dict[str, tuple[float, Quota]] = {}
        self._sent = SendLog()

    def allows(self, upstream: Upstream, service: Service) -> bool:
        """Whether this node may send to the upstream now."""
        now = self._clock()
        if service.cold_rate <= 0.0 or not upstream.cold(now):
            return True
        quota = self._own_quota(upstream, service, now)
        return self._sent.allows(upstream.id, quota, now)

    def take(self, upstream: Upstream, service: Service) -> bool:
        """Count a send that is made now; ``False`` if it is not allowed."""
        if not self.allows(upstream, service):
            return False
        now = self._clock()
        if service.cold_rate > 0.0 and upstream.cold(now):
            self._sent.note(upstream.id, now)
        return True

    def owner_rate(self, service: Service) -> float:
        """Runs per second that the owner of a pool may place on a cold engine."""
        return OWNER_FRACTION * self.tolerance.fleet_rate(service.cold_rate)

    def _own_quota(self, upstream: Upstream, service: Service, now: float) -> Quota:
        until, quota = self._quota_by_id.get(upstream.id, (0.0, ZERO_QUOTA))
        if now < until:
            return quota
        if len(self._quota_by_id) >= MAX_UPSTREAMS:
            self._quota_by_id.clear()
        rate = self.tolerance.fleet_rate(service.cold_rate)
        if service.engine is not None:
            rate *= 1.0 - OWNER_FRACTION
        quota = node_quota(self._own, self._members(), upstream.id, rate=rate)
        self._quota_by_id[upstream.id] = now + QUOTA_REFRESH_SECONDS, quota
        return quota
