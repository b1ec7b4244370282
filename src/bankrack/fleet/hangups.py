"""Tells when peers close their connections, also behind bytes that nobody reads yet."""

import asyncio
import contextlib
import select
import typing as t


class HangupWatch:
    """Watches connections for the end of what their peers send.

    An event loop learns of an end only after it has read everything that came before.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._future_by_descriptor: dict[int, asyncio.Future[None]] = {}

    def start(self) -> None:
        """Watch in the running event loop."""
        asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._notify)

    def stop(self) -> None:
        """Stop watching all connections."""
        if not self._epoll.closed:
            asyncio.get_running_loop().remove_reader(self._epoll.fileno())
            self._epoll.close()

    @contextlib.contextmanager
    def watching(self, descriptor: int) -> t.Iterator["asyncio.Future[None]"]:
        """Yield a future that is done once the peer closed or reset the connection."""
        hangup: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._epoll.register(descriptor, select.EPOLLRDHUP)
        self._future_by_descriptor[descriptor] = hangup
        try:
            yield hangup
        finally:
            hangup.cancel()
            # The descriptor may have been closed and given to another connection.
            if self._future_by_descriptor.get(descriptor) is hangup:
                self._forget(descriptor)

    def _forget(self, descriptor: int) -> None:
        del self._future_by_descriptor[descriptor]
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(descriptor)

    def _notify(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            hangup = self._future_by_descriptor[descriptor]
            self._forget(descriptor)
            if not hangup.done():
                hangup.set_result(None)
