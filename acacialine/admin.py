"""The admin API of an entry: status, job explanations and operator actions."""

import hashlib
import hmac

import attrs
import msgspec

from acacialine import asgi
from acacialine import broker
from acacialine import clock
from acacialine import membership
from acacialine import tables as tables_lib

JSON_TYPE = b"application/json"


@attrs.frozen
class EntryStatus:
    """An entry, as known by the entry that serves the request.

    Attributes:
        slots: Slots that it brokers.
        free: Of these, the free ones.
        granting: Slots that it may already grant; for peers, `slots`.
        work_s: Expected run time of its unfinished tasks, in s.
        age_ms: Age of this information; 0 for the serving entry.
    """

    name: str
    incarnation: str
    zone: str
    state: str
    config_offset: int
    slots: int
    free: int
    granting: int
    work_s: float
    age_ms: int
    caller_address: str


@attrs.frozen
class BackendStatus:
    """A backend server, as known by the entry that serves the request.

    Attributes:
        broker: Incarnation of the entry that brokers it.
        allowed: Slots that may be in use now.
        held: Slots in use or granted.
        quarantined: Whether it is in quarantine or on probation after one.
        slowdown: Smoothed ratio of observed to expected run time.
    """

    backend: str
    zone: str
    rack: str
    broker: str
    slots: int
    allowed: int
    held: int
    leaving: bool
    quarantined: bool
    slowdown: float


@attrs.frozen
class QueueStatus:
    """The load of one team at the entry that serves the request.

    Attributes:
        waiting: Number of waiting tasks.
        held: Slots of this broker that the team's tasks hold.
        queued_bytes: Size of the request bodies of unfinished jobs.
        demand: Offered task starts per second, as last updated.
    """

    team: str
    waiting: int
    held: int
    queued_bytes: int
    demand: float


@attrs.frozen
class Status:
    """The status shown by `acacialine status`."""

    entry: str
    config_offset: int
    platform_up: bool
    entries: list[EntryStatus]
    backends: list[BackendStatus]
    queues: list[QueueStatus]
    counters: dict[str, int]


@attrs.frozen
class Explanation:
    """The decisions made for a job, and its outcome.

    Attributes:
        outcome: The final outcome, or `running`.
        code: The final reason code; empty while the job runs.
    """

    id: str
    outcome: str
    code: str
    decisions: list[str]


@attrs.frozen
class ActionResult:
    """The result of an operator action.

    Attributes:
        done: Whether the action was carried out.
        message: What was done, or why it was not.
    """

    done: bool
    message: str


def new_status(entry) -> Status:
    """Builds the status of an entry from its tables."""
    tables = entry.tables
    now = clock.now()
    return Status(
        tables.settings.entry.name,
        tables.configuration.offset,
        entry.config.is_platform_up,
        _entry_statuses(tables, now),
        [_backend_status(tables, b, now) for b in tables.backends.values()],
        _queue_statuses(tables, now),
        dict(tables.counters),
    )


def _entry_statuses(tables: tables_lib.Tables, now: float) -> list[EntryStatus]:
    slots, free = broker.count_slots(tables, now)
    me = EntryStatus(
        tables.settings.entry.name,
        tables.my_id,
        tables.zone,
        "draining" if tables.draining else "live",
        tables.configuration.offset,
        slots,
        free,
        broker.grantable_slots(tables, now),
        round(tables.work_s, 3),
        0,
        "{}:{}".format(*tables.settings.entry.caller_address),
    )
    return [me] + [
        EntryStatus(
            p.name,
            p.id,
            p.zone,
            p.state,
            p.config_offset,
            p.load.slots,
            p.load.free,
            p.load.slots,
            round(p.load.work_s, 3),
            int((now - p.last_known_at) * 1000),
            p.caller_address,
        )
        for p in tables.peers.values()
    ]


