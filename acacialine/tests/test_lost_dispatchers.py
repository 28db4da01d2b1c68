"""Dispatchers that die with the requests of their clients.

Two zones on one virtual clock, as in `test_kept_jobs`, whose dispatchers are
killed or fall silent, alone or with the placer of their zone, and are
replaced by empty ones. Stop orders are lost, late or unanswered while polls
renew the leases. The clients send their jobs again 1.3 s later, to any
dispatcher that lives. No task may run twice at once.
"""

import collections
import os
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from acacialine import intake as intake_lib
from acacialine.tests import test_kept_jobs
from acacialine.tests import zonebuilders as build

EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "25"))
ZONES = test_kept_jobs.ZONES
RETRY_DELAY_S = test_kept_jobs.RETRY_DELAY_S
SUSPECT_AFTER_S = 0.7  # silence of a dispatcher until its jobs are shared


@attrs.frozen
class Faults:
    """Which faults a simulation draws.

    Attributes:
        stop_rate: Share of the stop orders that fail; polls work.
        outage_rate: Chance in a tick that no stop orders reach a backend
            server for some time; polls do.
        killed_rate: Chance in a tick that a dispatcher is killed.
        silent_rate: Chance in a tick that a dispatcher falls silent.
        placer_share: Share of these that take the placer of the zone along.
        share_loss_rate: Share of the messages between placers that are lost.
        has_cuts: Whether the zones are cut off from each other at times.
        take_over_rate: Chance in a tick of a new placer, its predecessor
            being killed or paused.
        break_rate: Chance in a tick that a link breaks.
    """

    stop_rate: float = 0.0
    outage_rate: float = 0.0
    killed_rate: float = 0.0
    silent_rate: float = 0.0
    placer_share: float = 0.0
    share_loss_rate: float = 0.0
    has_cuts: bool = False
    take_over_rate: float = 0.0
    break_rate: float = 0.0


ALL_FAULTS = Faults(
    stop_rate=0.3,
    outage_rate=0.01,
    killed_rate=0.004,
    silent_rate=0.004,
    placer_share=0.5,
    take_over_rate=0.003,
    break_rate=0.01,
)


CUTS = Faults(stop_rate=0.3, outage_rate=0.02, has_cuts=True)


