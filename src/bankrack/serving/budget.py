"""This node's share of a budget for repeated sends that all nodes keep together."""

import collections
import dataclasses
import time
import typing as t

SAFETY = 0.9
"""Part of the common budget that is used; the rest covers sends that arrive late."""
GROWN_PART = 0.8
"""Part of the reserve that nodes share which have lived for a while.  Streams that lose
their engine live on it: with 0.5, 5 of some 20 that were cut on four quiet days had a
copy that stood ready."""
YOUNG_PART = 1.0 - GROWN_PART
"""Part that nodes share which were just started: they don't know what an earlier life
took, or the others don't know of them yet (models/budget.pml)."""
KEPT_REPEATS = 1
"""Repeats that a node does not lend to others."""
KNOWN_SECONDS = 3.0
"""Within so long every node that reaches the store knows of one that joined."""

Borrow = t.Callable[[str], t.Awaitable[bool]]
"""Gets one repeat of a service from another node; tells whether one lent it."""


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetTerms:
    """What all nodes together may repeat in any span of ``window`` seconds.

    :param ratio: repeated sends allowed for each request.
    :param reserve: repeated sends allowed beside that.
    """

    ratio: float
    reserve: float
    window: float


class _Tally:
    """Requests and repeats of one service in the last window."""

    __slots__ = ("repeats", "requests")

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def forget(self, before: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] < before:
                times.popleft()


class SharedRetryBudget:
    """Allows repeats by this node's own requests and its share of the reserve.

    Since every node takes only what its own requests earn and one part in
    ``nodes()`` of the reserve, of a small part of it while it is young, the sum holds
    without any message, also when all nodes are killed at once or their number doubles.

    :param nodes: how many nodes share the reserve; counts too many rather
        than too few when in doubt.
    """

    def __init__(
        self,
        terms: BudgetTerms,
        *,
        nodes: t.Callable[[], int],
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._terms = terms
        self._nodes = nodes
        self._clock = clock
        self._began = clock()
        self._tally_by_service: dict[str, _Tally] = {}
        self._borrow: Borrow | None = None

    def borrow_with(self, borrow: Borrow) -> None:
        """Set how repeats are borrowed from other nodes."""
        self._borrow = borrow

    def change_terms(self, terms: BudgetTerms) -> None:
        """Keep to other terms from now on; what was counted stays."""
        self._terms = terms

    def earn(self, service: str) -> None:
        """Count one request for ``service``."""
        self._tally(service).requests.append(self._clock())

    def take(self, service: str) -> bool:
        """Take one repeated send; tells whether the budget allows it."""
        tally = self._tally(service)
        allowed = self.allowed(service)
        if len(tally.repeats) + 1 > allowed:
            return False
        tally.repeats.append(self._clock())
        return True

    async def take_or_borrow(self, service: str) -> bool:
        """Take one repeated send, of another node's share if need be."""
        if self.take(service):
            return True
        return self._borrow is not None and await self._borrow(service)

    def lend(self, service: str) -> bool:
        """Count a repeat that another node may make; one is kept for this node."""
        tally = self._tally_by_service.get(service)
        if tally is None:
            return False
        tally.forget(self._clock() - self._terms.window)
        if len(tally.repeats) + 1 + KEPT_REPEATS > self.allowed(service):
            return False
        return self.take(service)

    def allowed(self, service: str) -> float:
        """Repeated sends that this node may make in the present window."""
        earned = self._terms.ratio * len(self._tally(service).requests)
        part = YOUNG_PART if self._young() else GROWN_PART
        share = part * self._terms.reserve / max(1, self._nodes())
        return SAFETY * (earned + share)

    def _young(self) -> bool:
        return self._clock() < self._began + self._terms.window + KNOWN_SECONDS

    def _tally(self, service: str) -> _Tally:
        tally = self._tally_by_service.setdefault(service, _Tally())
        tally.forget(self._clock() - self._terms.window)
        return tally
