"""Passive health checks of upstreams: ejection after failures, then probing.

An upstream that fails several times in a row is ejected for a time that
doubles with each ejection.  Afterwards it gets one request at a time as a
probe, so that its return does not cause a burst of requests.
"""

import random
import typing as t

from bankrack.clock import boottime

FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
JITTER = 0.2


class UpstreamHealth:
    """The failures and ejections of one upstream; times in monotonic seconds."""

    __slots__ = ("ejected_until", "ejections", "failures", "probing_until")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing_until = 0.0


class Health:
    """The health of all upstreams that failed recently.

    :param seed: seed of the jitter.
    :param probe_seconds: minimum time between two probes of an upstream.
    """

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = boottime,
        seed: int | None = None,
        probe_seconds: float = 2.0,
    ) -> None:
        self.by_upstream: dict[str, UpstreamHealth] = {}
        self._clock = clock
        self._random = random.Random(seed)
        self._probe_seconds = probe_seconds

    def usable(self, upstream: str) -> bool:
        """Tell whether new requests may be sent to ``upstream`` now."""
        health = self.by_upstream.get(upstream)
        if health is None or health.ejections == 0:
            return True
        now = self._clock()
        return now >= health.ejected_until and now >= health.probing_until

    def started(self, upstream: str) -> None:
        """Record that a request is sent; after an ejection it is the probe."""
        health = self.by_upstream.get(upstream)
        if health is not None and health.ejections:
            health.probing_until = self._clock() + self._probe_seconds

    def succeeded(self, upstream: str) -> None:
        """Record a complete response, which clears all failures."""
        self.by_upstream.pop(upstream, None)

    def failed(self, upstream: str, *, definite: bool = True) -> None:
        """Record a failure.

        :param definite: false for an orderly refusal, which is not counted.
        """
        if not definite:
            return
        health = self.by_upstream.setdefault(upstream, UpstreamHealth())
        health.failures += 1
        if health.ejections or health.failures >= FAILURES_TO_EJECT:
            self._eject(health)

    def _eject(self, health: UpstreamHealth) -> None:
        seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections
        )
        seconds *= 1 + JITTER * self._random.random()
        health.ejections += 1
        health.ejected_until = self._clock() + seconds
        health.probing_until = 0.0
