"""Requests that crash each upstream that begins to run them.

A caller that retries such a request with new ids and through different nodes must not
crash one engine after the other, with all streams on them.
"""

import asyncio
import typing as t

from aiohttp import web

from tests.base import TestCase
from tests.platform.crashing import Fleet
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import FakeServer


class CrashingRequests(TestCase):
    async def test_repeated_request_crashes_few_engines_across_nodes(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            for number in range(8):
                response = await fleet.call("/talk/x", node=number % 2)
                self.assertNotEqual(200, response.status)
                await fleet.wait_for_restarts()
            self.assertLessEqual(len(fleet.crashed), 3)

    async def test_quarantined_request_is_refused_as_possibly_run(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            for _ in range(2):
                await fleet.call("/note/x")
                await fleet.wait_for_restarts()
            arrivals = len(deployment.arrivals())
            with self.assertLogs("bankrack", "INFO") as lines:
                response = await fleet.call("/note/x", node=1)
            [line] = [r for r in lines.output if "event=request_ended" in r]
            self.assertRegex(line, "route=note service=engines .*fingerprint=[0-9a-f]")
            self.assertEqual(502, response.status)
            self.assertIn(b"request_quarantined", response.body)
            self.assertNotIn("Retry-After", response.headers)
            self.assertEqual(arrivals, len(deployment.arrivals()))

    async def test_retry_or_resume_crashes_no_third_upstream(self):
        """One request crashes at most two upstreams, after which it is quarantined."""
        for path in ("/look/x", "/talk/x", "/note/x"):
            async with running() as deployment:
                fleet = Fleet(deployment)
                await fleet.start(nodes=1)
                for _ in range(4):
                    await fleet.call(path)
                    await fleet.wait_for_restarts()
                self.assertEqual(2, len(fleet.crashed), path)

    async def test_other_requests_are_served_meanwhile(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            for number in range(4):
                await fleet.call("/talk/x", node=number % 2)
                await fleet.wait_for_restarts()
                response = await fleet.call(
                    "/talk/x", body=b"question", node=number % 2
                )
                self.assertEqual((200, True), (response.status, response.complete))

    async def test_later_started_node_reads_the_quarantine_from_the_store(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            for number in range(2):
                await fleet.call("/talk/x", node=number)
                await fleet.wait_for_restarts()
            saved = "system/blocked/"
            await until(
                lambda: any(k.startswith(saved) for k in deployment.store.item_by_key)
            )
            for gateway in deployment.gateways:
                await gateway._close()
            deployment.gateways.clear()
            await deployment.start_ready_gateway("n-9")
            crashed = len(fleet.crashed)
            response = await fleet.call("/talk/x")
            self.assertIn(b"request_quarantined", response.body)
            self.assertEqual(crashed, len(fleet.crashed))

    async def test_crashes_are_counted_while_the_store_is_unavailable(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start()
            deployment.store.status = 503
            for number in range(3):
                await fleet.call("/note/x", node=number % 2)
            self.assertEqual(2, len(fleet.crashed))

    async def test_request_is_tried_again_on_new_software(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start(nodes=1)
            for _ in range(2):
                await fleet.call("/talk/x")
                await fleet.wait_for_restarts()
            for engine in deployment.engines:
                engine.custom_handler = None
                entry = engine.entry("engines", configVersion=2)
                deployment.store.put(f"servers/{engine.id}", entry)
            upstreams = deployment.gateways[0].upstreams.of("engines")
            await until(lambda: all(u.record.software == "2" for u in upstreams))
            response = await fleet.call("/talk/x")
            self.assertEqual((200, True), (response.status, response.complete))


class OtherFailures(TestCase):
    async def test_broken_connection_is_not_counted_as_a_crash(self):
        async def drop(request: web.BaseRequest) -> web.Response:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            for server in deployment.plain:
                server.custom_handler = drop
            for _ in range(4):
                response = await call(gateway.settings.front, "/bill/x")
                self.assertEqual(502, response.status)
                self.assertIn(b"upstream_", response.body)
            self.assertEqual([], gateway.crashes.quarantined())

    async def test_end_of_a_leaving_upstream_is_not_counted_as_a_crash(self):
        async with running() as deployment:
            fleet = Fleet(deployment)
            await fleet.start(nodes=1)
            gateway = deployment.gateways[0]
            for server in deployment.plain:
                upstream = gateway.upstreams.by_id[server.id]

                async def leave(
                    request: web.BaseRequest,
                    server: FakeServer = server,
                    upstream: t.Any = upstream,
                ) -> None:
                    upstream.leaving_at = 1.0
                    server.crash()
                    await asyncio.sleep(60)

                server.custom_handler = leave
            await fleet.call("/look/x", body=b"question")
            self.assertEqual([], gateway.crashes.quarantined())
            self.assertEqual({}, gateway.crashes.take_updates())
