"""Permits to send to upstreams with a rate limit, counted by one coordinator.

All nodes compute the same order of members for an upstream, and the first one is the
coordinator. If it does not respond, the standby grants a fraction of the rate. A node
that reaches neither is isolated and sends a small fraction without permits.
"""

import collections
import dataclasses
import logging
import math
import random
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.coldstart import node_quota
from bankrack.decisions.permits import COORDINATOR_LIMITS
from bankrack.decisions.permits import ISOLATED_FRACTION
from bankrack.decisions.permits import PERMIT_WINDOW_SECONDS
from bankrack.decisions.permits import PermitCounter
from bankrack.decisions.permits import PermitLimits
from bankrack.decisions.permits import PermitRequester
from bankrack.decisions.permits import STANDBY_LIMITS
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.limitupdates import decode_limit
from bankrack.fleet.limitupdates import encode_limit
from bankrack.fleet.limitupdates import LimitMessage
from bankrack.fleet.limitupdates import LimitReceiver
from bankrack.fleet.messages import decode_message
from bankrack.metrics import GatewayMetrics
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.sendlog import SendLog
from bankrack.serving.upstreams import Upstream

PERMIT_PATH = "/peer/permit"
ASK_TIMEOUT_SECONDS = 0.04
"""Longest wait for a response; the caller waits meanwhile."""
MAX_VIEW_AGE_SECONDS = 5.0
"""Age of the view above which other nodes may no longer count this node as a member."""
MAX_COUNTERS = 2_000
"""Upstreams for which one node counts permits; the least recently used is dropped."""
ISOLATED_RETRY_SECONDS = 1.0
"""Wait of an isolated node that has used its fraction of the rate."""

_logger = logging.getLogger(__name__)


class PermitRequest(msgspec.Struct, array_like=True):
    """Requests the permit for a send that is made now.

    :param limit: the upstream's rate limit as known to the requesting node.
    :param node: name of the requesting node.
    :param rank: of the request; the smallest has priority.
    """

    limit: LimitMessage
    node: str
    rank: int


class PermitResponse(msgspec.Struct, array_like=True):
    """Grants the permit or states when to retry.

    :param wait: seconds until the next attempt; 0 if the permit is granted.
    :param limit: the upstream's rate limit as known to the coordinator.
    """

    wait: t.Annotated[float, msgspec.Meta(ge=0)]
    limit: LimitMessage


@dataclasses.dataclass(slots=True, eq=False)
class _CounterEntry:
    """A permit counter, and the time of another node's last request for it."""

    count: PermitCounter
    requested_at: float = -math.inf


