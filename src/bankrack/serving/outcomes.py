"""Recent outcomes of requests at upstreams that failed some of them."""

import collections
import math

from bankrack.decisions.outliers import Outcome
from bankrack.decisions.outliers import WINDOW_SECONDS

MAX_OUTCOMES = 64
"""Outcomes that are kept for one upstream."""
MAX_SERVED_AGES = 8
"""Served requests that one node reports to another."""
MAX_UPSTREAMS = 500
"""Upstreams with failures whose outcomes are kept."""
MAX_REQUESTS = 512
"""Fingerprints of recent requests that are kept."""


class RecentRequests:
    """Fingerprints of this node's recent requests that ended in the same way."""

    def __init__(self) -> None:
        self._ended_at: collections.OrderedDict[str, float] = collections.OrderedDict()

    def add(self, request: str, now: float) -> None:
        """Record the end of a request; one without fingerprint is ignored."""
        if not request:
            return
        self._ended_at[request] = now
        self._ended_at.move_to_end(request)
        if len(self._ended_at) > MAX_REQUESTS:
            self._ended_at.popitem(last=False)

    def has(self, request: str, now: float) -> bool:
        """Whether a request with this fingerprint ended so within the window."""
        return self._ended_at.get(request, -math.inf) > now - WINDOW_SECONDS


class OutcomeLog:
    """Outcomes by upstream, each from the first failure on."""

    def __init__(self) -> None:
        self._outcomes_by_id: collections.OrderedDict[
            str, collections.deque[Outcome]
        ] = collections.OrderedDict()

    def ids(self) -> list[str]:
        """Return the upstreams with outcomes."""
        return list(self._outcomes_by_id)

    def add(self, upstream_id: str, outcome: Outcome) -> None:
        """Record an outcome; a served request only of an upstream that failed some."""
        outcomes = self._outcomes_by_id.get(upstream_id)
        if outcomes is None:
            if not outcome.failed:
                return
            outcomes = collections.deque(maxlen=MAX_OUTCOMES)
            self._outcomes_by_id[upstream_id] = outcomes
            if len(self._outcomes_by_id) > MAX_UPSTREAMS:
                self._outcomes_by_id.popitem(last=False)
        outcomes.append(outcome)

    def forget(self, upstream_id: str) -> None:
        """Remove the outcomes of an upstream."""
        self._outcomes_by_id.pop(upstream_id, None)

    def recent(
        self, upstream_id: str, now: float, *, seconds: float = WINDOW_SECONDS
    ) -> list[Outcome]:
        """Return the outcomes of the last ``seconds``."""
        outcomes = self._outcomes_by_id.get(upstream_id, ())
        return [o for o in outcomes if o.at > now - seconds]

    def failures(
        self, upstream_id: str, now: float, *, seconds: float = WINDOW_SECONDS
    ) -> list[Outcome]:
        """Return the failures of the last ``seconds``."""
        recent = self.recent(upstream_id, now, seconds=seconds)
        return [o for o in recent if o.failed]

    def served_ages(self, upstream_id: str, now: float) -> list[float]:
        """Return the ages of the newest requests that were served."""
        recent = self.recent(upstream_id, now)
        return [now - o.at for o in recent if not o.failed][-MAX_SERVED_AGES:]
