"""Tests of the aggregated log lines on members and upstreams."""

from bankrack.fleet.changelog import MemberLog
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams
from tests.base import TestCase
from tests.fleet.test_view import decode

LOGGER = "bankrack.fleet.changelog"


class ChangeLogTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.view = View(
            decode, Upstreams(clock=lambda: self.now), clock=lambda: self.now
        )

    def apply_items(self, *items: Item) -> None:
        revision = max(item.revision for item in items)
        self.view.apply_changes(Snapshot(items, revision), source="test")

    def test_members_joining_within_interval_share_few_lines(self):
        with self.assertLogs(LOGGER) as found:
            for number in range(195):
                self.now += 1.2 / 195
                self.apply_items(Item(f"member/n-{number}", b"1", number + 1))
                self.view.sweep()
            self.now += 2.0
            self.view.sweep()
        self.assertLessEqual(len(found.output), 3)
        self.assertIn("members=195", found.output[-1])
        counts = [line.split("joined=")[1].split()[0] for line in found.output]
        self.assertEqual(195, sum(map(int, counts)))

    def test_upstreams_joining_together_share_line_naming_each(self):
        items = [Item(f"up/u-{n}", b"1", n + 1) for n in range(32)]
        with self.assertLogs(LOGGER) as found:
            self.apply_items(*items)
        self.assertEqual(1, len(found.output))
        self.assertIn("count=32", found.output[0])
        for number in range(32):
            self.assertIn(f"u-{number}@", found.output[0])

    def test_single_upstream_has_its_own_line(self):
        with self.assertLogs(LOGGER) as found:
            self.apply_items(Item("up/u-1", b"1", 1))
            self.apply_items(Item("up/u-1", None, 2))
        self.assertIn("upstream_joined upstream=u-1", found.output[0])
        self.assertIn("upstream_gone upstream=u-1", found.output[1])

    def test_line_names_limited_number_of_members(self):
        log = MemberLog(clock=lambda: self.now)
        for number in range(40):
            log.joined(f"n-{number}", "test")
        self.now += 5.0
        with self.assertLogs(LOGGER) as found:
            log.flush(members=40)
        self.assertIn("n-7", found.output[0])
        self.assertNotIn("n-8", found.output[0])
