"""Small general-purpose helpers."""

import collections
import hashlib
import resource
import typing as t

from bankrack.clock import boottime


def stable_digest(name: str) -> bytes:
    """Hash a name into 8 bytes; the result is the same on all nodes and restarts."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


MAX_DOUBLINGS = 16
"""Maximum exponent of a backoff, because larger powers of two overflow a float."""


def backoff_seconds(failures: int, *, first: float, maximum: float) -> float:
    """Return the exponential backoff in seconds before the next attempt.

    :param failures: consecutive failures before the latest one.
    :param first: backoff after the first failure.
    :param maximum: upper bound of the backoff.
    """
    return min(maximum, first * 2 ** min(failures, MAX_DOUBLINGS))


def max_open_files() -> int:
    """Return the limit of this process's file descriptors."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft


class WindowMaximum:
    """Maximum of a value over a sliding window of ``window`` seconds."""

    __slots__ = ("_clock", "_seen", "_window")

    def __init__(
        self, window: float, *, clock: t.Callable[[], float] = boottime
    ) -> None:
        self._window = window
        self._clock = clock
        self._seen: collections.deque[tuple[float, float]] = collections.deque()

    def observe(self, value: float) -> float:
        """Add the latest value and return the maximum in the window."""
        now = self._clock()
        while self._seen and self._seen[-1][1] <= value:
            self._seen.pop()
        self._seen.append((now, value))
        while self._seen[0][0] < now - self._window:
            self._seen.popleft()
        return self._seen[0][1]
