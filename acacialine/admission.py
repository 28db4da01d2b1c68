"""Admission control: accepts or refuses whole jobs before their first start."""

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
# The work due within a horizon may take at most this fraction of the time that
# all slots have within it.
MAX_FILL_RATIO = 0.6


@attrs.frozen(eq=False)
class PendingSubmission:
    """A validated submission that awaits admission.

    Attributes:
        submission: The parsed id.
        digest: Digest of the request body.
        request: The decoded job.
        document: The team's document in force.
        deadline_ms: Time allowed from its arrival.
        arrived_at: When the request arrived.
        body_bytes: Size of the request body.
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
    """The reason why a job is refused, as HTTP status, code and message.

    Attributes:
        retry_after_s: Delay before the client should retry; 0 if none is sent.
    """

    status: int
    code: errors.Code
    message: str
    retry_after_s: float = 0.0


def admit(
    tables: tables_lib.Tables,
    draft: PendingSubmission,
    job: tables_lib.Job,
    now: float,
) -> submissions.Resolution:
    """Admits a submission, or refuses its id permanently.

    The id is resolved again because a duplicate request may have arrived
    while the job was being built. No other task can run between that check
    and the insertion into the job table.
    """
    resolution = submissions.resolve(
        tables, job.team, draft.submission, draft.digest
    )
    if not isinstance(resolution, submissions.NewSubmission):
        return resolution
    refusal = _find_refusal(tables, draft, job, now)
    if refusal is not None:
        return submissions.Answered(refuse(tables, draft, refusal))
    tables.jobs[(job.team, job.submission_id)] = job
    tables.next_heap_seq += 1
    heap_entry = (job.deadline, tables.next_heap_seq, job)
    heapq.heappush(tables.deadlines, heap_entry)
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
    tables: tables_lib.Tables, draft: PendingSubmission, refusal: Refusal
) -> tables_lib.JobAnswer:
    """Refuses a submission and records that its id is never run."""
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
    """Refuses an id and records that it is never run.

    Args:
        tables: The tables of this entry.
        team: The authenticated team.
        submission: The parsed id.
        digest: Digest of the request body; empty if it was not read.
        refusal: Why the submission is refused.
        findings: All validation errors of the request.
    """
    answer = answers.error_answer(
        refusal.status,
        errors.Outcome.NOT_RUN,
        refusal.code,
        refusal.message,
        submission_id=str(submission),
        findings=findings,
        retry_after_s=refusal.retry_after_s,
    )
    submissions.record_answer(tables, team, submission, digest, answer)
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


def new_job(
    tables: tables_lib.Tables, draft: PendingSubmission
) -> tables_lib.Job:
    """Creates the job of a draft without its tasks; see `add_tasks`."""
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
    tables: tables_lib.Tables,
    draft: PendingSubmission,
    job: tables_lib.Job,
    count: int,
) -> bool:
    """Adds the next `count` tasks of a draft; returns whether all are added."""
    first_index = len(job.tasks)
    for index, task in enumerate(
        draft.request.tasks[first_index : first_index + count],
        start=first_index,
    ):
        new_task = _new_task(tables, draft, job, index, task)
        job.tasks.append(new_task)
        job.work_s += new_task.expected_s
    job.unfinished = len(job.tasks)
    return len(job.tasks) == len(draft.request.tasks)


def _new_task(
    tables: tables_lib.Tables,
    draft: PendingSubmission,
    job: tables_lib.Job,
    index: int,
    request: requests.TaskRequest,
) -> tables_lib.Task:
    team = draft.document.team
    kind = draft.document.kinds[request.kind or draft.request.kind]
    key = estimates.estimate_key(team, kind.name, request.declared_ms)
    expected_s = estimates.expected_s(tables, key, kind, request.declared_ms)
    group = tables.group(team, kind.name, estimates.is_long(tables, expected_s))
    payload = bytes(request.payload)
    return tables_lib.Task(job, index, group, payload, key, expected_s)


def _find_refusal(
    tables: tables_lib.Tables,
    draft: PendingSubmission,
    job: tables_lib.Job,
    now: float,
) -> Refusal | None:
    """Returns the first reason to refuse a job, if there is one.

    Under the `default` policy, a job that is not refused is charged to its
    team's quota.
    """
    if tables.refusing_jobs:
        return Refusal(503, errors.Code.DRAINING, "this entry is stopping", 0.1)
    reason = _unsatisfiable_reason(tables, draft)
    if reason:
        return Refusal(422, errors.Code.UNSATISFIABLE, reason)
    queue_full_reason = _queue_full_reason(tables, draft)
    if queue_full_reason:
        return Refusal(429, errors.Code.QUEUE_FULL, queue_full_reason, 1.0)
    if tables.settings.placement.policy != "default":
        return None
    quota_reason = quotas.over_quota_reason(
        tables, draft.document, len(job.tasks), now
    )
    overload = _overload_refusal(tables, job, now)
    if quota_reason and overload:
        code = errors.Code.OVER_QUOTA
        return Refusal(429, code, quota_reason, overload.retry_after_s)
    if overload and not quotas.is_within_allowance(
        tables, draft.document, len(job.tasks), now
    ):
        return overload
    quotas.consume_allowance(tables, draft.document, len(job.tasks), now)
    return None


def _unsatisfiable_reason(
    tables: tables_lib.Tables, draft: PendingSubmission
) -> str:
    """Returns why some task can run on no listed backend server.

    The result is empty if every task can run, or if the VM list is unknown.
    """
    listed_backends = [b for b in tables.backends.values() if b.is_listed]
    if not listed_backends:
        return ""
    kinds = {t.kind or draft.request.kind for t in draft.request.tasks}
    for name in sorted(kinds):
        kind = draft.document.kinds[name]
        if not any(_can_run(b, kind, draft.document) for b in listed_backends):
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


def _queue_full_reason(
    tables: tables_lib.Tables, draft: PendingSubmission
) -> str:
    entry_bytes = tables.queued_bytes + draft.body_bytes
    if entry_bytes > tables.settings.submissions.max_queued_bytes:
        return "too many bytes of unfinished jobs at this entry"
    usage = tables.team_usage(draft.document.team)
    team_bytes = usage.queued_bytes + draft.body_bytes
    if team_bytes > draft.document.limits.max_queued_bytes:
        return "too many bytes of unfinished jobs of this team"
    return ""


def local_due_work(tables: tables_lib.Tables, now: float) -> list[float]:
    """Returns the unfinished work of this entry due within each horizon, in s.

    The horizons are `tables.DUE_HORIZONS_S`.
    """
    horizons = tables_lib.DUE_HORIZONS_S
    result = [0.0] * len(horizons)
    for job in tables.jobs.values():
        remaining_s = job.deadline - now
        for index, horizon_s in enumerate(horizons):
            if remaining_s <= horizon_s:
                result[index] += job.work_s
                break
    return list(itertools.accumulate(result))


def _total_due_work(tables: tables_lib.Tables, now: float) -> list[float]:
    """Returns the work due within each horizon at all entries, in s."""
    total = local_due_work(tables, now)
    for peer in tables.peers.values():
        if peer.state in ("live", "draining"):
            for index, work_s in enumerate(peer.load.due_work_s[: len(total)]):
                total[index] += work_s
    return total


def slots_in_all_zones(tables: tables_lib.Tables, now: float) -> int:
    """Returns the usable slots of this entry and of all live peers."""
    slots, _ = broker.count_slots(tables, now)
    for peer in tables.peers.values():
        if peer.state == "live":
            slots += peer.load.slots
    return slots


def slots_in_zone(tables: tables_lib.Tables, now: float) -> int:
    """Returns the usable slots of this entry and live peers of its zone."""
    slots, _ = broker.count_slots(tables, now)
    for peer in tables.peers.values():
        if peer.state == "live" and peer.zone == tables.zone:
            slots += peer.load.slots
    return slots


def _overload_refusal(
    tables: tables_lib.Tables, job: tables_lib.Job, now: float
) -> Refusal | None:
    """Returns a refusal if the job would cause a missed deadline.

    The job with the least remaining work starts first whatever its deadline,
    so a new job may delay every accepted one. The work due within each
    horizon must therefore fit into `MAX_FILL_RATIO` of what all slots can do
    within it.
    """
    slots = max(1, slots_in_all_zones(tables, now))
    allowed_s = job.deadline - now
    longest_s = max(task.expected_s for task in job.tasks)
    needed_s = longest_s + job.work_s / slots
    if needed_s > allowed_s:
        return _new_overload_refusal(needed_s - allowed_s, needed_s, allowed_s)
    horizons = tables_lib.DUE_HORIZONS_S
    due = _total_due_work(tables, now)
    for horizon_s, work_s in zip(horizons, due, strict=True):
        if horizon_s >= allowed_s or work_s > 0:
            fill_s = (work_s + job.work_s) / slots
            limit_s = MAX_FILL_RATIO * horizon_s
            if fill_s > limit_s:
                return _new_overload_refusal(fill_s - limit_s, fill_s, limit_s)
        if horizon_s >= 2 * allowed_s:
            break
    return None


def _new_overload_refusal(
    excess_s: float, needed_s: float, allowed_s: float
) -> Refusal:
    retry_s = min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
    return Refusal(
        503,
        errors.Code.OVERLOADED,
        f"needs {needed_s:.2f} s of all slots, has {allowed_s:.2f} s",
        retry_s,
    )
