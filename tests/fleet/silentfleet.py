"""A fleet of nodes that follow a store, some of which fall silent at once.

The views, rosters and followers are the gateway's own; the store and the connections
between nodes are calls within one process.
"""

import asyncio
import contextlib
import dataclasses
import typing as t

from bankrack.clock import boottime
from bankrack.exceptions import PeerUnavailable
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet import roster
from bankrack.fleet.documents import Member
from bankrack.fleet.follower import Follower
from bankrack.fleet.peers import SILENCE_TIMEOUT_SECONDS
from bankrack.fleet.roster import Roster
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.updateserver import LONG_POLL_SECONDS
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams
from tests.fleet.test_view import decode

READ_SECONDS = 0.05
SAMPLE_SECONDS = 0.02
KEY = "config/main"


class FleetStore:
    """The store; counts its calls by the second.

    :param pages: calls that a read of the whole state takes.
    :ivar silent: whether it does not answer.
    """

    def __init__(self, *, pages: int = 1) -> None:
        self.revision = 1
        self.silent = False
        self.call_times: list[float] = []
        self._pages = pages
        self._changed = asyncio.Event()

    def change(self) -> int:
        """Write a new configuration; returns its revision."""
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def most_calls_in_a_second(self) -> int:
        """Return the largest number of calls in any second."""
        times = self.call_times
        first = 0
        most = 0
        for last, at in enumerate(times):
            while times[first] < at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    async def read(self, *, timeout: float, **options: t.Any) -> Snapshot:
        # A read ends with the first call that fails.
        self.call_times.extend([boottime()] * (1 if self.silent else self._pages))
        if self.silent:
            await asyncio.sleep(timeout)
            raise PlatformUnavailable("the store is silent")
        snapshot = self._snapshot()
        await asyncio.sleep(READ_SECONDS)
        return snapshot

    async def watch(self, since: int, *, wait: float) -> Snapshot:
        self.call_times.append(boottime())
        if since >= self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait)
        if self.silent:
            await asyncio.sleep(wait)
            raise PlatformUnavailable("the store is silent")
        return self._snapshot()

    def _snapshot(self) -> Snapshot:
        value = str(self.revision).encode()
        return Snapshot((Item(KEY, value, self.revision),), self.revision)


class StorePath:
    """One node's path to the store.

    :ivar cut: whether the node's calls are reset.
    """

    def __init__(self, store: FleetStore) -> None:
        self.cut = False
        self._store = store

    async def read(self, **options: t.Any) -> Snapshot:
        self._refuse_if_cut()
        return await self._store.read(**options)

    async def watch(self, since: int, *, wait: float) -> Snapshot:
        self._refuse_if_cut()
        return await self._store.watch(since, wait=wait)

    def _refuse_if_cut(self) -> None:
        if self.cut:
            raise PlatformUnavailable("the store resets this node's calls")


@dataclasses.dataclass(slots=True)
class Node:
    """One node.

    :param path: its path to the store.
    :param silent: it neither runs nor answers.
    """

    member: Member
    view: View
    follower: Follower
    path: StorePath
    silent: bool = False


class Connections:
    """Asks other nodes of the fleet for updates, as one node does."""

    def __init__(self, fleet: "Fleet", view: View) -> None:
        self._fleet = fleet
        self._view = view
        self.heard_at_by_name: dict[str, float] = {}

    async def ask(self, leader: Member) -> float:
        asked_at = boottime()
        self._fleet.questions += 1
        source = self._fleet.node_by_name[leader.name]
        # A leader answers at once if the follower's view is not based on its own.
        follows = self._view.confirmed_by == leader.name
        known = source.view.revision <= self._view.revision
        if follows and known and not source.silent:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(source.view.updated.wait(), LONG_POLL_SECONDS)
        if source.silent:
            left = asked_at + SILENCE_TIMEOUT_SECONDS - boottime()
            await asyncio.sleep(left)
            raise PeerUnavailable(f"{leader.name} is silent")
        self.heard_at_by_name[leader.name] = boottime()
        if source.view.failed_seconds is not None:
            failed_at = boottime() - source.view.failed_seconds
            self._view.note_told_store_failure(failed_at)
        self._view.confirm(
            Snapshot(source.view.items, source.view.revision),
            asked_at=source.view.confirmed_at,
            source=leader.name,
            whole_at=source.view.whole_at,
        )
        return source.view.age


