"""Fake store, plain servers and engines of a gateway soak.

They run in the soak's own process; the servers record all arrivals in a journal.
"""

import asyncio
import contextlib
import dataclasses
import math
import random
import time
import typing as t

from aiohttp import web
from tests.fakes import free_address
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import FakeServer
from tests.platform.fakes import FakeStore

from soak.gateway.conduct import AtCopy
from soak.gateway.conduct import Conduct
from soak.gateway.conduct import draw
from soak.gateway.conduct import draw_silence
from soak.gateway.conduct import Report
from soak.gateway.conduct import Silence
from soak.gateway.endings import Port
from soak.gateway.endings import UnframedResponse
from soak.links import Link

EXPIRY_INTERVAL_SECONDS = 0.2
EVENT_INTERVAL_SECONDS = 0.03
"""Time between two events of a stream, close to that of the platform's engines."""
SPEEDS = (0.6, 1.0, 1.6)
"""Speeds of the engines, by their number."""
SLOW_MOMENT = 2.5
"""How much longer work takes in an engine's slow moments."""
SLOW_PERIOD_SECONDS = 0.6
SLOW_PERIODS = 6
"""One in this many periods of an engine is slow."""
REQUEST_ID = "Bankrack-Request-Id"
BACKOFF_FRACTION = 0.01
"""Fraction of requests that a plain server rejects with a request for backoff."""
BACKOFF_SECONDS = 1.5
RATE_LIMIT = 4.0
"""Rate limit in requests/s that an overloaded plain server announces."""
SERVERS_PER_LIMITED = 3
"""One in this many plain servers periodically announces a rate limit."""
LIMIT_START_SECONDS = 3.0
"""Start of the announcement within each period."""
LIMIT_DURATION_SECONDS = 6.0
"""Duration of the announcement within each period."""
BRITTLE_START_SECONDS = 5.0
BRITTLE_DURATION_SECONDS = 5.0
BRITTLE_ROOM = 2
"""Requests that a server has room for while it is brittle."""
BORNE_REJECTIONS = 6
"""Rejections in a second beyond which a brittle server falls over."""
DOWN_SECONDS = 1.0
LIMIT_PERIOD_SECONDS = 12.0
"""Length of a period; the first one starts when the server is opened."""
REQUESTS_PER_LARGE = 20
"""One in this many requests is large."""
LARGE_EVENT_BYTES = 20_000
LONG_PREFIX = "long"
"""Start of the ids of requests whose streams outlast a grace period."""
LONG_EVENTS = 140
"""Events of a long stream at least; most take 5 to 15 s."""
SLOW_READ_SECONDS = 0.2
"""Time after which a server begins to read a large body."""
FULL_FRACTION = 0.2
"""Fraction of health checks that servers with unframed responses answer with 503."""
PART_SECONDS = 0.02
"""Time between the two parts of an unframed plain response."""
POISON = b"ends whoever runs it"
POISON_PART = "deadly"
"""Part of a prompt that crashes engines, whatever else the request holds."""
POISON_DELAY_SECONDS = 0.05
"""Time from the start of a run with a ``POISON`` body or part to the crash of its
engine."""


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server started to process.

    :param began: monotonic time; so is ``ended``.
    :param resumed: it was sent with ``Kv-From`` and ``Last-Event-Id``, both of which
        make it count as the same run.
    :param unframed: the response has neither a length nor chunks.
    :param whole: such a response was sent to its end.
    :param events: number of events that were made.
    :param broke_off: the engine broke it off itself.
    :param silence: seconds without an event behind one of them; 0 if it never was
        silent.
    :param silent_until: monotonic time of the end of it.
    :param report: what the engine reports of it meanwhile.
    """

    request: str
    server: str
    service: str
    began: float
    resumed: bool
    ended: float | None = None
    unframed: bool = False
    whole: bool = False
    events: int = 0
    broke_off: bool = False
    silence: float = 0.0
    silent_until: float = 0.0
    report: Report = Report.WITHOUT_RUNS

    @property
    def is_listed(self) -> bool:
        """Whether the engine has it in its memory."""
        is_silent = time.monotonic() < self.silent_until
        return not is_silent or self.report is not Report.PREEMPTED

    @property
    def end(self) -> float:
        """Monotonic time of its end; now if it goes on."""
        return self.ended or time.monotonic()


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a server, whether it ran or not.

    :param at: monotonic time.
    :param answered: monotonic time of the response; 0 without a response.
    :param leaving: the response announced that the server is leaving.
    :param backoff: seconds of backoff that the response asked for.
    :param limit: announced rate limit in requests/s; 0 without one.
    """

    request: str
    server: str
    service: str
    at: float
    answered: float = 0.0
    leaving: bool = False
    backoff: float = 0.0
    limit: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Fall:
    """A brittle server that fell over.

    :param at: monotonic time.
    :param period: number of the period in which servers were brittle.
    :param requests: that it had rejected.
    """

    server: str
    at: float
    period: int
    requests: tuple[str, ...]


