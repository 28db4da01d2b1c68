"""In-memory backend servers that follow the platform's rules.

They also check that the placer doesn't exceed capacity or run a task twice at
a time. They use no network: the property tests call them under a virtual
clock, and `zonestandin` serves them over HTTP.
"""

import collections
import collections.abc
import math

import attrs

from acacialine import orders
from acacialine import zonetables

STOP_DURATION_S = 0.05  # from a stop request until the run ends
KILL_DURATION_S = 0.05  # from the expiry of a lease until its runs have ended
CRASH_DELAY_S = 0.01  # from the start of a task that crashes its server
# Time for which an earlier capacity counts after it has shrunk: `contactMs` and
# a heartbeat of the platform.
RESIZE_GRACE_S = 4.5
MAX_CRASHES = 3  # after so many crashes under a task its starts are limited
MAX_STARTS_AFTER_CRASHES = 2


@attrs.define(eq=False)
class FakeRun:
    """A run on a fake backend server; times are in seconds."""

    key: zonetables.TaskKey
    number: int
    cpu: int
    started_at: float
    ends_at: float
    stop_requested_at: float | None = None
    expired_at: float | None = None


@attrs.define(eq=False)
class FakeServer:
    """A backend server that follows the platform's rules.

    It starts every run that it is asked to: capacity is not enforced, only
    checked by `FakeServerPool.record_start`.

    Attributes:
        epoch: Highest epoch seen; requests with a lower one are fenced.
        lease_until: When all runs are killed unless the lease is renewed.
        runs: Present runs by task key and run number.
        highest_numbers: Highest run number seen, by task key.
        ended: Ended runs that the placer has not acknowledged.
        ended_count: Number of ended runs, and sequence number of the last one.
        incarnation: Number of its process, from 1.
        down_until: When it restarts after a crash.
        clock_origin: When its monotonic clock was 0.
        crash_at: When a task that it runs crashes it.
        on_crash_due: Called then; by default it is down for a time.
        earlier_cpus: CPU before each change, with the time of the change.
    """

    id: str
    cpu: int
    server_pool: "FakeServerPool"
    epoch: int = 0
    lease_until: float = 0.0
    runs: dict = attrs.field(factory=dict)
    highest_numbers: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    ended_count: int = 0
    incarnation: int = 1
    down_until: float = 0.0
    clock_origin: float = 0.0
    crash_at: float = math.inf
    on_crash_due: collections.abc.Callable[[], None] | None = None
    earlier_cpus: list[tuple[float, int]] = attrs.field(factory=list)

    def resize(self, cpu: int, now: float) -> None:
        """Changes the capacity; what runs goes on."""
        self.earlier_cpus.append((now, self.cpu))
        self.cpu = cpu

    def cpu_limit(self, now: float) -> int:
        """Returns the CPU that starts may occupy.

        After the capacity has shrunk, the earlier one counts for a while.
        """
        since = now - self.server_pool.resize_grace_s
        earlier = [cpu for at, cpu in self.earlier_cpus if at >= since]
        return max([self.cpu, *earlier])

    def is_down(self, now: float) -> bool:
        """Returns whether no process runs at its address."""
        self.end_due_runs(now)
        return now < self.down_until

    def crash(self) -> None:
        """Ends all runs and drops the epoch and all run numbers."""
        self.server_pool.log(f"{self.id} crashed runs={len(self.runs)}")
        self.incarnation += 1
        self.crash_at = math.inf
        for run in self.runs.values():
            self.server_pool.record_end(run)
            self.server_pool.crash_counts[run.key] += 1
        for end in self.ended:
            if end.kind == zonetables.EndKind.DONE:
                self.server_pool.lost_end_counts[end.key] += 1
        self.runs.clear()
        self.highest_numbers.clear()
        self.ended.clear()
        self.ended_count = self.epoch = 0

    def end_due_runs(self, now: float) -> None:
        """Ends the runs that are due at `now`, or crashes if that is due."""
        if now >= self.crash_at:
            self.down_until = self.crash_at + self.server_pool.down_s
            if self.server_pool.resets_clocks:
                self.clock_origin = self.down_until
            self.crash_at = math.inf
            if self.on_crash_due is not None:
                self.on_crash_due()
            else:
                self.crash()
        for run_id, run in list(self.runs.items()):
            if run.expired_at is None and now > self.lease_until:
                run.expired_at = self.lease_until
            if run.expired_at is not None:
                if now > run.expired_at + self.server_pool.kill_s:
                    self._end_run(run_id, zonetables.EndKind.LAPSED)
            elif run.stop_requested_at is not None and (
                now >= run.stop_requested_at + STOP_DURATION_S
            ):
                self._end_run(run_id, zonetables.EndKind.STOPPED)
            elif now >= run.ends_at:
                failing = run.key.job_id in self.server_pool.failing_jobs
                kind = zonetables.EndKind
                self._end_run(run_id, kind.FAILED if failing else kind.DONE)

    def _end_run(self, run_id, kind: zonetables.EndKind) -> None:
        run = self.runs.pop(run_id)
        self.server_pool.log(
            f"{self.id} ended {run.key} run={run.number} how={kind.value}"
        )
        self.ended_count += 1
        self.ended.append(
            orders.EndedRow(self.ended_count, run.key, run.number, kind)
        )
        self.server_pool.record_end(run)

    def start(
        self, run: zonetables.Run, epoch: int, lease_until: float, now: float
    ) -> orders.StartOutcome:
        """Executes a start request that arrives at `now`."""
        self.end_due_runs(now)
        if epoch < self.epoch:
            return orders.StartOutcome.FENCED
        self.epoch = epoch
        if now > lease_until:
            return orders.StartOutcome.NOT_STARTED
        if (run.key, run.number) in self.runs:
            return orders.StartOutcome.STARTED
        if run.number <= self.highest_numbers.get(run.key, 0):
            if self.runs:
                self.lease_until = max(self.lease_until, lease_until)
            return orders.StartOutcome.OLD_NUMBER
        self.highest_numbers[run.key] = run.number
        self.lease_until = max(self.lease_until, lease_until)
        length_s = self.server_pool.length_s(run.key)
        cpu = self.server_pool.job_cpu[run.key.job_id]
        new_run = FakeRun(run.key, run.number, cpu, now, now + length_s)
        self.server_pool.record_start(self, new_run, now)
        self.server_pool.log(
            f"{self.id} started {run.key} run={run.number} {epoch=} "
            f"lease_left_s={self.lease_until - now:.3f}"
        )
        self.runs[(run.key, run.number)] = new_run
        if run.key in self.server_pool.crashing_tasks:
            self.crash_at = min(self.crash_at, now + CRASH_DELAY_S)
        return orders.StartOutcome.STARTED

    def stop(self, run: zonetables.Run, epoch: int, now: float) -> bool:
        """Executes a stop request; returns False if its epoch is fenced."""
        self.end_due_runs(now)
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        self.highest_numbers[run.key] = max(
            self.highest_numbers.get(run.key, 0), run.number
        )
        run_to_stop = self.runs.get((run.key, run.number))
        if run_to_stop is not None and run_to_stop.stop_requested_at is None:
            run_to_stop.stop_requested_at = now
        return True

    def _percent(self, run: FakeRun, now: float) -> int:
        if not self.server_pool.shows_progress:
            return 50
        length_s = run.ends_at - run.started_at
        return round(100 * (now - run.started_at) / length_s)

    def poll(
        self, epoch: int, last_ended_seq: int, lease_until: float, now: float
    ) -> orders.PollResult | None:
        """Lists the runs and renews the lease; returns None if fenced.

        Drops ended runs with a sequence up to `last_ended_seq`.
        """
        self.end_due_runs(now)
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        self.ended = [
            end for end in self.ended if end.sequence > last_ended_seq
        ]
        if self.runs:
            self.lease_until = max(self.lease_until, lease_until)
        running = tuple(
            orders.RunningRow(run.key, run.number, self._percent(run, now))
            for run in self.runs.values()
        )
        return orders.PollResult(
            self.incarnation,
            round((now - self.clock_origin) * 1000),
            running,
            tuple(self.ended),
        )


