"""Callers that use open connections to gateways until their processes have ended."""

import asyncio
import random
import time

from soak.gateway.callers import Call
from soak.gateway.callers import Callers
from soak.gateway.callers import CROSS_SECONDS
from soak.gateway.callers import KEY
from soak.gateway.callers import PRESSING_KEY
from soak.gateway.fakes import event_count
from soak.gateway.fakes import LONG_PREFIX
from soak.gateway.lines import connect
from soak.gateway.lines import Connection
from soak.gateway.lines import Link
from soak.gateway.processes import Gateway

DIRECT_CALLERS = 20
SLOW_CALLERS = 10
"""Callers behind slow links."""
DELAY_SECONDS = (0.02, 0.15)
RATE_BYTES_PER_SECOND = (20_000, 200_000)
BODY_BYTES = (10, 12_000)
MEAN_PAUSE_SECONDS = 0.15
LONG_FRACTION = 0.5
"""Fraction of the requests that ask for streams that outlast a grace period."""
SHORT_PATHS = ("talk", "talk", "bill", "look")
PROMPT_TOKENS = 9000
"""Tokens of each prompt; an engine has room for three such runs."""
LONG_DEADLINE_SECONDS = 25.0
SHORT_DEADLINE_SECONDS = 18.0
SHORT_PREFIX = "short"


class StoppingCallers:
    """Sends requests over kept connections until the soak's callers have ended.

    :param callers: their calls include those of these callers.
    """

    def __init__(self, callers: Callers) -> None:
        self._callers = callers

    async def run(self, rng: random.Random) -> None:
        """Call from all kinds of callers until the end."""
        links = [Link()] * DIRECT_CALLERS
        for _ in range(SLOW_CALLERS):
            delay = rng.uniform(*DELAY_SECONDS)
            links.append(Link(delay, rng.uniform(*RATE_BYTES_PER_SECOND)))
        draws = [random.Random(rng.getrandbits(64)) for _ in links]
        await asyncio.gather(*map(self._work, links, draws))

    async def _work(self, link: Link, rng: random.Random) -> None:
        kept_by_node: dict[Gateway, Connection] = {}
        try:
            while not self._callers.ended:
                node = rng.choice(self._callers.gateways)
                await self._use(node, kept_by_node, link, rng)
                await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_SECONDS))
        finally:
            for kept in kept_by_node.values():
                kept.close()

    async def _use(
        self,
        node: Gateway,
        kept_by_node: dict[Gateway, Connection],
        link: Link,
        rng: random.Random,
    ) -> None:
        """Send one request over the kept connection, or a new one if there is none."""
        kept = kept_by_node.pop(node, None)
        if kept is not None and not kept.is_open:
            kept.close()
            kept = None
        if kept is None and not self._callers.is_late(node):
            kept = await connect(node.front, link)
        if kept is None:
            return
        if await self._call(node, kept, link, rng):
            kept_by_node[node] = kept
        else:
            kept.close()

    async def _call(
        self, node: Gateway, connection: Connection, link: Link, rng: random.Random
    ) -> bool:
        """Send a request; returns whether the connection can be used again."""
        is_long = rng.random() < LONG_FRACTION
        path = "talk" if is_long else rng.choice(SHORT_PATHS)
        key = rng.choice((KEY, PRESSING_KEY))
        prefix = LONG_PREFIX if is_long else SHORT_PREFIX
        body = b"." * rng.randint(*BODY_BYTES) if path != "look" else b""
        call = self._callers.begin(path, node, key=key, prefix=prefix)
        call.deadline = LONG_DEADLINE_SECONDS if is_long else SHORT_DEADLINE_SECONDS
        data = _request(call, body)
        call.trip = link.trip
        try:
            call.whole_at = await connection.send(data)
            async with asyncio.timeout(call.deadline + call.trip):
                return await _receive(connection.received, call)
        except (asyncio.IncompleteReadError, OSError, TimeoutError):
            self._note_crossed(call)
            return False
        finally:
            call.ended = time.monotonic()

    def _note_crossed(self, call: Call) -> None:
        """Record a call that crossed the close of its connection; it must not run."""
        age = time.monotonic() - call.whole_at
        is_stop = call.node.stop_requested_at or call.node.stopped_at
        if is_stop and not call.status and age < CROSS_SECONDS + call.trip:
            call.connected = False
            self._callers.crossing.append(call)


def _request(call: Call, body: bytes) -> bytes:
    method = "GET" if call.path == "look" else "POST"
    lines = (
        f"{method} /{call.path}/x HTTP/1.1",
        "Host: h.example",
        f"Bankrack-Request-Id: {call.request}",
        f"Bankrack-Deadline-Ms: {round(call.deadline * 1000)}",
        f"Bankrack-Key: {call.key}",
        f"Bankrack-Token-Usage: {PROMPT_TOKENS},{event_count(call.request)}",
        f"Bankrack-Prompt-Prefix: common:400,{call.request}:300",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*lines, "", "")).encode() + body


async def _receive(reader: asyncio.StreamReader, call: Call) -> bool:
    """Receive a response; returns whether the connection stays open behind it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    value_by_name = {name.lower(): value.strip() for name, _, value in fields}
    call.status = int(first.split()[1])
    call.retry_after = float(value_by_name.get("retry-after", 0.0))
    if "content-length" in value_by_name:
        call.body = await reader.readexactly(int(value_by_name["content-length"]))
    else:
        await _receive_chunks(reader, call)
    call.complete = True
    return value_by_name.get("connection", "").lower() != "close"


async def _receive_chunks(reader: asyncio.StreamReader, call: Call) -> None:
    while size := int(await reader.readuntil(b"\r\n"), 16):
        call.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
