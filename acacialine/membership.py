"""Membership: which peers are alive and which of them brokers which server.

Entries exchange heartbeats, which also relay what the sender knows of third
entries. Rendezvous hashing assigns each backend server to one live entry of
its zone, its broker.
"""

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

MEMBERS_PER_HEARTBEAT = 2
MAX_REMOTE_HEARTBEATS_PER_S = 8.0  # limit for all other zones together
BACKENDS_PER_HEARTBEAT = 32
DEAD_RETENTION_S = 600.0
RESTARTED = "restarted"
JITTER_RATIO = 0.1  # largest change of a heartbeat interval, as a share of it


def live_peers(tables: tables_lib.Tables) -> list[tables_lib.Peer]:
    """Returns the peers that count as alive, draining ones included."""
    return [p for p in tables.peers.values() if p.state in ("live", "draining")]


def rendezvous(key: str, members: list[str]) -> str:
    """Returns the member with the highest hash for a key.

    If a member is removed, only its own keys move to other members.
    """
    return max(members, key=lambda member: _rendezvous_hash(key, member))


def _rendezvous_hash(key: str, member: str) -> bytes:
    return hashlib.blake2b(f"{key}|{member}".encode(), digest_size=8).digest()


def broker_of(tables: tables_lib.Tables, backend: tables_lib.Backend) -> str:
    """Returns the broker of a backend server as this entry sees it.

    The result is empty if no live entry of its zone is known.
    """
    members = [p.id for p in _broker_candidates(tables, backend.zone)]
    if backend.zone == tables.zone and not tables.draining:
        members.append(tables.my_id)
    return rendezvous(backend.backend_id, members) if members else ""


def _broker_candidates(
    tables: tables_lib.Tables, zone: str
) -> list[tables_lib.Peer]:
    return [
        p for p in tables.peers.values() if p.zone == zone and p.state == "live"
    ]


def assign_backends(tables: tables_lib.Tables, now: float) -> None:
    """Recomputes which backend servers this entry brokers."""
    grace_s = tables.settings.membership.dead_ms / 1000
    for backend in tables.local_backends:
        is_broker = broker_of(tables, backend) == tables.my_id
        if is_broker and backend.owned_since is None:
            backend.owned_since = now
            # Lets coordinators report the slots they hold before new grants.
            backend.grantable_at = now + grace_s
            actions.log_event(
                tables,
                events.Event.BROKER_ACQUIRED,
                backend=backend.backend_id,
                grants_in_s=grace_s,
            )
        elif not is_broker and backend.owned_since is not None:
            # Granted slots stay recorded until they are released, in case
            # this entry becomes the broker again before that.
            backend.owned_since = None
    tables.owned = [
        b for b in tables.local_backends if b.owned_since is not None
    ]


def apply_vms(
    tables: tables_lib.Tables, vms: platforms.VmList, now: float
) -> None:
    """Merges the platform's VM list into the backend servers.

    The list lags, so a backend server that was marked as leaving stays marked.
    """
    listed = {v.vm_id: v for v in vms.vms if v.role == "backend"}
    for vm in listed.values():
        backend = tables.backends.get(vm.vm_id)
        if backend is None:
            backend = _add_backend(tables, vm)
        backend.is_listed = True
        if vm.state == "leaving":
            mark_leaving(tables, backend, "platform")
    for backend in list(tables.backends.values()):
        if backend.backend_id in listed:
            continue
        backend.is_listed = False
        if not backend.held_slots:
            del tables.backends[backend.backend_id]
            actions.log_event(
                tables,
                events.Event.BACKEND_REMOVED,
                backend=backend.backend_id,
            )
    backends = tables.backends.values()
    tables.local_backends = [b for b in backends if b.zone == tables.zone]
    tables.total_slots = sum(b.slots for b in backends if b.is_listed)
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
    """Marks a backend server as leaving, so that it receives no new tasks."""
    if backend.is_leaving:
        return
    backend.is_leaving = True
    actions.log_event(
        tables,
        events.Event.BACKEND_LEAVING,
        backend=backend.backend_id,
        source=source,
    )


