"""The state machine of tasks: each task runs at most once.

An attempt is recorded before its first byte is sent. A task is retried only
if its last attempt certainly did not start; an unknown outcome fails the job.
"""

import heapq

from acacialine import actions
from acacialine import answers
from acacialine import errors
from acacialine import estimates
from acacialine import events
from acacialine import health
from acacialine import messages
from acacialine import queues
from acacialine import slots
from acacialine import submissions
from acacialine import tables as tables_lib

RETRY_BASE_DELAY_S = 0.01
RETRY_MAX_DELAY_S = 1.0
RETRY_DELAY_WITHOUT_BUDGET_S = 0.5
RETRY_TOKENS_MAX = 100.0
MEAN_RUN_SMOOTHING = 0.02
MAX_GRANT_AGE_S = 0.3  # an older grant is released after its task
REUSE_WINDOW_S = 0.05  # a kept grant expires if no task starts within it
OVERDUE_BASE_S = 2.0  # added to the multiple of the expected run time
OVERDUE_FACTOR = 4.0  # multiple of the expected run time
MAX_DECISIONS_PER_JOB = 200


def start(
    tables: tables_lib.Tables,
    task: tables_lib.Task,
    grant: tables_lib.Grant,
    now: float,
) -> None:
    """Records an attempt to start a task and adds the start action."""
    job = task.job
    task.state = tables_lib.TaskState.STARTED
    task.attempts += 1
    task.started_at = now
    task.grant = grant
    grant.task = task
    job.possible_starts += 1
    tables.starts_last_tick += 1
    job.running[task.index] = task
    tables.counters["starts"] += 1
    _add_retry_tokens(tables)
    tables.actions.append(actions.StartTask(task, grant, task.attempts))
    route = _placement_route(tables, grant)
    record_decision(
        job, f"task {task.index} placed on {grant.backend_id} ({route})"
    )
    actions.log_decision(
        tables,
        events.Event.TASK_PLACED,
        task=task.task_id,
        kind=task.group.kind,
        backend=grant.backend_id,
        how=route,
        waited_ms=round((now - job.arrived_at) * 1000, 1),
    )


def record_decision(job: tables_lib.Job, text: str) -> None:
    """Adds a line to the decisions that `job explain` shows."""
    if len(job.decisions) < MAX_DECISIONS_PER_JOB:
        job.decisions.append(text)


def _placement_route(tables: tables_lib.Tables, grant: tables_lib.Grant) -> str:
    """Returns how a task is placed, as written to the log."""
    if grant.broker == tables.my_id:
        return "own"
    return "relayed" if grant.relayed else "granted"


def _add_retry_tokens(tables: tables_lib.Tables) -> None:
    share = tables.settings.placement.retry_share
    tokens = tables.retry_tokens + share
    tables.retry_tokens = min(tokens, RETRY_TOKENS_MAX)


def finish_attempt(
    tables: tables_lib.Tables,
    task: tables_lib.Task,
    attempt: int,
    outcome: tables_lib.AttemptOutcome,
    answer: tables_lib.BackendAnswer | None,
    reason: str,
    now: float,
) -> None:
    """Processes the outcome of an attempt.

    A report on any attempt but the current one of the task is ignored.
    """
    if task.attempts != attempt or task.grant is None:
        return
    _release_or_keep_grant(tables, task, outcome, answer, reason, now)
    if task.state != tables_lib.TaskState.STARTED:
        return
    job = task.job
    job.running.pop(task.index, None)
    match outcome:
        case tables_lib.AttemptOutcome.NOT_STARTED:
            _requeue_not_started(tables, task, reason, now)
        case tables_lib.AttemptOutcome.ANSWERED:
            _process_answer(tables, task, answer, now)
        case tables_lib.AttemptOutcome.UNKNOWN:
            task.state = tables_lib.TaskState.UNKNOWN
            message = f"task {task.index} may or may not have run: {reason}"
            actions.log_event(
                tables,
                events.Event.TASK_UNKNOWN,
                task=task.task_id,
                reason=reason,
            )
            fail_job(tables, job, errors.Code.TASK_UNKNOWN, message, now)


