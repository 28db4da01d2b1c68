"""Random interleavings of placers, lost and late orders, under one clock.

Two placers own the same backend servers one after the other or both at once;
orders are lost, answers are lost, and orders come seconds late. No server is
ever over its capacity, no task ever runs twice at once, and no job that was
answered as not run has a start.
"""

import heapq
import itertools
import os
import random
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from acacialine import leases
from acacialine import orders
from acacialine import placer as placer_lib
from acacialine import zonetables
from acacialine.tests import zonebuilders as build
from acacialine.tools import fakeservers

TICK_S = 0.01
END_S = 6.0
ANSWER_S = 0.25  # after which an order counts as unanswered
LEASE_S = 1.0
EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "60"))


class Owner:
    """One placer and its side of the network."""

    def __init__(self, simulation, epoch, now):
        self.simulation = simulation
        self.epoch = epoch
        self.placer = placer_lib.new_placer("zone-a", 0.3, now)
        self.paused_until = 0.0
        self.last_tick = now
        self.is_closed = False
        self.next_look = {}
        self.cut_off = {}
        announced = [
            build.server(s.id, s.cpu) for s in simulation.world.servers.values()
        ]
        self.placer.runs.apply_servers(announced, now)

    def tick(self, now):
        if self.is_closed or now < self.paused_until:
            return
        if now - self.last_tick > 0.4:
            self.placer.resume(now)
        self.last_tick = now
        for server in list(self.placer.tables.servers.values()):
            if now < self.cut_off.get(server.id, 0.0):
                continue
            if now >= self.next_look.get(server.id, 0.0):
                self.next_look[server.id] = now + 0.1
                self._look(server, now)
        self.placer.tick(now)
        for order in self.placer.take_orders():
            match order:
                case orders.StartRun(run):
                    self._start(run, now)
                case orders.StopRun(run):
                    self._stop(run, now)
                case orders.AnswerJob():
                    self.simulation.answer(self, order)

    def _fenced(self):
        self.is_closed = True
        self.simulation.lost(self)

    def _look(self, server, now):
        simulation = self.simulation
        fake = simulation.world.servers[server.id]
        until = 0.0
        if server.clock_at and server.runs:
            lease = leases.new_lease(server, LEASE_S, now)
            server.lease_until = max(server.lease_until, lease.until)
            until = now + LEASE_S
        fate = simulation.fate()
        acknowledged = server.acknowledged

        def arrive(at):
            seen = fake.look(self.epoch, acknowledged, until, at)

            def back(later):
                if self.is_closed:
                    return
                if seen is None:
                    self._fenced()
                    return
                leases.observe_clock(server, seen.clock_ms, later)
                self.placer.runs.observe(server, seen, now, later)

            simulation.reply(fate, back)

        simulation.send(fate, arrive)

    def _start(self, run, now):
        simulation = self.simulation
        fake = simulation.world.servers[run.server.id]
        lease = leases.new_lease(run.server, LEASE_S, now)
        run.not_after = lease.until
        run.server.lease_until = max(run.server.lease_until, lease.until)
        simulation.world.cpu_of[run.key.job_id] = run.demand.cpu
        fate = simulation.fate()
        answered = []

        def arrive(at):
            outcome = fake.start(run, self.epoch, now + LEASE_S, at)

            def back(later):
                if self.is_closed or answered:
                    return
                answered.append(True)
                if outcome == orders.StartOutcome.FENCED:
                    self._fenced()
                else:
                    self.placer.runs.start_result(run, outcome, later)

            simulation.reply(fate, back)

        def give_up(later):
            if not answered and not self.is_closed:
                answered.append(True)
                unknown = orders.StartOutcome.UNKNOWN
                self.placer.runs.start_result(run, unknown, later)

        simulation.send(fate, arrive)
        simulation.at(now + ANSWER_S, give_up)

    def _stop(self, run, now):
        simulation = self.simulation
        fake = simulation.world.servers[run.server.id]
        fate = simulation.fate()

        def arrive(at):
            confirmed = fake.stop(run, self.epoch, at)

            def back(later):
                if not self.is_closed:
                    self.placer.runs.stop_result(run, confirmed, later)

            simulation.reply(fate, back)

        simulation.send(fate, arrive)