def receive_heartbeat(
    tables: tables_lib.Tables, heartbeat: messages.Heartbeat, now: float
) -> None:
    """Updates a peer, and what it reports of others, from its heartbeat."""
    if (
        heartbeat.sender in tables.restarted_peers
        or heartbeat.sender == tables.my_id
    ):
        return
    peer = tables.peers.get(heartbeat.sender)
    if peer is None:
        peer = _add_peer(
            tables, heartbeat.sender, heartbeat.name, heartbeat.zone, now
        )
    if peer is None:
        return
    if heartbeat.beat < peer.beat or peer.state == "left":
        return
    peer.beat = heartbeat.beat
    peer.heard_at = peer.last_known_at = now
    peer.config_offset = max(peer.config_offset, heartbeat.config_offset)
    peer.successor = heartbeat.successor
    peer.caller_address = heartbeat.caller_address
    peer.load = tables_lib.Load(
        heartbeat.slots,
        heartbeat.free,
        heartbeat.work_s,
        heartbeat.waiting,
        heartbeat.due,
    )
    peer.demand = {entry.team: entry.rate for entry in heartbeat.demand}
    if peer.state != heartbeat.state:
        peer.state = heartbeat.state
        assign_backends(tables, now)
    for report in heartbeat.members:
        _receive_member_report(tables, report, now)
    for report in heartbeat.backends:
        backend = tables.backends.get(report.backend_id)
        if backend and report.leaving:
            mark_leaving(tables, backend, heartbeat.name)
    slots.reconcile(tables, heartbeat, now)


def _receive_member_report(
    tables: tables_lib.Tables, report: messages.MemberReport, now: float
) -> None:
    """Updates a third entry from what a peer reports of it."""
    peer_id = report.incarnation
    if peer_id == tables.my_id or peer_id in tables.restarted_peers:
        return
    known_at = now - report.age_ms / 1000
    peer = tables.peers.get(peer_id)
    if peer is None:
        timeout_s = tables.settings.membership.dead_ms / 1000
        if report.zone != tables.zone:
            timeout_s *= _remote_timeout_factor(tables)
        if known_at < now - timeout_s:
            return
        peer = _add_peer(tables, peer_id, report.name, report.zone, known_at)
    if peer and known_at > peer.last_known_at:
        peer.last_known_at = known_at
        peer.config_offset = max(peer.config_offset, report.config_offset)
        peer.caller_address = report.caller_address


def _add_peer(
    tables: tables_lib.Tables, peer_id: str, name: str, zone: str, now: float
) -> tables_lib.Peer | None:
    """Adds a peer, and removes earlier incarnations at its address.

    Returns None without a change if its address has a later incarnation.
    """
    peer = tables_lib.Peer(
        ids.parse_incarnation(peer_id), name, zone, last_known_at=now
    )
    for other in list(tables.peers.values()):
        if other.incarnation.address != peer.incarnation.address:
            continue
        if other.incarnation.nonce > peer.incarnation.nonce:
            return None
        if other.state != "left":
            remove_dead_peer(tables, other, RESTARTED, now)
    tables.peers[peer_id] = peer
    actions.log_event(
        tables, events.Event.PEER_JOINED, peer=peer_id, name=name, zone=zone
    )
    assign_backends(tables, now)
    return peer


def receive_leaving(
    tables: tables_lib.Tables, message: messages.LeavingMessage, now: float
) -> None:
    """Records that a peer shuts down and which peer retains its answers."""
    peer = tables.peers.get(message.sender)
    if peer is None or peer.state == "left":
        return
    peer.state = "left"
    peer.successor = message.successor
    peer.last_known_at = now
    slots.remove_holder(tables, peer.id)
    actions.log_event(
        tables,
        events.Event.PEER_LEAVING,
        peer=peer.id,
        successor=message.successor,
    )
    assign_backends(tables, now)


def remove_dead_peer(
    tables: tables_lib.Tables,
    peer: tables_lib.Peer,
    reason: str,
    now: float,
) -> None:
    """Removes a peer that counts as dead.

    A silent peer may return after a pause or a network partition. A peer whose
    address has a later incarnation never returns, so its messages are
    ignored from then on.
    """
    tables.peers.pop(peer.id, None)
    if reason == RESTARTED:
        tables.restarted_peers[peer.id] = now
    slots.remove_holder(tables, peer.id)
    actions.log_event(
        tables, events.Event.PEER_DEAD, peer=peer.id, reason=reason
    )
    assign_backends(tables, now)


