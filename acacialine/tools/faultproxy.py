"""A TCP proxy that injects faults and delays, route by route.

The proxy of a peer link learns who dials from the hello of the handshake,
so that zones can be cut off from each other.
"""

import collections.abc
import contextlib
import enum
import functools
import re
import socket
import struct

import attrs
import trio

from acacialine import links

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 2.0
_CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.I)
HELLO_NAME_AT = links.LENGTH_BYTES + 64  # after length, nonce and proof


class Fault(enum.StrEnum):
    """What happens to a connection."""

    NONE = "none"
    REFUSE = "refuse"  # reset as soon as it is accepted
    RESET_MID_BODY = "reset_mid_body"  # after part of the request
    RESET_AFTER_BODY = "reset_after_body"  # before any of the reply
    RESET_MID_REPLY = "reset_mid_reply"  # after part of the reply
    HALF_OPEN = "half_open"  # the request never arrives, nothing is closed
    SWALLOW_REPLY = "swallow_reply"  # the reply never arrives
    REPEAT_REPLY = "repeat_reply"  # each reply arrives twice
    CLOSE_ON_REUSE = "close_on_reuse"  # closes as a second request arrives


@attrs.define(eq=False)
class Route:
    """One listening address and where it leads.

    Attributes:
        fault: What happens to connections from now on.
        count: Connections still to be hit; None is all.
        delay_s: Delay of each direction.
        mid_bytes: Bytes passed before a reset in the middle.
        held: Directions, request (True) and reply (False), in which bytes are
            held back until they are released, as behind a cut.
        rule: For peer links: delay in s by dialling incarnation; None cuts.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    fault: Fault = Fault.NONE
    count: int | None = None
    delay_s: float = 0.0
    mid_bytes: int = 200
    hits: int = 0
    rule: collections.abc.Callable[[str], float | None] | None = None
    held: frozenset[bool] = frozenset()
    open: set[trio.SocketStream] = attrs.field(factory=set)
    _released: trio.Event = attrs.field(factory=trio.Event)

    def hold(self, *directions: bool) -> None:
        """Holds bytes back in some directions; in none releases them all."""
        self.held = frozenset(directions)
        self._released.set()
        self._released = trio.Event()

    async def wait_released(self, direction: bool) -> None:
        """Returns once bytes may pass in a direction."""
        while direction in self.held:
            await self._released.wait()

    def take_fault(self) -> Fault:
        """Returns the fault of a new connection."""
        if self.fault == Fault.NONE or self.count == 0:
            return Fault.NONE
        if self.count is not None:
            self.count -= 1
        self.hits += 1
        return self.fault

    def reset_all(self) -> None:
        """Resets every open connection."""
        for stream in list(self.open):
            _reset(stream)


def _reset(stream: trio.SocketStream) -> None:
    """Closes a socket so that the other side sees a reset."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


