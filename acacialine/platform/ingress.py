"""Requests of callers in the platform's form, as an ASGI application."""

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
SPEC_MAX_BYTES = 4000  # the platform's bound of a job's spec
UNSUPPORTED_RETRY_AFTER_S = 60  # only a new release changes the answer
DEFAULT_DEADLINE_S = 60.0  # for callers and routes that name none
TASKS_MAX = 10000  # per step; far above the widest job of 1,600 tasks
_UNSUPPORTED = (
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
_STATUS = {
    intake.AnswerKind.COMPLETED: 200,
    intake.AnswerKind.FAILED: 200,
    intake.AnswerKind.NOT_RUN: 503,
    intake.AnswerKind.UNKNOWN: 504,
}
_TOO_BUSY = 429
_JSON = (b"content-type", b"application/json")


class MalformedError(Exception):
    """A request that can't be read; the text says why."""


class UnsupportedError(Exception):
    """A form of job that is not served; none of it runs."""


def decode_submission(
    job_id: str, body: bytes, route: routes.Route, left_s: float
) -> placer.Submission:
    """Decodes a job.

    Raises:
        MalformedError: The body is not a job.
        UnsupportedError: A form that is not served.
    """
    try:
        content = msgspec.json.decode(body)
        spec = content.get("spec", "")
        steps = content.get("steps")
        if not isinstance(spec, str) or not isinstance(steps, list):
            raise MalformedError("spec must be a text and steps a list")
        if len(spec.encode()) > SPEC_MAX_BYTES or not steps:
            raise MalformedError("spec is too long or steps are missing")
        if not content.get("bestEffort") or content.get("repeatCount"):
            raise UnsupportedError("jobs that are stored are not served")
        if len(steps) > 1:
            raise UnsupportedError("jobs of several steps are not served")
        step = _decode_step(steps[0])
    except (ValueError, TypeError, AttributeError) as error:
        raise MalformedError(str(error)) from error
    return placer.Submission(job_id, route.queue, spec, step, 0.0, left_s)


def _decode_step(content: dict) -> zonetables.Step:
    used = [name for name in _UNSUPPORTED if content.get(name)]
    if used:
        raise UnsupportedError(f"{', '.join(used)} not served")
    count = int(content.get("count", 0))
    if not 1 <= count <= TASKS_MAX:
        raise MalformedError(f"count must be from 1 to {TASKS_MAX}")
    demand = resources.Resources(
        int(content.get("cpu", 0)),
        int(content.get("memMb", 0)),
        int(content.get("gpu", 0)),
    )
    if min(demand.cpu, demand.memory_mb, demand.gpu) < 0:
        raise MalformedError("demands must not be negative")
    return zonetables.Step(
        count,
        demand,
        float(content.get("estimateMs", 0)) / 1000,
        str(content.get("requirements", "")),
    )


class Ingress:
    """The ASGI application on the address that callers reach.

    The dispatcher provides `configuration`, `intake`, `wake`, `pending`,
    `is_stopping` and `log`.
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
        route = config.find(host, path)
        if route is None and ":" in host:
            route = config.find(host.rpartition(":")[0], path)
        if route is None:
            await self._reply(send, 404)
            return
        rest = path[len(route.prefix) :]
        if scope["method"] == "GET" and not rest:
            count = self._dispatcher.pending(route.queue.name)
            await self._reply(send, 200, b'{"pending":%d}' % count)
        elif not _JOB_ID.fullmatch(rest):
            await self._reply(send, 400)
        elif scope["method"] == "POST":
            await self._submit(rest, route, headers, receive, send)
        elif scope["method"] == "DELETE":
            known = self._dispatcher.intake.cancel(rest)
            self._dispatcher.wake()
            await self._reply(send, 200 if known else 410)
        elif scope["method"] == "GET":
            await self._state(rest, send)
        else:
            await self._reply(send, 405)

    async def _state(self, job_id: str, send) -> None:
        if job_id in self._dispatcher.intake.requests:
            await self._reply(send, 200, b'{"state":"running"}')
        else:
            await self._reply(send, 410)

    async def _submit(self, job_id, route, headers, receive, send) -> None:
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
        answer = await self._wait(submission, receive)
        if answer is not None:
            await self._answer(send, submission, answer, received_at)

    async def _reject(
        self, send, job_id, status, error, retry_after_s=0
    ) -> None:
        self._dispatcher.log(
            events.Event.REQUEST_REJECTED,
            job=job_id,
            status=status,
            reason=str(error),
        )
        await self._reply(send, status, b"", retry_after_s)

    async def _wait(self, submission, receive) -> intake.Answer | None:
        """Returns the answer; None if the caller left before it."""
        found = []
        done = trio.Event()

        def notify(answer: intake.Answer) -> None:
            found.append(answer)
            done.set()

        async def watch() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass
            done.set()

        requests = self._dispatcher.intake
        now = self._dispatcher.now()
        requests.receive(submission, notify, now)
        self._dispatcher.wake()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await done.wait()
                nursery.cancel_scope.cancel()
        finally:
            if not found:
                requests.leave(submission.job_id, notify)
                self._dispatcher.wake()
        return found[0] if found else None

    async def _answer(
        self,
        send,
        submission: placer.Submission,
        answer: intake.Answer,
        received_at: float,
    ) -> None:
        status = _STATUS[answer.kind]
        retry_after_s = 0
        body = b""
        if answer.kind == intake.AnswerKind.NOT_RUN:
            if answer.reason == "overloaded":
                status = _TOO_BUSY
            retry_after_s = max(1, math.ceil(answer.retry_after_s))
        elif status == 200:
            body = b'{"state":"%s"}' % answer.kind.value.encode()
        self._dispatcher.answered(
            submission, status, answer, self._dispatcher.now() - received_at
        )
        await self._reply(send, status, body, retry_after_s)

    async def _reply(
        self, send, status: int, body: bytes = b"", retry_after_s: int = 0
    ) -> None:
        headers = [_JSON]
        if retry_after_s:
            headers.append((b"retry-after", b"%d" % retry_after_s))
        if self._dispatcher.is_stopping:
            headers.append((b"connection", b"close"))
        await asgi.reply(send, status, body, headers)


def _time_left_s(headers: dict, route: routes.Route) -> float:
    """Returns how long the caller waits, in s.

    The route's timeout is the operator's default for callers that don't say.
    """
    raw = headers.get(b"deadline-ms", b"")
    if not raw:
        return route.timeout_s or DEFAULT_DEADLINE_S
    try:
        return float(raw) / 1000
    except ValueError as error:
        raise MalformedError(f"Deadline-Ms: {error}") from error


async def _read_body(receive, limit: int) -> bytes | None:
    """Reads a request body; None if it is over the limit."""
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
    """The ASGI application that the balancer asks."""

    def __init__(self, dispatcher):
        self._dispatcher = dispatcher

    async def __call__(self, scope, receive, send) -> None:
        """Answers 200 while new connections are welcome."""
        ok = scope["path"] == "/acacialine/readyz"
        ready = ok and self._dispatcher.is_ready
        status = 200 if ready else (503 if ok else 404)
        await asgi.reply(send, status, b"", [])
