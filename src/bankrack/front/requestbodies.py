"""Accounts for the request bodies that a node holds, from their first byte on."""

import logging

from bankrack import logs
from bankrack.clock import boottime
from bankrack.decisions.buffers import Limits
from bankrack.decisions.buffers import may_accept_body
from bankrack.decisions.buffers import Refuse
from bankrack.exceptions import BodiesTooLarge

LOG_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines on refused bodies."""

_logger = logging.getLogger(__name__)


class RequestBodies:
    """All request bodies of a node.

    :ivar held: bytes that are reserved for bodies.
    """

    def __init__(self, limits: Limits) -> None:
        self.held = 0
        self._limit = limits.bodies
        self._logged_at = 0.0
        self._refused = 0

    def reservation(self) -> "BodyReservation":
        """Create the reservation of one request, empty at first."""
        return BodyReservation(self)

    def reserve(self, size: int, *, body: int) -> None:
        """Reserve ``size`` bytes for a body of ``body`` bytes.

        Raises :exc:`BodiesTooLarge` if the node's memory has no room for them.
        """
        others = self.held - (body - size)
        if isinstance(may_accept_body(body, others, self._limit), Refuse):
            self._refused += 1
            raise BodiesTooLarge(
                f"this node holds {self.held} bytes of request bodies and has room for "
                f"{self._limit:.0f}; retry the request"
            )
        self.held += size

    def log_refused(self, request: str, size: int) -> None:
        """Log a refused body, at most one line per interval."""
        now = boottime()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        logs.event(
            _logger,
            "bytes_refused",
            request=request,
            size=size,
            held=self.held,
            limit=self._limit,
            refused=self._refused,
        )
        self._logged_at = now
        self._refused = 0


class BodyReservation:
    """Bytes reserved for the body of one request.

    :ivar size: bytes that are reserved.
    """

    __slots__ = ("_bodies", "size")

    def __init__(self, bodies: RequestBodies) -> None:
        self.size = 0
        self._bodies = bodies

    def extend(self, size: int) -> None:
        """Reserve bytes up to ``size``; raises :exc:`BodiesTooLarge`."""
        if size > self.size:
            self._bodies.reserve(size - self.size, body=size)
            self.size = size

    def release(self) -> None:
        """Return all bytes."""
        self._bodies.held -= self.size
        self.size = 0