class Journal:
    """Requests that reached the servers, in order."""

    def __init__(self) -> None:
        self.falls: list[Fall] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []

    def begin(self, run: Run) -> Run:
        """Record the start of a run."""
        self.runs.append(run)
        return run


class SoakStore(FakeStore):
    """Fake of the platform's store with expiring leases and lost responses."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.lost_fraction = 0.0
        self.delay = 0.0
        self.link_by_address: dict[bytes, bytes] = {}
        self.removed: set[str] = set()
        self._expiry_by_lease: dict[int, float] = {}
        self._ttl_by_lease: dict[int, float] = {}

    def put(self, key: str, value: t.Any, lease: int = 0) -> None:
        """Store a value; addresses of nodes in it are replaced by those of links."""
        if isinstance(value, bytes):
            for address, link in self.link_by_address.items():
                value = value.replace(address, link)
        super().put(key, value, lease)

    def remove(self, key: str) -> None:
        """Remove a key, unless a restored copy lacks it anyway."""
        self.removed.add(key)
        if key in self.item_by_key:
            super().remove(key)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call, possibly late, or drop the response after it took effect."""
        if self.delay:
            await asyncio.sleep(self.delay)
        name, _, lease = request.path.removeprefix("/v1/").partition("/")
        response = await super().handle(request)
        if response.status == 200 and name == "kv-lease":
            number = max(self.leases)
            self._ttl_by_lease[number] = 12.0
            self._expiry_by_lease[number] = time.monotonic() + 12.0
        if response.status == 200 and name == "kv-keep":
            number = int(lease)
            self._expiry_by_lease[number] = (
                time.monotonic() + self._ttl_by_lease[number]
            )
        if response.status == 200 and name == "kv-lease-end":
            self._expiry_by_lease[int(lease)] = 0.0
        if self.lost_fraction and self.rng.random() < self.lost_fraction:
            assert request.transport is not None
            request.transport.abort()
        return response

    async def expire(self) -> None:
        """Remove the keys of expired leases until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            now = time.monotonic()
            expired = {n for n, end in self._expiry_by_lease.items() if end < now}
            self.leases -= expired
            for key, item in list(self.item_by_key.items()):
                if item.lease in expired:
                    self.remove(key)


class _JournalingServer(FakeServer):
    """Base of servers that record arrivals in a journal and can inject faults.

    :ivar unframed: draws which responses have neither a length nor chunks.
    :ivar unframed_share: their share.
    :ivar closed: monotonic time from which it leaves or is gone.
    :ivar gone: monotonic time of the end of its process.
    """

    service = ""

    def __init__(self, server_id: str, journal: Journal, rng: random.Random) -> None:
        super().__init__(server_id)
        self.journal = journal
        self.rng = rng
        self.response_fault = ""
        self.resets_all = False
        self.opened = time.monotonic()
        self.closed = math.inf
        self.gone = math.inf
        self.unframed: random.Random | None = None
        self.unframed_share = 0.0
        self.link: Link | None = None
        self._silent_until = 0.0

    async def fall_silent(self, seconds: float) -> None:
        """Answer nothing for some seconds, then go on."""
        self._silent_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    @property
    def port(self) -> Port:
        """The port of a process that can end."""
        assert isinstance(self.link, Port)
        return self.link

    def end(self) -> None:
        """End the process, in the midst of all that it serves."""
        self.gone = time.monotonic()
        self.port.end()

    async def open(
        self, behind: "_JournalingServer | None" = None, down: float = 0.0
    ) -> None:
        """Listen behind a :class:`~soak.links.Link`.

        :param behind: its process ends, and this one is the next life on its port.
        :param down: seconds in between.
        """
        await self.start()
        listen = free_address()
        if behind is not None:
            behind.end()
            await asyncio.sleep(down)
            listen = behind.address
        link = Link if self.unframed is None else Port
        self.link = link(listen, self.address)
        await self.link.start()
        self.address = self.link.listen

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Record a request, then serve it."""
        await asyncio.sleep(self._silent_until - time.monotonic())
        if request.path == "/healthz" and self._is_full():
            return web.Response(status=503, headers={"Bankrack-Instance-Id": self.id})
        request_id = request.headers.get(REQUEST_ID)
        if request_id is None or request.path.startswith("/v1/"):
            return await super().handle(request)
        arrival = Arrival(request_id, self.id, self.service, time.monotonic())
        arrival.limit = float(self.notice_headers().get("Server-Limit", 0.0))
        self.journal.arrivals.append(arrival)
        if is_large(request_id):
            await asyncio.sleep(SLOW_READ_SECONDS)
        response = await super().handle(request)
        if request.transport is not None and not request.transport.is_closing():
            arrival.answered = time.monotonic()
            arrival.leaving = "Server-Leaving" in response.headers
            arrival.backoff = float(response.headers.get("Retry-After", 0.0))
        return response

    def _is_full(self) -> bool:
        """Whether it leaves or is full as its health is asked."""
        draws = self.unframed
        return draws is not None and (self.leaving or draws.random() < FULL_FRACTION)

    def _begin_response(self, request: web.BaseRequest, run: Run) -> web.StreamResponse:
        draws = self.unframed
        run.unframed = draws is not None and draws.random() < self.unframed_share
        if run.unframed:
            return UnframedResponse(headers=self.sealed(request))
        return web.StreamResponse(headers=self.sealed(request))

    def _begin(self, request: web.BaseRequest) -> Run:
        request_id = request.headers[REQUEST_ID]
        resumed = {"Kv-From", "Last-Event-Id"} <= request.headers.keys()
        run = Run(request_id, self.id, self.service, time.monotonic(), resumed)
        return self.journal.begin(run)

    def _abort(self, request: web.BaseRequest) -> web.Response:
        assert request.transport is not None
        request.transport.abort()
        return web.Response()


