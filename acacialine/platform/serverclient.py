"""HTTP client of one backend server: starts, stops and lists runs.

Three field names of the platform are misleading. `deadlineMs` is the end of the
lease of everything that runs on the server, on the monotonic clock of the
server. `born` identifies its incarnation: the start of its process in ms since
1970. `ackedThrough` is the sequence number of the last ended run that the
server need not list again.
"""

import typing

import attrs
import msgspec
import trio

from acacialine import clock
from acacialine import errors
from acacialine import httppool as httppool_lib
from acacialine import leases
from acacialine import orders
from acacialine import ordertimeouts
from acacialine import zonetables

CONNECT_TIMEOUT_S = 0.25  # connecting within a zone takes under 1 ms
# An order that got no response in the time of `ordertimeouts` is overdue; until
# this one a late response still counts and keeps its connection.
START_TIMEOUT_S = 0.25
STOP_TIMEOUT_S = 0.25
POLL_TIMEOUT_S = 0.3  # added to the time that a poll waits for a run to end
POLL_OVERDUE_S = 0.05  # the same; a poll is then sent on another connection
# The first poll of a connection / the time after which an order is overdue.
FIRST_POLL_TIMEOUT_FACTOR = 2.0
START_MAX_AGE_S = 0.15  # a start request older than this is not sent
# The clock of a server that was read longer ago dates no lease of a poll.
MAX_CLOCK_AGE_S = httppool_lib.IDLE_EXPIRY_S

_END_KINDS = {
    "done": zonetables.EndKind.DONE,
    "failed": zonetables.EndKind.FAILED,
    "stopped": zonetables.EndKind.STOPPED,
    "lapsed": zonetables.EndKind.LAPSED,
    "broken": zonetables.EndKind.BROKEN,
    "alone": zonetables.EndKind.BROKEN,
}
_OUTCOME_BY_REASON = {
    "fence": orders.StartOutcome.FENCED,
    "old": orders.StartOutcome.OLD_NUMBER,
    "room": orders.StartOutcome.NO_CAPACITY,
    "late": orders.StartOutcome.NOT_STARTED,
    "ticket": orders.StartOutcome.NOT_STARTED,
}


class FencedError(Exception):
    """The backend server has accepted a higher epoch."""


class PollError(Exception):
    """A poll of a backend server failed."""


class RefusedError(PollError):
    """The address of the backend server refuses connections."""


class ReplacedError(PollError):
    """Another incarnation has the address of the backend server."""


class UnansweredError(PollError):
    """A poll got no response in time; its server may be well."""


class OutdatedError(PollError):
    """The server is well, but has restarted since or was taken for silent."""


class _ReplacedBeforeCallError(httppool_lib.NotSentError):
    """The first poll of a new connection found another incarnation."""


class _RestartedBeforeCallError(httppool_lib.NotSentError):
    """The first poll of a new connection showed a restart."""


class Observer(typing.Protocol):
    """Receives the results of the requests; implemented by the placer host."""

    def may_extend_leases(self) -> bool:
        """Returns whether polls may carry a lease now."""

    def handle_start_outcome(
        self, run: zonetables.Run, outcome: orders.StartOutcome
    ) -> None:
        """Handles what the response to a start request proves."""

    def handle_stop_outcome(self, run: zonetables.Run, confirmed: bool) -> None:
        """Handles whether the response to a stop request confirmed it."""

    def handle_unanswered_stop(self, run: zonetables.Run) -> None:
        """Handles that a stop request got no response in time."""

    def handle_poll_result(
        self,
        server: zonetables.Server,
        result: orders.PollResult,
        sent_at: float,
    ) -> None:
        """Handles the response to a poll that was sent at a time."""

    def handle_fenced(self, server: zonetables.Server) -> None:
        """Handles that a server refused the first poll of a new connection.

        It obeys another owner, which has a higher epoch.
        """

    def handle_poll_end(
        self, server: zonetables.Server, error: Exception | None
    ) -> None:
        """Handles the end of a long poll; called after its result, if any.

        The error is a `FencedError` or a `PollError`; subclasses of the latter
        tell that the server has crashed.
        """

    def handle_listing_end(
        self,
        server: zonetables.Server,
        sent_at: float,
        error: Exception | None,
    ) -> None:
        """Handles the end of a listing that was sent at a time, as above."""


