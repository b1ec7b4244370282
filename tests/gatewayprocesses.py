"""Gateways as real processes, with a store and plain upstreams in this one."""

import asyncio
import contextlib
import pathlib
import tempfile
import typing as t

from soak.gateway.processes import Gateway

from tests.platform.fakes import configuration
from tests.platform.fakes import FakeStore
from tests.platform.fakes import HOST

ServeUpstream = t.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], t.Awaitable[None]
]


@contextlib.asynccontextmanager
async def running_gateways(
    count: int,
    serve_upstream: ServeUpstream,
    *,
    upstreams: int = 3,
    slots: int = 64,
    bug: str = "none",
    descriptors: int | None = None,
    prepare: t.Callable[[Gateway], None] = lambda gateway: None,
) -> t.AsyncIterator[list[Gateway]]:
    """Start a store, upstreams and gateways, and wait until these are ready.

    :param serve_upstream: serves one connection of an upstream.
    :param bug: see :mod:`soak.gateway.buggy`.
    :param descriptors: limit of each gateway's open files.
    :param prepare: called before each gateway's process is started.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store = FakeStore()
        await store.start()
        stack.push_async_callback(store.stop)
        store.put("op/config", configuration())
        for number in range(upstreams):
            server = await asyncio.start_server(serve_upstream, HOST, 0, backlog=1024)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            entry = {"service": "plain", "address": f"{HOST}:{port}", "zone": "a"}
            entry |= {"slots": slots, "state": "ready"}
            store.put(f"servers/p-{number}", entry)
        gateways = [
            Gateway(f"g-{n}", "a", store.address, pathlib.Path(folder), bug)
            for n in range(count)
        ]
        for gateway in gateways:
            stack.callback(gateway.end)
            await gateway.store_link.start()
            await gateway.inner_link.start()
            gateway.descriptors = descriptors
            prepare(gateway)
            gateway.launch()
        await asyncio.gather(*(g.wait_until_ready() for g in gateways))
        yield gateways
