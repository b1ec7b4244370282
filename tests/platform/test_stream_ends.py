"""Responses that look complete when their connection ends, but may not be."""

import asyncio
import dataclasses
import math
import typing as t

from aiohttp import web

from bankrack.decisions import responseends
from bankrack.exceptions import StreamInterrupted
from bankrack.exceptions import UpstreamDisconnected
from bankrack.front.httpreply import HttpReply
from bankrack.serving.client import UpstreamClient
from bankrack.serving.enginecontrol import Health
from bankrack.serving.job import Job
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.sending import BodiesInFlight
from bankrack.serving.sessions import new_session
from bankrack.serving.upstreams import Upstream
from engines import PlatformUpstreams
from tests.base import TestCase
from tests.platform.deployment import response_ends
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import ReceivedResponse
from tests.platform.rawservers import ask
from tests.platform.rawservers import Ending
from tests.platform.rawservers import EVENTS
from tests.platform.rawservers import RawServer
from tests.platform.rawservers import replace_servers
from tests.platform.rawservers import STREAM
from tests.platform.test_given_up_sends import send_to


async def ask_leaving(
    service: str, path: str, server: RawServer, *, removed: bool = False
) -> ReceivedResponse:
    """Send a request to a server that announces its end while it responds.

    :param removed: its entry goes, instead of saying that it drains.
    """
    async with running() as deployment:
        await replace_servers(deployment, service, server)
        gateway = await deployment.start_ready_gateway()
        server.may_end.clear()
        request = asyncio.create_task(call(gateway.settings.front, path))
        await until(lambda: bool(server.requests))
        upstream = gateway.upstreams.by_id[server.id]
        key = f"servers/{server.id}"
        if removed:
            deployment.store.remove(key)
        else:
            entry = deployment.plain[0].entry(service, address=server.address)
            deployment.store.put(key, {**entry, "state": "draining"})
        await until(lambda: upstream.leaving)
        server.may_end.set()
        response = await request
        server.stop()
        return response


