"""Model servers that stream, reserve, copy memory and go on from copies."""

import asyncio
import contextlib
import json
import time
import typing as t

from standins import answer
from standins import json_answer
from standins import Record
from standins import Request
from standins import Server

REQUEST_ID = "bankrack-request-id"


class Memory:
    """What a server holds of one request: the request that it was made for."""

    def __init__(self, owner: str, made: int) -> None:
        self.owner = owner
        self.made = made


class Run(Memory):
    """A request at work."""

    def __init__(self, request: str, owner: str, made: int) -> None:
        super().__init__(owner, made)
        self.request = request
        self.stopped = False
        self.preempted = False


class Engine(Server):
    """A model server; its streams name the request whose memory they go on from.

    :ivar events: number of events of a stream, given the request's id.
    :ivar gap: seconds between two events.
    :ivar surplus_left: answers to ``kv-move`` that are still sent a second time.
    :ivar preempted_at: number of the event before which a run is preempted, once.
    :ivar preempted_seconds: time until it goes on; no report lists it meanwhile.
    :ivar keeps_copies: copies are kept; otherwise they give way to running requests.
    :ivar queue_seconds: time in the queue until a request without a copy is rejected.
    :ivar carried: pairs of a request and the one whose memory it was carried on from.
    """

    by_address: t.ClassVar[dict[str, "Engine"]] = {}

    def __init__(self, name: str, record: Record) -> None:
        super().__init__(name, record)
        self.events: t.Callable[[str], int] = lambda request: 250
        self.gap = 0.04
        self.move_seconds = 0.05
        self.preempted_at: int | None = None
        self.preempted_seconds = 1.5
        self.keeps_copies = True
        self.queue_seconds = 0.0
        self.surplus_left = 0
        self.surplus_pause = 0.1
        self._surplus_at = 0.0
        self.surplus_delay = 0.03
        self.answers = 0
        self.moves = 0
        self.surplus_sent = 0
        self.carried: list[tuple[str, str]] = []
        self.arrivals: list[tuple[float, str, bool]] = []
        self.draining = False
        self._runs: dict[str, Run] = {}
        self._copies: dict[str, Memory] = {}
        self._holds: dict[str, float] = {}
        self._number = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port."""
        await super().start(port)
        Engine.by_address[self.address] = self

    def runs_now(self, request: str) -> bool:
        """Whether a request is at work here."""
        return request in self._runs

    def has_copy_of(self, request: str) -> bool:
        """Whether a copy of a request's memory lies here."""
        return any(memory.owner == request for memory in self._copies.values())

    async def handle(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a call, or run a request."""
        self.answers += 1
        if request.path.startswith("/v1/"):
            await self._control(request, writer)
        elif request.path == "/healthz":
            headers = {"Bankrack-Instance-Id": self.name}
            writer.write(answer(503 if self.draining else 200, b"", headers))
        else:
            await self._run(request, writer)
        await writer.drain()

    async def _control(self, request: Request, writer: asyncio.StreamWriter) -> None:
        name, _, number = request.path.removeprefix("/v1/").partition("/")
        if name == "report":
            writer.write(json_answer(200, self._report()))
        elif name == "hold-take":
            self._number += 1
            hold = f"hold-{self.name}-{self._number}"
            self._holds[hold] = time.monotonic()
            writer.write(json_answer(200, {"hold": hold}))
        elif name == "hold-drop":
            self._holds.pop(number, None)
            writer.write(json_answer(200, {}))
        elif name == "kv-handle":
            writer.write(json_answer(200, {}))
        elif name == "kv-move":
            await self._move(json.loads(request.body), writer)
        else:
            writer.write(answer(404))

    def _report(self) -> dict[str, t.Any]:
        at_work = [run for run in self._runs.values() if not run.preempted]
        runs = [[r.request, 1000 + 4 * r.made, r.made, 0] for r in at_work]
        return {
            "stage": "both",
            "models": [{"name": "m", "configVersion": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": len(self._runs) - len(runs),
            "running": len(runs),
            "kvUsed": sum(run[1] for run in runs),
            "kvTotal": 34545,
            "handles": 0,
            "state": "draining" if self.draining else "ready",
            "nextPageToken": 0,
            "runs": runs,
        }

    async def _move(
        self, payload: dict[str, t.Any], writer: asyncio.StreamWriter
    ) -> None:
        """Copy a run's memory to another server; a repeat copies what is new."""
        run = self._runs.get(payload["id"])
        target = Engine.by_address.get(payload["targetVersion"])
        await asyncio.sleep(self.move_seconds)
        if run is None or run.stopped:
            writer.write(json_answer(404, {}))
            return
        if target is None:
            writer.write(json_answer(503, {}))
            return
        handle = f"copy-{self.name}-{run.owner}"
        target._copies[f"{self.address}/{handle}"] = Memory(run.owner, run.made)
        self.moves += 1
        whole = json_answer(200, {"handle": handle, "made": run.made})
        writer.write(whole)
        self.record.line(self.name, "moved", run=payload["id"], handle=handle)
        now = time.monotonic()
        if self.surplus_left and now >= self._surplus_at + self.surplus_pause:
            self.surplus_left -= 1
            self._surplus_at = now
            asyncio.get_running_loop().call_later(
                self.surplus_delay, self._send_again, writer, whole, handle
            )

    def _send_again(
        self, writer: asyncio.StreamWriter, whole: bytes, handle: str
    ) -> None:
        """Send a second answer behind a whole one."""
        if not writer.is_closing():
            self.surplus_sent += 1
            self.record.line(self.name, "surplus", handle=handle)
            with contextlib.suppress(OSError):
                writer.write(whole)

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get(REQUEST_ID, "")
        expected = request.headers.get("bankrack-expect-instance", self.name)
        if expected != self.name:
            headers = {"Bankrack-Instance-Id": self.name}
            writer.write(answer(421, b"", headers))
            return
        source = request.headers.get("kv-from")
        last = int(request.headers.get("last-event-id", "-1"))
        self.arrivals.append((time.monotonic(), request_id, source is not None))
        owner, first = request_id, 0
        if source is not None:
            memory = self._copies.pop(source, None) if self.keeps_copies else None
            if memory is None:
                await asyncio.sleep(self.queue_seconds)
                self.record.line(self.name, "no copy", request=request_id, kv=source)
                headers = {"Bankrack-Not-Executed": "1"}
                writer.write(answer(503, b"", headers))
                return
            owner, first = memory.owner, last + 1
            self.carried.append((request_id, owner))
        backup = request.headers.get("kv-backup", "")
        run = Run(request_id, owner, first)
        self._runs[request_id] = run
        self.record.line(
            self.name, "runs", request=request_id, memory_of=owner, first=first
        )
        holder = Engine.by_address.get(backup)
        if holder is not None:
            holder._copies[f"{backup}/{request_id}"] = run
        try:
            await self._stream(run, first, writer)
        finally:
            run.stopped = True
            self._runs.pop(request_id, None)
            self.record.line(self.name, "left", request=request_id, made=run.made)

    async def _stream(self, run: Run, first: int, writer: asyncio.StreamWriter) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Bankrack-Request-Id: {run.request}\r\n"
            f"Bankrack-Response-Seal: seal.{self.name}.{run.request}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.events(run.request)):
            if number == self.preempted_at:
                self.preempted_at = None
                await self._preempt(run)
            event = f"id: {number}\ndata: {run.owner} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                return
            run.made = number + 1
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")

    async def _preempt(self, run: Run) -> None:
        """Take a run's memory for a while; it goes on once it was read anew."""
        run.preempted = True
        self.record.line(self.name, "preempts", request=run.request)
        await asyncio.sleep(self.preempted_seconds)
        run.preempted = False
        self.record.line(self.name, "goes on", request=run.request)


class Stream:
    """A stream as its caller sees it.

    :ivar foreign: events that name another request.
    :ivar end: how it ended.
    """

    def __init__(self, request: str) -> None:
        self.request = request
        self.status = 0
        self.count = 0
        self.foreign: list[str] = []
        self.end = ""


async def call_stream(
    front: str, request: str, record: Record, *, path: str = "/caption/1"
) -> Stream:
    """Send a streaming request to a node and read its answer to the end."""
    stream = Stream(request)
    host, _, port = front.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b"x" * 300
    head = (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\n"
        f"Bankrack-Request-Id: {request}\r\nBankrack-Model: m\r\n"
        "Bankrack-Token-Usage: 300,1000\r\n"
        f"Bankrack-Prompt-Prefix: aa:100,{request}:200\r\n"
        "Bankrack-Deadline-Ms: 39000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    record.line("caller", "sent", request=request)
    try:
        answer_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        stream.status = int(answer_head.split(" ", 2)[1])
        if stream.status != 200:
            stream.end = str(stream.status)
        else:
            await _read_events(reader, stream)
    except (asyncio.IncompleteReadError, OSError) as error:
        stream.end = f"cut ({type(error).__name__})"
    finally:
        writer.close()
    record.line(
        "caller",
        "got",
        request=request,
        status=stream.status,
        events=stream.count,
        foreign=len(stream.foreign),
        first_foreign=stream.foreign[:1],
        end=stream.end,
    )
    return stream


async def _read_events(reader: asyncio.StreamReader, stream: Stream) -> None:
    buffer = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        buffer += (await reader.readexactly(size + 2))[:-2]
        while b"\n\n" in buffer:
            event, _, buffer = buffer.partition(b"\n\n")
            stream.count += 1
            owner = event.rpartition(b"data: ")[2].split(b" ")[0].decode()
            if owner != stream.request:
                stream.foreign.append(owner)
    stream.end = "whole"
