"""The admission queue of a group of engines, and the grants from it.

Waiting requests are ordered by priority with aging and by fair shares of the
workspaces.  Requests that cannot start before their deadline are refused.
"""

import dataclasses
import math
import typing as t

from bankrack.scheduling import policies
from bankrack.scheduling.lengths import Lengths
from bankrack.scheduling.policies import EngineView
from bankrack.scheduling.policies import Granted
from bankrack.scheduling.policies import Policy
from bankrack.scheduling.policies import Rate
from bankrack.scheduling.policies import Request

AGING_INTERVAL_SECONDS = 20.0
"""Waiting time after which a request rises by one priority."""
MAX_BYPASS_SECONDS = 3.0
"""Waiting time after which later requests no longer overtake a request."""
MAX_WAITING = 512
GRANT_RATE_HALF_LIFE_SECONDS = 5.0
MIN_RATE = 0.2
REFRESH_INTERVAL_SECONDS = 0.25
MAX_PREFIXES = 512
FIRST_GROWTH_TOKENS = 64
"""Tokens reserved for the growth of each first-priority run."""
PEAK_MARGIN = 1.2
PEAK_DECAY = 0.5 ** (REFRESH_INTERVAL_SECONDS / 300.0)
MIN_QUEUE_TO_REFUSE = 4
"""Queue length below which the expected wait is taken as 0."""
MIN_FIRST_RATE = 0.02
MAX_TRIES_PER_PRIORITY = 16
"""Requests of one priority that are tried in a round; bounds its duration."""
CAUTION_STEP = 0.08
"""Standard deviations added to the margin for each preemption."""
MAX_CAUTION = 1.5
CAUTION_HALF_LIFE_SECONDS = 180.0


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A request may be sent to an engine."""

    request: Request
    engine: str


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A request is refused; ``retry_after`` is in seconds."""

    request: Request
    reason: str
    retry_after: float


Decision = Grant | Refusal


