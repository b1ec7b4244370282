"""Tests of configurations that are large for the links between the VMs."""

import asyncio
import contextlib
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.configurationuse import MAX_AGE_SECONDS
from bankrack.fleet.documents import Member
from bankrack.fleet.store import joint_revision
from bankrack.fleet.valueparts import Outline
from bankrack.gateway import Gateway
from bankrack.utils import stable_digest
from tests.base import TestCase
from tests.fakes import free_address
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.narrowlinks import NarrowLink

MAX_SECONDS = 3.0
"""Bound from the acknowledgement of a change until it is in force at all nodes."""
NODES = 20
NARROW_MBPS = 10.0
SLOW_STORE_SECONDS = 0.24
ROUTES = 1_400


def large_configuration(version: int, *, routes: int = ROUTES) -> dict[str, t.Any]:
    """Return a configuration with many routes; the last one is ``/added-N/``."""
    document = configuration(version)
    route = {**document["routes"][0], "public": True, "service": "plain"}
    for number in range(routes):
        name = stable_digest(str(number)).hex()[:10]
        prefix = f"/added-{number}/"
        document["routes"].append({**route, "name": name, "pathPrefix": prefix})
    return document


class Fleet:
    """Gateways of one hall behind narrow links."""

    def __init__(self, deployment: Deployment) -> None:
        self.store = deployment.store
        self._deployment = deployment
        self.link_by_name: dict[str, NarrowLink] = {}
        self.gateways: list[Gateway] = []

    async def start(self, *, nodes: int = NODES, mbps: float = NARROW_MBPS) -> None:
        """Start all nodes; returns once they follow one reader."""
        for number in range(nodes):
            name = f"n-{number}"
            link = self.link_by_name[name] = NarrowLink(mbps)
            await link.open()
            gateway = await self._deployment.start_gateway(name, prepare=link.announce)
            self.gateways.append(gateway)
        await until(lambda: all(self._is_settled(g) for g in self.gateways), seconds=20)

    async def start_late(self, *, seeds: tuple[str, ...]) -> Gateway:
        """Start a further node, which is not waited for."""
        return await self._deployment.start_gateway("late", seeds=seeds)

    def _is_settled(self, gateway: Gateway) -> bool:
        members = gateway.view.members_by_name
        leaders = sum(g.follower.leader is None for g in self.gateways)
        return gateway.ready and len(members) == len(self.gateways) and leaders == 1

    @property
    def reader(self) -> Gateway:
        return next(g for g in self.gateways if g.roster.is_reader())

    def cut(self, gateway: Gateway) -> None:
        """Cut a node off from the others; it is no longer looked at."""
        self.link_by_name[gateway.settings.name].cut = True
        self.gateways.remove(gateway)

    async def seconds_until(self, version: int, *, since: float) -> float:
        """Return the seconds until the last node has a version in force."""
        await until(
            lambda: all(g.view.table.version >= version for g in self.gateways),
            seconds=15,
        )
        return boottime() - since

    async def close(self) -> None:
        for link in self.link_by_name.values():
            await link.close()


@contextlib.asynccontextmanager
async def running_fleet(**options: t.Any) -> t.AsyncIterator[Fleet]:
    async with running() as deployment:
        fleet = Fleet(deployment)
        try:
            await fleet.start(**options)
            yield fleet
        finally:
            await fleet.close()


