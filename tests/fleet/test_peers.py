"""Tests of the replication of views between nodes."""

import asyncio
import contextlib

import aiohttp
import msgspec
from aiohttp import web

from bankrack.clock import boottime
from bankrack.exceptions import PeerUnavailable
from bankrack.fleet import peers
from bankrack.fleet import updateserver
from bankrack.fleet import view as view_module
from bankrack.fleet.documents import Member
from bankrack.fleet.peers import LeaderClient
from bankrack.fleet.reports import merge_reports
from bankrack.fleet.reports import ReportMessage
from bankrack.fleet.store import Item
from bankrack.fleet.store import Snapshot
from bankrack.fleet.updateserver import UpdateMessage
from bankrack.fleet.updateserver import UPDATES_PATH
from bankrack.fleet.updateserver import UpdateServer
from bankrack.fleet.valueparts import LARGE_VALUE_BYTES
from bankrack.fleet.valueparts import ValueParts
from bankrack.fleet.view import View
from bankrack.front.listeners import serve_application
from bankrack.serving.registry import Upstreams
from tests.base import TestCase
from tests.fakes import free_address
from tests.fleet.test_view import decode

MALFORMED_QUERIES = (
    "since=x",
    "serial=s&since=x",
    "sent=y",
    "sent=nan-",
    "sent=nan",
    "sent=inf",
    "since=1.5",
)


LEADER = "leader"


class LeaderAndFollower:
    """A leader, and a follower that requests its updates."""

    def __init__(self) -> None:
        self.leader = View(decode, Upstreams())
        self.follower = View(decode, Upstreams())
        self.address = free_address()
        self.answers: list[UpdateMessage] = []
        self.seconds_per_part = 0.0
        self.cut_answer: bytes | None = None
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "LeaderAndFollower":
        session = await self._stack.enter_async_context(aiohttp.ClientSession())
        self._client = LeaderClient(
            session,
            self.follower,
            self.follower.upstreams,
            address="10.0.0.9:1",
            uses_engines=lambda: False,
        )
        await self.start_leader("first")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def start_leader(self, name: str) -> None:
        """Start a new process of the leader."""
        self._server = UpdateServer(
            self.leader,
            self.leader.upstreams,
            parts=ValueParts(),
            name=name,
            note_engines=lambda: None,
            note_requester=lambda address: None,
        )
        if name == "first":
            application = web.Application()
            application.router.add_get(UPDATES_PATH, self._handle)
            runner = await serve_application(application, self.address)
            self._stack.push_async_callback(runner.cleanup)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self.cut_answer is not None:
            assert request.transport is not None
            request.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + self.cut_answer)
            request.transport.close()
        if self.seconds_per_part:
            return await self._send_slowly(request)
        response = await self._server.handle(request)
        assert isinstance(response.body, bytes)
        self.answers.append(msgspec.msgpack.decode(response.body, type=UpdateMessage))
        return response

    async def _send_slowly(self, request: web.Request) -> web.StreamResponse:
        """Send the whole view in parts, as over a narrow link."""
        body = self._server._encode_whole_view(True)
        self.answers.append(msgspec.msgpack.decode(body, type=UpdateMessage))
        response = web.StreamResponse()
        await response.prepare(request)
        size = 1 + len(body) // 10
        for start in range(0, len(body), size):
            await asyncio.sleep(self.seconds_per_part)
            await response.write(body[start : start + size])
        return response

    async def ask(self) -> UpdateMessage:
        await self._client.ask(Member(LEADER, self.address, "a"))
        return self.answers[-1]

    def read(self, view: View, revision: int, *keys: str) -> None:
        """Apply a read of the store to a view; each key ends with its revision."""
        items = [Item(key, b"1", int(key.rpartition("-")[2])) for key in keys]
        snapshot = Snapshot(tuple(items), revision)
        view.confirm(snapshot, asked_at=boottime(), source="store")


