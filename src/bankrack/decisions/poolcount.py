"""Decides into how many pools the engines of a service are split.

Engines are replaced a few at a time, or a hall at once: for some seconds the service
has its old engines and the new ones, and passes the size at which it is split.  A
change of the number gives engines to other pools, whose owners do not know the runs on
them.  So the number follows the size only if the size stays, unless a pool is much too
large or the service is new to the node.
"""

import dataclasses
import math
import typing as t

from bankrack.clock import boottime

ENGINES_PER_POOL = 48
"""Approximate number of engines per pool.  It bounds the load of the owner, which
polls all of them and sorts them for each run (benchmarks/ledger.py)."""
MAX_ENGINES_PER_POOL = 64
"""With more engines per pool the number follows at once."""
HOLD_SECONDS = 15.0
"""Time for which a size must stay; longer than engines stay while they are replaced.

A node that has known a service for less time follows at once: it is learning of the
engines that the other nodes know."""


def count_pools(engines: int) -> int:
    """Number of pools for this number of engines, including leaving ones."""
    return 1 + max(0, engines - 1) // ENGINES_PER_POOL


@dataclasses.dataclass(slots=True)
class _Count:
    """Number of pools of a service.

    :param since: time at which the service became known.
    :param wanted: number of pools for its present size.
    :param wanted_since: time since when that differs from ``pools``.
    """

    since: float
    pools: int
    wanted: int
    wanted_since: float


class PoolCounts:
    """Number of pools by service.

    :ivar changes: how often any of the numbers has changed.
    """

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self.changes = 0
        self._clock = clock
        self._count_by_service: dict[str, _Count] = {}

    def note(self, service: str, engines: int) -> None:
        """Record how many engines a service has from now on.

        All nodes record each change when it comes, so that they agree on the number.
        """
        now = self._clock()
        wanted = count_pools(engines)
        count = self._count_by_service.get(service)
        if count is None:
            count = self._count_by_service[service] = _Count(now, 1, 1, now)
        self._update(count, now)
        grows = wanted > count.pools
        if wanted != count.wanted and (
            count.wanted == count.pools or grows != (count.wanted > count.pools)
        ):
            count.wanted_since = now
        count.wanted = wanted
        if engines > MAX_ENGINES_PER_POOL * count.pools:
            count.wanted_since = -math.inf
        self._update(count, now)

    def pools(self, service: str) -> int:
        """Number of pools of a service; 1 while no engine is known."""
        count = self._count_by_service.get(service)
        if count is None:
            return 1
        if count.wanted != count.pools:
            self._update(count, self._clock())
        return count.pools

    def _update(self, count: _Count, now: float) -> None:
        """Follow the present size if it has stayed."""
        if count.wanted == count.pools:
            return
        if now >= count.wanted_since + HOLD_SECONDS or now < count.since + HOLD_SECONDS:
            count.pools = count.wanted
            self.changes += 1
