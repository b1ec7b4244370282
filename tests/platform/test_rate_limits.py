"""Upstreams that limit the requests per second from all nodes together.

Nodes must keep the limit jointly: if each kept it by itself, the upstream would get a
multiple of it.
"""

import asyncio
import contextlib
import typing as t

from soak.gateway.lag import LagMonitor

from bankrack.clock import boottime
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import FakeServer
from tests.platform.fakes import ReceivedResponse

WINDOW_SECONDS = 4.0
"""Length of the sliding window in which arrivals are counted."""


def max_arrivals_in_window(server: FakeServer, *, since: float) -> int:
    """Return the most arrivals in any window that begins after ``since``.

    :param since: boot-time seconds.
    """
    moments = [arrival.at for arrival in server.arrivals if arrival.at >= since]
    return max(
        (sum(at <= m < at + WINDOW_SECONDS for m in moments) for at in moments),
        default=0,
    )


def allowed_arrivals(rate: float) -> float:
    """Return the arrivals that are allowed in a window at a limit of ``rate``."""
    return 1.5 * rate * WINDOW_SECONDS + 5


async def start_fleet(deployment: Deployment, count: int) -> list[Gateway]:
    """Start gateways and wait until all know each other."""
    gateways = [await deployment.start_ready_gateway(f"n-{n}") for n in range(count)]
    await until(lambda: all(len(g.view.members_by_name) == count for g in gateways))
    return gateways


async def send_load(
    gateways: t.Sequence[Gateway],
    path: str,
    *,
    per_second: float,
    seconds: float,
    deadline_ms: int = 3000,
) -> list[ReceivedResponse]:
    """Send requests to the gateways in turn without waiting for responses."""
    calls = []
    for n in range(int(per_second * seconds)):
        front = gateways[n % len(gateways)].settings.front
        headers = {
            "Bankrack-Request-Id": f"r-{n}",
            "Bankrack-Deadline-Ms": str(deadline_ms),
        }
        calls.append(asyncio.create_task(call(front, path, headers=headers)))
        await asyncio.sleep(1.0 / per_second)
    return await asyncio.gather(*calls)


@contextlib.asynccontextmanager
async def limited_server(
    limit: str, *, seconds: float = 1.0
) -> t.AsyncIterator[tuple[list[Gateway], FakeServer]]:
    """Run three gateways and a plain server whose limit they know."""
    async with running() as deployment:
        gateways = await start_fleet(deployment, 3)
        limited = deployment.plain[0]
        limited.limit = limit
        await send_load(gateways, "/bill/x", per_second=20, seconds=seconds)
        yield gateways, limited


class Fleet(TestCase):
    async def _check_limit_across_nodes(self, path: str, servers: str) -> None:
        monitor = LagMonitor()
        async with running() as deployment:
            asyncio.create_task(monitor.watch())
            gateways = await start_fleet(deployment, 3)
            await send_load(gateways, path, per_second=20, seconds=1.0)
            limited = max(getattr(deployment, servers), key=lambda s: len(s.arrivals))
            limited.limit = "2"
            await send_load(gateways, path, per_second=20, seconds=1.0)
            since = boottime()
            responses = await send_load(gateways, path, per_second=20, seconds=5.0)
            self.assertEqual({200}, {f.status for f in responses}, str(monitor))
            self.assertLessEqual(
                max_arrivals_in_window(limited, since=since), allowed_arrivals(2)
            )

    async def test_all_nodes_together_keep_the_limit_for_requests(self):
        await self._check_limit_across_nodes("/bill/x", "plain")

    async def test_all_nodes_together_keep_the_limit_for_streams(self):
        await self._check_limit_across_nodes("/talk/x", "engines")


