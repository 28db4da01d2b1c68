"""Placement: starts the waiting tasks of a zone on its backend servers.

Chooses which tasks start in a tick of the placer, and on which server. With
`look_ahead` it answers a load of tasks of about half a server that arrive
faster than they fit: small tasks would take the room that larger, more urgent
ones wait for, and a wide job would end with its task on a slow server.
"""

import collections.abc
import math

import attrs

from acacialine import events
from acacialine import leases
from acacialine import lookahead
from acacialine import orders as orders_lib
from acacialine import placementpolicy
from acacialine import schedule
from acacialine import serverhealth
from acacialine import zoneadmission
from acacialine import zoneruns
from acacialine import zonetables

# Starts in one tick, which does nothing else meanwhile, and of these on one
# server: each that finds no idle connection there opens one.
MAX_STARTS = 100
MAX_STARTS_PER_SERVER = 16
SLOWNESS_STEP = 0.2  # servers within one step count as equally fast
# Least time for which the lease of a start is to last.
MIN_START_LEASE_S = 0.3
# Time after a task could not start for which tasks are paired by what fits.
CONTENTION_S = 0.25


@attrs.define
class _UsableServer:
    """A backend server that accepts new tasks.

    Attributes:
        slowness_steps: Expected slowness in units of SLOWNESS_STEP.
        is_reserved: Whether only a suspect task may start there.
        start_count: Number of runs that were started there in this tick.
    """

    slowness_steps: int
    server: zonetables.Server
    is_reserved: bool = False
    start_count: int = 0

    @property
    def has_place(self) -> bool:
        """Whether another run may start there in this tick."""
        return (
            self.start_count < MAX_STARTS_PER_SERVER
            and len(self.server.runs) < schedule.MAX_RUNS_PER_SERVER
        )


@attrs.frozen
class _UnplaceableDemand:
    """A task size that no backend server can take in the current tick.

    Attributes:
        client_back_at: When the client of its job may be back, if only leases
            that end later kept it from a server; else infinite.
    """

    service: str
    step: zonetables.Step
    client_back_at: float

    def excludes(self, job: zonetables.Job, client_back_at: float) -> bool:
        """Returns whether the tasks of a job can't be placed either.

        Args:
            job: The job.
            client_back_at: When its client may be back.
        """
        return (
            job.queue.service == self.service
            and client_back_at <= self.client_back_at
            and job.step.label == self.step.label
            and self.step.demand.fits(job.step.demand)
        )


