"""Stand-in for a model engine, for demos and tests.

Implements the OpenAI completion protocol over HTTP with the extensions that
bankrack uses: server-sent events with ``id: <generation>:<offset>``, resume by
``Last-Event-ID``, cancel by ``DELETE``, load reports with a lag, and orders with a
fence.  It counts actual runs by generation, request and idempotency key, so that a
test can compare reported outcomes with the runs.
"""

import argparse
import asyncio
import hashlib
import math
import random
import re
import time
import typing as t

import msgspec
from aiohttp import web

from bankrack.scheduling.enginemodel import EngineCosts
from bankrack.scheduling.enginemodel import EngineModel
from bankrack.scheduling.enginemodel import Sequence
from bankrack.standins.journal import Journal
from bankrack.wire import completions

KEEP_ALIVE_INTERVAL_SECONDS = 1.0
ORPHAN_TIMEOUT_SECONDS = 10.0
TAG_DIRECTIVE = re.compile(r"\[\[tag=([\w.-]+)\]\]")
LENGTH_DIRECTIVE = re.compile(r"\[\[length=(\d+)\]\]")
TOKEN_TEXTS = (
    "the",
    "lecture",
    "turns",
    "now",
    "to",
    "rivers",
    "and",
    "their",
    "mouths",
)