class PermitCoordinator:
    """Grants permits for the upstreams that this node coordinates.

    :param limits: applies the rate limits reported with permit requests.
    :param view_age: returns the seconds since this node's view was confirmed.
    """

    def __init__(
        self,
        own: Member,
        coordinators: Coordinators,
        limits: LimitReceiver,
        *,
        view_age: t.Callable[[], float],
        clock: t.Callable[[], float] = boottime,
        rng: random.Random | None = None,
    ) -> None:
        self._own = own
        self._coordinators = coordinators
        self._limits = limits
        self._view_age = view_age
        self._clock = clock
        self._rng = rng or random.Random()
        self._entry_by_id: collections.OrderedDict[str, _CounterEntry] = (
            collections.OrderedDict()
        )

    def grant(
        self, upstream_id: str, reported: RateLimit, requester: PermitRequester
    ) -> tuple[float, RateLimit]:
        """Grant the permit for a send or return the time until the next attempt.

        :param reported: the upstream's rate limit as known to the requesting node.
        :return: seconds to wait, 0 if granted, and the rate limit as known here.
        """
        now = self._clock()
        limit = self._limits.apply(upstream_id, reported, requester.node)
        if not limit.bounded:
            return 0.0, limit
        entry = self._entry(upstream_id, now)
        terms = self._terms(upstream_id, entry, requester, now)
        draw = self._rng.random()
        wait = entry.count.ask(requester, terms, limit.rate, now=now, draw=draw)
        return wait, limit

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a permit request of another node."""
        permit_request = decode_message(await request.read(), PermitRequest)
        upstream_id = permit_request.limit.id
        wait, limit = self.grant(
            upstream_id,
            decode_limit(permit_request.limit),
            PermitRequester(permit_request.node, permit_request.rank),
        )
        permit_response = PermitResponse(wait, encode_limit(upstream_id, limit))
        return web.Response(body=msgspec.msgpack.encode(permit_response))

    def _entry(self, upstream_id: str, now: float) -> _CounterEntry:
        entry = self._entry_by_id.get(upstream_id)
        if entry is None:
            if len(self._entry_by_id) >= MAX_COUNTERS:
                self._entry_by_id.popitem(last=False)
            entry = self._entry_by_id[upstream_id] = _CounterEntry(PermitCounter(now))
            logs.event(_logger, "permits_counted", upstream=upstream_id)
        self._entry_by_id.move_to_end(upstream_id)
        return entry

    def _terms(
        self,
        upstream_id: str,
        entry: _CounterEntry,
        requester: PermitRequester,
        now: float,
    ) -> PermitLimits:
        if requester.node != self._own.name:
            entry.requested_at = now
        if not self._coordinators.is_coordinator(upstream_id):
            return STANDBY_LIMITS
        # Without the store, this node may have expired for others, which then ask
        # another coordinator.
        unused = now > entry.requested_at + PERMIT_WINDOW_SECONDS
        if unused and self._view_age() > MAX_VIEW_AGE_SECONDS:
            return STANDBY_LIMITS
        return COORDINATOR_LIMITS


class PermitClient:
    """Requests permits from an upstream's coordinator, which may be this node."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        coordinators: Coordinators,
        coordinator: PermitCoordinator,
        metrics: GatewayMetrics,
        *,
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._session = session
        self._own = own
        self._coordinators = coordinators
        self._coordinator = coordinator
        self._metrics = metrics
        self._clock = clock
        self._sent_isolated = SendLog()

    async def take(self, upstream: Upstream, *, rank: int) -> float:
        """Request the permit for a send that is made now.

        Returns 0 if it is granted, else the seconds to wait before the next request.
        """
        wait, source = await self._ask_in_turn(
            upstream, PermitRequester(self._own.name, rank)
        )
        outcome = "refused" if wait else "granted"
        self._metrics.permits.inc({"outcome": outcome, "source": source})
        return wait

    async def _ask_in_turn(
        self, upstream: Upstream, requester: PermitRequester
    ) -> tuple[float, str]:
        """Ask the coordinator, then the standby.

        Returns the wait in seconds and the source of the decision, for the metrics.
        """
        for member in self._coordinators.candidates(upstream.id):
            if member.name == self._own.name:
                wait, _ = self._coordinator.grant(
                    upstream.id, upstream.limit, requester
                )
                return wait, "own count"
            found = await self._ask(member, upstream, requester)
            if found is not None:
                return found, "other node"
        if not upstream.limit.bounded:
            # It ended while the others were asked.
            return 0.0, "no limit"
        return self._take_isolated(upstream), "alone"

    async def _ask(
        self, member: Member, upstream: Upstream, requester: PermitRequester
    ) -> float | None:
        """Ask one member; returns ``None`` if it does not respond."""
        limit = encode_limit(upstream.id, upstream.limit)
        permit_request = PermitRequest(limit, requester.node, requester.rank)
        url = f"http://{member.address}{PERMIT_PATH}"
        data = msgspec.msgpack.encode(permit_request)
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_SECONDS)
        try:
            async with self._session.post(url, data=data, timeout=timeout) as response:
                body = await response.read()
                response.raise_for_status()
            permit_response = msgspec.msgpack.decode(body, type=PermitResponse)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._coordinators.suspect(member)
            logs.event(
                _logger,
                "permit_unanswered",
                upstream=upstream.id,
                member=member.name,
                reason=repr(error),
            )
            return None
        upstream.note_limit(decode_limit(permit_response.limit))
        return permit_response.wait

    def _take_isolated(self, upstream: Upstream) -> float:
        """Take from the fraction of the rate that needs no coordinator."""
        now = self._clock()
        rate = ISOLATED_FRACTION * upstream.limit.rate
        quota = node_quota(
            self._own.name, self._coordinators.names(), upstream.id, rate=rate
        )
        if not self._sent_isolated.allows(upstream.id, quota, now):
            return ISOLATED_RETRY_SECONDS
        self._sent_isolated.note(upstream.id, now)
        return 0.0
