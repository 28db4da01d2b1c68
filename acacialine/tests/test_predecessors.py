"""Whether the earlier placers of a zone knew servers that a new one lacks."""

import math
import unittest

from acacialine import predecessors

MAX_AGE_S = 4.0


class PredecessorsTest(unittest.TestCase):
    def setUp(self):
        self.predecessors = predecessors.Predecessors()

    def take_over(self, now, superseded_epoch, removal_offset=10):
        return self.predecessors.take_over(
            superseded_epoch + 1,
            superseded_epoch,
            removal_offset,
            now,
            MAX_AGE_S,
        )

    def test_a_placer_with_a_current_list_leaves_no_unknown_servers(self):
        self.predecessors.record_heartbeat(5, 10, 10, 1.0)
        self.assertTrue(self.take_over(2.0, 5))

    def test_a_placer_that_missed_a_removal_may_use_unknown_servers(self):
        self.predecessors.record_heartbeat(5, 9, 9, 1.0)
        self.assertFalse(self.take_over(2.0, 5))

    def test_a_placer_that_was_not_heard_may_use_unknown_servers(self):
        self.assertFalse(self.take_over(2.0, 0))
        self.predecessors.record_heartbeat(5, 10, 10, 7.0)
        self.assertFalse(self.take_over(8.0, 6))

    def test_the_one_before_the_last_counts_until_its_runs_have_ended(self):
        self.predecessors.record_heartbeat(5, 9, 10, 1.0)
        self.predecessors.record_heartbeat(6, 10, 10, 1.5)
        self.assertFalse(self.take_over(2.0, 6))
        self.assertTrue(self.take_over(6.0, 7))

    def test_a_placer_that_told_of_its_jobs(self):
        self.predecessors.record_told(5, 1.0)
        self.assertEqual(self.predecessors.told_age_s(5, 2.0), 1.0)
        self.assertEqual(self.predecessors.told_age_s(6, 2.0), math.inf)

    def test_an_earlier_placer_does_not_tell_of_the_jobs_of_the_last(self):
        self.predecessors.record_told(6, 1.0)
        self.predecessors.record_told(5, 4.0)
        self.assertEqual(self.predecessors.told_age_s(6, 6.0), 5.0)


if __name__ == "__main__":
    unittest.main()
