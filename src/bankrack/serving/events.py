"""Splitting of a byte stream into server-sent events."""

from bankrack.exceptions import InvalidUpstreamData

MAX_EVENT_BYTES = 1024 * 1024


class Event:
    """One event with its raw bytes and its id, if any."""

    __slots__ = ("data", "id")

    def __init__(self, data: bytes, event_id: int | None) -> None:
        self.data = data
        self.id = event_id

    @property
    def is_comment(self) -> bool:
        """Whether it carries nothing, as sent to keep a connection open."""
        return _is_comment(self.data)


class EventSplitter:
    """Buffers bytes and returns complete events.

    :ivar count: number of complete events so far.
    :ivar last_id: id of the newest of them that has one.
    """

    __slots__ = ("_rest", "count", "last_id")

    def __init__(self) -> None:
        self._rest = b""
        self.count = 0
        self.last_id: int | None = None

    @property
    def rest(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return self._rest

    def cut_behind(self, last: int | None) -> bool:
        """Whether the bytes end inside an event that the caller lacks.

        :param last: id of the caller's newest event, if any.
        """
        if _is_comment(self._rest):
            return False
        lines = self._rest.split(b"\n")
        event_id = _event_id(b"\n".join(lines[:-1]))
        return event_id is None or last is None or event_id > last

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events completed by them.

        Raises :exc:`InvalidUpstreamData` for an oversized event or an invalid id.
        """
        buffer = self._rest + data
        events = []
        start = 0
        while (end := buffer.find(b"\n\n", start)) >= 0:
            raw = buffer[start : end + 2]
            event = Event(raw, _event_id(raw))
            events.append(event)
            if event.id is not None:
                self.last_id = event.id
            start = end + 2
        self._rest = buffer[start:]
        self.count += len(events)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise InvalidUpstreamData("an event of the stream is larger than 1 MiB")
        return events


def _is_comment(raw: bytes) -> bool:
    return all(line.startswith(b":") for line in raw.split(b"\n") if line)


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            try:
                return int(line[3:])
            except ValueError as error:
                message = f"the event id {line[3:40]!r} is not an integer"
                raise InvalidUpstreamData(message) from error
    return None


class EventOrder:
    """Filters repeated events and detects missing ones."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: int | None = None

    def accept(self, event: Event) -> bool:
        """Return whether to forward an event.

        Raises :exc:`InvalidUpstreamData` if an event is missing before it.
        """
        if event.id is None:
            return True
        if self.last is not None and event.id <= self.last:
            return False
        if self.last is not None and event.id != self.last + 1:
            raise InvalidUpstreamData(
                f"the stream continues with event {event.id} after event {self.last}"
            )
        self.last = event.id
        return True
