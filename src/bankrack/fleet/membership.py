"""This node's own entry in the store, kept alive by a lease."""

import asyncio
import logging
import random
import typing as t

import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.exceptions import LeaseExpired
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.documents import Member
from bankrack.fleet.store import Lease
from bankrack.fleet.store import Store
from bankrack.utils import backoff_seconds

LEASE_SECONDS = 12.0
"""Lifetime of the entry of a node that died; counting too many nodes is safe."""
RENEWALS_PER_LEASE = 3.0
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
"""Longest backoff of a node whose calls the store refuses; each call costs."""
MAX_VIEW_AGE_SECONDS = 2.0
"""Age of the view from which on the store counts as unavailable for all nodes. Nodes
then stop calling it, and those that read the store detect its return."""
OUTAGE_POLL_INTERVAL_SECONDS = 0.2
RETURN_JITTER_SECONDS = 1.5
"""Time after an outage over which the renewals of all nodes are spread."""
ANNOUNCEMENTS_PER_SECOND = 25.0
"""Rate at which all nodes together announce themselves anew, with two writes each."""

_logger = logging.getLogger(__name__)


class Announcer:
    """Keeps a node's entry alive.

    :param view_age: returns the seconds since the store confirmed this node's view, to
        this node or to the node that it follows.
    :param store_era: returns the newest known era of the store.
    :param members: returns the number of live nodes.
    """

    def __init__(
        self,
        store: Store,
        own: Member,
        *,
        view_age: t.Callable[[], float],
        store_era: t.Callable[[], int] = lambda: 0,
        members: t.Callable[[], int] = lambda: 1,
    ) -> None:
        self._store = store
        self._own = own
        self._view_age = view_age
        self._store_era = store_era
        self._members = members
        self._lease: Lease | None = None

    async def run(self) -> None:
        """Announce the node and renew its lease until cancelled."""
        failures = 0
        while True:
            if failures or self._lease is not None:
                await self._wait_out_outage()
            try:
                await self._renew_or_announce()
            except LeaseExpired:
                logs.event(_logger, "lease_over", node=self._own.name)
                self._lease = None
                continue
            except PlatformUnavailable as error:
                logs.event(_logger, "lease_not_renewed", reason=error.message)
                delay = backoff_seconds(
                    failures, first=RETRY_SECONDS, maximum=MAX_RETRY_SECONDS
                )
                failures += 1
                await asyncio.sleep(delay * (0.5 + random.random()))
                continue
            failures = 0
            await self._wait_for_renewal()

    async def _wait_out_outage(self) -> None:
        """Wait for the end of an outage, then for a random delay."""
        if self._view_age() < MAX_VIEW_AGE_SECONDS:
            return
        logs.event(_logger, "lease_waits", view_age=self._view_age())
        while self._view_age() >= MAX_VIEW_AGE_SECONDS:
            await asyncio.sleep(OUTAGE_POLL_INTERVAL_SECONDS)
        await asyncio.sleep(RETURN_JITTER_SECONDS * random.random())

    async def _wait_for_renewal(self) -> None:
        """Wait until the lease is due for renewal, or must be replaced.

        A store that returned from an older copy may not have the lease, nor the entry.
        """
        loop = asyncio.get_running_loop()
        due_at = loop.time() + LEASE_SECONDS / RENEWALS_PER_LEASE
        while (left := due_at - loop.time()) > 0.0:
            lease = self._lease
            if lease is not None and lease.era < self._store_era():
                self._lease = None
                logs.event(_logger, "lease_over", node=self._own.name, era=lease.era)
                spread = self._members() / ANNOUNCEMENTS_PER_SECOND
                jitter = max(RETURN_JITTER_SECONDS, spread) * random.random()
                await asyncio.sleep(jitter)
                return
            await asyncio.sleep(min(left, OUTAGE_POLL_INTERVAL_SECONDS))

    async def leave(self, *, within: float) -> None:
        """Revoke the lease, which removes the entry.

        :param within: seconds after which the entry is left to expire.
        """
        if self._lease is None:
            return
        began = boottime()
        outcome = "revoked"
        try:
            async with asyncio.timeout(within):
                await self._store.revoke(self._lease)
        except (PlatformUnavailable, LeaseExpired, TimeoutError) as error:
            outcome = repr(error)
        logs.event(
            _logger,
            "left",
            node=self._own.name,
            outcome=outcome,
            elapsed=boottime() - began,
        )

    async def _renew_or_announce(self) -> None:
        if self._lease is not None:
            await self._store.renew(self._lease)
            return
        lease = await self._store.grant(LEASE_SECONDS)
        value = msgspec.json.encode(self._own)
        await self._store.announce(self._own.name, value, lease)
        self._lease = lease
        logs.event(_logger, "announced", node=self._own.name, lease=lease.id)