@attrs.define(eq=False)
class FakeServerPool:
    """All fake backend servers, what they run, and the violations they detect.

    Attributes:
        job_cpu: CPU millicores of a task, by job.
        job_length_s: Duration of a task in seconds, by job.
        failing_jobs: Jobs whose tasks fail.
        crashing_tasks: Tasks that crash each server that starts them.
        kill_s: Time in s from the expiry of a lease until its runs have ended.
        down_s: Time in s from a crash until the server restarts.
        resets_clocks: Whether the clock of a server restarts with it.
        resize_grace_s: Time in s for which an earlier capacity counts after
            it has shrunk.
        shows_progress: Whether the listed progress rises with time; else all
            runs soon look stalled.
        crash_counts: Number of servers that crashed under a task.
        lost_end_counts: Number of servers that crashed before the end `done` of
            a task was acknowledged.
        late_start_counts: Number of starts of a task after MAX_CRASHES.
        running_counts: Number of present runs, by task key.
        started_jobs: Jobs of which a run has started.
        log: Called with a line of text for each start, end and crash.
        violations: Each as `LIMIT` (over capacity), `TWICE` (a second run of
            a task at a time) or `BUDGET` (a task that crashes its servers is
            started too often) with details; `zonecluster` adds refusals
            without Retry-After.
    """

    job_cpu: dict[str, int] = attrs.field(factory=dict)
    job_length_s: dict[str, float] = attrs.field(factory=dict)
    servers: dict[str, FakeServer] = attrs.field(factory=dict)
    failing_jobs: set = attrs.field(factory=set)
    crashing_tasks: set = attrs.field(factory=set)
    kill_s: float = KILL_DURATION_S
    down_s: float = 3.0
    resets_clocks: bool = False
    resize_grace_s: float = RESIZE_GRACE_S
    shows_progress: bool = False
    crash_counts: collections.Counter = attrs.field(factory=collections.Counter)
    lost_end_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    late_start_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    running_counts: dict = attrs.field(factory=dict)
    started_jobs: set = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    log: collections.abc.Callable[[str], None] = lambda _: None

    def add(self, server_id: str, cpu: int) -> FakeServer:
        """Adds a backend server."""
        self.servers[server_id] = FakeServer(server_id, cpu, self)
        return self.servers[server_id]

    def length_s(self, key: zonetables.TaskKey) -> float:
        """Returns the duration of a task in seconds."""
        return self.job_length_s.get(key.job_id, 0.1)

    def record_start(
        self, server: FakeServer, run: FakeRun, now: float
    ) -> None:
        """Records a start; checks capacity and other runs of the task."""
        used_cpu = sum(r.cpu for r in server.runs.values()) + run.cpu
        if used_cpu > server.cpu_limit(now):
            self.violations.append(
                f"LIMIT {run.key} on {server.id}: {used_cpu}"
            )
        if self.running_counts.get(run.key):
            self.violations.append(f"TWICE {run.key} on {server.id}")
        if self.crash_counts[run.key] >= MAX_CRASHES:
            self.late_start_counts[run.key] += 1
            if self.late_start_counts[run.key] > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(f"BUDGET {run.key} on {server.id}")
        self.running_counts[run.key] = self.running_counts.get(run.key, 0) + 1
        self.started_jobs.add(run.key.job_id)

    def record_end(self, run: FakeRun) -> None:
        """Records the end of a run."""
        self.running_counts[run.key] -= 1
