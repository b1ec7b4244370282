"""Prompts with a part that crashes each engine that begins to answer on it.

No two of the requests are alike, and sound ones share their caller and other parts.
"""

import asyncio
import itertools

from aiohttp import web

from tests.base import TestCase
from tests.platform.crashing import Fleet
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import FakeEngine
from tests.platform.fakes import ReceivedResponse

DEADLY_PART = "dead1"
MAX_CRASHES = 5
"""Crashes after which a part must be known to be the cause."""
MORE_ENGINES = 3


def has_deadly_part(request: web.BaseRequest, body: bytes) -> bool:
    return f"{DEADLY_PART}:" in request.headers.get("Bankrack-Prompt-Prefix", "")


class Prompts:
    """Sends requests whose prompts share some parts but never the last."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()

    async def call(
        self, *shared: str, node: int = 0, path: str = "/talk/x"
    ) -> ReceivedResponse:
        """Send a request with the given shared parts and a last part of its own."""
        number = next(self._numbers)
        parts = [*shared, f"own{number}"]
        prompt = ",".join(f"{part}:40" for part in parts)
        more = {"Bankrack-Prompt-Prefix": prompt, "Bankrack-Token-Usage": "200,80"}
        body = b"question %d" % number
        return await self._fleet.call(path, body=body, node=node, **more)


async def start_fleet(deployment: Deployment, *, nodes: int = 3) -> Fleet:
    for number in range(MORE_ENGINES):
        engine = FakeEngine(f"more-{number}")
        await engine.start()
        deployment.engines.append(engine)
        deployment.store.put(f"servers/{engine.id}", engine.entry("engines"))
    for engine in deployment.engines:
        engine.engine_by_address = {e.address: e for e in deployment.engines}
    fleet = Fleet(deployment, is_deadly=has_deadly_part)
    await fleet.start(nodes=nodes)
    return fleet


class DeadlyParts(TestCase):
    async def check_few_engines_crash(self, *shared: str, nodes: int = 3) -> None:
        """Send deadly prompts at all nodes, and sound ones with their other parts."""
        sound = [part for part in shared if part != DEADLY_PART]
        async with running() as deployment:
            fleet = await start_fleet(deployment, nodes=nodes)
            prompts = Prompts(fleet)
            for number in range(10):
                node = number % nodes
                response = await prompts.call(*shared, node=node)
                self.assertNotEqual(200, response.status)
                await fleet.wait_for_restarts()
                response = await prompts.call(*sound, f"other{node}", node=node)
                self.assertEqual((200, True), (response.status, response.complete))
            self.assertLessEqual(len(fleet.crashed), MAX_CRASHES)

    async def test_deadly_part_behind_a_common_one_crashes_few_engines(self):
        await self.check_few_engines_crash("common", DEADLY_PART)

    async def test_deadly_first_part_crashes_few_engines(self):
        await self.check_few_engines_crash(DEADLY_PART, "common")

    async def test_node_that_hears_of_no_other_finds_the_deadly_part(self):
        await self.check_few_engines_crash("common", DEADLY_PART, nodes=1)

    async def test_deadly_part_of_concurrent_requests_crashes_few_engines(self):
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            for _ in range(3):
                calls = (prompts.call(DEADLY_PART, node=n) for n in range(3))
                await asyncio.gather(*calls, return_exceptions=True)
                await fleet.wait_for_restarts()
            self.assertLessEqual(len(fleet.crashed), MAX_CRASHES)

    async def test_part_that_became_deadly_crashes_few_engines(self):
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            fleet.is_deadly = lambda request, body: False
            for node in range(3):
                response = await prompts.call("common", DEADLY_PART, node=node)
                self.assertEqual((200, True), (response.status, response.complete))
            await asyncio.sleep(2.0)
            fleet.is_deadly = has_deadly_part
            for number in range(10):
                await prompts.call("common", DEADLY_PART, node=number % 3)
                await fleet.wait_for_restarts()
            self.assertLessEqual(len(fleet.crashed), MAX_CRASHES)

    async def test_request_with_deadly_part_is_refused_as_not_run(self):
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            for number in range(MAX_CRASHES):
                await prompts.call(DEADLY_PART, node=number % 3)
                await fleet.wait_for_restarts()
            arrivals = len(deployment.arrivals())
            with self.assertLogs("bankrack", "INFO") as lines:
                response = await prompts.call(DEADLY_PART, node=1)
            [line] = [r for r in lines.output if "event=request_ended" in r]
            self.assertIn('outcome="request_quarantined (not_run)', line)
            self.assertIn(DEADLY_PART, line)
            self.assertEqual(502, response.status)
            self.assertNotIn("Retry-After", response.headers)
            self.assertEqual(arrivals, len(deployment.arrivals()))

    async def test_nodes_that_all_start_anew_keep_the_deadly_part_away(self):
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            for number in range(MAX_CRASHES):
                await prompts.call("common", DEADLY_PART, node=number % 3)
                await fleet.wait_for_restarts()
            keys = deployment.store.item_by_key
            await until(lambda: any(k.startswith("system/blocked/") for k in keys))
            for gateway in deployment.gateways:
                await gateway._close()
            deployment.gateways.clear()
            await deployment.start_ready_gateway("n-9")
            crashed = len(fleet.crashed)
            await prompts.call("common", DEADLY_PART)
            self.assertEqual(crashed, len(fleet.crashed))
            response = await prompts.call("common")
            self.assertEqual((200, True), (response.status, response.complete))


class SoundParts(TestCase):
    async def test_retries_of_one_request_are_no_evidence_against_its_parts(self):
        """The node sends a request again whose engine crashed, so it crashes two."""
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            fleet.is_deadly = lambda request, body: body == b"question 0"
            await prompts.call("common", "session", path="/note/x")
            self.assertEqual(2, len(fleet.crashed))
            await fleet.wait_for_restarts()
            response = await prompts.call("common", "session", node=1)
            self.assertEqual((200, True), (response.status, response.complete))

    async def test_parts_that_engines_answer_on_are_not_blamed(self):
        """Engines crash one after the other beside sound requests with equal parts."""
        async with running() as deployment:
            fleet = await start_fleet(deployment)
            prompts = Prompts(fleet)
            fleet.is_deadly = lambda request, body: int(body.split()[1]) % 2 == 0
            for number in range(5):
                await prompts.call("common", node=number % 3)
                await fleet.wait_for_restarts()
                response = await prompts.call("common", node=number % 3)
                self.assertEqual((200, True), (response.status, response.complete))
