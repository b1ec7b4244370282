"""Decides how long a run waits for an engine's answer to a request for a reservation.

The load: many runs begin at once at a node whose event loop is slow, so that answers
are read late.  A time-out of fixed length then takes this node's delay for silence of
the engines; each further request costs the loop more, which delays all of them, until
no request is answered in time although all engines answer.  Therefore

- the time-out follows the round trips, which include this node's delay;
- an expired time-out is only a reason to compare: an engine that has answered since
  is not silent, and one is silent if only others answered requests that came later;
- without any such answer the delay may be this node's own, so few runs ask again.
"""

import dataclasses
import enum
import math
import typing as t

MIN_TIMEOUT_SECONDS = 0.15
MAX_TIMEOUT_SECONDS = 1.0
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
"""Weights of the newest round trip in the moving mean and deviation, and deviations
above the mean at which a request times out, as in RFC 6298."""
RECENT_SECONDS = 10.0
"""Age up to which an engine's round trips count."""
MAX_SILENT_SECONDS = 1.0
"""Longest wait of a run while no engine answers."""
MAX_REPEATS = 3
"""Requests that are repeated at the same time while no engine answers."""
MAX_REPEATED_FRACTION = 0.1
"""The same limit as a fraction of all requests in flight."""
MAX_TIMER_DELAY_SECONDS = MIN_TIMEOUT_SECONDS / 2
"""Delay of a timer beyond which this node itself may have caused the time-out."""
RETEST_INTERVAL_SECONDS = 0.25
"""Pause between two runs that find out whether engines answer again."""
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.4
"""Retry delays for callers of a node that reaches no engine; another node may reach
them.  They differ, so that callers who are refused together do not return together."""


class RoundTrips:
    """Round trips of one engine's answers.  Times are in seconds.

    :ivar answered_at: time of the newest answer.
    :ivar newest_queued_at: time when the newest of the answered requests was queued.
    """

    __slots__ = ("_deviation", "_mean", "answered_at", "newest_queued_at")

    def __init__(self) -> None:
        self.answered_at = -math.inf
        self.newest_queued_at = -math.inf
        self._mean = 0.0
        self._deviation = 0.0

    def observe(self, queued_at: float, sent_at: float, answered_at: float) -> None:
        """Record an answer; late ones count as well.

        :param queued_at: time when the request was queued for being sent.
        """
        seconds = answered_at - sent_at
        if math.isinf(self.answered_at):
            self._mean, self._deviation = seconds, seconds / 2
        else:
            error = seconds - self._mean
            self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
            self._mean += MEAN_WEIGHT * error
        self.answered_at = answered_at
        self.newest_queued_at = max(self.newest_queued_at, queued_at)

    @property
    def timeout(self) -> float:
        """Seconds after which an answer is overdue."""
        seconds = self._mean + DEVIATIONS * self._deviation
        return min(MAX_TIMEOUT_SECONDS, max(MIN_TIMEOUT_SECONDS, seconds))


def timeout_seconds(engines: t.Iterable[RoundTrips], now: float) -> float:
    """Return the seconds after which an answer of any of the engines is overdue.

    The fastest engine decides: this node's delay is in all round trips, and a slow
    engine is no reason to wait while a fast one has room.
    """
    recent = (e.timeout for e in engines if now - e.answered_at < RECENT_SECONDS)
    return min(recent, default=MIN_TIMEOUT_SECONDS)


class Verdict(enum.StrEnum):
    """Conclusion from an overdue answer."""

    LATE_TIMER = "late timer"  # This node itself was late, so nothing is known.
    QUEUED = "queued"  # The engine answers the requests that were sent before.
    SILENT = "silent"  # Only other engines answer.
    UNKNOWN = "unknown"  # The delay may be this node's.


@dataclasses.dataclass(slots=True, frozen=True)
class Overdue:
    """A request without an answer in time.  Times are in seconds.

    :param queued_at: time when it was queued for being sent.
    :param timer_late: delay of the timer that ended the wait.
    """

    queued_at: float
    timer_late: float = 0.0


def judge(
    request: Overdue, engine: RoundTrips, others: t.Iterable[RoundTrips]
) -> Verdict:
    """Return what can be concluded from an overdue answer of ``engine``.

    :param others: round trips of the other engines.
    """
    if request.timer_late > MAX_TIMER_DELAY_SECONDS:
        return Verdict.LATE_TIMER
    if engine.newest_queued_at > request.queued_at:
        # A later request was answered, so this one may be lost with its connection.
        return Verdict.UNKNOWN
    if engine.answered_at > request.queued_at:
        return Verdict.QUEUED
    if any(other.newest_queued_at > request.queued_at for other in others):
        return Verdict.SILENT
    return Verdict.UNKNOWN


def may_repeat(repeats: int, *, in_flight: int) -> bool:
    """Whether one more run may ask another engine although none answers.

    :param repeats: requests in flight that were such repeats.
    :param in_flight: all requests in flight.
    """
    return repeats < max(MAX_REPEATS, MAX_REPEATED_FRACTION * in_flight)


@dataclasses.dataclass(slots=True)
class Silence:
    """Whether a node knows that no engine of a service answers it.

    :ivar noted_at: time when a run ended without an answer of any engine.
    :ivar retest_at: time from which the next run may ask engines again.
    """

    noted_at: float = -math.inf
    retest_at: float = -math.inf

    def note(self, now: float) -> None:
        """Record that a run got no answer of any engine."""
        self.noted_at = now
        self.retest_at = now + RETEST_INTERVAL_SECONDS

    def refuses(self, now: float, answered_at: float) -> bool:
        """Whether a new run is refused; otherwise it asks the engines.

        :param answered_at: time of the newest answer of an engine of the service.
        """
        if answered_at >= self.noted_at:
            return False
        if now < self.retest_at:
            return True
        self.retest_at = now + RETEST_INTERVAL_SECONDS
        return False


def unreachable_retry_seconds(draw: float) -> float:
    """Return the retry delay for a caller of a node that reaches no engine.

    :param draw: random number from 0 to 1, drawn for each caller.
    """
    return MIN_RETRY_SECONDS + draw * (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS)
