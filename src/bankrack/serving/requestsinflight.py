"""The requests that a node serves, which its stop can end."""

import asyncio
import itertools
import typing as t

from bankrack.exceptions import BankrackError
from bankrack.exceptions import NodeDraining
from bankrack.exceptions import NodeStopped
from bankrack.serving.assignment import Assignment
from bankrack.serving.job import Job

SHUTDOWN_RETRY_SECONDS = 0.02
"""``Retry-After`` of a stopping node, as another node can serve the request at once."""


class RequestInFlight:
    """One request, served by the current task.

    :ivar assignment: ``None`` until the request was admitted.
    """

    __slots__ = ("_is_ended", "_task", "assignment", "job")

    def __init__(self, job: Job) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.job = job
        self.assignment: Assignment | None = None
        self._task = task
        self._is_ended = False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream has the request, or had it and did not reject it."""
        return self.assignment is not None and self.assignment.sends.may_have_run

    def end(self) -> None:
        """End the serving because the node stops.

        The task is cancelled directly: a time-out would let it run, and perhaps send
        the request, before it is cancelled.
        """
        if not self._is_ended:
            self._is_ended = True
            self._task.cancel()

    def take_end(self) -> BankrackError | None:
        """Return the error if a cancellation of the task is due to the node's stop.

        The cancellation then counts as handled.
        """
        if not self._is_ended or self._task.uncancel() > 0:
            return None
        if self.may_have_run:
            return NodeStopped(
                "the node stopped before the response was complete; the request may "
                "have run"
            )
        return draining()


class RequestsInFlight:
    """All requests of a node, the oldest first."""

    def __init__(self) -> None:
        self._by_number: dict[int, RequestInFlight] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> t.Iterator[RequestInFlight]:
        return iter(list(self._by_number.values()))

    def begin(self, job: Job) -> tuple[int, RequestInFlight]:
        """Add a request that the current task serves; returns its number as well."""
        number = next(self._numbers)
        request = self._by_number[number] = RequestInFlight(job)
        return number, request

    def remove(self, number: int) -> None:
        """Remove a request that was served."""
        del self._by_number[number]


def draining() -> NodeDraining:
    """Return the error of a request that a stopping node does not serve."""
    return NodeDraining(
        "this node is shutting down; retry the request",
        retry_after=SHUTDOWN_RETRY_SECONDS,
    )
