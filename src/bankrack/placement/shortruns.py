"""Dedicates engines of a pool to short runs.

Reading a prompt delays all runs on the engine.  Where memory allows, short runs are
placed on as few engines as can read their prompts in time, so that long runs elsewhere
are not delayed.
"""

import collections
import math
import typing as t

from bankrack.clock import boottime
from bankrack.placement.pauserisk import PauseRisk
from bankrack.serving.enginespeeds import EngineSpeeds
from bankrack.serving.pace import Pace
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

MIN_ENGINES_TO_SPLIT = 12
"""Smaller pools are not split, which would delay short runs without helping long
ones."""
MAX_SPLIT_FILL = 0.5
"""Fraction of the other engines' memory that long runs may need while some engines
are dedicated to short ones; a fuller pool needs all its memory."""
SHORT_ENGINE_LOAD = 0.5
"""Fraction of time that engines for short runs may spend on reading prompts."""
MAX_SPLIT_FRACTION = 0.25
"""Largest fraction of the engines that is dedicated to short runs."""
RATE_WINDOW_SECONDS = 4.0
"""Window over which the prompt tokens of short runs are counted."""


class ShortRunEngines:
    """The engines of a pool that are dedicated to short runs.

    :ivar engine_ids: ids of the engines that were selected last.
    """

    def __init__(
        self,
        pace: Pace,
        speeds: EngineSpeeds,
        pause_risk: PauseRisk,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._pace = pace
        self._speeds = speeds
        self._pause_risk = pause_risk
        self._clock = clock
        self._prompts: collections.deque[tuple[float, int]] = collections.deque()
        self.engine_ids: set[str] = set()

    def note_prompt(self, tokens: int, now: float) -> None:
        """Record the prompt of a short run."""
        self.expire()
        self._prompts.append((now, tokens))

    def expire(self) -> None:
        """Remove prompts that have left the window."""
        since = self._clock() - RATE_WINDOW_SECONDS
        while self._prompts and self._prompts[0][0] < since:
            self._prompts.popleft()

    def select(
        self, engines: t.Sequence[Upstream], *, long_tokens: int, memory: int
    ) -> set[str]:
        """Select the engines anew and return their ids.

        :param long_tokens: memory that long runs are expected to need.
        :param memory: memory in tokens of an engine without a report.
        """
        wanted = self._wanted()
        found: set[str] = set()
        if self._speeds.active:
            found = self._pause_risk.engines_for_short_runs(
                engines, wanted=wanted, long_tokens=long_tokens, memory=memory
            )
        self.engine_ids = found or _by_digest(
            engines, wanted=wanted, long_tokens=long_tokens, memory=memory
        )
        return self.engine_ids

    def _wanted(self) -> float:
        """Number of engines of the usual speed that read the prompts in time."""
        rate = sum(tokens for _, tokens in self._prompts) / RATE_WINDOW_SECONDS
        return rate / (SHORT_ENGINE_LOAD * self._pace.read_rate(short_only=True))


def _by_digest(
    engines: t.Sequence[Upstream], *, wanted: float, long_tokens: int, memory: int
) -> set[str]:
    """Select engines of equal speed, the same ones as long as the pool is the same."""
    if len(engines) < MIN_ENGINES_TO_SPLIT:
        return set()
    count = min(math.ceil(wanted), int(MAX_SPLIT_FRACTION * len(engines)))
    ordered = sorted(engines, key=lambda engine: stable_digest(engine.id))
    room = sum(e.report.total if e.report else memory for e in ordered[count:])
    if long_tokens > MAX_SPLIT_FILL * room:
        return set()
    return {engine.id for engine in ordered[:count]}
