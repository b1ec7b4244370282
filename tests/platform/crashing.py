"""Nodes with upstreams that crash on certain requests, for tests."""

import asyncio
import typing as t

from aiohttp import web

from tests.platform.deployment import Deployment
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import FakeServer
from tests.platform.fakes import ReceivedResponse

POISON = b"ends whoever runs it"
RESTART_SECONDS = 0.3
"""Time until a crashed upstream is back under a new id."""


IsDeadly = t.Callable[[web.BaseRequest, bytes], bool]


def _has_poison_body(request: web.BaseRequest, body: bytes) -> bool:
    return body == POISON


class Fleet:
    """Nodes with upstreams that crash on some requests.

    :param is_deadly: whether a request, given with its body, crashes its upstream.
    """

    def __init__(
        self, deployment: Deployment, *, is_deadly: IsDeadly = _has_poison_body
    ) -> None:
        self.deployment = deployment
        self.is_deadly = is_deadly
        self.crashed: list[str] = []
        self._restarts: list[asyncio.Task[None]] = []
        self._requests = 0

    async def start(self, *, nodes: int = 2) -> None:
        for number in range(nodes):
            await self.deployment.start_ready_gateway(f"n-{number}")
        gateways = self.deployment.gateways
        await until(lambda: all(len(g.view.members_by_name) == nodes for g in gateways))
        for server in [*self.deployment.engines, *self.deployment.plain]:
            self._crash_on_poison(server)

    def _crash_on_poison(self, server: FakeServer) -> None:
        async def custom_handler(request: web.BaseRequest) -> None:
            if self.is_deadly(request, await request.read()):
                self._crash(server)
                await asyncio.sleep(60)

        server.custom_handler = custom_handler

    def _crash(self, server: FakeServer) -> None:
        self.crashed.append(server.id)
        server.crash()
        self._restarts.append(asyncio.create_task(self._restart(server)))

    async def _restart(self, server: FakeServer) -> None:
        service = "engines" if isinstance(server, FakeEngine) else "plain"
        await asyncio.sleep(RESTART_SECONDS)
        self.deployment.store.remove(f"servers/{server.id}")
        server.id += "+"
        await server.stop()
        await server.start()
        if isinstance(server, FakeEngine):
            for engine in self.deployment.engines:
                engine.engine_by_address = {
                    e.address: e for e in self.deployment.engines
                }
        self.deployment.store.put(f"servers/{server.id}", server.entry(service))

    async def call(
        self, path: str, *, body: bytes = POISON, node: int = 0, **more: t.Any
    ) -> ReceivedResponse:
        """Send a request with a new id to a node."""
        self._requests += 1
        front = self.deployment.gateways[node].settings.front
        headers = {"Bankrack-Request-Id": f"r-{self._requests}", **more}
        return await call(front, path, body=body, headers=headers)

    async def wait_for_restarts(self) -> None:
        """Wait until all upstreams are back and known to all nodes."""
        await asyncio.gather(*self._restarts)
        servers = [*self.deployment.engines, *self.deployment.plain]
        ids = {server.id for server in servers}
        gateways = self.deployment.gateways
        await until(lambda: all(ids == set(g.upstreams.by_id) for g in gateways))
