"""Kept-alive HTTP connections to one address, without any retry.

A call either certainly was not sent, or has an answer, or may have been
carried out. The difference matters to every caller, so it is an exception
of its own.
"""

import collections.abc

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine import errors
from acacialine import streams

ANSWER_MAX_BYTES = 64 << 20
IDLE_S = 3.0  # backend servers close idle connections after 4 s


class NotSentError(errors.AcacialineError):
    """Nothing of a call can have reached the other side."""

    def __init__(self, message: str):
        super().__init__(errors.Code.UNREACHABLE, message)


class NoAnswerError(errors.AcacialineError):
    """A call was sent, at least in part, and has no answer."""

    def __init__(self, message: str):
        super().__init__(errors.Code.UNREACHABLE, message)


@attrs.frozen
class Reply:
    """A complete answer; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    trio.TooSlowError,
    ValueError,
)


@attrs.define(eq=False)
class Channels:
    """The connections of this process to one address.

    Attributes:
        on_connect: Called with each new connection before its first use by
            a caller; may raise one of the errors of this module.
        opened: Connections opened so far.
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
    _host: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        host, port = self.address
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._host = f"{host}:{port}".encode()

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        not_after: float | None = None,
    ) -> Reply:
        """Makes one call; it is not sent after the time not_after.

        Raises:
            NotSentError: It certainly did not reach the other side.
            NoAnswerError: It may have.
        """
        connection = await self._take()
        if not_after is not None and clock.now() > not_after:
            self._put_back(connection)
            raise NotSentError("too late to send")
        kept = False
        try:
            with trio.fail_after(timeout_s):
                reply = await self.exchange(
                    connection, method, target, body, headers
                )
            kept = connection.is_idle()
            return reply
        except _BROKEN as error:
            reason = f"{type(error).__name__}: {error}"
            raise NoAnswerError(reason) from error
        finally:
            if kept:
                self._put_back(connection)
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
        """Sends one request on a connection and reads the answer."""
        url = httpcore.URL(
            scheme=b"http",
            host=self._origin.host,
            port=self._origin.port,
            target=target.encode(),
        )
        fields = [(b"host", self._host), *headers]
        if body or method == "POST":
            fields.append((b"content-type", b"application/json"))
            fields.append((b"content-length", b"%d" % len(body)))
        request = httpcore.Request(method, url, headers=fields, content=body)
        response = await connection.handle_async_request(request)
        try:
            content = bytearray()
            async for chunk in response.stream:
                content += chunk
                if len(content) > ANSWER_MAX_BYTES:
                    raise ValueError("answer is too large")
        finally:
            await response.stream.aclose()
        found = {name.lower(): value for name, value in response.headers}
        return Reply(response.status, bytes(content), found)

    async def _take(self) -> httpcore.AsyncHTTP11Connection:
        now = clock.now()
        while self._idle:
            since, connection = self._idle.pop()
            if now - since < IDLE_S and not connection.has_expired():
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
            except _BROKEN as error:
                await _close(connection)
                raise NotSentError(f"first look: {error!r}") from error
            except BaseException:
                await _close(connection)
                raise
        return connection

    def _put_back(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        self._idle.append((clock.now(), connection))

    async def aclose(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            _, connection = self._idle.pop()
            await _close(connection)


async def _close(connection: httpcore.AsyncHTTP11Connection) -> None:
    with trio.CancelScope(shield=True):
        await connection.aclose()
