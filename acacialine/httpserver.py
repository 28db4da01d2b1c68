"""HTTP server on non-blocking sockets, for short requests and answers.

Each connection has one task, which reads. A complete request is passed to a
handler at once, and its answer is written by a call of `Exchange.answer`, so
that no task and no cancel scope is needed for a request.
"""

import collections
import collections.abc
import contextlib
import http
import socket
import urllib.parse

import attrs
import httptools
import trio

from acacialine import accepting
from acacialine import clientlimits
from acacialine import clock

MAX_HEAD_BYTES = 32 << 10  # request line and headers
MAX_PIPELINED_REQUESTS = 16  # that wait while an earlier one is answered
# Of the requests that wait while an earlier one is answered. Beyond this the
# connection is not read until the answer.
MAX_PIPELINED_BYTES = 64 << 10
IDLE_TIMEOUT_S = 60.0  # of a connection without a request
REQUEST_TIMEOUT_S = 20.0  # from the first byte of a request to its last
WRITE_TIMEOUT_S = 20.0  # for the client to read an answer
# Time in which what a client still sends after a refused request is discarded,
# so that it can read the answer.
DISCARD_TIMEOUT_S = 2.0
_READ_BYTES = 16 << 10
_READ_BODY_BYTES = 64 << 10  # when no more than a body can arrive
# A longer read is parsed in slices, since it may have a request in every 18
# bytes or a chunk in every 6. Only one connection of a server parses a slice,
# or handles pipelined requests, each time that the event loop comes round.
_SLICE_BYTES = 2048
_REQUESTS_A_TURN = 4
# Headers that handlers or this server use. Others are not kept: 32 KB of short
# ones take about 0.5 MB as objects.
_KEPT_HEADERS = frozenset(
    {b"host", b"content-length", b"expect", b"deadline-ms"}
)
_BUSY_HEADERS = ((b"retry-after", b"%d" % clientlimits.RETRY_AFTER_S),)
# What is counted when a request is refused with a status.
_CAUSES = {
    400: clientlimits.Cause.MALFORMED,
    413: clientlimits.Cause.BODY,
    431: clientlimits.Cause.HEAD,
    503: clientlimits.Cause.MEMORY,
}


@attrs.frozen
class Request:
    """A complete HTTP request.

    Attributes:
        path: Path without the query, percent-decoded.
        headers: Those of _KEPT_HEADERS, by name in lower case.
    """

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


class Exchange:
    """One request and the way to answer it.

    Attributes:
        max_age_s: Time in s since the answer before it on its connection, or
            since the connection was accepted: its client sent it later.
        on_disconnect: Called if the client leaves before the answer.
    """

    def __init__(
        self, connection: "_Connection", request: Request, keep_alive: bool
    ):
        self.request = request
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.keep_alive = keep_alive
        self.is_answered = False
        self.max_age_s = 0.0
        self._connection = connection

    def discard_body(self) -> None:
        """Frees the body once it is decoded, while the answer takes time."""
        request = self.request
        self.request = Request(
            request.method, request.path, request.headers, b""
        )
        self._connection.update_held_bytes()

    def is_client_gone(self) -> bool:
        """Returns whether the client has closed its side of the connection."""
        return self._connection.is_at_end()

    def answer(
        self,
        status: int,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        close: bool = False,
    ) -> None:
        """Writes the answer.

        Args:
            status: HTTP status.
            body: Body of the answer.
            headers: Headers; Content-Length is added.
            close: Whether to close the connection afterwards.
        """
        if not self.is_answered:
            self.is_answered = True
            self.keep_alive = self.keep_alive and not close
            self._connection.write_answer(self, status, body, headers)


Handler = collections.abc.Callable[[Exchange], None]


