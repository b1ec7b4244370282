"""Monitor of failing upstreams: what this node and the others learn of them."""

import asyncio
import dataclasses
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import judge
from bankrack.decisions.outliers import Outcome
from bankrack.decisions.outliers import RETESTS_TO_READMIT
from bankrack.metrics import GatewayMetrics
from bankrack.serving.exclusions import Exclusion
from bankrack.serving.exclusions import Exclusions
from bankrack.serving.exclusions import starting_now
from bankrack.serving.outcomes import OutcomeLog
from bankrack.serving.outcomes import RecentRequests
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream

MAX_REPORTED_FAILURES = 5
"""Failures a second at one upstream that the nodes tell each other of, approximately.
More would not change the verdict, but load a large fleet when all upstreams fail."""
OVERLOADED_QUEUE = 0.5
"""Requests queued at an overloaded upstream, as a fraction of its slots."""
PEER_SUSPICION_SECONDS = 0.3
"""Time for which the first failure of another node keeps requests that can't be
repeated away from an upstream.  A second node's failure would show within it."""


@dataclasses.dataclass(slots=True, frozen=True)
class OwnFailure:
    """A failed request of this node.

    :param answered: it was answered with a 5xx.
    :param request: its fingerprint; empty if unknown.
    """

    at: float
    answered: bool
    request: str


@dataclasses.dataclass(slots=True)
class PendingUpdates:
    """What other nodes must be notified of.

    :ivar failed_by_id: this node's newest failures.
    :ivar changed: upstreams whose exclusion this node began or extended.
    :ivar served: upstreams that served a retest of this node.
    :ivar readmitted: upstreams whose exclusion this node ended.
    """

    failed_by_id: dict[str, OwnFailure] = dataclasses.field(default_factory=dict)
    changed: set[str] = dataclasses.field(default_factory=set)
    served: list[str] = dataclasses.field(default_factory=list)
    readmitted: list[str] = dataclasses.field(default_factory=list)


