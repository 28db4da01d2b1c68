"""Entities of the placer and the tables that hold them.

The placer of an availability zone owns its backend servers: it alone orders
starts and stops there, so these tables completely describe their free
capacity. The functions in `placer`, `zoneruns`, `schedule` and `serverhealth`
read and change them. Times named `..._at` and `..._until` are in s on the
clock of `clock.now`.
"""

import collections
import enum
import math

import attrs

from acacialine import jobfates
from acacialine import losses as losses_lib
from acacialine import resources as resources_lib
from acacialine import runnumbers

ENDED_RUNS_RETENTION_S = 5.0  # exceeds the delay of any poll response
ENDED_JOBS_RETENTION_S = 6.0  # clients resubmit a job within seconds


@attrs.frozen(cache_hash=True)
class TaskKey:
    """Identifies one task of one job.

    Attributes:
        job_id: Id of the job, chosen by its client.
        occurrence: Number of the repetition; 0 for a job that runs once.
        step: Index of the step in the job.
        index: Index of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class Step:
    """Tasks of one job with equal requirements that start together.

    Attributes:
        count: Number of tasks.
        demand: Resources that each task occupies while it runs.
        estimate_s: Declared duration of a task in s; often inaccurate.
        label: Label that a backend server must have; empty for any.
    """

    count: int
    demand: resources_lib.Resources
    estimate_s: float
    label: str = ""


@attrs.frozen
class Queue:
    """Settings of a queue when a job arrived.

    Attributes:
        name: Name of the queue, unique in a configuration.
        service: Service of the backend servers that run its tasks.
        priority: 0 is the most urgent.
        max_attempts: Number of failed runs of a task after which its job
            fails.
        stretch: Duration that clients accept, as a factor of the expected one.
        target_latency_s: Latency in s that clients accept in addition.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float


class RunState(enum.Enum):
    """State of a run that was ordered, as far as it is known."""

    STARTING = "starting"  # the start was ordered and has no response yet
    RUNNING = "running"  # the start was confirmed or a poll listed the run
    STOPPING = "stopping"  # a stop was ordered; its capacity is occupied
    DOUBTFUL = "doubtful"  # no response to the start; it may come late


