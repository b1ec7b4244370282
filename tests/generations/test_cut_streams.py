"""Tests of streams of engines that end early, over raw sockets.

Only the engine's end marker behind a finish reason completes a stream.
"""

import asyncio
import contextlib
import json

from tests.base import TestCase
from tests.fakes import free_address
from tests.fakes import testbed

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def token(generation: str, offset: int, reason: str | None = None) -> bytes:
    data = json.dumps({"choices": [{"text": "x", "finish_reason": reason}]})
    return f"id: {generation}:{offset}\ndata: {data}\n\n".encode()


@contextlib.asynccontextmanager
async def raw_engine(address: str, header: bytes, *, finishes: bool, marks: bytes):
    """An engine that sends two tokens, and nothing to those that resume."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        body = b""
        if head.startswith("POST"):
            lines = dict(line.split(": ") for line in head.split("\r\n")[1:-2])
            await reader.readexactly(int(lines["Content-Length"]))
            name = lines["X-Request-Id"]
            body = token(name, 0) + token(name, 1, "stop" if finishes else None)
            body += marks % name.encode() if marks else b""
        writer.write(HEAD + header + b"\r\n" + body)
        writer.close()

    async with await asyncio.start_server(serve, *address.split(":")):
        yield


class TestStreamEnds(TestCase):
    async def ask(self, header: bytes, *, finishes: bool, marks: bytes) -> list[bool]:
        """Whether the caller sees a complete answer, not streamed and streamed."""
        found = []
        async with testbed(engines=0) as b:
            address = free_address()
            b.engine_addresses.append(address)
            await b.confirm()
            async with raw_engine(address, header, finishes=finishes, marks=marks):
                for stream in (False, True):
                    sent = {"model": "captions", "prompt": "x", "stream": stream}
                    async with b.post(sent) as response:
                        text = await response.text()
                    complete = "[DONE]" in text if stream else response.status == 200
                    found.append(complete)
                    self.assertEqual(complete, "error" not in text)
        return found

    async def test_end_of_a_connection_does_not_complete_a_stream(self):
        cut = b"id: %s:2\ndata: [DONE]\n"
        for header in (b"", b"Transfer-Encoding: identity\r\n"):
            for finishes, marks in ((False, b""), (True, b""), (True, cut)):
                found = await self.ask(header, finishes=finishes, marks=marks)
                self.assertEqual([False, False], found, (header, finishes, marks))

    async def test_end_marker_without_a_finish_reason_completes_nothing(self):
        marks = b"id: %s:2\ndata: [DONE]\n\n"
        found = await self.ask(b"", finishes=False, marks=marks)
        self.assertEqual([False, False], found)
        self.assertEqual([True, True], await self.ask(b"", finishes=True, marks=marks))
