"""Typed messages between entries, which `codec` encodes.

Names of classes and attributes correspond to those of `acacialine.capnp`.
Incarnations of entries are strings `<host>-<port>-<nonce>`; see `ids`.
"""

import math

import attrs


@attrs.frozen
class HeldReport:
    """A slot that the sender holds on a backend server.

    Attributes:
        broker: Incarnation of the broker that granted it.
        seq: Number of the grant at that broker.
        backend_id: The backend server.
    """

    broker: str
    seq: int
    backend_id: str


@attrs.frozen
class MemberReport:
    """What the sender knows about a third entry.

    Attributes:
        incarnation: The entry's incarnation.
        name: Its name.
        zone: Its availability zone.
        state: `live` or `draining`.
        config_offset: Offset of its configuration in the log.
        age_ms: Age of this information, in ms.
        caller_address: `IP:port` on which it serves clients.
    """

    incarnation: str
    name: str
    zone: str
    state: str
    config_offset: int
    age_ms: int
    caller_address: str = ""


@attrs.frozen
class BackendReport:
    """Whether a backend server is leaving, as far as the sender knows."""

    backend_id: str
    leaving: bool


@attrs.frozen
class TeamDemand:
    """Task starts per second that a team offers to the sender.

    Attributes:
        team: The team.
        rate: Task starts per second.
    """

    team: str
    rate: float


@attrs.frozen
class Heartbeat:
    """State of an entry, sent periodically to its peers.

    Attributes:
        sender: Incarnation of the entry.
        name: Its name.
        zone: Its availability zone.
        state: `live` or `draining`.
        beat: Sequence number of the heartbeat.
        sent_at: Time of sending on the sender's clock.
        config_offset: Offset of its configuration in the log.
        successor: Incarnation of the entry that takes over its answers;
            empty unless it stops.
        caller_address: `IP:port` on which it serves clients.
        last_seq: Newest grant number that it received from the receiver.
        slots: Number of slots that it brokers.
        free: Number of these that are free.
        work_s: Expected run time of its unfinished work, in s.
        waiting: Number of its waiting tasks.
        held: Slots that it holds on backend servers of the receiver, granted
            by other brokers.
        members: Other entries that the receiver may not hear from directly.
        backends: Backend servers that are leaving.
        demand: Task starts that teams offer to it.
        held_seqs: Numbers of the receiver's grants that it holds.
        due: Its unfinished work in s by time to the deadline; see
            `tables.Load`.
    """

    sender: str
    name: str
    zone: str
    state: str
    beat: int
    sent_at: float
    config_offset: int
    successor: str
    caller_address: str
    last_seq: int
    slots: int
    free: int
    work_s: float
    waiting: int
    held: list[HeldReport] = attrs.field(factory=list)
    members: list[MemberReport] = attrs.field(factory=list)
    backends: list[BackendReport] = attrs.field(factory=list)
    demand: list[TeamDemand] = attrs.field(factory=list)
    held_seqs: list[int] = attrs.field(factory=list)
    due: list[float] = attrs.field(factory=list)


@attrs.frozen
class AskEntry:
    """Slots requested for one group of tasks.

    Attributes:
        team: The owning team.
        kind: The kind of task.
        is_long: Whether the tasks are expected to run long.
        count: Number of slots.
        rank: Rank of the work among all waiting work, relative to the time
            of sending; the lowest is served first.
        lease_ms: Longest time that a task may run on a slot, in ms.
    """

    team: str
    kind: str
    is_long: bool
    count: int
    rank: float
    lease_ms: int


@attrs.frozen
class AskMessage:
    """All slots that a coordinator requests from a broker.

    Replaces the coordinator's earlier requests to this broker.

    Attributes:
        sender: Incarnation of the coordinator.
        sent_at: Time of sending on the sender's clock, echoed in grants.
        last_seq: Newest grant number that it received from the receiver.
        entries: The requested slots, by group.
        free: Number of free slots that it brokers itself.
        due: As in `Heartbeat`.
        waiting: Number of its waiting tasks.
    """

    sender: str
    sent_at: float
    last_seq: int
    entries: list[AskEntry]
    free: int = 0
    due: list[float] = attrs.field(factory=list)
    waiting: int = 0


@attrs.frozen
class GrantEntry:
    """One granted slot.

    Attributes:
        seq: Number of the grant, unique at the broker.
        backend_id: The backend server that has the slot.
        team: As in `AskEntry`.
        kind: As in `AskEntry`.
        is_long: As in `AskEntry`.
        lease_ms: Longest time that a task may run on the slot, in ms.
    """

    seq: int
    backend_id: str
    team: str
    kind: str
    is_long: bool
    lease_ms: int