class EndKind(enum.Enum):
    """How a run ended, as its backend server reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"  # reported as "broken" or "alone"
    LOST = "lost"  # no longer listed
    EXPIRED = "expired"  # killed after its lease, before its end was listed
    CRASHED = "crashed"  # a later incarnation of the server has its address


@attrs.define(eq=False)
class Run:
    """One run of a task on one backend server.

    Attributes:
        number: Number of the run among the runs of its task.
        job: None for a run of an earlier owner that no job has adopted, and
            for one whose job has ended.
        sent_at: When the start was ordered.
        confirmed_at: When the start was confirmed or a poll first listed it.
        not_after: Time after which a start without a response can no longer
            take effect.
        stop_confirmed_at: When the backend server confirmed the stop.
        stop_sent_at: When the last stop was ordered.
        stop_count: Number of stops that were ordered.
        unanswered_at: When its start was found to have no response in time;
            None if that never happened.
        detached_at: Since when it has no job; None while it has one.
        is_lingering: Whether it has had no job for long.
        percent: Progress that the backend server reported last.
        progress_at: When `percent` last increased.
        seen_at: When a poll last listed it.
        renewed_at: When the last request was sent that has certainly renewed
            its lease.
        expected_s: Expected duration on this backend server.
        is_start_known: Whether `sent_at` is when it started. It is not for a
            run that an earlier owner started.
        may_have_started: Whether the start may have reached the server. Its
            client says no while the start waits for a connection.
        is_isolated: Whether no other run may share its server, as its task is
            suspected of crashing servers.
        is_loss_counted: Whether the crash of its server has been counted.
    """

    key: TaskKey
    number: int
    server: "Server"
    demand: resources_lib.Resources
    job: "Job | None"
    state: RunState
    sent_at: float
    expected_s: float
    not_after: float = 0.0
    confirmed_at: float | None = None
    stop_confirmed_at: float | None = None
    stop_sent_at: float | None = None
    stop_count: int = 0
    unanswered_at: float | None = None
    percent: int = 0
    progress_at: float = 0.0
    seen_at: float = 0.0
    renewed_at: float = -1e9
    detached_at: float | None = None
    is_lingering: bool = False
    is_start_known: bool = True
    may_have_started: bool = True
    is_isolated: bool = False
    is_loss_counted: bool = False

    @property
    def id(self) -> tuple[TaskKey, int]:
        """Key of the run among the runs of its backend server."""
        return self.key, self.number

    @property
    def is_unclaimed(self) -> bool:
        """Whether its demand is unknown, as no job has adopted it."""
        return self.demand is resources_lib.NO_RESOURCES

    @property
    def may_start_late(self) -> bool:
        """Whether its start was sent and may still be carried out."""
        return self.may_have_started and self.confirmed_at is None

    def detach(self, now: float) -> None:
        """Separates the run from its job, which has ended."""
        self.job = None
        self.detached_at = now
        self.is_lingering = False

    def confirm(self, now: float) -> None:
        """Records that the start was confirmed."""
        self.confirmed_at = now
        self.server.version += 1

    def settle(self) -> None:
        """Records that the state of a confirmed run is no longer in doubt."""
        if self.state == RunState.STARTING:
            self.state = RunState.RUNNING
        elif self.state == RunState.DOUBTFUL:
            self.state = RunState.STOPPING
        self.server.version += 1


@attrs.define(eq=False)
class Server:
    """A backend server of this availability zone.

    Attributes:
        draining: Whether it is to receive no new tasks.
        cold_until: Until when it is expected to be slow after its start.
        is_in_store: Whether the store lists it.
        incarnation: Start of its process in ms since 1970, as it reports
            it; 0 before the first poll.
        incarnation_seen_at: When the first response of its incarnation arrived.
        announced_incarnation: Incarnation that the store announces; 0 if none.
        restarted_at: When it was last seen to have restarted.
        token_offset: Added to the epoch of this placer in the fencing tokens
            of requests to the server; see `raise_token`.
        token_raised_at: When that last rose.
        runs_listed: Whether a poll has listed its runs since this placer
            became its owner, the server restarted or this process was
            suspended.
        used: What its runs occupy, including doubtful and stopping ones.
        free: What no run occupies; stored because it is read often.
        last_ended_seq: Sequence number of the last end that was processed.
        must_acknowledge: Whether the server is still to be told of
            `last_ended_seq`.
        slowness: Observed duration of runs, as a factor of the expected one.
        failure_rate: Moving average of failures, 0 to 1.
        heard_at: When the last response arrived.
        unresponsive_since: Since when nothing was heard after a request got no
            response in time; None if it responds.
        is_put_aside: Whether it gets no new task because of that.
        unanswered_order: Kind of that request and when it was sent.
        loss_rate: Moving average of the requests without a response, 0 to 1.
        avoid_until: No new task starts there before this time.
        recently_ended: Time of the end of each run that ended recently.
        late_starts: Ended runs whose start a later incarnation may carry out.
        server_clock_ms: Its monotonic clock in its last poll response.
        clock_at: When that response arrived.
        lease_until: When the leases of all its runs have certainly expired.
        unsent_lease_until: The same of the last poll, which may still wait.
        unclaimed_runs: Number of runs whose demand is unknown.
        isolated_runs: Number of runs that may not share it.
        has_crashed: Whether it is known to have crashed since its last
            response.
        lost_tasks: Tasks for which its crash was counted since its last
            response, and whether they certainly ran.
        version: Increases when its capacity or a run changes.
        slot_cache: Slots computed for one version; see `schedule`.
    """

    id: str
    address: tuple[str, int]
    zone: str
    service: str
    capacity: resources_lib.Resources
    labels: frozenset[str] = frozenset()
    draining: bool = False
    cold_until: float = 0.0
    is_in_store: bool = True
    incarnation: int = 0
    incarnation_seen_at: float = 0.0
    announced_incarnation: int = 0
    restarted_at: float = -1e9
    token_offset: int = 0
    token_raised_at: float = -1e9
    runs_listed: bool = False
    used: resources_lib.Resources = resources_lib.NO_RESOURCES
    free: resources_lib.Resources = attrs.field(init=False)
    runs: dict[tuple[TaskKey, int], Run] = attrs.field(factory=dict)
    last_ended_seq: int = 0
    must_acknowledge: bool = False
    slowness: float = 1.0
    failure_rate: float = 0.0
    heard_at: float = -1e9
    unresponsive_since: float | None = None
    is_put_aside: bool = False
    unanswered_order: tuple[str, float] | None = None
    loss_rate: float = 0.0
    avoid_until: float = 0.0
    recently_ended: dict[tuple[TaskKey, int], float] = attrs.field(factory=dict)
    late_starts: dict[tuple[TaskKey, int], Run] = attrs.field(factory=dict)
    server_clock_ms: int = 0
    clock_at: float = 0.0
    lease_until: float = 0.0
    unsent_lease_until: float = 0.0
    unclaimed_runs: int = 0
    isolated_runs: int = 0
    has_crashed: bool = False
    lost_tasks: list[tuple[TaskKey, bool]] = attrs.field(factory=list)
    version: int = 0
    slot_cache: object = None

    def __attrs_post_init__(self):
        self.free = self.capacity - self.used

    def may_be_outdated(self, sent_at: float) -> bool:
        """Returns whether an earlier incarnation may have got a request.

        Incarnations cannot be ordered by their number: clocks jump.

        Args:
            sent_at: When the request was sent.
        """
        return sent_at < self.incarnation_seen_at

    def raise_token(self, now: float) -> None:
        """Raises the fencing tokens of later requests to the server.

        Earlier orders may reach a later incarnation of it late. Their leases
        are times on the clock of another incarnation, so they would hold for
        longer than they should. The new incarnation refuses them from the
        first request with a higher token on.
        """
        self.token_offset += 1
        self.token_raised_at = now

    def has_older_token(self, sent_at: float) -> bool:
        """Returns whether the token has risen since a request was sent."""
        return sent_at <= self.token_raised_at

    def has_restarted_since(self, sent_at: float) -> bool:
        """Returns whether a request is from before its restart was seen."""
        return sent_at < self.restarted_at

    def occupy(self, demand: resources_lib.Resources) -> None:
        """Takes a demand from the free capacity."""
        self.used = self.used + demand
        self.free = self.capacity - self.used
        self.version += 1

    def release(self, demand: resources_lib.Resources) -> None:
        """Returns a demand to the free capacity."""
        self.used = self.used - demand
        self.free = self.capacity - self.used
        self.version += 1

    def resize(self, capacity: resources_lib.Resources) -> None:
        """Replaces the capacity."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.free = self.capacity - self.used
            self.version += 1