class SoakServer(_JournalingServer):
    """A plain server; ``response_fault`` is the kind of its faulty responses.

    One that ``resets_all`` resets each request after it ran.
    """

    service = "plain"

    def __init__(self, server_id: str, journal: Journal, rng: random.Random) -> None:
        super().__init__(server_id, journal, rng)
        self._present = 0
        self._down_until = 0.0
        self._rejected: list[tuple[float, str]] = []

    @property
    def has_limits(self) -> bool:
        """Whether it announces a rate limit at times."""
        return int(self.id.partition("-")[2]) % SERVERS_PER_LIMITED == 0

    @property
    def is_brittle(self) -> bool:
        """Whether it falls over if it must reject many requests, at fixed times."""
        number = int(self.id.partition("-")[2])
        age = (time.monotonic() - self.opened) % LIMIT_PERIOD_SECONDS
        is_time = 0.0 <= age - BRITTLE_START_SECONDS < BRITTLE_DURATION_SECONDS
        return is_time and number % SERVERS_PER_LIMITED == SERVERS_PER_LIMITED - 1

    def _reject_for_room(self, request_id: str) -> web.Response:
        """Reject a request; the server falls over after too many."""
        now = time.monotonic()
        self._rejected = [(at, r) for at, r in self._rejected if at > now - 1.0]
        self._rejected.append((now, request_id))
        if len(self._rejected) > BORNE_REJECTIONS:
            period = int(now / LIMIT_PERIOD_SECONDS)
            requests = tuple(rejected for _, rejected in self._rejected)
            self.journal.falls.append(Fall(self.id, now, period, requests))
            self._rejected.clear()
            self._down_until = now + DOWN_SECONDS
        return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})

    def notice_headers(self) -> dict[str, str]:
        """Headers of each response; a rate limit is announced at fixed times.

        This makes no random draw, so that it doesn't change the sequence of others.
        """
        age = (time.monotonic() - self.opened) % LIMIT_PERIOD_SECONDS
        limited = 0.0 <= age - LIMIT_START_SECONDS < LIMIT_DURATION_SECONDS
        self.limit = str(RATE_LIMIT) if limited and self.has_limits else ""
        self.brittle = str(BORNE_REJECTIONS) if self.is_brittle else ""
        return super().notice_headers()

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a plain request, if there is room."""
        if time.monotonic() < self._down_until:
            return self._abort(request)
        if self.is_brittle and self._present >= BRITTLE_ROOM:
            return self._reject_for_room(request.headers[REQUEST_ID])
        self._present += 1
        try:
            return await self._run(request)
        finally:
            self._present -= 1

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        draw = self.rng.random()
        if draw < 0.02:
            rejected = web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
            if draw < BACKOFF_FRACTION:
                rejected.headers["Retry-After"] = str(BACKOFF_SECONDS)
            return rejected
        run = self._begin(request)
        await asyncio.sleep(self.rng.uniform(0.01, 0.12))
        run.ended = time.monotonic()
        if self.resets_all:
            return self._abort(request)
        is_faulty = bool(self.response_fault) and self.rng.random() < 0.4
        if is_faulty and self.response_fault == "error":
            return web.Response(status=500, headers=self.sealed(request))
        if is_faulty and self.response_fault == "reset":
            return self._abort(request)
        if is_faulty and self.response_fault == "foreign":
            headers = {**self.sealed(request), REQUEST_ID: "another"}
            return web.Response(body=b"not yours", headers=headers)
        if is_faulty and self.response_fault == "torn":
            return await self._send_torn_response(request)
        body = expected_body(run.request)
        response = self._begin_response(request, run)
        if not run.unframed:
            return web.Response(body=body, headers=self.sealed(request))
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        await asyncio.sleep(PART_SECONDS)
        await response.write(body[len(body) // 2 :])
        await response.write_eof()
        run.whole = True
        return response

    async def _send_torn_response(self, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse(headers=self.sealed(request))
        response.content_length = 1000
        await response.prepare(request)
        await response.write(b"the first bytes")
        self._abort(request)
        return response


class SoakEngine(FakeEngine, _JournalingServer):
    """An engine whose events name their request.

    :ivar strict: it takes ``Kv-From`` without ``Last-Event-Id`` for a new run.
    :ivar conducts: draws how it serves each run; by default it serves all alike.
    :ivar silences: draws how it falls silent, and what it does with runs sent to its
        copies; by default it does neither.
    :ivar states_runs: its reports list its runs.
    :ivar trouble: how it treats new runs; it may ``reset`` or ``reject`` them.
    """

    service = "engines"

    def __init__(self, server_id: str, journal: Journal, rng: random.Random) -> None:
        super().__init__(server_id, events=0, journal=journal, rng=rng)
        self.pause = EVENT_INTERVAL_SECONDS
        self.stalled = False
        self.strict = False
        self.conducts: random.Random | None = None
        self.silences: random.Random | None = None
        self.states_runs = False
        self.trouble = ""
        self._at_work: list[Run] = []
        self.on_poison: t.Callable[[SoakEngine, str], None] = lambda engine, cause: None

    @property
    def speed(self) -> float:
        """How fast it works, as a multiple of the usual."""
        return SPEEDS[self._number % len(SPEEDS)]

    @property
    def slowdown(self) -> float:
        """How long work takes at this moment, as a multiple of the usual time."""
        period = int(time.monotonic() / SLOW_PERIOD_SECONDS) + self._number
        return 1.0 if period % SLOW_PERIODS else SLOW_MOMENT

    @property
    def _number(self) -> int:
        return int(self.id.partition("-")[2])

    def notice_headers(self) -> dict[str, str]:
        """Headers of each response, with how long work takes at this moment."""
        self.load = f"0,0,8,{round(100 * self.slowdown)}"
        return super().notice_headers()

    async def control(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call; a report lists another run too, which preempts others."""
        if self.states_runs:
            listed = [run for run in self._at_work if run.is_listed]
            runs = [[r.request, 1000 + r.events, r.events, 1] for r in listed]
            self.runs = [*runs, ["other", 90, 1, 1]]
        return await super().control(request)

    async def _fail_copy(self, request: web.BaseRequest) -> web.Response | None:
        """Respond as one that fails to go on from a copy, or return ``None``."""
        assert self.silences is not None
        status, delay = self.silences.choice(list(AtCopy)).value
        await asyncio.sleep(delay)
        match status:
            case 200:
                return None
            case 0:
                return self._abort(request)
            case 1:
                return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
        return web.Response(status=status)

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Stream a run from its first event, or from a copy's next event."""
        if self.trouble == "reject":
            return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
        if self.trouble == "reset":
            run = self._begin(request)
            run.ended, run.broke_off = time.monotonic(), True
            return self._abort(request)
        request_id = request.headers[REQUEST_ID]
        first = 0
        copy_handle = request.headers.get("Kv-From")
        if self.strict and "Last-Event-Id" not in request.headers:
            copy_handle = None
        if copy_handle is not None:
            if copy_handle not in self.handles:
                return web.Response(status=503, headers={"Bankrack-Not-Executed": "1"})
            self.handles.discard(copy_handle)
            if self.silences is not None:
                failure = await self._fail_copy(request)
                if failure is not None:
                    return failure
            first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        backup = request.headers.get("Kv-Backup")
        if backup in self.engine_by_address:
            self.engine_by_address[backup].handles.add(f"{backup}/{request_id}")
        run = self._begin(request)
        conduct = Conduct()
        if self.conducts is not None:
            conduct = draw(self.conducts, resumed=run.resumed)
        silence = None
        if self.silences is not None and not run.resumed:
            silence = draw_silence(self.silences, states_runs=self.states_runs)
        self._at_work.append(run)
        try:
            return await self._stream(request, run, first, conduct, silence)
        finally:
            self._at_work.remove(run)
            run.ended = time.monotonic()

    async def _stream(
        self,
        request: web.BaseRequest,
        run: Run,
        first: int,
        conduct: Conduct,
        silence: Silence | None,
    ) -> web.StreamResponse:
        await asyncio.sleep(conduct.head_delay)
        response = self._begin_response(request, run)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        if cause := await _poison_in(request):
            await asyncio.sleep(POISON_DELAY_SECONDS)
            self.on_poison(self, cause)
        for number in range(first, event_count(run.request)):
            if number == first + conduct.stall_after:
                # Gateways wait for engines whose reports list the run.
                run.report = Report.PREEMPTED
                run.silent_until = time.monotonic() + conduct.stall_seconds
                await asyncio.sleep(conduct.stall_seconds)
            if self.breaks_off or conduct.breaks_off:
                await response.write(b"id: %d\ndata: to" % number)
                run.broke_off = True
                self._abort(request)
                return response
            while self.stalled:
                await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            await response.write(expected_event(run.request, number))
            run.events = number + 1
            pause = self.pause * self.slowdown / self.speed
            if silence is not None and run.events == silence.after:
                run.report, run.silence = silence.report, silence.seconds + pause
                run.silent_until = time.monotonic() + run.silence
                await asyncio.sleep(silence.seconds)
            await asyncio.sleep(pause)
        await response.write_eof()
        run.whole = True
        return response


