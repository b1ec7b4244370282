"""Answers to a node that are none, or that nobody asked for."""

import aiohttp

from tests.base import TestCase
from tests.fakes import testbed
from tests.serving.test_responseheads import answering


class NodeAnswers(TestCase):
    async def test_status_that_is_none_is_taken_for_an_answer(self):
        # Guards against reports, events and documents of a server in trouble.
        async with testbed(engines=1) as bed, answering(b"HTTP/1.1 000 Odd\r\n") as url:
            for session in bed.nodes[0]._sessions:
                with self.assertRaises(aiohttp.ClientError):
                    await session.get(url)
