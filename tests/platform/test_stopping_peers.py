"""Streams through tunnels of nodes that stop."""

import asyncio
import contextlib
import re
import typing as t

from bankrack import gateway as gateway_module
from bankrack.fleet.tunnelserver import ACTIVE_SECONDS
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import ReceivedResponse
from tests.platform.partitions import Partition
from tests.platform.partitions import start_gateway
from tests.platform.test_broken_off import line_of

NODES = 3
EVENTS = 40
PAUSE_SECONDS = 0.02
SILENCE_SECONDS = 1.5 + ACTIVE_SECONDS


class Site(t.NamedTuple):
    """A node that reaches the engines through tunnels of a peer only.

    :ivar owner: a node that owns the pools, so that these two ask no engine for its
        load; it opens no tunnel at first.
    """

    deployment: Deployment
    node: Gateway
    peer: Gateway
    owner: Gateway


def configuration_without_backups(*, copies: bool) -> dict[str, t.Any]:
    """Return a configuration in which no silent engine is asked for its runs.

    :param copies: engines copy a run when they are asked to.
    """
    found = configuration()
    for service in found["services"]:
        if "engine" in service:
            service["engine"] |= {"moves": copies, "backups": False}
    return found


@contextlib.asynccontextmanager
async def tunnelled_site(
    *, grace: float = 8.0, copies: bool = False
) -> t.AsyncIterator[Site]:
    async with running(configured=False) as deployment:
        deployment.store.put("op/config", configuration_without_backups(copies=copies))
        partition = Partition()
        with partition.installed():
            gateways = [
                await start_gateway(deployment, f"n-{n}", grace=grace)
                for n in range(NODES)
            ]
            await until(
                lambda: all(len(g.view.members_by_name) == NODES for g in gateways)
            )
            gateways.sort(key=lambda gateway: gateway.owners.owns_first_pool)
            node, peer, owner = gateways
            owner.tunnels.stopping = True
            partition.addresses = {engine.address for engine in deployment.engines}
            partition.refuses = True
            partition.vms = {node.settings.name}
            yield Site(deployment, node, peer, owner)


async def fall_silent(engines: list[FakeEngine]) -> None:
    """Let engines send nothing for a while once."""
    for engine in engines:
        engine.pause = SILENCE_SECONDS
    await asyncio.sleep(5 * PAUSE_SECONDS)
    for engine in engines:
        engine.pause = PAUSE_SECONDS


async def begin_stream(site: Site) -> "asyncio.Task[ReceivedResponse]":
    """Send a request, and wait until an engine has it."""
    for engine in site.deployment.engines:
        engine.events, engine.pause = EVENTS, PAUSE_SECONDS
    headers = {"Bankrack-Deadline-Ms": "20000"}
    stream = asyncio.create_task(
        call(site.node.settings.front, "/talk/x", headers=headers)
    )
    await until(lambda: len(site.deployment.arrivals()) == 1)
    return stream


class TunnelledStreams(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.1)

    def check_whole(self, response: ReceivedResponse) -> None:
        self.assertTrue(response.complete)
        tokens = [int(number) for number in re.findall(rb"token(\d+)", response.body)]
        self.assertEqual(list(range(EVENTS)), tokens)

    async def test_stream_is_lost_as_a_tunnel_of_a_silent_engine_counts_as_idle(self):
        async with tunnelled_site() as site:
            stream = await begin_stream(site)
            await fall_silent(site.deployment.engines)
            await site.peer.stop("test")
            response = await stream
        self.check_whole(response)

    async def test_stream_without_a_copy_is_lost_as_its_tunnel_s_node_ends(self):
        async with tunnelled_site(grace=1.0, copies=True) as site:
            stream = await begin_stream(site)
            site.owner.tunnels.stopping = False
            await site.peer.stop("test")
            response = await stream
        self.check_whole(response)

    async def test_stream_of_engines_that_copy_no_run_is_lost_as_its_tunnel_s_node_ends(
        self,
    ):
        async with tunnelled_site(grace=1.0) as site:
            stream = await begin_stream(site)
            site.owner.tunnels.stopping = False
            await site.peer.stop("test")
            response = await stream
        self.check_whole(response)

    async def test_node_that_no_stream_leads_through_tells_all_of_its_stop(self):
        """Guards against a message to each of hundreds of nodes at every stop."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway(grace=1.0)
            with self.assertLogs("bankrack", "INFO") as found:
                await gateway.stop("test")
        self.assertNotIn("event=stop_told", "".join(found.output))

    async def test_break_of_a_tunnel_is_ascribed_to_the_upstream_alone(self):
        async with tunnelled_site(grace=1.0) as site:
            with self.assertLogs("bankrack", "INFO") as found:
                stream = await begin_stream(site)
                await site.peer.stop("test")
                self.assertFalse((await stream).complete)
        line = line_of(found.output, "request_ended")
        self.assertIn(f" tunnel={site.peer.settings.name} ", line)

    async def test_stream_that_needs_no_tunnel_is_ascribed_to_one(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            with self.assertLogs("bankrack", "INFO") as found:
                await call(gateway.settings.front, "/talk/x")
        self.assertNotIn(" tunnel=", line_of(found.output, "request_ended"))