@attrs.frozen
class GrantMessage:
    """Slots that a broker grants in answer to an `AskMessage`.

    Attributes:
        sender: Incarnation of the broker.
        ask_sent_at: `sent_at` of the request, on the receiver's clock.
        waited_ms: Time from the arrival of the request to this grant, in ms.
        free: Number of free slots that the broker has left.
        entries: The granted slots.
        floor_rank: Rank, relative to the time of sending, of the first work
            that the broker could not serve.
    """

    sender: str
    ask_sent_at: float
    waited_ms: int
    free: int
    entries: list[GrantEntry]
    floor_rank: float = math.inf


@attrs.frozen
class ReleaseEntry:
    """One slot released by its holder.

    Attributes:
        seq: Number of the grant.
        reason: Value of a `tables.ReleaseReason`.
        run_ms: Time that the task ran, in ms.
        expected_ms: Time that it was expected to run, in ms.
    """

    seq: int
    reason: int
    run_ms: int
    expected_ms: int


@attrs.frozen
class ReleaseMessage:
    """Slots that a coordinator releases to their broker.

    Attributes:
        sender: Incarnation of the coordinator.
        entries: The released slots.
        free: Number of free slots that the coordinator brokers itself.
    """

    sender: str
    entries: list[ReleaseEntry]
    free: int = 0


@attrs.frozen
class LeavingMessage:
    """Notice that the sender stops.

    Attributes:
        sender: Its incarnation.
        successor: Incarnation of the entry that has its answers; empty if
            none has.
    """

    sender: str
    successor: str


@attrs.frozen
class Header:
    """One HTTP header."""

    name: str
    value: str


@attrs.frozen
class ForwardCall:
    """A client's request, forwarded to the coordinator named by its id."""

    method: str
    path: str
    authorization: str
    headers: list[Header]
    body: bytes


@attrs.frozen
class ForwardReply:
    """The coordinator's answer to a forwarded request."""

    status: int
    headers: list[Header]
    body: bytes


@attrs.frozen
class RelayCall:
    """A task start that the broker of the backend server relays.

    Attributes:
        sender: Incarnation of the coordinator.
        seq: Number of the broker's grant that the task uses.
        backend_id: The backend server.
        task_id: The task.
        kind: Its kind.
        deadline_ms: Time left until the deadline of its job, in ms.
        lease_ms: Longest time that it may run, in ms.
        body: Its payload.
    """

    sender: str
    seq: int
    backend_id: str
    task_id: str
    kind: str
    deadline_ms: int
    lease_ms: int
    body: bytes


@attrs.frozen
class RelayReply:
    """The outcome of a relayed task start, with the backend's response."""

    outcome: str
    status: int
    content_type: str
    reason: str
    body: bytes


@attrs.frozen
class StopCall:
    """Request to stop a relayed task."""

    backend_id: str
    task_id: str


@attrs.frozen
class HandoverAnswer:
    """A retained answer that a stopping coordinator sends to its successor."""

    team: str
    submission_id: str
    digest: bytes
    status: int
    outcome: str
    code: str
    body: bytes


@attrs.frozen
class HandoverTombstone:
    """A tombstone that a stopping coordinator sends to its successor."""

    key: bytes
    digest: bytes
    outcome: str


@attrs.frozen
class HandoverCall:
    """Part of the answers and tombstones of a stopping coordinator.

    Attributes:
        coordinator: Its incarnation.
        answers: Some of its retained answers.
        tombstones: Some of its tombstones.
        is_last: Whether this is the last part.
    """

    coordinator: str
    answers: list[HandoverAnswer]
    tombstones: list[HandoverTombstone]
    is_last: bool


@attrs.frozen
class ConfigCall:
    """Request for the configuration if the receiver's is newer.

    Attributes:
        offset: Offset of the sender's configuration in the log.
    """

    offset: int


@attrs.frozen
class ConfigReply:
    """Answer to a `ConfigCall`.

    Attributes:
        offset: Offset of the configuration of the entry that answers.
        snapshot: Its `configlog.Snapshot` in JSON; empty if not newer.
    """

    offset: int
    snapshot: bytes


@attrs.frozen
class Acknowledged:
    """Answer to a call that was carried out and returns nothing."""


