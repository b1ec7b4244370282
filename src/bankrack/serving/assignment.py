"""A job with what the configuration says of it."""

import dataclasses
import time

from bankrack.serving.job import Job
from bankrack.serving.routing import Route
from bankrack.serving.routing import Service


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """A job that was let in.

    :param service: where it goes, of the route's backends.
    :param workspace: who calls; none on a public route.
    :param deadline: monotonic seconds at which the final answer is due.
    """

    job: Job
    route: Route
    service: Service
    workspace: str | None
    priority: int
    deadline: float

    def time_left(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - time.monotonic()
