"""Answers to a node that are none, or that nobody asked for."""

import asyncio
import contextlib

import aiohttp

from tests.base import TestCase
from tests.fakes import testbed
from tests.serving.test_responseheads import answering

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"


class NodeAnswers(TestCase):
    async def test_status_that_is_none_is_taken_for_an_answer(self):
        # Guards against reports, events and documents of a server in trouble.
        async with testbed(engines=1) as bed, answering(b"HTTP/1.1 000 Odd\r\n") as url:
            for session in bed.nodes[0]._sessions:
                with self.assertRaises(aiohttp.ClientError):
                    await session.get(url)

    async def test_surplus_answer_of_an_engine_is_taken_for_the_next_one(self):
        # Guards against a caller that gets the events of another generation.
        numbers = iter(range(9))

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    whole = ANSWER + b"%d" % next(numbers)
                    writer.write(whole)
                    await asyncio.sleep(0.02)
                    writer.write(whole)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with testbed(engines=1) as bed:
            session = bed.nodes[0].engines.client._session
            found = []
            for _ in range(3):
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    found.append(await response.read())
                await asyncio.sleep(0.05)
        server.close()
        self.assertEqual([b"0", b"1", b"2"], found)
