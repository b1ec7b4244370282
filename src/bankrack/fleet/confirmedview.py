"""The configuration in force, confirmed with the store where requests depend on it."""

import logging
import math

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.configurationuse import Confirm
from bankrack.decisions.configurationuse import Evidence
from bankrack.decisions.configurationuse import judge
from bankrack.decisions.configurationuse import MAX_AGE_SECONDS
from bankrack.decisions.configurationuse import Refuse
from bankrack.decisions.configurationuse import Serve
from bankrack.decisions.configurationuse import Verdict
from bankrack.exceptions import NodeNotReady
from bankrack.fleet.follower import Follower
from bankrack.fleet.view import View
from bankrack.serving.routing import RoutingTable

MAX_DENIAL_VIEW_AGE_SECONDS = 1.3
"""Maximum age of the view on which a request may be denied.

Followers lag the store by up to about 1.1 s, and a change must apply within 2 s.
"""
RETRY_AFTER_SECONDS = 0.2
"""Time after which a refused caller may return. It reaches another node, which most
probably has the newer version."""
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
        """Seconds since the table was last known to be the newest one."""
        return self._view.current_age

    async def refresh_if_stale(self) -> None:
        """Wait for the newest version if the one here is too old to rely on.

        Raises :exc:`NodeNotReady` if a newer one is known and does not arrive.
        """
        verdict = self._judge(confirmation_failed=False)
        if isinstance(verdict, Confirm):
            confirmed = await self._follower.confirm(within=MAX_AGE_SECONDS)
            verdict = self._judge(confirmation_failed=not confirmed)
        match verdict:
            case Serve(reason=""):
                return
            case Serve(reason):
                self._log("stale_view_used", reason)
            case Confirm() | Refuse():
                self._log("stale_view_refused", "a newer version is known")
                raise NodeNotReady(
                    "a newer configuration has not arrived yet; retry the request",
                    retry_after=RETRY_AFTER_SECONDS,
                )

    def _judge(self, *, confirmation_failed: bool) -> Verdict:
        view = self._view
        follower = self._follower
        evidence = Evidence(
            age=view.current_age,
            newer_known=bool(view.pending.by_key),
            contact_age=follower.contact_age,
            goes_by_outage=follower.goes_by_outage,
            own_reads_fail=follower.leader is None and not follower.store_reachable,
        )
        return judge(evidence, confirmation_failed=confirmation_failed)

    async def confirm(self) -> bool:
        """Confirm the view now and return whether it succeeded.

        A newer version that is known is waited for, as it may allow the request.
        """
        return await self._follower.confirm(
            within=MAX_DENIAL_VIEW_AGE_SECONDS, newest=True
        )

    def _log(self, event: str, reason: str) -> None:
        """Log the use or refusal of a view that is too old, once a second."""
        now = boottime()
        if now < self._logged_at + LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        logs.event(
            _logger,
            event,
            reason=reason,
            age=self.age,
            view_age=self._view.age,
            outage=self._view.in_outage,
            leader=self._follower.leader,
            contact_age=self._follower.contact_age,
            store_age=self._follower.store_age,
        )
