"""Tests of invalid entries that other writers left in the store."""

import json
import logging

from hypothesis import given
from hypothesis import strategies as st

import documents
from bankrack.exceptions import PlatformDataInvalid
from bankrack.fleet.store import Item
from bankrack.fleet.view import View
from bankrack.serving.registry import Upstreams
from bankrack.serving.sessions import new_session
from bankrack.serving.upstreams import UpstreamRecord
from store import PlatformStore
from tests.base import TestCase
from tests.platform.deployment import running
from tests.platform.deployment import until
from tests.platform.fakes import call
from tests.platform.fakes import configuration
from tests.platform.fakes import FakeStore
from tests.platform.test_fuzz import fuzz_settings
from tests.platform.test_fuzz import JSON

ENTRY = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "born": 1790000000000,
    "sequence": 4,
}
REQUIRED_FIELDS = ("service", "address", "zone", "slots", "state")


class Routes(TestCase):
    def test_routes_of_the_version_before_are_not_decoded_again(self):
        """Guards against a small change that costs as much as a large configuration."""
        tables = []
        for version in (4, 5):
            document = configuration(version)
            value = json.dumps(document).encode()
            tables.append(documents.decode(Item("op/config", value, version)))
        paths = ("h.example", "/bill/x"), ("h.example", "/look/x")
        for host, path in paths:
            first, second = (table.match(host, path) for table in tables)
            self.assertIsNotNone(first)
            self.assertIs(first, second)


def decode(entry: object) -> object:
    return documents.decode(Item("servers/x", json.dumps(entry).encode(), 1))


class SingleEntries(TestCase):
    def setUp(self):
        super().setUp()
        # Each generated entry would log a line.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_complete_entry_is_decoded(self):
        found = decode(ENTRY)
        assert isinstance(found, UpstreamRecord)
        self.assertEqual(("x", "x.1790000000000"), (found.name, found.id))

    def test_missing_field_is_rejected(self):
        for name in REQUIRED_FIELDS:
            incomplete = {key: value for key, value in ENTRY.items() if key != name}
            with self.assertRaises(PlatformDataInvalid):
                decode(incomplete)

    def test_field_of_another_type_or_range_is_rejected(self):
        invalid = [
            {"service": 7},
            {"address": "somewhere"},
            {"address": 80},
            {"zone": None},
            {"slots": "6"},
            {"slots": -1},
            {"state": "resting"},
            {"state": True},
            {"coldRemainingMs": "0"},
            {"coldRemainingMs": -5},
            {"born": 1.5},
            {"born": "1790000000000"},
            {"sequence": []},
        ]
        for change in invalid:
            with self.assertRaises(PlatformDataInvalid):
                decode({**ENTRY, **change})

    def test_undecodable_bytes_are_rejected(self):
        deep = b"[" * 100_000
        for value in (
            b"",
            b"\xff\xfe",
            b"null",
            b"[]",
            b'"x"',
            deep,
            b'{"service":"\xff"}',
        ):
            with self.assertRaises(PlatformDataInvalid):
                documents.decode(Item("servers/x", value, 1))

    def test_member_under_another_key_is_rejected(self):
        value = b'{"name":"m","address":"127.0.0.1:1","hall":"a"}'
        self.assertIsNotNone(documents.decode(Item("system/nodes/m", value, 1)))
        with self.assertRaises(PlatformDataInvalid):
            documents.decode(Item("system/nodes/other", value, 1))

    @fuzz_settings
    @given(st.sampled_from(sorted(ENTRY)), JSON)
    def test_arbitrary_field_in_one_entry_does_not_affect_others(self, name, found):
        view = View(documents.decode, Upstreams())
        invalid = json.dumps({**ENTRY, name: found}).encode()
        items = [
            Item("servers/w", json.dumps(ENTRY).encode(), 2),
            Item("servers/x", invalid, 3),
            Item("servers/y", json.dumps(ENTRY).encode(), 4),
        ]
        for item in items:
            view._take(item, "test")
        names = {upstream.name for upstream in view.upstreams.by_id.values()}
        self.assertLessEqual({"w", "y"}, names)


class StoreReads(TestCase):
    async def test_invalid_item_does_not_affect_other_items(self):
        fake = FakeStore()
        await fake.start()
        session = new_session(reuse=True)
        try:
            store = PlatformStore(session, fake.address)
            for number in range(3):
                fake.put(f"servers/{number}", b"x")
            good = fake._item
            bad = {
                "servers/0": {"value": "not base64!", "tlsKey": "servers/0"},
                "servers/1": {"value": 17, "tlsKey": 5},
            }
            fake._item = lambda key: {**good(key), **bad.get(key, {})}
            for _ in range(3):
                snapshot = await store.read(members=True, timeout=1.0)
                found = {item.key: item.value for item in snapshot.items}
                self.assertEqual({"servers/0": b"", "servers/2": b"x"}, found)
        finally:
            await session.close()
            await fake.stop()


class Gateways(TestCase):
    async def test_gateway_serves_despite_invalid_entries(self):
        async with running() as deployment:
            gateway = await deployment.start_ready_gateway()
            invalid_values = [b"\x00\xff", b"{}", b'{"service":"plain"}', b"[" * 5000]
            for number, value in enumerate(invalid_values):
                deployment.store.put(f"servers/strange-{number}", value)
                deployment.store.put(f"system/nodes/strange-{number}", value)
            invalid = {**deployment.plain[0].entry("plain"), "state": "asleep"}
            deployment.store.put("servers/p-1", invalid)
            await until(lambda: "p-1" not in gateway.upstreams.by_id)
            for _ in range(6):
                found = await call(gateway.settings.front, "/bill/x")
                self.assertEqual(200, found.status)
            self.assertEqual([], deployment.plain[0].arrivals)
            deployment.store.put("servers/p-1", deployment.plain[0].entry("plain"))
            await until(lambda: "p-1" in gateway.upstreams.by_id)
