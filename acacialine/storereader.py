"""Follows the store: configuration, backend servers, other entries.

No request waits for the store. While it is away, what was read last stays in
force, and peers pass newer configurations on.
"""

import attrs
import trio

from acacialine import clock
from acacialine import directory as directory_lib
from acacialine import errors
from acacialine import events
from acacialine import messages
from acacialine import ownership as ownership_lib
from acacialine import routes
from acacialine import zonetables
from acacialine.platform import records
from acacialine.platform import store as store_lib

RETRY_S = 0.2
RETRY_MAX_S = 1.0
SENIORITY_POLL_S = 0.3
FOLLOWER_POLL_FACTOR = 4  # entries that are no placer read servers less often
ENTRY_EXPIRED_S = 20.0  # without renewal before a record is removed
RENEWAL_MAX_S = 6.0  # three of these fit into the expiry
LEAVE_S = 0.3  # for the last write of a process that stops
SERVER_KEPT_S = 2.5  # after the store's return, for entries that lapsed


@attrs.define(eq=False)
class StoreReader:
    """What this entry has read from the store.

    Attributes:
        configuration: The version in force; versions only rise.
        directory: The other entries.
        removed_at: When a backend server last left the list.
    """

    _dispatcher: object
    configuration: routes.Configuration | None = None
    directory: directory_lib.Directory = attrs.field(
        factory=directory_lib.Directory
    )
    removed_at: float = -1e9
    _servers: dict[str, zonetables.Server] = attrs.field(factory=dict)
    _dropped: dict[str, float] = attrs.field(factory=dict)
    _regained_at: float = -1e9
    _store: store_lib.Store = attrs.field(init=False)
    _config_store: store_lib.Store = attrs.field(init=False)
    _directory_store: store_lib.Store = attrs.field(init=False)
    _claim_event: trio.Event = attrs.field(factory=trio.Event)
    _is_down: bool = False

    def __attrs_post_init__(self):
        self.move(self._dispatcher.settings.store.address)

    def move(self, address: tuple[str, int]) -> None:
        """Uses the store at another address from the next call on."""
        count = self._count_call
        self._store = store_lib.new_store(address, count)
        self._config_store = store_lib.new_store(address, count)
        self._directory_store = store_lib.new_store(address, count)

    def _count_call(self, name: str, outcome: str) -> None:
        self._dispatcher.meters.store_calls.labels(name, outcome).inc()

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the readers."""
        nursery.start_soon(self._follow, self._read_configuration)
        nursery.start_soon(self._follow, self._read_servers)
        nursery.start_soon(self._follow, self._read_directory)

    def servers_of(self, zone: str) -> list[zonetables.Server]:
        """Returns the backend servers of a zone as the store names them."""
        return [
            attrs.evolve(s, runs={}, gone={})
            for s in self._servers.values()
            if s.zone == zone
        ]

    def claim_changed(self) -> None:
        """Makes the own record be written soon."""
        self._claim_event.set()

    async def _follow(self, read) -> None:
        """Runs a reader again whenever the store failed it."""
        delay_s = RETRY_S
        while True:
            begun = clock.now()
            try:
                await read()
            except store_lib.OffsetGoneError:
                delay_s = RETRY_S
                continue
            except errors.PlatformError as error:
                self._lost(read, error)
            if clock.now() - begun > RETRY_MAX_S * 4:
                delay_s = RETRY_S
            await trio.sleep(delay_s)
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    def _lost(self, read, error: errors.PlatformError) -> None:
        if not self._is_down:
            self._is_down = True
            self._dispatcher.log(
                events.Event.STORE_LOST,
                reader=read.__name__.removeprefix("_read_"),
                reason=str(error),
            )

    def _regained(self) -> None:
        self._dispatcher.ownership.connected_at = clock.now()
        if self._is_down:
            self._is_down = False
            self._regained_at = clock.now()
            self._dispatcher.log(events.Event.STORE_REGAINED)

    async def _read_configuration(self) -> None:
        wait_s = self._dispatcher.settings.store.configuration_wait_ms / 1000
        latest = await self._config_store.read_latest(
            store_lib.CONFIGURATION_TOPIC
        )
        offset = latest.next_offset
        self._apply_operator_records(latest.records)
        while True:
            self._regained()
            page = await self._config_store.read(
                store_lib.CONFIGURATION_TOPIC, offset, wait_s
            )
            offset = page.next_offset
            self._apply_operator_records(page.records)

    def _apply_operator_records(
        self, found: list[store_lib.KeyedRecord]
    ) -> None:
        for record in found:
            if record.key != store_lib.CONFIGURATION_KEY or not record.value:
                continue
            try:
                config = records.decode_configuration(record.value)
            except ValueError as error:
                self._ignored(store_lib.CONFIGURATION_TOPIC, record.key, error)
                continue
            self._apply_configuration(config, "store")

    def _apply_configuration(
        self, config: routes.Configuration, source: str
    ) -> None:
        current = self.configuration
        if current is not None and config.version <= current.version:
            return
        self.configuration = config
        self._dispatcher.log(
            events.Event.ROUTES_IN_FORCE,
            version=config.version,
            was=current.version if current else 0,
            routes=len(config.by_prefix),
            source=source,
        )
        self._dispatcher.wake()

    def apply_from_peer(
        self, message: messages.RoutesReply, peer_id: str
    ) -> None:
        """Takes in a configuration that a peer passes on."""
        try:
            config = records.decode_configuration(message.document)
        except ValueError as error:
            self._ignored("peer", peer_id, error)
            return
        self._apply_configuration(config, "peer")

    def _ignored(self, topic: str, key: str, error: Exception) -> None:
        self._dispatcher.log(
            events.Event.STORE_RECORD_IGNORED,
            topic=topic,
            key=key,
            reason=str(error),
        )

    async def _read_servers(self) -> None:
        poll_s = self._dispatcher.settings.store.servers_poll_ms / 1000
        latest = await self._store.read_latest(store_lib.SERVERS_TOPIC)
        offset = latest.next_offset
        self._replace_servers(latest.records)
        while True:
            self._regained()
            await self._await_seniority()
            factor = 1 if self._dispatcher.host else FOLLOWER_POLL_FACTOR
            await trio.sleep(poll_s * factor)
            page = await self._store.read(store_lib.SERVERS_TOPIC, offset, 0.0)
            offset = page.next_offset
            for record in page.records:
                self._apply_server(record)
            if self._drop_lapsed() or page.records:
                self._servers_changed()

    async def _await_seniority(self) -> None:
        """Returns once this entry may have to place tasks.

        The others know the servers as they were when they last could.
        """
        while not self._dispatcher.dialling.is_senior:
            await trio.sleep(SENIORITY_POLL_S)

    def _replace_servers(self, found: list[store_lib.KeyedRecord]) -> None:
        now = clock.now()
        present = {r.key for r in found if r.value}
        for record in found:
            self._apply_server(record)
        for server_id in self._servers:
            if server_id not in present:
                self._dropped.setdefault(server_id, now)
        self._drop_lapsed()
        self._servers_changed()

    def _apply_server(self, record: store_lib.KeyedRecord) -> None:
        now = clock.now()
        if not record.value:
            self._dropped.setdefault(record.key, now)
            return
        try:
            server = records.decode_server(record.key, record.value, now)
        except ValueError as error:
            self._ignored(store_lib.SERVERS_TOPIC, record.key, error)
            return
        self._servers[record.key] = server
        self._dropped.pop(record.key, None)

    def _drop_lapsed(self) -> bool:
        """Removes servers whose entries are gone for good."""
        now = clock.now()
        if now - self._regained_at < SERVER_KEPT_S:
            return False
        gone = [key for key in self._dropped if key in self._servers]
        for key in gone:
            del self._servers[key]
            self.removed_at = now
        self._dropped.clear()
        return bool(gone)

    def _servers_changed(self) -> None:
        host = self._dispatcher.host
        if host is not None:
            host.apply_servers(clock.now())
            self._dispatcher.wake()

    async def _read_directory(self) -> None:
        poll_s = self._dispatcher.settings.store.directory_poll_ms / 1000
        await self._write_record()
        written_at = clock.now()
        latest = await self._directory_store.read_latest(
            store_lib.ENTRIES_TOPIC
        )
        offset = latest.next_offset
        self._apply_directory(latest.records)
        while True:
            self._regained()
            self._claim_event = trio.Event()
            with trio.move_on_after(poll_s):
                await self._claim_event.wait()
            if self._is_renewal_due(clock.now() - written_at):
                await self._write_record()
                written_at = clock.now()
            page = await self._directory_store.read(
                store_lib.ENTRIES_TOPIC, offset, 0.0
            )
            offset = page.next_offset
            self._apply_directory(page.records)
            await self._remove_expired()

    def _is_renewal_due(self, age_s: float) -> bool:
        """Returns whether the own record is to be written again.

        Claims are news, and an owner's record is believed only while it is
        fresh; all others may wait for each other.
        """
        if self._claim_event.is_set() or self._dispatcher.ownership.epoch:
            return True
        poll_s = self._dispatcher.settings.store.directory_poll_ms / 1000
        entries = len(self.directory.records)
        renewal_s = min(directory_lib.renewal_s(poll_s, entries), RENEWAL_MAX_S)
        return age_s >= renewal_s - poll_s / 2

    async def _write_record(self) -> None:
        dispatcher = self._dispatcher
        host, port = dispatcher.settings.dispatcher.dialled_address
        record = directory_lib.EntryRecord(
            dispatcher.my_id,
            dispatcher.settings.dispatcher.name,
            dispatcher.zone,
            f"{host}:{port}",
            dispatcher.started,
            dispatcher.ownership.epoch,
            dispatcher.settings.dispatcher.weight,
        )
        await self._directory_store.append(
            store_lib.ENTRIES_TOPIC, record.id, directory_lib.encode(record)
        )

    def _apply_directory(self, found: list[store_lib.KeyedRecord]) -> None:
        now = clock.now()
        for record in found:
            try:
                self.directory.apply(record.key, record.value, now)
            except ValueError as error:
                self._ignored(store_lib.ENTRIES_TOPIC, record.key, error)
                continue
            self._note_claim(record.key, now)

    def _note_claim(self, key: str, now: float) -> None:
        dispatcher = self._dispatcher
        record = self.directory.records.get(key)
        if record is None or record.zone != dispatcher.zone:
            return
        ownership: ownership_lib.Ownership = dispatcher.ownership
        ownership.highest_epoch = max(ownership.highest_epoch, record.claim)
        if record.claim and key != dispatcher.my_id:
            ownership.stored_claim = (record.claim, now)

    async def _remove_expired(self) -> None:
        if self._dispatcher.host is None:
            return
        now = clock.now()
        for key in self.directory.expired(ENTRY_EXPIRED_S, now):
            if key != self._dispatcher.my_id:
                await self._directory_store.append(
                    store_lib.ENTRIES_TOPIC, key, b""
                )
                self.directory.apply(key, b"", now)

    async def leave(self) -> None:
        """Removes the own record at a planned stop."""
        with trio.move_on_after(LEAVE_S):
            try:
                await self._directory_store.append(
                    store_lib.ENTRIES_TOPIC, self._dispatcher.my_id, b""
                )
            except errors.PlatformError as error:
                self._lost(self._read_directory, error)
