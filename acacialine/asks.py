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
SATURATED_S = 0.5  # predicted wait of the own zone that will not pass soon
SPILL_GAIN = 0.6  # part of the own wait from which another zone is better
RANK_GAIN = 0.5  # slot-seconds by which a better rank is worth a message
REUSES = 4  # tasks that may follow the first one on a grant
REFRESH_S = 1.0  # an unchanged ask is repeated after this time


def plan(tables: tables_lib.Tables, now: float) -> None:
    """Sends asks to the brokers whose picture of our demand is outdated."""
    if now < tables.plan_at:
        return
    interval_s = tables.settings.placement.ask_interval_ms / 1000
    tables.plan_at = now + interval_s
    wanted = queues.wanted(tables)
    if not wanted and not any(p.asked for p in tables.peers.values()):
        return
    targets = _targets(tables, wanted, now)
    shares = _split(tables, wanted, targets, now)
    waiting = sum(want.count for want in wanted)
    for peer in membership.live_peers(tables):
        desired = shares.get(peer.id, [])
        summary = _summary(desired)
        if not _outdated(peer, summary, now):
            continue
        if now - peer.asked_at < interval_s:
            continue
        _send_ask(tables, peer, desired, summary, waiting, now)


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
    tables.wait_s = 0.0
    for peer in membership.live_peers(tables):
        if peer.load.slots <= 0 or not peer.heard_at:
            continue
        if peer.zone == tables.zone:
            own_zone.append(peer)
        else:
            others.append(peer)
    tables.wait_s = _predicted_wait_s(tables, own_zone, now)
    if not tables.zone_backends:
        return own_zone + others
    wait_s = tables.wait_s
    spill_s = tables.settings.placement.spill_wait_ms / 1000
    if spill_s <= wait_s < SATURATED_S:
        return own_zone + others
    if wait_s < spill_s:
        return own_zone + _needed_elsewhere(tables, wanted, others)
    return own_zone + _less_loaded(others, wait_s, tables.mean_run_s)


def _less_loaded(
    others: list[tables_lib.Peer], wait_s: float, mean_run_s: float
) -> list[tables_lib.Peer]:
    """Returns brokers of the zones that are clearly better off."""
    by_zone: dict[str, list[tables_lib.Peer]] = {}
    for peer in others:
        by_zone.setdefault(peer.zone, []).append(peer)
    result = []
    for peers in by_zone.values():
        slots = sum(p.load.slots for p in peers)
        waiting = sum(p.load.waiting for p in peers)
        free = sum(p.load.free for p in peers)
        their_s = max(0, waiting - free) * mean_run_s / max(1, slots)
        if free > 0 or their_s < SPILL_GAIN * wait_s:
            result.extend(peers)
    return result


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
    mine = [b for b in tables.zone_backends if b.listed and not b.leaving]
    for want in wanted:
        if not any(broker.could_run(tables, b, want.group) for b in mine):
            return others
    return []


def _split(
    tables: tables_lib.Tables,
    wanted: list[queues.Wanted],
    targets: list[tables_lib.Peer],
    now: float,
) -> dict[str, list[queues.Wanted]]:
    """Splits the waiting tasks over brokers: free slots first, then size."""
    result: dict[str, list[queues.Wanted]] = {}
    if not targets:
        return result
    own_slots, _ = broker.capacity(tables, now)
    free_left = {p.id: p.load.free for p in targets}
    # Every entry begins with another broker, and with a new one at times.
    first = tables.beat % len(targets)
    targets = targets[first:] + targets[:first]
    for want in sorted(wanted, key=lambda w: w.rank):
        left = want.count
        for peer in targets:
            count = min(left, free_left[peer.id])
            if count > 0:
                free_left[peer.id] -= count
                left -= count
                _add(result, peer, want, count)
        if left > 0:
            _spread(result, want, left, targets, own_slots)
    return result


def _add(
    result: dict[str, list[queues.Wanted]],
    peer: tables_lib.Peer,
    want: queues.Wanted,
    count: int,
) -> None:
    part = queues.Wanted(want.group, count, want.rank)
    result.setdefault(peer.id, []).append(part)