def _requeue_not_started(
    tables: tables_lib.Tables, task: tables_lib.Task, reason: str, now: float
) -> None:
    job = task.job
    job.possible_starts -= 1
    task.state = tables_lib.TaskState.WAITING
    if tables.retry_tokens >= 1:
        tables.retry_tokens -= 1
        delay_s = min(
            RETRY_BASE_DELAY_S * 2 ** (task.attempts - 1), RETRY_MAX_DELAY_S
        )
    else:
        delay_s = RETRY_DELAY_WITHOUT_BUDGET_S
    task.not_before = now + delay_s * (0.5 + tables.random.random())
    tables.counters["not_started"] += 1
    record_decision(job, f"task {task.index} not started: {reason}")
    actions.log_decision(
        tables,
        events.Event.TASK_NOT_STARTED,
        task=task.task_id,
        reason=reason,
        retry_in_s=delay_s,
    )
    queues.requeue(tables, task, now)


def _process_answer(
    tables: tables_lib.Tables,
    task: tables_lib.Task,
    answer: tables_lib.BackendAnswer,
    now: float,
) -> None:
    job = task.job
    if not 200 <= answer.status < 300:
        task.state = tables_lib.TaskState.FAILED
        message = f"task {task.index} failed with status {answer.status}"
        fail_job(tables, job, errors.Code.TASK_FAILED, message, now)
        return
    task.state = tables_lib.TaskState.SUCCEEDED
    task.result = answers.encode_task_result(task.index, answer)
    run_s = now - task.started_at
    estimates.record_run_time(tables, task.estimate_key, run_s, task.expected_s)
    tables.mean_run_s += MEAN_RUN_SMOOTHING * (run_s - tables.mean_run_s)
    _subtract_work(tables, job, task.expected_s)
    job.unfinished -= 1
    if job.unfinished == 0:
        _end_job(tables, job, answers.complete_answer(job), now)


def _subtract_work(
    tables: tables_lib.Tables, job: tables_lib.Job, work_s: float
) -> None:
    job.work_s -= work_s
    tables.work_s -= work_s


def _release_or_keep_grant(
    tables: tables_lib.Tables,
    task: tables_lib.Task,
    outcome: tables_lib.AttemptOutcome,
    answer: tables_lib.BackendAnswer | None,
    reason: str,
    now: float,
) -> None:
    grant = task.grant
    task.grant = None
    grant.task = None
    run_s = now - task.started_at
    if _may_keep_grant(tables, grant, outcome, answer, now):
        grant.reuses_left -= 1
        grant.last_run_s, grant.last_expected_s = run_s, task.expected_s
        grant.use_until = now + REUSE_WINDOW_S
        tables.ready_grants.append(grant)
        return
    release_reason = _release_reason(task, outcome, answer, reason, run_s)
    release_grant(tables, grant, release_reason, run_s, task.expected_s, now)


def _may_keep_grant(
    tables: tables_lib.Tables,
    grant: tables_lib.Grant,
    outcome: tables_lib.AttemptOutcome,
    answer: tables_lib.BackendAnswer | None,
    now: float,
) -> bool:
    """Returns whether a granted slot may run another task right away."""
    if grant.broker == tables.my_id or grant.reuses_left <= 0:
        return False
    if outcome != tables_lib.AttemptOutcome.ANSWERED or answer.status >= 300:
        return False
    if now - grant.received_at > MAX_GRANT_AGE_S:
        return False
    return now < grant.lease_until and grant.broker in tables.peers