class OutlierMonitor:
    """Records outcomes at upstreams and excludes those that fail.

    :param name: name of this node.
    :param hall: hall of this node.
    :param names: returns the names of the live members, with or without this node.
    :ivar has_updates: set while other nodes must be notified.
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
        self._upstreams = upstreams
        self._clock = clock
        self._outcomes = OutcomeLog()
        self._served_requests = RecentRequests()
        self._failed_runs = RecentRequests()
        self._exclusions = Exclusions(name, names, upstreams, metrics, clock=clock)
        self._pending = PendingUpdates()
        self.has_updates = asyncio.Event()

    def take_pending(self) -> PendingUpdates:
        """Return what other nodes must be notified of, and start anew."""
        pending, self._pending = self._pending, PendingUpdates()
        self.has_updates.clear()
        return pending

    # Outcomes of this node's requests

    def note_unreachable(self, upstream: Upstream) -> None:
        """Record that nothing could be sent, which fails the retest of an exclusion."""
        if upstream.excluded_until and upstream.excluded(self._clock()):
            self.note_failed(upstream)

    def note_failed(
        self, upstream: Upstream, *, answered: bool = False, request: str = ""
    ) -> None:
        """Record that a request failed here after the upstream may have run it.

        :param answered: it was answered with a 5xx.
        :param request: its fingerprint.
        """
        now = self._clock()
        if not upstream.open or (not answered and _is_overloaded(upstream, now)):
            return
        may_change_verdict = self._may_change_verdict(upstream, now)
        outcome = Outcome(now, self._name, self._hall, True, answered, request)
        self._outcomes.add(upstream.id, outcome)
        if upstream.excluded(now):
            self._note_failed_retest(upstream)
        elif may_change_verdict:
            self._pending.failed_by_id[upstream.id] = OwnFailure(now, answered, request)
            self.has_updates.set()

    def _may_change_verdict(self, upstream: Upstream, now: float) -> bool:
        """Whether another failure may change the other nodes' verdict."""
        if not self._exclusions.has_room(upstream):
            return False
        known = self._outcomes.failures(upstream.id, now, seconds=1.0)
        return len(known) < MAX_REPORTED_FAILURES

    def _note_failed_retest(self, upstream: Upstream) -> None:
        if not self._exclusions.may_retest(upstream):
            return
        if self._exclusions.note_failed_retest(upstream):
            self._pending.changed.add(upstream.id)
            self.has_updates.set()

    def note_served(self, upstream: Upstream, *, request: str = "") -> None:
        """Record that an upstream served a request of this node.

        :param request: its fingerprint.
        """
        now = self._clock()
        self._served_requests.add(request, now)
        outcome = Outcome(now, self._name, self._hall, failed=False)
        self._outcomes.add(upstream.id, outcome)
        if upstream.excluded_until and self._exclusions.may_retest(upstream):
            self._note_served_retest(upstream)

    def note_run_error(self, request: str) -> bool:
        """Record that an engine answered a run with a 5xx.

        :param request: the run's fingerprint.
        :return: whether that speaks against the engine.  The same request may fail at
            any engine, and its caller may send it again and again.
        """
        now = self._clock()
        is_repeated = self._failed_runs.has(request, now)
        self._failed_runs.add(request, now)
        return not is_repeated

    def _note_served_retest(self, upstream: Upstream) -> None:
        self.take_served_retest(upstream.id)
        if upstream.excluded(self._clock()):
            self._pending.served.append(upstream.id)
        else:
            self._pending.readmitted.append(upstream.id)
        self.has_updates.set()

    # Outcomes of other nodes' requests

    def take_failure(
        self,
        upstream_id: str,
        *,
        age: float,
        reporter: str,
        hall: str,
        answered: bool = False,
        request: str = "",
    ) -> None:
        """Apply another node's failure; requests that can't be repeated go elsewhere.

        A node whose own link is bad keeps them away only once in a while.  Single 5xx
        answers are frequent at some services and keep none away.
        """
        upstream = self._upstreams.find(upstream_id)
        if upstream is None:
            return
        now = self._clock()
        earlier = self._outcomes.failures(upstream_id, now)
        repeated = any(o.reporter == reporter for o in earlier)
        outcome = Outcome(now - age, reporter, hall, True, answered, request)
        self._outcomes.add(upstream_id, outcome)
        if not answered and not repeated and self._exclusions.may_suspect(upstream):
            upstream.peer_suspect_until = now + PEER_SUSPICION_SECONDS

    def served_ages(self, upstream_id: str) -> list[float]:
        """Return the ages of requests that the upstream served this node recently."""
        return self._outcomes.served_ages(upstream_id, self._clock())

    def has_served(self, request: str) -> bool:
        """Whether an upstream served a request with this fingerprint recently."""
        return self._served_requests.has(request, self._clock())

    def judge(
        self,
        upstream_id: str,
        served: t.Iterable[Outcome],
        *,
        served_requests: t.Collection[str] = (),
    ) -> None:
        """Exclude an upstream if the outcomes of all nodes demand it.

        :param served: requests that other nodes report as served there.
        :param served_requests: fingerprints of requests that other nodes report as
            served anywhere.
        """
        upstream = self._upstreams.find(upstream_id)
        now = self._clock()
        if upstream is None or upstream.excluded(now):
            return
        known = self._outcomes.recent(upstream_id, now)
        own_requests = {o.request for o in known if self.has_served(o.request)}
        verdict = judge(
            [*known, *served],
            now=now,
            excluded=self._exclusions.count_other_excluded(upstream),
            upstreams=self._exclusions.count_open(upstream),
            served_requests=own_requests.union(served_requests),
        )
        match verdict:
            case Exclude():
                self._exclusions.start(upstream, starting_now(verdict))
                self._pending.changed.add(upstream_id)
                self.has_updates.set()

    # Exclusions by other nodes

    def exclusion(self, upstream_id: str) -> Exclusion | None:
        """Return the exclusion of an upstream, if it is in force."""
        upstream = self._upstreams.find(upstream_id)
        return None if upstream is None else self._exclusions.find(upstream)

    def take_exclusion(self, upstream_id: str, exclusion: Exclusion) -> None:
        """Apply an exclusion that another node decided."""
        upstream = self._upstreams.find(upstream_id)
        if upstream is None or self._hall in exclusion.verdict.exempt_halls:
            return
        self._exclusions.adopt(upstream, exclusion)

    def take_served_retest(self, upstream_id: str) -> None:
        """Count a retest that was served; enough of them end the exclusion."""
        upstream = self._upstreams.find(upstream_id)
        if upstream is not None and self._exclusions.note_served_retest(upstream):
            self.readmit(upstream_id, f"served {RETESTS_TO_READMIT} retests")

    def readmit(self, upstream_id: str, reason: str) -> None:
        """End the exclusion of an upstream, if there is one."""
        upstream = self._upstreams.find(upstream_id)
        if upstream is None or not upstream.excluded(self._clock()):
            return
        self._outcomes.forget(upstream_id)
        self._exclusions.end(upstream, reason)

    # State dump

    def describe(self) -> list[dict[str, t.Any]]:
        """Return the recent failures of upstreams for the state dump."""
        ids = dict.fromkeys([*self._outcomes.ids(), *self._exclusions.ids()])
        found = [self._describe(upstream_id) for upstream_id in ids]
        return [d for d in found if d["failures"] or d["retest_in"] is not None]

    def _describe(self, upstream_id: str) -> dict[str, t.Any]:
        failures = self._outcomes.failures(upstream_id, self._clock())
        exclusion = self.exclusion(upstream_id)
        return {
            "upstream": upstream_id,
            "failures": len(failures),
            "reporters": sorted({o.reporter for o in failures}),
            "excluded_by": exclusion.verdict.reporters if exclusion else (),
            "failed_retests": exclusion.failed_retests if exclusion else 0,
            "retest_in": exclusion.retest_in if exclusion else None,
        }


def _is_overloaded(upstream: Upstream, now: float) -> bool:
    """Whether an upstream has too many requests; it then resets some connections."""
    waits = upstream.queue_length >= OVERLOADED_QUEUE * upstream.record.slots
    return waits or now < upstream.full_until
