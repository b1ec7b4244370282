"""Discrete-event simulation that compares scheduling policies.

It runs the real scheduler against engine models with memory growth and
preemption.  Messages between nodes are modelled as a fixed delay.
"""

import array
import dataclasses
import heapq
import itertools
import typing as t

from bankrack.lab.workloads import Arrival
from bankrack.lab.workloads import arrivals
from bankrack.lab.workloads import Phase
from bankrack.lab.workloads import Workload
from bankrack.scheduling.enginemodel import EngineModel
from bankrack.scheduling.enginemodel import Sequence
from bankrack.scheduling.policies import Policy
from bankrack.scheduling.policies import Request
from bankrack.scheduling.scheduler import Decision
from bankrack.scheduling.scheduler import Grant
from bankrack.scheduling.scheduler import Refusal
from bankrack.scheduling.scheduler import Scheduler

STALL_THRESHOLD_SECONDS = 0.1
"""Gaps between tokens above this count as stalls, less this threshold."""
MESSAGE_DELAY_SECONDS = 0.0015
PROGRESS_INTERVAL_SECONDS = 1.0
DECISION_INTERVAL_SECONDS = 0.1
REPORT_INTERVAL_SECONDS = 0.2
GOODPUT_DEADLINE_SECONDS = 60.0
"""Longest duration of a request whose tokens count as goodput."""
OWNER = "owner"
SHARED = "shared"
INDEPENDENT = "alone"


@dataclasses.dataclass(slots=True, frozen=True)
class Setup:
    """Parameters of one experiment.

    :param rate: mean requests per second.
    :param seconds: simulated duration.
    :param view: ``OWNER`` if one owner schedules all requests, ``SHARED`` if each
        node schedules its own with shared counts, ``INDEPENDENT`` if each node
        has only the engines' reports.
    :param lag: delay of reports and shared counts, in seconds.
    :param owner_crashes_at: time of a crash of the owner, in seconds; 0 for none.
    :param phases: changes of the rate over time.
    """

    workload: Workload
    policy: Policy
    rate: float
    seconds: float = 240.0
    seed: int = 1
    engines: int = 5
    memory_tokens: int = 24000
    nodes: int = 8
    view: str = OWNER
    lag: float = 1.0
    owner_crashes_at: float = 0.0
    phases: tuple[Phase, ...] = ()


class ServiceResult:
    """Counts and latencies of the requests of one service; times in seconds."""

    __slots__ = (
        "finished",
        "first_tokens",
        "gaps",
        "late",
        "refused",
        "stall",
        "total",
    )

    def __init__(self) -> None:
        self.total = 0
        self.finished = 0
        self.refused = 0
        self.late = 0
        self.stall = 0.0
        self.gaps = array.array("d")
        self.first_tokens = array.array("d")


class Result:
    """Result of one run."""

    __slots__ = (
        "by_service",
        "good_tokens_by_second",
        "preemptions",
        "seconds",
        "tokens",
    )

    def __init__(self, seconds: float) -> None:
        self.by_service: dict[str, ServiceResult] = {}
        self.preemptions = 0
        self.tokens = 0
        self.seconds = seconds
        self.good_tokens_by_second: dict[int, int] = {}

    @property
    def total(self) -> int:
        """Number of all requests."""
        return sum(s.total for s in self.by_service.values())

    @property
    def refused(self) -> int:
        """Number of refused requests."""
        return sum(s.refused for s in self.by_service.values())

    @property
    def preemptions_per_request(self) -> float:
        """Mean number of preemptions of the requests that ran."""
        return self.preemptions / max(1, self.total - self.refused)

    @property
    def stall_per_request(self) -> float:
        """Mean stall time of the requests that ran, in seconds."""
        stall = sum(s.stall for s in self.by_service.values())
        return stall / max(1, self.total - self.refused)

    @property
    def tokens_per_second(self) -> float:
        """Tokens delivered per second."""
        return self.tokens / self.seconds


class RunningRequest:
    """A request that is queued or running."""

    __slots__ = ("arrival", "engine", "last_token", "node", "sequence", "service")

    def __init__(self, arrival: Arrival, service: ServiceResult, node: int) -> None:
        self.arrival = arrival
        self.service = service
        self.node = node
        self.engine = ""
        self.last_token = 0.0
        self.sequence: Sequence | None = None


