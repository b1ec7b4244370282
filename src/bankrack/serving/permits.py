"""What stands between a send and an upstream that named a rate limit."""

import typing as t

from bankrack.serving.upstreams import Upstream


class Permits(t.Protocol):
    """Shares the rate that an upstream named with the other nodes."""

    async def take(self, upstream: Upstream, *, rank: int) -> float:
        """Take the permit for a send that is made now.

        :param rank: of the request; the smallest goes first.
        :return: 0 where it is granted, else seconds for which to ask no more.
        """
        ...
