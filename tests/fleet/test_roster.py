"""Tests of who reads the store and who follows."""

from bankrack.fleet.documents import Member
from bankrack.fleet.roster import DEPUTIES
from bankrack.fleet.roster import DISTRUST_SECONDS
from bankrack.fleet.roster import NODES_PER_READER
from bankrack.fleet.roster import Roster
from tests.base import TestCase


def members(count: int, hall: str = "a") -> list[Member]:
    return [Member(f"{hall}-{n}", f"10.0.0.1:{n}", hall) for n in range(count)]


class Readers(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0

    def roster(self, own: Member, known: list[Member]) -> Roster:
        return Roster(own, lambda: known, clock=lambda: self.now)

    def test_a_small_hall_has_one_reader_that_all_follow(self):
        known = members(8)
        leaders = [self.roster(member, known).leader() for member in known]
        self.assertEqual(1, leaders.count(None))
        self.assertEqual(1, len({leader.name for leader in leaders if leader}))

    def test_readers_grow_with_the_hall(self):
        known = members(3 * NODES_PER_READER)
        leaders = [self.roster(member, known).leader() for member in known]
        self.assertEqual(3, leaders.count(None))
        followed = [leader.name for leader in leaders if leader]
        counts = [followed.count(name) for name in set(followed)]
        self.assertLess(max(counts), 2 * NODES_PER_READER)

    def test_halls_are_apart(self):
        own = members(1, "b")[0]
        self.assertIsNone(self.roster(own, members(5)).leader())

    def test_a_node_reads_for_itself_after_reader_and_deputies(self):
        known = members(8)
        roster = self.roster(known[0], known)
        tried = []
        while (leader := roster.leader()) is not None:
            tried.append(leader.name)
            roster.distrust(leader)
        self.assertLessEqual(len(tried), 1 + DEPUTIES)
        self.assertEqual(len(tried), len(set(tried)))
        self.now += DISTRUST_SECONDS + 0.1
        back = roster.leader()
        self.assertEqual(tried[:1], [back.name] if back else [])

    def test_nobody_follows_in_a_circle(self):
        known = members(40)
        leader_by_name = {}
        for member in known:
            leader = self.roster(member, known).leader()
            leader_by_name[member.name] = leader.name if leader else None
        for name in leader_by_name:
            seen = set()
            while name is not None:
                self.assertNotIn(name, seen)
                seen.add(name)
                name = leader_by_name[name]
