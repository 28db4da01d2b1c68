"""Links between entries: framed messages over authenticated TCP.

A control link carries one-way messages in one direction and is opened by the
sender. A call link carries one request at a time and its reply; a link whose
call ended without a reply is closed and never reused.
"""

import collections.abc
import contextlib
import itertools
import secrets
import ssl

import attrs
import trio

from acacialine import clock
from acacialine import codec
from acacialine import errors
from acacialine import ids
from acacialine import keys
from acacialine import messages

MAX_FRAME_BYTES = 64 << 20
MAX_HANDSHAKE_BYTES = 512
HANDSHAKE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_QUEUED_MESSAGES = 4096
RECONNECT_S = 0.1  # first delay; doubles up to the maximum
RECONNECT_MAX_S = 2.0
WRITE_TIMEOUT_S = 5.0
MAX_IDLE_CALL_LINKS = 64  # to one peer; a new link costs two round trips
LENGTH_BYTES = 4
_READ_BYTES = 65536


class NotSentError(errors.PeerError):
    """The request has certainly not reached the peer."""


class RefusedError(NotSentError):
    """The peer's address refused the connection."""


class NoReplyError(errors.PeerError):
    """The request may have reached the peer, but no reply arrived."""


@attrs.define(eq=False)
class FramedStream:
    """Length-prefixed frames over a byte stream.

    Attributes:
        sent_at: When the last frame was given to the stream.
    """

    stream: trio.abc.Stream
    sent_at: float = 0.0
    _buffer: bytearray = attrs.field(factory=bytearray)

    async def send_frame(self, data: bytes) -> None:
        """Sends one frame."""
        self.sent_at = clock.now()
        await self.stream.send_all(
            len(data).to_bytes(LENGTH_BYTES, "big") + data
        )

    async def receive_frame(self, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
        """Receives one frame; empty at the end of the stream.

        Raises:
            errors.PeerError: The frame exceeds the limit or is truncated.
        """
        # A peer that isn't authenticated yet is not read beyond its frame.
        chunk_bytes = min(_READ_BYTES, LENGTH_BYTES + max_bytes)
        if not await self._fill_buffer(LENGTH_BYTES, chunk_bytes):
            return b""
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > max_bytes:
            raise errors.PeerError(f"frame of {length} bytes exceeds the limit")
        if not await self._fill_buffer(LENGTH_BYTES + length, chunk_bytes):
            raise errors.PeerError("stream ended within a frame")
        frame_end = LENGTH_BYTES + length
        data = bytes(self._buffer[LENGTH_BYTES:frame_end])
        del self._buffer[:frame_end]
        return data

    async def _fill_buffer(self, min_bytes: int, chunk_bytes: int) -> bool:
        """Reads until the buffer has enough bytes; False at a clean end."""
        while len(self._buffer) < min_bytes:
            chunk = await self.stream.receive_some(chunk_bytes)
            if not chunk:
                if self._buffer:
                    raise errors.PeerError("stream ended within a frame")
                return False
            self._buffer += chunk
        return True

    def take_buffer(self) -> bytes:
        """Returns and clears the bytes that were read beyond the last frame."""
        data = bytes(self._buffer)
        self._buffer.clear()
        return data

    async def aclose(self) -> None:
        """Closes the stream without waiting for the peer."""
        await trio.aclose_forcefully(self.stream)


@attrs.frozen
class Identity:
    """Credentials with which an entry and its peers authenticate each other.

    Attributes:
        incarnation: Identifies this process.
        peer_keys: Accepted shared keys; the first is used to connect.
        server_tls: Context of accepted links; None without TLS.
        client_tls: Context of dialled links; None without TLS.
    """

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
        error_class = RefusedError if _is_refused(error) else NotSentError
        raise error_class(f"cannot connect to {address}: {error}") from error
    if identity.client_tls:
        stream = trio.SSLStream(stream, identity.client_tls)
    link = FramedStream(stream)
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            return link, await _authenticate_as_client(link, identity)
    except _LINK_ERRORS as error:
        await link.aclose()
        raise NotSentError(
            f"handshake with {address} failed: {error}"
        ) from error
    except trio.Cancelled:
        await link.aclose()
        raise


def _is_refused(error: BaseException) -> bool:
    """Returns whether a connection was refused, rather than timed out."""
    cause = error.__cause__ or error
    if isinstance(cause, BaseExceptionGroup):
        return all(map(_is_refused, cause.exceptions))
    return isinstance(cause, ConnectionRefusedError)


async def _authenticate_as_client(
    link: FramedStream, identity: Identity
) -> str:
    """Authenticates both sides of a dialled link; returns the peer's id."""
    own_id = str(identity.incarnation)
    key = identity.peer_keys[0]
    server_nonce = await link.receive_frame(MAX_HANDSHAKE_BYTES)
    client_nonce = secrets.token_bytes(keys.NONCE_BYTES)
    await link.send_frame(
        client_nonce
        + keys.compute_proof(key, "client", server_nonce, own_id)
        + own_id.encode()
    )
    reply = await link.receive_frame(MAX_HANDSHAKE_BYTES)
    proof, encoded_id = reply[: keys.PROOF_BYTES], reply[keys.PROOF_BYTES :]
    peer_id = encoded_id.decode(errors="replace")
    if not keys.find_matching_key(
        (key,), "server", client_nonce, peer_id, proof
    ):
        raise errors.PeerError("peer failed to prove knowledge of a shared key")
    _check_peer_id(peer_id)
    return peer_id


def _check_peer_id(peer_id: str) -> None:
    try:
        ids.parse_incarnation(peer_id)
    except ValueError as error:
        raise errors.PeerError(f"peer id {peer_id!r}: {error}") from error


async def authenticate_peer(link: FramedStream, identity: Identity) -> str:
    """Authenticates a peer that connected; returns its incarnation.

    Raises:
        errors.PeerError: It does not know a shared key, or its incarnation
            is malformed.
    """
    server_nonce = secrets.token_bytes(keys.NONCE_BYTES)
    await link.send_frame(server_nonce)
    hello = await link.receive_frame(MAX_HANDSHAKE_BYTES)
    if not hello:
        raise trio.BrokenResourceError("closed during the handshake")
    proof_end = keys.NONCE_BYTES + keys.PROOF_BYTES
    client_nonce = hello[: keys.NONCE_BYTES]
    received_proof = hello[keys.NONCE_BYTES : proof_end]
    peer_id = hello[proof_end:].decode(errors="replace")
    key = keys.find_matching_key(
        identity.peer_keys, "client", server_nonce, peer_id, received_proof
    )
    if key is None:
        raise errors.PeerError("peer failed to prove knowledge of a shared key")
    _check_peer_id(peer_id)
    own_id = str(identity.incarnation)
    proof = keys.compute_proof(key, "server", client_nonce, own_id)
    await link.send_frame(proof + own_id.encode())
    return peer_id


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
    """Sends one-way messages to one peer, reconnecting as needed.

    A message whose write fails is sent again on the next link, so the peer may
    get it twice.

    Attributes:
        on_unreachable: Called with the peer's incarnation when no link can
            be made or another process has its address.
        on_sent: Called with the bytes of each frame that was sent.
        dropped: Messages dropped because the queue was full.
    """

    identity: Identity
    peer_id: str
    address: tuple[str, int]
    on_unreachable: collections.abc.Callable[[str], None]
    on_sent: collections.abc.Callable[[int], None]
    _send_channel: trio.MemorySendChannel = attrs.field(init=False)
    _receive_channel: trio.MemoryReceiveChannel = attrs.field(init=False)
    dropped: int = 0
    # The message whose write has not ended; the next link sends it again.
    _unsent: messages.Message | None = None

    def __attrs_post_init__(self):
        self._send_channel, self._receive_channel = trio.open_memory_channel(
            MAX_QUEUED_MESSAGES
        )

    def post(self, message: messages.Message) -> None:
        """Queues a message; drops it if the queue is full."""
        try:
            self._send_channel.send_nowait(message)
        except trio.WouldBlock:
            self.dropped += 1

    def close(self) -> None:
        """Ends the link once its queue is empty."""
        self._send_channel.close()

    async def run(self) -> None:
        """Sends queued messages until `close` was called and all are sent."""
        delay_s = RECONNECT_S
        while True:
            try:
                link, peer_id = await dial(self.identity, self.address)
            except NotSentError:
                self.on_unreachable(self.peer_id)
                await trio.sleep(delay_s * (0.5 + secrets.randbelow(100) / 99))
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
                continue
            delay_s = RECONNECT_S
            try:
                if peer_id != self.peer_id:
                    # Another process has the address now.
                    self.on_unreachable(self.peer_id)
                    await trio.sleep(RECONNECT_MAX_S)
                    continue
                if await self._send_queued(link):
                    return
            except _LINK_ERRORS:
                continue
            finally:
                with trio.CancelScope(shield=True):
                    await link.aclose()

    async def _send_queued(self, link: FramedStream) -> bool:
        """Sends queued messages until the queue or the link is closed.

        Returns:
            True once the queue is closed, False if the link has ended.
        """
        is_done = False
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(_cancel_when_closed, link, scope)
                await self._send_until_closed(link)
                is_done = True
                scope.cancel()
        except* _LINK_ERRORS:
            pass  # `run` connects again
        return is_done

    async def _send_until_closed(self, link: FramedStream) -> None:
        while True:
            if self._unsent is None:
                try:
                    self._unsent = await self._receive_channel.receive()
                except trio.EndOfChannel:
                    return
            data = codec.encode(codec.Frame(0, self._unsent))
            with trio.fail_after(WRITE_TIMEOUT_S):
                await link.send_frame(data)
            self._unsent = None
            self.on_sent(len(data) + LENGTH_BYTES)


async def _cancel_when_closed(
    link: FramedStream, scope: trio.CancelScope
) -> None:
    """Cancels a scope when the peer closes a link.

    The peer sends nothing on this link, so a read ends only at its close.
    """
    with contextlib.suppress(*_LINK_ERRORS):
        await link.receive_frame(0)
    scope.cancel()


@attrs.define(eq=False)
class CallPool:
    """Calls one peer on pooled links, one call at a time on each."""

    identity: Identity
    peer_id: str
    address: tuple[str, int]
    _idle_links: list[FramedStream] = attrs.field(factory=list)
    _request_numbers: itertools.count = attrs.field(
        factory=lambda: itertools.count(1)
    )

    async def call(self, message: messages.Message) -> messages.Message:
        """Sends a request and returns its reply.

        Raises:
            NotSentError: The request has certainly not reached the peer.
            NoReplyError: It may have reached the peer, but no reply arrived.
        """
        link = await self._acquire_link()
        request_number = next(self._request_numbers)
        is_complete = False
        try:
            data = codec.encode(codec.Frame(request_number, message))
            await link.send_frame(data)
            reply = await link.receive_frame()
            if not reply:
                raise NoReplyError("the peer closed the link")
            frame = codec.decode(reply)
            if frame.request_id != request_number:
                raise NoReplyError("reply has the number of another request")
            is_complete = True
            return frame.message
        except NoReplyError:
            raise
        except _LINK_ERRORS as error:
            raise NoReplyError(f"call failed: {error}") from error
        finally:
            if is_complete and len(self._idle_links) < MAX_IDLE_CALL_LINKS:
                self._idle_links.append(link)
            else:
                with trio.CancelScope(shield=True):
                    await link.aclose()

    async def send_to_address(
        self,
        make_message: collections.abc.Callable[[str], messages.Message],
    ) -> str:
        """Sends one message to whichever incarnation has the address.

        Args:
            make_message: Returns the message for that incarnation.

        Returns:
            The peer's incarnation.
        """
        link, peer_id = await dial(self.identity, self.address)
        try:
            message = make_message(peer_id)
            await link.send_frame(codec.encode(codec.Frame(0, message)))
        finally:
            with trio.CancelScope(shield=True):
                await link.stream.aclose()
        return peer_id

    async def _acquire_link(self) -> FramedStream:
        while self._idle_links:
            link = self._idle_links.pop()
            if not _is_readable(link):
                return link
            await link.aclose()
        link, peer_id = await dial(self.identity, self.address)
        if peer_id != self.peer_id:
            await link.aclose()
            raise NotSentError(
                f"another incarnation of the peer has {self.address}"
            )
        return link

    async def aclose(self) -> None:
        """Closes the idle links."""
        while self._idle_links:
            await self._idle_links.pop().aclose()


def _is_readable(link: FramedStream) -> bool:
    """Returns whether an idle link is readable, so the peer closed it."""
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
    """Serves one connection of a peer until it ends.

    Args:
        stream: The accepted connection.
        identity: The identity of this entry.
        handler: Called with the peer's incarnation and each message; returns
            the reply to a call.
        on_rejected: Called with the reason when the handshake fails or a
            frame is malformed.
    """
    if identity.server_tls:
        stream = trio.SSLStream(stream, identity.server_tls, server_side=True)
    link = FramedStream(stream)
    peer_id = ""
    try:
        with trio.fail_after(HANDSHAKE_TIMEOUT_S):
            peer_id = await authenticate_peer(link, identity)
        while True:
            data = await link.receive_frame()
            if not data:
                return
            frame = codec.decode(data)
            reply = await handler(peer_id, frame.message)
            if frame.request_id and reply is not None:
                reply_frame = codec.Frame(frame.request_id, reply)
                await link.send_frame(codec.encode(reply_frame))
    except errors.PeerError as error:
        on_rejected(str(error))
    except _LINK_ERRORS as error:
        if not peer_id:
            reason = error.__cause__ or error
            on_rejected(f"handshake failed: {type(reason).__name__}: {reason}")
    finally:
        with trio.CancelScope(shield=True):
            await link.aclose()
