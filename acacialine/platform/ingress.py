"""HTTP handlers for clients and the load balancer.

Clients submit, cancel and look up jobs over HTTP as the platform defines it.
"""

import math
import re

import msgspec

from acacialine import cancellations
from acacialine import clientlimits
from acacialine import events
from acacialine import httpserver
from acacialine import intake
from acacialine import placer
from acacialine import resources
from acacialine import routes
from acacialine import zonetables

_JOB_ID = re.compile(r"[0-9a-f]{16}")
DEFAULT_MAX_BODY_BYTES = 1 << 18  # before the first configuration
MAX_SPEC_BYTES = 4000  # the platform's limit
UNSUPPORTED_RETRY_AFTER_S = 60  # only a new release changes the response
DEFAULT_DEADLINE_S = 60.0  # if neither the request nor its route sets one
MAX_DEADLINE_S = 3600.0  # longer deadlines are shortened to this
MAX_TASKS_PER_STEP = 10000  # far above the largest job, which has 1,600
# Far above the labels of a backend server. They are kept while the job is open,
# and sent to the placer.
MAX_REQUIREMENTS_CHARS = 4000
# A longer value counts as set without being decoded.
MAX_UNSET_BYTES = 64
# Time between two log lines on requests that are malformed or unsupported. The
# lines have the reserved share of the log budget.
REJECTION_INTERVAL_S = 0.02
# Time from the end of a client's attempt to its next one, to any entry.
RETRY_DELAY_S = 1.3
# A request that may have been on its way for longer waits for the end of its
# connection, which follows it one round trip later if its client has left.
LATE_END_WAIT_S = 0.02
MAX_REASON_CHARS = 200  # in the log; an error may quote the whole body
MAX_DEMAND = 2**31 - 1  # of each resource of a task
MAX_ESTIMATE_S = 1e6
_UNSUPPORTED_STEP_FIELDS = (
    "after",
    "gang",
    "rackLocal",
    "speculative",
    "antiAffinity",
    "affinity",
    "longRunning",
    "image",
    "fills",
    "mayMiss",
    "targetMs",
)
_STATUS_BY_KIND = {
    intake.AnswerKind.COMPLETED: 200,
    intake.AnswerKind.FAILED: 200,
    intake.AnswerKind.NOT_RUN: 503,
    intake.AnswerKind.UNKNOWN: 504,
}
_STATUS_BY_CANCEL_OUTCOME = {
    cancellations.Outcome.OPEN: 200,
    cancellations.Outcome.NOT_OPEN: 410,
    cancellations.Outcome.UNKNOWN: 504,
}
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_DEFAULT_REQUEST_LIMITS = clientlimits.RequestLimits()
_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class MalformedError(Exception):
    """A request is malformed; the message says why."""


class UnsupportedError(Exception):
    """A job uses an unsupported feature, so none of its tasks runs."""


