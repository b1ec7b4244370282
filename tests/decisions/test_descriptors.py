"""Tests of who may still take descriptors."""

from bankrack.decisions.descriptors import leaves_room
from bankrack.decisions.descriptors import Use
from tests.base import TestCase


class DescriptorsTest(TestCase):
    def test_tunnels_give_way_to_callers_and_callers_to_their_requests(self):
        for used, tunnel, caller in ((100, True, True), (800, False, True)):
            self.assertEqual(tunnel, leaves_room(used, 1000, Use.TUNNEL))
            self.assertEqual(caller, leaves_room(used, 1000, Use.CALLER))
        self.assertFalse(leaves_room(900, 1000, Use.CALLER))
