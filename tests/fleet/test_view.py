"""Tests of the local replica of the store."""

import typing as t

from bankrack.exceptions import PlatformDataInvalid
from bankrack.fleet.documents import Document
from bankrack.fleet.documents import Evacuation
from bankrack.fleet.documents import Member
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.view import LAPSE_GRACE_SECONDS
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams
from bankrack.serving.routing import CallerLimits
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase


def decode(item: Item) -> Document | None:
    kind, _, rest = item.key.partition("/")
    if item.value == b"broken":
        raise PlatformDataInvalid("it does not decode")
    if kind == "config":
        return RoutingTable(
            version=int(item.value or b"0"),
            routes=[],
            services=[],
            workspaces_by_key={},
            keyed=False,
            limits=CallerLimits(),
        )
    if kind == "up":
        state, _, born = (item.value or b"").decode().partition("@")
        return UpstreamRecord(
            f"{rest}.{born}" if born else rest,
            "s",
            rest,
            "a",
            1,
            leaving=state == "leaving",
            name=rest,
            born=int(born) if born else None,
        )
    if kind == "out":
        return Evacuation(rest)
    return Member(rest, rest, "a")


class ViewTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.upstreams = Upstreams(clock=lambda: self.now)
        self.view = View(decode, self.upstreams, clock=lambda: self.now)

    def confirm(self, revision: int, **items: tuple[bytes, int]) -> None:
        found = [
            Item(key.replace("_", "/"), value, rev)
            for key, (value, rev) in items.items()
        ]
        snapshot = Snapshot(tuple(found), revision)
        self.view.confirm(snapshot, asked_at=self.now, source="test")

    def apply_changes(self, *items: Item) -> None:
        snapshot = Snapshot(items, max(item.revision for item in items))
        self.view.apply_changes(snapshot, source="test")

    def ids(self) -> set[str]:
        return set(self.upstreams.by_id)

    def test_full_read_reveals_changes_missed_by_watch(self):
        self.confirm(3, up_x=(b"1", 2), up_y=(b"1", 3))
        self.view.revision = 9  # A watch that misses changes still advances it.
        self.confirm(9, up_y=(b"1", 3), up_z=(b"1", 5))
        self.assertEqual({"y", "z"}, self.ids())

    def test_stale_read_does_not_restore_removed_entry(self):
        self.confirm(3, up_x=(b"1", 2))
        self.apply_changes(Item("up/x", None, 5))
        self.confirm(3, up_x=(b"1", 2))
        self.assertEqual(set(), self.ids())

    def test_stale_read_does_not_remove_newer_entry(self):
        self.apply_changes(Item("up/x", b"1", 7))
        self.confirm(6)
        self.assertEqual({"x"}, self.ids())

    def test_lower_configuration_version_is_not_adopted(self):
        self.confirm(3, config_c=(b"7", 3))
        self.confirm(5, config_c=(b"6", 5))
        self.assertEqual(7, t.cast(RoutingTable, self.view.table).version)

    def test_last_valid_configuration_stays_in_force(self):
        self.confirm(3, config_c=(b"7", 3))
        self.confirm(5, config_c=(b"broken", 5))
        self.assertEqual(7, t.cast(RoutingTable, self.view.table).version)

    def test_invalid_entry_removes_its_upstream_or_member_only(self):
        self.confirm(3, up_x=(b"leaving", 3), up_y=(b"1", 3), node_n=(b"1", 3))
        self.confirm(5, up_x=(b"broken", 5), up_y=(b"1", 3), node_n=(b"1", 3))
        self.assertEqual({"y"}, self.ids())
        self.assertEqual({"node/n"}, {f"node/{n}" for n in self.view.members_by_name})
        self.confirm(7, up_x=(b"1", 7), up_y=(b"1", 3), node_n=(b"broken", 7))
        self.assertEqual({"x", "y"}, self.ids())
        self.assertEqual({}, self.view.members_by_name)

    def test_invalid_entry_is_logged_once(self):
        with self.assertLogs("bankrack.fleet.view", "WARNING") as logged:
            for revision in range(5, 25):
                self.confirm(revision, up_x=(b"broken", 5))
        self.assertEqual(1, len(logged.records))

    def test_restarted_upstream_replaces_previous_instance(self):
        self.confirm(3, up_x=(b"leaving@1", 3))
        first = self.upstreams.by_id["x.1"]
        self.confirm(5, up_x=(b"ready@2", 5))
        self.assertEqual({"x.2"}, self.ids())
        self.assertTrue(first.ended)
        self.assertFalse(self.upstreams.by_id["x.2"].leaving)
        self.assertFalse(self.upstreams.by_id["x.2"].ended)

    def test_leaving_instance_stays_leaving(self):
        self.confirm(3, up_x=(b"leaving@1", 3))
        self.confirm(5, up_x=(b"ready@1", 5))
        self.assertTrue(self.upstreams.by_id["x.1"].leaving)

    def test_hall_is_evacuated_while_its_item_exists(self):
        self.confirm(3, up_x=(b"1", 2), out_a=(b"", 3))
        self.assertEqual([], self.upstreams.open_of("s"))
        self.confirm(5, up_x=(b"1", 2))
        self.assertEqual(1, len(self.upstreams.open_of("s")))

    def test_entries_missing_after_outage_are_kept_during_grace_period(self):
        self.confirm(3, up_x=(b"1", 3), up_y=(b"1", 3))
        self.view.note_store_recovery()
        self.confirm(5)
        self.assertEqual({"x", "y"}, self.ids())
        self.confirm(7, up_x=(b"1", 6))
        self.now += LAPSE_GRACE_SECONDS + 0.1
        self.view.sweep()
        self.assertEqual({"x"}, self.ids())

    def test_grace_period_is_counted_from_recovery_of_store(self):
        self.confirm(3, up_x=(b"1", 3))
        self.view.note_store_recovery()
        self.now += LAPSE_GRACE_SECONDS - 0.1
        self.confirm(5)
        self.assertEqual({"x"}, self.ids())
        self.now += 0.2
        self.view.sweep()
        self.assertEqual(set(), self.ids())

    def test_grace_period_ends_with_that_of_a_node_that_saw_the_recovery_earlier(self):
        """Guards against entries that each node keeps from its own first answer on."""
        self.confirm(3, up_x=(b"1", 3))
        self.view.note_store_recovery()
        self.confirm(5)
        self.view.note_store_recovery(self.now - 1.0)
        self.now += LAPSE_GRACE_SECONDS - 0.9
        self.view.sweep()
        self.assertEqual(set(), self.ids())

    def test_store_failure_before_the_last_confirmation_is_no_outage(self):
        self.view.note_store_failure()
        self.assertTrue(self.view.in_outage)
        self.now += 0.1
        self.confirm(3)
        self.assertFalse(self.view.in_outage)

    def test_second_outage_does_not_extend_grace_period_of_first(self):
        self.confirm(3, up_x=(b"1", 3))
        self.view.note_store_recovery()
        self.confirm(5)
        self.now += LAPSE_GRACE_SECONDS - 0.1
        self.view.note_store_recovery()
        self.now += 0.2
        self.view.sweep()
        self.assertEqual(set(), self.ids())

    def test_entry_is_removed_at_once_without_outage(self):
        self.confirm(3, up_x=(b"1", 3))
        self.confirm(5)
        self.assertEqual(set(), self.ids())

    def test_snapshot_of_peer_is_completed_with_known_items(self):
        self.confirm(3, up_x=(b"1", 2), up_y=(b"1", 3))
        newer = Item("up/z", b"1", 5)
        whole = self.view.complete(["up/x", "up/z"], [newer])
        assert whole is not None
        self.view.confirm(Snapshot(whole.items, 5), asked_at=self.now, source="peer")
        self.assertEqual({"x", "z"}, self.ids())
        self.assertIsNone(self.view.complete(["up/unknown"], []))
