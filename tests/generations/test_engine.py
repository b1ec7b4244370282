"""Tests of the client of the engines."""

import aiohttp

from bankrack.control.intent import Upstream
from bankrack.generations.engine import EngineClient
from bankrack.wire.reports import LoadReport
from tests.base import TestCase
from tests.fakes import free_address
from tests.generations.test_plain import answer_raw

REPORT = (
    b"vllm:num_requests_running 1\nvllm:num_requests_waiting 2\n"
    b"vllm:kv_cache_usage_perc 0.5\nvllm:num_preemptions_total 3\n"
)


class TestReports(TestCase):
    async def read(self, response: bytes) -> LoadReport | None:
        """Read the report of an engine that sends these bytes and closes."""
        upstream = Upstream("engine", free_address())
        async with (
            await answer_raw(upstream.address, response),
            aiohttp.ClientSession() as session,
        ):
            return await EngineClient(session, connect_timeout=1.0).report(upstream)

    async def test_end_of_a_connection_does_not_complete_a_report(self):
        # 12 runs look like one, and what was cut off counts as 0.
        size = len(REPORT)
        for header, expected in (
            ("", None),
            ("Transfer-Encoding: identity\r\n", None),
            (f"Content-Length: {size + 1}\r\n", None),
            (f"Content-Length: {size}\r\n", LoadReport(1, 2, 0.5, 3)),
        ):
            head = f"HTTP/1.1 200 OK\r\n{header}\r\n".encode()
            self.assertEqual(expected, await self.read(head + REPORT), header)

    async def test_response_without_the_values_does_not_show_an_empty_engine(self):
        for status, body in (
            ("503 Full", REPORT),
            ("503 Full", b"full\n"),
            ("200 OK", b""),
            ("200 OK", REPORT.split(b"\n", 1)[1]),
        ):
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
            self.assertIsNone(await self.read(head.encode() + body), (status, body))
