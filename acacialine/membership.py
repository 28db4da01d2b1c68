"""Views of other entries and of the VMs, and who brokers which VM."""

import hashlib

from acacialine import actions
from acacialine import admission
from acacialine import broker
from acacialine import events
from acacialine import ids
from acacialine import messages
from acacialine import platforms
from acacialine import quotas
from acacialine import slots
from acacialine import tables as tables_lib

MEMBERS_PER_BEAT = 2
FAR_BEATS_PER_S = 8.0  # bound on heartbeats to other zones, all together
BACKENDS_PER_BEAT = 32
DEAD_KEPT_S = 600.0
RESTARTED = "restarted"
JITTER = 0.1  # part of an interval


def live_peers(tables: tables_lib.Tables) -> list[tables_lib.Peer]:
    """Returns the peers that count as alive, draining ones included."""
    return [p for p in tables.peers.values() if p.state in ("live", "draining")]


def rendezvous(key: str, members: list[str]) -> str:
    """Returns the member with the highest hash for a key.

    Losing a member moves only the keys that it had.
    """
    return max(members, key=lambda member: _weight(key, member))


def _weight(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}|{member}".encode(), digest_size=8).digest()


def owner_of(tables: tables_lib.Tables, backend: tables_lib.Backend) -> str:
    """Returns the broker of a backend server in the own view."""
    members = [p.id for p in _brokers(tables, backend.zone)]
    if backend.zone == tables.zone and not tables.draining:
        members.append(tables.my_id)
    return rendezvous(backend.backend_id, members) if members else ""


def _brokers(tables: tables_lib.Tables, zone: str) -> list[tables_lib.Peer]:
    return [
        p for p in tables.peers.values() if p.zone == zone and p.state == "live"
    ]


def assign_backends(tables: tables_lib.Tables, now: float) -> None:
    """Recomputes which backend servers this entry brokers."""
    grace_s = tables.settings.membership.dead_ms / 1000
    for backend in tables.zone_backends:
        mine = owner_of(tables, backend) == tables.my_id
        if mine and backend.owned_since is None:
            backend.owned_since = now
            # Coordinators report what they hold before slots are granted.
            backend.grants_from = now + grace_s
            actions.log_event(
                tables,
                events.Event.BROKER_ACQUIRED,
                backend=backend.backend_id,
                grants_in_s=grace_s,
            )
        elif not mine and backend.owned_since is not None:
            # Slots given out stay recorded until they are given back, in
            # case this entry becomes the broker again before that.
            backend.owned_since = None
    tables.owned = [
        b for b in tables.zone_backends if b.owned_since is not None
    ]


def apply_vms(
    tables: tables_lib.Tables, vms: platforms.VmList, now: float
) -> None:
    """Merges the platform's list; it lags, and leaving is never undone."""
    listed = {v.vm_id: v for v in vms.vms if v.role == "backend"}
    for vm in listed.values():
        backend = tables.backends.get(vm.vm_id)
        if backend is None:
            backend = _add_backend(tables, vm)
        backend.listed = True
        if vm.state == "leaving":
            mark_leaving(tables, backend, "platform")
    for backend in list(tables.backends.values()):
        if backend.backend_id in listed:
            continue
        backend.listed = False
        if not backend.held:
            del tables.backends[backend.backend_id]
            actions.log_event(
                tables,
                events.Event.BACKEND_REMOVED,
                backend=backend.backend_id,
            )
    known = tables.backends.values()
    tables.zone_backends = [b for b in known if b.zone == tables.zone]
    tables.total_slots = sum(b.slots for b in known if b.listed)
    assign_backends(tables, now)


def _add_backend(
    tables: tables_lib.Tables, vm: platforms.Vm
) -> tables_lib.Backend:
    host, _, port = vm.address.rpartition(":")
    backend = tables_lib.Backend(
        vm.vm_id,
        host,
        int(port),
        vm.zone,
        vm.rack,
        vm.slots,
        vm.cpus,
        vm.memory_mb,
        vm.accelerators,
    )
    tables.backends[vm.vm_id] = backend
    actions.log_event(
        tables, events.Event.BACKEND_ADDED, backend=vm.vm_id, zone=vm.zone
    )
    return backend


