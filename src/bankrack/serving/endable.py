"""Requests that their node's stop can end with an answer."""

import asyncio
import contextlib
import typing as t

from bankrack.exceptions import BankrackError
from bankrack.exceptions import NodeDraining
from bankrack.exceptions import NodeStopped

SHUTDOWN_RETRY_SECONDS = 0.02
"""``Retry-After`` of a stopping node, as another node can serve the request at once."""


class EndableRequest:
    """One request, served by the current task."""

    __slots__ = ("_is_ended", "_task")

    def __init__(self) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._task = task
        self._is_ended = False

    def end(self) -> None:
        """End the serving because the node stops.

        The task is cancelled directly: a time-out would let it run, and perhaps send
        the request, before it is cancelled.
        """
        if not self._is_ended:
            self._is_ended = True
            self._task.cancel()

    def take_error(self, *, may_have_run: bool) -> BankrackError | None:
        """Return the error if a cancellation of the task is due to the node's stop.

        The cancellation then counts as handled.

        :param may_have_run: an upstream has the request, or had it and did not reject
            it.
        """
        if not self._is_ended or self._task.uncancel() > 0:
            return None
        if may_have_run:
            return NodeStopped(
                "the node stopped before the response was complete; the request may "
                "have run"
            )
        return draining()


class EndableRequests:
    """The requests of a node that its stop can end."""

    def __init__(self) -> None:
        self._requests: set[EndableRequest] = set()

    @contextlib.contextmanager
    def serving(self) -> t.Iterator[EndableRequest]:
        """Hold the request of the current task while the context is active."""
        request = EndableRequest()
        self._requests.add(request)
        try:
            yield request
        finally:
            self._requests.discard(request)

    def end_all(self) -> None:
        """End all requests, each with an answer of its own."""
        for request in list(self._requests):
            request.end()


def draining() -> NodeDraining:
    """Return the error of a request that a stopping node does not serve."""
    return NodeDraining(
        "this node is shutting down; retry the request",
        retry_after=SHUTDOWN_RETRY_SECONDS,
    )
