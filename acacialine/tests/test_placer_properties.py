"""Randomized simulation of placers with lost and late messages.

Placers own the same backend servers one after the other or at the same time;
orders and responses are lost, and orders arrive seconds late. No server may
exceed its capacity, no task may run twice at once, and no job answered as not
run may have a started task. All run on one virtual clock.
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
ANSWER_TIMEOUT_S = 0.25
LEASE_S = 1.0
EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "60"))


class Owner:
    """One placer and its simulated connections to the backend servers."""

    def __init__(self, simulation, epoch, now):
        self.simulation = simulation
        self.epoch = epoch
        self.placer = placer_lib.new_placer("zone-a", 0.3, now)
        self.paused_until = 0.0
        self.last_tick = now
        self.is_closed = False
        self.next_poll = {}
        self.unreachable_until = {}
        announced = [
            build.server(s.id, s.cpu)
            for s in simulation.server_pool.servers.values()
        ]
        self.placer.runs.apply_servers(announced, now)

    def tick(self, now):
        if self.is_closed or now < self.paused_until:
            return
        if now - self.last_tick > 0.4:
            self.placer.handle_process_pause(now)
        self.last_tick = now
        for server in list(self.placer.tables.servers.values()):
            if now < self.unreachable_until.get(server.id, 0.0):
                continue
            if now >= self.next_poll.get(server.id, 0.0):
                self.next_poll[server.id] = now + 0.1
                self._poll(server, now)
        self.placer.tick(now)
        for order in self.placer.take_orders():
            match order:
                case orders.StartRun(run):
                    self._start(run, now)
                case orders.StopRun(run):
                    self._stop(run, now)
                case orders.AnswerJob():
                    self.simulation.answer(self, order)

    def _handle_fenced(self):
        self.is_closed = True
        self.simulation.hand_over_fenced(self)

    def _poll(self, server, now):
        simulation = self.simulation
        fake = simulation.server_pool.servers[server.id]
        until = 0.0
        if server.clock_at and server.runs:
            lease = leases.new_lease(server, LEASE_S, now)
            server.lease_until = max(server.lease_until, lease.ends_by)
            until = now + LEASE_S
        delays = simulation.draw_delays()
        last_ended_seq = server.last_ended_seq

        def deliver(arrived_at):
            observation = fake.poll(
                self.epoch, last_ended_seq, until, arrived_at
            )

            def on_reply(received_at):
                if self.is_closed:
                    return
                if observation is None:
                    self._handle_fenced()
                    return
                leases.observe_clock(
                    server, observation.server_clock_ms, received_at
                )
                self.placer.runs.apply_poll(
                    server, observation, now, received_at
                )

            simulation.send_reply(delays, on_reply)

        simulation.send_request(delays, deliver)

    def _start(self, run, now):
        simulation = self.simulation
        fake = simulation.server_pool.servers[run.server.id]
        lease = leases.new_lease(run.server, LEASE_S, now)
        run.not_after = lease.ends_by
        run.server.lease_until = max(run.server.lease_until, lease.ends_by)
        simulation.server_pool.job_cpu[run.key.job_id] = run.demand.cpu
        delays = simulation.draw_delays()
        has_outcome = []

        def deliver(arrived_at):
            outcome = fake.start(run, self.epoch, now + LEASE_S, arrived_at)

            def on_reply(received_at):
                if self.is_closed or has_outcome:
                    return
                has_outcome.append(True)
                if outcome == orders.StartOutcome.FENCED:
                    self._handle_fenced()
                else:
                    self.placer.runs.handle_start_result(
                        run, outcome, received_at
                    )

            simulation.send_reply(delays, on_reply)

        def time_out(at):
            if not has_outcome and not self.is_closed:
                has_outcome.append(True)
                unknown = orders.StartOutcome.UNKNOWN
                self.placer.runs.handle_start_result(run, unknown, at)

        simulation.send_request(delays, deliver)
        simulation.at(now + ANSWER_TIMEOUT_S, time_out)

    def _stop(self, run, now):
        simulation = self.simulation
        fake = simulation.server_pool.servers[run.server.id]
        delays = simulation.draw_delays()

        def deliver(arrived_at):
            confirmed = fake.stop(run, self.epoch, arrived_at)

            def on_reply(received_at):
                if not self.is_closed:
                    self.placer.runs.handle_stop_result(
                        run, confirmed, received_at
                    )

            simulation.send_reply(delays, on_reply)

        simulation.send_request(delays, deliver)


class Simulation:
    """A zone of three backend servers and its successive placers."""

    def __init__(self, seed, fault_rate):
        self.random = random.Random(seed)
        self.fault_rate = fault_rate
        self.server_pool = fakeservers.FakeServerPool()
        for index, cpu in enumerate((16000, 16000, 24000)):
            self.server_pool.add(f"i-{index}", cpu)
        self.now = 0.0
        self._events = []
        self._event_numbers = itertools.count()
        self.owners = [Owner(self, 1, 0.0)]
        self.open_jobs = {}
        self.arrivals_per_tick = 0.15  # close to the capacity of the servers
        self.not_run = set()

    def at(self, time, action):
        heapq.heappush(self._events, (time, next(self._event_numbers), action))

    def draw_delays(self):
        """Returns the delays of a request and its reply; None if lost."""
        request_delay_s = 0.0005 + self.random.random() * 0.002
        if self.random.random() < self.fault_rate:
            fault = self.random.choice(("lost", "late", "no answer"))
            if fault == "lost":
                return None, None
            if fault == "late":
                return self.random.uniform(1.0, 4.0), None
            return request_delay_s, None
        return request_delay_s, request_delay_s

    def send_request(self, delays, deliver):
        if delays[0] is not None:
            self.at(self.now + delays[0], deliver)

    def send_reply(self, delays, on_reply):
        if delays[1] is not None:
            self.at(self.now + delays[1], on_reply)

    def submit(self, submission, owner):
        self.open_jobs[submission.job_id] = (owner, submission)
        owner.placer.submit(submission, "dispatcher", self.now)

    def answer(self, owner, order):
        open_job = self.open_jobs.get(order.job_id)
        if open_job is None or open_job[0] is not owner:
            return
        del self.open_jobs[order.job_id]
        if order.verdict == zonetables.Verdict.NOT_RUN:
            self.not_run.add(order.job_id)

    def hand_over_fenced(self, owner):
        """Hands the jobs of a fenced owner to its successor."""
        successor = self.owners[-1]
        if successor is owner:
            return
        self.hand_over(owner, successor)

    def hand_over(self, owner, successor):
        for holder, submission in list(self.open_jobs.values()):
            if holder is owner and self.random.random() < 0.2:
                # Its dispatcher is lost too, so no job claims its runs.
                del self.open_jobs[submission.job_id]
                self.at(
                    self.now + 0.6,
                    lambda at, j=submission.job_id: owner.placer.cancel(
                        j, "dispatcher", "dispatcher lost", at
                    ),
                )
            elif holder is owner:
                resubmission = attrs.evolve(
                    submission, handovers=submission.handovers + 1
                )
                self.submit(resubmission, successor)

    def abandon_job(self, job_id):
        """Cancels a job whose client leaves before the answer."""
        owner, _ = self.open_jobs.pop(job_id)
        owner.placer.cancel(job_id, "dispatcher", "client left", self.now)

    def reset_link(self):
        """Breaks the dispatcher's link and resubmits its open jobs."""
        owner = self.owners[-1]
        # Answers given before the break are sent before it, not after.
        owner.tick(self.now)
        may_return = self.random.random() < 0.5
        owner.placer.remove_origin("dispatcher", may_return, self.now)
        self.hand_over(owner, owner)

    def take_over(self):
        predecessor = self.owners[-1]
        successor = Owner(self, predecessor.epoch + 1, self.now)
        self.owners.append(successor)
        if self.random.random() < 0.5:
            unreachable_id = self.random.choice(list(self.server_pool.servers))
            successor.unreachable_until[unreachable_id] = (
                self.now + self.random.uniform(0.2, 0.9)
            )
        if self.random.random() < 0.5:
            predecessor.is_closed = True
        else:
            # It was only paused and continues to give orders afterwards.
            predecessor.paused_until = self.now + self.random.uniform(0, 2)
            for job_id, (holder, _) in self.open_jobs.items():
                if holder is predecessor:
                    self.at(
                        self.now + 0.6,
                        lambda at, j=job_id: predecessor.placer.cancel(
                            j, "dispatcher", "handed over", at
                        ),
                    )
        self.hand_over(predecessor, successor)

    def run(self):
        ids = itertools.count(1)
        while self.now < END_S:
            if (
                self.now < END_S - 2
                and self.random.random() < self.arrivals_per_tick
            ):
                job_id = f"{next(ids):016x}"
                self.server_pool.job_length_s[job_id] = self.random.choice(
                    (0.03, 0.1, 0.1, 0.5)
                )
                step = build.step(
                    self.random.choice((1, 2, 5)),
                    self.random.choice((5000, 7000, 10000)),
                )
                job = build.submission(job_id, step=step)
                if self.random.random() < 0.1:
                    self.server_pool.failing_jobs.add(job_id)
                self.submit(job, self.owners[-1])
            if self.open_jobs and self.random.random() < 0.01:
                self.abandon_job(self.random.choice(list(self.open_jobs)))
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
            for server in self.server_pool.servers.values():
                server.end_due_runs(self.now)
        return self


class PlacerPropertiesTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261204)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        fault_rate=strategies.sampled_from((0.0, 0.02, 0.1)),
    )
    def test_no_server_is_overcommitted_and_no_task_runs_twice(
        self, seed, fault_rate
    ):
        simulation = Simulation(seed, fault_rate).run()
        self.assertEqual(simulation.server_pool.violations, [])
        false_refusals = (
            simulation.not_run & simulation.server_pool.started_jobs
        )
        self.assertEqual(false_refusals, set())

    def test_a_zone_without_faults_answers_all_jobs(self):
        simulation = Simulation(1, 0.0)
        simulation.take_over = lambda: None
        simulation.arrivals_per_tick = 0.08
        simulation.run()
        self.assertEqual(simulation.server_pool.violations, [])
        self.assertEqual(simulation.open_jobs, {})
        self.assertGreater(len(simulation.server_pool.started_jobs), 15)


if __name__ == "__main__":
    unittest.main()
