"""Tests of the exchange of rate limits between nodes."""

import asyncio
import math
import typing as t

import msgspec
from aiohttp.test_utils import make_mocked_request

from bankrack.clock import boottime
from bankrack.decisions.permits import PermitRequester
from bankrack.fleet.coordinators import Coordinators
from bankrack.fleet.documents import Member
from bankrack.fleet.limitupdates import LimitMessage
from bankrack.fleet.limitupdates import LimitReceiver
from bankrack.fleet.limitupdates import LIMITS_PATH
from bankrack.fleet.limitupdates import LimitUpdates
from bankrack.fleet.limitupdates import NOTIFY_INTERVAL_SECONDS
from bankrack.fleet.permits import PermitCoordinator
from bankrack.serving.notices import Notice
from bankrack.serving.notices import NoticeHandler
from bankrack.serving.ratelimit import RateLimit
from bankrack.serving.registry import Upstreams
from bankrack.serving.upstreams import UpstreamRecord
from tests.base import TestCase

OWN = Member("n-0", "10.0.0.1:1", "a")
OTHERS = [Member(f"n-{n}", f"10.0.0.{n}:1", "a") for n in (2, 3)]


class RecordingBroadcast:
    """Records notifications instead of sending them."""

    def __init__(self) -> None:
        self.to_all: list[LimitMessage] = []
        self.to_one: list[tuple[str, LimitMessage]] = []
        self.unreachable: set[str] = set()

    async def notify(self, path: str, body: bytes) -> list[Member]:
        assert path == LIMITS_PATH
        self.to_all += msgspec.msgpack.decode(body, type=list[LimitMessage])
        return []

    async def notify_one(self, member: Member, path: str, body: bytes) -> bool:
        assert path == LIMITS_PATH
        [message] = msgspec.msgpack.decode(body, type=list[LimitMessage])
        self.to_one.append((member.name, message))
        return member.name not in self.unreachable


class LimitNewsTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.upstreams = Upstreams()
        self.notices = NoticeHandler()
        self.broadcast = RecordingBroadcast()
        members = [OWN, *OTHERS]
        self.coordinators = Coordinators(OWN, lambda: members)
        self.coordinated_id = self.find_upstream_id(
            lambda candidates: candidates[0] == OWN
        )
        self.other_id = self.find_upstream_id(lambda candidates: OWN not in candidates)
        for name in (self.coordinated_id, self.other_id):
            record = UpstreamRecord(name, "s", "10.0.0.9:1", "a", slots=1)
            self.upstreams.put(record)
        self.receiver = LimitReceiver(
            OWN, self.coordinators, self.notices, self.upstreams
        )
        self.limit_updates = LimitUpdates(
            t.cast(t.Any, self.broadcast),
            self.coordinators,
            self.notices,
            self.upstreams,
            self.receiver,
        )

    def find_upstream_id(self, matches: t.Callable[[list[Member]], bool]) -> str:
        """Return an upstream id whose candidates match."""
        ids = (f"u-{n}" for n in range(1000))
        return next(i for i in ids if matches(self.coordinators.candidates(i)))

    def receive_notice(self, name: str, rate: float, *, sent_ago: float = 0.0) -> None:
        self.notices.take(
            self.upstreams.by_id[name],
            Notice(rate_limit=rate),
            status=200,
            sent_at=boottime() - sent_ago,
            request="r",
        )

    async def run_for_a_while(self, seconds: float = 0.1) -> None:
        task = asyncio.create_task(self.limit_updates.run())
        await asyncio.sleep(seconds)
        task.cancel()

    async def receive(self, *messages: LimitMessage) -> None:
        body = msgspec.msgpack.encode(list(messages))
        request = make_mocked_request("POST", f"{LIMITS_PATH}?from=n-2")
        request._read_bytes = body
        await self.limit_updates.handle(request)


