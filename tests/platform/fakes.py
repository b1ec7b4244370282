"""Fakes of the platform's store, plain servers and engines.

They speak the platform's protocols on the loopback interface and fail on demand.
"""

import asyncio
import base64
import contextlib
import copy
import dataclasses
import json
import typing as t

import aiohttp
from aiohttp import web

from bankrack.clock import boottime
from bankrack.fleet.store import joint_revision

HOST = "127.0.0.1"


class FakeEndpoint:
    """Base class of HTTP servers that listen on a port of their own."""

    def __init__(self) -> None:
        self.address = ""
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None
        self._site: web.TCPSite | None = None
        self._stopping = asyncio.Lock()

    async def start(self) -> None:
        server = web.Server(self.handle, handler_cancellation=True)
        self._server = server
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, HOST, 0)
        await self._site.start()
        assert isinstance(self._site._server, asyncio.Server)
        port = self._site._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def crash(self) -> None:
        """Close the listener and abort all connections, as a crashed process does."""
        assert self._site is not None
        assert isinstance(self._site._server, asyncio.Server)
        self._site._server.close()
        for connection in self._server.connections if self._server else ():
            if connection.transport is not None:
                connection.transport.abort()

    async def stop(self) -> None:
        async with self._stopping:
            if self._runner is not None:
                await self._runner.cleanup()
                self._runner = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError


async def send_slowly(
    request: web.BaseRequest, response: web.Response, seconds_per_part: float
) -> web.StreamResponse:
    """Send a response in ten parts, as over a narrow link."""
    body = t.cast(bytes, response.body)
    slow = web.StreamResponse(status=response.status, headers=response.headers)
    slow.headers["Content-Length"] = str(len(body))
    await slow.prepare(request)
    size = 1 + len(body) // 10
    for start in range(0, len(body), size):
        await asyncio.sleep(seconds_per_part)
        await slow.write(body[start : start + size])
    return slow


@dataclasses.dataclass
class StoredItem:
    value: bytes
    revision: int
    lease: int