@attrs.define(eq=False)
class Job:
    """A job that this placer has accepted.

    Attributes:
        spec: What the tasks run; opaque to the placer.
        origins: Sessions of the dispatchers that wait for the answer.
        arrived_at: When its client first sent it, as far as known.
        known_since: When it certainly existed: it arrived, or another placer
            told of it because an earlier request had started it.
        objective_at: When its clients want the answer.
        deadline_at: When its clients stop waiting.
        estimate_s: Expected duration of a task in s.
        hold_until: No task starts before this time unless all runs are known,
            because an earlier owner may still run it.
        handed_over_at: When an earlier owner handed it over; the list of
            servers is to be read since, as that one may know newer servers.
        first_start_at: When its first task was started; None before.
        not_before: No task starts before this time, because its dispatcher
            may have moved it to another placer while this one was paused, or
            another zone may run it too.
        waiting: Indices of tasks that are to be started.
        done: Indices of tasks that are done.
        runs: Live run of each task, by index.
        run_numbers: Which run numbers of its tasks are used.
        failures: Number of failed runs of each task, by index.
        avoided_servers: Id of the server that the next run of a task avoids,
            by index.
        unanswered_servers: Id of the server that did not answer the last start
            of a task, by index; another is preferred.
        possible_starts: Number of orders that may have started a task. A job
            with any can no longer be refused as not run.
        orphaned_at: When its last origin was lost or had answered its clients.
        origins_heard_at: See `ZoneTables`; shared by all jobs.
        zones_heard_at: See `ZoneTables`; shared by all jobs.
        heard_until: When a dispatcher last submitted it; without origins until
            when the last one is known to have waited for it.
        keeper: Session of the dispatcher that keeps it for a retry of its
            client; None if none does.
        kept_until: Until when it may run past its deadline, as all zones know
            of it.
        known_until: Until when the other zones keep what they know of it, less
            the longest lease; those of their dispatchers that know of it may be
            lost before.
        config_version: Version of the configuration that set `queue`.
        shared_at: When the other zones were last told that it runs here.
        client_zone: Zone of the dispatcher that submitted it; empty if unknown.
        competitors: Keys of the competitors that it belongs to; see
            `fairshare`.
        debt_step: Debt of these, in steps; a job with a higher one starts
            later.
        priority_rank: Priority of its queue if the settings order by it, else
            0; a job with a higher one starts later.
        seniority_s: Time since it was first refused, if its client came back
            when it was told; it is ordered as that much more urgent.
    """

    id: str
    queue: Queue
    spec: str
    step: Step
    origins: set
    arrived_at: float
    objective_at: float
    deadline_at: float
    estimate_s: float
    known_since: float = 0.0
    hold_until: float = 0.0
    handed_over_at: float = -1e9
    not_before: float = 0.0
    waiting: collections.deque = attrs.field(factory=collections.deque)
    done: set[int] = attrs.field(factory=set)
    runs: dict[int, Run] = attrs.field(factory=dict)
    run_numbers: runnumbers.RunNumbers = attrs.field(
        factory=runnumbers.RunNumbers
    )
    failures: dict[int, int] = attrs.field(factory=dict)
    avoided_servers: dict[int, str] = attrs.field(factory=dict)
    unanswered_servers: dict[int, str] = attrs.field(factory=dict)
    possible_starts: int = 0
    first_start_at: float | None = None
    orphaned_at: float = 0.0
    origins_heard_at: dict = attrs.field(factory=dict)
    zones_heard_at: dict[str, float] = attrs.field(factory=dict)
    heard_until: float = 0.0
    keeper: object = None
    kept_until: float = 0.0
    known_until: float = -1e9
    config_version: int = 0
    shared_at: float = -1e9
    client_zone: str = ""
    competitors: tuple | None = None
    debt_step: int = 0
    priority_rank: int = 0
    seniority_s: float = 0.0

    def remove_origin(self, origin, now: float) -> None:
        """Removes the session of a dispatcher that waits or keeps the job."""
        if origin in self.origins:
            self.heard_until = self._heard_until(now)
            self.origins.remove(origin)
            self.orphaned_at = min(now, self.deadline_at)
        if origin == self.keeper:
            self.keeper = None
            self.kept_until = min(self.kept_until, now)

    @property
    def awaited_until(self) -> float:
        """Until when a client waits for it or may return to this zone."""
        until = self.deadline_at if self.origins else self.orphaned_at
        return max(until, self.kept_until)

    def attended_until(self, now: float) -> float:
        """Returns until when no other zone can start the job, at most `now`.

        Until then a client waits for its answer, or all zones know of it. Later
        its client may be about to send it to a zone that does not.
        """
        known_until = min(
            self.known_until, *self.zones_heard_at.values(), math.inf
        )
        return min(now, max(self._heard_until(now), known_until))

    def _heard_until(self, now: float) -> float:
        """Returns until when a dispatcher is known to have waited for it."""
        heard_at = max(
            (self.origins_heard_at.get(o, now) for o in self.origins),
            default=-1e9,
        )
        return min(max(heard_at, self.heard_until), self.deadline_at)

    def key(self, index: int) -> TaskKey:
        """Returns the key of the task with this index."""
        return TaskKey(self.id, 0, 0, index)


