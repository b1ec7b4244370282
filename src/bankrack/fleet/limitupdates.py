"""Exchange of the rate limits that upstreams report.

A node learns of a limit only from responses to its own requests. So the first response
that reports a limit, or its end, is sent to the upstream's coordinator, which notifies
all members. A limit that merely changes is exchanged with permit requests. One of these
may also be the first to report a limit to the coordinator.
"""

import asyncio
import logging
import typing as t

import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.messages import decode_message
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.registry import Upstreams

LIMITS_PATH = "/peer/limits"
NOTIFY_INTERVAL_SECONDS = 0.2
"""Pause between notifications of one upstream, as its limit may change constantly."""

_logger = logging.getLogger(__name__)


class LimitMessage(msgspec.Struct, array_like=True):
    """The newest rate limit that an upstream reported; ages in seconds.

    :param id: of the upstream.
    :param rate: requests per second; infinite if there is no limit any more.
    :param sent_age: time since the request was sent whose response reported it.
    :param received_age: time since that response.
    """

    id: str
    rate: t.Annotated[float, msgspec.Meta(gt=0)]
    sent_age: float
    received_age: float


def encode_limit(upstream_id: str, limit: RateLimit) -> LimitMessage:
    """Encode a rate limit with ages instead of times, as the clocks of nodes differ."""
    now = boottime()
    return LimitMessage(
        upstream_id, limit.rate, now - limit.sent_at, now - limit.received_at
    )


def decode_limit(message: LimitMessage) -> RateLimit:
    """Decode a rate limit received from another node."""
    now = boottime()
    return RateLimit(message.rate, now - message.sent_age, now - message.received_age)


class LimitReceiver:
    """Applies rate limits that other nodes report to this node.

    If this node coordinates the upstream, it has to notify all members of a limit and
    of its end, however it was reported.
    """

    def __init__(
        self,
        own: Member,
        coordinators: Coordinators,
        notices: NoticeHandler,
        upstreams: Upstreams,
    ) -> None:
        self._own = own
        self._coordinators = coordinators
        self._notices = notices
        self._upstreams = upstreams

    def apply(self, upstream_id: str, limit: RateLimit, source: str) -> RateLimit:
        """Apply a reported rate limit.

        :param source: name of the node that reported it.
        :return: the rate limit as known here; the reported one if the upstream's entry
            has not reached this node yet.
        """
        upstream = self._upstreams.find(upstream_id)
        if upstream is None:
            return limit
        was_bounded = upstream.limit.bounded
        if upstream.note_limit(limit):
            logs.event(
                _logger,
                "rate_limit_heard",
                upstream=upstream_id,
                limit=limit.rate,
                heard_age=round(boottime() - limit.received_at, 3),
                source=source,
            )
        changed = upstream.limit.bounded != was_bounded
        if changed and self.is_coordinator(upstream_id):
            self._notices.limit_updates.add(upstream_id)
        return upstream.limit

    def is_coordinator(self, upstream_id: str) -> bool:
        """Whether this node has to notify all members of the upstream's limit."""
        candidates = self._coordinators.candidates(upstream_id)
        return bool(candidates) and candidates[0].name == self._own.name


class LimitUpdates:
    """Sends rate limits reported to this node and applies those of other nodes."""

    def __init__(
        self,
        broadcast: Broadcast,
        coordinators: Coordinators,
        notices: NoticeHandler,
        upstreams: Upstreams,
        receiver: LimitReceiver,
    ) -> None:
        self._broadcast = broadcast
        self._coordinators = coordinators
        self._notices = notices
        self._upstreams = upstreams
        self._receiver = receiver
        self._next_at_by_id: dict[str, float] = {}
        self._notifying: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Apply rate limits of another node; those of unknown upstreams are ignored."""
        source = request.query.get("from", "")
        for message in decode_message(await request.read(), list[LimitMessage]):
            self._receiver.apply(message.id, decode_limit(message), source)
        return web.Response()

    async def run(self) -> None:
        """Send new rate limits until cancelled."""
        while True:
            for upstream_id in await self._notices.limit_updates.take():
                self._start_notifying(upstream_id)

    def _start_notifying(self, upstream_id: str) -> None:
        """Notify of one upstream's limit, unless a notification is waiting already."""
        now = boottime()
        next_at = self._next_at_by_id.get(upstream_id, now)
        if next_at > now + NOTIFY_INTERVAL_SECONDS:
            return
        self._next_at_by_id = {
            known_id: at for known_id, at in self._next_at_by_id.items() if at > now
        }
        delay = max(0.0, next_at - now)
        self._next_at_by_id[upstream_id] = now + delay + NOTIFY_INTERVAL_SECONDS
        notifying = asyncio.create_task(self._notify(upstream_id, delay=delay))
        self._notifying.add(notifying)
        notifying.add_done_callback(self._notifying.discard)

    async def _notify(self, upstream_id: str, *, delay: float) -> None:
        """Notify the upstream's coordinator, or all members if this node is it.

        All are also notified at once of an upstream that must not reject any more.
        """
        await asyncio.sleep(delay)
        upstream = self._upstreams.find(upstream_id)
        if upstream is None:
            return
        body = msgspec.msgpack.encode([encode_limit(upstream_id, upstream.limit)])
        is_urgent = upstream.limit.bounded and upstream.borne_rejections is not None
        if is_urgent or self._receiver.is_coordinator(upstream_id):
            missing = await self._broadcast.notify(LIMITS_PATH, body)
        else:
            missing = await self._notify_coordinator(upstream_id, body)
        logs.event(
            _logger,
            "rate_limit_told",
            upstream=upstream_id,
            limit=upstream.limit.rate,
            untold=",".join(member.name for member in missing) or None,
        )

    async def _notify_coordinator(self, upstream_id: str, body: bytes) -> list[Member]:
        """Notify the coordinator, else the standby; returns the members not reached."""
        missing: list[Member] = []
        for member in self._coordinators.candidates(upstream_id):
            if await self._broadcast.notify_one(member, LIMITS_PATH, body):
                break
            self._coordinators.suspect(member)
            missing.append(member)
        return missing
