"""Minimal engine that streams tokens at a fixed pace, with little processor time.

It answers every POST with an event stream in the engines' format: ``--tokens`` events,
one every ``--interval`` seconds.
"""

import argparse
import asyncio

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked HTTP body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Source(asyncio.Protocol):
    """One connection from a caller.

    :param interval: seconds between two events.
    :param tokens: number of events of a stream.
    """

    def __init__(self, interval: float, tokens: int) -> None:
        self.interval = interval
        self.tokens = tokens
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a request once its head and body are complete."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        length = 0
        name = "g"
        for line in head.decode().split("\r\n"):
            key, _, value = line.partition(": ")
            if key.lower() == "content-length":
                length = int(value)
            elif key.lower() == "x-request-id":
                name = value
        if len(body) < length:
            return
        self.buffer = body[length:]
        task = asyncio.create_task(self.send(name))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, name: str) -> None:
        """Send one stream, with event ids that begin with ``name``."""
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.transport.write(HEAD)
        start = loop.time()
        prefix = f"id: {name}:".encode()
        for offset in range(self.tokens):
            await asyncio.sleep(max(0.0, start + offset * self.interval - loop.time()))
            reason = b'"stop"' if offset == self.tokens - 1 else b"null"
            event = (
                b'%b%d\ndata: {"id":"c","object":"text_completion","created":1,'
                b'"model":"m","choices":[{"index":0,"text":"word-%d ",'
                b'"logprobs":null,"finish_reason":%b}]}\n\n'
                % (prefix, offset, offset, reason)
            )
            self.transport.write(chunk(event))
        done = b"%b%d\ndata: [DONE]\n\n" % (prefix, self.tokens)
        self.transport.write(chunk(done) + b"0\r\n\r\n")


async def main() -> None:
    """Parse the command line and serve until cancelled."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--interval", type=float, default=0.02)
    parser.add_argument("--tokens", type=int, default=500)
    arguments = parser.parse_args()
    host, _, port = arguments.listen.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Source(arguments.interval, arguments.tokens), host, int(port)
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
