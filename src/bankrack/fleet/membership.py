"""This node's own entry in the store, kept by a lease."""

import asyncio
import contextlib
import logging
import random

import msgspec

from bankrack import logs
from bankrack.exceptions import LeaseOver
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.documents import Member
from bankrack.fleet.store import Lease
from bankrack.fleet.store import Store

LEASE_SECONDS = 12.0
"""A dead node counts for so long; counting too many is the safe side."""
RENEWALS_PER_LEASE = 3.0
RETRY_SECONDS = 0.5

_logger = logging.getLogger(__name__)


class Announcer:
    """Keeps a node's entry alive."""

    def __init__(self, store: Store, own: Member) -> None:
        self._store = store
        self._own = own
        self._lease: Lease | None = None

    async def run(self) -> None:
        """Announce the node and renew its lease for ever."""
        while True:
            try:
                await self._renew_or_announce()
            except LeaseOver:
                logs.event(_logger, "lease_over", node=self._own.name)
                self._lease = None
                continue
            except PlatformUnavailable as error:
                logs.event(_logger, "lease_not_renewed", reason=error.message)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + random.random()))
                continue
            await asyncio.sleep(LEASE_SECONDS / RENEWALS_PER_LEASE)

    async def leave(self) -> None:
        """Take the entry back."""
        if self._lease is not None:
            with contextlib.suppress(PlatformUnavailable, LeaseOver):
                await self._store.end(self._lease)

    async def _renew_or_announce(self) -> None:
        if self._lease is not None:
            await self._store.keep(self._lease)
            return
        lease = await self._store.grant(LEASE_SECONDS)
        value = msgspec.json.encode(self._own)
        await self._store.announce(self._own.name, value, lease)
        self._lease = lease
        logs.event(_logger, "announced", node=self._own.name, lease=lease.id)
