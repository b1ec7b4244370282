"""Tests that the log names requests that end before they are served."""

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.fakes import call
from tests.platform.test_broken_off import line_of


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
