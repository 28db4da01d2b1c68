"""Start attempts on backend servers over HTTP, without any retry.

Connections are opened and kept here, one request at a time on each. The
only proofs that a task did not start are a connection that was never made
and a complete 503 with `Not-Run: 1`; all other doubt is `unknown`.
"""

import ssl

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine import streams
from acacialine import tables as tables_lib

STOP_TIMEOUT_S = 1.0
ANSWER_MAX_BYTES = 16 << 20


@attrs.frozen
class Start:
    """What is sent to start one task.

    Attributes:
        use_until: Time after which it must not be sent.
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
class Result:
    """How a start attempt ended."""

    outcome: tables_lib.AttemptOutcome
    answer: tables_lib.BackendAnswer | None = None
    reason: str = ""


_NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED
_UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN


@attrs.define(eq=False)
class BackendConnections:
    """The connections of this entry to one backend server."""

    host: str
    port: int
    connect_timeout_s: float
    idle_expiry_s: float
    limit: int
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

    async def start(self, start: Start) -> Result:
        """Makes one attempt to start a task; never a second one."""
        if self._open - len(self._idle) >= self.limit:
            return Result(_NOT_STARTED, reason="connection limit")
        try:
            connection = await self._connect()
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            reason = f"unreachable: {type(error).__name__}"
            return Result(_NOT_STARTED, reason=reason)
        done = False
        try:
            # The process may have been paused since the decision.
            now = clock.now()
            if now >= start.use_until or now >= start.deadline:
                done = True
                return Result(_NOT_STARTED, reason="expired")
            reused = connection.is_idle()
            response, content = await self._exchange(
                connection, _request(self._origin, start, now)
            )
            echoes = _echo_of(response) is not None
            if reused and not echoes:
                # It may be a late copy of the reply before.
                return Result(_UNKNOWN, reason="reply names no task")
            result = _result_of(response, content, start.task_id)
            # Replies on a kept connection must tell which task they are for.
            kept = echoes and result.outcome != _UNKNOWN
            done = kept and connection.is_idle()
            return result
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            ValueError,
        ) as error:
            return Result(_UNKNOWN, reason=f"{type(error).__name__}: {error}")
        finally:
            await self._put_back(connection, done)

    async def _connect(self) -> httpcore.AsyncHTTP11Connection:
        now = clock.now()
        while self._idle:
            since, connection = self._idle.pop()
            fresh = now - since < self.idle_expiry_s
            if fresh and not connection.has_expired():
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
                if len(content) > ANSWER_MAX_BYTES:
                    raise ValueError("answer is too large")
        finally:
            await response.stream.aclose()
        return response, bytes(content)

    async def _put_back(
        self, connection: httpcore.AsyncHTTP11Connection, done: bool
    ) -> None:
        """Keeps a connection only if its reply was read to the end."""
        if done and not connection.is_closed():
            self._idle.append((clock.now(), connection))
            return
        self._open -= 1
        with trio.CancelScope(shield=True):
            await connection.aclose()

    async def stop(self, task_id: str) -> bool:
        """Asks the backend server to stop a task; True if it confirmed."""
        url = httpcore.URL(
            scheme=b"http",
            host=self.host.encode(),
            port=self.port,
            target=b"/run/" + _quote(task_id),
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
        """Closes connections idle for too long."""
        kept = []
        closing = []
        for since, connection in self._idle:
            fresh = now - since < self.idle_expiry_s
            (kept if fresh else closing).append((since, connection))
        self._idle = kept
        self._open -= len(closing)
        for _, connection in closing:
            await connection.aclose()


def _quote(task_id: str) -> bytes:
    return task_id.replace("/", "%2F").replace("#", "%23").encode()


def _request(
    origin: httpcore.Origin, start: Start, now: float
) -> httpcore.Request:
    left_ms = max(1, int((start.deadline - now) * 1000))
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
        (b"deadline-ms", b"%d" % left_ms),
        (b"lease-ms", b"%d" % lease_ms),
    ]
    return httpcore.Request("POST", url, headers=headers, content=start.body)


def _echo_of(response: httpcore.Response) -> bytes | None:
    """Returns the task id that a reply names, if it names one."""
    for name, value in response.headers:
        if name.lower() == b"task-id":
            return value
    return None


def _result_of(
    response: httpcore.Response, content: bytes, task_id: str
) -> Result:
    headers = {name.lower(): value for name, value in response.headers}
    echoed = _echo_of(response)
    if echoed is not None and echoed != task_id.encode():
        return Result(_UNKNOWN, reason="reply to another task")
    framed = b"content-length" in headers or b"transfer-encoding" in headers
    if not framed:
        return Result(_UNKNOWN, reason="reply whose end cannot be told")
    if response.status == 503 and headers.get(b"not-run") == b"1":
        return Result(_NOT_STARTED, reason="refused")
    content_type = headers.get(b"content-type", b"").decode("latin-1")
    answer = tables_lib.BackendAnswer(response.status, content, content_type)
    return Result(tables_lib.AttemptOutcome.ANSWERED, answer)


def new_connections(
    backend: tables_lib.Backend, tables: tables_lib.Tables, limit: int
) -> BackendConnections:
    """Creates the empty set of connections to a backend server."""
    placement = tables.settings.placement
    return BackendConnections(
        backend.host,
        backend.port,
        placement.connect_timeout_ms / 1000,
        placement.idle_expiry_ms / 1000,
        limit,
    )
