"""Tests of permits granted by a coordinator."""

import asyncio
import contextlib
import math
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack.clock import boottime
from bankrack.decisions.permits import PermitRequester
from bankrack.fleet import permits
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.limitupdates import LimitReceiver
from bankrack.fleet.permits import PERMIT_PATH
from bankrack.fleet.permits import PermitClient
from bankrack.fleet.permits import PermitCoordinator
from bankrack.front.internalserver import serve_paths
from bankrack.metrics import GatewayMetrics
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.fakes import free_address


def limit(rate: float, *, ago: float = 0.0) -> RateLimit:
    """Return a limit reported ``ago`` seconds ago, 0.1 s after the send."""
    received_at = boottime() - ago
    return RateLimit(rate, received_at - 0.1, received_at)


class Node:
    """A node's permit coordinator and client."""

    def __init__(
        self, session: aiohttp.ClientSession, own: Member, members: list[Member]
    ) -> None:
        self.own = own
        self.view_age = 0.0
        self.upstreams = Upstreams()
        record = UpstreamRecord("u", "s", "10.0.0.1:1", "a", slots=1)
        self.upstreams.put(record)
        self.upstream = self.upstreams.by_id["u"]
        self.coordinators = Coordinators(own, lambda: members)
        self.coordinators.learn_seconds = 0.0
        limits = LimitReceiver(own, self.coordinators, NoticeHandler(), self.upstreams)
        self.coordinator = PermitCoordinator(
            own, self.coordinators, limits, view_age=lambda: self.view_age
        )
        self.client = PermitClient(
            session, own, self.coordinators, self.coordinator, GatewayMetrics()
        )
        self.runner: web.AppRunner | None = None

    async def take(self, *, rank: int = 0) -> bool:
        return await self.client.take(self.upstream, rank=rank) == 0.0

    async def start(self) -> None:
        paths = {PERMIT_PATH: self.coordinator.handle}
        self.runner = await serve_paths(self.own.address, paths)

    async def stop(self) -> None:
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None


@contextlib.asynccontextmanager
async def fleet(count: int = 4) -> t.AsyncIterator[list[Node]]:
    """Run nodes of which the first is the coordinator and the second the standby."""
    members = [Member(f"n-{n}", free_address(), "a") for n in range(count)]
    async with aiohttp.ClientSession() as session:
        nodes = [Node(session, member, members) for member in members]
        candidates = [member.name for member in nodes[0].coordinators.candidates("u")]
        others = [node for node in nodes if node.own.name not in candidates]
        by_name = {node.own.name: node for node in nodes}
        nodes = [*(by_name[name] for name in candidates), *others]
        try:
            for node in nodes:
                await node.start()
                node.upstream.note_limit(limit(2.0, ago=1.0))
            yield nodes
        finally:
            for node in nodes:
                await node.stop()


class PermitSharingTest(TestCase):
    async def test_permit_taken_by_one_node_is_refused_to_others(self):
        async with fleet() as nodes:
            taken = [await node.take() for node in reversed(nodes)]
            self.assertEqual([True, False, False, False], taken)

    async def test_standby_grants_permits_while_coordinator_is_down(self):
        async with fleet() as nodes:
            await nodes[0].stop()
            taken = [await node.take() for node in (nodes[3], nodes[2], nodes[1])]
            self.assertEqual([True, False, False], taken)

    async def test_unresponsive_coordinator_is_skipped(self):
        async with fleet() as nodes:

            async def never_respond(request: web.Request) -> web.Response:
                await asyncio.sleep(60)
                return web.Response()

            await nodes[0].stop()
            nodes[0].runner = await serve_paths(
                nodes[0].own.address, {PERMIT_PATH: never_respond}
            )
            began = boottime()
            self.assertTrue(await nodes[3].take())
            self.assertLess(boottime() - began, 0.3)

    async def test_isolated_nodes_share_small_fraction_of_rate(self):
        async with fleet() as nodes:
            for node in nodes[:2]:
                await node.stop()
            taken = 0
            for _ in range(20):
                for node in nodes[2:]:
                    taken += await node.take()
            self.assertLessEqual(taken, 1)

    async def test_limit_that_ends_while_others_are_asked_needs_no_permit(self):
        """Guards against a request that crashes as it computes a share of no limit."""
        async with fleet() as nodes:
            for node in nodes[:2]:
                await node.stop()
            taking = asyncio.create_task(nodes[3].take())
            await asyncio.sleep(0)
            now = boottime()
            nodes[3].upstream.note_limit(RateLimit(math.inf, now, now))
            self.assertTrue(await taking)

    async def test_refusing_coordinator_is_not_suspected(self):
        async with fleet() as nodes:
            await nodes[3].take()
            for _ in range(5):
                self.assertFalse(await nodes[3].take())
            self.assertEqual(2, len(nodes[3].coordinators.candidates("u")))