def _spread(
    result: dict[str, list[queues.Wanted]],
    want: queues.Wanted,
    count: int,
    targets: list[tables_lib.Peer],
    own_slots: int,
) -> None:
    """Adds waiting tasks to brokers in proportion to their slots.

    The parts add up to the count: each surplus grant would be returned. The
    own broker's part is not asked for.
    """
    total = max(1, own_slots + sum(p.load.slots for p in targets))
    parts = [count * p.load.slots // total for p in targets]
    left = count - sum(parts) - count * own_slots // total
    for index in range(left):
        parts[index % len(parts)] += 1
    for peer, part in zip(targets, parts, strict=True):
        if part > 0:
            _add(result, peer, want, part)


def _summary(
    desired: list[queues.Wanted],
) -> dict[tables_lib.Group, tables_lib.Asked]:
    """Returns the count and the best rank for each group."""
    result: dict[tables_lib.Group, tables_lib.Asked] = {}
    for want in desired:
        asked = result.get(want.group)
        if asked is None:
            result[want.group] = tables_lib.Asked(want.count, want.rank)
        else:
            asked.count += want.count
            asked.rank = min(asked.rank, want.rank)
    return result


def _outdated(
    peer: tables_lib.Peer,
    desired: dict[tables_lib.Group, tables_lib.Asked],
    now: float,
) -> bool:
    if desired and now - peer.asked_at >= REFRESH_S:
        return True
    if desired.keys() != peer.asked.keys():
        return True
    for group, new in desired.items():
        old = peer.asked[group]
        if new.rank < old.rank - RANK_GAIN:
            return True
        if abs(new.count - old.count) > max(1, CHANGE_SHARE * old.count):
            return True
    return False


def _send_ask(
    tables: tables_lib.Tables,
    peer: tables_lib.Peer,
    desired: list[queues.Wanted],
    summary: dict[tables_lib.Group, tables_lib.Asked],
    waiting: int,
    now: float,
) -> None:
    # A grant may serve any job of the team, so its lease covers them all.
    last = max((job.deadline for job in tables.jobs.values()), default=now)
    lease_ms = int(max(0.0, last - now) * 1000)
    entries = [
        messages.AskEntry(
            want.group.team,
            want.group.kind,
            want.group.is_long,
            want.count,
            queues.relative_rank(tables, want.rank, now),
            lease_ms,
        )
        for want in desired
    ]
    peer.asked = summary
    peer.asked_at = now
    _, free = broker.capacity(tables, now)
    message = messages.AskMessage(
        tables.my_id,
        now,
        peer.last_seq,
        entries,
        free,
        admission.due_work(tables, now),
        waiting,
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
    floor = queues.absolute_rank(tables, message.floor_rank, now)
    for entry in message.entries:
        peer.last_seq = max(peer.last_seq, entry.seq)
        group = tables.group(entry.team, entry.kind, entry.is_long)
        asked = peer.asked.get(group)
        if asked and asked.count > 1:
            asked.count -= 1
        else:
            peer.asked.pop(group, None)
        grant = tables_lib.Grant(
            peer.id,
            entry.seq,
            entry.backend_id,
            group,
            use_until,
            peer.zone != tables.zone,
            use_until + entry.lease_ms / 1000 - ttl_s,
            floor,
            REUSES,
            now,
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
        if grant.reuses < REUSES and not _may_reuse(tables, grant):
            # The run of its last task was reported as a success.
            done = tables_lib.ReleaseReason.SUCCEEDED
            attempts.give_back(
                tables, grant, done, grant.run_s, grant.expected_s, now
            )
            continue
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


def _may_reuse(tables: tables_lib.Tables, grant: tables_lib.Grant) -> bool:
    """Returns whether a slot that has become free serves the next task.

    The broker knows of better work only by the floor it sent, so a slot
    goes back after a few tasks, or when the next one would come behind.
    """
    if tables.wait_s < SATURATED_S:
        return False
    job = queues.best_for(tables, grant.group)
    if job is None or job.deadline > grant.lease_until:
        return False
    return queues.rank_of(tables, job) <= grant.floor_rank


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
