"""Several leaders are queried at once while one of them is silent."""

import asyncio

from bankrack.clock import boottime
from bankrack.fleet.documents import Member
from bankrack.fleet.leaderqueries import LeaderQueries
from bankrack.fleet.leaderqueries import SILENT_SECONDS
from tests.base import TestCase

ONE, TWO = (Member(name, "10.0.0.1:1", "a") for name in ("one", "two"))
TIMEOUT_SECONDS = 0.7


class QueriesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.silent = {"one"}
        self.asked: list[tuple[str, float]] = []
        self.heard_at = 0.0
        self.began = boottime()

    async def query(self, leader: Member) -> bool:
        self.asked.append((leader.name, boottime() - self.began))
        silent = leader.name in self.silent
        await asyncio.sleep(TIMEOUT_SECONDS if silent else 0.01)
        return not silent

    def queries(self) -> LeaderQueries:
        return LeaderQueries(self.query, lambda name: self.heard_at)

    async def test_next_leader_is_asked_before_a_silent_one_times_out(self):
        queries = self.queries()
        await queries.wait_for_any([ONE, TWO])
        names = [name for name, _ in self.asked]
        self.assertEqual(["one", "two"], names)
        self.assertLess(boottime() - self.began, TIMEOUT_SECONDS - 0.1)
        await queries.cancel()

    async def test_leader_that_was_silent_is_asked_beside_the_next_one(self):
        """Guards against a wait for a node that is still silent after a suspicion."""
        queries = self.queries()
        await queries.wait_for_any([ONE])
        self.assertFalse(queries.all_silent)
        self.began = boottime()
        self.asked.clear()
        await queries.wait_for_any([ONE, TWO])
        self.assertLess(boottime() - self.began, 0.2)
        self.assertEqual({"one", "two"}, {name for name, _ in self.asked})
        await queries.cancel()

    async def test_all_are_silent_once_each_was(self):
        """Guards against a node that waits for leaders that are known to be silent."""
        queries = self.queries()
        await queries.wait_for_any([ONE])
        waiting = asyncio.create_task(queries.wait_for_any([ONE]))
        await asyncio.sleep(0.01)
        self.assertTrue(queries.all_silent)
        waiting.cancel()
        await queries.cancel()

    async def test_each_leader_is_asked_once_at_a_time(self):
        queries = self.queries()
        for _ in range(3):
            await queries.wait_for_any([ONE, TWO])
        self.assertEqual(1, [name for name, _ in self.asked].count("one"))
        await queries.cancel()

    async def test_leader_that_sends_a_long_response_is_not_silent(self):
        """Guards against a second transfer beside one over a narrow link."""
        queries = self.queries()
        self.heard_at = self.began + SILENT_SECONDS
        await queries.wait_for_any([ONE, TWO])
        self.assertEqual(["one"], [name for name, _ in self.asked])
