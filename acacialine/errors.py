"""Outcomes, reason codes and exceptions shared by all modules."""

import enum


class Outcome(enum.StrEnum):
    """What a client may conclude about a submission from an answer."""

    COMPLETE = "complete"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Reason codes of errors and refusals; clients may rely on them."""

    OK = "ok"
    INVALID_REQUEST = "invalid_request"
    INVALID_ID = "invalid_id"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    BODY_TOO_LARGE = "body_too_large"
    TOO_MANY_TASKS = "too_many_tasks"
    DIGEST_MISMATCH = "digest_mismatch"
    ID_TOO_OLD = "id_too_old"
    ID_NOT_ISSUED = "id_not_issued"
    PREFIX_REQUIRED = "prefix_required"
    COORDINATOR_GONE = "coordinator_gone"
    FORWARD_BROKEN = "forward_broken"
    RESULT_EXPIRED = "result_expired"
    DRAINING = "draining"
    UNSATISFIABLE = "unsatisfiable"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_DOCUMENT = "invalid_document"
    CONFLICT = "conflict"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PEER_PROTOCOL = "peer_protocol"
    UNREACHABLE = "unreachable"


class AcacialineError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: The reason code.
        exit_status: Exit status of a command that fails with this error.
    """

    exit_status = 1

    def __init__(self, code: Code, message: str):
        super().__init__(message)
        self.code = code


class FindingsError(AcacialineError):
    """A document or settings file is invalid; holds all its findings."""

    exit_status = 2

    def __init__(self, code: Code, findings: list):
        super().__init__(code, "\n".join(str(f) for f in findings))
        self.findings = findings


class ConflictError(AcacialineError):
    """A published change was rejected.

    Usually another change based on the same version was accepted first.
    """

    exit_status = 3


class PlatformError(AcacialineError):
    """The platform did not answer, or answered with an error.

    Attributes:
        may_have_applied: Whether a change may have taken effect nevertheless.
    """

    exit_status = 4

    def __init__(self, message: str, may_have_applied: bool = False):
        super().__init__(Code.PLATFORM_UNAVAILABLE, message)
        self.may_have_applied = may_have_applied


class PeerError(AcacialineError):
    """A peer violated the protocol or failed authentication."""

    def __init__(self, message: str):
        super().__init__(Code.PEER_PROTOCOL, message)
