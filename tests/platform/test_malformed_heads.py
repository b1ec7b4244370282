"""Upstreams and a store whose answers have a head that is no response's."""

import typing as t

from bankrack.clock import boottime
from bankrack.exceptions import PeerUnavailable
from bankrack.exceptions import PlatformUnavailable
from bankrack.exceptions import UpstreamFailed
from bankrack.exceptions import UpstreamRefused
from bankrack.fleet.documents import Member
from bankrack.serving.callprogress import CallProgress
from bankrack.serving.upstreams import Upstream
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.fakes import call
from tests.platform.rawservers import ask
from tests.platform.rawservers import RawServer
from tests.platform.rawservers import replace_servers
from tests.platform.rawservers import STREAM
from tests.serving.test_responseheads import answering

STATUSES = "000 Odd", "099 Odd", "600 Odd", "999 Odd", "101 Switching Protocols"
NOTE = "X-Note: a\x01b\r\n"
NOT_RUN = "Bankrack-Not-Executed: 1\r\n"
ODD_HEAD = b"HTTP/1.1 000 Odd\r\n"


class MalformedHeads(TestCase):
    async def test_caller_gets_a_status_that_is_none(self):
        # Guards against "HTTP/1.1 0" with the seal and the body of a server.
        for status in STATUSES:
            plain = await ask("plain", "/bill/x", RawServer(b"whole", status=status))
            stream = await ask("engines", "/talk/x", RawServer(STREAM, status=status))
            with self.subTest(status):
                self.assertEqual([502, 502], [plain.status, stream.status])
                for response in plain, stream:
                    self.assertNotIn("Bankrack-Response-Seal", response.headers)
                    self.assertNotIn(b"whole", response.body)

    async def test_caller_gets_no_answer_as_a_field_holds_a_control_character(self):
        # Guards against a connection that is closed though the request was read.
        for service, path in ("plain", "/bill/x"), ("engines", "/talk/x"):
            response = await ask(service, path, RawServer(b"whole", headers=NOTE))
            self.assertEqual(502, response.status)

    async def test_status_that_is_none_proves_that_a_request_did_not_run(self):
        # Guards against a request that runs twice, or a promise that it did not run.
        servers = [RawServer(b"", status="000 Odd", headers=NOT_RUN) for _ in range(2)]
        response = await ask("plain", "/bill/x", *servers)
        self.assertEqual(502, response.status)
        self.assertEqual(1, sum(len(server.requests) for server in servers))

    async def test_repeatable_request_is_lost_for_a_malformed_head(self):
        # Guards against a request that another server could have answered.
        servers = [RawServer(b"", status="000 Odd"), RawServer(b"whole")]
        response = await ask("plain", "/look/x", *servers, method="GET")
        self.assertEqual(200, response.status)

    async def test_upstream_that_sends_malformed_heads_is_not_in_trouble(self):
        # Guards against an upstream that fails each request and is asked on.
        async with running() as deployment:
            server = RawServer(*[b""] * 4, status="000 Odd")
            await replace_servers(deployment, "plain", server)
            gateway = await deployment.start_ready_gateway()
            for _ in range(4):
                await call(gateway.settings.front, "/bill/x")
            self.assertTrue(gateway.outliers.describe())
            server.stop()


class MalformedAnswersToNodes(TestCase):
    async def test_control_call_believes_a_status_that_is_none(self):
        # Guards against handles, reservations and reports of an engine in trouble.
        async with running() as deployment, answering(ODD_HEAD) as url:
            gateway = await deployment.start_ready_gateway()
            control: t.Any = gateway.reservations.control
            address = url.removeprefix("http://").rstrip("/")
            record = UpstreamRecord("e-9", "engines", address, "a", slots=1)
            engine = Upstream(record, boottime())
            for work in (
                lambda: control.report(engine),
                lambda: control.reserve(engine, 9, 1.0, CallProgress()),
                lambda: control.copy(engine, "r-1", engine),
                lambda: control.probe(engine, "/healthz"),
                lambda: control.identify(engine, "/healthz"),
                lambda: control.release(engine, "h-1"),
                lambda: control.drop_copy(engine, "copy"),
            ):
                error = await self.error_of(work, UpstreamFailed)
                self.assertNotIsInstance(error, UpstreamRefused)

    async def test_store_or_node_is_believed_with_a_status_that_is_none(self):
        # Guards against a view that is built from bytes that are no answer.
        async with running() as deployment, answering(ODD_HEAD) as url:
            gateway = await deployment.start_ready_gateway()
            address = url.removeprefix("http://").rstrip("/")
            store: t.Any = gateway.follower._store
            self.patch(store, "_base_url", f"{url}v1")
            await self.error_of(
                lambda: store.read(members=True, timeout=1.0), PlatformUnavailable
            )
            peer = Member("n-9", address, "a")
            await self.error_of(
                lambda: gateway.follower._leaders.ask(peer), PeerUnavailable
            )

    async def error_of(
        self, work: t.Callable[[], t.Any], kind: type[Exception]
    ) -> Exception:
        """Return the error of a call, which has to fail."""
        try:
            await work()
        except kind as error:
            return error
        raise AssertionError("the answer was believed")
