"""Which links to other entries a dispatcher keeps.

Entries are known from the store, from seeds, and from what others say.
"""

import attrs
import trio

from acacialine import clock
from acacialine import directory as directory_lib
from acacialine import ids
from acacialine import ownership as ownership_lib
from acacialine import peering
from acacialine import topology

DIAL_S = 0.3
FAR_SILENT_S = 1.6  # for entries that beat less often; four heartbeats
OTHER_ZONE_LINKS = 2  # to a zone whose placer is not known


@attrs.define(eq=False)
class Dialling:
    """The links that one dispatcher wants.

    Attributes:
        is_senior: Whether this entry is a candidate for its zone's placer.
    """

    _dispatcher: object
    is_senior: bool = True
    _zone_of: dict[str, str] = attrs.field(factory=dict)

    def hear_of(self, peer_id: str, zone: str) -> None:
        """Notes that an entry exists, and where."""
        self._zone_of[peer_id] = zone

    async def run(self, nursery: trio.Nursery) -> None:
        """Opens and closes links until cancelled."""
        while True:
            self._dial_wanted(nursery)
            await trio.sleep(DIAL_S)

    def _dial_wanted(self, nursery: trio.Nursery) -> None:
        dispatcher = self._dispatcher
        own = dispatcher.settings.dispatcher
        wanted = self._wanted(clock.now())
        wanted.pop(own.dialled_address, None)
        for address, zone in wanted.items():
            is_near = zone == own.zone and self.is_senior
            dispatcher.hub.dial(address, zone, is_near, nursery)
        for address, link in list(dispatcher.hub.peers.items()):
            if address not in wanted and not self._is_in_use(link):
                dispatcher.hub.drop(address)

    def _wanted(self, now: float) -> dict[tuple[str, int], str]:
        """Returns the zone of each address to which a link is kept."""
        dispatcher = self._dispatcher
        own = dispatcher.settings.dispatcher
        chosen = topology.choose(
            topology.rank(own.weight, dispatcher.started, dispatcher.my_id),
            self._neighbours(now),
        )
        self.is_senior = chosen.is_candidate
        dispatcher.ownership.silent_s = (
            ownership_lib.SILENT_S if self.is_senior else FAR_SILENT_S
        )
        wanted = dict.fromkeys(chosen.addresses, own.zone)
        wanted.update(self._own_placers(now))
        wanted.update(self._other_placers())
        if len(wanted) < 2:
            for address in own.seeds:
                wanted.setdefault(address, "")
        return wanted

    def _neighbours(self, now: float) -> list[topology.Neighbour]:
        """Returns the other entries of the own zone, as far as known."""
        dispatcher = self._dispatcher
        found: dict[tuple[str, int], topology.Neighbour] = {}
        for record in self._records(True):
            if record.id != dispatcher.my_id:
                found[record.peer_address] = self._neighbour(
                    record.id, record.weight, record.started, now
                )
        for peer_id in list(self._zone_of):
            if self._zone_of[peer_id] != dispatcher.zone:
                continue
            address = ids.parse_incarnation(peer_id).address
            if peer_id == dispatcher.my_id or address in found:
                continue
            link = dispatcher.hub.peers.get(address)
            if link is not None and link.is_refused:
                del self._zone_of[peer_id]
                continue
            member = dispatcher.ownership.members.get(peer_id)
            weight, started = (
                (member.weight, member.started) if member else (1.0, now)
            )
            found[address] = self._neighbour(peer_id, weight, started, now)
        found.pop(dispatcher.settings.dispatcher.dialled_address, None)
        return list(found.values())

    def _records(self, is_own_zone: bool) -> list[directory_lib.EntryRecord]:
        """Returns what the store says of entries in or out of the zone."""
        return [
            r
            for r in self._dispatcher.store_reader.directory.records.values()
            if (r.zone == self._dispatcher.zone) == is_own_zone
        ]

    def _neighbour(
        self, peer_id: str, weight: float, started: float, now: float
    ) -> topology.Neighbour:
        address = ids.parse_incarnation(peer_id).address
        link = self._dispatcher.hub.peers.get(address)
        is_down = link is not None and link.is_down(now)
        return topology.Neighbour(peer_id, address, weight, started, is_down)

    def _own_placers(self, now: float) -> dict[tuple[str, int], str]:
        """Returns where the placer of the own zone is said to be."""
        zone = self._dispatcher.zone
        hub = self._dispatcher.hub
        names = {r.id for r in self._records(True) if r.claim}
        for link in hub.peers.values():
            if link.is_open and link.state.zone == zone:
                names.add(link.state.placer_id)
        names -= {"", self._dispatcher.my_id}
        wanted = {}
        for name in names:
            address = ids.parse_incarnation(name).address
            link = hub.peers.get(address)
            if link is None or not link.is_down(now):
                wanted[address] = zone
        return wanted

    def _other_placers(self) -> dict[tuple[str, int], str]:
        """Returns where the placers of the other zones are, or may be."""
        wanted: dict[tuple[str, int], str] = {}
        others: dict[str, list[directory_lib.EntryRecord]] = {}
        for record in self._records(False):
            others.setdefault(record.zone, []).append(record)
        for zone, found in others.items():
            found.sort(key=lambda r: (-r.claim, r.id))
            if found[0].claim:
                found = [r for r in found if r.claim]
            for record in found[:OTHER_ZONE_LINKS]:
                wanted[record.peer_address] = zone
        return wanted

    def _is_in_use(self, link: peering.PeerLink) -> bool:
        """Returns whether a link stays that is not wanted otherwise.

        Those are links to the placer of the own zone, whoever it is, and to
        where open requests are.
        """
        zone = self._dispatcher.zone
        if link.is_open and link.state.zone == zone and link.state.claim:
            return True
        return any(
            r.placer is not None and r.placer.peer_id == link.peer_id
            for r in self._dispatcher.intake.requests.values()
        )
