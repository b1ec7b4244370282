"""Requests of callers, independent of any platform's wire dialect."""

import asyncio
import dataclasses
import enum
import typing as t

from bankrack.exceptions import CallerTooSlow

Header = tuple[str, str]


SHORT_TOKENS = 100
"""Runs that generate fewer tokens are short: prefill is most of their work."""


RETRY_AFTER_FRACTION = 0.25
"""Fraction of a caller's timeout that is suggested as ``Retry-After`` if the recovery
time is unknown.  Callers retry once or twice and wait a third of their timeout at
most."""
MAX_LOGGED_PARTS = 8
"""Bounds the parts of a prompt in one log line."""
MAX_LOGGED_ID_LENGTH = 32
"""Bounds the characters of a part's id, which callers choose, in a log line."""
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 5.0


class RequestKind(enum.Enum):
    """RequestKind of a request, which decides whether it may be retried or resumed."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class PromptPart:
    """A prefix of a prompt that other prompts may share."""

    id: str
    tokens: int


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Resources that a generation needs from an engine, in tokens.

    :param output_limit: upper bound of the generated tokens; 0 if unknown.
    :param length_hint: the caller's estimate of the generated tokens; 0 if unknown.
    :param parts: parts of the prompt in their order; the last belongs to the request
        itself or to its session.
    """

    prompt: int = 0
    output_limit: int = 0
    length_hint: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def expected(self) -> int:
        """Tokens that the run is expected to hold at its end."""
        return self.prompt + self.output

    @property
    def output(self) -> int:
        """Tokens that the run is expected to generate."""
        return self.length_hint or self.output_limit

    @property
    def max_output(self) -> int:
        """Tokens that the run generates at most; the estimate if that is unknown."""
        return self.output_limit or self.length_hint

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other prompts may share."""
        return self.parts[:-1]

    @property
    def short(self) -> bool:
        """Whether prefill is most of the work; false if the output is unknown."""
        return 0 < self.output < SHORT_TOKENS


def shared_part_names(demand: Demand) -> str:
    """Return the ids of a prompt's shared parts for the log, bounded in length."""
    parts = demand.shared_parts[:MAX_LOGGED_PARTS]
    return ",".join(part.id[:MAX_LOGGED_ID_LENGTH] for part in parts)


@dataclasses.dataclass(slots=True)
class Job:
    """One request of a caller.

    :param id: the caller's identifier of this attempt, forwarded to the upstream.
    :param target: path and query, exactly as received.
    :param headers: end-to-end headers to forward, in their order.
    :param key: API key of the request.
    :param arrived: boot-time seconds when the request was received.
    :param caller_timeout: the caller's timeout in seconds, or ``None`` if unknown.
    """

    id: str
    method: str
    host: str
    target: str
    headers: list[Header]
    body: bytes
    key: str | None
    arrived: float
    caller_timeout: float | None
    demand: Demand = dataclasses.field(default_factory=Demand)

    @property
    def retry_after(self) -> float:
        """Seconds until a retry is suggested if the recovery time is unknown."""
        wanted = RETRY_AFTER_FRACTION * (self.caller_timeout or 0.0)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wanted))


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """A complete response of an upstream, forwarded unchanged."""

    status: int
    headers: list[Header]
    body: bytes


class Reply(t.Protocol):
    """Writer of the response to one job."""

    @property
    def started(self) -> bool:
        """Whether any part of the response was written."""
        ...

    @property
    def cut(self) -> CallerTooSlow | None:
        """Why the caller was cut off, if it was."""
        ...

    @property
    def behind(self) -> bool:
        """Whether the caller has not read all that was written."""
        ...

    def set_limit(self, limit: asyncio.Timeout, *, max_silence: float) -> None:
        """Set the timeout that ends the serving of the request.

        :param max_silence: seconds without an event after which the caller gives up.
        """
        ...

    async def answer(self, answer: Answer) -> None:
        """Write a complete response."""
        ...

    async def begin(self, status: int, headers: t.Sequence[Header]) -> None:
        """Start a streamed response."""
        ...

    async def write(self, data: bytes) -> bool:
        """Write a chunk of a streamed response; returns whether the caller is behind.

        Then no more was held for it, and the write took until it had read some.
        """
        ...

    async def end(self) -> None:
        """Finish a streamed response as complete."""
        ...

    def abort(self) -> None:
        """Abort the response so that the caller sees that it is incomplete."""
        ...