class LargeConfigurations(TestCase):
    async def test_large_change_and_one_behind_it_are_in_force_in_time(self):
        """Guards against transfers that are cut off and begin again elsewhere."""
        async with running_fleet() as fleet:
            fleet.store.put("op/config", large_configuration(5))
            changed_at = boottime()
            await asyncio.sleep(0.5)
            fleet.store.put("op/config", large_configuration(6, routes=ROUTES + 1))
            first = await fleet.seconds_until(5, since=changed_at)
            second = await fleet.seconds_until(6, since=changed_at + 0.5)
            self.assertLess(max(first, second), MAX_SECONDS)

    async def test_large_change_on_a_slow_store_whose_reader_is_lost_is_in_time(self):
        """Guards against followers that go by an old view until they all read."""
        async with running_fleet() as fleet:
            fleet.store.pause = SLOW_STORE_SECONDS
            fleet.store.put("op/config", large_configuration(5))
            changed_at = boottime()
            await asyncio.sleep(0.6)
            fleet.cut(fleet.reader)
            fleet.store.put("op/config", large_configuration(6, routes=ROUTES + 1))
            second = await fleet.seconds_until(6, since=changed_at + 0.6)
            self.assertLess(second, MAX_SECONDS)
            for gateway in fleet.gateways:
                found = await call(gateway.settings.front, f"/added-{ROUTES}/x")
                self.assertEqual(200, found.status)

    async def test_living_leader_is_kept_through_a_large_change(self):
        """Guards against a leader that counts as lost while it sends."""
        async with running_fleet() as fleet:
            with self.assertLogs("bankrack.fleet") as found:
                fleet.store.put("op/config", large_configuration(5))
                await fleet.seconds_until(5, since=boottime())
                await asyncio.sleep(1.0)
            lost = [line for line in found.output if "event=leader_lost" in line]
            self.assertEqual([], lost)

    async def test_value_that_did_not_change_is_not_read_again(self):
        """Guards against nodes whose links are full of a configuration that they have,
        as they read it to confirm it; their callers' new connections wait."""
        async with running_fleet(nodes=6) as fleet:
            fleet.store.put("op/config", large_configuration(5))
            await fleet.seconds_until(5, since=boottime())
            await asyncio.sleep(1.0)
            size = len(fleet.store.item_by_key["op/config"].value)
            before = fleet.store.sent_bytes
            await asyncio.sleep(3.0)
            read_by_the_reader = fleet.store.sent_bytes - before
            for gateway in list(fleet.gateways):
                # Every node loses those that it could follow, and confirms for itself.
                gateway.roster.leaders = list
            await asyncio.sleep(3.0)
            read_by_all = fleet.store.sent_bytes - before
        self.assertLess(read_by_the_reader, size)
        self.assertLess(read_by_all, size)

    async def test_value_is_read_whole_while_the_store_refuses_writes(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            store = deployment.store
            store.put("op/config", large_configuration(5))
            await until(lambda: gateway.view.table.version == 5)
            store.refused_calls = {"kv-txn", "kv-watch"}
            store.put("op/config", large_configuration(6))
            await until(lambda: gateway.view.table.version == 6)
            self.assertLess(gateway.view.whole_age, MAX_SECONDS)

    async def test_small_change_of_a_large_configuration_sends_little(self):
        """Guards against whole values that are sent again for a few words."""
        async with running_fleet() as fleet:
            fleet.store.put("op/config", large_configuration(5))
            await fleet.seconds_until(5, since=boottime())
            await asyncio.sleep(1.0)
            before = sum(link.sent_bytes for link in fleet.link_by_name.values())
            fleet.store.put("op/config", large_configuration(6, routes=ROUTES + 1))
            await fleet.seconds_until(6, since=boottime())
            after = sum(link.sent_bytes for link in fleet.link_by_name.values())
            size = len(fleet.store.item_by_key["op/config"].value)
            self.assertLess(after - before, 0.2 * size * (NODES - 1))

    async def test_starting_node_receives_a_large_configuration_while_the_store_is_away(
        self,
    ):
        """Guards against starting nodes whose seeds send them outlines only."""
        async with running_fleet(nodes=3) as fleet:
            fleet.store.put("op/config", large_configuration(5))
            await fleet.seconds_until(5, since=boottime())
            fleet.store.status = 503
            seeds = tuple(link.address for link in fleet.link_by_name.values())
            late = await fleet.start_late(seeds=seeds)
            await until(lambda: late.ready, seconds=MAX_SECONDS)
            self.assertEqual(5, late.view.table.version)

    async def test_view_stays_young_while_the_reader_reads_a_large_configuration(self):
        """Guards against readers that count as stale as their links are narrow."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await until(lambda: "n-1" in gateway.view.members_by_name)
            deployment.store.put("op/config", large_configuration(5))
            await until(lambda: gateway.view.table.version == 5)
            deployment.store.seconds_per_megabyte = 2.0
            ages = []
            for version in (6, 7, 8, 9):
                deployment.store.put("op/config", large_configuration(version))
                for _ in range(100):
                    await asyncio.sleep(0.01)
                    ages.append((gateway.view.age, gateway.view.whole_age))
            self.assertLess(max(age for age, _ in ages), 1.2)
            self.assertLess(max(age for _, age in ages), MAX_SECONDS)
            self.assertGreater(max(age for _, age in ages), 1.0)


class OutdatedConfigurations(TestCase):
    async def test_node_that_lacks_a_version_it_knows_of_refuses_what_it_may_not_serve(
        self,
    ):
        """Guards against requests that are handled by a version known to be old."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            store = deployment.store
            newer = joint_revision(store.era, store.revision + 100)
            outline = Outline("op/config", newer, (b"digest of nothing",))
            gateway.view.announce(outline, Member("gone", free_address(), "a"))
            front = gateway.settings.front
            self.assertEqual(200, (await call(front, "/bill/x")).status)
            await until(lambda: gateway.configuration.age > MAX_AGE_SECONDS)
            refused = await call(front, "/bill/x")
            self.assertEqual(503, refused.status)
            self.assertIn("Retry-After", refused.headers)
            store.revision += 200
            store.put("op/config", configuration(3))
            await until(lambda: gateway.view.table.version == 3, seconds=2.0)
            self.assertEqual(200, (await call(front, "/bill/x")).status)

    async def test_request_on_an_added_route_waits_for_the_version_that_adds_it(self):
        """Guards against routes that are refused while their version is received."""
        async with running_fleet(nodes=3, mbps=0.4) as fleet:
            fleet.store.put("op/config", large_configuration(5))
            await until(
                lambda: all(
                    g.view.pending.by_key or g.view.table.version == 5
                    for g in fleet.gateways
                )
            )
            calls = [
                call(gateway.settings.front, "/added-9/x") for gateway in fleet.gateways
            ]
            statuses = {response.status for response in await asyncio.gather(*calls)}
            self.assertNotIn(404, statuses)
