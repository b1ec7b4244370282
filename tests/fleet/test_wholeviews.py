"""Tests of sending whole views to many nodes at once."""

import asyncio
import collections

import aiohttp
from aiohttp import web

from bankrack.fleet import wholeviews
from bankrack.fleet.wholeviews import WholeViews
from bankrack.front.listeners import serve_application
from tests.base import TestCase
from tests.fakes import free_address

NODES = 12
VIEW = bytes(8 * 1024 * 1024)


class WholeViewsTest(TestCase):
    async def test_unsent_bytes_are_bounded(self):
        """Guards against a seed that exceeds its memory when all nodes restart."""
        outcomes: collections.Counter[str] = collections.Counter()
        self.patch(wholeviews, "MAX_UNSENT_BYTES", 3 * len(VIEW))
        views = WholeViews(lambda: VIEW, lambda outcome: outcomes.update([outcome]))
        application = web.Application()
        application.router.add_get("/", views.send)
        address = free_address()
        runner = await serve_application(application, address)
        try:
            async with aiohttp.ClientSession(read_bufsize=1024) as session:
                asked = (session.get(f"http://{address}/") for _ in range(NODES))
                responses = await asyncio.gather(*asked)
                served = [r for r in responses if r.status == 200]
                self.assertEqual(3, len(served))
                self.assertEqual(NODES - 3, outcomes["whole_view_refused"])
                for response in served:
                    self.assertEqual(len(VIEW), len(await response.read()))
                again = await session.get(f"http://{address}/")
                self.assertEqual(200, again.status)
                again.close()
        finally:
            await runner.cleanup()

    async def test_view_is_encoded_once_for_nodes_that_ask_together(self):
        encoded = []
        views = WholeViews(lambda: encoded.append(1) or b"view", lambda outcome: None)
        self.assertIs(views._current_body(), views._current_body())
        self.assertEqual(1, len(encoded))

    def test_bound_is_what_a_narrow_link_carries(self):
        views = WholeViews(lambda: b"", lambda outcome: None, link_mbps=10.0)
        self.assertEqual(375_000, views._max_unsent)
