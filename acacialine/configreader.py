"""Keeps an entry's configuration current, from the log or from peers."""

import random

import attrs
import msgspec
import trio

from acacialine import actions
from acacialine import clock
from acacialine import configlog
from acacialine import core as core_lib
from acacialine import errors
from acacialine import events
from acacialine import membership
from acacialine import messages
from acacialine import platforms
from acacialine import settings as settings_lib
from acacialine import tables as tables_lib

READ_RETRY_DELAY_S = 0.3  # mean delay; each one is jittered by ±50 %
PEER_CHECK_INTERVAL_S = 0.25
SNAPSHOT_INTERVAL_SHARE = 0.25  # snapshot interval / retention of the log
SNAPSHOT_JITTER_MAX_S = 1.0
SNAPSHOT_CHECK_INTERVAL_S = 1.0
MAX_RECORDS_BETWEEN_SNAPSHOTS = 2000  # beyond it, one is due at any age


@attrs.define(eq=False)
class ConfigReader:
    """Follows the configuration stream for one entry.

    Attributes:
        core: State of the entry; holds the configuration that is updated.
        platform: The platform that stores the stream.
        settings: Which stream to read, and how often.
        is_platform_up: Whether the last read of the stream succeeded.
        last_snapshot_at: Time at which the newest snapshot was seen or
            appended; the start of the process before any.
    """

    core: core_lib.Core
    platform: platforms.Platform
    settings: settings_lib.PlatformSettings
    is_platform_up: bool = True
    last_snapshot_at: float = 0.0

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def run(self) -> None:
        """Reads the stream until cancelled; retries after each error."""
        while True:
            try:
                await self._read_once()
                self._set_platform_state(True)
            except errors.PlatformError as error:
                self._set_platform_state(False, str(error))
                await trio.sleep(READ_RETRY_DELAY_S * (0.5 + random.random()))

    async def _read_once(self) -> None:
        configuration = self._tables.configuration
        page = await self.platform.read(
            self.settings.config_stream,
            configuration.offset + 1,
            self.settings.poll_ms,
        )
        if page.first > configuration.offset + 1:
            await self._adopt_snapshot_after_gap(page)
            return  # the next read begins after the snapshot
        for record in page.records:
            self._apply(record)

    async def _adopt_snapshot_after_gap(self, page: platforms.LogPage) -> None:
        """Adopts a snapshot after the log dropped records not yet read.

        Applying only the later changes would give a configuration that was
        never in force, so nothing is applied until a snapshot covers the gap.

        Args:
            page: A page that begins with the first retained record.

        Raises:
            errors.PlatformError: No retained snapshot covers the gap.
        """
        snapshot = await configlog.find_covering_snapshot(
            self.platform, self.settings.config_stream, page
        )
        if snapshot is None or not self._tables.configuration.adopt(snapshot):
            raise errors.PlatformError(
                "no valid snapshot in the retained records covers the dropped"
                " ones"
            )
        self._log_applied("snapshot")

    def _apply(self, record: platforms.LogRecord) -> None:
        configuration = self._tables.configuration
        rejection_count = len(configuration.rejections)
        last_rejection = (
            configuration.rejections[-1] if configuration.rejections else None
        )
        changed = configuration.apply(record.offset, record.text)
        newest_rejection = (
            configuration.rejections[-1] if configuration.rejections else None
        )
        if changed:
            self._log_applied("log")
        if (
            newest_rejection is not last_rejection
            or len(configuration.rejections) > rejection_count
        ):
            actions.log_event(
                self._tables,
                events.Event.CONFIG_REJECTED,
                change=newest_rejection.change_id,
                team=newest_rejection.team,
                reason=newest_rejection.reason,
            )

    def _log_applied(self, source: str) -> None:
        configuration = self._tables.configuration
        event = events.Event.CONFIG_APPLIED
        if source == "peer":
            event = events.Event.CONFIG_FROM_PEER
        actions.log_event(
            self._tables,
            event,
            offset=configuration.offset,
            teams=len(configuration.documents),
            source=source,
        )

    def _set_platform_state(self, is_up: bool, reason: str = "") -> None:
        if is_up != self.is_platform_up:
            event = events.Event.PLATFORM_UP
            if not is_up:
                event = events.Event.PLATFORM_DOWN
            actions.log_event(self._tables, event, reason=reason)
        self.is_platform_up = is_up

    def adopt_from_peer(self, reply: messages.ConfigReply) -> bool:
        """Adopts a peer's configuration if it is newer than the local one.

        Returns:
            Whether it was adopted; False also for a malformed snapshot.
        """
        if (
            not reply.snapshot
            or reply.offset <= self._tables.configuration.offset
        ):
            return False
        try:
            snapshot = msgspec.json.decode(
                reply.snapshot, type=configlog.Snapshot
            )
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        if not self._tables.configuration.adopt(snapshot):
            return False
        self._log_applied("peer")
        return True

    def answer_config_call(
        self, call: messages.ConfigCall
    ) -> messages.ConfigReply:
        """Returns the reply to a peer that asks for a newer configuration."""
        configuration = self._tables.configuration
        if configuration.offset <= call.offset:
            return messages.ConfigReply(configuration.offset, b"")
        data = msgspec.json.encode(configuration.snapshot())
        return messages.ConfigReply(configuration.offset, data)

    def find_peer_with_newer_config(self) -> tables_lib.Peer | None:
        """Returns a live peer with a newer configuration, if there is one.

        Peers of the local zone come first, then the last heard from.
        """
        offset = self._tables.configuration.offset
        newer_peers = [
            p
            for p in membership.live_peers(self._tables)
            if p.config_offset > offset
        ]
        if not newer_peers:
            return None
        newer_peers.sort(
            key=lambda p: (p.zone != self._tables.zone, -p.heard_at)
        )
        return newer_peers[0]

    async def run_peer_updates(self, pool_of) -> None:
        """Fetches the configuration from peers when the log lags or is down.

        While the platform answers, a peer must have a newer configuration at
        two successive checks, which leaves the log time to deliver the change.

        Args:
            pool_of: Returns the call links to the peer with a given id.
        """
        checks_with_newer_peer = 0
        while True:
            await trio.sleep(PEER_CHECK_INTERVAL_S * (0.5 + random.random()))
            peer = self.find_peer_with_newer_config()
            checks_with_newer_peer = checks_with_newer_peer + 1 if peer else 0
            if peer is None or (
                self.is_platform_up and checks_with_newer_peer < 2
            ):
                continue
            call = messages.ConfigCall(self._tables.configuration.offset)
            try:
                with trio.fail_after(2.0):
                    reply = await pool_of(peer.id).call(call)
            except (errors.PeerError, trio.TooSlowError):
                continue
            if isinstance(reply, messages.ConfigReply):
                self.adopt_from_peer(reply)

    async def run_snapshots(self) -> None:
        """Appends snapshots well before the log drops the previous one."""
        self.last_snapshot_at = clock.now()
        known_snapshot_offset = self._tables.configuration.snapshot_offset
        while True:
            await trio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
            configuration = self._tables.configuration
            if configuration.snapshot_offset != known_snapshot_offset:
                known_snapshot_offset = configuration.snapshot_offset
                self.last_snapshot_at = clock.now()
            if self._is_snapshot_due() and self._is_snapshot_writer():
                await trio.sleep(random.random() * SNAPSHOT_JITTER_MAX_S)
                if configuration.snapshot_offset == known_snapshot_offset:
                    await self._append_snapshot()

    def _is_snapshot_due(self) -> bool:
        configuration = self._tables.configuration
        if not configuration.versions or not self.is_platform_up:
            return False
        if (
            configuration.offset - configuration.snapshot_offset
            > MAX_RECORDS_BETWEEN_SNAPSHOTS
        ):
            return True
        age_s = clock.now() - self.last_snapshot_at
        return age_s > self.settings.retention_s * SNAPSHOT_INTERVAL_SHARE

    def _is_snapshot_writer(self) -> bool:
        members = [p.id for p in membership.live_peers(self._tables)]
        members.append(self._tables.my_id)
        chosen = membership.rendezvous("snapshot", members)
        age_s = clock.now() - self.last_snapshot_at
        # After two intervals without a snapshot, any entry may write it.
        is_overdue = (
            age_s > 2 * self.settings.retention_s * SNAPSHOT_INTERVAL_SHARE
        )
        return chosen == self._tables.my_id or is_overdue

    async def _append_snapshot(self) -> None:
        snapshot = self._tables.configuration.snapshot()
        text = configlog.encode_record(configlog.Record(snapshot=snapshot))
        try:
            await self.platform.append(self.settings.config_stream, text)
        except errors.PlatformError:
            return
        self.last_snapshot_at = clock.now()
        actions.log_event(
            self._tables, events.Event.CONFIG_SNAPSHOT, offset=snapshot.offset
        )
