"""Tests of which node counts for an upstream."""

from bankrack.fleet.documents import Member
from bankrack.fleet.keepers import Keepers
from bankrack.fleet.trust import DISTRUST_SECONDS
from tests.base import TestCase


class KeepersTestCase(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.members = [Member(f"n-{n}", f"10.0.0.{n}:1", "a") for n in range(5)]

    def keepers(self, own: int = 0) -> Keepers:
        return Keepers(
            self.members[own], lambda: list(self.members), clock=lambda: self.now
        )

    def first(self) -> int:
        name = self.keepers().asked("u")[0].name
        return [member.name for member in self.members].index(name)


class Asking(KeepersTestCase):
    def test_all_ask_the_same_two(self):
        asked = {
            tuple(member.name for member in self.keepers(n).asked("u"))
            for n in range(5)
        }
        self.assertEqual(1, len(asked))
        self.assertEqual(2, len(asked.pop()))

    def test_one_that_does_not_answer_is_passed_over_for_a_while(self):
        keepers = self.keepers()
        first, second = keepers.asked("u")
        keepers.distrust(first)
        self.assertEqual([second], keepers.asked("u"))
        self.now += DISTRUST_SECONDS
        self.assertEqual([first, second], keepers.asked("u"))

    def test_no_third_is_asked(self):
        keepers = self.keepers()
        for member in keepers.asked("u"):
            keepers.distrust(member)
        self.assertEqual([], keepers.asked("u"))

    def test_a_node_that_is_no_member_yet_neither_asks_nor_counts(self):
        members: list[Member] = []
        started = Keepers(self.members[0], lambda: members, clock=lambda: self.now)
        self.assertEqual([], started.asked("u"))
        members.append(self.members[0])
        started.note_members()
        self.assertEqual([self.members[0]], started.asked("u"))


class Standing(KeepersTestCase):
    def test_only_one_counts_for_all(self):
        every = [self.keepers(n) for n in range(5)]
        self.now += 60.0
        self.assertEqual(1, sum(keepers.is_first("u") for keepers in every))

    def test_it_does_not_before_it_has_lived_for_a_while(self):
        keepers = self.keepers(self.first())
        self.assertFalse(keepers.is_first("u"))
        self.now += keepers.learn_seconds
        self.assertTrue(keepers.is_first("u"))

    def test_nor_right_after_the_members_changed(self):
        keepers = self.keepers(self.first())
        keepers.note_members()
        self.now += 60.0
        self.members.append(Member("m-0", "10.0.1.0:1", "a"))
        self.assertFalse(keepers.is_first("v"))
        self.assertFalse(keepers.is_first("u"))

    def test_who_becomes_the_first_waits_and_who_was_it_stops(self):
        first = self.first()
        before = self.keepers(first)
        second = self.keepers().asked("u")[1]
        after = Keepers(second, lambda: list(self.members), clock=lambda: self.now)
        self.now += 60.0
        self.assertTrue(before.is_first("u"))
        self.assertFalse(after.is_first("u"))
        del self.members[first]
        self.now += 1.0
        self.assertFalse(after.is_first("u"))
        self.now += after.learn_seconds
        self.assertTrue(after.is_first("u"))

    def test_a_change_that_leaves_the_first_in_place_changes_nothing_for_it(self):
        first = self.first()
        keepers = self.keepers(first)
        self.now += 60.0
        self.assertTrue(keepers.is_first("u"))
        last = next(n for n in range(5) if n != first)
        del self.members[last]
        self.now += 1.0
        self.assertTrue(keepers.is_first("u"))
