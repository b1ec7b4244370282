"""Tests of refused and denied requests and their responses."""

import asyncio

from bankrack.clock import boottime
from bankrack.fleet.confirmedview import MAX_DENIAL_VIEW_AGE_SECONDS
from bankrack.fleet.messages import RunUpdate
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration


class Refusals(TestCase):
    async def test_request_gets_503_before_a_configuration_is_known(self):
        async with running(configured=False) as deployment:
            gateway = await deployment.start_gateway()
            await asyncio.sleep(0.2)
            self.assertFalse(gateway.ready)
            response = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(503, response.status)

    async def test_retry_after_grows_with_the_deadline_of_the_caller(self):
        async with running(configured=False) as deployment:
            gateway = await deployment.start_gateway()
            for patience, wanted in (("1000", 0.25), ("6000", 1.5), ("39000", 5.0)):
                headers = {"Bankrack-Deadline-Ms": patience}
                response = await call(
                    gateway.settings.front, "/talk/x", headers=headers
                )
                self.assertEqual(503, response.status)
                self.assertEqual(wanted, float(response.headers["Retry-After"]))

    async def test_unknown_keys_and_routes_are_denied(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            front = gateway.settings.front
            response = await call(front, "/bill/x", headers={"Bankrack-Key": "no"})
            self.assertEqual(401, response.status)
            self.assertEqual(404, (await call(front, "/none/x")).status)
            self.assertEqual([], deployment.arrivals())

    async def test_key_added_without_a_notification_is_accepted(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await until(
                lambda: gateway.follower.leader is None and gateway.view.age < 1
            )
            deployment.store.watch_misses_changes = True
            added = [{"name": "tutors", "apiKeys": ["key-1", "key-2"]}]
            deployment.store.put("op/config", configuration(2, tenants=added))
            # A denial may be based on a view that is slightly out of date.
            await asyncio.sleep(MAX_DENIAL_VIEW_AGE_SECONDS)
            response = await call(
                gateway.settings.front, "/bill/x", headers={"Bankrack-Key": "key-2"}
            )
            self.assertEqual(200, response.status)

    async def test_nothing_is_denied_while_the_store_is_unavailable(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            deployment.store.status = 503
            await asyncio.sleep(MAX_DENIAL_VIEW_AGE_SECONDS + 0.2)
            response = await call(gateway.settings.front, "/none/x")
            self.assertEqual(503, response.status)
            self.assertEqual(
                200, (await call(gateway.settings.front, "/bill/x")).status
            )

    async def test_run_that_cannot_begin_in_time_is_refused_at_once(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await until(lambda: len(gateway.upstreams.open_of("engines")) == 3)
            for engine in deployment.engines:
                for number in range(8):
                    name = f"{engine.id}-{number}"
                    placed = RunUpdate(
                        "engines", 0, name, "placed", engine.id, 3000, 2000
                    )
                    gateway.ledgers.take(placed)
                    began = RunUpdate("engines", 0, name, "began", engine.id)
                    gateway.ledgers.take(began)
            headers = {
                "Bankrack-Deadline-Ms": "6000",
                "Bankrack-Token-Usage": "3000,500",
            }
            began_at = boottime()
            response = await call(gateway.settings.front, "/talk/x", headers=headers)
            self.assertLess(boottime() - began_at, 0.3)
            self.assertEqual(503, response.status)
            self.assertLessEqual(float(response.headers["Retry-After"]), 2.0)
            self.assertEqual([], deployment.arrivals())

    async def test_malformed_requests_get_a_typed_error(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            front = gateway.settings.front
            bad = {"Bankrack-Deadline-Ms": "soon"}
            self.assertEqual(400, (await call(front, "/bill/x", headers=bad)).status)
            big = {"X-Big": "x" * 9000}
            self.assertEqual(431, (await call(front, "/bill/x", headers=big)).status)
            body = b"x" * 100_001
            self.assertEqual(413, (await call(front, "/bill/x", body=body)).status)
