"""Account of all bytes that a node holds for its callers and upstreams."""

import typing as t

from bankrack.decisions.buffers import limits_of
from bankrack.decisions.buffers import upstream_limit
from bankrack.front.requestbodies import RequestBodies
from bankrack.front.unreadreplies import UnreadReplies
from bankrack.metrics import GatewayMetrics
from bankrack.serving.bufferedresponses import BufferedResponses
from bankrack.serving.routing import CallerLimits
from bankrack.serving.sending import BodiesInFlight


class HeldBytes:
    """Unread replies, bodies of requests and responses, and bodies in flight.

    :param memory_mb: memory of the process; 0 if unknown, which sets no bounds.
    :param caller_limits: returns the current limits of requests.
    """

    def __init__(
        self,
        memory_mb: float,
        metrics: GatewayMetrics,
        caller_limits: t.Callable[[], CallerLimits],
    ) -> None:
        limits = limits_of(memory_mb)
        self.replies = UnreadReplies(
            limits, note_cut=lambda reason: metrics.cuts.inc({"reason": reason})
        )
        self.bodies = RequestBodies(limits)
        self.responses = BufferedResponses(limits.replies)
        self.in_flight = BodiesInFlight(
            lambda: upstream_limit(limits, caller_limits().body_bytes)
        )

    def describe(self) -> dict[str, t.Any]:
        """Return the account for the state dump."""
        return {
            "unread_bytes": self.replies.held,
            "slow_callers": self.replies.describe(),
            "body_bytes": self.bodies.held,
            "in_flight_bytes": self.in_flight.describe(),
            "response_bytes": self.responses.held,
        }
