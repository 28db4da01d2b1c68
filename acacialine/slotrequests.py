"""Requests slots from other brokers and uses the grants they send.

Local slots are used first, without a message. For the remaining tasks one
batched slot request goes to each broker of the zone. Brokers of other zones
get requests only when the predicted wait in the local zone exceeds a
threshold or the zone lacks a resource.
"""

import math

from acacialine import actions
from acacialine import admission
from acacialine import attempts
from acacialine import broker
from acacialine import events
from acacialine import membership
from acacialine import messages
from acacialine import queues
from acacialine import tables as tables_lib

COUNT_CHANGE_SHARE = 0.25  # relative change of a count worth a new request
SATURATION_WAIT_S = 0.5  # predicted wait from which a zone is saturated
SPILL_WAIT_RATIO = 0.6  # remote / local wait below which a zone gets work
MIN_RANK_GAIN = 0.5  # slot-seconds; gain in rank worth a new request
MAX_GRANT_REUSES = 4  # tasks that may follow the first one on a grant
REFRESH_INTERVAL_S = 1.0  # between unchanged requests


def send_slot_requests(tables: tables_lib.Tables, now: float) -> None:
    """Sends a slot request to each broker whose last one is outdated."""
    if now < tables.next_request_at:
        return
    interval_s = tables.settings.placement.ask_interval_ms / 1000
    tables.next_request_at = now + interval_s
    wanted = queues.slot_demand(tables)
    if not wanted and not any(p.requested_slots for p in tables.peers.values()):
        return
    brokers = _select_brokers(tables, wanted, now)
    parts_by_broker = _split_by_broker(tables, wanted, brokers, now)
    waiting = sum(want.count for want in wanted)
    for peer in membership.live_peers(tables):
        wanted_parts = parts_by_broker.get(peer.id, [])
        summary = _summarize(wanted_parts)
        if not _is_outdated(peer, summary, now):
            continue
        if now - peer.requested_at < interval_s:
            continue
        _send_slot_request(tables, peer, wanted_parts, summary, waiting, now)


def next_request_time(tables: tables_lib.Tables) -> float:
    """Returns when the next slot request may be sent.

    The result is infinity if no task is waiting.
    """
    if not any(count > 0 for count in tables.waiting_counts.values()):
        return math.inf
    interval_s = tables.settings.placement.ask_interval_ms / 1000
    due = [p.requested_at + interval_s for p in tables.peers.values()]
    return max(min(due, default=math.inf), tables.last_tick_at + interval_s)


def _select_brokers(
    tables: tables_lib.Tables, wanted: list[queues.SlotDemand], now: float
) -> list[tables_lib.Peer]:
    """Returns the brokers to request slots from, local zone first.

    Updates the predicted wait of the local zone, `tables.wait_s`. Below the
    spill threshold, remote brokers get requests only if the local zone lacks
    a resource. From there up to saturation, all of them do. If the local zone
    is saturated, only those of clearly less loaded zones do.
    """
    local_peers = []
    remote_peers = []
    tables.wait_s = 0.0
    for peer in membership.live_peers(tables):
        if peer.load.slots <= 0 or not peer.heard_at:
            continue
        if peer.zone == tables.zone:
            local_peers.append(peer)
        else:
            remote_peers.append(peer)
    tables.wait_s = _predicted_wait_s(tables, local_peers, now)
    if not tables.local_backends:
        return local_peers + remote_peers
    wait_s = tables.wait_s
    spill_s = tables.settings.placement.spill_wait_ms / 1000
    if spill_s <= wait_s < SATURATION_WAIT_S:
        return local_peers + remote_peers
    if wait_s < spill_s:
        return local_peers + _remote_peers_if_zone_lacks_resources(
            tables, wanted, remote_peers
        )
    return local_peers + _peers_in_less_loaded_zones(
        remote_peers, wait_s, tables.mean_run_s
    )


def _peers_in_less_loaded_zones(
    remote_peers: list[tables_lib.Peer], wait_s: float, mean_run_s: float
) -> list[tables_lib.Peer]:
    """Returns the brokers of zones with free slots or a much shorter wait."""
    by_zone: dict[str, list[tables_lib.Peer]] = {}
    for peer in remote_peers:
        by_zone.setdefault(peer.zone, []).append(peer)
    result = []
    for peers in by_zone.values():
        slots = sum(p.load.slots for p in peers)
        waiting = sum(p.load.waiting for p in peers)
        free = sum(p.load.free for p in peers)
        zone_wait_s = max(0, waiting - free) * mean_run_s / max(1, slots)
        if free > 0 or zone_wait_s < SPILL_WAIT_RATIO * wait_s:
            result.extend(peers)
    return result


