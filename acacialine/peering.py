"""Links between dispatchers: long-lived connections for many messages.

A dispatcher dials every peer that it sends requests to, so two dispatchers
may have one link in each direction. The dialling side sends heartbeats and
the other side replies to each with its own, so both sides detect a link
that fails in either direction.
"""

import collections.abc
import math
import socket

import attrs
import trio

from acacialine import clientlimits
from acacialine import clock
from acacialine import codec
from acacialine import errors
from acacialine import ids
from acacialine import links
from acacialine import messages
from acacialine import sendtimes

# Intervals of the heartbeats on a dialled link, by its importance.
FAST_HEARTBEAT_INTERVAL_S = 0.15  # between candidates for the placer
SLOW_HEARTBEAT_INTERVAL_S = 0.4  # to the placer of the local zone
IDLE_HEARTBEAT_INTERVAL_S = 0.8  # to all others
# Silence after which a link has failed, in intervals of its heartbeats.
SILENT_INTERVALS = 2.5
FAST_SILENCE_LIMIT_S = 0.6  # four fast intervals, since short pauses happen
# Silence after which an accepted link has failed that carries jobs. Clients of
# its dialler may send a job again 1.3 s after they got no answer. Other links
# may be silent for longer, in proportion to the gap between their heartbeats.
ACCEPTED_SILENCE_LIMIT_S = 1.0
# Silence after which it is suspected to have failed; longer than the interval
# of its heartbeats.
SUSPECT_SILENCE_S = 0.6
# A link counts as carrying jobs for this long after one. Its dialler sends
# heartbeats at least every SLOW_HEARTBEAT_INTERVAL_S a little longer.
CARRIES_JOBS_S = 10.0
CARRIES_JOBS_MARGIN_S = 2.0
SILENCE_CHECK_INTERVAL_S = 0.15
# A heartbeat that is late by so much, as this process was paused, waits for two
# ticks more.
LATE_HEARTBEAT_S = 0.05
LATE_HEARTBEAT_WAIT_S = 0.05
# The peer dates messages on a link from its handshake on. One that took longer,
# as it was held up, is repeated once.
SLOW_HANDSHAKE_S = 0.3
UNREACHABLE_AFTER_S = 1.5  # since the last contact, without an open link
RECONNECT_DELAY_S = 0.1
RECONNECT_MAX_DELAY_S = 1.0
MAX_UNSENT_BYTES = 8 << 20  # of messages that a peer has not read
# A heartbeat is encoded again after this time, or when the ownership changes.
HEARTBEAT_MAX_AGE_S = 0.05
_READ_BYTES = 65536


class LinkSocket:
    """The authenticated connection of a link, after the handshake.

    Messages are written at once. What the peer does not read yet is kept and
    written by `flush`.
    """

    def __init__(self, sock: socket.socket, received: bytes):
        self._socket = sock
        self._received = bytearray(received)
        self._unsent = bytearray()
        self._must_flush = trio.Event()
        self.is_closed = False

    def post(self, message: messages.Message) -> bool:
        """Sends a message; returns False if it can't be sent any more."""
        return self.post_frame(encode_frame(message))

    def post_frame(self, frame: bytes) -> bool:
        """Sends an encoded message; see `post`."""
        if self.is_closed or len(self._unsent) > MAX_UNSENT_BYTES:
            return False
        if self._unsent:
            self._unsent += frame
            return True
        try:
            sent = self._socket.send(frame)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False  # the reader notices that the link has failed
        if sent < len(frame):
            self._unsent += frame[sent:]
            self._must_flush.set()
        return True

    async def flush(self) -> None:
        """Writes what is kept, until cancelled or the link fails."""
        while True:
            await self._must_flush.wait()
            self._must_flush = trio.Event()
            with trio.fail_after(links.WRITE_TIMEOUT_S):
                while self._unsent:
                    await trio.lowlevel.wait_writable(self._socket)
                    try:
                        sent = self._socket.send(self._unsent)
                    except BlockingIOError:
                        continue
                    del self._unsent[:sent]

    async def receive_frames(self) -> list[bytes]:
        """Waits for data; returns the frames that are complete.

        Raises:
            _LinkEndedError: The peer closed the link.
            errors.PeerError: A frame exceeds the limit.
            OSError: The connection failed.
        """
        await trio.lowlevel.wait_readable(self._socket)
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return []
        if not data:
            raise _LinkEndedError("closed by the peer")
        self._received += data
        return self._take_frames()

    def _take_frames(self) -> list[bytes]:
        frames = []
        received = self._received
        start = 0
        while len(received) - start >= links.LENGTH_BYTES:
            body = start + links.LENGTH_BYTES
            length = int.from_bytes(received[start:body], "big")
            if length > links.MAX_FRAME_BYTES:
                raise errors.PeerError(
                    f"frame of {length} bytes exceeds the limit"
                )
            if len(received) - body < length:
                break
            start = body + length
            frames.append(bytes(received[body:start]))
        del received[:start]
        return frames

    def close(self) -> None:
        """Closes the connection at once."""
        if not self.is_closed:
            self.is_closed = True
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()


