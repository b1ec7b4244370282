"""Tests of the fakes themselves."""

import asyncio

from tests.base import TestCase
from tests.platform.fakes import FakeServer


class Stopping(TestCase):
    async def test_overlapping_stops_both_end_after_the_listener_closed(self):
        server = FakeServer("p-1")
        await server.start()
        host, _, port = server.address.rpartition(":")
        await asyncio.gather(server.stop(), server.stop())
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        await server.stop()
