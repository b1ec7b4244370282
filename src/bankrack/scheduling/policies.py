"""Policies that choose an engine for a request.

A policy is a data class on which :func:`choose` matches.  :class:`Forecast` is
the one used in production; the others are baselines for experiments.
"""

import dataclasses
import math
import typing as t

from bankrack.scheduling.forecast import Contribution
from bankrack.scheduling.forecast import forecast_contribution
from bankrack.scheduling.forecast import MemoryForecast
from bankrack.scheduling.lengths import KnownLength
from bankrack.scheduling.lengths import Lengths
from bankrack.scheduling.lengths import Survival

HIGHEST_PRIORITY = 0
MAX_EXTRAPOLATION_SECONDS = 1.0
"""Longest time for which a run's progress is extrapolated from its speed."""
ENGINE_RATE_HALF_LIFE_SECONDS = 20.0
PREFIX_AFFINITY_BONUS = 0.1
"""Reduction of the cost of an engine that has the request's prefix cached."""
MAX_FIRST_SHARE = 0.25
"""Share of first-priority grants above which long prompts avoid an engine."""
PROMPT_TOKENS_PER_STEP = 2048
SHORT_PROMPT_TOKENS = 1000
"""Length up to which a prompt does not stall other runs noticeably."""
STALL_SECONDS_PER_STEP = 0.08
SECONDS_PER_TOKEN = 0.02
FIRST_RUN_SECONDS = 2.0
FIRST_WEIGHT = 4.0
STALL_WEIGHT = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class RoundRobin:
    """Chooses each engine in turn."""


@dataclasses.dataclass(slots=True, frozen=True)
class FewestInFlight:
    """Chooses the engine with the fewest requests granted by this scheduler."""


@dataclasses.dataclass(slots=True, frozen=True)
class LeastReported:
    """Chooses the engine with the least memory in use by its last report."""


