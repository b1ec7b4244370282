"""Closes kept connections on which nothing of a request is here.

aiohttp's ``pre_shutdown`` leaves such a connection open and drops what arrives on it,
so that a whole request could be read and never answered. A closed socket resets bytes
that cross the close: the caller sees that its request was not read, and may repeat it.
"""

import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler


def awaits_request(connection: RequestHandler) -> bool:
    """Whether no request is served on a connection, and no next one is complete."""
    if connection._request_count == 0:
        return True
    return connection._waiter is not None and not connection._waiter.done()


def has_next_request(connection: RequestHandler) -> bool:
    """Whether a further request was read while one is served."""
    return bool(connection._messages)


def close_idle_connections(
    server: web.Server, is_idle: t.Callable[[t.Any], bool] = awaits_request
) -> int:
    """Close the idle connections of a server, and return their number.

    :param is_idle: whether nothing of a request is here, given a connection.
    """
    idle = [each for each in server.connections if each.transport and is_idle(each)]
    for connection in idle:
        connection.force_close()
    return len(idle)


async def stop_runner(runner: web.AppRunner) -> None:
    """Stop a runner's listeners, close its idle connections and end the others."""
    for site in list(runner.sites):
        await site.stop()
    if runner.server is not None:
        close_idle_connections(runner.server)
    await runner.cleanup()