def decode_submission(
    job_id: str,
    body: bytes,
    route: routes.Route,
    left_s: float,
    config_version: int = 0,
) -> placer.Submission:
    """Decodes the body of a request that submits a job.

    Args:
        job_id: Id of the job, from the path.
        body: Body of the request.
        route: Route of the request.
        left_s: Time in s that remains until the client's deadline.
        config_version: Version of the configuration that has the route.

    Raises:
        MalformedError: The body does not describe a job.
        UnsupportedError: The job uses an unsupported feature.
    """
    try:
        content = msgspec.json.decode(body, type=_JobContent)
        steps = bytes(content.steps)
        if not steps.startswith(b"["):
            raise MalformedError("spec must be a string and steps a list")
        if len(content.spec.encode()) > MAX_SPEC_BYTES or not _is_set(steps):
            raise MalformedError("spec is too long or steps is empty")
        if not _is_set(content.best_effort) or _is_set(content.repeat_count):
            raise UnsupportedError(
                "stored jobs (bestEffort unset or repeatCount set) are not"
                " supported"
            )
        try:
            # Decoding ends at the second step.
            (only_step,) = msgspec.json.decode(steps, type=tuple[msgspec.Raw])
        except msgspec.ValidationError as error:
            raise UnsupportedError(
                "jobs with several steps are not supported"
            ) from error
        step = _decode_step(msgspec.json.decode(only_step, type=_StepContent))
    except (
        AttributeError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise MalformedError(str(error)) from error
    return placer.Submission(
        job_id,
        route.queue,
        content.spec,
        step,
        0.0,
        left_s,
        config_version=config_version,
    )


_Scalar = int | float | str | bool | None
_UNSET = msgspec.Raw(b"null")


class _JobContent(msgspec.Struct):
    """The members of a job that are used; others are skipped, not built.

    A body may have 80,000 members, whose objects would take many times its
    size.
    """

    spec: str = ""
    steps: msgspec.Raw = _UNSET
    best_effort: msgspec.Raw = msgspec.field(name="bestEffort", default=_UNSET)
    repeat_count: msgspec.Raw = msgspec.field(
        name="repeatCount", default=_UNSET
    )


_StepContent = msgspec.defstruct(
    "_StepContent",
    [
        ("count", _Scalar, 0),
        ("cpu", _Scalar, 0),
        ("memMb", _Scalar, 0),
        ("gpu", _Scalar, 0),
        ("estimateMs", _Scalar, 0),
        ("requirements", _Scalar, ""),
        *((name, msgspec.Raw, _UNSET) for name in _UNSUPPORTED_STEP_FIELDS),
    ],
)


def _is_set(value) -> bool:
    """Returns whether an encoded value is not null, false, 0 or empty."""
    encoded = bytes(value)
    if len(encoded) > MAX_UNSET_BYTES:
        return True
    return bool(msgspec.json.decode(encoded))


def _decode_step(content: _StepContent) -> zonetables.Step:
    used = [
        name
        for name in _UNSUPPORTED_STEP_FIELDS
        if _is_set(getattr(content, name))
    ]
    if used:
        raise UnsupportedError(f"{', '.join(used)} not supported")
    count = int(content.count)
    if not 1 <= count <= MAX_TASKS_PER_STEP:
        raise MalformedError(f"count must be from 1 to {MAX_TASKS_PER_STEP}")
    demand = resources.Resources(
        int(content.cpu), int(content.memMb), int(content.gpu)
    )
    for value in (demand.cpu, demand.memory_mb, demand.gpu):
        if not 0 <= value <= MAX_DEMAND:
            raise MalformedError(
                f"cpu, memMb and gpu must be from 0 to {MAX_DEMAND}"
            )
    estimate_s = float(content.estimateMs) / 1000
    if not 0 <= estimate_s <= MAX_ESTIMATE_S:
        raise MalformedError(
            f"estimateMs must be from 0 to {MAX_ESTIMATE_S * 1000:.0f}"
        )
    requirements = str(content.requirements)
    if len(requirements) > MAX_REQUIREMENTS_CHARS:
        raise MalformedError(
            f"requirements must have at most {MAX_REQUIREMENTS_CHARS}"
            " characters"
        )
    return zonetables.Step(count, demand, estimate_s, requirements)


class Ingress:
    """Serves the jobs of clients; the handler of an `httpserver.Server`.

    It uses `configuration`, `intake`, `wake`, `count_pending_jobs`, `now`,
    `record_answer`, `is_refusing`, `is_stopping`, `log` and `meters` of the
    dispatcher.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher
        self._rejection_lines = clientlimits.LineLimit(REJECTION_INTERVAL_S)

    def max_body_bytes(self) -> int:
        """Returns the largest body of a request."""
        config = self._dispatcher.configuration
        return config.max_body_bytes if config else DEFAULT_MAX_BODY_BYTES

    def request_limits(self) -> clientlimits.RequestLimits:
        """Returns the other limits of a request."""
        config = self._dispatcher.configuration
        return config.request_limits if config else _DEFAULT_REQUEST_LIMITS

    def handle(self, exchange: httpserver.Exchange) -> None:
        """Serves one request."""
        config = self._dispatcher.configuration
        if config is None:
            self._reply(exchange, 503, b"", 1)
            return
        request = exchange.request
        host = request.headers.get(b"host", b"").decode("latin-1").lower()
        path = request.path
        route = config.find_route(host, path)
        if route is None and ":" in host:
            route = config.find_route(host.rpartition(":")[0], path)
        if route is None:
            self._handle_dropped_route(exchange, host, path)
            return
        job_id = path[len(route.prefix) :]
        if request.method == "GET" and not job_id:
            count = self._dispatcher.count_pending_jobs(route.queue.name)
            self._reply(exchange, 200, b'{"pending":%d}' % count)
        elif not _JOB_ID.fullmatch(job_id):
            self._reply(exchange, 400)
        elif request.method == "POST":
            self._submit(exchange, job_id, route)
        elif request.method == "DELETE":
            self._cancel(exchange, job_id, _STATUS_BY_CANCEL_OUTCOME)
        elif request.method == "GET":
            self._reply_state(exchange, job_id)
        else:
            self._reply(exchange, 405)

    def _handle_dropped_route(
        self, exchange: httpserver.Exchange, host: str, path: str
    ) -> None:
        """Serves a request that no route matches.

        A job whose route a newer configuration has dropped can still be
        cancelled. For all else there is no such resource.
        """
        config = self._dispatcher.configuration
        route = config.find_dropped_route(
            host, path
        ) or config.find_dropped_route(host.rpartition(":")[0], path)
        job_id = path[len(route.prefix) :] if route is not None else ""
        if exchange.request.method != "DELETE" or not _JOB_ID.fullmatch(job_id):
            self._reply(exchange, _NOT_FOUND)
            return
        statuses = _STATUS_BY_CANCEL_OUTCOME | {
            cancellations.Outcome.NOT_OPEN: _NOT_FOUND
        }
        self._cancel(exchange, job_id, statuses)

    def _cancel(
        self,
        exchange: httpserver.Exchange,
        job_id: str,
        statuses: dict[cancellations.Outcome, int],
    ) -> None:
        """Cancels a job wherever it is open."""
        self._dispatcher.intake.cancel_for_all(
            job_id,
            lambda outcome: self._reply(exchange, statuses[outcome]),
            self._dispatcher.now(),
        )
        self._dispatcher.wake()

    def _reply_state(self, exchange: httpserver.Exchange, job_id: str) -> None:
        if job_id in self._dispatcher.intake.requests:
            self._reply(exchange, 200, b'{"state":"running"}')
        else:
            self._reply(exchange, 410)

    def _submit(
        self, exchange: httpserver.Exchange, job_id: str, route: routes.Route
    ) -> None:
        """Submits a job, whose answer is sent when it is known."""
        request = exchange.request
        try:
            left_s = _time_left_s(request.headers, route)
            submission = decode_submission(
                job_id,
                request.body,
                route,
                left_s,
                self._dispatcher.configuration.version,
            )
        except MalformedError as error:
            self._reject(exchange, job_id, 400, error)
            return
        except UnsupportedError as error:
            self._reject(
                exchange, job_id, 503, error, UNSUPPORTED_RETRY_AFTER_S
            )
            return
        open_requests = self._dispatcher.intake
        # A job that has ended may have run, so it is answered again.
        has_ended = open_requests.fates.get(job_id) is not None
        if self._dispatcher.is_refusing and not has_ended:
            self._reject(exchange, job_id, 503, "stopping", 1)
            return
        if exchange.is_client_gone():
            # While the request waited in the socket, its client may have sent
            # the job to another entry. The connection ends with the next read.
            self._dispatcher.log(events.Event.REQUEST_OUTLIVED, job=job_id)
            return
        received_at = self._dispatcher.now()

        def notify(answer: intake.Answer) -> None:
            self._reply_answer(exchange, submission, answer, received_at)

        def remove_client() -> None:
            open_requests.remove_client(job_id, notify, self._dispatcher.now())
            self._dispatcher.wake()

        exchange.discard_body()
        exchange.on_disconnect = remove_client
        not_before = received_at
        if exchange.max_age_s >= RETRY_DELAY_S:
            not_before += LATE_END_WAIT_S
        open_requests.receive(submission, notify, received_at, not_before)
        self._dispatcher.wake()

    def _reject(
        self,
        exchange: httpserver.Exchange,
        job_id: str,
        status: int,
        error,
        retry_after_s: int = 0,
    ) -> None:
        """Logs why a job is rejected and replies to its client."""
        limit = self._rejection_lines
        if limit.allows(self._dispatcher.now()):
            self._dispatcher.log(
                events.Event.REQUEST_REJECTED,
                job=job_id,
                status=status,
                reason=str(error)[:MAX_REASON_CHARS],
                unlogged=limit.unlogged,
            )
            limit.unlogged = 0
        else:
            self._dispatcher.meters.count_event(events.Event.REQUEST_REJECTED)
        self._reply(exchange, status, b"", retry_after_s)

    def _reply_answer(
        self,
        exchange: httpserver.Exchange,
        submission: placer.Submission,
        answer: intake.Answer,
        received_at: float,
    ) -> None:
        status = _STATUS_BY_KIND[answer.kind]
        retry_after_s = 0
        body = b""
        if answer.kind == intake.AnswerKind.NOT_RUN:
            if answer.reason == "overloaded":
                status = _TOO_MANY_REQUESTS
            retry_after_s = max(1, math.ceil(answer.retry_after_s))
        elif status == 200:
            body = b'{"state":"%s"}' % answer.kind.value.encode()
        self._dispatcher.record_answer(
            submission, status, answer, self._dispatcher.now() - received_at
        )
        self._reply(exchange, status, body, retry_after_s)

    def _reply(
        self,
        exchange: httpserver.Exchange,
        status: int,
        body: bytes = b"",
        retry_after_s: int = 0,
    ) -> None:
        headers = (_JSON_CONTENT_TYPE,)
        if retry_after_s:
            headers += ((b"retry-after", b"%d" % retry_after_s),)
        exchange.answer(
            status, body, headers, close=self._dispatcher.is_stopping
        )


def _time_left_s(headers: dict, route: routes.Route) -> float:
    """Returns the time in s after which the client stops waiting.

    If the request has no Deadline-Ms header, the timeout of its route applies.
    The result is at most MAX_DEADLINE_S.

    Raises:
        MalformedError: The header is not a positive, finite number.
    """
    raw = headers.get(b"deadline-ms", b"")
    if not raw:
        return min(route.timeout_s or DEFAULT_DEADLINE_S, MAX_DEADLINE_S)
    try:
        left_s = float(raw) / 1000
    except ValueError as error:
        raise MalformedError(f"Deadline-Ms: {error}") from error
    if not (math.isfinite(left_s) and left_s > 0):
        raise MalformedError(f"Deadline-Ms must be positive: {raw!r}")
    return min(left_s, MAX_DEADLINE_S)


class Readiness:
    """Serves the readiness check; the handler of an `httpserver.Server`."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    def handle(self, exchange: httpserver.Exchange) -> None:
        """Replies 200 while the dispatcher accepts new connections."""
        is_known_path = exchange.request.path == "/acacialine/readyz"
        is_ready = is_known_path and self._dispatcher.is_ready
        exchange.answer(200 if is_ready else (503 if is_known_path else 404))
