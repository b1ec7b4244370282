"""Upstreams that are excluded, and the retests by which they are used again."""

import collections
import dataclasses
import logging
import math
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import max_excluded
from bankrack.decisions.outliers import MIN_RETEST_SECONDS
from bankrack.decisions.outliers import PROBATION_SECONDS
from bankrack.decisions.outliers import retest_seconds
from bankrack.decisions.outliers import RETESTS_TO_READMIT
from bankrack.metrics import GatewayMetrics
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

MAX_EXCLUSIONS = 500
"""Exclusions that are kept."""
MAX_TESTERS = 8
"""Nodes that send requests to an excluded upstream, to see whether it serves again."""

_logger = logging.getLogger(__name__)


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


def starting_now(verdict: Exclude, *, failed_retests: int = 0) -> Exclusion:
    """Return an exclusion that begins or is extended now."""
    left = retest_seconds(failed_retests) + PROBATION_SECONDS
    return Exclusion(verdict, failed_retests, left)


@dataclasses.dataclass(slots=True)
class _Retests:
    """The retests of an exclusion; both counts are in a row."""

    verdict: Exclude
    failed: int
    served: int = 0


class Exclusions:
    """The exclusions that this node knows of.

    :param name: name of this node.
    :param names: returns the names of the live members, with or without this node.
    """

    def __init__(
        self,
        name: str,
        names: t.Callable[[], t.Iterable[str]],
        upstreams: Upstreams,
        metrics: GatewayMetrics,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._name = name
        self._names = names
        self._upstreams = upstreams
        self._metrics = metrics
        self._clock = clock
        self._retests_by_id: collections.OrderedDict[str, _Retests] = (
            collections.OrderedDict()
        )

    def ids(self) -> list[str]:
        """Return the upstreams that are or were excluded."""
        return list(self._retests_by_id)

    def find(self, upstream: Upstream) -> Exclusion | None:
        """Return the exclusion of an upstream, if it is in force."""
        now = self._clock()
        retests = self._retests_by_id.get(upstream.id)
        if retests is None or not upstream.excluded(now):
            return None
        left = upstream.excluded_until - now
        return Exclusion(retests.verdict, retests.failed, left)

    # Limits

    def count_open(self, upstream: Upstream) -> int:
        """Count the open upstreams of the same service, including this one."""
        return len(self._upstreams.open_of(upstream.record.service))

    def count_other_excluded(self, upstream: Upstream) -> int:
        """Count the other upstreams of the service that are excluded."""
        now = self._clock()
        return self._count_others(upstream, lambda other: other.excluded(now))

    def has_room(self, upstream: Upstream) -> bool:
        """Whether a further upstream of the service may be excluded."""
        limit = max_excluded(self.count_open(upstream))
        return self.count_other_excluded(upstream) < limit

    def may_suspect(self, upstream: Upstream) -> bool:
        """Whether requests may avoid a further upstream of the service."""
        now = self._clock()
        avoided = self._count_others(
            upstream, lambda other: other.excluded(now) or other.peer_suspected(now)
        )
        return avoided < max_excluded(self.count_open(upstream))

    def _count_others(
        self, upstream: Upstream, selects: t.Callable[[Upstream], bool]
    ) -> int:
        others = self._upstreams.open_of(upstream.record.service)
        return sum(other is not upstream and selects(other) for other in others)

    # Changes

    def adopt(self, upstream: Upstream, exclusion: Exclusion) -> None:
        """Apply an exclusion that another node decided, unless there is no room."""
        known = self.find(upstream)
        if known is None:
            if self.has_room(upstream):
                self.start(upstream, exclusion)
        elif exclusion.failed_retests > known.failed_retests:
            self.start(upstream, exclusion)
        else:
            self._retests_by_id[upstream.id].served = 0

    def start(self, upstream: Upstream, exclusion: Exclusion) -> None:
        """Begin or extend an exclusion."""
        self._remember(upstream.id, exclusion)
        self._apply(upstream, exclusion)
        self._metrics.exclusions.inc({"outcome": "excluded"})
        verdict = exclusion.verdict
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

    def _remember(self, upstream_id: str, exclusion: Exclusion) -> None:
        self._retests_by_id[upstream_id] = _Retests(
            exclusion.verdict, exclusion.failed_retests
        )
        if len(self._retests_by_id) > MAX_EXCLUSIONS:
            self._retests_by_id.popitem(last=False)

    def _apply(self, upstream: Upstream, exclusion: Exclusion) -> None:
        now = self._clock()
        is_tester = self._is_tester(upstream.id)
        upstream.exclude(
            now + exclusion.left,
            retest_at=now + exclusion.retest_in if is_tester else math.inf,
            early_retest_at=now + MIN_RETEST_SECONDS if is_tester else math.inf,
        )

    def _is_tester(self, upstream_id: str) -> bool:
        names = {*self._names(), self._name}
        ranked = sorted(names, key=lambda name: stable_digest(upstream_id + name))
        return ranked.index(self._name) < MAX_TESTERS

    def may_retest(self, upstream: Upstream) -> bool:
        """Whether a request of this node counts as a retest of an excluded upstream."""
        now = self._clock()
        return upstream.excluded(now) and upstream.early_retest_at <= now

    def note_failed_retest(self, upstream: Upstream) -> bool:
        """Extend an exclusion; returns whether there is one."""
        retests = self._retests_by_id.get(upstream.id)
        if retests is None:
            return False
        # One that served meanwhile fails only some of the requests.
        failed = 0 if retests.served else retests.failed
        self.start(upstream, starting_now(retests.verdict, failed_retests=failed + 1))
        return True

    def note_served_retest(self, upstream: Upstream) -> bool:
        """Count a served retest; returns whether they suffice to end the exclusion."""
        retests = self._retests_by_id.get(upstream.id)
        if retests is None:
            return False
        retests.served += 1
        return retests.served >= RETESTS_TO_READMIT

    def end(self, upstream: Upstream, reason: str) -> None:
        """End an exclusion."""
        upstream.readmit()
        self._retests_by_id.pop(upstream.id, None)
        self._metrics.exclusions.inc({"outcome": "readmitted"})
        logs.event(_logger, "upstream_readmitted", upstream=upstream.id, reason=reason)
