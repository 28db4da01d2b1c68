"""Typed messages between entries; `codec` turns them into bytes."""

import math

import attrs


@attrs.frozen
class HeldReport:
    """A slot that the sender holds on a backend server."""

    broker: str
    seq: int
    backend_id: str


@attrs.frozen
class MemberReport:
    """What the sender knows of a third entry."""

    incarnation: str
    name: str
    zone: str
    state: str
    config_offset: int
    age_ms: int
    caller_address: str = ""


@attrs.frozen
class BackendReport:
    """News of a backend server that the sender has or relays."""

    backend_id: str
    leaving: bool


@attrs.frozen
class TeamDemand:
    """Offered task starts per second of a team at the sender."""

    team: str
    rate: float


@attrs.frozen
class Heartbeat:
    """Periodic state of an entry.

    Attributes:
        sent_at: The sender's clock.
        last_seq: Newest grant number that the sender got from the receiver.
        slots: Slots the sender brokers.
        free: Of these, the free ones.
        work_s: Expected run time of its unfinished work, in s.
        held: Slots it holds that the receiver brokers but did not grant.
        held_seqs: Numbers of the receiver's grants that it holds.
        due: Its unfinished work in s by time to the deadline; see `Load`.
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
    """Slots wanted for one group.

    Attributes:
        rank: Order among waiting work relative to the time of sending.
    """

    team: str
    kind: str
    is_long: bool
    count: int
    rank: float
    lease_ms: int


@attrs.frozen
class AskMessage:
    """All slots the sender wants of the receiver; replaces earlier asks.

    Attributes:
        sent_at: Sender's clock, echoed in grants.
        last_seq: Newest grant number the sender got from the receiver.
        free: Free slots that the sender brokers.
        waiting: Its waiting tasks.
        due: As in `Heartbeat`.
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
    """One granted slot."""

    seq: int
    backend_id: str
    team: str
    kind: str
    is_long: bool
    lease_ms: int


@attrs.frozen
class GrantMessage:
    """Slots granted in answer to an ask.

    Attributes:
        ask_sent_at: `sent_at` of the ask, by the receiver's clock.
        waited_ms: Time the ask spent at the broker.
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
    """One slot given back."""

    seq: int
    reason: int
    run_ms: int
    expected_ms: int


@attrs.frozen
class ReleaseMessage:
    """Slots given back to their broker."""

    sender: str
    entries: list[ReleaseEntry]
    free: int = 0


@attrs.frozen
class LeavingMessage:
    """The sender stops; its answers are at the successor, if any."""

    sender: str
    successor: str


@attrs.frozen
class Header:
    """One HTTP header."""

    name: str
    value: str


@attrs.frozen
class ForwardCall:
    """A caller's request handed to the coordinator of its id."""

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
    """A task start relayed through the broker of the backend server."""

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
    """How a relayed start ended."""

    outcome: str
    status: int
    content_type: str
    reason: str
    body: bytes


@attrs.frozen
class StopCall:
    """Stops a relayed task."""

    backend_id: str
    task_id: str


@attrs.frozen
class HandoverAnswer:
    """A kept answer handed to the successor."""

    team: str
    submission_id: str
    digest: bytes
    status: int
    outcome: str
    code: str
    body: bytes


@attrs.frozen
class HandoverTombstone:
    """A tombstone handed to the successor."""

    key: bytes
    digest: bytes
    outcome: str


@attrs.frozen
class HandoverCall:
    """Part of the answers and tombstones of a stopping coordinator."""

    coordinator: str
    answers: list[HandoverAnswer]
    tombstones: list[HandoverTombstone]
    is_last: bool


@attrs.frozen
class ConfigCall:
    """Asks for the configuration if the receiver is ahead."""

    offset: int


@attrs.frozen
class ConfigReply:
    """The receiver's fold as a snapshot in JSON; empty if not ahead."""

    offset: int
    snapshot: bytes


@attrs.frozen
class Acknowledged:
    """A call was carried out."""


@attrs.frozen
class ZoneState:
    """Heartbeat between dispatchers; each one is answered with one.

    Attributes:
        started: Start of the process in s since 1970.
        claim: Epoch while the sender is the placer of its zone, else 0.
        free_tasks: Tasks of the usual size that could start now.
        placer_id: The placer of the sender's zone as it knows; may be empty.
        placer_claim: That placer's epoch.
        weight: The sender's share of a processor.
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
    is_reply: bool
    weight: float


@attrs.frozen
class SubmitJob:
    """A job on its way from the entry that received it to a placer."""

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


@attrs.frozen
class CancelJob:
    """Nobody waits for a job at the sender any more."""

    job_id: str
    reason: str


@attrs.frozen
class KeepJob:
    """The sender answered 504; its caller asks again a little later."""

    job_id: str


@attrs.frozen
class JobKept:
    """Another zone runs a job on after its deadline."""

    job_id: str
    zone: str


@attrs.frozen
class JobVerdict:
    """How a job ended; the value of a zonetables.Verdict."""

    job_id: str
    verdict: str
    reason: str
    retry_after_s: float


@attrs.frozen
class RoutesCall:
    """Asks for the configuration if it is newer than the version."""

    version: int


@attrs.frozen
class RoutesReply:
    """The configuration document as the platform stores it."""

    version: int
    document: bytes


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
    | JobVerdict
    | RoutesCall
    | RoutesReply
)