class Streams(TestCase):
    """The caller must see that a stream was broken off."""

    async def check_broken_off(self, server: RawServer) -> None:
        response = await ask("engines", "/talk/x", server)
        self.assertEqual((200, False, STREAM), _read(response))

    async def test_engine_replaced_on_its_port_does_not_complete_its_streams(self):
        await self.check_broken_off(RawServer(STREAM, ending=Ending.REPLACED))

    async def test_engine_whose_machine_vanished_does_not_complete_its_streams(self):
        await self.check_broken_off(RawServer(STREAM, ending=Ending.VANISHES))

    async def test_leaving_engine_that_ends_does_not_complete_its_streams(self):
        for removed in (False, True):
            server = RawServer(STREAM, ending=Ending.CRASHES)
            response = await ask_leaving("engines", "/talk/x", server, removed=removed)
            self.assertEqual((200, False, STREAM), _read(response))

    async def test_engine_that_shuts_down_does_not_complete_its_streams(self):
        """It accepts nothing more, but still answers on connections that are open."""
        server = RawServer(STREAM, ending=Ending.CRASHES)
        server.keeps_connections = True
        await self.check_broken_off(server)

    async def test_engine_that_stops_soon_does_not_complete_its_streams(self):
        """It closes them first, and states its name for a moment longer."""
        server = RawServer(STREAM, ending=Ending.STOPS)
        server.full = True
        await self.check_broken_off(server)

    async def test_other_transfer_coding_than_chunks_is_no_framing(self):
        server = RawServer(
            STREAM, ending=Ending.CRASHES, headers="Transfer-Encoding: identity\r\n"
        )
        await self.check_broken_off(server)

    async def test_all_streams_of_a_replaced_engine_are_broken_off(self):
        """The next life listens after some of the ends were noticed."""
        server = RawServer(*[STREAM] * 4, ending=Ending.REPLACED)
        server.replaced_after = 0.05
        async with running() as deployment:
            await replace_servers(deployment, "engines", server)
            gateway = await deployment.start_ready_gateway()
            address = gateway.settings.front
            server.may_end.clear()
            calls = [asyncio.create_task(call(address, "/talk/x")) for _ in range(4)]
            await until(lambda: len(server.requests) == len(calls))
            server.may_end.set()
            responses = await asyncio.gather(*calls)
            server.stop()
        self.assertEqual([(200, False, STREAM)] * 4, [_read(r) for r in responses])

    async def test_resumed_run_that_sends_nothing_does_not_complete_a_cut_event(self):
        """The event inside which the first engine broke off is still owed."""
        servers = [RawServer(), RawServer()]
        start = EVENTS[0] + EVENTS[1] + b"id: 2\ndat"
        servers[0].bodies = servers[1].bodies = [start, b"", b"", b""]
        response = await ask("engines", "/note/x", *servers)
        self.assertEqual(EVENTS[0] + EVENTS[1], response.body)
        self.assertFalse(response.complete)

    async def test_comment_does_not_complete_a_cut_event(self):
        servers = [RawServer(), RawServer()]
        start = EVENTS[0] + EVENTS[1] + b"id: 2\ndat"
        servers[0].bodies = servers[1].bodies = [start, *[b": keep open\n\n"] * 3]
        response = await ask("engines", "/note/x", *servers)
        self.assertFalse(response.complete)

    async def test_comment_alone_is_no_stream(self):
        response = await ask("engines", "/talk/x", RawServer(b": keep open\n\n"))
        self.assertFalse(response.status == 200 and response.complete)

    async def test_run_started_anew_does_not_complete_what_it_did_not_reach(self):
        """The caller has three events, and the second engine ends behind the first."""

        async def end_early(request: web.BaseRequest) -> web.Response | None:
            if "Last-Event-Id" not in request.headers:
                return None
            return web.Response(body=EVENTS[0], headers={"Bankrack-Response-Seal": "s"})

        async with running() as deployment:
            for engine in deployment.engines:
                engine.cut_after = 3
                engine.custom_handler = end_early
            gateway = await deployment.start_ready_gateway()
            response = await call(gateway.settings.front, "/note/x")
        self.assertEqual((200, False, b"".join(EVENTS[:3])), _read(response))

    async def test_stream_to_a_caller_without_chunks_is_reset_when_it_breaks_off(self):
        """An HTTP/1.0 caller takes the end of the connection for the stream's end."""
        server = RawServer(STREAM, ending=Ending.RESETS)
        async with running() as deployment:
            await replace_servers(deployment, "engines", server)
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /talk/x HTTP/1.0\r\nHost: h.example\r\nBankrack-Key: key-1\r\n"
                b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n\r\n"
            )
            with self.assertRaises(ConnectionResetError):
                await reader.read()
            writer.close()
            server.stop()

    async def test_stream_without_chunks_never_ends_on_a_kept_connection(self):
        """An HTTP/1.0 caller asks to keep it, and waits for the stream's end."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /talk/x HTTP/1.0\r\nHost: h.example\r\nBankrack-Key: key-1\r\n"
                b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n"
                b"Connection: keep-alive\r\n\r\n"
            )
            async with asyncio.timeout(3.0):
                received = await reader.read()
            writer.close()
        self.assertTrue(
            received.endswith(b"\r\n\r\n" + STREAM + b"id: 4\ndata: token4\n\n")
        )

    async def test_run_is_not_resumed_by_a_response_without_proof_of_origin(self):
        """It would be joined to the events of an engine that had proved its own."""

        async def resume(request: web.BaseRequest) -> web.Response | None:
            for engine in deployment.engines:
                engine.cut_after = -1 if "Kv-From" in request.headers else 2
            if "Kv-From" not in request.headers:
                return None
            return web.Response(body=EVENTS[2] + EVENTS[3])

        async with running() as deployment:
            for engine in deployment.engines:
                engine.custom_handler = resume
            gateway = await deployment.start_ready_gateway()
            response = await call(gateway.settings.front, "/talk/x")
        self.assertEqual((200, False, EVENTS[0] + EVENTS[1]), _read(response))

    # What must stay complete.

    async def test_stream_of_a_full_engine_is_complete(self):
        server = RawServer(STREAM)
        server.full = True
        response = await ask("engines", "/talk/x", server)
        self.assertEqual((200, True, STREAM), _read(response))

    async def test_stream_that_a_leaving_engine_completes_is_complete(self):
        for removed in (False, True):
            server = RawServer(STREAM)
            response = await ask_leaving("engines", "/talk/x", server, removed=removed)
            self.assertEqual((200, True, STREAM), _read(response))


class FramedResponses(TestCase):
    async def test_response_that_ends_before_its_frame_is_complete(self):
        """Its server lives on, which is no proof for a response that tells its end."""
        chunk = b"%x\r\n%b\r\n" % (len(STREAM), STREAM)
        length, chunked = "Content-Length: 9999\r\n", "Transfer-Encoding: chunked\r\n"
        for headers, body in (
            (length, STREAM),
            (chunked, chunk),
            (chunked, chunk + b"0"),
            (chunked, chunk + b"0\r\n"),
            ("Transfer-Encoding: gzip, chunked\r\n", chunk),
        ):
            server = RawServer(body, headers=headers)
            response = await ask("engines", "/talk/x", server)
            self.assertEqual((200, False, STREAM), _read(response), (headers, body))
            server = RawServer(body, headers=headers)
            response = await ask("plain", "/bill/x", server)
            self.assertEqual(502, response.status, (headers, body))


class UnendedReplies(TestCase):
    async def test_stream_that_nobody_ended_is_ended_by_the_http_library(self):
        """A handler that returns early must not complete what it began."""

        async def serve(job: Job, reply: HttpReply) -> None:
            await reply.begin(200, [])
            await reply.write(EVENTS[0])
            if job.id == "r-1":
                raise StreamInterrupted("the run could not be resumed")

        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            gateway.front._serve = serve
            for request in ("r-1", "r-2"):
                headers = {"Bankrack-Request-Id": request}
                response = await call(
                    gateway.settings.front, "/talk/x", headers=headers
                )
                self.assertEqual((200, False, EVENTS[0]), _read(response), request)


class _LivingUpstreams:
    """Control calls to upstreams that all live on."""

    async def identify(self, upstream: Upstream, path: str) -> Health:
        return Health(upstream.name, healthy=True)


class UnreadResponses(TestCase):
    async def test_response_that_lay_unread_is_not_complete_without_framing(self):
        """Its upstream lives, but may have cut it off meanwhile."""
        self.patch(responseends, "MAX_UNREAD_SECONDS", 0.2)
        self.assertEqual(1_000_000, await self.read(pause=0.0))
        with self.assertRaises(UpstreamDisconnected):
            await self.read(pause=0.3)

    async def read(self, *, pause: float) -> int:
        """Read a large response after a pause; returns its size."""
        server = RawServer(b"x" * 1_000_000)
        send = send_to(await server.start(), b"")
        session = new_session(reuse=False)
        client = UpstreamClient(
            session,
            PlatformUpstreams(),
            NoticeHandler(),
            t.cast(t.Any, None),
            BodiesInFlight(lambda: math.inf),
            response_ends(_LivingUpstreams()),
        )
        try:
            exchange = await client.open(dataclasses.replace(send, health_path="/h"))
            await asyncio.sleep(pause)
            return len(await exchange.read())
        finally:
            await session.close()
            server.stop()


class PlainResponses(TestCase):
    """The caller must get no success with a part of the body."""

    async def test_server_replaced_on_its_port_does_not_complete_its_responses(self):
        for ending in (Ending.REPLACED, Ending.VANISHES):
            response = await ask("plain", "/bill/x", RawServer(b"part", ending=ending))
            self.assertEqual(502, response.status)

    async def test_response_of_a_busy_server_is_complete(self):
        """Its health answer waits for a slot, or is a rejection without a name."""
        for attribute in ("slow", "nameless"):
            server = RawServer(b"whole")
            setattr(server, attribute, True)
            response = await ask("plain", "/bill/x", server)
            self.assertEqual((200, True, b"whole"), _read(response), attribute)

    async def test_leaving_server_that_ends_does_not_complete_its_responses(self):
        server = RawServer(b"part", ending=Ending.CRASHES)
        response = await ask_leaving("plain", "/bill/x", server)
        self.assertEqual(502, response.status)


def _read(response: ReceivedResponse) -> tuple[int, bool, bytes]:
    return response.status, response.complete, response.body
