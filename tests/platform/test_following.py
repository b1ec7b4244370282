"""Tests of following configuration, upstreams and members through the store."""

import asyncio
import time
import typing as t

from bankrack.clock import boottime
from bankrack.decisions.storeoutage import SEEN_OUTAGE_SECONDS
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet.confirmedview import MAX_DENIAL_VIEW_AGE_SECONDS
from bankrack.fleet.documents import Member
from bankrack.gateway import APPLY_INTERVAL_SECONDS
from bankrack.gateway import Gateway
from bankrack.serving import pools
from tests.base import TestCase
from tests.platform.deployment import Deployment
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration

MAX_REMOVAL_SECONDS = 2.9
"""Bound on removing entries that were lost in an outage; 3 s are required."""


class RefusingStore:
    """The store, to a node that it turns away."""

    async def read(self, **options: t.Any) -> t.NoReturn:
        raise PlatformUnavailable("turned away")

    async def watch(self, since: int, *, wait: float) -> t.NoReturn:
        raise PlatformUnavailable("turned away")


async def expire_entry_during_outage(
    deployment: Deployment, nodes: list[Gateway]
) -> float:
    """Remove an entry while the store is unavailable.

    Returns the seconds from the end of the outage until all nodes removed the entry.
    """
    deployment.store.status = 503
    await asyncio.sleep(2.5)
    deployment.store.remove("servers/p-1")
    deployment.store.status = 0
    returned = boottime()
    await until(lambda: all("p-1" not in n.upstreams.by_id for n in nodes))
    return boottime() - returned


