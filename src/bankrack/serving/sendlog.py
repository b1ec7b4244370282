"""Records the times of a node's sends by upstream."""

import collections

from bankrack.decisions.coldstart import Quota

MAX_UPSTREAMS = 2_000
"""Limit on the number of upstreams with recorded sends."""


class SendLog:
    """Checks sends against quotas."""

    __slots__ = ("_sent_by_id",)

    def __init__(self) -> None:
        self._sent_by_id: dict[str, collections.deque[float]] = {}

    def allows(self, upstream_id: str, quota: Quota, now: float) -> bool:
        """Whether one more send is within the quota."""
        sent = self._sent_by_id.get(upstream_id)
        while sent and sent[0] <= now - quota.seconds:
            sent.popleft()
        return (len(sent) if sent else 0) < quota.count

    def note(self, upstream_id: str, now: float) -> None:
        """Record a send that is made now."""
        if upstream_id not in self._sent_by_id:
            if len(self._sent_by_id) >= MAX_UPSTREAMS:
                self._sent_by_id.clear()
            self._sent_by_id[upstream_id] = collections.deque()
        self._sent_by_id[upstream_id].append(now)
