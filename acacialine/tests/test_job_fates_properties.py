"""Cancellations and late copies of requests, at any dispatcher.

Two zones on one virtual clock, as in `test_kept_jobs`: placers are killed or
paused and replaced, links break with what is on its way, and orders are lost or
late. Clients cancel jobs at any dispatcher, and copies of requests arrive
seconds later. After a cancellation that was answered with success no task
starts, and a copy of an answered request starts none.
"""

import itertools
import os
import unittest

import hypothesis
from hypothesis import strategies

from acacialine import cancellations
from acacialine import intake as intake_lib
from acacialine import jobfates
from acacialine.tests import test_kept_jobs

EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "25"))
CANCEL_S = 3.0  # cancel_ms of the platform, its smallest value
ZONES = test_kept_jobs.ZONES


class Simulation(test_kept_jobs.Simulation):
    """Two zones that tell each other how jobs ended.

    Attributes:
        cancelled_at: When a cancellation of a job was answered with success.
        answered_at: When a client was told that its job had completed.
        started_at: When each run was first seen, by job.
        late_copies: Number of copies that arrived after the answer.
    """

    arrival_rate = 0.08
    cancel_rate = 0.4
    copy_rate = 0.5

    def __init__(self, seed, fault_rate):
        self.fates = {zone: jobfates.JobFates() for zone in ZONES}
        self.outboxes = {}
        self.cancelled_at = {}
        self.answered_at = {}
        self.started_at = {}
        self.late_copies = 0
        self._seen_runs = set()
        super().__init__(seed, fault_rate)

    # What placers tell

    def share_fate(self, owner, job_id, fate):
        outbox = self.outboxes.setdefault(owner, jobfates.Outbox())
        outbox.add(job_id, fate, self.now)

    def send_fates(self):
        for owner, outbox in list(self.outboxes.items()):
            if owner.is_closed or self.now < owner.paused_until:
                continue
            if outbox.is_due(self.now):
                to_zones, to_candidates = outbox.take()
                self.at(
                    self.now + test_kept_jobs.SHARE_DELAY_S,
                    lambda at, z=owner.zone, f=to_candidates: self.learn_fates(
                        z, f, None, at
                    ),
                )
                for zone in ZONES:
                    if zone != owner.zone:
                        self.at(
                            self.now + test_kept_jobs.SHARE_DELAY_S,
                            lambda at, z=zone, f=to_zones: self.learn_fates(
                                z, f, self.zones[z].owner, at
                            ),
                        )

    def learn_fates(self, zone, fates, owner, now):
        """Tells the candidates of a zone, or its placer, which relays it."""
        if owner is None:
            for key, fate in fates.items():
                self.fates[zone].record_key(key, fate, now)
        elif not owner.is_closed:
            owner.placer.apply_fates(fates, now)
            outbox = self.outboxes.setdefault(owner, jobfates.Outbox())
            outbox.relay(fates, now)

    def _own(self, zone_name, epoch, now):
        super()._own(zone_name, epoch, now)
        placer = self.zones[zone_name].owner.placer
        for key, fate in self.fates[zone_name].all_fates().items():
            placer.tables.fates.record_key(key, fate, now)

    # Clients

    def execute(self, dispatcher, order):
        match order:
            case cancellations.AskToCancel(peer_id, job_id):
                link = self.link_to(dispatcher, peer_id)
                self.send(
                    link,
                    lambda owner, at: self.reply(
                        link, peer_id, job_id, owner, at
                    ),
                )
            case _:
                super().execute(dispatcher, order)

    def reply(self, link, peer_id, job_id, owner, now):
        was_open = owner.placer.cancel_for_all(job_id, now)
        intake = self.intakes[link.dispatcher]
        self.send(
            link,
            lambda current, at: intake.cancellations.receive_reply(
                peer_id, job_id, was_open, at
            ),
        )

    def cancel(self, job_id):
        """Cancels a job at any dispatcher, whichever holds it."""

        def notify(outcome):
            if outcome is cancellations.Outcome.OPEN:
                self.cancelled_at.setdefault(job_id, self.now)

        intake = self.intakes[self.choose_dispatcher()]
        intake.cancel_for_all(job_id, notify, self.now)

    def prepare_job(self, job_id):
        if self.random.random() < self.cancel_rate:
            self.at(
                self.now + self.random.uniform(0.01, 2.0),
                lambda at: self.cancel(job_id),
            )

    def send_job(self, job, tries):
        super().send_job(job, tries)
        if tries > 1 and self.random.random() < self.copy_rate:
            self.at(
                self.now + self.random.uniform(1.3, 4.5),
                lambda at: self.send_copy(job),
            )

    def send_copy(self, job):
        """Sends a request again that was answered; waits until it was."""
        if job.job_id in self.answered_at:
            self.late_copies += 1
            super().send_job(job, 1)
        elif self.now < test_kept_jobs.END_S:
            self.at(
                self.now + self.random.uniform(0.3, 1.0),
                lambda at: self.send_copy(job),
            )

    # Time

    def tick(self):
        super().tick()
        self.send_fates()
        for job_id, kinds in self.answers.items():
            if intake_lib.AnswerKind.COMPLETED in kinds:
                self.answered_at.setdefault(job_id, self.now)

    def advance(self, seconds):
        super().advance(seconds)
        for server in self.server_pool.servers.values():
            for run in server.runs.values():
                run_id = (server.id, run.key, run.number)
                if run_id not in self._seen_runs:
                    self._seen_runs.add(run_id)
                    job_id = run.key.job_id
                    self.started_at.setdefault(job_id, []).append(
                        run.started_at
                    )

    def starts_after(self, times, seconds):
        """Returns the starts of jobs later than some time after an event."""
        return [
            (job_id, at, started_at)
            for job_id, at in times.items()
            for started_at in self.started_at.get(job_id, ())
            if started_at > at + seconds
        ]