@attrs.define(eq=False)
class _Connection:
    """One proxied connection."""

    route: Route
    client: trio.SocketStream
    server: trio.SocketStream
    fault: Fault
    delay_s: float
    sent: int = 0
    replied: int = 0
    held: bytes = b""

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, nursery, True)
            nursery.start_soon(self._pump, nursery, False)

    async def _pump(self, nursery: trio.Nursery, upstream: bool) -> None:
        """Passes one direction on, with its delay and faults."""
        source, sink = self.client, self.server
        if not upstream:
            source, sink = self.server, self.client
        send, receive = trio.open_memory_channel(1024)
        filtered = self._filter_request if upstream else self._filter_reply
        try:
            async with trio.open_nursery() as inner:
                inner.start_soon(_deliver, receive, sink)
                async with send:
                    await self._read(source, send, filtered, upstream)
        except* _ERRORS:
            nursery.cancel_scope.cancel()

    async def _read(self, source, send, filtered, upstream) -> None:
        while True:
            data = await source.receive_some(CHUNK_BYTES)
            if not data:
                return
            await self.route.wait_released(upstream)
            data = await filtered(data)
            due = trio.current_time() + self.delay_s
            await send.send((due, data))

    async def _filter_request(self, data: bytes) -> bytes:
        if self.fault == Fault.HALF_OPEN:
            await trio.sleep_forever()
        if self.fault == Fault.CLOSE_ON_REUSE and self.replied:
            self._cut()
        if self.fault == Fault.RESET_MID_BODY:
            left = self.route.mid_bytes - self.sent
            if len(data) >= left:
                with contextlib.suppress(*_ERRORS):
                    await self.server.send_all(data[: max(left, 0)])
                self._cut()
        self.sent += len(data)
        return data

    async def _filter_reply(self, data: bytes) -> bytes:
        self.replied += len(data)
        if self.fault == Fault.RESET_AFTER_BODY:
            self._cut()
        if self.fault == Fault.SWALLOW_REPLY:
            await trio.sleep_forever()
        if self.fault == Fault.RESET_MID_REPLY:
            with contextlib.suppress(*_ERRORS):
                await self.client.send_all(data[: len(data) // 2])
            self._cut()
        if self.fault == Fault.REPEAT_REPLY:
            return self._repeat_when_whole(data)
        return data

    def _repeat_when_whole(self, data: bytes) -> bytes:
        """Holds a reply back until it is whole, then passes it on twice."""
        self.held += data
        head, end, body = self.held.partition(b"\r\n\r\n")
        length = _CONTENT_LENGTH.search(head)
        if not end or (length and len(body) < int(length[1])):
            return b""
        whole, self.held = self.held, b""
        return whole + whole

    def _cut(self) -> None:
        _reset(self.client)
        _reset(self.server)
        raise trio.ClosedResourceError


async def _deliver(receive, sink: trio.SocketStream) -> None:
    """Writes chunks when they are due, in order."""
    async with receive:
        async for due, data in receive:
            wait_s = due - trio.current_time()
            if wait_s > 0:
                await trio.sleep(wait_s)
            await sink.send_all(data)
    with contextlib.suppress(*_ERRORS):
        await sink.send_eof()


async def serve_connection(route: Route, client: trio.SocketStream) -> None:
    """Serves one accepted connection of a route."""
    fault = route.take_fault()
    if fault == Fault.REFUSE:
        _reset(client)
        return
    route.open.add(client)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            server = await trio.open_tcp_stream(*route.target)
    except (OSError, trio.TooSlowError):
        _reset(client)
        route.open.discard(client)
        return
    try:
        delay_s = route.delay_s
        if route.rule:
            delay_s = await _peer_delay(route, client, server)
        if delay_s is None:
            # Cut off: the dialler hears nothing more.
            await trio.sleep_forever()
        await _Connection(route, client, server, fault, delay_s).run()
    except _ERRORS:
        pass
    finally:
        route.open.discard(client)
        for stream in (client, server):
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


async def _peer_delay(
    route: Route, client: trio.SocketStream, server: trio.SocketStream
) -> float | None:
    """Passes the handshake's first frames on and applies the rule."""
    nonce = await _receive_exactly(server, links.LENGTH_BYTES + 32)
    await client.send_all(nonce)
    head = await _receive_exactly(client, links.LENGTH_BYTES)
    hello = await _receive_exactly(client, int.from_bytes(head, "big"))
    delay_s = route.rule((head + hello)[HELLO_NAME_AT:].decode())
    if delay_s is not None:
        await server.send_all(head + hello)
    return delay_s


async def _receive_exactly(stream: trio.SocketStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        chunk = await stream.receive_some(count - len(data))
        if not chunk:
            raise trio.ClosedResourceError
        data += chunk
    return data


async def serve(route: Route, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Serves one route until cancelled."""
    host, port = route.listen
    listeners = await trio.open_tcp_listeners(port, host=host)
    await trio.serve_listeners(
        functools.partial(serve_connection, route),
        listeners,
        task_status=task_status,
    )
