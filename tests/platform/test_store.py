"""Tests of the store's client against a fake store."""

from bankrack.exceptions import HistoryCompacted
from bankrack.exceptions import LeaseExpired
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.store import era_of
from bankrack.fleet.store import Lease
from bankrack.fleet.store import ReadProgress
from bankrack.serving.sessions import new_session
from store import PlatformStore
from tests.base import TestCase
from tests.platform.fakes import FakeStore


class Calls(TestCase):
    async def check(self, work) -> None:
        fake = FakeStore()
        await fake.start()
        session = new_session(reuse=True)
        try:
            await work(fake, PlatformStore(session, fake.address))
        finally:
            await session.close()
            await fake.stop()

    async def test_all_pages_are_read(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.page_size = 3
            for number in range(8):
                fake.put(f"servers/{number}", b"x")
            snapshot = await store.read(members=True, timeout=1.0)
            self.assertEqual(8, len(snapshot.items))
            self.assertEqual(fake.joint_revision, snapshot.revision)
            self.assertIsNone(snapshot.until)

        await self.check(work)

    async def test_value_is_transferred_only_if_it_changed(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.put("op/config", b"x" * 10_000)
            [held] = (await store.read(members=True, timeout=1.0)).items
            before = fake.sent_bytes
            self.assertIs(held, await store.newest(held, timeout=1.0))
            self.assertLess(fake.sent_bytes - before, 100)
            fake.put("op/config", b"y")
            changed = await store.newest(held, timeout=1.0)
            self.assertEqual(b"y", changed.value)
            self.assertEqual(fake.joint_revision, changed.revision)

        await self.check(work)

    async def test_read_without_members_stops_at_the_first_member(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.page_size = 3
            fake.put("servers/a", b"x")
            for number in range(8):
                fake.put(f"system/nodes/{number}", b"x")
            snapshot = await store.read(members=False, timeout=1.0)
            self.assertEqual(3, len(snapshot.items))
            self.assertEqual("system/nodes/1", snapshot.until)

        await self.check(work)

    async def test_watch(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            since = fake.joint_revision
            fake.put("servers/a", b"x")
            fake.remove("servers/a")
            changes = await store.watch(since, wait=1.0)
            self.assertEqual([b"x", None], [item.value for item in changes.items])
            again = await store.watch(changes.revision, wait=0.05)
            self.assertEqual((), again.items)
            fake.compacted_revision = fake.revision + 1
            with self.assertRaises(HistoryCompacted):
                await store.watch(changes.revision, wait=0.05)

        await self.check(work)

    async def test_read_across_a_return_mixes_two_histories(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.page_size = 3
            for number in range(4):
                fake.put(f"servers/{number}", b"old")
            fake.take_copy()
            progress = ReadProgress(0.0)
            fake.put("servers/0", b"lost")

            async def return_once() -> None:
                if fake.era == 1:
                    fake.restore_copy()

            snapshot = await store.read(
                members=True,
                timeout=1.0,
                progress=progress,
                before_next_page=return_once,
            )
            self.assertEqual([b"old"] * 4, [item.value for item in snapshot.items])
            self.assertEqual({2}, {era_of(item.revision) for item in snapshot.items})
            self.assertEqual(fake.joint_revision, snapshot.revision)

        await self.check(work)

    async def test_watch_from_a_revision_of_an_earlier_era_is_answered(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.take_copy()
            fake.put("servers/a", b"x")
            since = fake.joint_revision
            fake.restore_copy()
            for _ in range(3):
                fake.put("servers/b", b"x")
            with self.assertRaises(HistoryCompacted):
                await store.watch(since, wait=1.0)

        await self.check(work)

    async def test_lease_of_an_earlier_era_is_used(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.take_copy()
            lease = await store.grant(3.0)
            fake.restore_copy()
            fake.leases.add(lease.id)
            with self.assertRaises(LeaseExpired):
                await store.announce("n", b"{}", lease)
            for call in (store.renew, store.revoke):
                calls = len(fake.calls)
                with self.assertRaises(LeaseExpired):
                    await call(lease)
                self.assertEqual(calls, len(fake.calls))

        await self.check(work)

    async def test_malformed_eras_change_nothing(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.era = 3
            fake.put("servers/a", b"x")
            before = (await store.read(members=True, timeout=1.0)).revision
            for value in ("", "-1", "four", "4.5", "1e3", "4, 5", "99999999"):
                fake.era = value
                after = (await store.read(members=True, timeout=1.0)).revision
                self.assertEqual(before, after, value)

        await self.check(work)

    async def test_leases(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            lease = await store.grant(3.0)
            await store.announce("n", b"{}", lease)
            self.assertEqual(b"{}", fake.item_by_key["system/nodes/n"].value)
            await store.renew(lease)
            with self.assertRaises(LeaseExpired):
                await store.renew(Lease(99, 3.0, fake.era))
            await store.revoke(lease)

        await self.check(work)

    async def test_page_is_not_cut_off_while_bytes_arrive(self):
        """Guards against reads that begin again and again on narrow links."""

        async def work(fake: FakeStore, store: PlatformStore) -> None:
            fake.put("servers/a", b"x" * 3_000)
            fake.seconds_per_part = 0.1
            snapshot = await store.read(members=True, timeout=0.15)
            self.assertEqual(1, len(snapshot.items))

        await self.check(work)

    async def test_errors_and_timeouts_raise_one_typed_error(self):
        async def work(fake: FakeStore, store: PlatformStore) -> None:
            for status in (429, 503, 500, 404):
                fake.status = status
                with self.assertRaises(PlatformUnavailable):
                    await store.read(members=True, timeout=1.0)
            fake.unresponsive = True
            with self.assertRaises(PlatformUnavailable):
                await store.read(members=True, timeout=0.1)

        await self.check(work)
