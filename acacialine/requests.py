"""Requests of callers, decoded and checked with all findings."""

import attrs
import msgspec

from acacialine import documents

FINDINGS_MAX = 50


@attrs.frozen
class TaskRequest:
    """One task of a job as the caller states it.

    Attributes:
        payload: JSON value sent to the backend server as its body.
        kind: Overrides the kind of the job.
        declared_ms: Expected run time in ms; a hint.
    """

    payload: msgspec.Raw = msgspec.Raw(b"null")
    kind: str | None = None
    declared_ms: float | None = None


@attrs.frozen
class JobRequest:
    """A job as the caller states it.

    Attributes:
        kind: Kind of every task that names none.
        idempotent: Tightens the mark of the kinds; None leaves it.
        deadline_ms: Time within which the answer is wanted.
    """

    tasks: list[TaskRequest]
    kind: str | None = None
    idempotent: bool | None = None
    deadline_ms: float | None = None


class RequestFindings(Exception):  # noqa: N818
    """A request that cannot be accepted, with every reason."""

    def __init__(self, findings: list[str]):
        super().__init__("; ".join(findings))
        self.findings = findings


class TooManyTasks(Exception):  # noqa: N818
    """A job over the bound on its number of tasks."""


_DECODER = msgspec.json.Decoder(JobRequest)


def parse_job(body: bytes, document: documents.TeamDocument) -> JobRequest:
    """Decodes the body of `POST /v1/jobs`.

    Raises:
        RequestFindings: The body is not a valid job of this team.
        TooManyTasks: It has more tasks than the team may submit at once.
    """
    try:
        request = _DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise RequestFindings([str(error)]) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestFindings([f"malformed JSON: {error}"]) from error
    check_job(request, document)
    return request


def check_job(request: JobRequest, document: documents.TeamDocument) -> None:
    """Checks a job against its team's document; see `parse_job`."""
    if len(request.tasks) > document.limits.max_tasks:
        raise TooManyTasks(
            f"{len(request.tasks)} tasks; at most {document.limits.max_tasks}"
        )
    findings = []
    if not request.tasks:
        findings.append("tasks: at least one task is required")
    if request.deadline_ms is not None and not 0 < request.deadline_ms < 3.6e6:
        findings.append("deadline_ms: must be above 0 and below 3600000")
    largest = document.limits.max_payload_bytes
    for index, task in enumerate(request.tasks):
        kind = task.kind or request.kind
        if kind is None:
            findings.append(f"tasks[{index}].kind: is required")
        elif kind not in document.kinds:
            findings.append(f"tasks[{index}].kind: unknown kind {kind!r}")
        if len(task.payload) > largest:
            findings.append(f"tasks[{index}].payload: over {largest} bytes")
        if task.declared_ms is not None and task.declared_ms <= 0:
            findings.append(f"tasks[{index}].declared_ms: must be above 0")
        if len(findings) >= FINDINGS_MAX:
            break
    if findings:
        raise RequestFindings(findings)


def deadline_ms(
    request: JobRequest,
    header: str | None,
    document: documents.TeamDocument,
) -> float:
    """Returns the deadline of a job: header, body, then the kinds' default.

    Raises:
        RequestFindings: The header is not a positive number.
    """
    if header is not None:
        try:
            value = float(header)
        except ValueError:
            value = -1.0
        if not 0 < value < 3.6e6:
            raise RequestFindings(["Deadline-Ms: must be above 0"])
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
