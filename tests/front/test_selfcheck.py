"""Tests of the check that new callers get through."""

import asyncio
import contextlib

from bankrack.clock import boottime
from bankrack.front import selfcheck
from bankrack.front.connectiongate import ConnectionGate
from bankrack.front.selfcheck import SelfCheck
from tests.base import TestCase
from tests.fakes import free_address


class SelfCheckTest(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(selfcheck, "TIMEOUT_SECONDS", 0.2)
        self.gate = ConnectionGate(lambda outcome: None, max_open=5)
        self.connections = 0

    @contextlib.asynccontextmanager
    async def listening(self, *, admits: bool, holds: bool = False):
        async def serve(reader, writer):
            self.connections += 1
            if admits:
                self.gate.admit()
            if admits or holds:
                await reader.read(1)
            writer.close()

        address = free_address()
        host, _, port = address.rpartition(":")
        async with await asyncio.start_server(serve, host, int(port)):
            yield SelfCheck(address, self.gate)

    async def test_own_connection_that_is_admitted_passes(self):
        async with self.listening(admits=True) as check:
            checks = [check.run() for _ in range(3)]
            self.assertEqual([True] * 3, await asyncio.gather(*checks))
            self.assertEqual(1, self.connections)

    async def test_recent_caller_makes_a_connection_needless(self):
        async with self.listening(admits=True) as check:
            self.gate.admit()
            self.assertTrue(await check.run())
            self.assertEqual(0, self.connections)

    async def test_own_connection_that_is_closed_unread_fails_at_once(self):
        async with self.listening(admits=False) as check:
            began = boottime()
            with self.assertLogs("bankrack.front.selfcheck") as logged:
                self.assertFalse(await check.run())
            self.assertLess(boottime() - began, 0.15)
        self.assertIn("self_check_changed passed=False", logged.output[0])

    async def test_other_admissions_pass_while_the_own_connection_waits(self):
        """A crowd may be before this node's own connection."""
        async with self.listening(admits=False, holds=True) as check:
            checking = asyncio.create_task(check.run())
            await asyncio.sleep(0.05)
            self.gate.admit()
            self.assertTrue(await checking)

    async def test_socket_that_nobody_accepts_from_fails(self):
        self.assertFalse(await SelfCheck(free_address(), self.gate).run())
