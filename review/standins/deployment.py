"""A small deployment on loopback: the store, plain servers and the project's nodes."""

import asyncio
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

import http1
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "apps.example"
KEY = "k-review-1"
ZONES = ("hall-a", "hall-b", "hall-c")
GRACE_SECONDS = 8
SETTINGS = """\
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "review"
portRange = [{inner},{tunnel}]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
hall-a = "review"
hall-b = "review"
hall-c = "review"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 150
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoveryS = 12
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


_given_out = set()


def free_ports(count):
    """Return ports that are free now, below those of outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(15_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_out:
            _given_out.add(port)
            found.append(port)
    return found


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        print(f"{self.now():8.3f} {text}", file=self._file, flush=True)

    def verdict(self, text):
        self.write(text)
        print(text, flush=True)


class PlainServer:
    """A server of the plain service, which answers each request after its work.

    :ivar runs: times at which each request began to run, by its id.
    """

    def __init__(self, name, record, work_seconds):
        self.name = name
        self.runs = {}
        self.address = ""
        self._record = record
        self._work_seconds = work_seconds
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def entry(self, zone, state="ready"):
        entry = {"service": "apps", "address": self.address, "zone": zone}
        entry |= {"configVersion": 1, "slots": 64, "state": state}
        return entry | {"coldRemainingMs": 0, "sequence": 1}

    def end(self):
        """End as a server does: nothing listens any more, and channels are reset."""
        self._record.write(f"{self.name} ends")
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await http1.read_request(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        headers = [("Bankrack-Instance-Id", self.name)]
        if request.method == "GET" and request.target == "/healthz":
            return http1.encode_response(200, headers, b"")
        expected = request.get("Bankrack-Expect-Instance")
        if expected not in (None, self.name):
            return http1.encode_response(421, headers, b"")
        request_id = request.get("Bankrack-Request-Id")
        if not request_id:
            headers = [("Bankrack-Not-Executed", "1")]
            return http1.encode_response(400, headers, b"")
        self.runs.setdefault(request_id, []).append(time.monotonic())
        self._record.write(f"{request_id} runs at {self.name}")
        await asyncio.sleep(self._work_seconds)
        headers = [
            ("Bankrack-Request-Id", request_id),
            ("Bankrack-Response-Seal", f"seal-{request_id}"),
        ]
        return http1.encode_response(200, headers, f"done {request_id}".encode())


class Node:
    """One process of the project, started as the deploy file says."""

    def __init__(self, name, zone, folder):
        self.name = name
        self.zone = zone
        ports = free_ports(5)
        self.front, self.ready, self.control, self.inner, self.tunnel = ports
        self._path = pathlib.Path(folder, f"{name}.toml")
        self._log = open(pathlib.Path(folder, f"{name}.log"), "ab")
        self.process = None

    def write_settings(self, store, seeds):
        inner, tunnel = sorted((self.inner, self.tunnel))
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            inner=inner,
            tunnel=tunnel,
            front=self.front,
            ready=self.ready,
            control=self.control,
            store=store,
            seeds=",".join(f'"{seed}"' for seed in seeds),
        )
        self._path.write_text(text, encoding="utf-8")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BANKRACK_NODE_FILE"] = str(self._path)
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()

    async def is_ready(self):
        try:
            status, _, _ = await call(
                self.ready, "GET", "/v1/readyz", [("Host", "node")], b""
            )
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False
        return status == 200


class Deployment:
    """The store, plain servers and nodes; a context manager that ends them all."""

    def __init__(self, record, *, zones=ZONES, servers=3, work_seconds=0.09):
        self.record = record
        self.store = Store()
        self._folder = tempfile.TemporaryDirectory()
        self.servers = [
            PlainServer(f"i-{n:08x}", record, work_seconds) for n in range(servers)
        ]
        self.nodes = [
            Node(f"edge-{n}", zone, self._folder.name) for n, zone in enumerate(zones)
        ]

    async def __aenter__(self):
        await self.store.start()
        self.store.put("op/config", self.configuration())
        for number, server in enumerate(self.servers):
            await server.start()
            self.store.put(f"servers/{server.name}", server.entry(ZONES[number % 3]))
        seeds = [f"127.0.0.1:{node.control}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.write_settings(self.store.address, seeds)
            node.start()
        ends_at = time.monotonic() + 20
        while time.monotonic() < ends_at:
            if all([await node.is_ready() for node in self.nodes]):
                return self
            await asyncio.sleep(0.1)
        await self.__aexit__()
        raise NotReady("the nodes did not become ready within 20 s")

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.end()
        if logs := os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                text = pathlib.Path(self._folder.name, f"{node.name}.log").read_bytes()
                pathlib.Path(logs, f"{node.name}.log").write_bytes(text)
        self._folder.cleanup()

    def configuration(self):
        """Return the first configuration; its routes are public, so without keys."""
        routes = [
            {
                "name": "once",
                "hostname": HOST,
                "pathPrefix": "/once/",
                "kind": "non_idempotent",
                "service": "apps",
                "timeoutMs": 1500,
                "targetLatencyMs": 400,
                "priority": 2,
                "maxAttempts": 1,
                "public": True,
            },
            {
                "name": "again",
                "hostname": HOST,
                "pathPrefix": "/again/",
                "kind": "idempotent",
                "service": "apps",
                "timeoutMs": 1500,
                "targetLatencyMs": 400,
                "priority": 2,
                "maxAttempts": 2,
                "public": True,
            },
        ]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
        limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        return {
            "configVersion": 3,
            "routes": routes,
            "services": [
                {"name": "apps", "maxConnections": 110, "healthPath": "/healthz"}
            ],
            "tenants": [{"name": "review", "apiKeys": [KEY]}],
            "limits": limits,
        }


class NotReady(Exception):
    """The deployment did not start."""


def request_headers(request_id, deadline_ms=3000):
    return [
        ("Host", HOST),
        ("Bankrack-Request-Id", request_id),
        ("Bankrack-Deadline-Ms", str(deadline_ms)),
    ]


def encode_head(method, target, headers):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_response(reader):
    """Return status, headers and body; ``None`` if the connection ends before it."""
    head = await http1.read_head(reader)
    if head is None:
        return None
    try:
        body = await http1.read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head[0].split(" ")[1]), head[1], body


async def call(port, method, target, headers, body):
    """Make one request on a new connection."""
    async with asyncio.timeout(2):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            headers = [*headers, ("Content-Length", str(len(body)))]
            writer.write(encode_head(method, target, headers) + body)
            response = await read_response(reader)
        finally:
            writer.close()
    if response is None:
        raise ConnectionError("the connection ended before the response")
    return response
