"""Entities of the placer and the tables that hold them.

The placer of an availability zone owns its backend servers: every start and
stop there is its order, so the tables here are the whole truth about their
room. The systems in `placer`, `schedule` and `judge` run over these tables.
"""

import collections
import enum

import attrs

from acacialine import resources as resources_lib

ENDED_RUNS_KEPT_S = 5.0  # longer than any overtaken look at a backend server
RECENT_JOBS_KEPT_S = 6.0  # a resent job arrives at most seconds later


@attrs.frozen(cache_hash=True)
class TaskKey:
    """Names one task of one job.

    Attributes:
        job_id: The caller's id of the job.
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
    """Tasks of one job that need the same and start together.

    Attributes:
        count: Number of tasks.
        demand: What each task occupies while it runs.
        estimate_s: Declared duration of a task, often far off.
        label: Label that a backend server must have; empty for any.
    """

    count: int
    demand: resources_lib.Resources
    estimate_s: float
    label: str = ""


@attrs.frozen
class Queue:
    """The settings of a queue that were in force when a job arrived.

    Attributes:
        name: Name of the queue, unique in a configuration.
        service: Which backend servers run its tasks.
        priority: 0 is the most urgent.
        max_attempts: Failures of a task after which its job fails.
        stretch: Factor of the ideal duration that callers accept.
        target_latency_s: What callers accept beyond that, in s.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float


class RunState(enum.Enum):
    """What is known of an ordered run."""

    STARTING = "starting"  # ordered, no answer yet
    RUNNING = "running"  # confirmed or seen
    STOPPING = "stopping"  # to be stopped; still occupies its room
    DOUBTFUL = "doubtful"  # the start has no answer and may come late


class EndKind(enum.Enum):
    """How a backend server says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    LOST = "lost"  # not listed any more, or its server began a new life


@attrs.define(eq=False)
class Run:
    """One ordered run of a task on one backend server.

    Attributes:
        job: None for a run of an earlier owner that nobody claims yet.
        sent_at: When the order was sent.
        confirmed_at: When the start was answered or the run first seen.
        not_after: When a start without an answer can't be carried out any
            more, on the clock of this process.
        stop_confirmed_at: When the backend server confirmed the stop.
        stop_sent_at: When the last stop was sent.
        percent: Progress that the backend server reported last.
        progress_at: When the percentage was last seen to rise.
        seen_at: When a look last listed it.
        expected_s: Expected duration on this backend server.
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
    percent: int = 0
    progress_at: float = 0.0
    seen_at: float = 0.0

    @property
    def id(self) -> tuple[TaskKey, int]:
        """Key of the run among the runs of its backend server."""
        return self.key, self.number


@attrs.define(eq=False)
class Server:
    """A backend server of this availability zone.

    Attributes:
        life: Start of its present life in ms since 1970, as it says itself;
            0 until it was heard.
        listed: Whether its runs are known since this process owns it.
        used: What its runs occupy, doubtful and stopping ones included.
        free: What no run occupies; kept beside `used`, as it is read often.
        acknowledged: Number of the last end that was taken note of.
        slowness: Observed duration of runs, as a factor of the expected one.
        failures: Weight of recent failures, 0 to 1.
        avoid_until: No new task starts there before this time.
        gone: Runs that ended a short time ago, with the time.
        clock_ms: Its steady clock when it last answered.
        clock_at: When that answer came, on the clock of this process.
        lease_until: When all that runs there has lapsed for certain.
    """

    id: str
    address: tuple[str, int]
    zone: str
    service: str
    capacity: resources_lib.Resources
    labels: frozenset[str] = frozenset()
    draining: bool = False
    cold_until: float = 0.0
    present: bool = True
    life: int = 0
    announced_life: int = 0
    listed: bool = False
    used: resources_lib.Resources = resources_lib.NOTHING
    free: resources_lib.Resources = attrs.field(init=False)
    runs: dict[tuple[TaskKey, int], Run] = attrs.field(factory=dict)
    acknowledged: int = 0
    has_unacknowledged: bool = False
    slowness: float = 1.0
    failures: float = 0.0
    silent_since: float | None = None
    avoid_until: float = 0.0
    gone: dict[tuple[TaskKey, int], float] = attrs.field(factory=dict)
    clock_ms: int = 0
    clock_at: float = 0.0
    lease_until: float = 0.0

    def __attrs_post_init__(self):
        self.free = self.capacity - self.used

    def occupy(self, demand: resources_lib.Resources) -> None:
        """Counts a demand against the capacity."""
        self.used = self.used + demand
        self.free = self.capacity - self.used

    def release(self, demand: resources_lib.Resources) -> None:
        """Gives back what a demand occupied."""
        self.used = self.used - demand
        self.free = self.capacity - self.used

    def resize(self, capacity: resources_lib.Resources) -> None:
        """Takes in another capacity."""
        self.capacity = capacity
        self.free = self.capacity - self.used


