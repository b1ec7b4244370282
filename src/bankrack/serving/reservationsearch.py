"""Looks for an engine that makes a reservation for a run.

A request is not cancelled when its answer is overdue: the answer of an engine that was
only slow is used if it comes while the run still looks for an engine.
"""

import asyncio
import dataclasses
import math
import types
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.reservations import judge
from bankrack.decisions.reservations import MAX_SILENT_SECONDS
from bankrack.decisions.reservations import Overdue
from bankrack.decisions.reservations import timeout_seconds
from bankrack.decisions.reservations import Verdict
from bankrack.exceptions import BankrackError
from bankrack.exceptions import UpstreamClosed
from bankrack.serving.assignment import Assignment
from bankrack.serving.reservations import ReservationRequest
from bankrack.serving.reservations import Reservations
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream


@dataclasses.dataclass(slots=True, frozen=True)
class Reservation:
    """A reservation that an engine made for a run.

    :param id: the engine's identifier of the reservation.
    """

    engine: Upstream
    id: str


class ReservationSearch:
    """Requests of one run for a reservation, until one engine makes it.

    Used as a context manager, at whose end the requests that are left are abandoned.
    """

    def __init__(
        self,
        reservations: Reservations,
        work: Assignment,
        traits: EngineTraits,
        log: RunLog,
    ) -> None:
        self._reservations = reservations
        self._answers = reservations.answers_of(work.service.name)
        self._work = work
        self._traits = traits
        self._log = log
        self._request_by_engine: dict[str, ReservationRequest] = {}
        self._failed: set[str] = set()
        self._overdue: set[str] = set()
        self._answered = False
        self._silent_seconds = 0.0
        # A run may wait long for admission before it asks the first engine.
        self._began_at = math.inf
        self._wait_until = math.inf
        self._max_silent_seconds = MAX_SILENT_SECONDS

    def __enter__(self) -> "ReservationSearch":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for request in self._request_by_engine.values():
            self._finish(request)
            self._reservations.abandon(request, self._log)

    @property
    def unreachable(self) -> set[str]:
        """Ids of engines whose newest request failed or was not answered in time."""
        return self._failed | self._overdue

    def may_take_run(self, engine: Upstream) -> bool:
        """Whether an engine takes a run without a reservation, as far as is known.

        It does if it responded to this node since the search began, whatever to.
        """
        if engine.id in self._failed:
            return False
        if engine.responded_at > self._began_at:
            return True
        return engine.id not in self._overdue and not self._is_silent

    @property
    def should_go_on(self) -> bool:
        """Whether to wait further, as no engine has answered this run yet."""
        is_waiting = bool(self._request_by_engine) and not self._answered
        return is_waiting and not self._is_over

    @property
    def _is_silent(self) -> bool:
        return self._silent_seconds >= self._max_silent_seconds

    @property
    def _is_over(self) -> bool:
        return self._is_silent or boottime() >= self._wait_until

    def note_silence(self, engines: t.Iterable[Upstream]) -> None:
        """Record that the run is refused, unless one of the engines responded lately.

        :param engines: all engines of the service.
        """
        now = boottime()
        since = min(self._began_at, now - MAX_SILENT_SECONDS)
        if self.unreachable and all(e.responded_at < since for e in engines):
            self._answers.silence.note(now)

    async def ask(self, engine: Upstream) -> Reservation | None:
        """Ask an engine; ``None`` if it makes no reservation, or does not in time.

        A reservation of an engine that was asked before is returned as well.
        """
        if math.isinf(self._began_at):
            self._start_waiting()
        if self._is_over and self._request_by_engine:
            return None
        request = self._continued(engine) or self._start(engine)
        while True:
            now = boottime()
            round_trips = self._answers.round_trips_by_engine.values()
            limit = timeout_seconds(round_trips, now)
            due_at = now + limit
            if reservation := await self._wait(limit):
                return reservation
            if self._request_by_engine.get(engine.id) is not request:
                return None
            late = boottime() - due_at
            if late >= 0.0 and self._gives_up(request, limit, late):
                return None

    async def pause(self, seconds: float) -> Reservation | None:
        """Wait some time, or until an engine makes a reservation."""
        until = boottime() + seconds
        while (left := until - boottime()) > 0.0:
            if not self._request_by_engine:
                await asyncio.sleep(left)
            elif reservation := await self._wait(left):
                return reservation
        return None

    def _start_waiting(self) -> None:
        """Limit the waiting of the run, from its first request on."""
        max_wait = min(self._work.time_left(), self._work.silence_left()) / 2
        self._began_at = boottime()
        self._wait_until = self._began_at + max_wait
        self._max_silent_seconds = min(MAX_SILENT_SECONDS, max_wait)

    def _continued(self, engine: Upstream) -> ReservationRequest | None:
        """Return the run's request to an engine that answers others meanwhile."""
        request = self._request_by_engine.get(engine.id)
        if request is None or self._judge(request) is not Verdict.QUEUED:
            return None
        return request

    def _start(self, engine: Upstream) -> ReservationRequest:
        previous = self._request_by_engine.pop(engine.id, None)
        if previous is not None:
            self._finish(previous)
            self._reservations.abandon(previous, self._log)
        repeats = bool(self._request_by_engine) or previous is not None
        request = ReservationRequest(engine, boottime(), repeats)
        request.task = asyncio.create_task(
            self._reservations.send(request, self._work, self._traits)
        )
        self._request_by_engine[engine.id] = request
        self._reservations.in_flight += 1
        self._reservations.repeats += repeats
        return request

    def _finish(self, request: ReservationRequest) -> None:
        self._reservations.in_flight -= 1
        self._reservations.repeats -= request.repeats

    async def _wait(self, seconds: float) -> Reservation | None:
        """Wait for the next answer; returns a reservation if one was made."""
        tasks = [request.task for request in self._request_by_engine.values()]
        await asyncio.wait(
            [task for task in tasks if task is not None],
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for request in list(self._request_by_engine.values()):
            assert request.task is not None
            if request.task.done() and (reservation := self._process(request)):
                return reservation
        return None

    def _process(self, request: ReservationRequest) -> Reservation | None:
        """Process an answer or a failure."""
        assert request.task is not None
        engine = request.engine
        del self._request_by_engine[engine.id]
        self._finish(request)
        try:
            reservation = request.task.result()
        except UpstreamClosed as error:
            self._log.write("hold_refused", engine, "closed", error.message)
            return None
        except TimeoutError as error:
            self._note_overdue(request, repr(error))
            return None
        except BankrackError as error:
            self._failed.add(engine.id)
            self._log_failed(request, repr(error))
            self._suspect(engine)
            return None
        self._answered = True
        self._failed.discard(engine.id)
        self._overdue.discard(engine.id)
        if reservation is None:
            self._reservations.count("no_room")
            self._log.write("hold_refused", engine, "no room")
            return None
        self._reservations.count("made")
        for other in self._request_by_engine.values():
            if (
                self._judge(other) is Verdict.SILENT
                and other.engine.id in self._overdue
            ):
                self._suspect(other.engine)
        return Reservation(engine, reservation)

    def _gives_up(
        self, request: ReservationRequest, waited: float, late: float
    ) -> bool:
        """Whether to ask the next engine, as the answer is overdue.

        :param waited: seconds for which it was waited for since the last decision.
        :param late: delay of the timer.
        """
        verdict = self._judge(request, late)
        match verdict:
            case Verdict.LATE_TIMER | Verdict.QUEUED:
                return self._is_over
            case Verdict.UNKNOWN:
                self._silent_seconds += waited
                if not (self._reservations.may_repeat or self._is_over):
                    return False
        self._note_overdue(request, str(verdict), late)
        return True

    def _judge(self, request: ReservationRequest, late: float = 0.0) -> Verdict:
        answers, engine = self._answers, request.engine.id
        overdue = Overdue(request.queued_at, late)
        return judge(overdue, answers.of(engine), answers.others(engine))

    def _note_overdue(
        self, request: ReservationRequest, reason: str, late: float = 0.0
    ) -> None:
        """Record that an answer did not come in time, and suspect a silent engine."""
        self._overdue.add(request.engine.id)
        self._log_failed(request, reason, late)
        if self._judge(request) is Verdict.SILENT:
            self._suspect(request.engine)

    def _suspect(self, engine: Upstream) -> None:
        self._reservations.chooser.suspect(engine)
        self._reservations.advisor.failed(self._work, engine)

    def _log_failed(
        self, request: ReservationRequest, reason: str, late: float = 0.0
    ) -> None:
        self._reservations.count("failed")
        self._log.write_no_reservation(
            request.engine,
            reason,
            request.progress,
            timer_late=late,
            in_flight=self._reservations.in_flight,
        )