def new_link_socket(link: links.FramedStream) -> LinkSocket:
    """Takes over the connection of an authenticated link without TLS."""
    sock = socket.socket(fileno=link.stream.socket.detach())
    sock.setblocking(False)
    return LinkSocket(sock, link.take_buffer())


def encode_frame(message: messages.Message) -> bytes:
    """Encodes a message with its length."""
    return _add_length(codec.encode(codec.Frame(0, message)))


def _encode_dated_frame(data: bytes, now: float) -> bytes:
    return _add_length(data + codec.encode_time(now))


def _add_length(data: bytes) -> bytes:
    return len(data).to_bytes(links.LENGTH_BYTES, "big") + data


class _HeartbeatDecoder:
    """Decodes the frames of one link; equal heartbeats only once.

    Most heartbeats equal the one before but for the time of sending, and
    decoding costs more than all else that is done with them.
    """

    def __init__(self):
        self._last_data = b""  # without the time of sending
        self._last_heartbeat: messages.ZoneState | None = None

    def decode(self, data: bytes) -> tuple[codec.Frame, bool]:
        """Returns a frame and whether it equals the last heartbeat.

        Raises:
            errors.PeerError: The frame is malformed.
        """
        if self._last_heartbeat is not None and data.startswith(
            self._last_data
        ):
            rest = data[len(self._last_data) :]
            sent_at = codec.decode_time(rest)
            if sent_at is not None or not rest:
                return codec.Frame(0, self._last_heartbeat, sent_at), True
        frame = codec.decode(data)
        if isinstance(frame.message, messages.ZoneState):
            is_dated = frame.sent_at is not None
            self._last_data = data[: -codec.TIME_BYTES] if is_dated else data
            self._last_heartbeat = frame.message
        return frame, False


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
        outbox: Sends messages to the peer.
        heard_at: Time of the last message.
        sent_at: When it was sent, as far as is certain; infinite if its sender
            did not tell.
        heartbeat_count: Number of heartbeats that have arrived.
        heartbeat_gap_s: Time between the last two heartbeats; the longest
            interval until two have arrived.
        is_silent: Whether the link ended because no message arrived.
        is_suspect: Whether a link that carries jobs has been silent for
            SUSPECT_SILENCE_S.
        knows_evacuations: Whether the evacuated zones were sent to the peer;
            later changes are sent on all links.
        zone: Zone of the peer; empty before its first heartbeat.
    """

    peer_id: str
    outbox: LinkSocket
    heard_at: float
    sent_at: float = math.inf
    heartbeat_count: int = 0
    heartbeat_gap_s: float = IDLE_HEARTBEAT_INTERVAL_S
    is_silent: bool = False
    is_suspect: bool = False
    knows_evacuations: bool = False
    zone: str = ""
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _heartbeat_at: float = 0.0
    _job_at: float = -1e9
    _sender_clock: sendtimes.SenderClock = attrs.field(
        default=attrs.Factory(
            lambda self: sendtimes.SenderClock(self.heard_at), takes_self=True
        )
    )

    def record_sent(self, sent_at: float | None) -> None:
        """Records when the last message was sent, by the peer's clock."""
        self.sent_at = math.inf
        if sent_at is not None:
            self.sent_at = self._sender_clock.date(sent_at, self.heard_at)

    def record_job(self, now: float) -> None:
        """Records that a job arrived."""
        self._job_at = now

    def record_heartbeat(self, now: float) -> None:
        """Records that a heartbeat arrived."""
        self.heartbeat_count += 1
        if self._heartbeat_at:
            self.heartbeat_gap_s = now - self._heartbeat_at
        self._heartbeat_at = now

    def update_suspicion(self, now: float) -> bool:
        """Updates `is_suspect`; returns whether it has changed."""
        was_suspect = self.is_suspect
        self.is_suspect = (
            self._carries_jobs(now) and now - self.heard_at > SUSPECT_SILENCE_S
        )
        return self.is_suspect != was_suspect

    def _carries_jobs(self, now: float) -> bool:
        return now - self._job_at <= CARRIES_JOBS_S

    def has_failed(self, now: float) -> bool:
        """Returns whether the peer has been silent for too long."""
        limit_s = ACCEPTED_SILENCE_LIMIT_S
        if not self._carries_jobs(now):
            gap_s = min(self.heartbeat_gap_s, IDLE_HEARTBEAT_INTERVAL_S)
            limit_s = max(limit_s, gap_s * SILENT_INTERVALS)
        return now - self.heard_at > limit_s


