"""Which links to other dispatchers a dispatcher maintains.

Other dispatchers are discovered from the store, from configured seeds and
from heartbeats.
"""

import attrs
import trio

from acacialine import clock
from acacialine import directory as directory_lib
from acacialine import ids
from acacialine import ownership as ownership_lib
from acacialine import peering
from acacialine import topology

LINK_UPDATE_INTERVAL_S = 0.3
# Without a change the links are updated at this interval, as peers become
# unreachable by their silence.
UNCHANGED_UPDATE_INTERVAL_S = 1.2
# Heartbeat timeout of a non-candidate: three of its longest intervals.
NON_CANDIDATE_SILENT_S = 2.4
MAX_LINKS_PER_REMOTE_ZONE = 2  # if the store has several claims or none


@attrs.define(eq=False)
class LinkManager:
    """Opens and closes the links of one dispatcher to others.

    Attributes:
        is_senior: Whether this dispatcher is a candidate for the placer of
            its zone.
    """

    _dispatcher: object
    is_senior: bool = True
    _zone_by_peer: dict[str, str] = attrs.field(factory=dict)
    _update_requested: trio.Event = attrs.field(factory=trio.Event)
    # Whether all that the directory lists at first were heard or given up.
    _has_heard_peers: bool = False

    def add_peer(self, peer_id: str, zone: str) -> None:
        """Records that a dispatcher exists, and its zone."""
        if self._zone_by_peer.get(peer_id) != zone:
            self._zone_by_peer[peer_id] = zone
            self.request_update()

    def awaits_peers(self, now: float) -> bool:
        """Returns whether to wait for the others of the zone after the start.

        It ends when the directory has been read, and each listed dispatcher
        that this one links to was heard or can't be reached.
        """
        if not self._has_heard_peers:
            self._has_heard_peers = bool(
                self._dispatcher.store_reader.directory.records
            ) and not any(
                self._is_awaited(neighbour)
                for neighbour in self._linked_neighbours(now)
            )
        return not self._has_heard_peers

    def _linked_neighbours(self, now: float) -> list[topology.Neighbour]:
        """Returns the neighbours that this dispatcher is to link to."""
        neighbours = self._neighbours(now)
        addresses = self._choose_links(neighbours).addresses
        return [n for n in neighbours if n.address in addresses]

    def _is_awaited(self, neighbour: topology.Neighbour) -> bool:
        dispatcher = self._dispatcher
        link = dispatcher.hub.dialled_links.get(neighbour.address)
        return not (
            neighbour.is_unreachable
            or neighbour.id in dispatcher.ownership.members
            or (link is not None and link.is_open)
        )

    def request_update(self) -> None:
        """Requests an update of the links, as a peer or link has changed."""
        self._update_requested.set()

    async def run(self, nursery: trio.Nursery) -> None:
        """Updates the links when something changes, until cancelled."""
        while True:
            self._update_requested = trio.Event()
            self._update_links(nursery)
            await trio.sleep(LINK_UPDATE_INTERVAL_S)
            with trio.move_on_after(
                UNCHANGED_UPDATE_INTERVAL_S - LINK_UPDATE_INTERVAL_S
            ):
                await self._update_requested.wait()

    def _update_links(self, nursery: trio.Nursery) -> None:
        dispatcher = self._dispatcher
        settings = dispatcher.settings.dispatcher
        now = clock.now()
        local_placers = self._local_placers(now)
        wanted = self._wanted_links(local_placers, now)
        wanted.pop(settings.advertised_address, None)
        for address, zone in wanted.items():
            dispatcher.hub.dial(
                address,
                zone,
                self._heartbeat_interval_s(zone, address in local_placers),
                nursery,
            )
        for address, link in list(dispatcher.hub.dialled_links.items()):
            if address not in wanted and not self._is_in_use(link):
                dispatcher.hub.drop(address)

    def _heartbeat_interval_s(self, zone: str, is_placer: bool) -> float:
        """Returns the interval of the heartbeats on a link to a zone."""
        if zone != self._dispatcher.zone:
            return peering.IDLE_HEARTBEAT_INTERVAL_S
        if self.is_senior:
            return peering.FAST_HEARTBEAT_INTERVAL_S
        if is_placer:
            return peering.SLOW_HEARTBEAT_INTERVAL_S
        return peering.IDLE_HEARTBEAT_INTERVAL_S

    def _wanted_links(
        self, local_placers: dict[tuple[str, int], str], now: float
    ) -> dict[tuple[str, int], str]:
        """Returns the zone of each address to link to; "" for seeds.

        Also updates whether this dispatcher is a candidate, and after which
        silence it considers a peer dead.
        """
        dispatcher = self._dispatcher
        settings = dispatcher.settings.dispatcher
        neighbourhood = self._choose_links(self._neighbours(now))
        self.is_senior = neighbourhood.is_candidate
        dispatcher.ownership.heartbeat_timeout_s = (
            ownership_lib.SILENT_S if self.is_senior else NON_CANDIDATE_SILENT_S
        )
        wanted = dict.fromkeys(neighbourhood.addresses, settings.zone)
        wanted.update(local_placers)
        wanted.update(self._remote_placers())
        if len(wanted) < 2:
            for address in settings.seeds:
                wanted.setdefault(address, "")
        return wanted

    def _choose_links(
        self, neighbours: list[topology.Neighbour]
    ) -> topology.ZoneLinks:
        dispatcher = self._dispatcher
        weight = dispatcher.settings.dispatcher.weight
        local_rank = topology.rank(weight, dispatcher.started, dispatcher.my_id)
        return topology.choose_links(local_rank, neighbours)

    def _neighbours(self, now: float) -> list[topology.Neighbour]:
        """Returns the known other dispatchers of the local zone."""
        dispatcher = self._dispatcher
        neighbours: dict[tuple[str, int], topology.Neighbour] = {}
        for record in self._directory_records(True):
            if record.id != dispatcher.my_id:
                neighbours[record.peer_address] = self._new_neighbour(
                    record.id, record.weight, record.started, now
                )
        for peer_id in list(self._zone_by_peer):
            if self._zone_by_peer[peer_id] != dispatcher.zone:
                continue
            address = ids.parse_incarnation(peer_id).address
            if peer_id == dispatcher.my_id or address in neighbours:
                continue
            link = dispatcher.hub.dialled_links.get(address)
            if link is not None and link.is_refused:
                del self._zone_by_peer[peer_id]
                continue
            member = dispatcher.ownership.members.get(peer_id)
            weight, started = (
                (member.weight, member.started) if member else (1.0, now)
            )
            neighbours[address] = self._new_neighbour(
                peer_id, weight, started, now
            )
        neighbours.pop(dispatcher.settings.dispatcher.advertised_address, None)
        return list(neighbours.values())

    def _directory_records(
        self, is_local: bool
    ) -> list[directory_lib.EntryRecord]:
        """Returns the stored records of the local zone or of all others."""
        return [
            r
            for r in self._dispatcher.store_reader.directory.records.values()
            if (r.zone == self._dispatcher.zone) == is_local
        ]

    def _new_neighbour(
        self, peer_id: str, weight: float, started: float, now: float
    ) -> topology.Neighbour:
        address = ids.parse_incarnation(peer_id).address
        link = self._dispatcher.hub.dialled_links.get(address)
        is_down = link is not None and link.is_unreachable(now)
        return topology.Neighbour(peer_id, address, weight, started, is_down)

    def _local_placers(self, now: float) -> dict[tuple[str, int], str]:
        """Returns the addresses of the placers claimed for the local zone.

        The claims come from the store and from heartbeats and may disagree.
        """
        zone = self._dispatcher.zone
        hub = self._dispatcher.hub
        placer_ids = {r.id for r in self._directory_records(True) if r.claim}
        for link in hub.dialled_links.values():
            if link.is_open and link.heartbeat.zone == zone:
                placer_ids.add(link.heartbeat.placer_id)
        placer_ids -= {"", self._dispatcher.my_id}
        wanted = {}
        for placer_id in placer_ids:
            address = ids.parse_incarnation(placer_id).address
            link = hub.dialled_links.get(address)
            if link is None or not link.is_unreachable(now):
                wanted[address] = zone
        return wanted

    def _remote_placers(self) -> dict[tuple[str, int], str]:
        """Returns the addresses of the placers of the other zones.

        For a zone without a claim in the store, the first of its dispatchers
        are returned, one of which may be the placer.
        """
        wanted: dict[tuple[str, int], str] = {}
        records_by_zone: dict[str, list[directory_lib.EntryRecord]] = {}
        for record in self._directory_records(False):
            records_by_zone.setdefault(record.zone, []).append(record)
        for zone, records in records_by_zone.items():
            records.sort(key=lambda r: (-r.claim, r.id))
            if records[0].claim:
                records = [r for r in records if r.claim]
            for record in records[:MAX_LINKS_PER_REMOTE_ZONE]:
                wanted[record.peer_address] = zone
        return wanted

    def _is_in_use(self, link: peering.PeerLink) -> bool:
        """Returns whether a link must stay open although it is not wanted.

        This holds for links to a placer of the local zone and to placers
        that have open requests of this dispatcher.
        """
        zone = self._dispatcher.zone
        if (
            link.is_open
            and link.heartbeat.zone == zone
            and link.heartbeat.claim
        ):
            return True
        return any(
            r.placer is not None and r.placer.peer_id == link.peer_id
            for r in self._dispatcher.intake.requests.values()
        )
