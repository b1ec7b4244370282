"""Decides which upstreams are excluded because they fail requests.

The load: many nodes send few requests each to a service, and one of its upstreams
resets or fails requests while its health check succeeds.  Each node alone would find
out by losing a request of its own.  Therefore the nodes exchange the outcomes of
requests, and exclude an upstream if two of them report failures.

A quiet service may receive little besides one request that fails anywhere and is sent
again and again, through several nodes.  Therefore the evidence is how many different
requests fail.
"""

import collections
import dataclasses
import typing as t

WINDOW_SECONDS = 3.0
"""Time for which an outcome counts."""
FAILURE_WEIGHT = 1.0
ANSWERED_WEIGHT = 0.7
"""Weight of a failure that was answered with a 5xx, which may be due to the request."""
SERVED_WEIGHT = 0.3
"""Weight of a served request against a failure.  The sum rises on average if a quarter
of the requests fail; one that loses fewer serves callers better than a queue at the
other upstreams would."""
EXCLUSION_LIMIT = 2.0
"""Sum of the weights from which an upstream is excluded: two failures in a row, or
three 5xx answers."""
MIN_REPORTERS = 2
"""Nodes that must report failures; the link of a single node may be bad."""
MAX_FAILURES_BY_REPORTER = 2
"""Failures of one node that count."""
MIN_SERVED_BY_HALL = 3
"""Requests of a hall that must have been served there, without a failure, to exempt its
nodes while those of other halls are served nothing: the link may be bad."""
MIN_RETEST_SECONDS = 0.5
MAX_RETEST_SECONDS = 4.0
"""Pause before an excluded upstream is sent requests again.  It doubles with each
failed retest, as each delays a caller."""
RETESTS_TO_READMIT = 3
"""Requests that an upstream must serve in retests, in a row, to be used as before."""
PROBATION_SECONDS = 10.0
"""Time of retests after which an upstream is used again in any case, for services
without requests that can be repeated."""


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """Outcome of a request that was sent to an upstream.

    :param at: time when it was known.
    :param reporter: node that sent the request.
    :param hall: of the reporter.
    :param answered: the failure was a 5xx answer.
    :param request: the failed request's fingerprint; empty if unknown.
    """

    at: float
    reporter: str
    hall: str
    failed: bool
    answered: bool = False
    request: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Healthy:
    """The upstream may be used."""


@dataclasses.dataclass(slots=True, frozen=True)
class Exclude:
    """The upstream fails requests.

    :param reporters: nodes with failures, sorted.
    :param exempt_halls: halls whose nodes were served meanwhile.
    """

    reporters: tuple[str, ...]
    failures: int
    served: int
    exempt_halls: frozenset[str] = frozenset()


Verdict = Healthy | Exclude


def judge(
    outcomes: t.Iterable[Outcome],
    *,
    now: float,
    excluded: int,
    upstreams: int,
    served_requests: t.Collection[str] = (),
) -> Verdict:
    """Judge an upstream by the outcomes of the requests of all nodes.

    The outcomes are summed as in a CUSUM chart: a failure raises the sum, a served
    request lowers it, down to zero.

    :param excluded: other upstreams of the service that are excluded already.
    :param upstreams: open upstreams of the service, including this one.
    :param served_requests: fingerprints of requests that were served at some upstream
        within the window; each of their failures counts.
    """
    if excluded >= max_excluded(upstreams):
        return Healthy()
    recent = [o for o in outcomes if now - WINDOW_SECONDS <= o.at <= now]
    recent.sort(key=lambda o: (o.at, o.reporter))
    streak = _failing_streak(recent, served_requests)
    exempt_halls = _served_halls(recent if streak is None else streak)
    cut_off = _failing_streak(
        (o for o in streak or recent if o.hall not in exempt_halls), served_requests
    )
    if cut_off is not None and all(o.failed for o in cut_off):
        streak = cut_off
    else:
        exempt_halls = frozenset()
    if streak is None:
        return Healthy()
    failures = [o for o in streak if o.failed]
    reporters = tuple(sorted({o.reporter for o in failures}))
    return Exclude(reporters, len(failures), len(streak) - len(failures), exempt_halls)


def _failing_streak(
    outcomes: t.Iterable[Outcome], served_requests: t.Collection[str]
) -> list[Outcome] | None:
    """Return the outcomes since the sum last left zero, if it is at the limit."""
    total = 0.0
    streak: list[Outcome] = []
    counted: list[Outcome] = []
    for outcome in outcomes:
        if not outcome.failed:
            total -= SERVED_WEIGHT
        elif _is_evidence(outcome, counted, served_requests):
            total += ANSWERED_WEIGHT if outcome.answered else FAILURE_WEIGHT
            counted.append(outcome)
        streak.append(outcome)
        if total <= 0.0:
            total, streak, counted = 0.0, [], []
    reporters = {o.reporter for o in counted}
    is_failing = len(reporters) >= MIN_REPORTERS and total >= EXCLUSION_LIMIT
    return streak if is_failing else None


def _served_halls(outcomes: t.Sequence[Outcome]) -> frozenset[str]:
    """Return the halls whose nodes were served without a failure."""
    failing = {o.hall for o in outcomes if o.failed}
    began = min((o.at for o in outcomes if o.failed), default=0.0)
    served = collections.Counter(
        o.hall for o in outcomes if not o.failed and o.at >= began
    )
    return frozenset(
        hall
        for hall, count in served.items()
        if count >= MIN_SERVED_BY_HALL and hall not in failing
    )


def _is_evidence(
    failure: Outcome, counted: t.Sequence[Outcome], served_requests: t.Collection[str]
) -> bool:
    """Whether a failure is evidence beyond those that were counted before it."""
    by_reporter = sum(o.reporter == failure.reporter for o in counted)
    if by_reporter >= MAX_FAILURES_BY_REPORTER:
        return False
    if not failure.request or failure.request in served_requests:
        return True
    return all(o.request != failure.request for o in counted)


def max_excluded(upstreams: int) -> int:
    """Return how many of a service's upstreams may be excluded together.

    At least half of them remain in use: if more seem to fail, the failures have another
    cause, or the others could not bear the load.
    """
    return upstreams // 2


def retest_seconds(failed_retests: int) -> float:
    """Return the pause before an excluded upstream is sent requests again."""
    return min(MAX_RETEST_SECONDS, MIN_RETEST_SECONDS * 2 ** min(failed_retests, 16))