class Experiment:
    """One run in virtual time."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.result = Result(setup.seconds)
        self.now = 0.0
        names = [f"engine-{n}" for n in range(setup.engines)]
        self._models_by_name = {n: EngineModel(setup.memory_tokens) for n in names}
        self._stepping: set[str] = set()
        self._reported_preemptions = 0
        self._running_by_id: dict[int, RunningRequest] = {}
        count = 1 if setup.view == OWNER else setup.nodes
        self.schedulers = [self._scheduler(names) for _ in range(count)]
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._ids = itertools.count(1)
        self._arrivals = arrivals(
            setup.workload,
            rate=setup.rate,
            seconds=setup.seconds,
            seed=setup.seed,
            nodes=setup.nodes,
            phases=setup.phases,
        )

    def _scheduler(self, names: t.Sequence[str]) -> Scheduler:
        scheduler = Scheduler(self.setup.policy, max_waiting=4096)
        for name in names:
            scheduler.set_engine(name, self.setup.memory_tokens)
        return scheduler

    def run(self) -> Result:
        """Run the simulation; requests still running at its end are not counted."""
        self._next_arrival()
        self._at(PROGRESS_INTERVAL_SECONDS, self._progress)
        self._at(DECISION_INTERVAL_SECONDS, self._decide_all)
        self._at(REPORT_INTERVAL_SECONDS, self._report)
        if self.setup.owner_crashes_at:
            self._at(self.setup.owner_crashes_at, self._crash_owner)
        while self._queue:
            at, _, action = heapq.heappop(self._queue)
            if at > self.setup.seconds:
                break
            self.now = at
            action()
        self.result.preemptions = sum(
            model.preemptions for model in self._models_by_name.values()
        )
        return self.result

    def _at(self, at: float, action: t.Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._event_numbers), action))

    def _after(self, delay: float, action: t.Callable[[], None]) -> None:
        self._at(self.now + delay, action)

    def _message_delay(self) -> float:
        return MESSAGE_DELAY_SECONDS if self.setup.view == OWNER else 0.0

    def _next_arrival(self) -> None:
        arrival = next(self._arrivals, None)
        if arrival is not None:
            self._at(arrival.at, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        name = arrival.kind.service
        service = self.result.by_service.setdefault(name, ServiceResult())
        service.total += 1
        number = next(self._ids)
        node = 0 if self.setup.view == OWNER else arrival.node
        self._running_by_id[number] = RunningRequest(arrival, service, node)
        request = Request(
            id=number,
            workspace=arrival.workspace,
            service=name,
            priority=arrival.kind.priority,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.kind.max_tokens,
            submitted=self.now,
            deadline=self.now + arrival.kind.queue_seconds,
            prefix=arrival.prefix,
            length=arrival.length,
        )
        self._after(self._message_delay(), lambda: self._submit(request, node))
        self._next_arrival()

    def _submit(self, request: Request, node: int) -> None:
        scheduler = self.schedulers[node]
        refusal = scheduler.submit(request, self.now)
        if refusal is not None:
            self._refuse(refusal)
            return
        self._decide(scheduler)

    def _decide_all(self) -> None:
        for scheduler in self.schedulers:
            if scheduler.waiting_by_id:
                self._decide(scheduler)
        self._after(DECISION_INTERVAL_SECONDS, self._decide_all)

    def _decide(self, scheduler: Scheduler) -> None:
        for decision in scheduler.decide(self.now):
            self._apply(decision)

    def _apply(self, decision: Decision) -> None:
        match decision:
            case Grant(request, engine):
                self._after(
                    self._message_delay(), lambda: self._dispatch(request, engine)
                )
            case Refusal():
                self._refuse(decision)

    def _refuse(self, refusal: Refusal) -> None:
        running = self._running_by_id.pop(t.cast(int, refusal.request.id))
        running.service.refused += 1

    def _dispatch(self, request: Request, engine: str) -> None:
        running = self._running_by_id[t.cast(int, request.id)]
        arrival = running.arrival
        running.engine = engine
        running.sequence = Sequence(
            prompt_tokens=arrival.prompt_tokens,
            length=arrival.length,
            priority=request.priority,
            prefix=arrival.prefix,
            prefix_tokens=min(arrival.kind.prefix_tokens, arrival.prompt_tokens),
            token=request.id,
        )
        self._models_by_name[engine].add(running.sequence)
        if engine not in self._stepping:
            self._stepping.add(engine)
            self._step(engine)

    def _step(self, name: str) -> None:
        model = self._models_by_name[name]
        if model.idle:
            self._stepping.discard(name)
            return
        step = model.step()
        self._after(step.duration, lambda: self._stepped(name, step))

    def _stepped(self, name: str, step: t.Any) -> None:
        for sequence in step.produced:
            self._token(self._running_by_id[sequence.token])
        for sequence in step.finished:
            self._finish(sequence.token)
        self._step(name)

    def _token(self, running: RunningRequest) -> None:
        service = running.service
        self.result.tokens += 1
        if running.last_token:
            gap = self.now - running.last_token
            service.gaps.append(gap)
            if gap > STALL_THRESHOLD_SECONDS:
                service.stall += gap - STALL_THRESHOLD_SECONDS
        else:
            waited = self.now - running.arrival.at
            service.first_tokens.append(waited)
            if waited > running.arrival.kind.queue_seconds:
                service.late += 1
        running.last_token = self.now

    def _finish(self, number: int) -> None:
        running = self._running_by_id.pop(number)
        running.service.finished += 1
        if self.now - running.arrival.at <= GOODPUT_DEADLINE_SECONDS:
            second = int(self.now)
            counts = self.result.good_tokens_by_second
            tokens = counts.get(second, 0) + running.arrival.length
            counts[second] = tokens
        scheduler = self.schedulers[running.node]
        length = running.arrival.length

        def end() -> None:
            scheduler.ended(number, length)
            if scheduler.waiting_by_id:
                self._decide(scheduler)

        self._after(self._message_delay(), end)

    def _progress(self) -> None:
        """Report the progress of running requests to the schedulers."""
        for number, running in self._running_by_id.items():
            if running.sequence is not None:
                produced = running.sequence.produced
                self.schedulers[running.node].progressed(number, produced, self.now)
        if self.setup.view == SHARED:
            self._after(self.setup.lag, self._share(self._forecast_by_scheduler()))
        self._after(PROGRESS_INTERVAL_SECONDS, self._progress)

    def _forecast_by_scheduler(self) -> list[dict[str, float]]:
        return [
            {e.name: e.forecast.peak(2.0) for e in scheduler.engines_by_name.values()}
            for scheduler in self.schedulers
        ]

    def _share(self, forecasts: list[dict[str, float]]) -> t.Callable[[], None]:
        def apply() -> None:
            for position, scheduler in enumerate(self.schedulers):
                for name, engine in scheduler.engines_by_name.items():
                    others = [h[name] for i, h in enumerate(forecasts) if i != position]
                    engine.others_tokens = sum(others)

        return apply

    def _report(self) -> None:
        """Deliver the engines' load reports to the schedulers after the lag."""
        used_by_name = {n: m.used for n, m in self._models_by_name.items()}
        preemptions = sum(m.preemptions for m in self._models_by_name.values())
        new_preemptions, self._reported_preemptions = (
            preemptions - self._reported_preemptions,
            preemptions,
        )

        def apply() -> None:
            for scheduler in self.schedulers:
                if new_preemptions:
                    scheduler.preempted(new_preemptions, self.now)
                for name, engine in scheduler.engines_by_name.items():
                    engine.reported_tokens = used_by_name[name]
                    if self.setup.view == INDEPENDENT:
                        own = sum(
                            g.request.prompt_tokens + g.produced
                            for g in engine.granted_by_id.values()
                        )
                        engine.others_tokens = max(0.0, used_by_name[name] - own)

        self._after(self.setup.lag, apply)
        self._after(REPORT_INTERVAL_SECONDS, self._report)

    def _crash_owner(self) -> None:
        """Replace the owner by one without state.

        Within one progress interval the nodes report their running requests to the
        new owner and submit their waiting requests again.
        """
        if self.setup.view != OWNER:
            return
        old = self.schedulers[0]
        names = list(old.engines_by_name)
        new = self._scheduler(names)
        self.schedulers[0] = new
        waiting = list(old.waiting_by_id.values())

        def report_running() -> None:
            for name, engine in old.engines_by_name.items():
                for granted in engine.granted_by_id.values():
                    if granted.request.id in self._running_by_id:
                        request = granted.request
                        new.adopt(request, name, granted.produced, self.now)
            for request in waiting:
                self._submit(request, 0)

        self._after(PROGRESS_INTERVAL_SECONDS, report_running)


def percentile(values: t.Sequence[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of ``values`` lie; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
