"""Keeping the view true: watch, bounded re-read, and peers when both fail.

A watch tells of changes at once but can fall silent without a sign, so the
whole state is read again all the while.  A node that the store turns away
asks its peers, who may still reach it.
"""

import asyncio
import logging
import random
import time
import typing as t

from bankrack import logs
from bankrack.exceptions import BankrackError
from bankrack.exceptions import HistoryForgotten
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.store import Snapshot
from bankrack.fleet.store import Store
from bankrack.fleet.view import View

CONFIRM_SECONDS = 1.0
"""Longest rest between two readings; a change must be in force within 2 s even
where the watch is silent."""
WATCH_SECONDS = 10.0
"""Longest wait of one watch; each return is a call that costs."""
READ_SECONDS = 0.5
"""A reading takes some 10 ms; on a store that is slow the time is doubled."""
MAX_READ_SECONDS = 2.0
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.5
AWAY_SECONDS = 1.5
"""Without a confirmation for so long the peers are asked."""
PEER_SECONDS = 0.5
DENIAL_SECONDS = 0.8
"""Longest wait for a confirmation before a request is denied."""

_logger = logging.getLogger(__name__)


class PeerView(t.Protocol):
    """Asks peers for their view of the store."""

    async def ask(self, *, timeout: float) -> tuple[Snapshot, float] | None:
        """Get the freshest view of some peers, and its age in seconds."""
        ...


class Follower:
    """Follows the store for one node."""

    def __init__(self, store: Store, view: View, peers: PeerView) -> None:
        self._store = store
        self._view = view
        self._peers = peers
        self._read_seconds = READ_SECONDS
        self.reachable = True
        self._reading: asyncio.Task[bool] | None = None
        self.confirmed_first = asyncio.Event()
        self.store_confirmed_at = 0.0

    @property
    def store_age(self) -> float:
        """Seconds since the store itself last confirmed the view."""
        return time.monotonic() - self.store_confirmed_at

    async def keep_confirming(self) -> None:
        """Read the whole state again and again."""
        failures = 0
        while True:
            if await self._read():
                failures = 0
                await asyncio.sleep(CONFIRM_SECONDS)
                continue
            failures += 1
            if self._view.age > AWAY_SECONDS or not self.confirmed_first.is_set():
                await self._ask_peers()
            rest = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**failures)
            await asyncio.sleep(rest * (0.5 + random.random()))

    async def keep_watching(self) -> None:
        """Take in changes as they come."""
        await self.confirmed_first.wait()
        failures = 0
        while True:
            try:
                changes = await self._store.watch(
                    self._view.revision, wait=WATCH_SECONDS
                )
            except HistoryForgotten:
                logs.event(_logger, "history_forgotten", revision=self._view.revision)
                await self.confirm(within=0.0)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            except PlatformUnavailable:
                failures += 1
                rest = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2**failures)
                await asyncio.sleep(rest * (0.5 + random.random()))
                continue
            failures = 0
            self._view.change(changes, source="watch")

    async def keep_sweeping(self) -> None:
        """Drop entries that stayed away after an outage, in time."""
        while True:
            await asyncio.sleep(RETRY_SECONDS)
            self._view.sweep()

    async def confirm(self, *, within: float) -> bool:
        """Make sure that the view is no older than ``within`` seconds.

        Readings that are asked for at the same time are made once.
        """
        if self._view.age <= within:
            return True
        asked = time.monotonic()
        try:
            async with asyncio.timeout(DENIAL_SECONDS):
                while self._view.confirmed_at < asked - within:
                    if not await self._read():
                        await self._ask_peers()
                        break
        except TimeoutError:
            logs.event(_logger, "confirmation_timed_out", age=self._view.age)
        return self._view.confirmed_at >= asked - within

    async def _read(self) -> bool:
        """Read once; concurrent callers share one reading."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read_now())
        return await asyncio.shield(self._reading)

    async def _read_now(self) -> bool:
        asked = time.monotonic()
        try:
            snapshot = await self._store.read(timeout=self._read_seconds)
        except PlatformUnavailable as error:
            self._read_seconds = min(MAX_READ_SECONDS, 2 * self._read_seconds)
            if self.reachable:
                self.reachable = False
                logs.event(_logger, "store_lost", reason=error.message)
            return False
        self._read_seconds = READ_SECONDS
        if not self.reachable:
            self.reachable = True
            logs.event(_logger, "store_regained", away=self.store_age)
        if self.store_age > AWAY_SECONDS and self.store_confirmed_at:
            self._view.store_was_away()
        self.store_confirmed_at = asked
        self._view.confirm(snapshot, asked_at=asked, source="store")
        self.confirmed_first.set()
        return True

    async def _ask_peers(self) -> None:
        asked = time.monotonic()
        try:
            found = await self._peers.ask(timeout=PEER_SECONDS)
        except BankrackError as error:
            logs.event(_logger, "peers_silent", reason=error.message)
            return
        if found is None:
            return
        snapshot, age = found
        if asked - age <= self._view.confirmed_at:
            return
        self._view.confirm(snapshot, asked_at=asked - age, source="peer")
        self.confirmed_first.set()
        logs.event(
            _logger, "view_from_peer", revision=snapshot.revision, peer_view_age=age
        )
