"""Tests of following leaders whose views are stale, and of reading the store then."""

import asyncio
import contextlib
import itertools
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.configurationuse import MAX_AGE_SECONDS
from bankrack.decisions.storeoutage import SEEN_OUTAGE_SECONDS
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.confirmedview import ConfirmedView
from bankrack.fleet.documents import Member
from bankrack.fleet.follower import Follower
from bankrack.fleet.follower import MAX_LEADER_AGE_FOR_STANDBY_SECONDS
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams
from tests.base import TestCase
from tests.fleet.test_view import decode

LEADERS = [Member(name, "10.0.0.1:1", "a") for name in ("one", "two")]


class RotatingRoster:
    """Returns a different leader on each call, in turn."""

    def __init__(self) -> None:
        self._rotation = itertools.cycle(LEADERS)

    def leaders(self) -> list[Member]:
        return [next(self._rotation)]

    def is_standby(self) -> bool:
        return True

    def suspect(self, member: Member, *, seconds: float) -> None:
        pass


class StaleLeaderClient:
    """Responds with views of the given ages, then never again."""

    def __init__(self, ages: t.Sequence[float]) -> None:
        self._ages = iter(ages)
        self.heard_at_by_name: dict[str, float] = {}
        self.done = asyncio.Event()

    async def ask(self, leader: Member) -> float:
        for age in self._ages:
            return age
        self.done.set()
        await asyncio.sleep(60.0)
        raise AssertionError


class StaleLeaderTest(TestCase):
    async def stale_leader_log_lines(self, ages: t.Sequence[float]) -> list[str]:
        leaders = StaleLeaderClient(ages)
        view = View(decode, Upstreams())
        parts: t.Any = (None, view, RotatingRoster(), leaders)
        follower = Follower(*parts)
        self.patch(follower, "_get_first_view", lambda: asyncio.sleep(0))
        with self.assertLogs("bankrack.fleet.follower") as found:
            following = asyncio.create_task(follower.run())
            await leaders.done.wait()
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await following
        return [line for line in found.output if "leader_stale" in line]

    async def test_each_stale_leader_is_logged_once(self):
        self.assertEqual(
            2,
            len(
                await self.stale_leader_log_lines(
                    [2 * MAX_LEADER_AGE_FOR_STANDBY_SECONDS] * 20
                )
            ),
        )

    async def test_leader_that_recovered_is_logged_again_when_stale(self):
        old = 2 * MAX_LEADER_AGE_FOR_STANDBY_SECONDS
        self.assertEqual(
            3, len(await self.stale_leader_log_lines([old, old, 0.0, old, old, old]))
        )


class FakeStore:
    """Returns snapshots and raises errors, in order."""

    def __init__(self, *results: Snapshot | PlatformUnavailable) -> None:
        self._results = iter(results)

    async def read(self, **options: t.Any) -> Snapshot:
        match next(self._results):
            case Snapshot() as snapshot:
                return snapshot
            case error:
                raise error


class FollowedRoster(RotatingRoster):
    """The roster of a node that other nodes of its hall follow."""

    def count(self) -> int:
        return 390


class ToldOutageTest(TestCase):
    async def test_request_goes_by_an_old_configuration_as_a_node_told_of_an_outage(
        self,
    ):
        """Guards against requests that the old service runs although this node reaches
        the store."""
        view = View(decode, Upstreams())
        asked_at = boottime() - MAX_AGE_SECONDS - 0.05
        view.confirm(Snapshot((), 1), asked_at=asked_at, source="leader")
        parts: t.Any = (FakeStore(Snapshot((), 2)), view, FollowedRoster(), Answering())
        follower = Follower(*parts)
        follower.leader = "one"
        view.note_told_store_failure(boottime())
        await follower._query(LEADERS[0])
        await ConfirmedView(view, follower).refresh_if_stale()
        self.assertEqual(2, view.revision)


class Answering:
    """Answers with an old view."""

    async def ask(self, leader: Member) -> float:
        return 2.0


class StaleViewTest(TestCase):
    """An upstream's entry was removed while the view grew old."""

    def follower_with_old_view(
        self, store: FakeStore, *, age: float = 2 * SEEN_OUTAGE_SECONDS
    ) -> Follower:
        view = View(decode, Upstreams())
        entry = Snapshot((Item("up/x", b"1", 1),), 1)
        asked_at = boottime() - age
        view.confirm(entry, asked_at=asked_at, source="leader")
        parts: t.Any = (store, view, None, None)
        return Follower(*parts)

    async def test_entry_removed_while_the_leaders_were_cut_off_is_removed_at_once(
        self,
    ):
        """Guards against requests to upstreams that are gone: an old view was taken for
        an outage of the store, in which entries may expire."""
        follower = self.follower_with_old_view(FakeStore(Snapshot((), 2)))
        self.assertTrue(await follower.read())
        self.assertEqual([], follower._view.keys())

    async def test_entry_that_left_is_kept_as_another_node_told_of_an_outage(self):
        """Guards against requests to upstreams that are gone: the store never failed
        this node."""
        follower = self.follower_with_old_view(FakeStore(Snapshot((), 2)), age=1.8)
        follower._view.note_told_store_failure(boottime())
        self.assertTrue(await follower.read())
        self.assertEqual([], follower._view.keys())

    async def test_entry_that_lapsed_in_an_outage_this_node_was_told_of_is_lost(self):
        """Guards against an outage that the readers alone have seen: leases may have
        expired meanwhile."""
        follower = self.follower_with_old_view(FakeStore(Snapshot((), 2)), age=5.0)
        follower._view.note_told_store_failure(boottime())
        self.assertTrue(await follower.read())
        self.assertEqual(["up/x"], follower._view.keys())

    async def test_entry_missing_after_failed_reads_is_kept_during_grace_period(self):
        failed = PlatformUnavailable("down")
        follower = self.follower_with_old_view(FakeStore(failed, Snapshot((), 2)))
        self.assertFalse(await follower.read())
        self.assertTrue(await follower.read())
        self.assertEqual(["up/x"], follower._view.keys())
