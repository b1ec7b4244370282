"""Upstreams that name the requests a second that they take from all nodes together.

Two of three portal servers named a limit of 2.7 and 1.8 a second in their answers, and
went on getting what they had got before: 8.6 and 5.5 a second, 34 within 4 s where 21
would have been borne.
"""

import asyncio
import typing as t

from bankrack.clock import boottime
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.deployment import World
from tests.platform.world import call
from tests.platform.world import FakeServer
from tests.platform.world import Found

SPAN_SECONDS = 4.0
"""Arrivals are counted over so long, wherever it begins."""


def most_in_a_span(server: FakeServer, *, since: float) -> int:
    """The most arrivals in any span that begins after ``since``, boot-time seconds."""
    moments = [arrival.at for arrival in server.arrivals if arrival.at >= since]
    return max(
        (sum(at <= m < at + SPAN_SECONDS for m in moments) for at in moments), default=0
    )


def bound(rate: float) -> float:
    """Arrivals that are borne in a span."""
    return 1.5 * rate * SPAN_SECONDS + 5


async def fleet(world: World, count: int) -> list[Gateway]:
    """Start gateways that all know each other."""
    gateways = [await world.ready_gateway(f"n-{n}") for n in range(count)]
    await until(lambda: all(len(g.view.members_by_name) == count for g in gateways))
    return gateways


async def press(
    gateways: t.Sequence[Gateway], path: str, *, a_second: float, seconds: float
) -> list[Found]:
    """Send requests to the gateways in turn, whether or not earlier ones are served."""
    calls = []
    for n in range(int(a_second * seconds)):
        front = gateways[n % len(gateways)].settings.front
        headers = {"Bankrack-Request-Id": f"r-{n}"}
        calls.append(asyncio.create_task(call(front, path, headers=headers)))
        await asyncio.sleep(1.0 / a_second)
    return await asyncio.gather(*calls)


class Fleet(TestCase):
    async def _all_keep_to_it(self, path: str, servers: str) -> None:
        async with running() as world:
            gateways = await fleet(world, 3)
            await press(gateways, path, a_second=20, seconds=1.0)
            limited = max(getattr(world, servers), key=lambda s: len(s.arrivals))
            limited.limit = "2"
            await press(gateways, path, a_second=20, seconds=1.0)
            since = boottime()
            found = await press(gateways, path, a_second=20, seconds=5.0)
            self.assertEqual({200}, {f.status for f in found})
            self.assertLessEqual(most_in_a_span(limited, since=since), bound(2))

    async def test_all_nodes_together_keep_to_it_with_requests(self):
        await self._all_keep_to_it("/bill/x", "plain")

    async def test_all_nodes_together_keep_to_it_with_streams(self):
        await self._all_keep_to_it("/talk/x", "engines")
