"""Validates the event stream of one generation.

Every event of an engine has the id ``<generation>:<offset>``.  A
:class:`StreamCheck` accepts only the next offset of its own generation; any other
event is rejected or discarded.
"""

import enum

import msgspec

from bankrack.exceptions import InvalidUpstreamData
from bankrack.exceptions import InvariantViolated
from bankrack.wire.completions import Choice
from bankrack.wire.completions import Chunk
from bankrack.wire.completions import Usage

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 256 * 1024
_DONE = b"[DONE]"
_BRACE = ord("{")
_CHUNK_DECODER = msgspec.json.Decoder(Chunk)


class StreamState(enum.Enum):
    """State of a stream.

    ``FINISHED`` follows the token with a finish reason, ``DONE`` the end marker.
    """

    OPEN = "open"
    FINISHED = "finished"
    DONE = "done"


class Token(msgspec.Struct, gc=False):
    """Text of one accepted event."""

    offset: int
    text: str
    finish_reason: str | None = None


class StreamCheck:
    """Accepts the events of one generation, each once and in order.

    :param generation: id of the only generation that is accepted.
    :param offset: first expected offset; above 0 for a resumed stream.
    """

    __slots__ = (
        "_buffer",
        "_expected",
        "_failure",
        "_prefix",
        "discarded",
        "finish_reason",
        "generation",
        "offset",
        "state",
        "usage",
    )

    def __init__(self, generation: str, *, offset: int = 0) -> None:
        self.generation = generation
        self.offset = offset
        self.state = StreamState.OPEN
        self.finish_reason: str | None = None
        self.usage: Usage | None = None
        self.discarded = 0
        self._buffer = b""
        self._failure: InvalidUpstreamData | None = None
        self._prefix = b"id: " + generation.encode() + b":"
        self._expected = b""
        self._advance(offset)

    def feed(self, chunk: bytes) -> list[Token]:
        """Parse received bytes and return the tokens that they complete.

        :raises InvalidUpstreamData: on a gap, an id of another generation or
            malformed data.  Events accepted earlier stay accepted.
        """
        if self._is_single_next_event(chunk):
            decoded = _decode(chunk[len(self._expected) :])
            if decoded.choices and decoded.choices[0].finish_reason is None:
                offset = self.offset
                self.offset = offset + 1
                self._expected = b"%b%d\ndata: " % (self._prefix, offset + 1)
                return [Token(offset, decoded.text)]
        return self._feed_events(chunk)

    def _is_single_next_event(self, chunk: bytes) -> bool:
        """Return whether a chunk is exactly the next event, as most chunks are.

        This is a fast path; :meth:`_feed_events` gives the same result.
        """
        return (
            chunk.startswith(self._expected)
            and chunk.find(EVENT_END) == len(chunk) - len(EVENT_END)
            and not self._buffer
            and self.state is StreamState.OPEN
            and chunk[len(self._expected)] == _BRACE
        )

    def _feed_events(self, chunk: bytes) -> list[Token]:
        data = self._buffer + chunk if self._buffer else chunk
        events = data.split(EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise _invalid_stream_error(f"an event above {MAX_EVENT_BYTES} bytes")
        tokens: list[Token] = []
        try:
            for event in events:
                if event.startswith(self._expected):
                    self._accept(event, tokens)
                else:
                    self._reject(event)
        except InvalidUpstreamData as error:
            if not tokens:
                raise
            # Tokens before the invalid event must be delivered first.
            self._failure = error
        return tokens

    def raise_failure(self) -> None:
        """Raise the error that followed the tokens last returned, if any."""
        if self._failure is not None:
            failure, self._failure = self._failure, None
            raise failure

    def reconnect(self) -> None:
        """Discard a partial event before the stream continues on a new connection."""
        self._buffer = b""
        self._failure = None

    def _accept(self, event: bytes, tokens: list[Token]) -> None:
        data = event[len(self._expected) :]
        if data == _DONE:
            self._finish()
            return
        if self.state is StreamState.DONE:
            raise _invalid_stream_error("an event after the end")
        chunk = _decode(data)
        if not chunk.choices:
            self._take_usage(chunk)
            return
        if self.state is not StreamState.OPEN:
            raise _invalid_stream_error("a token after the end")
        choice = chunk.choices[0]
        tokens.append(Token(self.offset, chunk.text, choice.finish_reason))
        self._take_finish(choice)
        self._advance(self.offset + 1)

    def _take_finish(self, choice: Choice) -> None:
        if choice.finish_reason is not None:
            self.finish_reason = choice.finish_reason
            self.state = StreamState.FINISHED

    def _take_usage(self, chunk: Chunk) -> None:
        if self.state is not StreamState.FINISHED or chunk.usage is None:
            raise _invalid_stream_error("an event without a choice")
        self.usage = chunk.usage
        self._advance(self.offset + 1)

    def _finish(self) -> None:
        if self.state is not StreamState.FINISHED:
            raise _invalid_stream_error("an end without a finish reason")
        self.state = StreamState.DONE

    def _reject(self, event: bytes) -> None:
        if event.startswith(b":") or not event.strip():
            return
        if not event.startswith(self._prefix):
            raise _invalid_stream_error("an event of another generation")
        number = event[len(self._prefix) :].split(b"\n", 1)[0]
        if number.isdigit() and int(number) < self.offset:
            self.discarded += 1
            return
        raise _invalid_stream_error("a gap in the stream")

    def _advance(self, offset: int) -> None:
        if offset < self.offset:
            raise InvariantViolated(
                f"stream offset decreased from {self.offset} to {offset}"
            )
        self.offset = offset
        self._expected = b"%b%d\ndata: " % (self._prefix, offset)


def _decode(data: bytes) -> Chunk:
    try:
        return _CHUNK_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _invalid_stream_error("an event that does not decode") from error


def _invalid_stream_error(reason: str) -> InvalidUpstreamData:
    return InvalidUpstreamData(
        f"the upstream sent {reason}; check the version and health of the engine"
    )
