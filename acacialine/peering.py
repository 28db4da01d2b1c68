"""Links between dispatchers: long-lived connections for many messages.

A dispatcher dials every peer that it sends requests to, so two dispatchers
may have one link in each direction. The dialling side sends heartbeats and
the other side replies to each with its own, so both sides detect a link
that fails in either direction.
"""

import collections.abc

import attrs
import trio

from acacialine import clock
from acacialine import codec
from acacialine import errors
from acacialine import links
from acacialine import messages

FAST_HEARTBEAT_INTERVAL_S = 0.15
SLOW_HEARTBEAT_INTERVAL_S = 0.4
FAST_SILENCE_LIMIT_S = 0.6  # without any message; four fast heartbeats
SLOW_SILENCE_LIMIT_S = 1.0
UNREACHABLE_AFTER_S = 1.5  # since the last contact, without an open link
RECONNECT_DELAY_S = 0.1
RECONNECT_MAX_DELAY_S = 1.0
OUTBOX_CAPACITY = 4096  # messages


@attrs.define(eq=False)
class Outbox:
    """The send queue of one side of a link.

    One Trio task takes all messages that are queued and sends them in one
    write.
    """

    link: links.FramedStream
    _sender: trio.MemorySendChannel = attrs.field(init=False)
    _receiver: trio.MemoryReceiveChannel = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._sender, self._receiver = trio.open_memory_channel(OUTBOX_CAPACITY)

    def post(self, message: messages.Message) -> bool:
        """Queues a message; returns False if the queue is full or closed."""
        try:
            self._sender.send_nowait(message)
        except (trio.WouldBlock, trio.ClosedResourceError):
            return False
        return True

    async def run(self) -> None:
        """Writes the queued messages until cancelled or the link fails."""
        while True:
            frames = [_encode_frame(await self._receiver.receive())]
            while True:
                try:
                    frames.append(
                        _encode_frame(self._receiver.receive_nowait())
                    )
                except trio.WouldBlock:
                    break
            with trio.fail_after(links.WRITE_TIMEOUT_S):
                await self.link.stream.send_all(b"".join(frames))


def _encode_frame(message: messages.Message) -> bytes:
    data = codec.encode(codec.Frame(0, message))
    return len(data).to_bytes(links.LENGTH_BYTES, "big") + data


_LINK_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
    errors.PeerError,
)


class _LinkEndedError(Exception):
    """Ends the nursery of a link that was closed or is silent."""


@attrs.define(eq=False)
class AcceptedLink:
    """A link that was dialled by a peer and accepted here.

    Its outbox is an origin of the jobs that the peer submits on it and is
    removed from them when the link ends.

    Attributes:
        heard_at: Time of the last message.
        is_silent: Whether the link ended because no message arrived.
    """

    peer_id: str
    outbox: Outbox
    heard_at: float
    is_silent: bool = False


@attrs.define(eq=False)
class PeerLink:
    """The link that this dispatcher dials to one peer.

    Attributes:
        has_fast_heartbeat: Whether the shorter heartbeat interval and
            silence limit apply.
        heartbeat: The peer's newest heartbeat; None until one has arrived on
            the current connection.
        heard_at: Time of the last message; 0 before the first connection.
        heartbeat_at: When `heartbeat` arrived.
        is_refused: Whether the peer's address refused the last connection.
    """

    address: tuple[str, int]
    zone: str
    has_fast_heartbeat: bool
    hub: "Hub"
    peer_id: str = ""
    heartbeat: messages.ZoneState | None = None
    heard_at: float = 0.0
    heartbeat_at: float = 0.0
    is_refused: bool = False
    created_at: float = attrs.field(factory=clock.now)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _outbox: Outbox | None = None

    @property
    def is_open(self) -> bool:
        """Whether the link is connected and a heartbeat has arrived."""
        return self._outbox is not None and self.heartbeat is not None

    def is_unreachable(self, now: float) -> bool:
        """Returns whether the peer cannot be reached.

        This is so if there is no open link and either the last connection
        attempt was refused or the last contact was too long ago.
        """
        if self.is_open:
            return False
        last_contact_at = max(self.created_at, self.heard_at)
        return self.is_refused or now - last_contact_at > UNREACHABLE_AFTER_S

    def post(self, message: messages.Message) -> bool:
        """Queues a message; returns False if it cannot be sent."""
        return self._outbox is not None and self._outbox.post(message)

    async def run(self) -> None:
        """Connects, and reconnects after a failure, until cancelled."""
        retry_delay_s = RECONNECT_DELAY_S
        with self.scope:
            while True:
                try:
                    link, self.peer_id = await links.dial(
                        self.hub.identity, self.address
                    )
                except links.NotSentError as error:
                    self.is_refused = isinstance(error, links.RefusedError)
                    self.hub.on_dial_failed(self)
                    await trio.sleep(retry_delay_s)
                    retry_delay_s = min(
                        retry_delay_s * 2, RECONNECT_MAX_DELAY_S
                    )
                    continue
                retry_delay_s = RECONNECT_DELAY_S
                self.is_refused = False
                await self._run_connection(link)

    async def _run_connection(self, link: links.FramedStream) -> None:
        self._outbox = Outbox(link)
        self.heard_at = clock.now()
        reason = "closed"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._outbox.run)
                nursery.start_soon(self._send_heartbeats)
                nursery.start_soon(self._receive, link)
        except* _LINK_ERRORS as group:
            reason = str(group.exceptions[0])
        except* _LinkEndedError as group:
            reason = str(group.exceptions[0])
        finally:
            self._outbox = None
            was_open = self.heartbeat is not None
            self.heartbeat = None
            with trio.CancelScope(shield=True):
                await link.aclose()
            if was_open:
                self.hub.on_link_closed(self, reason)

    async def _send_heartbeats(self) -> None:
        while True:
            interval_s = (
                FAST_HEARTBEAT_INTERVAL_S
                if self.has_fast_heartbeat
                else SLOW_HEARTBEAT_INTERVAL_S
            )
            silence_limit_s = (
                FAST_SILENCE_LIMIT_S
                if self.has_fast_heartbeat
                else SLOW_SILENCE_LIMIT_S
            )
            if clock.now() - self.heard_at > silence_limit_s:
                raise _LinkEndedError("silent")
            self.post(self.hub.build_heartbeat(False))
            await trio.sleep(interval_s)

    async def _receive(self, link: links.FramedStream) -> None:
        while True:
            data = await link.receive_frame()
            if not data:
                raise _LinkEndedError("closed by the peer")
            self.heard_at = clock.now()
            message = codec.decode(data).message
            if isinstance(message, messages.ZoneState):
                was_open = self.heartbeat is not None
                self.heartbeat = message
                self.heartbeat_at = self.heard_at
                if not was_open:
                    self.hub.on_link_opened(self)
            self.hub.on_message(self, message)


