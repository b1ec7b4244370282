"""Tests of startup, with the store available, slow or unavailable."""

import asyncio
import pathlib
import tempfile
import typing as t

from aiohttp import web

import earlysocket
from bankrack.clock import boottime
from bankrack.fleet import firstview
from bankrack.fleet import follower
from bankrack.gateway import Gateway
from bankrack.utils import stable_digest
from tests.base import TestCase
from tests.fakes import free_address
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call

SETTINGS = """
[listen]
front = "{front}"
"""


class FirstRead(TestCase):
    async def test_request_waits_for_the_first_read(self):
        async with running() as deployment:
            deployment.store.pause = 0.05
            gateway = await deployment.start_gateway()
            response = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(200, response.status)

    async def test_request_is_refused_once_the_first_read_failed(self):
        async with running() as deployment:
            deployment.store.status = 503
            gateway = await deployment.start_gateway()
            began = boottime()
            response = await call(gateway.settings.front, "/bill/x")
            self.assertEqual(503, response.status)
            self.assertLess(boottime() - began, 0.08)

    async def test_view_is_fetched_from_a_node_while_the_store_is_unresponsive(self):
        async with running() as deployment:
            first = await deployment.start_ready_gateway("n-1")
            deployment.store.unresponsive = True
            began = boottime()
            await deployment.start_ready_gateway("n-2", seeds=(first.settings.inner,))
            self.assertLess(boottime() - began, follower.READ_TIMEOUT_SECONDS)

    async def test_read_continues_at_the_page_that_failed(self):
        """Guards against reads that never complete while hundreds of nodes start: the
        store refuses or delays some pages of each."""
        async with running() as deployment:
            store = deployment.store
            store.page_size = 2
            requested: list[str] = []
            read_page = store._range

            def fail_third_page(query: t.Mapping[str, str]) -> web.Response:
                requested.append(query.get("sinceRevision", ""))
                if len(requested) == 3:
                    return web.Response(status=429)
                return read_page(query)

            self.patch(store, "_range", fail_third_page)
            gateway = await deployment.start_ready_gateway()
            self.assertEqual(requested[2], requested[3])
            self.assertEqual(["p-1", "p-2"], sorted(_plain_ids(gateway)))

    async def test_further_pages_are_not_read_if_a_seed_sends_its_view(self):
        """Guards against a store whose link carries the whole state to each of
        hundreds of nodes that start together."""
        async with running() as deployment:
            deployment.store.page_size = 1
            first = await deployment.start_ready_gateway("n-1")
            await until(lambda: first.view.members_by_name)
            seeds = (first.settings.inner,)
            pages = len(deployment.store.item_by_key)
            deployment.store.calls.clear()
            second = await deployment.start_ready_gateway("n-2", seeds=seeds)
            self.assertEqual(first.view.keys(), second.view.keys())
            await asyncio.sleep(0.2)
            # The seed reads the store meanwhile, as it leads.
            self.assertLess(deployment.store.calls.count("kv-range"), pages + 4)

    async def test_read_is_abandoned_once_a_seed_sent_its_view(self):
        """Guards against starting nodes whose links are full of what they have."""
        async with running() as deployment:
            # The later one then follows the other and reads nothing.
            names = sorted(("n-1", "n-2"), key=stable_digest)
            first = await deployment.start_ready_gateway(names[0])
            await until(lambda: first.view.members_by_name)
            deployment.store.seconds_per_megabyte = 5_000.0
            late = await deployment.start_ready_gateway(
                names[1], seeds=(first.settings.inner,)
            )
            await until(lambda: late.follower.leader is not None)
            self.assertIsNone(late.follower._read_task)
            self.assertEqual(200, (await call(late.settings.front, "/bill/x")).status)

    async def test_seeds_that_are_gone_do_not_delay_the_start(self):
        async with running() as deployment:
            deployment.store.page_size = 1
            began = boottime()
            seeds = (free_address(), free_address())
            await deployment.start_ready_gateway(seeds=seeds)
            self.assertLess(boottime() - began, firstview.SEED_PATIENCE_SECONDS[0])

    async def test_restarted_leader_fetches_the_view_from_its_follower(self):
        async with running() as deployment:
            nodes = [
                await deployment.start_ready_gateway(name) for name in ("n-1", "n-2")
            ]
            await until(lambda: any(node.follower.leader for node in nodes))
            [leader] = [node for node in nodes if node.follower.leader is None]
            deployment.store.unresponsive = True
            await leader._close()
            restarted = await deployment.start_gateway(
                leader.settings.name, inner=leader.settings.inner
            )
            await until(lambda: restarted.ready)


def _plain_ids(gateway: Gateway) -> list[str]:
    return [upstream.id for upstream in gateway.upstreams.of("plain")]


class EarlySocket(TestCase):
    def settings_file(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.toml"
        path.write_text(text)
        return str(path)

    async def test_caller_that_connects_before_startup_is_served(self):
        front = free_address()
        listening = earlysocket.listen(self.settings_file(SETTINGS.format(front=front)))
        assert listening is not None
        calling = asyncio.create_task(call(front, "/bill/x"))
        await asyncio.sleep(0.1)
        self.assertFalse(calling.done())
        async with running() as deployment:
            await deployment.start_ready_gateway(listening=listening)
            self.assertEqual(200, (await calling).status)
            self.assertEqual(1, len(deployment.arrivals()))

    def test_invalid_settings_yield_no_socket(self):
        for text in ("nonsense [", "[listen]\n", "[listen]\nfront = 'x:y'\n"):
            self.assertIsNone(earlysocket.listen(self.settings_file(text)))
        self.assertIsNone(earlysocket.listen("/nowhere/settings.toml"))

    def test_address_in_use_yields_no_socket(self):
        path = self.settings_file(SETTINGS.format(front=free_address()))
        taken = earlysocket.listen(path)
        assert taken is not None
        self.addCleanup(taken.close)
        self.assertIsNone(earlysocket.listen(path))
