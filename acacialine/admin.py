"""The admin API: state of one entry, and what operators may change."""

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
    """One entry as seen from the one that was asked."""

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
    """One backend server as seen from the entry that was asked."""

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
    """Waiting and held work of one team."""

    team: str
    waiting: int
    held: int
    queued_bytes: int
    demand: float


@attrs.frozen
class Status:
    """Everything `acacialine status` shows."""

    entry: str
    config_offset: int
    platform_up: bool
    entries: list[EntryStatus]
    backends: list[BackendStatus]
    queues: list[QueueStatus]
    counters: dict[str, int]


@attrs.frozen
class Explanation:
    """The decisions of one job, and how it ended."""

    id: str
    outcome: str
    code: str
    decisions: list[str]


@attrs.frozen
class Done:
    """An operator's change was carried out, or not."""

    done: bool
    message: str


def status_of(entry) -> Status:
    """Builds the status of an entry."""
    tables = entry.tables
    now = clock.now()
    return Status(
        tables.settings.entry.name,
        tables.fold.offset,
        entry.config.is_up,
        _entries(tables, now),
        [_backend(tables, b, now) for b in tables.backends.values()],
        _queues(tables, now),
        dict(tables.counters),
    )


def _entries(tables: tables_lib.Tables, now: float) -> list[EntryStatus]:
    slots, free = broker.capacity(tables, now)
    me = EntryStatus(
        tables.settings.entry.name,
        tables.my_id,
        tables.zone,
        "draining" if tables.draining else "live",
        tables.fold.offset,
        slots,
        free,
        broker.granting_slots(tables, now),
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
            int((now - p.known_at) * 1000),
            p.caller_address,
        )
        for p in tables.peers.values()
    ]


def _backend(
    tables: tables_lib.Tables, backend: tables_lib.Backend, now: float
) -> BackendStatus:
    from_health = backend.health
    return BackendStatus(
        backend.backend_id,
        backend.zone,
        backend.rack,
        membership.owner_of(tables, backend),
        backend.slots,
        broker.health.allowed_slots(backend, now),
        len(backend.held) + sum(backend.foreign.values()),
        backend.leaving,
        from_health.forced or from_health.probing,
        round(from_health.slowdown, 3),
    )


def _queues(tables: tables_lib.Tables, now: float) -> list[QueueStatus]:
    waiting: dict[str, int] = {}
    for group, count in tables.waiting.items():
        waiting[group.team] = waiting.get(group.team, 0) + count
    return [
        QueueStatus(
            team,
            waiting.get(team, 0),
            tables.team_usage(team).held,
            tables.team_usage(team).queued_bytes,
            round(tables.team_usage(team).start_rate, 3),
        )
        for team in tables.fold.documents
    ]


def explain(tables: tables_lib.Tables, text: str) -> Explanation | None:
    """Returns the decisions of a job that is running or recent."""
    for job in tables.jobs.values():
        if job.submission_id == text:
            return Explanation(text, "running", "", list(job.decisions))
    for trace in reversed(tables.finished):
        if trace.submission_id == text:
            return Explanation(text, trace.outcome, trace.code, trace.decisions)
    for kept in tables.retained_answers.values():
        if kept.submission_id == text:
            answer = kept.answer
            return Explanation(text, answer.outcome, answer.code, [])
    return None


def set_quarantine(
    tables: tables_lib.Tables, backend_id: str, forced: bool
) -> Done:
    """Quarantines or releases a backend server by hand."""
    backend = tables.backends.get(backend_id)
    if backend is None:
        return Done(False, f"no backend server {backend_id}")
    backend.health.forced = forced
    if not forced:
        backend.health.probing = False
        backend.health.blocked_until = 0.0
    return Done(
        True, f"{backend_id}: {'quarantined' if forced else 'released'}"
    )


def _authorized(entry, headers: dict[bytes, bytes]) -> bool:
    wanted = entry.settings.entry.admin_token_sha256
    if not wanted:
        return True
    value = headers.get(b"authorization", b"")
    token = value.removeprefix(b"Bearer ").strip()
    given = hashlib.sha256(token).hexdigest()
    return hmac.compare_digest(given, wanted)


def _answer(entry, method: str, path: str) -> tuple[int, object]:
    tables = entry.tables
    match method, path.strip("/").split("/", 2):
        case "GET", ["admin", "status"]:
            return 200, status_of(entry)
        case "GET", ["admin", "jobs", text]:
            found = explain(tables, text)
            return (200, found) if found else (404, Done(False, "no such job"))
        case "POST", ["admin", "drain"]:
            entry.stop()
            return 200, Done(True, "draining")
        case "POST", ["admin", "quarantine", backend_id]:
            done = set_quarantine(tables, backend_id, True)
            return (200 if done.done else 404), done
        case "POST", ["admin", "release", backend_id]:
            done = set_quarantine(tables, backend_id, False)
            entry.wake()
            return (200 if done.done else 404), done
    return 404, Done(False, "no such resource")


def new_asgi_app(entry):
    """Returns the ASGI application of the admin API."""

    async def app(scope, receive, send):
        if _authorized(entry, dict(scope["headers"])):
            status, content = _answer(entry, scope["method"], scope["path"])
        else:
            status, content = 401, Done(False, "admin token required")
        body = msgspec.json.encode(content)
        await asgi.reply(send, status, body, [(b"content-type", JSON_TYPE)])

    return asgi.http_only(app)
