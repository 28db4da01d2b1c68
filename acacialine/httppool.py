"""HTTP client on non-blocking sockets, without retries.

A call has a reply, or certainly was not sent, or may have been executed.
Callers treat the last two differently, so each has its own exception.

`ConnectionPool` serves coroutines that await their reply. `CallbackPool` makes
many calls without a coroutine or a cancel scope for each: a call is written at
once, one task a connection reads, and `Deadlines` ends late calls together.
"""

import collections.abc
import heapq
import itertools
import math
import os
import socket

import attrs
import httptools
import trio

from acacialine import clock
from acacialine import errors

MAX_REPLY_BYTES = 64 << 20
MAX_HEAD_BYTES = 100 << 10  # status line and headers
IDLE_EXPIRY_S = 3.0  # below the 4 s after which backend servers close them
_READ_BYTES = 65536


class NotSentError(errors.AcacialineError):
    """No part of a call can have reached the server."""

    def __init__(self, message: str):
        super().__init__(errors.Code.UNREACHABLE, message)


class RefusedError(NotSentError):
    """No process listens at the address of the server."""


class NoAnswerError(errors.AcacialineError):
    """A call was sent, at least in part, and got no complete reply."""

    def __init__(self, message: str):
        super().__init__(errors.Code.UNREACHABLE, message)


@attrs.frozen
class Reply:
    """A complete HTTP reply; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


class _ReplyParser:
    """Assembles replies from the bytes of one connection."""

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._is_head = True
        self._has_begun = False
        self._replies: list[Reply] = []
        self.is_reusable = True

    def feed(self, data: bytes) -> Reply | None:
        """Returns the reply that the data completes, None if it needs more.

        Raises:
            NoAnswerError: The data is malformed, exceeds the size limits or
                has more than one reply.
        """
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise NoAnswerError(f"malformed reply: {error!r}") from error
        limit = MAX_HEAD_BYTES if self._is_head else MAX_REPLY_BYTES
        if self._size > limit and not self._replies:
            raise NoAnswerError(f"reply exceeds {limit} bytes")
        if not self._replies:
            return None
        if len(self._replies) > 1 or self._has_begun:
            self.is_reusable = False  # bytes follow the reply
        reply = self._replies[0]
        self._replies.clear()
        self._size = 0
        return reply

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begins a reply."""
        self._has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Ends the head of a reply."""
        self._is_head = False

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Ends a reply; informational ones are skipped."""
        status = self._parser.get_status_code()
        if status >= 200:
            self._replies.append(
                Reply(status, b"".join(self._body), self._headers)
            )
            self.is_reusable = self._parser.should_keep_alive()
        self._headers = {}
        self._body.clear()
        self._is_head = True
        self._has_begun = False


class Connection:
    """A keep-alive connection with at most one call at a time.

    Attributes:
        call: The call in flight; None while idle or used by `exchange`.
        is_closed: Whether it has been closed.
        idle_since: When it became idle.
    """

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._parser = _ReplyParser()
        self._unsent = b""
        self.call: Call | None = None
        self.is_closed = False
        self.idle_since = clock.now()

    @property
    def is_reusable(self) -> bool:
        """Whether another call may follow the last reply."""
        return not self.is_closed and self._parser.is_reusable

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection is fresh and the server has kept it."""
        if self.is_closed or clock.now() - self.idle_since > IDLE_EXPIRY_S:
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # closed by the server, or an unexpected reply

    def send(self, request: bytes) -> None:
        """Writes a request as far as possible without waiting.

        Raises:
            NotSentError: No part of it was written.
        """
        try:
            sent = self._socket.send(request)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise NotSentError(f"cannot write: {error!r}") from error
        self._unsent = request[sent:]

    def receive(self) -> Reply | None:
        """Reads what has arrived; returns a reply once it is complete.

        Raises:
            NoAnswerError: The connection failed or the reply is malformed.
        """
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            raise NoAnswerError(f"cannot read: {error!r}") from error
        if not data:
            raise NoAnswerError("closed by the server")
        return self._parser.feed(data)

    async def wait(self) -> None:
        """Waits until something arrives; writes what was not sent before.

        Raises:
            NoAnswerError: The connection failed.
            trio.ClosedResourceError: The connection was closed meanwhile.
        """
        while self._unsent:
            await trio.lowlevel.wait_writable(self._socket)
            try:
                sent = self._socket.send(self._unsent)
            except BlockingIOError:
                continue
            except OSError as error:
                raise NoAnswerError(f"cannot write: {error!r}") from error
            self._unsent = self._unsent[sent:]
        await trio.lowlevel.wait_readable(self._socket)

    async def exchange(self, request: bytes) -> Reply:
        """Sends a request and waits for the whole reply.

        Raises:
            NotSentError: No part of it was written.
            NoAnswerError: It was sent and got no complete reply.
        """
        self.send(request)
        while True:
            await self.wait()
            reply = self.receive()
            if reply is not None:
                return reply

    def close(self) -> None:
        """Closes the connection at once."""
        if not self.is_closed:
            self.is_closed = True
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


async def connect(address: tuple[str, int], timeout_s: float) -> Connection:
    """Opens a connection.

    Args:
        address: IP address and port.
        timeout_s: Time limit in s.

    Raises:
        NotSentError: The server cannot be reached.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:
        raise NotSentError(f"no socket: {error!r}") from error
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with trio.fail_after(timeout_s):
            await _connect_socket(sock, address)
    except ConnectionRefusedError as error:
        sock.close()
        raise RefusedError(f"cannot connect: {error!r}") from error
    except (OSError, OverflowError, trio.TooSlowError) as error:
        sock.close()
        raise NotSentError(f"cannot connect: {error!r}") from error
    except BaseException:
        sock.close()
        raise
    return Connection(sock)


