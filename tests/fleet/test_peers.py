"""Tests of what nodes tell each other of their views."""

import time

import aiohttp
from aiohttp import web

from bankrack.fleet.peers import UPDATES_PATH
from bankrack.fleet.peers import UpdateServer
from bankrack.fleet.view import View
from bankrack.front.listeners import serve_application
from bankrack.serving.upstreams import Upstreams
from tests.base import TestCase
from tests.fakes import free_address

MALFORMED = ("since=x", "serial=s&since=x", "sent=y", "sent=nan-", "since=1.5")


class MalformedQuestions(TestCase):
    async def test_they_are_refused_without_a_crash(self):
        upstreams = Upstreams()
        view = View(lambda item: None, upstreams)
        view.confirmed_at = time.monotonic()
        server = UpdateServer(view, upstreams, name="n", note_engines=lambda: None)
        application = web.Application()
        application.router.add_get(UPDATES_PATH, server.handle)
        address = free_address()
        runner = await serve_application(application, address)
        try:
            await self.ask_all(address)
        finally:
            await runner.cleanup()

    async def ask_all(self, address: str) -> None:
        async with aiohttp.ClientSession() as session:
            for query in MALFORMED:
                url = f"http://{address}{UPDATES_PATH}?{query}"
                async with session.get(url) as response:
                    self.assertEqual(400, response.status, query)
