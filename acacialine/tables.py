"""The state of one entry: its records and the tables that hold them.

The decision modules are functions over `Tables` and the current time. They
change the tables and append actions; they do no I/O.

Times are those of `clock.now`, in s, unless stated otherwise.
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

# Entries report their work that is due within each of these times from now,
# in s.
DUE_HORIZONS_S = (1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 32.0, 64.0)


class TaskState(enum.Enum):
    """The state of a task."""

    WAITING = "waiting"
    STARTED = "started"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class AttemptOutcome(enum.StrEnum):
    """How a start attempt ended; only after NOT_STARTED may another follow."""

    NOT_STARTED = "not_started"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class ReleaseReason(enum.IntEnum):
    """Why a coordinator releases a slot; reported to the slot's broker."""

    SUCCEEDED = 0
    FAILED = 1
    UNKNOWN = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNUSED = 5


@attrs.frozen(eq=False)
class Group:
    """A class of tasks that are interchangeable for placement.

    There is one object for each group, so groups compare by identity.

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
    """A complete HTTP response of a backend server."""

    status: int
    body: bytes
    content_type: str


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        index: Position in the job.
        payload: Body of the start request to the backend server.
        estimate_key: Key of the learned run time that applies.
        expected_s: Expected run time when the job was accepted, in s.
        attempts: Start attempts, including those that did not start.
        not_before: Earliest time of the next attempt.
        started_at: Time at which the current attempt was recorded.
        grant: Grant of the current attempt.
        result: Encoded result, once the task has succeeded.
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
    """The final answer of a submission, as sent to its client.

    Attributes:
        status: HTTP status.
        outcome: What the client may conclude.
        code: The stable reason code.
        body: The JSON body.
        retry_after_s: Delay before a refused client should retry, in s; 0 if
            none is sent.
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
        parsed_id: The parsed id.
        submission_id: The id as text.
        digest: Digest of the task kind in the path and the request body.
        idempotent: Whether every task is marked as idempotent.
        arrived_at: Time at which the request arrived.
        deadline: Time by which its answer is final.
        body_bytes: Size of the request body.
        waiting: Waiting tasks by group.
        running: Started tasks by index.
        unfinished: Number of tasks that have not succeeded.
        work_s: Expected run time of its unfinished tasks, in s.
        possible_starts: Attempts that started or may have started.
        is_urgent: Whether it may miss its deadline in the usual order of jobs.
        answer: The final answer, once there is one.
        decisions: Lines shown by `job explain`.
    """

    team: str
    parsed_id: ids.SubmissionId
    submission_id: str
    digest: bytes
    idempotent: bool
    arrived_at: float
    deadline: float
    body_bytes: int
    tasks: list[Task] = attrs.field(factory=list)
    waiting: dict[Group, collections.deque[Task]] = attrs.field(factory=dict)
    running: dict[int, Task] = attrs.field(factory=dict)
    unfinished: int = 0
    work_s: float = 0.0
    possible_starts: int = 0
    is_urgent: bool = False
    answer: JobAnswer | None = None
    decisions: list[str] = attrs.field(factory=list)


@attrs.frozen
class JobTrace:
    """The decisions of a recently finished job, for `job explain`."""

    team: str
    submission_id: str
    outcome: errors.Outcome
    code: errors.Code
    decisions: list[str]


@attrs.frozen
class RetainedAnswer:
    """A final answer retained for replay under its id."""

    team: str
    submission_id: str
    digest: bytes
    answer: JobAnswer


@attrs.frozen
class Tombstone:
    """The record that a submission has been answered.

    It outlives the retained answer and prevents a second run under the id.

    Attributes:
        digest: Digest of the body; empty if the body was never read.
        outcome: Outcome of the final answer.
    """

    digest: bytes
    outcome: errors.Outcome


@attrs.define(eq=False)
class Grant:
    """A slot that this coordinator may use for one task.

    Attributes:
        broker: Incarnation of the granting broker.
        seq: Sequence number of the grant at its broker.
        use_until: Time after which the grant must not be used.
        relayed: Whether the start goes through the broker.
        lease_until: Time by which a task on it must have ended.
        floor_rank: Rank of the first work that the broker could not serve.
        reuses_left: Number of tasks that may still follow the current one.
        received_at: When the grant arrived.
        last_run_s: Run time of its last task.
        last_expected_s: Expected run time of its last task.
        task: The task that currently uses it.
    """

    broker: str
    seq: int
    backend_id: str
    group: Group
    use_until: float
    relayed: bool
    lease_until: float = float("inf")
    floor_rank: float = float("inf")
    reuses_left: int = 0
    received_at: float = 0.0
    last_run_s: float = 0.0
    last_expected_s: float = 0.0
    task: Task | None = None


@attrs.define(eq=False)
class HeldSlot:
    """A slot that this broker has granted to a coordinator.

    Attributes:
        holder: Incarnation of the coordinator.
        seq: Sequence number of the grant.
        use_until: Time by the holder's clock after which it is not used.
        lease_until: Time at which it becomes free even without a release.
        kind: Resources that the task needs, as of the time of the grant.
        relay_in_progress: Whether a relayed start is using it.
    """

    holder: str
    seq: int
    backend_id: str
    group: Group
    issued_at: float
    use_until: float
    lease_until: float
    kind: documents.Kind | None = None
    relay_in_progress: bool = False


@attrs.define(eq=False)
class Health:
    """A broker's view of a backend server's health.

    Attributes:
        refused_until: No new starts before this time, after a refused start.
        blocked_until: No new starts before this time, because of a quarantine
            or of a backoff after it was unreachable.
        probing: Whether single probe starts decide on the end of quarantine.
        is_quarantined_manually: Whether an operator has quarantined it.
        slowdown: Smoothed ratio of observed to expected run time.
    """

    consecutive_failures: int = 0
    consecutive_unreachable: int = 0
    refused_until: float = 0.0
    blocked_until: float = 0.0
    probing: bool = False
    quarantines: int = 0
    is_quarantined_manually: bool = False
    slowdown: float = 1.0


@attrs.define(eq=False)
class Backend:
    """One backend server.

    Attributes:
        is_leaving: Whether the platform's list or a peer says it is leaving.
        is_listed: Whether it is in the platform's newest VM list.
        owned_since: When this entry became its broker; None if it is not.
        grantable_at: Earliest time this broker may grant its slots.
        held_slots: Slots granted by this entry, by sequence number.
        remote_slot_counts: Number of slots that a peer holds from another
            broker, by holder.
        used_cpus: CPUs of the tasks in held slots.
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
    is_leaving: bool = False
    is_listed: bool = True
    owned_since: float | None = None
    grantable_at: float = 0.0
    held_slots: dict[int, HeldSlot] = attrs.field(factory=dict)
    remote_slot_counts: dict[str, int] = attrs.field(factory=dict)
    health: Health = attrs.field(factory=Health)
    used_cpus: float = 0.0
    used_memory_mb: float = 0.0
    used_accelerators: int = 0


