"""Fault injection for gateways, the store, servers and the links between them."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
import typing as t

from tests.platform.fakes import configuration

from soak.gateway.callers import KEY
from soak.gateway.callers import MODEST_KEY
from soak.gateway.callers import PRESSING_KEY
from soak.gateway.checks import Checker
from soak.gateway.checks import Reset
from soak.gateway.fakes import BACKOFF_SECONDS
from soak.gateway.fakes import close
from soak.gateway.fakes import Journal
from soak.gateway.fakes import SoakEngine
from soak.gateway.fakes import SoakServer
from soak.gateway.fakes import SoakStore
from soak.gateway.processes import Gateway

PAUSE_SECONDS = (0.3, 2.0)
ENGINE_NOTICE_SECONDS = 1.8
"""Time from an engine's notice that it is leaving until it ends, as on the platform."""
RESET_START_SECONDS = 3.0
RESET_SECONDS = 3.0
"""Time for which a plain server resets all requests, while its entry is in order."""
BACKOFF_START_SECONDS = 3.5
"""Time after the last fault, when no node counts as disturbed any more."""
BACKOFF_PHASE_SECONDS = 3.0
"""Time for which all plain servers reject all requests and ask for back-off."""
LEAVING_SECONDS = 4.0
"""Time for which plain servers serve requests after they announced that they leave."""
STORE_FAULTS = ("busy", "silent", "slow", "lost", "blind", "forgetful")
LINK_FAULTS = ("reset", "silent", "slow", "one way")
RESPONSE_FAULTS = ("error", "reset", "foreign", "torn")
KINDS = (
    "gateway killed",
    "gateway frozen",
    "gateway stopped",
    "gateway reloaded",
    *[f"store {kind}" for kind in STORE_FAULTS],
    *[f"store link {kind}" for kind in LINK_FAULTS],
    *[f"server link {kind}" for kind in LINK_FAULTS],
    *[f"hall cut {kind}" for kind in LINK_FAULTS],
    *["server leaves"] * 4,
    *["server spoils answers"] * 2,
    *["engine reclaimed"] * 4,
    "engine crashes",
    "engine stalls",
    *["configuration changed"] * 3,
)
"""Kinds of faults; the number of entries is the weight of a kind."""


STRICT_FRACTION = 0.5
"""Fraction of the engines that are strict where engines differ in their conduct."""
UNFRAMED_SHARES = (0.0, 0.6, 1.0)
"""Shares of a server's responses that have no framing, if some have none."""
LARGE_ROUTES = 1_400
"""Routes that only make the configurations large."""
LARGE_PAUSE_SECONDS = (0.8, 3.0)
"""Time between two series of large configurations."""
SERIES_PAUSE_SECONDS = (0.0, 0.6)
MAX_SERIES = 3
PATIENT_STREAMS = {"targetLatencyMs": 6000, "gap_aim_ms": 1500}
"""Fields of streaming routes whose runs may wait for room in the pool for long."""
NARROW_LINK_BYTES_PER_SECOND = 1.25e6
"""Rate of 10 Mbit/s between gateways while configurations are large."""

WORKSPACES = (
    {"name": "tutors", "apiKeys": [KEY]},
    {"name": "crammers", "apiKeys": [PRESSING_KEY]},
    {"name": "pupils", "apiKeys": [MODEST_KEY]},
)


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """A planned fault.

    :param at: seconds from the start of the soak.
    :param rng: draws the details, which so depend on the seed alone.
    """

    at: float
    kind: str
    rng: random.Random


