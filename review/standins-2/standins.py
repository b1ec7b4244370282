"""Stand-ins of the review's scripts: store, servers, engines, callers and nodes.

Only the standard library is used. Everything listens on loopback addresses. A stand-in
does what the users' pages say, and behaves soundly where they are silent.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import typing as t

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 412: "Precondition Failed"}
REASONS |= {410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests"}
REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """What was sent, answered and run, one line each, in ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def line(self, who: str, what: str, **fields: t.Any) -> None:
        """Write one line."""
        more = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self._began
        self._file.write(f"{at:9.3f} {who:<10} {what} {more}".rstrip() + "\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Find ports that nobody uses now, outside the range that the system assigns."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in _given_out:
                _given_out.add(port)
                ports.append(port)
    return ports


_given_out: set[int] = set()


class Request(t.NamedTuple):
    """One request as it was read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; ``None`` at the end of the channel."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    path, _, text = target.partition("?")
    query = {}
    for pair in text.split("&"):
        name, equals, value = pair.partition("=")
        if equals:
            query[name] = value.replace("%2F", "/").replace("+", " ")
    return Request(method, path, query, headers, body)


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(status: int, value: t.Any) -> bytes:
    """Encode an answer with a JSON body."""
    body = json.dumps(value).encode()
    return answer(status, body, {"Content-Type": "application/json"})


class Server:
    """Listens, and serves each channel's requests one after the other."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.record = record
        self.address = ""
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        self._listener = await asyncio.start_server(self._serve, HOST, port)
        port = self._listener.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def end(self) -> None:
        """End as a process does: the system closes the listener and all channels."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: items with revisions, watches and leases."""

    def __init__(self, record: Record) -> None:
        super().__init__("store", record)
        self.revision = 1
        self.items: dict[str, dict[str, t.Any]] = {}
        self.history: list[dict[str, t.Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: t.Any, lease: int = 0) -> None:
        """Write an item, as the operator or a server does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, base64.b64encode(data).decode(), lease)
        if not key.startswith("system/"):
            self.record.line("store", "put", key=key, revision=self.revision)

    def _put(self, key: str, text: str, lease: int) -> None:
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"tlsKey": key, "value": text, "revision": self.revision}
        item |= {"made": made, "lease": lease}
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"tlsKey": key, "revision": self.revision, "gone": True})
            self.record.line("store", "removed", key=key, revision=self.revision)

    def _note(self, event: dict[str, t.Any]) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def expire(self) -> None:
        """Remove the items of leases that ran out, until cancelled."""
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease in [n for n, (ends, _) in self.leases.items() if ends < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one call."""
        writer.write(await self._answer(request))
        await writer.drain()

    async def _answer(self, request: Request) -> bytes:
        name = request.path.removeprefix("/v1/")
        query = request.query
        if name == "kv-range":
            first = query.get("sinceRevision", "")
            prefix = query.get("pathPrefix", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > first)
            items = [self.items[key] for key in keys]
            body = {"items": items, "more": False, "at": self.revision}
            return json_answer(200, body)
        if name == "kv-watch":
            return await self._watch(query)
        payload = json.loads(request.body or b"{}")
        if name == "kv-txn":
            return self._transaction(payload)
        if name == "kv-lease":
            lease = 1000 + len(self.leases) + self.revision * 10
            ttl = payload["ttl_ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return json_answer(200, {"lease": lease, "ttl_ms": payload["ttl_ms"]})
        action, _, number = name.partition("/")
        lease = int(number or 0)
        if lease not in self.leases:
            return answer(404)
        if action == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return json_answer(200, {"ttl_ms": int(ttl * 1000)})
        if action == "kv-lease-end":
            self._end_lease(lease)
            return json_answer(200, {})
        return answer(404)

    async def _watch(self, query: dict[str, str]) -> bytes:
        since = int(query["sinceRevision"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        prefix = query.get("pathPrefix", "")
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["revision"] > since and event["tlsKey"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0.0:
                return json_answer(200, {"events": events, "at": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transaction(self, payload: dict[str, t.Any]) -> bytes:
        differing = []
        for row in payload.get("expectedRevision", []):
            item = self.items.get(row["tlsKey"])
            if (item["revision"] if item else 0) != row["revision"]:
                differing.append(item or {"tlsKey": row["tlsKey"], "revision": 0})
        if differing:
            return json_answer(412, {"items": differing})
        puts = payload.get("put", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return answer(404)
        for put in puts:
            self._put(put["tlsKey"], put["value"], put.get("lease", 0))
        for key in payload.get("remove", []):
            self.remove(key)
        return json_answer(200, {"revision": self.revision})


class Door(Server):
    """One machine's path to the store, which may be cut.

    :ivar cut: the machine's channels are reset, new ones too.
    """

    def __init__(self, name: str, store: Store) -> None:
        super().__init__(name, store.record)
        self.cut = False
        self._store = store
        self._read = asyncio.Event()

    async def next_read(self) -> None:
        """Wait until the machine has read the items once more."""
        self._read.clear()
        await self._read.wait()

    def cut_off(self) -> None:
        """Reset the machine's channels to the store from now on."""
        self.cut = True
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.cut:
            writer.transport.abort()
            return
        await super()._serve(reader, writer)

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass one call on."""
        await self._store.handle(request, reader, writer)
        if request.path == "/v1/kv-range":
            self._read.set()


class Node:
    """One process of the project, started as the deploy file says."""

    def __init__(self, name: str, store: str, folder: str, **more: t.Any) -> None:
        front, ready, control, tunnel = free_ports(4)
        self.name = name
        self.front = f"{HOST}:{front}"
        self.ready = f"{HOST}:{ready}"
        self._folder = pathlib.Path(folder)
        seeds = more.get("seeds") or [f"{HOST}:{control}"]
        self.control = f"{HOST}:{control}"
        self.settings = self._folder / f"{name}.toml"
        self.settings.write_text(
            f'nodeName = "{name}"\nrole = "gateway"\nmachineClass = "edge"\n'
            f'serves = ["edge","control_plane"]\nip = "{HOST}"\n'
            f'zone = "{more.get("zone", "hobart-hall")}"\n'
            f'region = "lutruwita-south"\nportRange = [{tunnel - 1},{tunnel}]\n'
            f"seeds = {json.dumps(seeds)}\nbootstrap = true\nheartbeatMs = 1200\n"
            f'[listen]\nfront = "{self.front}"\nready = "{self.ready}"\n'
            f'control = "{self.control}"\n[limits]\nmemoryMb = 150\nmaxFds = 4100\n'
            "linkMbps = 1000.0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\n"
            "contactMs = 3000\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n"
            "configApplyMs = 2000\nrollbackSlackMs = 250\nretryBudgetRatio = 0.2\n"
            f'budgetWindowS = 10\nbudgetSlack = 56\n[platform]\naddress = "{store}"\n'
            'form = "kv"\nwrites_per_s = 400\nreads_per_s = 2000\nhistoryS = 20\n'
            "value_bytes = 1048576\nttl_min_ms = 1000\n",
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["BANKRACK_NODE_FILE"] = str(self.settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "platform/serve.py"],
                cwd=ROOT,
                env=kept,
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Ask as the platform does until the node is ready."""
        until = time.monotonic() + seconds
        host, _, port = self.ready.rpartition(":")
        while time.monotonic() < until:
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                    status = await reader.readline()
                    writer.close()
                    if b" 200 " in status:
                        return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} was not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def ended(self) -> int | None:
        """The exit code of the process; ``None`` while it runs."""
        assert self.process is not None
        return self.process.poll()

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, word: str) -> list[str]:
        """Lines of the process's log that hold a word."""
        text = (self._folder / f"{self.name}.log").read_text(encoding="utf-8")
        return [line for line in text.splitlines() if word in line]


@contextlib.contextmanager
def folder() -> t.Iterator[str]:
    """A temporary folder that is removed behind the case."""
    path = tempfile.mkdtemp()
    try:
        yield path
    finally:
        shutil.rmtree(path, ignore_errors=True)


def configuration(
    version: int, routes: list[dict[str, t.Any]], services: list[dict[str, t.Any]]
) -> dict[str, t.Any]:
    """Return a configuration of the operator without tenants."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {
        "configVersion": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


ENGINE_TRAITS = {
    "slots": 64,
    "kvCapacity": 34545,
    "kvTokenBytes": 18432,
    "linkMbps": 2700.0,
    "moves": True,
    "backups": True,
    "stride": 4,
    "most": 12,
    "pin_ms": 4000.0,
    "holdMs": 2000.0,
    "handleS": 5.0,
    "models": [{"name": "m"}],
}
"""As on the sheet of the site."""


def streaming_route(service: str, prefix: str = "/caption/") -> dict[str, t.Any]:
    """Return a route of streams."""
    return {
        "name": "r-stream",
        "hostname": "site.example",
        "pathPrefix": prefix,
        "kind": "streaming",
        "timeoutMs": 39000,
        "targetLatencyMs": 1800,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap_aim_ms": 180,
    }


def server_entry(
    service: str, address: str, *, state: str = "ready", slots: int = 64
) -> dict[str, t.Any]:
    """Return the entry of a server in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "hobart-hall",
        "configVersion": "v1",
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "stage": "both",
        "models": [{"name": "m", "configVersion": 1, "adapters": []}],
        "sequence": 1,
    }


def main(
    case: pathlib.Path,
    play: t.Callable[[Record, str], t.Awaitable[tuple[int, str]]],
) -> int:
    """Play a case in a temporary folder; prints the result, returns the exit code."""
    record = Record(case)
    began = time.monotonic()
    with folder() as name:
        try:
            code, why = asyncio.run(_play(play, record, name))
        except (OSError, TimeoutError) as error:
            code, why = 2, repr(error)
        keep_in = os.environ.get("KEEP_LOG")
        if keep_in:
            for log in pathlib.Path(name).glob("*.log"):
                shutil.copy(log, f"{keep_in}.{log.stem}")
    record.line("judge", f"exit {code}: {why}", took=f"{time.monotonic() - began:.1f}")
    print(f"exit {code}: {why}")
    return code


async def _play(
    play: t.Callable[[Record, str], t.Awaitable[tuple[int, str]]],
    record: Record,
    name: str,
) -> tuple[int, str]:
    return await play(record, name)
