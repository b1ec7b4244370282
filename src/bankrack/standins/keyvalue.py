"""Stand-in for the platform's key-value service, for demos and tests.

Implements the part of the etcd v3 JSON gateway that bankrack uses, the limits on
calls per second, and faults set by ``POST /faults``: unavailable, slow, and
responses lost after a write took effect.
"""

import argparse
import asyncio
import base64
import random
import time
import typing as t

import msgspec
from aiohttp import web

WRITES_PER_SECOND = 100
READS_PER_SECOND = 2000
LEASE_CHECK_INTERVAL_SECONDS = 0.2


class Entry:
    """Value and revisions of one key."""

    __slots__ = ("create_revision", "lease", "mod_revision", "value")

    def __init__(self, value: bytes, revision: int, create: int, lease: int) -> None:
        self.value = value
        self.mod_revision = revision
        self.create_revision = create
        self.lease = lease


class Faults(msgspec.Struct):
    """Faults to inject.

    :param down: refuse every call.
    :param slow_seconds: delay of every call, in seconds.
    :param lose_answers: fraction of writes whose response is lost.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: float = 0.0


class TokenBucket:
    """Token bucket with the capacity of one second's calls."""

    __slots__ = ("_last", "_tokens", "per_second")

    def __init__(self, per_second: float) -> None:
        self.per_second = per_second
        self._tokens = per_second
        self._last = time.monotonic()

    def take(self) -> bool:
        """Take one token; return whether one was available."""
        now = time.monotonic()
        gained = (now - self._last) * self.per_second
        self._tokens = min(self.per_second, self._tokens + gained)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PlatformStandIn:
    """The stand-in's store and HTTP application."""

    def __init__(self, *, seed: int = 0) -> None:
        self.entries_by_key: dict[bytes, Entry] = {}
        self.deadlines_by_lease: dict[int, float] = {}
        self.seconds_by_lease: dict[int, int] = {}
        self.revision = 1
        self.faults = Faults()
        self.writes = TokenBucket(WRITES_PER_SECOND)
        self.reads = TokenBucket(READS_PER_SECOND)
        self.calls_by_path: dict[str, int] = {}
        self.refused = 0
        self._random = random.Random(seed)
        self._next_lease = 1000

    def application(self) -> web.Application:
        """Make the HTTP application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.router.add_post("/v3/kv/range", self._reading(self._range))
        app.router.add_post("/v3/kv/txn", self._writing(self._transact))
        app.router.add_post("/v3/lease/grant", self._writing(self._grant))
        app.router.add_post("/v3/lease/keepalive", self._writing(self._keep_alive))
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/counts", self._counts)
        app.cleanup_ctx.append(self._lease_expiry)
        return app

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Store a value directly, as the platform does for its lists of VMs."""
        self.revision += 1
        self._put(key.encode(), value, lease)

    def _reading(self, handler: t.Callable[[t.Any], t.Any]) -> t.Any:
        return self._handler(handler, self.reads, writes=False)

    def _writing(self, handler: t.Callable[[t.Any], t.Any]) -> t.Any:
        return self._handler(handler, self.writes, writes=True)

    def _handler(
        self, handler: t.Callable[[t.Any], t.Any], bucket: TokenBucket, *, writes: bool
    ) -> t.Any:
        async def handle(request: web.Request) -> web.StreamResponse:
            count = self.calls_by_path.get(request.path, 0)
            self.calls_by_path[request.path] = count + 1
            faults = self.faults
            if faults.slow_seconds:
                await asyncio.sleep(faults.slow_seconds)
            if faults.down or self.faults.down:
                return web.Response(status=503, text="down")
            if not bucket.take():
                self.refused += 1
                return web.Response(status=429, text="rate")
            body = msgspec.json.decode(await request.read())
            result = handler(body)
            if writes and self._random.random() < faults.lose_answers:
                assert request.transport is not None
                request.transport.abort()
            return web.json_response(result)

        return handle

    def _range(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        min_revision = int(body.get("min_mod_revision", 0))
        limit = int(body.get("limit", 0))
        found = [
            _entry_json(name, entry)
            for name, entry in self._select(key, end)
            if entry.mod_revision >= min_revision
        ]
        if limit:
            found = found[:limit]
        return {"header": self._header(), "kvs": found, "count": str(len(found))}

    def _select(self, key: bytes, end: bytes) -> list[tuple[bytes, Entry]]:
        if not end:
            entry = self.entries_by_key.get(key)
            return [(key, entry)] if entry else []
        names = sorted(name for name in self.entries_by_key if key <= name < end)
        return [(name, self.entries_by_key[name]) for name in names]

    def _transact(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        if not all(self._comparison_holds(item) for item in body.get("compare", [])):
            return {"header": self._header(), "succeeded": False}
        self.revision += 1
        for operation in body.get("success", []):
            self._apply(operation)
        return {"header": self._header(), "succeeded": True}

    def _comparison_holds(self, item: dict[str, t.Any]) -> bool:
        entry = self.entries_by_key.get(base64.b64decode(item["key"]))
        if item["target"] == "MOD":
            revision = entry.mod_revision if entry else 0
            return revision == int(item["mod_revision"])
        # As in etcd, a value comparison never holds for an absent key.
        return entry is not None and entry.value < base64.b64decode(item["value"])

    def _apply(self, operation: dict[str, t.Any]) -> None:
        if "request_put" in operation:
            put = operation["request_put"]
            value = base64.b64decode(put["value"])
            self._put(base64.b64decode(put["key"]), value, int(put.get("lease", 0)))
            return
        delete = operation["request_delete_range"]
        key = base64.b64decode(delete["key"])
        for name, _ in self._select(key, base64.b64decode(delete.get("range_end", ""))):
            del self.entries_by_key[name]

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        previous = self.entries_by_key.get(key)
        created = previous.create_revision if previous else self.revision
        self.entries_by_key[key] = Entry(value, self.revision, created, lease)

    def _grant(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        self._next_lease += 1
        seconds = int(body["TTL"])
        self.seconds_by_lease[self._next_lease] = seconds
        self.deadlines_by_lease[self._next_lease] = time.monotonic() + seconds
        return {"ID": str(self._next_lease), "TTL": str(seconds)}

    def _keep_alive(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        lease = int(body["ID"])
        if lease not in self.deadlines_by_lease:
            return {"result": {"ID": str(lease)}}
        seconds = self.seconds_by_lease[lease]
        self.deadlines_by_lease[lease] = time.monotonic() + seconds
        return {"result": {"ID": str(lease), "TTL": str(seconds)}}

    def _expire(self, lease: int) -> None:
        self.deadlines_by_lease.pop(lease, None)
        self.revision += 1
        for key in [k for k, e in self.entries_by_key.items() if e.lease == lease]:
            del self.entries_by_key[key]

    async def _lease_expiry(self, app: web.Application) -> t.AsyncIterator[None]:
        async def expire() -> None:
            while True:
                await asyncio.sleep(LEASE_CHECK_INTERVAL_SECONDS)
                now = time.monotonic()
                for lease, deadline in list(self.deadlines_by_lease.items()):
                    if deadline < now:
                        self._expire(lease)

        task = asyncio.create_task(expire())
        yield
        task.cancel()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.json_response({})

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"calls_by_path": self.calls_by_path, "refused": self.refused}
        )

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}


def _entry_json(key: bytes, entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.mod_revision),
        "create_revision": str(entry.create_revision),
        "lease": str(entry.lease),
    }


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the stand-in's command line options."""
    parser.add_argument("--listen", default="127.0.0.1:2379", help="ip:port")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--vm", action="append", default=[], help="name=JSON record")


async def run(arguments: argparse.Namespace) -> None:
    """Serve until cancelled."""
    from bankrack.front.listeners import serve_application  # Avoids an import cycle.

    stand_in = PlatformStandIn(seed=arguments.seed)
    for item in arguments.vm:
        name, _, record = item.partition("=")
        stand_in.put(f"bankrack/vms/{name}", record.encode())
    await serve_application(stand_in.application(), arguments.listen)
    await asyncio.Event().wait()