def plan(seed: int, seconds: float) -> list[Fault]:
    """Draw the faults of a soak; they may overlap.

    The plan depends on the seed alone, so that a seed gives the same faults at the same
    times regardless of the machine's load.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    at = rng.uniform(*PAUSE_SECONDS)
    while at < seconds:
        details = random.Random(rng.getrandbits(64))
        faults.append(Fault(at, rng.choice(KINDS), details))
        at += rng.uniform(*PAUSE_SECONDS)
    return faults


class FaultInjector:
    """Injects the faults of a plan.

    :param rng: draws the servers' own behavior, which depends on their traffic.
    """

    def __init__(
        self,
        gateways: list[Gateway],
        store: SoakStore,
        journal: Journal,
        checker: Checker,
        rng: random.Random,
    ) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self.poisoned_by_cause: dict[str, list[str]] = {"request": [], "part": []}
        self._restarts: set[asyncio.Task[None]] = set()
        self.servers: list[SoakServer] = []
        self.engines: list[SoakEngine] = []
        # Those that have ended too, as nodes know them for a while.
        self._engine_by_address: dict[str, t.Any] = {}
        self._conducts: random.Random | None = None
        self._unframed: random.Random | None = None
        self._silences: random.Random | None = None
        self._gateways = gateways
        self._store = store
        self._journal = journal
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count()
        self._version = 1
        self._stream_fields: dict[str, int] = {}
        self._added: list[str] = []
        self._large_routes: list[dict[str, t.Any]] = []

    async def begin(
        self,
        *,
        conducts: random.Random | None = None,
        unframed: random.Random | None = None,
        silences: random.Random | None = None,
        patient: bool = False,
    ) -> None:
        """Start the initial servers and write the initial configuration.

        :param conducts: draws how engines serve runs, see :mod:`soak.gateway.conduct`;
            by default they serve all alike.
        :param unframed: draws which servers send responses without framing; by default
            none does.
        :param silences: draws how engines fall silent in the midst of runs; by default
            none does.
        :param patient: streams may wait for room in the pool for long.
        """
        if patient:
            self._stream_fields = PATIENT_STREAMS
        self._conducts = conducts
        self._silences = silences
        self._unframed = unframed
        for _ in range(3 if unframed is None and silences is None else 5):
            await self._open_server()
            await self._open_engine()
        self._write_configuration()

    async def run(self, faults: t.Sequence[Fault]) -> None:
        """Inject each fault at its time and wait until all have been repaired."""
        began = time.monotonic()
        tasks = {asyncio.create_task(self._reset_requests())}
        for fault in faults:
            await asyncio.sleep(began + fault.at - time.monotonic())
            self.counts[fault.kind] += 1
            print(f"fault {fault.kind}", flush=True)
            tasks.add(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def change_large_configurations(self, seed: int, seconds: float) -> None:
        """Write large configurations in series over narrow links between gateways."""
        rng = random.Random(seed)
        template = configuration(0)["routes"][0]
        for number in range(LARGE_ROUTES):
            name = f"filler-{rng.getrandbits(64):016x}"
            route = {**template, "name": name, "pathPrefix": f"/{name}-{number}/"}
            self._large_routes.append(route)
        for gateway in self._gateways:
            gateway.inner_link.rate = NARROW_LINK_BYTES_PER_SECOND
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for _ in range(rng.randint(1, MAX_SERIES)):
                self.counts["large configuration"] += 1
                # Most series change one route, some all of them.
                if rng.random() < 0.2:
                    rng.shuffle(self._large_routes)
                await self.change_configuration(rng)
                await asyncio.sleep(rng.uniform(*SERIES_PAUSE_SECONDS))
            await asyncio.sleep(rng.uniform(*LARGE_PAUSE_SECONDS))

    async def ask_for_backoff(self) -> None:
        """Let all plain servers ask for back-off after all faults have been repaired.

        With some left, nodes would prefer those that do not reject requests even if
        they did not honor the back-off.
        """
        await asyncio.sleep(BACKOFF_START_SECONDS)
        for server in self.servers:
            server.backoff = str(BACKOFF_SECONDS)
        await asyncio.sleep(BACKOFF_PHASE_SECONDS)
        for server in self.servers:
            server.backoff = ""

    async def replace_all(self) -> None:
        """Restart all gateways in turn; each is ready before the next one stops."""
        for gateway in self._gateways:
            self.counts["gateway replaced"] += 1
            print(f"replacing {gateway.name}", flush=True)
            await self.stop(gateway)
            await gateway.wait_until_ready()

    async def end(self) -> None:
        """Stop all servers."""
        await asyncio.gather(*self._restarts)
        await close([*self.servers, *self.engines])

    async def _inject(self, fault: Fault) -> None:
        rng = fault.rng
        gateway = rng.choice(self._gateways)
        match fault.kind.split():
            case ["gateway", kind]:
                await self._disturb_gateway(gateway, kind, rng)
            case ["store", "link", *kind]:
                await self._disturb_store_link(gateway, " ".join(kind), rng)
            case ["store", kind]:
                await self._disturb_store(kind, rng)
            case ["hall", "cut", *kind]:
                await self._cut_hall(gateway.hall, " ".join(kind), rng)
            case ["server", "link", *kind]:
                await self._disturb_server_link(" ".join(kind), rng)
            case ["server", "leaves"]:
                await self.server_leaves(rng)
            case ["server", "spoils", "answers"]:
                await self._corrupt_responses(rng)
            case ["engine", "reclaimed"]:
                await self.engine_reclaimed(rng)
            case ["engine", "crashes"]:
                await self._engine_crashes(rng)
            case ["engine", "stalls"]:
                await self._engine_stalls(rng)
            case ["configuration", "changed"]:
                await self.change_configuration(rng)
            case _:
                raise ValueError(f"unknown kind of fault: {fault.kind!r}")

    # Gateways

    async def _disturb_gateway(
        self, gateway: Gateway, kind: str, rng: random.Random
    ) -> None:
        match kind:
            case "killed":
                down = rng.uniform(0.2, 2.0)
                await self.run_exclusively(gateway, lambda: gateway.kill(down))
            case "frozen":
                pause = rng.uniform(0.3, 3.0)
                await self.run_exclusively(gateway, lambda: gateway.freeze(pause))
            case "stopped":
                await self.run_exclusively(gateway, lambda: self.stop(gateway))
            case "reloaded":
                gateway.reload(send_signal=rng.random() < 0.5)

    async def run_exclusively(
        self, gateway: Gateway, work: t.Callable[[], t.Awaitable[None]]
    ) -> None:
        """Inject a fault unless another one affects the same gateway's process."""
        if gateway.busy:
            return
        gateway.busy = True
        try:
            await work()
        finally:
            gateway.busy = False

    async def stop(self, gateway: Gateway) -> None:
        """Stop a gateway as planned, and start it again."""
        undisturbed = time.monotonic() > gateway.undisturbed_from
        in_time = await gateway.stop()
        if undisturbed:
            self._checker.record_stop(gateway, in_time=in_time)

    # The store

    async def _disturb_store(self, kind: str, rng: random.Random) -> None:
        store = self._store
        began = time.monotonic()
        if kind == "forgetful":
            store.compacted_revision = store.revision + 1
            store.put("op/other", {})
            return
        match kind:
            case "busy":
                store.status = rng.choice([429, 503])
            case "silent":
                store.unresponsive = True
            case "slow":
                store.delay = 0.3
            case "lost":
                store.lost_fraction = 0.4
            case "blind":
                store.watch_misses_changes = True
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        store.status = 0
        store.unresponsive = store.watch_misses_changes = False
        store.delay = store.lost_fraction = 0.0
        if kind != "blind":
            self._checker.store_faults.append((began, time.monotonic()))

    async def _disturb_store_link(
        self, gateway: Gateway, kind: str, rng: random.Random
    ) -> None:
        seconds = rng.uniform(0.5, 5.0)
        gateway.disturb(seconds + 4.0)
        await self._disturb_link(gateway.store_link, kind, seconds)

    async def _cut_hall(self, hall: str, kind: str, rng: random.Random) -> None:
        """Disturb messages from all nodes to those of one hall.

        No guarantee of a single node depends on these messages, so the nodes aren't
        marked as disturbed.
        """
        seconds = rng.uniform(0.5, 5.0)
        began = time.monotonic()
        links = [g.inner_link for g in self._gateways if g.hall == hall]
        await asyncio.gather(
            *(self._disturb_link(link, kind, seconds) for link in links)
        )
        self._checker.hall_cuts.append((began, time.monotonic()))

    async def _disturb_link(self, link: t.Any, kind: str, seconds: float) -> None:
        match kind:
            case "reset":
                link.cut()
                return
            case "silent":
                link.stall()
            case "slow":
                link.delay = 0.2
            case "one way":
                link.stall_responses()
        await asyncio.sleep(seconds)
        link.repair()

    # Servers

    def in_service(self, service: str) -> list[SoakServer] | list[SoakEngine]:
        """The servers of a service that take requests."""
        return self.engines if service == "engines" else self.servers

    async def open(
        self, service: str, *, behind: t.Any = None, down: float = 0.0
    ) -> None:
        """Open a server, possibly as the next life of another one on its port."""
        if service == "engines":
            await self._open_engine(behind, down)
        else:
            await self._open_server(behind, down)

    def _draw_framing(self, server: SoakServer | SoakEngine) -> None:
        if self._unframed is not None:
            server.unframed = random.Random(self._unframed.getrandbits(64))
            server.unframed_share = self._unframed.choice(UNFRAMED_SHARES)

    async def _open_server(self, behind: t.Any = None, down: float = 0.0) -> SoakServer:
        server = SoakServer(f"p-{next(self._numbers)}", self._journal, self._rng)
        self._draw_framing(server)
        await server.open(behind, down)
        self.servers.append(server)
        self._store.put(f"servers/{server.id}", server.entry("plain"))
        return server

    async def server_leaves(self, rng: random.Random) -> None:
        """Start a new server, then remove another one as planned."""
        leaving = rng.choice(self.servers)
        await self._open_server()
        if leaving not in self.servers:
            return
        self.servers.remove(leaving)
        leaving.leaving = True
        if rng.random() < 0.7:
            entry = leaving.entry("plain", state="draining")
            self._store.put(f"servers/{leaving.id}", entry)
            self._checker.left_at_by_server[leaving.id] = time.monotonic()
            await asyncio.sleep(LEAVING_SECONDS)
            self._store.remove(f"servers/{leaving.id}")
        else:
            self._store.remove(f"servers/{leaving.id}")
            self._checker.left_at_by_server[leaving.id] = time.monotonic()
            await asyncio.sleep(LEAVING_SECONDS)
        await leaving.stop()

    async def _corrupt_responses(self, rng: random.Random) -> None:
        server = rng.choice(self.servers)
        server.response_fault = rng.choice(RESPONSE_FAULTS)
        began = time.monotonic()
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        server.response_fault = ""
        self._checker.response_faults.append((began, time.monotonic()))

    async def _reset_requests(self) -> None:
        """Let one server reset all requests; the draws of other faults don't change."""
        await asyncio.sleep(RESET_START_SECONDS)
        server = self.servers[1]
        server.resets_all = True
        began = time.monotonic()
        others = [other for other in self.servers if other is not server]
        await asyncio.sleep(RESET_SECONDS)
        server.resets_all = False
        replaceable = any(o in self.servers and not o.has_limits for o in others)
        self._checker.resets.append(
            Reset(server.id, began, time.monotonic(), replaceable=replaceable)
        )

    async def _disturb_server_link(self, kind: str, rng: random.Random) -> None:
        server = rng.choice([*self.servers, *self.engines])
        for gateway in self._gateways:
            gateway.disturb(0.0)
        began = time.monotonic()
        await self._disturb_link(server.link, kind, rng.uniform(0.5, 3.0))
        self._checker.link_faults[server.id].append((began, time.monotonic()))

    # Engines

    async def _open_engine(self, behind: t.Any = None, down: float = 0.0) -> None:
        engine = SoakEngine(f"e-{next(self._numbers)}", self._journal, self._rng)
        self._draw_framing(engine)
        await engine.open(behind, down)
        engine.on_poison = self._end_poisoned
        if self._conducts is not None:
            engine.conducts = random.Random(self._conducts.getrandbits(64))
            engine.strict = self._conducts.random() < STRICT_FRACTION
            engine.states_runs = True
        if self._silences is not None:
            engine.silences = random.Random(self._silences.getrandbits(64))
            engine.states_runs = len(self.engines) % 2 == 1
        self.engines.append(engine)
        self._checker.engine_by_id[engine.id] = engine
        self._engine_by_address[engine.address] = engine
        engine.engine_by_address = self._engine_by_address
        self._store.put(f"servers/{engine.id}", engine.entry("engines"))

    def _remove_engine(self, rng: random.Random) -> SoakEngine | None:
        """Remove an engine from those in service; ``None`` if only two are left."""
        if len(self.engines) <= 2:
            return None
        engine = rng.choice(self.engines)
        self.engines.remove(engine)
        engine.closed = time.monotonic()
        return engine

    async def engine_reclaimed(self, rng: random.Random) -> None:
        """Announce that an engine is leaving, end it shortly after and replace it."""
        engine = self._remove_engine(rng)
        if engine is None:
            return
        engine.leaving = True
        entry = engine.entry("engines", state="draining")
        self._store.put(f"servers/{engine.id}", entry)
        self._checker.left_at_by_server[engine.id] = time.monotonic()
        await asyncio.sleep(ENGINE_NOTICE_SECONDS)
        await self._end_engine(engine)

    async def _engine_crashes(self, rng: random.Random) -> None:
        engine = self._remove_engine(rng)
        if engine is not None:
            await self._end_engine(engine)

    async def _end_engine(self, engine: SoakEngine) -> None:
        engine.breaks_off = True
        engine.gone = time.monotonic()
        engine.stalled = False
        await asyncio.sleep(0.1)
        await engine.stop()
        self._store.remove(f"servers/{engine.id}")
        await asyncio.sleep(1.0)
        await self._open_engine()

    def _end_poisoned(self, engine: SoakEngine, cause: str) -> None:
        """End an engine without notice, as a crash of its process would; replace it."""
        if engine.breaks_off:
            return
        self.poisoned_by_cause[cause].append(engine.id)
        if engine in self.engines:
            self.engines.remove(engine)
            engine.closed = time.monotonic()
        engine.breaks_off = True
        assert engine.link is not None
        engine.link.close()
        restart = asyncio.create_task(self._end_engine(engine))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _engine_stalls(self, rng: random.Random) -> None:
        engine = rng.choice(self.engines)
        engine.stalled = True
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        engine.stalled = False

    # Configuration

    async def change_configuration(self, rng: random.Random) -> None:
        """Add a route; the configuration's version rises by 1 to 5."""
        self._version += rng.randint(1, 5)
        path = f"look{self._version}"
        self._added.append(path)
        self._write_configuration()
        self._checker.added_at_by_path[path] = time.monotonic()
        self._checker.add_path(path)

    async def drop_route(self, rng: random.Random) -> None:
        """Remove a route that was added; callers go on to use it."""
        if not self._added:
            return
        path = self._added.pop(-rng.randint(1, min(2, len(self._added))))
        self._checker.add_path(path)
        self._version += rng.randint(1, 5)
        self._checker.dropping_at_by_path[path] = time.monotonic()
        self._write_configuration()
        self._checker.dropped_at_by_path[path] = time.monotonic()

    def _write_configuration(self) -> None:
        document = configuration(self._version, tenants=WORKSPACES)
        for route in document["routes"]:
            if route["kind"] == "streaming":
                route.update(self._stream_fields)
        template = document["routes"][0]
        for added in self._added:
            document["routes"].append(
                {**template, "name": added, "pathPrefix": f"/{added}/"}
            )
        document["routes"] += self._large_routes
        self._store.put("op/config", document)