class FakeStore(FakeEndpoint):
    """The platform's metadata store.

    If ``status`` is set, it is the status of every response; ``refused_calls`` get
    429.  An ``unresponsive`` store does not respond.  ``pause`` delays responses by
    seconds, with ``seconds_per_part`` each tenth of a response takes that long, and
    with ``seconds_per_megabyte`` a response as long as a narrow link would,
    ``watch_misses_changes`` keeps changes out of watches, and ``compacted_revision`` is
    the oldest revision from which a watch may start.  ``take_copy`` and
    ``restore_copy`` return it to an earlier state, which begins a new ``era``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.item_by_key: dict[str, StoredItem] = {}
        self.events: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.compacted_revision = 0
        self.status = 0
        self.unresponsive = False
        self.pause = 0.0
        self.seconds_per_part = 0.0
        self.seconds_per_megabyte = 0.0
        self.watch_misses_changes = False
        self.page_size = 500
        self.leases: set[int] = set()
        self.era = 1
        self._copy = self._state()
        self.calls: list[str] = []
        self.sent_bytes = 0
        self.refused_calls: set[str] = set()
        self._changed = asyncio.Event()

    @property
    def joint_revision(self) -> int:
        return joint_revision(self.era, self.revision)

    def _state(self) -> dict[str, t.Any]:
        state = {"item_by_key": self.item_by_key, "events": self.events}
        state.update(revision=self.revision, leases=self.leases)
        return copy.deepcopy(state)

    def take_copy(self) -> None:
        """Save the state to which ``restore_copy`` returns."""
        self._copy = self._state()

    def restore_copy(self) -> None:
        """Lose what was written since the copy; revisions are given out again."""
        vars(self).update(copy.deepcopy(self._copy))
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: t.Any, lease: int = 0) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.item_by_key[key] = StoredItem(data, self.revision, lease)
        self._record_event(key, data)

    def remove(self, key: str) -> None:
        self.revision += 1
        del self.item_by_key[key]
        self._record_event(key, None)

    def _record_event(self, key: str, data: bytes | None) -> None:
        self.events.append((self.revision, key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._answer(request)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        size = len(t.cast(bytes, response.body or b""))
        self.sent_bytes += size
        transfer = self.seconds_per_megabyte * size / 1e6
        if seconds_per_part := self.seconds_per_part or transfer / 10:
            return await send_slowly(request, response, seconds_per_part)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        path = request.path.removeprefix("/v1/")
        self.calls.append(path)
        if self.unresponsive:
            await asyncio.sleep(60)
        await asyncio.sleep(self.pause)
        if self.status:
            return web.Response(status=self.status)
        if path in self.refused_calls:
            return web.Response(status=429)
        body = await request.read()
        payload = json.loads(body) if body else {}
        name, _, lease_id = path.partition("/")
        match name:
            case "kv-range":
                return self._range(request.query)
            case "kv-watch":
                return await self._watch(request.query)
            case "kv-lease":
                lease = max(self.leases, default=0) + 1
                self.leases.add(lease)
                return web.json_response({"lease": lease, "ttl_ms": payload["ttl_ms"]})
            case "kv-keep":
                known = int(lease_id) in self.leases
                return web.json_response({}, status=200 if known else 404)
            case "kv-lease-end":
                return web.json_response({})
            case "kv-txn":
                return self._commit(payload)
        return web.Response(status=404)

    def _range(self, query: t.Mapping[str, str]) -> web.Response:
        after = query.get("sinceRevision", "")
        keys = sorted(key for key in self.item_by_key if key > after)
        page = keys[: self.page_size]
        items = [self._item(key) for key in page]
        more = len(keys) > len(page)
        return web.json_response({"items": items, "more": more, "at": self.revision})

    def _commit(self, payload: dict[str, t.Any]) -> web.Response:
        expected = payload["expectedRevision"]
        if not all(map(self._is_as_expected, expected)):
            keys = [row["tlsKey"] for row in expected]
            items = [self._item(key) for key in keys if key in self.item_by_key]
            return web.json_response({"items": items}, status=412)
        if any(put["lease"] not in {0, *self.leases} for put in payload["put"]):
            return web.Response(status=404)
        for put in payload["put"]:
            value = base64.b64decode(put["value"])
            self.put(put["tlsKey"], value, put["lease"])
        return web.json_response({"revision": self.revision})

    def _is_as_expected(self, row: dict[str, t.Any]) -> bool:
        item = self.item_by_key.get(row["tlsKey"])
        return row["revision"] == (item.revision if item else 0)

    def _item(self, key: str) -> dict[str, t.Any]:
        item = self.item_by_key[key]
        value = base64.b64encode(item.value).decode()
        return {"tlsKey": key, "value": value, "revision": item.revision}

    async def _watch(self, query: t.Mapping[str, str]) -> web.Response:
        since = int(query["sinceRevision"])
        if since < self.compacted_revision or since > self.revision:
            return web.Response(status=410)
        wait = int(query["waitMs"]) / 1000
        if not self._since(since):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait)
        events = [] if self.watch_misses_changes else self._since(since)
        found = []
        for revision, key, data in events:
            event: dict[str, t.Any] = {"tlsKey": key, "revision": revision}
            if data is None:
                event["gone"] = True
            else:
                event["value"] = base64.b64encode(data).decode()
            found.append(event)
        return web.json_response({"events": found, "at": self.revision})

    def _since(self, since: int) -> list[tuple[int, str, bytes | None]]:
        return [event for event in self.events if event[0] > since]


@dataclasses.dataclass
class Arrival:
    """A request as a server received it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    at: float = dataclasses.field(default_factory=boottime)

    def get(self, name: str) -> str | None:
        found = [v for k, v in self.headers if k.lower() == name.lower()]
        return found[0] if found else None


