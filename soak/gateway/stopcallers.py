"""Callers that use open connections to gateways until their processes have ended."""

import asyncio
import dataclasses
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
SHORT_DEADLINE_SECONDS = 19.0
SHORT_PREFIX = "short"
MAX_ATTEMPTS = 4
"""Attempts of a caller at an answer."""


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """What a caller asks for, in one attempt or several.

    :param body: the same in each attempt, and no other job's.
    """

    path: str
    key: str
    body: bytes
    is_long: bool


def _draw(rng: random.Random) -> Job:
    is_long = rng.random() < LONG_FRACTION
    path = "talk" if is_long else rng.choice(SHORT_PATHS)
    key = rng.choice((KEY, PRESSING_KEY))
    body = b"%016x" % rng.getrandbits(64) + b"." * rng.randint(*BODY_BYTES)
    return Job(path, key, b"" if path == "look" else body, is_long)


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
        caller = _Caller(self._callers, link)
        try:
            while not self._callers.ended:
                await self._ask(caller, _draw(rng), rng)
                await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_SECONDS))
        finally:
            caller.leave()

    async def _ask(self, caller: "_Caller", job: Job, rng: random.Random) -> None:
        """Ask for an answer; one that is refused returns when it is told.

        Runs that return may wait in the pool's queue for long.
        """
        for _ in range(MAX_ATTEMPTS):
            call = await caller.call(rng.choice(self._callers.gateways), job)
            if call is None or not call.retry_after or self._callers.ended:
                return
            await asyncio.sleep(call.retry_after)


class _Caller:
    """A caller that keeps a connection to each gateway."""

    def __init__(self, callers: Callers, link: Link) -> None:
        self._callers = callers
        self._link = link
        self._kept_by_node: dict[Gateway, Connection] = {}

    def leave(self) -> None:
        """Close all connections."""
        for kept in self._kept_by_node.values():
            kept.close()

    async def call(self, node: Gateway, job: Job) -> Call | None:
        """Send a request; returns ``None`` if no connection could be used."""
        connection = await self._connect(node)
        if connection is None:
            return None
        prefix = LONG_PREFIX if job.is_long else SHORT_PREFIX
        call = self._callers.begin(job.path, node, key=job.key, prefix=prefix)
        call.deadline = LONG_DEADLINE_SECONDS if job.is_long else SHORT_DEADLINE_SECONDS
        call.trip = self._link.trip
        if await self._exchange(call, connection, job):
            self._kept_by_node[node] = connection
        else:
            connection.close()
        return call

    async def _connect(self, node: Gateway) -> Connection | None:
        """Return the kept connection, or a new one if there is none.

        A balancer sends no new connection to a gateway that got SIGTERM long ago.
        """
        kept = self._kept_by_node.pop(node, None)
        if kept is not None and kept.is_open:
            return kept
        if kept is not None:
            kept.close()
        if self._callers.is_late(node):
            return None
        return await connect(node.front, self._link)

    async def _exchange(self, call: Call, connection: Connection, job: Job) -> bool:
        """Send a request and receive its response.

        :return: whether the connection can be used again.
        """
        try:
            call.whole_at = await connection.send(_request(call, job.body))
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
