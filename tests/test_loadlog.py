"""Tests of the log of a node's connections, event loop and link."""

import asyncio
import re
import socket

from bankrack import loadlog
from bankrack.loadlog import kernel_wait_seconds
from bankrack.loadlog import LoadLog
from tests.base import TestCase


class LoadLogTest(TestCase):
    async def test_line_has_the_figures_since_the_last_one(self):
        self.patch(loadlog, "INTERVAL_SECONDS", 0.05)
        load = LoadLog()
        load.describe = lambda: {"open": 7}
        for outcome in ("accepted", "accepted", "refused"):
            load.note_connection(outcome)
        load.note_delay(0.2)
        load.note_delay(0.1)
        load.note_sent(300)
        load.note_received(20)
        load.note_ready_check()
        with self.assertLogs("bankrack.loadlog") as logged:
            running = asyncio.create_task(load.run())
            await asyncio.sleep(0.16)
            running.cancel()
        first, second = logged.output[:2]
        for figure in ("accepted=2", "refused=1", "delay=0.2", "sent=300", "open=7"):
            self.assertIn(f" {figure}", first)
        self.assertRegex(first, r"received=20 ready_checks=1 turns=[0-9.e-]+")
        self.assertRegex(second, re.compile("accepted=0 refused=0.* ready_checks=0"))

    async def test_only_the_first_failure_to_accept_is_to_be_logged(self):
        load = LoadLog()
        self.assertTrue(load.note_accept_error())
        self.assertFalse(load.note_accept_error())

    async def test_wait_of_a_connection_before_it_is_accepted(self):
        listening = socket.create_server(("127.0.0.1", 0))
        with listening, socket.create_connection(listening.getsockname()) as caller:
            caller.sendall(b"x")
            await asyncio.sleep(0.2)
            accepted, _ = listening.accept()
            with accepted:
                waited = kernel_wait_seconds(accepted)
        self.assertGreater(waited, 0.15)
        self.assertLess(waited, 2.0)
