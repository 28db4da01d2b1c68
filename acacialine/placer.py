"""The placer: decides over the tables of one availability zone.

Stages of a job: `submit` accepts or refuses it, `tick` starts its tasks,
`observe` takes note of how they end, `_finish` answers. Every method returns
nothing; orders are collected and handed out by `take_orders`.
"""

import attrs

from acacialine import events
from acacialine import judge
from acacialine import orders as orders_lib
from acacialine import schedule
from acacialine import zonetables

ADOPTION_S = 0.25  # for entries to claim runs of an earlier owner
LAPSE_S = 1.1  # longest lease on the slowest clock, with a margin
STOP_REPEAT_S = 0.15  # a stop without confirmation is sent again
STOP_ALLOWANCE_S = 0.06  # a backend server takes up to 50 ms for a stop
STALLED_S = 0.25  # without progress beyond the expected time
STALLED_RATIO = 2.5  # of the expected time before a run can count as stalled
ORPHAN_S = 0.3  # for an entry whose link broke to dial again
RETRY_AFTER_MIN_S = 1.0  # Retry-After has whole seconds
RETRY_AFTER_MAX_S = 10.0
HANDOVER_NUMBERS = 16  # run numbers left to each earlier owner
OLD_NUMBER_STEP = 8
# A job that is running at its deadline goes on for its caller's next try,
# which comes 1.3 s after the 504 and joins it.
RESUMED_S = 2.0
ESTIMATE_MIN_S = 0.005
# Accepted lateness with as many tasks waiting as there are places: less than
# none, since more urgent jobs will still come and go first.
FULL_LATE_SHARE = -0.25
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


