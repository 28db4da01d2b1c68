"""Decoding and validation of jobs sent by clients."""

import attrs
import msgspec

from acacialine import documents

MAX_FINDINGS = 50


@attrs.frozen
class TaskRequest:
    """One task of a job as the client describes it.

    Attributes:
        payload: JSON value sent to the backend server as the request body.
        kind: Overrides the kind of the job.
        declared_ms: Expected run time in ms; a hint.
    """

    payload: msgspec.Raw = msgspec.Raw(b"null")
    kind: str | None = None
    declared_ms: float | None = None


@attrs.frozen
class JobRequest:
    """A job as the client describes it.

    Attributes:
        kind: Kind of the tasks without a kind of their own.
        idempotent: False marks the job as not idempotent whatever its kinds;
            other values have no effect.
        deadline_ms: Time allowed until the answer, in ms.
    """

    tasks: list[TaskRequest]
    kind: str | None = None
    idempotent: bool | None = None
    deadline_ms: float | None = None


class InvalidRequestError(Exception):
    """The request is invalid.

    Attributes:
        findings: Validation errors, at most about `MAX_FINDINGS`.
    """

    def __init__(self, findings: list[str]):
        super().__init__("; ".join(findings))
        self.findings = findings


class TooManyTasksError(Exception):
    """The job has more tasks than its team may submit at once."""


_DECODER = msgspec.json.Decoder(JobRequest)


def parse_job(body: bytes, document: documents.TeamDocument) -> JobRequest:
    """Decodes and validates the body of `POST /v1/jobs`.

    Raises:
        InvalidRequestError: The body is not a valid job of this team.
        TooManyTasksError: It has more tasks than the team may submit at once.
    """
    try:
        request = _DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise InvalidRequestError([str(error)]) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequestError([f"malformed JSON: {error}"]) from error
    check_job(request, document)
    return request


def check_job(request: JobRequest, document: documents.TeamDocument) -> None:
    """Validates a job against its team's document.

    Raises:
        InvalidRequestError: The job is not valid for this team.
        TooManyTasksError: It has more tasks than the team may submit at once.
    """
    if len(request.tasks) > document.limits.max_tasks:
        raise TooManyTasksError(
            f"{len(request.tasks)} tasks; at most {document.limits.max_tasks}"
        )
    findings = []
    if not request.tasks:
        findings.append("tasks: at least one task is required")
    if request.deadline_ms is not None and not 0 < request.deadline_ms < 3.6e6:
        findings.append("deadline_ms: must be above 0 and below 3600000")
    max_payload_bytes = document.limits.max_payload_bytes
    for index, task in enumerate(request.tasks):
        kind = task.kind or request.kind
        if kind is None:
            findings.append(f"tasks[{index}].kind: is required")
        elif kind not in document.kinds:
            findings.append(f"tasks[{index}].kind: unknown kind {kind!r}")
        if len(task.payload) > max_payload_bytes:
            findings.append(
                f"tasks[{index}].payload: over {max_payload_bytes} bytes"
            )
        if task.declared_ms is not None and task.declared_ms <= 0:
            findings.append(f"tasks[{index}].declared_ms: must be above 0")
        if len(findings) >= MAX_FINDINGS:
            break
    if findings:
        raise InvalidRequestError(findings)


def deadline_ms(
    request: JobRequest,
    header: str | None,
    document: documents.TeamDocument,
) -> float:
    """Returns the time allowed for a job, in ms.

    The `Deadline-Ms` header takes precedence over the body, and the body over
    the longest default of the job's kinds.

    Raises:
        InvalidRequestError: The header is not a number above 0 and below
            3600000 (an hour).
    """
    if header is not None:
        try:
            value = float(header)
        except ValueError:
            value = -1.0
        if not 0 < value < 3.6e6:
            raise InvalidRequestError(["Deadline-Ms: must be above 0"])
        return value
    if request.deadline_ms is not None:
        return request.deadline_ms
    kinds = {task.kind or request.kind for task in request.tasks}
    return max(document.kinds[kind].deadline_ms for kind in kinds)


def is_idempotent(
    request: JobRequest, document: documents.TeamDocument
) -> bool:
    """Returns whether every task of the job is marked idempotent."""
    if request.idempotent is False:
        return False
    kinds = {task.kind or request.kind for task in request.tasks}
    return all(document.kinds[kind].idempotent for kind in kinds)
