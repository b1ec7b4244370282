"""Runs a store, upstreams and gateways in one process."""

import asyncio
import contextlib
import socket
import typing as t

from aiohttp import web

from bankrack.clock import boottime
from bankrack.gateway import Gateway
from bankrack.integration import GatewaySettings
from bankrack.metrics import GatewayMetrics
from bankrack.serving.budget import RetryBudgetPolicy
from bankrack.serving.responseends import ResponseEnds
from serve import PlatformDialect
from tests.fakes import free_address
from tests.platform.fakes import configuration
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import FakeServer
from tests.platform.fakes import FakeStore


class Deployment:
    """A store, two plain servers, three engines and some gateways."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.plain = [FakeServer("p-1"), FakeServer("p-2")]
        self.engines = [FakeEngine(f"e-{n}") for n in range(3)]
        self.gateways: list[Gateway] = []

    async def start(self, *, configured: bool = True) -> None:
        for served in [self.store, *self.plain, *self.engines]:
            await served.start()
        for engine in self.engines:
            engine.engine_by_address = {e.address: e for e in self.engines}
        if configured:
            self.store.put("op/config", configuration())
        for server in self.plain:
            self.store.put(f"servers/{server.id}", server.entry("plain"))
        for engine in self.engines:
            self.store.put(f"servers/{engine.id}", engine.entry("engines"))

    async def start_gateway(
        self,
        name: str = "n-1",
        *,
        grace: float = 8.0,
        hall: str = "a",
        seeds: tuple[str, ...] = (),
        inner: str | None = None,
        listening: socket.socket | None = None,
        memory_mb: float = 0.0,
        prepare: t.Callable[[Gateway], None] = lambda gateway: None,
    ) -> Gateway:
        settings = GatewaySettings(
            name=name,
            hall=hall,
            front=free_address(),
            ready=free_address(),
            inner=inner or free_address(),
            ready_path="/v1/readyz",
            seeds=seeds,
            grace=grace,
            memory_mb=memory_mb,
            tunnel=free_address(),
            budget=RetryBudgetPolicy(ratio=0.2, reserve=75, window=10.0),
        )
        gateway = Gateway(settings, PlatformDialect(self.store.address))
        # Skip the warm-up of a new node, which may retry little, does not know whether
        # there is memory for backups, and grants only a fraction of a rate limit.
        gateway.budget._began -= 60.0
        gateway.ledgers.learn_seconds = 0.0
        gateway.rate_limits.coordinators.learn_seconds = 0.0
        prepare(gateway)
        await gateway.start(listening=listening)
        self.gateways.append(gateway)
        return gateway

    async def start_ready_gateway(self, name: str = "n-1", **more: t.Any) -> Gateway:
        gateway = await self.start_gateway(name, **more)
        await until(lambda: gateway.ready)
        return gateway

    async def stop(self) -> None:
        for gateway in self.gateways:
            if not gateway.stopped.is_set():
                await gateway._close()
        for served in [self.store, *self.plain, *self.engines]:
            await served.stop()

    def arrivals(self) -> list[t.Any]:
        servers = [*self.plain, *self.engines]
        return [arrival for server in servers for arrival in server.arrivals]


@contextlib.asynccontextmanager
async def running(*, configured: bool = True) -> t.AsyncIterator[Deployment]:
    deployment = Deployment()
    try:
        await deployment.start(configured=configured)
        yield deployment
    finally:
        await deployment.stop()


async def until(condition: t.Callable[[], bool], *, seconds: float = 5.0) -> None:
    limit = boottime() + seconds
    while not condition():
        if boottime() > limit:
            raise AssertionError("the condition did not come true in time")
        await asyncio.sleep(0.01)


def response_ends(control: t.Any = None) -> ResponseEnds:
    """Return what a client needs to confirm the ends of responses.

    :param control: answers the questions; not needed if all responses are framed.
    """
    return ResponseEnds(control, t.cast(t.Any, None), GatewayMetrics())


def not_run_response(status: int = 503) -> web.Response:
    return web.Response(status=status, headers={"Bankrack-Not-Executed": "1"})