@attrs.define(eq=False)
class PeerLink:
    """The link that this dispatcher dials to one peer.

    Attributes:
        heartbeat_interval_s: Interval of the heartbeats.
        heartbeat: The peer's newest heartbeat; None until one has arrived on
            the current connection.
        heard_at: Time of the last message; 0 before the first connection.
        heartbeat_at: When `heartbeat` arrived.
        is_refused: Whether the peer's address refused the last connection.
        found_at: When the connection was opened, or first refused since the
            last one: no other process has been at the address since.
    """

    address: tuple[str, int]
    zone: str
    heartbeat_interval_s: float
    hub: "Hub"
    peer_id: str = ""
    heartbeat: messages.ZoneState | None = None
    heard_at: float = 0.0
    heartbeat_at: float = 0.0
    is_refused: bool = False
    found_at: float = 0.0
    created_at: float = attrs.field(factory=clock.now)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _outbox: LinkSocket | None = None
    _job_at: float = -1e9
    _is_due_sooner: trio.Event = attrs.field(factory=trio.Event)

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

    def set_heartbeat_interval(self, interval_s: float) -> None:
        """Changes the interval; a shorter one begins with a heartbeat now.

        Else the reply to the last one would be older than the shorter limit.
        """
        if interval_s < self.heartbeat_interval_s:
            self._is_due_sooner.set()
        self.heartbeat_interval_s = interval_s

    def post(self, message: messages.Message) -> bool:
        """Sends a message; returns False if it cannot be sent."""
        if isinstance(message, messages.SubmitJob):
            now = clock.now()
            if not self._carries_jobs(now):
                self._is_due_sooner.set()
            self._job_at = now
            data = codec.encode(codec.Frame(0, message))
            return self.post_frame(_encode_dated_frame(data, now))
        return self._outbox is not None and self._outbox.post(message)

    def _carries_jobs(self, now: float) -> bool:
        return now - self._job_at < CARRIES_JOBS_S + CARRIES_JOBS_MARGIN_S

    def post_frame(self, frame: bytes) -> bool:
        """Sends an encoded message; returns False if it cannot be sent."""
        return self._outbox is not None and self._outbox.post_frame(frame)

    async def run(self) -> None:
        """Connects, and reconnects after a failure, until cancelled."""
        retry_delay_s = RECONNECT_DELAY_S
        was_slow = False
        with self.scope:
            while True:
                dialled_at = clock.now()
                try:
                    link, self.peer_id = await links.dial(
                        self.hub.identity, self.address
                    )
                except links.NotSentError as error:
                    was_refused = self.is_refused
                    self.is_refused = isinstance(error, links.RefusedError)
                    if self.is_refused and not was_refused:
                        self.found_at = clock.now()
                    self.hub.on_dial_failed(self)
                    await trio.sleep(retry_delay_s)
                    retry_delay_s = min(
                        retry_delay_s * 2, RECONNECT_MAX_DELAY_S
                    )
                    continue
                is_slow = clock.now() - dialled_at > SLOW_HANDSHAKE_S
                if is_slow and not was_slow:
                    was_slow = True
                    await link.aclose()
                    continue
                was_slow = False
                retry_delay_s = RECONNECT_DELAY_S
                self.is_refused = False
                self.found_at = clock.now()
                await self._run_connection(link)

    async def _run_connection(self, link: links.FramedStream) -> None:
        self._outbox = outbox = new_link_socket(link)
        self.heard_at = clock.now()
        reason = "closed"
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(outbox.flush)
                nursery.start_soon(self._send_heartbeats)
                nursery.start_soon(self._receive, outbox)
        except* (*_LINK_ERRORS, _LinkEndedError) as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            reason = repr(group.exceptions[0])
            self.hub.on_error("peer link", group)
            await trio.sleep(RECONNECT_MAX_DELAY_S)
        finally:
            self._outbox = None
            was_open = self.heartbeat is not None
            self.heartbeat = None
            outbox.close()
            if was_open:
                self.hub.on_link_closed(self, reason)

    async def _send_heartbeats(self) -> None:
        asked_at = 0.0
        while True:
            now = clock.now()
            interval_s = self.heartbeat_interval_s
            if self._carries_jobs(now):
                interval_s = min(interval_s, SLOW_HEARTBEAT_INTERVAL_S)
            limit_s = max(FAST_SILENCE_LIMIT_S, interval_s * SILENT_INTERVALS)
            if now - max(self.heard_at, asked_at) > limit_s:
                raise _LinkEndedError("silent")
            self.post_frame(self.hub.heartbeat_frame())
            self._is_due_sooner = trio.Event()
            with trio.move_on_after(interval_s):
                await self._is_due_sooner.wait()
                # The reply to the last heartbeat may be older than the limit
                # that applies from now on.
                asked_at = clock.now()
            if clock.now() - now > interval_s + LATE_HEARTBEAT_S:
                # Placers take a heartbeat as proof that clients wait: those
                # that left meanwhile are noticed and reported first.
                await trio.sleep(LATE_HEARTBEAT_WAIT_S)

    async def _receive(self, outbox: LinkSocket) -> None:
        decoder = _HeartbeatDecoder()
        while True:
            for frame in await outbox.receive_frames():
                self.heard_at = clock.now()
                decoded, is_repeated = decoder.decode(frame)
                message = decoded.message
                if isinstance(message, messages.ZoneState):
                    check_heartbeat(message, self.peer_id)
                    was_open = self.heartbeat is not None
                    self.heartbeat = message
                    self.heartbeat_at = self.heard_at
                    if not was_open:
                        self.hub.on_link_opened(self)
                self.hub.on_message(self, message, is_repeated)


