"""Sends this node's requests for reservations, and learns how long answers take.

A request goes on when its run does not wait for it any more, and its round trip still
counts.  A reservation that nobody uses is released, as it would occupy the engine until
it expires.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.reservations import may_repeat
from bankrack.decisions.reservations import RoundTrips
from bankrack.decisions.reservations import Silence
from bankrack.decisions.reservations import unreachable_retry_seconds
from bankrack.exceptions import BankrackError
from bankrack.exceptions import Overloaded
from bankrack.metrics import GatewayMetrics
from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.assignment import Assignment
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.choice import Chooser
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream

RESERVED_GROWTH_TOKENS = 150
"""Tokens reserved in addition to the prompt.  Reserving the whole expected output
would admit fewer runs."""
MAX_IN_FLIGHT_BY_ENGINE = 16
"""Requests of this node that one engine has at the same time.  The others wait here in
their order, as each further one would need a connection of its own."""
CALL_TIMEOUT_SECONDS = 2.0
"""Time after which a request without an answer is cancelled."""
MAX_ENGINES = 256
"""Bounds the engines of a service whose round trips are remembered."""


class ServiceAnswers:
    """What this node knows of the answers of a service's engines.

    :ivar answered_at: boot-time seconds of the newest answer of any engine.
    """

    __slots__ = ("answered_at", "round_trips_by_engine", "silence")

    def __init__(self) -> None:
        self.answered_at = -math.inf
        self.silence = Silence()
        self.round_trips_by_engine: collections.OrderedDict[str, RoundTrips] = (
            collections.OrderedDict()
        )

    def of(self, engine: str) -> RoundTrips:
        """Return the round trips of an engine."""
        found = self.round_trips_by_engine.setdefault(engine, RoundTrips())
        self.round_trips_by_engine.move_to_end(engine)
        if len(self.round_trips_by_engine) > MAX_ENGINES:
            self.round_trips_by_engine.popitem(last=False)
        return found

    def others(self, engine: str) -> t.Iterator[RoundTrips]:
        """Yield the round trips of all other engines."""
        for other, round_trips in self.round_trips_by_engine.items():
            if other != engine:
                yield round_trips

    def observe(self, request: "ReservationRequest", sent_at: float) -> float:
        """Record that an answer has arrived; returns its round trip in seconds."""
        self.answered_at = boottime()
        round_trips = self.of(request.engine.id)
        round_trips.observe(request.queued_at, sent_at, self.answered_at)
        return self.answered_at - sent_at


class _EngineQueue:
    """Requests to one engine: those in flight, and those that wait to be sent.

    :ivar users: number of both.
    """

    __slots__ = ("slots", "users")

    def __init__(self) -> None:
        self.slots = asyncio.Semaphore(MAX_IN_FLIGHT_BY_ENGINE)
        self.users = 0


@dataclasses.dataclass(slots=True)
class ReservationRequest:
    """A request to an engine.  Times are boot-time seconds.

    :param queued_at: time when it was queued for being sent.
    :param progress: progress of the call; ``None`` until it is sent.
    :param repeats: it was sent although no engine had answered the run's last one.
    """

    engine: Upstream
    queued_at: float
    repeats: bool
    progress: CallProgress | None = None
    task: "asyncio.Task[str | None] | None" = None


class Reservations:
    """Requests of all runs of this node for reservations."""

    def __init__(
        self,
        control: EngineControl,
        chooser: Chooser,
        advisor: PlacementAdvisor,
        metrics: GatewayMetrics,
    ) -> None:
        self.control = control
        self.chooser = chooser
        self.advisor = advisor
        self.metrics = metrics
        self.in_flight = 0
        self.repeats = 0
        self._answers_by_service: dict[str, ServiceAnswers] = {}
        self._queue_by_engine: dict[str, _EngineQueue] = {}
        self._abandoned: set[asyncio.Task[t.Any]] = set()

    def answers_of(self, service: str) -> ServiceAnswers:
        """Return what is known of the answers of a service's engines."""
        return self._answers_by_service.setdefault(service, ServiceAnswers())

    def refuse_if_silent(self, work: Assignment) -> None:
        """Raise :exc:`Overloaded` if this node knows that no engine answers it."""
        answers = self.answers_of(work.service.name)
        if answers.silence.refuses(boottime(), answers.answered_at):
            raise self.unreachable(work)

    def unreachable(self, work: Assignment) -> Overloaded:
        """Return the error of a run for which no engine answers this node."""
        return Overloaded(
            f"no engine of {work.service.name} answers this node; try again",
            retry_after=unreachable_retry_seconds(random.random()),
        )

    async def send(
        self, request: ReservationRequest, work: Assignment, traits: EngineTraits
    ) -> str | None:
        """Send a request once the engine has few enough of them.

        Returns the id of the reservation; ``None`` if the engine makes none.
        """
        engine = request.engine
        tokens = work.job.demand.prompt + RESERVED_GROWTH_TOKENS
        async with self._slot(engine):
            progress = request.progress = CallProgress()
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reservation = await self.control.reserve(
                    engine, tokens, traits.max_reservation_seconds, progress
                )
        answers = self.answers_of(work.service.name)
        seconds = answers.observe(request, progress.started_at)
        self.metrics.reservation_seconds.observe({}, seconds)
        return reservation

    @contextlib.asynccontextmanager
    async def _slot(self, engine: Upstream) -> t.AsyncIterator[None]:
        """Wait until the engine has few enough requests of this node."""
        queue = self._queue_by_engine.setdefault(engine.id, _EngineQueue())
        queue.users += 1
        try:
            async with queue.slots:
                yield
        finally:
            queue.users -= 1
            if not queue.users:
                del self._queue_by_engine[engine.id]

    def abandon(self, request: ReservationRequest, log: RunLog) -> None:
        """Let a request go on without its run, and release what it reserves."""
        assert request.task is not None
        if request.progress is None:
            # It was not sent.
            request.task.cancel()
            return
        settling = asyncio.create_task(self._release_when_made(request, log))
        self._abandoned.add(settling)
        settling.add_done_callback(self._abandoned.discard)

    async def _release_when_made(
        self, request: ReservationRequest, log: RunLog
    ) -> None:
        assert request.task is not None
        engine = request.engine
        try:
            reservation = await request.task
            if reservation is None:
                return
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.control.release(engine, reservation)
        except (BankrackError, TimeoutError) as error:
            log.write("hold_not_released", engine, "failed", repr(error))
            self.count("not_released")
            return
        log.write("hold_released", engine, "late")
        self.count("released")

    @property
    def may_repeat(self) -> bool:
        """Whether one more run may ask another engine although none answers."""
        return may_repeat(self.repeats, in_flight=self.in_flight)

    def count(self, outcome: str) -> None:
        """Count an outcome of a request."""
        self.metrics.reservations.inc({"outcome": outcome})

    async def close(self) -> None:
        """Cancel the requests that go on without their runs."""
        for settling in self._abandoned:
            settling.cancel()
        await asyncio.gather(*self._abandoned, return_exceptions=True)
