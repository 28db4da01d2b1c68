"""HTTP server on non-blocking sockets, for short requests and answers.

Each connection has one task, which reads. A complete request is passed to a
handler at once, and its answer is written by a call of `Exchange.answer`, so
that no task and no cancel scope is needed for a request.
"""

import collections
import collections.abc
import http
import socket
import urllib.parse

import attrs
import httptools
import trio

from acacialine import clock

MAX_HEAD_BYTES = 32 << 10  # request line and headers
MAX_PIPELINED_REQUESTS = 16  # that wait while an earlier one is answered
IDLE_TIMEOUT_S = 60.0  # of a connection without a request
REQUEST_TIMEOUT_S = 20.0  # from the first byte of a request to its last
WRITE_TIMEOUT_S = 20.0  # for the client to read an answer
# Time in which what a client still sends after a refused request is discarded,
# so that it can read the answer.
DISCARD_TIMEOUT_S = 2.0
_READ_BYTES = 65536


@attrs.frozen
class Request:
    """A complete HTTP request.

    Attributes:
        path: Path without the query, percent-decoded.
        headers: Headers by name in lower case.
    """

    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


class Exchange:
    """One request and the way to answer it.

    Attributes:
        on_disconnect: Called if the client leaves before the answer.
    """

    def __init__(
        self, connection: "_Connection", request: Request, keep_alive: bool
    ):
        self.request = request
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.keep_alive = keep_alive
        self.is_answered = False
        self._connection = connection

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
    """

    handler: Handler
    max_body_bytes: collections.abc.Callable[[], int]
    on_error: collections.abc.Callable[[Exception], None]
    nursery: trio.Nursery
    _connections: set["_Connection"] = attrs.field(factory=set)

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Accepts and serves connections until cancelled."""
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        sock = socket.socket(fileno=stream.socket.detach())
        sock.setblocking(False)
        connection = _Connection(self, sock)
        self._connections.add(connection)
        try:
            await connection.read()
        finally:
            connection.close()
            self._connections.discard(connection)

    def sweep(self, now: float) -> None:
        """Closes the connections whose time limits have passed."""
        for connection in list(self._connections):
            if now > connection.close_at:
                connection.close()


class _Connection:
    """A connection of a client, with one request answered at a time.

    Attributes:
        close_at: Time after which `Server.sweep` closes it.
    """

    def __init__(self, server: Server, sock: socket.socket):
        self._server = server
        self._socket = sock
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._max_body_bytes = 0
        self._is_head = True
        self._refusal = 0  # status of the answer to a refused request
        self._is_discarding = False
        self._is_closed = False
        self._unsent = b""
        self._open: Exchange | None = None
        self._waiting: collections.deque[Exchange] = collections.deque()
        self.close_at = clock.now() + IDLE_TIMEOUT_S

    async def read(self) -> None:
        """Reads requests until the connection is closed."""
        while not self._is_closed:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                return
            if not data:
                return
            if not self._is_discarding:
                self._receive(data)

    def _receive(self, data: bytes) -> None:
        if self._is_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as if it had not asked for an upgrade.
            self._is_discarding = True
        except httptools.HttpParserError:
            self._refusal = self._refusal or 400
        if self._is_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refusal = self._refusal or 431
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            self.close()
        elif self._refusal:
            self._refuse()

    def _refuse(self) -> None:
        """Answers a refused request once the earlier ones are answered."""
        self._is_discarding = True
        if self._open is None:
            self._write(_encode_answer(self._refusal, b"", (), False))
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
            self.close_at = clock.now() + REQUEST_TIMEOUT_S

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Ends the head of a request."""
        self._is_head = False
        self._head_bytes = 0
        self._max_body_bytes = self._server.max_body_bytes()
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._refusal = 413
        expects = self._headers.get(b"expect", b"").lower() == b"100-continue"
        if expects and not self._refusal and self._open is None:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body, up to the limit."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            self._refusal = self._refusal or 413
            self._body.clear()
        elif not self._refusal:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        if not self._refusal:
            request = Request(
                self._parser.get_method().decode("latin-1"),
                _decode_path(self._url),
                self._headers,
                b"".join(self._body),
            )
            keep_alive = (
                self._parser.should_keep_alive()
                and not self._parser.should_upgrade()
            )
            self._waiting.append(Exchange(self, request, keep_alive))
        self._url = b""
        self._headers = {}
        self._body = []
        self._body_bytes = 0
        self._is_head = True
        self._handle_next()

    def _handle_next(self) -> None:
        """Passes the next request to the handler, if none is open."""
        while self._waiting and self._open is None and not self._is_closed:
            exchange = self._open = self._waiting.popleft()
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
        self.close_at = clock.now() + IDLE_TIMEOUT_S
        self._write(_encode_answer(status, body, headers, exchange.keep_alive))
        if not exchange.keep_alive:
            self._is_discarding = True
            self._waiting.clear()
            self.close_at = clock.now() + DISCARD_TIMEOUT_S
            self._shut_down_writing()
        elif self._refusal and not self._waiting:
            self._refuse()
        else:
            self._handle_next()

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
        if self._unsent:
            self.close()
        elif self._is_discarding and self._open is None:
            self._shut_down_writing()

    def close(self) -> None:
        """Closes the connection; its open request loses its client."""
        if self._is_closed:
            return
        self._is_closed = True
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
        exchange = self._open
        self._open = None
        self._waiting.clear()
        if exchange is not None and exchange.on_disconnect is not None:
            exchange.on_disconnect()


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
