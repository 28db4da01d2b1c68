"""What a new placer assumes of earlier ones."""

import unittest
from unittest import mock

from acacialine import zonehandover
from acacialine.tests import zonebuilders as build

HOLD_S = build.LEASE_TIMES.superseded_owner_s


class FirstAnswerTest(unittest.TestCase):
    def test_a_placer_that_no_server_answered_for_long_may_lack_jobs(self):
        dispatcher = mock.Mock()
        dispatcher.ownership.superseded_epoch = 7
        dispatcher.ownership.newest_claim = (0, "")
        handover = zonehandover.ZoneHandover(dispatcher)
        for answered_at, may_lack_jobs in ((0.1, False), (4.0, True)):
            with self.subTest(answered_at=answered_at):
                placer = build.placer()
                handover.record_first_answer(placer, answered_at)
                held_at = answered_at + HOLD_S - 0.01
                self.assertEqual(placer.may_lack_jobs(held_at), may_lack_jobs)
                self.assertFalse(placer.may_lack_jobs(held_at + 0.02))
                unknown_before = placer.runs.unknown_before
                self.assertEqual(unknown_before > held_at, may_lack_jobs)


if __name__ == "__main__":
    unittest.main()
