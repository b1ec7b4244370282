"""Tests of the account of unread replies, with connections that are only numbers."""

from bankrack.decisions.buffers import limits_of
from bankrack.front import unreadreplies
from bankrack.front.unreadreplies import UnreadReplies
from bankrack.front.unreadreplies import WatchedReply
from tests.base import TestCase


class Connection:
    """A transport whose caller reads when the test says so."""

    def __init__(self) -> None:
        self.unsent = 20_000
        self.unacknowledged = 4_000
        self.closing = False
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.aborted = True
        self.unsent = 0


class UnreadRepliesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(unreadreplies, "boottime", lambda: self.now)
        self.patch(unreadreplies, "_unacknowledged", lambda c: c.unacknowledged)
        self.now = 100.0
        self.cuts = []
        self.unread = UnreadReplies(limits_of(128), note_cut=self.cuts.append)
        self.connection = Connection()

    def watch(self) -> WatchedReply:
        reply = WatchedReply(self.connection, request="r-1", max_silence=2.0)
        reply.cut = lambda held, reason: None
        self.unread.watch(reply)
        return reply

    def sweep(self, seconds: float = 0.25) -> None:
        self.now += seconds
        self.unread.sweep(self.now)

    async def test_caller_that_reads_less_than_is_written_is_kept(self):
        reply = self.watch()
        for _ in range(40):
            self.connection.unsent += 1_500
            self.unread.must_wait(reply, 2_000)
            self.sweep()
        self.assertEqual([], self.cuts)
        self.assertEqual(80_000, self.unread.held)
        for _ in range(16):
            self.sweep()
        self.assertEqual(["stalled"], self.cuts)

    async def test_acknowledged_bytes_show_that_the_caller_reads(self):
        self.watch()
        for _ in range(20):
            self.connection.unacknowledged -= 100
            self.sweep(1.0)
        self.assertEqual([], self.cuts)
        self.connection.unsent = 0
        self.sweep()
        self.sweep(5.0)
        self.connection.unsent = 20_000
        self.sweep(3.9)
        self.assertEqual([], self.cuts)
        self.sweep(0.1)
        self.assertEqual(["stalled"], self.cuts)
        self.assertEqual(0, self.unread.held)

    async def test_reply_whose_request_has_ended_is_dropped_if_its_caller_stalls(self):
        self.watch().cut = None
        self.connection.closing = True
        self.sweep(3.9)
        self.assertFalse(self.connection.aborted)
        self.sweep(0.1)
        self.assertTrue(self.connection.aborted)

    async def test_connection_is_counted_once(self):
        """The last reply was not swept yet when the next one grows."""
        self.watch().cut = None
        self.watch()
        self.assertEqual(20_000, self.unread.held)
        self.assertEqual(1, len(self.unread))

    async def test_caller_that_closed_its_side_is_dropped_at_once(self):
        """The transport would first send the bytes that nobody reads any more."""
        reply = self.watch()
        self.connection.closing = True
        self.sweep()
        self.assertTrue(self.connection.aborted)
        reply.cut = None
        self.sweep()
        self.assertEqual((0, 0), (len(self.unread), self.unread.held))
