"""HTTP listener for a gateway's internal paths: peers, balancer and operators."""

import typing as t

from aiohttp import web

Handler = t.Callable[[web.Request], t.Awaitable[web.StreamResponse]]

SHUTDOWN_TIMEOUT_SECONDS = 0.05
"""Time for requests that are served, and for those that are then cancelled.  It is
short, because peers retry their requests on another node."""


async def serve_paths(
    address: str, handler_by_path: t.Mapping[str, Handler]
) -> web.AppRunner:
    """Listen on ``ip:port``; the runner's ``cleanup`` stops it."""
    application = web.Application()
    for path, handler in handler_by_path.items():
        application.router.add_route("*", path, handler)
    runner = web.AppRunner(
        application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), reuse_address=True)
    await site.start()
    return runner
