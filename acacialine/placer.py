"""The placer: the scheduler of one availability zone.

One dispatcher of each zone runs the placer, which owns the backend servers of
the zone. Life cycle of a job: `submit` accepts or refuses it, `tick` starts
its tasks, `runs.apply_poll` records how they end, and `_end_job` answers it.
The placer does no I/O: methods append orders, which the caller of
`take_orders` carries out. All times are in s on the clock of `clock.now`.
"""

import math

import attrs

from acacialine import evacuation
from acacialine import events
from acacialine import fairshare
from acacialine import jobfates
from acacialine import jobnotices
from acacialine import leases
from acacialine import orders as orders_lib
from acacialine import placement
from acacialine import placementpolicy
from acacialine import retries
from acacialine import schedule
from acacialine import serverhealth
from acacialine import zoneadmission
from acacialine import zoneruns
from acacialine import zonetables

ORPHAN_TIMEOUT_S = 0.3  # time for a dispatcher whose link broke to reconnect
RUN_NUMBERS_PER_OWNER = 16  # run numbers of a task reserved for each owner
# A job that is running at its deadline may continue for the client's retry,
# which arrives 1.3 s after the 504 and attaches to the job.
KEPT_JOB_S = 2.0
GIVEN_UP_REASON = "servers crashed"
KEEP_REQUEST_WAIT_S = 0.3  # time after the deadline to wait for `keep_job`
# Time without starts for open jobs after this process was suspended: broken
# links are detected and jobs of dispatchers that do not reconnect are ended.
PAUSE_RECOVERY_S = 0.5
# A job that lay in a link for so long while this process was suspended may have
# been taken back by its dispatcher, and sent elsewhere by its client.
STALE_JOB_S = 1.0
CHECK_INTERVAL_S = 0.02  # interval of the timeout checks of all runs and jobs
EXPIRY_INTERVAL_S = 0.5  # interval of the removal of expired records
ESTIMATE_MIN_S = 0.005


@attrs.frozen
class Submission:
    """A job as a dispatcher submits it to the placer.

    Attributes:
        spec: What the tasks run; opaque to the placer.
        age_s: Time since the client first sent the job.
        left_s: Time until the client stops waiting.
        handovers: Number of placers that had the job before.
        is_spilled: Whether the zone of the dispatcher lacked capacity for it.
        config_version: Version of the configuration that set the queue.
        joins_only: Whether it is only to join the open job, as its dispatcher
            has submitted the job before.
    """

    job_id: str
    queue: zonetables.Queue
    spec: str
    step: zonetables.Step
    age_s: float
    left_s: float
    handovers: int = 0
    is_spilled: bool = False
    config_version: int = 0
    joins_only: bool = False


