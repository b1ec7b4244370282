"""The configuration in force, confirmed with the store where requests depend on it."""

from bankrack.fleet.follower import Follower
from bankrack.fleet.view import View
from bankrack.serving.routing import RoutingTable

MAX_VIEW_AGE_SECONDS = 3.0
"""Maximum age of the view before it is confirmed with the store again."""
MAX_DENIAL_VIEW_AGE_SECONDS = 1.3
"""Maximum age of the view on which a request may be denied.

Followers lag the store by up to about 1.1 s, and a change must apply within 2 s.
"""


class ConfirmedView:
    """The dispatcher's source of the configuration: this node's view of the store."""

    def __init__(self, view: View, follower: Follower) -> None:
        self._view = view
        self._follower = follower

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
        if self.age > MAX_VIEW_AGE_SECONDS and self._follower.store_reachable:
            await self._follower.confirm(within=MAX_VIEW_AGE_SECONDS)

    async def confirm(self) -> bool:
        """Confirm the view now and return whether it succeeded."""
        return await self._follower.confirm(within=MAX_DENIAL_VIEW_AGE_SECONDS)
