"""How soon an upstream learns that a request was given up, on a direct connection."""

import asyncio
import contextlib
import math
import typing as t

from bankrack.clock import boottime
from bankrack.metrics import GatewayMetrics
from bankrack.serving.client import Exchange
from bankrack.serving.client import Send
from bankrack.serving.client import UpstreamClient
from bankrack.serving.job import Demand
from bankrack.serving.job import Job
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.paths import UpstreamPaths
from bankrack.serving.sending import BodiesInFlight
from bankrack.serving.sessions import new_session
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from engines import PlatformUpstreams
from tests.base import TestCase
from tests.platform.deployment import response_ends
from tests.rawupstream import LARGE
from tests.rawupstream import RawUpstream

ALLOWED_SECONDS = 0.25
"""What is left of the 0.4 s in which two engines may work on one run, once the node has
left the first one."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nBankrack-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"8\r\ndata: x\n\r\n"


def send_to(address: str, body: bytes) -> Send:
    job = Job(
        id="r-1",
        method="POST",
        host="h",
        target="/x",
        headers=[("Bankrack-Request-Id", "r-1")],
        body=body,
        key=None,
        caller_timeout=None,
        demand=Demand(prompt=1, output_limit=1),
        arrived=boottime(),
    )
    record = UpstreamRecord("s-1", "s", address, "a", slots=1)
    return Send(job, Upstream(record, boottime()), None, 0, 5.0)


class GivenUpSends(TestCase):
    @contextlib.asynccontextmanager
    async def sending(
        self, body: bytes = b"question"
    ) -> t.AsyncIterator[tuple[RawUpstream, "asyncio.Task[Exchange]"]]:
        """Send a request to a raw upstream."""
        paths = UpstreamPaths(GatewayMetrics())
        session = new_session(reuse=False, upstream_paths=paths)
        upstream = RawUpstream()
        in_flight = BodiesInFlight(lambda: math.inf)
        client = UpstreamClient(
            session,
            PlatformUpstreams(),
            NoticeHandler(),
            t.cast(t.Any, None),
            in_flight,
            response_ends(),
        )
        opening = asyncio.create_task(client.open(send_to(upstream.address, body)))
        try:
            await upstream.accept()
            await asyncio.sleep(0.1)
            yield upstream, opening
        finally:
            opening.cancel()
            await asyncio.gather(opening, return_exceptions=True)
            await session.close()
            await paths.close()
            upstream.close()

    async def check_end(self, upstream: RawUpstream) -> None:
        self.assertLess(await upstream.seconds_until_end(), ALLOWED_SECONDS)

    async def answer(self, upstream: RawUpstream, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(
            t.cast(t.Any, upstream.sock), data
        )

    async def test_silent_upstream_does_not_work_on_after_a_cancelled_send(self):
        async with self.sending() as (upstream, opening):
            opening.cancel()
            await self.check_end(upstream)

    async def test_upstream_that_reads_nothing_is_reset_by_a_cancelled_send(self):
        async with self.sending(LARGE) as (upstream, opening):
            opening.cancel()
            await self.check_end(upstream)

    async def test_upstream_does_not_work_on_after_a_chunk_of_its_answer(self):
        async with self.sending() as (upstream, opening):
            await self.answer(upstream, HEAD + CHUNK)
            exchange = await opening
            await exchange.read_available()
            exchange.close()
            await self.check_end(upstream)

    async def test_upstream_does_not_work_on_after_chunks_that_are_not_read(self):
        """So many wait that reading is paused."""
        async with self.sending() as (upstream, opening):
            await self.answer(upstream, HEAD)
            exchange = await opening
            answering = asyncio.create_task(self.answer(upstream, CHUNK * 2_000_000))
            await asyncio.sleep(0.2)
            exchange.close()
            await self.check_end(upstream)
            await asyncio.gather(answering, return_exceptions=True)

    async def test_upstream_that_answers_before_reading_does_not_work_on(self):
        async with self.sending(LARGE) as (upstream, opening):
            await self.answer(upstream, HEAD + CHUNK)
            exchange = await opening
            await exchange.read_available()
            exchange.close()
            await self.check_end(upstream)

    async def test_rest_of_a_body_is_sent_after_a_whole_answer(self):
        """Guards against a body that is cut off for an upstream which reads it late."""
        body = b"x" * 3_000_000
        async with self.sending(body) as (upstream, opening):
            await self.answer(upstream, HEAD + CHUNK + b"0\r\n\r\n")
            exchange = await opening
            while await exchange.read_available():
                pass
            exchange.close()
            self.assertGreater(await upstream.read_rest(), len(body))
