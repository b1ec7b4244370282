"""Real gateways while the load balancer hands most new connections to one of them.

What a node reads it must serve; a connection that it refuses or closes unread costs its
caller little, as the next attempt meets another node.
"""

import asyncio
import contextlib
import dataclasses
import time

from tests.base import TestCase
from tests.gatewayprocesses import running_gateways

GATEWAYS = 2
SERVERS = 3
SERVICE_SECONDS = 0.02
USUAL_RATE = 40.0
"""New connections a second of each gateway before the flood."""
FLOOD_RATE = 1500.0
"""New connections a second of the gateway that gets most of them."""
PERIOD_SECONDS = 3.0
CALLER_SECONDS = 1.0
MIN_SERVED_SHARE = 0.75
"""Share of the read requests that must be served, as a fraction of that before."""
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nBankrack-Response-Seal: s\r\nContent-Length: 5\r\n"
    b"Connection: close\r\n\r\nwhole"
)


@dataclasses.dataclass(slots=True)
class Attempts:
    """Outcomes of the requests of one period.

    :ivar unread: closed or refused before a response.
    :ivar failed: without a whole response in time.
    """

    served: int = 0
    unread: int = 0
    failed: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that a node read."""
        return self.served / max(1, self.served + self.failed)


async def serve_upstream(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer one request after the usual time."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(SERVICE_SECONDS)
        writer.write(RESPONSE)
        await writer.drain()
        writer.close()


async def attempt(address: str, number: int, attempts: Attempts) -> None:
    """Send one request over a new connection."""
    host, _, port = address.partition(":")
    head = (
        f"GET /look/{number} HTTP/1.1\r\nHost: h.example\r\n"
        f"Bankrack-Request-Id: r-{number}\r\nBankrack-Key: key-1\r\n"
        f"Bankrack-Deadline-Ms: {int(CALLER_SECONDS * 1000)}\r\n\r\n"
    )
    received = b""
    try:
        async with asyncio.timeout(CALLER_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode())
                received = await reader.readuntil(b"whole")
            finally:
                writer.transport.abort()
    except TimeoutError:
        attempts.failed += 1
        return
    except (OSError, asyncio.IncompleteReadError) as error:
        received = getattr(error, "partial", b"")
    if received.startswith(b"HTTP/1.1 200") and received.endswith(b"whole"):
        attempts.served += 1
    elif received:
        attempts.failed += 1
    else:
        attempts.unread += 1


async def press(address: str, rate: float, seconds: float) -> Attempts:
    """Open new connections at a rate, each with one request."""
    attempts = Attempts()
    began = time.monotonic()
    calls = set()
    number = 0
    while (elapsed := time.monotonic() - began) < seconds:
        while number < elapsed * rate:
            number += 1
            call = asyncio.create_task(attempt(address, number, attempts))
            calls.add(call)
            call.add_done_callback(calls.discard)
        await asyncio.sleep(0.002)
    await asyncio.gather(*calls)
    return attempts


class ConnectionFloods(TestCase):
    async def test_flooded_gateway_serves_what_it_reads(self):
        async with running_gateways(
            GATEWAYS, serve_upstream, upstreams=SERVERS
        ) as gateways:
            await asyncio.sleep(1.0)
            usual = await press(gateways[0].front, USUAL_RATE, PERIOD_SECONDS)
            for flooded in gateways:
                flood = await press(flooded.front, FLOOD_RATE, PERIOD_SECONDS)
                self.assertGreater(flood.served, usual.served)
                self.assertGreaterEqual(
                    flood.served_share, MIN_SERVED_SHARE * usual.served_share
                )
            after = await press(gateways[0].front, USUAL_RATE, PERIOD_SECONDS)
            self.assertGreater(after.served_share, MIN_SERVED_SHARE)
