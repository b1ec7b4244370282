"""Tests that a request that may run once is not sent again after it may have run."""

import asyncio
import contextlib
import itertools
import typing as t

from aiohttp import web

from bankrack.serving import run
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import not_run_response
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import FakeServer
from tests.platform.fakes import ReceivedResponse

Handler = t.Callable[[web.BaseRequest], t.Awaitable[t.Any]]

ONCE_PATHS = ("/bill/x", "/talk/x")
"""Targets of a plain request and of a stream that may run once."""
ALLOWED_OVERLAP_SECONDS = 0.4
"""Time for which the platform lets two upstreams work on one run."""
NOT_RUN = "Bankrack-Not-Executed"
SEAL = "Bankrack-Response-Seal"


def servers(deployment: Deployment) -> list[FakeServer]:
    return [*deployment.plain, *deployment.engines]


def handle_all(deployment: Deployment, handler: Handler) -> None:
    for server in servers(deployment):
        server.custom_handler = handler


def respond(status: int, **headers: str) -> Handler:
    """Return a handler that answers with a status and headers."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status, body=b"data: x\n\n", headers=named)

    return handle


def send_raw(data: bytes) -> Handler:
    """Return a handler that sends some bytes and ends the connection."""

    async def handle(request: web.BaseRequest) -> web.Response:
        assert request.transport is not None
        request.transport.write(data)
        await asyncio.sleep(0.02)
        request.transport.close()
        return web.Response()

    return handle


async def hang(request: web.BaseRequest) -> None:
    await asyncio.sleep(30.0)


def hang_behind_head(status: int) -> Handler:
    """Return a handler that sends the head of a response, and no body."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        headers = {"Bankrack-Request-Id": "r-1", SEAL: "seal"}
        response = web.StreamResponse(status=status, headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        await asyncio.sleep(30.0)
        return response

    return handle


class FailedSends(TestCase):
    """Answers after which a request may have run."""

    async def check_sent_once(self, handler: Handler, *, status: int) -> None:
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            handle_all(deployment, handler)
            for path in ONCE_PATHS:
                for server in servers(deployment):
                    server.arrivals.clear()
                response = await call(gateway.settings.front, path)
                self.assertEqual(1, len(deployment.arrivals()), path)
                self.assertEqual(status, response.status, path)

    async def test_success_that_claims_not_to_have_run_is_no_rejection(self):
        headers = {NOT_RUN: "1", SEAL: "seal", "Bankrack-Request-Id": "r-1"}
        await self.check_sent_once(respond(200, **headers), status=200)

    async def test_500_that_claims_not_to_have_run_is_no_rejection(self):
        await self.check_sent_once(respond(500, **{NOT_RUN: "1"}), status=500)

    async def test_504_that_claims_not_to_have_run_is_no_rejection(self):
        await self.check_sent_once(respond(504, **{NOT_RUN: "1"}), status=504)

    async def test_rejection_of_another_request_is_no_rejection(self):
        headers = {NOT_RUN: "1", "Bankrack-Request-Id": "r-9"}
        await self.check_sent_once(respond(503, **headers), status=502)

    async def test_503_without_a_rejection_does_not_invite_callers_to_send_again(self):
        await self.check_sent_once(respond(503), status=502)

    async def test_sealed_429_without_a_rejection_does_not_invite_to_send_again(self):
        await self.check_sent_once(respond(429, **{SEAL: "seal"}), status=502)

    async def test_408_without_a_rejection_does_not_invite_callers_to_send_again(self):
        await self.check_sent_once(respond(408), status=502)

    async def test_rejection_that_is_cut_inside_its_head_is_no_rejection(self):
        head = b"HTTP/1.1 503 Busy\r\n%s: 1\r\nContent-Le" % NOT_RUN.encode()
        await self.check_sent_once(send_raw(head), status=502)

    async def test_rejection_behind_other_bytes_is_no_rejection(self):
        head = b"\x00\x17HTTP/1.1 503 Busy\r\n%s: 1\r\n\r\n" % NOT_RUN.encode()
        await self.check_sent_once(send_raw(head), status=502)

    async def test_rejection_with_a_garbled_head_is_no_rejection(self):
        head = b"HTTP/1.1 503 Busy\r\n%s: 1\r\n\x01\x02\r\n\r\n" % NOT_RUN.encode()
        await self.check_sent_once(send_raw(head), status=502)

    async def test_request_is_not_sent_again_after_a_success_without_proof(self):
        await self.check_sent_once(respond(200), status=502)

    async def test_request_is_not_sent_again_after_an_answer_to_another_one(self):
        headers = {SEAL: "seal", "Bankrack-Request-Id": "r-9"}
        await self.check_sent_once(respond(200, **headers), status=502)

    async def test_request_is_not_sent_again_after_a_close_before_the_head(self):
        await self.check_sent_once(send_raw(b""), status=502)

    async def test_request_is_not_sent_again_after_a_close_behind_the_head(self):
        head = b"HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: 9\r\n\r\nabc"
        await self.check_sent_once(send_raw(head % SEAL.encode()), status=502)

    async def test_request_is_not_sent_again_after_a_500_broken_off(self):
        head = b"HTTP/1.1 500 Oops\r\n%s: s\r\nContent-Length: 9\r\n\r\nabc"
        await self.check_sent_once(send_raw(head % SEAL.encode()), status=502)

    async def test_upstream_that_takes_itself_for_another_one_rejects(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for path in ONCE_PATHS:
                ran: list[str] = []

                async def reject_first(
                    request: web.BaseRequest, ran: list[str] = ran
                ) -> web.Response | None:
                    ran.append(request.headers["Bankrack-Expect-Instance"])
                    return web.Response(status=421) if len(ran) == 1 else None

                handle_all(deployment, reject_first)
                response = await call(gateway.settings.front, path)
                self.assertEqual(200, response.status)
                self.assertEqual(2, len(set(ran)))


class EndedRequests(TestCase):
    """Requests whose deadline passes or whose caller leaves, wherever they are."""

    async def check_closed_at_deadline(self, handler: Handler, path: str) -> None:
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            handle_all(deployment, handler)
            soon = {"Bankrack-Deadline-Ms": "700"}
            response = await call(gateway.settings.front, path, headers=soon)
            self.assertEqual(504, response.status)
            await self.check_all_closed(deployment)

    async def check_all_closed(self, deployment: Deployment) -> None:
        self.assertEqual(1, len(deployment.arrivals()))
        await until(
            lambda: sum(s.cancelled for s in servers(deployment)) == 1,
            seconds=ALLOWED_OVERLAP_SECONDS,
        )

    async def test_request_is_not_at_work_beyond_its_deadline(self):
        for path, handler in itertools.product(
            ONCE_PATHS, (hang, hang_behind_head(200))
        ):
            await self.check_closed_at_deadline(handler, path)

    async def test_failure_without_an_end_is_not_at_work_beyond_its_deadline(self):
        for path in ONCE_PATHS:
            await self.check_closed_at_deadline(hang_behind_head(500), path)

    async def test_request_is_not_at_work_after_its_caller_left(self):
        handlers = (hang, hang_behind_head(200), hang_behind_head(500))
        for path, handler in itertools.product(ONCE_PATHS, handlers):
            async with running() as deployment:
                gateway = await deployment.start_ready_gateway()
                handle_all(deployment, handler)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await call(gateway.settings.front, path)
                await self.check_all_closed(deployment)

    async def test_run_is_not_at_work_after_its_caller_left_while_a_copy_was_freed(
        self,
    ):
        """The deadline passes, and the caller leaves while the run is released."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for engine in deployment.engines:
                engine.events, engine.pause = 200, 0.05
            freed = asyncio.Event()
            brief = {"Bankrack-Deadline-Ms": "1500", "Bankrack-Token-Usage": "2000,20"}
            serving = asyncio.create_task(
                call(gateway.settings.front, "/talk/x", headers=brief)
            )
            await until(lambda: len(deployment.arrivals()) == 1)
            [home] = [e for e in deployment.engines if e.arrivals]
            control = home.control

            async def control_slowly(request: web.BaseRequest) -> web.StreamResponse:
                if request.path.startswith("/v1/kv-handle/"):
                    freed.set()
                    await asyncio.sleep(30.0)
                return await control(request)

            home.control = control_slowly  # type: ignore[method-assign]
            entry = home.entry("engines", state="draining")
            deployment.store.put(f"servers/{home.id}", entry)
            await until(lambda: "/v1/kv-move" in [path for path, _ in home.orders])
            await freed.wait()
            serving.cancel()
            await until(lambda: home.cancelled >= 1, seconds=ALLOWED_OVERLAP_SECONDS)


class FailedHandovers(TestCase):
    """Runs whose engine falls silent while the engine with the copy fails at once.

    That one may have begun, so the silent engine must not go on 0.4 s later.
    """

    async def check_silent_engine_is_left(self, at_the_copy: Handler) -> None:
        async with running() as deployment:

            async def stall(request: web.BaseRequest) -> t.Any:
                if "Kv-From" in request.headers:
                    return await at_the_copy(request)
                for engine in deployment.engines:
                    engine.pause = 30.0
                return None

            handle_all(deployment, stall)
            gateway = await deployment.start_ready_gateway()
            patient = {"Bankrack-Deadline-Ms": "20000"}
            serving = asyncio.create_task(
                call(gateway.settings.front, "/talk/x", headers=patient)
            )
            await until(lambda: len(deployment.arrivals()) >= 2)
            [first] = [a for a in deployment.arrivals() if a.get("Kv-From") is None]
            [home] = [e for e in deployment.engines if first in e.arrivals]
            await until(lambda: bool(home.cancelled), seconds=ALLOWED_OVERLAP_SECONDS)
            response = await serving
            self.assertFalse(response.complete)

    async def test_silent_engine_is_left_if_its_copy_breaks_off_before_its_head(self):
        await self.check_silent_engine_is_left(send_raw(b""))

    async def test_silent_engine_is_left_if_its_copy_answers_with_a_failure(self):
        await self.check_silent_engine_is_left(respond(500))

    async def test_silent_engine_is_left_if_its_copy_answers_another_request(self):
        headers = {SEAL: "seal", "Bankrack-Request-Id": "r-9"}
        await self.check_silent_engine_is_left(respond(200, **headers))


class NewRuns(TestCase):
    """Runs of resumable routes, which are begun anew."""

    async def test_engine_that_begins_no_run_is_left_before_the_next_one_has_it(self):
        async with running() as deployment:

            async def hang_first(request: web.BaseRequest) -> None:
                if len(deployment.arrivals()) == 1:
                    await asyncio.sleep(30.0)

            handle_all(deployment, hang_first)
            gateway = await deployment.start_ready_gateway()
            short = {"Bankrack-Token-Usage": "2000,20"}
            response = await call(gateway.settings.front, "/note/x", headers=short)
            self.assertTrue(response.complete)
            second_at = max(arrival.at for arrival in deployment.arrivals())
            [left_at] = [at for s in deployment.engines for at in s.cancelled_at]
            self.assertLess(left_at - second_at, ALLOWED_OVERLAP_SECONDS)

    async def test_engine_with_garbled_events_is_left_before_the_next_one_has_it(self):
        async with running() as deployment:

            async def garble_first(
                request: web.BaseRequest,
            ) -> web.StreamResponse | None:
                if len(deployment.arrivals()) > 1:
                    return None
                return await hang_behind_unsealed_event(request)

            handle_all(deployment, garble_first)
            gateway = await deployment.start_ready_gateway()
            short = {"Bankrack-Token-Usage": "2000,20"}
            response = await call(gateway.settings.front, "/note/x", headers=short)
            self.assertTrue(response.complete)
            second_at = max(arrival.at for arrival in deployment.arrivals())
            [left_at] = [at for s in deployment.engines for at in s.cancelled_at]
            self.assertLess(left_at - second_at, ALLOWED_OVERLAP_SECONDS)

    async def test_engine_that_does_not_resume_a_run_is_left_before_a_new_one(self):
        self.patch(run, "RESUME_TIMEOUT_SECONDS", 0.5)
        async with running() as deployment:

            async def resume_never(request: web.BaseRequest) -> None:
                for engine in deployment.engines:
                    engine.cut_after = 2 if len(deployment.arrivals()) == 1 else -1
                if "Kv-From" in request.headers:
                    await asyncio.sleep(30.0)

            handle_all(deployment, resume_never)
            gateway = await deployment.start_ready_gateway()
            patient = {"Bankrack-Deadline-Ms": "20000"}
            response = await call(gateway.settings.front, "/note/x", headers=patient)
            self.assertTrue(response.complete)
            self.assertEqual(5, response.body.count(b"data:"))
            arrivals = sorted(deployment.arrivals(), key=lambda arrival: arrival.at)
            forms = [
                (arrival.get("Kv-From") is not None, arrival.get("Last-Event-Id"))
                for arrival in arrivals
            ]
            self.assertEqual([(False, None), (True, "1"), (False, "1")], forms)
            [left_at] = [at for s in deployment.engines for at in s.cancelled_at]
            self.assertLess(left_at - arrivals[-1].at, ALLOWED_OVERLAP_SECONDS)


class ReservationsOfRuns(TestCase):
    async def test_reservation_is_not_used_again_at_another_engine(self):
        async with running() as deployment:

            async def reject_first(request: web.BaseRequest) -> web.Response | None:
                return not_run_response() if len(deployment.arrivals()) < 3 else None

            def reserve_as(engine: FakeEngine) -> Handler:
                control = engine.control

                async def handle(request: web.BaseRequest) -> web.StreamResponse:
                    if request.path == "/v1/hold-take":
                        return web.json_response({"hold": f"h-{engine.id}"})
                    return await control(request)

                return handle

            for engine in deployment.engines:
                engine.control = reserve_as(engine)  # type: ignore[method-assign]
            handle_all(deployment, reject_first)
            gateway = await deployment.start_ready_gateway()
            response = await call(gateway.settings.front, "/talk/x")
            self.assertTrue(response.complete)
            holds = {
                engine.id: [arrival.get("Hold") for arrival in engine.arrivals]
                for engine in deployment.engines
            }
            wanted = {engine.id: [f"h-{engine.id}"] for engine in deployment.engines}
            self.assertEqual(wanted, holds)


async def hang_behind_unsealed_event(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"id: 0\ndata: token0\n\n")
    await asyncio.sleep(30.0)
    return response


class CallersPositions(TestCase):
    """Callers that name the last event that they have of an earlier run."""

    async def resume(self, path: str) -> tuple[ReceivedResponse, list[list[str]]]:
        """Serve a stream that is cut after event 2 from a caller that has event 0.

        Returns the values of ``Last-Event-Id`` of each send.
        """
        async with running() as deployment:

            async def cut_first(request: web.BaseRequest) -> None:
                for engine in deployment.engines:
                    engine.cut_after = 3 if len(deployment.arrivals()) == 1 else -1

            handle_all(deployment, cut_first)
            gateway = await deployment.start_ready_gateway()
            had = {"last-event-id": "0"}
            response = await call(gateway.settings.front, path, headers=had)
            arrivals = sorted(deployment.arrivals(), key=lambda arrival: arrival.at)
            return response, [
                [v for k, v in arrival.headers if k.lower() == "last-event-id"]
                for arrival in arrivals
            ]

    async def test_resumed_run_goes_on_behind_the_newest_event_of_its_caller(self):
        for path in ("/talk/x", "/note/x"):
            response, positions = await self.resume(path)
            self.assertEqual([["0"], ["2"]], positions, path)
            self.assertTrue(response.complete)
            self.assertEqual(4, response.body.count(b"data:"))


class KeptConnections(TestCase):
    async def test_pipelined_requests_are_each_sent_once(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            names = [f"r-{n}" for n in range(4)]
            handle_all(deployment, fail_second)
            for name in names:
                writer.write(
                    b"POST /bill/x HTTP/1.1\r\nHost: h.example\r\nBankrack-Key: key-1"
                    b"\r\nBankrack-Request-Id: %s\r\nContent-Length: 1\r\n\r\nq"
                    % name.encode()
                )
            statuses = []
            for _ in names:
                head = await reader.readuntil(b"\r\n\r\n")
                statuses.append(int(head.split()[1]))
                fields = dict(
                    line.split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
                )
                await reader.readexactly(int(fields[b"Content-Length"]))
            writer.close()
            self.assertEqual([200, 502, 200, 200], statuses)
            sent = [a.get("Bankrack-Request-Id") for a in deployment.arrivals()]
            self.assertEqual(names, sorted(sent))


async def fail_second(request: web.BaseRequest) -> None:
    if request.headers["Bankrack-Request-Id"] == "r-1":
        assert request.transport is not None
        request.transport.abort()
