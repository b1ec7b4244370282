"""Expected loss by pauses when runs of a pool share engines of unequal speed."""

import collections
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.pauses import can_be_paused
from bankrack.decisions.pauses import expected_loss
from bankrack.decisions.pauses import lifetime_risk
from bankrack.decisions.pauses import resumption_hazard
from bankrack.placement.placements import Placement
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.job import Demand
from bankrack.serving.upstreams import Upstream

WINDOW_SECONDS = 4.0
"""Window over which prompts are counted."""
INITIAL_STREAM_SECONDS = 5.0
STREAM_SMOOTHING = 0.1
"""Initial estimate of a long stream's duration, and weight of the newest."""
MIN_PAUSE_RISK = 0.1
"""With a higher risk an engine is one that pauses long streams."""
MAX_SPEED_WAIT = 0.25
"""Fraction of the target latency for which a run waits for an engine that does not
pause it."""
MAX_LONG_FILL = 0.75
"""Fraction of the other engines' memory that long runs may need while slow ones are
dedicated to short runs."""


class PauseRisk:
    """Risk of pauses on each engine of a pool.

    :param speeds: speed of each engine.
    """

    def __init__(
        self, speeds: EngineSpeeds, *, clock: t.Callable[[], float] = boottime
    ) -> None:
        self._speeds = speeds
        self._clock = clock
        self._prompts: collections.deque[float] = collections.deque()
        self._stream_seconds = INITIAL_STREAM_SECONDS

    def note_prompt(self, beside: t.Iterable[Placement]) -> None:
        """Record that a prompt was sent to an engine, beside these placements."""
        if not self._speeds.active:
            return
        for placement in beside:
            placement.prompts_beside += 1
        self._prompts.append(self._clock())
        self._expire()

    def note_end(self, placement: Placement, took: float) -> None:
        """Record the end of a run.

        :param took: seconds from its first to its last event; 0 unless it completed.
        """
        if not self._speeds.active or placement.demand.short:
            return
        if took > 0.0:
            usual = took / self._speeds.factor(placement.engine)
            self._stream_seconds += STREAM_SMOOTHING * (usual - self._stream_seconds)
        self._speeds.observe_stream(
            gap=placement.gap,
            longest_pause=placement.longest_pause,
            events=placement.gaps,
            prompts=placement.prompts_beside,
        )

    def pauses_streams(self, engine: str, *, engines: int) -> bool:
        """Whether a long stream on an engine is likely to be paused too long.

        :param engines: number of engines that share the prompts.
        """
        return self._of_stream(engine, engines) >= MIN_PAUSE_RISK

    def should_wait(
        self, engines: t.Collection[str], demand: Demand, *, due: float, pool_size: int
    ) -> bool:
        """Whether a long run waits for an engine that does not pause it too long.

        It does while all engines with room would, for a small part of its target
        latency: the rest is needed for its prompt, also on a slow engine.

        :param engines: ids of the engines that have room for the run.
        :param due: seconds until the target latency is over.
        :param pool_size: number of engines that share the prompts.
        """
        pause_cost = self._speeds.pause_cost
        if not self._speeds.active or pause_cost is None or demand.short:
            return False
        if due < (1.0 - MAX_SPEED_WAIT) * pause_cost.seconds:
            return False
        return all(self.pauses_streams(name, engines=pool_size) for name in engines)

    def engines_for_short_runs(
        self,
        engines: t.Sequence[Upstream],
        *,
        wanted: float,
        long_tokens: int,
        memory: int,
    ) -> set[str]:
        """Ids of the slow engines that are dedicated to short runs.

        Long runs would be paused there, and short runs can't be.  The slowest come
        first, as many as read the prompts of short runs in time, or as long runs can do
        without.

        :param wanted: number of engines of the usual speed that short runs need.
        :param long_tokens: memory that long runs are expected to need.
        :param memory: memory in tokens of an engine without a report.
        """
        factor_by_id = {e.id: self._speeds.factor(e.id) for e in engines}
        room_by_id = {e.id: e.report.total if e.report else memory for e in engines}
        room = sum(room_by_id.values())
        found: set[str] = set()
        for name in sorted(factor_by_id, key=factor_by_id.__getitem__, reverse=True):
            room -= room_by_id[name]
            if wanted <= 0.0 or long_tokens > MAX_LONG_FILL * room:
                break
            if not self.pauses_streams(name, engines=len(engines)):
                break
            found.add(name)
            wanted -= 1.0 / factor_by_id[name]
        return found

    def cost(
        self,
        engine: str,
        placements: t.Iterable[Placement],
        demand: Demand,
        *,
        engines: int,
        token_seconds: float,
        read_rate: float,
    ) -> float:
        """Expected loss by placing a run, as seconds of delay that cost as much.

        :param placements: placements on the engine.
        :param engines: number of engines that share the prompts.
        :param token_seconds: usual seconds per expected output token.
        :param read_rate: prompt tokens per second over the usual wait of a run.
        """
        pause_cost = self._speeds.pause_cost
        if pause_cost is None:
            return 0.0
        hazard = self._speeds.hazard(engine)
        reading = demand.prompt / read_rate
        resumption = resumption_hazard(
            reading=reading * self._speeds.factor(engine),
            gap_target=pause_cost.gap_target,
        )
        others = [
            resumption if p.copy else hazard
            for p in placements
            if p.copy
            or (
                p.longest_pause <= pause_cost.gap_target
                and _can_be_paused(p.demand, token_seconds, reading)
            )
        ]
        own = 0.0
        if not demand.short:
            own = self._of_stream(engine, engines)
        elif _can_be_paused(demand, token_seconds, reading):
            own = self._of_short_stream(engine, engines, demand.output * token_seconds)
        return expected_loss(own=own, others=others, pause_cost=pause_cost)

    def _of_stream(self, engine: str, engines: int) -> float:
        """Probability that a long stream on an engine is paused too long."""
        hazard = self._speeds.hazard(engine)
        if hazard == 0.0:
            return 0.0
        seconds = self._stream_seconds * self._speeds.factor(engine)
        prompts = 1.0 + self._prompt_rate(engines) * seconds
        return lifetime_risk(hazard, prompts=prompts)

    def _of_short_stream(self, engine: str, engines: int, seconds: float) -> float:
        """The same for a short run, beside which fewer prompts are read.

        :param seconds: expected seconds on an engine of the usual speed.
        """
        prompts = self._prompt_rate(engines) * seconds * self._speeds.factor(engine)
        return lifetime_risk(self._speeds.hazard(engine), prompts=prompts)

    def _prompt_rate(self, engines: int) -> float:
        """Prompts per second that one engine is sent."""
        self._expire()
        return len(self._prompts) / WINDOW_SECONDS / max(1, engines)

    def _expire(self) -> None:
        since = self._clock() - WINDOW_SECONDS
        while self._prompts and self._prompts[0] < since:
            self._prompts.popleft()


def _can_be_paused(demand: Demand, token_seconds: float, reading: float) -> bool:
    """Whether a run makes events for long enough to be paused by a prompt."""
    if not demand.short:
        return True
    return can_be_paused(seconds=demand.output * token_seconds, reading=reading)
