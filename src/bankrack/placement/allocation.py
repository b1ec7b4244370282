"""Allocates the engines of one pool to runs, with its ledger and admission queue."""

import dataclasses
import random
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import decide
from bankrack.decisions.admission import ReadLimits
from bankrack.decisions.admission import Room
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.decisions.admissionqueue import AdmissionQueue
from bankrack.decisions.admissionqueue import Candidate
from bankrack.decisions.backups import crash_probability
from bankrack.decisions.backups import LIKELY_CRASH_PROBABILITY
from bankrack.decisions.backups import max_fill_with_backup
from bankrack.decisions.calendar import Outlook
from bankrack.decisions.coldstart import quota_of
from bankrack.placement.crowding import Crowding
from bankrack.placement.crowding import Forecast
from bankrack.placement.ledger import copy_name
from bankrack.placement.ledger import Ledger
from bankrack.placement.occupancy import USABLE_MEMORY_FRACTION
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import Upstream
from bankrack.utils import WindowMaximum

RETRY_GRACE_SECONDS = 0.3
"""A queued run that has not asked again this long after it should have has left."""
PEAK_WINDOW_SECONDS = 30.0
"""Window of the peak memory use; several times as long as most runs."""
LEARN_SECONDS = 10.0
"""A pool in use for less time has too little data on its peak memory use."""
CRASH_WINDOW_SECONDS = 60.0
"""Longest window over which crashes of engines are counted."""
READ_AHEAD_SECONDS = 0.4
"""An engine gets no further run while reading its unread prompts takes longer than
this.

It covers the delay until this node learns that a prompt was read, so that engines do
not idle; with more, runs would wait on the engine and the newest would be read
first."""
PAUSE_RETRY_SECONDS = 0.1
"""Delay until a run asks again for an engine where it would not be paused too long."""
COPY_RANK = -1
"""Route rank of a copy: copies go before all runs of a workspace with the same rank."""
READ_TIME_FRACTION = 0.75
"""Fraction of the longest usual read time by which a run's due time is moved
forward.

Otherwise runs would go first that are late once their prompts are read."""
START_FRACTION = 0.5
"""Fraction of a run's remaining time within which it must begin to be useful."""


@dataclasses.dataclass(slots=True, frozen=True)
class PlacementRequest:
    """A request to place a run on an engine.

    :param run: id of the run.
    :param memory: memory in tokens of an engine without a report.
    :param hall: hall of the node that asks.
    :param rank: rank of the workspace, then of the route; the lowest is served first.
    :param due: seconds until its target latency is over; negative if it is late.
    :param left: seconds until its final answer is due.
    :param silence_left: seconds until the caller gives up if it receives nothing.
    :param cold_rate: runs per second that may be placed on an engine while it is cold;
        0 for no limit.
    :param queue: the run is queued here if it has to wait; otherwise it waits in
        another pool, and is neither counted nor told a time here.
    :param workspace: digest of the caller's workspace; empty if unknown.
    :param caller: equal for all attempts of a caller's request; empty if unknown.
    """

    run: str
    demand: Demand
    memory: int
    hall: str
    rank: tuple[int, int]
    due: float
    left: float
    silence_left: float
    cold_rate: float = 0.0
    queue: bool = True
    workspace: str = ""
    caller: str = ""


