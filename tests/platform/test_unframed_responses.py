"""Responses with neither a length nor chunks, which end with their connection."""

import asyncio
import contextlib
import typing as t

from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import ReceivedResponse
from tests.platform.rawservers import ask
from tests.platform.rawservers import Ending
from tests.platform.rawservers import EVENTS
from tests.platform.rawservers import RawServer
from tests.platform.rawservers import replace_servers
from tests.platform.rawservers import STREAM

PATIENCE = {"Bankrack-Deadline-Ms": "6000"}
PATHS = {"/talk/x": STREAM, "/bill/x": b"whole", "/look/x": b"whole"}
"""Responses of a stream and of plain requests, which may be repeated or not."""


class PlainResponses(TestCase):
    async def test_body_ends_with_the_connection(self):
        response = await ask("plain", "/bill/x", RawServer(b"whole"))
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual(b"whole", response.body)

    async def test_empty_body_is_complete(self):
        response = await ask("plain", "/bill/x", RawServer(b""))
        self.assertEqual((200, True, b""), _read(response))

    async def test_reset_connection_leaves_no_whole_response(self):
        response = await ask(
            "plain", "/bill/x", RawServer(b"part", ending=Ending.RESETS)
        )
        self.assertEqual(502, response.status)

    async def test_crash_behind_the_body_leaves_no_whole_response(self):
        """A process that ends closes its connections as if the body were complete."""
        response = await ask(
            "plain", "/bill/x", RawServer(b"part", ending=Ending.CRASHES)
        )
        self.assertEqual(502, response.status)

    async def test_responses_without_a_body_are_complete(self):
        response = await ask("plain", "/look/x", RawServer(b""), method="HEAD")
        self.assertEqual((200, True, b""), _read(response))
        server = RawServer(b"", status="204 No Content")
        response = await ask("plain", "/bill/x", server)
        self.assertEqual((204, True, b""), _read(response))

    async def test_refused_head_request_gets_no_body(self):
        """The caller would take the body for the start of the next response."""
        server = RawServer(b"", ending=Ending.RESETS)
        async with running() as deployment:
            await replace_servers(deployment, "plain", server)
            gateway = await deployment.start_ready_gateway()
            host, _, port = gateway.settings.front.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"HEAD /nowhere/x HTTP/1.1\r\nHost: h.example\r\n"
                b"Bankrack-Request-Id: r-1\r\nBankrack-Deadline-Ms: 3000\r\n"
                b"Bankrack-Key: key-1\r\nConnection: close\r\n\r\n"
            )
            received = await reader.read()
            writer.close()
            server.stop()
        self.assertTrue(received.startswith(b"HTTP/1.1 404"), received)
        self.assertTrue(received.endswith(b"\r\n\r\n"), received)


class Streams(TestCase):
    async def test_stream_ends_with_the_connection(self):
        response = await ask("engines", "/talk/x", RawServer(STREAM))
        self.assertEqual((200, True, STREAM), _read(response))

    async def test_stream_that_ends_inside_an_event_is_broken_off(self):
        response = await ask("engines", "/talk/x", RawServer(STREAM + b"id: 4\nda"))
        self.assertEqual((200, False, STREAM), _read(response))

    async def test_stream_that_is_reset_behind_an_event_is_broken_off(self):
        response = await ask(
            "engines", "/talk/x", RawServer(STREAM, ending=Ending.RESETS)
        )
        self.assertEqual((200, False), (response.status, response.complete))

    async def test_stream_of_an_engine_that_crashes_behind_an_event_is_broken_off(self):
        """A process that ends closes its connections as if the stream were complete."""
        response = await ask(
            "engines", "/talk/x", RawServer(STREAM, ending=Ending.CRASHES)
        )
        self.assertEqual((200, False, STREAM), _read(response))

    async def test_stream_goes_on_behind_the_last_whole_event(self):
        """Whichever of the engines is chosen first breaks off; the other goes on."""
        start = EVENTS[0] + EVENTS[1] + b"id: 2\ndat"
        servers = [RawServer(start), RawServer(start)]
        bodies = servers[0].bodies = servers[1].bodies
        bodies.append(EVENTS[2] + EVENTS[3])
        response = await ask("engines", "/note/x", *servers)
        self.assertEqual((200, True, STREAM), _read(response))
        requests = [request for server in servers for request in server.requests]
        self.assertEqual(2, len(requests))
        self.assertTrue(any(b"last-event-id: 1" in r.lower() for r in requests))