async def _poison_in(request: web.BaseRequest) -> str:
    """Name what in a request crashes engines; empty if nothing does."""
    if await request.read() == POISON:
        return "request"
    parts = request.headers.get("Bankrack-Prompt-Prefix", "")
    return "part" if f"{POISON_PART}:" in parts else ""


def expected_body(request_id: str) -> bytes:
    """The expected body of the response to a plain request."""
    return f"answer to {request_id}".encode()


def event_count(request_id: str) -> int:
    """Number of events in the stream of a request."""
    if request_id.startswith(LONG_PREFIX):
        return LONG_EVENTS + 37 * sum(request_id.encode()) % 120
    return 3 + sum(request_id.encode()) % 60


def is_large(request_id: str) -> bool:
    """Whether a request has a large body and a stream of large events."""
    number = request_id.removeprefix("q")
    if not number.isdigit():
        return False
    return int(number) % REQUESTS_PER_LARGE == REQUESTS_PER_LARGE - 1


def expected_event(request_id: str, number: int) -> bytes:
    """An expected event in the stream of a request."""
    padding = "." * LARGE_EVENT_BYTES if is_large(request_id) else ""
    return f"id: {number}\ndata: {request_id} {number}{padding}\n\n".encode()


async def close(servers: t.Iterable[FakeServer]) -> None:
    """Stop all servers."""
    for server in servers:
        with contextlib.suppress(OSError):
            await server.stop()