def check_heartbeat(state: messages.ZoneState, peer_id: str) -> None:
    """Checks the ids in a heartbeat.

    Raises:
        errors.PeerError: It names another sender, or an id is malformed.
    """
    if state.sender != peer_id:
        raise errors.PeerError(
            f"heartbeat of {state.sender!r} on the link of {peer_id!r}"
        )
    if state.placer_id:
        try:
            ids.parse_incarnation(state.placer_id)
        except ValueError as error:
            raise errors.PeerError(
                f"placer id {state.placer_id!r}: {error}"
            ) from error


def _do_nothing() -> None:
    """Is called where nothing is counted."""


@attrs.define(eq=False)
class Hub:
    """All links of one dispatcher.

    Attributes:
        build_heartbeat: Returns the heartbeat to send.
        on_message: Called with each message on a dialled link, and whether it
            equals the last heartbeat.
        on_request: The same for the accepted links.
        on_suspicion_changed: Called when an accepted link has become suspect,
            or is no longer.
        on_session_closed: Called when an accepted link has ended.
        on_link_opened: Called after the first heartbeat on a dialled link.
        on_link_closed: Called with the reason when an open link has ended.
        on_dial_failed: Called when a connection attempt failed.
        on_rejected: Called with the reason when an accepted link broke the
            protocol or could not authenticate.
        on_error: Called with the operation and an error that nothing expected.
        dialled_links: The dialled links by address.
        strangers: What accepted links hold until they are authenticated.
    """

    identity: links.Identity
    build_heartbeat: collections.abc.Callable[[], messages.ZoneState]
    on_message: collections.abc.Callable
    on_request: collections.abc.Callable
    on_suspicion_changed: collections.abc.Callable
    on_session_closed: collections.abc.Callable
    on_link_opened: collections.abc.Callable
    on_link_closed: collections.abc.Callable
    on_dial_failed: collections.abc.Callable
    on_rejected: collections.abc.Callable[[str], None]
    on_error: collections.abc.Callable[[str, BaseException], None]
    dialled_links: dict[tuple[str, int], PeerLink] = attrs.field(factory=dict)
    strangers: clientlimits.Budget = attrs.field(
        factory=clientlimits.new_unlimited_budget
    )
    _sessions: set[AcceptedLink] = attrs.field(factory=set)
    _heartbeat_data: bytes = b""
    _heartbeat_encoded_at: float = -1e9

    def heartbeat_frame(self) -> bytes:
        """Returns an encoded heartbeat, to be sent now.

        What it tells is at most HEARTBEAT_MAX_AGE_S old.
        """
        now = clock.now()
        if now - self._heartbeat_encoded_at > HEARTBEAT_MAX_AGE_S:
            self._heartbeat_encoded_at = now
            frame = codec.Frame(0, self.build_heartbeat())
            self._heartbeat_data = codec.encode(frame)
        return _encode_dated_frame(self._heartbeat_data, now)

    def announce(self) -> None:
        """Sends a new heartbeat on all links, as the ownership has changed."""
        self._heartbeat_encoded_at = -1e9
        frame = self.heartbeat_frame()
        self._post_to_all(frame)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message on all links, in both directions."""
        self._post_to_all(encode_frame(message))

    def post_to_accepted(self, zone: str, frame: bytes) -> int:
        """Sends an encoded message on the links that peers of a zone opened.

        Returns:
            To how many.
        """
        sessions = [s for s in self._sessions if s.zone == zone]
        for session in sessions:
            session.outbox.post_frame(frame)
        return len(sessions)

    def _post_to_all(self, frame: bytes) -> None:
        for session in self._sessions:
            session.outbox.post_frame(frame)
        for link in self.dialled_links.values():
            link.post_frame(frame)

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
        heartbeat_interval_s: float,
        nursery: trio.Nursery,
    ) -> None:
        """Starts a link to an address or changes its heartbeat interval."""
        if address not in self.dialled_links:
            link = PeerLink(address, zone, heartbeat_interval_s, self)
            self.dialled_links[address] = link
            nursery.start_soon(link.run)
        self.dialled_links[address].set_heartbeat_interval(heartbeat_interval_s)

    def drop(self, address: tuple[str, int]) -> None:
        """Closes and removes the link to an address, if there is one."""
        link = self.dialled_links.pop(address, None)
        if link is not None:
            link.scope.cancel()

    async def serve_stranger(
        self, sock: socket.socket, account: clientlimits.Account
    ) -> None:
        """Serves a link that is charged to an account until it authenticates.

        The account may end the handshake to make room for a newer one.
        """
        with trio.CancelScope() as scope:

            def release(cause: clientlimits.Cause) -> None:
                self.strangers.counts[cause] += 1
                self.strangers.close(account)
                scope.cancel()

            account.release = release
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            await self.serve(stream, lambda: self.strangers.close(account))

    async def serve(
        self,
        stream: trio.SocketStream,
        on_authenticated: collections.abc.Callable[[], None] = _do_nothing,
    ) -> None:
        """Serves one link that a peer dialled, until it ends."""
        link = links.FramedStream(stream)
        session = None
        try:
            with trio.fail_after(links.HANDSHAKE_TIMEOUT_S):
                peer_id = await links.authenticate_peer(link, self.identity)
            on_authenticated()
            # The peer sends no message before it has the last of these frames.
            established_at = link.sent_at
            session = AcceptedLink(
                peer_id, new_link_socket(link), established_at
            )
            self._sessions.add(session)
            with session.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(session.outbox.flush)
                    await self._receive(session)
        except* errors.PeerError as group:
            self.on_rejected(str(group.exceptions[0]))
        except* (*_LINK_ERRORS, _LinkEndedError):
            pass  # on_session_closed below handles every end of the link
        except* Exception as group:
            self.on_error("accepted link", group)
        finally:
            if session is None:
                with trio.CancelScope(shield=True):
                    await link.aclose()
            else:
                self._sessions.discard(session)
                session.outbox.close()
                self.on_session_closed(session)

    async def _receive(self, session: AcceptedLink) -> None:
        decoder = _HeartbeatDecoder()
        while True:
            for frame in await session.outbox.receive_frames():
                session.heard_at = clock.now()
                if session.is_suspect:
                    session.update_suspicion(session.heard_at)
                    self.on_suspicion_changed(session)
                decoded, is_repeated = decoder.decode(frame)
                message = decoded.message
                session.record_sent(decoded.sent_at)
                if isinstance(message, messages.ZoneState):
                    check_heartbeat(message, session.peer_id)
                    session.record_heartbeat(session.heard_at)
                    session.outbox.post_frame(self.heartbeat_frame())
                elif isinstance(message, messages.SubmitJob):
                    session.record_job(session.heard_at)
                self.on_request(session, message, is_repeated)

    async def run_silence_checks(self) -> None:
        """Ends accepted links on which no message arrives any more."""
        checked_at = clock.now()
        was_late = False
        while True:
            await trio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = clock.now()
            is_late = now - checked_at > 2 * SILENCE_CHECK_INTERVAL_S
            checked_at = now
            # After a pause of this process, what has arrived is read first.
            was_late = is_late and not was_late
            if was_late:
                continue
            for session in list(self._sessions):
                if session.has_failed(now):
                    session.is_silent = True
                    session.scope.cancel()
                elif session.update_suspicion(now):
                    self.on_suspicion_changed(session)
