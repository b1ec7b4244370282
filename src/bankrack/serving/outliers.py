"""Registry of the outcomes by which failing upstreams are excluded."""

import asyncio
import collections
import dataclasses
import logging
import math
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import judge
from bankrack.decisions.outliers import max_excluded
from bankrack.decisions.outliers import MIN_RETEST_SECONDS
from bankrack.decisions.outliers import Outcome
from bankrack.decisions.outliers import PROBATION_SECONDS
from bankrack.decisions.outliers import retest_seconds
from bankrack.decisions.outliers import RETESTS_TO_READMIT
from bankrack.decisions.outliers import WINDOW_SECONDS
from bankrack.metrics import GatewayMetrics
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

MAX_OUTCOMES = 64
"""Outcomes that are kept for one upstream."""
MAX_SERVED_AGES = 8
"""Served requests that one node tells another of."""
MAX_FAILURES_TOLD = 5
"""Failures a second at one upstream that the nodes tell each other of, approximately.
More would not change the verdict, but load a large fleet when all upstreams fail."""
MAX_TRACKED = 500
"""Upstreams with failures that are tracked."""
MAX_TESTERS = 8
"""Nodes that send requests to an excluded upstream, to see whether it serves again."""
OVERLOADED_QUEUE = 0.5
"""Requests queued at an overloaded upstream, as a fraction of its slots."""
DOUBT_SECONDS = 0.3
"""Time for which the first failure of another node keeps requests that can't be
repeated away from an upstream.  A second node's failure would show within it."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class OwnFailure:
    """A failed request of this node.

    :param answered: it was answered with a 5xx.
    """

    at: float
    answered: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Exclusion:
    """An exclusion in force.

    :param failed_retests: in a row.
    :param left: seconds until it ends in any case.
    """

    verdict: Exclude
    failed_retests: int
    left: float

    @property
    def retest_in(self) -> float:
        """Seconds until the upstream is sent requests again."""
        return max(0.0, self.left - PROBATION_SECONDS)


def _exclusion(verdict: Exclude, failed_retests: int) -> Exclusion:
    """Return an exclusion that begins or is extended now."""
    left = retest_seconds(failed_retests) + PROBATION_SECONDS
    return Exclusion(verdict, failed_retests, left)


class _Track:
    """Outcomes of one upstream.

    :ivar exclusion: the last exclusion; ``None`` before the first.
    :ivar failed_retests: of the current exclusion; ``served_retests`` are in a row.
    """

    __slots__ = ("exclusion", "failed_retests", "outcomes", "served_retests")

    def __init__(self) -> None:
        self.outcomes: collections.deque[Outcome] = collections.deque(
            maxlen=MAX_OUTCOMES
        )
        self.exclusion: Exclude | None = None
        self.failed_retests = 0
        self.served_retests = 0


class OutlierMonitor:
    """Records outcomes at upstreams and excludes those that fail.

    :param name: name of this node.
    :param hall: hall of this node.
    :param names: returns the names of the live members, with or without this node.
    :ivar has_updates: set while other nodes must be notified.
    :ivar failed_by_id: this node's newest failures to tell.
    :ivar changed: upstreams whose exclusion this node began or extended.
    :ivar served: upstreams that served a retest of this node.
    :ivar readmitted: upstreams whose exclusion this node ended.
    """

    def __init__(
        self,
        name: str,
        hall: str,
        names: t.Callable[[], t.Iterable[str]],
        upstreams: Upstreams,
        metrics: GatewayMetrics,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._name = name
        self._hall = hall
        self._names = names
        self._upstreams = upstreams
        self._metrics = metrics
        self._clock = clock
        self._track_by_id: collections.OrderedDict[str, _Track] = (
            collections.OrderedDict()
        )
        self.has_updates = asyncio.Event()
        self.failed_by_id: dict[str, OwnFailure] = {}
        self.changed: set[str] = set()
        self.served: list[str] = []
        self.readmitted: list[str] = []

    # Outcomes of this node's requests

    def note_unreachable(self, upstream: Upstream) -> None:
        """Record that nothing could be sent, which fails the retest of an exclusion."""
        if upstream.excluded_until and upstream.excluded(self._clock()):
            self.note_failed(upstream)

    def note_failed(self, upstream: Upstream, *, answered: bool = False) -> None:
        """Record that a request failed here after the upstream may have run it.

        :param answered: it was answered with a 5xx.
        """
        now = self._clock()
        if not upstream.open or (not answered and _is_overloaded(upstream, now)):
            return
        track = self._track(upstream.id)
        is_news = self._is_news(upstream, track, now)
        track.outcomes.append(
            Outcome(now, self._name, self._hall, failed=True, answered=answered)
        )
        if not upstream.excluded(now):
            if is_news:
                self.failed_by_id[upstream.id] = OwnFailure(now, answered)
                self.has_updates.set()
        elif upstream.early_retest_at <= now and track.exclusion is not None:
            # One that served meanwhile fails only some of the requests.
            failed = 0 if track.served_retests else track.failed_retests
            self._exclude(upstream, track, _exclusion(track.exclusion, failed + 1))
            self.changed.add(upstream.id)
            self.has_updates.set()

    def note_served(self, upstream: Upstream) -> None:
        """Record that an upstream served a request of this node."""
        track = self._track_by_id.get(upstream.id)
        if track is None:
            return
        now = self._clock()
        track.outcomes.append(Outcome(now, self._name, self._hall, failed=False))
        if upstream.excluded(now) and upstream.early_retest_at <= now:
            self.has_updates.set()
            self.take_served_retest(upstream.id)
            if upstream.excluded(now):
                self.served.append(upstream.id)
            else:
                self.readmitted.append(upstream.id)

    def _is_news(self, upstream: Upstream, track: _Track, now: float) -> bool:
        """Whether another failure may change the other nodes' verdict."""
        if not self._may_exclude(upstream, now):
            return False
        told = sum(o.failed and o.at > now - 1.0 for o in track.outcomes)
        return told < MAX_FAILURES_TOLD

    # Outcomes of other nodes' requests

    def take_failure(
        self,
        upstream_id: str,
        *,
        age: float,
        reporter: str,
        hall: str,
        answered: bool = False,
    ) -> None:
        """Apply another node's failure; requests that can't be repeated go elsewhere.

        A node whose own link is bad keeps them away only once in a while.  Single 5xx
        answers are frequent at some services and keep none away.
        """
        upstream = self._upstreams.find(upstream_id)
        if upstream is None:
            return
        now = self._clock()
        track = self._track(upstream_id)
        repeated = any(
            o.failed and o.reporter == reporter and o.at > now - WINDOW_SECONDS
            for o in track.outcomes
        )
        track.outcomes.append(
            Outcome(now - age, reporter, hall, failed=True, answered=answered)
        )
        if not answered and not repeated and self._may_avoid(upstream, now):
            upstream.doubted_until = now + DOUBT_SECONDS

    def served_ages(self, upstream_id: str) -> list[float]:
        """Return the ages of requests that the upstream served this node recently."""
        track = self._track_by_id.get(upstream_id)
        if track is None:
            return []
        now = self._clock()
        ages = [
            now - o.at
            for o in track.outcomes
            if not o.failed and o.at > now - WINDOW_SECONDS
        ]
        return ages[-MAX_SERVED_AGES:]

    def judge(self, upstream_id: str, served: t.Iterable[Outcome]) -> None:
        """Exclude an upstream if the outcomes of all nodes demand it.

        :param served: requests that other nodes report as served.
        """
        upstream = self._upstreams.find(upstream_id)
        now = self._clock()
        if upstream is None or upstream.excluded(now):
            return
        track = self._track(upstream_id)
        verdict = judge(
            [*track.outcomes, *served],
            now=now,
            excluded=self._count_others(upstream, lambda u: u.excluded(now)),
            upstreams=self._count_open(upstream),
        )
        match verdict:
            case Exclude():
                self._exclude(upstream, track, _exclusion(verdict, 0))
                self.changed.add(upstream_id)
                self.has_updates.set()

    # Exclusions

    def exclusion(self, upstream_id: str) -> Exclusion | None:
        """Return the exclusion of an upstream, if it is in force."""
        upstream = self._upstreams.find(upstream_id)
        track = self._track_by_id.get(upstream_id)
        now = self._clock()
        if upstream is None or track is None or track.exclusion is None:
            return None
        if not upstream.excluded(now):
            return None
        left = upstream.excluded_until - now
        return Exclusion(track.exclusion, track.failed_retests, left)

    def take_exclusion(self, upstream_id: str, exclusion: Exclusion) -> None:
        """Apply an exclusion that another node decided."""
        upstream = self._upstreams.find(upstream_id)
        if upstream is None or self._hall in exclusion.verdict.exempt_halls:
            return
        now = self._clock()
        track = self._track(upstream_id)
        if upstream.excluded(now):
            if exclusion.failed_retests <= track.failed_retests:
                track.served_retests = 0
                return
        elif not self._may_exclude(upstream, now):
            return
        self._exclude(upstream, track, exclusion)

    def take_served_retest(self, upstream_id: str) -> None:
        """Count a retest that was served; enough of them end the exclusion."""
        upstream = self._upstreams.find(upstream_id)
        track = self._track_by_id.get(upstream_id)
        if upstream is None or track is None or not upstream.excluded(self._clock()):
            return
        track.served_retests += 1
        if track.served_retests >= RETESTS_TO_READMIT:
            self.readmit(upstream_id, f"served {RETESTS_TO_READMIT} retests")

    def readmit(self, upstream_id: str, reason: str) -> None:
        """End the exclusion of an upstream, if there is one."""
        upstream = self._upstreams.find(upstream_id)
        if upstream is None or not upstream.excluded(self._clock()):
            return
        upstream.readmit()
        self._track_by_id.pop(upstream_id, None)
        self._metrics.exclusions.inc({"outcome": "readmitted"})
        logs.event(_logger, "upstream_readmitted", upstream=upstream_id, reason=reason)

    def describe(self) -> list[dict[str, t.Any]]:
        """Return the recent failures of upstreams for the state dump."""
        now = self._clock()
        found = []
        for upstream_id, track in self._track_by_id.items():
            recent = [o for o in track.outcomes if o.at > now - WINDOW_SECONDS]
            exclusion = self.exclusion(upstream_id)
            if exclusion is None and not any(o.failed for o in recent):
                continue
            found.append(
                {
                    "upstream": upstream_id,
                    "failures": sum(o.failed for o in recent),
                    "reporters": sorted({o.reporter for o in recent if o.failed}),
                    "excluded_by": exclusion.verdict.reporters if exclusion else (),
                    "failed_retests": exclusion.failed_retests if exclusion else 0,
                    "retest_in": exclusion.retest_in if exclusion else None,
                }
            )
        return found

    def _exclude(self, upstream: Upstream, track: _Track, exclusion: Exclusion) -> None:
        now = self._clock()
        verdict = track.exclusion = exclusion.verdict
        track.failed_retests = exclusion.failed_retests
        track.served_retests = 0
        is_tester = self._is_tester(upstream.id)
        upstream.exclude(
            now + exclusion.left,
            retest_at=now + exclusion.retest_in if is_tester else math.inf,
            early_retest_at=now + MIN_RETEST_SECONDS if is_tester else math.inf,
        )
        self._metrics.exclusions.inc({"outcome": "excluded"})
        logs.event(
            _logger,
            "upstream_excluded",
            upstream=upstream.id,
            reporters=",".join(verdict.reporters),
            failures=verdict.failures,
            served=verdict.served,
            exempt=",".join(sorted(verdict.exempt_halls)) or None,
            until=upstream.excluded_until,
            retest=exclusion.retest_in,
        )

    def _is_tester(self, upstream_id: str) -> bool:
        names = {*self._names(), self._name}
        ranked = sorted(names, key=lambda name: stable_digest(upstream_id + name))
        return ranked.index(self._name) < MAX_TESTERS

    def _may_exclude(self, upstream: Upstream, now: float) -> bool:
        excluded = self._count_others(upstream, lambda u: u.excluded(now))
        return excluded < max_excluded(self._count_open(upstream))

    def _may_avoid(self, upstream: Upstream, now: float) -> bool:
        avoided = self._count_others(
            upstream, lambda u: u.excluded(now) or u.doubted(now)
        )
        return avoided < max_excluded(self._count_open(upstream))

    def _count_open(self, upstream: Upstream) -> int:
        return len(self._upstreams.open_of(upstream.record.service))

    def _count_others(
        self, upstream: Upstream, selects: t.Callable[[Upstream], bool]
    ) -> int:
        others = self._upstreams.open_of(upstream.record.service)
        return sum(u is not upstream and selects(u) for u in others)

    def _track(self, upstream_id: str) -> _Track:
        track = self._track_by_id.get(upstream_id)
        if track is None:
            track = self._track_by_id[upstream_id] = _Track()
            if len(self._track_by_id) > MAX_TRACKED:
                self._track_by_id.popitem(last=False)
        return track


def _is_overloaded(upstream: Upstream, now: float) -> bool:
    """Whether an upstream has too many requests; it then resets some connections."""
    waits = upstream.queue_length >= OVERLOADED_QUEUE * upstream.record.slots
    return waits or now < upstream.full_until
