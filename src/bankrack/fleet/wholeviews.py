"""Sends whole views to nodes that have none, within a bound on memory.

After the loss of most nodes, hundreds request a whole view from the same few seeds.
Each holds a megabyte per thousand upstreams until the node has read it.
"""

import math
import typing as t

from aiohttp import web

from bankrack.clock import boottime

MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Unsent bytes of whole views from which on further requests are refused."""
MAX_UNSENT_SECONDS = 0.3
"""The same bound as the time in which the node's link carries them. Connections of
callers wait behind them; a node that is refused returns before they are sent."""
BYTES_PER_MEGABIT = 125_000
CACHE_SECONDS = 0.2
"""Time for which an encoded view is sent to all nodes that request one."""


class WholeViews:
    """Answers requests for whole views.

    :param encode: returns the encoded view.
    :param count: called with the outcome of each request.
    :param link_mbps: rate of this node's link in Mbit/s; 0 if unknown.
    """

    def __init__(
        self,
        encode: t.Callable[[], bytes],
        count: t.Callable[[str], None],
        *,
        link_mbps: float = 0.0,
    ) -> None:
        carried = link_mbps * BYTES_PER_MEGABIT * MAX_UNSENT_SECONDS
        self._max_unsent = min(MAX_UNSENT_BYTES, carried or math.inf)
        self._encode = encode
        self._count = count
        self._body = b""
        self._expires = 0.0
        self._unsent_bytes = 0

    async def send(self, request: web.Request) -> web.Response:
        """Send the view, unless too many bytes are unsent already.

        A node that is refused asks another seed, and reads the store meanwhile.
        """
        body = self._current_body()
        if self._unsent_bytes and self._unsent_bytes + len(body) > self._max_unsent:
            self._count("whole_view_refused")
            return web.Response(status=503)
        self._count("whole_view_sent")
        response = web.Response(body=body)
        self._unsent_bytes += len(body)
        try:
            await response.prepare(request)
            await response.write_eof()
        finally:
            self._unsent_bytes -= len(body)
        return response

    def _current_body(self) -> bytes:
        now = boottime()
        if now >= self._expires:
            self._body = self._encode()
            self._expires = now + CACHE_SECONDS
        return self._body
