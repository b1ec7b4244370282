"""Decides into how many pools the engines of a service are split.

Engines are replaced a few at a time, or a hall at once: for some seconds the service
has its old engines and the new ones, and passes the size at which it is split.  A
change of the number gives engines to other pools, whose owners do not know the runs on
them.  So the number follows the size only if the size stays, unless a pool is much too
large.
"""

import typing as t

from bankrack.clock import boottime

ENGINES_PER_POOL = 48
"""Approximate number of engines per pool.  It bounds the load of the owner, which
polls all of them and sorts them for each run (benchmarks/ledger.py)."""
MAX_ENGINES_PER_POOL = 64
"""With more engines per pool the number follows at once, as when a node starts."""
HOLD_SECONDS = 15.0
"""Time for which a size must stay; longer than engines stay while they are replaced."""


def count_pools(engines: int) -> int:
    """Number of pools for this number of engines, including leaving ones."""
    return 1 + max(0, engines - 1) // ENGINES_PER_POOL


class PoolCounts:
    """Number of pools by service.

    :ivar changes: how often any of the numbers has changed.
    """

    def __init__(self, *, clock: t.Callable[[], float] = boottime) -> None:
        self.changes = 0
        self._clock = clock
        self._pools_by_service: dict[str, int] = {}
        self._differs_since_by_service: dict[str, float] = {}

    def count(self, service: str, engines: int) -> int:
        """Number of pools of a service that now has this number of engines."""
        wanted = count_pools(engines)
        current = self._pools_by_service.get(service, 1)
        if wanted == current:
            self._differs_since_by_service.pop(service, None)
            return current
        now = self._clock()
        since = self._differs_since_by_service.setdefault(service, now)
        too_large = engines > MAX_ENGINES_PER_POOL * current
        if not too_large and now < since + HOLD_SECONDS:
            return current
        self.changes += 1
        self._pools_by_service[service] = wanted
        del self._differs_since_by_service[service]
        return wanted
