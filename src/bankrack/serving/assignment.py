"""A job together with the configuration that applies to it."""

import dataclasses
import random

from bankrack.clock import boottime
from bankrack.decisions.retryafter import retry_after_seconds
from bankrack.serving.job import Job
from bankrack.serving.routing import Route
from bankrack.serving.routing import Service

MIN_SILENCE_SECONDS = 2.0
"""Lower bound of the time without events after which a caller gives up."""
SILENCE_TARGET_RATIO = 4.0
"""The same time as a multiple of the target latency."""
SILENCE_GAP_RATIO = 8.0
"""The same time as a multiple of the target gap between events."""


@dataclasses.dataclass(slots=True)
class Sends:
    """Attempts to send a job to upstreams.

    :ivar upstreams: ids of the upstreams, in their order.
    :ivar rejected: number of attempts after which the upstream stated that it did not
        run the job.
    :ivar tunnel: node through which the response to the newest attempt comes; ``None``
        if it comes directly, and before its head has come.
    """

    upstreams: list[str] = dataclasses.field(default_factory=list)
    rejected: int = 0
    tunnel: str | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream has the job, or had it and did not reject it."""
        return len(self.upstreams) > self.rejected


@dataclasses.dataclass(slots=True, frozen=True)
class Assignment:
    """An accepted job.

    :param service: target service, one of the route's backends.
    :param workspace: workspace of the caller; ``None`` on a public route.
    :param priority: rank of the workspace.
    :param deadline: boot-time seconds at which the final answer is due.
    :param fingerprint: equal for requests with the same path, caller and body.
    :param parts: traits of the shared parts of the prompt.
    :param sends: attempts to send the job, up to now.
    """

    job: Job
    route: Route
    service: Service
    workspace: str | None
    priority: int
    deadline: float
    fingerprint: str = ""
    parts: tuple[str, ...] = ()
    sends: Sends = dataclasses.field(default_factory=Sends)

    def time_left(self) -> float:
        """Seconds until the final answer is due."""
        return self.deadline - boottime()

    def retry_after(self, backoff_left: float | None) -> float:
        """Seconds after which a caller that is rejected should retry.

        :param backoff_left: seconds until an upstream accepts requests again, if known.
        """
        if backoff_left is None:
            return self.job.retry_after
        return retry_after_seconds(
            backoff_left, left=self.time_left(), draw=random.random()
        )

    @property
    def max_silence(self) -> float:
        """Seconds without an event after which the caller gives up the stream."""
        route = self.route
        return max(
            MIN_SILENCE_SECONDS,
            SILENCE_TARGET_RATIO * route.target_latency,
            SILENCE_GAP_RATIO * route.gap_target,
        )

    def silence_left(self) -> float:
        """Seconds until the caller gives up a stream that has sent no event yet."""
        return self.job.arrived + self.max_silence - boottime()