class Utilization(TestCase):
    async def test_limited_server_is_used_up_to_its_limit(self):
        async with limited_server("4") as (gateways, limited):
            since = boottime()
            await send_load(gateways, "/bill/x", per_second=20, seconds=4.0)
            served = sum(arrival.at >= since for arrival in limited.arrivals)
            self.assertGreaterEqual(served, 0.8 * 4 * 4.0)

    async def test_server_is_used_without_limit_soon_after_the_limit_ended(self):
        async with limited_server("2", seconds=2.0) as (gateways, limited):
            limited.limit = ""
            await send_load(gateways, "/bill/x", per_second=20, seconds=2.0)
            known = [g.upstreams.by_id[limited.id] for g in gateways]
            self.assertEqual([False] * 3, [u.limit.bounded for u in known])
            since = boottime()
            responses = await send_load(gateways, "/bill/x", per_second=60, seconds=1.0)
            arrived = sum(a.at >= since for a in limited.arrivals)
            self.assertGreater(arrived, len(responses) / 4)

    async def test_excess_is_refused_at_once_while_all_upstreams_are_limited(self):
        """Callers have time for delays that differ in more than their two decimals."""
        config = configuration(2)
        for route in config["routes"]:
            route["timeoutMs"] = 20_000
        for path, servers in (("/bill/x", "plain"), ("/talk/x", "engines")):
            async with running() as deployment:
                deployment.store.put("op/config", config)
                gateways = await start_fleet(deployment, 2)
                limited = getattr(deployment, servers)
                for server in limited:
                    server.limit = "1"
                await send_load(gateways, path, per_second=20, seconds=1.0)
                since = boottime()
                responses = await send_load(
                    gateways, path, per_second=20, seconds=3.0, deadline_ms=20_000
                )
                self.assertLess(boottime() - since, 3.6)
                for server in limited:
                    self.assertLessEqual(
                        max_arrivals_in_window(server, since=since), allowed_arrivals(1)
                    )
                refused = [f for f in responses if f.status != 200]
                self.assertGreater(len(responses) - len(refused), 2)
                self.assertEqual({503}, {f.status for f in refused})
                retry_after_values = {f.headers["Retry-After"] for f in refused}
                self.assertGreater(len(retry_after_values), len(refused) / 2)

    async def test_malformed_limits_do_not_stop_the_use_of_a_server(self):
        async with running() as deployment:
            gateways = await start_fleet(deployment, 1)
            for value in ("-1", "", "two", "inf", "nan", "1e9", "1,8", "0"):
                deployment.plain[0].limit = value
                responses = await send_load(
                    gateways, "/bill/x", per_second=50, seconds=0.3
                )
                self.assertEqual({200}, {f.status for f in responses})
            deployment.plain[0].limit = ""
            known = gateways[0].upstreams.by_id[deployment.plain[0].id]
            self.assertLessEqual(known.rate_limited_until, boottime() + 11.0)


class Starts(TestCase):
    async def test_nodes_without_members_do_not_grant_permits_separately(self):
        """As after a restart of all nodes while the store is unavailable."""
        async with limited_server("2") as (gateways, limited):
            for gateway in gateways:
                gateway.view.members_by_name.clear()
                gateway.rate_limits.coordinators.note_members()
            since = boottime()
            responses = await send_load(gateways, "/bill/x", per_second=20, seconds=2.0)
            self.assertEqual({200}, {f.status for f in responses})
            self.assertEqual(0, sum(a.at > since + 0.1 for a in limited.arrivals))


class Failures(TestCase):
    async def test_limit_is_kept_after_the_coordinator_crashed(self):
        async with limited_server("2") as (gateways, limited):
            since = boottime()
            load_task = asyncio.create_task(
                send_load(gateways, "/bill/x", per_second=20, seconds=5.0)
            )
            await asyncio.sleep(1.0)
            first = gateways[0].rate_limits.coordinators.candidates(limited.id)[0].name
            [coordinator] = [g for g in gateways if g.settings.name == first]
            for runner in coordinator._runners:
                await runner.cleanup()
            responses = await load_task
            self.assertEqual({200}, {f.status for f in responses})
            self.assertLessEqual(
                max_arrivals_in_window(limited, since=since), allowed_arrivals(2)
            )
            later = sum(a.at >= since + 2.0 for a in limited.arrivals)
            self.assertGreater(later, 0)

    async def test_stream_resumes_from_a_copy_on_a_limited_engine(self):
        async with running() as deployment:
            [gateway] = await start_fleet(deployment, 1)
            for engine in deployment.engines:
                engine.limit = "2"
                engine.cut_after = 2

            async def stop_cutting(request: t.Any) -> None:
                if "Kv-From" in request.headers:
                    for engine in deployment.engines:
                        engine.cut_after = -1

            for engine in deployment.engines:
                engine.custom_handler = stop_cutting
            response = await call(gateway.settings.front, "/talk/x")
            self.assertEqual((200, True), (response.status, response.complete))
            self.assertEqual(2, len(deployment.arrivals()))
