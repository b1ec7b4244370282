"""Minimal relay of an event stream, as a baseline for a node.

It forwards data in chunks as they arrive, or line by line with ``--lines``.
"""

import argparse
import asyncio

import aiohttp
from aiohttp import web


class Relay:
    """Forwards POST requests to one upstream.

    :param upstream: its address.
    :param lines: read and write line by line.
    """

    def __init__(self, upstream: str, lines: bool) -> None:
        self.upstream = upstream
        self.lines = lines
        self.session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Relay one request."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=None),
            )
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        url = f"http://{self.upstream}{request.path}"
        async with self.session.post(url, data=body) as answer:
            await response.prepare(request)
            if self.lines:
                async for line in answer.content:
                    await response.write(line)
            else:
                while chunk := await answer.content.readany():
                    await response.write(chunk)
        await response.write_eof()
        return response


async def main() -> None:
    """Parse the command line and serve until cancelled."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--upstream", required=True)
    parser.add_argument("--lines", action="store_true")
    arguments = parser.parse_args()
    relay = Relay(arguments.upstream, arguments.lines)
    app = web.Application()
    app.router.add_post("/{path:.*}", relay.handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = arguments.listen.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