class UpdatesTest(TestCase):
    def assert_same(self, pair: LeaderAndFollower) -> None:
        self.assertEqual(set(pair.leader.keys()), set(pair.follower.keys()))

    async def test_only_changed_items_are_sent(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 3, "up/x-1", "up/y-2", "up/z-3")
            self.assertEqual(3, len((await pair.ask()).items))
            pair.read(pair.leader, 5, "up/x-1", "up/z-3", "up/w-5")
            message = await pair.ask()
            self.assertEqual([("up/w-5", b"1", 5)], message.items)
            self.assertEqual(["up/y-2"], message.gone)
            self.assertIsNone(message.keys)
            self.assert_same(pair)

    async def test_update_is_empty_without_changes(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 1, "up/x-1")
            await pair.ask()
            message = await pair.ask()
            self.assertEqual(
                ([], [], None), (message.items, message.gone, message.keys)
            )

    async def test_all_keys_are_sent_to_follower_that_read_store_meanwhile(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 1, "up/x-1")
            await pair.ask()
            pair.read(pair.follower, 4, "up/x-1", "up/v-4")
            pair.read(pair.leader, 5, "up/x-1", "up/w-5")
            message = await pair.ask()
            self.assertEqual({"up/x-1", "up/w-5"}, set(message.keys or ()))
            self.assertEqual([("up/w-5", b"1", 5)], message.items)
            self.assert_same(pair)
            self.assertIsNone((await pair.ask()).keys)

    async def test_new_leader_sends_newer_items_only(self):
        """Guards against whole views after each change of leader: on narrow links
        they take longer than a follower waits."""
        async with LeaderAndFollower() as pair:
            pair.read(pair.follower, 3, "up/x-1", "up/y-2", "up/z-3")
            pair.read(pair.leader, 4, "up/x-1", "up/z-3", "up/w-4")
            message = await pair.ask()
            self.assertEqual([("up/w-4", b"1", 4)], message.items)
            self.assert_same(pair)

    async def test_missing_and_outdated_items_are_requested(self):
        """Guards against a view that is taken for current although a change is missing,
        as a watch had not reported it."""
        async with LeaderAndFollower() as pair:
            pair.read(pair.follower, 3, "up/x-1", "up/y-2", "up/z-3")
            pair.follower.apply_changes(Snapshot((), 9), source="watch")
            pair.follower.complete_revision = 9
            pair.read(pair.leader, 9, "up/x-1", "up/y-2", "up/z-3", "up/v-5")
            changed = Snapshot((Item("up/x-1", b"2", 6),), 9)
            pair.leader.apply_changes(changed, source="watch")
            before = pair.follower.confirmed_at
            await pair.ask()
            self.assertEqual(before, pair.follower.confirmed_at)
            message = await pair.ask()
            self.assertEqual({5, 6}, {revision for _, _, revision in message.items})
            self.assert_same(pair)
            self.assertEqual(6, pair.follower.revision_of("up/x-1"))

    async def test_many_changes_arrive_in_bounded_responses_of_which_none_is_lost(self):
        """Guards against long transfers that begin again from their start."""
        self.patch(updateserver, "MAX_ITEM_BYTES", 3)
        async with LeaderAndFollower() as pair:
            pair.read(pair.follower, 1, "up/x-1")
            pair.read(pair.leader, 9, "up/x-1", *(f"up/y-{n}" for n in range(2, 9)))
            sizes = [len((await pair.ask()).items) for _ in range(3)]
            self.assertEqual([3, 3, 1], sizes)
            self.assert_same(pair)
            pair.read(pair.leader, 20, *(f"up/z-{n}" for n in range(10, 16)))
            sizes = [len((await pair.ask()).items) for _ in range(2)]
            self.assertEqual([3, 3], sizes)
            self.assert_same(pair)

    async def test_follower_of_an_earlier_release_gets_all_items_with_their_values(
        self,
    ):
        """Guards against followers that cannot request the rest, nor parts."""
        self.patch(updateserver, "MAX_ITEM_BYTES", 3)
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 9, *(f"up/y-{n}" for n in range(2, 9)))
            large = Item("up/z-10", b"1" * LARGE_VALUE_BYTES, 10)
            pair.leader.apply_changes(Snapshot((large,), 10), source="watch")
            url = f"http://{pair.address}{UPDATES_PATH}"
            query = {"serial": "none", "since": "2"}
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, params=query) as response,
            ):
                body = await response.read()
            message = msgspec.msgpack.decode(body, type=UpdateMessage)
            self.assertEqual(7, len(message.items))
            self.assertEqual([], message.outlines)

    async def test_item_that_the_leader_does_not_know_to_be_removed_is_not_missing(
        self,
    ):
        """Guards against followers that request what they know to be gone for good."""
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 3, "up/x-1", "up/y-2")
            pair.read(pair.follower, 3, "up/x-1", "up/y-2")
            pair.read(pair.follower, 4, "up/x-1")
            pair.leader.confirmed_at = boottime() + 1.0
            await pair.ask()
            self.assertEqual("leader", pair.follower.confirmed_by)
            self.assertEqual(["up/x-1"], pair.follower.keys())

    async def test_members_left_out_of_a_read_are_requested(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.follower, 1, "up/x-1")
            partial = Snapshot((Item("up/x-1", b"1", 1),), 8, until="up/x-1")
            pair.follower.confirm(partial, asked_at=boottime(), source="store")
            pair.read(pair.leader, 9, "up/x-1", "up/z-5")
            self.assertEqual([("up/z-5", b"1", 5)], (await pair.ask()).items)
            self.assert_same(pair)

    async def test_slow_transfer_is_not_cut_off_while_bytes_arrive(self):
        """Guards against transfers that start again and again on narrow links."""
        self.patch(peers, "SILENCE_TIMEOUT_SECONDS", 0.2)
        async with LeaderAndFollower() as pair:
            pair.seconds_per_part = 0.1
            pair.read(pair.leader, 3, "up/x-1", "up/y-2", "up/z-3")
            await pair.ask()
            self.assert_same(pair)

    async def test_answer_that_ends_early_empties_the_view(self):
        """A leader's process ends, and only the end of the connection shows it."""
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 3, "a-1", "b-2", "c-3")
            await pair.ask()
            confirmed_at = pair.follower.confirmed_at
            whole = pair._server._encode_whole_view(True)
            for size in range(len(whole)):
                pair.cut_answer = whole[:size]
                with self.assertRaises(PeerUnavailable):
                    await pair.ask()
            self.assert_same(pair)
            self.assertEqual(confirmed_at, pair.follower.confirmed_at)
            pair.cut_answer = whole
            await pair.ask()
            self.assertGreater(pair.follower.confirmed_at, confirmed_at)

    async def test_restarted_leader_sends_all_keys(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 1, "up/x-1")
            await pair.ask()
            pair.leader = View(decode, Upstreams())
            await pair.start_leader("second")
            pair.read(pair.leader, 4, "up/w-4")
            self.assertEqual(["up/w-4"], (await pair.ask()).keys)
            self.assert_same(pair)

    async def test_all_keys_are_sent_if_change_history_is_too_short(self):
        self.patch(view_module, "MAX_CHANGES", 2)
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 1, "up/x-1")
            await pair.ask()
            pair.read(pair.leader, 5, "up/a-2", "up/b-3", "up/c-4", "up/d-5")
            self.assertEqual(4, len((await pair.ask()).keys or ()))
            self.assert_same(pair)

    async def test_new_confirmation_of_view_is_sent_at_once(self):
        self.patch(updateserver, "LONG_POLL_SECONDS", 5.0)
        async with LeaderAndFollower() as pair:
            pair.leader.confirmed_at = boottime() - 1.0
            await pair.ask()
            waiting = asyncio.create_task(pair.ask())
            await asyncio.sleep(0.4)
            pair.read(pair.leader, 1)
            async with asyncio.timeout(0.5):
                message = await waiting
            self.assertLess(message.age, 0.1)
            self.assertLess(pair.follower.age, 0.3)
            self.assertGreaterEqual(pair.follower.age, pair.leader.age)

    async def test_report_received_late_is_relayed(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 1, "up/x-1")
            await pair.ask()
            taken = boottime() - 0.6
            old = ReportMessage("x-1", 1, 0, 500, 1000, 0.6, False)
            merge_reports(pair.leader.upstreams, [old])
            await pair.ask()
            found = pair.follower.upstreams.by_id["x-1"].report
            assert found is not None
            self.assertAlmostEqual(taken, found.taken, delta=0.2)
            self.assertEqual([], (await pair.ask()).reports)

    async def test_item_removed_and_restored_is_sent(self):
        async with LeaderAndFollower() as pair:
            pair.read(pair.leader, 2, "up/x-1", "up/y-2")
            await pair.ask()
            pair.read(pair.leader, 3, "up/y-2")
            pair.read(pair.leader, 4, "up/y-2", "up/x-4")
            await pair.ask()
            self.assert_same(pair)


class MalformedQueriesTest(TestCase):
    async def test_malformed_queries_are_rejected_with_status_400(self):
        upstreams = Upstreams()
        view = View(lambda item: None, upstreams)
        view.confirmed_at = boottime()
        server = UpdateServer(
            view,
            upstreams,
            parts=ValueParts(),
            name="n",
            note_engines=lambda: None,
            note_requester=lambda address: None,
        )
        application = web.Application()
        application.router.add_get(UPDATES_PATH, server.handle)
        address = free_address()
        runner = await serve_application(application, address)
        try:
            await self.ask_all(address)
        finally:
            await runner.cleanup()

    async def ask_all(self, address: str) -> None:
        async with aiohttp.ClientSession() as session:
            for query in MALFORMED_QUERIES:
                url = f"http://{address}{UPDATES_PATH}?{query}"
                async with session.get(url) as response:
                    self.assertEqual(400, response.status, query)