class Generation:
    """One generation and the tokens produced so far."""

    __slots__ = (
        "changed",
        "finished",
        "kind",
        "prompt_tokens",
        "readers",
        "released_at",
        "sequence",
        "tag",
        "tokens",
    )

    def __init__(self, sequence: Sequence, kind: str, tag: str) -> None:
        self.tag = tag
        self.sequence = sequence
        self.kind = kind
        self.prompt_tokens = sequence.prompt_tokens
        self.tokens: list[str] = []
        self.finished = False
        self.readers = 0
        self.released_at = 0.0
        self.changed = asyncio.Event()

    def advance(self, finished: bool) -> None:
        """Append one token and wake the readers."""
        number = len(self.tokens)
        word = self.tag or TOKEN_TEXTS[number % len(TOKEN_TEXTS)]
        self.tokens.append(f"{word}-{number} ")
        self.finished = finished
        self.wake()

    def wake(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineFaults(msgspec.Struct):
    """Faults to inject.

    Faults with an offset or a number of bytes are injected once; an offset of -1
    and 0 bytes disable them.

    :param refuse: refuse new requests with the error code ``not_run``.
    :param cut_after: close the connection after this number of response bytes.
    :param garbage_at: send malformed data instead of the event at this offset.
    :param repeat_at: send the event at this offset twice.
    :param skip_at: omit the event at this offset.
    :param foreign_at: send an event of another generation before this offset.
    :param cut_before_answer: run the request but close the connection before the
        response.
    :param forget: drop the generation immediately after its start.
    """

    refuse: bool = False
    cut_after: int = 0
    garbage_at: int = -1
    repeat_at: int = -1
    skip_at: int = -1
    foreign_at: int = -1
    cut_before_answer: bool = False
    forget: bool = False


class EngineStandIn:
    """The stand-in's state and HTTP application."""

    def __init__(
        self,
        *,
        models: t.Sequence[str],
        memory_tokens: int,
        checks_fence: bool = True,
        report_lag: float = 1.0,
        speed: float = 1.0,
        seed: int = 0,
        journal: str = "",
    ) -> None:
        self._journal = Journal(journal)
        costs = EngineCosts(base=0.012 / speed, per_sequence=0.0002 / speed)
        self.model = EngineModel(memory_tokens, costs=costs)
        self.models = set(models)
        self.checks_fence = checks_fence
        self.fence = 0
        self.faults = EngineFaults()
        self.generations_by_id: dict[str, Generation] = {}
        self.runs_by_generation: dict[str, int] = {}
        self.runs_by_key: dict[str, int] = {}
        self.runs_by_request: dict[str, int] = {}
        self.orders: list[dict[str, t.Any]] = []
        self.cancelled = 0
        self._report_lag = report_lag
        self._reports: list[tuple[float, str]] = []
        self._work = asyncio.Event()
        self._random = random.Random(seed)

    def application(self) -> web.Application:
        """Make the HTTP application."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v1/completions", self._completions(completions.TEXT))
        chat = self._completions(completions.CHAT)
        app.router.add_post("/v1/chat/completions", chat)
        app.router.add_get("/v1/generations/{id}", self._resume)
        app.router.add_delete("/v1/generations/{id}", self._cancel)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/counts", self._counts)
        app.cleanup_ctx.append(self._background)
        return app

    async def _background(self, app: web.Application) -> t.AsyncIterator[None]:
        tasks = [
            asyncio.create_task(self._compute()),
            asyncio.create_task(self._housekeeping()),
        ]
        yield
        for task in tasks:
            task.cancel()

    async def _compute(self) -> None:
        while True:
            if self.model.idle:
                self._work.clear()
                await self._work.wait()
            step = self.model.step()
            await asyncio.sleep(step.duration)
            finished = set(map(id, step.finished))
            for sequence in step.produced:
                generation = self.generations_by_id.get(sequence.token)
                if generation is not None:
                    generation.advance(id(sequence) in finished)

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            self._reports.append((now, self._report()))
            horizon = now - self._report_lag
            while len(self._reports) > 1 and self._reports[1][0] <= horizon:
                self._reports.pop(0)
            for name, generation in list(self.generations_by_id.items()):
                orphaned = generation.readers == 0
                if orphaned and now - generation.released_at > ORPHAN_TIMEOUT_SECONDS:
                    self._drop(name)

    def _drop(self, name: str) -> None:
        generation = self.generations_by_id.pop(name)
        self.model.remove(generation.sequence)
        if not generation.finished:
            self.cancelled += 1
        generation.wake()

    def _completions(self, kind: str) -> t.Any:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = completions.decode_request(await request.read(), kind)
            name = request.headers.get("X-Request-Id", "")
            if self.faults.refuse:
                return _not_run_response(503, "the engine takes no new work")
            if body.model not in self.models:
                return _not_run_response(404, f"model {body.model} is not loaded")
            if not name or name in self.generations_by_id:
                return _not_run_response(409, "X-Request-Id is missing or was used")
            self._start(name, kind, body, request)
            if self.faults.forget:
                self._drop(name)
            if self.faults.cut_before_answer:
                assert request.transport is not None
                request.transport.abort()
                return web.Response()
            return await self._send(request, name, 0)

        return handle

    def _start(
        self,
        name: str,
        kind: str,
        body: completions.CompletionRequest,
        request: web.Request,
    ) -> None:
        text = completions.prompt_text(body)
        length = self._length(text)
        limit = completions.output_limit(body)
        if limit is not None:
            length = min(length, limit)
        prefix = text[:256]
        sequence = Sequence(
            prompt_tokens=completions.prompt_tokens(body),
            length=length,
            priority=int(request.headers.get("X-Priority", "0")),
            prefix=hashlib.blake2b(prefix.encode()).hexdigest(),
            prefix_tokens=len(prefix) // completions.CHARACTERS_PER_TOKEN,
            token=name,
        )
        tag = TAG_DIRECTIVE.search(text)
        generation = Generation(sequence, kind, tag.group(1) if tag else "")
        self.generations_by_id[name] = generation
        _count(self.runs_by_generation, name)
        _count(self.runs_by_request, request.headers.get("X-Trace-Id", ""))
        key = request.headers.get("Idempotency-Key")
        if key:
            _count(self.runs_by_key, key)
        self._journal.record(generation.tag, key or "")
        self.model.add(sequence)
        self._work.set()

    def _length(self, text: str) -> int:
        directive = LENGTH_DIRECTIVE.search(text)
        if directive is not None:
            return int(directive.group(1))
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        rng = random.Random(int.from_bytes(digest, "big"))
        return max(1, round(rng.lognormvariate(math.log(60), 0.8)))

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        name = request.match_info["id"]
        if name not in self.generations_by_id:
            return _not_run_response(404, "no such generation")
        last = request.headers.get("Last-Event-ID", "")
        _, _, number = last.rpartition(":")
        offset = int(number) + 1 if number.isdigit() else 0
        return await self._send(request, name, offset)

    async def _send(
        self, request: web.Request, name: str, offset: int
    ) -> web.StreamResponse:
        generation = self.generations_by_id[name]
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        generation.readers += 1
        try:
            await response.prepare(request)
            await self._send_events(request, response, name, offset)
            await response.write_eof()
        except ConnectionError:
            pass  # The reader disconnected; it may resume the generation.
        finally:
            generation.readers -= 1
            generation.released_at = time.monotonic()
        return response

    async def _send_events(
        self, request: web.Request, response: web.StreamResponse, name: str, offset: int
    ) -> None:
        generation = self.generations_by_id[name]
        sent = 0
        while name in self.generations_by_id:
            changed = generation.changed
            data = b""
            while offset < len(generation.tokens):
                data += self._event(name, generation, offset)
                offset += 1
            if generation.finished and offset >= len(generation.tokens):
                data += self._final_events(name, generation, offset)
            cut = self.faults.cut_after
            if cut and sent + len(data) >= cut:
                self.faults.cut_after = 0
                await response.write(data[: max(0, cut - sent)])
                await asyncio.sleep(0.01)
                assert request.transport is not None
                request.transport.abort()
                raise asyncio.CancelledError
            if data:
                await response.write(data)
                sent += len(data)
            if generation.finished:
                return
            try:
                await asyncio.wait_for(changed.wait(), KEEP_ALIVE_INTERVAL_SECONDS)
            except TimeoutError:
                await response.write(b": keep-alive\n\n")
        assert request.transport is not None
        request.transport.abort()

    def _event(self, name: str, generation: Generation, offset: int) -> bytes:
        last = generation.finished and offset == len(generation.tokens) - 1
        event = _encode(generation, name, offset, "stop" if last else None)
        faults = self.faults
        if offset == faults.garbage_at:
            faults.garbage_at = -1
            return b"id: %b:%d\ndata: {\xff\n\n" % (name.encode(), offset)
        if offset == faults.repeat_at:
            faults.repeat_at = -1
            return event + event
        if offset == faults.skip_at:
            faults.skip_at = -1
            return b""
        if offset == faults.foreign_at:
            faults.foreign_at = -1
            return b"id: g-foreign:%d\ndata: {}\n\n" % offset + event
        return event

    def _final_events(self, name: str, generation: Generation, offset: int) -> bytes:
        if offset > len(generation.tokens):
            return b"id: %b:%d\ndata: [DONE]\n\n" % (name.encode(), offset)
        count = len(generation.tokens)
        usage = completions.Usage(
            generation.prompt_tokens, count, generation.prompt_tokens + count
        )
        body = msgspec.json.encode({"choices": [], "usage": usage})
        return b"id: %b:%d\ndata: %b\n\nid: %b:%d\ndata: [DONE]\n\n" % (
            name.encode(),
            offset,
            body,
            name.encode(),
            offset + 1,
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        name = request.match_info["id"]
        if name in self.generations_by_id:
            self._drop(name)
        return web.Response(status=204)

    def _report(self) -> str:
        model = self.model
        usage = model.used / model.memory_tokens
        return (
            f"vllm:num_requests_running {len(model.running)}\n"
            f"vllm:num_requests_waiting {len(model.waiting)}\n"
            f"vllm:kv_cache_usage_perc {usage:.4f}\n"
            f"vllm:num_preemptions_total {model.preemptions}\n"
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        text = self._reports[0][1] if self._reports else self._report()
        return web.Response(text=text)

    async def _list_models(self, request: web.Request) -> web.Response:
        data = [{"id": name, "object": "model"} for name in sorted(self.models)]
        return web.json_response({"object": "list", "data": data})

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read())
        fence = int(order.get("fence", 0))
        if self.checks_fence and fence < self.fence:
            return _not_run_response(412, f"fence {fence} is older than {self.fence}")
        self.fence = max(self.fence, fence)
        self.models = set(order["models"])
        self.orders.append(order)
        return web.json_response({"models": sorted(self.models)})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=EngineFaults)
        return web.json_response({})

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "runs_by_generation": self.runs_by_generation,
                "runs_by_key": self.runs_by_key,
                "runs_by_request": self.runs_by_request,
                "cancelled": self.cancelled,
                "preemptions": self.model.preemptions,
                "running": len(self.model.running),
                "waiting": len(self.model.waiting),
                "orders": self.orders,
            }
        )


def _encode(
    generation: Generation, name: str, offset: int, finish_reason: str | None
) -> bytes:
    text = generation.tokens[offset]
    choice: dict[str, t.Any] = {"index": 0, "finish_reason": finish_reason}
    if generation.kind == completions.CHAT:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    body = msgspec.json.encode({"id": name, "choices": [choice]})
    return b"id: %b:%d\ndata: %b\n\n" % (name.encode(), offset, body)


def _count(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1


def _not_run_response(status: int, message: str) -> web.Response:
    body = {"error": {"message": message, "code": "not_run"}}
    return web.json_response(body, status=status)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the stand-in's command line options."""
    parser.add_argument("--listen", default="127.0.0.1:9001", help="ip:port")
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--memory", type=int, default=24000, help="tokens")
    parser.add_argument("--lag", type=float, default=1.0, help="seconds of report lag")
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--journal", default="", help="file that records actual runs")
    parser.add_argument("--no-fence", action="store_true")


async def run(arguments: argparse.Namespace) -> None:
    """Serve until cancelled."""
    from bankrack.front.listeners import serve_application  # Avoids an import cycle.

    stand_in = EngineStandIn(
        models=arguments.model or ["demo-7b"],
        memory_tokens=arguments.memory,
        checks_fence=not arguments.no_fence,
        report_lag=arguments.lag,
        speed=arguments.speed,
        journal=arguments.journal,
    )
    await serve_application(stand_in.application(), arguments.listen)
    await asyncio.Event().wait()