class FakeServer(FakeEndpoint):
    """A plain server; ``custom_handler`` may return a response in its place.

    A ``leaving`` server reports that in all responses.  With ``backoff`` it rejects all
    requests and asks for that many seconds without any.  ``limit`` is the rate limit
    that it reports, ``load`` its load, ``brittle`` the rejections in a second that it
    says to bear.  ``cancelled_at`` has the boot-time seconds at which it noticed
    that a client closed its connection before the response was complete.
    """

    def __init__(self, server_id: str) -> None:
        super().__init__()
        self.id = server_id
        self.arrivals: list[Arrival] = []
        self.cancelled_at: list[float] = []
        self.leaving = False
        self.backoff = ""
        self.limit = ""
        self.load = ""
        self.brittle = ""
        self.probes = 0
        self.custom_handler: (
            t.Callable[[web.BaseRequest], t.Awaitable[t.Any]] | None
        ) = None

    @property
    def cancelled(self) -> int:
        return len(self.cancelled_at)

    def entry(self, service: str, **more: t.Any) -> dict[str, t.Any]:
        entry = {"service": service, "address": self.address, "zone": "a", "slots": 6}
        return {**entry, "state": "ready", **more}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self.respond(request)
        if not response.prepared:
            response.headers.update(self.notice_headers())
        return response

    def notice_headers(self) -> dict[str, str]:
        """Return the headers that report the server's condition."""
        headers = {}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if self.backoff:
            headers["Retry-After"] = self.backoff
        if self.limit:
            headers["Server-Limit"] = self.limit
        if self.brittle:
            headers["Server-Brittle"] = self.brittle
        if self.load:
            headers["Bankrack-Server-Load"] = self.load
        return headers

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/healthz":
            self.probes += 1
            return web.Response(headers={"Bankrack-Instance-Id": self.id})
        if request.path.startswith("/v1/"):
            return await self.control(request)
        request._client_max_size = 0  # unlimited
        body = await request.read()
        headers = [(k.decode(), v.decode()) for k, v in request.raw_headers]
        arrival = Arrival(request.method, request.raw_path, headers, body)
        self.arrivals.append(arrival)
        expected = request.headers.get("Bankrack-Expect-Instance")
        if expected not in (None, self.id):
            return web.Response(status=421, headers={"Bankrack-Instance-Id": self.id})
        if self.backoff:
            return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
        try:
            if self.custom_handler is not None:
                found = await self.custom_handler(request)
                if found is not None:
                    return t.cast(web.StreamResponse, found)
            return await self.run(request)
        except asyncio.CancelledError:
            self.cancelled_at.append(boottime())
            raise

    async def control(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=404)

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=b"whole", headers=self.sealed(request))

    def sealed(self, request: web.BaseRequest) -> dict[str, str]:
        return {
            "Bankrack-Request-Id": request.headers.get("Bankrack-Request-Id", ""),
            "Bankrack-Response-Seal": "seal",
            **self.notice_headers(),
        }