def mark_leaving(
    tables: tables_lib.Tables, backend: tables_lib.Backend, source: str
) -> None:
    """Gives a backend server no new work from now on."""
    if backend.leaving:
        return
    backend.leaving = True
    actions.log_event(
        tables,
        events.Event.BACKEND_LEAVING,
        backend=backend.backend_id,
        source=source,
    )


def receive_heartbeat(
    tables: tables_lib.Tables, beat: messages.Heartbeat, now: float
) -> None:
    """Takes in the state of a peer."""
    if beat.sender in tables.dead or beat.sender == tables.my_id:
        return
    peer = tables.peers.get(beat.sender)
    if peer is None:
        peer = _add_peer(tables, beat.sender, beat.name, beat.zone, now)
    if peer is None:
        return
    if beat.beat < peer.beat or peer.state == "left":
        return
    peer.beat = beat.beat
    peer.heard_at = peer.known_at = now
    peer.config_offset = max(peer.config_offset, beat.config_offset)
    peer.successor = beat.successor
    peer.caller_address = beat.caller_address
    peer.load = tables_lib.Load(
        beat.slots, beat.free, beat.work_s, beat.waiting, beat.due
    )
    peer.demand = {entry.team: entry.rate for entry in beat.demand}
    if peer.state != beat.state:
        peer.state = beat.state
        assign_backends(tables, now)
    for report in beat.members:
        _receive_member(tables, report, now)
    for report in beat.backends:
        backend = tables.backends.get(report.backend_id)
        if backend and report.leaving:
            mark_leaving(tables, backend, beat.name)
    slots.reconcile(tables, beat, now)


def _receive_member(
    tables: tables_lib.Tables, report: messages.MemberReport, now: float
) -> None:
    """Takes in what a peer knows of a third entry."""
    known = report.incarnation
    if known == tables.my_id or known in tables.dead:
        return
    known_at = now - report.age_ms / 1000
    peer = tables.peers.get(known)
    if peer is None:
        silent_s = tables.settings.membership.dead_ms / 1000
        if report.zone != tables.zone:
            silent_s *= _far_factor(tables)
        if known_at < now - silent_s:
            return
        peer = _add_peer(tables, known, report.name, report.zone, known_at)
    if peer and known_at > peer.known_at:
        peer.known_at = known_at
        peer.config_offset = max(peer.config_offset, report.config_offset)
        peer.caller_address = report.caller_address


def _add_peer(
    tables: tables_lib.Tables, peer_id: str, name: str, zone: str, now: float
) -> tables_lib.Peer | None:
    """Adds a peer, unless a later incarnation has its address."""
    peer = tables_lib.Peer(
        ids.parse_incarnation(peer_id), name, zone, known_at=now
    )
    for other in list(tables.peers.values()):
        if other.incarnation.address != peer.incarnation.address:
            continue
        if other.incarnation.nonce > peer.incarnation.nonce:
            return None
        if other.state != "left":
            bury_peer(tables, other, RESTARTED, now)
    tables.peers[peer_id] = peer
    actions.log_event(
        tables, events.Event.PEER_JOINED, peer=peer_id, name=name, zone=zone
    )
    assign_backends(tables, now)
    return peer


def receive_leaving(
    tables: tables_lib.Tables, message: messages.LeavingMessage, now: float
) -> None:
    """Notes that a peer has stopped in order and who has its answers."""
    peer = tables.peers.get(message.sender)
    if peer is None or peer.state == "left":
        return
    peer.state = "left"
    peer.successor = message.successor
    peer.known_at = now
    slots.holder_gone(tables, peer.id)
    actions.log_event(
        tables,
        events.Event.PEER_LEAVING,
        peer=peer.id,
        successor=message.successor,
    )
    assign_backends(tables, now)


