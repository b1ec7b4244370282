"""Forecast of an engine's memory use from its runs.

All runs of a batch advance by about one token a step, so a number of tokens
serves as a common time axis.  At each horizon on it, the memory is a sum of
independent terms, one for each run that has not ended by then.  Mean and
variance give the probability of overflow by the normal approximation.
"""

import math

from bankrack.scheduling.lengths import Survival

HORIZONS = (0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096)
"""Times of the forecast, in tokens from now."""
_COUNT = len(HORIZONS)
# Memory is evaluated at the end of each interval, so that no peak between two
# horizons is missed.  Evaluated at its start, even exact lengths led to 0.017
# preemptions per request.
_INTERVAL_ENDS = (*HORIZONS[1:], HORIZONS[-1])


class Contribution:
    """What one run adds to the forecast at each horizon, in tokens.

    :param expected: tokens that the run is still expected to produce.
    """

    __slots__ = ("expected", "means", "variances")

    def __init__(
        self, means: list[float], variances: list[float], expected: float
    ) -> None:
        self.expected = expected
        self.means = means
        self.variances = variances


def forecast_contribution(
    lengths: Survival, *, prompt_tokens: int, produced: int, max_tokens: int
) -> Contribution:
    """Forecast the memory use of one run, given the tokens it has produced.

    :param lengths: survival function of the run's length.
    :param max_tokens: maximum length of the output.
    """
    chances = lengths.survivals(produced, HORIZONS)
    alive_now = max(1e-9, chances[0])
    held = prompt_tokens + produced
    left = max(0, max_tokens - produced)
    means = []
    variances = []
    expected = 0.0
    before = 0
    for horizon, ahead, chance in zip(HORIZONS, _INTERVAL_ENDS, chances, strict=True):
        alive = 0.0
        if horizon < left:
            alive = chance / alive_now
            if alive > 1.0:
                alive = 1.0
        elif horizon == 0:
            alive = 1.0
        memory = held + (ahead if ahead < left else left)
        mean = alive * memory
        means.append(mean)
        variances.append(mean * (1.0 - alive) * memory)
        expected += alive * (horizon - before)
        before = horizon
    return Contribution(means, variances, expected)


class MemoryForecast:
    """The sum of the contributions of an engine's runs."""

    __slots__ = ("means", "variances")

    def __init__(self) -> None:
        self.means = [0.0] * _COUNT
        self.variances = [0.0] * _COUNT

    def add(self, contribution: Contribution) -> None:
        """Add one run."""
        self.means = [
            a + b for a, b in zip(self.means, contribution.means, strict=True)
        ]
        self.variances = [
            a + b for a, b in zip(self.variances, contribution.variances, strict=True)
        ]

    def remove(self, contribution: Contribution) -> None:
        """Remove one run."""
        self.means = [
            a - b for a, b in zip(self.means, contribution.means, strict=True)
        ]
        self.variances = [
            max(0.0, a - b)
            for a, b in zip(self.variances, contribution.variances, strict=True)
        ]

    def peak(self, z: float) -> float:
        """Return the maximum of ``mean + z * deviation`` over the horizons."""
        return max(
            mean + z * math.sqrt(variance)
            for mean, variance in zip(self.means, self.variances, strict=True)
        )

    def peak_with(self, contribution: Contribution, z: float) -> float:
        """Return the :meth:`peak` with one more run."""
        highest = 0.0
        for index in range(_COUNT):
            mean = self.means[index] + contribution.means[index]
            variance = self.variances[index] + contribution.variances[index]
            highest = max(highest, mean + z * math.sqrt(variance))
        return highest
