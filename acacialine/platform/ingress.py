"""ASGI applications for clients and the load balancer.

Clients submit, cancel and look up jobs over HTTP as the platform defines it.
"""

import math
import re
import urllib.parse

import msgspec
import trio

from acacialine import asgi
from acacialine import events
from acacialine import intake
from acacialine import placer
from acacialine import resources
from acacialine import routes
from acacialine import zonetables

_JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES = 4000  # the platform's limit
UNSUPPORTED_RETRY_AFTER_S = 60  # only a new release changes the response
DEFAULT_DEADLINE_S = 60.0  # if neither the request nor its route sets one
MAX_DEADLINE_S = 3600.0  # longer deadlines are shortened to this
MAX_TASKS_PER_STEP = 10000  # far above the largest job, which has 1,600
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
_TOO_MANY_REQUESTS = 429
_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


class MalformedError(Exception):
    """A request is malformed; the message says why."""


class UnsupportedError(Exception):
    """A job uses an unsupported feature, so none of its tasks runs."""


def decode_submission(
    job_id: str, body: bytes, route: routes.Route, left_s: float
) -> placer.Submission:
    """Decodes the body of a request that submits a job.

    Args:
        job_id: Id of the job, from the path.
        body: Body of the request.
        route: Route of the request.
        left_s: Time in s that remains until the client's deadline.

    Raises:
        MalformedError: The body does not describe a job.
        UnsupportedError: The job uses an unsupported feature.
    """
    try:
        content = msgspec.json.decode(body)
        spec = content.get("spec", "")
        steps = content.get("steps")
        if not isinstance(spec, str) or not isinstance(steps, list):
            raise MalformedError("spec must be a string and steps a list")
        if len(spec.encode()) > MAX_SPEC_BYTES or not steps:
            raise MalformedError("spec is too long or steps is empty")
        if not content.get("bestEffort") or content.get("repeatCount"):
            raise UnsupportedError(
                "stored jobs (bestEffort unset or repeatCount set) are not"
                " supported"
            )
        if len(steps) > 1:
            raise UnsupportedError("jobs with several steps are not supported")
        step = _decode_step(steps[0])
    except (ValueError, TypeError, AttributeError) as error:
        raise MalformedError(str(error)) from error
    return placer.Submission(job_id, route.queue, spec, step, 0.0, left_s)


def _decode_step(content: dict) -> zonetables.Step:
    used = [name for name in _UNSUPPORTED_STEP_FIELDS if content.get(name)]
    if used:
        raise UnsupportedError(f"{', '.join(used)} not supported")
    count = int(content.get("count", 0))
    if not 1 <= count <= MAX_TASKS_PER_STEP:
        raise MalformedError(f"count must be from 1 to {MAX_TASKS_PER_STEP}")
    demand = resources.Resources(
        int(content.get("cpu", 0)),
        int(content.get("memMb", 0)),
        int(content.get("gpu", 0)),
    )
    if min(demand.cpu, demand.memory_mb, demand.gpu) < 0:
        raise MalformedError("cpu, memMb and gpu must not be negative")
    return zonetables.Step(
        count,
        demand,
        float(content.get("estimateMs", 0)) / 1000,
        str(content.get("requirements", "")),
    )


