"""Splits the engines of a large service into pools that one node can manage.

All nodes compute the same pools from the engines they know.  Nodes that temporarily
disagree only choose with less information.
"""

import functools
import typing as t

from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import Upstream
from bankrack.utils import stable_digest

MAX_REMEMBERED = 16_384
"""Engines whose pool is remembered; a fleet has fewer than half of it."""


def pool_of(name: str, pools: int) -> int:
    """Number of the pool of an engine or run with this id.

    This is the consistent hash of Lamping and Veach: one pool more takes over an equal
    share of each other pool, and all other ids keep their pool.
    """
    if pools == 1:
        return 0
    key = int.from_bytes(stable_digest(name))
    pool = following = 0
    while following < pools:
        pool = following
        key = (key * 2862933555777941757 + 1) % 2**64
        following = int((pool + 1) * 2**31 / ((key >> 33) + 1))
    return pool


def candidate_pools(run: str, pools: int) -> tuple[int, int]:
    """The first and the second pool that a run may be placed in, out of at least 2."""
    first = pool_of(run, pools)
    other = pool_of(f"{run}/second", pools - 1)
    return first, other + (other >= first)


def select_pool(engines: t.Sequence[Upstream], pool: int, pools: int) -> list[Upstream]:
    """The engines of one pool."""
    if pools == 1:
        return list(engines)
    return [engine for engine in engines if pool_of_engine(engine.id, pools) == pool]


class PoolIndex:
    """The engines of each pool, kept until an upstream joins or is removed."""

    def __init__(self, upstreams: Upstreams) -> None:
        self._upstreams = upstreams
        self._serial = upstreams.serial
        self._by_pool: dict[tuple[str, int], dict[int, list[Upstream]]] = {}

    def engines(self, service: str, pool: int, pools: int) -> list[Upstream]:
        """The engines of one pool, including leaving ones."""
        if pools == 1:
            return self._upstreams.of(service)
        if self._serial != self._upstreams.serial:
            self._serial = self._upstreams.serial
            self._by_pool.clear()
        by_pool = self._by_pool.get((service, pools))
        if by_pool is None:
            by_pool = {}
            for engine in self._upstreams.of(service):
                by_pool.setdefault(pool_of_engine(engine.id, pools), []).append(engine)
            self._by_pool[service, pools] = by_pool
        return list(by_pool.get(pool, ()))


@functools.lru_cache(MAX_REMEMBERED)
def pool_of_engine(engine: str, pools: int) -> int:
    """Number of an engine's pool; remembered, as a change of one asks for all."""
    return pool_of(engine, pools)


def open_engines_of_pool(
    engine: Upstream, engines: t.Sequence[Upstream], pools: int
) -> list[Upstream]:
    """The engines of the same pool that accept new work.

    :param engines: all engines of the service, including leaving ones.
    """
    same = select_pool(engines, pool_of_engine(engine.id, pools), pools)
    return [other for other in same if other.open]
