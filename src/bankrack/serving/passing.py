"""Passing the events of a run on to its caller, from whichever engine they come."""

import time

from bankrack.exceptions import UpstreamFailed
from bankrack.serving.client import Head
from bankrack.serving.events import EventOrder
from bankrack.serving.events import EventSplitter
from bankrack.serving.job import Reply


class EventPasser:
    """Passes each event on once, in order, as it comes.

    :param began_at: monotonic seconds of the first event; ``last_at`` of the newest.
    """

    __slots__ = ("_reply", "_splitter", "began_at", "count", "last_at", "order")

    def __init__(self, reply: Reply) -> None:
        self.order = EventOrder()
        self.began_at = 0.0
        self.last_at = 0.0
        self.count = 0
        self._reply = reply
        self._splitter = EventSplitter()

    @property
    def began(self) -> bool:
        """Whether the caller has anything."""
        return self._reply.started

    @property
    def seconds(self) -> float:
        """Time from the first event to the newest."""
        return self.last_at - self.began_at

    @property
    def gap(self) -> float:
        """Seconds from one event to the next, on average; 0 after the first."""
        return self.seconds / max(1, self.count - 1)

    def change_engine(self) -> EventSplitter:
        """Forget what the last engine left unfinished; returns that."""
        left, self._splitter = self._splitter, EventSplitter()
        return left

    def keep_engine(self, left: EventSplitter) -> None:
        """Go on with what an engine left unfinished."""
        self._splitter = left

    async def feed(self, data: bytes, head: Head) -> None:
        """Take in bytes of an engine's answer and pass on the events they complete."""
        for event in self._splitter.feed(data):
            if self.order.accept(event):
                await self._write(event.data, head)

    def check_end(self) -> None:
        """Check that an answer ended where a stream may end."""
        if self._splitter.rest:
            raise UpstreamFailed("the stream ended inside an event")
        if not self.began:
            raise UpstreamFailed("the stream ended before its first event")

    async def _write(self, data: bytes, head: Head) -> None:
        self.last_at = time.monotonic()
        self.count += 1
        if not self.began:
            if not head.sealed:
                raise UpstreamFailed("the engine's answer carries no proof of origin")
            self.began_at = self.last_at
            await self._reply.begin(head.status, head.headers)
        await self._reply.write(data)
