"""Estimates how long work takes on one engine, compared with the service's usual time.

Answers engines of unequal speed that join all the time: each life of an engine starts
unknown, and has to be told apart from the others within its first runs.  Observations
differ in precision, so they are combined by it.
"""

import dataclasses
import enum
import math
import typing as t

PRIOR_SD = 0.5
"""Standard deviation of the logarithm of a factor before any observation."""
MIN_SD = 0.05
"""Precision is bounded by this, so that an engine whose speed changes is noticed."""
MAX_FACTOR = 16.0
"""Bounds a single observation, which may also be a suspended process."""


class Kind(enum.Enum):
    """Kind of an observation; the value is the standard deviation of its logarithm."""

    GAPS = 0.15
    """Low quantile of the time between the events of a run, which prompts that are
    read beside it and slow moments hardly change."""
    STATED = 0.25
    """Stated by the engine for one moment."""
    FIRST_EVENT = 0.45
    """Time to a first event, against the prompt tokens that were read in it."""
    GROWTH = 0.4
    """Growth of the runs between two reports, which include slow moments."""


@dataclasses.dataclass(slots=True, frozen=True)
class Speed:
    """Estimate of an engine's speed.

    :param log_factor: logarithm of the time that work takes as a multiple of the usual.
    :param precision: inverse of the variance of ``log_factor``.
    :param samples: number of observations.
    """

    log_factor: float = 0.0
    precision: float = 1.0 / PRIOR_SD**2
    samples: int = 0

    @property
    def factor(self) -> float:
        """Time that work takes as a multiple of the usual; above 1 is slower."""
        return math.exp(self.log_factor)

    @property
    def sd(self) -> float:
        """Standard deviation of the logarithm of the factor."""
        return 1.0 / math.sqrt(self.precision)


UNKNOWN = Speed()


def observe(speed: Speed, kind: Kind, ratio: float, *, count: int = 1) -> Speed:
    """Return the estimate after further observations.

    :param ratio: the observed time as a multiple of the usual one; ignored unless it is
        positive and finite.
    :param count: number of observations with this ratio as their mean.
    """
    if not 0.0 < ratio < math.inf:
        return speed
    bound = math.log(MAX_FACTOR)
    log_ratio = min(bound, max(-bound, math.log(ratio)))
    weight = count / kind.value**2
    total = speed.precision + weight
    log_factor = (speed.precision * speed.log_factor + weight * log_ratio) / total
    return Speed(log_factor, min(total, 1.0 / MIN_SD**2), speed.samples + count)


def usual(values: t.Iterable[float]) -> float | None:
    """Geometric middle of the engines' values: the median of their logarithms.

    Counts engines rather than runs, as fast engines serve more of these.
    """
    ordered = sorted(values)
    if not ordered:
        return None
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return math.sqrt(ordered[middle - 1] * ordered[middle])
