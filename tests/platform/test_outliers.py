"""Upstreams that fail requests beside a good health check, seen by several nodes."""

import asyncio
import itertools
import typing as t

from aiohttp import web

from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeServer

NODES = 6


async def reset(request: web.BaseRequest) -> web.Response:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def start_fleet(deployment: Deployment) -> list[Gateway]:
    """Add a third plain server, and start gateways that know each other."""
    third = FakeServer("p-3")
    await third.start()
    deployment.plain.append(third)
    deployment.store.put("servers/p-3", third.entry("plain"))
    gateways = [await deployment.start_ready_gateway(f"n-{n}") for n in range(NODES)]
    await until(lambda: all(len(g.view.members_by_name) == NODES for g in gateways))
    return gateways


async def send_load(
    gateways: t.Sequence[Gateway], *, seconds: float, per_second: float = 60.0
) -> list[int]:
    """Send requests to the gateways in turn; returns the statuses of those that can't
    be repeated, three of four.
    """
    calls = []
    paths = itertools.cycle(("/bill/x", "/bill/x", "/look/x", "/bill/x"))
    for n, path in zip(range(int(per_second * seconds)), paths, strict=False):
        front = gateways[n % len(gateways)].settings.front
        headers = {"Bankrack-Request-Id": f"r-{n}"}
        calls.append((path, asyncio.create_task(call(front, path, headers=headers))))
        await asyncio.sleep(1.0 / per_second)
    responses = [(path, await task) for path, task in calls]
    return [response.status for path, response in responses if path == "/bill/x"]


def excluding(gateways: t.Sequence[Gateway], server: FakeServer) -> list[str]:
    """Return the names of the nodes that exclude a server."""
    return [
        g.settings.name
        for g in gateways
        if g.upstreams.by_id[server.id].excluded_until > 0.0
    ]


class ResettingServer(TestCase):
    async def test_few_requests_are_lost_until_all_nodes_exclude_it(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            deployment.plain[0].custom_handler = reset
            statuses = await send_load(gateways, seconds=3.0)
            self.assertEqual(NODES, len(excluding(gateways, deployment.plain[0])))
            self.assertLessEqual(statuses.count(502), 3)
            self.assertEqual({200, 502}, {*statuses, 502})
            state = gateways[0].state()
            self.assertEqual(1.0, state.gauges()["excluded"])
            [failing] = state.describe()["failing"]
            self.assertEqual(deployment.plain[0].id, failing["upstream"])
            self.assertGreaterEqual(len(failing["excluded_by"]), 2)

    async def test_server_is_used_again_once_it_serves(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            failing = deployment.plain[0]
            failing.custom_handler = reset
            await send_load(gateways, seconds=1.0)
            self.assertEqual(NODES, len(excluding(gateways, failing)))
            failing.custom_handler = None
            del failing.arrivals[:]
            statuses = await send_load(gateways, seconds=4.0)
            self.assertEqual({200}, set(statuses))
            self.assertEqual([], excluding(gateways, failing))
            first = [arrival.target for arrival in failing.arrivals[:3]]
            self.assertEqual(["/look/x"] * 3, first)


class HealthyServers(TestCase):
    async def test_one_node_does_not_take_a_server_from_the_others(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            cut_off = gateways[0].upstreams.by_id["p-1"]

            async def reset_first_node(request: web.BaseRequest) -> t.Any:
                # The request ids tell the node, as the load is sent in turn.
                number = int(request.headers["Bankrack-Request-Id"][2:])
                return await reset(request) if number % NODES == 0 else None

            deployment.plain[0].custom_handler = reset_first_node
            await send_load(gateways, seconds=3.0)
            self.assertEqual([], excluding(gateways, deployment.plain[0]))
            self.assertGreater(cut_off.failures + cut_off.failure_rate, 0.0)
            self.assertGreater(len(deployment.plain[0].arrivals), 20)

    async def test_at_most_half_of_the_servers_are_excluded(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            for server in deployment.plain:
                server.custom_handler = reset
            await send_load(gateways, seconds=2.0)
            for gateway in gateways:
                excluded = [s for s in deployment.plain if excluding([gateway], s)]
                self.assertLessEqual(len(excluded), 1)

    async def test_full_servers_are_not_excluded(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment)
            deployment.plain[0].backoff = "0.05"
            await send_load(gateways, seconds=1.0)
            self.assertEqual([], excluding(gateways, deployment.plain[0]))
