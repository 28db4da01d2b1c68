"""Starts tasks on backend servers over HTTP, without retries.

This module opens and pools the connections, each with one request at a
time. A task certainly did not start only if no request was sent or the reply
is a complete 503 with `Not-Run: 1`; every other error means `unknown`.
"""

import ssl

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine import streams
from acacialine import tables as tables_lib

STOP_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 << 20


@attrs.frozen
class StartRequest:
    """A request to start one task.

    Attributes:
        use_until: Time from which the request must not be sent.
        deadline: Time of the job's deadline.
        lease_s: Longest time the task may run, in s.
    """

    task_id: str
    kind: str
    body: bytes
    use_until: float
    deadline: float
    lease_s: float


@attrs.frozen(eq=False)
class AttemptResult:
    """The outcome of a start attempt.

    Attributes:
        answer: The reply of the backend server if the outcome is ANSWERED.
        reason: Why there is no answer.
    """

    outcome: tables_lib.AttemptOutcome
    answer: tables_lib.BackendAnswer | None = None
    reason: str = ""


_NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED
_UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN


@attrs.define(eq=False)
class BackendConnections:
    """The pooled connections of this entry to one backend server.

    Attributes:
        max_connections: Maximum number of requests in flight at once.
    """

    host: str
    port: int
    connect_timeout_s: float
    idle_expiry_s: float
    max_connections: int
    tls: ssl.SSLContext | None = None
    _idle: list[tuple[float, httpcore.AsyncHTTP11Connection]] = attrs.field(
        factory=list
    )
    _open: int = 0
    _origin: httpcore.Origin = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._origin = httpcore.Origin(b"http", self.host.encode(), self.port)

    @property
    def is_unused(self) -> bool:
        """Whether no connection is open."""
        return self._open == 0

    async def start(self, start: StartRequest) -> AttemptResult:
        """Makes a single attempt to start a task."""
        if self._open - len(self._idle) >= self.max_connections:
            return AttemptResult(
                _NOT_STARTED, reason="connection limit reached"
            )
        try:
            connection = await self._acquire_connection()
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            reason = f"unreachable: {type(error).__name__}"
            return AttemptResult(_NOT_STARTED, reason=reason)
        reusable = False
        try:
            # The process may have been suspended since it chose to start the
            # task.
            now = clock.now()
            if now >= start.use_until or now >= start.deadline:
                reusable = True
                return AttemptResult(_NOT_STARTED, reason="expired")
            reused = connection.is_idle()
            response, content = await self._exchange(
                connection, _start_request(self._origin, start, now)
            )
            has_task_id = _echoed_task_id(response) is not None
            if reused and not has_task_id:
                # The reply may belong to an earlier request.
                return AttemptResult(
                    _UNKNOWN,
                    reason="reply on a reused connection has no Task-Id",
                )
            result = _result_from_reply(response, content, start.task_id)
            # A connection is reused only if its replies name their task.
            reusable_reply = has_task_id and result.outcome != _UNKNOWN
            reusable = reusable_reply and connection.is_idle()
            return result
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            ValueError,
        ) as error:
            return AttemptResult(
                _UNKNOWN, reason=f"{type(error).__name__}: {error}"
            )
        finally:
            await self._return_connection(connection, reusable)

    async def _acquire_connection(self) -> httpcore.AsyncHTTP11Connection:
        now = clock.now()
        while self._idle:
            idle_since, connection = self._idle.pop()
            is_fresh = now - idle_since < self.idle_expiry_s
            if is_fresh and not connection.has_expired():
                return connection
            self._open -= 1
            await connection.aclose()
        self._open += 1
        try:
            stream = await streams.connect(
                (self.host, self.port), self.connect_timeout_s
            )
        except BaseException:
            self._open -= 1
            raise
        return httpcore.AsyncHTTP11Connection(self._origin, stream)

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        request: httpcore.Request,
    ) -> tuple[httpcore.Response, bytes]:
        response = await connection.handle_async_request(request)
        try:
            content = bytearray()
            async for chunk in response.stream:
                content += chunk
                if len(content) > MAX_ANSWER_BYTES:
                    raise ValueError("reply exceeds the size limit")
        finally:
            await response.stream.aclose()
        return response, bytes(content)

    async def _return_connection(
        self, connection: httpcore.AsyncHTTP11Connection, reusable: bool
    ) -> None:
        """Returns a reusable connection to the pool; closes any other."""
        if reusable and not connection.is_closed():
            self._idle.append((clock.now(), connection))
            return
        self._open -= 1
        with trio.CancelScope(shield=True):
            await connection.aclose()

    async def stop(self, task_id: str) -> bool:
        """Asks the backend server to stop a task.

        Returns:
            Whether the server confirmed that the task does not run.
        """
        url = httpcore.URL(
            scheme=b"http",
            host=self.host.encode(),
            port=self.port,
            target=b"/run/" + _quote_path(task_id),
        )
        headers = [(b"host", self._origin.host), (b"connection", b"close")]
        request = httpcore.Request("DELETE", url, headers=headers)
        connection = None
        try:
            with trio.fail_after(STOP_TIMEOUT_S):
                stream = await streams.connect(
                    (self.host, self.port), STOP_TIMEOUT_S
                )
                connection = httpcore.AsyncHTTP11Connection(
                    self._origin, stream
                )
                response, _ = await self._exchange(connection, request)
                return response.status in (200, 204, 404)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            trio.TooSlowError,
        ):
            return False
        finally:
            if connection:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

    async def close_idle(self, now: float) -> None:
        """Closes connections that have been idle for `idle_expiry_s`."""
        kept = []
        closing = []
        for idle_since, connection in self._idle:
            is_fresh = now - idle_since < self.idle_expiry_s
            (kept if is_fresh else closing).append((idle_since, connection))
        self._idle = kept
        self._open -= len(closing)
        for _, connection in closing:
            await connection.aclose()


