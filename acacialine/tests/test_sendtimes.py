"""Dating of messages by the clocks of their senders."""

import unittest

from acacialine import sendtimes


class SenderClockTest(unittest.TestCase):
    def test_what_is_held_up_is_dated_by_its_sender(self):
        clock = sendtimes.SenderClock(10.0)
        self.assertEqual(clock.date(3.0, 10.5), 10.0)  # held up as well
        for sent_at, date in ((3.3, 10.3), (3.6, 10.6), (8.0, 15.0)):
            self.assertAlmostEqual(clock.date(sent_at, 17.0), date)

    def test_clocks_may_drift_apart(self):
        clock = sendtimes.SenderClock(10.0)
        for second in range(1000):
            sent_at, now = second * 0.999, 10.0 + second
            self.assertLess(now - clock.date(sent_at, now), 0.015)


if __name__ == "__main__":
    unittest.main()
