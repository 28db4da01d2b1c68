"""A pool of keep-alive HTTP connections to one address, without retries.

A call has a reply, or certainly was not sent, or may have been executed.
Callers treat the last two differently, so each has its own exception.
"""

import collections.abc

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine import errors
from acacialine import streams

MAX_REPLY_BYTES = 64 << 20
IDLE_EXPIRY_S = 3.0  # below the 4 s after which backend servers close them


class NotSentError(errors.AcacialineError):
    """No part of a call can have reached the server."""

    def __init__(self, message: str):
        super().__init__(errors.Code.UNREACHABLE, message)


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


_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    ValueError,
)


@attrs.define(eq=False)
class ConnectionPool:
    """The connection pool of this process to one address.

    Attributes:
        on_connect: Called with each new connection before its first call;
            may raise one of the errors of this module.
        opened: Number of connections opened so far.
    """

    address: tuple[str, int]
    connect_timeout_s: float
    on_connect: (
        collections.abc.Callable[
            [httpcore.AsyncHTTP11Connection], collections.abc.Awaitable[None]
        ]
        | None
    ) = None
    opened: int = 0
    _idle: list[tuple[float, httpcore.AsyncHTTP11Connection]] = attrs.field(
        factory=list
    )
    _origin: httpcore.Origin = attrs.field(init=False)
    _host_header: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        host, port = self.address
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._host_header = f"{host}:{port}".encode()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        not_after: float | None = None,
    ) -> Reply:
        """Makes one call and returns its reply.

        Args:
            method: HTTP method.
            target: Path and query.
            body: Request body.
            timeout_s: Time limit for the exchange, without connecting, in s.
            headers: Additional request headers.
            not_after: Time after which the call must not be sent.

        Raises:
            NotSentError: The call certainly did not reach the server.
            NoAnswerError: The call may have reached the server.
        """
        connection = await self._acquire_connection()
        if not_after is not None and clock.now() > not_after:
            self._return_connection(connection)
            raise NotSentError("the time limit for sending has passed")
        reusable = False
        try:
            with trio.fail_after(timeout_s):
                reply = await self.exchange(
                    connection, method, target, body, headers
                )
            reusable = connection.is_idle()
            return reply
        except _EXCHANGE_ERRORS as error:
            reason = f"{type(error).__name__}: {error}"
            raise NoAnswerError(reason) from error
        finally:
            if reusable:
                self._return_connection(connection)
            else:
                await _close(connection)

    async def exchange(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Reply:
        """Sends one request on a connection and reads the whole reply."""
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=target.encode(),
        )
        request_headers = [(b"host", self._host_header), *headers]
        if body or method == "POST":
            request_headers.append((b"content-type", b"application/json"))
            request_headers.append((b"content-length", b"%d" % len(body)))
        request = httpcore.Request(
            method, url, headers=request_headers, content=body
        )
        response = await connection.handle_async_request(request)
        try:
            content = bytearray()
            async for chunk in response.stream:
                content += chunk
                if len(content) > MAX_REPLY_BYTES:
                    raise ValueError("reply exceeds the size limit")
        finally:
            await response.stream.aclose()
        reply_headers = {
            name.lower(): value for name, value in response.headers
        }
        return Reply(response.status, bytes(content), reply_headers)

    async def _acquire_connection(self) -> httpcore.AsyncHTTP11Connection:
        now = clock.now()
        while self._idle:
            idle_since, connection = self._idle.pop()
            if (
                now - idle_since < IDLE_EXPIRY_S
                and not connection.has_expired()
            ):
                return connection
            await _close(connection)
        try:
            stream = await streams.connect(self.address, self.connect_timeout_s)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise NotSentError(f"{type(error).__name__}: {error}") from error
        self.opened += 1
        connection = httpcore.AsyncHTTP11Connection(self._origin, stream)
        if self.on_connect is not None:
            try:
                await self.on_connect(connection)
            except _EXCHANGE_ERRORS as error:
                await _close(connection)
                raise NotSentError(f"on_connect failed: {error!r}") from error
            except BaseException:
                await _close(connection)
                raise
        return connection

    def _return_connection(
        self, connection: httpcore.AsyncHTTP11Connection
    ) -> None:
        self._idle.append((clock.now(), connection))

    async def aclose(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            _, connection = self._idle.pop()
            await _close(connection)


async def _close(connection: httpcore.AsyncHTTP11Connection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