_rank = roster.rank_members


class Ranking:
    """Ranks members as the gateway does, each set of names once.

    It replaces ``roster.rank_members`` while a fleet runs, as all nodes are in one
    process, which would do little else.
    """

    def __init__(self) -> None:
        self._ranked_by_names: dict[tuple[str, ...], list[Member]] = {}

    def __call__(self, members: t.Iterable[Member]) -> list[Member]:
        """Return the members in their order."""
        members = list(members)
        names = tuple(member.name for member in members)
        if names not in self._ranked_by_names:
            self._ranked_by_names[names] = _rank(members)
        return self._ranked_by_names[names]


class Fleet:
    """Nodes of several halls, all with a view of the store.

    :ivar questions: requests from node to node.
    :ivar held_up: longest time for which this process did not run, in seconds.
    """

    def __init__(self, store: FleetStore, *, halls: int, nodes_per_hall: int) -> None:
        self.store = store
        self.questions = 0
        self.held_up = 0.0
        members = [
            Member(f"{hall}-{n}", f"{hall}-{n}", f"hall-{hall}")
            for hall in range(halls)
            for n in range(nodes_per_hall)
        ]
        self.node_by_name = {m.name: self._make_node(m, members) for m in members}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    def _make_node(self, own: Member, members: list[Member]) -> Node:
        view = View(decode, Upstreams())
        known = Roster(own, lambda: members)
        connections: t.Any = Connections(self, view)
        path = StorePath(self.store)
        store: t.Any = path
        return Node(own, view, Follower(store, view, known, connections), path)

    @property
    def running(self) -> list[Node]:
        """The nodes that are not silent."""
        return [node for node in self.node_by_name.values() if not node.silent]

    async def start(self) -> None:
        """Start all nodes with a view that was just read."""
        snapshot = await self.store.read(timeout=1.0)
        for node in self.running:
            node.view.confirm(snapshot, asked_at=boottime(), source="store")
            node.follower.store_confirmed_at = boottime()
            follower: t.Any = node.follower
            follower._get_first_view = lambda: asyncio.sleep(0)
            self._task_by_name[node.member.name] = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)

    def silence(self, names: t.Iterable[str]) -> None:
        """Let nodes fall silent."""
        for name in names:
            self.node_by_name[name].silent = True
            self._task_by_name[name].cancel()

    def cut_off(self, names: t.Iterable[str]) -> None:
        """Cut nodes off from the store; other nodes still reach them."""
        for name in names:
            self.node_by_name[name].path.cut = True

    async def oldest_age(self, seconds: float) -> float:
        """Return the oldest view of any node while some seconds pass.

        Nodes that are silent or cut off from the store do not count.
        """
        oldest = 0.0
        until = boottime() + seconds
        while boottime() < until:
            touched = [node for node in self.running if not node.path.cut]
            oldest = max(oldest, *(node.view.age for node in touched))
            sampled_at = boottime()
            await asyncio.sleep(SAMPLE_SECONDS)
            overslept = boottime() - sampled_at - SAMPLE_SECONDS
            self.held_up = max(self.held_up, overslept)
        return oldest

    async def stop(self) -> None:
        """Stop all nodes."""
        tasks = list(self._task_by_name.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def leaders_of(fleet: Fleet, hall: int) -> list[str]:
    """Return the names of the nodes that the others of a hall may follow."""
    names = [name for name in fleet.node_by_name if name.startswith(f"{hall}-")]
    rosters = [fleet.node_by_name[name].follower._roster for name in names]
    return [
        name for name, roster in zip(names, rosters, strict=True) if roster.is_standby()
    ]


def readers_of(fleet: Fleet) -> list[str]:
    """Return the names of the reader of the store and its standbys."""
    first = next(iter(fleet.node_by_name.values())).follower._roster
    return [member.name for member in first._reader_and_standbys()]
