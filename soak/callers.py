"""Callers that verify every response."""

import asyncio
import itertools
import json
import random
import time
import typing as t

import aiohttp
from tests.fakes import TOKENS

from bankrack.wire import requestkeys
from soak.results import SoakResults

MAX_RESUMES = 8
CALL_TIMEOUT_SECONDS = 40.0
RESUME_PAUSE_SECONDS = 0.3


class BrokenConnection(t.NamedTuple):
    """A connection that broke, at monotonic time ``at``."""

    node: str
    at: float
    error: str


class StreamProgress:
    """Progress of reading one stream, across connections.

    :param tag: identifies the request; all tokens of its stream begin with it.
    :param length: expected number of tokens.
    """

    def __init__(self, tag: str, length: int) -> None:
        self.tag = tag
        self.length = length
        self.next_number = 0
        self.last_id = ""
        self.done = False
        self.error = ""


class Callers:
    """Sends requests of all kinds to all nodes.

    :param addresses: addresses of the nodes' listeners for callers, by node name.
    """

    def __init__(
        self, addresses: dict[str, str], results: SoakResults, seed: int
    ) -> None:
        self.addresses = addresses
        self.results = results
        self.rng = random.Random(seed)
        self.numbers = itertools.count()
        self.broken_connections: list[BrokenConnection] = []
        self.session: aiohttp.ClientSession | None = None

    async def run(self, until: float, workers: int) -> None:
        """Send requests from concurrent workers until monotonic time ``until``."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS, connect=2.0)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as s:
            self.session = s
            await asyncio.gather(*(self._work(until) for _ in range(workers)))

    async def _work(self, until: float) -> None:
        while time.monotonic() < until:
            kind = self.rng.random()
            if kind < 0.55:
                await self._read_stream()
            elif kind < 0.7:
                await self._send_unstreamed()
            elif kind < 0.9:
                await self._send_keyed()
            else:
                await self._send_plain()
            await asyncio.sleep(self.rng.expovariate(8.0))

    def _random_node(self) -> str:
        return self.rng.choice(sorted(self.addresses))

    def _record_broken(self, node: str, error: Exception) -> None:
        """Record a broken connection, unless it was never established."""
        if isinstance(error, aiohttp.ClientConnectorError):
            return
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            return
        self.broken_connections.append(
            BrokenConnection(node, time.monotonic(), repr(error))
        )

    def _next_tag(self) -> str:
        return f"t{next(self.numbers)}"

    def _headers(self, workspace: str, **extra: str) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {TOKENS[workspace]}"}
        headers.update({name.replace("_", "-"): value for name, value in extra.items()})
        return headers

    async def _read_stream(self) -> None:
        """Read a stream; resume it on random nodes when the connection breaks."""
        progress = StreamProgress(self._next_tag(), self.rng.choice([5, 40, 120, 400]))
        service = self.rng.choice(["captions", "captions", "summaries"])
        body = {
            "model": service,
            "prompt": f"[[tag={progress.tag}]] [[length={progress.length}]]",
            "stream": True,
        }
        workspace = self.rng.choice(sorted(TOKENS))
        hang_up = self.rng.random() < 0.05
        for attempt in range(MAX_RESUMES):
            ended = await self._read_once(progress, body, workspace, hang_up=hang_up)
            if ended or not progress.last_id:
                break
            if attempt == 0:
                self.results.resumed += 1
            await asyncio.sleep(RESUME_PAUSE_SECONDS)
        outcome = "whole" if progress.done else progress.error or "cut"
        self.results.outcomes[f"stream {outcome}"] += 1
        if progress.done and progress.next_number != progress.length:
            self.results.record_violation(
                f"{progress.tag}: stream completed with {progress.next_number} of "
                f"{progress.length} tokens"
            )

    async def _read_once(
        self, progress: StreamProgress, body: t.Any, workspace: str, *, hang_up: bool
    ) -> bool:
        """Read the stream from one connection; return whether it has ended."""
        assert self.session is not None
        node = self._random_node()
        headers = self._headers(workspace)
        if progress.last_id:
            headers["Last-Event-ID"] = progress.last_id
        url = f"http://{self.addresses[node]}/v1/completions"
        try:
            async with self.session.post(url, json=body, headers=headers) as response:
                if response.status != 200:
                    return await self._refused(progress, response)
                await self._read_events(progress, response, hang_up=hang_up)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._record_broken(node, error)
            return False
        return progress.done or bool(progress.error) or hang_up

    async def _refused(self, progress: StreamProgress, response: t.Any) -> bool:
        error = (await response.json())["error"]
        if progress.last_id:
            # Refusals for these causes are temporary.
            if error["code"] in ("node_draining", "limit_exceeded"):
                return False
            progress.error = error["code"]
            return True
        if error["outcome"] == "not_run":
            self.results.record_not_run(progress.tag, error["code"])
        progress.error = f"{error['code']} ({error['outcome']})"
        return True

    async def _read_events(
        self, progress: StreamProgress, response: t.Any, *, hang_up: bool
    ) -> None:
        event_id = ""
        is_error = False
        async for raw in response.content:
            line = raw.decode().rstrip("\n")
            if line.startswith("id: "):
                event_id = line[4:]
            elif line == "event: error":
                is_error = True
            elif line.startswith("data: "):
                if is_error:
                    progress.error = json.loads(line[6:])["error"]["code"]
                    return
                self._check_token(progress, event_id, line[6:])
                if hang_up and progress.next_number > 3:
                    progress.error = "hung up"
                    return

    def _check_token(self, progress: StreamProgress, event_id: str, data: str) -> None:
        if data == "[DONE]":
            progress.done = True
            return
        chunk = json.loads(data)
        if not chunk["choices"]:
            return
        text = chunk["choices"][0]["text"]
        expected = f"{progress.tag}-{progress.next_number} "
        if text != expected:
            self.results.record_violation(
                f"{progress.tag}: got {text!r}, expected {expected!r}"
            )
        progress.next_number += 1
        progress.last_id = event_id
        self.results.tokens += 1

    async def _send_unstreamed(self) -> None:
        tag = self._next_tag()
        length = self.rng.choice([3, 30, 90])
        await self._request(tag, length, self._random_node(), "")

    async def _send_keyed(self) -> None:
        """Send requests with one idempotency key to nodes, concurrently and again."""
        key = requestkeys.make(time.time(), self.rng.getrandbits)
        length = self.rng.choice([3, 30])
        copies = self.rng.choice([1, 2, 2, 3])
        sent = [
            self._request(self._next_tag(), length, self._random_node(), key)
            for _ in range(copies)
        ]
        await asyncio.gather(*sent)
        if self.rng.random() < 0.3:
            await self._request(self._next_tag(), length, self._random_node(), key)

    async def _request(self, tag: str, length: int, node: str, key: str) -> None:
        """Request a response without streaming and check it.

        :param key: idempotency key, or empty.
        """
        assert self.session is not None
        body = {"model": "summaries", "prompt": f"[[tag={tag}]] [[length={length}]]"}
        headers = self._headers("north")
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{self.addresses[node]}/v1/completions"
        kind = "keyed" if key else "whole"
        try:
            async with self.session.post(url, json=body, headers=headers) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._record_broken(node, error)
            self.results.outcomes[f"{kind} cut"] += 1
            return
        if response.status != 200:
            error = answer["error"]
            if error["outcome"] == "not_run":
                self.results.record_not_run(tag, error["code"])
            self.results.outcomes[f"{kind} {error['code']} ({error['outcome']})"] += 1
            return
        self.results.outcomes[f"{kind} whole"] += 1
        expected = "".join(f"{tag}-{n} " for n in range(length))
        if answer["choices"][0]["text"] != expected:
            self.results.record_violation(
                f"{tag}: response is incomplete or another request's"
            )

    async def _send_plain(self) -> None:
        assert self.session is not None
        tag = self._next_tag()
        key = requestkeys.make(time.time(), self.rng.getrandbits)
        headers = self._headers("south", Idempotency_Key=key, X_Tag=tag)
        nodes = [self._random_node() for _ in range(self.rng.choice([1, 2]))]
        body = tag.encode() * 50

        async def send(node: str, sent: dict[str, str]) -> None:
            assert self.session is not None
            url = f"http://{self.addresses[node]}/services/fonts/licence"
            try:
                async with self.session.post(url, data=body, headers=sent) as response:
                    data = await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                self._record_broken(node, error)
                self.results.outcomes["plain cut"] += 1
                return
            if response.status == 200:
                self.results.outcomes["plain whole"] += 1
                if data != body:
                    self.results.record_violation(
                        f"{tag}: plain response has a wrong body"
                    )
                return
            error = json.loads(data)["error"]
            if error["outcome"] == "not_run":
                self.results.record_not_run(sent["X-Tag"], error["code"])
            name = f"plain {error['code']} ({error['outcome']})"
            self.results.outcomes[name] += 1

        copies = [{**headers, "X-Tag": f"{tag}-{n}"} for n in range(len(nodes))]
        pairs = zip(nodes, copies, strict=True)
        await asyncio.gather(*(send(node, copy) for node, copy in pairs))
