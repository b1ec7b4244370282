"""Tests of the selection of readers and leaders."""

import dataclasses

from bankrack.fleet.documents import Member
from bankrack.fleet.roster import MAX_STANDBYS
from bankrack.fleet.roster import NODES_PER_HALL_LEADER
from bankrack.fleet.roster import Roster
from bankrack.fleet.suspects import SUSPICION_SECONDS
from tests.base import TestCase


def members(count: int, hall: str = "a") -> list[Member]:
    return [Member(f"{hall}-{n}", f"10.0.0.1:{n}", hall) for n in range(count)]


class RosterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 0.0

    def roster(self, own: Member, known: list[Member]) -> Roster:
        return Roster(own, lambda: known, clock=lambda: self.now)

    def halls(self, *sizes: int) -> list[Member]:
        return [m for n, size in enumerate(sizes) for m in members(size, f"hall-{n}")]

    def leaders(self, known: list[Member]) -> dict[str, Member | None]:
        return {m.name: self.roster(m, known).leader() for m in known}

    def test_fleet_has_exactly_one_reader(self):
        for sizes in [(3, 3, 2), (26, 26, 26), (100, 100, 100, 90)]:
            self.check_one_reader(self.halls(*sizes))

    def check_one_reader(self, known: list[Member]) -> None:
        leaders = self.leaders(known)
        self.assertEqual(1, list(leaders.values()).count(None))
        reading = [m for m in known if self.roster(m, known).is_reader()]
        self.assertEqual(
            [n for n, leader in leaders.items() if not leader],
            [m.name for m in reading],
        )

    def test_only_hall_leaders_follow_node_of_another_hall(self):
        known = self.halls(26, 26, 26)
        hall_by_name = {m.name: m.hall for m in known}
        following_other_hall = [
            name
            for name, leader in self.leaders(known).items()
            if leader and leader.hall != hall_by_name[name]
        ]
        self.assertEqual(2, len(following_other_hall))

    def test_large_hall_has_limited_number_of_standbys(self):
        known = self.halls(26, 26, 26)
        standby_halls = [m.hall for m in known if self.roster(m, known).is_standby()]
        self.assertEqual(3 * (1 + MAX_STANDBYS), len(standby_halls))
        self.assertEqual(3, len(set(standby_halls)))

    def test_node_reads_store_after_all_candidates_failed(self):
        known = self.halls(26, 26, 26)
        for member in known:
            roster = self.roster(member, known)
            tried = []
            while (leader := roster.leader()) is not None:
                tried.append(leader.name)
                roster.suspect(leader)
            self.assertLessEqual(len(tried), 1 + MAX_STANDBYS)

    def test_small_hall_has_one_reader_followed_by_all(self):
        known = members(8)
        leaders = [self.roster(member, known).leader() for member in known]
        self.assertEqual(1, leaders.count(None))
        self.assertEqual(1, len({leader.name for leader in leaders if leader}))

    def test_number_of_hall_leaders_grows_with_hall(self):
        known = members(3 * NODES_PER_HALL_LEADER)
        followed = [leader.name for leader in self.leaders(known).values() if leader]
        counts = [followed.count(name) for name in set(followed)]
        self.assertEqual(3, len(counts))
        self.assertLess(max(counts), 2 * NODES_PER_HALL_LEADER)

    def test_isolated_hall_reads_store_itself(self):
        own = members(1, "b")[0]
        roster = self.roster(own, members(5))
        for _ in range(1 + MAX_STANDBYS):
            if (leader := roster.leader()) is not None:
                roster.suspect(leader)
        self.assertIsNone(roster.leader())

    def test_node_reads_store_after_reader_and_standbys_failed(self):
        known = members(8)
        roster = self.roster(known[0], known)
        tried = []
        while (leader := roster.leader()) is not None:
            tried.append(leader.name)
            roster.suspect(leader)
        self.assertLessEqual(len(tried), 1 + MAX_STANDBYS)
        self.assertEqual(len(tried), len(set(tried)))
        self.now += SUSPICION_SECONDS + 0.1
        restored = roster.leader()
        self.assertEqual(tried[:1], [restored.name] if restored else [])

    def test_following_has_no_cycles(self):
        leaders = self.leaders([*members(40), *members(35, "b")])
        for name in leaders:
            seen = set()
            follower: str | None = name
            while follower is not None:
                self.assertNotIn(follower, seen)
                seen.add(follower)
                leader = leaders[follower]
                follower = leader.name if leader else None

    def test_widest_links_lead_also_where_all_are_narrow(self):
        """Guards against the narrowest links in the lead once wide ones are gone."""
        narrow = members(20)
        known = [
            *narrow[:15],
            *(dataclasses.replace(m, link_mbps=25.0) for m in narrow[15:]),
        ]
        leader = self.roster(known[0], known).leader()
        assert leader is not None
        self.assertEqual(25.0, leader.link_mbps)
