"""Instances of upstreams with their reports, limits and load."""

import dataclasses
import math
import typing as t

from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.ratelimit import UNLIMITED


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamRecord:
    """An upstream's entry in the store.

    :param id: identifies one instance of the process; a restart gets a new id.
    :param leaving: the instance is shutting down and accepts no new work.
    :param cold_seconds: seconds until the warm-up ends, during which the request rate
        is bounded.
    :param name: name of the upstream across restarts; empty to use the id.
    :param born: start of this instance in Unix milliseconds, or ``None`` if unknown.
    :param software: software version, empty if unknown.
    """

    id: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    name: str = ""
    born: int | None = None
    software: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """Status report of an engine.

    :param used: memory that can't be evicted, in tokens.
    :param taken: boot-time seconds when the report was received from the engine.
    :param tokens_by_run: tokens held by each run, including its prompt; empty if the
        engine does not report them or another node forwarded the report.
    :param lists_runs: the engine reports them, even if there are none.
    :param born: start of the reporting instance in Unix milliseconds, or ``None`` if
        unknown.
    """

    running: int
    queued: int
    used: int
    total: int
    taken: float
    leaving: bool = False
    tokens_by_run: t.Mapping[str, int] = dataclasses.field(default_factory=dict)
    lists_runs: bool = False
    born: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load of an upstream, as stated in one of its responses.

    :param queued: requests that wait at the upstream.
    :param slowdown: how long work takes at this moment, as a multiple of the usual
        time; ``None`` if not stated.
    """

    queued: int
    slowdown: float | None = None


class Upstream:
    """An upstream instance and this node's state for it.  Times are boot-time seconds.

    :ivar borne_rejections: requests that it can reject in a second without falling
        over, as last stated by it; ``None`` without such a bound.
    :ivar ended: the process was restarted, so this instance's runs are lost.
    :ivar excluded_until: end of the time without requests that can't be repeated, as
        several nodes' requests failed.
    :ivar failures: consecutive failures; ``rejections`` are consecutive rejections.
    :ivar failure_rate: moving average of the failures.
    :ivar full_until: end of the time for which a rejecting upstream counts as full.
    :ivar peer_suspect_until: end of the time for which another node's failure keeps
        requests that can't be repeated away.
    :ivar queue_length: requests queued at the upstream, as last stated by it.
    :ivar rate_limited_until: end of the time without a permit of its rate limit.
    :ivar removed_at: time when its entry was removed from the store; 0 if it was not.
    :ivar slowdown: how long work took at ``slowdown_at``, as a multiple of the usual
        time.
    :ivar responded_at: time of its newest response to this node.
    :ivar early_retest_at: the same as ``retest_at`` while the other upstreams are full.
    :ivar retest_at: time from which this node sends an excluded upstream requests that
        can be repeated; infinite if it leaves that to other nodes.
    :ivar sent: times and tokens of the runs that reports may not include yet.
    :ivar uneven: it has stated that work took longer or shorter than usual.
    """

    __slots__ = (
        "backoff_until",
        "borne_rejections",
        "cold_until",
        "early_retest_at",
        "ended",
        "evacuated",
        "excluded_until",
        "failure_rate",
        "failures",
        "full_until",
        "in_flight",
        "leaving_at",
        "limit",
        "notice_logged_at",
        "peer_suspect_until",
        "queue_length",
        "rate_limited_until",
        "record",
        "rejections",
        "removed_at",
        "report",
        "report_received_at",
        "responded_at",
        "retest_at",
        "sent",
        "slowdown",
        "slowdown_at",
        "suspect_until",
        "uneven",
    )

    def __init__(self, record: UpstreamRecord, now: float) -> None:
        self.record = record
        self.cold_until = now + record.cold_seconds
        self.evacuated = False
        self.ended = False
        self.in_flight = 0
        self.failures = 0
        self.sent: list[tuple[float, int]] = []
        self.report: EngineReport | None = None
        self.report_received_at = 0.0
        self.responded_at = -math.inf
        self.rate_limited_until = 0.0
        self.limit = UNLIMITED
        self.queue_length = 0
        self.slowdown = 1.0
        self.slowdown_at = -math.inf
        self.uneven = False
        self.notice_logged_at = -math.inf
        self.failure_rate = 0.0
        self.backoff_until = 0.0
        self.rejections = 0
        self.borne_rejections: float | None = None
        self.full_until = 0.0
        self.suspect_until = 0.0
        self.peer_suspect_until = 0.0
        self.excluded_until = 0.0
        self.early_retest_at = math.inf
        self.retest_at = math.inf
        self.leaving_at = now if record.leaving else 0.0
        self.removed_at = 0.0

    @property
    def id(self) -> str:
        """Identifier of this instance of the upstream."""
        return self.record.id

    @property
    def name(self) -> str:
        """Name of the upstream, which stays the same across restarts."""
        return self.record.name or self.record.id

    @property
    def address(self) -> str:
        """Address of the upstream as ``ip:port``."""
        return self.record.address

    @property
    def leaving(self) -> bool:
        """Whether the upstream is shutting down or its entry was removed.

        It accepts no new work, and its runs are resumed on other engines.
        """
        return self.leaving_since > 0.0

    @property
    def leaving_since(self) -> float:
        """Boot-time seconds when this node learned that it is leaving; 0 if it is not.

        This is the time of the announced shutdown or else of its entry's removal.
        """
        return self.leaving_at or self.removed_at

    @property
    def open(self) -> bool:
        """Whether the upstream accepts new work.

        Runs on an upstream in an evacuated hall continue.
        """
        return not self.leaving and not self.evacuated

    def backing_off(self, now: float) -> bool:
        """Whether the upstream's back-off for this node is in effect at ``now``."""
        return now < self.backoff_until

    def is_available(self, now: float) -> bool:
        """Whether this node may send the upstream new work at ``now``."""
        return self.open and now >= self.closed_until

    @property
    def closed_until(self) -> float:
        """Boot-time seconds until which this node sends the upstream no new work.

        Either the upstream asked for a back-off, or the nodes together have used up
        its rate limit.
        """
        return max(self.backoff_until, self.rate_limited_until)

    def resume_obstacle(self, now: float) -> str | None:
        """Return why no run may be resumed from its copy here, or ``None`` if one may.

        A shutdown is no reason: the upstream still serves runs from its copies.
        """
        if self.evacuated:
            return "evacuated"
        if self.ended:
            return "instance ended"
        return "back-off" if self.backing_off(now) else None

    def cold(self, now: float) -> bool:
        """Whether the upstream is warming up at ``now``.

        The service's cold rate then bounds the requests of all nodes together.
        """
        return now < self.cold_until

    def note_leaving(self, now: float) -> bool:
        """Record that the upstream is shutting down; returns whether that is new.

        The state is final for this instance.  An older version of the entry or a
        response in transit may still state the contrary; a restarted process gets a
        new object.
        """
        if self.leaving_at:
            return False
        self.leaving_at = now
        return True

    def note_backoff(self, until: float) -> bool:
        """Record a back-off for this node; returns whether it extends the last one."""
        if until <= self.backoff_until:
            return False
        self.backoff_until = until
        return True

    def note_limit(self, limit: RateLimit) -> bool:
        """Record the stated rate limit; returns whether the rate in effect changed."""
        last = self.limit
        if not last.is_superseded_by(limit):
            return False
        self.limit = limit
        if limit.rate == last.rate:
            return False
        self.rate_limited_until = 0.0
        return True

    def note_no_permit(self, until: float) -> None:
        """Record that no permit of the rate limit is available before ``until``."""
        self.rate_limited_until = max(self.rate_limited_until, until)

    def excluded(self, now: float) -> bool:
        """Whether the nodes exclude the upstream at ``now``, as it fails requests."""
        return now < self.excluded_until

    def peer_suspected(self, now: float) -> bool:
        """Whether another node's request failed here just before ``now``."""
        return now < self.peer_suspect_until

    def retest_due(self, now: float, *, others_full: bool) -> bool:
        """Whether this node may send the excluded upstream one request at ``now``."""
        due_at = self.early_retest_at if others_full else self.retest_at
        return self.excluded(now) and now >= due_at and not self.in_flight

    def exclude(
        self, until: float, *, retest_at: float, early_retest_at: float
    ) -> None:
        """Exclude the upstream, or extend its exclusion."""
        self.excluded_until = until
        self.retest_at = retest_at
        self.early_retest_at = early_retest_at

    def readmit(self) -> None:
        """End an exclusion."""
        self.excluded_until = self.peer_suspect_until = 0.0
        self.retest_at = self.early_retest_at = math.inf

    def note_load(self, load: Load, now: float) -> None:
        """Record the load that the upstream stated at ``now``."""
        self.queue_length = load.queued
        if load.slowdown is not None:
            self.slowdown = load.slowdown
            self.slowdown_at = now
            self.uneven |= load.slowdown != 1.0

    def note_cold(self, seconds: float, now: float) -> None:
        """Record the remaining warm-up time in seconds, as stated at ``now``."""
        self.cold_until = now + seconds

    def describe(self) -> dict[str, t.Any]:
        """Return this node's state of the upstream for the state dump."""
        return {
            "id": self.id,
            "address": self.address,
            "service": self.record.service,
            "leaving": self.leaving,
            "evacuated": self.evacuated,
            "cold_until": self.cold_until,
            "backoff_until": self.backoff_until,
            "excluded_until": self.excluded_until,
            "rest_until": self.rate_limited_until,
            "rate_limit": self.limit.rate if self.limit.bounded else None,
            "borne_rejections": self.borne_rejections,
            "in_flight": self.in_flight,
            "failure_rate": self.failure_rate,
            "used": self.report.used if self.report else None,
        }

    def note_report(
        self, report: EngineReport, *, learned: float | None = None
    ) -> bool:
        """Store a status report, which includes the runs sent before it.

        A report of another instance is dropped: it is late, or this instance has
        ended and the entry of the next one has not been read yet.

        :param learned: boot-time seconds when another node forwarded the report;
            ``None`` if this node requested it.
        :return: whether the report was stored.
        """
        if report.born is not None and self.record.born not in (None, report.born):
            return False
        self.report = report
        self.report_received_at = report.taken if learned is None else learned
        if report.leaving:
            self.note_leaving(report.taken)
        return True

    def note_sent(self, tokens: int, now: float) -> None:
        """Record a run of ``tokens`` as sent, until reports include it."""
        self.sent.append((now, tokens))

    def unreported_tokens(self, now: float, *, lag: float) -> int:
        """Return the tokens that were sent but are not yet in the newest report.

        :param lag: seconds before a report in which runs may be missing from it.
        """
        since = (self.report.taken if self.report else now) - lag
        self.sent = [item for item in self.sent if item[0] > since]
        return sum(tokens for _, tokens in self.sent)
