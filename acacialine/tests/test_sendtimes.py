"""Dating of messages by the clocks of their senders."""

import unittest

from acacialine import sendtimes


class SenderClockTest(unittest.TestCase):
    def test_what_is_held_up_is_dated_by_its_sender(self):
        clock = sendtimes.SenderClock(10.0)
        self.assertEqual(clock.date(3.0, 10.5), 10.0)  # held up as well
        for sent_at, arrived_at in ((3.3, 11.0), (3.6, 11.0), (8.0, 15.0)):
            date = clock.date(sent_at, arrived_at)
            self.assertGreaterEqual(date, sent_at + 7.0)
            self.assertLess(date - (sent_at + 7.0), 0.05)

    def test_a_delay_that_lasts_is_not_taken_for_a_difference_of_clocks(self):
        clock = sendtimes.SenderClock(10.0)
        clock.date(0.0, 10.0)
        for second in range(1, 13):
            date = clock.date(second, 10.44 + second)
        self.assertLess(date - 22.0, 0.13)

    def test_clocks_may_drift_apart(self):
        clock = sendtimes.SenderClock(10.0)
        for second in range(1000):
            sent_at, now = second * 0.999, 10.0 + second
            self.assertLess(now - clock.date(sent_at, now), 0.015)


if __name__ == "__main__":
    unittest.main()
