"""TCP proxy that injects faults and delays, configured per route.

For peer links it reads the dialler's name from the hello of the handshake, so
that a delay or a partition can depend on the pair of peers.
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
# Offset of the dialler's name in the hello, after length, nonce and proof.
_HELLO_NAME_OFFSET = links.LENGTH_BYTES + 64


class Fault(enum.StrEnum):
    """Fault that is injected into a connection."""

    NONE = "none"
    REFUSE = "refuse"  # reset as soon as it is accepted
    RESET_MID_BODY = "reset_mid_body"  # after part of the request
    RESET_AFTER_BODY = "reset_after_body"  # after the request, before the reply
    RESET_MID_REPLY = "reset_mid_reply"  # after part of the reply
    HALF_OPEN = "half_open"  # the request never arrives, nothing is closed
    SWALLOW_REPLY = "swallow_reply"  # the reply never arrives
    REPEAT_REPLY = "repeat_reply"  # each reply arrives twice
    CLOSE_ON_REUSE = "close_on_reuse"  # reset when a second request arrives


@attrs.define(eq=False)
class ProxyRoute:
    """A listening address, the target of its connections, and their faults.

    Attributes:
        fault: Fault of new connections.
        faults_left: Number of new connections that still get the fault; None
            for all.
        delay_s: Delay of each direction.
        reset_after_bytes: Request bytes forwarded before RESET_MID_BODY.
        held: Directions, request (True) and reply (False), in which bytes and
            the end of the connection are held back until they are released, as
            in a network partition.
        delay_by_dialler: For peer links: returns the delay in seconds for
            the name of the dialler, or None to partition it.
        held_diallers: For peer links with `delay_by_dialler`: advertised ports
            of the diallers whose bytes are held back in both directions.
        holds_open_only: Whether only connections that were open at the last
            `hold` are held, so that new ones pass.
        open_connections: Client sides of the open connections.
        is_listening: Whether connections are accepted; else they are refused,
            as by a machine on which no process listens.
    """

    listen: tuple[str, int]
    target: tuple[str, int]
    fault: Fault = Fault.NONE
    faults_left: int | None = None
    delay_s: float = 0.0
    reset_after_bytes: int = 200
    fault_count: int = 0
    delay_by_dialler: collections.abc.Callable[[str], float | None] | None = (
        None
    )
    held: frozenset[bool] = frozenset()
    held_diallers: frozenset[int] = frozenset()
    holds_open_only: bool = False
    hold_count: int = 0
    open_connections: set[trio.SocketStream] = attrs.field(factory=set)
    is_listening: bool = True
    _held_changed: trio.Event = attrs.field(factory=trio.Event)
    _listening_changed: trio.Event = attrs.field(factory=trio.Event)

    def set_listening(self, is_listening: bool) -> None:
        """Opens the listener, or closes it with all its connections."""
        self.is_listening = is_listening
        self._listening_changed.set()
        self._listening_changed = trio.Event()
        if not is_listening:
            self.reset_connections()

    async def wait_listening(self, is_listening: bool) -> None:
        """Waits until the listener is open or closed."""
        while self.is_listening != is_listening:
            await self._listening_changed.wait()

    def hold(self, *directions: bool, open_only: bool = False) -> None:
        """Holds bytes back in these directions and releases the others."""
        self.held = frozenset(directions)
        self.holds_open_only = open_only
        self.hold_count += 1
        self._notify_held_changed()

    def hold_diallers(self, ports: frozenset[int]) -> None:
        """Holds the bytes of these diallers back and releases the others."""
        self.held_diallers = ports
        self._notify_held_changed()

    def _notify_held_changed(self) -> None:
        self._held_changed.set()
        self._held_changed = trio.Event()

    async def wait_released(
        self, direction: bool, dialler_port: int, opened_at_hold: int
    ) -> None:
        """Waits until bytes of a connection may pass in a direction.

        Args:
            direction: Request (True) or reply (False).
            dialler_port: Advertised port of its dialler; 0 if not known.
            opened_at_hold: `hold_count` when the connection was opened.
        """
        while dialler_port in self.held_diallers or (
            direction in self.held
            and (not self.holds_open_only or opened_at_hold < self.hold_count)
        ):
            await self._held_changed.wait()

    def next_fault(self) -> Fault:
        """Returns the fault for a new connection and counts it."""
        if self.fault == Fault.NONE or self.faults_left == 0:
            return Fault.NONE
        if self.faults_left is not None:
            self.faults_left -= 1
        self.fault_count += 1
        return self.fault

    def reset_connections(self) -> None:
        """Resets every open connection."""
        for stream in list(self.open_connections):
            _reset(stream)


def _reset(stream: trio.SocketStream) -> None:
    """Closes a socket so that the other side gets a TCP reset."""
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    OSError,
)


@attrs.define(eq=False)
class _Connection:
    """One proxied connection with its fault.

    Attributes:
        request_bytes: Bytes of requests forwarded so far.
        reply_bytes: Bytes of replies received so far.
        partial_reply: Reply held back until it is complete.
    """

    route: ProxyRoute
    client: trio.SocketStream
    server: trio.SocketStream
    fault: Fault
    delay_s: float
    dialler_port: int = 0
    request_bytes: int = 0
    reply_bytes: int = 0
    partial_reply: bytes = b""
    _opened_at_hold: int = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._opened_at_hold = self.route.hold_count

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forward, nursery, True)
            nursery.start_soon(self._forward, nursery, False)

    async def _forward(self, nursery: trio.Nursery, upstream: bool) -> None:
        """Forwards one direction, with its delay and fault.

        A connection error ends both directions by cancelling `nursery`.
        """
        source, sink = self.client, self.server
        if not upstream:
            source, sink = self.server, self.client
        send_channel, receive_channel = trio.open_memory_channel(1024)
        apply_fault = (
            self._apply_request_fault if upstream else self._apply_reply_fault
        )
        try:
            async with trio.open_nursery() as delivery_nursery:
                delivery_nursery.start_soon(
                    _write_chunks, receive_channel, sink
                )
                async with send_channel:
                    await self._read_chunks(
                        source, send_channel, apply_fault, upstream
                    )
        except* _CONNECTION_ERRORS:
            nursery.cancel_scope.cancel()

    async def _read_chunks(
        self, source, send_channel, apply_fault, upstream
    ) -> None:
        while True:
            data = await source.receive_some(CHUNK_BYTES)
            await self.route.wait_released(
                upstream, self.dialler_port, self._opened_at_hold
            )
            if not data:
                return
            data = await apply_fault(data)
            due = trio.current_time() + self.delay_s
            await send_channel.send((due, data))

    async def _apply_request_fault(self, data: bytes) -> bytes:
        if self.fault == Fault.HALF_OPEN:
            await trio.sleep_forever()
        if self.fault == Fault.CLOSE_ON_REUSE and self.reply_bytes:
            self._reset_both()
        if self.fault == Fault.RESET_MID_BODY:
            bytes_left = self.route.reset_after_bytes - self.request_bytes
            if len(data) >= bytes_left:
                with contextlib.suppress(*_CONNECTION_ERRORS):
                    await self.server.send_all(data[: max(bytes_left, 0)])
                self._reset_both()
        self.request_bytes += len(data)
        return data

    async def _apply_reply_fault(self, data: bytes) -> bytes:
        self.reply_bytes += len(data)
        if self.fault == Fault.RESET_AFTER_BODY:
            self._reset_both()
        if self.fault == Fault.SWALLOW_REPLY:
            await trio.sleep_forever()
        if self.fault == Fault.RESET_MID_REPLY:
            with contextlib.suppress(*_CONNECTION_ERRORS):
                await self.client.send_all(data[: len(data) // 2])
            self._reset_both()
        if self.fault == Fault.REPEAT_REPLY:
            return self._repeat_complete_reply(data)
        return data

    def _repeat_complete_reply(self, data: bytes) -> bytes:
        """Returns a complete reply twice; holds an incomplete one back."""
        self.partial_reply += data
        head, end, body = self.partial_reply.partition(b"\r\n\r\n")
        length = _CONTENT_LENGTH.search(head)
        if not end or (length and len(body) < int(length[1])):
            return b""
        complete_reply, self.partial_reply = self.partial_reply, b""
        return complete_reply + complete_reply

    def _reset_both(self) -> None:
        """Resets both sides and raises to end the forwarding tasks."""
        _reset(self.client)
        _reset(self.server)
        raise trio.ClosedResourceError


async def _write_chunks(receive_channel, sink: trio.SocketStream) -> None:
    """Writes chunks when they are due, in order."""
    async with receive_channel:
        async for due, data in receive_channel:
            wait_s = due - trio.current_time()
            if wait_s > 0:
                await trio.sleep(wait_s)
            await sink.send_all(data)
    with contextlib.suppress(*_CONNECTION_ERRORS):
        await sink.send_eof()


async def serve_connection(
    route: ProxyRoute, client: trio.SocketStream
) -> None:
    """Serves one accepted connection of a route."""
    fault = route.next_fault()
    if fault == Fault.REFUSE:
        _reset(client)
        return
    route.open_connections.add(client)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            server = await trio.open_tcp_stream(*route.target)
    except (OSError, trio.TooSlowError):
        _reset(client)
        route.open_connections.discard(client)
        return
    try:
        delay_s = route.delay_s
        dialler_port = 0
        if route.delay_by_dialler:
            dialler_port, delay_s = await _read_dialler(route, client, server)
        if delay_s is None:
            # Partitioned: the dialler receives nothing more.
            await trio.sleep_forever()
        connection = _Connection(
            route, client, server, fault, delay_s, dialler_port
        )
        await connection.run()
    except _CONNECTION_ERRORS:
        pass
    finally:
        route.open_connections.discard(client)
        for stream in (client, server):
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


async def _read_dialler(
    route: ProxyRoute, client: trio.SocketStream, server: trio.SocketStream
) -> tuple[int, float | None]:
    """Forwards the first frames of a handshake and looks up the link's delay.

    Returns the port of the dialler and the delay in seconds, which is None if
    the dialler is partitioned.
    """
    nonce = await _receive_exactly(server, links.LENGTH_BYTES + 32)
    await client.send_all(nonce)
    length_prefix = await _receive_exactly(client, links.LENGTH_BYTES)
    hello = await _receive_exactly(client, int.from_bytes(length_prefix, "big"))
    dialler = (length_prefix + hello)[_HELLO_NAME_OFFSET:].decode()
    delay_s = route.delay_by_dialler(dialler)
    if delay_s is not None:
        await server.send_all(length_prefix + hello)
    return int(dialler.rsplit("-", 2)[1]), delay_s


async def _receive_exactly(stream: trio.SocketStream, count: int) -> bytes:
    data = b""
    while len(data) < count:
        chunk = await stream.receive_some(count - len(data))
        if not chunk:
            raise trio.ClosedResourceError
        data += chunk
    return data


async def serve(
    route: ProxyRoute, task_status=trio.TASK_STATUS_IGNORED
) -> None:
    """Serves one route until cancelled, while it is to listen."""
    host, port = route.listen
    while True:
        await route.wait_listening(True)
        listeners = await trio.open_tcp_listeners(port, host=host)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                trio.serve_listeners,
                functools.partial(serve_connection, route),
                listeners,
            )
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await route.wait_listening(False)
            nursery.cancel_scope.cancel()
