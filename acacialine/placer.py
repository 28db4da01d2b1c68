"""The placer: decides over the tables of one availability zone.

Stages of a job: `submit` accepts or refuses it, `tick` starts its tasks,
`runs.observe` takes note of how they end, `_end` answers. No method returns
orders; they are collected and handed out by `take_orders`.
"""

import attrs

from acacialine import events
from acacialine import judge
from acacialine import orders as orders_lib
from acacialine import schedule
from acacialine import zoneadmission
from acacialine import zoneruns
from acacialine import zonetables

ORPHAN_S = 0.3  # for an entry whose link broke to dial again
HANDOVER_NUMBERS = 16  # run numbers left to each earlier owner
# A job that is running at its deadline may go on for its caller's next try,
# which comes 1.3 s after the 504 and joins it.
RESUMED_S = 2.0
KEEP_WAIT_S = 0.3  # after the deadline, for its entry to ask for that
RESUME_S = 0.5  # for lost links to show and orphans to end
CHECK_S = 0.01  # between searches of all runs for what is over time
ESTIMATE_MIN_S = 0.005
SLOWNESS_STEP = 0.2  # servers within one step count as equally fast


@attrs.frozen
class Submission:
    """A job as an entry hands it to the placer.

    Attributes:
        age_s: Time since its caller first sent it.
        left_s: Time until its caller stops waiting.
        handovers: How many placers had it before.
        is_spilled: Whether the placer of its own zone had no room for it.
    """

    job_id: str
    queue: zonetables.Queue
    spec: str
    step: zonetables.Step
    age_s: float
    left_s: float
    handovers: int = 0
    is_spilled: bool = False


@attrs.frozen
class _Usable:
    """A backend server that takes new tasks."""

    slowness_steps: int
    server: zonetables.Server


@attrs.frozen
class _Full:
    """A demand that fits on no backend server at the moment."""

    service: str
    step: zonetables.Step

    def covers(self, job: zonetables.Job) -> bool:
        """Returns whether a job can't have room either."""
        return (
            job.queue.service == self.service
            and job.step.label == self.step.label
            and self.step.demand.fits(job.step.demand)
        )