def detect_dead_peers(tables: tables_lib.Tables, now: float) -> None:
    """Removes silent peers as dead; forgets peers that left long ago."""
    dead_s = tables.settings.membership.dead_ms / 1000
    factor_by_locality = {True: 1.0, False: _remote_timeout_factor(tables)}
    for peer in list(tables.peers.values()):
        timeout_s = dead_s * factor_by_locality[peer.zone == tables.zone]
        if peer.state == "left":
            if now - peer.last_known_at > DEAD_RETENTION_S:
                del tables.peers[peer.id]
        elif now - peer.last_known_at > timeout_s:
            remove_dead_peer(tables, peer, "silent", now)
    for peer_id, since in list(tables.restarted_peers.items()):
        if now - since > DEAD_RETENTION_S:
            del tables.restarted_peers[peer_id]


def _remote_timeout_factor(tables: tables_lib.Tables) -> float:
    """Returns the ratio of the timeouts of remote and local peers."""
    settings = tables.settings.membership
    interval_s = max(
        settings.zone_heartbeat_ms / 1000,
        len(live_peers(tables)) / MAX_REMOTE_HEARTBEATS_PER_S,
    )
    return max(1.0, 2000 * interval_s / settings.heartbeat_ms)


def handle_process_pause(
    tables: tables_lib.Tables, gap_s: float, now: float
) -> None:
    """Restarts timeouts after this process was suspended for gap_s.

    The peers get a full timeout to be heard again. No brokered slot is granted
    during a grace period, because what was known before may be out of date.
    """
    grace_s = tables.settings.membership.dead_ms / 1000
    actions.log_event(tables, events.Event.CLOCK_JUMP, seconds=gap_s)
    for peer in tables.peers.values():
        peer.last_known_at = now
    for backend in broker.owned_backends(tables):
        backend.grantable_at = max(backend.grantable_at, now + grace_s)


def send_due_heartbeats(tables: tables_lib.Tables, now: float) -> None:
    """Sends the heartbeats that are due."""
    local_interval_s = tables.settings.membership.heartbeat_ms / 1000
    remote_interval_s = tables.settings.membership.zone_heartbeat_ms / 1000
    is_local_due = now >= tables.next_heartbeat_at
    is_remote_due = now >= tables.next_zone_heartbeat_at
    if not is_local_due and not is_remote_due:
        return
    tables.beat += 1
    if is_local_due:
        tables.next_heartbeat_at = now + _jittered(tables, local_interval_s)
        for peer in live_peers(tables):
            if peer.zone == tables.zone:
                _send_heartbeat(tables, peer, now)
    if is_remote_due:
        targets = _remote_targets(tables)
        remote_interval_s = max(
            remote_interval_s, len(targets) / MAX_REMOTE_HEARTBEATS_PER_S
        )
        tables.next_zone_heartbeat_at = now + _jittered(
            tables, remote_interval_s
        )
        for peer in targets:
            _send_heartbeat(tables, peer, now)


def _jittered(tables: tables_lib.Tables, interval_s: float) -> float:
    return interval_s * (1 + JITTER_RATIO * (2 * tables.random.random() - 1))


def _remote_targets(tables: tables_lib.Tables) -> list[tables_lib.Peer]:
    """Returns the peers of other zones that receive heartbeats.

    These are a few of each zone, and each other peer that has sent a heartbeat
    to this entry. The latter makes the choice symmetric: two entries either
    both choose each other or neither does.
    """
    fanout = tables.settings.membership.zone_fanout
    by_zone: dict[str, list[tables_lib.Peer]] = {}
    for peer in live_peers(tables):
        if peer.zone != tables.zone:
            by_zone.setdefault(peer.zone, []).append(peer)
    result = []
    for peers in by_zone.values():
        peers.sort(
            key=lambda p: _rendezvous_hash(_pair_key(tables.my_id, p.id), "far")
        )
        result.extend(peers[:fanout])
    chosen_ids = {p.id for p in result}
    for peer in live_peers(tables):
        was_heard = peer.heard_at and peer.id not in chosen_ids
        if was_heard and peer.zone != tables.zone:
            result.append(peer)
    return result


def _pair_key(one_id: str, other_id: str) -> str:
    """Returns the same key for two entries on both of them."""
    return "|".join(sorted((one_id, other_id)))


def _send_heartbeat(
    tables: tables_lib.Tables, peer: tables_lib.Peer, now: float
) -> None:
    heartbeat = build_heartbeat(tables, peer, now)
    tables.actions.append(actions.SendMessage(peer.id, heartbeat))
    tables.counters["messages_heartbeat"] += 1