class Simulation:
    """A zone of a few backend servers under one virtual clock."""

    def __init__(self, seed, trouble):
        self.random = random.Random(seed)
        self.trouble = trouble
        self.world = fakeservers.FakeWorld()
        for index, cpu in enumerate((16000, 16000, 24000)):
            self.world.add(f"i-{index}", cpu)
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.owners = [Owner(self, 1, 0.0)]
        self.open = {}
        self.rate = 0.15  # jobs a tick; near the room of the servers
        self.rejected = set()

    def at(self, time, action):
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def fate(self):
        """Returns delays there and back; None for a lost answer."""
        there = 0.0005 + self.random.random() * 0.002
        if self.random.random() < self.trouble:
            kind = self.random.choice(("lost", "late", "no answer"))
            if kind == "lost":
                return None, None
            if kind == "late":
                return self.random.uniform(1.0, 4.0), None
            return there, None
        return there, there

    def send(self, fate, arrive):
        if fate[0] is not None:
            self.at(self.now + fate[0], arrive)

    def reply(self, fate, back):
        if fate[1] is not None:
            self.at(self.now + fate[1], back)

    def submit(self, submission, owner):
        self.open[submission.job_id] = (owner, submission)
        owner.placer.submit(submission, "entry", self.now)

    def answer(self, owner, order):
        held = self.open.get(order.job_id)
        if held is None or held[0] is not owner:
            return
        del self.open[order.job_id]
        if order.verdict == zonetables.Verdict.NOT_RUN:
            self.rejected.add(order.job_id)

    def lost(self, owner):
        """Hands the jobs of a fenced owner to its successor."""
        successor = self.owners[-1]
        if successor is owner:
            return
        self.hand_over(owner, successor)

    def hand_over(self, owner, successor):
        for held, submission in list(self.open.values()):
            if held is owner and self.random.random() < 0.2:
                # Its entry is gone too; nobody claims what runs of it.
                del self.open[submission.job_id]
                self.at(
                    self.now + 0.6,
                    lambda at, j=submission.job_id: owner.placer.cancel(
                        j, "entry", "entry lost", at
                    ),
                )
            elif held is owner:
                again = attrs.evolve(
                    submission, handovers=submission.handovers + 1
                )
                self.submit(again, successor)

    def leave(self, job_id):
        """The caller of a job leaves before its answer."""
        owner, _ = self.open.pop(job_id)
        owner.placer.cancel(job_id, "entry", "caller left", self.now)

    def reset_link(self):
        """The link of the entry breaks and its open jobs come again."""
        owner = self.owners[-1]
        # What the placer said before the break is not said afterwards.
        owner.tick(self.now)
        may_return = self.random.random() < 0.5
        owner.placer.drop_origin("entry", may_return, self.now)
        self.hand_over(owner, owner)

    def take_over(self):
        old = self.owners[-1]
        new = Owner(self, old.epoch + 1, self.now)
        self.owners.append(new)
        if self.random.random() < 0.5:
            cut = self.random.choice(list(self.world.servers))
            new.cut_off[cut] = self.now + self.random.uniform(0.2, 0.9)
        if self.random.random() < 0.5:
            old.is_closed = True
        else:
            # It only looks dead, and gives orders after its pause.
            old.paused_until = self.now + self.random.uniform(0, 2)
            for job_id, (held, _) in self.open.items():
                if held is old:
                    self.at(
                        self.now + 0.6,
                        lambda at, j=job_id: old.placer.cancel(
                            j, "entry", "handed on", at
                        ),
                    )
        self.hand_over(old, new)

    def run(self):
        ids = itertools.count(1)
        while self.now < END_S:
            if self.now < END_S - 2 and self.random.random() < self.rate:
                job_id = f"{next(ids):016x}"
                self.world.lengths[job_id] = self.random.choice(
                    (0.03, 0.1, 0.1, 0.5)
                )
                step = build.step(
                    self.random.choice((1, 2, 5)),
                    self.random.choice((5000, 7000, 10000)),
                )
                job = build.submission(job_id, step=step)
                if self.random.random() < 0.1:
                    self.world.failing.add(job_id)
                self.submit(job, self.owners[-1])
            if self.open and self.random.random() < 0.01:
                self.leave(self.random.choice(list(self.open)))
            if self.random.random() < 0.003:
                self.take_over()
            if self.random.random() < 0.005:
                self.reset_link()
            for owner in list(self.owners):
                owner.tick(self.now)
            until = self.now + TICK_S
            while self._events and self._events[0][0] <= until:
                time, _, action = heapq.heappop(self._events)
                self.now = max(self.now, time)
                action(self.now)
            self.now = until
            for server in self.world.servers.values():
                server.settle(self.now)
        return self


class PlacerPropertiesTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261204)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        trouble=strategies.sampled_from((0.0, 0.02, 0.1)),
    )
    def test_capacity_and_single_runs_hold(self, seed, trouble):
        simulation = Simulation(seed, trouble).run()
        self.assertEqual(simulation.world.broken, [])
        false_refusals = simulation.rejected & simulation.world.started
        self.assertEqual(false_refusals, set())

    def test_a_calm_zone_answers_all(self):
        simulation = Simulation(1, 0.0)
        simulation.take_over = lambda: None
        simulation.rate = 0.08
        simulation.run()
        self.assertEqual(simulation.world.broken, [])
        self.assertEqual(simulation.open, {})
        self.assertGreater(len(simulation.world.started), 15)


if __name__ == "__main__":
    unittest.main()