@attrs.define(eq=False)
class Placer:
    """Owner of the backend servers of one availability zone.

    Attributes:
        tables: What it knows.
        admission: Accepts or refuses jobs.
        runs: The runs that were ordered, and those of earlier owners.
        owned_since: When it became the owner.
    """

    tables: zonetables.ZoneTables
    admission: zoneadmission.Admission
    owned_since: float
    runs: zoneruns.Runs = attrs.field(init=False)
    _orders: list[orders_lib.Order] = attrs.field(factory=list)
    _checked_at: float = -1e9

    def __attrs_post_init__(self):
        self.runs = zoneruns.Runs(self.tables, self, self._emit)

    def take_orders(self) -> list[orders_lib.Order]:
        """Returns the orders collected since the last call."""
        taken, self._orders = self._orders, []
        return taken

    # Jobs

    def submit(self, submission: Submission, origin, now: float) -> None:
        """Accepts, attaches, answers again or refuses a job."""
        tables = self.tables
        job = tables.jobs.get(submission.job_id)
        if job is not None:
            job.origins.add(origin)
            job.deadline_at = max(job.deadline_at, now + submission.left_s)
            self._log(events.Event.ZONE_JOB_ATTACHED, job=job.id)
            return
        foreign = tables.foreign_jobs.get(submission.job_id)
        if foreign is not None and now < foreign.until:
            self._orders.append(
                orders_lib.AnswerJob(
                    (origin,),
                    submission.job_id,
                    zonetables.Verdict.ELSEWHERE,
                    foreign.zone,
                )
            )
            return
        recent = tables.recent.get(submission.job_id)
        if recent is not None and recent.verdict in (
            zonetables.Verdict.COMPLETED,
            zonetables.Verdict.FAILED,
        ):
            self._orders.append(
                orders_lib.AnswerJob(
                    (origin,), submission.job_id, recent.verdict, "answered"
                )
            )
            return
        job = self._new_job(submission, origin, recent, now)
        if submission.handovers:
            self.runs.adopt(job)
        decision = self.admission.decide(job, submission.is_spilled, now)
        if decision.reason and not job.possible_starts:
            self._refuse(job, decision.reason, decision.outlook, now)
            return
        tables.jobs[job.id] = job
        self._log(
            events.Event.ZONE_JOB_ACCEPTED,
            job=job.id,
            queue=job.queue.name,
            tasks=job.step.count,
            waiting_jobs=self._waiting_jobs(),
            objective_ms=zonetables.milliseconds(job.objective_at - now),
            handovers=submission.handovers,
        )
        if len(job.done) == job.step.count:
            self._complete(job, now)  # it ended between two owners

    def _new_job(
        self,
        submission: Submission,
        origin,
        recent: zonetables.Recent | None,
        now: float,
    ) -> zonetables.Job:
        queue = submission.queue
        arrived_at = now - submission.age_s
        ratio = self.tables.estimate_ratio.get(queue.name, 1.0)
        estimate_s = max(submission.step.estimate_s * ratio, ESTIMATE_MIN_S)
        objective_s = queue.stretch * estimate_s + queue.target_latency_s
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
        )
        job.waiting.extend(range(submission.step.count))
        if recent:
            job.next_number.update(recent.next_number)
        if submission.handovers:
            # Orders of an earlier owner may have started tasks, and its
            # leases may still hold on servers that are not listed yet.
            job.possible_starts = 1
            first = 1 + HANDOVER_NUMBERS * submission.handovers
            for index in range(submission.step.count):
                number = job.next_number.get(index, 1)
                job.next_number[index] = max(first, number)
            job.hold_until = self.owned_since + zoneruns.LAPSE_S
        return job

    def _refuse(
        self,
        job: zonetables.Job,
        reason: str,
        outlook: schedule.Outlook,
        now: float,
    ) -> None:
        retry_after_s = zoneadmission.retry_after_s(job, outlook, now)
        end = outlook.end
        self._log(
            events.Event.ZONE_JOB_REFUSED,
            job=job.id,
            queue=job.queue.name,
            reason=reason,
            tasks=job.step.count,
            waiting_jobs=self._waiting_jobs(),
            free_places=outlook.free_places,
            waiting_tasks=self.admission.waiting_tasks(),
            free_elsewhere=self.admission.free_elsewhere,
            predicted_ms=zonetables.milliseconds(end - job.arrived_at)
            if end
            else "none",
            objective_ms=zonetables.milliseconds(
                job.objective_at - job.arrived_at
            ),
            waited_ms=zonetables.milliseconds(now - job.arrived_at),
            retry_after_s=retry_after_s,
        )
        self.tables.counters[f"refused.{reason}"] += 1
        self._end(job, zonetables.Verdict.NOT_RUN, reason, now, retry_after_s)

    def _waiting_jobs(self) -> int:
        return sum(1 for j in self.tables.jobs.values() if j.waiting)

    def cancel(self, job_id: str, origin, reason: str, now: float) -> None:
        """Removes one who waits; the job ends when nobody waits any more."""
        job = self.tables.jobs.get(job_id)
        if job is None:
            return
        job.origins.discard(origin)
        if job.origins:
            return
        self._log(events.Event.ZONE_JOB_CANCELLED, job=job.id, reason=reason)
        self._end(job, None, reason, now)

    def keep(self, job_id: str, now: float) -> None:
        """Lets a job run on after its deadline, for its caller's next try."""
        job = self.tables.jobs.get(job_id)
        if job is None:
            return
        job.kept_until = now + RESUMED_S
        self._log(events.Event.ZONE_JOB_KEPT, job=job.id)

    def note_foreign(self, job_id: str, zone: str, now: float) -> None:
        """Another zone runs a job on; it must not start here meanwhile."""
        until = now + RESUMED_S + zoneruns.UNOWNED_S
        self.tables.foreign_jobs.pop(job_id, None)
        self.tables.foreign_jobs[job_id] = zonetables.ForeignJob(zone, until)

    def drop_origin(self, origin, may_return: bool, now: float) -> None:
        """Forgets an entry that can't be reached any more.

        Args:
            origin: The entry.
            may_return: Whether only its link broke; its jobs then go on for
                a moment, because it hands them over again.
            now: The time.
        """
        for job in list(self.tables.jobs.values()):
            if origin not in job.origins:
                continue
            if may_return and job.origins == {origin}:
                job.origins.clear()
                job.orphaned_at = now
            else:
                self.cancel(job.id, origin, "entry lost", now)

    def _end_orphans(self, now: float) -> None:
        for job in list(self.tables.jobs.values()):
            if job.origins or now - job.orphaned_at < ORPHAN_S:
                continue
            self._log(
                events.Event.ZONE_JOB_CANCELLED, job=job.id, reason="entry lost"
            )
            self._end(job, None, "entry lost", now)

    def _end(
        self,
        job: zonetables.Job,
        verdict: zonetables.Verdict | None,
        reason: str,
        now: float,
        retry_after_s: float = 0.0,
    ) -> None:
        """Answers a job and stops what still runs of it."""
        self.tables.jobs.pop(job.id, None)
        for run in list(job.runs.values()):
            self.runs.stop(run, now)
        job.waiting.clear()
        if verdict != zonetables.Verdict.NOT_RUN or job.next_number:
            self.tables.recent[job.id] = zonetables.Recent(
                verdict, reason, job.next_number, now
            )
        if verdict is not None and job.origins:
            self._orders.append(
                orders_lib.AnswerJob(
                    tuple(job.origins), job.id, verdict, reason, retry_after_s
                )
            )

    def _fail(self, job: zonetables.Job, reason: str, now: float) -> None:
        """Gives a job up: not run if that is certain, else failed."""
        if not job.possible_starts:
            outlook = schedule.new_outlook(self.tables, job, now)
            self._refuse(job, reason, outlook, now)
            return
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
        self._end(job, zonetables.Verdict.FAILED, reason, now)

    def _abandon(self, job: zonetables.Job, now: float) -> None:
        """Ends a job that nobody asked for again after its deadline."""
        self._log(
            events.Event.ZONE_JOB_CANCELLED, job=job.id, reason="deadline"
        )
        self.tables.counters["abandoned"] += 1
        self._end(job, None, "deadline", now)

    def resume(self, now: float) -> None:
        """After a pause of this process nothing that it knew is certain.

        Servers are looked at again before any start, and jobs wait until
        their entries were heard or given up.
        """
        for server in self.tables.servers.values():
            server.listed = False
        for job in self.tables.jobs.values():
            job.not_before = now + RESUME_S

    # Ticks

    def tick(self, now: float) -> None:
        """Ends what is over time, then starts what fits, best first."""
        if now - self._checked_at >= CHECK_S:
            self._checked_at = now
            self.runs.resolve(now)
            self._end_orphans(now)
            self._forget(now)
        self._give_up(now)
        self._start_tasks(now)

    def _give_up(self, now: float) -> None:
        fullness = self.admission.fullness()
        for job in list(self.tables.jobs.values()):
            if now >= job.deadline_at:
                if not job.possible_starts:
                    self._fail(job, "deadline", now)
                elif now >= max(job.deadline_at + KEEP_WAIT_S, job.kept_until):
                    self._abandon(job, now)
            elif (
                not job.possible_starts
                and now + job.estimate_s
                > self.admission.latest_end(job, fullness)
            ):
                self._fail(job, "overloaded", now)

    def _start_tasks(self, now: float) -> None:
        # Once every server has obeyed this owner, no run is unknown.
        are_known = self.runs.are_known
        waiting = [
            j
            for j in self.tables.jobs.values()
            if j.waiting
            and now >= j.not_before
            and (are_known or now >= j.hold_until)
        ]
        if not waiting:
            return
        usable = self._usable_servers(now)
        full = []  # demands for which there is no room any more
        for job in schedule.in_order(waiting, now):
            if any(f.covers(job) for f in full):
                continue
            started = []
            for index in list(job.waiting):
                if job.key(index) in self.tables.live_runs:
                    continue  # an earlier run of it has not certainly ended
                server = self._choose_server(job, index, usable)
                if server is None:
                    if index not in job.avoid:
                        full.append(_Full(job.queue.service, job.step))
                    break
                job.waiting.remove(index)
                started.append((index, self._start(job, index, server, now)))
            if started:
                self._log_started(job, started, now)

    def _usable_servers(self, now: float) -> list["_Usable"]:
        """Returns the servers for new tasks, the fastest first."""
        found = [
            _Usable(round(judge.slowness(s, now) / SLOWNESS_STEP), s)
            for s in self.tables.servers.values()
            if judge.is_usable(s, now) and not zoneruns.has_unclaimed(s)
        ]
        found.sort(key=lambda u: u.slowness_steps)
        return found

    def _log_started(
        self,
        job: zonetables.Job,
        started: list[tuple[int, zonetables.Run]],
        now: float,
    ) -> None:
        """Writes one line for all tasks of a job that start together."""
        self._log(
            events.Event.ZONE_RUN_STARTED,
            job=job.id,
            tasks=",".join(str(index) for index, _ in started),
            servers=",".join(run.server.id for _, run in started),
            runs=",".join(str(run.number) for _, run in started),
            expected_ms=zonetables.milliseconds(job.estimate_s),
            still_waiting=len(job.waiting),
            slack_ms=zonetables.milliseconds(
                job.objective_at - job.estimate_s - now
            ),
        )

    def _choose_server(
        self, job: zonetables.Job, index: int, usable: list["_Usable"]
    ) -> zonetables.Server | None:
        """Returns the server where the task is expected to end first.

        Among equally fast ones the fullest is taken, so that wide room stays.
        """
        best = None
        best_steps = 0
        step = job.step
        avoided = job.avoid.get(index)
        for entry in usable:
            if best is not None and entry.slowness_steps > best_steps:
                break
            server = entry.server
            if server.service != job.queue.service:
                continue
            if server.id == avoided and len(usable) > 1:
                continue  # where it failed, it may well fail again
            if not step.demand.fits(server.free):
                continue
            if step.label and step.label not in server.labels:
                continue
            if best is None or server.free.cpu < best.free.cpu:
                best, best_steps = server, entry.slowness_steps
        return best

    def _start(
        self,
        job: zonetables.Job,
        index: int,
        server: zonetables.Server,
        now: float,
    ) -> zonetables.Run:
        number = job.next_number.get(index, 1)
        job.next_number[index] = number + 1
        expected_s = job.estimate_s * judge.slowness(server, now)
        run = zonetables.Run(
            job.key(index),
            number,
            server,
            job.step.demand,
            job,
            zonetables.RunState.STARTING,
            now,
            expected_s,
        )
        self.tables.add_run(run)
        job.runs[index] = run
        job.possible_starts += 1
        if job.first_start_at is None:
            job.first_start_at = now
        self.tables.counters["starts"] += 1
        self._orders.append(orders_lib.StartRun(run))
        return run

    def _forget(self, now: float) -> None:
        tables = self.tables
        for job_id, foreign in list(tables.foreign_jobs.items()):
            if now < foreign.until:
                break  # the others were noted later
            del tables.foreign_jobs[job_id]
        for table, kept_s in (
            (tables.recent, zonetables.RECENT_JOBS_KEPT_S),
            (tables.ended_unclaimed, zonetables.RECENT_JOBS_KEPT_S),
        ):
            # Both are in order of time.
            while table:
                key = next(iter(table))
                value = table[key]
                at = value if isinstance(value, float) else value.at
                if now - at < kept_s:
                    break
                del table[key]
        for server in tables.servers.values():
            while server.gone:
                run_id = next(iter(server.gone))
                if now - server.gone[run_id] < zonetables.ENDED_RUNS_KEPT_S:
                    break
                del server.gone[run_id]

    # Runs

    # Observations

    def task_done(self, run: zonetables.Run, now: float) -> None:
        """A run ended well: learns from it and counts its task."""
        job = run.job
        if run.confirmed_at is not None and job.estimate_s > 0:
            judge.report_done(
                self.tables,
                run.server,
                job.queue.name,
                now - run.sent_at,
                job.step.estimate_s,
                now,
            )
        self.count_done(job, run.key.index, now)

    def count_done(self, job: zonetables.Job, index: int, now: float) -> None:
        """Counts a task as done; answers the job after its last one."""
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
        self._end(job, zonetables.Verdict.COMPLETED, "done", now)

    def task_failed(self, run: zonetables.Run, now: float) -> bool:
        """A run failed; returns whether its task starts again."""
        job = run.job
        index = run.key.index
        if judge.report_failed(self.tables, run.server, now):
            self._log(
                events.Event.ZONE_SERVER_AVOIDED,
                server=run.server.id,
                failures=run.server.failures,
            )
        job.failures[index] = job.failures.get(index, 0) + 1
        if job.failures[index] < job.queue.max_attempts:
            return True
        self._fail(job, "task failed", now)
        return False

    def _emit(self, order: orders_lib.Order) -> None:
        self._orders.append(order)

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))


def new_placer(zone: str, late_share: float, now: float) -> Placer:
    """Creates the placer of a zone that begins to own its servers."""
    tables = zonetables.ZoneTables(zone)
    return Placer(tables, zoneadmission.Admission(tables, late_share), now)
