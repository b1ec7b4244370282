"""The interface for permits to send to upstreams with a rate limit."""

import typing as t

from bankrack.serving.upstreams import Upstream


class Permits(t.Protocol):
    """Shares the rate limits of upstreams with the other nodes."""

    async def take(self, upstream: Upstream, *, rank: int) -> float:
        """Take the permit for a send that is made now.

        :param rank: rank of the request; the lowest goes first.
        :return: 0 if granted, else seconds to wait before asking again.
        """
        ...
