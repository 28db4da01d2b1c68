"""Runs of the tasks of one zone, from the start order to the certain end.

The capacity that a run occupies is released only when the run has certainly
ended. `JobCallbacks` decides what happens to its task.
"""

import collections.abc
import math
import typing

import attrs

from acacialine import doubtfulruns
from acacialine import events
from acacialine import leases
from acacialine import lingeringruns
from acacialine import orders as orders_lib
from acacialine import outliers as outliers_lib
from acacialine import servercrashes
from acacialine import serverhealth
from acacialine import zonetables

# Time in which polls show a resumed process that it has a successor.
RESUME_CHECK_S = 0.1
STALL_TIMEOUT_S = 0.25  # minimum time without progress
STALL_MIN_AGE_RATIO = 2.5  # minimum age of a stalled run / its expected time
# Added to a run number that a backend server refused as too old.
OLD_NUMBER_INCREMENT = 8


class JobCallbacks(typing.Protocol):
    """Callbacks that report the ends of runs; implemented by the placer."""

    def task_done(self, run: zonetables.Run, now: float) -> None:
        """Records that a run of a job succeeded."""

    def task_failed(self, run: zonetables.Run, now: float) -> bool:
        """Records that a run failed; returns whether its task is retried."""

    def give_up_job(self, job_id: str, now: float) -> None:
        """Fails an open job, as the servers of its task were lost too often."""

    def mark_task_done(
        self, job: zonetables.Job, index: int, now: float
    ) -> None:
        """Records that a task was done under an earlier owner."""

    def handle_first_answer(self, now: float) -> None:
        """Handles that a backend server obeys this owner for the first time."""


