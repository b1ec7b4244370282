"""Stand-in for a plain service, for demos and tests.

Echoes the body of requests of any method, and counts actual runs by idempotency
key.
"""

import argparse
import asyncio

from aiohttp import web

from bankrack.standins.journal import Journal


class PlainStandIn:
    """The stand-in's counts and HTTP application."""

    def __init__(self, *, journal: str = "") -> None:
        self._journal = Journal(journal)
        self.runs_by_key: dict[str, int] = {}
        self.runs = 0

    def application(self) -> web.Application:
        """Make the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/counts", self._counts)
        app.router.add_route("*", "/{path:.*}", self._echo)
        return app

    async def _echo(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        self.runs += 1
        key = request.headers.get("Idempotency-Key")
        self._journal.record(request.headers.get("X-Tag", ""), key or "")
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        headers = {"X-Method": request.method, "X-Path": request.path_qs}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(body or b"hello\n")
        await response.write_eof()
        return response

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response({"runs_by_key": self.runs_by_key, "runs": self.runs})


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the stand-in's command line options."""
    parser.add_argument("--listen", default="127.0.0.1:9101", help="ip:port")
    parser.add_argument("--journal", default="", help="file that records actual runs")


async def run(arguments: argparse.Namespace) -> None:
    """Serve until cancelled."""
    from bankrack.front.listeners import serve_application  # Avoids an import cycle.

    await serve_application(
        PlainStandIn(journal=arguments.journal).application(), arguments.listen
    )
    await asyncio.Event().wait()