@attrs.define(eq=False)
class Placer:
    """Owner of the backend servers of one availability zone.

    Attributes:
        tables: What it knows.
        late_share: Share of its objective by which a job may be predicted
            late and still be accepted.
        owned_since: When it became the owner.
        is_list_certain: Whether no server left the list shortly before, on
            which an earlier owner may still have runs.
        usual_places: Places of the zone for tasks of the usual size.
        free_elsewhere: Most free places that another zone reports.
    """

    tables: zonetables.ZoneTables
    late_share: float
    owned_since: float
    is_list_certain: bool = True
    free_elsewhere: int = 0
    usual_places: int = 1
    _orders: list[orders_lib.Order] = attrs.field(factory=list)

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
        tables.priority_seen[submission.queue.priority] = now
        job = self._new_job(submission, origin, recent, now)
        if submission.handovers:
            self._adopt(job)
        reason = self._reason_to_refuse(job, submission.is_spilled, now)
        if reason and not job.possible_starts:
            self._refuse(job, reason, now)
            return
        tables.jobs[job.id] = job
        self._log(
            events.Event.ZONE_JOB_ACCEPTED,
            job=job.id,
            queue=job.queue.name,
            tasks=job.step.count,
            waiting_jobs=self._waiting_jobs(),
            objective_ms=_ms(job.objective_at - now),
            handovers=submission.handovers,
        )

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
            job.hold_until = self.owned_since + LAPSE_S
        return job

    def _present_servers(self) -> list[zonetables.Server]:
        return [s for s in self.tables.servers.values() if s.present]

    def _adopt(self, job: zonetables.Job) -> None:
        """Takes over runs and ends that an earlier owner left behind."""
        for server in self.tables.servers.values():
            for run in list(server.runs.values()):
                if run.job is None and run.key.job_id == job.id:
                    self._claim(server, run, job)
        for index in range(job.step.count):
            if job.key(index) in self.tables.ended_unclaimed:
                job.done.add(index)
                if index in job.waiting:
                    job.waiting.remove(index)

    def _claim(
        self,
        server: zonetables.Server,
        run: zonetables.Run,
        job: zonetables.Job,
    ) -> None:
        index = run.key.index
        if index >= job.step.count or index in job.runs:
            return
        if run.state != zonetables.RunState.RUNNING:
            return
        run.job = job
        run.expected_s = job.estimate_s
        run.demand = job.step.demand
        server.used = server.used + run.demand
        job.runs[index] = run
        job.next_number[index] = max(
            job.next_number.get(index, 1), run.number + 1
        )
        job.waiting.remove(index)
        self.tables.counters["runs_adopted"] += 1

    def _reason_to_refuse(
        self, job: zonetables.Job, is_spilled: bool, now: float
    ) -> str:
        step = job.step
        fitting = [
            s
            for s in self.tables.servers.values()
            if s.present
            and s.service == job.queue.service
            and step.demand.fits(s.capacity)
            and (not step.label or step.label in s.labels)
        ]
        if not fitting:
            return "unservable"
        if not all(s.listed for s in fitting):
            return ""  # right after a takeover; room is not known yet
        if job.deadline_at - now < job.estimate_s:
            return "deadline"
        self.usual_places = len(
            schedule.slot_times(
                self.tables, job.queue.service, step.demand, step.label, now
            )
        )
        end = schedule.predicted_end(self.tables, job, now)
        if end is None:
            # No server answers at present; another zone may have some.
            return "" if is_spilled else "unservable"
        if end <= min(self._latest_end(job), job.deadline_at):
            return ""
        if not is_spilled and self.free_elsewhere >= step.count:
            return "overloaded"  # its entry then asks the other zone
        return "" if self._has_place(job, now) else "overloaded"

    def _has_place(self, job: zonetables.Job, now: float) -> bool:
        """Returns whether a task could start now, ahead of none waiting."""
        free = self._free_places(job, now)
        free -= schedule.kept_places(self.tables, job, now)
        return free > self._waiting_tasks()

    def _free_places(self, job: zonetables.Job, now: float) -> int:
        step = job.step
        times = schedule.slot_times(
            self.tables, job.queue.service, step.demand, step.label, now
        )
        return sum(1 for at in times if at <= now)

    def _waiting_tasks(self) -> int:
        return sum(len(j.waiting) for j in self.tables.jobs.values())

    def _latest_end(self, job: zonetables.Job) -> float:
        """Returns until when an end is still worth the room it takes.

        The fuller the queue, the less lateness is accepted, because a late
        job then makes others late.
        """
        objective_s = job.objective_at - job.arrived_at
        fullness = min(1.0, self._waiting_tasks() / max(1, self.usual_places))
        share = self.late_share + fullness * (FULL_LATE_SHARE - self.late_share)
        return job.objective_at + share * objective_s

    def _refuse(self, job: zonetables.Job, reason: str, now: float) -> None:
        retry_after_s = self._retry_after_s(job, now)
        end = schedule.predicted_end(self.tables, job, now)
        self._log(
            events.Event.ZONE_JOB_REFUSED,
            job=job.id,
            queue=job.queue.name,
            reason=reason,
            tasks=job.step.count,
            waiting_jobs=self._waiting_jobs(),
            free_places=self._free_places(job, now),
            waiting_tasks=self._waiting_tasks(),
            free_elsewhere=self.free_elsewhere,
            predicted_ms=_ms(end - job.arrived_at) if end else "none",
            objective_ms=_ms(job.objective_at - job.arrived_at),
            waited_ms=_ms(now - job.arrived_at),
            retry_after_s=retry_after_s,
        )
        self.tables.counters[f"refused.{reason}"] += 1
        self._end(job, zonetables.Verdict.NOT_RUN, reason, now, retry_after_s)

    def _retry_after_s(self, job: zonetables.Job, now: float) -> float:
        """Returns when the work ahead has drained, spread over returns."""
        end = schedule.predicted_end(self.tables, job, now)
        wait_s = (end or now) - now
        # Spreads callers by their id: those refused together return apart.
        spread = int(job.id[-2:] or "0", 16) / 255 if _is_hex(job.id) else 0.5
        wait_s = wait_s * (1 + spread)
        return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)

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
            self._stop(run, now)
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
            self._refuse(job, reason, now)
            return
        self._log(
            events.Event.ZONE_JOB_FAILED,
            job=job.id,
            queue=job.queue.name,
            reason=reason,
            done=len(job.done),
            tasks=job.step.count,
            age_ms=_ms(now - job.arrived_at),
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

    # Ticks

    def tick(self, now: float) -> None:
        """Ends what is over time, then starts what fits, best first."""
        self._resolve_runs(now)
        self._end_orphans(now)
        self._give_up(now)
        self._start_tasks(now)
        self._forget(now)

    def _give_up(self, now: float) -> None:
        for job in list(self.tables.jobs.values()):
            if now >= job.deadline_at:
                if not job.possible_starts:
                    self._fail(job, "deadline", now)
                elif now >= job.deadline_at + RESUMED_S:
                    self._abandon(job, now)
            elif (
                not job.possible_starts
                and now + job.estimate_s > self._latest_end(job)
            ):
                self._fail(job, "overloaded", now)

    def _start_tasks(self, now: float) -> None:
        # Once every server has obeyed this owner, no run is unknown.
        all_listed = self.is_list_certain and all(
            s.listed for s in self._present_servers()
        )
        waiting = [
            j
            for j in self.tables.jobs.values()
            if j.waiting and (all_listed or now >= j.hold_until)
        ]
        if not waiting:
            return
        usable = [
            s
            for s in self.tables.servers.values()
            if judge.is_usable(s, now) and not _has_unclaimed(s)
        ]
        for job in schedule.in_order(waiting, now):
            started = []
            room = self._room_for(job, usable, now)
            for index in list(job.waiting)[:room]:
                if job.key(index) in self.tables.live_runs:
                    continue  # an earlier run of it has not certainly ended
                server = self._choose_server(job, index, usable, now)
                if server is None:
                    break
                job.waiting.remove(index)
                started.append((index, self._start(job, index, server, now)))
            if started:
                self._log_started(job, started, now)

    def _room_for(
        self,
        job: zonetables.Job,
        usable: list[zonetables.Server],
        now: float,
    ) -> int:
        """Returns how many tasks of a job may start beside kept places."""
        kept = schedule.kept_places(self.tables, job, now)
        if not kept:
            return len(job.waiting)
        idle = sum(
            schedule.places(s.free, job.step.demand)
            for s in usable
            if s.service == job.queue.service
        )
        return max(0, idle - kept)

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
            expected_ms=_ms(job.estimate_s),
            still_waiting=len(job.waiting),
            slack_ms=_ms(job.objective_at - job.estimate_s - now),
        )

    def _choose_server(
        self,
        job: zonetables.Job,
        index: int,
        usable: list[zonetables.Server],
        now: float,
    ) -> zonetables.Server | None:
        """Returns the server where the task is expected to end first.

        Among equally fast ones the fullest is taken, so that wide room stays.
        """
        best = None
        best_key = None
        step = job.step
        avoided = job.avoid.get(index)
        for server in usable:
            if server.service != job.queue.service:
                continue
            if server.id == avoided and len(usable) > 1:
                continue  # where it failed, it may well fail again
            if not step.demand.fits(server.free):
                continue
            if step.label and step.label not in server.labels:
                continue
            slow = round(judge.slowness(server, now) / SLOWNESS_STEP)
            key = (slow, server.free.cpu)
            if best_key is None or key < best_key:
                best, best_key = server, key
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

    def _stop(self, run: zonetables.Run, now: float) -> None:
        """Stops a run; its room stays occupied until its end is known."""
        if run.job is not None:
            run.job.runs.pop(run.key.index, None)
            run.job = None
        if run.state == zonetables.RunState.STARTING:
            run.state = zonetables.RunState.DOUBTFUL
        elif run.state == zonetables.RunState.RUNNING:
            run.state = zonetables.RunState.STOPPING
        self._order_stop(run, now)

    def _order_stop(self, run: zonetables.Run, now: float) -> None:
        run.stop_sent_at = now
        self._orders.append(orders_lib.StopRun(run))

    def start_result(
        self, run: zonetables.Run, outcome: orders_lib.StartOutcome, now: float
    ) -> None:
        """Takes in the answer to a start."""
        server = run.server
        if server.runs.get(run.id) is not run:
            return  # its end was listed before the answer came
        match outcome:
            case orders_lib.StartOutcome.STARTED:
                judge.report_answer(server)
                run.confirmed_at = run.progress_at = now
                if run.state == zonetables.RunState.STARTING:
                    run.state = zonetables.RunState.RUNNING
                elif run.state == zonetables.RunState.DOUBTFUL:
                    run.state = zonetables.RunState.STOPPING
            case orders_lib.StartOutcome.UNKNOWN:
                judge.report_silent(server, now)
                self._doubt(run, now)
            case _:
                self._not_started(run, outcome, now)

    def _doubt(self, run: zonetables.Run, now: float) -> None:
        """A start without an answer may be carried out now or later."""
        self._log(
            events.Event.ZONE_RUN_DOUBTFUL,
            task=run.key,
            run=run.number,
            server=run.server.id,
            waited_ms=_ms(now - run.sent_at),
        )
        self.tables.counters["runs_doubtful"] += 1
        run.state = zonetables.RunState.DOUBTFUL
        self._order_stop(run, now)

    def _not_started(
        self, run: zonetables.Run, outcome: orders_lib.StartOutcome, now: float
    ) -> None:
        server = run.server
        job = run.job
        if outcome == orders_lib.StartOutcome.UNHEALTHY:
            judge.report_refused(server, now)
        if outcome == orders_lib.StartOutcome.NO_ROOM:
            # It holds more than the table says; a look will tell.
            judge.report_refused(server, now)
        self._log(
            events.Event.ZONE_RUN_NOT_STARTED,
            task=run.key,
            run=run.number,
            server=server.id,
            outcome=outcome.value,
        )
        self.tables.remove_run(run, now)
        if job is None:
            return
        job.possible_starts -= 1
        job.runs.pop(run.key.index, None)
        if outcome == orders_lib.StartOutcome.OLD_NUMBER:
            job.next_number[run.key.index] = run.number + OLD_NUMBER_STEP
        job.avoid[run.key.index] = server.id
        job.waiting.appendleft(run.key.index)

    def stop_result(
        self, run: zonetables.Run, confirmed: bool, now: float
    ) -> None:
        """Takes in the answer to a stop."""
        if confirmed and run.stop_confirmed_at is None:
            run.stop_confirmed_at = now

    def _resolve_runs(self, now: float) -> None:
        """Repeats stops, ends what has lapsed, finds what stands still."""
        for server in self.tables.servers.values():
            for run in list(server.runs.values()):
                if (
                    now > server.lease_until
                    and now > run.not_after
                    and run.state != zonetables.RunState.STARTING
                ):
                    self._run_ended(run, zonetables.EndKind.LOST, now)
                elif run.job is None or run.state in (
                    zonetables.RunState.STOPPING,
                    zonetables.RunState.DOUBTFUL,
                ):
                    self._repeat_stop(server, run, now)
                elif self._is_stalled(run, now):
                    self._restart_stalled(run, now)

    def _repeat_stop(
        self, server: zonetables.Server, run: zonetables.Run, now: float
    ) -> None:
        if run.stop_confirmed_at is not None:
            return
        if run.stop_sent_at is None:
            if now - run.sent_at > ADOPTION_S:
                self._stop(run, now)
        elif now - run.stop_sent_at > STOP_REPEAT_S:
            self._order_stop(run, now)

    def _is_stalled(self, run: zonetables.Run, now: float) -> bool:
        if run.state != zonetables.RunState.RUNNING or not run.progress_at:
            return False
        if now - run.confirmed_at < run.expected_s * STALLED_RATIO:
            return False
        # Only a look can tell that nothing was done since the one before.
        return run.seen_at - run.progress_at > max(STALLED_S, run.expected_s)

    def _restart_stalled(self, run: zonetables.Run, now: float) -> None:
        """Stops a run that stands still; its task then starts elsewhere."""
        self._log(
            events.Event.ZONE_RUN_STALLED,
            task=run.key,
            run=run.number,
            server=run.server.id,
            percent=run.percent,
            age_ms=_ms(now - run.confirmed_at),
            expected_ms=_ms(run.expected_s),
        )
        self.tables.counters["runs_stalled"] += 1
        judge.report_stalled(run.server, now)
        run.state = zonetables.RunState.STOPPING
        self._order_stop(run, now)

    # Observations

    def observe(
        self,
        server: zonetables.Server,
        seen: orders_lib.Observation,
        sent_at: float,
        now: float,
    ) -> None:
        """Takes in a look at a backend server that was asked at sent_at."""
        judge.report_answer(server)
        if server.life and seen.life != server.life:
            self._reborn(server, seen, now)
        server.life = seen.life
        for row in seen.ended:
            self._note_end(server, row, now)
        listed = {(row.key, row.number): row for row in seen.running}
        for run_id, row in listed.items():
            run = server.runs.get(run_id)
            if run is None:
                self._note_unclaimed(server, row, sent_at, now)
                continue
            if run.confirmed_at is None:
                run.confirmed_at = now
            run.seen_at = now
            if row.percent > run.percent or not run.progress_at:
                run.progress_at = now
                run.percent = row.percent
        for run in list(server.runs.values()):
            if run.id not in listed and _is_over(run, sent_at):
                self._run_ended(run, zonetables.EndKind.LOST, now)
        # The capacity of a life that the store has not named is not known.
        is_announced = server.announced_life in (0, seen.life)
        if not server.listed and is_announced:
            server.listed = True
            self._log(
                events.Event.ZONE_SERVER_LISTED,
                server=server.id,
                life=seen.life,
                running=len(listed),
            )

    def _reborn(
        self,
        server: zonetables.Server,
        seen: orders_lib.Observation,
        now: float,
    ) -> None:
        """A new life runs nothing of the old one and numbers ends anew."""
        self._log(
            events.Event.ZONE_SERVER_REBORN,
            server=server.id,
            life=seen.life,
            was=server.life,
            runs=len(server.runs),
        )
        server.acknowledged = 0
        server.slowness = 1.0
        server.failures = 0.0
        server.listed = False
        for run in list(server.runs.values()):
            self._run_ended(run, zonetables.EndKind.LOST, now)

    def _note_end(
        self,
        server: zonetables.Server,
        row: orders_lib.EndedRow,
        now: float,
    ) -> None:
        if row.sequence <= server.acknowledged:
            return
        server.acknowledged = row.sequence
        server.has_unacknowledged = True
        run = server.runs.get((row.key, row.number))
        if run is not None:
            self._run_ended(run, row.kind, now)
        elif row.kind == zonetables.EndKind.DONE:
            self._note_unclaimed_end(row, now)

    def _note_unclaimed_end(self, row: orders_lib.EndedRow, now: float) -> None:
        """An earlier owner's run is done; its job may be here or come yet."""
        job = self.tables.jobs.get(row.key.job_id)
        if job is None:
            self.tables.ended_unclaimed[row.key] = now
        elif row.key.index in job.waiting:
            job.waiting.remove(row.key.index)
            self._count_done(job, row.key.index, now)

    def _note_unclaimed(
        self,
        server: zonetables.Server,
        row: orders_lib.RunningRow,
        sent_at: float,
        now: float,
    ) -> None:
        """A run that this owner has not ordered, or that came late."""
        run_id = (row.key, row.number)
        if server.gone.get(run_id, -1.0) >= sent_at:
            return  # this look is older than the end
        run = zonetables.Run(
            row.key,
            row.number,
            server,
            zonetables.resources_lib.NOTHING,
            None,
            zonetables.RunState.RUNNING,
            now,
            0.0,
            confirmed_at=now,
            percent=row.percent,
            progress_at=now,
        )
        self.tables.add_run(run)
        # Its lease is not known: an earlier owner or a late order gave it.
        server.lease_until = max(server.lease_until, now + LAPSE_S)
        job = self.tables.jobs.get(row.key.job_id)
        if job is not None and row.key.index in job.waiting:
            self._claim(server, run, job)

    def _run_ended(
        self, run: zonetables.Run, kind: zonetables.EndKind, now: float
    ) -> None:
        """Gives back the room of a run and decides about its task."""
        server = run.server
        self.tables.remove_run(run, now)
        self.tables.counters[f"ended.{kind.value}"] += 1
        job = run.job
        if job is None:
            return
        index = run.key.index
        job.runs.pop(index, None)
        if kind == zonetables.EndKind.DONE:
            self._task_done(run, job, index, now)
            return
        if kind == zonetables.EndKind.FAILED:
            self._task_failed(run, job, index, now)
            if job.id not in self.tables.jobs:
                return
        self._log(
            events.Event.ZONE_RUN_ENDED,
            task=run.key,
            run=run.number,
            server=server.id,
            how=kind.value,
            ran_ms=_ms(now - run.sent_at),
        )
        job.avoid[index] = server.id
        job.waiting.appendleft(index)

    def _task_done(
        self,
        run: zonetables.Run,
        job: zonetables.Job,
        index: int,
        now: float,
    ) -> None:
        if run.confirmed_at is not None and job.estimate_s > 0:
            judge.report_done(
                self.tables,
                run.server,
                job.queue.name,
                now - run.sent_at,
                job.step.estimate_s,
                now,
            )
        self._count_done(job, index, now)

    def _count_done(self, job: zonetables.Job, index: int, now: float) -> None:
        job.done.add(index)
        if len(job.done) < job.step.count:
            return
        self._log(
            events.Event.ZONE_JOB_COMPLETED,
            job=job.id,
            queue=job.queue.name,
            tasks=job.step.count,
            age_ms=_ms(now - job.arrived_at),
            objective_ms=_ms(job.objective_at - job.arrived_at),
            queued_ms=_ms((job.first_start_at or now) - job.arrived_at),
        )
        self.tables.counters["completed"] += 1
        self._end(job, zonetables.Verdict.COMPLETED, "done", now)

    def _task_failed(
        self,
        run: zonetables.Run,
        job: zonetables.Job,
        index: int,
        now: float,
    ) -> None:
        if judge.report_failed(self.tables, run.server, now):
            self._log(
                events.Event.ZONE_SERVER_AVOIDED,
                server=run.server.id,
                failures=run.server.failures,
            )
        job.failures[index] = job.failures.get(index, 0) + 1
        if job.failures[index] >= job.queue.max_attempts:
            self._fail(job, "task failed", now)

    # Servers

    def apply_servers(
        self, announced: list[zonetables.Server], now: float
    ) -> None:
        """Takes in the list of backend servers of this zone."""
        tables = self.tables
        ids = set()
        for entry in announced:
            ids.add(entry.id)
            server = tables.servers.get(entry.id)
            if server is None:
                tables.servers[entry.id] = entry
                continue
            self._update_server(server, entry, now)
        for server in list(tables.servers.values()):
            if server.id in ids:
                continue
            server.present = False
            if not server.runs:
                del tables.servers[server.id]

    def _update_server(
        self, server: zonetables.Server, entry: zonetables.Server, now: float
    ) -> None:
        if entry.draining and not server.draining:
            self._log(events.Event.ZONE_SERVER_DRAINING, server=server.id)
        server.present = True
        server.draining = entry.draining
        server.cold_until = entry.cold_until
        server.address = entry.address
        server.service = entry.service
        server.capacity = entry.capacity
        server.labels = entry.labels
        if entry.announced_life != server.announced_life:
            server.announced_life = entry.announced_life
            if server.life != entry.announced_life:
                server.listed = False  # look again before any start

    def server_silent(self, server: zonetables.Server, now: float) -> None:
        """A look at a backend server brought no answer."""
        judge.report_silent(server, now)

    def lost_ownership(self, server: zonetables.Server, now: float) -> None:
        """Another owner has a higher epoch at a backend server."""
        server.listed = False
        for run in list(server.runs.values()):
            job = run.job
            self.tables.remove_run(run, now)
            run.job = None
            if job is not None:
                # The other owner stops or adopts what runs there.
                job.runs.pop(run.key.index, None)
                job.hold_until = max(job.hold_until, now + LAPSE_S)
                self.is_list_certain = False
                job.waiting.appendleft(run.key.index)

    def next_timer(self, now: float) -> float:
        """Returns when something is due without an event."""
        jobs = self.tables.jobs
        if not jobs and not any(s.runs for s in self.tables.servers.values()):
            return now + 1.0
        return now + 0.02

    def _log(self, event: events.Event, **fields) -> None:
        self._orders.append(orders_lib.LogDecision(event, fields))


def _has_unclaimed(server: zonetables.Server) -> bool:
    """Returns whether runs of unknown demand occupy a server."""
    return any(
        run.demand is zonetables.resources_lib.NOTHING
        for run in server.runs.values()
    )


def _is_over(run: zonetables.Run, sent_at: float) -> bool:
    """Returns whether a run that a look does not list has certainly ended."""
    if run.state == zonetables.RunState.STARTING:
        return False
    if run.state == zonetables.RunState.DOUBTFUL:
        confirmed = run.stop_confirmed_at
        if confirmed is not None and confirmed + STOP_ALLOWANCE_S < sent_at:
            return True
        return sent_at > run.not_after
    return run.confirmed_at is not None and run.confirmed_at < sent_at


def _is_hex(text: str) -> bool:
    return len(text) >= 2 and all(c in "0123456789abcdef" for c in text[-2:])


def _ms(seconds: float) -> int:
    return round(seconds * 1000)


def new_placer(
    zone: str, late_share: float, now: float, kept_share: float = 0.0
) -> Placer:
    """Creates the placer of a zone that begins to own its servers."""
    tables = zonetables.ZoneTables(zone, kept_share=kept_share)
    return Placer(tables, late_share, now)
