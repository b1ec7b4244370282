"""Tests of decoding: any input yields a document or a typed error."""

import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

import callers as callers_module
import documents
import engines
from bankrack.exceptions import DeadlineExceeded
from bankrack.exceptions import InvalidRequest
from bankrack.exceptions import Outcome
from bankrack.exceptions import Overloaded
from bankrack.exceptions import PlatformDataInvalid
from bankrack.exceptions import UpstreamFailed
from bankrack.fleet.documents import Member
from bankrack.fleet.store import Item
from bankrack.front.callerserver import RequestHead
from bankrack.serving.job import PromptPart
from bankrack.serving.job import RequestKind
from bankrack.serving.routing import RoutingTable
from bankrack.serving.upstreams import Load
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase
from tests.platform.fakes import configuration

TEXT = strategies.text(max_size=40)
JSON = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers() | TEXT,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(["service", "address", "routes", "kind", "slots"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


def item(key: str, value: object) -> Item:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Item(key, data, 7)


class Documents(TestCase):
    def test_configuration(self):
        table = documents.decode(item("op/config", configuration(9)))
        assert isinstance(table, RoutingTable)
        self.assertEqual(9, table.version)
        route = table.match("h.example", "/talk/x")
        assert route is not None
        self.assertEqual(RequestKind.STREAM, route.kind)
        self.assertEqual(20.0, route.timeout)
        self.assertEqual("tutors", table.workspaces_by_key["key-1"].name)
        self.assertEqual(100_000, table.limits.body_bytes)
        engine = table.services_by_name["engines"].engine
        assert engine is not None
        self.assertEqual((30_000, 2.0), (engine.memory, engine.max_reservation_seconds))

    def test_weighted_route_and_configuration_without_tenants(self):
        found = configuration()
        found["tenants"] = None
        found["routes"][0]["weightedBackends"] = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        table = documents.decode(item("op/config", found))
        assert isinstance(table, RoutingTable)
        self.assertFalse(table.keyed)
        route = table.match("h.example", "/look/")
        assert route is not None
        self.assertEqual(["a", "b"], [b.service for b in route.backends])

    def test_server_and_member(self):
        entry = {
            "service": "s",
            "address": "1.2.3.4:5",
            "zone": "a",
            "slots": 2,
            "state": "draining",
        }
        record = documents.decode(item("servers/i-1", entry))
        assert isinstance(record, UpstreamRecord)
        self.assertEqual(("i-1", True), (record.id, record.leaving))
        member = {"name": "n", "address": "1.2.3.4:6", "hall": "a"}
        found = documents.decode(item("system/nodes/n", member))
        self.assertEqual(Member("n", "1.2.3.4:6", "a"), found)

    def test_unknown_keys_are_ignored(self):
        self.assertIsNone(documents.decode(item("status/x", b"whatever")))

    def test_unknown_kind_of_route_is_an_error(self):
        found = configuration()
        found["routes"][0]["kind"] = "sometimes"
        bad = item("op/config", found)
        self.assertRaises(PlatformDataInvalid, documents.decode, bad)

    @settings(max_examples=200)
    @given(
        strategies.sampled_from(["op/config", "servers/x", "system/nodes/x"]),
        strategies.binary(max_size=60) | JSON.map(lambda v: json.dumps(v).encode()),
    )
    def test_arbitrary_data_raises_a_typed_error(self, key, data):
        try:
            documents.decode(Item(key, data, 1))
        except PlatformDataInvalid as error:
            self.assertIn(key, error.message)


class CallerRequests(TestCase):
    def setUp(self):
        super().setUp()
        self.callers = callers_module.PlatformCallers()

    def decode(self, *headers: tuple[str, str], target: str = "/a/"):
        always = [("Host", "h"), ("Bankrack-Request-Id", "r")]
        head = RequestHead("POST", target, [*always, *headers], 1.0)
        return self.callers.decode(head, b"")

    def test_token_sizes_and_prompt_parts(self):
        job = self.decode(
            ("Bankrack-Token-Usage", "1460,80"),
            ("Bankrack-Prompt-Prefix", "5c1e:800,91bd:410"),
            ("Length-Hint", "60"),
            ("Bankrack-Deadline-Ms", "1500"),
        )
        self.assertEqual(1.5, job.caller_timeout)
        self.assertEqual((1460, 80, 60), (job.demand.prompt, 80, 60))
        self.assertEqual(PromptPart("91bd", 410), job.demand.parts[1])
        self.assertEqual(1520, job.demand.expected)

    def test_hop_by_hop_headers_are_dropped(self):
        job = self.decode(("Connection", "X-Hop, close"), ("X-Hop", "1"), ("X", "2"))
        self.assertEqual(
            [("Host", "h"), ("Bankrack-Request-Id", "r"), ("X", "2")], job.headers
        )

    def test_conflicting_api_keys_are_rejected(self):
        keys = [("Bankrack-Key", "a"), ("Bankrack-Key", "b")]
        self.assertRaises(InvalidRequest, self.decode, *keys)

    def test_only_requests_that_have_not_run_may_be_retried(self):
        refused = self.callers.refusal(Overloaded("full", retry_after=0.5), "r")
        self.assertEqual(503, refused.status)
        self.assertIn(("Retry-After", "0.50"), refused.headers)
        possibly_run = Overloaded("full", retry_after=0.5, outcome=Outcome.UNKNOWN)
        failed = self.callers.refusal(possibly_run, "r")
        self.assertEqual(502, failed.status)
        self.assertNotIn("Retry-After", [name for name, _ in failed.headers])
        late = self.callers.refusal(DeadlineExceeded("late", retry_after=1.0), "r")
        self.assertEqual(504, late.status)

    @given(
        strategies.sampled_from(
            ["Bankrack-Token-Usage", "Bankrack-Prompt-Prefix", "Length-Hint"]
        ),
        TEXT,
    )
    def test_arbitrary_data_raises_a_typed_error(self, name, text):
        try:
            self.decode((name, text))
        except InvalidRequest as error:
            self.assertIn(name, error.message)

    @given(TEXT)
    def test_target_that_is_not_a_path_raises_a_typed_error(self, target):
        try:
            job = self.decode(target=target)
        except InvalidRequest:
            return
        self.assertTrue(job.target.startswith("/"))


class ResponseHeads(TestCase):
    def head(self, status: int, **headers: str) -> engines.Head:
        found = [(name.replace("_", "-"), value) for name, value in headers.items()]
        return engines.PlatformUpstreams().read_head(status, found)

    def test_status_and_headers(self):
        head = self.head(503, Bankrack_Not_Executed="1", Bankrack_Server_Load="3,1,8")
        self.assertTrue(head.not_run)
        self.assertEqual(Load(1), head.notice.load)
        self.assertTrue(self.head(421).not_run)
        self.assertFalse(self.head(503).not_run)
        self.assertTrue(self.head(200, Bankrack_Response_Seal="s").sealed)

    @given(TEXT)
    def test_malformed_load_is_ignored(self, text):
        self.head(200, Bankrack_Server_Load=text)

    @given(strategies.binary(max_size=60))
    def test_malformed_report_raises_a_typed_error(self, body):
        try:
            engines._decode(body, engines._Report)
        except UpstreamFailed:
            return
