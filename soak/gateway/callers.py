"""Callers in the platform's dialect that verify the responses they receive."""

import asyncio
import dataclasses
import itertools
import math
import random
import time
import typing as t

import aiohttp

from soak.gateway.fakes import event_count
from soak.gateway.fakes import expected_body
from soak.gateway.fakes import expected_event
from soak.gateway.fakes import is_large
from soak.gateway.fakes import POISON
from soak.gateway.fakes import POISON_PART
from soak.gateway.processes import Gateway

PATHS = ("look", "look", "bill", "bill", "talk")
CALL_TIMEOUT_SECONDS = 6.0
MEAN_PAUSE_SECONDS = 0.08
PATIENCE_SECONDS = 2.0
"""Silence after which callers give up a stream, where they do."""
CROSS_SECONDS = 0.2
"""A request that is sent so shortly before the close may cross it unread."""
POISON_INTERVAL_SECONDS = 0.2
FLOOD_CALLS = 600
"""Calls of one flood, each over a connection of its own."""
IDLE_CALLS = 150
"""Calls whose connections stay open, more than half of a gateway's descriptors."""
NEW_CALLS = 7
NEW_CALL_INTERVAL_SECONDS = 0.3
FLOOD_SECONDS = 2.0
FLOOD_PAUSE_SECONDS = 3.0
STREAM_WORKERS = 12
SESSIONS = 20
"""Number of sessions whose prompts share a part."""
DISCONNECT_FRACTION = 0.03
"""Fraction of calls that are disconnected in the middle of a response."""
SLOW_READER_FRACTION = 0.03
"""Fraction of calls that pause before reading the body of the response."""
SLOW_READER_SECONDS = (0.5, 3.0)
VERY_SLOW_READER_SECONDS = (0.5, 6.0)
"""Pauses of callers with large requests."""
MAX_PAUSE_SECONDS = 3.0
"""Longest pause after which a caller must still get its response."""
LARGE_BODY = b"." * 90_000
KEY = "key-1"
PRESSING_KEY = "key-2"
"""Key of the workspace that asks for most of the engines."""
TOKENS = "1000,200"
MODEST_KEY = "key-3"
"""Key of the workspace that asks for a small part of the engines, and is patient."""
LONG_TOKENS = "9000,3000"
"""Tokens of prompt and answer; an engine has room for two such runs."""
PRESSING_CALLERS = 12
MODEST_CALLERS = 2
EARLY_FRACTION = 0.2
"""Fraction of the time they are told after which the pressing callers return."""


@dataclasses.dataclass(slots=True)
class Call:
    """One request and its outcome, as its caller observed it.

    :param path: ``look`` is idempotent, ``bill`` isn't, ``talk`` is a stream.
    :param undisturbed: no fault affected the node when the request was sent.
    :param status: of the response; 0 without a response.
    :param complete: the response was read to its end.
    :param connected: the caller reached the node.
    :param disconnects: the caller disconnected before the end.
    :param gave_up: the caller left a stream as it was silent for too long.
    :param pause: seconds before it read the body.
    :param retry_after: seconds after which it was told to return.
    :param poisonous: it crashes the engines that run it.
    :param whole_at: monotonic time at which its last byte was sent; 0 if not recorded.
    :param trip: seconds from a byte's sending to its arrival and back.
    :param deadline: seconds that its caller waits for the response.
    """

    request: str
    path: str
    node: Gateway
    sent: float
    undisturbed: bool
    key: str = KEY
    status: int = 0
    complete: bool = False
    body: bytes = b""
    ended: float = 0.0
    connected: bool = True
    disconnects: bool = False
    gave_up: bool = False
    pause: float = 0.0
    retry_after: float = 0.0
    poisonous: bool = False
    whole_at: float = 0.0
    trip: float = 0.0
    deadline: float = CALL_TIMEOUT_SECONDS

    @property
    def events(self) -> int:
        """Number of whole events that it received."""
        return self.body.count(b"\n\n")

    def response_error(self) -> str:
        """Describe the error in a successful response; empty if it is correct."""
        if self.status != 200:
            return ""
        if self.path == "talk":
            return self._stream_error()
        if self.complete and self.body != expected_body(self.request):
            return f"complete response has the wrong body {self.body[:60]!r}"
        return ""

    def _stream_error(self) -> str:
        count = event_count(self.request)
        expected = b"".join(expected_event(self.request, n) for n in range(count))
        if self.complete and self.body != expected:
            if expected.startswith(self.body):
                return f"ended as complete after event {self.events} of {count}"
            return (
                f"complete stream has the wrong content: {len(self.body)} bytes, "
                f"expected {len(expected)}"
            )
        if not expected.startswith(self.body):
            return "stream has a duplicate, a missing or a foreign event"
        return ""