class SendingTest(LimitNewsTestCase):
    async def test_coordinator_notifies_all_members(self):
        self.receive_notice(self.coordinated_id, 1.8)
        await self.run_for_a_while()
        [message] = self.broadcast.to_all
        self.assertEqual((self.coordinated_id, 1.8), (message.id, message.rate))
        self.assertLess(message.received_age, 1.0)
        self.assertEqual([], self.broadcast.to_one)

    async def test_other_nodes_notify_coordinator_only(self):
        self.receive_notice(self.other_id, 1.8)
        await self.run_for_a_while()
        [(name, message)] = self.broadcast.to_one
        self.assertEqual(self.coordinators.candidates(self.other_id)[0].name, name)
        self.assertEqual(1.8, message.rate)
        self.assertEqual([], self.broadcast.to_all)

    async def test_standby_is_notified_if_coordinator_is_unreachable(self):
        first, standby = (m.name for m in self.coordinators.candidates(self.other_id))
        self.broadcast.unreachable = {first}
        self.receive_notice(self.other_id, 1.8)
        await self.run_for_a_while()
        self.assertEqual([first, standby], [name for name, _ in self.broadcast.to_one])

    async def test_end_of_limit_is_sent_but_changed_rate_is_not(self):
        self.receive_notice(self.coordinated_id, 1.8)
        await self.run_for_a_while(NOTIFY_INTERVAL_SECONDS)
        self.receive_notice(self.coordinated_id, 1.5)
        await self.run_for_a_while(NOTIFY_INTERVAL_SECONDS)
        self.assertEqual(1, len(self.broadcast.to_all))
        self.receive_notice(self.coordinated_id, math.inf, sent_ago=-1.0)
        await self.run_for_a_while(NOTIFY_INTERVAL_SECONDS)
        self.assertEqual([1.8, math.inf], [m.rate for m in self.broadcast.to_all])

    async def test_notifications_of_flapping_limit_are_throttled(self):
        task = asyncio.create_task(self.limit_updates.run())
        for n in range(100):
            self.receive_notice(self.coordinated_id, 1.8)
            self.receive_notice(self.coordinated_id, math.inf, sent_ago=-1.0 - n)
            self.upstreams.by_id[self.coordinated_id].limit = self.upstreams.by_id[
                self.other_id
            ].limit
            await asyncio.sleep(0.005)
        task.cancel()
        self.assertLessEqual(
            len(self.broadcast.to_all), 1 + 1.5 / NOTIFY_INTERVAL_SECONDS
        )


class ReceivingTest(LimitNewsTestCase):
    async def test_received_limit_is_applied_and_forwarded_by_coordinator_only(self):
        for name in (self.coordinated_id, self.other_id):
            await self.receive(LimitMessage(name, 1.8, 0.3, 0.2))
            self.assertEqual(1.8, self.upstreams.by_id[name].limit.rate)
        await self.run_for_a_while()
        self.assertEqual([self.coordinated_id], [m.id for m in self.broadcast.to_all])
        self.assertEqual([], self.broadcast.to_one)

    async def test_known_limit_is_not_forwarded_again(self):
        for _ in range(3):
            await self.receive(LimitMessage(self.coordinated_id, 1.8, 0.3, 0.2))
            await self.run_for_a_while()
        self.assertEqual(1, len(self.broadcast.to_all))

    async def test_coordinator_forwards_limit_learned_from_permit_request(self):
        """A limit first received with a permit request must still reach all members."""
        coordinator = PermitCoordinator(
            OWN, self.coordinators, self.receiver, view_age=lambda: 0.0
        )
        now = boottime()
        reported = RateLimit(rate=1.8, sent_at=now - 0.3, received_at=now - 0.2)
        coordinator.grant(self.coordinated_id, reported, PermitRequester("n-2", 0))
        await self.receive(LimitMessage(self.coordinated_id, 1.8, 0.3, 0.2))
        await self.run_for_a_while()
        self.assertEqual([self.coordinated_id], [m.id for m in self.broadcast.to_all])

    async def test_older_limit_is_ignored(self):
        self.receive_notice(self.coordinated_id, 1.8)
        await self.receive(LimitMessage(self.coordinated_id, math.inf, 5.0, 4.0))
        self.assertEqual(1.8, self.upstreams.by_id[self.coordinated_id].limit.rate)

    async def test_limit_of_unknown_upstream_is_ignored(self):
        await self.receive(LimitMessage("nobody", 1.8, 0.3, 0.2))
        await self.run_for_a_while()
        self.assertEqual([], self.broadcast.to_all)

    async def test_changed_limit_is_logged_once_with_age_and_source(self):
        with self.assertLogs("bankrack", "INFO") as found:
            for _ in range(3):
                await self.receive(LimitMessage(self.coordinated_id, 1.8, 0.3, 0.2))
        [line] = found.output
        self.assertIn("event=rate_limit_heard", line)
        self.assertIn("limit=1.8 heard_age=0.2 source=n-2", line)
