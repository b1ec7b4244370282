"""Load generator for relays: reads many streams at low processor cost."""

import argparse
import asyncio
import json
import time

BODY = b'{"model":"captions","prompt":"hello","stream":true,"max_tokens":4000}'


class Stream(asyncio.Protocol):
    """One request and its response; counts events and measures gaps between them.

    :param head: the request's line and headers.
    :param done: its result is set when the stream or the connection has ended.
    """

    def __init__(self, head: bytes, done: asyncio.Future[None]) -> None:
        self.head = head
        self.done = done
        self.events = 0
        self.last = 0.0
        self.gaps: list[float] = []
        self.tail = b""
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self.head + BODY)

    def data_received(self, data: bytes) -> None:
        """Count events."""
        now = time.monotonic()
        count = data.count(b'"choices":[{')
        if count:
            if self.last:
                self.gaps.append(now - self.last)
            self.last = now
            self.events += count
        if b"data: [DONE]" in data or b"data: [DONE]" in self.tail + data:
            self.complete = True
            if not self.done.done():
                self.done.set_result(None)
        self.tail = data[-16:]

    def connection_lost(self, error: Exception | None) -> None:
        """Finish a stream that ended early."""
        if not self.done.done():
            self.done.set_result(None)


async def main() -> None:
    """Read the streams to their ends and print the counts as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--target", required=True)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--token", default="")
    arguments = parser.parse_args()
    host, _, port = arguments.target.rpartition(":")
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {arguments.token}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(BODY)}\r\n\r\n"
    ).encode()
    loop = asyncio.get_running_loop()
    started = time.monotonic()
    streams = []
    for number in range(arguments.streams):
        stream = Stream(head, loop.create_future())
        await loop.create_connection(lambda s=stream: s, host, int(port))
        streams.append(stream)
        if number % 20 == 19:
            await asyncio.sleep(0.02)
    await asyncio.gather(*(stream.done for stream in streams))
    gaps = sorted(gap for stream in streams for gap in stream.gaps)
    found = {
        "events": sum(stream.events for stream in streams),
        "whole": sum(stream.complete for stream in streams),
        "seconds": time.monotonic() - started,
        "gap_p50": gaps[len(gaps) // 2] if gaps else 0.0,
        "gap_p99": gaps[int(len(gaps) * 0.99)] if gaps else 0.0,
    }
    print(json.dumps(found))


if __name__ == "__main__":
    asyncio.run(main())
