"""The configuration in force, confirmed with the store where requests depend on it."""

import logging
import math

from bankrack import logs
from bankrack.clock import boottime
from bankrack.fleet.follower import Follower
from bankrack.fleet.view import View
from bankrack.serving.routing import RoutingTable

MAX_VIEW_AGE_SECONDS = 3.0
"""Maximum age of the view before it is confirmed with the store again."""
MAX_DENIAL_VIEW_AGE_SECONDS = 1.3
"""Maximum age of the view on which a request may be denied.

Followers lag the store by up to about 1.1 s, and a change must apply within 2 s.
"""
LOG_INTERVAL_SECONDS = 1.0
"""Pause between two log lines on the use of a view that is too old."""

_logger = logging.getLogger(__name__)


class ConfirmedView:
    """The dispatcher's source of the configuration: this node's view of the store."""

    def __init__(self, view: View, follower: Follower) -> None:
        self._view = view
        self._follower = follower
        self._logged_at = -math.inf

    @property
    def table(self) -> RoutingTable | None:
        """The most recent routing table, if any."""
        return self._view.table

    @property
    def age(self) -> float:
        """Seconds since the view was last confirmed."""
        return self._view.age

    async def refresh_if_stale(self) -> None:
        """Confirm the view if it is too old, unless the store is unavailable."""
        if self.age <= MAX_VIEW_AGE_SECONDS:
            return
        if not self._follower.store_reachable:
            self._log_use("own read of the store failed")
        elif not await self._follower.confirm(within=MAX_VIEW_AGE_SECONDS):
            self._log_use("confirmation failed")

    def _log_use(self, reason: str) -> None:
        """Log that requests are served by a view that is too old, once a second."""
        now = boottime()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        logs.event(
            _logger,
            "stale_view_used",
            reason=reason,
            age=self.age,
            outage=self._view.in_outage,
            leader=self._follower.leader,
            store_age=self._follower.store_age,
        )

    async def confirm(self) -> bool:
        """Confirm the view now and return whether it succeeded."""
        return await self._follower.confirm(within=MAX_DENIAL_VIEW_AGE_SECONDS)
