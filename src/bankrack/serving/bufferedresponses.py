"""Bounds the bytes of responses that are read whole before they are passed on."""

import contextlib
import math
import typing as t

from bankrack.exceptions import UpstreamFailed

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Bounds one response body."""


class ResponseSize:
    """Bytes of one response that are here.

    :ivar given_up: the response is dropped with its next piece.
    """

    __slots__ = ("bytes", "given_up")

    def __init__(self) -> None:
        self.bytes = 0
        self.given_up = False


class BufferedResponses:
    """The responses that a node reads at the moment.

    An upstream in trouble may send bytes without end.  If all of a service do, many
    such responses are read at once, so that they are bounded together as well: the
    largest one is given up first, as it is the least likely to be of use.

    :param limit: bytes of all responses.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self._limit = limit
        self._sizes: set[ResponseSize] = set()

    @property
    def held(self) -> int:
        """Bytes of all responses that are here."""
        return sum(size.bytes for size in self._sizes)

    @contextlib.contextmanager
    def reading(self) -> t.Iterator[ResponseSize]:
        """Count a response while it is read."""
        size = ResponseSize()
        self._sizes.add(size)
        try:
            yield size
        finally:
            self._sizes.discard(size)

    def add(self, size: ResponseSize, count: int) -> None:
        """Count the next piece of a response.

        Raises :exc:`UpstreamFailed` if the response must be given up.
        """
        size.bytes += count
        if size.bytes > MAX_RESPONSE_BYTES:
            raise UpstreamFailed("the upstream's response is larger than 16 MiB")
        if self.held > self._limit:
            self._largest().given_up = True
        if size.given_up:
            raise UpstreamFailed(
                f"the upstream's response is the largest of those that exceed "
                f"{self._limit:.0f} bytes together; {size.bytes} bytes were read"
            )

    def _largest(self) -> ResponseSize:
        kept = (size for size in self._sizes if not size.given_up)
        return max(kept, key=lambda size: size.bytes, default=ResponseSize())
