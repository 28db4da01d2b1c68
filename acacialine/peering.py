"""Connections between dispatchers: one each way, many messages on each.

A dispatcher dials every peer that it talks to. Heartbeats go out on that
link and each is answered with one, so a link that is silent in either
direction is noticed by both sides.
"""

import collections.abc

import attrs
import trio

from acacialine import clock
from acacialine import codec
from acacialine import errors
from acacialine import links
from acacialine import messages

ZONE_HEARTBEAT_S = 0.15
OTHER_HEARTBEAT_S = 0.4
SILENT_S = 0.6  # without any message; four heartbeats of the zone
OTHER_SILENT_S = 1.0
UNREACHABLE_S = 1.5  # of dialling without success
RECONNECT_S = 0.1
RECONNECT_MAX_S = 1.0
OUTBOX_MESSAGES = 4096


@attrs.define(eq=False)
class Outbox:
    """Messages to one side of a link, written together by one task."""

    link: links.FramedStream
    _send: trio.MemorySendChannel = attrs.field(init=False)
    _receive: trio.MemoryReceiveChannel = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._send, self._receive = trio.open_memory_channel(OUTBOX_MESSAGES)

    def post(self, message: messages.Message) -> bool:
        """Queues a message; False if the peer takes none any more."""
        try:
            self._send.send_nowait(message)
        except (trio.WouldBlock, trio.ClosedResourceError):
            return False
        return True

    async def run(self) -> None:
        """Writes what is queued until cancelled or the link breaks."""
        while True:
            parts = [_frame(await self._receive.receive())]
            while True:
                try:
                    parts.append(_frame(self._receive.receive_nowait()))
                except trio.WouldBlock:
                    break
            with trio.fail_after(links.WRITE_TIMEOUT_S):
                await self.link.stream.send_all(b"".join(parts))


def _frame(message: messages.Message) -> bytes:
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
    """The link is over; unwinds its nursery."""


@attrs.define(eq=False)
class Session:
    """A link that a peer has dialled; jobs that came on it end with it.

    Attributes:
        is_silent: Whether it ended because nothing came any more.
    """

    peer_id: str
    outbox: Outbox
    heard_at: float
    is_silent: bool = False


@attrs.define(eq=False)
class PeerLink:
    """The link that this dispatcher keeps to one peer.

    Attributes:
        state: Its newest heartbeat; None until one came on this link.
        heard_at: When anything last came.
        is_refused: Whether the address refused the last connection.
    """

    address: tuple[str, int]
    zone: str
    is_near: bool
    hub: "Hub"
    peer_id: str = ""
    state: messages.ZoneState | None = None
    heard_at: float = 0.0
    is_refused: bool = False
    dialled_at: float = attrs.field(factory=clock.now)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _outbox: Outbox | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent and answers were heard."""
        return self._outbox is not None and self.state is not None

    def is_down(self, now: float) -> bool:
        """Returns whether the peer can't be reached."""
        if self.is_open:
            return False
        last_at = max(self.dialled_at, self.heard_at)
        return self.is_refused or now - last_at > UNREACHABLE_S

    def post(self, message: messages.Message) -> bool:
        """Queues a message; False without an open link."""
        return self._outbox is not None and self._outbox.post(message)

    async def run(self) -> None:
        """Keeps the link until cancelled."""
        delay_s = RECONNECT_S
        with self.scope:
            while True:
                try:
                    link, self.peer_id = await links.dial(
                        self.hub.identity, self.address
                    )
                except links.NotSentError as error:
                    self.is_refused = isinstance(error, links.RefusedError)
                    self.hub.on_link_change(self)
                    await trio.sleep(delay_s)
                    delay_s = min(delay_s * 2, RECONNECT_MAX_S)
                    continue
                delay_s = RECONNECT_S
                self.is_refused = False
                await self._serve(link)

    async def _serve(self, link: links.FramedStream) -> None:
        self._outbox = Outbox(link)
        self.heard_at = clock.now()
        reason = "closed"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._outbox.run)
                nursery.start_soon(self._beat)
                nursery.start_soon(self._receive, link)
        except* _LINK_ERRORS as group:
            reason = str(group.exceptions[0])
        except* _LinkEndedError as group:
            reason = str(group.exceptions[0])
        finally:
            self._outbox = None
            was_open = self.state is not None
            self.state = None
            with trio.CancelScope(shield=True):
                await link.aclose()
            if was_open:
                self.hub.on_closed(self, reason)

    async def _beat(self) -> None:
        while True:
            pause_s = ZONE_HEARTBEAT_S if self.is_near else OTHER_HEARTBEAT_S
            silent_s = SILENT_S if self.is_near else OTHER_SILENT_S
            if clock.now() - self.heard_at > silent_s:
                raise _LinkEndedError("silent")
            self.post(self.hub.own_state(False))
            await trio.sleep(pause_s)

    async def _receive(self, link: links.FramedStream) -> None:
        while True:
            data = await link.receive_bytes()
            if not data:
                raise _LinkEndedError("closed by the peer")
            self.heard_at = clock.now()
            message = codec.decode(data).message
            if isinstance(message, messages.ZoneState):
                was_open = self.state is not None
                self.state = message
                if not was_open:
                    self.hub.on_opened(self)
            self.hub.on_message(self, message)


