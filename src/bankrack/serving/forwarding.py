"""Forwarding of a run's events to its caller across changes of the engine."""

import dataclasses

from bankrack.clock import boottime
from bankrack.exceptions import UpstreamFailed
from bankrack.serving.client import Head
from bankrack.serving.events import Event
from bankrack.serving.events import EventOrder
from bankrack.serving.events import EventSplitter
from bankrack.serving.gaps import GapMeter
from bankrack.serving.job import Reply


@dataclasses.dataclass(slots=True, frozen=True)
class Pause:
    """Pause of a stream before an event.

    :param event: number of events that the caller received before the pause.
    :param moved: whether the run changed its engine during the pause.
    """

    seconds: float
    event: int
    moved: bool


class EventForwarder:
    """Forwards each event once and in order, and measures the pauses between events.

    :param gap_target: target seconds between two events; 0 if unset.
    :ivar began_at: boot-time seconds of the first event.
    :ivar gaps: gaps between the events of the current engine.
    :ivar last_at: boot-time seconds of the newest event.
    :ivar excess_pause_seconds: sum of the pauses' excess over ``gap_target``.
    """

    __slots__ = (
        "_gap_target",
        "_left",
        "_moved",
        "_reply",
        "_splitter",
        "began_at",
        "count",
        "excess_pause_seconds",
        "gaps",
        "last_at",
        "longest_pause",
        "order",
    )

    def __init__(self, reply: Reply, *, gap_target: float = 0.0) -> None:
        self.order = EventOrder()
        self.began_at = 0.0
        self.last_at = 0.0
        self.count = 0
        self.longest_pause = Pause(0.0, 0, False)
        self.excess_pause_seconds = 0.0
        self.gaps = GapMeter("")
        self._gap_target = gap_target
        self._moved = False
        # Of the engines that were left since the newest event.
        self._left: list[EventSplitter] = []
        self._reply = reply
        self._splitter = EventSplitter()

    @property
    def began(self) -> bool:
        """Whether any part of the response was sent to the caller."""
        return self._reply.started

    @property
    def seconds(self) -> float:
        """Seconds from the first event to the newest."""
        return self.last_at - self.began_at

    @property
    def engine_events(self) -> int:
        """Number of complete events that the current engine has sent."""
        return self._splitter.count

    @property
    def gap(self) -> float:
        """Mean seconds between two events; 0 before the second event."""
        return self.seconds / max(1, self.count - 1)

    def change_engine(self, gaps: GapMeter | None = None) -> EventSplitter:
        """Start with a new splitter for another engine; returns the previous one.

        :param gaps: measures the events of the other engine, if it is known.
        """
        previous, self._splitter = self._splitter, EventSplitter()
        self._left.append(previous)
        self.gaps = gaps or GapMeter("")
        self._moved = True
        return previous

    def restore_engine(self, splitter: EventSplitter) -> None:
        """Restore the splitter of an engine that is kept after all."""
        self._splitter = splitter
        self._left.remove(splitter)
        self._moved = False

    async def feed(self, data: bytes, head: Head) -> None:
        """Add bytes of an engine's response and forward the completed events.

        Raises :exc:`UpstreamFailed` if the response has no proof of origin; its events
        do not count as received then.
        """
        for event in self._splitter.feed(data):
            _refuse_unproved(head)
            if self.order.accept(event):
                await self._write(event, head)

    def check_end(self, head: Head) -> None:
        """Raise :exc:`UpstreamFailed` if the stream ended before or inside an event.

        :param head: of the response that ended, which needs a proof of origin.
        """
        _refuse_unproved(head)
        if self._splitter.rest:
            raise UpstreamFailed("the stream ended inside an event")
        if any(splitter.cut_behind(self.order.last) for splitter in self._left):
            raise UpstreamFailed(
                "the stream ended without the event inside which an earlier engine "
                "broke off"
            )
        if not self.count:
            raise UpstreamFailed("the stream ended before its first event")
        last, engine_last = self.order.last, self._splitter.last_id
        if last is not None and engine_last is not None and engine_last < last:
            raise UpstreamFailed(
                f"the stream ended behind event {engine_last}, but the caller has "
                f"event {last}"
            )

    async def _write(self, event: Event, head: Head) -> None:
        now = boottime()
        if self.began:
            self._note_pause(now - self.last_at, now)
        self._moved = False
        self.last_at = now
        if not event.is_comment:
            self.count += 1
            self._left.clear()
        if not self.began:
            self.began_at = self.last_at
            await self._reply.begin(head.status, head.headers)
        if await self._reply.write(event.data):
            # Later events come when the caller reads, and those that lay unread
            # meanwhile come at once: they do not tell how fast the engine is.
            self.gaps = GapMeter("")

    def _note_pause(self, seconds: float, now: float) -> None:
        if not self._moved:
            self.gaps.add(seconds, now)
        if seconds > self.longest_pause.seconds:
            self.longest_pause = Pause(seconds, self.count, self._moved)
        if self._gap_target:
            self.excess_pause_seconds += max(0.0, seconds - self._gap_target)


def _refuse_unproved(head: Head) -> None:
    if not head.sealed:
        raise UpstreamFailed("the engine's response has no proof of origin")
