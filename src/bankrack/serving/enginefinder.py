"""Finds an engine with room for a run, and reserves it."""

import asyncio
import dataclasses
import random
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Wait
from bankrack.decisions.pauses import FRESH_SECONDS
from bankrack.decisions.pauses import is_slow_moment
from bankrack.decisions.retryafter import retry_after_seconds
from bankrack.exceptions import BankrackError
from bankrack.exceptions import Overloaded
from bankrack.serving.advisor import PlacementAdvisor
from bankrack.serving.assignment import Assignment
from bankrack.serving.choice import Chooser
from bankrack.serving.coldquotas import ColdQuotas
from bankrack.serving.enginecontrol import EngineControl
from bankrack.serving.pools import pool_of
from bankrack.serving.pools import select_pool
from bankrack.serving.registry import Upstreams
from bankrack.serving.reservations import Reservations
from bankrack.serving.reservationsearch import Reservation
from bankrack.serving.reservationsearch import ReservationSearch
from bankrack.serving.routing import EngineTraits
from bankrack.serving.runlog import RunLog
from bankrack.serving.upstreams import Upstream

RESERVATION_WAIT_FRACTION = 0.7
"""Fraction of the target latency for which a run waits for a reservation; the rest
is left for reading its prompt."""
RESERVATION_INTERVAL_SECONDS = 0.08
"""Mean pause between two rounds of requests for a reservation, each of which is
charged."""
MAX_PROBED = 3
"""Limit on engines that are asked how long work takes there at this moment."""
PROBE_TIMEOUT_SECONDS = 0.05
"""Longest wait for that answer, which engines give at once."""
MAX_ENGINES_ASKED = 6
"""Limit on engines that are asked for a reservation in one round."""
OWNER = "owner"
REPORTS = "reports"
"""Source of the order of engines: the pool owner, or this node's view of reports."""


@dataclasses.dataclass(slots=True, frozen=True)
class ChosenEngine:
    """The engine on which a run begins.

    :param reservation: id of the engine's reservation, if it made one.
    :param granted: the pool owner chose this engine and counted the run, so that it
        does not use this node's share of a cold engine.
    :param backup_fits: the pool has enough memory for a backup of the run as well.
    """

    engine: Upstream
    reservation: str | None
    granted: bool
    backup_fits: bool


@dataclasses.dataclass(slots=True, frozen=True)
class _Ordered:
    """Engines in the order in which to ask them, at least one.

    :param by: source of the order.
    :param backup_fits: the pool has enough memory for a backup of the run.
    """

    engines: list[Upstream]
    by: str
    backup_fits: bool