@attrs.define(eq=False)
class Hub:
    """All links of one dispatcher.

    Attributes:
        own_state: Returns the own heartbeat; the argument marks replies.
        on_message: Called with each message on a dialled link.
        on_request: Called with each message on an accepted link.
        on_session_closed: Called when an accepted link is over.
    """

    identity: links.Identity
    own_state: collections.abc.Callable[[bool], messages.ZoneState]
    on_message: collections.abc.Callable
    on_request: collections.abc.Callable
    on_session_closed: collections.abc.Callable
    on_opened: collections.abc.Callable
    on_closed: collections.abc.Callable
    on_link_change: collections.abc.Callable
    peers: dict[tuple[str, int], PeerLink] = attrs.field(factory=dict)

    def find(self, peer_id: str) -> PeerLink | None:
        """Returns the open link to a peer."""
        for link in self.peers.values():
            if link.peer_id == peer_id and link.is_open:
                return link
        return None

    def dial(
        self,
        address: tuple[str, int],
        zone: str,
        is_near: bool,
        nursery: trio.Nursery,
    ) -> None:
        """Keeps a link to an address from now on."""
        if address not in self.peers:
            link = PeerLink(address, zone, is_near, self)
            self.peers[address] = link
            nursery.start_soon(link.run)
        self.peers[address].is_near = is_near

    def drop(self, address: tuple[str, int]) -> None:
        """Closes the link to an address."""
        link = self.peers.pop(address, None)
        if link is not None:
            link.scope.cancel()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serves one link that a peer dialled, until it is over."""
        link = links.FramedStream(stream)
        session = None
        try:
            with trio.fail_after(links.HANDSHAKE_TIMEOUT_S):
                peer_id = await links.accept(link, self.identity)
            session = Session(peer_id, Outbox(link), clock.now())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.outbox.run)
                nursery.start_soon(_watch, session)
                await self._receive(link, session)
                nursery.cancel_scope.cancel()
        except* (*_LINK_ERRORS, _LinkEndedError):
            pass  # on_session_closed tells the rest of the process
        finally:
            with trio.CancelScope(shield=True):
                await link.aclose()
            if session is not None:
                self.on_session_closed(session)

    async def _receive(
        self, link: links.FramedStream, session: Session
    ) -> None:
        while True:
            data = await link.receive_bytes()
            if not data:
                return
            session.heard_at = clock.now()
            message = codec.decode(data).message
            if isinstance(message, messages.ZoneState):
                session.outbox.post(self.own_state(True))
            self.on_request(session, message)


async def _watch(session: Session) -> None:
    """Ends a link on which even heartbeats stay away."""
    while True:
        await trio.sleep(ZONE_HEARTBEAT_S)
        if clock.now() - session.heard_at > OTHER_SILENT_S:
            session.is_silent = True
            raise _LinkEndedError("silent")
