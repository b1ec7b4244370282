"""Whole responses in doubt as the grace period of their node ends."""

import asyncio
import contextlib
import typing as t

from bankrack import gateway as gateway_module
from bankrack.gateway import Gateway
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import ReceivedResponse
from tests.platform.rawservers import RawServer
from tests.platform.rawservers import replace_servers
from tests.platform.rawservers import STREAM

HEADERS = {"Bankrack-Deadline-Ms": "9000"}
PATHS = {"/talk/x": STREAM, "/bill/x": b"whole"}
"""Requests that nothing else can serve, and the responses to them."""


@contextlib.asynccontextmanager
async def _gateway(grace: float, *servers: RawServer) -> t.AsyncIterator[Gateway]:
    """Run a node with routes of 9 s that knows only these servers of a service."""
    service = "engines" if servers[0].bodies[0] == STREAM else "plain"
    async with running(configured=False) as deployment:
        document = configuration()
        for route in document["routes"]:
            route.update(timeoutMs=9000, targetLatencyMs=400)
        deployment.store.put("op/config", document)
        await replace_servers(deployment, service, *servers)
        yield await deployment.start_ready_gateway(grace=grace)
        for server in servers:
            server.stop()


class ResponsesInDoubt(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(gateway_module, "BALANCER_NOTICE_SECONDS", 0.1)

    async def ask(
        self, gateway: Gateway, path: str, *servers: RawServer, stop_after: float
    ) -> ReceivedResponse:
        """Send a request; the node stops some seconds after a server has it."""
        request = asyncio.create_task(
            call(gateway.settings.front, path, headers=HEADERS)
        )
        await until(lambda: any(server.requests for server in servers))
        await asyncio.sleep(stop_after)
        stopping = asyncio.create_task(gateway.stop("test"))
        response = await request
        await stopping
        return response

    async def test_response_is_lost_as_its_node_pauses_between_questions(self):
        """The server answers again 0.6 s before the node ends what it serves."""

        async def check(path: str, body: bytes) -> None:
            server = RawServer(body)
            async with _gateway(1.3, server) as gateway:
                began = asyncio.get_running_loop().time()
                server.resets_until = began + 2.5
                response = await self.ask(gateway, path, server, stop_after=2.35)
            self.assertEqual((200, True), (response.status, response.complete), path)
            self.assertEqual(body, response.body, path)

        await asyncio.gather(*(check(path, body) for path, body in PATHS.items()))

    async def test_response_that_nothing_proves_is_not_delivered_as_complete(self):
        async def check(path: str, body: bytes, status: int) -> None:
            server = RawServer(body)
            async with _gateway(1.3, server) as gateway:
                server.mute = True
                response = await self.ask(gateway, path, server, stop_after=0.2)
            self.assertEqual(status, response.status, path)
            self.assertFalse(response.status == 200 and response.complete, path)

        await asyncio.gather(
            check("/talk/x", STREAM, 200), check("/bill/x", b"whole", 502)
        )

    async def test_repeatable_request_waits_for_a_proof_until_its_node_ends(self):
        """Another server could have served it all the time."""
        servers = [RawServer(b"whole", b"whole"), RawServer(b"whole", b"whole")]
        async with _gateway(2.2, *servers) as gateway:
            for server in servers:
                server.mute = True
            request = asyncio.create_task(
                self.ask(gateway, "/look/x", *servers, stop_after=0.2)
            )
            await until(lambda: any(server.requests for server in servers))
            other = next(server for server in servers if not server.requests)
            other.mute = False
            response = await request
        self.assertEqual((200, b"whole"), (response.status, response.body))
