"""Bytes of request bodies that are on their way to upstreams."""

import asyncio
import collections
import contextlib
import typing as t

from bankrack.decisions.buffers import may_send_body


class BodiesInFlight:
    """Bytes that this node is sending and that have not been answered, by upstream.

    :param limit: returns the bound for one upstream in bytes.
    """

    def __init__(self, limit: t.Callable[[], float]) -> None:
        self._limit = limit
        self._bytes_by_id: collections.Counter[str] = collections.Counter()
        self._waiters: set[asyncio.Future[None]] = set()

    def fits(self, upstream_id: str, size: int) -> bool:
        """Whether a body of ``size`` bytes may be sent to an upstream now."""
        return may_send_body(size, self._bytes_by_id[upstream_id], self._limit())

    def describe(self) -> dict[str, int]:
        """Return the bytes in flight by upstream."""
        return dict(self._bytes_by_id)

    @contextlib.contextmanager
    def sending(self, upstream_id: str, size: int) -> t.Iterator[None]:
        """Count a body as in flight."""
        if not size:
            yield
            return
        self._bytes_by_id[upstream_id] += size
        try:
            yield
        finally:
            self._bytes_by_id[upstream_id] -= size
            if not self._bytes_by_id[upstream_id]:
                del self._bytes_by_id[upstream_id]
            for waiter in self._waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def wait_for_room(
        self, upstream_ids: t.Collection[str], size: int, *, seconds: float
    ) -> bool:
        """Wait until a body fits at one of some upstreams; returns whether it does."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not any(self.fits(id_, size) for id_ in upstream_ids):
                    await self._next_release()
                return True
        return False

    async def _next_release(self) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