def bury_peer(
    tables: tables_lib.Tables,
    peer: tables_lib.Peer,
    reason: str,
    now: float,
) -> None:
    """Counts a peer as dead.

    One that was only silent may be heard again, after a pause or a cut. One
    whose address another incarnation has taken never comes back.
    """
    tables.peers.pop(peer.id, None)
    if reason == RESTARTED:
        tables.dead[peer.id] = now
    slots.holder_gone(tables, peer.id)
    actions.log_event(
        tables, events.Event.PEER_DEAD, peer=peer.id, reason=reason
    )
    assign_backends(tables, now)


def run_detection(tables: tables_lib.Tables, now: float) -> None:
    """Counts silent peers as dead, and forgets the long gone."""
    dead_s = tables.settings.membership.dead_ms / 1000
    scale = {True: 1.0, False: _far_factor(tables)}
    for peer in list(tables.peers.values()):
        limit_s = dead_s * scale[peer.zone == tables.zone]
        if peer.state == "left":
            if now - peer.known_at > DEAD_KEPT_S:
                del tables.peers[peer.id]
        elif now - peer.known_at > limit_s:
            bury_peer(tables, peer, "silent", now)
    for peer_id, since in list(tables.dead.items()):
        if now - since > DEAD_KEPT_S:
            del tables.dead[peer_id]


def _far_factor(tables: tables_lib.Tables) -> float:
    """Returns how much longer peers of other zones may be silent."""
    members = tables.settings.membership
    far_s = max(
        members.zone_heartbeat_ms / 1000,
        len(live_peers(tables)) / FAR_BEATS_PER_S,
    )
    return max(1.0, 2000 * far_s / members.heartbeat_ms)


def after_pause(tables: tables_lib.Tables, gap_s: float, now: float) -> None:
    """Gives up what may have lapsed while this process was paused."""
    grace_s = tables.settings.membership.dead_ms / 1000
    actions.log_event(tables, events.Event.CLOCK_JUMP, seconds=gap_s)
    for peer in tables.peers.values():
        peer.known_at = now
    for backend in broker.owned(tables):
        backend.grants_from = max(backend.grants_from, now + grace_s)


def run_heartbeats(tables: tables_lib.Tables, now: float) -> None:
    """Sends the heartbeats that are due."""
    near_s = tables.settings.membership.heartbeat_ms / 1000
    far_s = tables.settings.membership.zone_heartbeat_ms / 1000
    near = now >= tables.beat_at
    far = now >= tables.zone_beat_at
    if not near and not far:
        return
    tables.beat += 1
    if near:
        tables.beat_at = now + _jittered(tables, near_s)
        for peer in live_peers(tables):
            if peer.zone == tables.zone:
                _send_heartbeat(tables, peer, now)
    if far:
        targets = far_targets(tables)
        far_s = max(far_s, len(targets) / FAR_BEATS_PER_S)
        tables.zone_beat_at = now + _jittered(tables, far_s)
        for peer in targets:
            _send_heartbeat(tables, peer, now)


def _jittered(tables: tables_lib.Tables, interval_s: float) -> float:
    return interval_s * (1 + JITTER * (2 * tables.random.random() - 1))


def far_targets(tables: tables_lib.Tables) -> list[tables_lib.Peer]:
    """Returns the few entries of each other zone that this one talks to.

    The choice is symmetric: two entries either both choose each other or
    neither does.
    """
    fanout = tables.settings.membership.zone_fanout
    by_zone: dict[str, list[tables_lib.Peer]] = {}
    for peer in live_peers(tables):
        if peer.zone != tables.zone:
            by_zone.setdefault(peer.zone, []).append(peer)
    result = []
    for peers in by_zone.values():
        peers.sort(key=lambda p: _weight(_pair(tables.my_id, p.id), "far"))
        result.extend(peers[:fanout])
    talking = {p.id for p in result}
    for peer in live_peers(tables):
        recent = peer.heard_at and peer.id not in talking
        if recent and peer.zone != tables.zone:
            result.append(peer)
    return result


def _pair(one: str, other: str) -> str:
    return "|".join(sorted((one, other)))


