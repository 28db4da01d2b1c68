"""Admission: a whole job is accepted or refused before its first start."""

import heapq
import itertools

import attrs

from acacialine import actions
from acacialine import answers
from acacialine import broker
from acacialine import documents
from acacialine import errors
from acacialine import estimates
from acacialine import events
from acacialine import ids
from acacialine import queues
from acacialine import quotas
from acacialine import requests
from acacialine import submissions
from acacialine import tables as tables_lib

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0
FILL_SHARE = 0.6  # part of the time to a deadline that may be full of work


@attrs.frozen(eq=False)
class Draft:
    """A checked job that asks for admission.

    Attributes:
        request: The decoded job.
        document: Document of its team in force.
        deadline_ms: Time allowed from its arrival.
        arrived_at: When the request arrived.
    """

    submission: ids.SubmissionId
    digest: bytes
    request: requests.JobRequest
    document: documents.TeamDocument
    deadline_ms: float
    arrived_at: float
    body_bytes: int


@attrs.frozen(eq=False)
class Refusal:
    """Why a job is not admitted."""

    status: int
    code: errors.Code
    message: str
    retry_after_s: float = 0.0


def admit(
    tables: tables_lib.Tables, draft: Draft, job: tables_lib.Job, now: float
) -> submissions.Resolution:
    """Admits a submission, or refuses it for good under its id.

    The id is resolved again here: a copy may have come while the job was
    being built. From that to the entry in the table nothing else can run.
    """
    found = submissions.resolve(
        tables, job.team, draft.submission, draft.digest
    )
    if not isinstance(found, submissions.Fresh):
        return found
    refusal = _refusal(tables, draft, job, now)
    if refusal is not None:
        return submissions.Answered(refuse(tables, draft, refusal))
    tables.jobs[(job.team, job.submission_id)] = job
    tables.next_heap_seq += 1
    entry = (job.deadline, tables.next_heap_seq, job)
    heapq.heappush(tables.deadlines, entry)
    tables.queued_bytes += job.body_bytes
    tables.team_usage(job.team).queued_bytes += job.body_bytes
    tables.work_s += job.work_s
    queues.add_job(tables, job)
    tables.counters["jobs_accepted"] += 1
    actions.log_decision(
        tables,
        events.Event.JOB_ACCEPTED,
        job=job.submission_id,
        team=job.team,
        tasks=len(job.tasks),
        work_s=job.work_s,
    )
    return submissions.Attach(job)


def refuse(
    tables: tables_lib.Tables, draft: Draft, refusal: Refusal
) -> tables_lib.JobAnswer:
    """Refuses a submission and records that it is never run."""
    return refuse_id(
        tables, draft.document.team, draft.submission, draft.digest, refusal
    )


def refuse_id(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes,
    refusal: Refusal,
    findings: list[str] | None = None,
) -> tables_lib.JobAnswer:
    """Refuses an id and records that it is never run."""
    answer = answers.error(
        refusal.status,
        errors.Outcome.NOT_RUN,
        refusal.code,
        refusal.message,
        submission_id=str(submission),
        findings=findings,
        retry_after_s=refusal.retry_after_s,
    )
    submissions.bury(tables, team, submission, digest, answer)
    tables.counters["jobs_refused"] += 1
    actions.log_decision(
        tables,
        events.Event.JOB_REFUSED,
        job=str(submission),
        team=team,
        code=refusal.code,
        reason=refusal.message,
    )
    return answer


def new_job(tables: tables_lib.Tables, draft: Draft) -> tables_lib.Job:
    """Creates the job of a draft, still without its tasks."""
    margin_s = tables.settings.submissions.deadline_margin_ms / 1000
    allowed_s = max(draft.deadline_ms / 1000 - margin_s, 0.001)
    return tables_lib.Job(
        draft.document.team,
        draft.submission,
        str(draft.submission),
        draft.digest,
        requests.is_idempotent(draft.request, draft.document),
        draft.arrived_at,
        draft.arrived_at + allowed_s,
        draft.body_bytes,
    )


def add_tasks(
    tables: tables_lib.Tables, draft: Draft, job: tables_lib.Job, count: int
) -> bool:
    """Adds the next tasks of the request; True once all are there."""
    first = len(job.tasks)
    for index, task in enumerate(
        draft.request.tasks[first : first + count], start=first
    ):
        added = _new_task(tables, draft, job, index, task)
        job.tasks.append(added)
        job.work_s += added.expected_s
    job.unfinished = len(job.tasks)
    return len(job.tasks) == len(draft.request.tasks)


def _new_task(
    tables: tables_lib.Tables,
    draft: Draft,
    job: tables_lib.Job,
    index: int,
    request: requests.TaskRequest,
) -> tables_lib.Task:
    team = draft.document.team
    kind = draft.document.kinds[request.kind or draft.request.kind]
    key = estimates.key_of(team, kind.name, request.declared_ms)
    expected_s = estimates.expected_s(tables, key, kind, request.declared_ms)
    group = tables.group(team, kind.name, estimates.is_long(tables, expected_s))
    payload = bytes(request.payload)
    return tables_lib.Task(job, index, group, payload, key, expected_s)


