"""Entities of one entry and the tables that hold them.

Systems are functions over `Tables` and the current time. They change the
tables and append actions; they do no input or output themselves.
"""

import collections
import enum
import random

import attrs

from acacialine import configlog
from acacialine import documents
from acacialine import errors
from acacialine import ids
from acacialine import settings as settings_lib

DUE_HORIZONS_S = (1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 32.0, 64.0)


class TaskState(enum.Enum):
    """Where a task is in its life."""

    WAITING = "waiting"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class AttemptOutcome(enum.StrEnum):
    """How a start attempt ended; only NOT_STARTED may be repeated."""

    NOT_STARTED = "not_started"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class ReleaseReason(enum.IntEnum):
    """What a coordinator reports when it gives a slot back."""

    SUCCEEDED = 0
    FAILED = 1
    UNKNOWN = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNUSED = 5


@attrs.frozen(eq=False)
class Group:
    """Waiting tasks that any one grant can serve alike.

    Attributes:
        team: The owning team.
        kind: The kind of task.
        is_long: Whether the tasks are expected to run long.
    """

    team: str
    kind: str
    is_long: bool


@attrs.frozen
class BackendAnswer:
    """A whole reply of a backend server."""

    status: int
    body: bytes
    content_type: str


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        estimate_key: Key of the learned run time that applies.
        expected_s: Expected run time when the job was accepted, in s.
        attempts: Start attempts, including those that did not start.
        not_before: Earliest time of the next attempt.
        started_at: Time at which the current attempt was recorded.
    """

    job: "Job"
    index: int
    group: Group
    payload: bytes
    estimate_key: tuple
    expected_s: float
    state: TaskState = TaskState.WAITING
    attempts: int = 0
    not_before: float = 0.0
    started_at: float = 0.0
    grant: "Grant | None" = None
    result: bytes = b""

    @property
    def task_id(self) -> str:
        """The id under which backend servers see this task."""
        return f"{self.job.submission_id}#{self.index}"


@attrs.frozen
class JobAnswer:
    """The final answer of a submission, as sent to its caller.

    Attributes:
        status: HTTP status.
        outcome: What the caller may conclude.
        code: The stable reason code.
        body: The JSON body.
        retry_after_s: When a refused caller should return; 0 is not stated.
    """

    status: int
    outcome: errors.Outcome
    code: errors.Code
    body: bytes
    retry_after_s: float = 0.0


@attrs.define(eq=False)
class Job:
    """An accepted submission.

    Attributes:
        deadline: Time at which its answer is final, by the local clock.
        work_s: Expected run time of its unfinished tasks, in s.
        starts: Attempts that started or may have started.
        is_urgent: Whether it would miss its deadline in its usual order.
    """

    team: str
    submission: ids.SubmissionId
    submission_id: str
    digest: bytes
    idempotent: bool
    accepted_at: float
    deadline: float
    body_bytes: int
    tasks: list[Task] = attrs.field(factory=list)
    waiting: dict[Group, collections.deque[Task]] = attrs.field(factory=dict)
    running: dict[int, Task] = attrs.field(factory=dict)
    unfinished: int = 0
    work_s: float = 0.0
    starts: int = 0
    is_urgent: bool = False
    answer: JobAnswer | None = None
    decisions: list[str] = attrs.field(factory=list)


@attrs.frozen
class JobTrace:
    """The decisions of a finished job, kept for a while to explain it."""

    team: str
    submission_id: str
    outcome: errors.Outcome
    code: errors.Code
    decisions: list[str]


@attrs.frozen
class RetainedAnswer:
    """A final answer kept for replay."""

    team: str
    submission_id: str
    digest: bytes
    answer: JobAnswer


@attrs.frozen
class Tombstone:
    """What remains of a submission whose answer is not kept.

    Attributes:
        digest: Digest of the body; empty if the body was never read.
        outcome: What was answered.
    """

    digest: bytes
    outcome: errors.Outcome


@attrs.define(eq=False)
class Grant:
    """A slot that this coordinator may use for one task.

    Attributes:
        broker: Incarnation of the granting broker.
        seq: Number of the grant at its broker.
        use_until: Time after which the grant must not be used.
        relayed: Whether the start goes through the broker.
        lease_until: Time at which a task on it must have ended.
        floor_rank: Rank of the first work that the broker could not serve.
        reuses: Tasks that may still follow the first on this grant.
        received_at: When it was granted.
        run_s: Run time of its last task.
        expected_s: Expected run time of its last task.
    """

    broker: str
    seq: int
    backend_id: str
    group: Group
    use_until: float
    relayed: bool
    lease_until: float = float("inf")
    floor_rank: float = float("inf")
    reuses: int = 0
    received_at: float = 0.0
    run_s: float = 0.0
    expected_s: float = 0.0
    task: Task | None = None


@attrs.define(eq=False)
class HeldSlot:
    """A slot that a broker has given to a holder.

    Attributes:
        use_until: Time by the holder's clock after which it is not used.
        kind: What the task needs, as it was when the slot was given.
        used: Whether a relayed start has used it.
        lease_until: Time at which it is free without any report.
    """

    holder: str
    seq: int
    backend_id: str
    group: Group
    issued_at: float
    use_until: float
    lease_until: float
    kind: documents.Kind | None = None
    used: bool = False


@attrs.define(eq=False)
class Health:
    """What a broker knows of a backend server's behaviour.

    Attributes:
        blocked_until: No new starts before this time.
        probing: Whether one start at a time decides on release.
        slowdown: Smoothed ratio of observed to expected run time.
    """

    failures: int = 0
    unreachable: int = 0
    refused_until: float = 0.0
    blocked_until: float = 0.0
    probing: bool = False
    quarantines: int = 0
    forced: bool = False
    slowdown: float = 1.0


@attrs.define(eq=False)
class Backend:
    """One backend server.

    Attributes:
        leaving: Whether the platform's list or a peer says it is leaving.
        owned_since: When this entry became its broker; None if it is not.
        grants_from: Earliest time this broker may grant its slots.
        held: Slots given out, by (broker, number).
        foreign: Slots that peers hold from another broker, by holder.
    """

    backend_id: str
    host: str
    port: int
    zone: str
    rack: str
    slots: int
    cpus: float
    memory_mb: float
    accelerators: int
    leaving: bool = False
    listed: bool = True
    owned_since: float | None = None
    grants_from: float = 0.0
    held: dict[int, HeldSlot] = attrs.field(factory=dict)
    foreign: dict[str, int] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    used_cpus: float = 0.0
    used_memory_mb: float = 0.0
    used_accelerators: int = 0


@attrs.define(eq=False)
class AskItem:
    """Slots wanted for one group.

    Attributes:
        rank: Order among waiting work; lower first, by the local clock.
        lease_s: Longest time a granted task may run, in s.
    """

    group: Group
    count: int
    rank: float
    lease_s: float


@attrs.define(eq=False)
class Ask:
    """The newest ask of one coordinator, as its broker sees it."""

    holder: str
    received_at: float
    sent_at: float
    items: list[AskItem]


@attrs.define(eq=False)
class Load:
    """What an entry tells others of its load.

    Attributes:
        slots: Slots it brokers.
        free: Of these, the free ones.
        work_s: Expected run time of its accepted unfinished work, in s.
        due: The part of it due within each of `DUE_HORIZONS_S`.
    """

    slots: int = 0
    free: int = 0
    work_s: float = 0.0
    waiting: int = 0
    due: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class Asked:
    """What a broker is believed to know of the own demand for a group."""

    count: int
    rank: float


@attrs.define(eq=False)
class Peer:
    """Another entry, heard of directly or from a third one.

    Attributes:
        heard_at: Time of the newest direct message.
        known_at: Time of the newest news of any kind.
        asked: What its broker believes we want, by group.
        last_seq: Newest grant number received from it.
        given_seq: Newest grant number given to it.
    """

    incarnation: ids.Incarnation
    name: str
    zone: str
    state: str = "live"
    heard_at: float = 0.0
    known_at: float = 0.0
    beat: int = 0
    config_offset: int = 0
    successor: str = ""
    caller_address: str = ""
    load: Load = attrs.field(factory=Load)
    demand: dict[str, float] = attrs.field(factory=dict)
    asked: dict[Group, Asked] = attrs.field(factory=dict)
    asked_at: float = 0.0
    last_seq: int = 0
    given_seq: int = 0

    @property
    def id(self) -> str:
        """Its incarnation as text, the key of the peer table."""
        return str(self.incarnation)


@attrs.define(eq=False)
class Estimate:
    """Learned run time of one key, from successes only, in s."""

    mean_s: float
    count: int = 0


@attrs.define(eq=False)
class TeamUsage:
    """What one team uses at this entry.

    Attributes:
        held: Slots of this broker it holds.
        start_rate: Smoothed offered task starts per second.
        allowance: Task starts it may still be admitted for.
        allowance_at: Time at which the allowance was last refilled.
    """

    held: int = 0
    queued_bytes: int = 0
    start_rate: float = 0.0
    rate_at: float = 0.0
    allowance: float = 0.0
    allowance_at: float | None = None


@attrs.define(eq=False)
class Tables:
    """All state of one entry."""

    me: ids.Incarnation
    settings: settings_lib.Settings
    random: random.Random
    fold: configlog.Fold = attrs.field(factory=configlog.Fold)
    epoch: int = 0
    epoch_at: float = 0.0
    oldest_epoch: int = 0
    closing: bool = False
    draining: bool = False
    refusing: bool = False
    successor: str = ""
    jobs: dict[tuple[str, str], Job] = attrs.field(factory=dict)
    retained_answers: collections.OrderedDict[
        tuple[str, str], RetainedAnswer
    ] = attrs.field(factory=collections.OrderedDict)
    retained_answer_bytes: int = 0
    tombstones: dict[int, dict[bytes, Tombstone]] = attrs.field(factory=dict)
    inherited_tombstones: dict[str, dict[bytes, Tombstone]] = attrs.field(
        factory=dict
    )
    groups: dict[tuple[str, str, bool], Group] = attrs.field(factory=dict)
    queues: dict[Group, list] = attrs.field(factory=dict)
    waiting: dict[Group, int] = attrs.field(factory=dict)
    delayed: list = attrs.field(factory=list)
    backends: dict[str, Backend] = attrs.field(factory=dict)
    owned: list[Backend] = attrs.field(factory=list)
    zone_backends: list[Backend] = attrs.field(factory=list)
    total_slots: int = 0
    held: dict[int, HeldSlot] = attrs.field(factory=dict)
    asks: dict[str, Ask] = attrs.field(factory=dict)
    grants: dict[tuple[str, int], Grant] = attrs.field(factory=dict)
    releases: dict[str, list] = attrs.field(factory=dict)
    deadlines: list = attrs.field(factory=list)
    finished: collections.deque[JobTrace] = attrs.field(
        factory=lambda: collections.deque(maxlen=256)
    )
    ready: collections.deque[Grant] = attrs.field(factory=collections.deque)
    peers: dict[str, Peer] = attrs.field(factory=dict)
    dead: dict[str, float] = attrs.field(factory=dict)
    estimates: dict[tuple, Estimate] = attrs.field(factory=dict)
    usage: dict[str, TeamUsage] = attrs.field(factory=dict)
    counters: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    queued_bytes: int = 0
    work_s: float = 0.0
    next_seq: int = 1
    next_heap_seq: int = 0
    beat: int = 0
    beat_at: float = 0.0
    plan_at: float = 0.0
    urgency_at: float = 0.0
    zone_beat_at: float = 0.0
    last_tick_at: float = 0.0
    starts_last_tick: int = 0
    mean_run_s: float = 0.2
    wait_s: float = 0.0
    retry_tokens: float = 10.0
    actions: list = attrs.field(factory=list)

    @property
    def my_id(self) -> str:
        """The own incarnation as text."""
        return str(self.me)

    @property
    def zone(self) -> str:
        """The own availability zone."""
        return self.settings.entry.zone

    def group(self, team: str, kind: str, is_long: bool) -> Group:
        """Returns the one object for a group."""
        key = (team, kind, is_long)
        found = self.groups.get(key)
        if found is None:
            found = self.groups[key] = Group(team, kind, is_long)
        return found

    def team_usage(self, team: str) -> TeamUsage:
        """Returns the usage record of a team, creating it if needed."""
        found = self.usage.get(team)
        if found is None:
            found = self.usage[team] = TeamUsage()
        return found


def new_tables(
    me: ids.Incarnation,
    settings: settings_lib.Settings,
    now: float,
    seed: int | None = None,
) -> Tables:
    """Creates the empty tables of a starting entry."""
    tables = Tables(me, settings, random.Random(seed))
    tables.epoch_at = now
    tables.last_tick_at = now
    return tables
