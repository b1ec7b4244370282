import unittest

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