class LimitExchangeTest(TestCase):
    async def test_counters_in_use_are_kept_at_the_limit_of_counters(self):
        self.patch(permits, "MAX_COUNTERS", 2)
        async with fleet() as nodes:
            coordinator = nodes[0].coordinator
            requester = PermitRequester("n-3", 0)
            wait, known = coordinator.grant("u", limit(1), requester)
            self.assertEqual(0.0, wait)
            for number in range(4):
                coordinator.grant(f"other-{number}", limit(1), requester)
                wait, _ = coordinator.grant("u", known, requester)
                self.assertGreater(wait, 0.0)

    async def test_coordinator_learns_limit_from_permit_request(self):
        async with fleet() as nodes:
            nodes[0].upstream.limit = RateLimit(math.inf, -math.inf, -math.inf)
            self.assertTrue(await nodes[3].take())
            self.assertEqual(2.0, nodes[0].upstream.limit.rate)

    async def test_permit_response_reports_end_of_limit(self):
        async with fleet() as nodes:
            nodes[0].upstream.note_limit(limit(math.inf))
            for _ in range(5):
                self.assertTrue(await nodes[3].take())
            self.assertFalse(nodes[3].upstream.limit.bounded)

    async def test_permits_are_counted_for_unknown_upstream(self):
        async with fleet() as nodes:
            nodes[0].upstreams.by_id.clear()
            taken = [await nodes[3].take() for _ in range(3)]
            self.assertEqual([True, False, False], taken)


class CoordinatorTermsTest(TestCase):
    async def granted(self, node: Node, *, requester: str) -> int:
        """Count the permits granted within a second at a limit of 20 per second."""
        reported = limit(20.0)
        node.upstream.note_limit(reported)
        count = 0
        began = boottime()
        while boottime() < began + 1.0:
            wait, _ = node.coordinator.grant(
                "u", reported, PermitRequester(requester, 0)
            )
            count += wait == 0.0
            await asyncio.sleep(0.005)
        return count

    async def test_coordinator_grants_full_rate_and_standby_a_fraction(self):
        async with fleet() as nodes:
            self.assertGreater(await self.granted(nodes[0], requester="n"), 17)
            self.assertLess(await self.granted(nodes[1], requester="n"), 8)

    async def test_coordinator_with_stale_view_and_no_requests_grants_a_fraction(self):
        async with fleet() as nodes:
            nodes[0].view_age = 60.0
            own = nodes[0].own.name
            self.assertLess(await self.granted(nodes[0], requester=own), 8)
            self.assertGreater(await self.granted(nodes[0], requester="n"), 17)


class MessageValidationTest(TestCase):
    async def test_malformed_permit_requests_are_rejected_and_logged(self):
        async with fleet() as nodes, aiohttp.ClientSession() as session:
            url = f"http://{nodes[0].own.address}{PERMIT_PATH}"
            for body in (
                b"",
                b"\xc1",
                msgspec.msgpack.encode([["u", -1.0, 0, 0], "", 0]),
            ):
                with self.assertLogs("bankrack", "INFO") as found:
                    async with session.post(url, data=body) as response:
                        self.assertEqual(400, response.status)
                self.assertIn("peer_message_invalid", found.output[0])

    async def test_invalid_permit_response_counts_as_no_response(self):
        async with fleet() as nodes:

            async def respond_invalid(request: web.Request) -> web.Response:
                return web.Response(body=b"\xc1")

            await nodes[0].stop()
            nodes[0].runner = await serve_paths(
                nodes[0].own.address, {PERMIT_PATH: respond_invalid}
            )
            with self.assertLogs("bankrack", "INFO") as found:
                self.assertTrue(await nodes[3].take())
            self.assertIn("event=permit_unanswered upstream=u", found.output[0])
            self.assertEqual(1, len(nodes[3].coordinators.candidates("u")))