def _quote_path(task_id: str) -> bytes:
    return task_id.replace("/", "%2F").replace("#", "%23").encode()


def _start_request(
    origin: httpcore.Origin, start: StartRequest, now: float
) -> httpcore.Request:
    remaining_ms = max(1, int((start.deadline - now) * 1000))
    lease_ms = max(1, int(min(start.lease_s, start.deadline - now) * 1000))
    url = httpcore.URL(
        scheme=origin.scheme,
        host=origin.host,
        port=origin.port,
        target=b"/run/" + start.kind.encode(),
    )
    host = b"%s:%d" % (origin.host, origin.port)
    headers = [
        (b"host", host),
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(start.body)),
        (b"task-id", start.task_id.encode()),
        (b"deadline-ms", b"%d" % remaining_ms),
        (b"lease-ms", b"%d" % lease_ms),
    ]
    return httpcore.Request("POST", url, headers=headers, content=start.body)


def _echoed_task_id(response: httpcore.Response) -> bytes | None:
    """Returns the task id in the header of a reply, if it has one."""
    for name, value in response.headers:
        if name.lower() == b"task-id":
            return value
    return None


def _result_from_reply(
    response: httpcore.Response, content: bytes, task_id: str
) -> AttemptResult:
    headers = {name.lower(): value for name, value in response.headers}
    echoed_task_id = _echoed_task_id(response)
    if echoed_task_id is not None and echoed_task_id != task_id.encode():
        return AttemptResult(
            _UNKNOWN, reason="reply has the Task-Id of another task"
        )
    has_framing = (
        b"content-length" in headers or b"transfer-encoding" in headers
    )
    if not has_framing:
        # Without framing, a broken connection looks like a complete reply.
        return AttemptResult(
            _UNKNOWN, reason="reply has no Content-Length or Transfer-Encoding"
        )
    if response.status == 503 and headers.get(b"not-run") == b"1":
        return AttemptResult(_NOT_STARTED, reason="refused")
    content_type = headers.get(b"content-type", b"").decode("latin-1")
    answer = tables_lib.BackendAnswer(response.status, content, content_type)
    return AttemptResult(tables_lib.AttemptOutcome.ANSWERED, answer)


def new_connections(
    backend: tables_lib.Backend, tables: tables_lib.Tables, max_connections: int
) -> BackendConnections:
    """Creates the connection pool of a backend server, without connections."""
    placement = tables.settings.placement
    return BackendConnections(
        backend.host,
        backend.port,
        placement.connect_timeout_ms / 1000,
        placement.idle_expiry_ms / 1000,
        max_connections,
    )
