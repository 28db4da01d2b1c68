"""Calls to peers: forwarded client requests and relayed task starts."""

import attrs
import msgspec
import trio

from acacialine import answers
from acacialine import backendconnections
from acacialine import clock
from acacialine import core as core_lib
from acacialine import errors
from acacialine import frontend as frontend_lib
from acacialine import links
from acacialine import messages
from acacialine import submissions
from acacialine import tables as tables_lib

FORWARD_DEFAULT_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 2.0

_UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN
_NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED


@attrs.frozen
class _DeadlineOnly:
    """The part of a job's JSON body that a forwarding entry decodes."""

    deadline_ms: float | None = None


@attrs.define(eq=False)
class PeerCalls:
    """Sends requests to the peers of one entry and returns their replies."""

    core: core_lib.Core
    identity: links.Identity
    _pools: dict[str, links.CallPool] = attrs.field(factory=dict)

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    def pool(self, peer_id: str) -> links.CallPool:
        """Returns the pool of call links to a peer.

        Raises:
            links.NotSentError: The peer is no longer known.
        """
        call_pool = self._pools.get(peer_id)
        if call_pool is None:
            peer = self._tables.peers.get(peer_id)
            if peer is None:
                raise links.NotSentError("the peer is no longer a member")
            call_pool = links.CallPool(
                self.identity, peer_id, peer.incarnation.address
            )
            self._pools[peer_id] = call_pool
        return call_pool

    async def drop(self, peer_id: str) -> None:
        """Closes the call links to a peer that is no longer known."""
        call_pool = self._pools.pop(peer_id, None)
        if call_pool:
            await call_pool.aclose()

    async def forward(
        self, peer_id: str, request: frontend_lib.Request
    ) -> frontend_lib.Reply:
        """Forwards a request to its coordinator and returns the reply."""
        remaining_s = _remaining_time_s(request)
        headers = dict(request.headers)
        if "deadline-ms" in headers:
            headers["deadline-ms"] = str(max(1, int(remaining_s * 1000)))
        call = messages.ForwardCall(
            request.method,
            request.target,
            headers.get("authorization", ""),
            [
                messages.Header(name, value)
                for name, value in headers.items()
                if name in ("submission-id", "deadline-ms")
            ],
            request.body,
        )
        submission_id = request.headers.get("submission-id", "")
        try:
            with trio.fail_after(remaining_s):
                reply = await self.pool(peer_id).call(call)
        except links.NotSentError:
            answer = submissions.coordinator_gone_answer(
                self._tables, submission_id
            )
        except (links.NoReplyError, trio.TooSlowError):
            answer = _forward_broken_answer(submission_id)
        else:
            if isinstance(reply, messages.ForwardReply):
                reply_headers = {h.name: h.value for h in reply.headers}
                return frontend_lib.Reply(
                    reply.status, reply_headers, reply.body
                )
            answer = _forward_broken_answer(submission_id)
        return frontend_lib.Reply(
            answer.status,
            {
                "content-type": answers.JSON_TYPE,
                "outcome": answer.outcome.value,
                "submission-id": submission_id,
                "submission-prefix": submissions.prefix(self._tables),
            },
            answer.body,
        )

    async def serve_forward(
        self, call: messages.ForwardCall, frontend: frontend_lib.Frontend
    ) -> messages.ForwardReply:
        """Handles a request that another entry forwarded."""
        headers = {h.name: h.value for h in call.headers}
        headers["authorization"] = call.authorization
        request = frontend_lib.Request(
            call.method,
            call.path,
            headers,
            call.body,
            clock.now(),
            forwarded=True,
        )
        reply = await frontend.handle(request)
        return messages.ForwardReply(
            reply.status,
            [messages.Header(n, v) for n, v in reply.headers.items()],
            reply.body,
        )

    async def relay(
        self, task: tables_lib.Task, grant: tables_lib.Grant
    ) -> backendconnections.AttemptResult:
        """Starts a task through the broker of its backend server."""
        now = clock.now()
        if now >= grant.use_until or now >= task.job.deadline:
            return backendconnections.AttemptResult(
                _NOT_STARTED, reason="expired"
            )
        remaining_s = task.job.deadline - now
        call = messages.RelayCall(
            self._tables.my_id,
            grant.seq,
            grant.backend_id,
            task.task_id,
            task.group.kind,
            max(1, int(remaining_s * 1000)),
            max(1, int(min(remaining_s, grant.lease_until - now) * 1000)),
            task.payload,
        )
        try:
            reply = await self.pool(grant.broker).call(call)
        except links.NotSentError as error:
            return backendconnections.AttemptResult(
                _NOT_STARTED, reason=str(error)
            )
        except links.NoReplyError as error:
            return backendconnections.AttemptResult(_UNKNOWN, reason=str(error))
        if not isinstance(reply, messages.RelayReply):
            return backendconnections.AttemptResult(
                _UNKNOWN, reason="unexpected type of relay reply"
            )
        return _result_from_reply(reply)

    async def stop_relayed(
        self, task: tables_lib.Task, grant: tables_lib.Grant
    ) -> None:
        """Asks the broker to stop a relayed task."""
        call = messages.StopCall(grant.backend_id, task.task_id)
        with trio.move_on_after(STOP_TIMEOUT_S):
            try:
                await self.pool(grant.broker).call(call)
            except errors.PeerError:
                return


def _result_from_reply(
    reply: messages.RelayReply,
) -> backendconnections.AttemptResult:
    try:
        outcome = tables_lib.AttemptOutcome(reply.outcome)
    except ValueError:
        return backendconnections.AttemptResult(
            _UNKNOWN, reason="unknown outcome in relay reply"
        )
    answer = None
    if outcome == tables_lib.AttemptOutcome.ANSWERED:
        answer = tables_lib.BackendAnswer(
            reply.status, reply.body, reply.content_type
        )
    return backendconnections.AttemptResult(outcome, answer, reply.reason)


def _remaining_time_s(request: frontend_lib.Request) -> float:
    """Returns how long a forwarded request may still take, in s.

    The limit is the request's own deadline, if it states a valid one.
    """
    header = request.headers.get("deadline-ms")
    allowed_ms = None
    try:
        if header is not None:
            allowed_ms = float(header)
        elif request.body:
            body = msgspec.json.decode(request.body, type=_DeadlineOnly)
            allowed_ms = body.deadline_ms
    except (ValueError, msgspec.DecodeError):
        allowed_ms = None
    allowed_s = FORWARD_DEFAULT_TIMEOUT_S
    if allowed_ms is not None:
        allowed_s = max(allowed_ms / 1000, 0.001)
    return max(0.001, allowed_s - (clock.now() - request.arrived_at))


def _forward_broken_answer(submission_id: str) -> tables_lib.JobAnswer:
    return answers.error_answer(
        504,
        errors.Outcome.UNKNOWN,
        errors.Code.FORWARD_BROKEN,
        "the coordinator may have this request; send it again to attach",
        submission_id=submission_id,
        forwarded=True,
    )
