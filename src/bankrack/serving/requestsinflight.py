"""The requests that a node serves, which its stop can end."""

import itertools
import typing as t

from bankrack.exceptions import BankrackError
from bankrack.serving.assignment import Assignment
from bankrack.serving.endable import EndableRequest
from bankrack.serving.job import Job


class RequestInFlight(EndableRequest):
    """One request, served by the current task.

    :ivar assignment: ``None`` until the request was admitted.
    """

    __slots__ = ("assignment", "job")

    def __init__(self, job: Job) -> None:
        super().__init__()
        self.job = job
        self.assignment: Assignment | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream has the request, or had it and did not reject it."""
        return self.assignment is not None and self.assignment.sends.may_have_run

    def take_end(self) -> BankrackError | None:
        """Return the error if a cancellation of the task is due to the node's stop."""
        return self.take_error(may_have_run=self.may_have_run)


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
