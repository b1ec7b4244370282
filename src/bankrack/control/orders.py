"""Orders to engines to load the models of the placement.

For each group of engines one node holds a lease in the platform's store; the
revision of the lease's key is the fencing token in every order.  An order lists
all models that an engine must load.

Some engines do not check the fence.  An order is sent only while the lease,
counted on the monotonic clock from before its renewal, outlasts the order's
timeout.  In addition, a new holder sends no order to such an engine until the
previous lease and the longest order have expired.  One case remains unsafe: an
engine that receives an order, freezes, and executes it after its timeout.
"""

import asyncio
import logging
import typing as t

import aiohttp
import msgspec

from bankrack import logs
from bankrack.clock import boottime
from bankrack.control.groups import Group
from bankrack.control.intent import Upstream
from bankrack.control.keyvalue import Platform
from bankrack.control.keyvalue import Put
from bankrack.control.keyvalue import Unchanged
from bankrack.control.membership import rendezvous
from bankrack.control.placement import Placement
from bankrack.exceptions import BankrackError
from bankrack.exceptions import InvariantViolated

PREFIX = "orders/"
LEASE_SECONDS = 10
ORDER_TIMEOUT_SECONDS = 2.0
ROUND_INTERVAL_SECONDS = 2.0
MODEL_LIST_INTERVAL_SECONDS = 20.0
LOADS_PER_SECOND = 2.0
"""Rate of orders in the whole fleet, which bounds the load of the weight store."""
_logger = logging.getLogger(__name__)


class Order(msgspec.Struct, frozen=True):
    """The complete list of models that an engine must load.

    :param fence: fencing token; engines refuse orders with an older one.
    :param revision: configuration revision of the placement.
    """

    fence: int
    revision: int
    models: list[str]


class Lease:
    """This node's lease for the orders of one group.

    :param fence: revision of the lease's key.
    :param valid_until: monotonic time until which the lease is certainly held.
    """

    __slots__ = ("acquired_at", "fence", "id", "valid_until")

    def __init__(self, lease_id: int, fence: int, valid_until: float) -> None:
        self.id = lease_id
        self.fence = fence
        self.valid_until = valid_until
        self.acquired_at = boottime()


