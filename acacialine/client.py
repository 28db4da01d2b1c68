"""Client library: submits jobs with ids, retries and a deadline.

A client keeps the id prefix of the entry that it sends to. A submission that
may have been accepted is only resent under the same id, so that no job is
accepted twice.
"""

import collections.abc
import random

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import errors
from acacialine import ids

RETRY_BASE_DELAY_S = 0.02
RETRY_MAX_DELAY_S = 0.5
ATTEMPT_SHARE = 0.5  # share of the remaining time after which a copy is sent


@attrs.frozen
class Result:
    """The result of a submission as far as the client knows it.

    Attributes:
        outcome: Complete, failed, not run or unknown.
        code: The reason code of the last answer.
        results: The result of each task, in order, if complete.
        submission_id: The id under which it was submitted last.
        message: Why it is not complete, or the last message of an entry.
        retry_after_s: Delay before a refused job may be submitted again, in s.
    """

    outcome: errors.Outcome
    code: str
    results: list = attrs.field(factory=list)
    submission_id: str = ""
    message: str = ""
    retry_after_s: float = 0.0


@attrs.define(eq=False)
class _Submission:
    """State of one submission until its result is final.

    Attributes:
        key: The part of its id after the prefix.
        body: The encoded job.
        deadline: Time at which the client stops waiting.
        id: Its whole id; empty until the client has a prefix.
        may_be_accepted: Whether a coordinator may have received a copy.
    """

    key: str
    body: bytes
    deadline: float
    id: str = ""
    may_be_accepted: bool = False


class _NoPrefixError(Exception):
    """An entry issues no id prefix, because it is about to stop."""


class Client:
    """Submits jobs of one team to any of several entries."""

    def __init__(
        self,
        urls: collections.abc.Sequence[str],
        token: str,
        ssl_context=None,
    ):
        self._urls = list(urls)
        self._token = token
        self._prefix = ""
        self._url_index = 0
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=256,
            keepalive_expiry=5.0,
            retries=0,
        )

    @property
    def prefix(self) -> str:
        """The id prefix in use; empty before the first answer."""
        return self._prefix

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def submit(
        self,
        tasks: collections.abc.Sequence[dict],
        kind: str | None = None,
        deadline_s: float = 10.0,
        idempotent: bool | None = None,
        key: str | None = None,
    ) -> Result:
        """Submits a job and returns its result as known by the deadline.

        Args:
            tasks: Each with `payload` and optionally `kind`, `declared_ms`.
            kind: Kind of the tasks that name none.
            deadline_s: Longest wait for the answer, in s.
            idempotent: False forbids running tasks twice even if their kinds
                allow it; None leaves it to the kinds.
            key: The key of the submission id; a random one by default.
        """
        job = {"tasks": list(tasks)}
        if kind is not None:
            job["kind"] = kind
        if idempotent is not None:
            job["idempotent"] = idempotent
        submission = _Submission(
            key or ids.new_key(),
            msgspec.json.encode(job),
            clock.now() + deadline_s,
        )
        return await self._submit_until_final(submission)

    async def _submit_until_final(self, submission: _Submission) -> Result:
        delay_s = RETRY_BASE_DELAY_S
        last_result = self._unknown_result(
            submission, "no answer before the deadline"
        )
        while clock.now() < submission.deadline:
            result = await self._send_to_current_entry(submission)
            if result is not None:
                last_result = result
                if self._finish_or_prepare_retry(submission, result):
                    return result
            left_s = submission.deadline - clock.now()
            await trio.sleep(
                max(0.0, min(delay_s * (0.5 + random.random()), left_s))
            )
            delay_s = min(delay_s * 2, RETRY_MAX_DELAY_S)
        if submission.may_be_accepted:
            return self._unknown_result(submission, last_result.message)
        return attrs.evolve(last_result, outcome=errors.Outcome.NOT_RUN)

    def _unknown_result(self, submission: _Submission, message: str) -> Result:
        return Result(
            errors.Outcome.UNKNOWN,
            errors.Code.DEADLINE,
            submission_id=submission.id,
            message=message,
        )

    def _finish_or_prepare_retry(
        self, submission: _Submission, result: Result
    ) -> bool:
        """Returns whether a result is final; if not, prepares the next copy."""
        if result.outcome in (
            errors.Outcome.COMPLETE,
            errors.Outcome.FAILED,
        ):
            return True
        if result.outcome == errors.Outcome.NOT_RUN:
            if result.code == errors.Code.DRAINING:
                # The job will never run under this id, so a new one is safe.
                self._restart_under_new_id(submission)
                return False
            return True
        if result.code == errors.Code.COORDINATOR_GONE:
            if not submission.may_be_accepted:
                # No copy reached the old coordinator, so none was accepted.
                self._prefix = result.message or ""
                submission.id = ""
                return False
            return True
        return result.code != errors.Code.FORWARD_BROKEN

    def _restart_under_new_id(self, submission: _Submission) -> None:
        self._prefix = ""
        self._url_index += 1
        submission.id = ""
        submission.may_be_accepted = False
        submission.key = ids.new_key()

    async def _send_to_current_entry(
        self, submission: _Submission
    ) -> Result | None:
        """Sends one copy of a submission to the current entry.

        Returns:
            The decoded answer; None if there was none, in which case the next
            copy goes to the next entry.
        """
        url = self._urls[self._url_index % len(self._urls)]
        try:
            if not submission.id:
                if not self._prefix:
                    self._prefix = await self._fetch_prefix(url)
                submission.id = f"{self._prefix}/{submission.key}"
            return await self._send(submission, url)
        except (
            _NoPrefixError,
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
            msgspec.DecodeError,
        ):
            self._url_index += 1
        return None

    async def _fetch_prefix(self, url: str) -> str:
        with trio.fail_after(2.0):
            response = await self._pool.request("GET", url + "/v1/coordinator")
        if response.status != 200:
            raise _NoPrefixError(
                f"{url} answered {response.status} to the request for a prefix"
            )
        return msgspec.json.decode(response.content)["prefix"]

    async def _send(self, submission: _Submission, url: str) -> Result:
        left_s = submission.deadline - clock.now()
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Submission-Id": submission.id,
            "Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        # This copy may be accepted unless the answer or error rules that out.
        was_maybe_accepted = submission.may_be_accepted
        submission.may_be_accepted = True
        try:
            with trio.fail_after(max(left_s, 0.001)):
                response = await self._pool.request(
                    "POST",
                    url + "/v1/jobs",
                    headers=headers,
                    content=submission.body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            submission.may_be_accepted = was_maybe_accepted
            raise
        result = _decode_result(response)
        fields = _headers_of(response)
        prefix = fields.get("submission-prefix", "")
        if result.code == errors.Code.COORDINATOR_GONE:
            # The entry that answered did not forward this copy.
            submission.may_be_accepted = was_maybe_accepted
            return attrs.evolve(result, message=prefix)
        if prefix and result.outcome == errors.Outcome.COMPLETE:
            self._prefix = prefix
        return result


def _headers_of(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode().lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _decode_result(response: httpcore.Response) -> Result:
    body = msgspec.json.decode(response.content)
    fields = _headers_of(response)
    return Result(
        errors.Outcome(body.get("outcome", "unknown")),
        body.get("code", "ok"),
        [r["result"] for r in body.get("results", [])],
        body.get("id", fields.get("submission-id", "")),
        body.get("message", ""),
        float(fields.get("retry-after-ms", 0)) / 1000,
    )
