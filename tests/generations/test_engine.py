"""Tests of the client of the engines."""

import aiohttp

from bankrack.control.intent import Upstream
from bankrack.generations.engine import EngineClient
from tests.base import TestCase
from tests.fakes import free_address
from tests.generations.test_plain import answer_raw


class TestReports(TestCase):
    async def test_end_of_a_connection_does_not_complete_a_report(self):
        # 12 runs look like one, and what was cut off counts as 0.
        text = b"vllm:num_requests_running 1"
        for header, running in (
            (b"", None),
            (b"Transfer-Encoding: identity\r\n", None),
            (b"Content-Length: 28\r\n", None),
            (b"Content-Length: 27\r\n", 1),
        ):
            upstream = Upstream("engine", free_address())
            response = b"HTTP/1.1 200 OK\r\n" + header + b"\r\n" + text
            async with (
                await answer_raw(upstream.address, response),
                aiohttp.ClientSession() as session,
            ):
                client = EngineClient(session, connect_timeout=1.0)
                report = await client.report(upstream)
            self.assertEqual(running, report and report.running, header)