class Simulation(test_kept_jobs.Simulation):
    """Two zones whose dispatchers die and are replaced.

    Attributes:
        faults: The faults to draw.
        history: What happened to each job, as pairs of a time and a text.
        zone_history: The same for dispatchers and placers.
        death_counts: Number of deaths by kind.
        stop_counts: Number of stop orders by what happens to them.
        replaced_after_s: Shortest and longest time without a dispatcher.
        succeeded_after_s: The same for a placer that died with it.
        silence_s: The same until a placer notices that it is silent.
    """

    arrival_rate = 0.1
    leave_rate = 0.25
    replaced_after_s = (0.05, 2.0)
    succeeded_after_s = (0.05, 1.0)
    silence_s = (1.0, 1.15)

    def __init__(self, seed, faults):
        super().__init__(seed, 0.0)
        self.faults = faults
        self.take_over_rate = faults.take_over_rate
        self.break_rate = faults.break_rate
        self.server_pool.shows_progress = True
        self.dead = set()
        self.cut_until = 0.0
        self.outage_until = {}
        self.history = collections.defaultdict(list)
        self.zone_history = []
        self.death_counts = collections.Counter()
        self.stop_counts = collections.Counter()
        self._noted_runs = set()

    # Records

    def note(self, job_id, text):
        self.history[job_id].append((self.now, text))

    def note_zone(self, text):
        self.zone_history.append((self.now, text))

    def note_runs(self):
        """Notes the runs that have begun or ended since the last call."""
        listed = {
            (server.id, run.key, run.number)
            for server in self.server_pool.servers.values()
            for run in server.runs.values()
        }
        for server_id, key, number in listed - self._noted_runs:
            self.note(key.job_id, f"run {number} of {key} is on {server_id}")
        for server_id, key, number in self._noted_runs - listed:
            self.note(key.job_id, f"run {number} of {key} left {server_id}")
        self._noted_runs = listed

    def describe_violations(self):
        """Returns the violations with the history of their jobs."""
        lines = []
        for violation in self.server_pool.violations:
            lines.append(violation)
            for job_id, notes in self.history.items():
                if job_id in violation:
                    first, last = notes[0][0] - 1, notes[-1][0]
                    zone_notes = [
                        (time, f"* {text}")
                        for time, text in self.zone_history
                        if first <= time <= last
                    ]
                    lines += [
                        f"    {time:.3f} {text}"
                        for time, text in sorted(notes + zone_notes)
                    ]
        return "\n".join(lines)

    # Faults

    def draw_stop_fault(self, server_id):
        if self.now < self.outage_until.get(server_id, 0.0):
            return "lost"
        if self.random.random() < self.faults.stop_rate:
            return self.random.choice(("lost", "late", "no answer"))
        return "none"

    def draw_stop_delays(self, run):
        delays = self.draw_delays()
        fault = self.draw_stop_fault(run.server.id)
        self.stop_counts[fault] += 1
        fake_server = self.server_pool.servers[run.server.id]
        self.stop_counts["beside others"] += len(fake_server.runs) > 1
        self.note(
            run.key.job_id,
            f"stop of run {run.number} of {run.key} on {run.server.id},"
            f" fault: {fault}",
        )
        match fault:
            case "lost":
                return None, None
            case "late":
                return self.random.uniform(1.0, 4.0), None
            case "no answer":
                return delays[0], None
        return delays

    def is_up(self, link):
        return link.dispatcher not in self.dead and super().is_up(link)

    def tick_intake(self, dispatcher):
        if dispatcher not in self.dead:
            super().tick_intake(dispatcher)

    def execute(self, dispatcher, order):
        match order:
            case intake_lib.HandOverJob(placer, submission):
                text = f"handed to {placer.peer_id} by {dispatcher}"
                self.note(submission.job_id, text)
            case intake_lib.CancelJob() | intake_lib.KeepJob():
                self.note(order.job_id, f"{dispatcher}: {order}")
            case intake_lib.AnnounceKeptJob():
                self.note(order.job_id, f"{dispatcher}: {order}")
        super().execute(dispatcher, order)

    def lose_dispatcher(self, dispatcher, is_silent, takes_placer):
        """Ends a dispatcher; its clients send their jobs again."""
        kind = "silent" if is_silent else "killed"
        self.death_counts[kind] += 1
        self.note_zone(f"{kind}: dispatcher of {dispatcher}")
        self.death_counts["with placer"] += takes_placer
        self.dead.add(dispatcher)
        self._lose_clients(dispatcher, is_silent)
        if takes_placer:
            self.lose_placer(dispatcher)
        for link in self.links.values():
            if link.dispatcher == dispatcher:
                self._lose_link(link, is_silent)
        self.at(
            self.now + self.random.uniform(*self.replaced_after_s),
            lambda at: self.replace_dispatcher(dispatcher),
        )

    def _lose_clients(self, dispatcher, is_silent):
        """Lets the clients notice, at once or when they get no answer."""
        requests = self.intakes[dispatcher].requests
        for job_id, request in requests.items():
            for notify in request.callbacks:
                notices_at = self.now
                if is_silent and self.random.random() < 0.5:
                    notices_at = max(
                        self.now,
                        request.deadline_at + intake_lib.DEADLINE_MARGIN_S,
                    )
                text = f"its client notices at {notices_at:.3f}"
                self.note(job_id, text)
                self.refusals.setdefault(job_id, []).append(False)
                self.at(
                    notices_at,
                    lambda at, job_client=self.clients[notify]: self.send_again(
                        *job_client
                    ),
                )
        requests.clear()

    def _lose_link(self, link, is_silent):
        session = link.session
        link.generation += 1
        owners = [self.zones[link.zone].owner, *self.former_owners]
        for owner in owners:
            if owner is None or owner.is_closed or owner.zone != link.zone:
                continue
            if not is_silent:
                owner.placer.remove_origin(session, False, self.now)
                continue
            silent_s = self.random.uniform(*self.silence_s)
            self.at(
                self.now + silent_s + SUSPECT_AFTER_S - 1.0,
                lambda at, o=owner: self.suspect_origin(o, session, at),
            )
            self.at(
                self.now + silent_s,
                lambda at, o=owner: self._remove_silent(o, session, at),
            )

    def _remove_silent(self, owner, session, now):
        if not owner.is_closed:
            owner.placer.remove_origin(session, True, now)

    def suspect_origin(self, owner, session, now):
        """Lets a placer notice that a dispatcher may be lost."""
        if not owner.is_closed and now >= owner.paused_until:
            owner.placer.set_suspect(session, True, now)

    def lose_placer(self, zone_name):
        """Ends the process of a placer; a successor knows no unclaimed jobs."""
        zone = self.zones[zone_name]
        former = zone.owner
        if former is None:
            return
        self.note_zone(f"placer of {zone_name} dies")
        former.is_closed = True
        zone.lose_owner(self.now)
        if self.random.random() < 0.5:
            self.lose_candidates(zone_name)
        for link in self.links.values():
            if link.zone == zone_name:
                link.generation += 1
        self.at(
            self.now + self.random.uniform(*self.succeeded_after_s),
            lambda at: self._own(zone_name, former.epoch + 1, at),
        )

    def lose_candidates(self, zone_name):
        """Loses all dispatchers that know the jobs of a zone."""
        self.zones[zone_name].known_jobs = {}
        self.zones[zone_name].has_candidate = False

    def take_over(self, zone_name):
        self.note_zone(f"placer of {zone_name} is killed or paused")
        super().take_over(zone_name)

    def _own(self, zone_name, epoch, now):
        super()._own(zone_name, epoch, now)
        unreachable = self.zones[zone_name].owner.unreachable_until
        self.note_zone(f"new placer of {zone_name}, unreachable: {unreachable}")

    def break_link(self, link):
        self.note_zone(f"link {link.session} breaks")
        super().break_link(link)

    def replace_dispatcher(self, dispatcher):
        self.dead.discard(dispatcher)
        self.intakes[dispatcher] = intake_lib.Intake(dispatcher)

    def cut_zones(self, seconds):
        """Cuts the zones off from each other."""
        self.note_zone(f"the zones are cut off for {seconds:.3f} s")
        self.cut_until = self.now + seconds
        for link in self.links.values():
            if link.dispatcher != link.zone:
                self.break_link(link)
                link.down_until = self.cut_until

    # Messages between placers

    def zones_told(self, owner):
        if self.now < self.cut_until:
            return []
        return [
            zone
            for zone in super().zones_told(owner)
            if self.random.random() >= self.faults.share_loss_rate
        ]

    def learn(self, zone, job_id, running_zone, now):
        """Delivers to a zone that another one may run a job."""
        self.note(job_id, f"{zone} learns that {running_zone} may run it")
        super().learn(zone, job_id, running_zone, now)

    # Clients

    def build_job(self, job_id):
        return build.submission(
            job_id,
            step=build.step(
                self.random.choice((1, 2)),
                estimate_s=self.server_pool.job_length_s[job_id],
            ),
            left_s=self.random.choice((0.6, 3.0, 4.0)),
            queue=build.queue(target_latency_s=2.0),
        )

    def choose_dispatcher(self):
        return self.random.choice([z for z in ZONES if z not in self.dead])

    def send_job(self, job, tries):
        if len(self.dead) == len(ZONES):
            self.send_again(job, tries + 1)
            return
        self.note(job.job_id, "the client sends the job")
        super().send_job(job, tries)

    def leave(self, intake, job, notify, tries):
        request = intake.requests.get(job.job_id)
        if request is not None and notify in request.callbacks:
            self.note(job.job_id, "the client leaves")
        super().leave(intake, job, notify, tries)

    # Time

    def draw_deaths(self):
        """Draws what dies in this tick."""
        faults = self.faults
        for is_silent, rate in (
            (False, faults.killed_rate),
            (True, faults.silent_rate),
        ):
            living = [z for z in ZONES if z not in self.dead]
            if living and self.random.random() < rate:
                self.lose_dispatcher(
                    self.random.choice(living),
                    is_silent,
                    self.random.random() < faults.placer_share,
                )
        if faults.outage_rate and self.random.random() < faults.outage_rate:
            server_id = self.random.choice(list(self.server_pool.servers))
            until = self.now + self.random.uniform(0.2, 2.5)
            self.outage_until[server_id] = until
            self.note_zone(f"no stops reach {server_id} until {until:.3f}")
        if faults.has_cuts and self.random.random() < 0.003:
            self.cut_zones(self.random.uniform(0.1, 6.0))

    def advance(self, seconds):
        self.draw_deaths()
        super().advance(seconds)
        self.note_runs()