@dataclasses.dataclass(slots=True)
class Crowd:
    """New calls of a gateway at which many connections are idle.

    :param ready: it said so at each check.
    """

    node: Gateway
    calls: list[Call] = dataclasses.field(default_factory=list)
    ready: bool = True


class Callers:
    """Sends requests to all gateways until ``ended`` is set.

    :param rng: draws gateways, paths, pauses and the callers' behavior.
    :ivar impatient: callers give up streams that are silent for as long as on the
        platform.
    :ivar until_gone: callers use a gateway's connections until its process has ended.
    :ivar crossing: calls that were sent as their connection was closed; none may run.
    """

    def __init__(self, gateways: list[Gateway], rng: random.Random) -> None:
        self.calls: list[Call] = []
        self.floods: list[list[Call]] = []
        self.crowds: list[Crowd] = []
        self.crossing: list[Call] = []
        self.until_gone = False
        self.impatient = False
        self.paths: list[str] = []
        self.ended = False
        self.undisturbed: t.Callable[[Gateway], bool] = lambda gateway: True
        self.gateways = gateways
        self._rng = rng
        self._numbers = itertools.count()

    async def run(self, workers: int) -> None:
        """Send requests from concurrent workers until the soak has ended."""
        await asyncio.gather(*(self._work() for _ in range(workers)))

    async def stream(self) -> None:
        """Ask for streams alone from more workers, until the soak has ended."""
        await asyncio.gather(*(self._work(("talk",)) for _ in range(STREAM_WORKERS)))

    async def poison(self) -> None:
        """Send requests that crash engines in turn, until the soak has ended.

        One is always the same; no two of the others are, but for a part of the prompt.
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS + 2, sock_connect=1.0
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.ended:
                await self.call(session, "talk", body=POISON, poisonous=True)
                await asyncio.sleep(POISON_INTERVAL_SECONDS)
                await self.call(session, "talk", part=POISON_PART, poisonous=True)
                await asyncio.sleep(POISON_INTERVAL_SECONDS)

    async def flood(self) -> None:
        """Open most new connections at one gateway after the other, until the end."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, sock_connect=1.0)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            while not self.ended:
                await asyncio.sleep(FLOOD_PAUSE_SECONDS)
                node = self._rng.choice(self.gateways)
                calls = []
                for _ in range(FLOOD_CALLS):
                    calling = self.call(session, "look", node=node)
                    calls.append(asyncio.create_task(calling))
                    await asyncio.sleep(FLOOD_SECONDS / FLOOD_CALLS)
                self.floods.append(list(await asyncio.gather(*calls)))

    async def crowd(self) -> None:
        """Keep idle connections at one gateway after the other, and come anew there."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, sock_connect=1.0)
        while not self.ended:
            node = self._rng.choice(self.gateways)
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as idle:
                calling = [
                    self.call(idle, "look", node=node) for _ in range(IDLE_CALLS)
                ]
                await asyncio.gather(*calling)
                self.crowds.append(await self._come_anew(node, timeout))

    async def _come_anew(self, node: Gateway, timeout: aiohttp.ClientTimeout) -> Crowd:
        """Call a gateway over new connections, and check its readiness beside."""
        crowd = Crowd(node)
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as anew:
            for _ in range(NEW_CALLS):
                crowd.calls.append(await self.call(anew, "look", node=node))
                await asyncio.sleep(NEW_CALL_INTERVAL_SECONDS)
                crowd.ready = crowd.ready and await node.is_ready()
        return crowd

    async def press(self) -> None:
        """Ask for more long runs than the engines hold, for two workspaces.

        Most are for one whose callers return earlier than they are told.
        """
        await asyncio.gather(
            *(self._ask(PRESSING_KEY, EARLY_FRACTION) for _ in range(PRESSING_CALLERS)),
            *(self._ask(MODEST_KEY, 1.0) for _ in range(MODEST_CALLERS)),
        )

    async def _ask(self, key: str, patience: float) -> None:
        """Ask for one long run after the other, each until it is served.

        :param patience: fraction of the time that the caller is told for which it waits
            before it asks again.
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS + 2, sock_connect=1.0
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.ended:
                body = b"work %d" % next(self._numbers)
                retry_after = math.inf
                while retry_after and not self.ended:
                    call = await self.call(
                        session, "talk", body=body, key=key, tokens=LONG_TOKENS
                    )
                    retry_after = call.retry_after
                    await asyncio.sleep(patience * retry_after)

    async def _work(self, paths: t.Sequence[str] = ()) -> None:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS + 2, sock_connect=1.0
        )
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not self.ended:
                path = self._rng.choice(paths or [*PATHS, *self.paths])
                await self.call(session, path)
                await asyncio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_SECONDS))

    async def call(
        self,
        session: aiohttp.ClientSession,
        path: str,
        *,
        body: bytes | None = None,
        key: str = KEY,
        tokens: str = TOKENS,
        part: str = "",
        poisonous: bool = False,
        node: Gateway | None = None,
    ) -> Call:
        """Send one request to a gateway that accepts calls, or to a given one.

        :param part: second part of the prompt; by default one that some others have.
        :param poisonous: it crashes engines.
        """
        accepting = [g for g in self.gateways if self.accepts_calls(g)]
        node = node or self._rng.choice(accepting or self.gateways)
        call = self.begin(path, node, key=key)
        call.poisonous = poisonous
        request = call.request
        part = part or f"session{len(self.calls) % SESSIONS}"
        headers = {
            "Host": "h.example",
            "Bankrack-Request-Id": request,
            "Bankrack-Deadline-Ms": str(int(CALL_TIMEOUT_SECONDS * 1000)),
            "Bankrack-Key": call.key,
            "Bankrack-Token-Usage": tokens,
            "Bankrack-Prompt-Prefix": f"common:400,{part}:300,{request}:300",
            "Kv-From": "127.0.0.1:1/stolen",
        }
        if body is None and is_large(request) and path != "look":
            body = LARGE_BODY
        if body is None and path == "talk":
            body = request.encode()
        url = f"http://{node.front}/{path}/x"
        method = "GET" if path == "look" else "POST"
        sending = session.request(method, url, headers=headers, data=body)
        try:
            async with sending as response:
                call.status = response.status
                call.retry_after = float(response.headers.get("Retry-After", 0.0))
                await self._read(call, response)
        except aiohttp.ClientConnectorError:
            call.connected = False
            if self.until_gone and self.is_late(node):
                self.calls.remove(call)  # No connection was open to be used.
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The call stays incomplete; whether it may be is checked later.
            self._note_crossed(call)
        call.ended = time.monotonic()
        return call

    def _note_crossed(self, call: Call) -> None:
        """Record a call on an open connection that crossed the close of a stop."""
        age = time.monotonic() - call.sent
        is_stop = call.node.stop_requested_at and call.undisturbed
        if self.until_gone and is_stop and not call.status and age < CROSS_SECONDS:
            call.connected = False
            self.crossing.append(call)

    def begin(
        self, path: str, node: Gateway, *, key: str = KEY, prefix: str = "q"
    ) -> Call:
        """Record a request that is sent now.

        :param prefix: start of its id.
        """
        request = f"{prefix}{next(self._numbers)}"
        undisturbed = self.undisturbed(node)
        call = Call(request, path, node, time.monotonic(), undisturbed, key)
        self.calls.append(call)
        return call

    def accepts_calls(self, gateway: Gateway) -> bool:
        """Whether callers still use a gateway.

        A load balancer notices a stop with delay, so calls continue for 2 s after
        SIGTERM.
        """
        return self.until_gone or not self.is_late(gateway)

    def is_late(self, gateway: Gateway) -> bool:
        """Whether a gateway was stopped so long ago that it gets no new connections."""
        stopped_at = gateway.stop_requested_at
        return bool(stopped_at) and time.monotonic() >= stopped_at + 2.0

    async def _read(self, call: Call, response: aiohttp.ClientResponse) -> None:
        call.disconnects = self._rng.random() < DISCONNECT_FRACTION
        if is_large(call.request):
            call.pause = self._rng.uniform(*VERY_SLOW_READER_SECONDS)
            call.disconnects |= call.pause > MAX_PAUSE_SECONDS
        elif self._rng.random() < SLOW_READER_FRACTION:
            call.pause = self._rng.uniform(*SLOW_READER_SECONDS)
        await asyncio.sleep(call.pause)
        patience = PATIENCE_SECONDS if self.impatient and call.path == "talk" else None
        while True:
            try:
                async with asyncio.timeout(patience):
                    part = await response.content.readany()
            except TimeoutError:
                call.gave_up, part = True, b""
            else:
                if not part:
                    break
            call.body += part
            if call.disconnects or call.gave_up:
                response.close()
                call.undisturbed = False
                return
        call.complete = True