@attrs.frozen
class ZoneState:
    """Heartbeat between dispatchers; each one is answered with one.

    Attributes:
        sender: Id of the dispatcher.
        name: Its name.
        zone: Its availability zone.
        started: Start time of its process, in s since 1970.
        claim: Its epoch while it is the placer of its zone, else 0.
        is_candidate: Whether it is ready to become the placer.
        config_version: Version of its configuration; 0 if it has none.
        free_tasks: Number of tasks of the usual size that could start now.
        placer_id: The placer of its zone as far as it knows; may be empty.
        placer_claim: Epoch of that placer.
        weight: Its processing capacity, in processors.
        server_count: Number of backend servers of its zone that it knows.
        server_list_offset: Offset in the store up to which its list of backend
            servers is current; 0 if it has read none.
        knows_jobs: Whether it is the placer and knows all jobs of earlier ones
            that may still run.
    """

    sender: str
    name: str
    zone: str
    started: float
    claim: int
    is_candidate: bool
    config_version: int
    free_tasks: int
    placer_id: str
    placer_claim: int
    weight: float
    server_count: int = 0
    server_list_offset: int = 0
    knows_jobs: bool = False


@attrs.frozen
class SubmitJob:
    """A job that the dispatcher which received it submits to a placer.

    Attributes:
        job_id: The job.
        queue: Name of its queue; the next five attributes are the settings
            of a `zonetables.Queue`.
        spec: What its tasks run; opaque to the placer.
        count: Number of tasks; this, `cpu`, `memory_mb`, `gpu`, `estimate_s`
            and `label` form a `zonetables.Step`.
        age_s: Time since the client first sent the job, in s.
        left_s: Time until the client stops waiting, less a margin, in s.
        handovers: Number of placers that had the job before.
        is_spilled: Whether the dispatcher's zone lacked capacity for it.
        config_version: Version of the configuration that set the queue.
        joins_only: Whether the job is not to start if it is not open.
    """

    job_id: str
    queue: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float
    spec: str
    count: int
    cpu: int
    memory_mb: int
    gpu: int
    estimate_s: float
    label: str
    age_s: float
    left_s: float
    handovers: int
    is_spilled: bool
    config_version: int
    joins_only: bool


@attrs.frozen
class CancelJob:
    """Request to cancel a job, as no client waits for it at the sender."""

    job_id: str
    reason: str


@attrs.frozen
class KeepJob:
    """Notice that the sender answered 504 and expects its client to return.

    Attributes:
        job_id: The job.
        is_confirmed: Whether the placers of all other zones have confirmed that
            they know of the job, so that it may run past its deadline.
    """

    job_id: str
    is_confirmed: bool


@attrs.frozen
class JobKept:
    """Notice that a zone may run a job for which no client may be waiting.

    It is kept for a retry of its client, or runs of it go on without a job. A
    dispatcher or the placer of that zone sends it to the placers of other
    zones, which confirm it. A placer sends it to the candidates of its zone,
    one of which may succeed it.

    Attributes:
        job_id: The job.
        zone: The zone that may run it.
        is_relayed: Whether a placer sends it to the candidates of its zone.
    """

    job_id: str
    zone: str
    is_relayed: bool


@attrs.frozen
class KeptConfirmed:
    """Confirmation that a placer has received a `JobKept`."""

    job_id: str


@attrs.frozen
class TaskLost:
    """Notice of how often backend servers have crashed while they ran a task.

    A placer sends it to the candidates of its zone and to the other zones,
    whose placers relay it to their candidates.

    Attributes:
        job_id: The job.
        index: Index of the task in the job.
        crashes: See `losses.TaskLosses`.
        uncertain: See `losses.TaskLosses`.
        is_relayed: Whether the receiver is not to relay it.
    """

    job_id: str
    index: int
    crashes: int
    uncertain: int
    is_relayed: bool


@attrs.frozen
class EndedJobs:
    """Notice of jobs that must not run again, or not beside a zone, in batches.

    A placer sends it to the placers of the other zones, which relay it to the
    candidates of their zones, and to the candidates of its own.

    Attributes:
        completed: Ids of jobs that were completed, 8 bytes each.
        failed: The same for jobs that failed.
        cancelled: The same for jobs that a client cancelled.
        is_relayed: Whether the receiver is not to relay it.
        running: The same for jobs that run in a zone.
        zone: The zone that runs these; empty if there are none.
        number: Number by which the placer of another zone confirms these; 0 if
            it is not to.
    """

    completed: bytes
    failed: bytes
    cancelled: bytes
    is_relayed: bool
    running: bytes = b""
    zone: str = ""
    number: int = 0


@attrs.frozen
class OpenJobsConfirmed:
    """Confirmation that a placer knows the running jobs of an `EndedJobs`."""

    number: int


