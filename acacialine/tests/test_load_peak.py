"""Placement and admission under a load that periodically exceeds capacity.

Three kinds of jobs arrive as on the heaviest day of the deployment of the
cooperative: the offered work exceeds the capacity of the zone at each peak of
a sinusoidal load. The share of jobs completed in time is compared with that
of earlier admission policies on the same arrivals and run times.
"""

import heapq
import itertools
import math
import random
import unittest
from unittest import mock

import attrs

from acacialine import leases
from acacialine import orders
from acacialine import placer as placer_lib
from acacialine import zoneadmission
from acacialine import zonetables
from acacialine.tests import zonebuilders as build
from acacialine.tools import fakeservers

TICK_S = 0.005
SIMULATED_S = 26.0  # two periods of the load
LOAD_PERIOD_S = 13.0
LOAD_AMPLITUDE = 0.55
JOBS_PER_S = 36.0  # mean of one zone in a burst of 1.3 on the heaviest day
# Relative frequency, tasks per job, task duration in s, priority.
JOB_KINDS = {
    "gate-check": (34.4, 8, 0.051, 0),
    "reroute-plan": (6.25, 4, 0.76, 2),
    "member-alert": (100.0, 2, 0.17, 1),
}


@attrs.define
class Outcome:
    """Counts of the answers to the jobs of one kind."""

    submitted: int = 0
    in_time: int = 0
    refused: int = 0
    late: int = 0


class LoadSimulation:
    """One zone under the sinusoidal load, on a virtual clock."""

    def __init__(self, seed, late_share, full_late_share):
        self.random = random.Random(seed)
        self.server_pool = fakeservers.FakeServerPool()
        sizes = (16000, 16000, 24000, 16000, 16000, 24000, 16000, 24000)
        for index, cpu in enumerate(sizes):
            self.server_pool.add(f"i-{index}", cpu)
        self.placer = placer_lib.new_placer("zone-a", late_share, 0.0)
        announced = [
            build.server(s.id, s.cpu) for s in self.server_pool.servers.values()
        ]
        self.placer.runs.apply_servers(announced, 0.0)
        self.full_late_share = full_late_share
        self.outcomes = {kind: Outcome() for kind in JOB_KINDS}
        self.objectives = {}
        self.arrivals = list(self._arrivals())

    def _arrivals(self):
        ids = itertools.count(1)
        now = 0.0
        weights = [k[0] for k in JOB_KINDS.values()]
        while now < SIMULATED_S - 3:
            load_factor = 1 + LOAD_AMPLITUDE * math.sin(
                2 * math.pi * now / LOAD_PERIOD_S
            )
            now += self.random.expovariate(JOBS_PER_S * load_factor)
            kind = self.random.choices(list(JOB_KINDS), weights)[0]
            _, width, length_s, priority = JOB_KINDS[kind]
            count = max(1, round(self.random.lognormvariate(0, 0.4) * width))
            length_s *= self.random.lognormvariate(0, 0.4)
            if self.random.random() < 0.03:
                length_s *= 7
            job_id = f"{next(ids):016x}"
            self.server_pool.job_length_s[job_id] = length_s
            declared_s = length_s * self.random.lognormvariate(0, 0.35)
            cpu = round(self.random.uniform(4500, 9000))
            queue = build.queue(name=kind, priority=priority, max_attempts=3)
            job = build.submission(
                job_id,
                queue=queue,
                step=build.step(count, cpu, declared_s),
                left_s=2.5,
            )
            yield now, kind, job, 1.6 * length_s + 0.06

    def run(self):
        arrivals = iter([*self.arrivals, (math.inf, None, None, None)])
        next_at, kind, job, objective_s = next(arrivals)
        now = 0.0
        polls = [(0.0, s) for s in sorted(self.server_pool.servers)]
        with mock.patch.object(
            zoneadmission, "FULL_LATE_SHARE", self.full_late_share
        ):
            while now < SIMULATED_S:
                now += TICK_S
                while polls[0][0] <= now:
                    _, server_id = heapq.heappop(polls)
                    heapq.heappush(polls, (now + 0.01, server_id))
                    self._poll(server_id, now)
                while next_at <= now:
                    self.outcomes[kind].submitted += 1
                    self.objectives[job.job_id] = (kind, next_at + objective_s)
                    self.placer.submit(job, "dispatcher", now)
                    next_at, kind, job, objective_s = next(arrivals)
                self.placer.tick(now)
                self._execute(now)
        return self

    def _poll(self, server_id, now):
        server = self.placer.tables.servers[server_id]
        fake = self.server_pool.servers[server_id]
        server.lease_until = now + 1.0
        observation = fake.poll(1, server.last_ended_seq, now + 1.0, now)
        leases.observe_clock(server, observation.server_clock_ms, now)
        # Reports progress at every poll, so that no run counts as stalled.
        progressing = tuple(
            attrs.evolve(row, percent=round(now * 1000))
            for row in observation.running
        )
        self.placer.runs.apply_poll(
            server, attrs.evolve(observation, running=progressing), now, now
        )

    def _execute(self, now):
        for order in self.placer.take_orders():
            match order:
                case orders.StartRun(run):
                    self.server_pool.job_cpu[run.key.job_id] = run.demand.cpu
                    fake = self.server_pool.servers[run.server.id]
                    outcome = fake.start(run, 1, now + 1.0, now)
                    self.placer.runs.handle_start_result(run, outcome, now)
                case orders.StopRun(run):
                    fake = self.server_pool.servers[run.server.id]
                    self.placer.runs.handle_stop_result(
                        run, fake.stop(run, 1, now), now
                    )
                case orders.AnswerJob(_, job_id, verdict):
                    self._answer(job_id, verdict, now)

    def _answer(self, job_id, verdict, now):
        kind, objective_at = self.objectives.pop(job_id)
        outcome = self.outcomes[kind]
        if verdict != zonetables.Verdict.COMPLETED:
            outcome.refused += 1
        elif now <= objective_at:
            outcome.in_time += 1
        else:
            outcome.late += 1

    def in_time(self):
        """Returns the share of jobs completed in time, averaged over kinds."""
        shares = [o.in_time / o.submitted for o in self.outcomes.values()]
        return sum(shares) / len(shares)


class LoadPeakTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.seeds = (1, 2)
        cls.simulations = [
            LoadSimulation(s, 0.6, -0.25).run() for s in cls.seeds
        ]

    def mean(self, simulations):
        return sum(s.in_time() for s in simulations) / len(simulations)

    def test_more_jobs_end_in_time_than_under_earlier_policies(self):
        accept_all = [LoadSimulation(s, 1e6, 1e6).run() for s in self.seeds]
        fixed_share = [LoadSimulation(s, 0.3, 0.3).run() for s in self.seeds]
        in_time_share = self.mean(self.simulations)
        self.assertGreater(in_time_share, self.mean(accept_all) + 0.1)
        self.assertGreater(in_time_share, self.mean(fixed_share) + 0.05)

    def test_no_server_exceeds_its_capacity(self):
        for simulation in self.simulations:
            self.assertEqual(simulation.server_pool.violations, [])

    def test_slowness_and_estimate_ratio_do_not_drift(self):
        # Only the product of the two factors is observed, and they drifted
        # apart: slowness to 2, the ratio to 0.6 within half a minute.
        for simulation in self.simulations:
            tables = simulation.placer.tables
            for server in tables.servers.values():
                self.assertLess(abs(server.slowness - 1), 0.4)
            for name, ratio in tables.estimate_ratio.items():
                self.assertLess(abs(ratio - 1), 0.4, name)


if __name__ == "__main__":
    unittest.main()
