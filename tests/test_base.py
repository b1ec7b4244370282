import unittest

from tests import fakes
from tests.base import TestCase


class TestAwaiting(TestCase):
    def run_case(self, case: type[TestCase]) -> unittest.TestResult:
        result = unittest.TestResult()
        case("test_it").run(result)
        return result

    def test_a_failing_coroutine_fails(self):
        class Failing(TestCase):
            async def test_it(self):
                self.assertEqual(1, 2)

        result = self.run_case(Failing)
        self.assertEqual(1, len(result.failures))

    def test_a_passing_coroutine_runs(self):
        ran = []

        class Passing(TestCase):
            async def test_it(self):
                ran.append(True)

        result = self.run_case(Passing)
        self.assertTrue(result.wasSuccessful())
        self.assertEqual([True], ran)


class Addresses(TestCase):
    def test_no_address_is_given_out_twice(self):
        self.patch(fakes, "PORTS", (20000, 20060))
        found = [fakes.free_address() for _ in range(30)]
        self.assertEqual(30, len(set(found)))
