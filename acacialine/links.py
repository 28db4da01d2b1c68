"""Links between entries: framed messages over authenticated TCP.

A control link carries one-way messages in one direction and is dialled by
the sender. A call link carries one request at a time and its reply; one on
which a reply is outstanding is closed and never reused.
"""

import collections.abc
import contextlib
import itertools
import secrets
import ssl

import attrs
import trio

from acacialine import codec
from acacialine import errors
from acacialine import ids
from acacialine import keys
from acacialine import messages

FRAME_MAX_BYTES = 64 << 20
HANDSHAKE_MAX_BYTES = 512
HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
OUTBOX_FRAMES = 4096
RECONNECT_S = 0.1
RECONNECT_MAX_S = 2.0
WRITE_TIMEOUT_S = 5.0
IDLE_CALL_LINKS = 64  # to one peer; a new link costs two round trips
LENGTH_BYTES = 4


class NotSentError(errors.PeerError):
    """A call that surely did not reach the peer."""


class RefusedError(NotSentError):
    """Nobody listens at the peer's address."""


class CallBrokenError(errors.PeerError):
    """A call that may have reached the peer, but has no reply."""


@attrs.define(eq=False)
class FramedStream:
    """Length-prefixed frames over a byte stream."""

    stream: trio.abc.Stream
    _buffer: bytearray = attrs.field(factory=bytearray)

    async def send_bytes(self, data: bytes) -> None:
        """Sends one block of bytes."""
        await self.stream.send_all(
            len(data).to_bytes(LENGTH_BYTES, "big") + data
        )

    async def receive_bytes(self, limit: int = FRAME_MAX_BYTES) -> bytes:
        """Receives one block; empty at the end of the stream.

        Raises:
            errors.PeerError: The block is over the limit or cut off.
        """
        if not await self._fill(LENGTH_BYTES):
            return b""
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > limit:
            raise errors.PeerError(f"frame of {length} bytes is too large")
        if not await self._fill(LENGTH_BYTES + length):
            raise errors.PeerError("stream ended within a frame")
        end = LENGTH_BYTES + length
        data = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return data

    async def _fill(self, count: int) -> bool:
        while len(self._buffer) < count:
            chunk = await self.stream.receive_some(65536)
            if not chunk:
                if self._buffer:
                    raise errors.PeerError("stream ended within a frame")
                return False
            self._buffer += chunk
        return True

    async def aclose(self) -> None:
        """Closes the stream without waiting for the other side."""
        await trio.aclose_forcefully(self.stream)


@attrs.frozen
class Identity:
    """Who an entry is on its links, and the keys it knows."""

    incarnation: ids.Incarnation
    peer_keys: tuple[str, ...]
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


async def dial(
    identity: Identity, address: tuple[str, int]
) -> tuple[FramedStream, str]:
    """Connects to a peer and authenticates both sides.

    Returns:
        The link and the peer's incarnation.

    Raises:
        NotSentError: No authenticated link could be made.
    """
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(*address)
    except (OSError, trio.TooSlowError) as error:
        kind = RefusedError if _is_refused(error) else NotSentError
        raise kind(f"cannot connect to {address}: {error}") from error
    if identity.client_tls:
        stream = trio.SSLStream(stream, identity.client_tls)
    link = FramedStream(stream)
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            return link, await _prove_as_client(link, identity)
    except _LINK_ERRORS as error:
        await link.aclose()
        raise NotSentError(f"handshake with {address}: {error}") from error
    except trio.Cancelled:
        await link.aclose()
        raise


def _is_refused(error: BaseException) -> bool:
    """Returns whether a failed connection was refused, not just silent."""
    cause = error.__cause__ or error
    if isinstance(cause, BaseExceptionGroup):
        return all(map(_is_refused, cause.exceptions))
    return isinstance(cause, ConnectionRefusedError)


async def _prove_as_client(link: FramedStream, identity: Identity) -> str:
    me = str(identity.incarnation)
    key = identity.peer_keys[0]
    nonce = await link.receive_bytes(HANDSHAKE_MAX_BYTES)
    own_nonce = secrets.token_bytes(keys.NONCE_BYTES)
    await link.send_bytes(
        own_nonce + keys.proof(key, "client", nonce, me) + me.encode()
    )
    reply = await link.receive_bytes(HANDSHAKE_MAX_BYTES)
    given, peer = reply[: keys.PROOF_BYTES], reply[keys.PROOF_BYTES :]
    name = peer.decode(errors="replace")
    if not keys.matching_key((key,), "server", own_nonce, name, given):
        raise errors.PeerError("the peer does not know the shared key")
    return name


async def accept(link: FramedStream, identity: Identity) -> str:
    """Authenticates a peer that connected; returns its incarnation.

    Raises:
        errors.PeerError: It does not know a shared key.
    """
    nonce = secrets.token_bytes(keys.NONCE_BYTES)
    await link.send_bytes(nonce)
    hello = await link.receive_bytes(HANDSHAKE_MAX_BYTES)
    proof_end = keys.NONCE_BYTES + keys.PROOF_BYTES
    client_nonce = hello[: keys.NONCE_BYTES]
    given = hello[keys.NONCE_BYTES : proof_end]
    name = hello[proof_end:].decode(errors="replace")
    key = keys.matching_key(identity.peer_keys, "client", nonce, name, given)
    if key is None:
        raise errors.PeerError("the peer does not know the shared key")
    try:
        ids.parse_incarnation(name)
    except ValueError as error:
        raise errors.PeerError(str(error)) from error
    me = str(identity.incarnation)
    proof = keys.proof(key, "server", client_nonce, me)
    await link.send_bytes(proof + me.encode())
    return name


_LINK_ERRORS = (
    OSError,
    ssl.SSLError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    errors.PeerError,
)