def _backend_status(
    tables: tables_lib.Tables, backend: tables_lib.Backend, now: float
) -> BackendStatus:
    health = backend.health
    return BackendStatus(
        backend.backend_id,
        backend.zone,
        backend.rack,
        membership.broker_of(tables, backend),
        backend.slots,
        broker.health.allowed_slots(backend, now),
        len(backend.held_slots) + sum(backend.remote_slot_counts.values()),
        backend.is_leaving,
        health.is_quarantined_manually or health.probing,
        round(health.slowdown, 3),
    )


def _queue_statuses(tables: tables_lib.Tables, now: float) -> list[QueueStatus]:
    waiting: dict[str, int] = {}
    for group, count in tables.waiting_counts.items():
        waiting[group.team] = waiting.get(group.team, 0) + count
    return [
        QueueStatus(
            team,
            waiting.get(team, 0),
            tables.team_usage(team).held,
            tables.team_usage(team).queued_bytes,
            round(tables.team_usage(team).start_rate, 3),
        )
        for team in tables.configuration.documents
    ]


def explain(
    tables: tables_lib.Tables, submission_id: str
) -> Explanation | None:
    """Returns the decisions of a running or recent job, None if unknown.

    If only the job's answer is still retained, the decisions are empty.
    """
    for job in tables.jobs.values():
        if job.submission_id == submission_id:
            return Explanation(
                submission_id, "running", "", list(job.decisions)
            )
    for trace in reversed(tables.finished_job_traces):
        if trace.submission_id == submission_id:
            return Explanation(
                submission_id, trace.outcome, trace.code, trace.decisions
            )
    for retained in tables.retained_answers.values():
        if retained.submission_id == submission_id:
            answer = retained.answer
            return Explanation(submission_id, answer.outcome, answer.code, [])
    return None


def set_quarantine(
    tables: tables_lib.Tables, backend_id: str, quarantined: bool
) -> ActionResult:
    """Quarantines or releases a backend server at an operator's request.

    A release also ends an automatic quarantine.
    """
    backend = tables.backends.get(backend_id)
    if backend is None:
        return ActionResult(False, f"no backend server {backend_id}")
    backend.health.is_quarantined_manually = quarantined
    if not quarantined:
        backend.health.probing = False
        backend.health.blocked_until = 0.0
    return ActionResult(
        True, f"{backend_id}: {'quarantined' if quarantined else 'released'}"
    )


def _is_authorized(entry, headers: dict[bytes, bytes]) -> bool:
    expected_digest = entry.settings.entry.admin_token_sha256
    if not expected_digest:
        return True
    header = headers.get(b"authorization", b"")
    token = header.removeprefix(b"Bearer ").strip()
    actual_digest = hashlib.sha256(token).hexdigest()
    return hmac.compare_digest(actual_digest, expected_digest)


def _handle(entry, method: str, path: str) -> tuple[int, object]:
    tables = entry.tables
    match method, path.strip("/").split("/", 2):
        case "GET", ["admin", "status"]:
            return 200, new_status(entry)
        case "GET", ["admin", "jobs", submission_id]:
            explanation = explain(tables, submission_id)
            return (
                (200, explanation)
                if explanation
                else (404, ActionResult(False, "no such job"))
            )
        case "POST", ["admin", "drain"]:
            entry.stop()
            return 200, ActionResult(True, "draining")
        case "POST", ["admin", "quarantine", backend_id]:
            result = set_quarantine(tables, backend_id, True)
            return (200 if result.done else 404), result
        case "POST", ["admin", "release", backend_id]:
            result = set_quarantine(tables, backend_id, False)
            entry.wake()
            return (200 if result.done else 404), result
    return 404, ActionResult(False, "no such resource")


def new_asgi_app(entry):
    """Returns the ASGI application of the admin API."""

    async def app(scope, receive, send):
        if _is_authorized(entry, dict(scope["headers"])):
            status, content = _handle(entry, scope["method"], scope["path"])
        else:
            status, content = 401, ActionResult(False, "admin token required")
        body = msgspec.json.encode(content)
        await asgi.send_response(
            send, status, body, [(b"content-type", JSON_TYPE)]
        )

    return asgi.http_only(app)