@attrs.define(eq=False)
class Server:
    """Serves the connections of one listening address.

    Attributes:
        handler: Called with each request; answers it at once or later.
        max_body_bytes: Returns the largest body that is accepted.
        on_error: Called with an error that the handler raised; its request is
            answered with 500.
        nursery: Runs the tasks that finish large answers.
        budget: What the connections may hold together.
        request_limits: Returns the limits of one request; called by `sweep`.
        limits: The limits of one request that are in force.
        turn: Held by the connection that parses a slice of a long read.
    """

    handler: Handler
    max_body_bytes: collections.abc.Callable[[], int]
    on_error: collections.abc.Callable[[Exception], None]
    nursery: trio.Nursery
    budget: clientlimits.Budget = attrs.field(
        factory=clientlimits.new_unlimited_budget
    )
    request_limits: collections.abc.Callable[[], clientlimits.RequestLimits] = (
        clientlimits.RequestLimits
    )
    limits: clientlimits.RequestLimits = attrs.field(init=False)
    turn: trio.Lock = attrs.field(factory=trio.Lock)
    _connections: set["_Connection"] = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.limits = self.request_limits()

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Accepts and serves connections until cancelled."""
        await accepting.serve_listeners(
            self._serve_connection, listeners, self.budget
        )

    async def _serve_connection(
        self, sock: socket.socket, account: clientlimits.Account
    ) -> None:
        connection = _Connection(self, sock, account)
        self._connections.add(connection)
        try:
            with connection.scope:
                await connection.read()
        finally:
            connection.close()
            self._connections.discard(connection)

    def sweep(self, now: float) -> None:
        """Closes the connections whose time limits have passed."""
        self.limits = self.request_limits()
        for connection in list(self._connections):
            if now > connection.close_at:
                connection.expire()


class _Connection:
    """A connection of a client, with one request answered at a time.

    Attributes:
        close_at: Time after which `Server.sweep` closes it.
        scope: Of the task that reads; cancelled when the connection is closed.
    """

    def __init__(
        self,
        server: Server,
        sock: socket.socket,
        account: clientlimits.Account,
    ):
        self._server = server
        self._socket = sock
        self._account = account
        account.release = self.release
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._header_count = 0
        self._header_bytes = 0
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._max_body_bytes = 0
        self._is_head = True
        self._refusal = 0  # status of the answer to a refused request
        self._is_discarding = False
        self._is_closed = False
        self._is_handling = False
        self._unsent = b""
        self._open: Exchange | None = None
        self._waiting: collections.deque[Exchange] = collections.deque()
        self._waiting_bytes = 0
        self._unparsed_bytes = 0  # of a long read
        self._requests = 0  # handled of the data that was read last
        self._resumed: trio.Event | None = None  # while reading is paused
        self.scope = trio.CancelScope()
        self._idle_since = clock.now()
        self.close_at = self._idle_since + server.limits.idle_timeout_s

    async def read(self) -> None:
        """Reads requests until the connection is closed."""
        while not self._is_closed:
            if self._must_pause():
                await self._wait_until_resumed()
                continue
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(
                    min(_READ_BODY_BYTES, max(_READ_BYTES, self._body_left()))
                )
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                return
            if not data:
                return
            if self._is_discarding:
                continue
            if len(data) <= _SLICE_BYTES:
                self._receive(data)
            else:
                await self._receive_slices(data)
            if self._waiting:
                await self._handle_waiting()

    async def _receive_slices(self, data: bytes) -> None:
        """Receives data that may have very many requests or chunks."""
        self._unparsed_bytes = len(data)
        if not self.update_held_bytes():
            self._unparsed_bytes = 0
            self._refuse_for_room()
            return
        start = 0
        while start < len(data):
            while self._must_pause():
                await self._wait_until_resumed()
            # What remains of a body has no other request in it.
            end = start + self._body_left()
            if end > start:
                self._receive(data[start:end])
            else:
                end = start + _SLICE_BYTES
                async with self._server.turn:
                    if not self._is_closed and not self._is_discarding:
                        self._receive(data[start:end])
            start = end
            self._unparsed_bytes = max(0, len(data) - start)
            if self._waiting:
                await self._handle_waiting()
            if self._is_closed or self._is_discarding:
                break
        self._unparsed_bytes = 0
        self.update_held_bytes()

    async def _handle_waiting(self) -> None:
        """Handles pipelined requests, a few each time its turn comes."""
        while self._can_handle() and self._waiting:
            async with self._server.turn:
                self._handle_next(_REQUESTS_A_TURN)

    def is_at_end(self) -> bool:
        """Returns whether the client has sent all that it will send."""
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _can_handle(self) -> bool:
        return self._open is None and not self._unsent and not self._is_closed

    def _body_left(self) -> int:
        """Returns how much of the body is to come; 0 if it isn't known."""
        if self._is_head:
            return 0
        length = self._headers.get(b"content-length", b"0")
        return int(length) - self._body_bytes if length.isdigit() else 0

    def _must_pause(self) -> bool:
        """Returns whether reading waits for answers to be sent or read."""
        if self._is_closed:
            return False
        return bool(self._unsent) or (
            self._open is not None
            and not self._is_discarding
            and self._waiting_bytes + self._body_bytes > MAX_PIPELINED_BYTES
        )

    async def _wait_until_resumed(self) -> None:
        self._resumed = trio.Event()
        await self._resumed.wait()

    def _resume(self) -> None:
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    def update_held_bytes(self, growth: int = 0) -> bool:
        """Charges the account; returns False if there is no room to grow."""
        if self._is_closed:
            return True
        held_bytes = (
            clientlimits.CONNECTION_BYTES
            + self._head_bytes
            + self._unparsed_bytes
            + len(self._body)
            + self._waiting_bytes
            + len(self._unsent)
            + growth
        )
        if self._open is not None:
            held_bytes += len(self._open.request.body)
        if held_bytes == self._account.held_bytes:
            return True
        return self._server.budget.resize(
            self._account, held_bytes, clock.now()
        )

    def release(self, cause: clientlimits.Cause) -> None:
        """Makes room: drops waiting requests or closes the connection."""
        if self._is_closed:
            return
        self._server.budget.counts[cause] += 1
        if self._open is None:
            has_request = self._head_bytes or not self._is_head
            if has_request and not self._unsent and not self._is_discarding:
                answer = _encode_answer(503, b"", _BUSY_HEADERS, False)
                with contextlib.suppress(OSError):
                    self._socket.send(answer)
            self.close()
            return
        # The job of the open request was taken. What came after it was not.
        self._refusal = 503
        self._is_discarding = True
        self._drop_received()
        self.update_held_bytes()

    def _drop_received(self) -> None:
        """Drops all requests but the open one."""
        self._waiting.clear()
        self._waiting_bytes = 0
        self._url = b""
        self._headers = {}
        self._body = b""
        self._body_bytes = 0
        self._head_bytes = 0

    def _receive(self, data: bytes) -> None:
        self._requests = 0
        if self._is_head:
            self._head_bytes += len(data)
        budget = self._server.budget
        # Charged before it is parsed, which may keep all of it; if there is
        # plenty of room, only what is kept is charged.
        is_short = budget.held_bytes + len(data) > budget.max_bytes
        if is_short and not self.update_held_bytes(len(data)):
            self._refuse_for_room()
            return
        self._parse(data)
        if self._is_closed:
            return
        if self._refusal:
            budget.counts[_CAUSES[self._refusal]] += 1
            self._refuse()
        self.update_held_bytes()

    def _refuse_for_room(self) -> None:
        self._refusal = 503
        self._server.budget.counts[clientlimits.Cause.MEMORY] += 1
        self._drop_received()
        self._refuse()
        self.update_held_bytes()

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as if it had not asked for an upgrade.
            self._is_discarding = True
        except httptools.HttpParserError:
            self._refusal = self._refusal or 400
        if self._is_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refusal = self._refusal or 431
        if (
            self._open is not None
            and len(self._waiting) > MAX_PIPELINED_REQUESTS
        ):
            self._server.budget.counts[clientlimits.Cause.PIPELINED] += 1
            self.close()

    def _refuse(self) -> None:
        """Answers a refused request once the earlier ones are answered."""
        self._is_discarding = True
        if self._open is None and not self._waiting:
            headers = _BUSY_HEADERS if self._refusal == 503 else ()
            self._write(_encode_answer(self._refusal, b"", headers, False))
            self._drop_received()
            self.close_at = clock.now() + DISCARD_TIMEOUT_S
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        if not self._unsent and not self._is_closed:
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # the client has left

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Begins a request."""
        if self._open is None:
            now = clock.now()
            self._account.since = now
            self.close_at = now + self._server.limits.header_timeout_s

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._header_count += 1
        self._header_bytes += len(name) + len(value) + 4
        name = name.lower()
        if name in _KEPT_HEADERS:
            self._headers[name] = value

    def on_headers_complete(self) -> None:
        """Ends the head of a request."""
        self._is_head = False
        limits = self._server.limits
        if (
            self._header_bytes > limits.max_header_bytes
            or self._header_count > limits.max_headers
        ):
            self._refusal = self._refusal or 431
        self._head_bytes = len(self._url)
        self._header_bytes = 0
        self._header_count = 0
        if self._open is None:
            self.close_at = self._account.since + REQUEST_TIMEOUT_S
        self._max_body_bytes = self._server.max_body_bytes()
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._refusal = self._refusal or 413
        expects = self._headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and not self._refusal and self._open is None:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body, up to the limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._refusal = self._refusal or 413
            self._body = b""
        elif not self._refusal:
            if not self._body:
                self._body = body
                return
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body

    def on_message_complete(self) -> None:
        """Ends a request."""
        if not self._refusal:
            request = Request(
                self._parser.get_method().decode("latin-1"),
                _decode_path(self._url),
                self._headers,
                bytes(self._body),
            )
            keep_alive = (
                self._parser.should_keep_alive()
                and not self._parser.should_upgrade()
            )
            exchange = Exchange(self, request, keep_alive)
        self._url = b""
        self._headers = {}
        self._body = b""
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_head = True
        if self._refusal or self._is_discarding or self._is_closed:
            return
        if (
            not self._waiting
            and self._requests < _REQUESTS_A_TURN
            and self._can_handle()
        ):
            self._handle(exchange)
        else:
            self._waiting.append(exchange)
            self._waiting_bytes += _count_bytes(exchange.request)

    def _handle_next(self, limit: int = _SLICE_BYTES) -> None:
        """Passes waiting requests to the handler, up to a number of them.

        They wait while one is open or an answer can't be written.
        """
        if self._is_handling:
            return  # the loop below goes on when the handler returns
        self._is_handling = True
        self._requests = 0
        while self._waiting and self._requests < limit and self._can_handle():
            exchange = self._waiting.popleft()
            self._waiting_bytes -= _count_bytes(exchange.request)
            self._handle(exchange)
        self._is_handling = False

    def _handle(self, exchange: Exchange) -> None:
        self._open = exchange
        exchange.max_age_s = clock.now() - self._idle_since
        self._requests += 1
        self._account.is_protected = True
        self.close_at = float("inf")
        try:
            self._server.handler(exchange)
        except Exception as error:
            # A fault of the handler must end its request only.
            self._server.on_error(error)
            exchange.answer(500, close=True)

    def write_answer(
        self,
        exchange: Exchange,
        status: int,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
    ) -> None:
        """Writes the answer to the open request."""
        if self._is_closed:
            return
        self._open = None
        now = clock.now()
        self._account.is_protected = False
        self._account.since = self._idle_since = now
        self.close_at = now + self._server.limits.idle_timeout_s
        self._write(_encode_answer(status, body, headers, exchange.keep_alive))
        if not exchange.keep_alive:
            self._is_discarding = True
            self._drop_received()
            self.close_at = now + DISCARD_TIMEOUT_S
            self._shut_down_writing()
        elif self._refusal and not self._waiting:
            self._refuse()
        else:
            self._handle_next()
        self._resume()

    def _write(self, data: bytes) -> None:
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()  # the client has left
            return
        if sent < len(data):
            self._unsent = data[sent:]
            if not self.update_held_bytes():
                self._server.budget.counts[clientlimits.Cause.MEMORY] += 1
                self.close()
                return
            self._server.nursery.start_soon(self._write_rest)

    async def _write_rest(self) -> None:
        with trio.move_on_after(WRITE_TIMEOUT_S):
            while self._unsent and not self._is_closed:
                try:
                    await trio.lowlevel.wait_writable(self._socket)
                    sent = self._socket.send(self._unsent)
                except BlockingIOError:
                    continue
                except (OSError, trio.ClosedResourceError):
                    break
                self._unsent = self._unsent[sent:]
        if self._is_closed:
            return
        if self._unsent:
            self._server.budget.counts[clientlimits.Cause.UNREAD] += 1
            self.close()
        elif self._waiting:
            self._handle_next()
        elif self._is_discarding and self._open is None:
            self._shut_down_writing()
        self.update_held_bytes()
        self._resume()

    def expire(self) -> None:
        """Closes the connection, as its time is over."""
        if not self._is_discarding:
            self._server.budget.counts[clientlimits.Cause.TIMEOUT] += 1
        self.close()

    def close(self) -> None:
        """Closes the connection; its open request loses its client."""
        if self._is_closed:
            return
        self._is_closed = True
        self.scope.cancel()
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
        exchange = self._open
        self._open = None
        self._unsent = b""
        self._drop_received()
        self._server.budget.close(self._account)
        self._resume()
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()


def _count_bytes(request: Request) -> int:
    """Returns what a request that waits takes."""
    return clientlimits.REQUEST_BYTES + len(request.path) + len(request.body)


def _decode_path(url: bytes) -> str:
    """Returns the percent-decoded path of a request target."""
    if not url.startswith(b"/"):
        try:
            url = httptools.parse_url(url).path or b"/"
        except httptools.HttpParserInvalidURLError:
            return ""
    path = url.partition(b"?")[0].decode("latin-1")
    return urllib.parse.unquote(path) if "%" in path else path


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}


def _encode_answer(
    status: int,
    body: bytes,
    headers: tuple[tuple[bytes, bytes], ...],
    keep_alive: bool,
) -> bytes:
    parts = [_STATUS_LINES[status]]
    parts += [name + b": " + value + b"\r\n" for name, value in headers]
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"content-length: %d\r\n\r\n" % len(body))
    parts.append(body)
    return b"".join(parts)