@attrs.frozen
class CancelCall:
    """Request to end a job for all who wait for it, as a client cancelled it.

    The sender need not have submitted it. The receiver also starts no copy of
    its request that arrives later.
    """

    job_id: str


@attrs.frozen
class CancelReply:
    """Answer to a `CancelCall`.

    Attributes:
        job_id: The job.
        was_open: Whether it was open at the receiver, which has ended it.
    """

    job_id: str
    was_open: bool


@attrs.frozen
class JobVerdict:
    """How a job ended at a placer.

    Attributes:
        job_id: The job.
        verdict: Value of a `zonetables.Verdict`, `moved` if the receiver of
            the job is not the placer, or `resigned` if it is no longer.
        reason: Why the job did not complete; may be empty.
        retry_after_s: Delay before the client may retry, in s; 0 if none.
    """

    job_id: str
    verdict: str
    reason: str
    retry_after_s: float


@attrs.frozen
class RoutesCall:
    """Request for the configuration if the receiver's is newer.

    Attributes:
        version: Version of the sender's configuration; 0 if it has none.
    """

    version: int


@attrs.frozen
class RoutesReply:
    """Answer to a `RoutesCall`.

    Attributes:
        version: Version of the configuration.
        document: The configuration document as the platform stores it.
    """

    version: int
    document: bytes


@attrs.frozen
class ServerKnowledge:
    """What a placer has learned of one backend server.

    Attributes:
        incarnation: Incarnation of the server, in ms since 1970.
        slowness: Observed duration of runs as a factor of the expected one.
        failure_rate: Moving average of failures, 0 to 1.
    """

    id: str
    incarnation: int
    slowness: float
    failure_rate: float


@attrs.frozen
class QueueKnowledge:
    """What a placer has learned of one queue.

    Attributes:
        estimate_ratio: Observed duration of its tasks as a factor of the
            declared one.
    """

    name: str
    estimate_ratio: float


@attrs.frozen
class LearnedState:
    """What the placer of a zone has learned since its last report.

    It sends one to each candidate of its zone about once a second.
    """

    zone: str
    servers: list[ServerKnowledge]
    queues: list[QueueKnowledge]


@attrs.frozen
class ServerRecord:
    """The record of one backend server, as the store has it."""

    id: str
    record: bytes


@attrs.frozen
class ServerList:
    """All backend servers of a zone that its placer knows.

    The placer sends it to a candidate that knows too few of them.
    """

    zone: str
    records: list[ServerRecord]


@attrs.frozen
class EvacuatedZone:
    """A zone that is evacuated.

    Attributes:
        zone: The zone.
        age_s: Longest time since the store may have accepted the record, in s.
    """

    zone: str
    age_s: float


@attrs.frozen
class EvacuationState:
    """All evacuated zones, as far as the sender knows.

    Attributes:
        offset: Offset of the operator's records up to which it knows them; a
            state replaces one with a lower offset.
        zones: The evacuated zones.
    """

    offset: int
    zones: list[EvacuatedZone]


@attrs.frozen
class ServiceSummary:
    """See `zonebalance.ServiceSummary`."""

    name: str
    largest_cpu: int
    holes: list[int]
    soon_cpu: list[int]
    waiting_cpu: list[int]
    waiting_core_s: float
    usable_cpu: int
    slowness: float
    task_cpu: int


@attrs.frozen
class ZoneSummary:
    """Capacity and waiting work of a zone, summarized by its placer.

    It is sent to the placers of the other zones, and by each placer to the
    dispatchers of its own zone. See `zonebalance.Summary`.

    Attributes:
        age_ms: Time since it was made, in ms.
    """

    zone: str
    epoch: int
    version: int
    age_ms: int
    is_pressed: bool
    is_full: bool
    services: list[ServiceSummary]


Message = (
    Heartbeat
    | AskMessage
    | GrantMessage
    | ReleaseMessage
    | LeavingMessage
    | ForwardCall
    | ForwardReply
    | RelayCall
    | RelayReply
    | StopCall
    | HandoverCall
    | ConfigCall
    | ConfigReply
    | Acknowledged
    | ZoneState
    | SubmitJob
    | CancelJob
    | KeepJob
    | JobKept
    | KeptConfirmed
    | TaskLost
    | EndedJobs
    | OpenJobsConfirmed
    | CancelCall
    | CancelReply
    | JobVerdict
    | RoutesCall
    | RoutesReply
    | LearnedState
    | ServerList
    | EvacuationState
    | ZoneSummary
)
