"""Cutting a stream's bytes into whole server-sent events."""

from bankrack.exceptions import InvalidUpstreamData

MAX_EVENT_BYTES = 1024 * 1024


class Event:
    """One event: its bytes as they came, and its id if it has one."""

    __slots__ = ("data", "id")

    def __init__(self, data: bytes, event_id: int | None) -> None:
        self.data = data
        self.id = event_id


class EventSplitter:
    """Collects bytes and gives out whole events; the rest is kept back."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that they complete."""
        buffer = self._rest + data
        events = []
        start = 0
        while (end := buffer.find(b"\n\n", start)) >= 0:
            raw = buffer[start : end + 2]
            events.append(Event(raw, _event_id(raw)))
            start = end + 2
        self._rest = buffer[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise InvalidUpstreamData("an event of the stream is larger than 1 MiB")
        return events


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError as error:
                message = f"the event id {line[3:40]!r} is no number"
                raise InvalidUpstreamData(message) from error
    return None


class EventOrder:
    """Lets each event through once and in order."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: int | None = None

    def accept(self, event: Event) -> bool:
        """Tell whether to pass an event on; raises when one is missing."""
        if event.id is None:
            return True
        if self.last is not None and event.id <= self.last:
            return False
        if self.last is not None and event.id != self.last + 1:
            raise InvalidUpstreamData(
                f"the stream goes on at event {event.id} after {self.last}"
            )
        self.last = event.id
        return True
