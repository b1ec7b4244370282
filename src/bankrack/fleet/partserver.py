"""Sends other nodes the parts of large values that they request."""

import typing as t

import msgspec
from aiohttp import web

from bankrack.clock import boottime
from bankrack.fleet.messages import decode_message
from bankrack.fleet.transferlog import TransferLog
from bankrack.fleet.valueparts import DIGEST_BYTES
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.wholeviews import BYTES_PER_MEGABIT

PARTS_PATH = "/peer/parts"
MAX_RESPONSE_BYTES = 32 * 1024
"""Encoded parts in one response, so that small messages do not wait long behind it."""
MAX_REQUESTED = 1_024
LINK_FRACTION = 0.7
"""Fraction of the node's link that parts may use; the rest is for requests and for the
messages that show that the node lives."""
MAX_BACKLOG_SECONDS = 0.1
"""Time for which parts may be under way on the link before more are refused."""

Digest = t.Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]


class PartsQuery(msgspec.Struct, array_like=True):
    """Requests parts by digest, in order of preference."""

    digests: t.Annotated[list[Digest], msgspec.Meta(max_length=MAX_REQUESTED)]


class PartsResponse(msgspec.Struct, array_like=True):
    """Those of the requested parts that fit, encoded."""

    parts: list[bytes]


class LinkPacer:
    """Estimates when the node's link has carried the parts that were sent.

    :param link_mbps: rate of the link in Mbit/s; 0 if unknown, for no limit.
    """

    def __init__(
        self, link_mbps: float, *, clock: t.Callable[[], float] = boottime
    ) -> None:
        self._rate = link_mbps * BYTES_PER_MEGABIT * LINK_FRACTION
        self._clock = clock
        self._free_at = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether so much is under way that more would only wait."""
        return self._free_at > self._clock() + MAX_BACKLOG_SECONDS

    def note_sent(self, size: int) -> None:
        """Record bytes that were handed to the link."""
        if self._rate:
            self._free_at = max(self._free_at, self._clock()) + size / self._rate


class PartServer:
    """Answers requests for parts, within the rate of this node's link."""

    def __init__(
        self, parts: ValueParts, pacer: LinkPacer, transfers: TransferLog
    ) -> None:
        self._parts = parts
        self._pacer = pacer
        self._transfers = transfers

    async def handle(self, request: web.Request) -> web.Response:
        """Send the requested parts that are here; 503 if the link is busy."""
        query = decode_message(await request.read(), PartsQuery)
        if self._pacer.is_busy:
            return web.Response(status=503)
        found: list[bytes] = []
        size = 0
        for digest in query.digests:
            encoded = self._parts.encoded(digest)
            if encoded is None:
                continue
            size += len(encoded)
            found.append(encoded)
            if size >= MAX_RESPONSE_BYTES:
                break
        self._pacer.note_sent(size)
        self._transfers.note_sent("parts", size, to=request.query.get("from", ""))
        return web.Response(body=msgspec.msgpack.encode(PartsResponse(found)))