def draw_faults(seed):
    """Returns all faults, with rates that depend on the seed."""
    return attrs.evolve(
        ALL_FAULTS,
        stop_rate=(0.0, 0.3, 0.6)[seed % 3],
        share_loss_rate=(0.0, 0.2)[seed // 3 % 2],
    )


class _NoChance:
    """Draws no faults and the middle of each range."""

    def random(self):
        return 0.999

    def uniform(self, first, last):
        return (first + last) / 2

    def choice(self, options):
        return options[0]


class ScriptedSimulation(Simulation):
    """The same two zones with only the faults that a test asks for.

    Attributes:
        stops_lost_until: Until when all stop orders are lost.
        unreachable_until: Until when new placers don't reach a server, by id.
        paused_until: Until when a dispatcher is paused, by zone.
        target: The dispatcher that clients reach.
    """

    def __init__(self):
        super().__init__(0, Faults())
        self.random = _NoChance()
        self.stops_lost_until = 0.0
        self.unreachable_until = {}
        self.paused_until = {}
        self.target = ZONES[0]
        self.run_until(0.2)

    def draw_stop_fault(self, server_id):
        return "lost" if self.now < self.stops_lost_until else "none"

    def _own(self, zone_name, epoch, now):
        super()._own(zone_name, epoch, now)
        owner = self.zones[zone_name].owner
        owner.unreachable_until.update(self.unreachable_until)

    def choose_dispatcher(self):
        return self.target

    def tick_intake(self, dispatcher):
        if self.now >= self.paused_until.get(dispatcher, 0.0):
            super().tick_intake(dispatcher)

    def send(self, link, deliver):
        if link.dispatcher == link.zone or self.now >= self.cut_until:
            super().send(link, deliver)

    def cut_zones_silently(self, seconds):
        """Loses what the zones tell each other; their links stay open."""
        self.cut_until = self.now + seconds

    def run_until(self, until):
        while self.now < until - 1e-6:
            self.tick()

    def submit(self, zone, job_id, left_s=4.0, length_s=2.5, latency_s=0.06):
        """Sends a job of one task; its client tries three times."""
        self.target = zone
        self.server_pool.job_length_s[job_id] = length_s
        job = build.submission(
            job_id,
            step=build.step(1),
            left_s=left_s,
            queue=build.queue(target_latency_s=latency_s),
        )
        self.send_job(job, 3)
        return job

    def suspend_placer(self, zone_name, seconds, succeeded_after_s):
        """Suspends a placer; a successor takes over meanwhile."""
        zone = self.zones[zone_name]
        former = zone.owner
        zone.lose_owner(self.now)
        former.paused_until = self.now + seconds
        self.former_owners.append(former)
        for link in self.links.values():
            if link.zone == zone_name:
                link.generation += 1
        self.at(
            self.now + succeeded_after_s,
            lambda at: self._own(zone_name, former.epoch + 1, at),
        )

    def lose_zone(self, zone_name):
        """Kills all dispatchers of a zone; the next ones know nothing."""
        self.lose_dispatcher(zone_name, False, True)
        self.lose_candidates(zone_name)

    def leave_now(self, job):
        """Lets the client of a job leave."""
        intake = self.intakes[self.target]
        request = intake.requests[job.job_id]
        self.leave(intake, job, request.callbacks[0], 3)


JOB = "00000000000000aa"
NEIGHBOUR = "00000000000000bb"


class ScriptedTestCase(unittest.TestCase):
    def setUp(self):
        self.simulation = ScriptedSimulation()

    def check(self, until=3.5):
        self.simulation.run_until(until)
        self.assertIn(JOB, self.simulation.server_pool.started_jobs)
        text = self.simulation.describe_violations()
        self.assertEqual(self.simulation.server_pool.violations, [], text)


class LostRunsTest(ScriptedTestCase):
    """Runs that live on while their job starts in another zone.

    The client sends its job again 1.3 s after it left or its dispatcher died.
    """

    def test_a_cancelled_run_whose_neighbour_renews_its_lease(self):
        simulation = self.simulation
        job = simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.run_until(0.6)
        simulation.stops_lost_until = 2.2
        simulation.leave_now(job)
        simulation.target = "zone-b"
        self.check()

    def test_a_killed_dispatcher_whose_run_has_a_neighbour(self):
        simulation = self.simulation
        simulation.replaced_after_s = (0.05, 0.05)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.stops_lost_until = 2.0
        simulation.lose_dispatcher("zone-a", False, False)
        simulation.run_until(0.6)
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.target = "zone-b"
        self.check()

    def test_a_job_answered_504_in_a_cut_off_zone_whose_stops_are_lost(self):
        # The lease of its server was renewed for the neighbour, so the job
        # still ran when its client sent it to the other zone.
        simulation = self.simulation
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.run_until(0.3)
        simulation.submit("zone-a", JOB, left_s=0.8)
        simulation.run_until(0.4)
        simulation.cut_zones(4.0)
        simulation.stops_lost_until = 4.0
        simulation.target = "zone-b"
        self.check(until=4.0)

    def test_a_dispatcher_that_is_paused_after_its_504(self):
        # Its placer renewed the lease of the kept job on its word until it took
        # that back, by when the client had sent the job to the other zone
        # (review/6 with a dispatcher that is paused).
        simulation = self.simulation
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.run_until(0.3)
        simulation.cut_zones_silently(4.0)
        simulation.stops_lost_until = 4.0
        simulation.submit("zone-a", JOB, left_s=0.8)
        simulation.run_until(1.08)
        self.assertEqual(len(simulation.answers[JOB]), 1)
        simulation.paused_until["zone-a"] = 1.98
        simulation.target = "zone-b"
        self.check(until=4.0)

    def test_a_successor_that_lists_a_cancelled_run(self):
        # It renewed the lease until the adoption timeout, by when the client
        # was about to send the job to the other zone (review/6 with a placer
        # that is paused and is succeeded).
        simulation = self.simulation
        simulation.succeeded_after_s = (0.1, 0.1)
        simulation.submit("zone-a", NEIGHBOUR)
        simulation.run_until(0.3)
        simulation.cut_zones(5.0)
        simulation.stops_lost_until = 4.0
        simulation.submit("zone-a", JOB, left_s=0.8)
        simulation.run_until(1.5)
        self.assertEqual(len(simulation.answers[JOB]), 1)
        simulation.lose_placer("zone-a")
        simulation.target = "zone-b"
        self.check(until=4.0)

    def test_a_silent_dispatcher_of_a_cut_off_zone_whose_stops_are_lost(self):
        # Its placer renewed the leases until it took the dispatcher for lost
        # (KNOWN-RED 53).
        simulation = self.simulation
        simulation.cut_zones(5.0)
        simulation.stops_lost_until = 4.0
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.6)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.target = "zone-b"
        self.check()

    def test_a_silent_dispatcher_and_one_lost_stop(self):
        simulation = self.simulation
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.silence_s = (1.15, 1.15)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.stops_lost_until = 1.65
        simulation.target = "zone-b"
        self.check()

    def test_a_silent_dispatcher_whose_placer_dies_before_it_notices(self):
        simulation = self.simulation
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.target = "zone-b"
        simulation.run_until(1.3)
        simulation.lose_placer("zone-a")
        self.check()

    def test_a_run_that_a_successor_lists_late_and_two_lost_stops(self):
        simulation = self.simulation
        simulation.succeeded_after_s = (0.75, 0.75)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.lose_dispatcher("zone-a", False, True)
        simulation.stops_lost_until = 1.65
        simulation.target = "zone-b"
        self.check()

    def test_a_job_in_another_zone_than_its_lost_dispatcher(self):
        simulation = self.simulation
        simulation.succeeded_after_s = (0.5, 0.5)
        simulation.lose_placer("zone-a")
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.6)
        simulation.submit("zone-b", NEIGHBOUR)
        simulation.run_until(0.8)
        simulation.stops_lost_until = 2.4
        simulation.replaced_after_s = (0.05, 0.05)
        simulation.lose_dispatcher("zone-a", False, False)
        simulation.target = "zone-a"
        self.check()

    def test_a_successor_that_does_not_reach_the_server_of_a_lost_job(self):
        simulation = self.simulation
        simulation.replaced_after_s = (0.1, 0.1)
        simulation.succeeded_after_s = (0.3, 0.3)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.lose_dispatcher("zone-a", True, False)
        simulation.run_until(1.0)
        simulation.unreachable_until["zone-a-0"] = 2.0
        simulation.lose_placer("zone-a")
        self.check()

    def test_a_successor_that_is_told_of_another_zone(self):
        simulation = self.simulation
        simulation.succeeded_after_s = (0.1, 0.1)
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        # As from a dispatcher of zone-b whose link to zone-a was down.
        simulation.learn("zone-a", JOB, "zone-b", 0.4)
        simulation.run_until(0.6)
        simulation.lose_placer("zone-a")
        self.check()

    def test_a_kept_job_whose_client_returns_elsewhere_and_leaves(self):
        simulation = self.simulation
        step = build.step(1, estimate_s=2.5)
        queue = build.queue(target_latency_s=60.0)
        job = build.submission(JOB, step=step, left_s=4.0, queue=queue)
        simulation.server_pool.job_length_s[JOB] = 20.0
        # The dispatcher of zone-b sends it to zone-a.
        simulation.learn("zone-b", JOB, "zone-a", 0.2)
        simulation.target = "zone-b"
        simulation.send_job(job, 4)
        simulation.run_until(4.3)  # answered 504, and kept
        simulation.target = "zone-a"
        simulation.run_until(7.5)
        simulation.leave_now(job)
        simulation.target = "zone-b"
        self.check(until=10.5)

    def test_a_resumed_placer_that_renews_a_lease_once_more(self):
        simulation = self.simulation
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.unreachable_until["zone-a-0"] = 3.0
        simulation.suspend_placer("zone-a", 0.76, 0.6)
        self.check()

    def test_a_resumed_placer_renews_no_lease_before_it_knows_its_successor(
        self,
    ):
        simulation = self.simulation
        simulation.submit("zone-a", JOB)
        simulation.run_until(0.4)
        simulation.unreachable_until["zone-a-0"] = 3.0
        simulation.suspend_placer("zone-a", 0.85, 0.05)
        self.check()


