"""Client library: ids, resubmission and deadlines for callers.

A client keeps the id prefix of the entry it talks to. A submission that may
have been accepted is only ever sent again under the same id.
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

RETRY_BASE_S = 0.02
RETRY_MAX_S = 0.5
ATTEMPT_SHARE = 0.5  # part of the time left after which a copy is sent


@attrs.frozen
class Result:
    """What is known of a submission.

    Attributes:
        outcome: Complete, failed, not run or unknown.
        code: The reason code of the last answer.
        results: The result of each task, in order, if complete.
        submission_id: The id under which it was submitted last.
        retry_after_s: When a refused caller should return.
    """

    outcome: errors.Outcome
    code: str
    results: list = attrs.field(factory=list)
    submission_id: str = ""
    message: str = ""
    retry_after_s: float = 0.0


@attrs.define(eq=False)
class _Attempted:
    """What has happened to one submission so far.

    Attributes:
        may_be_known: Whether some copy may have reached a coordinator.
    """

    key: str
    body: bytes
    deadline: float
    text: str = ""
    may_be_known: bool = False


class _NoPrefixError(Exception):
    """An entry gives no prefix, because it is about to stop."""


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
        self._next = 0
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
        """Submits a job and returns what became of it by the deadline.

        Args:
            tasks: Each with `payload` and optionally `kind`, `declared_ms`.
            kind: Kind of the tasks that name none.
            deadline_s: Time within which the answer is wanted.
            idempotent: Tightens the mark of the kinds.
            key: The caller's own key; a random one by default.
        """
        content = {"tasks": list(tasks)}
        if kind is not None:
            content["kind"] = kind
        if idempotent is not None:
            content["idempotent"] = idempotent
        state = _Attempted(
            key or ids.new_key(),
            msgspec.json.encode(content),
            clock.now() + deadline_s,
        )
        return await self._run(state)

    async def _run(self, state: _Attempted) -> Result:
        delay_s = RETRY_BASE_S
        last = self._unknown(state, "no answer before the deadline")
        while clock.now() < state.deadline:
            result = await self._attempt(state)
            if result is not None:
                last = result
                if self._is_final(state, result):
                    return result
            left_s = state.deadline - clock.now()
            await trio.sleep(
                max(0.0, min(delay_s * (0.5 + random.random()), left_s))
            )
            delay_s = min(delay_s * 2, RETRY_MAX_S)
        if state.may_be_known:
            return self._unknown(state, last.message)
        return attrs.evolve(last, outcome=errors.Outcome.NOT_RUN)

    def _unknown(self, state: _Attempted, message: str) -> Result:
        return Result(
            errors.Outcome.UNKNOWN,
            errors.Code.DEADLINE,
            submission_id=state.text,
            message=message,
        )

    def _is_final(self, state: _Attempted, result: Result) -> bool:
        """Decides whether to stop, and prepares the next copy if not."""
        if result.outcome in (
            errors.Outcome.COMPLETE,
            errors.Outcome.FAILED,
        ):
            return True
        if result.outcome == errors.Outcome.NOT_RUN:
            if result.code == errors.Code.DRAINING:
                # True for good under this id, so another one is safe.
                self._move_on(state)
                return False
            return True
        if result.code == errors.Code.COORDINATOR_GONE:
            if not state.may_be_known:
                # No copy reached the old coordinator: this was the first.
                self._prefix = result.message or ""
                state.text = ""
                return False
            return True
        return result.code != errors.Code.FORWARD_BROKEN

    def _move_on(self, state: _Attempted) -> None:
        self._prefix = ""
        self._next += 1
        state.text = ""
        state.may_be_known = False
        state.key = ids.new_key()

    async def _attempt(self, state: _Attempted) -> Result | None:
        """Sends one copy; None if it brought no answer."""
        url = self._urls[self._next % len(self._urls)]
        try:
            if not state.text:
                if not self._prefix:
                    self._prefix = await self._fetch_prefix(url)
                state.text = f"{self._prefix}/{state.key}"
            return await self._send(state, url)
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
            self._next += 1
        return None

    async def _fetch_prefix(self, url: str) -> str:
        with trio.fail_after(2.0):
            response = await self._pool.request("GET", url + "/v1/coordinator")
        if response.status != 200:
            raise _NoPrefixError(f"status {response.status} of {url}")
        return msgspec.json.decode(response.content)["prefix"]

    async def _send(self, state: _Attempted, url: str) -> Result:
        left_s = state.deadline - clock.now()
        headers = {
            "Authorization": f"Bearer {self._token}",
            "Submission-Id": state.text,
            "Deadline-Ms": str(max(1, int(left_s * 1000))),
        }
        # Until an answer proves otherwise, this copy may be accepted.
        known_before = state.may_be_known
        state.may_be_known = True
        try:
            with trio.fail_after(max(left_s, 0.001)):
                response = await self._pool.request(
                    "POST",
                    url + "/v1/jobs",
                    headers=headers,
                    content=state.body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            state.may_be_known = known_before
            raise
        result = _decode(response)
        fields = _headers_of(response)
        prefix = fields.get("submission-prefix", "")
        if result.code == errors.Code.COORDINATOR_GONE:
            # The entry that answered did not hand this copy on.
            state.may_be_known = known_before
            return attrs.evolve(result, message=prefix)
        if prefix and result.outcome == errors.Outcome.COMPLETE:
            self._prefix = prefix
        return result


def _headers_of(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode().lower(): value.decode("latin-1")
        for name, value in response.headers
    }


def _decode(response: httpcore.Response) -> Result:
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