class Allocator:
    """Decides on the runs of one pool.

    :param read_ahead: an engine gets no further run while reading its unread prompts
        takes longer, in seconds.
    :param learn_seconds: time for which the pool must have been in use before its runs
        get backups, unless engines crash.
    :param crashed_since: returns the engines that have crashed since a point in time.
    """

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
        read_ahead: float = READ_AHEAD_SECONDS,
        learn_seconds: float = LEARN_SECONDS,
        crashed_since: t.Callable[[float], t.Collection[str]] = lambda moment: (),
    ) -> None:
        self._crashed_since = crashed_since
        self._learn_seconds = learn_seconds
        self._used_since: float | None = None
        self._peak_fill = WindowMaximum(PEAK_WINDOW_SECONDS, clock=clock)
        self._read_ahead = read_ahead
        self.ledger = Ledger(clock=clock, rng=rng)
        self.queue = AdmissionQueue()
        self.crowding = Crowding(self.queue)
        self._clock = clock
        self._placed_at_by_id: dict[str, list[float]] = {}

    def decide(
        self, engines: t.Sequence[Upstream], request: PlacementRequest
    ) -> Verdict:
        """Decide on a run; an admitted one counts as placed on the first engine.

        :param engines: engines that it may be sent to, at least one.
        """
        now = self._clock()
        ledger, queue = self.ledger, self.queue
        occupancy = ledger.occupancy
        ledger.forget()
        ledger.withdraw(request.run)
        candidate = self._candidate(request, now)
        free_by_engine = occupancy.free_by_engine(
            engines,
            memory=request.memory,
            long=not request.demand.short or self.crowding.displaces(request.rank, now),
            # Late runs may use suspected engines: only the network may have failed,
            # and the engine itself checks whether it has room.
            suspects=request.due < 0.0,
        )
        backup_fits = self._backup_fits(engines, request)
        cold_ids = {e.id for e in engines if request.cold_rate > 0.0 and e.cold(now)}
        for name in cold_ids:
            if not self._may_place_cold(name, request.cold_rate, now):
                free_by_engine[name] = 0.0
        unread_by_engine = ledger.unread_by_engine()
        rate = ledger.read_rate
        room_by_engine = {
            name: Room(free, unread_by_engine.get(name, 0.0))
            for name, free in free_by_engine.items()
        }
        limits = ReadLimits(rate, max_unread=rate * self._read_ahead)
        releases = occupancy.releases(engines)
        forecast = None
        if request.caller:
            pool = Outlook.of(room_by_engine, candidate.need, limits, releases)
            forecast = Forecast(self.crowding, candidate, pool, now)
        waits = request.run in queue
        verdict = decide(
            candidate,
            room_by_engine=room_by_engine,
            limits=limits,
            ahead=queue.ahead(
                candidate, now, shares=self.crowding.shares, quantum=request.memory
            ),
            promised=self.crowding.promised(candidate, request.caller, now),
            releases=releases,
            now=now,
            start=None if waits or forecast is None else forecast.start,
            keep=waits and forecast is not None,
        )
        if isinstance(verdict, Admit) and ledger.pause_risk.should_wait(
            verdict.engines,
            request.demand,
            due=request.due,
            pool_size=len(engines),
        ):
            # It is not queued: no room is kept for it before others.
            queue.remove(request.run)
            return Wait(PAUSE_RETRY_SECONDS, 0, None)
        is_first = not waits and request.queue
        self.crowding.note_decision(candidate, verdict, now, is_first=is_first)
        if forecast is not None and request.queue:
            verdict = self.crowding.explain(
                verdict, forecast, caller=request.caller, left=request.left
            )
        self._update_queue(candidate, verdict, now)
        match verdict:
            case Admit(names):
                first, *others = self._order(engines, request, names)
                ledger.place(request.run, first, request.demand)
                if not request.demand.short:
                    self.crowding.note_long(request.rank, now)
                # Callers may expect any number of tokens, an engine holds its memory.
                tokens = min(request.demand.expected, request.memory)
                self.crowding.charge(candidate, tokens, now, caller=request.caller)
                if first in cold_ids:
                    self._placed_at_by_id.setdefault(first, []).append(now)
                # Other cold engines are left out, as a run on them is not counted here.
                names = (first, *(i for i in others if i not in cold_ids))
                return Admit(names, backup_fits=backup_fits)
        return verdict

    def _candidate(self, request: PlacementRequest, now: float) -> Candidate:
        ledger = self.ledger
        returning = bool(request.caller) and self.crowding.calendar.claim(
            request.caller, request.run, now
        )
        return Candidate(
            run=request.run,
            rank=request.rank,
            need=ledger.occupancy.need(
                request.demand, memory=request.memory, seconds=request.left
            ),
            due=now
            + request.due
            - READ_TIME_FRACTION * ledger.read_seconds(request.demand),
            # The deadline of the first request is kept: half of the remaining time,
            # computed anew for each retry, would never be over.
            start_deadline=self.queue.start_deadline(
                request.run,
                now + self._seconds_until_too_late(request),
            ),
            prompt=request.demand.prompt,
            seconds=ledger.run_seconds(request.demand),
            workspace=request.workspace,
            returning=returning,
        )

    def _update_queue(self, candidate: Candidate, verdict: Verdict, now: float) -> None:
        """Queue a run that has to wait; remove any other from the queue."""
        if isinstance(verdict, Wait):
            until = now + verdict.seconds + RETRY_GRACE_SECONDS
            self.queue.enqueue(candidate, until=until)
        else:
            self.queue.remove(candidate.run)

    def _backup_fits(
        self, engines: t.Sequence[Upstream], request: PlacementRequest
    ) -> bool:
        """Whether the pool also has memory for a backup for the duration of the run."""
        now = self._clock()
        if self._used_since is None:
            self._used_since = now
        total = sum(e.report.total if e.report else request.memory for e in engines)
        free_by_engine = self.ledger.occupancy.free_by_engine(
            engines, memory=request.memory, long=not request.demand.short, suspects=True
        )
        # Runs of an earlier owner end soon, and would count as a peak for long.
        free = sum(free_by_engine.values()) + self.ledger.occupancy.adopted_tokens()
        peak_fill = self._peak_fill.observe(
            1.0 - free / max(1.0, USABLE_MEMORY_FRACTION * total)
        )
        probability = self._crash_probability(engines, request, now)
        learning = now < self._used_since + self._learn_seconds
        if learning and probability < LIKELY_CRASH_PROBABILITY:
            return False
        both = 2 * request.demand.expected / max(1, total)
        return peak_fill + both <= max_fill_with_backup(probability)

    def _crash_probability(
        self, engines: t.Sequence[Upstream], request: PlacementRequest, now: float
    ) -> float:
        """Probability that the run's engine crashes before the run ends."""
        since = now if self._used_since is None else self._used_since
        window = min(CRASH_WINDOW_SECONDS, max(LEARN_SECONDS, now - since))
        return crash_probability(
            len(self._crashed_since(now - window)),
            upstreams=len(engines),
            window=window,
            seconds=self.ledger.run_seconds(request.demand),
        )

    def place_copy(
        self, engines: t.Sequence[Upstream], request: PlacementRequest
    ) -> Verdict:
        """Select an engine for a copy of a run; an admitted copy counts as stored.

        Copies of the runs of a leaving engine go before queued runs: their callers have
        received part of the stream, which is lost with the engine otherwise.

        :param engines: engines that may hold the copy, at least one.
        """
        now = self._clock()
        ledger, queue = self.ledger, self.queue
        ledger.drop_copy(request.run)
        candidate = Candidate(
            run=copy_name(request.run),
            rank=(request.rank[0], COPY_RANK),
            need=ledger.occupancy.need_now(
                ledger.running(request.run), request.demand, memory=request.memory
            ),
            due=now + request.left,
            start_deadline=now + request.left,
        )
        free_by_engine = ledger.occupancy.free_by_engine(
            engines, memory=request.memory, long=not request.demand.short
        )
        verdict = decide(
            candidate,
            room_by_engine={name: Room(free) for name, free in free_by_engine.items()},
            limits=ReadLimits(ledger.read_rate, max_unread=0.0),
            ahead=queue.ahead(candidate, now),
            releases=ledger.occupancy.releases(engines),
            now=now,
        )
        self._update_queue(candidate, verdict, now)
        match verdict:
            case Admit(names):
                first = self._order(engines, request, names)[0]
                ledger.place_copy(request.run, first, request.demand)
                return Admit((first,))
        return verdict

    def _may_place_cold(self, engine: str, rate: float, now: float) -> bool:
        """Whether one more run may be placed on a cold engine."""
        quota = quota_of(rate)
        last = now - quota.seconds
        recent = [at for at in self._placed_at_by_id.pop(engine, []) if at > last]
        if recent:
            self._placed_at_by_id[engine] = recent
        return len(recent) < quota.count

    def _seconds_until_too_late(self, request: PlacementRequest) -> float:
        """Seconds within which a run must be admitted to be useful."""
        read_seconds = self.ledger.read_seconds(request.demand)
        return min(START_FRACTION * request.left, request.silence_left - read_seconds)

    def _order(
        self,
        engines: t.Sequence[Upstream],
        request: PlacementRequest,
        names: t.Collection[str],
    ) -> tuple[str, ...]:
        """Order the engines with room, the one that begins the run soonest first."""
        ordered = self.ledger.order(
            engines,
            request.demand,
            memory=request.memory,
            hall=request.hall,
            due=request.due,
        )
        return tuple(engine.id for engine in ordered if engine.id in names)
