"""Composition of the parts that share rate limits of upstreams among nodes."""

import typing as t

import aiohttp

from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.limitupdates import LimitReceiver
from bankrack.fleet.limitupdates import LIMITS_PATH
from bankrack.fleet.limitupdates import LimitUpdates
from bankrack.fleet.permits import PERMIT_PATH
from bankrack.fleet.permits import PermitClient
from bankrack.fleet.permits import PermitCoordinator
from bankrack.metrics import GatewayMetrics
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.registry import Upstreams


class RateLimits:
    """Requests and grants permits, and exchanges rate limits.

    :param members: returns the live members, with or without this node.
    :param view_age: returns the seconds since this node's view was confirmed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: Member,
        members: t.Callable[[], t.Iterable[Member]],
        upstreams: Upstreams,
        notices: NoticeHandler,
        broadcast: Broadcast,
        metrics: GatewayMetrics,
        *,
        view_age: t.Callable[[], float],
    ) -> None:
        self.coordinators = Coordinators(own, members)
        receiver = LimitReceiver(own, self.coordinators, notices, upstreams)
        coordinator = PermitCoordinator(
            own, self.coordinators, receiver, view_age=view_age
        )
        limit_updates = LimitUpdates(
            broadcast, self.coordinators, notices, upstreams, receiver
        )
        self.permits = PermitClient(
            session, own, self.coordinators, coordinator, metrics
        )
        self.handler_by_path = {
            LIMITS_PATH: limit_updates.handle,
            PERMIT_PATH: coordinator.handle,
        }
        self.run = limit_updates.run
