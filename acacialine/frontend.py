"""The client API: authentication, submission ids, admission and answers."""

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

TASKS_PER_SLICE = 100  # tasks built between two checkpoints of the event loop
DEADLINE_SLACK_S = 0.005
TOKEN_CACHE_SIZE = 1024


@attrs.frozen
class Request:
    """A client request, received over HTTP or forwarded by a peer.

    Attributes:
        target: Path and query.
        headers: Header values by lower-case name.
        arrived_at: When it arrived at this entry, by the local clock.
        forwarded: Whether another entry forwarded it.
        too_large: Whether the body exceeded the limit and was discarded.
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
    """The HTTP response to a client request."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen(eq=False)
class _SubmitRequest:
    """A submission whose team is authenticated and whose id is parsed."""

    request: Request
    document: documents.TeamDocument
    submission: ids.SubmissionId
    digest: bytes


Forwarder = collections.abc.Callable[
    [str, Request], collections.abc.Awaitable[Reply]
]


@attrs.define(eq=False)
class Frontend:
    """Serves the client requests of one entry.

    Attributes:
        forward: Sends a request to a peer and returns the peer's reply.
        waiters: Event that is set when a job is answered, by job.
        in_flight: HTTP requests that are not yet fully answered.
    """

    core: core_lib.Core
    wake: collections.abc.Callable[[], None]
    forward: Forwarder
    waiters: dict[tables_lib.Job, trio.Event] = attrs.field(factory=dict)
    in_flight: int = 0
    _token_cache: dict[str, tuple[int, str]] = attrs.field(factory=dict)

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def handle(self, request: Request) -> Reply:
        """Serves one client request, received here or forwarded."""
        path, _, query = request.target.partition("?")
        if path == "/health":
            return self._serve_health()
        if path == "/v1/coordinator" and request.method == "GET":
            return self._serve_coordinator()
        if not self._tables.configuration.documents:
            # No team document is loaded yet, so the request cannot be
            # authenticated; nothing of it is recorded or forwarded.
            submission_id = request.headers.get("submission-id", "")
            return self._reply(
                submissions.coordinator_gone_answer(self._tables, submission_id)
            )
        document = self._authenticate(request)
        if document is None:
            return self._reply(self._unauthorized_answer(request))
        if request.method == "POST" and path == "/v1/jobs":
            return await self._submit(request, document, "")
        if request.method == "POST" and path.startswith("/v1/tasks/"):
            kind = urllib.parse.unquote(path.removeprefix("/v1/tasks/"))
            return await self._submit(request, document, kind)
        if path.startswith("/v1/jobs/"):
            submission_id = urllib.parse.unquote(path.removeprefix("/v1/jobs/"))
            return await self._serve_job(request, document, submission_id)
        return self._reply(_not_found_answer("no such resource"))

    def _serve_health(self) -> Reply:
        healthy = bool(
            self._tables.configuration.documents and not self._tables.draining
        )
        status = 200 if healthy else 503
        state = b"ok" if healthy else b"draining"
        return Reply(status, {"content-type": "text/plain"}, state)

    def _serve_coordinator(self) -> Reply:
        if self._tables.draining:
            # Clients must not use the prefix of an entry that is about to
            # exit, because their jobs may end with the outcome `unknown`.
            return Reply(503, {"content-type": "text/plain"}, b"draining")
        body = msgspec.json.encode({"prefix": submissions.prefix(self._tables)})
        return Reply(200, {"content-type": answers.JSON_TYPE}, body)

    def _authenticate(self, request: Request) -> documents.TeamDocument | None:
        scheme, _, token = request.headers.get("authorization", "").partition(
            " "
        )
        if scheme.lower() != "bearer" or not token:
            return None
        configuration = self._tables.configuration
        cached = self._token_cache.get(token)
        if cached and cached[0] == configuration.offset:
            return configuration.documents.get(cached[1])
        for document in configuration.documents.values():
            if document.accepts_token(token):
                if len(self._token_cache) >= TOKEN_CACHE_SIZE:
                    self._token_cache.clear()
                self._token_cache[token] = (configuration.offset, document.team)
                return document
        return None

    def _unauthorized_answer(self, request: Request) -> tables_lib.JobAnswer:
        # A retry under the same id may be accepted once the token is known,
        # so only a request without an id is reported as not run.
        has_id = "submission-id" in request.headers
        outcome = errors.Outcome.UNKNOWN if has_id else errors.Outcome.NOT_RUN
        return answers.error_answer(
            401,
            outcome,
            errors.Code.UNAUTHORIZED,
            "a bearer token of a team is required",
        )

    async def _submit(
        self, request: Request, document: documents.TeamDocument, kind: str
    ) -> Reply:
        submission = self._parse_or_issue_id(request)
        if isinstance(submission, tables_lib.JobAnswer):
            return self._reply(submission)
        digest = ids.digest(kind.encode(), request.body)
        if request.too_large:
            digest = b""
        submit_request = _SubmitRequest(request, document, submission, digest)
        resolution = self.core.resolve(
            document.team, submission, digest if digest else None
        )
        if isinstance(resolution, submissions.NewSubmission):
            resolution = await self._admit(submit_request, kind)
        else:
            self._log_duplicate(resolution, str(submission))
        return await self._respond(resolution, request, kind)

    def _log_duplicate(
        self, resolution: submissions.Resolution, submission_id: str
    ) -> None:
        """Logs a request whose id is already running or answered."""
        match resolution:
            case submissions.Attach():
                event = events.Event.JOB_ATTACHED
            case submissions.Answered():
                event = events.Event.JOB_REPLAYED
            case _:
                return
        actions.log_decision(self._tables, event, job=submission_id)
        self.wake()

    def _parse_or_issue_id(
        self, request: Request
    ) -> ids.SubmissionId | tables_lib.JobAnswer:
        """Returns the id of a request, a new one if the header is absent.

        For an invalid id, returns the error answer.
        """
        tables = self._tables
        header = request.headers.get("submission-id")
        if header is None:
            return ids.SubmissionId(
                tables.incarnation, tables.epoch, ids.new_key()
            )
        if ids.is_key(header):
            return answers.error_answer(
                409,
                errors.Outcome.NOT_RUN,
                errors.Code.PREFIX_REQUIRED,
                "send Submission-Id: <prefix>/<key>",
                prefix=submissions.prefix(tables),
            )
        try:
            return ids.parse_submission_id(header)
        except ValueError as error:
            return answers.error_answer(
                400,
                errors.Outcome.NOT_RUN,
                errors.Code.INVALID_ID,
                f"Submission-Id: {error}",
                prefix=submissions.prefix(tables),
            )

    async def _admit(
        self, submit_request: _SubmitRequest, kind: str
    ) -> submissions.Resolution:
        """Validates a new submission, builds its job and admits or refuses it.

        Building yields to the event loop every `TASKS_PER_SLICE` tasks.
        """
        refusal = _body_size_refusal(submit_request.request)
        if refusal is not None:
            return self._refuse(submit_request, refusal)
        try:
            draft = self._new_draft(submit_request, kind)
        except requests.TooManyTasksError as error:
            code = errors.Code.TOO_MANY_TASKS
            return self._refuse(
                submit_request, admission.Refusal(413, code, str(error))
            )
        except requests.InvalidRequestError as error:
            code = errors.Code.INVALID_REQUEST
            message = f"{len(error.findings)} finding(s)"
            return self._refuse(
                submit_request,
                admission.Refusal(400, code, message),
                error.findings,
            )
        job = admission.new_job(self._tables, draft)
        while not admission.add_tasks(
            self._tables, draft, job, TASKS_PER_SLICE
        ):
            await trio.lowlevel.checkpoint()
        resolution = self.core.admit(draft, job, clock.now())
        self.wake()
        return resolution

    def _new_draft(
        self, submit_request: _SubmitRequest, kind: str
    ) -> admission.PendingSubmission:
        request = submit_request.request
        if kind:
            task = requests.TaskRequest(msgspec.Raw(request.body or b"null"))
            job_request = requests.JobRequest([task], kind)
            requests.check_job(job_request, submit_request.document)
        else:
            job_request = requests.parse_job(
                request.body, submit_request.document
            )
        header = request.headers.get("deadline-ms")
        deadline_ms = requests.deadline_ms(
            job_request, header, submit_request.document
        )
        return admission.PendingSubmission(
            submit_request.submission,
            submit_request.digest,
            job_request,
            submit_request.document,
            deadline_ms,
            request.arrived_at,
            len(request.body),
        )

    def _refuse(
        self,
        submit_request: _SubmitRequest,
        refusal: admission.Refusal,
        findings: list[str] | None = None,
    ) -> submissions.Resolution:
        """Refuses a submission unless its id is already in use."""
        resolution = self.core.resolve(
            submit_request.document.team,
            submit_request.submission,
            submit_request.digest or None,
        )
        if not isinstance(resolution, submissions.NewSubmission):
            return resolution
        answer = admission.refuse_id(
            self._tables,
            submit_request.document.team,
            submit_request.submission,
            submit_request.digest,
            refusal,
            findings,
        )
        self.wake()
        return submissions.Answered(answer)

    async def _respond(
        self, resolution: submissions.Resolution, request: Request, kind: str
    ) -> Reply:
        """Builds the reply for a resolved id.

        Waits while the job runs; forwards if a peer coordinates the id.
        """
        match resolution:
            case submissions.Attach(job):
                await self._wait_for_answer(
                    job, self._remaining_wait_s(request)
                )
                answer = job.answer or _still_running_answer(job)
                return self._reply(answer, job.submission_id, kind)
            case submissions.Answered(answer):
                submission_id = request.headers.get("submission-id", "")
                return self._reply(answer, submission_id, kind)
            case submissions.Forward(peer_id):
                return await self._forward(peer_id, request)
        raise AssertionError(resolution)

    def _remaining_wait_s(self, request: Request) -> float:
        """Returns how long a request may still wait for an answer, in s."""
        try:
            header_ms = float(request.headers.get("deadline-ms", "inf"))
        except ValueError:
            return float("inf")
        margin_ms = self._tables.settings.submissions.deadline_margin_ms
        waited_s = clock.now() - request.arrived_at
        return max(0.0, (header_ms - margin_ms) / 1000 - waited_s)

    async def _wait_for_answer(
        self, job: tables_lib.Job, wait_limit_s: float
    ) -> None:
        if job.answer is None:
            event = self.waiters.setdefault(job, trio.Event())
            # The slack lets the job's own deadline fire first when this
            # request created the job; a duplicate request may have less time
            # left.
            with trio.move_on_after(wait_limit_s + DEADLINE_SLACK_S):
                await event.wait()

    def finish_job(self, job: tables_lib.Job) -> None:
        """Wakes the requests that wait for a job's answer."""
        event = self.waiters.pop(job, None)
        if event is not None:
            event.set()

    async def _forward(self, peer_id: str, request: Request) -> Reply:
        submission_id = request.headers.get("submission-id", "")
        if request.forwarded:
            # The forwarding entry assumed that this entry coordinates the id.
            # A request is forwarded at most once.
            return self._reply(
                submissions.coordinator_gone_answer(self._tables, submission_id)
            )
        actions.log_decision(
            self._tables,
            events.Event.JOB_FORWARDED,
            job=submission_id,
            to=peer_id,
        )
        return await self.forward(peer_id, request)

    async def _serve_job(
        self,
        request: Request,
        document: documents.TeamDocument,
        submission_id: str,
    ) -> Reply:
        """Serves `GET` and `DELETE` of one job."""
        try:
            submission = ids.parse_submission_id(submission_id)
        except ValueError:
            return self._reply(_not_found_answer("no such job"))
        resolution = self.core.resolve(document.team, submission, None)
        match resolution:
            case submissions.NewSubmission():
                return self._reply(_not_found_answer("no such job"))
            case submissions.Attach(job):
                if request.method == "DELETE":
                    self.core.cancel(job, clock.now())
                    self.wake()
                    return self._reply(job.answer, submission_id)
                if request.method == "GET":
                    return _running_reply(job)
                return self._reply(_not_found_answer("no such resource"))
            case submissions.Answered(answer):
                return self._reply(answer, submission_id)
            case submissions.Forward(peer_id):
                return await self._forward(peer_id, request)
        raise AssertionError(resolution)

    def _reply(
        self,
        answer: tables_lib.JobAnswer,
        submission_id: str = "",
        kind: str = "",
    ) -> Reply:
        headers = {
            "content-type": answers.JSON_TYPE,
            "outcome": answer.outcome.value,
            "submission-prefix": submissions.prefix(self._tables),
        }
        if submission_id:
            headers["submission-id"] = submission_id
        if answer.retry_after_s:
            headers["retry-after"] = str(max(1, round(answer.retry_after_s)))
            retry_after_ms = round(answer.retry_after_s * 1000)
            headers["retry-after-ms"] = str(retry_after_ms)
        body = answer.body
        if kind and answer.outcome == errors.Outcome.COMPLETE:
            body, content_type = answers.single_task_result(answer)
            headers["content-type"] = content_type or answers.JSON_TYPE
        return Reply(answer.status, headers, body)