@attrs.define(eq=False)
class SlotRequestItem:
    """Number of slots that a coordinator requests for one group.

    Attributes:
        rank: Order among waiting work, lower first; by the local clock.
        lease_s: Longest time a granted task may run, in s.
    """

    group: Group
    count: int
    rank: float
    lease_s: float


@attrs.define(eq=False)
class SlotRequest:
    """The newest slot request of a coordinator, as recorded by the broker.

    Attributes:
        sent_at: Time of sending by the coordinator's clock.
    """

    holder: str
    received_at: float
    sent_at: float
    items: list[SlotRequestItem]


@attrs.define(eq=False)
class Load:
    """The load that an entry reports to its peers.

    Attributes:
        slots: Slots it brokers.
        free: Of these, the free ones.
        work_s: Expected run time of its accepted unfinished work, in s.
        waiting: Number of its waiting tasks.
        due_work_s: The part of `work_s` due within each of `DUE_HORIZONS_S`.
    """

    slots: int = 0
    free: int = 0
    work_s: float = 0.0
    waiting: int = 0
    due_work_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class RequestedSlots:
    """The demand for a group as last sent to a broker."""

    count: int
    rank: float


@attrs.define(eq=False)
class Peer:
    """Another entry, known directly or through reports of a third one.

    Attributes:
        state: `live`, `draining` or `left`.
        heard_at: Time of the newest direct heartbeat; 0 if there is none.
        last_known_at: Time of the newest information, direct or reported.
        beat: Sequence number of its newest heartbeat.
        config_offset: Offset of its configuration in the log.
        successor: Id of the peer that takes over its answers.
        demand: Task starts per second offered to it, by team.
        requested_slots: Demand last sent to it as a broker, by group.
        requested_at: Time of the last slot request sent to it.
        received_grant_seq: Newest grant sequence number received from it.
        sent_grant_seq: Newest grant sequence number sent to it.
    """

    incarnation: ids.Incarnation
    name: str
    zone: str
    state: str = "live"
    heard_at: float = 0.0
    last_known_at: float = 0.0
    beat: int = 0
    config_offset: int = 0
    successor: str = ""
    caller_address: str = ""
    load: Load = attrs.field(factory=Load)
    demand: dict[str, float] = attrs.field(factory=dict)
    requested_slots: dict[Group, RequestedSlots] = attrs.field(factory=dict)
    requested_at: float = 0.0
    received_grant_seq: int = 0
    sent_grant_seq: int = 0

    @property
    def id(self) -> str:
        """Its incarnation as text, the key of the peer table."""
        return str(self.incarnation)