class SlowServers(TestCase):
    """A whole response must not be lost, as its server only takes long to prove it."""

    async def check_whole(self, **traits: t.Any) -> None:
        """Check a stream and plain requests at servers with some traits."""

        async def check(path: str, body: bytes) -> None:
            server = RawServer(body)
            async with _running_patiently(server) as address:
                for trait, value in traits.items():
                    setattr(server, trait, value)
                response = await call(address, path, headers=PATIENCE)
            self.assertEqual((200, True, body), _read(response), path)

        await asyncio.gather(*(check(path, body) for path, body in PATHS.items()))

    async def test_slow_question_behind_a_response_does_not_cut_it(self):
        await self.check_whole(slow=True, full=True)

    async def test_slow_questions_one_after_the_other_do_not_use_up_a_short_route(self):
        """A full server proves the response by its second answer, 1.5 s behind it."""
        server = RawServer(b"whole")
        server.slow = server.full = True
        response = await ask("plain", "/bill/x", server)
        self.assertEqual((200, True, b"whole"), _read(response))

    async def test_slow_answer_of_a_server_that_has_ended_completes_no_response(self):
        """It was asked as it ended, and refuses the question behind that."""
        server = RawServer(b"part", ending=Ending.STOPS)
        server.slow = server.full = True
        response = await ask("plain", "/bill/x", server)
        self.assertEqual(502, response.status)

    async def test_reset_question_behind_a_response_does_not_cut_it(self):
        """A server resets connections beyond those that it accepts."""
        until = asyncio.get_running_loop().time() + 3.5
        await self.check_whole(resets_until=until)

    async def test_next_answer_of_a_server_proves_the_response_before(self):
        async def check(path: str, body: bytes) -> None:
            server = RawServer(body, body)
            async with _running_patiently(server) as address:
                server.mute = True
                first = asyncio.create_task(call(address, path, headers=PATIENCE))
                await asyncio.sleep(2.2)
                later = asyncio.create_task(call(address, path, headers=PATIENCE))
                response = await asyncio.wait_for(first, 1.0)
                later.cancel()
            self.assertEqual((200, True, body), _read(response), path)

        await asyncio.gather(*(check(path, body) for path, body in PATHS.items()))

    async def test_request_goes_on_to_the_next_server_if_one_proves_nothing(self):
        """It may be repeated, so its caller does not wait for the proof."""
        servers = [RawServer(b"whole", b"whole"), RawServer(b"whole", b"whole")]
        async with _running_patiently(*servers) as address:
            for server in servers:
                server.mute = True
            request = asyncio.create_task(call(address, "/look/x", headers=PATIENCE))
            await until(lambda: any(server.requests for server in servers))
            other = next(server for server in servers if not server.requests)
            other.mute = False
            response = await asyncio.wait_for(request, 3.0)
        self.assertEqual((200, True, b"whole"), _read(response))
        self.assertEqual([1, 1], [len(server.requests) for server in servers])

    async def test_server_that_ends_while_it_is_asked_does_not_complete_a_response(
        self,
    ):
        """Its end is seen at once; a request that may be repeated waits for others."""
        for path, body in (("/talk/x", STREAM), ("/bill/x", b"part")):
            server = RawServer(body, ending=Ending.STOPS)
            async with _running_patiently(server) as address:
                began = asyncio.get_running_loop().time()
                server.resets_until = began + 9.0
                response = await call(address, path, headers=PATIENCE)
            self.assertFalse(response.status == 200 and response.complete, path)
            self.assertLess(asyncio.get_running_loop().time() - began, 2.0, path)


@contextlib.asynccontextmanager
async def _running_patiently(*servers: RawServer) -> t.AsyncIterator[str]:
    """Run a node with routes of 6 s that knows only these servers of a service."""
    service = "engines" if servers[0].bodies[0] == STREAM else "plain"
    async with running(configured=False) as deployment:
        document = configuration()
        for route in document["routes"]:
            route.update(timeoutMs=6000, targetLatencyMs=400)
        deployment.store.put("op/config", document)
        await replace_servers(deployment, service, *servers)
        gateway = await deployment.start_ready_gateway()
        yield gateway.settings.front
        for server in servers:
            server.stop()


def _read(response: ReceivedResponse) -> tuple[int, bool, bytes]:
    return response.status, response.complete, response.body