def _body_size_refusal(request: Request) -> admission.Refusal | None:
    if request.too_large:
        code = errors.Code.BODY_TOO_LARGE
        return admission.Refusal(413, code, "the body is too large")
    return None


def _not_found_answer(message: str) -> tables_lib.JobAnswer:
    return answers.error_answer(
        404, errors.Outcome.UNKNOWN, errors.Code.NOT_FOUND, message
    )


def _still_running_answer(job: tables_lib.Job) -> tables_lib.JobAnswer:
    return answers.error_answer(
        504,
        errors.Outcome.UNKNOWN,
        errors.Code.DEADLINE,
        "the deadline of this copy passed while the job is running",
        submission_id=job.submission_id,
    )


def _running_reply(job: tables_lib.Job) -> Reply:
    finished_count = len(job.tasks) - job.unfinished
    body = msgspec.json.encode(
        {
            "id": job.submission_id,
            "state": "running",
            "tasks": len(job.tasks),
            "done": finished_count,
        }
    )
    headers = {"content-type": answers.JSON_TYPE}
    return Reply(202, headers, body)


def new_asgi_app(frontend: Frontend, max_body_bytes: int):
    """Returns the ASGI application of the client API."""

    async def app(scope, receive, send):
        # A request is in flight until its whole response has been sent.
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
        body, read_result = await _read_body(receive, max_body_bytes)
        if read_result == "disconnected":
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
            too_large=read_result == "too large",
        )
        reply = await frontend.handle(request)
        close_connection = (
            frontend.core.tables.closing_connections or request.too_large
        )
        await _send_reply(send, reply, close_connection)

    return asgi.http_only(app)


async def _read_body(receive, limit: int) -> tuple[bytes, str]:
    """Reads a request body up to the limit.

    Returns:
        The body, and `complete`, `too large` or `disconnected`. The body is
        empty unless it is complete.
    """
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"", "disconnected"
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > limit:
            return b"", "too large"
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks), "complete"


async def _send_reply(send, reply: Reply, close_connection: bool) -> None:
    headers = [
        (name.encode(), value.encode("latin-1"))
        for name, value in reply.headers.items()
    ]
    if close_connection:
        headers.append((b"connection", b"close"))
    await asgi.send_response(send, reply.status, reply.body, headers)