def _refusal(
    tables: tables_lib.Tables,
    draft: Draft,
    job: tables_lib.Job,
    now: float,
) -> Refusal | None:
    """Returns the first reason against a job, if there is one."""
    if tables.refusing_jobs:
        return Refusal(503, errors.Code.DRAINING, "this entry is stopping", 0.1)
    reason = _unsatisfiable(tables, draft)
    if reason:
        return Refusal(422, errors.Code.UNSATISFIABLE, reason)
    full = _queue_full(tables, draft)
    if full:
        return Refusal(429, errors.Code.QUEUE_FULL, full, 1.0)
    if tables.settings.placement.policy != "default":
        return None
    over = quotas.over_quota(tables, draft.document, len(job.tasks), now)
    overloaded = _overloaded(tables, job, now)
    if over and overloaded:
        code = errors.Code.OVER_QUOTA
        return Refusal(429, code, over, overloaded.retry_after_s)
    if overloaded and not quotas.is_assured(
        tables, draft.document, len(job.tasks), now
    ):
        return overloaded
    quotas.take(tables, draft.document, len(job.tasks), now)
    return None


def _unsatisfiable(tables: tables_lib.Tables, draft: Draft) -> str:
    """Returns why no listed backend server can ever run the job."""
    listed = [b for b in tables.backends.values() if b.listed]
    if not listed:
        return ""
    kinds = {t.kind or draft.request.kind for t in draft.request.tasks}
    for name in sorted(kinds):
        kind = draft.document.kinds[name]
        if not any(_can_run(b, kind, draft.document) for b in listed):
            return (
                f"no backend server can run kind {name}: needs {kind.cpus:g}"
                f" CPUs, {kind.memory_mb:g} MB, {kind.accelerators}"
                f" accelerators, zones {','.join(draft.document.zones) or '*'}"
            )
    return ""


def _can_run(
    backend: tables_lib.Backend,
    kind: documents.Kind,
    document: documents.TeamDocument,
) -> bool:
    if document.zones and backend.zone not in document.zones:
        return False
    return (
        kind.cpus <= backend.cpus
        and kind.memory_mb <= backend.memory_mb
        and kind.accelerators <= backend.accelerators
    )


def _queue_full(tables: tables_lib.Tables, draft: Draft) -> str:
    total = tables.queued_bytes + draft.body_bytes
    if total > tables.settings.submissions.max_queued_bytes:
        return "too many bytes of unfinished jobs at this entry"
    usage = tables.team_usage(draft.document.team)
    mine = usage.queued_bytes + draft.body_bytes
    if mine > draft.document.limits.max_queued_bytes:
        return "too many bytes of unfinished jobs of this team"
    return ""


def due_work(tables: tables_lib.Tables, now: float) -> list[float]:
    """Returns the own unfinished work due within each horizon, in s."""
    horizons = tables_lib.DUE_HORIZONS_S
    result = [0.0] * len(horizons)
    for job in tables.jobs.values():
        left_s = job.deadline - now
        for index, horizon_s in enumerate(horizons):
            if left_s <= horizon_s:
                result[index] += job.work_s
                break
    return list(itertools.accumulate(result))


def _due_everywhere(tables: tables_lib.Tables, now: float) -> list[float]:
    """Returns the work due within each horizon, own and reported."""
    total = due_work(tables, now)
    for peer in tables.peers.values():
        if peer.state in ("live", "draining"):
            for index, work_s in enumerate(peer.load.due[: len(total)]):
                total[index] += work_s
    return total


def slots_everywhere(tables: tables_lib.Tables, now: float) -> int:
    """Returns the usable slots known here, own and reported."""
    slots, _ = broker.capacity(tables, now)
    for peer in tables.peers.values():
        if peer.state == "live":
            slots += peer.load.slots
    return slots


def slots_in_zone(tables: tables_lib.Tables, now: float) -> int:
    """Returns the usable slots of the own zone, own and reported."""
    slots, _ = broker.capacity(tables, now)
    for peer in tables.peers.values():
        if peer.state == "live" and peer.zone == tables.zone:
            slots += peer.load.slots
    return slots


def _overloaded(
    tables: tables_lib.Tables, job: tables_lib.Job, now: float
) -> Refusal | None:
    """Refuses a job with which some deadline would be missed.

    Less work goes first whatever its deadline, so a new job may delay every
    accepted one: the work due within each horizon must fit into a share of
    what the slots can do by then.
    """
    slots = max(1, slots_everywhere(tables, now))
    allowed_s = job.deadline - now
    longest_s = max(task.expected_s for task in job.tasks)
    needed_s = longest_s + job.work_s / slots
    if needed_s > allowed_s:
        return _late(needed_s - allowed_s, needed_s, allowed_s)
    horizons = tables_lib.DUE_HORIZONS_S
    due = _due_everywhere(tables, now)
    for horizon_s, work_s in zip(horizons, due, strict=True):
        if horizon_s >= allowed_s or work_s > 0:
            full_s = (work_s + job.work_s) / slots
            limit_s = FILL_SHARE * horizon_s
            if full_s > limit_s:
                return _late(full_s - limit_s, full_s, limit_s)
        if horizon_s >= 2 * allowed_s:
            break
    return None


def _late(over_s: float, needed_s: float, allowed_s: float) -> Refusal:
    retry_s = min(max(over_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return Refusal(
        503,
        errors.Code.OVERLOADED,
        f"needs {needed_s:.2f} s of all slots, has {allowed_s:.2f} s",
        retry_s,
    )