@attrs.define(eq=False)
class TaskStarter:
    """Starts the waiting tasks of one zone; used by its placer.

    Emits the orders that start runs.

    Attributes:
        is_cut_short: Whether the last tick ended with MAX_STARTS starts.
    """

    _tables: zonetables.ZoneTables
    _runs: zoneruns.Runs
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    _policy: placementpolicy.PlacementPolicy = attrs.field(
        factory=placementpolicy.PlacementPolicy
    )
    # The most urgent job of the current tick that can't start, and the servers
    # kept for it once another job could take one.
    _blocked_job: zonetables.Job | None = None
    _reservation: lookahead.Reservation | None = None
    _reserved_job_id: str = ""
    _contended_until: float = -1e9
    # Whether a server was left out last because of its leases only.
    _is_lease_limited: bool = False
    is_cut_short: bool = False

    def start_tasks(self, suspect_origins: set, now: float) -> None:
        """Starts waiting tasks, the most urgent job first.

        Args:
            suspect_origins: Sessions of dispatchers that may be lost. No task
                of a job for which no other one waits starts.
            now: The current time.
        """
        self.is_cut_short = False
        # A server that has answered a poll of this owner no longer obeys an
        # earlier owner. Once all servers have answered, all runs are known.
        all_runs_known = self._runs.all_runs_known
        if self._runs.awaits_list or not self._runs.may_extend_leases(now):
            return
        waiting = [
            j
            for j in self._tables.jobs.values()
            if j.waiting
            and now >= j.not_before
            and now <= j.awaited_until
            and not (j.origins and j.origins <= suspect_origins)
            and (
                now >= j.hold_until
                or (
                    all_runs_known
                    and j.known_since > self._runs.unknown_before
                    and j.handed_over_at <= self._runs.list_sent_at
                )
            )
        ]
        if not waiting:
            return
        usable = self._usable_servers(waiting, now)
        self._reserve_servers(usable, waiting, now)
        unplaceable = []
        starts_left = MAX_STARTS
        self._blocked_job = self._reservation = None
        for job in schedule.sort_by_urgency(waiting, now):
            if not starts_left:
                break
            client_back_at = self._client_back_at(job, now)
            if any(d.excludes(job, client_back_at) for d in unplaceable):
                continue
            started = []
            for index in list(job.waiting):
                if not starts_left:
                    break
                if job.key(index) in self._tables.live_runs:
                    continue  # an earlier run of the task may be alive
                is_suspect = self._is_suspect(job, index)
                if is_suspect and not _ends_in_time(job, now):
                    continue
                choice = self._choose_server(
                    job, index, usable, is_suspect, now
                )
                if choice is None and is_suspect:
                    continue
                if choice is None:
                    if index in job.avoided_servers:
                        continue  # the others may start on that server
                    self._record_unplaced(job, now)
                    unplaceable.append(
                        _UnplaceableDemand(
                            job.queue.service,
                            job.step,
                            client_back_at
                            if self._is_lease_limited
                            else math.inf,
                        )
                    )
                    break
                if (
                    self._policy.look_ahead
                    and not is_suspect
                    and self._should_wait(job, choice.server, now)
                ):
                    self._record_unplaced(job, now)
                    break
                if self._reservation is not None:
                    self._tables.counters["contention.backfilled"] += 1
                job.waiting.remove(index)
                choice.start_count += 1
                starts_left -= 1
                run = self._start_run(
                    job, index, choice.server, is_suspect, now
                )
                started.append((index, run))
            if started:
                self._log_started(job, started, now)
        self.is_cut_short = not starts_left

    def _record_unplaced(self, job: zonetables.Job, now: float) -> None:
        """Records a job of which a task can't start, the most urgent first."""
        if self._blocked_job is None:
            self._blocked_job = job
        self._contended_until = now + CONTENTION_S

    def _should_wait(
        self, job: zonetables.Job, server: zonetables.Server, now: float
    ) -> bool:
        """Returns whether a task ends in target only if it waits.

        A wide job ends with its last task, so a task on a slow server may make
        all the others worthless.
        """
        end = now + job.estimate_s * serverhealth.slowness(server, now)
        if end <= job.objective_at:
            return False
        better = lookahead.find_earlier_end(
            self._tables, job, job.objective_at, now
        )
        if better is None:
            return False
        self._tables.counters["contention.waited_for_faster"] += 1
        return True

    def _may_backfill(
        self, job: zonetables.Job, server: zonetables.Server, now: float
    ) -> bool:
        """Returns whether a task leaves the reserved servers as planned."""
        blocked = self._blocked_job
        if blocked is None or blocked is job:
            return True
        if blocked.queue.service != job.queue.service:
            return True
        if self._reservation is None:
            self._reservation = lookahead.new_reservation(
                self._tables, blocked, now
            )
            self._log_reserved(now)
        is_admitted = self._reservation.admits(
            server,
            job.step.demand,
            lookahead.latest_task_end(self._tables, job, server, now),
            now,
        )
        if not is_admitted:
            self._tables.counters["contention.held_back"] += 1
        return is_admitted

    def _log_reserved(self, now: float) -> None:
        """Logs a reservation and counts it, once for each job in a row."""
        job = self._reservation.job
        if job.id == self._reserved_job_id:
            return
        self._reserved_job_id = job.id
        self._tables.counters["contention.reserved"] += 1
        tasks = [t for ts in self._reservation.tasks.values() for t in ts]
        self._log(
            events.Event.ZONE_JOB_RESERVED,
            job=job.id,
            queue=job.queue.name,
            servers=",".join(self._reservation.tasks),
            waiting=len(job.waiting),
            starts_in_ms=zonetables.milliseconds(
                max((t.start for t in tasks), default=now) - now
            ),
            slack_ms=zonetables.milliseconds(
                job.objective_at - job.estimate_s - now
            ),
        )

    def _usable_servers(
        self, waiting: list[zonetables.Job], now: float
    ) -> list["_UsableServer"]:
        """Returns the servers that accept new tasks, fastest first.

        Those that are too full for a task of any waiting job are left out.
        """
        smallest_cpu = min(j.step.demand.cpu for j in waiting)
        usable = [
            _UsableServer(
                round(serverhealth.slowness(s, now) / SLOWNESS_STEP), s
            )
            for s in self._tables.servers.values()
            if s.free.cpu >= smallest_cpu and self._accepts_tasks(s, now)
        ]
        usable.sort(key=lambda u: u.slowness_steps)
        return usable

    def _accepts_tasks(self, server: zonetables.Server, now: float) -> bool:
        return (
            serverhealth.is_usable(server, now)
            and not zoneruns.has_unclaimed_runs(server)
            and not server.isolated_runs
            # A start carries a lease for all runs of its server.
            and leases.attended_until(server, now)
            + self._runs.lease_times.length_s
            >= now + MIN_START_LEASE_S
        )

    def _client_back_at(self, job: zonetables.Job, now: float) -> float:
        """Returns when the client of a job may be back in another zone."""
        max_unattended_s = self._runs.lease_times.max_unattended_s
        return job.attended_until(now) + max_unattended_s

    def _is_suspect(self, job: zonetables.Job, index: int) -> bool:
        """Returns whether a task may have crashed a backend server.

        It runs isolated: a further crash strikes no other task, and proves
        that none beside it was the cause.
        """
        return self._tables.losses.is_suspect(job.id, index)

    def _reserve_servers(
        self,
        usable: list["_UsableServer"],
        waiting: list[zonetables.Job],
        now: float,
    ) -> None:
        """Reserves a server of each service for which a suspect task waits.

        It is the one that is empty soonest. No other task starts there, so it
        stays the soonest and is reserved again until the suspect has started.
        """
        if not len(self._tables.losses):
            return
        services = {
            job.queue.service
            for job in waiting
            if _ends_in_time(job, now)
            and any(self._is_suspect(job, index) for index in job.waiting)
        }
        for service in services:
            candidates = [
                s
                for s in self._tables.servers.values()
                if s.service == service and self._accepts_tasks(s, now)
            ]
            if not candidates:
                continue
            reserved = min(candidates, key=lambda s: _empty_at(s, now))
            for candidate in usable:
                if candidate.server is reserved:
                    candidate.is_reserved = True

    def _log_started(
        self,
        job: zonetables.Job,
        started: list[tuple[int, zonetables.Run]],
        now: float,
    ) -> None:
        """Logs one line for all tasks of a job that start together."""
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
            unattended_ms=zonetables.milliseconds(
                now - job.attended_until(now)
            ),
            lease_left_ms=zonetables.milliseconds(
                max(0.0, *(run.server.lease_until - now for _, run in started))
            ),
        )

    def _choose_server(
        self,
        job: zonetables.Job,
        index: int,
        usable: list["_UsableServer"],
        is_suspect: bool,
        now: float,
    ) -> _UsableServer | None:
        """Returns the fastest server that the task fits on, else None.

        A suspect task needs a server without any run. Among equally fast
        servers the one with the least free CPU is chosen, so that contiguous
        capacity remains for large tasks. With look-ahead and under contention
        it is the one that the task fits best. One that did not answer the last
        start of the task is chosen only if no other has room.
        """
        best = None
        fallback = None
        best_slowness_steps = 0
        step = job.step
        avoided_id = job.avoided_servers.get(index)
        unanswered_id = job.unanswered_servers.get(index)
        by_fit = self._policy.look_ahead and now < self._contended_until
        best_score = None
        client_back_at = self._client_back_at(job, now)
        self._is_lease_limited = False
        for candidate in usable:
            if (
                best is not None
                and not by_fit
                and candidate.slowness_steps > best_slowness_steps
            ):
                break
            server = candidate.server
            if server.service != job.queue.service or not candidate.has_place:
                continue
            if is_suspect:
                if server.runs:
                    continue
            elif candidate.is_reserved or server.isolated_runs:
                continue
            if server.id == avoided_id and self._has_alternative(
                server, job, now
            ):
                continue  # the task failed or was not started there
            if not step.demand.fits(server.free):
                continue
            if step.label and step.label not in server.labels:
                continue
            if leases.ends_by(server) > client_back_at:
                # A run that nobody attends would go on too long.
                self._is_lease_limited = True
                continue
            if (
                self._policy.look_ahead
                and self._blocked_job is not None
                and not is_suspect
                and not self._may_backfill(job, server, now)
            ):
                continue
            if server.id == unanswered_id:
                fallback = candidate
                continue
            if by_fit:
                score = self._fit_score(job, server, now)
                if best_score is None or score < best_score:
                    best, best_score = candidate, score
                continue
            if best is None or server.free.cpu < best.server.free.cpu:
                best, best_slowness_steps = candidate, candidate.slowness_steps
        return best or fallback

    def _fit_score(
        self, job: zonetables.Job, server: zonetables.Server, now: float
    ) -> tuple:
        """Returns the order of servers under contention, lowest first.

        Among servers on which the task ends in target it is the one with the
        smallest hole left over, then the slowest; else the fastest.
        """
        hole_cpu = server.free.cpu - job.step.demand.cpu
        latest_end = lookahead.latest_task_end(self._tables, job, server, now)
        if latest_end <= job.objective_at:
            return (0, hole_cpu, -server.slowness)
        return (
            1,
            round(serverhealth.slowness(server, now) / SLOWNESS_STEP),
            hole_cpu,
        )

    def _has_alternative(
        self, avoided: zonetables.Server, job: zonetables.Job, now: float
    ) -> bool:
        """Returns whether another server may run the tasks of a job."""
        return any(
            s is not avoided
            and zoneadmission.may_ever_run(s, job)
            and self._accepts_tasks(s, now)
            for s in self._tables.servers.values()
        )

    def _start_run(
        self,
        job: zonetables.Job,
        index: int,
        server: zonetables.Server,
        is_isolated: bool,
        now: float,
    ) -> zonetables.Run:
        number = job.run_numbers.lowest(index)
        job.run_numbers.use(index, number)
        expected_s = job.estimate_s * serverhealth.slowness(server, now)
        run = zonetables.Run(
            job.key(index),
            number,
            server,
            job.step.demand,
            job,
            zonetables.RunState.STARTING,
            now,
            expected_s,
            is_isolated=is_isolated,
        )
        self._tables.add_run(run)
        job.runs[index] = run
        job.possible_starts += 1
        if job.first_start_at is None:
            job.first_start_at = now
            if job.hold_until:
                self._log_resumed(job, now)
        self._tables.counters["starts"] += 1
        self._emit(orders_lib.StartRun(run))
        return run

    def _log_resumed(self, job: zonetables.Job, now: float) -> None:
        """Logs what is known of the runs of a job that was handed over."""
        listed = [s for s in self._tables.servers.values() if s.is_in_store]
        self._log(
            events.Event.ZONE_JOB_RESUMED,
            job=job.id,
            hold_left_ms=zonetables.milliseconds(
                max(0.0, job.hold_until - now)
            ),
            adopted=len(job.runs) - 1,
            servers=len(listed),
            unknown_servers=sum(not s.runs_listed for s in listed),
        )

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))


def _ends_in_time(job: zonetables.Job, now: float) -> bool:
    """Returns whether a task that starts now is to end before the deadline."""
    return now + job.estimate_s <= job.deadline_at


def _empty_at(server: zonetables.Server, now: float) -> float:
    """Returns when the last run of a server is expected to end."""
    return max(
        (schedule.expected_end(run, now) for run in server.runs.values()),
        default=now,
    )