@attrs.define(eq=False)
class Runs:
    """All runs on the backend servers of a zone.

    A run of an earlier owner is unclaimed until its job is handed over to
    this placer, which then adopts it, or until `leases.ADOPTION_TIMEOUT_S` is
    over and it is stopped.

    Attributes:
        tables: The tables of the placer.
        job_callbacks: Receives the ends of runs that belong to a job.
        emit: Receives each order.
        lease_times: Times that follow from the length of the leases.
        crashes: Counts the crashes of backend servers against tasks.
        outliers: Puts servers aside that do not answer.
        doubtful: Stops runs until their end is known.
        lingering: Logs and announces the runs that go on without a job.
        is_list_current: Whether the list of servers was read from the store
            since this placer became the owner. An older list may lack a server
            on which the earlier owner has started runs.
        list_sent_at: When the request was sent that last read the list;
            infinite where the list is never read.
        awaits_list: Whether no task starts until the list is read, as the one
            at the takeover is so old that servers may have left since.
        unknown_before: Jobs known since before may have runs on a server that
            has left the list or obeys another owner.
        resumed_at: When this process resumed after it had been suspended.
        is_obeyed: Whether a backend server has answered a poll of this owner.
        may_restart: Whether tasks of stalled runs may start elsewhere. Else
            these runs go on, as stopping them gains nothing.
    """

    tables: zonetables.ZoneTables
    job_callbacks: JobCallbacks
    emit: collections.abc.Callable[[orders_lib.Order], None]
    lease_times: leases.LeaseTimes = attrs.field(factory=leases.LeaseTimes)
    crashes: servercrashes.CrashRecorder = attrs.field(init=False)
    outliers: outliers_lib.OutlierDetector = attrs.field(init=False)
    doubtful: doubtfulruns.DoubtfulRuns = attrs.field(init=False)
    lingering: lingeringruns.LingeringRuns = attrs.field(init=False)
    is_list_current: bool = True
    list_sent_at: float = math.inf
    awaits_list: bool = False
    unknown_before: float = -1e9
    resumed_at: float = -1e9
    is_obeyed: bool = False
    may_restart: bool = True

    def __attrs_post_init__(self):
        self.crashes = servercrashes.CrashRecorder(
            self.tables,
            self.lease_times.min_lease_s,
            self.emit,
            self.job_callbacks.give_up_job,
        )
        self.outliers = outliers_lib.OutlierDetector(self.tables, self.emit)
        self.lingering = lingeringruns.LingeringRuns(self.tables, self.emit)
        self.doubtful = doubtfulruns.DoubtfulRuns(
            self.tables, self.emit, self._handle_run_end
        )

    @property
    def all_runs_known(self) -> bool:
        """Whether all runs on the listed servers are known."""
        return self.is_list_current and all(
            s.runs_listed for s in self.tables.servers.values() if s.is_in_store
        )

    def assume_unknown_servers(self, now: float) -> None:
        """Assumes runs of earlier owners on servers that are not listed.

        Jobs that these owners may have started wait until the leases there
        have ended.
        """
        self.unknown_before = max(
            self.unknown_before, now + self.lease_times.superseded_owner_s
        )

    def handle_process_pause(self, now: float) -> None:
        """Marks the lists of all servers as outdated after a suspension."""
        self.resumed_at = self.crashes.resumed_at = now
        for server in self.tables.servers.values():
            server.runs_listed = False

    def may_extend_leases(self, now: float) -> bool:
        """Returns whether starts and polls may carry a lease.

        After this process was suspended it may have a successor. Any backend
        server may show that, so leases wait for all of them, or for a time.
        """
        return now >= self.resumed_at + RESUME_CHECK_S or self.all_runs_known

    def adopt(self, job: zonetables.Job) -> None:
        """Attaches runs and completed tasks of an earlier owner to a job."""
        for server in self.tables.servers.values():
            for run in list(server.runs.values()):
                if run.job is None and run.key.job_id == job.id:
                    self._adopt_run(server, run, job)
        for index in self._unclaimed_ends_of(job):
            job.done.add(index)
            if index in job.waiting:
                job.waiting.remove(index)

    def _unclaimed_ends_of(self, job: zonetables.Job) -> list[int]:
        """Returns the tasks of a job that were done under an earlier owner."""
        ends = self.tables.unclaimed_ends
        if len(ends) < job.step.count:
            return [key.index for key in ends if key.job_id == job.id]
        return [i for i in range(job.step.count) if job.key(i) in ends]

    def _adopt_run(
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
        run.detached_at = None
        run.is_lingering = False
        run.expected_s = job.estimate_s
        server.unclaimed_runs -= run.is_unclaimed
        run.demand = job.step.demand
        server.occupy(run.demand)
        job.runs[index] = run
        job.run_numbers.use(index, run.number)
        job.waiting.remove(index)
        self.tables.counters["runs_adopted"] += 1

    def stop(self, run: zonetables.Run, now: float) -> None:
        """Stops a run; it occupies its capacity until its end is known."""
        if run.job is not None:
            run.job.runs.pop(run.key.index, None)
            run.detach(now)
        if run.state == zonetables.RunState.STARTING:
            run.state = zonetables.RunState.DOUBTFUL
        elif run.state == zonetables.RunState.RUNNING:
            run.state = zonetables.RunState.STOPPING
        self.doubtful.order_stop(run, now)

    def handle_start_result(
        self, run: zonetables.Run, outcome: orders_lib.StartOutcome, now: float
    ) -> None:
        """Handles the response to a start order."""
        server = run.server
        if outcome == orders_lib.StartOutcome.UNKNOWN:
            self.outliers.record_unanswered(server, "start", run.sent_at, now)
        if server.runs.get(run.id) is not run:
            return  # its end was reported before the response arrived
        match outcome:
            case orders_lib.StartOutcome.STARTED:
                self.outliers.record_response(server, now)
                run.confirm(now)
                run.renewed_at = max(run.renewed_at, run.sent_at)
                run.progress_at = now
                run.settle()
            case orders_lib.StartOutcome.UNKNOWN:
                self.doubtful.handle_unanswered_start(run, now)
            case _:
                self._handle_not_started(run, outcome, now)

    def _handle_not_started(
        self, run: zonetables.Run, outcome: orders_lib.StartOutcome, now: float
    ) -> None:
        server = run.server
        job = run.job
        if outcome in (
            orders_lib.StartOutcome.UNHEALTHY,
            # The server has runs that are missing in the tables; the next
            # poll lists them.
            orders_lib.StartOutcome.NO_CAPACITY,
        ):
            serverhealth.record_refusal(server, now)
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
            job.run_numbers.use(
                run.key.index, run.number + OLD_NUMBER_INCREMENT - 1
            )
        job.avoided_servers[run.key.index] = server.id
        job.waiting.appendleft(run.key.index)

    def handle_stop_result(
        self, run: zonetables.Run, confirmed: bool, now: float
    ) -> None:
        """Records when the response to a stop order confirmed the stop."""
        if confirmed:
            self.outliers.record_response(run.server, now)
            if run.stop_confirmed_at is None:
                run.stop_confirmed_at = now

    def handle_unanswered_stop(self, run: zonetables.Run, now: float) -> None:
        """Handles that a stop order got no response in time."""
        server = run.server
        if server.runs.get(run.id) is run and run.stop_confirmed_at is None:
            self.outliers.record_unanswered(
                server, "stop", run.stop_sent_at, now
            )
            self.doubtful.handle_unanswered_stop(run, now)

    def check_runs(self, now: float) -> None:
        """Ends, stops or restarts runs whose timeouts have passed.

        Runs end that were certainly killed after the end of their lease,
        unconfirmed stops are sent again, and stalled runs are stopped for a
        restart elsewhere.
        """
        for server in self.tables.servers.values():
            for run in list(server.runs.values()):
                self.lingering.check(run, now)
                lease_until = max(server.lease_until, run.not_after)
                if (
                    now > lease_until + leases.KILL_S
                    and run.state != zonetables.RunState.STARTING
                ):
                    self._handle_run_end(run, zonetables.EndKind.EXPIRED, now)
                elif run.job is None or run.state in (
                    zonetables.RunState.STOPPING,
                    zonetables.RunState.DOUBTFUL,
                ):
                    self._retry_stop(run, now)
                elif self.may_restart and self._is_stalled(run, now):
                    self._restart_stalled(run, now)
        self.doubtful.report(now)

    def record_replacement(self, server: zonetables.Server, now: float) -> None:
        """Ends the runs of a server whose address has another incarnation."""
        self.crashes.record(server, "replaced", now)
        for run in list(server.runs.values()):
            self._handle_run_end(run, zonetables.EndKind.CRASHED, now)

    def _retry_stop(self, run: zonetables.Run, now: float) -> None:
        if run.stop_sent_at is not None:
            self.doubtful.retry_stop(run, now)
        elif now - run.sent_at > leases.ADOPTION_TIMEOUT_S:
            self.stop(run, now)

    def _is_stalled(self, run: zonetables.Run, now: float) -> bool:
        if run.state != zonetables.RunState.RUNNING or not run.progress_at:
            return False
        if now - run.confirmed_at < run.expected_s * STALL_MIN_AGE_RATIO:
            return False
        # Only a poll shows that a run made no progress, so the time since the
        # last poll does not count.
        return run.seen_at - run.progress_at > max(
            STALL_TIMEOUT_S, run.expected_s
        )

    def _restart_stalled(self, run: zonetables.Run, now: float) -> None:
        """Stops a stalled run, so that its task starts on another server."""
        self._log(
            events.Event.ZONE_RUN_STALLED,
            task=run.key,
            run=run.number,
            server=run.server.id,
            percent=run.percent,
            age_ms=zonetables.milliseconds(now - run.confirmed_at),
            expected_ms=zonetables.milliseconds(run.expected_s),
        )
        self.tables.counters["runs_stalled"] += 1
        serverhealth.record_stall(run.server, now)
        run.state = zonetables.RunState.STOPPING
        self.doubtful.order_stop(run, now)

    def apply_poll(
        self,
        server: zonetables.Server,
        poll_result: orders_lib.PollResult,
        polled_at: float,
        now: float,
    ) -> None:
        """Applies the result of a poll of a backend server.

        One that may come from an earlier incarnation is ignored, and so is one
        to a poll from before the restart was seen, but for that.

        Args:
            server: The server that was polled.
            poll_result: The response, with its running and ended runs.
            polled_at: When the poll was sent.
            now: The current time.
        """
        if poll_result.incarnation != server.incarnation:
            if server.may_be_outdated(polled_at):
                return
            if server.incarnation:
                self._handle_restart(server, poll_result, now)
            server.incarnation = poll_result.incarnation
            server.incarnation_seen_at = now
        if not self.is_obeyed:
            self.is_obeyed = True
            self.job_callbacks.handle_first_answer(now)
        self.outliers.record_response(server, now)
        self.crashes.retract(server, now)
        if server.has_restarted_since(polled_at):
            # An order with an older token may yet be carried out, so only a
            # listing with the new one counts.
            return
        if not server.clock_at or server.clock_at <= server.restarted_at:
            # An earlier owner or a late order may just have renewed its leases.
            server.lease_until = max(
                server.lease_until, now + self.lease_times.max_lease_s
            )
        leases.observe_clock(server, poll_result.server_clock_ms, now)
        for row in poll_result.ended:
            self._record_end(server, row, now)
        renewed_at = leases.attended_until(server, polled_at)
        listed_runs = {
            (row.key, row.number): row for row in poll_result.running
        }
        for run_id, row in listed_runs.items():
            run = server.runs.get(run_id)
            if run is None:
                self._add_unclaimed_run(server, row, polled_at, now)
                continue
            if run.confirmed_at is None:
                run.confirm(now)
            run.seen_at = now
            if (
                run.job is not None
                and polled_at >= self.resumed_at + RESUME_CHECK_S
            ):
                run.renewed_at = max(run.renewed_at, renewed_at)
            if row.percent > run.percent or not run.progress_at:
                run.progress_at = now
                run.percent = row.percent
        for run in list(server.runs.values()):
            if run.id not in listed_runs and doubtfulruns.has_ended(
                run, polled_at
            ):
                self._handle_run_end(run, zonetables.EndKind.LOST, now)
        # The capacity of an incarnation is unknown until the store announces
        # that incarnation.
        is_capacity_known = server.announced_incarnation in (
            0,
            poll_result.incarnation,
        )
        is_current = polled_at >= self.resumed_at
        if not server.runs_listed and is_capacity_known and is_current:
            server.runs_listed = True
            self._log(
                events.Event.ZONE_SERVER_LISTED,
                server=server.id,
                life=poll_result.incarnation,
                running=len(listed_runs),
            )

    def _handle_restart(
        self,
        server: zonetables.Server,
        poll_result: orders_lib.PollResult,
        now: float,
    ) -> None:
        """Ends the runs of a restarted server and resets its state.

        A new incarnation has none of the runs of the old one and numbers
        the ends of its own runs from 1. It may still carry out a start that
        got no response, so such a run stays until that is ruled out.
        """
        self._log(
            events.Event.ZONE_SERVER_REBORN,
            server=server.id,
            life=poll_result.incarnation,
            was=server.incarnation,
            runs=len(server.runs),
        )
        self.crashes.record(server, "restarted", now)
        server.lost_tasks.clear()
        server.has_crashed = False
        server.last_ended_seq = 0
        server.slowness = 1.0
        server.failure_rate = 0.0
        server.runs_listed = False
        leases.observe_clock(server, poll_result.server_clock_ms, now)
        server.restarted_at = now
        server.raise_token(now)
        self.doubtful.hold_late_starts(server, now)

    def _record_end(
        self,
        server: zonetables.Server,
        row: orders_lib.EndedRow,
        now: float,
    ) -> None:
        if row.sequence <= server.last_ended_seq:
            return
        server.last_ended_seq = row.sequence
        server.must_acknowledge = True
        run = server.runs.get((row.key, row.number))
        if run is not None:
            self._handle_run_end(run, row.kind, now)
        elif row.kind == zonetables.EndKind.DONE:
            self._record_unclaimed_end(row, now)

    def _record_unclaimed_end(
        self, row: orders_lib.EndedRow, now: float
    ) -> None:
        """Records that a run of an earlier owner is done.

        Its job may be open here or be handed over later.
        """
        job = self.tables.jobs.get(row.key.job_id)
        if job is None:
            self.tables.unclaimed_ends.pop(row.key, None)
            self.tables.unclaimed_ends[row.key] = now
        elif row.key.index in job.waiting:
            job.waiting.remove(row.key.index)
            self.job_callbacks.mark_task_done(job, row.key.index, now)

    def _add_unclaimed_run(
        self,
        server: zonetables.Server,
        row: orders_lib.RunningRow,
        polled_at: float,
        now: float,
    ) -> None:
        """Adds a listed run that the tables lack.

        An earlier owner ordered it, or its start order took effect late.
        """
        run_id = (row.key, row.number)
        if server.recently_ended.get(run_id, -1.0) >= polled_at:
            return  # the poll was sent before the run ended
        run = zonetables.Run(
            row.key,
            row.number,
            server,
            zonetables.resources_lib.NO_RESOURCES,
            None,
            zonetables.RunState.RUNNING,
            now,
            0.0,
            confirmed_at=now,
            detached_at=now,
            percent=row.percent,
            progress_at=now,
            is_start_known=False,
        )
        if run_id in server.recently_ended:
            self._log(
                events.Event.ZONE_RUN_REAPPEARED,
                task=run.key,
                run=run.number,
                server=server.id,
                ended_ms=zonetables.milliseconds(
                    now - server.recently_ended[run_id]
                ),
                life_ms=zonetables.milliseconds(
                    now - server.incarnation_seen_at
                ),
            )
        if row.key in self.tables.live_runs:
            self._log_duplicate(run)
        self.tables.add_run(run)
        # Its lease is unknown: an earlier owner or a late order set it.
        server.lease_until = max(
            server.lease_until, now + self.lease_times.max_lease_s
        )
        job = self.tables.jobs.get(row.key.job_id)
        if job is not None and row.key.index in job.waiting:
            self._adopt_run(server, run, job)

    def _log_duplicate(self, run: zonetables.Run) -> None:
        """Logs a listed run of a task of which another run is alive."""
        for server in self.tables.servers.values():
            for other in server.runs.values():
                if other.key == run.key:
                    self._log(
                        events.Event.ZONE_RUN_DUPLICATE,
                        task=run.key,
                        run=run.number,
                        server=run.server.id,
                        other_run=other.number,
                        other_server=server.id,
                        other_state=other.state.value,
                    )

    def _handle_run_end(
        self, run: zonetables.Run, kind: zonetables.EndKind, now: float
    ) -> None:
        """Releases the capacity of a run and reports its end to its job."""
        server = run.server
        self.tables.remove_run(run, now)
        self.tables.counters[f"ended.{kind.value}"] += 1
        self.lingering.record_end(run, kind, now)
        self.doubtful.record_end(run, kind, now)
        job = run.job
        if job is None:
            return
        index = run.key.index
        job.runs.pop(index, None)
        if kind == zonetables.EndKind.DONE:
            self.job_callbacks.task_done(run, now)
            return
        is_failed = kind == zonetables.EndKind.FAILED
        is_retried = not is_failed or self.job_callbacks.task_failed(run, now)
        self._log(
            events.Event.ZONE_RUN_ENDED,
            task=run.key,
            run=run.number,
            server=server.id,
            how=kind.value,
            ran_ms=zonetables.milliseconds(now - run.sent_at),
        )
        if is_retried:
            if run.unanswered_at is None:
                job.avoided_servers[index] = server.id
            else:
                job.unanswered_servers[index] = server.id
            job.waiting.appendleft(index)

    def apply_servers(
        self, announced: list[zonetables.Server], now: float
    ) -> None:
        """Applies the list of backend servers of this zone from the store."""
        tables = self.tables
        announced_ids = set()
        for listed_server in announced:
            announced_ids.add(listed_server.id)
            server = tables.servers.get(listed_server.id)
            if server is None:
                tables.add_server(listed_server)
                continue
            self._update_server(server, listed_server, now)
        for server in list(tables.servers.values()):
            if server.id in announced_ids:
                continue
            server.is_in_store = False
            doubtfulruns.drop_late_starts(server, now)
            if not server.runs and not server.late_starts:
                tables.remove_server(server)

    def _update_server(
        self,
        server: zonetables.Server,
        announced: zonetables.Server,
        now: float,
    ) -> None:
        if announced.draining and not server.draining:
            self._log(events.Event.ZONE_SERVER_DRAINING, server=server.id)
        server.is_in_store = True
        server.draining = announced.draining
        server.cold_until = announced.cold_until
        server.address = announced.address
        server.service = announced.service
        server.resize(announced.capacity)
        server.labels = announced.labels
        if announced.announced_incarnation != server.announced_incarnation:
            server.announced_incarnation = announced.announced_incarnation
            if server.incarnation != announced.announced_incarnation:
                server.runs_listed = False  # poll it before any start
                server.raise_token(now)

    def record_poll_timeout(
        self,
        server: zonetables.Server,
        now: float,
        polled_at: float | None = None,
    ) -> bool:
        """Records that a poll failed; returns whether its server is silent.

        Args:
            server: The server that was polled.
            now: The current time.
            polled_at: When the poll was sent that got no response in time; None
                if the server can't be reached, whatever was heard before.
        """
        if polled_at is None:
            self.outliers.record_unreachable(server, now)
            return True
        return self.outliers.record_unanswered(server, "poll", polled_at, now)

    def handle_lost_ownership(
        self, server: zonetables.Server, now: float
    ) -> None:
        """Detaches all runs of a server that obeys an owner of higher epoch."""
        server.runs_listed = False
        for run in list(server.runs.values()):
            job = run.job
            self.tables.remove_run(run, now)
            run.job = None
            if job is not None:
                # The other owner stops or adopts the run.
                job.runs.pop(run.key.index, None)
                job.hold_until = max(
                    job.hold_until, now + self.lease_times.superseded_owner_s
                )
                self.unknown_before = now
                job.waiting.appendleft(run.key.index)

    def _log(self, event: events.Event, **fields) -> None:
        self.emit(orders_lib.LogDecision(event, fields))


def has_unclaimed_runs(server: zonetables.Server) -> bool:
    """Returns whether a server has unclaimed runs, whose demand is unknown."""
    return server.unclaimed_runs > 0