@attrs.define(eq=False)
class ServerClient:
    """Sends the requests of one zone owner to one backend server.

    Each new connection begins with a poll, so that no start request can reach
    an incarnation of the server that the tables do not know. A lease counts
    from when its request may have reached the server: attempts to reach a
    server that has crashed must not extend the leases there.

    Attributes:
        epoch: Epoch of the owner, the lowest of its fencing tokens.
        lease_s: Length in s of the leases that requests carry.
        observer: Receives the results.
        response_times: Response times of orders and listings.
        poll_count: Number of polls so far.
    """

    server: zonetables.Server
    epoch: int
    lease_s: float
    observer: Observer
    _deadlines: httppool_lib.Deadlines
    _nursery: trio.Nursery
    poll_count: int = 0
    response_times: ordertimeouts.ResponseTimes = attrs.field(
        factory=ordertimeouts.ResponseTimes
    )
    _connection_pool: httppool_lib.CallbackPool = attrs.field(init=False)
    _start_head: bytes = attrs.field(init=False)
    _stop_head: bytes = attrs.field(init=False)
    _poll_head: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        address = self.server.address
        self._connection_pool = httppool_lib.CallbackPool(
            address,
            CONNECT_TIMEOUT_S,
            self._poll_new_connection,
            self._deadlines,
            self._nursery,
        )
        headers = ((b"expect-instance", self.server.id.encode()),)
        self._start_head, self._stop_head, self._poll_head = (
            httppool_lib.new_request_head("POST", target, address, headers)
            for target in (
                "/acacialine/run-start",
                "/acacialine/run-stop",
                "/acacialine/hold",
            )
        )

    @property
    def fencing_token(self) -> int:
        """Number that the server compares with the highest it has seen."""
        return self.epoch + self.server.token_offset

    @property
    def address(self) -> tuple[str, int]:
        """The address that requests are sent to."""
        return self._connection_pool.address

    @property
    def opened_count(self) -> int:
        """Number of connections opened so far."""
        return self._connection_pool.opened

    def start(self, run: zonetables.Run) -> None:
        """Requests the start of a run, without any retry."""
        now = clock.now()
        if now - run.sent_at > START_MAX_AGE_S or run.job is None:
            # The request is too old, or the job ended after the decision.
            self.observer.handle_start_outcome(
                run, orders.StartOutcome.NOT_STARTED
            )
            return
        lease = self._new_lease(now)
        if lease is None:
            self.observer.handle_start_outcome(
                run, orders.StartOutcome.NOT_STARTED
            )
            return
        run.not_after = max(run.not_after, lease.ends_by)
        run.may_have_started = False
        incarnation = self.server.incarnation
        body = {
            "task": str(run.key),
            "run": run.number,
            "spec": run.job.spec,
            "deadlineMs": lease.deadline_ms,
            "fencingToken": self.fencing_token,
        }

        def may_send() -> bool:
            return self.server.incarnation == incarnation and (
                self.server.clock_at <= now or date_again()
            )

        def date_again() -> bool:
            """Computes the lease by the clock that the first poll has read."""
            nonlocal lease
            lease = self._new_lease(clock.now())
            if lease is None:
                return False
            run.not_after = lease.ends_by
            body["deadlineMs"] = lease.deadline_ms
            call.request = new_request()
            return True

        def new_request() -> bytes:
            return httppool_lib.finish_request(
                self._start_head, msgspec.json.encode(body)
            )

        def on_sent() -> None:
            run.may_have_started = True
            leases.record_lease(self.server, lease)

        def on_reply(reply: httppool_lib.Reply) -> None:
            self.response_times.record(clock.now() - call.sent_at)
            outcome = _start_outcome(reply)
            if (
                outcome == orders.StartOutcome.FENCED
                and self.server.has_older_token(now)
            ):
                outcome = orders.StartOutcome.NOT_STARTED
            self.observer.handle_start_outcome(run, outcome)

        def on_overdue() -> None:
            self.observer.handle_start_outcome(run, orders.StartOutcome.UNKNOWN)

        def on_failure(error: errors.AcacialineError) -> None:
            if isinstance(error, httppool_lib.NotSentError):
                # Without a lease the server is not at fault.
                outcome = orders.StartOutcome.UNHEALTHY
                if lease is None:
                    outcome = orders.StartOutcome.NOT_STARTED
                self.observer.handle_start_outcome(run, outcome)
            elif not call.is_overdue:
                on_overdue()

        call = httppool_lib.Call(
            new_request(),
            START_TIMEOUT_S,
            on_reply,
            on_failure,
            run.sent_at + START_MAX_AGE_S,
            on_sent,
            may_send,
            self.response_times.timeout_s,
            on_overdue,
        )
        self._connection_pool.send(call)

    def stop(self, run: zonetables.Run) -> None:
        """Requests the stop of a run."""
        incarnation = self.server.incarnation
        body = {
            "task": str(run.key),
            "run": run.number,
            "fencingToken": self.fencing_token,
        }

        def on_reply(reply: httppool_lib.Reply) -> None:
            self.response_times.record(clock.now() - call.sent_at)
            # An earlier incarnation cannot confirm what a later one does.
            is_current = self.server.incarnation == incarnation
            self.observer.handle_stop_outcome(
                run, reply.status == 200 and is_current
            )

        def on_overdue() -> None:
            self.observer.handle_unanswered_stop(run)

        def on_failure(error: errors.AcacialineError) -> None:
            if not call.is_overdue:
                on_overdue()

        call = httppool_lib.Call(
            httppool_lib.finish_request(
                self._stop_head, msgspec.json.encode(body)
            ),
            STOP_TIMEOUT_S,
            on_reply,
            on_failure,
            overdue_s=self.response_times.timeout_s,
            on_overdue=on_overdue,
        )
        self._connection_pool.send(call)

    def poll(self, wait_s: float) -> None:
        """Lists all runs of the server and renews their lease if needed.

        `Observer.handle_poll_end` is called once, when the response arrives,
        the poll fails or its response is overdue. A late response still counts.

        Args:
            wait_s: Longest time in s that the server waits for a run to end
                before it responds.
        """
        sent_at = clock.now()
        lease = self._next_lease(sent_at)

        def on_reply(reply: httppool_lib.Reply) -> None:
            error = self._apply_poll_response(reply, sent_at)
            if not call.is_overdue:
                self.observer.handle_poll_end(self.server, error)
            elif isinstance(error, FencedError):
                self.observer.handle_fenced(self.server)

        def on_overdue() -> None:
            self.observer.handle_poll_end(
                self.server, UnansweredError("no response in time")
            )

        def on_failure(error: errors.AcacialineError) -> None:
            if not call.is_overdue:
                self.observer.handle_poll_end(self.server, _poll_error(error))

        overdue_s = max(POLL_OVERDUE_S, self.response_times.timeout_s)
        if lease is not None:
            self.server.unsent_lease_until = lease.ends_by
        call = httppool_lib.Call(
            self._new_poll_request(lease, wait_s),
            wait_s + POLL_TIMEOUT_S,
            on_reply,
            on_failure,
            on_sent=lambda: leases.record_lease(self.server, lease),
            overdue_s=wait_s + overdue_s,
            on_overdue=on_overdue,
        )
        self._connection_pool.send(call)

    def list_runs(self, sent_at: float) -> None:
        """Lists all runs of the server at once, beside a poll that waits.

        It renews no lease, so that a server which is gone keeps none alive.

        Args:
            sent_at: The current time.
        """

        def on_reply(reply: httppool_lib.Reply) -> None:
            self.response_times.record(clock.now() - call.sent_at)
            error = self._apply_poll_response(reply, sent_at)
            if not call.is_overdue:
                self.observer.handle_listing_end(self.server, sent_at, error)
            elif isinstance(error, FencedError):
                self.observer.handle_fenced(self.server)

        def on_overdue() -> None:
            self.observer.handle_listing_end(
                self.server, sent_at, UnansweredError("no response in time")
            )

        def on_failure(error: errors.AcacialineError) -> None:
            if not call.is_overdue:
                self.observer.handle_listing_end(
                    self.server, sent_at, _poll_error(error)
                )

        call = httppool_lib.Call(
            self._new_poll_request(None, 0.0),
            POLL_TIMEOUT_S,
            on_reply,
            on_failure,
            overdue_s=self.response_times.timeout_s,
            on_overdue=on_overdue,
        )
        self._connection_pool.send(call)

    def _next_lease(self, now: float) -> leases.Lease | None:
        """Returns the lease that a poll requests; None if it needs none."""
        # By a clock read long ago its end would be off by the drift since.
        is_outdated = now - self.server.clock_at > MAX_CLOCK_AGE_S
        if not self.server.clock_at or is_outdated:
            return None
        if not self.observer.may_extend_leases():
            return None
        if not leases.needs_lease(self.server, now):
            return None
        return self._new_lease(now)

    def _new_lease(self, now: float) -> leases.Lease | None:
        """Returns the lease that a request carries; None if it may not."""
        since = leases.attended_until(self.server, now)
        if since + self.lease_s <= now:
            return None
        return leases.new_lease(self.server, self.lease_s, since)

    def _new_poll_request(
        self, lease: leases.Lease | None, wait_s: float
    ) -> bytes:
        self.poll_count += 1
        content = {
            "fencingToken": self.fencing_token,
            "ackedThrough": self.server.last_ended_seq,
        }
        if lease is not None:
            content["deadlineMs"] = lease.deadline_ms
        if wait_s > 0:
            content["waitMs"] = round(wait_s * 1000)
        return httppool_lib.finish_request(
            self._poll_head, msgspec.json.encode(content)
        )

    def _apply_poll_response(
        self, reply: httppool_lib.Reply, sent_at: float
    ) -> Exception | None:
        """Reports the result of a poll; returns what is wrong with it."""
        try:
            self._handle_poll_response(reply, sent_at)
        except (FencedError, PollError) as error:
            return error
        return None

    def _handle_poll_response(
        self, reply: httppool_lib.Reply, sent_at: float
    ) -> int:
        """Reports the result of a poll; returns the incarnation of its server.

        Raises:
            FencedError: The server obeys another owner.
            PollError: The response contains no result.
        """
        if reply.status == 409 and _reason(reply) == "fence":
            if self.server.has_older_token(sent_at):
                raise OutdatedError("it has a higher token of this owner")
            raise FencedError
        if reply.status == 421 and not self.server.may_be_outdated(sent_at):
            raise ReplacedError("another incarnation has its address")
        if reply.status != 200:
            raise PollError(f"status {reply.status}")
        try:
            response = _decode_poll_response(reply.body)
        except ValueError as error:
            raise PollError(f"malformed response: {error!r}") from error
        self.observer.handle_poll_result(self.server, response, sent_at)
        return response.incarnation

    async def _poll_new_connection(
        self, connection: httppool_lib.Connection
    ) -> None:
        """Checks that a new connection reaches the known incarnation.

        Raises:
            httppool_lib.NotSentError: The server refused the poll, sent a
                malformed response or has restarted.
            httppool_lib.NoAnswerError: The connection failed.
            trio.TooSlowError: The server did not respond in time.
        """
        sent_at = clock.now()
        known_incarnation = self.server.incarnation
        was_listed = self.server.runs_listed
        lease = None
        if self.server.unresponsive_since is None:
            # Attempts to reach a server that is gone renew no lease there.
            lease = self._next_lease(sent_at)
        leases.record_lease(self.server, lease)
        timeout_s = self.response_times.timeout_s * FIRST_POLL_TIMEOUT_FACTOR
        try:
            with trio.fail_after(min(timeout_s, POLL_TIMEOUT_S)):
                reply = await connection.exchange(
                    self._new_poll_request(lease, 0)
                )
        except trio.TooSlowError:
            self.response_times.back_off()
            raise
        self.response_times.record(clock.now() - sent_at)
        try:
            incarnation = self._handle_poll_response(reply, sent_at)
        except FencedError as error:
            self.observer.handle_fenced(self.server)
            raise httppool_lib.NotSentError("fenced") from error
        except ReplacedError as error:
            raise _ReplacedBeforeCallError(str(error)) from error
        except OutdatedError as error:
            raise _RestartedBeforeCallError(str(error)) from error
        except PollError as error:
            raise httppool_lib.NotSentError(repr(error)) from error
        if was_listed and self.server.incarnation != known_incarnation:
            raise _RestartedBeforeCallError("the backend server has restarted")
        if incarnation != self.server.incarnation:
            raise httppool_lib.NotSentError("reached another incarnation")

    def close(self) -> None:
        """Closes all connections and fails the requests in flight."""
        self._connection_pool.close()