def _predicted_wait_s(
    tables: tables_lib.Tables,
    local_peers: list[tables_lib.Peer],
    now: float,
) -> float:
    """Returns the time until the local zone can start all waiting tasks."""
    slots, free = broker.count_slots(tables, now)
    slots += sum(p.load.slots for p in local_peers)
    free += sum(p.load.free for p in local_peers)
    waiting = sum(c for c in tables.waiting_counts.values() if c > 0)
    waiting += sum(p.load.waiting for p in local_peers)
    if waiting <= free:
        return 0.0
    if slots <= 0:
        return math.inf
    mean_s = tables.mean_run_s
    return (waiting - free) * mean_s / slots


def _remote_peers_if_zone_lacks_resources(
    tables: tables_lib.Tables,
    wanted: list[queues.SlotDemand],
    remote_peers: list[tables_lib.Peer],
) -> list[tables_lib.Peer]:
    """Returns the remote brokers if a task fits no local backend server."""
    usable_backends = [
        b for b in tables.local_backends if b.is_listed and not b.is_leaving
    ]
    for want in wanted:
        if not any(
            broker.could_run(tables, b, want.group) for b in usable_backends
        ):
            return remote_peers
    return []


def _split_by_broker(
    tables: tables_lib.Tables,
    wanted: list[queues.SlotDemand],
    brokers: list[tables_lib.Peer],
    now: float,
) -> dict[str, list[queues.SlotDemand]]:
    """Splits the waiting tasks over brokers.

    Free slots are filled first, in the order of rank. The remaining tasks
    are split in proportion to the slots of the brokers.
    """
    parts_by_broker: dict[str, list[queues.SlotDemand]] = {}
    if not brokers:
        return parts_by_broker
    local_slots, _ = broker.count_slots(tables, now)
    remaining_free = {p.id: p.load.free for p in brokers}
    # The starting broker rotates with the heartbeat number, so that the
    # entries do not all fill the same broker first.
    first_index = tables.beat % len(brokers)
    brokers = brokers[first_index:] + brokers[:first_index]
    for want in sorted(wanted, key=lambda w: w.rank):
        remaining = want.count
        for peer in brokers:
            count = min(remaining, remaining_free[peer.id])
            if count > 0:
                remaining_free[peer.id] -= count
                remaining -= count
                _add_part(parts_by_broker, peer, want, count)
        if remaining > 0:
            _spread_by_slots(
                parts_by_broker, want, remaining, brokers, local_slots
            )
    return parts_by_broker


def _add_part(
    parts_by_broker: dict[str, list[queues.SlotDemand]],
    peer: tables_lib.Peer,
    want: queues.SlotDemand,
    count: int,
) -> None:
    part = queues.SlotDemand(want.group, count, want.rank)
    parts_by_broker.setdefault(peer.id, []).append(part)


