"""The list of tests that CI passes over."""

import unittest

from acacialine.tests import known_red

LIST = """Tests that CI passes over:

0. test: acacialine.tests.test_a.ATest.test_one
   Issue 2. Why.
0b. test: acacialine.tests.test_b.BTest.test_two
test: acacialine.tests.test_c.CTest.test_three
   A text that mentions test: acacialine.tests.test_d.DTest.test_four here.
"""
LOG = """
FAIL: test_one (acacialine.tests.test_a.ATest.test_one)
ERROR: test_two (acacialine.tests.test_b.BTest.test_two)
Ran 3 tests in 1.0s
"""


class KnownRedTest(unittest.TestCase):
    def test_listed_tests_are_those_on_lines_of_their_own(self):
        self.assertEqual(
            known_red.listed_tests(LIST),
            {
                "acacialine.tests.test_a.ATest.test_one",
                "acacialine.tests.test_b.BTest.test_two",
                "acacialine.tests.test_c.CTest.test_three",
            },
        )

    def test_failed_tests_are_found_in_the_output(self):
        self.assertEqual(
            known_red.failed_tests(LOG),
            {
                "acacialine.tests.test_a.ATest.test_one",
                "acacialine.tests.test_b.BTest.test_two",
            },
        )


if __name__ == "__main__":
    unittest.main()
