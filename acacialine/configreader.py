"""Keeps the configuration in force: from the log, else from peers."""

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

ERROR_DELAY_S = 0.3
PEER_CHECK_S = 0.25
SNAPSHOT_SHARE = 0.25  # part of the retention between snapshots
SNAPSHOT_JITTER_S = 1.0
SNAPSHOT_CHECK_S = 1.0
SNAPSHOT_RECORDS = 2000  # records after which a snapshot is due anyway


@attrs.define(eq=False)
class ConfigReader:
    """Follows the configuration stream for one entry."""

    core: core_lib.Core
    platform: platforms.Platform
    settings: settings_lib.PlatformSettings
    is_up: bool = True
    snapshot_at: float = 0.0

    @property
    def _tables(self) -> tables_lib.Tables:
        return self.core.tables

    async def run(self) -> None:
        """Reads the stream for as long as the process lives."""
        while True:
            try:
                await self._read_once()
                self._note_state(True)
            except errors.PlatformError as error:
                self._note_state(False, str(error))
                await trio.sleep(ERROR_DELAY_S * (0.5 + random.random()))

    async def _read_once(self) -> None:
        fold = self._tables.fold
        page = await self.platform.read(
            self.settings.config_stream,
            fold.offset + 1,
            self.settings.poll_ms,
        )
        if page.first > fold.offset + 1:
            page = self._recover(page)
        for record in page.records:
            self._apply(record)

    def _recover(self, page: platforms.LogPage) -> platforms.LogPage:
        """Adopts a snapshot when records were dropped unread.

        Later changes alone would give a configuration that never was, so
        nothing is applied until a snapshot covers the gap.
        """
        for record in page.records:
            decoded = configlog.decode_record(record.text)
            snapshot = decoded.snapshot if decoded else None
            if snapshot and snapshot.offset >= page.first - 1:
                self._tables.fold.adopt(snapshot)
                self._log_applied("snapshot")
                return page
        raise errors.PlatformError("no snapshot in the retained records")

    def _apply(self, record: platforms.LogRecord) -> None:
        fold = self._tables.fold
        rejected = len(fold.rejections)
        last = fold.rejections[-1] if fold.rejections else None
        changed = fold.apply(record.offset, record.text)
        newest = fold.rejections[-1] if fold.rejections else None
        if changed:
            self._log_applied("log")
        if newest is not last or len(fold.rejections) > rejected:
            actions.log_event(
                self._tables,
                events.Event.CONFIG_REJECTED,
                change=newest.change_id,
                team=newest.team,
                reason=newest.reason,
            )

    def _log_applied(self, source: str) -> None:
        fold = self._tables.fold
        event = events.Event.CONFIG_APPLIED
        if source == "peer":
            event = events.Event.CONFIG_FROM_PEER
        actions.log_event(
            self._tables,
            event,
            offset=fold.offset,
            teams=len(fold.documents),
            source=source,
        )

    def _note_state(self, is_up: bool, reason: str = "") -> None:
        if is_up != self.is_up:
            event = events.Event.PLATFORM_UP
            if not is_up:
                event = events.Event.PLATFORM_DOWN
            actions.log_event(self._tables, event, reason=reason)
        self.is_up = is_up

    def adopt_from_peer(self, reply: messages.ConfigReply) -> bool:
        """Adopts a peer's fold if it is ahead of the own one."""
        if not reply.snapshot or reply.offset <= self._tables.fold.offset:
            return False
        try:
            snapshot = msgspec.json.decode(
                reply.snapshot, type=configlog.Snapshot
            )
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        if not self._tables.fold.adopt(snapshot):
            return False
        self._log_applied("peer")
        return True

    def reply_to(self, call: messages.ConfigCall) -> messages.ConfigReply:
        """Answers a peer that asks for the configuration."""
        fold = self._tables.fold
        if fold.offset <= call.offset:
            return messages.ConfigReply(fold.offset, b"")
        data = msgspec.json.encode(fold.snapshot())
        return messages.ConfigReply(fold.offset, data)

    def peer_ahead(self) -> tables_lib.Peer | None:
        """Returns a peer to pull from, if one is ahead."""
        offset = self._tables.fold.offset
        ahead = [
            p
            for p in membership.live_peers(self._tables)
            if p.config_offset > offset
        ]
        if not ahead:
            return None
        ahead.sort(key=lambda p: (p.zone != self._tables.zone, -p.heard_at))
        return ahead[0]

    async def run_peers(self, pools) -> None:
        """Pulls from peers what the log has not delivered in time."""
        behind = 0
        while True:
            await trio.sleep(PEER_CHECK_S * (0.5 + random.random()))
            peer = self.peer_ahead()
            behind = behind + 1 if peer else 0
            if peer is None or (self.is_up and behind < 2):
                continue
            call = messages.ConfigCall(self._tables.fold.offset)
            try:
                with trio.fail_after(2.0):
                    reply = await pools(peer.id).call(call)
            except (errors.PeerError, trio.TooSlowError):
                continue
            if isinstance(reply, messages.ConfigReply):
                self.adopt_from_peer(reply)

    async def run_snapshots(self) -> None:
        """Appends a snapshot well before the last one is dropped."""
        self.snapshot_at = clock.now()
        seen = self._tables.fold.snapshot_offset
        while True:
            await trio.sleep(SNAPSHOT_CHECK_S)
            fold = self._tables.fold
            if fold.snapshot_offset != seen:
                seen = fold.snapshot_offset
                self.snapshot_at = clock.now()
            if self._snapshot_due() and self._is_chosen():
                await trio.sleep(random.random() * SNAPSHOT_JITTER_S)
                if fold.snapshot_offset == seen:
                    await self._append_snapshot()

    def _snapshot_due(self) -> bool:
        fold = self._tables.fold
        if not fold.versions or not self.is_up:
            return False
        if fold.offset - fold.snapshot_offset > SNAPSHOT_RECORDS:
            return True
        age_s = clock.now() - self.snapshot_at
        return age_s > self.settings.retention_s * SNAPSHOT_SHARE

    def _is_chosen(self) -> bool:
        members = [p.id for p in membership.live_peers(self._tables)]
        members.append(self._tables.my_id)
        chosen = membership.rendezvous("snapshot", members)
        age_s = clock.now() - self.snapshot_at
        # Everyone steps in if the chosen entry has not for twice as long.
        late = age_s > 2 * self.settings.retention_s * SNAPSHOT_SHARE
        return chosen == self._tables.my_id or late

    async def _append_snapshot(self) -> None:
        snapshot = self._tables.fold.snapshot()
        text = configlog.encode_record(configlog.Record(snapshot=snapshot))
        try:
            await self.platform.append(self.settings.config_stream, text)
        except errors.PlatformError:
            return
        self.snapshot_at = clock.now()
        actions.log_event(
            self._tables, events.Event.CONFIG_SNAPSHOT, offset=snapshot.offset
        )
