"""Follows the configuration, backend servers and dispatchers in the store.

No client request waits for the store. While it is unavailable, the data read
last stays in force, and peers relay newer configurations.
"""

import attrs
import trio

from acacialine import clock
from acacialine import directory as directory_lib
from acacialine import errors
from acacialine import evacuation
from acacialine import events
from acacialine import messages
from acacialine import ownership as ownership_lib
from acacialine import routes
from acacialine import zonetables
from acacialine.platform import records
from acacialine.platform import store as store_lib

MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
CANDIDACY_CHECK_INTERVAL_S = 0.3
# A dispatcher that is not the placer reads the backend servers less often by
# this factor.
FOLLOWER_POLL_FACTOR = 4
RECORD_EXPIRY_S = 20.0  # a dispatcher's record that is not renewed is removed
MAX_RENEWAL_INTERVAL_S = 6.0  # three renewals fit into RECORD_EXPIRY_S
LEAVE_TIMEOUT_S = 0.3  # for removing this dispatcher's record at shutdown
# Backend servers whose records expired while the store was unavailable get
# this long after its recovery to renew them.
SERVER_REMOVAL_HOLDOFF_S = 2.5


@attrs.define(eq=False)
class StoreReader:
    """Holds what this dispatcher has read from the store and keeps it current.

    Attributes:
        configuration: The configuration in force; its version only increases.
        directory: Records of all dispatchers.
        is_directory_read: Whether these were read from the store.
        is_store_down: Whether the last call to the store failed.
        servers_read_at: When the list of backend servers was last requested
            and then read.
        server_removed_at: When a backend server was last removed from the
            list, or the list was first read.
        first_listed_at: When the list was first read.
        list_offset: Offset in the topic of the backend servers up to which all
            records are applied to the list; 0 before it was read.
        removal_offset: Offset that had been read when a backend server was
            last removed from the list, or the list was first read.
    """

    _dispatcher: object
    configuration: routes.Configuration | None = None
    directory: directory_lib.Directory = attrs.field(
        factory=directory_lib.Directory
    )
    is_store_down: bool = False
    is_directory_read: bool = False
    servers_read_at: float = -1e9
    server_removed_at: float = -1e9
    first_listed_at: float = -1e9
    list_offset: int = 0
    removal_offset: int = 0
    _read_offset: int = 0
    _servers: dict[str, zonetables.Server] = attrs.field(factory=dict)
    _own_records: dict[str, bytes] = attrs.field(factory=dict)
    _pending_removals: dict[str, float] = attrs.field(factory=dict)
    _recovered_at: float = -1e9
    _evacuated: evacuation.RecordTracker = attrs.field(
        factory=evacuation.RecordTracker
    )
    _server_store: store_lib.Store = attrs.field(init=False)
    _config_store: store_lib.Store = attrs.field(init=False)
    _directory_store: store_lib.Store = attrs.field(init=False)
    _write_requested: trio.Event = attrs.field(factory=trio.Event)
    _servers_requested: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.set_store_address(self._dispatcher.settings.store.address)

    def set_store_address(self, address: tuple[str, int]) -> None:
        """Uses the store at the given address from the next call on."""
        on_call = self._count_call
        self._server_store = store_lib.new_store(address, on_call)
        self._config_store = store_lib.new_store(address, on_call)
        self._directory_store = store_lib.new_store(address, on_call)

    def _count_call(self, name: str, outcome: str) -> None:
        self._dispatcher.meters.store_calls.labels(name, outcome).inc()

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the readers."""
        nursery.start_soon(self._follow, self._read_configuration)
        nursery.start_soon(self._follow, self._read_servers)
        nursery.start_soon(self._follow, self._read_directory)

    def servers_of(self, zone: str) -> list[zonetables.Server]:
        """Returns the backend servers of a zone that the store lists."""
        return [
            attrs.evolve(
                s, runs={}, recently_ended={}, lost_tasks=[], late_starts={}
            )
            for s in self._servers.values()
            if s.zone == zone
        ]

    @property
    def has_list(self) -> bool:
        """Whether a list of the backend servers has been read or received."""
        return self.first_listed_at > -1e9

    @property
    def server_count(self) -> int:
        """Number of known backend servers of the local zone."""
        return len(self._own_records)

    def own_records(self) -> list[tuple[str, bytes]]:
        """Returns id and record of each backend server of the local zone."""
        return list(self._own_records.items())

    def apply_list_from_peer(
        self, server_records: list[messages.ServerRecord]
    ) -> bool:
        """Uses the list of a placer if no list has been read from the store.

        Returns:
            Whether the list was used.
        """
        if self.has_list:
            return False
        for record in server_records:
            self._apply_server(store_lib.KeyedRecord(record.id, record.record))
        if not self._own_records:
            return False
        # Which servers left before is not known.
        self.server_removed_at = self.first_listed_at = clock.now()
        self._servers_changed()
        return True

    def request_record_write(self) -> None:
        """Requests that the record of this dispatcher is written soon."""
        self._write_requested.set()

    def request_servers(self) -> None:
        """Requests that the backend servers are read at once."""
        self._servers_requested.set()

    @property
    def removal_delay_s(self) -> float:
        """Time in s until all candidates know of a removed backend server.

        It covers two reads of the list by a follower.
        """
        poll_s = self._dispatcher.settings.store.servers_poll_ms / 1000
        return 2 * poll_s * FOLLOWER_POLL_FACTOR

    async def _follow(self, reader) -> None:
        """Runs a reader and restarts it after each failure of the store."""
        delay_s = MIN_RETRY_DELAY_S
        while True:
            started_at = clock.now()
            try:
                await reader()
            except store_lib.OffsetGoneError as error:
                # Reads on at once, unless the store answers so repeatedly.
                if clock.now() - started_at > MAX_RETRY_DELAY_S:
                    continue
                self._note_store_failure(reader, error)
            except errors.PlatformError as error:
                self._note_store_failure(reader, error)
            except Exception as error:
                # A fault of this program must not end all readers.
                self._dispatcher.log_unexpected(reader.__name__, error)
            if clock.now() - started_at > MAX_RETRY_DELAY_S * 4:
                delay_s = MIN_RETRY_DELAY_S
            await trio.sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    def _note_store_failure(self, reader, error: errors.PlatformError) -> None:
        """Logs the first failure of an outage, with the name of the reader."""
        if not self.is_store_down:
            self.is_store_down = True
            self._dispatcher.log(
                events.Event.STORE_LOST,
                reader=reader.__name__.removeprefix("_read_"),
                reason=str(error),
            )

    def _note_store_success(self) -> None:
        self._dispatcher.ownership.last_contact_at = clock.now()
        if self.is_store_down:
            self.is_store_down = False
            self._recovered_at = clock.now()
            self._dispatcher.log(events.Event.STORE_REGAINED)

    async def _read_configuration(self) -> None:
        wait_s = self._dispatcher.settings.store.configuration_wait_ms / 1000
        sent_at = clock.now()
        latest = await self._config_store.read_latest(
            store_lib.CONFIGURATION_TOPIC
        )
        offset = latest.next_offset
        end_offset = latest.end_offset
        self._evacuated.restart(end_offset)
        self._apply_operator_records(latest.records)
        while True:
            self._note_store_success()
            self._apply_evacuations(offset)
            if offset >= end_offset:
                self._evacuated.current_at = sent_at
            sent_at = clock.now()
            page = await self._config_store.read(
                store_lib.CONFIGURATION_TOPIC, offset, wait_s
            )
            offset = page.next_offset
            end_offset = page.end_offset
            self._apply_operator_records(page.records)

    def _apply_operator_records(
        self, keyed_records: list[store_lib.KeyedRecord]
    ) -> None:
        for record in keyed_records:
            zone = records.decode_evacuated_zone(record.key)
            if zone is not None:
                self._evacuated.record(zone, bool(record.value))
            if record.key != store_lib.CONFIGURATION_KEY or not record.value:
                continue
            try:
                config = records.decode_configuration(record.value)
            except ValueError as error:
                self._log_ignored_record(
                    store_lib.CONFIGURATION_TOPIC, record.key, error
                )
                continue
            self._apply_configuration(config, "store")

    def _apply_evacuations(self, offset: int) -> None:
        """Passes on which zones are evacuated up to an offset."""
        since_by_zone = self._evacuated.since_by_zone(offset)
        if since_by_zone is not None:
            self._dispatcher.evacuation_relay.apply(
                offset, since_by_zone, "store"
            )

    def _apply_configuration(
        self, config: routes.Configuration, source: str
    ) -> None:
        """Puts a configuration in force unless its version is not newer."""
        current = self.configuration
        if current is not None and config.version <= current.version:
            return
        self.configuration = (
            config if current is None else config.after(current)
        )
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
        """Applies a configuration that a peer relays."""
        try:
            config = records.decode_configuration(message.document)
        except ValueError as error:
            self._log_ignored_record("peer", peer_id, error)
            return
        self._apply_configuration(config, "peer")

    def _log_ignored_record(
        self, topic: str, key: str, error: Exception
    ) -> None:
        self._dispatcher.log(
            events.Event.STORE_RECORD_IGNORED,
            topic=topic,
            key=key,
            reason=str(error),
        )

    async def _read_servers(self) -> None:
        poll_s = self._dispatcher.settings.store.servers_poll_ms / 1000
        sent_at = clock.now()
        latest = await self._server_store.read_latest(store_lib.SERVERS_TOPIC)
        self._read_offset = latest.next_offset
        self._replace_servers(latest.records)
        while True:
            self._note_store_success()
            self.servers_read_at = sent_at
            if self._dispatcher.placer_host is not None:
                self._dispatcher.placer_host.record_list_read(sent_at)
            await self._await_candidacy()
            factor = 1 if self._dispatcher.placer_host else FOLLOWER_POLL_FACTOR
            with trio.move_on_after(poll_s * factor):
                await self._servers_requested.wait()
            self._servers_requested = trio.Event()
            sent_at = clock.now()
            page = await self._server_store.read(
                store_lib.SERVERS_TOPIC, self._read_offset, 0.0
            )
            self._read_offset = page.next_offset
            for record in page.records:
                self._apply_server(record)
            if self._remove_pending() or page.records:
                self._servers_changed()

    async def _await_candidacy(self) -> None:
        """Returns once this dispatcher is a candidate for the placer.

        Also returns when the list of backend servers is requested. Otherwise
        only candidates read it. The list of any other
        dispatcher is as old as its last candidacy.
        """
        while not self._dispatcher.link_manager.is_senior:
            with trio.move_on_after(CANDIDACY_CHECK_INTERVAL_S):
                await self._servers_requested.wait()
                return

    def _replace_servers(
        self, keyed_records: list[store_lib.KeyedRecord]
    ) -> None:
        """Applies the latest record of each server.

        Servers without a record are removed, or marked for removal during the
        holdoff after an outage of the store.
        """
        now = clock.now()
        if not self._servers:
            # Which servers left before is not known.
            self.server_removed_at = self.first_listed_at = now
        if not self.list_offset:
            self.removal_offset = self._read_offset
        present = {r.key for r in keyed_records if r.value}
        for record in keyed_records:
            self._apply_server(record)
        for server_id in self._servers:
            if server_id not in present:
                self._pending_removals.setdefault(server_id, now)
        self._remove_pending()
        self._servers_changed()

    def _apply_server(self, record: store_lib.KeyedRecord) -> None:
        now = clock.now()
        if not record.value:
            self._pending_removals.setdefault(record.key, now)
            return
        try:
            server = records.decode_server(record.key, record.value, now)
        except ValueError as error:
            self._log_ignored_record(store_lib.SERVERS_TOPIC, record.key, error)
            return
        self._servers[record.key] = server
        if server.zone == self._dispatcher.zone:
            self._own_records[record.key] = record.value
        self._pending_removals.pop(record.key, None)

    def _remove_pending(self) -> bool:
        """Removes the servers marked for removal; returns whether any was.

        Removes none during the holdoff after an outage of the store.
        """
        now = clock.now()
        if (
            self._pending_removals
            and now - self._recovered_at < SERVER_REMOVAL_HOLDOFF_S
        ):
            return False
        self.list_offset = self._read_offset
        to_remove = [
            key for key in self._pending_removals if key in self._servers
        ]
        for key in to_remove:
            del self._servers[key]
            self._own_records.pop(key, None)
            self.server_removed_at = now
            self.removal_offset = self._read_offset
        self._pending_removals.clear()
        return bool(to_remove)

    def _servers_changed(self) -> None:
        """Passes the servers to the placer if it runs in this process."""
        host = self._dispatcher.placer_host
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
        self.is_directory_read = True
        while True:
            self._note_store_success()
            self._write_requested = trio.Event()
            with trio.move_on_after(poll_s):
                await self._write_requested.wait()
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
        """Returns whether the record of this dispatcher is to be written.

        A changed claim is written at once, and the placer renews its record at
        each poll, as the others trust it only while it is fresh. All other
        records are renewed less often the more dispatchers there are.

        Args:
            age_s: Time in s since the record was last written.
        """
        if self._write_requested.is_set() or self._dispatcher.ownership.epoch:
            return True
        poll_s = self._dispatcher.settings.store.directory_poll_ms / 1000
        dispatcher_count = len(self.directory.records)
        renewal_s = min(
            directory_lib.renewal_interval_s(poll_s, dispatcher_count),
            MAX_RENEWAL_INTERVAL_S,
        )
        return age_s >= renewal_s - poll_s / 2

    async def _write_record(self) -> None:
        """Writes the record of this dispatcher to the store."""
        dispatcher = self._dispatcher
        host, port = dispatcher.settings.dispatcher.advertised_address
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

    def _apply_directory(
        self, keyed_records: list[store_lib.KeyedRecord]
    ) -> None:
        now = clock.now()
        for record in keyed_records:
            try:
                if self.directory.apply(record.key, record.value, now):
                    self._dispatcher.link_manager.request_update()
            except ValueError as error:
                self._log_ignored_record(
                    store_lib.ENTRIES_TOPIC, record.key, error
                )
                continue
            self._note_claim(record.key, now)

    def _note_claim(self, key: str, now: float) -> None:
        """Records the claim in a record, if it is one of the local zone."""
        dispatcher = self._dispatcher
        record = self.directory.records.get(key)
        if record is None or record.zone != dispatcher.zone:
            return
        ownership: ownership_lib.Ownership = dispatcher.ownership
        ownership.record_claim(key, record.claim)
        if record.claim and key != dispatcher.my_id:
            ownership.stored_claim = (record.claim, now)

    async def _remove_expired(self) -> None:
        """Removes expired records of dispatchers; only a placer does so."""
        if self._dispatcher.placer_host is None:
            return
        now = clock.now()
        for key in self.directory.expired_keys(RECORD_EXPIRY_S, now):
            if key != self._dispatcher.my_id:
                await self._directory_store.append(
                    store_lib.ENTRIES_TOPIC, key, b""
                )
                self.directory.apply(key, b"", now)

    async def remove_own_record(self) -> None:
        """Removes the record of this dispatcher at a graceful shutdown."""
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self._directory_store.append(
                    store_lib.ENTRIES_TOPIC, self._dispatcher.my_id, b""
                )
            except errors.PlatformError as error:
                self._note_store_failure(self._read_directory, error)
