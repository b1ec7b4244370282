"""Discrete-event simulation of a pool of engines under load.

The ledger, the admission queue and the placement decisions are the gateway's own
code.  Nodes, their connections and their updates are modelled as one delay.  The
result depends only on the scenario and the seed.
"""

import dataclasses
import enum
import functools
import heapq
import itertools
import math
import random
import typing as t

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Refuse
from bankrack.decisions.admission import Wait
from bankrack.decisions.reservations import MIN_RETRY_SECONDS
from bankrack.decisions.retryafter import retry_after_seconds
from bankrack.lab.poolengine import EngineRun
from bankrack.lab.poolengine import SimulatedEngine
from bankrack.lab.poolscenario import Scenario
from bankrack.lab.poolscenario import Stream
from bankrack.placement.allocation import Allocator
from bankrack.placement.allocation import PlacementRequest
from bankrack.placement.allocation import READ_AHEAD_SECONDS
from bankrack.serving.choice import Chooser
from bankrack.serving.enginefinder import MAX_ENGINES_ASKED
from bankrack.serving.enginefinder import RESERVATION_INTERVAL_SECONDS
from bankrack.serving.enginefinder import RESERVATION_WAIT_FRACTION
from bankrack.serving.job import Demand
from bankrack.serving.reservations import RESERVED_GROWTH_TOKENS
from bankrack.serving.upstreams import EngineReport
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord

UPDATE_DELAY_SECONDS = 0.1
"""Delay of the updates of the ledger on runs."""
REPORT_INTERVAL_SECONDS = 1.0
REPORT_DELAY_SECONDS = 0.5
RESERVATION_SECONDS = 1.0
MEMBERSHIP_TIMEOUT_SECONDS = 3.6
"""Time until a crashed engine's entry expires: three heartbeat intervals."""
OUTPUT_LENGTH_SIGMA = 0.5
"""Standard deviation of the logarithm of the output length."""
LENGTH_HINT_SIGMA = 0.7
"""Standard deviation of the logarithm of the error of callers' length hints."""
DRAIN_SECONDS = 60.0
"""Simulated time after the last arrival, in which runs can finish."""


class RunOutcome(enum.Enum):
    """Outcome of a run."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost with its engine"
    EXPIRED = "out of time"


@dataclasses.dataclass(slots=True)
class SimulationResult:
    """Counts of one simulation.

    :param first_token_latencies: seconds to the first token, by stream.
    :param in_time_by_workspace: number of runs in time, and of all runs.
    :param wasted_prefill_tokens: tokens whose prefill was lost to preemption.
    :param wasted_wait_seconds: time for which callers waited before their runs
        expired.
    :param placement_requests: number of placement requests, repeated ones included.
    """

    outcomes_by_stream: dict[str, dict[RunOutcome, int]]
    first_token_latencies: dict[str, list[float]]
    in_time_by_workspace: dict[int, tuple[int, int]]
    wasted_prefill_tokens: int = 0
    preempted: int = 0
    wasted_wait_seconds: float = 0.0
    placement_requests: int = 0

    def fraction(self, stream: str, *outcomes: RunOutcome) -> float:
        """Return the fraction of a stream's runs with one of these outcomes."""
        counts = self.outcomes_by_stream[stream]
        return sum(counts[outcome] for outcome in outcomes) / max(
            1, sum(counts.values())
        )

    def jain_index(self) -> float:
        """Return Jain's fairness index of the fractions in time by workspace."""
        fractions = [
            in_time / total for in_time, total in self.in_time_by_workspace.values()
        ]
        squares = sum(fraction * fraction for fraction in fractions)
        return sum(fractions) ** 2 / (len(fractions) * squares) if squares else 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Caller:
    """One run of a caller, with all its attempts."""

    name: str
    stream: Stream
    workspace: int
    demand: Demand
    length: int
    arrived_at: float
    refusals: int = 0
    attempt_started_at: float = 0.0
    first_token_at: float | None = None
    finished: bool = False

    @property
    def deadline(self) -> float:
        return self.arrived_at + self.stream.patience


