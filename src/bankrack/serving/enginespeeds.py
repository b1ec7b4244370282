"""Speeds of the engines of one service, and the pauses of its streams.

Kept by the owner of a pool, with its ledger.  Inactive, with a factor of 1 for each
engine, until a node reports gaps or an engine states that work takes longer than usual.
"""

import collections
import dataclasses
import logging
import math
import statistics
import typing as t

from bankrack import logs
from bankrack.decisions.enginespeed import Kind
from bankrack.decisions.enginespeed import observe
from bankrack.decisions.enginespeed import Speed
from bankrack.decisions.enginespeed import UNKNOWN
from bankrack.decisions.enginespeed import usual
from bankrack.decisions.pauses import pause_hazard
from bankrack.decisions.pauses import PauseCost
from bankrack.decisions.pauses import StreamPause

MAX_ENGINES = 512
"""Engine lives kept, with those that have ended; far above the engines of a pool."""
MAX_GAPS = 8
"""Streams of an engine whose gaps count; older ones fade out."""
MAX_STATED = 8
"""Stated slowdowns of an engine that are kept."""
STATED_QUANTILE = 0.3
MAX_PAUSES = 128
"""Recent streams whose longest pauses are kept."""
LOGGED_CHANGE = 1.25
"""An engine's factor is logged when it has changed by this much."""
MIN_STREAM_EVENTS = 40
"""Streams with fewer events say little about the longest pause of a long one."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class _Gaps:
    """Geometric mean of the gaps of an engine's streams, in seconds.

    :param count: number of gaps, up to ``MAX_GAPS``.
    """

    mean: float
    count: int

    def with_gap(self, gap: float) -> "_Gaps":
        """Return the mean with one more gap."""
        count = min(MAX_GAPS, self.count + 1)
        return _Gaps(self.mean * (gap / self.mean) ** (1.0 / count), count)


def _base(stated: t.Sequence[float]) -> float:
    """Low quantile of stated slowdowns, which slow moments hardly change."""
    return sorted(stated)[int(STATED_QUANTILE * len(stated))]


class EngineSpeeds:
    """Speeds by engine id, which is that of one life of an engine.

    :ivar active: whether the engines are known to be uneven.
    """

    __slots__ = (
        "_factor_by_engine",
        "_gaps_by_engine",
        "_hazard_by_engine",
        "_logged_by_engine",
        "_mean",
        "_pause_cost",
        "_pauses",
        "_speed_by_engine",
        "_stated_by_engine",
        "_unavoidable",
        "_usual_gap",
        "_usual_stated",
        "active",
    )

    def __init__(self) -> None:
        self.active = False
        self._factor_by_engine: dict[str, float] = {}
        self._gaps_by_engine: dict[str, _Gaps] = {}
        self._logged_by_engine: dict[str, float] = {}
        self._hazard_by_engine: dict[str, float] = {}
        self._pauses: collections.deque[StreamPause] = collections.deque(
            maxlen=MAX_PAUSES
        )
        self._speed_by_engine: collections.OrderedDict[str, Speed] = (
            collections.OrderedDict()
        )
        self._pause_cost: PauseCost | None = None
        self._stated_by_engine: dict[str, collections.deque[float]] = {}
        self._mean: float | None = None
        self._unavoidable: float | None = None
        self._usual_gap: float | None = None
        self._usual_stated: float | None = None

    @property
    def pause_cost(self) -> PauseCost | None:
        """What pauses cost the service's callers; ``None`` while unknown."""
        return self._pause_cost

    def factor(self, engine: str) -> float:
        """Time that work takes on an engine as a multiple of the service's usual."""
        if not self.active:
            return 1.0
        found = self._factor_by_engine.get(engine)
        if found is None:
            found = self._factor_by_engine[engine] = self._speed(engine).factor
        return found

    def _speed(self, engine: str) -> Speed:
        """Combine the observations of an engine with the usual gap of this moment."""
        speed = self._speed_by_engine.get(engine, UNKNOWN)
        gaps = self._gaps_by_engine.get(engine)
        if gaps is not None and self._usual_gap is not None:
            ratio = gaps.mean / self._usual_gap
            speed = observe(speed, Kind.GAPS, ratio, count=gaps.count)
        stated = self._stated_by_engine.get(engine)
        if stated is not None and self._usual_stated is not None:
            ratio = _base(stated) / self._usual_stated
            speed = observe(speed, Kind.STATED, ratio, count=len(stated))
        return speed

    @property
    def unit_gap(self) -> float | None:
        """Seconds between events while an engine states that work takes as usual."""
        return usual(
            gaps.mean / _base(self._stated_by_engine[engine])
            for engine, gaps in self._gaps_by_engine.items()
            if engine in self._stated_by_engine
        )

    def hazard(self, engine: str) -> float:
        """Probability that a prompt pauses a stream beside it for too long.

        An engine without observations counts as one of the known ones.
        """
        if self._usual_gap is None or self._pause_cost is None:
            return 0.0
        found = self._hazard_by_engine.get(engine)
        if found is None:
            if engine in self._speed_by_engine:
                found = self._excess_hazard(self.factor(engine))
            else:
                found = self._mean_hazard()
            self._hazard_by_engine[engine] = found
        return found

    def _mean_hazard(self) -> float:
        if self._mean is None:
            self._mean = statistics.fmean(map(self.hazard, self._speed_by_engine))
        return self._mean

    def _forget_hazards(self) -> None:
        """Discard the cached hazards after an observation."""
        self._hazard_by_engine.clear()
        self._mean = self._unavoidable = None

    def _excess_hazard(self, factor: float) -> float:
        """Hazard without pauses that the fastest engine has as well.

        These have another cause, such as preemptions.
        """
        if self._unavoidable is None:
            fastest = min(map(self.factor, self._speed_by_engine))
            self._unavoidable = self._hazard_of(fastest)
        return max(0.0, self._hazard_of(factor) - self._unavoidable)

    def _hazard_of(self, factor: float) -> float:
        assert self._usual_gap is not None
        assert self._pause_cost is not None
        return pause_hazard(
            self._pauses,
            gap=factor * self._usual_gap,
            gap_target=self._pause_cost.gap_target,
        )

    def observe(self, engine: str, kind: Kind, ratio: float) -> None:
        """Record how long work took on an engine, as a multiple of the usual."""
        if not self.active:
            return
        last = self._speed_by_engine.get(engine, UNKNOWN)
        self._speed_by_engine[engine] = observe(last, kind, ratio)
        self._factor_by_engine.pop(engine, None)
        self._forget_hazards()
        self._limit_engines(engine)
        self._log(engine)

    def observe_gaps(self, engine: str, gap: float, pause_cost: PauseCost) -> None:
        """Record the gap between the events of a stream on an engine, in seconds."""
        if not 0.0 < gap < math.inf:
            return
        self.active = True
        if pause_cost.gap_target > 0.0:
            self._pause_cost = pause_cost
        self._speed_by_engine.setdefault(engine, UNKNOWN)
        gaps = self._gaps_by_engine.get(engine, _Gaps(gap, 0))
        self._gaps_by_engine[engine] = gaps.with_gap(gap)
        self._usual_gap = usual(gaps.mean for gaps in self._gaps_by_engine.values())
        self._factor_by_engine.clear()
        self._forget_hazards()
        self._limit_engines(engine)
        self._log(engine)

    def observe_stated(self, engine: str, slowdown: float) -> None:
        """Record how long work took on an engine at a moment, as stated by it."""
        if not 0.0 < slowdown < math.inf:
            return
        self.active = True
        self._speed_by_engine.setdefault(engine, UNKNOWN)
        stated = self._stated_by_engine.setdefault(
            engine, collections.deque(maxlen=MAX_STATED)
        )
        stated.append(slowdown)
        self._usual_stated = usual(map(_base, self._stated_by_engine.values()))
        self._factor_by_engine.clear()
        self._forget_hazards()
        self._limit_engines(engine)
        self._log(engine)

    def observe_stream(
        self, *, gap: float, longest_pause: float, events: int, prompts: int
    ) -> None:
        """Record the longest pause of a stream on one engine.

        :param gap: usual seconds between two of its events.
        :param events: number of its gaps.
        :param prompts: prompts that the engine read beside it.
        """
        if events >= MIN_STREAM_EVENTS and gap > 0.0:
            self._pauses.append(StreamPause(longest_pause / gap, prompts))
            self._forget_hazards()

    def describe(self) -> dict[str, t.Any]:
        """Return the speeds for the state dump."""
        found = {}
        for engine in self._speed_by_engine:
            speed = self._speed(engine)
            found[engine] = {
                "factor": speed.factor,
                "sd": speed.sd,
                "samples": speed.samples,
                "hazard": self.hazard(engine),
            }
        return found

    def _limit_engines(self, observed: str) -> None:
        """Forget the engine that was not observed for longest beyond the limit."""
        self._speed_by_engine.move_to_end(observed)
        if len(self._speed_by_engine) <= MAX_ENGINES:
            return
        gone, _ = self._speed_by_engine.popitem(last=False)
        for by_engine in (
            self._factor_by_engine,
            self._gaps_by_engine,
            self._hazard_by_engine,
            self._logged_by_engine,
            self._stated_by_engine,
        ):
            by_engine.pop(gone, None)

    def _log(self, engine: str) -> None:
        speed = self._speed(engine)
        before = self._logged_by_engine.get(engine, 1.0)
        if 1 / LOGGED_CHANGE < speed.factor / before < LOGGED_CHANGE:
            return
        self._logged_by_engine[engine] = speed.factor
        logs.event(
            _logger,
            "engine_speed_learned",
            upstream=engine,
            factor=speed.factor,
            before=before,
            samples=speed.samples,
        )
