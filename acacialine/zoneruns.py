"""Runs of one placer: from the order of a start to the certain end.

Room is given back only when a run has certainly ended. What becomes of its
task is for the jobs to decide, which are told through `Jobs`.
"""

import collections.abc
import typing

import attrs

from acacialine import events
from acacialine import judge
from acacialine import orders as orders_lib
from acacialine import zonetables

ADOPTION_S = 0.25  # for entries to claim runs of an earlier owner
LAPSE_S = 1.1  # longest lease on the slowest clock, with a margin
# Until a run of a lost owner has ended for certain, though a successor may
# list and renew it at the last moment and then lose its backend server.
UNOWNED_S = LAPSE_S + ADOPTION_S + LAPSE_S
STOP_REPEAT_S = 0.15  # a stop without confirmation is sent again
STOP_ALLOWANCE_S = 0.06  # a backend server takes up to 50 ms for a stop
STALLED_S = 0.25  # without progress beyond the expected time
STALLED_RATIO = 2.5  # of the expected time before a run can count as stalled
OLD_NUMBER_STEP = 8


class Jobs(typing.Protocol):
    """What the jobs of a placer are told of their runs."""

    def task_done(self, run: zonetables.Run, now: float) -> None:
        """A run of a job ended well."""

    def task_failed(self, run: zonetables.Run, now: float) -> bool:
        """A run of a job failed; returns whether its task starts again."""

    def mark_task_done(
        self, job: zonetables.Job, index: int, now: float
    ) -> None:
        """A task was done under an earlier owner."""


@attrs.define(eq=False)
class Runs:
    """All runs on the backend servers of a zone.

    Attributes:
        tables: The tables of the placer.
        jobs: The one who decides about jobs.
        emit: Takes an order.
        is_list_certain: Whether no server left the list shortly before, on
            which an earlier owner may still have runs.
    """

    tables: zonetables.ZoneTables
    jobs: Jobs
    emit: collections.abc.Callable[[orders_lib.Order], None]
    is_list_certain: bool = True

    @property
    def are_known(self) -> bool:
        """Whether no run of an earlier owner can be unknown."""
        return self.is_list_certain and all(
            s.listed for s in self.tables.servers.values() if s.present
        )

    def adopt(self, job: zonetables.Job) -> None:
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
        server.occupy(run.demand)
        job.runs[index] = run
        job.next_number[index] = max(
            job.next_number.get(index, 1), run.number + 1
        )
        job.waiting.remove(index)
        self.tables.counters["runs_adopted"] += 1

    def stop(self, run: zonetables.Run, now: float) -> None:
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
        self.emit(orders_lib.StopRun(run))

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
            waited_ms=zonetables.milliseconds(now - run.sent_at),
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

    def resolve(self, now: float) -> None:
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
                self.stop(run, now)
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
            age_ms=zonetables.milliseconds(now - run.confirmed_at),
            expected_ms=zonetables.milliseconds(run.expected_s),
        )
        self.tables.counters["runs_stalled"] += 1
        judge.report_stalled(run.server, now)
        run.state = zonetables.RunState.STOPPING
        self._order_stop(run, now)

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
            self.jobs.mark_task_done(job, row.key.index, now)

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
        """Gives back the room of a run; its job decides about the task."""
        server = run.server
        self.tables.remove_run(run, now)
        self.tables.counters[f"ended.{kind.value}"] += 1
        job = run.job
        if job is None:
            return
        index = run.key.index
        job.runs.pop(index, None)
        if kind == zonetables.EndKind.DONE:
            self.jobs.task_done(run, now)
            return
        is_failed = kind == zonetables.EndKind.FAILED
        goes_on = not is_failed or self.jobs.task_failed(run, now)
        self._log(
            events.Event.ZONE_RUN_ENDED,
            task=run.key,
            run=run.number,
            server=server.id,
            how=kind.value,
            ran_ms=zonetables.milliseconds(now - run.sent_at),
        )
        if goes_on:
            job.avoid[index] = server.id
            job.waiting.appendleft(index)

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
        server.resize(entry.capacity)
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

    def _log(self, event: events.Event, **fields) -> None:
        self.emit(orders_lib.LogDecision(event, fields))


def needs_lease(server: zonetables.Server, now: float) -> bool:
    """Returns whether any run is to go on, or may still be claimed."""
    return any(
        run.job is not None or now - run.sent_at <= ADOPTION_S
        for run in server.runs.values()
    )


def has_unclaimed(server: zonetables.Server) -> bool:
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
