"""Tests of splitting a stream into events and of checking their order."""

import itertools

from hypothesis import given
from hypothesis import strategies

from bankrack.exceptions import InvalidUpstreamData
from bankrack.serving.events import EventOrder
from bankrack.serving.events import EventSplitter
from tests.base import TestCase

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(6))


class EventSplitting(TestCase):
    @given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
    def test_events_do_not_depend_on_chunk_boundaries(self, boundaries):
        splitter = EventSplitter()
        events = []
        offsets = [0, *sorted(boundaries), len(STREAM)]
        for start, end in itertools.pairwise(offsets):
            events += splitter.feed(STREAM[start:end])
        self.assertEqual(STREAM, b"".join(event.data for event in events))
        self.assertEqual(list(range(6)), [event.id for event in events])
        self.assertEqual(b"", splitter.rest)

    @given(strategies.binary(max_size=200))
    def test_invalid_data_is_buffered_or_raises_a_typed_error(self, data):
        splitter = EventSplitter()
        try:
            events = splitter.feed(data)
        except InvalidUpstreamData:
            return
        found = b"".join(event.data for event in events) + splitter.rest
        self.assertEqual(data, found)

    def test_unterminated_event_is_bounded(self):
        splitter = EventSplitter()
        self.assertRaises(InvalidUpstreamData, splitter.feed, b"x" * 2_000_000)


class EventOrdering(TestCase):
    def accepted(self, *ids: int) -> list[bool]:
        order = EventOrder()
        splitter = EventSplitter()
        return [order.accept(splitter.feed(b"id: %d\n\n" % n)[0]) for n in ids]

    def test_repeated_events_are_dropped(self):
        self.assertEqual([True, True, False, True], self.accepted(0, 1, 1, 2))

    def test_missing_event_is_an_error(self):
        self.assertRaises(InvalidUpstreamData, self.accepted, 0, 2)


class CutEvents(TestCase):
    def cut(self, rest: bytes, last: int | None = 3) -> bool:
        splitter = EventSplitter()
        splitter.feed(rest)
        return splitter.cut_behind(last)

    def test_part_of_a_new_event_is_missed(self):
        for rest in (b"id: 4\ndat", b"id: 1", b"d", b"data: x\n"):
            self.assertTrue(self.cut(rest), rest)
        self.assertTrue(self.cut(b"id: 0\nd", last=None))

    def test_part_of_a_comment_or_of_a_repeated_event_is_not_missed(self):
        for rest in (b"", b": ke", b"id: 3\ndat", b"id: 3\ndata: x\n\n"):
            self.assertFalse(self.cut(rest), rest)
