"""This node's share of the retry budget of the fleet."""

import collections
import dataclasses
import typing as t

from bankrack.clock import boottime

SAFETY_FACTOR = 0.9
"""Fraction of the fleet's budget that is used; the rest covers retries that arrive
late."""
ESTABLISHED_FRACTION = 0.8
"""Fraction of the reserve that established nodes share.  Streams that lose their engine
are resumed from it."""
NEW_NODE_FRACTION = 1.0 - ESTABLISHED_FRACTION
"""Fraction that new nodes share.  A new node does not know what it used before a
restart, and the other nodes may not know of it yet (models/budget.pml)."""
KEPT_RETRIES = 1
"""Retries that a node never lends to other nodes."""
MIN_LOAN = 0.05
"""Smallest fraction of a retry that is lent.  Fractions are lent because in a large
fleet a node's share is less than two retries."""
ROUNDING = 1e-9
MEMBERSHIP_DELAY_SECONDS = 3.0
"""Time until every node that reaches the store knows of a node that joined."""

Borrow = t.Callable[[str, float], t.Awaitable[bool]]
"""Borrows a fraction of a retry for a service; returns whether other nodes lent it."""


@dataclasses.dataclass(slots=True, frozen=True)
class RetryBudgetPolicy:
    """Retries that all nodes together may make in any ``window`` seconds.

    :param ratio: retries allowed for each request.
    :param reserve: retries allowed in addition.
    """

    ratio: float
    reserve: float
    window: float


@dataclasses.dataclass(slots=True, eq=False)
class _Withdrawal:
    """A retry, or a fraction of one, that was taken from the share."""

    at: float
    amount: float


class _Tally:
    """Requests and retries of one service in the last window."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[_Withdrawal] = collections.deque()

    @property
    def used(self) -> float:
        """Number of retries taken, including fractions."""
        return sum(withdrawal.amount for withdrawal in self.retries)

    def drop_before(self, before: float) -> None:
        while self.requests and self.requests[0] < before:
            self.requests.popleft()
        while self.retries and self.retries[0].at < before:
            self.retries.popleft()


class SharedRetryBudget:
    """Retry budget of this node: what its own requests earn and a share of the reserve.

    A node uses at most ``1 / nodes()`` of the established nodes' fraction of the
    reserve, or of the smaller fraction for new nodes.  The sum over all nodes thus
    stays within the policy without any message, even if all nodes are restarted at once
    or their number doubles.

    :param nodes: returns the number of nodes that share the reserve; too high rather
        than too low if uncertain.
    """

    def __init__(
        self,
        policy: RetryBudgetPolicy,
        *,
        nodes: t.Callable[[], int],
        clock: t.Callable[[], float] = boottime,
    ) -> None:
        self._policy = policy
        self._nodes = nodes
        self._clock = clock
        self._began = clock()
        self._tally_by_service: dict[str, _Tally] = {}
        self._borrow: Borrow | None = None

    def set_borrow(self, borrow: Borrow) -> None:
        """Set the function that borrows retries from other nodes."""
        self._borrow = borrow

    def set_policy(self, policy: RetryBudgetPolicy) -> None:
        """Replace the policy; the counts are kept."""
        self._policy = policy

    def earn(self, service: str) -> None:
        """Count one request for ``service``."""
        self._tally(service).requests.append(self._clock())

    def take(self, service: str) -> bool:
        """Take one retry; returns whether the budget allows it."""
        if self._remaining(service) < 1.0 - ROUNDING:
            return False
        self._count(service, 1.0)
        return True

    async def take_or_borrow(self, service: str) -> bool:
        """Take one retry, borrowing from other nodes' shares if necessary.

        The remainder of this node's share is counted before the rest is borrowed, so
        that no concurrent retry can use it.
        """
        if self.take(service):
            return True
        if self._borrow is None:
            return False
        remaining = max(0.0, self._remaining(service))
        withdrawal = self._count(service, remaining)
        if await self._borrow(service, 1.0 - remaining):
            return True
        retries = self._tally(service).retries
        if withdrawal in retries:
            retries.remove(withdrawal)
        return False

    def lend(self, service: str, requested: float = 1.0) -> float:
        """Lend a retry, or a fraction of one, to another node.

        Returns the amount lent, which counts as used here.  One retry is kept for this
        node.
        """
        if service not in self._tally_by_service:
            return 0.0
        amount = min(requested, self._remaining(service) - KEPT_RETRIES)
        if amount < min(requested, MIN_LOAN):
            return 0.0
        self._count(service, amount)
        return amount

    def _remaining(self, service: str) -> float:
        return self.allowed(service) - self._tally(service).used

    def _count(self, service: str, amount: float) -> _Withdrawal:
        withdrawal = _Withdrawal(self._clock(), amount)
        self._tally(service).retries.append(withdrawal)
        return withdrawal

    def allowed(self, service: str) -> float:
        """Return the retries that this node may make in the current window."""
        earned = self._policy.ratio * len(self._tally(service).requests)
        fraction = NEW_NODE_FRACTION if self._is_new() else ESTABLISHED_FRACTION
        share = fraction * self._policy.reserve / max(1, self._nodes())
        return SAFETY_FACTOR * (earned + share)

    def _is_new(self) -> bool:
        return (
            self._clock() < self._began + self._policy.window + MEMBERSHIP_DELAY_SECONDS
        )

    def _tally(self, service: str) -> _Tally:
        tally = self._tally_by_service.setdefault(service, _Tally())
        tally.drop_before(self._clock() - self._policy.window)
        return tally
