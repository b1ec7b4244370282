"""Tests of the account of request bodies."""

from bankrack.decisions.buffers import Limits
from bankrack.exceptions import BodiesTooLarge
from bankrack.front.requestbodies import RequestBodies
from tests.base import TestCase


class RequestBodiesTest(TestCase):
    def test_body_that_grows_does_not_count_against_itself(self):
        bodies = RequestBodies(Limits(bodies=100_000))
        whole, growing = bodies.reservation(), bodies.reservation()
        whole.extend(50_000)
        for size in (25_000, 50_000):
            growing.extend(size)
        with self.assertRaises(BodiesTooLarge):
            growing.extend(50_001)
        self.assertEqual(100_000, bodies.held)
        whole.release()
        growing.extend(100_000)
        growing.release()
        self.assertEqual(0, bodies.held)
