"""Queries of the leaders of one node, several at once while one of them is silent."""

import asyncio
import collections
import typing as t

from bankrack.clock import boottime
from bankrack.fleet.documents import Member

SILENT_SECONDS = 0.4
"""Time without a byte after which the next leader is queried as well.

A leader answers within its long poll of 0.25 s.
"""
NEXT_SECONDS = 0.15
"""The same for further leaders, which answer at once, as they know another view."""


class LeaderQueries:
    """Queries under way, at most one of each leader.

    A time-out of one leader must not delay what another one could tell, or the age of
    the view would grow with the number of silent leaders.

    :param query: queries a leader once; returns whether it answered.
    :param heard_at: returns the boot-time seconds of the last byte of a leader, by its
        name.
    """

    def __init__(
        self,
        query: t.Callable[[Member], t.Coroutine[t.Any, t.Any, bool]],
        heard_at: t.Callable[[str], float],
    ) -> None:
        self._query = query
        self._heard_at = heard_at
        self._task_by_name: dict[str, asyncio.Task[None]] = {}
        self._began_by_name: collections.defaultdict[str, float]
        self._began_by_name = collections.defaultdict(float)
        self._silent_names: set[str] = set()

    async def wait_for_any(
        self, leaders: t.Sequence[Member], *, in_haste: bool = False
    ) -> None:
        """Query leaders in their order until one of the queries ends.

        A leader that was silent when it was last queried is queried together with the
        next one.

        :param in_haste: the view is old, so that the first leader gets less time.
        """
        patience = NEXT_SECONDS if in_haste else SILENT_SECONDS
        for leader in leaders:
            if leader.name not in self._task_by_name:
                self._start(leader)
            if leader.name in self._silent_names:
                continue
            if await self._ends_before_silence(leader, patience):
                return
            patience = NEXT_SECONDS
        await self._any_ends(timeout=None)

    @property
    def all_silent(self) -> bool:
        """Whether only leaders are queried that were silent when last queried."""
        names = self._task_by_name.keys()
        return bool(names) and names <= self._silent_names

    async def cancel(self) -> None:
        """Cancel all queries."""
        tasks = self._tasks()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _tasks(self) -> list[asyncio.Task[None]]:
        return list(self._task_by_name.values())

    def _start(self, leader: Member) -> None:
        self._began_by_name[leader.name] = boottime()
        task = asyncio.create_task(self._run(leader))
        self._task_by_name[leader.name] = task

    async def _run(self, leader: Member) -> None:
        try:
            if await self._query(leader):
                self._silent_names.discard(leader.name)
            else:
                self._silent_names.add(leader.name)
        finally:
            del self._task_by_name[leader.name]

    async def _ends_before_silence(self, leader: Member, patience: float) -> bool:
        """Whether any query ends before a leader has been silent for too long.

        :param patience: seconds without a byte of that leader.
        """
        while True:
            began = self._began_by_name[leader.name]
            heard = max(began, self._heard_at(leader.name))
            left = heard + patience - boottime()
            if left <= 0.0:
                return False
            if await self._any_ends(timeout=left):
                return True

    async def _any_ends(self, *, timeout: float | None) -> bool:
        """Whether a query ends within ``timeout`` seconds."""
        ended, _ = await asyncio.wait(
            self._tasks(), timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        for task in ended:
            task.result()
        return bool(ended)