def build_heartbeat(
    tables: tables_lib.Tables, peer: tables_lib.Peer, now: float
) -> messages.Heartbeat:
    """Builds the heartbeat for one receiver."""
    brokered, free = broker.count_slots(tables, now)
    return messages.Heartbeat(
        tables.my_id,
        tables.settings.entry.name,
        tables.zone,
        "draining" if tables.draining else "live",
        tables.beat,
        now,
        tables.configuration.offset,
        tables.successor,
        "{}:{}".format(*tables.settings.entry.caller_address),
        peer.received_grant_seq,
        brokered,
        free,
        tables.work_s,
        sum(c for c in tables.waiting_counts.values() if c > 0),
        _held_reports(tables, peer),
        _member_reports(tables, peer, now),
        _leaving_backends(tables),
        _team_demand(tables, now),
        [g.seq for g in tables.grants.values() if g.broker == peer.id],
        admission.local_due_work(tables, now),
    )


def _held_reports(
    tables: tables_lib.Tables, peer: tables_lib.Peer
) -> list[messages.HeldReport]:
    """Returns this entry's slots that the peer brokers but did not grant."""
    result = []
    for grant in tables.grants.values():
        is_granted_by_peer = grant.broker == peer.id
        if not is_granted_by_peer and _is_broker(
            tables, peer, grant.backend_id
        ):
            result.append(
                messages.HeldReport(grant.broker, grant.seq, grant.backend_id)
            )
    for backend in tables.local_backends:
        local_slots = [
            s for s in backend.held_slots.values() if s.holder == tables.my_id
        ]
        if local_slots and _is_broker(tables, peer, backend.backend_id):
            result.extend(
                messages.HeldReport(tables.my_id, s.seq, backend.backend_id)
                for s in local_slots
            )
    return result


def _is_broker(
    tables: tables_lib.Tables, peer: tables_lib.Peer, backend_id: str
) -> bool:
    """Returns whether a peer brokers a backend server, in this view."""
    backend = tables.backends.get(backend_id)
    if backend is None or backend.zone != peer.zone:
        return False
    return broker_of(tables, backend) == peer.id


def _member_reports(
    tables: tables_lib.Tables, receiver: tables_lib.Peer, now: float
) -> list[messages.MemberReport]:
    """Returns reports of some peers that the receiver may not hear itself.

    All entries of a zone exchange heartbeats. So peers of the local zone get
    reports of peers of other zones, and the other way round. Successive
    heartbeats report different peers in turn.
    """
    is_receiver_local = receiver.zone == tables.zone
    candidates = [
        p
        for p in live_peers(tables)
        if p.id != receiver.id
        and p.heard_at
        and (p.zone == tables.zone) != is_receiver_local
    ]
    if len(candidates) > MEMBERS_PER_HEARTBEAT:
        first = (tables.beat * MEMBERS_PER_HEARTBEAT) % len(candidates)
        candidates = (candidates + candidates)[
            first : first + MEMBERS_PER_HEARTBEAT
        ]
    return [
        messages.MemberReport(
            p.id,
            p.name,
            p.zone,
            p.state,
            p.config_offset,
            int((now - p.last_known_at) * 1000),
            p.caller_address,
        )
        for p in candidates
    ]


def _leaving_backends(
    tables: tables_lib.Tables,
) -> list[messages.BackendReport]:
    """Returns reports of the leaving backend servers that were added last."""
    leaving = [b for b in tables.backends.values() if b.is_leaving]
    return [
        messages.BackendReport(b.backend_id, True)
        for b in leaving[-BACKENDS_PER_HEARTBEAT:]
    ]


def _team_demand(
    tables: tables_lib.Tables, now: float
) -> list[messages.TeamDemand]:
    """Returns the demand of the teams with a quota of starts."""
    result = []
    for team, document in tables.configuration.documents.items():
        if document.quota_starts:
            rate = quotas.demand_rate(tables, team, now)
            if rate >= 0.01:
                result.append(messages.TeamDemand(team, rate))
    return result


def choose_successor(tables: tables_lib.Tables) -> str:
    """Returns the peer that takes over the answers at a graceful shutdown.

    Peers of the local zone are preferred. The result is empty if no live peer
    has sent a heartbeat.
    """
    live = [p for p in tables.peers.values() if p.state == "live"]
    local = [p for p in live if p.zone == tables.zone and p.heard_at]
    candidates = local or [p for p in live if p.heard_at]
    if not candidates:
        return ""
    return rendezvous(tables.my_id, [p.id for p in candidates])