def _release_reason(
    task: tables_lib.Task,
    outcome: tables_lib.AttemptOutcome,
    answer: tables_lib.BackendAnswer | None,
    reason: str,
    run_s: float,
) -> tables_lib.ReleaseReason:
    """Returns what the broker is told about the end of an attempt.

    An unknown outcome counts as a failure of the backend server, unless the
    task was cancelled before it was overdue.
    """
    if outcome == tables_lib.AttemptOutcome.NOT_STARTED:
        if reason == "refused":
            return tables_lib.ReleaseReason.REFUSED
        if reason == "expired":
            return tables_lib.ReleaseReason.UNUSED
        return tables_lib.ReleaseReason.UNREACHABLE
    if outcome == tables_lib.AttemptOutcome.UNKNOWN:
        cancelled = task.state == tables_lib.TaskState.CANCELLED
        overdue = run_s > OVERDUE_BASE_S + OVERDUE_FACTOR * task.expected_s
        if cancelled and not overdue:
            return tables_lib.ReleaseReason.UNKNOWN
        return tables_lib.ReleaseReason.FAILED
    if 200 <= answer.status < 300:
        return tables_lib.ReleaseReason.SUCCEEDED
    return tables_lib.ReleaseReason.FAILED


def release_grant(
    tables: tables_lib.Tables,
    grant: tables_lib.Grant,
    reason: tables_lib.ReleaseReason,
    run_s: float,
    expected_s: float,
    now: float,
) -> None:
    """Releases a slot to its broker, which may be this entry."""
    if grant.broker == tables.my_id:
        backend = tables.backends.get(grant.backend_id)
        if backend and slots.free(tables, backend, grant.seq):
            health.record_outcome(
                tables, backend, reason, run_s, expected_s, now
            )
        return
    tables.grants.pop((grant.broker, grant.seq), None)
    if grant.broker in tables.peers:
        entry = messages.ReleaseEntry(
            grant.seq,
            int(reason),
            int(run_s * 1000),
            int(expected_s * 1000),
        )
        tables.pending_releases.setdefault(grant.broker, []).append(entry)


def fail_job(
    tables: tables_lib.Tables,
    job: tables_lib.Job,
    code: errors.Code,
    message: str,
    now: float,
) -> None:
    """Ends a job as failed and stops its running tasks.

    Its waiting tasks are never started.
    """
    if job.answer is not None:
        return
    _end_job(tables, job, answers.failed_answer(job, code, message), now)
    for task in list(job.running.values()):
        task.state = tables_lib.TaskState.CANCELLED
        tables.actions.append(actions.StopTask(task, task.attempts))
    job.running.clear()


def _end_job(
    tables: tables_lib.Tables,
    job: tables_lib.Job,
    answer: tables_lib.JobAnswer,
    now: float,
) -> None:
    job.answer = answer
    queues.drop_job(tables, job)
    tables.work_s -= job.work_s
    tables.queued_bytes -= job.body_bytes
    tables.team_usage(job.team).queued_bytes -= job.body_bytes
    tables.jobs.pop((job.team, job.submission_id), None)
    submissions.record_answer(
        tables, job.team, job.parsed_id, job.digest, answer
    )
    tables.finished_job_traces.append(
        tables_lib.JobTrace(
            job.team,
            job.submission_id,
            answer.outcome,
            answer.code,
            job.decisions,
        )
    )
    tables.counters[f"jobs_{answer.outcome}"] += 1
    tables.actions.append(actions.FinishJob(job))
    actions.log_event(
        tables,
        events.Event.JOB_FINISHED,
        job=job.submission_id,
        team=job.team,
        outcome=answer.outcome,
        code=answer.code,
        ms=round((now - job.arrived_at) * 1000, 1),
    )


def fail_expired_jobs(tables: tables_lib.Tables, now: float) -> None:
    """Fails the jobs whose deadline has passed."""
    while tables.deadlines and tables.deadlines[0][0] <= now:
        _, _, job = heapq.heappop(tables.deadlines)
        message = "the deadline passed before every task had finished"
        fail_job(tables, job, errors.Code.DEADLINE, message, now)
