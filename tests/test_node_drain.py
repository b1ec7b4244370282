"""Requests of a node whose drain is over before they are."""

import asyncio
import contextlib
import dataclasses
import json
import typing as t

from bankrack.node import Node
from tests.base import TestCase
from tests.fakes import free_address
from tests.fakes import Testbed
from tests.fakes import testbed
from tests.front.test_callers import body
from tests.front.test_callers import texts

PATIENCE_SECONDS = 5.0


async def drain(b: Testbed) -> Node:
    """Begin a drain that waits 0.2 s for requests in flight."""
    node = b.nodes[0]
    limits = dataclasses.replace(
        node.settings.limits, drain_notice=0.0, drain_timeout=0.2
    )
    node.settings = dataclasses.replace(node.settings, limits=limits)
    node.begin_drain("test")
    return node


@contextlib.asynccontextmanager
async def _silent_upstream() -> t.AsyncIterator[tuple[Testbed, str]]:
    """Run a node, and an upstream that accepts requests and answers none."""
    address = free_address()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, *address.split(":"))
    async with testbed(engines=0) as b, server:
        yield b, address


class EndOfADrain(TestCase):
    async def ask(self, b: Testbed, request: object, **more: str) -> tuple[int, str]:
        """Return the status and the outcome of a request; it has no answer by then."""
        async with asyncio.timeout(PATIENCE_SECONDS):
            async with b.post(request, **more) as response:
                await response.read()
                return response.status, response.headers.get("X-Outcome", "")

    async def ask_and_drain(
        self, b: Testbed, request: object, **more: str
    ) -> tuple[int, str]:
        asking = asyncio.create_task(self.ask(b, request, **more))
        while not b.nodes[0].in_flight.total:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        node = await drain(b)
        try:
            return await asking
        finally:
            await node.stopped.wait()

    async def test_request_that_waits_for_a_place_is_closed_without_an_answer(self):
        for stream in (False, True):
            async with testbed() as b:
                b.nodes[0].admission.place = _never
                found = await self.ask_and_drain(b, body(stream=stream))
            self.assertEqual((503, "not_run"), found)
            self.assertEqual({}, b.engines[0].runs_by_generation)

    async def test_run_without_a_stream_is_closed_without_an_answer(self):
        async with testbed() as b:
            found = await self.ask_and_drain(b, body(9000))
        self.assertEqual(502, found[0])
        self.assertNotEqual("not_run", found[1])

    async def test_run_without_its_first_token_is_closed_without_an_answer(self):
        for stream in (False, True):
            async with _silent_upstream() as (b, address):
                b.engine_addresses.append(address)
                await b.confirm()
                found = await self.ask_and_drain(b, body(stream=stream))
            self.assertEqual((502, "unknown"), found)

    async def test_plain_request_is_closed_without_an_answer(self):
        async with _silent_upstream() as (b, address):
            b.plain_addresses.append(address)
            await b.confirm()
            found = await self.ask_and_drain(b, b"x", path="/services/fonts/a")
        self.assertEqual((502, "unknown"), found)

    async def test_plain_request_that_was_not_sent_is_closed_without_an_answer(self):
        async with testbed(engines=0, plain=1) as b:
            b.nodes[0].plain._claimer = lambda *found: _never
            key = "01900000-0000-7000-8000-000000000000"
            found = await self.ask_and_drain(
                b, b"x", path="/services/fonts/a", Idempotency_Key=key
            )
        self.assertEqual((503, "not_run"), found)

    async def test_stream_that_has_begun_ends_without_its_error(self):
        async with testbed() as b, b.post(body(9000, stream=True)) as response:
            await response.content.readline()
            node = await drain(b)
            async with asyncio.timeout(PATIENCE_SECONDS):
                events = await b.events(response)
            await node.stopped.wait()
        error = json.loads(events[-1][1])["error"]
        self.assertEqual("node_stopped", error["code"])

    async def test_stream_that_a_drain_ended_can_not_go_on_at_another_node(self):
        async with testbed(nodes=2) as b:
            async with b.post(body(300, stream=True)) as response:
                await response.content.readline()
                node = await drain(b)
                events = await b.events(response)
            self.assertIn("node_stopped", events[-1][1])
            last = events[-1][0]
            async with b.post(
                body(300, stream=True), node=1, Last_Event_ID=last
            ) as response:
                rest = await b.events(response)
            await node.stopped.wait()
        numbers = [int(word.rpartition("-")[2]) for word in texts(events + rest)]
        self.assertEqual("[DONE]", rest[-1][1])
        self.assertEqual(list(range(300)), numbers)


async def _never(*found: object, **more: object) -> None:
    await asyncio.Event().wait()
