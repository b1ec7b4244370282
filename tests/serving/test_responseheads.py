"""Tests of heads that are no response's."""

import asyncio
import contextlib
import typing as t

import aiohttp
from aiohttp import client_proto
from aiohttp.http_parser import HttpResponseParser
from aiohttp.http_parser import HttpResponseParserPy

from bankrack.serving.responseheads import FirstFieldCheck
from bankrack.serving.responseheads import malformation
from bankrack.serving.sessions import new_session
from tests.base import TestCase

PARSERS = (HttpResponseParser, HttpResponseParserPy)
MALFORMED_HEADS = (
    b"HTTP/1.1 102 On\r\nX-Note : 3\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 000 Odd\r\n",
    b"HTTP/1.1 000 Odd\r\nBankrack-Not-Executed: 1\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 102 On\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n",
    b"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note: a\x7fb\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note: a\x00b\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note : a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX\tNote: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX\x01Note: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nX-Note\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\n X-Note: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\n Content-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\n\tContent-Length: 2\r\nX-Note: a\r\n",
    b"HTTP/1.1 102 On\r\n X-Note: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 102 On\r\n\r\nHTTP/1.1 200 OK\r\n Content-Length: 2\r\n",
    b"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 102 O\x01n\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 102 On\r\nX-Note: a\x01\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
)
SOUND_HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 \r\nX-Note: a\tb \xc3\xa9\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 102 On\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 404 No\r\n!#$%&'*+-.^_`|~: a\r\nContent-Length: 2\r\n",
    b"HTTP/1.1 200 OK\r\n",
)


@contextlib.asynccontextmanager
async def answering(head: bytes) -> t.AsyncIterator[str]:
    """Answer each request with a head and two bytes; yields the URL."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + b"\r\nok")
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    finally:
        server.close()


async def fetch(head: bytes) -> bytes:
    """Read the response in the way of all sessions of a node."""
    session = new_session(reuse=False)
    try:
        async with answering(head) as url, session.get(url) as response:
            return await response.read()
    finally:
        await session.close()


async def is_taken(head: bytes) -> bool:
    """Whether a head passes for that of a response."""
    try:
        await fetch(head)
    except (aiohttp.ClientError, ValueError):
        return False
    return True


class ResponseHeads(TestCase):
    async def test_malformed_head_is_taken_for_a_response(self):
        # Guards against a caller that gets a status or a field that is none.
        for made in PARSERS:
            self.patch(client_proto, "HttpResponseParser", made)
            taken = [head for head in MALFORMED_HEADS if await is_taken(head)]
            self.assertEqual([], taken)

    async def test_sound_head_is_refused(self):
        # Guards against a check that refuses what servers may send.
        for made in PARSERS:
            self.patch(client_proto, "HttpResponseParser", made)
            for head in SOUND_HEADS:
                self.assertEqual(b"ok", await fetch(head))

    async def test_head_that_arrives_in_parts_hides_a_blank(self):
        # Guards against a body whose length a malformed line states.
        head = (
            b"HTTP/1.1 102 On\r\nX-Note: a\r\n\r\nHTTP/1.1 200 OK\r\n Content-Length: 1"
        )
        for size in 1, 2, 7:
            check = FirstFieldCheck()
            parts = [head[at : at + size] for at in range(0, len(head), size)]
            self.assertTrue(any(check.finds_blank(part) for part in parts))

    async def test_body_that_looks_like_a_head_is_checked(self):
        # Guards against whole responses that are refused for their bodies.
        body = b"HTTP/1.1 200 OK\r\n X-Note: a\r\n"
        for head in SOUND_HEADS:
            check = FirstFieldCheck()
            whole = head + b"\r\n" + body
            self.assertFalse(any(check.finds_blank(bytes([byte])) for byte in whole))

    def test_compiled_parser_is_missing(self):
        # Guards against a build whose parser is not the one that was measured.
        self.assertIsNot(HttpResponseParser, HttpResponseParserPy)

    def test_description_hides_the_fault(self):
        self.assertEqual("status 000", malformation(0, "", ()))
        self.assertIn("X-Note", malformation(200, "", ((b"X-Note", b"\x01"),)))
        self.assertEqual("", malformation(200, "OK", ((b"X-Note", b"a"),)))