async def _connect_socket(
    sock: socket.socket, address: tuple[str, int]
) -> None:
    try:
        sock.connect(address)
    except BlockingIOError:
        await trio.lowlevel.wait_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error)) from None


def new_request_head(
    method: str,
    target: str,
    address: tuple[str, int],
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> bytes:
    """Returns the head of requests, up to the Content-Length header."""
    host, port = address
    lines = [f"{method} {target} HTTP/1.1\r\nhost: {host}:{port}\r\n".encode()]
    lines += [name + b": " + value + b"\r\n" for name, value in headers]
    return b"".join(lines)


def finish_request(head: bytes, body: bytes) -> bytes:
    """Returns a request with a JSON body."""
    return (
        b"%scontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
        % (
            head,
            len(body),
            body,
        )
    )


@attrs.define(eq=False)
class ConnectionPool:
    """Connections to one address, for coroutines that await their replies.

    Attributes:
        opened: Number of connections opened so far.
    """

    address: tuple[str, int]
    connect_timeout_s: float
    opened: int = 0
    _idle: list[Connection] = attrs.field(factory=list)

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Reply:
        """Makes one call and returns its reply.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Request body.
            timeout_s: Time limit for the exchange, without connecting, in s.

        Raises:
            NotSentError: The call certainly did not reach the server.
            NoAnswerError: The call may have reached the server.
        """
        head = new_request_head(method, target, self.address)
        request = head + b"\r\n"
        if body or method == "POST":
            request = finish_request(head, body)
        connection = await self._acquire_connection()
        is_reusable = False
        try:
            with trio.fail_after(timeout_s):
                reply = await connection.exchange(request)
            is_reusable = connection.is_reusable
            return reply
        except trio.TooSlowError as error:
            raise NoAnswerError("no reply in time") from error
        finally:
            if is_reusable:
                connection.idle_since = clock.now()
                self._idle.append(connection)
            else:
                connection.close()

    async def _acquire_connection(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            connection.close()
        connection = await connect(self.address, self.connect_timeout_s)
        self.opened += 1
        return connection

    async def aclose(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()


@attrs.define(eq=False)
class Call:
    """A call of a `CallbackPool`.

    Attributes:
        request: The whole request.
        timeout_s: Time limit for the exchange, without connecting, in s.
        on_reply: Called with the reply.
        on_failure: Called instead with a `NotSentError` or `NoAnswerError`.
        not_after: Time after which the call must not be sent; None for any.
        may_send: Returns whether the call may still be sent; None if it always
            may.
        on_sent: Called when a part of the call may have reached the server;
            None for nothing to call.
        overdue_s: Time after which `on_overdue` is called, in s.
        on_overdue: Called once if no reply has arrived by then. The call goes
            on: a late reply still counts, and keeps the connection usable.
        sent_at: When it was sent.
        is_overdue: Whether `on_overdue` was called.
        is_done: Whether one of the two was called.
    """

    request: bytes
    timeout_s: float
    on_reply: collections.abc.Callable[[Reply], None]
    on_failure: collections.abc.Callable[[NotSentError | NoAnswerError], None]
    not_after: float | None = None
    on_sent: collections.abc.Callable[[], None] | None = None
    may_send: collections.abc.Callable[[], bool] | None = None
    overdue_s: float = 0.0
    on_overdue: collections.abc.Callable[[], None] | None = None
    sent_at: float = 0.0
    is_overdue: bool = False
    is_done: bool = False


class Deadlines:
    """Time limits of the calls of several pools, checked together."""

    def __init__(self):
        self._heap: list[tuple[float, int, CallbackPool, Connection, Call]] = []
        self._numbers = itertools.count()

    def add(
        self,
        at: float,
        pool: "CallbackPool",
        connection: Connection,
        call: Call,
    ) -> None:
        """Adds the time limit of a call that was sent."""
        heapq.heappush(
            self._heap, (at, next(self._numbers), pool, connection, call)
        )

    def next_at(self) -> float:
        """Returns the next time limit; infinite if no call is in flight."""
        heap = self._heap
        while heap and heap[0][4].is_done:
            heapq.heappop(heap)
        return heap[0][0] if heap else math.inf

    def check(self, now: float) -> None:
        """Ends or reports the calls whose time limit has passed."""
        heap = self._heap
        while heap and (heap[0][4].is_done or heap[0][0] <= now):
            _, _, pool, connection, call = heapq.heappop(heap)
            if not call.is_done:
                pool.expire(connection, call)


@attrs.define(eq=False)
class CallbackPool:
    """Connections to one address, for calls that report by callbacks.

    Attributes:
        on_connect: Coroutine called with each new connection before its first
            call; may raise one of the errors of this module.
        opened: Number of connections opened so far.
    """

    address: tuple[str, int]
    connect_timeout_s: float
    on_connect: collections.abc.Callable[
        [Connection], collections.abc.Awaitable[None]
    ]
    deadlines: Deadlines
    nursery: trio.Nursery
    opened: int = 0
    _idle: list[Connection] = attrs.field(factory=list)
    _open: set[Connection] = attrs.field(factory=set)
    _is_closed: bool = False

    def send(self, call: Call) -> None:
        """Sends a call, on a new connection if none is idle."""
        if self._is_closed:
            self._fail(call, NotSentError("the pool is closed"))
            return
        connection = self._pop_idle()
        if connection is None:
            self.nursery.start_soon(self._connect_and_send, call)
        else:
            self._send_on(connection, call)

    def _pop_idle(self) -> Connection | None:
        expired_before = clock.now() - IDLE_EXPIRY_S
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since >= expired_before:
                return connection
            connection.close()
        return None

    def _send_on(self, connection: Connection, call: Call) -> None:
        now = clock.now()
        if call.not_after is not None and now > call.not_after:
            self._release(connection)
            self._fail(call, NotSentError("the time limit for sending passed"))
            return
        if call.may_send is not None and not call.may_send():
            self._release(connection)
            self._fail(call, NotSentError("outdated before it was sent"))
            return
        try:
            connection.send(call.request)
        except NotSentError as error:
            connection.close()
            self._fail(call, error)
            return
        if call.on_sent is not None:
            call.on_sent()
        connection.call = call
        call.sent_at = now
        limit_s = call.timeout_s
        if call.on_overdue is not None and call.overdue_s < limit_s:
            limit_s = call.overdue_s
        self.deadlines.add(now + limit_s, self, connection, call)

    async def _connect_and_send(self, call: Call) -> None:
        try:
            connection = await connect(self.address, self.connect_timeout_s)
        except NotSentError as error:
            self._fail(call, error)
            return
        self.opened += 1
        self._open.add(connection)
        try:
            await self._prepare(connection)
            self._send_on(connection, call)
            await self._read(connection)
        except NotSentError as error:
            self._fail(call, error)
        finally:
            connection.close()
            self._open.discard(connection)

    async def _prepare(self, connection: Connection) -> None:
        """Makes the first call on a new connection.

        Raises:
            NotSentError: It failed, or the connection can't be used again.
        """
        try:
            await self.on_connect(connection)
        except (
            NoAnswerError,
            trio.TooSlowError,
            trio.ClosedResourceError,
        ) as error:
            raise NotSentError(f"first call failed: {error!r}") from error
        if self._is_closed or not connection.is_reusable:
            raise NotSentError("closed after the first call")

    async def _read(self, connection: Connection) -> None:
        """Reads the replies on a connection until it is closed."""
        while not connection.is_closed:
            try:
                await connection.wait()
            except trio.ClosedResourceError:
                return
            except NoAnswerError as error:
                self._close(connection, error)
                return
            self._receive(connection)

    def _receive(self, connection: Connection) -> None:
        try:
            reply = connection.receive()
        except NoAnswerError as error:
            self._close(connection, error)
            return
        if reply is None:
            return
        call = connection.call
        connection.call = None
        if call is None:
            self._close(connection, NoAnswerError("reply without a call"))
            return
        self._release(connection)
        call.is_done = True
        call.on_reply(reply)

    def _release(self, connection: Connection) -> None:
        """Returns a connection after a reply, or closes it."""
        if connection.is_reusable:
            connection.idle_since = clock.now()
            self._idle.append(connection)
        else:
            connection.close()

    def _close(self, connection: Connection, error: NoAnswerError) -> None:
        """Closes a connection; its call may have been executed."""
        connection.close()
        if connection in self._idle:
            self._idle.remove(connection)
        call = connection.call
        connection.call = None
        if call is not None:
            self._fail(call, error)

    def _fail(self, call: Call, error: NotSentError | NoAnswerError) -> None:
        if not call.is_done:
            call.is_done = True
            call.on_failure(error)

    def expire(self, connection: Connection, call: Call) -> None:
        """Ends a call whose time limit has passed, or reports it as overdue.

        A reply that has arrived but was not read yet still counts.
        """
        if connection.call is call and not connection.is_closed:
            self._receive(connection)
        if call.is_done:
            return
        ends_at = call.sent_at + call.timeout_s
        if (
            call.on_overdue is not None
            and not call.is_overdue
            and clock.now() < ends_at
        ):
            call.is_overdue = True
            self.deadlines.add(ends_at, self, connection, call)
            call.on_overdue()
            return
        self._close(connection, NoAnswerError("no reply in time"))

    def close(self) -> None:
        """Closes all connections and fails the calls in flight."""
        self._is_closed = True
        self._idle.clear()
        for connection in list(self._open):
            self._close(connection, NoAnswerError("the pool was closed"))