@dataclasses.dataclass(slots=True, frozen=True)
class ReserveMaximum:
    """Reserves memory for the maximum output length of every request."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """Admits requests while the forecast probability of overflow is low.

    :param z: margin of the forecast for requests of lower priority, in standard
        deviations that must fit into memory.
    :param first_z: the same margin for requests of first priority.
    :param reserve: whether memory is kept free for requests of first priority,
        as much as they needed recently.
    :param separate: whether long prompts are kept away from first priority.
    :param separation_seconds: seconds that a long prompt waits for an engine without
        first-priority runs.
    :param conditional: whether the forecast is updated by the tokens produced.
    :param affinity: whether engines that have the prefix cached are preferred.
    :param cautious: whether preemptions increase the margin.
    :param oracle: whether the true length is used, as a bound in experiments.
    """

    z: float = 1.5
    first_z: float = 0.7
    reserve: bool = True
    separate: bool = True
    separation_seconds: float = 6.0
    conditional: bool = True
    affinity: bool = True
    cautious: bool = True
    oracle: bool = False


Policy = RoundRobin | FewestInFlight | LeastReported | ReserveMaximum | Forecast


class Request:
    """A request for an engine; times in seconds of the scheduler's clock.

    :param priority: 0 is the highest.
    :param prefix: hash of the beginning of the prompt, empty if none.
    :param avoid: names of engines that are used only if no others serve it.
    :param length: the true length, known only in experiments, else 0.
    """

    __slots__ = (
        "avoid",
        "deadline",
        "id",
        "length",
        "max_tokens",
        "prefix",
        "priority",
        "prompt_tokens",
        "service",
        "submitted",
        "workspace",
    )

    def __init__(
        self,
        *,
        id: t.Hashable,
        workspace: str,
        service: str,
        priority: int,
        prompt_tokens: int,
        max_tokens: int,
        submitted: float,
        deadline: float,
        prefix: str = "",
        avoid: tuple[str, ...] = (),
        length: int = 0,
    ) -> None:
        self.id = id
        self.workspace = workspace
        self.service = service
        self.priority = priority
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.submitted = submitted
        self.deadline = deadline
        self.prefix = prefix
        self.avoid = avoid
        self.length = length


class Granted:
    """A request that holds a slot.

    :param produced: tokens produced by its last report, at ``reported_at``.
    :param speed: tokens a second between its last two reports.
    """

    __slots__ = ("contribution", "produced", "reported_at", "request", "speed")

    def __init__(self, request: Request, contribution: Contribution, at: float) -> None:
        self.request = request
        self.contribution = contribution
        self.produced = 0
        self.reported_at = at
        self.speed = 0.0

    def progressed(self, produced: int, now: float) -> None:
        """Apply a progress report."""
        elapsed = now - self.reported_at
        if elapsed > 0 and produced > self.produced:
            self.speed = (produced - self.produced) / elapsed
        self.produced = max(produced, self.produced)
        self.reported_at = now

    def estimate(self, now: float) -> int:
        """Estimate the tokens produced by now from the last known speed."""
        elapsed = min(MAX_EXTRAPOLATION_SECONDS, max(0.0, now - self.reported_at))
        return self.produced + int(self.speed * elapsed)


class Rate:
    """Events a second, as a moving average with exponential decay.

    :param seconds: half-life of an event's weight.
    """

    __slots__ = ("_at", "_seconds", "_value")

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._value = 0.0
        self._at = 0.0

    def record(self, now: float, count: float = 1.0) -> None:
        """Count events."""
        self._value = self.at(now) + count * math.log(2) / self._seconds
        self._at = now

    def at(self, now: float) -> float:
        """Return the rate at ``now``."""
        elapsed = max(0.0, now - self._at)
        return self._value * 2 ** (-elapsed / self._seconds)


class EngineView:
    """The scheduler's view of one engine.

    :param reported_tokens: memory in use by its last report, which lags.
    :param others_tokens: memory used by requests that others granted.
    :param reserved_tokens: sum of prompts and maximum outputs of its requests.
    :param first_running: number of first-priority requests that it runs.
    :param later_running: number of its other requests.
    :param first_rate: first-priority grants a second.
    :param prompt_steps_rate: noticeably long steps caused by prompts, a second.
    :param first_share: its share of the group's first-priority grants.
    :param kept_free: tokens kept free for first priority.
    :param prefixes: when each prompt prefix was last sent to it.
    """

    __slots__ = (
        "first_rate",
        "first_running",
        "first_share",
        "forecast",
        "granted_by_id",
        "kept_free",
        "later_running",
        "memory_tokens",
        "name",
        "others_tokens",
        "prefixes",
        "prompt_steps_rate",
        "reported_tokens",
        "reserved_tokens",
        "usable",
    )

    def __init__(self, name: str, memory_tokens: int) -> None:
        self.name = name
        self.memory_tokens = memory_tokens
        self.granted_by_id: dict[t.Hashable, Granted] = {}
        self.forecast = MemoryForecast()
        self.reported_tokens = 0.0
        self.others_tokens = 0.0
        self.reserved_tokens = 0
        self.first_running = 0
        self.later_running = 0
        self.first_rate = Rate(ENGINE_RATE_HALF_LIFE_SECONDS)
        self.prompt_steps_rate = Rate(ENGINE_RATE_HALF_LIFE_SECONDS)
        self.first_share = 0.0
        self.kept_free = 0.0
        self.prefixes: dict[str, float] = {}
        self.usable = True


def choose(
    policy: Policy,
    engines: t.Sequence[EngineView],
    request: Request,
    contribution: Contribution,
    *,
    now: float,
    turn: int,
    caution: float = 0.0,
) -> EngineView | None:
    """Choose an engine, or ``None`` to let the request wait.

    :param engines: usable engines that serve the request, never empty.
    :param turn: number of grants so far, for round robin.
    :param caution: standard deviations added to the margin after preemptions.
    """
    match policy:
        case RoundRobin():
            return engines[turn % len(engines)]
        case FewestInFlight():
            return min(engines, key=lambda e: len(e.granted_by_id))
        case LeastReported():
            return min(engines, key=lambda e: e.reported_tokens / e.memory_tokens)
        case ReserveMaximum():
            need = request.prompt_tokens + request.max_tokens
            return _choose_by_reservation(engines, need)
        case Forecast():
            return _choose_by_forecast(
                policy, engines, request, contribution, now, caution
            )


def survival_for(policy: Policy, request: Request, lengths: Lengths) -> Survival:
    """Return the survival function that ``policy`` uses for ``request``."""
    match policy:
        case Forecast(oracle=True):
            return KnownLength(request.length)
        case _:
            return lengths.survival_of(request.service, request.workspace)


def contribution_of(
    policy: Policy, request: Request, lengths: Lengths, produced: int
) -> Contribution:
    """Forecast one request with the lengths that ``policy`` uses."""
    survival = survival_for(policy, request, lengths)
    return forecast_contribution(
        survival,
        prompt_tokens=request.prompt_tokens,
        produced=produced,
        max_tokens=request.max_tokens,
    )


def _choose_by_reservation(
    engines: t.Sequence[EngineView], need: int
) -> EngineView | None:
    best = min(engines, key=lambda e: e.reserved_tokens / e.memory_tokens)
    fits = best.reserved_tokens + need <= best.memory_tokens
    return best if fits or not best.granted_by_id else None


def _choose_by_forecast(
    policy: Forecast,
    engines: t.Sequence[EngineView],
    request: Request,
    contribution: Contribution,
    now: float,
    caution: float,
) -> EngineView | None:
    best: EngineView | None = None
    best_cost = 0.0
    waited = now - request.submitted
    z = policy.first_z
    if request.priority > HIGHEST_PRIORITY:
        z = policy.z + (caution if policy.cautious else 0.0)
    for engine in engines:
        full = engine.forecast.peak_with(contribution, z) + engine.others_tokens
        limit = float(engine.memory_tokens)
        if policy.reserve and request.priority > HIGHEST_PRIORITY:
            limit -= engine.kept_free
        # An empty engine accepts any request, which would not fit better later.
        if full > limit and engine.granted_by_id:
            continue
        if (
            policy.separate
            and waited < policy.separation_seconds
            and _conflicts_with_first_priority(engine, request)
        ):
            continue
        cost = full / engine.memory_tokens
        if policy.separate:
            cost += STALL_WEIGHT * _stall_cost(engine, request, contribution, now)
        if policy.affinity and request.prefix and request.prefix in engine.prefixes:
            cost -= PREFIX_AFFINITY_BONUS
        if best is None or cost < best_cost:
            best = engine
            best_cost = cost
    return best


def _conflicts_with_first_priority(engine: EngineView, request: Request) -> bool:
    """Tell whether a long prompt would be computed beside first-priority runs."""
    is_long = request.prompt_tokens > SHORT_PROMPT_TOKENS
    later = request.priority > HIGHEST_PRIORITY
    return later and is_long and engine.first_share > MAX_FIRST_SHARE


def _stall_cost(
    engine: EngineView, request: Request, contribution: Contribution, now: float
) -> float:
    """Estimate the stall that a request causes and suffers, in seconds.

    A long prompt is computed in steps that delay every run of the batch.
    """
    first = max(engine.first_running, engine.first_rate.at(now) * FIRST_RUN_SECONDS)
    held_up = FIRST_WEIGHT * first + engine.later_running
    cost = prompt_steps(request.prompt_tokens) * held_up
    weight = FIRST_WEIGHT if request.priority == HIGHEST_PRIORITY else 1.0
    cost += (
        weight
        * engine.prompt_steps_rate.at(now)
        * contribution.expected
        * SECONDS_PER_TOKEN
    )
    return cost * STALL_SECONDS_PER_STEP


def prompt_steps(prompt_tokens: int) -> int:
    """Return the number of noticeably long engine steps that a prompt causes."""
    if prompt_tokens <= SHORT_PROMPT_TOKENS:
        return 0
    return 1 + (prompt_tokens - SHORT_PROMPT_TOKENS) // PROMPT_TOKENS_PER_STEP
