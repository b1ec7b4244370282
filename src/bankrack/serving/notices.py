"""Processing of the status that upstreams attach to their responses.

Every response of an upstream is processed here: to a request, a resumed run, a control
call or a report poll.
"""

import asyncio
import dataclasses
import logging
import random
import typing as t

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.brittle import rate_after_rejection
from bankrack.decisions.brittle import rate_after_service
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.upstreams import Load
from bankrack.serving.upstreams import Upstream

LOG_INTERVAL_SECONDS = 1.0
"""Pause between two log lines of one upstream, which may repeat the same notice with
each response."""
MAX_BACKOFF_SECONDS = 3600.0
"""Bounds back-offs, as a value in a wrong unit would disable an upstream for good."""
BACKOFF_JITTER = 0.1
"""Fraction of a back-off that is added at random, so that nodes do not return to an
upstream all at once."""
MIN_RATE = 0.1
"""Lower bound of a rate limit in requests a second: only a response can show that a
limit of 0 has been lifted."""
MISDIRECTED_STATUS = 421
"""Status of a response to a request that was meant for another upstream."""

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """Status of an upstream as stated in one of its responses.

    :param leaving: the upstream is shutting down and accepts no new work.
    :param backoff_seconds: seconds for which a rejecting upstream asks this node to
        send nothing.
    :param load: the upstream's load, if stated.
    :param cold_seconds: seconds until the warm-up ends.
    :param rate_limit: requests a second accepted from all nodes together; infinite if
        no limit is stated, ``None`` if the value can't be parsed.
    :param borne_rejections: requests that the upstream can reject in a second, for want
        of room, without falling over; ``None`` if it states no bound.
    :param rejected: the request was rejected for want of room.
    :param unreadable: headers whose values can't be parsed, each as ``name: value``.
    """

    leaving: bool = False
    backoff_seconds: float | None = None
    load: Load | None = None
    cold_seconds: float | None = None
    rate_limit: float | None = None
    borne_rejections: float | None = None
    rejected: bool = False
    unreadable: tuple[str, ...] = ()


class PendingUpdates:
    """Set of upstreams with updates that other nodes must be notified of."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._added = asyncio.Event()

    def add(self, upstream_id: str) -> None:
        """Add an upstream's id and wake the waiting task."""
        self._ids.add(upstream_id)
        self._added.set()

    async def wait(self) -> None:
        """Wait until the set is not empty."""
        await self._added.wait()

    async def take(self) -> list[str]:
        """Wait until the set is not empty, then remove and return all ids, sorted."""
        await self.wait()
        taken, self._ids = self._ids, set()
        self._added.clear()
        return sorted(taken)


def _rate_limit(notice: Notice, known: RateLimit, sent_at: float) -> float | None:
    """Return the rate limit that an answer states or implies.

    ``None`` if it tells nothing new of the limit in force.
    """
    borne, stated = notice.borne_rejections, notice.rate_limit
    if borne is None or not (notice.rejected or known.bounded):
        return stated
    set_at = known.received_at
    if notice.rejected:
        implied = rate_after_rejection(
            borne, known.rate, sent_at=sent_at, set_at=set_at
        )
    else:
        implied = rate_after_service(known.rate, sent_at=sent_at, set_at=set_at)
    if stated is not None and stated <= implied:
        return stated
    return implied if implied != known.rate else None


class NoticeHandler:
    """Applies notices to the state of upstreams.

    :ivar leaving_updates: upstreams that announced their shutdown.
    :ivar limit_updates: upstreams that set or lifted a rate limit.
    """

    def __init__(
        self,
        *,
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
    ) -> None:
        self.leaving_updates = PendingUpdates()
        self.limit_updates = PendingUpdates()
        self._clock = clock
        self._rng = rng or random.Random()

    def take(
        self,
        upstream: Upstream,
        notice: Notice,
        *,
        status: int,
        sent_at: float,
        request: str | None = None,
    ) -> None:
        """Apply the notice of one response.

        :param status: HTTP status of the response.
        :param sent_at: boot-time seconds when the request to the upstream was sent.
        :param request: id of the caller's request; ``None`` for a response to a control
            call or report poll.
        """
        if status == MISDIRECTED_STATUS:
            # Another process listens at this address and states its own status.
            return
        now = upstream.responded_at = self._clock()
        if notice.load is not None:
            upstream.note_load(notice.load, now)
        if notice.cold_seconds is not None:
            upstream.note_cold(notice.cold_seconds, now)
        changed = notice.borne_rejections != upstream.borne_rejections
        upstream.borne_rejections = notice.borne_rejections
        # Stored with the upstream rather than the request: while the store is
        # unavailable, the shutdown may appear there only after it is complete.
        if notice.leaving and upstream.note_leaving(now):
            self.leaving_updates.add(upstream.id)
            changed = True
        changed |= self._apply_limit(upstream, notice, sent_at, request)
        if notice.backoff_seconds:
            changed |= upstream.note_backoff(
                now + self._with_jitter(notice.backoff_seconds)
            )
        if changed or notice.unreadable:
            self._log(upstream, notice, status, request, changed=changed)

    def _apply_limit(
        self, upstream: Upstream, notice: Notice, sent_at: float, request: str | None
    ) -> bool:
        """Apply a stated rate limit; returns whether the rate in effect changed."""
        rate = _rate_limit(notice, upstream.limit, sent_at)
        if rate is None:
            return False
        limit = RateLimit(max(rate, MIN_RATE), sent_at, self._clock())
        # Control calls bypass the upstream's rate limiter, so a response to one that
        # states no limit does not lift the limit.
        if request is None and not limit.bounded:
            return False
        was_bounded = upstream.limit.bounded
        changed = upstream.note_limit(limit)
        if limit.bounded != was_bounded and changed:
            self.limit_updates.add(upstream.id)
        return changed

    def _with_jitter(self, seconds: float) -> float:
        """Return a requested back-off, bounded and with jitter added."""
        bounded = min(seconds, MAX_BACKOFF_SECONDS)
        return bounded * (1.0 + BACKOFF_JITTER * self._rng.random())

    def _log(
        self,
        upstream: Upstream,
        notice: Notice,
        status: int,
        request: str | None,
        *,
        changed: bool,
    ) -> None:
        now = self._clock()
        if not changed and now < upstream.notice_logged_at + LOG_INTERVAL_SECONDS:
            return
        upstream.notice_logged_at = now
        logs.event(
            _logger,
            "upstream_told",
            request=request,
            upstream=upstream.id,
            address=upstream.address,
            status=status,
            leaving=notice.leaving,
            backoff=notice.backoff_seconds,
            limit=notice.rate_limit,
            news=changed,
            borne_rejections=notice.borne_rejections,
            rate=upstream.limit.rate if upstream.limit.bounded else None,
            unreadable="; ".join(notice.unreadable) or None,
        )