@attrs.define(eq=False)
class Hub:
    """All links of one dispatcher.

    Attributes:
        build_heartbeat: Returns the heartbeat to send; the argument says
            whether it is a reply.
        on_message: Called with each message on a dialled link.
        on_request: Called with each message on an accepted link.
        on_session_closed: Called when an accepted link has ended.
        on_link_opened: Called after the first heartbeat on a dialled link.
        on_link_closed: Called with the reason when an open link has ended.
        on_dial_failed: Called when a connection attempt failed.
        dialled_links: The dialled links by address.
    """

    identity: links.Identity
    build_heartbeat: collections.abc.Callable[[bool], messages.ZoneState]
    on_message: collections.abc.Callable
    on_request: collections.abc.Callable
    on_session_closed: collections.abc.Callable
    on_link_opened: collections.abc.Callable
    on_link_closed: collections.abc.Callable
    on_dial_failed: collections.abc.Callable
    dialled_links: dict[tuple[str, int], PeerLink] = attrs.field(factory=dict)

    def find_open_link(self, peer_id: str) -> PeerLink | None:
        """Returns the open link to a peer; None if there is none."""
        for link in self.dialled_links.values():
            if link.peer_id == peer_id and link.is_open:
                return link
        return None

    def dial(
        self,
        address: tuple[str, int],
        zone: str,
        has_fast_heartbeat: bool,
        nursery: trio.Nursery,
    ) -> None:
        """Starts a link to an address or changes its heartbeat speed."""
        if address not in self.dialled_links:
            link = PeerLink(address, zone, has_fast_heartbeat, self)
            self.dialled_links[address] = link
            nursery.start_soon(link.run)
        self.dialled_links[address].has_fast_heartbeat = has_fast_heartbeat

    def drop(self, address: tuple[str, int]) -> None:
        """Closes and removes the link to an address, if there is one."""
        link = self.dialled_links.pop(address, None)
        if link is not None:
            link.scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one link that a peer dialled, until it ends."""
        link = links.FramedStream(stream)
        session = None
        try:
            with trio.fail_after(links.HANDSHAKE_TIMEOUT_S):
                peer_id = await links.authenticate_peer(link, self.identity)
            session = AcceptedLink(peer_id, Outbox(link), clock.now())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.outbox.run)
                nursery.start_soon(_end_when_silent, session)
                await self._receive(link, session)
                nursery.cancel_scope.cancel()
        except* (*_LINK_ERRORS, _LinkEndedError):
            pass  # on_session_closed below handles every end of the link
        finally:
            with trio.CancelScope(shield=True):
                await link.aclose()
            if session is not None:
                self.on_session_closed(session)

    async def _receive(
        self, link: links.FramedStream, session: AcceptedLink
    ) -> None:
        while True:
            data = await link.receive_frame()
            if not data:
                return
            session.heard_at = clock.now()
            message = codec.decode(data).message
            if isinstance(message, messages.ZoneState):
                session.outbox.post(self.build_heartbeat(True))
            self.on_request(session, message)


async def _end_when_silent(session: AcceptedLink) -> None:
    """Ends an accepted link on which no message arrives any more."""
    while True:
        await trio.sleep(FAST_HEARTBEAT_INTERVAL_S)
        if clock.now() - session.heard_at > SLOW_SILENCE_LIMIT_S:
            session.is_silent = True
            raise _LinkEndedError("silent")