class Scheduler:
    """Queues and grants the requests for one group of engines.

    :param lengths: estimates of output lengths; new ones if ``None``.
    :param shares_by_workspace: weights of fair shares; 1 where absent.
    :param max_waiting: maximum length of the queue.
    """

    def __init__(
        self,
        policy: Policy,
        *,
        lengths: Lengths | None = None,
        shares_by_workspace: t.Mapping[str, float] | None = None,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self.policy = policy
        self.lengths = lengths or Lengths()
        self.engines_by_name: dict[str, EngineView] = {}
        self.serving_by_service: dict[str, frozenset[str]] = {}
        self.shares_by_workspace = shares_by_workspace or {}
        self.waiting_by_id: dict[t.Hashable, Request] = {}
        self.engine_by_granted: dict[t.Hashable, str] = {}
        self._max_waiting = max_waiting
        self._tokens_by_workspace: dict[str, int] = {}
        self._turn = 0
        self._rates_by_priority: dict[int, Rate] = {}
        self._first_peak = 0.0
        self._caution = 0.0
        self._caution_at = 0.0
        self._refreshed_at = 0.0

    def set_engine(self, name: str, memory_tokens: int) -> EngineView:
        """Add an engine, or change the size of its memory."""
        engine = self.engines_by_name.get(name)
        if engine is None:
            engine = self.engines_by_name[name] = EngineView(name, memory_tokens)
        engine.memory_tokens = memory_tokens
        return engine

    def remove_engine(self, name: str) -> None:
        """Remove an engine and the requests granted to it."""
        engine = self.engines_by_name.pop(name, None)
        if engine is not None:
            for granted in list(engine.granted_by_id.values()):
                self._remove_grant(engine, granted)

    def submit(self, request: Request, now: float) -> Refusal | None:
        """Queue a request, or refuse it at once."""
        wait = self.expected_wait(request, now)
        if len(self.waiting_by_id) >= self._max_waiting:
            return Refusal(request, "the queue is full", max(1.0, wait))
        if self.waiting_by_id and now + wait > request.deadline:
            return Refusal(request, "the expected wait exceeds the deadline", wait)
        self.waiting_by_id[request.id] = request
        return None

    def withdraw(self, request_id: t.Hashable) -> None:
        """Remove a waiting request from the queue."""
        self.waiting_by_id.pop(request_id, None)

    def expected_wait(self, request: Request, now: float) -> float:
        """Estimate the seconds until a new request of this priority starts."""
        ahead = sum(
            1
            for other in self.waiting_by_id.values()
            if other.priority <= request.priority
        )
        if ahead < MIN_QUEUE_TO_REFUSE:
            return 0.0
        rate = self._rates_by_priority.get(request.priority)
        return ahead / max(MIN_RATE, rate.at(now) if rate else 0.0)

    def ended(self, request_id: t.Hashable, length: int | None) -> None:
        """Remove a granted request that ended.

        :param length: tokens produced; ``None`` if it did not run to its end.
        """
        name = self.engine_by_granted.get(request_id)
        if name is None:
            return
        engine = self.engines_by_name[name]
        granted = engine.granted_by_id[request_id]
        self._remove_grant(engine, granted)
        if length is not None:
            request = granted.request
            self.lengths.observe(request.service, request.workspace, length)

    def progressed(self, request_id: t.Hashable, produced: int, now: float) -> None:
        """Record the number of tokens that a granted request has produced."""
        name = self.engine_by_granted.get(request_id)
        if name is not None:
            granted = self.engines_by_name[name].granted_by_id[request_id]
            granted.progressed(produced, now)

    def preempted(self, count: int, now: float) -> None:
        """Increase the margin of the forecast for a while, after preemptions.

        Preemptions indicate that lengths have a heavier tail than the normal
        approximation of the forecast assumes.
        """
        caution = self.caution(now) + CAUTION_STEP * count
        self._caution = min(MAX_CAUTION, caution)
        self._caution_at = now

    def caution(self, now: float) -> float:
        """Return the standard deviations to add to the policy's margin."""
        elapsed = max(0.0, now - self._caution_at)
        return self._caution * 2 ** (-elapsed / CAUTION_HALF_LIFE_SECONDS)

    def adopt(self, request: Request, engine: str, produced: int, now: float) -> None:
        """Record a request that another owner granted."""
        view = self.engines_by_name.get(engine)
        if view is None or request.id in self.engine_by_granted:
            return
        contribution = policies.contribution_of(
            self.policy, request, self.lengths, produced
        )
        self._record_grant(view, request, contribution, now)
        view.granted_by_id[request.id].progressed(produced, now)

    def decide(self, now: float) -> list[Decision]:
        """Grant requests that fit and refuse those past their deadline."""
        if now - self._refreshed_at >= REFRESH_INTERVAL_SECONDS:
            self._refresh(now)
        decisions: list[Decision] = []
        blocked_from = math.inf
        failed_by_priority: dict[int, int] = {}
        for request in self._in_order(now):
            if now >= request.deadline:
                decisions.append(self._refuse_expired(request, now))
                continue
            failed = failed_by_priority.get(request.priority, 0)
            if request.priority >= blocked_from or failed >= MAX_TRIES_PER_PRIORITY:
                continue
            grant = self._try_grant(request, now)
            if grant is not None:
                decisions.append(grant)
                continue
            failed_by_priority[request.priority] = failed + 1
            if now - request.submitted > MAX_BYPASS_SECONDS:
                # Smaller requests of the same or a lower priority no longer
                # overtake it, so that it does not starve.
                blocked_from = min(blocked_from, request.priority)
        return decisions

    def _refuse_expired(self, request: Request, now: float) -> Refusal:
        del self.waiting_by_id[request.id]
        wait = max(1.0, self.expected_wait(request, now))
        return Refusal(request, "no slot before the deadline", wait)

    def _try_grant(self, request: Request, now: float) -> Grant | None:
        engines = self._candidates(request)
        if not engines:
            return None
        contribution = policies.contribution_of(self.policy, request, self.lengths, 0)
        engine = policies.choose(
            self.policy,
            engines,
            request,
            contribution,
            now=now,
            turn=self._turn,
            caution=self.caution(now),
        )
        if engine is None:
            return None
        del self.waiting_by_id[request.id]
        self._record_grant(engine, request, contribution, now)
        self._record_rate(request.priority, now)
        self._turn += 1
        return Grant(request, engine.name)

    def _candidates(self, request: Request) -> list[EngineView]:
        serving = self.serving_by_service.get(request.service)
        usable = [
            engine
            for engine in self.engines_by_name.values()
            if engine.usable and (serving is None or engine.name in serving)
        ]
        fresh = [engine for engine in usable if engine.name not in request.avoid]
        return fresh or usable

    def _in_order(self, now: float) -> list[Request]:
        """Return waiting requests by aged priority, fair share and time."""
        held = self._tokens_by_workspace
        shares = self.shares_by_workspace

        def key(request: Request) -> tuple[int, float, float]:
            aged = int((now - request.submitted) / AGING_INTERVAL_SECONDS)
            used = held.get(request.workspace, 0) / shares.get(request.workspace, 1.0)
            return (request.priority - aged, used, request.submitted)

        if len(self.waiting_by_id) == 1:
            return list(self.waiting_by_id.values())
        return sorted(self.waiting_by_id.values(), key=key)

    def _record_grant(
        self,
        engine: EngineView,
        request: Request,
        contribution: policies.Contribution,
        now: float,
    ) -> None:
        engine.granted_by_id[request.id] = Granted(request, contribution, now)
        engine.forecast.add(contribution)
        engine.reserved_tokens += request.prompt_tokens + request.max_tokens
        if request.priority == policies.HIGHEST_PRIORITY:
            engine.first_running += 1
            engine.first_rate.record(now)
        else:
            engine.later_running += 1
        steps = policies.prompt_steps(request.prompt_tokens)
        if steps:
            engine.prompt_steps_rate.record(now, steps)
        if request.prefix:
            self._record_prefix(engine, request.prefix, now)
        self.engine_by_granted[request.id] = engine.name
        held = self._tokens_by_workspace.get(request.workspace, 0)
        self._tokens_by_workspace[request.workspace] = held + _weight(request)

    def _remove_grant(self, engine: EngineView, granted: Granted) -> None:
        request = granted.request
        del engine.granted_by_id[request.id]
        del self.engine_by_granted[request.id]
        engine.forecast.remove(granted.contribution)
        engine.reserved_tokens -= request.prompt_tokens + request.max_tokens
        if request.priority == policies.HIGHEST_PRIORITY:
            engine.first_running -= 1
        else:
            engine.later_running -= 1
        left = self._tokens_by_workspace[request.workspace] - _weight(request)
        if left:
            self._tokens_by_workspace[request.workspace] = left
        else:
            del self._tokens_by_workspace[request.workspace]

    def _refresh(self, now: float) -> None:
        """Update reserved memory and forecasts from the progress of runs."""
        self._refreshed_at = now
        self._refresh_reserve(now)
        match self.policy:
            case policies.Forecast(conditional=True):
                for engine in self.engines_by_name.values():
                    self._refresh_engine(engine, now)
            case _:
                return

    def _refresh_reserve(self, now: float) -> None:
        """Keep as much memory free as first priority needed recently.

        It is divided among the engines by their recent first-priority grants.
        """
        engines = self.engines_by_name.values()
        held = 0.0
        for engine in engines:
            for granted in engine.granted_by_id.values():
                if granted.request.priority == policies.HIGHEST_PRIORITY:
                    held += granted.contribution.means[0] + FIRST_GROWTH_TOKENS
        for request in self.waiting_by_id.values():
            if request.priority == policies.HIGHEST_PRIORITY:
                held += request.prompt_tokens + FIRST_GROWTH_TOKENS
        self._first_peak = max(held, self._first_peak * PEAK_DECAY)
        spare = max(0.0, self._first_peak * PEAK_MARGIN - held)
        recent_by_name = {e.name: e.first_rate.at(now) for e in engines}
        total = sum(recent_by_name.values())
        for engine in engines:
            share = (
                recent_by_name[engine.name] / total if total > MIN_FIRST_RATE else 0.0
            )
            engine.first_share = share
            engine.kept_free = min(spare * share, engine.memory_tokens * 0.9)

    def _refresh_engine(self, engine: EngineView, now: float) -> None:
        engine.forecast = policies.MemoryForecast()
        for granted in engine.granted_by_id.values():
            granted.contribution = policies.contribution_of(
                self.policy, granted.request, self.lengths, granted.estimate(now)
            )
            engine.forecast.add(granted.contribution)

    def _record_prefix(self, engine: EngineView, prefix: str, now: float) -> None:
        engine.prefixes.pop(prefix, None)
        engine.prefixes[prefix] = now
        if len(engine.prefixes) > MAX_PREFIXES:
            del engine.prefixes[next(iter(engine.prefixes))]

    def _record_rate(self, priority: int, now: float) -> None:
        """Count one grant of a priority."""
        rate = self._rates_by_priority.setdefault(
            priority, Rate(GRANT_RATE_HALF_LIFE_SECONDS)
        )
        rate.record(now)


def _weight(request: Request) -> int:
    """Return a request's weight in fair shares.

    It is never 0, although the prompt of a resumed request is.
    """
    return request.prompt_tokens + 1