class Verdict(enum.Enum):
    """The placer's answer to a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"  # no task of it has started or ever will
    ELSEWHERE = "elsewhere"  # the placer of another zone may still run it


@attrs.frozen
class EndedJob:
    """A job that ended recently.

    Attributes:
        verdict: The answer; None if none was sent.
        run_numbers: Which run numbers of its tasks are used.
        failures: Number of failed runs of each task, by index.
    """

    verdict: Verdict | None
    reason: str
    run_numbers: runnumbers.RunNumbers
    ended_at: float
    failures: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class RemoteJob:
    """A job that other placers may run although no client may be waiting.

    Attributes:
        ends_by_zone: When its runs in a zone have ended, unless that zone tells
            again. The local zone stands for an earlier owner.
        known_since: When a zone first told of it.
    """

    ends_by_zone: dict[str, float]
    known_since: float

    @property
    def ends_at(self) -> float:
        """When its runs have ended in all zones."""
        return max(self.ends_by_zone.values())

    def may_run_in(self, zone: str, now: float) -> bool:
        """Returns whether a zone may run it."""
        return now < self.ends_by_zone.get(zone, -1.0)

    def other_zone(self, zone: str, now: float) -> str | None:
        """Returns the zone but one that may run it longest; None if none."""
        others = [
            (end, other)
            for other, end in self.ends_by_zone.items()
            if other != zone and now < end
        ]
        return max(others)[1] if others else None


@attrs.define(eq=False)
class ZoneTables:
    """State of the placer of one availability zone.

    Attributes:
        servers: Backend servers, by id.
        jobs: Open jobs, by id.
        ended_jobs: Jobs that ended recently, by id.
        unclaimed_ends: Tasks of unknown jobs that an earlier owner completed,
            with the time.
        estimate_ratio: Observed duration of tasks as a factor of the declared
            one, by name of the queue.
        estimate_spread: Mean logarithmic error of the expected durations, by
            name of the queue.
        counters: Counts of starts, ends and refusals, by name.
        slowness_normalized_at: When the slowness of servers was last
            normalized.
        live_runs: Number of runs of each task that may be alive.
        remote_jobs: Jobs that other placers may still run, by id.
        losses: Runs that were lost with their servers, by job and task.
        is_list_known: Whether a list of the backend servers was ever read.
        fates: How recent jobs of all zones ended.
        origins_heard_at: Latest time at which a dispatcher certainly lived, by
            its session. One that is missing counts as alive.
        zones_heard_at: Latest time at which the placer of another zone, which
            has confirmed notices, certainly lived, by zone.
        first_token_offset: Token offset of a server that is added.
    """

    zone: str
    servers: dict[str, Server] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    ended_jobs: dict[str, EndedJob] = attrs.field(factory=dict)
    unclaimed_ends: dict[TaskKey, float] = attrs.field(factory=dict)
    estimate_ratio: dict[str, float] = attrs.field(factory=dict)
    estimate_spread: dict[str, float] = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    slowness_normalized_at: float = 0.0
    live_runs: collections.Counter = attrs.field(factory=collections.Counter)
    remote_jobs: dict[str, RemoteJob] = attrs.field(factory=dict)
    losses: losses_lib.LossTable = attrs.field(factory=losses_lib.LossTable)
    is_list_known: bool = True
    fates: jobfates.JobFates = attrs.field(factory=jobfates.JobFates)
    origins_heard_at: dict = attrs.field(factory=dict)
    zones_heard_at: dict[str, float] = attrs.field(factory=dict)
    first_token_offset: int = 0

    def add_server(self, server: Server) -> None:
        """Adds a server, which may have been removed earlier."""
        server.token_offset = self.first_token_offset
        self.servers[server.id] = server

    def remove_server(self, server: Server) -> None:
        """Removes a server.

        Should it be added again, it refuses what was sent to it until now.
        """
        self.first_token_offset = max(
            self.first_token_offset, server.token_offset + 1
        )
        del self.servers[server.id]

    def add_run(self, run: Run) -> None:
        """Adds a run and occupies the capacity that it demands."""
        server = run.server
        server.runs[run.id] = run
        server.occupy(run.demand)
        server.unclaimed_runs += run.is_unclaimed
        server.isolated_runs += run.is_isolated
        self.live_runs[run.key] += 1

    def remove_run(self, run: Run, now: float) -> None:
        """Removes a run that has certainly ended and frees its capacity."""
        server = run.server
        if server.runs.pop(run.id, None) is None:
            return
        server.release(run.demand)
        server.unclaimed_runs -= run.is_unclaimed
        server.isolated_runs -= run.is_isolated
        server.recently_ended.pop(run.id, None)
        server.recently_ended[run.id] = now
        self.live_runs[run.key] -= 1
        if not self.live_runs[run.key]:
            del self.live_runs[run.key]


def record_remote_job(
    remote_jobs: dict[str, RemoteJob],
    job_id: str,
    zone: str,
    until: float,
    now: float,
) -> None:
    """Adds a job to a table of remote jobs, in the order of their expiry."""
    known = remote_jobs.pop(job_id, None)
    ends_by_zone = dict(known.ends_by_zone) if known else {}
    ends_by_zone[zone] = until
    known_since = known.known_since if known else now
    remote_jobs[job_id] = RemoteJob(ends_by_zone, known_since)


def drop_expired_remote_jobs(
    remote_jobs: dict[str, RemoteJob], now: float
) -> None:
    """Removes the remote jobs whose runs have certainly ended."""
    while remote_jobs:
        job_id = next(iter(remote_jobs))
        if now < remote_jobs[job_id].ends_at:
            return
        del remote_jobs[job_id]


def milliseconds(seconds: float) -> int:
    """Converts a duration in s to whole ms for log lines."""
    return round(seconds * 1000)