@attrs.define(eq=False)
class Job:
    """A job that this placer has accepted.

    Attributes:
        spec: What the tasks run; opaque.
        origins: Sessions of the entries that wait for the answer.
        arrived_at: When its caller first sent it, as far as known.
        objective_at: When its callers want the answer.
        deadline_at: When they stop waiting.
        hold_until: No task starts before this time, because an earlier owner
            may still run it.
        not_before: No task starts before this time, because its entry may
            have given it to another placer while this one stood still.
        waiting: Indices of tasks that are to be started.
        orphaned_at: When its last origin was lost.
        kept_until: Until when it runs on after its deadline.
        possible_starts: Orders that may have started a task; a job with one
            can't be refused as not run any more.
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
    hold_until: float = 0.0
    not_before: float = 0.0
    waiting: collections.deque = attrs.field(factory=collections.deque)
    done: set[int] = attrs.field(factory=set)
    runs: dict[int, Run] = attrs.field(factory=dict)
    next_number: dict[int, int] = attrs.field(factory=dict)
    failures: dict[int, int] = attrs.field(factory=dict)
    avoid: dict[int, str] = attrs.field(factory=dict)
    possible_starts: int = 0
    first_start_at: float | None = None
    orphaned_at: float = 0.0
    kept_until: float = 0.0

    def key(self, index: int) -> TaskKey:
        """Returns the key of one of its tasks."""
        return TaskKey(self.id, 0, 0, index)


class Verdict(enum.Enum):
    """How a job ended, as its caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"  # no task of it has started or ever will
    ELSEWHERE = "elsewhere"  # the placer of another zone may still run it


@attrs.frozen
class Recent:
    """A job that ended a short time ago.

    Attributes:
        verdict: What was answered; None if its callers left before.
        next_number: Lowest unused number of a run for each task.
    """

    verdict: Verdict | None
    reason: str
    next_number: dict[int, int]
    at: float


@attrs.frozen
class ForeignJob:
    """A job that the placer of another zone runs on after its deadline.

    Attributes:
        until: When its last run has ended for certain.
    """

    zone: str
    until: float


@attrs.define(eq=False)
class ZoneTables:
    """All that the placer of one availability zone knows.

    Attributes:
        live_runs: How many runs of each task may be going on.
        foreign_jobs: Jobs that may still run in other zones.
        centred_at: When the slowness of servers was last centred.
    """

    zone: str
    servers: dict[str, Server] = attrs.field(factory=dict)
    jobs: dict[str, Job] = attrs.field(factory=dict)
    recent: dict[str, Recent] = attrs.field(factory=dict)
    ended_unclaimed: dict[TaskKey, float] = attrs.field(factory=dict)
    estimate_ratio: dict[str, float] = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    centred_at: float = 0.0
    live_runs: collections.Counter = attrs.field(factory=collections.Counter)
    foreign_jobs: dict[str, ForeignJob] = attrs.field(factory=dict)

    def add_run(self, run: Run) -> None:
        """Counts a run against the capacity of its server."""
        server = run.server
        server.runs[run.id] = run
        server.occupy(run.demand)
        self.live_runs[run.key] += 1

    def remove_run(self, run: Run, now: float) -> None:
        """Gives back the room of a run that has certainly ended."""
        server = run.server
        if server.runs.pop(run.id, None) is None:
            return
        server.release(run.demand)
        server.gone[run.id] = now
        self.live_runs[run.key] -= 1
        if not self.live_runs[run.key]:
            del self.live_runs[run.key]


def milliseconds(seconds: float) -> int:
    """Returns a duration in whole ms, as log lines show it."""
    return round(seconds * 1000)
