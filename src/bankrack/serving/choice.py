"""Chooses upstreams by reports, answers and this node's own traffic."""

import dataclasses
import logging
import random
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.plainchoice import expected_slowdown
from bankrack.decisions.plainchoice import load_score
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.job import Demand
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import Upstream
from bankrack.utils import backoff_seconds

REPORT_LAG_SECONDS = 0.6
"""Age of an engine's report on arrival: its age at the engine, and the network
latency."""
MAX_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory that new runs may fill; the rest is for growth."""
JITTER = 0.04
"""Random part of a score; spreads nodes with equal reports over similar upstreams."""
SUSPECT_PENALTY = 10.0
"""Places an upstream that failed recently behind all others."""
FAILURE_WEIGHT = 2.0
FAILURE_SMOOTHING = 0.15
"""Weight of the newest answer in an upstream's moving average of failures."""
FULL_LOAD = 1.0
"""Load assumed for an upstream that rejected a request: all its slots are in use."""
MIN_FULL_SECONDS = 0.1
MAX_FULL_SECONDS = 1.6
"""An upstream that rejects requests counts as full for this time at most; the time
doubles with each rejection and is reset once it serves a request."""
MIN_SUSPICION_SECONDS = 0.5
MAX_SUSPICION_SECONDS = 4.0
MAX_DOUBLINGS = 16
"""Failures in a row that are counted; the suspicion time reaches its maximum before."""
PEER_SUSPICION_PENALTY = 0.5
"""Penalty of an upstream at which another node's request failed just before.  Others
are preferred until half of their slots are taken."""
CROWDED_LOAD = 0.5
"""Load of the other upstreams from which an excluded one is retested early."""
COLD_PENALTY = 0.5
"""Penalty in the score of a cold upstream."""
MIN_WEIGHT = 1e-4
"""Weight of an engine without room; an empty one has up to 1."""
NEAR_FACTOR = 1.3
"""Factor on the weight of engines in the preferred hall."""
SUSPECT_FACTOR = 1e-6
"""Factor on the weight of an engine that failed recently."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class EngineView:
    """This node's estimate of an engine's state, in tokens.

    :param used: memory in use.
    :param total: memory in total.
    :param queued: runs that wait on the engine.
    :param prompt_backlog: prompt tokens that were sent to it recently.
    """

    used: int
    total: int
    queued: int
    prompt_backlog: float


class Chooser:
    """Chooses upstreams for this node.

    :param hall: hall of this node.
    """

    def __init__(
        self,
        *,
        hall: str,
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
    ) -> None:
        self._hall = hall
        self._clock = clock
        self._rng = rng or random.Random()
        self._pace_by_service: dict[str, Pace] = {}
        self._speeds_by_service: dict[str, EngineSpeeds] = {}

    def pace_of(self, service: str) -> Pace:
        """The speeds of a service's engines, learned from this node's own runs."""
        return self._pace_by_service.setdefault(service, Pace())

    def speeds_of(self, service: str) -> EngineSpeeds:
        """The speed of each of a service's engines, learned from this node's runs."""
        return self._speeds_by_service.setdefault(service, EngineSpeeds())

    def plain(
        self,
        upstreams: t.Iterable[Upstream],
        *,
        avoid: t.Collection[str] = (),
        repeatable: bool = False,
        may_retest: bool = False,
    ) -> Upstream | None:
        """Choose an upstream for a plain request.

        :param avoid: ids of upstreams that are used only if there is no other.
        :param repeatable: the request may run twice.
        :param may_retest: the request may be sent to an excluded upstream, to see
            whether it serves again.
        """
        candidates = in_use = list(upstreams)
        if any(upstream.excluded_until for upstream in candidates):
            now = self._clock()
            in_use = [u for u in candidates if not u.excluded(now)] or candidates
            untried = [u for u in candidates if u.id not in avoid]
            if may_retest and (due := self._due_for_retest(untried, in_use, now)):
                return due
        score = self._plain_score if repeatable else self._unrepeatable_score
        return self._lowest_score(in_use, avoid, score)

    def _due_for_retest(
        self, upstreams: list[Upstream], in_use: list[Upstream], now: float
    ) -> Upstream | None:
        """Return an excluded upstream that is due for a retest, if any.

        :param in_use: those of the upstreams that are not excluded.
        """
        others_full = all(self._load(upstream) >= CROWDED_LOAD for upstream in in_use)
        due = (u for u in upstreams if u.retest_due(now, others_full=others_full))
        return next(due, None)

    def engines_by_room(
        self,
        upstreams: t.Iterable[Upstream],
        demand: Demand,
        *,
        memory: int,
        near: str | None = None,
        near_factor: float = NEAR_FACTOR,
    ) -> list[Upstream]:
        """Order engines for a run, those with more room first with higher probability.

        All nodes see the same reports; if each used the emptiest engine, they would
        fill it at once.  So the order is random, weighted by the square of the room.

        :param memory: memory in tokens of an engine without a report.
        :param near: preferred hall; this node's own by default.
        :param near_factor: weight of engines in the preferred hall.
        """
        hall = near or self._hall
        keyed = []
        for upstream in upstreams:
            weight = self._room_weight(upstream, demand, memory)
            if upstream.record.hall == hall:
                weight *= near_factor
            # Weighted sampling without replacement: largest u ** (1 / weight) first.
            key = self._rng.random() ** (1.0 / weight)
            keyed.append((key, upstream))
        keyed.sort(key=lambda pair: pair[0], reverse=True)
        return [upstream for _, upstream in keyed]

    def _room_weight(self, upstream: Upstream, demand: Demand, memory: int) -> float:
        view = self.view(upstream, memory)
        read_rate = self.pace_of(upstream.record.service).read_rate()
        room = MAX_MEMORY_FRACTION * view.total - view.used - demand.expected
        weight = max(0.0, room / max(1, view.total)) ** 2 + MIN_WEIGHT
        if not demand.short:
            # Long runs on slow engines are paused by prompts that are read beside them.
            speeds = self.speeds_of(upstream.record.service)
            weight /= speeds.factor(upstream.id) ** 2
        weight /= 1.0 + view.queued
        weight /= 1.0 + 2.0 * view.prompt_backlog / read_rate
        weight /= 1.0 + FAILURE_WEIGHT * upstream.failure_rate
        if self._clock() < upstream.suspect_until:
            weight *= SUSPECT_FACTOR
        return weight

    def view(self, upstream: Upstream, memory: int) -> EngineView:
        """Estimate an engine's state from its report and later sends.

        :param memory: memory in tokens of an engine without a report.
        """
        now = self._clock()
        unreported = upstream.unreported_tokens(now, lag=REPORT_LAG_SECONDS)
        report = upstream.report
        backlog = sum(n for at, n in upstream.sent if at > now - 0.5)
        if report is None:
            return EngineView(unreported, memory, 0, backlog)
        return EngineView(
            report.used + unreported, report.total, report.queued, backlog
        )

    def suspect(self, upstream: Upstream) -> None:
        """Record that an upstream was unreachable or broke off."""
        # Bounded, or the power of two overflows for an upstream that fails for hours.
        upstream.failures = min(upstream.failures + 1, MAX_DOUBLINGS)
        seconds = MIN_SUSPICION_SECONDS * 2 ** (upstream.failures - 1)
        seconds = min(seconds, MAX_SUSPICION_SECONDS)
        upstream.suspect_until = self._clock() + seconds
        logs.event(
            _logger,
            "upstream_suspected",
            upstream=upstream.id,
            failures=upstream.failures,
            seconds=seconds,
        )

    def answered(self, upstream: Upstream, *, failed: bool) -> None:
        """Record an answer in the moving average of failures."""
        if not failed:
            upstream.failures = 0
            upstream.rejections = 0
            upstream.suspect_until = 0.0
        rate = upstream.failure_rate
        upstream.failure_rate = rate + FAILURE_SMOOTHING * (float(failed) - rate)

    def rejected(self, upstream: Upstream) -> None:
        """Record that an upstream rejected a request, as full ones do.

        Without this it would seem the least loaded, as it has no requests in flight.
        """
        seconds = backoff_seconds(
            upstream.rejections, first=MIN_FULL_SECONDS, maximum=MAX_FULL_SECONDS
        )
        upstream.rejections += 1
        upstream.full_until = self._clock() + seconds

    def _lowest_score(
        self,
        upstreams: t.Iterable[Upstream],
        avoid: t.Collection[str],
        score: t.Callable[[Upstream], float],
    ) -> Upstream | None:
        candidates = list(upstreams)
        preferred = [u for u in candidates if u.id not in avoid] or candidates
        if not preferred:
            return None
        return min(preferred, key=score)

    def _plain_score(self, upstream: Upstream) -> float:
        score = self._load(upstream)
        if upstream.slowdown != 1.0:
            age = self._clock() - upstream.slowdown_at
            score = load_score(score, expected_slowdown(upstream.slowdown, age=age))
        return score + self._penalty(upstream)

    def _load(self, upstream: Upstream) -> float:
        """Return the known requests at an upstream as a fraction of its slots."""
        slots = max(1, upstream.record.slots)
        load = (upstream.in_flight + upstream.queue_length) / slots
        if self._clock() < upstream.full_until:
            load += FULL_LOAD
        return load

    def _unrepeatable_score(self, upstream: Upstream) -> float:
        score = self._plain_score(upstream)
        if upstream.peer_suspect_until and upstream.peer_suspected(self._clock()):
            score += PEER_SUSPICION_PENALTY
        return score

    def _penalty(self, upstream: Upstream) -> float:
        now = self._clock()
        score = FAILURE_WEIGHT * upstream.failure_rate + JITTER * self._rng.random()
        if now < upstream.suspect_until:
            score += SUSPECT_PENALTY
        if upstream.cold(now):
            score += COLD_PENALTY
        return score