class OrderSender:
    """Holds the leases of this node's groups and sends orders to their engines.

    :param name: this node's name.
    :param holders: names the nodes that may hold leases, this one included.
    :param revision: returns the configuration revision in force.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        platform: Platform,
        *,
        name: str,
        holders: t.Callable[[], t.Sequence[str]],
        groups: t.Callable[[], t.Mapping[str, Group]],
        placement: t.Callable[[], Placement],
        revision: t.Callable[[], int],
    ) -> None:
        self.leases_by_group: dict[str, Lease] = {}
        self.loaded_by_upstream: dict[str, frozenset[str]] = {}
        self.listed_at_by_upstream: dict[str, float] = {}
        self.sent = 0
        self._session = session
        self._platform = platform
        self._name = name
        self._holders = holders
        self._groups = groups
        self._placement = placement
        self._revision = revision
        self._next_load = 0.0

    async def run(self) -> None:
        """Hold leases and send orders until cancelled."""
        while True:
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)
            for group in list(self._groups().values()):
                if rendezvous(PREFIX + group.name, self._holders()) != self._name:
                    self.leases_by_group.pop(group.name, None)
                    continue
                try:
                    await self._serve_group(group)
                except BankrackError as error:
                    logs.event(
                        _logger, "orders_failed", group=group.name, error=error.code
                    )

    async def _serve_group(self, group: Group) -> None:
        # No lease is acquired without an order to send, so that groups without
        # changes cause no writes to the store.
        outdated = [
            u for u in group.upstreams_by_name.values() if await self._needs_order(u)
        ]
        if not outdated or not self._revision():
            return
        lease = await self._acquire_lease(group)
        if lease is None:
            return
        for upstream in outdated:
            await self._wait_for_load_rate()
            await self._send_order(lease, upstream, group)

    async def _needs_order(self, upstream: Upstream) -> bool:
        """Tell whether an engine lacks a model of the placement.

        The engine's list of models is refreshed periodically.
        """
        now = boottime()
        if (
            now
            - self.listed_at_by_upstream.get(
                upstream.name, -MODEL_LIST_INTERVAL_SECONDS
            )
            >= MODEL_LIST_INTERVAL_SECONDS
        ):
            self.listed_at_by_upstream[upstream.name] = now
            found = await self._list_loaded(upstream)
            if found is not None:
                self.loaded_by_upstream[upstream.name] = found
        loaded = self.loaded_by_upstream.get(upstream.name)
        return loaded is not None and not self._desired(upstream) <= loaded

    async def _list_loaded(self, upstream: Upstream) -> frozenset[str] | None:
        url = f"http://{upstream.address}/v1/models"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                listing = msgspec.json.decode(await response.read())
                return frozenset(item["id"] for item in listing["data"])
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except (msgspec.DecodeError, KeyError, TypeError):
            return None

    def _desired(self, upstream: Upstream) -> frozenset[str]:
        return self._placement().models_by_upstream.get(upstream.name, frozenset())

    def _models_to_load(self, upstream: Upstream, group: Group) -> frozenset[str]:
        """Return the models of an engine's next order.

        Models that are no longer placed on the engine stay loaded while it has
        free slots, since requests may still use them.  Models of the placement
        that no other engine of the group has loaded yet stay in any case.
        """
        desired = self._desired(upstream)
        extra = self.loaded_by_upstream.get(upstream.name, frozenset()) - desired
        if len(desired) + len(extra) <= upstream.model_slots:
            return desired | extra
        others = [n for n in group.upstreams_by_name if n != upstream.name]
        wanted = frozenset().union(*self._placement().models_by_upstream.values())
        kept = {
            model
            for model in extra & wanted
            if not any(model in self.loaded_by_upstream.get(o, ()) for o in others)
        }
        return desired | kept

    async def _acquire_lease(self, group: Group) -> Lease | None:
        """Renew this node's lease or acquire a free one.

        Returns ``None`` if another node holds the lease.
        """
        lease = self.leases_by_group.get(group.name)
        asked_at = boottime()
        if lease is not None:
            if await self._platform.keep_alive(lease.id) > 0:
                lease.valid_until = asked_at + LEASE_SECONDS
                return lease
            del self.leases_by_group[group.name]
        key = PREFIX + group.name
        if await self._platform.get(key) is not None:
            return None
        lease_id = await self._platform.grant_lease(LEASE_SECONDS)
        put = Put(key, self._name.encode(), lease=lease_id)
        fence = await self._platform.transact([Unchanged(key, 0)], [put])
        if not fence:
            return None
        lease = Lease(lease_id, fence, asked_at + LEASE_SECONDS)
        self.leases_by_group[group.name] = lease
        logs.event(_logger, "order_lease_taken", group=group.name, fence=fence)
        return lease

    async def _wait_for_load_rate(self) -> None:
        """Wait until this group's share of the order rate permits an order."""
        share = LOADS_PER_SECOND / max(1, len(self._groups()))
        pause = self._next_load - boottime()
        if pause > 0:
            await asyncio.sleep(pause)
        self._next_load = boottime() + 1.0 / share

    async def _send_order(self, lease: Lease, upstream: Upstream, group: Group) -> None:
        models = self._models_to_load(upstream, group)
        order = Order(lease.fence, self._revision(), sorted(models))
        if not self._may_send(lease, upstream):
            return
        url = f"http://{upstream.address}/v1/orders"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        body = msgspec.json.encode(order)
        # Nothing may be awaited between this check and the request.
        if boottime() + ORDER_TIMEOUT_SECONDS > lease.valid_until:
            raise InvariantViolated(
                f"an order to {upstream.name} would outlast its lease"
            )
        self.sent += 1
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                accepted = response.status == 200
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.listed_at_by_upstream.pop(upstream.name, None)
            logs.event(
                _logger,
                "order_failed",
                upstream=upstream.name,
                error=type(error).__name__,
            )
            return
        logs.event(
            _logger,
            "order_sent",
            upstream=upstream.name,
            fence=lease.fence,
            status=status,
        )
        if accepted:
            self.loaded_by_upstream[upstream.name] = models

    def _may_send(self, lease: Lease, upstream: Upstream) -> bool:
        now = boottime()
        if now + ORDER_TIMEOUT_SECONDS > lease.valid_until:
            return False
        safe_from = lease.acquired_at + LEASE_SECONDS + ORDER_TIMEOUT_SECONDS
        return upstream.checks_fence or now >= safe_from