class Ingress:
    """ASGI application that serves the jobs of clients.

    It uses `configuration`, `intake`, `wake`, `count_pending_jobs`, `now`,
    `record_answer`, `is_refusing`, `is_stopping` and `log` of the dispatcher.
    """

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        config = self._dispatcher.configuration
        if config is None:
            await self._reply(send, 503, b"", 1)
            return
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").lower()
        path = urllib.parse.unquote(scope["path"])
        route = config.find_route(host, path)
        if route is None and ":" in host:
            route = config.find_route(host.rpartition(":")[0], path)
        if route is None:
            await self._reply(send, 404)
            return
        job_id = path[len(route.prefix) :]
        if scope["method"] == "GET" and not job_id:
            count = self._dispatcher.count_pending_jobs(route.queue.name)
            await self._reply(send, 200, b'{"pending":%d}' % count)
        elif not _JOB_ID.fullmatch(job_id):
            await self._reply(send, 400)
        elif scope["method"] == "POST":
            await self._submit(job_id, route, headers, receive, send)
        elif scope["method"] == "DELETE":
            was_open = self._dispatcher.intake.cancel(job_id)
            self._dispatcher.wake()
            await self._reply(send, 200 if was_open else 410)
        elif scope["method"] == "GET":
            await self._reply_state(job_id, send)
        else:
            await self._reply(send, 405)

    async def _reply_state(self, job_id: str, send) -> None:
        if job_id in self._dispatcher.intake.requests:
            await self._reply(send, 200, b'{"state":"running"}')
        else:
            await self._reply(send, 410)

    async def _submit(self, job_id, route, headers, receive, send) -> None:
        """Submits a job and replies when it is answered or refused."""
        limit = self._dispatcher.configuration.max_body_bytes
        body = await _read_body(receive, limit)
        if body is None:
            await self._reply(send, 413)
            return
        try:
            left_s = _time_left_s(headers, route)
            submission = decode_submission(job_id, body, route, left_s)
        except MalformedError as error:
            await self._reject(send, job_id, 400, error)
            return
        except UnsupportedError as error:
            await self._reject(
                send, job_id, 503, error, UNSUPPORTED_RETRY_AFTER_S
            )
            return
        if self._dispatcher.is_refusing:
            await self._reject(send, job_id, 503, "stopping", 1)
            return
        received_at = self._dispatcher.now()
        answer = await self._await_answer(submission, receive)
        if answer is not None:
            await self._reply_answer(send, submission, answer, received_at)

    async def _reject(
        self, send, job_id, status, error, retry_after_s=0
    ) -> None:
        """Logs why a job is rejected and replies to its client."""
        self._dispatcher.log(
            events.Event.REQUEST_REJECTED,
            job=job_id,
            status=status,
            reason=str(error),
        )
        await self._reply(send, status, b"", retry_after_s)

    async def _await_answer(self, submission, receive) -> intake.Answer | None:
        """Returns the answer; None if the client disconnects before it."""
        answers = []
        done = trio.Event()

        def notify(answer: intake.Answer) -> None:
            answers.append(answer)
            done.set()

        async def wait_for_disconnect() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            done.set()

        open_requests = self._dispatcher.intake
        now = self._dispatcher.now()
        open_requests.receive(submission, notify, now)
        self._dispatcher.wake()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_for_disconnect)
                await done.wait()
                nursery.cancel_scope.cancel()
        finally:
            if not answers:
                open_requests.remove_client(submission.job_id, notify)
                self._dispatcher.wake()
        return answers[0] if answers else None

    async def _reply_answer(
        self,
        send,
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
        await self._reply(send, status, body, retry_after_s)

    async def _reply(
        self, send, status: int, body: bytes = b"", retry_after_s: int = 0
    ) -> None:
        headers = [_JSON_CONTENT_TYPE]
        if retry_after_s:
            headers.append((b"retry-after", b"%d" % retry_after_s))
        if self._dispatcher.is_stopping:
            headers.append((b"connection", b"close"))
        await asgi.send_response(send, status, body, headers)


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


async def _read_body(receive, limit: int) -> bytes | None:
    """Reads a request body; returns None if it exceeds the limit.

    If the client disconnects, returns what has arrived.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(chunks)
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


class Readiness:
    """ASGI application for the readiness check of the load balancer."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    async def __call__(self, scope, receive, send) -> None:
        """Replies 200 while the dispatcher accepts new connections."""
        is_known_path = scope["path"] == "/acacialine/readyz"
        is_ready = is_known_path and self._dispatcher.is_ready
        status = 200 if is_ready else (503 if is_known_path else 404)
        await asgi.send_response(send, status, b"", [])