@attrs.define(eq=False)
class ControlLink:
    """Sends one-way messages to one peer, connecting again as needed."""

    identity: Identity
    peer_id: str
    address: tuple[str, int]
    on_refused: collections.abc.Callable[[str], None]
    on_sent: collections.abc.Callable[[int], None]
    _send: trio.MemorySendChannel = attrs.field(init=False)
    _receive: trio.MemoryReceiveChannel = attrs.field(init=False)
    dropped: int = 0

    def __attrs_post_init__(self):
        self._send, self._receive = trio.open_memory_channel(OUTBOX_FRAMES)

    def post(self, message: messages.Message) -> None:
        """Queues a message; drops it if the peer takes none."""
        try:
            self._send.send_nowait(message)
        except trio.WouldBlock:
            self.dropped += 1

    def close(self) -> None:
        """Ends the link once its queue is empty."""
        self._send.close()

    async def run(self) -> None:
        """Sends queued messages until the link is closed."""
        delay_s = RECONNECT_S
        while True:
            try:
                link, peer = await dial(self.identity, self.address)
            except NotSentError:
                self.on_refused(self.peer_id)
                await trio.sleep(delay_s * (0.5 + secrets.randbelow(100) / 99))
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
                continue
            delay_s = RECONNECT_S
            try:
                if peer != self.peer_id:
                    # Another process has the address now.
                    self.on_refused(self.peer_id)
                    await trio.sleep(RECONNECT_MAX_S)
                    continue
                if await self._pump(link):
                    return
            except _LINK_ERRORS:
                continue
            finally:
                with trio.CancelScope(shield=True):
                    await link.aclose()

    async def _pump(self, link: FramedStream) -> bool:
        """Sends queued messages; True once the queue is closed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_close_at_end, link, nursery.cancel_scope)
            async for message in self._receive:
                data = codec.encode(codec.Frame(0, message))
                with trio.fail_after(WRITE_TIMEOUT_S):
                    await link.send_bytes(data)
                self.on_sent(len(data) + LENGTH_BYTES)
            nursery.cancel_scope.cancel()
            return True
        return False


async def _close_at_end(link: FramedStream, scope: trio.CancelScope) -> None:
    """Notices that the peer closed a link on which it sends nothing."""
    with contextlib.suppress(*_LINK_ERRORS):
        await link.receive_bytes(0)
    scope.cancel()


@attrs.define(eq=False)
class CallPool:
    """Request and reply to one peer, one request at a time per link."""

    identity: Identity
    peer_id: str
    address: tuple[str, int]
    _idle: list[FramedStream] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))

    async def call(self, message: messages.Message) -> messages.Message:
        """Sends a request and returns its reply.

        Raises:
            NotSentError: The request surely did not reach the peer.
            CallBrokenError: It may have, but there is no reply.
        """
        link = await self._take()
        number = next(self._numbers)
        done = False
        try:
            data = codec.encode(codec.Frame(number, message))
            await link.send_bytes(data)
            reply = await link.receive_bytes()
            if not reply:
                raise CallBrokenError("the peer closed the link")
            frame = codec.decode(reply)
            if frame.request_id != number:
                raise CallBrokenError("reply to another request")
            done = True
            return frame.message
        except CallBrokenError:
            raise
        except _LINK_ERRORS as error:
            raise CallBrokenError(f"call broke: {error}") from error
        finally:
            if done and len(self._idle) < IDLE_CALL_LINKS:
                self._idle.append(link)
            else:
                with trio.CancelScope(shield=True):
                    await link.aclose()

    async def introduce(
        self,
        make: collections.abc.Callable[[str], messages.Message],
    ) -> str:
        """Sends one message to whoever has the address.

        Returns:
            The peer's incarnation.
        """
        link, peer = await dial(self.identity, self.address)
        try:
            message = make(peer)
            await link.send_bytes(codec.encode(codec.Frame(0, message)))
        finally:
            with trio.CancelScope(shield=True):
                await link.stream.aclose()
        return peer

    async def _take(self) -> FramedStream:
        while self._idle:
            link = self._idle.pop()
            if not _is_readable(link):
                return link
            await link.aclose()
        link, peer = await dial(self.identity, self.address)
        if peer != self.peer_id:
            await link.aclose()
            raise NotSentError(f"{self.address} is another incarnation")
        return link

    async def aclose(self) -> None:
        """Closes the idle links."""
        while self._idle:
            await self._idle.pop().aclose()


def _is_readable(link: FramedStream) -> bool:
    """Returns whether an idle link has input, which means its end."""
    stream = link.stream
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    return stream.socket.is_readable()


Handler = collections.abc.Callable[
    [str, messages.Message],
    collections.abc.Awaitable[messages.Message | None],
]


async def serve_link(
    stream: trio.abc.Stream,
    identity: Identity,
    handler: Handler,
    on_rejected: collections.abc.Callable[[str], None],
) -> None:
    """Serves one connection of a peer until it ends."""
    if identity.server_tls:
        stream = trio.SSLStream(stream, identity.server_tls, server_side=True)
    link = FramedStream(stream)
    peer = ""
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            peer = await accept(link, identity)
        while True:
            data = await link.receive_bytes()
            if not data:
                return
            frame = codec.decode(data)
            reply = await handler(peer, frame.message)
            if frame.request_id and reply is not None:
                answer = codec.Frame(frame.request_id, reply)
                await link.send_bytes(codec.encode(answer))
    except errors.PeerError as error:
        on_rejected(str(error))
    except _LINK_ERRORS as error:
        if not peer:
            reason = error.__cause__ or error
            on_rejected(f"no handshake: {type(reason).__name__}: {reason}")
    finally:
        with trio.CancelScope(shield=True):
            await link.aclose()
