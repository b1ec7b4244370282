"""Jobs, and the services that all generations of a node share."""

import asyncio
import typing as t

import msgspec

from bankrack.clock import boottime
from bankrack.control.intent import Upstream
from bankrack.generations.engine import EngineClient
from bankrack.generations.retries import RetryBudget
from bankrack.scheduling.admission import Admission
from bankrack.scheduling.health import Health
from bankrack.scheduling.slots import AdmissionRequest
from bankrack.settings import Limits

STALL_CHECK_INTERVAL_SECONDS = 0.25


class Reader(t.Protocol):
    """A generation that reads from an engine.

    :param reading_since: start of the pending read in monotonic seconds; infinite
        while no read is pending.
    """

    reading_since: float

    def interrupt(self) -> None:
        """Close the connection, so that the reader resumes on a new one."""
        ...


class Job(msgspec.Struct, frozen=True):
    """A request that is ready to run.

    :param body: request body for the engine.
    :param key: idempotency key of the caller; empty if the request is repeatable.
    """

    request_id: str
    ask: AdmissionRequest
    kind: str
    body: bytes
    key: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return not self.key


class GenerationContext:
    """Services and limits that all generations of a node share.

    :param ensure_fresh: reads the configuration again if the process was
        suspended since the last read.
    :param is_leaving: returns whether an upstream must not get new requests.
    :ivar ending: this node ends; callers may continue their streams at another one.
    """

    def __init__(
        self,
        *,
        client: EngineClient,
        admission: Admission,
        health: Health,
        retries: RetryBudget,
        limits: Limits,
        ensure_fresh: t.Callable[[], t.Awaitable[None]],
        is_leaving: t.Callable[[Upstream], bool],
    ) -> None:
        self.ending = False
        self.ensure_fresh = ensure_fresh
        self.is_leaving = is_leaving
        self.client = client
        self.admission = admission
        self.health = health
        self.retries = retries
        self.limits = limits
        self.reading: set[Reader] = set()
        self._cancellations: set[asyncio.Task[bool]] = set()

    async def interrupt_stalled(self) -> None:
        """Close connections on which no data arrives, until cancelled.

        One task serves all streams, because a timer for each read costs 15 us a token.
        """
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_SECONDS)
            oldest = boottime() - self.limits.token_timeout
            for generation in list(self.reading):
                if generation.reading_since < oldest:
                    generation.interrupt()

    def cancel_soon(self, upstream: Upstream, generation: str) -> None:
        """Cancel a generation in the background."""
        task = asyncio.create_task(self.client.cancel(upstream, generation))
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)
