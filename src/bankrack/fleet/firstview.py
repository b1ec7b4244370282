"""Obtains the first view of a starting node, from the store or from a seed."""

import asyncio
import contextlib
import random
import typing as t

from bankrack.clock import boottime
from bankrack.exceptions import PeerNotReady
from bankrack.exceptions import PeerUnavailable
from bankrack.exceptions import ReadSuperseded
from bankrack.fleet.documents import Member
from bankrack.fleet.peers import LeaderClient
from bankrack.fleet.roster import Roster
from bankrack.fleet.view import View
from bankrack.utils import backoff_seconds

RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.6
SEED_DELAY_SECONDS = 0.05
"""Time that a starting node waits for the store before it also queries seeds."""
SEED_INTERVAL_SECONDS = 0.2
"""Pause between rounds of queries to the seeds."""
SEED_PATIENCE_SECONDS = (0.5, 2.5)
"""Range of the time for which a starting node waits for a view of a seed before it
reads more than one page of the store. After the loss of all nodes the store's link
would carry the whole state to each of them."""
POLL_SECONDS = 0.05
MAX_RECEIVING_SECONDS = 1.0
"""Time for which parts of a seed's configuration are awaited before another seed is
queried."""


def read_backoff_seconds(failures: int) -> float:
    """Return the pause before the next read of the store.

    The jitter only shortens it, so that the end of an outage is noticed in time.
    """
    delay = backoff_seconds(failures, first=RETRY_SECONDS, maximum=MAX_RETRY_SECONDS)
    return delay * (0.5 + 0.5 * random.random())


class FirstView:
    """Obtains a first view for this node."""

    def __init__(self, view: View, roster: Roster, leaders: LeaderClient) -> None:
        self._view = view
        self._roster = roster
        self._leaders = leaders
        self._pages = 0
        self._seeds_answer = True
        self._wait_for_seeds_until: float | None = None

    async def obtain(
        self,
        read: t.Callable[[], t.Awaitable[bool]],
        *,
        on_failure: t.Callable[[], None],
    ) -> None:
        """Return once there is a view.

        The seeds are queried concurrently, as a read of an unresponsive store takes its
        whole timeout to fail.

        :param read: reads the store; returns whether it succeeded.
        :param on_failure: called after each read that failed.
        """
        querying = asyncio.create_task(self._keep_querying_seeds())
        try:
            await self._read_store(read, on_failure)
        finally:
            querying.cancel()
            await asyncio.gather(querying, return_exceptions=True)

    async def let_seeds_answer(self) -> None:
        """Wait before a further page of the store while a seed may send its view.

        Raises :exc:`ReadSuperseded` if one did.
        """
        self._pages += 1
        if self._roster.is_seed() or not self._roster.seeds():
            return
        if self._wait_for_seeds_until is None:
            patience = random.uniform(*SEED_PATIENCE_SECONDS)
            self._wait_for_seeds_until = boottime() + patience
        while (
            self._view.table is None
            and self._seeds_answer
            and boottime() < self._wait_for_seeds_until
        ):
            await asyncio.sleep(POLL_SECONDS)
        if self._view.table is not None:
            raise ReadSuperseded("another node sent its view")

    async def _read_store(
        self,
        read: t.Callable[[], t.Awaitable[bool]],
        on_failure: t.Callable[[], None],
    ) -> None:
        """Read the store until there is a view, from the store or from a seed."""
        failures = 0
        while self._view.table is None:
            read_task = asyncio.ensure_future(read())
            waiting = asyncio.create_task(self._wait_for_view())
            await asyncio.wait(
                {read_task, waiting}, return_when=asyncio.FIRST_COMPLETED
            )
            waiting.cancel()
            if not read_task.done() or read_task.result():
                return
            on_failure()
            failures += 1
            with contextlib.suppress(TimeoutError):
                delay = read_backoff_seconds(failures)
                await asyncio.wait_for(self._wait_for_view(), delay)

    async def _wait_for_view(self) -> None:
        while self._view.table is None:
            await self._view.updated.wait()

    async def _keep_querying_seeds(self) -> None:
        """Query the seeds for a view until there is one.

        They are queried one after the other, and not while the store delivers pages:
        several whole views at once would share this node's link.
        """
        delay = SEED_DELAY_SECONDS
        while self._view.table is None:
            pages = self._pages
            await asyncio.sleep(delay)
            delay = SEED_INTERVAL_SECONDS
            if self._pages > pages + 1:
                continue
            seeds = self._roster.seeds()
            random.shuffle(seeds)
            answers = [await self._query(seed) for seed in seeds]
            self._seeds_answer = any(answers)

    async def _query(self, seed: Member) -> bool:
        """Apply a seed's view, if it has one; returns whether the seed answered."""
        if self._view.table is not None or self._is_receiving():
            return True
        try:
            await self._leaders.ask(seed)
        except PeerNotReady:
            return True
        except PeerUnavailable:
            return False
        return True

    def _is_receiving(self) -> bool:
        """Whether parts of the configuration are on their way, as far as is known."""
        since = boottime() - MAX_RECEIVING_SECONDS
        pending = self._view.pending.by_key.values()
        return any(value.announced_at > since for value in pending)
