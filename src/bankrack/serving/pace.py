"""Learns from runs how fast the engines of a service read prompts and generate tokens.

Engines differ by site and load, so the constants here are only initial estimates.
"""

import collections
import logging
import statistics

from bankrack import logs
from bankrack.serving.job import Demand

INITIAL_READ_RATE = 7_000.0
"""Initial estimate of the prompt tokens per second that an engine reads alongside
other runs: half the rate of an otherwise idle engine, as each step then does both."""
SHORT_ONLY_READ_FACTOR = 2.0
"""Initial estimate of how much faster an engine reads prompts without long runs
beside."""
INITIAL_TOKEN_SECONDS = 0.009
"""Initial estimate of the seconds per token, for an engine with about ten runs."""
INITIAL_EVENT_SECONDS = 0.035
"""Initial estimate of the seconds between two events."""
INITIAL_RESUME_SECONDS = 2.0
"""Initial estimate of the seconds in which a copy begins: the time it is given."""
SAMPLES = 64
"""Number of recent runs whose median is used."""
MIN_SAMPLES = 8
"""With fewer prompts the initial estimate is used."""
MAX_OUTPUT_RATIO = 2.0
"""Upper bound of the ratio of generated to expected tokens."""
MIN_RUNS = 32
"""With fewer completed runs the initial estimate is used: of runs that begin
together, the shortest end first and would bias it."""
MAX_SLOPE_RATIO = 4.0
"""Upper bound of the read rate, as a multiple of the rate over whole waits."""
LOGGED_CHANGE = 1.25
"""An estimate is logged when it has changed by this factor."""

_logger = logging.getLogger(__name__)


class Estimate:
    """A learned value; the initial estimate until it changes.

    :param name: name of the value in logged events.
    :param first: initial estimate.
    """

    __slots__ = ("_logged", "_name", "value")

    def __init__(self, name: str, first: float) -> None:
        self.value = first
        self._name = name
        self._logged = first

    def change(self, value: float, *, samples: int) -> None:
        """Set a new value, and log it if it differs much from the last logged one.

        :param samples: number of observations behind the value.
        """
        self.value = value
        if not 1 / LOGGED_CHANGE < value / self._logged < LOGGED_CHANGE:
            logs.event(
                _logger,
                "pace_learned",
                figure=self._name,
                value=value,
                before=self._logged,
                samples=samples,
            )
            self._logged = value


class ReadRate:
    """Prompt tokens per second that an engine reads.

    Part of a run's wait does not depend on its prompt, so the rate is the slope of a
    linear regression of the waits over the tokens that were read in them.

    :ivar wait_rate: tokens per second over the whole waits.
    """

    __slots__ = ("_estimate", "_samples", "wait_rate")

    def __init__(self, name: str, first: float) -> None:
        self.wait_rate = first
        self._estimate = Estimate(name, first)
        self._samples: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=SAMPLES
        )

    @property
    def value(self) -> float:
        """The current estimate."""
        return self._estimate.value

    @property
    def learned(self) -> bool:
        """Whether there are enough observations."""
        return len(self._samples) >= MIN_SAMPLES

    def observe(self, tokens: float, seconds: float) -> None:
        """Record the time in which an engine read prompt tokens."""
        self._samples.append((tokens, seconds))
        if self.learned:
            self._estimate.change(self._fit(), samples=len(self._samples))

    def _fit(self) -> float:
        self.wait_rate = statistics.median(n / seconds for n, seconds in self._samples)
        slowest = self.wait_rate
        tokens, waits = zip(*self._samples, strict=True)
        if min(tokens) == max(tokens):
            return slowest
        slope = statistics.linear_regression(tokens, waits).slope
        if slope <= 0.0:
            return slowest
        return min(MAX_SLOPE_RATIO * slowest, max(slowest, 1 / slope))


