"""Builds the JSON answers of submissions: results, failures and refusals."""

import base64

import attrs
import msgspec

from acacialine import errors
from acacialine import tables as tables_lib

JSON_TYPE = "application/json"


@attrs.frozen
class TaskResult:
    """The result of one task in a complete answer.

    Attributes:
        index: Position of the task in the job.
        status: HTTP status of the backend server.
        content_type: Content type of the backend server's response.
        result: JSON value; other bodies as a string, binary ones in base64.
    """

    index: int
    status: int
    content_type: str
    result: msgspec.Raw


@attrs.frozen
class CompleteBody:
    """The body of a complete answer: the results of all tasks, in order."""

    id: str
    outcome: str
    results: list[TaskResult]


@attrs.frozen
class ErrorBody:
    """The body of every other answer.

    Attributes:
        started: Indexes of the tasks that started or may have started.
        prefix: Prefix for ids sent to this coordinator, if one is needed.
        findings: Validation errors of the request.
        forwarded: Whether the request may have reached its coordinator.
    """

    code: str
    outcome: str
    message: str
    started: list[int] = attrs.field(factory=list)
    id: str = ""
    prefix: str = ""
    findings: list[str] = attrs.field(factory=list)
    forwarded: bool = False


def _encode_result(answer: tables_lib.BackendAnswer) -> msgspec.Raw:
    if not answer.body:
        return msgspec.Raw(b"null")
    if answer.content_type.startswith(JSON_TYPE):
        try:
            return msgspec.json.decode(answer.body, type=msgspec.Raw)
        except msgspec.DecodeError:
            pass
    try:
        text = answer.body.decode()
    except UnicodeDecodeError:
        text = base64.b64encode(answer.body).decode()
    return msgspec.Raw(msgspec.json.encode(text))


def complete_answer(job: tables_lib.Job) -> tables_lib.JobAnswer:
    """Builds the answer of a job whose tasks have all succeeded."""
    encoded_id = msgspec.json.encode(job.submission_id)
    results = b",".join(task.result for task in job.tasks)
    body = b'{"id":%b,"outcome":"complete","results":[%b]}' % (
        encoded_id,
        results,
    )
    return tables_lib.JobAnswer(
        200, errors.Outcome.COMPLETE, errors.Code.OK, body
    )


def encode_task_result(index: int, answer: tables_lib.BackendAnswer) -> bytes:
    """Encodes the result of one task as JSON, for the answer of its job."""
    result = TaskResult(
        index, answer.status, answer.content_type, _encode_result(answer)
    )
    return msgspec.json.encode(result)


def single_task_result(answer: tables_lib.JobAnswer) -> tuple[bytes, str]:
    """Returns the body and content type of a one-task job's result."""
    body = msgspec.json.decode(answer.body, type=CompleteBody)
    result = body.results[0]
    if result.content_type.startswith(JSON_TYPE):
        return bytes(result.result), result.content_type
    text = msgspec.json.decode(result.result)
    return (text or "").encode(), result.content_type


def error_answer(
    status: int,
    outcome: errors.Outcome,
    code: errors.Code,
    message: str,
    *,
    submission_id: str = "",
    prefix: str = "",
    started: list[int] | None = None,
    findings: list[str] | None = None,
    retry_after_s: float = 0.0,
    forwarded: bool = False,
) -> tables_lib.JobAnswer:
    """Builds an answer without results: failed, refused or unknown.

    Args:
        status: HTTP status.
        outcome: What the client may conclude.
        code: The stable reason code.
        message: Explanation for humans.
        submission_id: The id, if it is known.
        prefix: Prefix for ids sent to this coordinator, if one is needed.
        started: Indexes of the tasks that started or may have started.
        findings: Validation errors of the request.
        retry_after_s: Delay before the client should retry; 0 for none.
        forwarded: Whether the request may have reached its coordinator.
    """
    body = ErrorBody(
        code.value,
        outcome.value,
        message,
        started or [],
        submission_id,
        prefix,
        findings or [],
        forwarded,
    )
    return tables_lib.JobAnswer(
        status, outcome, code, msgspec.json.encode(body), retry_after_s
    )


def failed_answer(
    job: tables_lib.Job, code: errors.Code, message: str
) -> tables_lib.JobAnswer:
    """Builds the answer of a job that ended before all tasks succeeded.

    The outcome is `not_run` if no task has started, else `failed`.
    """
    started = [t.index for t in job.tasks if t.state in _MAY_HAVE_RUN_STATES]
    outcome = errors.Outcome.FAILED
    if not started and not job.possible_starts:
        outcome = errors.Outcome.NOT_RUN
    status = 504 if code == errors.Code.DEADLINE else 502
    if code == errors.Code.CANCELLED:
        status = 409
    return error_answer(
        status,
        outcome,
        code,
        message,
        submission_id=job.submission_id,
        started=started,
    )


_MAY_HAVE_RUN_STATES = frozenset(
    {
        tables_lib.TaskState.STARTED,
        tables_lib.TaskState.SUCCEEDED,
        tables_lib.TaskState.FAILED,
        tables_lib.TaskState.UNKNOWN,
    }
)
