"""Real gateways that are ready although they take no new connections.

The load balancer sends callers to a node as long as it says that it is ready, and a
caller whose connection is neither served nor closed waits there.
"""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
from soak.gateway.buggy import ACCEPTING_SECONDS
from soak.gateway.processes import Gateway

from bankrack.wire.tunnels import encode_request
from bankrack.wire.tunnels import END_OF_HEAD
from tests.base import TestCase
from tests.gatewayprocesses import running_gateways

DESCRIPTORS = 256
IDLE_CALLERS = 200
TUNNELS = 125
"""Each takes two descriptors of the node that opens it."""
NEW_CALLERS = 7
NEW_CALLER_INTERVAL_SECONDS = 0.6
CONNECTION_SECONDS = 1.0
"""Time in which a caller whose connection is not served has to learn of it."""
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nBankrack-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwhole"
)


@dataclasses.dataclass(slots=True)
class Outcomes:
    """What became of new callers while a node said that it is ready.

    :ivar silent: neither served nor closed in time.
    :ivar unready: callers that came while the node was not ready; these do not count.
    """

    served: int = 0
    closed: int = 0
    silent: int = 0
    unready: int = 0


async def serve_upstream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request at once."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(RESPONSE)
            await writer.drain()


def request(path: str) -> bytes:
    """Return a caller's request for a path below ``/look/``."""
    return (
        f"GET /look/{path} HTTP/1.1\r\nHost: h.example\r\n"
        f"Bankrack-Request-Id: {path}-{time.monotonic_ns()}\r\nBankrack-Key: key-1\r\n"
        "Bankrack-Deadline-Ms: 8000\r\n\r\n"
    ).encode()


async def open_kept(gateway: Gateway, path: str) -> asyncio.StreamWriter:
    """Send a request over a connection that stays open; returns its writer."""
    host, _, port = gateway.front.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request(path))
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"whole")
    return writer


async def open_tunnel(gateway: Gateway, upstream: str) -> asyncio.StreamWriter:
    """Request a tunnel as another node does; returns its writer."""
    host, _, port = gateway.tunnel.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(encode_request(upstream))
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(CONNECTION_SECONDS):
            await reader.readuntil(END_OF_HEAD)
    return writer


async def upstream_address(session: aiohttp.ClientSession, gateway: Gateway) -> str:
    """Return the address of an upstream that a gateway knows."""
    async with session.get(f"http://{gateway.inner}/state") as response:
        state = await response.json()
    return str(state["upstreams"][0]["address"])


async def call_once(gateway: Gateway, outcomes: Outcomes) -> None:
    """Be a new caller, and count what becomes of it."""
    host, _, port = gateway.front.partition(":")
    writer = None
    try:
        async with asyncio.timeout(CONNECTION_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request("new"))
            await reader.readuntil(b"whole")
        outcomes.served += 1
    except TimeoutError:
        outcomes.silent += 1
    except (OSError, asyncio.IncompleteReadError):
        outcomes.closed += 1
    finally:
        if writer is not None:
            writer.transport.abort()


async def observe(gateway: Gateway) -> Outcomes:
    """Send new callers one after the other while the readiness is checked.

    The check keeps its connection, as some load balancers do.
    """
    outcomes = Outcomes()
    async with aiohttp.ClientSession() as session:
        await gateway.is_ready(session)
        for _ in range(NEW_CALLERS):
            calling = asyncio.create_task(call_once(gateway, found := Outcomes()))
            await asyncio.sleep(NEW_CALLER_INTERVAL_SECONDS)
            ready = await gateway.is_ready(session)
            await calling
            if not ready:
                outcomes.unready += 1
                continue
            outcomes.served += found.served
            outcomes.closed += found.closed
            outcomes.silent += found.silent
    return outcomes


class ReadyNodes(TestCase):
    async def test_new_callers_are_served_beside_idle_connections(self):
        """Guards against a ready node that closes all new connections unread because
        idle ones hold the descriptors."""
        async with running_gateways(
            1, serve_upstream, descriptors=DESCRIPTORS
        ) as gateways:
            idle = [await open_kept(gateways[0], "idle") for _ in range(IDLE_CALLERS)]
            outcomes = await observe(gateways[0])
            for writer in idle:
                writer.transport.abort()
        self.assertEqual(Outcomes(served=NEW_CALLERS), outcomes)

    async def test_tunnels_leave_descriptors_for_callers(self):
        """Guards against a ready node whose accepts fail, as tunnels of other nodes
        hold its descriptors."""
        async with (
            running_gateways(1, serve_upstream, descriptors=DESCRIPTORS) as gateways,
            aiohttp.ClientSession() as session,
        ):
            address = await upstream_address(session, gateways[0])
            tunnels = [await open_tunnel(gateways[0], address) for _ in range(TUNNELS)]
            outcomes = await observe(gateways[0])
            for writer in tunnels:
                writer.transport.abort()
        self.assertEqual(Outcomes(served=NEW_CALLERS), outcomes)

    async def test_node_that_accepts_nothing_is_not_ready(self):
        """Guards against readiness that nothing about callers can contradict."""
        async with running_gateways(1, serve_upstream, bug="unaccepting") as gateways:
            await asyncio.sleep(ACCEPTING_SECONDS + 1.0)
            outcomes = await observe(gateways[0])
        self.assertEqual(0, outcomes.silent, outcomes)
