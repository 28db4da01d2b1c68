"""Tasks whose backend servers crash while they run them."""

import unittest

from acacialine import orders
from acacialine import zonetables
from acacialine.tests import zonebuilders as build

SERVERS = 8
MAX_STARTS = 5  # three crashes, and at most two starts after them


class CrashingTaskTest(unittest.TestCase):
    def restart(self, placer, server, now):
        """Lets a server crash, restart and be announced and listed again."""
        incarnation = server.incarnation + 1
        server.announced_incarnation = incarnation
        result = orders.PollResult(incarnation, 1000, (), ())
        placer.runs.apply_poll(server, result, now, now)

    def crash_each_start(self, placer, now, until):
        """Crashes each server on which a run starts; returns starts, answers.

        A server restarts 0.1 s after it has crashed.
        """
        starts, answers = [], []
        while now < until:
            placer.tick(now)
            new_orders = placer.take_orders()
            answers += build.answers(new_orders)
            now += 0.1
            for run in build.starts(new_orders):
                starts.append(run)
                self.restart(placer, run.server, now)
        return starts, answers

    def test_a_task_that_crashes_its_servers_is_given_up(self):
        placer = build.placer(*(build.server(f"i-{n}") for n in range(SERVERS)))
        job = build.submission(step=build.step(1), left_s=9.0)
        placer.submit(job, "dispatcher", 0.0)
        starts, answers = self.crash_each_start(placer, 0.0, 5.0)
        self.assertLessEqual(len(starts), MAX_STARTS)
        verdicts = [a.verdict for a in answers]
        self.assertEqual(verdicts, [zonetables.Verdict.FAILED])


if __name__ == "__main__":
    unittest.main()
