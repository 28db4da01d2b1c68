"""Requests of callers: authentication, ids, admission and answers."""

import collections.abc
import urllib.parse

import attrs
import msgspec
import trio

from acacialine import actions
from acacialine import admission
from acacialine import answers
from acacialine import asgi
from acacialine import clock
from acacialine import core as core_lib
from acacialine import documents
from acacialine import errors
from acacialine import events
from acacialine import ids
from acacialine import requests
from acacialine import submissions
from acacialine import tables as tables_lib

TASKS_PER_SLICE = 100
DEADLINE_SLACK_S = 0.005
TOKENS_CACHED = 1024


@attrs.frozen
class Request:
    """A caller's request, as received here or forwarded.

    Attributes:
        target: Path and query.
        headers: Header values by lower-case name.
        arrived_at: When it arrived at the first entry, by the local clock.
        forwarded: Whether another entry forwarded it.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float
    forwarded: bool = False
    too_large: bool = False


@attrs.frozen
class Reply:
    """What a caller gets."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen(eq=False)
class _Submission:
    """A submission request whose team and id are known."""

    request: Request
    document: documents.TeamDocument
    submission: ids.SubmissionId
    digest: bytes


Forwarder = collections.abc.Callable[
    [str, Request], collections.abc.Awaitable[Reply]
]