class LostDispatchersTest(unittest.TestCase):
    def check(self, simulation):
        text = simulation.describe_violations()
        self.assertEqual(simulation.server_pool.violations, [], text)

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261205)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_a_job_of_a_lost_dispatcher_never_runs_twice_at_once(self, seed):
        simulation = Simulation(seed, draw_faults(seed)).run()
        self.check(simulation)
        false_refusals = {
            job_id
            for job_id, refusals in simulation.refusals.items()
            if all(refusals)
        } & simulation.server_pool.started_jobs
        self.assertEqual(false_refusals, set())

    @hypothesis.settings(max_examples=EXAMPLES, deadline=None, database=None)
    @hypothesis.seed(20261206)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_no_job_of_a_cut_off_zone_runs_twice_at_once(self, seed):
        self.check(Simulation(seed, CUTS).run())

    def test_seeds_of_cuts_that_failed(self):
        for seed in (32, 75, 219, 300, 366, 385):
            with self.subTest(seed=seed):
                self.check(Simulation(seed, CUTS).run())

    def test_seeds_that_failed(self):
        for seed in (6, 35, 42, 67, 80, 81):
            with self.subTest(seed=seed):
                self.check(Simulation(seed, draw_faults(seed)).run())

    def test_dispatchers_die_and_stops_fail(self):
        simulation = Simulation(1, draw_faults(1)).run()
        self.assertGreater(simulation.death_counts["killed"], 0)
        self.assertGreater(simulation.death_counts["silent"], 0)
        self.assertGreater(simulation.death_counts["with placer"], 0)
        self.assertGreater(simulation.stop_counts["lost"], 0)


if __name__ == "__main__":
    unittest.main()