def _send_heartbeat(
    tables: tables_lib.Tables, peer: tables_lib.Peer, now: float
) -> None:
    beat = heartbeat_for(tables, peer, now)
    tables.actions.append(actions.Send(peer.id, beat))
    tables.counters["messages_heartbeat"] += 1


def heartbeat_for(
    tables: tables_lib.Tables, peer: tables_lib.Peer, now: float
) -> messages.Heartbeat:
    """Builds the heartbeat for one receiver."""
    brokered, free = broker.capacity(tables, now)
    return messages.Heartbeat(
        tables.my_id,
        tables.settings.entry.name,
        tables.zone,
        "draining" if tables.draining else "live",
        tables.beat,
        now,
        tables.fold.offset,
        tables.successor,
        "{}:{}".format(*tables.settings.entry.caller_address),
        peer.last_seq,
        brokered,
        free,
        tables.work_s,
        sum(c for c in tables.waiting.values() if c > 0),
        _held_for(tables, peer),
        _members_for(tables, peer, now),
        _backend_news(tables),
        _demand(tables, now),
        [g.seq for g in tables.grants.values() if g.broker == peer.id],
        admission.due_work(tables, now),
    )


def _held_for(
    tables: tables_lib.Tables, peer: tables_lib.Peer
) -> list[messages.HeldReport]:
    """Returns the held slots that concern the receiver as a broker."""
    result = []
    for grant in tables.grants.values():
        granted = grant.broker == peer.id
        if not granted and _is_owner(tables, peer, grant.backend_id):
            result.append(
                messages.HeldReport(grant.broker, grant.seq, grant.backend_id)
            )
    for backend in tables.zone_backends:
        own = [s for s in backend.held.values() if s.holder == tables.my_id]
        if own and _is_owner(tables, peer, backend.backend_id):
            result.extend(
                messages.HeldReport(tables.my_id, s.seq, backend.backend_id)
                for s in own
            )
    return result


def _is_owner(
    tables: tables_lib.Tables, peer: tables_lib.Peer, backend_id: str
) -> bool:
    backend = tables.backends.get(backend_id)
    if backend is None or backend.zone != peer.zone:
        return False
    return owner_of(tables, backend) == peer.id


def _members_for(
    tables: tables_lib.Tables, receiver: tables_lib.Peer, now: float
) -> list[messages.MemberReport]:
    """Returns a rotating part of the entries the receiver may not hear.

    Entries of one zone hear each other; each tells the others of its zone
    what it hears from afar, and tells other zones of its own.
    """
    near = receiver.zone == tables.zone
    known = [
        p
        for p in live_peers(tables)
        if p.id != receiver.id
        and p.heard_at
        and (p.zone == tables.zone) != near
    ]
    if len(known) > MEMBERS_PER_BEAT:
        first = (tables.beat * MEMBERS_PER_BEAT) % len(known)
        known = (known + known)[first : first + MEMBERS_PER_BEAT]
    return [
        messages.MemberReport(
            p.id,
            p.name,
            p.zone,
            p.state,
            p.config_offset,
            int((now - p.known_at) * 1000),
            p.caller_address,
        )
        for p in known
    ]


def _backend_news(tables: tables_lib.Tables) -> list[messages.BackendReport]:
    leaving = [b for b in tables.backends.values() if b.leaving]
    return [
        messages.BackendReport(b.backend_id, True)
        for b in leaving[-BACKENDS_PER_BEAT:]
    ]


def _demand(tables: tables_lib.Tables, now: float) -> list[messages.TeamDemand]:
    result = []
    for team, document in tables.fold.documents.items():
        if document.quota_starts:
            rate = quotas.demand(tables, team, now)
            if rate >= 0.01:
                result.append(messages.TeamDemand(team, rate))
    return result


def choose_successor(tables: tables_lib.Tables) -> str:
    """Returns the peer that takes over answers at a planned stop."""
    live = [p for p in tables.peers.values() if p.state == "live"]
    near = [p for p in live if p.zone == tables.zone and p.heard_at]
    chosen = near or [p for p in live if p.heard_at]
    if not chosen:
        return ""
    return rendezvous(tables.my_id, [p.id for p in chosen])
