"""Tests of which connection is closed for a new one."""

import dataclasses

from bankrack.front import recentconnections
from bankrack.front.recentconnections import RecentConnections
from tests.base import TestCase


@dataclasses.dataclass(eq=False)
class Connection:
    is_idle: bool = True
    closed: bool = False

    def force_close(self) -> None:
        self.closed = True


class RecentConnectionsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 10.0
        self.recent = RecentConnections(lambda: self.now)

    def opened(self, *connections: Connection) -> None:
        for connection in connections:
            self.recent.note_active(connection)
            self.now += 1.0

    def test_longest_idle_one_is_closed_and_busy_ones_are_kept(self):
        busy, first, second = Connection(is_idle=False), Connection(), Connection()
        self.opened(busy, first, second)
        self.recent.note_active(first)
        self.now += 1.0
        self.assertTrue(self.recent.close_idle())
        closed = [each.closed for each in (busy, first, second)]
        self.assertEqual([False, False, True], closed)
        self.assertTrue(self.recent.close_idle())
        self.assertFalse(self.recent.close_idle())

    def test_one_that_was_active_just_now_is_kept(self):
        connection = Connection()
        self.recent.note_active(connection)
        self.assertFalse(self.recent.close_idle())

    def test_few_connections_are_examined(self):
        """Guards against work by the number of connections for each new one."""
        busy = [Connection(is_idle=False) for _ in range(100)]
        self.opened(*busy, Connection())
        self.assertFalse(self.recent.close_idle())
        calls = 100 // recentconnections.MAX_EXAMINED
        self.assertTrue(any(self.recent.close_idle() for _ in range(calls)))
