"""Tests of the admission of new connections."""

import collections

from bankrack.decisions.connectionrate import MAX_BURST
from bankrack.front.connectiongate import ConnectionGate
from tests.base import TestCase


class GateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.counts = collections.Counter()
        self.open = 0
        self.gate = ConnectionGate(
            lambda outcome: self.counts.update([outcome]),
            open_connections=lambda: self.open,
            max_open=50,
        )

    def test_connections_beyond_the_allowance_are_refused(self):
        admitted = sum(self.gate.admit() for _ in range(200))
        self.assertEqual(MAX_BURST, admitted)
        self.assertEqual({"accepted": admitted, "refused": 200 - admitted}, self.counts)

    def test_connections_are_admitted_again_later(self):
        for _ in range(200):
            self.gate.admit()
        self.gate.end_period(delay=0.0)
        self.assertTrue(self.gate.admit())

    def test_late_node_admits_fewer(self):
        for _ in range(200):
            self.gate.admit()
        self.gate.end_period(delay=0.35)
        admitted = sum(self.gate.admit() for _ in range(200))
        self.assertLess(admitted, MAX_BURST)
        self.assertGreater(admitted, 0)

    def test_callers_that_came_during_a_delay_are_admitted_behind_it(self):
        """Guards against 15 of 300 callers closed after the loop was late once."""
        for _ in range(3):
            admitted = sum(self.gate.admit() for _ in range(87))
            self.assertEqual(87, admitted)
            self.gate.end_period(delay=0.24)

    def test_open_connections_are_bounded(self):
        self.open = 50
        self.assertFalse(self.gate.admit())
        self.open = 49
        self.assertTrue(self.gate.admit())

    def test_idle_connection_makes_room_for_a_new_one(self):
        idle = 1

        def close_idle():
            nonlocal idle
            idle -= 1
            return idle >= 0

        self.open = 50
        self.gate.close_idle = close_idle
        self.assertEqual([True, False], [self.gate.admit(), self.gate.admit()])

    def test_connections_are_refused_before_descriptors_run_out(self):
        gate = ConnectionGate(lambda outcome: None, max_open=50, max_descriptors=100)
        self.assertTrue(gate.admit(80))
        self.assertFalse(gate.admit(90))

    async def test_refusals_are_logged_once_a_second(self):
        self.gate._log(10.0)
        for _ in range(200):
            self.gate.admit()
        with self.assertLogs("bankrack", "INFO") as lines:
            self.gate._log(10.5)
            self.gate._log(11.0)
            self.gate._log(11.1)
        [line] = lines.output
        self.assertIn("event=connections_refused count=72", line)