class Outages(TestCase):
    async def test_removal_reported_by_a_watch_after_an_outage_is_deferred(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await until(lambda: "n-1" in gateway.view.members_by_name)
            await until(lambda: deployment.store.calls[-1] == "kv-watch")
            deployment.store.status = 503
            await until(lambda: gateway.view.age > SEEN_OUTAGE_SECONDS + 0.2)
            # The pending watch reports this before any read succeeds again.
            entry = deployment.store.item_by_key["servers/p-1"].value
            deployment.store.remove("servers/p-1")
            await asyncio.sleep(0.2)
            self.assertIn("p-1", gateway.upstreams.by_id)
            deployment.store.put("servers/p-1", entry)
            deployment.store.status = 0
            await until(lambda: gateway.view.age < 1.0)
            self.assertIn("p-1", gateway.upstreams.by_id)

    async def test_expired_members_do_not_raise_the_share_of_an_idle_node(self):
        """Before the outage no retry had counted the members."""
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            own = gateway.view.members_by_name
            others = {n: Member(n, "10.0.0.1:1", "a") for n in "bcdefgh"}
            gateway.view.members_by_name = {**own, **others}
            await asyncio.sleep(2 * APPLY_INTERVAL_SECONDS)
            gateway.view.members_by_name = {}
            self.assertGreaterEqual(gateway.fleet_size.count(), 7)

    async def test_confirmation_fails_at_once_while_the_store_is_unavailable(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            deployment.store.status = 503
            await until(lambda: gateway.view.age > MAX_DENIAL_VIEW_AGE_SECONDS)
            await until(lambda: not gateway.follower.store_reachable)
            calls = len(deployment.store.calls)
            began = boottime()
            confirmed = [await gateway.configuration.confirm() for _ in range(50)]
            self.assertFalse(any(confirmed))
            self.assertLess(boottime() - began, 0.3)
            self.assertLess(len(deployment.store.calls) - calls, 5)


class Following(TestCase):
    async def test_change_missed_by_the_watch_applies_within_two_seconds(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await asyncio.sleep(1.2)
            deployment.store.watch_misses_changes = True
            deployment.store.put("op/config", configuration(2))
            table = gateway.view.table
            assert table is not None
            await until(lambda: gateway.view.table.version == 2, seconds=1.8)

    async def test_everything_is_read_again_after_a_compaction(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            await asyncio.sleep(1.2)
            deployment.store.compacted_revision = deployment.store.revision + 100
            deployment.store.put("op/config", configuration(3))
            await until(lambda: gateway.view.table.version == 3, seconds=1.8)

    async def test_older_configuration_version_is_ignored(self):
        async with running() as deployment:
            deployment.store.put("op/config", configuration(7))
            gateway = await deployment.start_ready_gateway()
            deployment.store.put("op/config", configuration(5))
            await asyncio.sleep(1.2)
            self.assertEqual(7, gateway.view.table.version)

    async def test_invalid_configuration_leaves_the_previous_one_in_force(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            deployment.store.put("op/config", b"{broken")
            deployment.store.put("servers/x", b"[]")
            await asyncio.sleep(1.2)
            self.assertEqual(
                200, (await call(gateway.settings.front, "/bill/x")).status
            )

    async def test_leaving_server_gets_no_new_requests(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            leaving = deployment.plain[0]
            entry = leaving.entry("plain", state="draining")
            deployment.store.put(f"servers/{leaving.id}", entry)
            await until(lambda: gateway.upstreams.by_id[leaving.id].leaving)
            for _ in range(5):
                await call(gateway.settings.front, "/bill/x")
            self.assertEqual([], leaving.arrivals)

    async def test_one_node_of_a_hall_reads_and_notifies_the_others(self):
        async with running() as deployment:
            gateways = [
                await deployment.start_ready_gateway(f"n-{n}") for n in range(3)
            ]
            await until(
                lambda: sum(g.follower.leader is None for g in gateways) == 1,
                seconds=6.0,
            )
            deployment.store.put("op/config", configuration(4))
            await until(
                lambda: all(g.view.table.version == 4 for g in gateways), seconds=0.5
            )

    async def test_nodes_started_together_agree_on_reader_and_owner(self):
        async with running() as deployment:
            nodes = await asyncio.gather(
                *(deployment.start_ready_gateway(f"n-{n}") for n in range(4))
            )
            await until(lambda: all(len(n.view.members_by_name) == 4 for n in nodes))
            await until(lambda: sum(n.follower.leader is None for n in nodes) == 1)
            owners = {node.owners.owner(0).name for node in nodes}
            self.assertEqual(1, len(owners))

    async def test_jump_of_the_wall_clock_has_no_effect(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            real = time.time
            self.patch(time, "time", lambda: real() - 2400.0)
            deployment.store.put("op/config", configuration(2))
            await until(lambda: gateway.view.table.version == 2, seconds=2.0)
            self.assertLess(gateway.view.age, 2.0)
            found = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(200, found.status)

    async def test_entry_lost_in_an_outage_is_removed_on_all_nodes_in_time(self):
        async with running() as deployment:
            nodes = [await deployment.start_ready_gateway(f"n-{n}") for n in range(3)]
            await until(lambda: all(len(n.view.members_by_name) == 3 for n in nodes))
            await until(lambda: sum(n.follower.leader is None for n in nodes) == 1)
            removal_seconds = await expire_entry_during_outage(deployment, nodes)
            self.assertLess(removal_seconds, MAX_REMOVAL_SECONDS)

    async def test_reader_that_the_store_turns_away_learns_of_a_change_in_time(self):
        """Guards against a reader that keeps an old configuration although the store
        serves the other nodes."""
        async with running() as deployment:
            nodes = [await deployment.start_ready_gateway(f"n-{n}") for n in range(3)]
            await until(lambda: all(len(n.view.members_by_name) == 3 for n in nodes))
            await until(lambda: sum(n.follower.leader is None for n in nodes) == 1)
            [reader] = [n for n in nodes if n.follower.leader is None]
            self.patch(reader.follower, "_store", RefusingStore())
            # A watch that waits already would still deliver the change.
            deployment.store.watch_misses_changes = True
            deployment.store.put("op/config", configuration(4))
            await until(
                lambda: all(n.view.table.version == 4 for n in nodes), seconds=2.9
            )

    async def test_follower_reads_the_store_after_its_leader_crashed(self):
        async with running() as deployment:
            gateways = [
                await deployment.start_ready_gateway(f"n-{n}") for n in range(2)
            ]
            await until(
                lambda: sum(g.follower.leader is None for g in gateways) == 1,
                seconds=6.0,
            )
            [leader] = [g for g in gateways if g.follower.leader is None]
            [follower] = [g for g in gateways if g is not leader]
            await leader._close()
            deployment.store.put("op/config", configuration(4))
            await until(lambda: follower.view.table.version == 4, seconds=1.8)


class SeveralHalls(TestCase):
    async def start_nodes(self, deployment: Deployment) -> list[Gateway]:
        """Start two halls of two nodes each, which know each other."""
        nodes = [
            await deployment.start_ready_gateway(f"n-{n}", hall="ab"[n % 2])
            for n in range(4)
        ]
        await until(lambda: all(len(n.view.members_by_name) == 4 for n in nodes))
        await until(lambda: sum(n.follower.leader is None for n in nodes) == 1)
        return nodes

    async def test_one_node_reads_for_all_halls(self):
        async with running() as deployment:
            nodes = await self.start_nodes(deployment)
            calls = len(deployment.store.calls)
            deployment.store.put("op/config", configuration(4))
            await until(
                lambda: all(n.view.table.version == 4 for n in nodes), seconds=0.5
            )
            [reader] = [n for n in nodes if n.follower.leader is None]
            self.assertTrue(reader.owners.owns_first_pool)
            self.assertLess(len(deployment.store.calls) - calls, 6)

    async def test_all_halls_learn_of_a_change_in_time_after_the_reader_crashed(self):
        async with running() as deployment:
            nodes = await self.start_nodes(deployment)
            [reader] = [n for n in nodes if n.follower.leader is None]
            others = [n for n in nodes if n is not reader]
            await reader._close()
            deployment.store.put("op/config", configuration(4))
            await until(
                lambda: all(n.view.table.version == 4 for n in others), seconds=1.8
            )

    async def test_entry_lost_in_an_outage_is_removed_in_all_halls_in_time(self):
        async with running() as deployment:
            nodes = await self.start_nodes(deployment)
            removal_seconds = await expire_entry_during_outage(deployment, nodes)
            self.assertLess(removal_seconds, MAX_REMOVAL_SECONDS)


class Pools(TestCase):
    async def test_nodes_own_different_pools(self):
        self.patch(pools, "ENGINES_PER_POOL", 1)
        async with running() as deployment:
            nodes = [await deployment.start_ready_gateway(f"n-{n}") for n in range(3)]
            await until(lambda: all(len(n.view.members_by_name) == 3 for n in nodes))
            owned = [{u.id for u in node.owners.owned("engines")} for node in nodes]
            ids = {engine.id for engine in deployment.engines}
            self.assertEqual(ids, set().union(*owned))
            self.assertEqual(3, sum(len(found) for found in owned))

    async def test_streams_are_served_and_advice_carries_reports(self):
        self.patch(pools, "ENGINES_PER_POOL", 1)
        async with running() as deployment:
            nodes = [await deployment.start_ready_gateway(f"n-{n}") for n in range(2)]
            await until(lambda: all(len(n.view.members_by_name) == 2 for n in nodes))
            for _ in range(10):
                for node in nodes:
                    found = await call(node.settings.front, "/talk/x")
                    self.assertTrue(found.complete)
                await asyncio.sleep(0.15)
            reports = [u.report for n in nodes for u in n.upstreams.of("engines")]
            self.assertGreater(len([r for r in reports if r is not None]), 3)


class Paging(TestCase):
    async def test_members_beyond_the_first_page_are_read_rarely(self):
        async with running() as deployment:
            for number in range(30):
                member = {"name": f"m{number}", "address": "127.0.0.1:1", "hall": "b"}
                deployment.store.put(f"system/nodes/m{number}", member)
            deployment.store.page_size = 12
            gateway = await deployment.start_ready_gateway()
            await until(lambda: len(gateway.view.members_by_name) > 30)
            deployment.store.calls.clear()
            await asyncio.sleep(2.0)
            self.assertLessEqual(deployment.store.calls.count("kv-range"), 3)
            self.assertGreater(len(gateway.view.members_by_name), 30)