@attrs.define(eq=False)
class Placer:
    """Schedules the jobs of one availability zone on its backend servers.

    Used by `placerhost.PlacerHost`, which carries out its orders. An origin
    is the session of a dispatcher that waits for the answer to a job.

    Attributes:
        tables: Jobs, runs and backend servers of the zone.
        admission: Accepts or refuses jobs.
        returns: Refused jobs whose clients are expected back.
        shares: Shares of queues and zones of clients.
        runs: Runs of this owner and those left by earlier owners.
        owned_since: When this placer became the owner of the servers.
        lease_times: Times that follow from the length of the leases.
        policy: What it does when more work arrives than fits.
        obeyed_since: Since when backend servers obey this placer: the first
            answer of one, or `owned_since` before.
        last_start_at: Until when jobs of which a task may have started go on
            starting tasks, while the zone is evacuated; None if it is not.
        new_jobs_wait_until: Jobs that arrive before start no task before.
        unknown_jobs_until: Until when jobs of earlier owners may run of which
            it was not told; no task starts before.
        last_owner_ended_at: See `assume_unknown_jobs`.
        are_unknown_jobs_local: Whether these run on servers of this zone, so
            that they are known once all of these have listed their runs.
    """

    tables: zonetables.ZoneTables
    admission: zoneadmission.Admission
    owned_since: float
    lease_times: leases.LeaseTimes = attrs.field(factory=leases.LeaseTimes)
    policy: placementpolicy.PlacementPolicy = attrs.field(
        factory=placementpolicy.PlacementPolicy
    )
    runs: zoneruns.Runs = attrs.field(init=False)
    obeyed_since: float = attrs.field(init=False)
    last_start_at: float | None = None
    new_jobs_wait_until: float = -1e9
    unknown_jobs_until: float = -1e9
    last_owner_ended_at: float = math.inf
    are_unknown_jobs_local: bool = False
    shares: fairshare.FairShares = attrs.field(init=False)
    returns: retries.Returns = attrs.field(factory=retries.Returns)
    _starter: placement.TaskStarter = attrs.field(init=False)
    notices: jobnotices.JobNotices = attrs.field(init=False)
    _orders: list[orders_lib.Order] = attrs.field(factory=list)
    _suspect_origins: set = attrs.field(factory=set)
    _checked_at: float = -1e9
    _expired_at: float = -1e9
    _open_jobs_announced_at: float = -1e9

    def __attrs_post_init__(self):
        self.runs = zoneruns.Runs(
            self.tables, self, self._emit, self.lease_times
        )
        self._starter = placement.TaskStarter(
            self.tables, self.runs, self._emit, self.policy
        )
        self.notices = jobnotices.new_job_notices(
            self.tables, self._emit, self.owned_since
        )
        self.shares = self.admission.shares
        self.obeyed_since = self.owned_since

    @property
    def has_more_starts(self) -> bool:
        """Whether the last tick left starts to the next one."""
        return self._starter.is_cut_short

    def take_orders(self) -> list[orders_lib.Order]:
        """Returns the orders collected since the last call."""
        taken, self._orders = self._orders, []
        return taken

    # Jobs

    def submit(
        self,
        submission: Submission,
        origin,
        now: float,
        client_zone: str = "",
        heard_at: float | None = None,
    ) -> None:
        """Admits or refuses a job; a resubmitted one is attached or answered.

        A job that is already open gets one more origin. One that completed or
        failed a short time ago, here or in another zone, gets the same answer
        again, and one that its client cancelled ends without a start. One that
        another zone may still run is answered with the name of that zone, or
        waits if it may have started here too.

        Args:
            submission: The job.
            origin: Session of the dispatcher that submits it.
            now: The current time.
            client_zone: Zone of that dispatcher; empty if unknown.
            heard_at: When that dispatcher certainly had it; now if None.
        """
        tables = self.tables
        if heard_at is None:
            heard_at = now
        else:
            tables.origins_heard_at.setdefault(origin, heard_at)
        job = tables.jobs.get(submission.job_id)
        if job is not None:
            job.origins.add(origin)
            job.heard_until = max(job.heard_until, heard_at)
            job.deadline_at = max(job.deadline_at, now + submission.left_s)
            self._log(events.Event.ZONE_JOB_ATTACHED, job=job.id)
            self._follow_newer_queue(job, submission, now)
            return
        if submission.joins_only:
            return  # its answer is under way to the dispatcher
        if self.notices.repeat_answer(submission.job_id, origin):
            return
        other_zone = None
        remote = tables.remote_jobs.get(submission.job_id)
        if remote is not None:
            other_zone = remote.other_zone(tables.zone, now)
            if remote.may_run_in(tables.zone, now):
                # An earlier owner of this zone may have started it.
                submission = attrs.evolve(
                    submission, handovers=max(1, submission.handovers)
                )
        if other_zone is not None and not submission.handovers:
            self._send_elsewhere(submission.job_id, (origin,), other_zone)
            return
        ended_job = tables.ended_jobs.get(submission.job_id)
        if ended_job is not None and ended_job.verdict in (
            zonetables.Verdict.COMPLETED,
            zonetables.Verdict.FAILED,
        ):
            self._orders.append(
                orders_lib.AnswerJob(
                    (origin,), submission.job_id, ended_job.verdict, "answered"
                )
            )
            return
        job = self._new_job(submission, origin, ended_job, now)
        job.client_zone = client_zone
        job.heard_until = heard_at
        if self.policy.spread_retries:
            first_arrived_at = self.returns.take(job.id, now)
            if first_arrived_at is not None:
                job.seniority_s = max(0.0, job.arrived_at - first_arrived_at)
                self._log_returned(job)
        if self.policy.priority_first:
            job.priority_rank = job.queue.priority
        job.not_before = self.new_jobs_wait_until
        if not self.are_unknown_jobs_local:
            job.not_before = max(job.not_before, self.unknown_jobs_until)
        if remote is not None:
            job.known_since = min(job.known_since, remote.known_since)
        if other_zone is not None:
            job.not_before = max(
                job.not_before, remote.ends_by_zone[other_zone]
            )
        if submission.handovers:
            self.runs.adopt(job)
        if tables.losses.is_given_up(job.id):
            self._fail_started_job(job, GIVEN_UP_REASON, now)
            return
        if self.last_start_at is not None and not job.possible_starts:
            self._refuse_evacuated(job, now)
            return
        decision = self.admission.admit(job, submission.is_spilled, now)
        if decision.reason and not job.possible_starts:
            self._refuse_job(job, decision.reason, decision.forecast, now)
            return
        tables.jobs[job.id] = job
        self.notices.record_acceptance(job)
        if self.policy.fair_share:
            self.shares.record_acceptance(job)
        self._log(
            events.Event.ZONE_JOB_ACCEPTED,
            job=job.id,
            queue=job.queue.name,
            tasks=job.step.count,
            waiting_jobs=self._count_waiting_jobs(),
            objective_ms=zonetables.milliseconds(job.objective_at - now),
            handovers=submission.handovers,
        )
        if len(job.done) == job.step.count:
            # All tasks were done before the job was handed over.
            self._complete(job, now)

    def _new_job(
        self,
        submission: Submission,
        origin,
        ended_job: zonetables.EndedJob | None,
        now: float,
    ) -> zonetables.Job:
        queue = submission.queue
        arrived_at = now - submission.age_s
        ratio = self.tables.estimate_ratio.get(queue.name, 1.0)
        estimate_s = max(submission.step.estimate_s * ratio, ESTIMATE_MIN_S)
        objective_s = _objective_s(queue, estimate_s)
        job = zonetables.Job(
            submission.job_id,
            queue,
            submission.spec,
            submission.step,
            {origin},
            arrived_at,
            arrived_at + objective_s,
            now + submission.left_s,
            estimate_s,
            known_since=arrived_at,
            config_version=submission.config_version,
            origins_heard_at=self.tables.origins_heard_at,
            zones_heard_at=self.tables.zones_heard_at,
        )
        job.waiting.extend(range(submission.step.count))
        if ended_job:
            job.run_numbers = ended_job.run_numbers.copy()
            job.failures.update(ended_job.failures)
            if ended_job.verdict != zonetables.Verdict.NOT_RUN:
                # It ran before its clients left, so it can't be refused as
                # not run.
                job.possible_starts = 1
        if submission.handovers:
            # Start orders of an earlier owner may have taken effect, and its
            # leases may still be valid on servers not polled yet.
            job.possible_starts = 1
            job.run_numbers.raise_all(
                1 + RUN_NUMBERS_PER_OWNER * submission.handovers
            )
            # An earlier owner may have learned only now that it has a
            # successor, unless this placer has had the job since.
            held_since = self.obeyed_since
            if ended_job is None:
                held_since = job.handed_over_at = now
            job.hold_until = (
                held_since + self.runs.lease_times.superseded_owner_s
            )
        return job

    def _refuse_job(
        self,
        job: zonetables.Job,
        reason: str,
        forecast: schedule.Forecast,
        now: float,
    ) -> None:
        retry_after_s = zoneadmission.compute_retry_after_s(job, forecast, now)
        if self.policy.spread_retries and reason == "overloaded":
            retry_after_s = self._book_return(job, forecast, now)
        forecast_end = forecast.end
        self._log(
            events.Event.ZONE_JOB_REFUSED,
            job=job.id,
            queue=job.queue.name,
            reason=reason,
            tasks=job.step.count,
            waiting_jobs=self._count_waiting_jobs(),
            free_places=forecast.free_slots,
            waiting_tasks=self.admission.count_waiting_tasks(),
            free_elsewhere=self.admission.free_slots_elsewhere,
            predicted_ms=zonetables.milliseconds(forecast_end - job.arrived_at)
            if forecast_end
            else "none",
            objective_ms=zonetables.milliseconds(
                job.objective_at - job.arrived_at
            ),
            waited_ms=zonetables.milliseconds(now - job.arrived_at),
            retry_after_s=retry_after_s,
        )
        self.tables.counters[f"refused.{reason}"] += 1
        if reason == "overloaded" and forecast.free_slots:
            self.tables.counters["contention.refused_while_free"] += 1
        self._end_job(
            job, zonetables.Verdict.NOT_RUN, reason, now, retry_after_s
        )

    def _refuse_evacuated(self, job: zonetables.Job, now: float) -> None:
        """Hands back a job that has not run, as the zone is evacuated."""
        no_slots = schedule.Forecast(0, 0, None)
        self._refuse_job(job, evacuation.REASON, no_slots, now)

    def _book_return(
        self, job: zonetables.Job, forecast: schedule.Forecast, now: float
    ) -> float:
        """Returns when the client of a refused job is to return, in s."""
        service = job.queue.service
        shares = self.shares
        wait_s = max(0.0, (forecast.end or now) - now - job.estimate_s)
        return self.returns.book(
            job,
            shares.room_cores(service, now),
            shares.demand_cores(service, now),
            min(wait_s, zoneadmission.RETRY_AFTER_MAX_S),
            now,
        )

    def _log_returned(self, job: zonetables.Job) -> None:
        self.tables.counters["contention.returned"] += 1
        self._log(
            events.Event.ZONE_JOB_RETURNED,
            job=job.id,
            queue=job.queue.name,
            first_sent_ms=zonetables.milliseconds(job.seniority_s),
        )

    def _count_waiting_jobs(self) -> int:
        return sum(1 for j in self.tables.jobs.values() if j.waiting)

    def cancel(self, job_id: str, origin, reason: str, now: float) -> None:
        """Removes an origin of a job; without origins the job is cancelled."""
        job = self.tables.jobs.get(job_id)
        if job is None:
            return
        job.remove_origin(origin, now)
        if job.origins:
            return
        self._log(events.Event.ZONE_JOB_CANCELLED, job=job.id, reason=reason)
        self._end_job(job, None, reason, now)

    def cancel_for_all(self, job_id: str, now: float) -> bool:
        """Ends a job that a client cancelled, whoever waits for it.

        A copy of its request that arrives later starts nothing.

        Returns:
            Whether the job was open.
        """
        job = self.tables.jobs.get(job_id)
        self.notices.record_fate(job_id, jobfates.Fate.CANCELLED, now)
        if job is None:
            return False
        self._end_by_fate(job, jobfates.Fate.CANCELLED, now)
        return True

    def apply_fates(
        self, fates: dict[bytes, jobfates.Fate], now: float
    ) -> None:
        """Records how jobs ended at other placers; ends those open here."""
        tables = self.tables
        for key, fate in fates.items():
            tables.fates.record_key(key, fate, now)
            job = tables.jobs.get(jobfates.decode_key(key))
            if job is not None:
                self._end_by_fate(job, fate, now)

    def _end_by_fate(
        self, job: zonetables.Job, fate: jobfates.Fate, now: float
    ) -> None:
        """Ends an open job that was cancelled, or answered by another zone."""
        reason = jobnotices.REASONS_BY_FATE[fate]
        self._log(events.Event.ZONE_JOB_CANCELLED, job=job.id, reason=reason)
        self.tables.counters[f"settled.{reason}"] += 1
        verdict = jobnotices.VERDICTS_BY_FATE[fate]
        self._end_job(job, verdict, reason, now)

    def _follow_newer_queue(
        self, job: zonetables.Job, submission: Submission, now: float
    ) -> None:
        """Moves an open job to the queue of a newer configuration.

        A request for it has arrived under that configuration, so no more task
        may start at the service of an older one. Runs go on.
        """
        if submission.config_version <= job.config_version:
            return
        job.config_version = submission.config_version
        if submission.queue == job.queue:
            return
        self._log(
            events.Event.ZONE_JOB_REROUTED,
            job=job.id,
            queue=submission.queue.name,
            service=submission.queue.service,
            was=job.queue.service,
            version=submission.config_version,
            waiting=len(job.waiting),
        )
        job.queue = submission.queue
        job.objective_at = job.arrived_at + _objective_s(
            job.queue, job.estimate_s
        )
        if not job.possible_starts and not self.admission.is_servable(job):
            self._fail_job(job, "unservable", now)

    def keep_job(
        self, job_id: str, origin, is_confirmed: bool, now: float
    ) -> None:
        """Keeps a job running past its deadline for the client's retry.

        The origin has answered its clients, so it waits no more. It confirms
        that all zones know of the job, or cancels it; without it the job ends.
        Its leases are not renewed before the confirmation, however late the
        cancellation comes.

        Args:
            job_id: The job.
            origin: Session of the dispatcher that has answered its clients.
            is_confirmed: Whether the placers of all other zones know of the
                job.
            now: The current time.
        """
        job = self.tables.jobs.get(job_id)
        if job is None:
            return
        job.remove_origin(origin, now)
        job.keeper = origin
        if not is_confirmed:
            return
        job.kept_until = now + KEPT_JOB_S
        self._log(events.Event.ZONE_JOB_KEPT, job=job.id)

    def record_remote_job(self, job_id: str, zone: str, now: float) -> None:
        """Records that a zone may run a job for which no client waits now.

        In another zone than `zone` no task of the job may start until its
        runs there have ended: one that has not started here is sent there, any
        other waits. A successor in that zone treats it as handed over.
        """
        until = now + KEPT_JOB_S + self.runs.lease_times.lost_owner_s
        zonetables.record_remote_job(
            self.tables.remote_jobs, job_id, zone, until, now
        )
        job = self.tables.jobs.get(job_id)
        if job is None or zone == self.tables.zone:
            return
        if job.possible_starts:
            job.not_before = max(job.not_before, until)
            if job.runs:
                self._log_overlap(job, zone, now)
            return
        del self.tables.jobs[job_id]
        self._send_elsewhere(job_id, tuple(job.origins), zone)

    def _log_overlap(self, job: zonetables.Job, zone: str, now: float) -> None:
        """Logs that another zone may run a job that runs here."""
        started_at = job.first_start_at
        self._log(
            events.Event.ZONE_JOB_OVERLAPS,
            job=job.id,
            zone=zone,
            runs=len(job.runs),
            started_ms=-1
            if started_at is None
            else zonetables.milliseconds(now - started_at),
        )
        self.tables.counters["overlapping"] += 1

    def _send_elsewhere(self, job_id: str, origins: tuple, zone: str) -> None:
        """Answers a job with the name of the zone that may still run it.

        That may be this one: then it is submitted here again as handed over.
        """
        self._log(events.Event.ZONE_JOB_ELSEWHERE, job=job_id, zone=zone)
        self._orders.append(
            orders_lib.AnswerJob(
                origins, job_id, zonetables.Verdict.ELSEWHERE, zone
            )
        )

    def record_heard(self, origin, at: float) -> None:
        """Records that a dispatcher certainly lived at some time.

        Leases of its jobs count from then: its clients may have left since, and
        may be about to send their jobs to another zone.

        Args:
            origin: The session of the dispatcher.
            at: The time, not later than when its heartbeat was sent.
        """
        self.tables.origins_heard_at[origin] = at

    def set_suspect(self, origin, is_suspect: bool, now: float) -> None:
        """Records whether a dispatcher may be lost.

        Meanwhile no task of its jobs starts, and all zones are told of their
        runs: this placer may be lost too before it has ended them. Jobs that a
        zone has not confirmed end at once, as their leases are about to end
        with all other runs there; a dispatcher that lives submits them again.
        """
        if not is_suspect:
            self._suspect_origins.discard(origin)
            return
        self._suspect_origins.add(origin)
        self._announce_jobs_of(origin, now)
        for job in list(self.tables.jobs.values()):
            if job.origins == {origin} and job.runs and now > job.known_until:
                self.cancel(job.id, origin, "entry lost", now)
                self._send_elsewhere(job.id, (origin,), self.tables.zone)

    def _announce_jobs_of(self, origin, now: float) -> None:
        for job in self.tables.jobs.values():
            if job.origins == {origin} and job.runs:
                self.runs.lingering.announce(job.id, now)

    def remove_origin(self, origin, is_silent: bool, now: float) -> None:
        """Removes the session of an unreachable dispatcher from all jobs.

        If only its link broke, its jobs continue for ORPHAN_TIMEOUT_S, because
        it may submit them again. If it was silent, its clients may already be
        about to send their jobs to another zone, so its jobs end at once and
        all zones are told of their runs.

        Args:
            origin: The session of the dispatcher.
            is_silent: Whether no message came any more, rather than the link
                being closed.
            now: The current time.
        """
        self._suspect_origins.discard(origin)
        if is_silent:
            self._announce_jobs_of(origin, now)
        for job in list(self.tables.jobs.values()):
            if origin not in job.origins and origin != job.keeper:
                continue
            if is_silent:
                self.cancel(job.id, origin, "entry lost", now)
                continue
            job.remove_origin(origin, now)
        self.tables.origins_heard_at.pop(origin, None)

    def _end_orphaned_jobs(self, now: float) -> None:
        """Cancels jobs without an origin for ORPHAN_TIMEOUT_S."""
        for job in list(self.tables.jobs.values()):
            if job.origins or now - job.awaited_until < ORPHAN_TIMEOUT_S:
                continue
            self._log(
                events.Event.ZONE_JOB_CANCELLED, job=job.id, reason="entry lost"
            )
            self._end_job(job, None, "entry lost", now)

    def _end_job(
        self,
        job: zonetables.Job,
        verdict: zonetables.Verdict | None,
        reason: str,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Removes a job, stops its runs and answers its origins.

        Without a verdict no answer is sent.
        """
        self.tables.jobs.pop(job.id, None)
        for run in list(job.runs.values()):
            self.runs.stop(run, now)
        job.waiting.clear()
        if verdict is None and job.possible_starts:
            self._orders.append(orders_lib.ShareJob(job.id))
        if verdict != zonetables.Verdict.NOT_RUN or job.run_numbers.is_used:
            # Removed first, so that the table stays in the order of the ends.
            self.tables.ended_jobs.pop(job.id, None)
            self.tables.ended_jobs[job.id] = zonetables.EndedJob(
                verdict, reason, job.run_numbers, now, job.failures
            )
        self.notices.record_verdict(job.id, verdict, now)
        if verdict is not None and job.origins:
            self._orders.append(
                orders_lib.AnswerJob(
                    tuple(job.origins), job.id, verdict, reason, retry_after_s
                )
            )

    def _fail_job(self, job: zonetables.Job, reason: str, now: float) -> None:
        """Ends a job: refused if no task can have started, else failed."""
        if not job.possible_starts:
            forecast = self.admission.new_forecast(job, now)
            self._refuse_job(job, reason, forecast, now)
            return
        self._fail_started_job(job, reason, now)

    def _fail_started_job(
        self, job: zonetables.Job, reason: str, now: float
    ) -> None:
        """Ends a job of which a task may have started."""
        self._log(
            events.Event.ZONE_JOB_FAILED,
            job=job.id,
            queue=job.queue.name,
            reason=reason,
            done=len(job.done),
            tasks=job.step.count,
            age_ms=zonetables.milliseconds(now - job.arrived_at),
        )
        self.tables.counters[f"failed.{reason}"] += 1
        self._end_job(job, zonetables.Verdict.FAILED, reason, now)

    def refuse_unservable_jobs(self, now: float) -> None:
        """Refuses the jobs that no listed server can take any more.

        Another zone may still take them.
        """
        if not self.tables.is_list_known:
            return
        for job in list(self.tables.jobs.values()):
            if not job.possible_starts and not self.admission.is_servable(job):
                self._fail_job(job, "unservable", now)

    def give_up_job(self, job_id: str, now: float) -> None:
        """See `zoneruns.JobCallbacks`."""
        job = self.tables.jobs.get(job_id)
        if job is not None:
            self._fail_started_job(job, GIVEN_UP_REASON, now)

    def _abandon_job(self, job: zonetables.Job, now: float) -> None:
        """Ends a job past its deadline that no client retried."""
        self._log(
            events.Event.ZONE_JOB_CANCELLED, job=job.id, reason="deadline"
        )
        self.tables.counters["abandoned"] += 1
        self._end_job(job, None, "deadline", now)

    def assume_unknown_jobs(
        self, are_local: bool, now: float, last_owner_ended_at: float = math.inf
    ) -> None:
        """Assumes runs of jobs that an earlier owner had and this one lacks.

        Any job may be one of them that its client has sent again, here or to
        the earlier owner. So all wait until the leases have ended, or until the
        runs of this zone are known.

        Args:
            are_local: See `are_unknown_jobs_local`.
            now: The current time.
            last_owner_ended_at: Time by which the process of the last owner had
                ended; infinite if it may be alive.
        """
        self.are_unknown_jobs_local = are_local
        self.last_owner_ended_at = last_owner_ended_at
        self.unknown_jobs_until = min(
            now + self.lease_times.superseded_owner_s,
            last_owner_ended_at + self.lease_times.max_lease_s,
        )

    def may_lack_jobs(self, now: float) -> bool:
        """Returns whether unknown jobs of earlier owners may run."""
        if self.are_unknown_jobs_local and self.runs.all_runs_known:
            self.unknown_jobs_until = min(self.unknown_jobs_until, now)
        return now < self.unknown_jobs_until

    def handle_first_answer(self, now: float) -> None:
        """See `zoneruns.JobCallbacks`.

        Until then the earlier owner could go on starting tasks, as no server
        had heard of this one.
        """
        self.obeyed_since = now
        if self.may_lack_jobs(now):
            self.assume_unknown_jobs(
                self.are_unknown_jobs_local, now, self.last_owner_ended_at
            )
        for job in self.tables.jobs.values():
            if job.hold_until:
                job.hold_until = now + self.runs.lease_times.superseded_owner_s

    def handle_process_pause(
        self, now: float, pause_s: float = math.inf
    ) -> None:
        """Marks all run lists as outdated after this process was suspended.

        No task starts on a server before that server is polled again, and no
        task of an open job starts before its dispatchers had PAUSE_RECOVERY_S
        to reconnect. After a long pause that holds for new jobs too: they may
        have lain in links that have ended, which is seen only after them.

        Args:
            now: The current time.
            pause_s: How long this process was suspended.
        """
        self.runs.handle_process_pause(now)
        if pause_s >= STALE_JOB_S:
            self.new_jobs_wait_until = now + PAUSE_RECOVERY_S
        for job in self.tables.jobs.values():
            job.not_before = max(job.not_before, now + PAUSE_RECOVERY_S)

    # Ticks

    def set_evacuation(self, last_start_at: float | None) -> None:
        """Records the begin or the end of the evacuation of the zone.

        Args:
            last_start_at: See the attribute.
        """
        self.last_start_at = last_start_at
        self._checked_at = -1e9  # hands back jobs before the next start
        self.runs.may_restart = last_start_at is None

    def _announce_open_jobs(self, now: float) -> None:
        """Tells all zones of the jobs that may run here.

        Their clients may send them again, and other zones get all requests of
        an evacuated zone: they send these jobs here instead of starting them.
        """
        if now - self._open_jobs_announced_at < evacuation.ANNOUNCE_INTERVAL_S:
            return
        self._open_jobs_announced_at = now
        for job in self.tables.jobs.values():
            if job.possible_starts:
                self.runs.lingering.announce(job.id, now)

    def tick(self, now: float) -> None:
        """Ends overdue jobs and runs, then starts tasks by urgency."""
        if now - self._checked_at >= CHECK_INTERVAL_S:
            self._checked_at = now
            self.runs.check_runs(now)
            self._end_orphaned_jobs(now)
            self._end_overdue_jobs(now)
        self.notices.share_open_jobs(now)
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._drop_expired_records(now)
        if self.policy.fair_share:
            for key in self.shares.refresh(now):
                self._log_share(key, now)
        if self.last_start_at is not None:
            self._announce_open_jobs(now)
            if now >= self.last_start_at:
                return
        if not self.may_lack_jobs(now):
            self._starter.start_tasks(self._suspect_origins, now)

    def _log_share(self, key: fairshare.Key, now: float) -> None:
        competitor = self.shares.competitors[key]
        self._log(
            events.Event.ZONE_SHARE_EXCEEDED,
            zone=key.zone or "unknown",
            queue=key.queue or "all",
            demand_cores=round(competitor.demand_cpu(now) / 1000, 1),
            rate_cores=round(competitor.rate_cpu / 1000, 1),
            occupied_cores=round(competitor.occupied_cpu / 1000, 1),
            credit_core_s=round(competitor.credit_core_s, 1),
        )

    def _end_overdue_jobs(self, now: float) -> None:
        fullness_by_debt = {}
        for job in list(self.tables.jobs.values()):
            if now >= job.deadline_at:
                if not job.possible_starts:
                    self._fail_job(job, "deadline", now)
                elif now >= max(
                    job.deadline_at + KEEP_REQUEST_WAIT_S, job.kept_until
                ):
                    self._abandon_job(job, now)
                continue
            if job.possible_starts:
                continue
            if self.last_start_at is not None:
                self._refuse_evacuated(job, now)
                continue
            step = job.debt_step
            if step not in fullness_by_debt:
                fullness_by_debt[step] = self.admission.queue_fullness(step)
            latest_end = self.admission.latest_end(job, fullness_by_debt[step])
            if now + job.estimate_s > latest_end:
                self._fail_job(job, "overloaded", now)

    def _drop_expired_records(self, now: float) -> None:
        tables = self.tables
        tables.fates.drop_expired(now)
        zonetables.drop_expired_remote_jobs(tables.remote_jobs, now)
        tables.losses.drop_expired(now)
        self.runs.lingering.drop_expired(now)
        self.returns.drop_expired(now)
        for table, retention_s in (
            (tables.ended_jobs, zonetables.ENDED_JOBS_RETENTION_S),
            (tables.unclaimed_ends, zonetables.ENDED_JOBS_RETENTION_S),
        ):
            # Entries are in the order in which their job or task ended.
            while table:
                key = next(iter(table))
                value = table[key]
                ended_at = value if isinstance(value, float) else value.ended_at
                if now - ended_at < retention_s:
                    break
                del table[key]
        for server in tables.servers.values():
            while server.recently_ended:
                run_id = next(iter(server.recently_ended))
                if (
                    now - server.recently_ended[run_id]
                    < zonetables.ENDED_RUNS_RETENTION_S
                ):
                    break
                del server.recently_ended[run_id]

    # Results of runs

    def task_done(self, run: zonetables.Run, now: float) -> None:
        """Records that a run succeeded and marks its task as done."""
        job = run.job
        if (
            run.confirmed_at is not None
            and run.is_start_known
            and job.estimate_s > 0
        ):
            serverhealth.record_success(
                self.tables,
                run.server,
                job.queue.name,
                now - run.sent_at,
                job.step.estimate_s,
                now,
            )
        self.mark_task_done(job, run.key.index, now)

    def mark_task_done(
        self, job: zonetables.Job, index: int, now: float
    ) -> None:
        """Marks a task as done; completes the job after its last task."""
        job.done.add(index)
        if len(job.done) == job.step.count:
            self._complete(job, now)

    def _complete(self, job: zonetables.Job, now: float) -> None:
        self._log(
            events.Event.ZONE_JOB_COMPLETED,
            job=job.id,
            queue=job.queue.name,
            tasks=job.step.count,
            age_ms=zonetables.milliseconds(now - job.arrived_at),
            objective_ms=zonetables.milliseconds(
                job.objective_at - job.arrived_at
            ),
            queued_ms=zonetables.milliseconds(
                (job.first_start_at or now) - job.arrived_at
            ),
        )
        self.tables.counters["completed"] += 1
        self._end_job(job, zonetables.Verdict.COMPLETED, "done", now)

    def task_failed(self, run: zonetables.Run, now: float) -> bool:
        """Records that a run failed; returns whether its task is retried."""
        job = run.job
        index = run.key.index
        if serverhealth.record_failure(self.tables, run.server, now):
            self._log(
                events.Event.ZONE_SERVER_AVOIDED,
                server=run.server.id,
                failures=run.server.failure_rate,
            )
        job.failures[index] = job.failures.get(index, 0) + 1
        if job.failures[index] < job.queue.max_attempts:
            return True
        self._fail_job(job, "task failed", now)
        return False

    def _emit(self, order: orders_lib.Order) -> None:
        self._orders.append(order)

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))


def _objective_s(queue: zonetables.Queue, estimate_s: float) -> float:
    """Returns how long clients of a queue accept to wait for a job."""
    return queue.stretch * estimate_s + queue.target_latency_s


def new_placer(
    zone: str,
    late_share: float,
    now: float,
    lease_times: leases.LeaseTimes | None = None,
    policy: placementpolicy.PlacementPolicy | None = None,
) -> Placer:
    """Returns a placer that becomes the owner of a zone's servers now."""
    policy = policy or placementpolicy.PlacementPolicy()
    tables = zonetables.ZoneTables(zone)
    return Placer(
        tables,
        zoneadmission.Admission(
            tables, late_share, policy, fairshare.FairShares(tables)
        ),
        now,
        lease_times or leases.LeaseTimes(),
        policy,
    )
