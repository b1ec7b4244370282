"""The rate limit that an upstream announces for the requests of all nodes."""

import dataclasses
import math

LINGER_SECONDS = 0.5
"""A limit ends when a request that was sent this much later is answered without one,
as an overloaded upstream may omit it from some answers."""


@dataclasses.dataclass(slots=True, frozen=True)
class RateLimit:
    """The rate limit in one answer of an upstream, or its absence.

    :param rate: requests per second of all nodes together; infinite without a limit.
    :param sent_at: boot-time seconds at which the answered request was sent.
    :param received_at: boot-time seconds at which the answer arrived.
    """

    rate: float
    sent_at: float
    received_at: float

    @property
    def bounded(self) -> bool:
        """Whether there is a limit."""
        return self.rate < math.inf

    def is_superseded_by(self, other: "RateLimit") -> bool:
        """Whether ``other`` replaces this limit.

        Answers may arrive out of order and on different nodes.  A lower rate is
        accepted unless it is certainly older, a higher one or none only if it is
        certainly newer.  So in doubt the lower rate applies.
        """
        if other.rate < self.rate:
            return other.received_at >= self.sent_at
        if other.rate == self.rate:
            return other.received_at > self.received_at
        linger = 0.0 if other.bounded else LINGER_SECONDS
        return other.sent_at >= self.received_at + linger


UNLIMITED = RateLimit(rate=math.inf, sent_at=-math.inf, received_at=-math.inf)