class Pace:
    """The speeds of the engines of one service."""

    __slots__ = (
        "_event_samples",
        "_event_seconds",
        "_generated_token_samples",
        "_generated_token_seconds",
        "_mixed",
        "_resume_samples",
        "_resume_seconds",
        "_short_only",
        "_token_samples",
        "_token_seconds",
    )

    def __init__(self) -> None:
        self._mixed = ReadRate("read_rate", INITIAL_READ_RATE)
        self._short_only = ReadRate(
            "read_rate_apart", SHORT_ONLY_READ_FACTOR * INITIAL_READ_RATE
        )
        self._token_seconds = Estimate("token_seconds", INITIAL_TOKEN_SECONDS)
        self._event_seconds = Estimate("event_seconds", INITIAL_EVENT_SECONDS)
        self._generated_token_seconds = Estimate("made_seconds", INITIAL_TOKEN_SECONDS)
        self._resume_seconds = Estimate("resume_seconds", INITIAL_RESUME_SECONDS)
        self._resume_samples: collections.deque[float] = collections.deque(
            maxlen=MIN_SAMPLES
        )
        self._generated_token_samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._event_samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._token_samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    @property
    def token_seconds(self) -> float:
        """Seconds that a run takes per expected output token."""
        return self._token_seconds.value

    @property
    def generated_token_seconds(self) -> float:
        """Seconds that a run takes per generated token."""
        return self._generated_token_seconds.value

    @property
    def output_ratio(self) -> float:
        """Generated tokens per expected output token."""
        return min(
            MAX_OUTPUT_RATIO,
            self._token_seconds.value / self._generated_token_seconds.value,
        )

    @property
    def event_seconds(self) -> float:
        """Seconds between two events of a stream."""
        return self._event_seconds.value

    @property
    def resume_seconds(self) -> float:
        """Seconds in which a copy begins: the longest of some recent ones."""
        return self._resume_seconds.value

    def read_rate(self, *, short_only: bool = False) -> float:
        """Prompt tokens per second that an engine reads.

        :param short_only: on engines that are dedicated to short runs.
        """
        if not short_only:
            return self._mixed.value
        if self._short_only.learned:
            return self._short_only.value
        return SHORT_ONLY_READ_FACTOR * self._mixed.value

    def wait_rate(self, *, short_only: bool = False) -> float:
        """The same over a run's whole wait for its first event."""
        if not short_only:
            return self._mixed.wait_rate
        if self._short_only.learned:
            return self._short_only.wait_rate
        return SHORT_ONLY_READ_FACTOR * self._mixed.wait_rate

    def began(self, tokens: float, seconds: float, *, short_only: bool = False) -> None:
        """Record the time to a run's first event.

        :param tokens: prompt tokens that were read, including those ahead of the run.
        :param seconds: time from the send to the first event.
        :param short_only: the engine was dedicated to short runs.
        """
        if tokens > 0 and seconds > 0.0:
            rate = self._short_only if short_only else self._mixed
            rate.observe(tokens, seconds)

    def grew(self, seconds: float) -> None:
        """Record the seconds per generated token of a run."""
        self._generated_token_samples.append(seconds)
        if len(self._generated_token_samples) >= MIN_RUNS:
            value = statistics.median(self._generated_token_samples)
            self._generated_token_seconds.change(
                value, samples=len(self._generated_token_samples)
            )

    def spaced(self, seconds: float) -> None:
        """Record the mean time between the events of a completed stream."""
        self._event_samples.append(seconds)
        if len(self._event_samples) >= MIN_SAMPLES:
            value = statistics.median(self._event_samples)
            self._event_seconds.change(value, samples=len(self._event_samples))

    def resumed(self, seconds: float) -> None:
        """Record the time from the send of a run to a copy until the copy began."""
        if seconds <= 0.0:
            return
        self._resume_samples.append(seconds)
        if len(self._resume_samples) >= MIN_SAMPLES:
            value = max(self._resume_samples)
            self._resume_seconds.change(value, samples=len(self._resume_samples))

    def ended(self, demand: Demand, seconds: float) -> None:
        """Record the seconds from the first to the last event of a completed run.

        The generated length differs from the expected one in both directions, so the
        median is used; short runs are ignored as too inaccurate.
        """
        if demand.short or demand.output == 0 or seconds <= 0.0:
            return
        self._token_samples.append(seconds / demand.output)
        if len(self._token_samples) >= MIN_RUNS:
            value = statistics.median(self._token_samples)
            self._token_seconds.change(value, samples=len(self._token_samples))
