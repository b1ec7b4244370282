"""Tests that the log names requests that end before they are served."""

import asyncio

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.test_broken_off import line_of
from tests.platform.test_stopping import Caller
from tests.platform.test_stopping import REQUEST


class UnreadRequests(TestCase):
    async def test_request_without_a_configuration_has_no_line(self):
        async with running(configured=False) as deployment:
            gateway = await deployment.start_gateway()
            with self.assertLogs("bankrack", "INFO") as found:
                response = await call(gateway.settings.front, "/bill/x")
        self.assertEqual(503, response.status)
        line = line_of(found.output, "request_ended")
        self.assertIn(" request=r-1 ", line)
        self.assertIn("node_not_ready (not_run)", line)

    async def test_request_that_is_cancelled_as_its_body_arrives_has_no_line(self):
        """The end of the process cancels it like a caller that leaves."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            caller = await Caller.connect(gateway.settings.front)
            with self.assertLogs("bankrack", "INFO") as found:
                caller.writer.write((REQUEST % b"partly")[:-1])
                await until(lambda: gateway.front.busy_count == 1)
                caller.writer.close()
                await until(lambda: gateway.front.busy_count == 0)
                await asyncio.sleep(0)
        self.assertTrue(
            line_of(found.output, "request_not_read").endswith("request=partly")
        )

    async def test_request_whose_body_is_refused_is_not_named(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            size = gateway.view.table.limits.body_bytes + 1
            caller = await Caller.connect(gateway.settings.front)
            head, _, _ = (REQUEST % b"large").partition(b"Content-Length")
            with self.assertLogs("bankrack", "INFO") as found:
                caller.writer.write(head + b"Content-Length: %d\r\n\r\n" % size)
                self.assertEqual("413", await caller.receive())
        self.assertIn(" request=large ", line_of(found.output, "request_refused"))
