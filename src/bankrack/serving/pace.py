"""How fast engines read prompts and make tokens, learned from their runs.

Engines differ by site and by load, so the figures given here are only where the
estimates begin.
"""

import collections
import logging
import statistics

from bankrack import logs
from bankrack.serving.job import Demand

FIRST_READ_RATE = 7_000.0
"""Prompt tokens a second beside other runs, until some were observed; half of what an
engine met so far reads alone, since each of its steps then does both."""
APART_FACTOR = 2.0
"""How much faster an engine is taken to read where no long runs decode beside, until
that was observed: each of its steps then does one thing instead of two."""
FIRST_TOKEN_SECONDS = 0.009
"""Seconds a token, until some were observed, with about ten runs beside each other."""
SAMPLES = 64
"""Runs that an estimate is the median of; a busy pool has so many in some 10 s."""
MIN_SAMPLES = 8
"""Fewer tell less than the first figure."""
LOGGED_CHANGE = 1.25
"""An estimate is logged when it has moved by this factor."""

_logger = logging.getLogger(__name__)


class Estimate:
    """A figure that is the median of what was observed lately."""

    __slots__ = ("_logged", "_name", "_samples", "value")

    def __init__(self, name: str, first: float) -> None:
        self.value = first
        self._name = name
        self._logged = first
        self._samples: collections.deque[float] = collections.deque(maxlen=SAMPLES)

    @property
    def learned(self) -> bool:
        """Whether enough was observed."""
        return len(self._samples) >= MIN_SAMPLES

    def observe(self, sample: float) -> None:
        """Take in one observation."""
        self._samples.append(sample)
        if not self.learned:
            return
        self.value = statistics.median(self._samples)
        ratio = self.value / self._logged
        if not 1 / LOGGED_CHANGE < ratio < LOGGED_CHANGE:
            logs.event(
                _logger,
                "pace_learned",
                figure=self._name,
                value=self.value,
                before=self._logged,
                samples=len(self._samples),
            )
            self._logged = self.value


class Pace:
    """The speeds of the engines of one service."""

    __slots__ = ("_apart", "_beside", "_token")

    def __init__(self) -> None:
        self._beside = Estimate("read_rate", FIRST_READ_RATE)
        self._apart = Estimate("read_rate_apart", APART_FACTOR * FIRST_READ_RATE)
        self._token = Estimate("token_seconds", FIRST_TOKEN_SECONDS)

    @property
    def token_seconds(self) -> float:
        """Seconds that a run takes for each token that it is expected to make."""
        return self._token.value

    def read_rate(self, *, apart: bool = False) -> float:
        """Prompt tokens that an engine reads in a second.

        :param apart: on engines that long runs are kept away from.
        """
        if not apart:
            return self._beside.value
        if self._apart.learned:
            return self._apart.value
        return APART_FACTOR * self._beside.value

    def began(self, tokens: float, seconds: float, *, apart: bool = False) -> None:
        """Take in that an engine read ``tokens``, those ahead of a run included."""
        if tokens > 0 and seconds > 0.0:
            estimate = self._apart if apart else self._beside
            estimate.observe(tokens / seconds)

    def ended(self, demand: Demand, seconds: float) -> None:
        """Take in how long a whole run made events.

        What comes out differs from what was expected, by as much in either
        direction; short runs tell little.
        """
        if not demand.short and demand.output > 0 and seconds > 0.0:
            self._token.observe(seconds / demand.output)
