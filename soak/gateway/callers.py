"""Callers in the platform's dialect that check what they get."""

import asyncio
import dataclasses
import itertools
import random
import time
import typing as t

import aiohttp

from soak.gateway.processes import Gateway
from soak.gateway.world import answer_to
from soak.gateway.world import event_of
from soak.gateway.world import events_of
from soak.gateway.world import POISON

KINDS = ("look", "look", "bill", "bill", "talk")
PATIENCE_SECONDS = 6.0
PAUSE_SECONDS = 0.08
POISON_PAUSE_SECONDS = 0.4
LEAVES_SHARE = 0.03
"""Part of the callers that hang up in the middle of an answer."""
DAWDLES_SHARE = 0.03
DAWDLE_SECONDS = (0.5, 3.0)
"""Some callers read nothing for so long once their answer began."""
KEY = "key-1"


@dataclasses.dataclass(slots=True)
class Call:
    """One request and its end, as its caller saw it.

    :param path: ``look`` may be repeated, ``bill`` not, ``talk`` is a stream.
    :param status: of the answer; 0 where there was none.
    :param leaves: its caller hung up before the end.
    """

    request: str
    path: str
    node: Gateway
    sent: float
    calm: bool
    key: str = KEY
    status: int = 0
    whole: bool = False
    body: bytes = b""
    ended: float = 0.0
    connected: bool = True
    leaves: bool = False

    def spoiled(self) -> str:
        """Say what is wrong with a success; empty when nothing is."""
        if self.status != 200:
            return ""
        if self.path == "talk":
            return self._spoiled_stream()
        if self.whole and self.body != answer_to(self.request):
            return f"a whole answer holds {self.body[:60]!r}"
        return ""

    def _spoiled_stream(self) -> str:
        count = events_of(self.request)
        right = b"".join(event_of(self.request, n) for n in range(count))
        if self.whole and self.body != right:
            return f"a whole stream of {len(self.body)} bytes, {len(right)} are right"
        if not right.startswith(self.body):
            return "the stream has a piece twice, lacks one or has another's"
        return ""


class Callers:
    """Sends requests to all gateways until told to end."""

    def __init__(self, gateways: list[Gateway], chance: random.Random) -> None:
        self.calls: list[Call] = []
        self.paths: list[str] = []
        self.ended = False
        self.calm: t.Callable[[Gateway], bool] = lambda gateway: True
        self._gateways = gateways
        self._chance = chance
        self._numbers = itertools.count()

    async def run(self, workers: int) -> None:
        """Send until told that the soak ended."""
        await asyncio.gather(*(self._work() for _ in range(workers)))

    async def poison(self) -> None:
        """Send what ends engines, now and then, until told that the soak ended."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_SECONDS + 2, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.ended:
                await self.call(session, "talk", body=POISON)
                await asyncio.sleep(POISON_PAUSE_SECONDS)

    async def _work(self) -> None:
        timeout = aiohttp.ClientTimeout(total=PATIENCE_SECONDS + 2, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.ended:
                path = self._chance.choice([*KINDS, *self.paths])
                await self.call(session, path)
                await asyncio.sleep(self._chance.expovariate(1 / PAUSE_SECONDS))

    async def call(
        self, session: aiohttp.ClientSession, path: str, *, body: bytes | None = None
    ) -> Call:
        """Send one request to a gateway that was not told to stop."""
        open_to_calls = [g for g in self._gateways if self._takes_calls(g)]
        node = self._chance.choice(open_to_calls or self._gateways)
        request = f"q{next(self._numbers)}"
        call = Call(request, path, node, time.monotonic(), self.calm(node))
        self.calls.append(call)
        headers = {
            "Host": "h.example",
            "Bankrack-Request-Id": request,
            "Bankrack-Deadline-Ms": str(int(PATIENCE_SECONDS * 1000)),
            "Bankrack-Key": call.key,
            "Bankrack-Token-Usage": "1000,200",
            "Kv-From": "127.0.0.1:1/stolen",
        }
        url = f"http://{node.front}/{path}/x"
        method = "GET" if path == "look" else "POST"
        sending = session.request(method, url, headers=headers, data=body)
        try:
            async with sending as response:
                call.status = response.status
                await self._read(call, response)
        except aiohttp.ClientConnectorError:
            call.connected = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # The call stays cut; the judge says whether that was allowed.
        call.ended = time.monotonic()
        return call

    def _takes_calls(self, gateway: Gateway) -> bool:
        """Callers go on for a while after SIGTERM, as the balancer needs to see."""
        asked = gateway.stop_asked
        return not asked or time.monotonic() < asked + 2.0

    async def _read(self, call: Call, response: aiohttp.ClientResponse) -> None:
        call.leaves = self._chance.random() < LEAVES_SHARE
        if self._chance.random() < DAWDLES_SHARE:
            await asyncio.sleep(self._chance.uniform(*DAWDLE_SECONDS))
        async for part in response.content.iter_any():
            call.body += part
            if call.leaves:
                response.close()
                call.calm = False
                return
        call.whole = True
