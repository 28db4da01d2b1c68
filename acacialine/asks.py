"""Asks of this coordinator for slots of other brokers, and their grants.

The own slots go first, without a message. What is still waiting is asked of
the brokers of the zone, one batched ask per broker; other zones are asked
only when the predicted wait in the own zone passes a threshold.
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

CHANGE_SHARE = 0.25  # change of an ask that is worth a message
REFRESH_S = 1.0  # an unchanged ask is repeated after this time


def plan(tables: tables_lib.Tables, now: float) -> None:
    """Sends asks to the brokers whose picture of our demand is outdated."""
    wanted = queues.wanted(tables)
    if not wanted and not any(p.asked for p in tables.peers.values()):
        return
    interval_s = tables.settings.placement.ask_interval_ms / 1000
    targets = _targets(tables, wanted, now)
    shares = _split(tables, wanted, targets, now)
    for peer in membership.live_peers(tables):
        desired = shares.get(peer.id, {})
        if not _outdated(peer, desired, now):
            continue
        if now - peer.asked_at < interval_s:
            continue
        _send_ask(tables, peer, desired, wanted, now)


def next_due(tables: tables_lib.Tables) -> float:
    """Returns when a held-back ask may go out; infinity if none waits."""
    if not any(count > 0 for count in tables.waiting.values()):
        return math.inf
    interval_s = tables.settings.placement.ask_interval_ms / 1000
    due = [p.asked_at + interval_s for p in tables.peers.values()]
    return max(min(due, default=math.inf), tables.last_tick_at + interval_s)


def _targets(
    tables: tables_lib.Tables, wanted: list[queues.Wanted], now: float
) -> list[tables_lib.Peer]:
    """Returns the brokers to ask, those of the own zone first."""
    own_zone = []
    others = []
    for peer in membership.live_peers(tables):
        if peer.load.slots <= 0 or not peer.heard_at:
            continue
        if peer.zone == tables.zone:
            own_zone.append(peer)
        else:
            others.append(peer)
    if not others:
        return own_zone
    spill_s = tables.settings.placement.spill_wait_ms / 1000
    if _predicted_wait_s(tables, own_zone, now) >= spill_s:
        return own_zone + others
    served = {b.zone for b in tables.backends.values()}
    if tables.zone not in served:
        return own_zone + others
    return own_zone + _needed_elsewhere(tables, wanted, others)


def _predicted_wait_s(
    tables: tables_lib.Tables,
    own_zone: list[tables_lib.Peer],
    now: float,
) -> float:
    """Returns the time until the own zone can start all waiting work."""
    slots, free = broker.capacity(tables, now)
    slots += sum(p.load.slots for p in own_zone)
    free += sum(p.load.free for p in own_zone)
    waiting = sum(c for c in tables.waiting.values() if c > 0)
    waiting += sum(p.load.waiting for p in own_zone)
    if waiting <= free:
        return 0.0
    if slots <= 0:
        return math.inf
    mean_s = tables.mean_run_s
    return (waiting - free) * mean_s / slots


def _needed_elsewhere(
    tables: tables_lib.Tables,
    wanted: list[queues.Wanted],
    others: list[tables_lib.Peer],
) -> list[tables_lib.Peer]:
    """Returns brokers of other zones if the own zone lacks a resource."""
    mine = [
        b
        for b in tables.backends.values()
        if b.zone == tables.zone and b.listed and not b.leaving
    ]
    for want in wanted:
        if not any(broker.could_run(tables, b, want.group) for b in mine):
            return others
    return []


def _split(
    tables: tables_lib.Tables,
    wanted: list[queues.Wanted],
    targets: list[tables_lib.Peer],
    now: float,
) -> dict[str, dict[tables_lib.Group, int]]:
    """Splits the waiting tasks over brokers: free slots first, then size."""
    result: dict[str, dict[tables_lib.Group, int]] = {}
    if not targets:
        return result
    own_slots, _ = broker.capacity(tables, now)
    free_left = {p.id: p.load.free for p in targets}
    for want in sorted(wanted, key=lambda w: w.rank):
        left = want.count
        for peer in targets:
            count = min(left, free_left[peer.id])
            if count > 0:
                free_left[peer.id] -= count
                left -= count
                result.setdefault(peer.id, {})[want.group] = count
        if left > 0:
            _spread(result, want.group, left, targets, own_slots)
    return result


def _spread(
    result: dict[str, dict[tables_lib.Group, int]],
    group: tables_lib.Group,
    count: int,
    targets: list[tables_lib.Peer],
    own_slots: int,
) -> None:
    """Adds waiting tasks to brokers in proportion to their slots."""
    total = own_slots + sum(p.load.slots for p in targets)
    for peer in targets:
        part = math.ceil(count * peer.load.slots / max(1, total))
        asked = result.setdefault(peer.id, {})
        asked[group] = asked.get(group, 0) + part


def _outdated(
    peer: tables_lib.Peer, desired: dict[tables_lib.Group, int], now: float
) -> bool:
    if desired and now - peer.asked_at >= REFRESH_S:
        return True
    for group in desired.keys() | peer.asked.keys():
        new = desired.get(group, 0)
        old = peer.asked.get(group, 0)
        if new == old:
            continue
        if min(new, old) <= 0:
            return True
        if abs(new - old) > max(1, CHANGE_SHARE * old):
            return True
    return False


def _send_ask(
    tables: tables_lib.Tables,
    peer: tables_lib.Peer,
    desired: dict[tables_lib.Group, int],
    wanted: list[queues.Wanted],
    now: float,
) -> None:
    ranks = {want.group: want.rank for want in wanted}
    entries = []
    for group, count in desired.items():
        job = queues.best(tables, group)
        if count <= 0 or job is None:
            continue
        rank = queues.relative_rank(tables, ranks[group], now)
        lease_s = max(0.0, job.deadline - now)
        entries.append(
            messages.AskEntry(
                group.team,
                group.kind,
                group.is_long,
                count,
                rank,
                int(lease_s * 1000),
            )
        )
    peer.asked = {g: c for g, c in desired.items() if c > 0}
    peer.asked_at = now
    _, free = broker.capacity(tables, now)
    message = messages.AskMessage(
        tables.my_id,
        now,
        peer.last_seq,
        entries,
        free,
        admission.due_work(tables, now),
    )
    tables.actions.append(actions.Send(peer.id, message))
    tables.counters["messages_ask"] += 1


def receive_grants(
    tables: tables_lib.Tables, message: messages.GrantMessage, now: float
) -> None:
    """Takes in granted slots; the next tick uses or returns them."""
    peer = tables.peers.get(message.sender)
    if peer is None:
        return
    ttl_s = tables.settings.placement.grant_ttl_ms / 1000
    use_until = message.ask_sent_at + message.waited_ms / 1000 + ttl_s
    peer.load.free = message.free
    for entry in message.entries:
        peer.last_seq = max(peer.last_seq, entry.seq)
        group = tables.group(entry.team, entry.kind, entry.is_long)
        if peer.asked.get(group, 0) > 1:
            peer.asked[group] -= 1
        else:
            peer.asked.pop(group, None)
        grant = tables_lib.Grant(
            peer.id,
            entry.seq,
            entry.backend_id,
            group,
            use_until,
            entry.lease_ms / 1000,
            peer.zone != tables.zone,
        )
        tables.grants[(peer.id, entry.seq)] = grant
        tables.ready.append(grant)


def use_grants(tables: tables_lib.Tables, now: float, budget: int) -> int:
    """Starts the best waiting task on each granted slot.

    Returns:
        What is left of the budget.
    """
    while tables.ready and budget > 0:
        grant = tables.ready.popleft()
        budget -= 1
        if now >= grant.use_until or grant.broker not in tables.peers:
            _return_unused(tables, grant, "expired", now)
            continue
        backend = tables.backends.get(grant.backend_id)
        if backend is None or backend.leaving:
            _return_unused(tables, grant, "backend is leaving", now)
            continue
        task = queues.take_best(tables, grant.group)
        if task is None:
            _return_unused(tables, grant, "no task waits", now)
            continue
        attempts.start(tables, task, grant, now)
    return budget


def _return_unused(
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
    attempts.give_back(tables, grant, unused, 0.0, 0.0, now)


def send_releases(tables: tables_lib.Tables, now: float) -> None:
    """Sends the slots given back in this tick, one message per broker."""
    if not tables.releases:
        return
    _, free = broker.capacity(tables, now)
    for peer_id, entries in tables.releases.items():
        message = messages.ReleaseMessage(tables.my_id, entries, free)
        tables.actions.append(actions.Send(peer_id, message))
        tables.counters["messages_release"] += 1
    tables.releases.clear()