class FakeEngine(FakeServer):
    """An engine that streams ``events`` events.

    ``cut_after`` aborts a stream after that many events, with ``cuts_inside_event``
    inside the next one; ``breaks_off`` aborts all streams at once.  ``handles`` names
    the copies that the engine holds.  An engine that ``preempts`` finds no run to copy.
    An ``unresponsive`` one answers no call.  ``runs`` is the list in its report, and
    ``used`` the tokens in its memory of 30,000.  ``padding`` is added to each event.
    """

    def __init__(self, server_id: str, *, events: int = 5, **more: t.Any) -> None:
        super().__init__(server_id, **more)
        self.events = events
        self.cut_after = -1
        self.cuts_inside_event = False
        self.breaks_off = False
        self.pause = 0.0
        self.padding = b""
        self.has_room = True
        self.used = 0
        self.preempts = False
        self.unresponsive = False
        self.runs: list[list[t.Any]] | None = None
        self.handles: set[str] = set()
        self.orders: list[tuple[str, dict[str, t.Any]]] = []
        self.engine_by_address: dict[str, FakeEngine] = {}

    async def control(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        payload = json.loads(body) if body else {}
        self.orders.append((request.path, payload))
        if self.unresponsive:
            await asyncio.sleep(60)
        if request.path == "/v1/report":
            memory = {"kvUsed": self.used, "kvTotal": 30000}
            report = {"running": 0, "queued": 0, **memory}
            stated = {} if self.runs is None else {"runs": self.runs}
            return web.json_response({**report, **stated})
        if not self.has_room or self.backoff:
            return web.Response(status=503)
        if request.path == "/v1/hold-take":
            return web.json_response({"hold": "h-1"})
        if request.path == "/v1/kv-move" and self.preempts:
            return web.Response(status=404)
        if request.path == "/v1/kv-move":
            target = self.engine_by_address[payload["targetVersion"]]
            target.handles.add(f"{self.address}/copy")
            return web.json_response({"handle": "copy", "made": 1})
        return web.json_response({})

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        copy_location = request.headers.get("Kv-From")
        if copy_location is not None and copy_location not in self.handles:
            return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
        backup = request.headers.get("Kv-Backup")
        if backup in self.engine_by_address:
            run_id = request.headers["Bankrack-Request-Id"]
            self.engine_by_address[backup].handles.add(f"{backup}/{run_id}")
        response = web.StreamResponse(headers=self.sealed(request))
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(first, self.events):
            if self.breaks_off or number == self.cut_after:
                if self.cuts_inside_event:
                    await response.write(b"id: %d\ndata: to" % number)
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(
                b"id: %d\ndata: token%d%s\n\n" % (number, number, self.padding)
            )
            await asyncio.sleep(self.pause)
        await response.write_eof()
        return response


def configuration(version: int = 1, **more: t.Any) -> dict[str, t.Any]:
    """Return a configuration with idempotent, non-idempotent and streaming routes."""

    def route(name: str, kind: str, service: str, **extra: t.Any) -> dict[str, t.Any]:
        return {
            "name": name,
            "hostname": "h.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 2000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": service,
            "maxAttempts": 1,
            **extra,
        }

    engine = {
        "slots": 8,
        "kvCapacity": 30000,
        "kvTokenBytes": 1000,
        "linkMbps": 1000,
        "moves": True,
        "backups": True,
        "holdMs": 2000,
        "handleS": 5,
    }
    return {
        "configVersion": version,
        "routes": [
            route("look", "idempotent", "plain", maxAttempts=2),
            route("bill", "non_idempotent", "plain"),
            route("talk", "streaming", "engines", timeoutMs=20000, gap_aim_ms=180),
            route("note", "streaming", "engines", resumable=True, maxAttempts=2),
        ],
        "services": [
            {"name": "plain", "maxConnections": 10, "healthPath": "/healthz"},
            {
                "name": "engines",
                "maxConnections": 10,
                "healthPath": "/healthz",
                "engine": engine,
            },
        ],
        "limits": {"maxHeaderBytes": 8000, "maxBodyBytes": 100000},
        "tenants": [{"name": "tutors", "apiKeys": ["key-1"]}],
        **more,
    }


@dataclasses.dataclass
class ReceivedResponse:
    """A response as a caller received it; not ``complete`` if it was cut off."""

    status: int
    headers: t.Mapping[str, str]
    body: bytes
    complete: bool


async def call(
    address: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes | None = b"question",
    headers: dict[str, str] | None = None,
) -> ReceivedResponse:
    """Send one request in the way of the platform's callers."""
    sent = {
        "Host": "h.example",
        "Bankrack-Request-Id": "r-1",
        "Bankrack-Deadline-Ms": "3000",
        "Bankrack-Key": "key-1",
        **(headers or {}),
    }
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.request(
            method, f"http://{address}{path}", data=body, headers=sent
        ) as response,
    ):
        parts = []
        try:
            async for part in response.content.iter_any():
                parts.append(part)
        except aiohttp.ClientError:
            complete = False
        else:
            complete = True
        return ReceivedResponse(
            response.status, response.headers, b"".join(parts), complete
        )