@attrs.define(eq=False)
class Frontend:
    """Answers callers of one entry."""

    core: core_lib.Core
    wake: collections.abc.Callable[[], None]
    forward: Forwarder
    waiters: dict[tables_lib.Job, trio.Event] = attrs.field(factory=dict)
    in_flight: int = 0
    _teams: dict[str, tuple[int, str]] = attrs.field(factory=dict)

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def handle(self, request: Request) -> Reply:
        """Answers one request."""
        path, _, query = request.target.partition("?")
        if path == "/health":
            return self._health()
        if path == "/v1/coordinator" and request.method == "GET":
            return self._coordinator()
        if not self._tables.fold.documents:
            # No team is known yet; nothing of this copy is kept or handed on.
            text = request.headers.get("submission-id", "")
            return self._reply(submissions.gone(self._tables, text))
        document = self._authenticate(request)
        if document is None:
            return self._reply(self._unauthorized(request))
        if request.method == "POST" and path == "/v1/jobs":
            return await self._submit(request, document, "")
        if request.method == "POST" and path.startswith("/v1/tasks/"):
            kind = urllib.parse.unquote(path.removeprefix("/v1/tasks/"))
            return await self._submit(request, document, kind)
        if path.startswith("/v1/jobs/"):
            text = urllib.parse.unquote(path.removeprefix("/v1/jobs/"))
            return await self._existing(request, document, text)
        return self._reply(_not_found("no such resource"))

    def _health(self) -> Reply:
        healthy = bool(
            self._tables.fold.documents and not self._tables.draining
        )
        status = 200 if healthy else 503
        state = b"ok" if healthy else b"draining"
        return Reply(status, {"content-type": "text/plain"}, state)

    def _coordinator(self) -> Reply:
        if self._tables.draining:
            # An id that names a process about to exit may end unknown.
            return Reply(503, {"content-type": "text/plain"}, b"draining")
        body = msgspec.json.encode({"prefix": submissions.prefix(self._tables)})
        return Reply(200, {"content-type": answers.JSON_TYPE}, body)

    def _authenticate(self, request: Request) -> documents.TeamDocument | None:
        scheme, _, token = request.headers.get("authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not token:
            return None
        fold = self._tables.fold
        cached = self._teams.get(token)
        if cached and cached[0] == fold.offset:
            return fold.documents.get(cached[1])
        for document in fold.documents.values():
            if document.accepts_token(token):
                if len(self._teams) >= TOKENS_CACHED:
                    self._teams.clear()
                self._teams[token] = (fold.offset, document.team)
                return document
        return None

    def _unauthorized(self, request: Request) -> tables_lib.JobAnswer:
        # A later copy of an id may be accepted once the token is known, so
        # only a request without an id can be said not to run.
        named = "submission-id" in request.headers
        outcome = errors.Outcome.UNKNOWN if named else errors.Outcome.NOT_RUN
        return answers.error(
            401,
            outcome,
            errors.Code.UNAUTHORIZED,
            "a bearer token of a team is required",
        )

    async def _submit(
        self, request: Request, document: documents.TeamDocument, kind: str
    ) -> Reply:
        submission = self._submission_id(request)
        if isinstance(submission, tables_lib.JobAnswer):
            return self._reply(submission)
        digest = ids.digest(kind.encode(), request.body)
        if request.too_large:
            digest = b""
        given = _Submission(request, document, submission, digest)
        found = self.core.resolve(
            document.team, submission, digest if digest else None
        )
        if isinstance(found, submissions.Fresh):
            found = await self._admit(given, kind)
        else:
            self._note_copy(found, str(submission))
        return await self._settle(found, request, kind)

    def _note_copy(self, found: submissions.Resolution, text: str) -> None:
        """Logs that a request is a copy of one seen before."""
        match found:
            case submissions.Attach():
                event = events.Event.JOB_ATTACHED
            case submissions.Answered():
                event = events.Event.JOB_REPLAYED
            case _:
                return
        actions.log_decision(self._tables, event, job=text)
        self.wake()

    def _submission_id(
        self, request: Request
    ) -> ids.SubmissionId | tables_lib.JobAnswer:
        """Returns the id of a request, a new one if it names none."""
        tables = self._tables
        text = request.headers.get("submission-id")
        if text is None:
            return ids.SubmissionId(tables.me, tables.epoch, ids.new_key())
        if ids.is_key(text):
            return answers.error(
                409,
                errors.Outcome.NOT_RUN,
                errors.Code.PREFIX_REQUIRED,
                "send Submission-Id: <prefix>/<key>",
                prefix=submissions.prefix(tables),
            )
        try:
            return ids.parse_submission_id(text)
        except ValueError as error:
            return answers.error(
                400,
                errors.Outcome.NOT_RUN,
                errors.Code.INVALID_ID,
                f"Submission-Id: {error}",
                prefix=submissions.prefix(tables),
            )

    async def _admit(
        self, given: _Submission, kind: str
    ) -> submissions.Resolution:
        """Checks a fresh submission and asks for its admission."""
        refusal = _precheck(given.request)
        if refusal is not None:
            return self._refuse(given, refusal)
        try:
            draft = self._draft(given, kind)
        except requests.TooManyTasks as error:
            code = errors.Code.TOO_MANY_TASKS
            return self._refuse(given, admission.Refusal(413, code, str(error)))
        except requests.RequestFindings as error:
            code = errors.Code.INVALID_REQUEST
            message = f"{len(error.findings)} finding(s)"
            return self._refuse(
                given, admission.Refusal(400, code, message), error.findings
            )
        job = admission.new_job(self._tables, draft)
        while not admission.add_tasks(
            self._tables, draft, job, TASKS_PER_SLICE
        ):
            await trio.lowlevel.checkpoint()
        found = self.core.admit(draft, job, clock.now())
        self.wake()
        return found

    def _draft(self, given: _Submission, kind: str) -> admission.Draft:
        request = given.request
        if kind:
            task = requests.TaskRequest(msgspec.Raw(request.body or b"null"))
            wanted = requests.JobRequest([task], kind)
            requests.check_job(wanted, given.document)
        else:
            wanted = requests.parse_job(request.body, given.document)
        header = request.headers.get("deadline-ms")
        deadline_ms = requests.deadline_ms(wanted, header, given.document)
        return admission.Draft(
            given.submission,
            given.digest,
            wanted,
            given.document,
            deadline_ms,
            request.arrived_at,
            len(request.body),
        )

    def _refuse(
        self,
        given: _Submission,
        refusal: admission.Refusal,
        findings: list[str] | None = None,
    ) -> submissions.Resolution:
        """Refuses a submission unless a copy of it got in before."""
        found = self.core.resolve(
            given.document.team, given.submission, given.digest or None
        )
        if not isinstance(found, submissions.Fresh):
            return found
        answer = admission.refuse_id(
            self._tables,
            given.document.team,
            given.submission,
            given.digest,
            refusal,
            findings,
        )
        self.wake()
        return submissions.Answered(answer)

    async def _settle(
        self, found: submissions.Resolution, request: Request, kind: str
    ) -> Reply:
        """Waits for the final answer that a resolution leads to."""
        match found:
            case submissions.Attach(job):
                await self._wait(job, self._patience_s(request))
                answer = job.answer or _still_running(job)
                return self._reply(answer, job.submission_id, kind)
            case submissions.Answered(answer):
                text = request.headers.get("submission-id", "")
                return self._reply(answer, text, kind)
            case submissions.Forward(peer_id):
                return await self._forward(peer_id, request)
        raise AssertionError(found)

    def _patience_s(self, request: Request) -> float:
        """Returns how long a request may wait for a job's answer."""
        try:
            header_ms = float(request.headers.get("deadline-ms", "inf"))
        except ValueError:
            return float("inf")
        margin_ms = self._tables.settings.submissions.deadline_margin_ms
        waited_s = clock.now() - request.arrived_at
        return max(0.0, (header_ms - margin_ms) / 1000 - waited_s)

    async def _wait(self, job: tables_lib.Job, patience_s: float) -> None:
        if job.answer is None:
            event = self.waiters.setdefault(job, trio.Event())
            # The job's own deadline ends it a little earlier if it is the
            # same request; a later copy may have less time left.
            with trio.move_on_after(patience_s + DEADLINE_SLACK_S):
                await event.wait()

    def finish_job(self, job: tables_lib.Job) -> None:
        """Wakes all who wait for a job's answer."""
        event = self.waiters.pop(job, None)
        if event is not None:
            event.set()

    async def _forward(self, peer_id: str, request: Request) -> Reply:
        text = request.headers.get("submission-id", "")
        if request.forwarded:
            # At most one hop: this entry was taken for the coordinator.
            return self._reply(submissions.gone(self._tables, text))
        actions.log_decision(
            self._tables, events.Event.JOB_FORWARDED, job=text, to=peer_id
        )
        return await self.forward(peer_id, request)

    async def _existing(
        self, request: Request, document: documents.TeamDocument, text: str
    ) -> Reply:
        """Answers `GET` and `DELETE` of one job."""
        try:
            submission = ids.parse_submission_id(text)
        except ValueError:
            return self._reply(_not_found("no such job"))
        found = self.core.resolve(document.team, submission, None)
        match found:
            case submissions.Fresh():
                return self._reply(_not_found("no such job"))
            case submissions.Attach(job):
                if request.method == "DELETE":
                    self.core.cancel(job, clock.now())
                    self.wake()
                    return self._reply(job.answer, text)
                if request.method == "GET":
                    return _running(job)
                return self._reply(_not_found("no such resource"))
            case submissions.Answered(answer):
                return self._reply(answer, text)
            case submissions.Forward(peer_id):
                return await self._forward(peer_id, request)
        raise AssertionError(found)

    def _reply(
        self, answer: tables_lib.JobAnswer, text: str = "", kind: str = ""
    ) -> Reply:
        headers = {
            "content-type": answers.JSON_TYPE,
            "outcome": answer.outcome.value,
            "submission-prefix": submissions.prefix(self._tables),
        }
        if text:
            headers["submission-id"] = text
        if answer.retry_after_s:
            headers["retry-after"] = str(max(1, round(answer.retry_after_s)))
            wait_ms = round(answer.retry_after_s * 1000)
            headers["retry-after-ms"] = str(wait_ms)
        body = answer.body
        if kind and answer.outcome == errors.Outcome.COMPLETE:
            body, content_type = answers.single_result(answer)
            headers["content-type"] = content_type or answers.JSON_TYPE
        return Reply(answer.status, headers, body)


def _precheck(request: Request) -> admission.Refusal | None:
    if request.too_large:
        code = errors.Code.BODY_TOO_LARGE
        return admission.Refusal(413, code, "the body is too large")
    return None


def _not_found(message: str) -> tables_lib.JobAnswer:
    return answers.error(
        404, errors.Outcome.UNKNOWN, errors.Code.NOT_FOUND, message
    )


def _still_running(job: tables_lib.Job) -> tables_lib.JobAnswer:
    return answers.error(
        504,
        errors.Outcome.UNKNOWN,
        errors.Code.DEADLINE,
        "the deadline of this copy passed while the job is running",
        submission_id=job.submission_id,
    )


def _running(job: tables_lib.Job) -> Reply:
    done = len(job.tasks) - job.unfinished
    body = msgspec.json.encode(
        {
            "id": job.submission_id,
            "state": "running",
            "tasks": len(job.tasks),
            "done": done,
        }
    )
    headers = {"content-type": answers.JSON_TYPE}
    return Reply(202, headers, body)


def new_asgi_app(frontend: Frontend, max_body_bytes: int):
    """Returns the ASGI application that serves callers."""

    async def app(scope, receive, send):
        # In flight until the last byte of the answer is handed over.
        frontend.in_flight += 1
        try:
            await serve(scope, receive, send)
        finally:
            frontend.in_flight -= 1

    async def serve(scope, receive, send):
        arrived_at = clock.now()
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        body, state = await _read_body(receive, max_body_bytes)
        if state == "gone":
            return
        target = scope["path"]
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("latin-1")
        request = Request(
            scope["method"],
            target,
            headers,
            body,
            arrived_at,
            too_large=state == "too large",
        )
        reply = await frontend.handle(request)
        close = frontend.core.tables.closing or request.too_large
        await _send_reply(send, reply, close)

    return asgi.http_only(app)


async def _read_body(receive, limit: int) -> tuple[bytes, str]:
    """Reads a request body up to the limit.

    Returns:
        The body, and `whole`, `too large` or `gone`.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"", "gone"
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            return b"", "too large"
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks), "whole"


async def _send_reply(send, reply: Reply, close: bool) -> None:
    headers = [
        (name.encode(), value.encode("latin-1"))
        for name, value in reply.headers.items()
    ]
    if close:
        headers.append((b"connection", b"close"))
    await asgi.reply(send, reply.status, reply.body, headers)