class Simulation:
    """Simulates one scenario.

    :param with_queue: use the gateway's admission queue; otherwise each run is sent
        to the engine that the ledger prefers, without queue or refusal, as a
        baseline.
    :param read_ahead: longest prefill backlog of an engine, in seconds, with which it
        still gets another run.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        seed: int,
        with_queue: bool = True,
        read_ahead: float = READ_AHEAD_SECONDS,
    ) -> None:
        self.now = 0.0
        self.scenario = scenario
        self.result = SimulationResult(
            {s.name: dict.fromkeys(RunOutcome, 0) for s in scenario.streams},
            {s.name: [] for s in scenario.streams},
            {},
        )
        self._with_queue = with_queue
        self._rng = random.Random(seed)
        # Separate generators keep the arrivals independent of the decisions.
        self._rng_by_stream = {
            s.name: random.Random(f"{seed} {s.name}") for s in scenario.streams
        }
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, t.Callable[[], None]]] = []
        self._chooser = Chooser(hall="a", clock=self._clock, rng=random.Random(seed))
        self._allocator = Allocator(
            clock=self._clock, rng=random.Random(seed), read_ahead=read_ahead
        )
        self._engine_by_id: dict[str, SimulatedEngine] = {}
        self._upstream_by_id: dict[str, Upstream] = {}
        self._name_numbers = itertools.count()

    def run(self) -> SimulationResult:
        """Run the simulation and return its counts."""
        for _ in range(self.scenario.engines):
            self._add_engine()
        for outage in self.scenario.outages:
            self._schedule(
                outage.at, functools.partial(self._crash_engines, outage.engines)
            )
            for _ in range(outage.engines):
                self._schedule(outage.back_at, self._add_engine)
        for stream in self.scenario.streams:
            self._schedule_next_arrival(stream)
        until = self.scenario.seconds + DRAIN_SECONDS
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        for engine in self._engine_by_id.values():
            self.result.wasted_prefill_tokens += engine.wasted_prefill_tokens
            self.result.preempted += engine.preempted
        return self.result

    def _clock(self) -> float:
        return self.now

    def _schedule(self, at: float, action: t.Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (max(at, self.now), next(self._event_numbers), action)
        )

    # Engines

    def _add_engine(self) -> None:
        name = f"engine-{next(self._name_numbers)}"
        engine = SimulatedEngine(self.scenario.engine_parameters, self._schedule)
        slots = self.scenario.engine_parameters.slots
        record = UpstreamRecord(name, "s", name, "a", slots)
        self._engine_by_id[name] = engine
        self._upstream_by_id[name] = Upstream(record, self.now)
        self._report_periodically(name)

    def _report_periodically(self, name: str) -> None:
        """Deliver the engine's load reports with a delay, once an interval."""
        engine, upstream = self._engine_by_id[name], self._upstream_by_id.get(name)
        if upstream is None:
            return
        if engine.crashed:
            self._chooser.suspect(upstream)
        else:
            report = engine.report(self.now)
            received_at = self.now + REPORT_DELAY_SECONDS
            delayed = dataclasses.replace(report, taken=received_at)
            self._schedule(received_at, lambda: _apply_report(upstream, delayed))
        if self.now < self.scenario.seconds + DRAIN_SECONDS:
            self._schedule(
                self.now + REPORT_INTERVAL_SECONDS,
                lambda: self._report_periodically(name),
            )

    def _crash_engines(self, count: int) -> None:
        running = [n for n, engine in self._engine_by_id.items() if not engine.crashed]
        for name in running[:count]:
            self._engine_by_id[name].crash(self.now)
            self._schedule(
                self.now + MEMBERSHIP_TIMEOUT_SECONDS,
                functools.partial(self._remove_engine, name),
            )

    def _remove_engine(self, name: str) -> None:
        del self._upstream_by_id[name]

    # Callers

    def _schedule_next_arrival(self, stream: Stream) -> None:
        rate = stream.rate * math.prod(
            burst.factor
            for burst in stream.bursts
            if burst.start <= self.now < burst.end
        )
        rng = self._rng_by_stream[stream.name]
        at = self.now + rng.expovariate(max(rate, 1e-9))
        if at > self.scenario.seconds:
            return
        self._schedule(at, lambda: self._arrive(stream))

    def _arrive(self, stream: Stream) -> None:
        self._schedule_next_arrival(stream)
        rng = self._rng_by_stream[stream.name]
        prompt = max(1, int(stream.prompt * rng.lognormvariate(-0.08, 0.4)))
        length = max(
            1, int(stream.output * rng.lognormvariate(-0.12, OUTPUT_LENGTH_SIGMA))
        )
        hinted_length = max(1, int(length * rng.lognormvariate(0.0, LENGTH_HINT_SIGMA)))
        caller = _Caller(
            name=f"run-{next(self._name_numbers)}",
            stream=stream,
            workspace=rng.randrange(self.scenario.workspaces),
            demand=Demand(
                prompt, output_limit=20 * hinted_length, length_hint=hinted_length
            ),
            length=length,
            arrived_at=self.now,
            attempt_started_at=self.now,
        )
        self._schedule(
            caller.deadline, lambda: self._finish(caller, RunOutcome.EXPIRED)
        )
        self._schedule(self.now + stream.silence, lambda: self._leave_if_silent(caller))
        self._request_engine(caller)

    def _leave_if_silent(self, caller: _Caller) -> None:
        """Disconnect a caller without a token, unless it was refused before.

        A caller that follows a ``Retry-After`` keeps waiting until its deadline.
        """
        if caller.first_token_at is None and caller.refusals == 0:
            self._finish(caller, RunOutcome.EXPIRED)

    def _request_engine(self, caller: _Caller) -> None:
        if caller.finished:
            return
        self.result.placement_requests += 1
        now = self.now
        upstreams = list(self._upstream_by_id.values())
        if not self._with_queue:
            self._place_without_queue(caller, upstreams)
            return
        request = PlacementRequest(
            run=caller.name,
            demand=caller.demand,
            memory=self.scenario.engine_parameters.memory,
            hall="a",
            rank=(0, caller.stream.rank),
            due=caller.arrived_at + caller.stream.target - now,
            left=caller.deadline - now,
            silence_left=caller.arrived_at + caller.stream.silence - now,
            workspace=f"workspace-{caller.workspace}",
            caller=caller.name,
        )
        match self._allocator.decide(upstreams, request):
            case Admit(names):
                self._place(caller, names[:MAX_ENGINES_ASKED])
            case Wait(seconds):
                self._schedule(now + seconds, lambda: self._request_engine(caller))
            case Refuse(expected=expected, booked=booked):
                self._refuse(caller, expected, booked)

    def _place_without_queue(self, caller: _Caller, upstreams: list[Upstream]) -> None:
        ledger = self._allocator.ledger
        memory = self.scenario.engine_parameters.memory
        ordered = ledger.order(upstreams, caller.demand, memory=memory, hall="a")
        ledger.place(caller.name, ordered[0].id, caller.demand)
        self._place(caller, tuple(upstream.id for upstream in ordered))

    def _place(self, caller: _Caller, names: t.Sequence[str]) -> None:
        """Try to reserve capacity on the engines in turn.

        If all refuse until a fraction of the target has passed, the run is sent
        without a reservation and waits in the queue of an engine.
        """
        tokens = caller.demand.prompt + RESERVED_GROWTH_TOKENS
        for name in names:
            engine = self._engine_by_id[name]
            if engine.crashed:
                self._chooser.suspect(self._upstream_by_id[name])
                continue
            reservation = engine.reserve(
                tokens, now=self.now, seconds=RESERVATION_SECONDS
            )
            if reservation is not None:
                if name != names[0]:
                    self._allocator.ledger.place(caller.name, name, caller.demand)
                self._send(caller, name, reservation)
                return
        waiting_seconds = self.now - caller.attempt_started_at
        if waiting_seconds < RESERVATION_WAIT_FRACTION * caller.stream.target:
            pause = RESERVATION_INTERVAL_SECONDS * (0.5 + self._rng.random())
            self._schedule(self.now + pause, lambda: self._request_engine(caller))
            return
        reachable = [name for name in names if not self._engine_by_id[name].crashed]
        if reachable:
            self._send(caller, reachable[0], None)
        else:
            self._refuse(caller, MIN_RETRY_SECONDS)

    def _send(self, caller: _Caller, name: str, reservation: str | None) -> None:
        engine = self._engine_by_id[name]
        sent = self.now
        run = EngineRun(
            name=caller.name,
            priority=caller.stream.rank,
            prompt=caller.demand.prompt,
            length=caller.length,
            on_token=lambda now, is_last: self._receive_token(
                caller, name, sent, is_last
            ),
            on_lost=lambda now: self._finish(caller, RunOutcome.LOST),
        )
        if engine.crashed:
            return
        engine.send(run, self.now, reservation=reservation)
        self._schedule(caller.deadline, lambda: engine.cancel(run))

    def _receive_token(
        self, caller: _Caller, name: str, sent: float, is_last: bool
    ) -> None:
        """Record a token; the ledger is updated with a delay."""
        ledger, now = self._allocator.ledger, self.now
        if caller.first_token_at is None:
            caller.first_token_at = now
            took = now - sent
            self.result.first_token_latencies[caller.stream.name].append(
                now - caller.arrived_at
            )
            self._schedule(
                now + UPDATE_DELAY_SECONDS,
                lambda: ledger.begin(caller.name, name, took=took),
            )
        if is_last:
            late = caller.first_token_at - caller.arrived_at > caller.stream.target
            self._finish(caller, RunOutcome.LATE if late else RunOutcome.IN_TIME)

    def _refuse(
        self, caller: _Caller, expected: float, booked: float | None = None
    ) -> None:
        """Refuse a run; its caller retries once."""
        left = caller.deadline - self.now
        after = retry_after_seconds(expected, left=left, draw=self._rng.random())
        if booked is not None:
            after = booked
        caller.refusals += 1
        if caller.refusals > 1:
            self._finish(caller, RunOutcome.REFUSED)
            return
        caller.attempt_started_at = self.now + after
        self._schedule(self.now + after, lambda: self._request_engine(caller))

    def _finish(self, caller: _Caller, outcome: RunOutcome) -> None:
        """Count the outcome of a run, once."""
        if caller.finished:
            return
        caller.finished = True
        self.result.outcomes_by_stream[caller.stream.name][outcome] += 1
        in_time, total = self.result.in_time_by_workspace.get(caller.workspace, (0, 0))
        in_time += outcome is RunOutcome.IN_TIME
        self.result.in_time_by_workspace[caller.workspace] = (in_time, total + 1)
        if outcome is RunOutcome.EXPIRED:
            self.result.wasted_wait_seconds += self.now - caller.arrived_at
        took = (
            self.now - caller.first_token_at
            if caller.first_token_at is not None
            else 0.0
        )
        completed = outcome in (RunOutcome.IN_TIME, RunOutcome.LATE)
        self._schedule(
            self.now + UPDATE_DELAY_SECONDS,
            lambda: self._allocator.ledger.end(
                caller.name, took=took if completed else 0.0
            ),
        )


def _apply_report(upstream: Upstream, report: EngineReport) -> None:
    upstream.note_report(report)