class EngineFinder:
    """Finds engines for runs, and reserves room on them."""

    def __init__(
        self,
        *,
        chooser: Chooser,
        upstreams: Upstreams,
        control: EngineControl,
        advisor: PlacementAdvisor,
        cold: ColdQuotas,
        reservations: Reservations,
    ) -> None:
        self._advisor = advisor
        self._cold = cold
        self._chooser = chooser
        self._upstreams = upstreams
        self._control = control
        self._reservations = reservations

    async def find(
        self,
        work: Assignment,
        traits: EngineTraits,
        log: RunLog,
        *,
        tried: t.Collection[str],
    ) -> ChosenEngine:
        """Find an engine with room for a run, with a reservation if it makes any.

        Engines are asked because their reports are old on arrival.  A run that waits
        here can still be sent to any engine, while one in an engine's own queue is lost
        if the engine fails.  So it is sent there only when it would be late otherwise.

        :param tried: ids of engines that the run must not use again.
        """
        self._reservations.refuse_if_silent(work)
        with ReservationSearch(self._reservations, work, traits, log) as search:
            return await self._search(work, traits, log, search, tried)

    async def _search(
        self,
        work: Assignment,
        traits: EngineTraits,
        log: RunLog,
        search: ReservationSearch,
        tried: t.Collection[str],
    ) -> ChosenEngine:
        max_wait = RESERVATION_WAIT_FRACTION * work.route.target_latency
        deadline = boottime() + min(max_wait, work.time_left() / 2)
        while True:
            ordered = await self._wait_for_admission(work, traits, log, tried)
            engines = await self._avoid_slow_moments(
                ordered.engines, work, unreachable=search.unreachable
            )
            if not traits.max_reservation_seconds:
                return self._choose(work, engines[0], None, ordered)
            for engine in engines[:MAX_ENGINES_ASKED]:
                if not engine.is_available(boottime()):
                    # It stopped accepting work while others were asked.
                    continue
                if engine.limit.bounded:
                    # A request for a reservation would count towards its rate limit.
                    return self._choose(work, engine, None, ordered)
                if reservation := await search.ask(engine):
                    return self._reserved(work, reservation, ordered, log)
            if boottime() >= deadline and not search.should_go_on:
                engine = self._fallback_engine(work, engines, search)
                return self._choose(work, engine, None, ordered)
            pause = RESERVATION_INTERVAL_SECONDS * (0.5 + random.random())
            if reservation := await search.pause(pause):
                return self._reserved(work, reservation, ordered, log)

    def _reserved(
        self,
        work: Assignment,
        reservation: Reservation,
        ordered: "_Ordered",
        log: RunLog,
    ) -> ChosenEngine:
        engine = reservation.engine
        log.write("place_kept", engine, "ok", f"ordered by {ordered.by}")
        return self._choose(work, engine, reservation.id, ordered)

    async def _avoid_slow_moments(
        self,
        engines: list[Upstream],
        work: Assignment,
        *,
        unreachable: t.Collection[str],
    ) -> list[Upstream]:
        """Move the first engine that is not slow at this moment to the front.

        Engines are asked for their load only if those of the service are uneven.
        """
        service = work.service
        if not service.health_path or not self._upstreams.uneven(service.name):
            return engines
        reached = [engine for engine in engines if engine.id not in unreachable]
        for engine in reached[:MAX_PROBED]:
            if not await self._is_slow_now(engine, work):
                return [engine, *(other for other in engines if other is not engine)]
        return engines

    async def _is_slow_now(self, engine: Upstream, work: Assignment) -> bool:
        """Whether reading a prompt now would pause the engine's streams too long.

        An engine that does not respond counts as slow.
        """
        if engine.limit.bounded or not engine.is_available(boottime()):
            return False
        if boottime() - engine.slowdown_at > FRESH_SECONDS:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                    await self._control.probe(engine, work.service.health_path)
            except (BankrackError, TimeoutError):
                return True
        service = work.service.name
        gap = self._chooser.speeds_of(service).unit_gap
        return is_slow_moment(
            engine.slowdown,
            age=boottime() - engine.slowdown_at,
            gap=gap or self._chooser.pace_of(service).event_seconds,
            gap_target=work.route.gap_target,
        )

    async def _wait_for_admission(
        self,
        work: Assignment,
        traits: EngineTraits,
        log: RunLog,
        tried: t.Collection[str],
    ) -> "_Ordered":
        """Wait until the run is admitted; without an owner, order engines by reports.

        Raises :exc:`Overloaded` if the run is rejected.
        """
        logged = False
        while True:
            verdict = await self._advisor.decide(
                work, memory=traits.memory, avoid=tried
            )
            match verdict:
                case Admit(engines=names, backup_fits=backup_fits) if names:
                    by_id = self._upstreams.by_id
                    return _Ordered([by_id[name] for name in names], OWNER, backup_fits)
                case Wait(seconds):
                    if not logged:
                        log.write_verdict("place_waits", verdict)
                    logged = True
                    await asyncio.sleep(seconds * (0.75 + random.random() / 2))
                case Refuse(expected=expected, booked=booked):
                    log.write_verdict("place_refused", verdict)
                    if booked is None:
                        booked = retry_after_seconds(
                            expected, left=work.time_left(), draw=random.random()
                        )
                    raise Overloaded(
                        "the run cannot begin in time behind the runs queued ahead; "
                        "try again later",
                        retry_after=booked,
                    )
                case _:
                    engines = self._by_reports(work, traits, tried)
                    return _Ordered(engines, REPORTS, backup_fits=False)

    def _choose(
        self,
        work: Assignment,
        engine: Upstream,
        reservation: str | None,
        ordered: "_Ordered",
    ) -> ChosenEngine:
        is_first = engine is ordered.engines[0]
        if not is_first:
            self._advisor.placed(work, engine)
        return ChosenEngine(
            engine, reservation, is_first and ordered.by == OWNER, ordered.backup_fits
        )

    def _by_reports(
        self, work: Assignment, traits: EngineTraits, tried: t.Collection[str]
    ) -> list[Upstream]:
        """Order engines by this node's own view.

        Raises :exc:`Overloaded` if there is none.
        """
        name = work.service.name
        pools = self._upstreams.pools_of(name)
        untried = [
            engine
            for engine in self._upstreams.available_of(name)
            if engine.id not in tried and self._cold.allows(engine, work.service)
        ]
        untried = select_pool(untried, pool_of(work.job.id, pools), pools) or untried
        if not untried:
            raise Overloaded(
                f"no engine of {work.service.name} accepts the run now; try again",
                retry_after=work.retry_after(self._upstreams.backoff_left(name)),
            )
        return self._chooser.engines_by_room(
            untried, work.job.demand, memory=traits.memory
        )

    def _fallback_engine(
        self,
        work: Assignment,
        engines: t.Sequence[Upstream],
        search: ReservationSearch,
    ) -> Upstream:
        """The engine to whose queue a run without a reservation is sent.

        Raises :exc:`Overloaded` if no engine answered this node: the run would be lost,
        while another node may reach them.  The same applies if all that answered asked
        this node to back off.
        """
        answering = [engine for engine in engines if search.may_take_run(engine)]
        for engine in answering:
            if engine.is_available(boottime()):
                return engine
        backoff_left = self._upstreams.backoff_left(work.service.name)
        if answering and backoff_left is not None:
            raise Overloaded(
                f"all engines of {work.service.name} asked this node to back off; "
                "try again later",
                retry_after=work.retry_after(backoff_left),
            )
        search.note_silence(self._upstreams.of(work.service.name))
        raise self._reservations.unreachable(work)
