"""Heartbeats that a broken path holds up and delivers late.

Bytes that a partition holds up arrive after it, also those of a process that
was killed meanwhile.
"""

import collections
import unittest

from acacialine import sendtimes
from acacialine.tests import test_lost_dispatchers

JOB = test_lost_dispatchers.JOB
LINK = ("zone-a", "zone-a")


class ScriptedSimulation(test_lost_dispatchers.ScriptedSimulation):
    """The scripted zones with a link that is held, in which one is killed.

    Attributes:
        held_until: Until when the link of LINK holds all messages.
    """

    def __init__(self):
        self.held_until = 0.0
        self._sender_clocks = collections.defaultdict(
            lambda: sendtimes.SenderClock(self.now)
        )
        super().__init__()

    def send(self, link, deliver):
        if (link.dispatcher, link.zone) != LINK or self.now >= self.held_until:
            super().send(link, deliver)
            return
        owner = self.zones[link.zone].owner
        self.at(self.held_until, lambda at: deliver(owner, at))

    def _send_heartbeat(self, link):
        session, sent_at = link.session, self.now
        sender_clock = self._sender_clocks[session]

        def deliver(owner, at):
            # As `peering` and `placerhost`, with a clock that counts from 100.
            heard_at = sender_clock.date(sent_at + 100.0, at)
            owner.placer.record_heard(session, min(heard_at, owner.last_tick))

        self.send(link, deliver)

    def kill_while_held(self):
        """Kills the dispatcher of LINK; its bytes arrive, then their end."""
        link = self.links[LINK]
        owner = self.zones[link.zone].owner
        session = link.session
        lose_link = self._lose_link
        self._lose_link = lambda lost, is_silent: (
            lost is link or lose_link(lost, is_silent)
        )
        self.lose_dispatcher(link.dispatcher, False, False)
        self._lose_link = lose_link
        link.generation += 1
        self.at(
            self.held_until + 0.001,
            lambda at: owner.placer.remove_origin(session, False, at),
        )


class HeldLinksTest(unittest.TestCase):
    def test_a_late_heartbeat_of_a_killed_dispatcher_renews_no_lease(self):
        simulation = ScriptedSimulation()
        simulation.cut_zones_silently(6.0)
        simulation.stops_lost_until = 4.0
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.links[LINK].heartbeat_due_at = simulation.now
        # The placer last heard it 0.15 s before, as a candidate, and suspects
        # it after 0.6 s.
        simulation.held_until = simulation.now + 0.44
        simulation.run_until(simulation.now + 0.02)
        simulation.kill_while_held()
        simulation.target = "zone-b"
        simulation.run_until(4.0)
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)
        self.assertIn(JOB, simulation.server_pool.started_jobs)


if __name__ == "__main__":
    unittest.main()