def _spread_by_slots(
    parts_by_broker: dict[str, list[queues.SlotDemand]],
    want: queues.SlotDemand,
    count: int,
    brokers: list[tables_lib.Peer],
    local_slots: int,
) -> None:
    """Adds waiting tasks to brokers in proportion to their slots.

    The parts add up to the count, because every surplus grant would be
    returned. The part of the local broker needs no request and is left out.
    """
    total = max(1, local_slots + sum(p.load.slots for p in brokers))
    parts = [count * p.load.slots // total for p in brokers]
    remaining = count - sum(parts) - count * local_slots // total
    for index in range(remaining):
        parts[index % len(parts)] += 1
    for peer, part in zip(brokers, parts, strict=True):
        if part > 0:
            _add_part(parts_by_broker, peer, want, part)


def _summarize(
    wanted_parts: list[queues.SlotDemand],
) -> dict[tables_lib.Group, tables_lib.RequestedSlots]:
    """Returns the total count and the best rank of each group."""
    result: dict[tables_lib.Group, tables_lib.RequestedSlots] = {}
    for want in wanted_parts:
        requested = result.get(want.group)
        if requested is None:
            result[want.group] = tables_lib.RequestedSlots(
                want.count, want.rank
            )
        else:
            requested.count += want.count
            requested.rank = min(requested.rank, want.rank)
    return result


def _is_outdated(
    peer: tables_lib.Peer,
    summary: dict[tables_lib.Group, tables_lib.RequestedSlots],
    now: float,
) -> bool:
    """Returns whether a broker needs a new request to know the demand."""
    if summary and now - peer.requested_at >= REFRESH_INTERVAL_S:
        return True
    if summary.keys() != peer.requested_slots.keys():
        return True
    for group, new in summary.items():
        old = peer.requested_slots[group]
        if new.rank < old.rank - MIN_RANK_GAIN:
            return True
        if abs(new.count - old.count) > max(1, COUNT_CHANGE_SHARE * old.count):
            return True
    return False


def _send_slot_request(
    tables: tables_lib.Tables,
    peer: tables_lib.Peer,
    wanted_parts: list[queues.SlotDemand],
    summary: dict[tables_lib.Group, tables_lib.RequestedSlots],
    waiting: int,
    now: float,
) -> None:
    # A grant may be used for any job of its team, so the lease lasts until
    # the latest deadline of all jobs.
    latest_deadline = max(
        (job.deadline for job in tables.jobs.values()), default=now
    )
    lease_ms = int(max(0.0, latest_deadline - now) * 1000)
    entries = [
        messages.AskEntry(
            want.group.team,
            want.group.kind,
            want.group.is_long,
            want.count,
            queues.relative_rank(tables, want.rank, now),
            lease_ms,
        )
        for want in wanted_parts
    ]
    peer.requested_slots = summary
    peer.requested_at = now
    _, free = broker.count_slots(tables, now)
    message = messages.AskMessage(
        tables.my_id,
        now,
        peer.received_grant_seq,
        entries,
        free,
        admission.local_due_work(tables, now),
        waiting,
    )
    tables.actions.append(actions.SendMessage(peer.id, message))
    tables.counters["messages_ask"] += 1


def receive_grants(
    tables: tables_lib.Tables, message: messages.GrantMessage, now: float
) -> None:
    """Stores granted slots; the next tick uses or returns them."""
    peer = tables.peers.get(message.sender)
    if peer is None:
        return
    ttl_s = tables.settings.placement.grant_ttl_ms / 1000
    use_until = message.ask_sent_at + message.waited_ms / 1000 + ttl_s
    peer.load.free = message.free
    floor_rank = queues.absolute_rank(tables, message.floor_rank, now)
    for entry in message.entries:
        if entry.seq <= peer.received_grant_seq:
            continue  # sent twice; the first copy may have been used
        peer.received_grant_seq = entry.seq
        group = tables.group(entry.team, entry.kind, entry.is_long)
        requested = peer.requested_slots.get(group)
        if requested and requested.count > 1:
            requested.count -= 1
        else:
            peer.requested_slots.pop(group, None)
        grant = tables_lib.Grant(
            peer.id,
            entry.seq,
            entry.backend_id,
            group,
            use_until,
            peer.zone != tables.zone,
            use_until + entry.lease_ms / 1000 - ttl_s,
            floor_rank,
            MAX_GRANT_REUSES,
            now,
        )
        tables.grants[(peer.id, entry.seq)] = grant
        tables.ready_grants.append(grant)


def use_grants(tables: tables_lib.Tables, now: float, budget: int) -> int:
    """Starts the best waiting task on each granted slot or releases it.

    Returns:
        The unused part of the budget.
    """
    while tables.ready_grants and budget > 0:
        grant = tables.ready_grants.popleft()
        budget -= 1
        if grant.reuses_left < MAX_GRANT_REUSES and not _may_reuse(
            tables, grant
        ):
            # The grant was kept, so its last task succeeded.
            succeeded = tables_lib.ReleaseReason.SUCCEEDED
            attempts.release_grant(
                tables,
                grant,
                succeeded,
                grant.last_run_s,
                grant.last_expected_s,
                now,
            )
            continue
        if now >= grant.use_until or grant.broker not in tables.peers:
            _release_unused(tables, grant, "expired", now)
            continue
        backend = tables.backends.get(grant.backend_id)
        if backend is None or backend.is_leaving:
            _release_unused(tables, grant, "backend server is leaving", now)
            continue
        task = queues.take_task_for_grant(tables, grant.group)
        if task is None:
            _release_unused(tables, grant, "no waiting task", now)
            continue
        attempts.start(tables, task, grant, now)
    return budget


def _may_reuse(tables: tables_lib.Tables, grant: tables_lib.Grant) -> bool:
    """Returns whether a slot whose task has ended may run another task.

    The floor rank is the best rank that was left without a slot when the
    broker sent the grant; a job ranked behind it must not keep the slot.
    Requests that reached the broker later are unknown here, so the number
    of reuses is limited too.
    """
    if tables.wait_s < SATURATION_WAIT_S:
        return False
    job = queues.first_job_for_grant(tables, grant.group)
    if job is None or job.deadline > grant.lease_until:
        return False
    return queues.job_rank(tables, job) <= grant.floor_rank


def _release_unused(
    tables: tables_lib.Tables,
    grant: tables_lib.Grant,
    reason: str,
    now: float,
) -> None:
    tables.counters["grants_returned"] += 1
    actions.log_decision(
        tables,
        events.Event.GRANT_RETURNED,
        broker=grant.broker,
        backend=grant.backend_id,
        reason=reason,
    )
    unused = tables_lib.ReleaseReason.UNUSED
    attempts.release_grant(tables, grant, unused, 0.0, 0.0, now)


def send_releases(tables: tables_lib.Tables, now: float) -> None:
    """Sends the slots released in this tick, one message per broker."""
    if not tables.pending_releases:
        return
    _, free = broker.count_slots(tables, now)
    for peer_id, entries in tables.pending_releases.items():
        message = messages.ReleaseMessage(tables.my_id, entries, free)
        tables.actions.append(actions.SendMessage(peer_id, message))
        tables.counters["messages_release"] += 1
    tables.pending_releases.clear()