@attrs.define(eq=False)
class Estimate:
    """Run time learned for one key from successful tasks, in s."""

    mean_s: float
    count: int = 0


@attrs.define(eq=False)
class TeamUsage:
    """What one team uses at this entry.

    Attributes:
        held: Slots of this broker that its tasks hold.
        queued_bytes: Size of the request bodies of its unfinished jobs.
        start_rate: Smoothed rate of offered task starts, per second.
        start_rate_at: Time at which `start_rate` was last updated.
        allowance: Task starts that its quota still allows now.
        allowance_refilled_at: Time at which the allowance was last refilled.
    """

    held: int = 0
    queued_bytes: int = 0
    start_rate: float = 0.0
    start_rate_at: float = 0.0
    allowance: float = 0.0
    allowance_refilled_at: float | None = None


@attrs.define(eq=False)
class Tables:
    """All state of one entry.

    Attributes:
        incarnation: Incarnation of this entry.
        configuration: Team documents in force, read from the configuration log.
        epoch: Epoch of the submission ids issued now.
        epoch_started_at: Time at which the epoch began.
        oldest_epoch: Oldest epoch whose ids may still be started.
        closing_connections: Whether responses close client connections.
        draining: Whether a graceful shutdown has begun to move work to peers.
        refusing_jobs: Whether the shutdown has begun to refuse new jobs.
        successor: Id of the peer that takes over the answers.
        jobs: Unfinished jobs by team and submission id.
        retained_answers: Answers by team and submission id, oldest first.
        tombstones: Tombstones by epoch and `submissions.tombstone_key`.
        inherited_tombstones: Tombstones of stopped coordinators, by
            incarnation and key.
        groups: The one object of each group, by team, kind and `is_long`.
        queues: Heap of (rank, sequence number, job) by group.
        waiting_counts: Number of waiting tasks by group.
        delayed_tasks: Heap of (time, sequence number, task) of tasks in
            backoff.
        owned: Backend servers that this entry brokers.
        local_backends: Backend servers of the local zone.
        total_slots: Slots of all listed backend servers.
        held_slots: Slots granted by this entry, by sequence number.
        slot_requests: Newest slot request by coordinator.
        grants: Grants received from peers, by broker and sequence number.
        pending_releases: Slots to release in this tick, by broker.
        deadlines: Heap of (time, sequence number, job).
        finished_job_traces: Traces of recent jobs, oldest first.
        ready_grants: Unused grants received from peers, to start a task on or
            to release.
        restarted_peers: Time of removal of each peer whose address has a later
            incarnation; its messages are ignored.
        queued_bytes: Size of the request bodies of all unfinished jobs.
        work_s: Expected run time of all unfinished tasks, in s.
        next_grant_seq: Sequence number of the next granted slot.
        next_heap_seq: Number of heap entries so far; breaks ties in heaps.
        beat: Sequence number of the newest heartbeat.
        next_heartbeat_at: Time of the next heartbeat to the local zone.
        next_zone_heartbeat_at: Time of the next heartbeat to other zones.
        next_request_at: Earliest time of the next planning of slot requests.
        urgency_check_at: Time of the next search for urgent jobs.
        mean_run_s: Smoothed run time of a task, in s.
        wait_s: Predicted time until the local zone can start all waiting
            tasks, in s.
        retry_tokens: Attempts that may be repeated without a long delay.
        actions: Actions decided since the last `Core.take_actions`.
    """

    incarnation: ids.Incarnation
    settings: settings_lib.Settings
    random: random.Random
    configuration: configlog.Configuration = attrs.field(
        factory=configlog.Configuration
    )
    epoch: int = 0
    epoch_started_at: float = 0.0
    oldest_epoch: int = 0
    closing_connections: bool = False
    draining: bool = False
    refusing_jobs: bool = False
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
    waiting_counts: dict[Group, int] = attrs.field(factory=dict)
    delayed_tasks: list = attrs.field(factory=list)
    backends: dict[str, Backend] = attrs.field(factory=dict)
    owned: list[Backend] = attrs.field(factory=list)
    local_backends: list[Backend] = attrs.field(factory=list)
    total_slots: int = 0
    held_slots: dict[int, HeldSlot] = attrs.field(factory=dict)
    slot_requests: dict[str, SlotRequest] = attrs.field(factory=dict)
    grants: dict[tuple[str, int], Grant] = attrs.field(factory=dict)
    pending_releases: dict[str, list] = attrs.field(factory=dict)
    deadlines: list = attrs.field(factory=list)
    finished_job_traces: collections.deque[JobTrace] = attrs.field(
        factory=lambda: collections.deque(maxlen=256)
    )
    ready_grants: collections.deque[Grant] = attrs.field(
        factory=collections.deque
    )
    peers: dict[str, Peer] = attrs.field(factory=dict)
    restarted_peers: dict[str, float] = attrs.field(factory=dict)
    estimates: dict[tuple, Estimate] = attrs.field(factory=dict)
    usage_by_team: dict[str, TeamUsage] = attrs.field(factory=dict)
    counters: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    queued_bytes: int = 0
    work_s: float = 0.0
    next_grant_seq: int = 1
    next_heap_seq: int = 0
    beat: int = 0
    next_heartbeat_at: float = 0.0
    next_request_at: float = 0.0
    urgency_check_at: float = 0.0
    next_zone_heartbeat_at: float = 0.0
    last_tick_at: float = 0.0
    starts_last_tick: int = 0
    mean_run_s: float = 0.2
    wait_s: float = 0.0
    retry_tokens: float = 10.0
    actions: list = attrs.field(factory=list)

    @property
    def my_id(self) -> str:
        """The incarnation of this entry as text."""
        return str(self.incarnation)

    @property
    def zone(self) -> str:
        """The availability zone of this entry."""
        return self.settings.entry.zone

    def group(self, team: str, kind: str, is_long: bool) -> Group:
        """Returns the one object of a group, creating it if needed."""
        key = (team, kind, is_long)
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = Group(team, kind, is_long)
        return group

    def team_usage(self, team: str) -> TeamUsage:
        """Returns the usage record of a team, creating it if needed."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            usage = self.usage_by_team[team] = TeamUsage()
        return usage


def new_tables(
    me: ids.Incarnation,
    settings: settings_lib.Settings,
    now: float,
    seed: int | None = None,
) -> Tables:
    """Creates the empty tables of a starting entry.

    Args:
        me: Incarnation of the entry.
        settings: Its settings.
        now: Current time.
        seed: Seed of the tables' random numbers; None for a random seed.
    """
    tables = Tables(me, settings, random.Random(seed))
    tables.epoch_started_at = now
    tables.last_tick_at = now
    return tables
