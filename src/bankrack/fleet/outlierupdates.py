"""Exchange of failures and exclusions of upstreams, without the store.

A node whose request failed at an upstream tells all members at once.  Their responses
state the requests that the upstream served them meanwhile, and an exclusion that the
node does not know of yet.  The node that then excludes the upstream tells all
members of its exclusion.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import logging
import random
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.outliers import Exclude
from bankrack.decisions.outliers import Outcome
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.documents import Member
from bankrack.fleet.messages import decode_message
from bankrack.serving.exclusions import Exclusion
from bankrack.serving.outliers import OutlierMonitor

OUTLIERS_PATH = "/peer/outliers"
BATCH_SECONDS = 0.02
"""Pause between notifications, to batch failures of requests that break together."""
GATHER_SECONDS = 0.15
"""Longest wait for the responses of members before an upstream is judged."""
LOG_INTERVAL_SECONDS = 1.0
MAX_APPLIED = 4_096
"""Messages that are recognized when they are sent again; far more than a fleet sends
within the time of all retries."""

_logger = logging.getLogger(__name__)

_Milliseconds = t.Annotated[int, msgspec.Meta(ge=0, le=15_000)]
_Count = t.Annotated[int, msgspec.Meta(ge=0, le=10_000)]
_Names = t.Annotated[list[str], msgspec.Meta(max_length=16)]
_Fingerprint = t.Annotated[str, msgspec.Meta(max_length=64)]
_MAX_ENTRIES = msgspec.Meta(max_length=64)


class FailureMessage(msgspec.Struct, array_like=True):
    """A failed request of the sender.

    :param age_ms: time since the failure.
    :param answered: the upstream answered with a 5xx.
    :param request: fingerprint of the request; empty if unknown.
    """

    id: str
    age_ms: _Milliseconds
    answered: bool = False
    request: _Fingerprint = ""


class ExclusionMessage(msgspec.Struct, array_like=True):
    """An exclusion in force.

    :param left_ms: time until the exclusion ends in any case.
    :param reporters: some of the nodes with failures.
    :param exempt_halls: halls whose nodes go on using the upstream.
    """

    id: str
    left_ms: _Milliseconds
    failed_retests: _Count
    reporters: _Names
    failures: _Count
    served: _Count
    exempt_halls: _Names


class OutlierMessage(msgspec.Struct, array_like=True):
    """Notification of all members.

    :param hall: of the sender.
    :param served: upstreams that served a retest.
    :param readmitted: upstreams that served enough of them.
    :param serial: differs between the sender's messages, as one that is sent again is
        applied once.
    """

    hall: str
    failures: t.Annotated[list[FailureMessage], _MAX_ENTRIES]
    exclusions: t.Annotated[list[ExclusionMessage], _MAX_ENTRIES]
    served: t.Annotated[list[str], _MAX_ENTRIES]
    readmitted: t.Annotated[list[str], _MAX_ENTRIES]
    serial: int = 0


class ServedMessage(msgspec.Struct, array_like=True):
    """What a member knows of an upstream whose failure it was told of.

    :param ages_ms: times since the upstream served requests of this member.
    :param request_served: any upstream served this member the same request recently.
    """

    id: str
    ages_ms: t.Annotated[list[_Milliseconds], _MAX_ENTRIES]
    exclusion: ExclusionMessage | None = None
    request_served: bool = False


@dataclasses.dataclass(slots=True)
class _Gathered:
    """What the other members know of the upstreams at which requests failed.

    :ivar request_by_id: fingerprints of the failed requests, by upstream.
    :ivar served_by_id: requests that were served there, by upstream.
    :ivar served_requests: those of the failed requests that were served anywhere.
    """

    request_by_id: dict[str, str]
    served_by_id: dict[str, list[Outcome]] = dataclasses.field(default_factory=dict)
    served_requests: set[str] = dataclasses.field(default_factory=set)


class OutlierUpdates:
    """Sends and applies the updates of this node's monitor."""

    def __init__(
        self, broadcast: Broadcast, own: Member, monitor: OutlierMonitor
    ) -> None:
        self._broadcast = broadcast
        self._own = own
        self._monitor = monitor
        self._notifying: set[asyncio.Task[None]] = set()
        self._logged_at = 0.0
        # A restarted node must not repeat the serials of its last life.
        self._serials = itertools.count(random.getrandbits(48))
        self._applied: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    async def handle(self, request: web.Request) -> web.Response:
        """Apply the notification of another node."""
        message = decode_message(await request.read(), OutlierMessage)
        source = request.query.get("from", "")
        if self._is_new(source, message.serial):
            self._apply_message(source, message)
        known = [self._known_of(failure) for failure in message.failures]
        return web.Response(body=msgspec.msgpack.encode(known))

    def _known_of(self, failure: FailureMessage) -> ServedMessage:
        ages = [int(1000 * age) for age in self._monitor.served_ages(failure.id)]
        request_served = self._monitor.has_served(failure.request)
        exclusion = self._exclusion(failure.id)
        return ServedMessage(failure.id, ages, exclusion, request_served)

    def _is_new(self, source: str, serial: int) -> bool:
        """Whether a message was not applied yet; one without serial is always new."""
        key = source, serial
        if serial and key in self._applied:
            return False
        self._applied[key] = None
        if len(self._applied) > MAX_APPLIED:
            self._applied.popitem(last=False)
        return True

    def _apply_message(self, source: str, message: OutlierMessage) -> None:
        for failure in message.failures:
            self._monitor.take_failure(
                failure.id,
                age=failure.age_ms / 1000,
                reporter=source,
                hall=message.hall,
                answered=failure.answered,
                request=failure.request,
            )
        for exclusion in message.exclusions:
            self._apply(exclusion)
        for upstream_id in message.served:
            self._monitor.take_served_retest(upstream_id)
        for upstream_id in message.readmitted:
            self._monitor.readmit(upstream_id, f"told by {source}")

    async def run(self) -> None:
        """Notify all members of this node's updates, until cancelled."""
        try:
            while True:
                await self._monitor.has_updates.wait()
                notifying = asyncio.create_task(self._notify())
                self._notifying.add(notifying)
                notifying.add_done_callback(self._notifying.discard)
                await asyncio.sleep(BATCH_SECONDS)
        finally:
            for notifying in list(self._notifying):
                notifying.cancel()

    async def _notify(self) -> None:
        """Notify all members, then judge the upstreams that failed."""
        message = self._take_updates()
        gathered = _Gathered({f.id: f.request for f in message.failures})
        failed_ids = list(gathered.request_by_id)
        responded = asyncio.Event()
        sending = asyncio.create_task(
            self._broadcast.notify(
                OUTLIERS_PATH,
                msgspec.msgpack.encode(message),
                on_first_round=responded.set,
                on_response=lambda member, body: self._gather(gathered, member, body),
            )
        )
        try:
            if failed_ids:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(responded.wait(), GATHER_SECONDS)
                for upstream_id in failed_ids:
                    self._monitor.judge(
                        upstream_id,
                        gathered.served_by_id.get(upstream_id, ()),
                        served_requests=gathered.served_requests,
                    )
            untold = await sending
        finally:
            sending.cancel()
        now = boottime()
        if now > self._logged_at + LOG_INTERVAL_SECONDS:
            self._logged_at = now
            logs.event(
                _logger,
                "outlier_evidence_sent",
                failed=",".join(failed_ids) or None,
                excluded=",".join(e.id for e in message.exclusions) or None,
                served=",".join(message.served + message.readmitted) or None,
                untold=",".join(member.name for member in untold) or None,
            )

    def _take_updates(self) -> OutlierMessage:
        pending = self._monitor.take_pending()
        now = boottime()
        failures = [
            FailureMessage(
                upstream_id,
                int(1000 * max(0.0, now - failed.at)),
                failed.answered,
                failed.request,
            )
            for upstream_id, failed in list(pending.failed_by_id.items())[:64]
        ]
        exclusions = [self._exclusion(name) for name in sorted(pending.changed)[:64]]
        return OutlierMessage(
            self._own.hall,
            failures,
            [e for e in exclusions if e is not None],
            pending.served[:64],
            pending.readmitted[:64],
            next(self._serials),
        )

    def _gather(self, gathered: _Gathered, member: Member, body: bytes) -> None:
        """Record the requests that a member reports as served."""
        now = boottime()
        try:
            answers = decode_message(body, list[ServedMessage])
        except web.HTTPBadRequest:
            # It was logged, and the upstream is judged without this member.
            return
        for known in answers:
            gathered.served_by_id.setdefault(known.id, []).extend(
                Outcome(now - age / 1000, member.name, member.hall, failed=False)
                for age in known.ages_ms
            )
            if known.request_served and known.id in gathered.request_by_id:
                gathered.served_requests.add(gathered.request_by_id[known.id])
            if known.exclusion is not None:
                self._apply(known.exclusion)

    def _apply(self, exclusion: ExclusionMessage) -> None:
        verdict = Exclude(
            tuple(exclusion.reporters),
            exclusion.failures,
            exclusion.served,
            frozenset(exclusion.exempt_halls),
        )
        self._monitor.take_exclusion(
            exclusion.id,
            Exclusion(verdict, exclusion.failed_retests, exclusion.left_ms / 1000),
        )

    def _exclusion(self, upstream_id: str) -> ExclusionMessage | None:
        found = self._monitor.exclusion(upstream_id)
        if found is None:
            return None
        verdict = found.verdict
        return ExclusionMessage(
            upstream_id,
            int(1000 * found.left),
            found.failed_retests,
            list(verdict.reporters[:16]),
            verdict.failures,
            verdict.served,
            sorted(verdict.exempt_halls)[:16],
        )
