"""Tests of the exchange of crashes and of the quarantine in the store."""

import asyncio
import contextlib
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from bankrack.decisions.poison import Crash
from bankrack.exceptions import PlatformUnavailable
from bankrack.fleet import crashupdates
from bankrack.fleet.broadcast import Broadcast
from bankrack.fleet.crashupdates import CRASHES_PATH
from bankrack.fleet.crashupdates import CrashUpdates
from bankrack.fleet.documents import Member
from bankrack.fleet.documents import Quarantine
from bankrack.fleet.store import Lease
from bankrack.front.listeners import serve_application
from bankrack.serving.crashregister import CrashRegister
from tests.base import TestCase
from tests.fakes import free_address
from tests.platform.deployment import until


class FakeStore:
    """Keeps saved values in memory; refuses all calls while ``unavailable``."""

    def __init__(self) -> None:
        self.value_by_fingerprint: dict[str, bytes] = {}
        self.calls = 0
        self.unavailable = False

    async def grant(self, ttl: float) -> Lease:
        self.calls += 1
        if self.unavailable:
            raise PlatformUnavailable("away")
        return Lease(1, ttl)

    async def save_quarantine(
        self, fingerprint: str, value: bytes, lease: Lease
    ) -> None:
        self.value_by_fingerprint[fingerprint] = value


class Node:
    """A node's crash register and its exchange with other nodes."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self.member = Member(name, free_address(), "a")
        self.register = CrashRegister()
        self.age = 0.0
        self.crash_updates = CrashUpdates(
            Broadcast(fleet.session, self.member, lambda: fleet.members),
            self.member,
            lambda: fleet.members,
            self.register,
            t.cast(t.Any, fleet.store),
            view_age=lambda: self.age,
        )

    async def listen(self) -> web.AppRunner:
        application = web.Application()
        application.router.add_post(CRASHES_PATH, self.crash_updates.handle)
        runner = web.AppRunner(application, shutdown_timeout=0.05)
        await runner.setup()
        host, _, port = self.member.address.partition(":")
        await web.TCPSite(runner, host, int(port)).start()
        return runner


class Fleet:
    """Some nodes with a common store."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.store = FakeStore()
        self.nodes: list[Node] = []
        self.members: list[Member] = []

    def add(self, name: str) -> Node:
        node = Node(name, self)
        self.nodes.append(node)
        self.members.append(node.member)
        return node


@contextlib.asynccontextmanager
async def running(*, nodes: int = 3, not_listening: int = 0) -> t.AsyncIterator[Fleet]:
    """Run a fleet whose last ``not_listening`` nodes do not listen.

    Only the first node sends and saves.
    """
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(session)
        for number in range(nodes):
            fleet.add(f"n-{number}")
        runners = [await node.listen() for node in fleet.nodes[: nodes - not_listening]]
        crash_updates = fleet.nodes[0].crash_updates
        tasks = [
            asyncio.create_task(w())
            for w in (crash_updates.run, crash_updates.keep_saving)
        ]
        try:
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for runner in runners:
                await runner.cleanup()


def crash(upstream: str) -> Crash:
    return Crash(upstream, "1", early=True)


class NotificationTest(TestCase):
    async def test_all_members_are_notified_at_once(self):
        async with running() as fleet:
            fleet.nodes[0].register.note_crash("f", crash("a"))
            for node in fleet.nodes:
                await until(lambda n=node: n.register.is_suspect("f"), seconds=1.0)

    async def test_unreachable_member_is_notified_on_retry(self):
        async with running(not_listening=1) as fleet:
            fleet.nodes[0].register.note_crash("f", crash("a"))
            await until(lambda: fleet.nodes[1].register.is_suspect("f"), seconds=1.0)
            runner = await fleet.nodes[2].listen()
            await until(lambda: fleet.nodes[2].register.is_suspect("f"), seconds=1.5)
            await runner.cleanup()

    async def test_member_that_saw_a_success_clears_the_crash_at_all_nodes(self):
        async with running() as fleet:
            fleet.nodes[2].register.note_served("part-1", "1")
            fleet.nodes[0].register.note_crash("part-1", crash("a"))
            for node in fleet.nodes:
                await until(lambda n=node: bool(n.register.crashes("part-1")))
                await until(lambda n=node: not n.register.is_suspect("part-1"))

    async def test_malformed_answer_of_one_member_keeps_others_waiting(self):
        """A request waits until all members were told of its crash."""

        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=b"\x91")

        async with running(not_listening=1) as fleet:
            application = web.Application()
            application.router.add_post(CRASHES_PATH, answer)
            runner = await serve_application(application, fleet.nodes[2].member.address)
            register = fleet.nodes[0].register
            told = register.updates_sent
            register.note_crash("f", crash("a"))
            await asyncio.wait_for(told.wait(), 0.5)
            await runner.cleanup()

    async def test_malformed_notification_is_rejected(self):
        async with running(nodes=1) as fleet:
            url = f"http://{fleet.nodes[0].member.address}{CRASHES_PATH}"
            body = msgspec.msgpack.encode([{"fingerprint": 7}])
            async with fleet.session.post(url, data=body) as response:
                self.assertEqual(400, response.status)


class SavingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(crashupdates, "SAVE_INTERVAL_SECONDS", 0.02)

    def quarantine(self, fleet: Fleet) -> None:
        for upstream in ("a", "b"):
            fleet.nodes[0].register.note_crash("f", crash(upstream))

    async def test_quarantine_is_saved_to_store(self):
        async with running(nodes=1) as fleet:
            self.quarantine(fleet)
            saved = fleet.store.value_by_fingerprint
            await until(lambda: "f" in saved, seconds=1.0)
            found = msgspec.json.decode(saved["f"], type=Quarantine)
            self.assertEqual(Quarantine("f", [crash("a"), crash("b")]), found)

    async def test_nothing_is_written_while_store_is_unavailable(self):
        async with running(nodes=1) as fleet:
            fleet.nodes[0].age = 5.0
            self.quarantine(fleet)
            await asyncio.sleep(0.2)
            self.assertEqual(0, fleet.store.calls)
            fleet.nodes[0].age = 0.0
            await until(lambda: "f" in fleet.store.value_by_fingerprint, seconds=1.0)

    async def test_refused_write_is_retried(self):
        async with running(nodes=1) as fleet:
            fleet.store.unavailable = True
            self.quarantine(fleet)
            await until(lambda: fleet.store.calls > 1, seconds=1.0)
            fleet.store.unavailable = False
            await until(lambda: "f" in fleet.store.value_by_fingerprint, seconds=1.0)

    async def test_members_have_distinct_ranks_for_saving(self):
        async with running(nodes=1) as fleet:
            for number in range(1, 50):
                fleet.members.append(Member(f"n-{number}", "127.0.0.1:1", "a"))
            names = [member.name for member in fleet.members]
            ranks = []
            for member in fleet.members:
                fleet.nodes[0].crash_updates._own = member
                ranks.append(fleet.nodes[0].crash_updates._rank("f"))
            self.assertEqual(list(range(len(names))), sorted(ranks))