def _poll_error(error: errors.AcacialineError) -> PollError:
    """Returns what the failure of a poll tells about its server."""
    match error:
        case httppool_lib.RefusedError():
            return RefusedError(str(error))
        case _ReplacedBeforeCallError():
            return ReplacedError(str(error))
        case _RestartedBeforeCallError():
            return OutdatedError(str(error))
    return PollError(str(error))


def _reason(reply: httppool_lib.Reply) -> str:
    """Returns the reason of a refusal; empty if the body has none."""
    try:
        return str(msgspec.json.decode(reply.body).get("reason", ""))
    except (ValueError, AttributeError, RecursionError):
        return ""


def _start_outcome(reply: httppool_lib.Reply) -> orders.StartOutcome:
    """Returns what the response to a start request proves."""
    match reply.status:
        case 200:
            return orders.StartOutcome.STARTED
        case 409:
            return _OUTCOME_BY_REASON.get(
                _reason(reply), orders.StartOutcome.NOT_STARTED
            )
        case 421:
            return orders.StartOutcome.WRONG_INSTANCE
        case 429 | 503:
            return orders.StartOutcome.UNHEALTHY
        case 400:
            return orders.StartOutcome.NOT_STARTED
    return orders.StartOutcome.UNKNOWN


def decode_task_key(name: str) -> zonetables.TaskKey:
    """Decodes the key of a task from JOB_ID.OCCURRENCE.STEP.INDEX.

    Raises:
        ValueError: The text does not have this form.
    """
    job_id, occurrence, step, index = name.split(".")
    return zonetables.TaskKey(job_id, int(occurrence), int(step), int(index))


def _decode_poll_response(body: bytes) -> orders.PollResult:
    """Decodes the response to a poll.

    Raises:
        ValueError: It is malformed.
    """
    try:
        content = msgspec.json.decode(body)
        running = tuple(
            orders.RunningRow(decode_task_key(row[0]), int(row[1]), int(row[3]))
            for row in content.get("running", ())
        )
        ended = tuple(
            orders.EndedRow(
                int(row[0]),
                decode_task_key(row[1]),
                int(row[2]),
                _END_KINDS.get(row[3], zonetables.EndKind.FAILED),
            )
            for row in content.get("endedRuns", ())
        )
        return orders.PollResult(
            int(content.get("born", 0)), int(content["clockMs"]), running, ended
        )
    except (
        AttributeError,
        IndexError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
    ) as error:
        raise ValueError(f"unexpected content: {error!r}") from error
