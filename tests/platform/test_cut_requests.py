"""Bodies of callers' requests that end early, or whose end nothing shows."""

import asyncio
import contextlib

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.fakes import call

CHUNKED = b"Transfer-Encoding: chunked\r\n"
PART = b"\r\n5\r\nhello\r\n"
CUT_REQUESTS = {
    "no last chunk": (b"1.1", CHUNKED + PART),
    "half of the last chunk": (b"1.1", CHUNKED + PART + b"0\r\n"),
    "chunks of HTTP/1.0": (b"1.0", CHUNKED + PART),
    "further coding": (b"1.1", b"Transfer-Encoding: gzip, chunked\r\n" + PART),
    "chunks inside": (b"1.1", b"Transfer-Encoding: chunked, gzip\r\n" + PART),
    "two lines": (b"1.1", CHUNKED + b"Transfer-Encoding: identity\r\n\r\nhello"),
    "identity": (b"1.1", b"Transfer-Encoding: identity\r\n\r\nhello"),
    "length and chunks": (b"1.1", CHUNKED + b"Content-Length: 5\r\n" + PART),
    "two lengths": (b"1.1", b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello"),
    "length": (b"1.1", b"Content-Length: 9\r\n\r\nhello"),
    "length of HTTP/1.0": (b"1.0", b"Content-Length: 9\r\n\r\nhello"),
    "no length": (b"1.1", b"\r\nhello"),
    "no length of HTTP/1.0": (b"1.0", b"\r\nhello"),
    "upgrade": (
        b"1.1",
        b"Connection: upgrade\r\nUpgrade: websocket\r\nContent-Length: 9\r\n\r\nhello",
    ),
    "interim": (b"1.1", b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\nhello"),
}


class CutRequests(TestCase):
    async def test_part_of_a_body_is_sent_to_an_upstream(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.partition(":")
            for name, (version, rest) in CUT_REQUESTS.items():
                for ends_half in (True, False):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(
                        b"POST /bill/x HTTP/%b\r\nHost: h.example\r\n"
                        b"Bankrack-Key: key-1\r\nBankrack-Request-Id: r-1\r\n"
                        b"Bankrack-Deadline-Ms: 500\r\n%b" % (version, rest)
                    )
                    await asyncio.sleep(0.05)
                    with contextlib.suppress(OSError):
                        writer.write_eof() if ends_half else writer.close()
                    await asyncio.sleep(0.1)
                    bodies = [arrival.body for arrival in deployment.arrivals()]
                    self.assertEqual([], bodies, name)
                    writer.close()
            await call(gateway.settings.front, "/bill/x", body=b"hello")
            self.assertEqual(1, len(deployment.arrivals()))
