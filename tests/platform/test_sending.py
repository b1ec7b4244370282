"""Tests of sending to upstreams."""

import math
import typing as t

from aiohttp import web

from bankrack.clock import boottime
from bankrack.exceptions import Outcome
from bankrack.exceptions import UpstreamUnreachable
from bankrack.serving.client import Resume
from bankrack.serving.client import Send
from bankrack.serving.client import UpstreamClient
from bankrack.serving.job import Demand
from bankrack.serving.job import Job
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.sending import BodiesInFlight
from bankrack.serving.sessions import new_session
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from engines import PlatformUpstreams
from tests.base import TestCase
from tests.platform.deployment import not_run_response
from tests.platform.deployment import response_ends
from tests.platform.deployment import running
from tests.platform.fakes import call
from tests.platform.fakes import FakeServer


def job() -> Job:
    return Job(
        id="r-1",
        method="GET",
        host="h",
        target="/x",
        headers=[("Bankrack-Request-Id", "r-1")],
        body=b"",
        key=None,
        caller_timeout=None,
        demand=Demand(prompt=1, output_limit=1),
        arrived=boottime(),
    )


class LeavingUpstreams(TestCase):
    async def send(
        self, *, resume: Resume | None = None, later: bool = False
    ) -> tuple[t.Any, int]:
        """Send to a server that is known to leave.

        Returns the exchange or the error, and the number of requests that arrived.

        :param later: the job arrived after the server was known to leave.
        """
        sent = job()
        server = FakeServer("s-1")
        await server.start()
        record = UpstreamRecord("s-1", "s", server.address, "a", slots=1, leaving=True)
        upstream = Upstream(record, boottime())
        session = new_session(reuse=False)
        client = UpstreamClient(
            session,
            PlatformUpstreams(),
            NoticeHandler(),
            t.cast(t.Any, None),
            BodiesInFlight(lambda: math.inf),
            response_ends(),
        )
        send = Send(job() if later else sent, upstream, None, 0, 5.0, resume=resume)
        try:
            exchange = await client.open(send)
            return exchange, len(server.arrivals)
        except UpstreamUnreachable as error:
            return error, len(server.arrivals)
        finally:
            await session.close()
            await server.stop()

    async def test_new_request_is_not_sent_to_a_leaving_upstream(self):
        found, arrivals = await self.send()
        self.assertIsInstance(found, UpstreamUnreachable)
        self.assertEqual(Outcome.NOT_RUN, found.outcome)
        self.assertEqual(0, arrivals)

    async def test_run_may_resume_from_a_copy_on_a_leaving_upstream(self):
        found, arrivals = await self.send(resume=Resume("10.0.0.1:1", "h"))
        self.assertEqual(200, found.head.status)
        self.assertEqual(1, arrivals)

    async def test_run_that_arrived_after_the_notice_may_not_resume_there(self):
        found, arrivals = await self.send(resume=Resume("10.0.0.1:1", "h"), later=True)
        self.assertIsInstance(found, UpstreamUnreachable)
        self.assertEqual(0, arrivals)


class Once(TestCase):
    """The HTTP library must not resend a request whose connection broke.

    By default it does so for idempotent methods, which would run a request twice or
    report one as not run that had run.
    """

    async def test_request_is_not_sent_again_after_a_broken_connection(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def abort_connection(request: web.BaseRequest) -> web.Response:
                assert request.transport is not None
                request.transport.abort()
                return web.Response()

            for server in deployment.plain:
                server.custom_handler = abort_connection
            for method in ("GET", "PUT", "DELETE", "POST"):
                for server in deployment.plain:
                    server.arrivals.clear()
                await call(gateway.settings.front, "/bill/x", method=method)
                self.assertEqual(1, len(deployment.arrivals()), method)

    async def test_request_that_ran_is_not_reported_as_not_run(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()

            async def run_once(request: web.BaseRequest) -> web.Response:
                if len(deployment.arrivals()) > 1:
                    return not_run_response()
                assert request.transport is not None
                request.transport.abort()
                return web.Response()

            for server in deployment.plain:
                server.custom_handler = run_once
            found = await call(gateway.settings.front, "/bill/x", method="GET")
            self.assertEqual(502, found.status)