class CalmSimulation(Simulation):
    """The same without losses of placers and links."""

    take_over_rate = 0.0
    break_rate = 0.0


class JobFatesPropertiesTest(unittest.TestCase):
    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261206)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        fault_rate=strategies.sampled_from((0.0, 0.05)),
    )
    @hypothesis.example(seed=0, fault_rate=0.0)
    @hypothesis.example(seed=616, fault_rate=0.0)
    @hypothesis.example(seed=715, fault_rate=0.05)
    @hypothesis.example(seed=737, fault_rate=0.0)
    @hypothesis.example(seed=765, fault_rate=0.05)
    def test_no_task_starts_after_a_cancellation(self, seed, fault_rate):
        simulation = Simulation(seed, fault_rate).run()
        late = simulation.starts_after(simulation.cancelled_at, CANCEL_S)
        self.assertEqual(late, [])
        self.assertEqual(simulation.server_pool.violations, [])

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261207)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_copies_of_answered_requests_start_nothing(self, seed):
        simulation = CalmSimulation(seed, 0.0).run()
        # A copy that arrives elsewhere before the batch may start once more.
        batch_s = jobfates.BATCH_INTERVAL_S + 2 * test_kept_jobs.TICK_S
        late = simulation.starts_after(simulation.answered_at, batch_s)
        self.assertEqual(late, [])
        late = simulation.starts_after(simulation.cancelled_at, 0.1)
        self.assertEqual(late, [])
        self.assertEqual(simulation.server_pool.violations, [])

    def test_no_job_is_refused_of_which_a_task_has_started(self):
        for seed in range(5):
            simulation = Simulation(seed, 0.05).run()
            refused = {
                job_id
                for job_id, refusals in simulation.refusals.items()
                if all(refusals)
            }
            # A copy that is still open at the end was not refused.
            for intake in simulation.intakes.values():
                refused -= intake.requests.keys()
            self.assertEqual(
                refused & simulation.server_pool.started_jobs, set()
            )

    def test_jobs_are_cancelled_and_copies_arrive(self):
        simulations = [Simulation(seed, 0.0).run() for seed in range(5)]
        cancelled = itertools.chain(*(s.cancelled_at for s in simulations))
        self.assertGreater(len(list(cancelled)), 10)
        self.assertGreater(sum(s.late_copies for s in simulations), 10)


if __name__ == "__main__":
    unittest.main()
