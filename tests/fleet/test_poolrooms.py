"""Tests of the placement of runs in one of two pools."""

import asyncio

from benchmarks.pooloverflow import DIGEST
from benchmarks.pooloverflow import Replay
from benchmarks.pooloverflow import VERDICT
from benchmarks.pooloverflow import WAYS

from bankrack.decisions.admission import Admit
from bankrack.decisions.admission import Verdict
from bankrack.decisions.admission import Wait
from bankrack.fleet.poolrooms import PoolRooms
from bankrack.serving.pools import candidate_pools
from tests.base import TestCase
from tests.fleet.test_poolowners import assignment

LONG_WAIT = Wait(0.3, 4, 3.0)
HERE = Admit(("one",))


class PoolRoomsTest(TestCase):
    """A node that asks the owners of five pools, whose verdicts are given."""

    def setUp(self):
        super().setUp()
        self.asked: list[tuple[int, bool]] = []
        self.left: list[int] = []
        self.outcomes: list[str] = []
        self.now = 100.0
        self.rooms = PoolRooms(
            lambda work, pool: self.left.append(pool),
            count=self.outcomes.append,
            clock=lambda: self.now,
        )
        self.work = assignment("r-1")
        self.first, self.second = candidate_pools("r-1", 5)

    async def decide(self, first, second=None, *, pools=5):
        async def ask(pool: int, queue: bool) -> Verdict | None:
            self.asked.append((pool, queue))
            verdict = first if pool == self.first else second
            if isinstance(verdict, BaseException):
                raise verdict
            return verdict

        return await self.rooms.decide(self.work, pools, ask)

    async def test_updates_follow_run_into_second_pool(self):
        self.assertEqual(self.first, self.rooms.pool(self.work, 5))
        self.assertEqual(HERE, await self.decide(LONG_WAIT, HERE))
        self.assertEqual([(self.first, True), (self.second, False)], self.asked)
        self.assertEqual(self.second, self.rooms.pool(self.work, 5))
        self.assertEqual([self.first], self.left)
        self.assertEqual(["admit"], self.outcomes)
        self.rooms.forget(self.work)
        self.assertEqual(self.first, self.rooms.pool(self.work, 5))

    async def test_run_waits_in_one_queue(self):
        await self.decide(LONG_WAIT, Wait(0.1, 1, 0.2))
        self.assertEqual([self.first], self.left)
        await self.decide(Wait(0.1, 1, 0.2), LONG_WAIT)
        self.assertEqual((self.second, True), self.asked[2])
        self.assertEqual([self.first], self.left)

    async def test_run_that_left_by_admission_may_change_queues_later(self):
        await self.decide(LONG_WAIT, HERE)
        self.now += 1.0
        await self.decide(Wait(0.1, 1, 0.2), LONG_WAIT)
        self.assertEqual([self.first, self.second], self.left)
        self.assertEqual(self.first, self.rooms.pool(self.work, 5))

    async def test_second_pool_is_asked_once_a_short_wait_was_in_vain(self):
        for _ in range(2):
            await self.decide(Wait(0.05, 1, 0.01), None)
        self.assertEqual(
            [self.first, self.first, self.second], [p for p, _ in self.asked]
        )

    async def test_pool_without_usable_engine_is_told_that_run_left(self):
        await self.decide(LONG_WAIT, Admit(()))
        self.assertEqual([self.second], self.left)

    async def test_run_without_owners_is_placed_in_pool_of_its_digest(self):
        await self.decide(LONG_WAIT, Wait(0.1, 1, 0.2))
        await self.decide(None, None)
        self.assertEqual([self.first, self.first, self.second], self.left)
        self.assertEqual(self.first, self.rooms.pool(self.work, 5))

    async def test_pool_that_run_left_as_pools_changed_is_told(self):
        await self.decide(LONG_WAIT, LONG_WAIT)
        await self.decide(LONG_WAIT, LONG_WAIT, pools=1)
        self.assertEqual([self.first], self.left)
        await self.decide(LONG_WAIT, LONG_WAIT)
        self.assertEqual([self.first, 0], self.left)

    async def test_admission_shows_that_pool_is_no_longer_full(self):
        await self.decide(LONG_WAIT, LONG_WAIT)
        await self.decide(LONG_WAIT, HERE)
        self.assertEqual(["wait"], self.outcomes)
        ids = (f"r-{n}" for n in range(1000))
        other = next(i for i in ids if candidate_pools(i, 5)[0] == self.second)
        work, self.work = self.work, assignment(other)
        await self.decide(None, HERE)
        self.work = work
        await self.decide(LONG_WAIT, HERE)
        self.assertEqual(["wait", "admit"], self.outcomes)

    async def test_second_pool_serves_while_first_has_no_owner(self):
        self.assertEqual(HERE, await self.decide(None, HERE))
        self.assertEqual(self.second, self.rooms.pool(self.work, 5))

    async def test_owner_is_told_if_caller_leaves_meanwhile(self):
        with self.assertRaises(asyncio.CancelledError):
            await self.decide(LONG_WAIT, asyncio.CancelledError())
        self.assertEqual([self.second], self.left)


class LoadTest(TestCase):
    """Bursts on 71 engines, which digests split into two unequal pools."""

    def test_runs_do_not_wait_beside_room(self):
        digest, room, verdict = (
            Replay(71, way, seed=3).play(0.85, burst=1.2) for way in WAYS
        )
        self.assertGreater(digest.beside_room, 50)
        # All nodes follow the same old figures to the pool that had more room.
        self.assertGreater(room.beside_room, 50)
        self.assertLess(verdict.beside_room, 10)
        self.assertLess(verdict.wait_seconds, digest.wait_seconds / 3)

    def test_runs_of_a_pool_without_half_its_engines_go_to_the_other(self):
        replays = [Replay(71, way, seed=1) for way in (DIGEST, VERDICT)]
        for replay in replays:
            replay.remove(0, 0.5)
        digest, verdict = (replay.play(0.9) for replay in replays)
        self.assertLess(verdict.wait_seconds, digest.wait_seconds / 3)
        self.assertLess(verdict.questions, 2 * verdict.runs)
