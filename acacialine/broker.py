"""The slot broker: assigns the slots of the backend servers that it owns.

Every assigned slot is one `HeldSlot`. The local coordinator takes slots
without a message; other coordinators request slots and receive grants.
"""

import math

import attrs

from acacialine import actions
from acacialine import documents
from acacialine import health
from acacialine import messages
from acacialine import queues
from acacialine import slots
from acacialine import tables as tables_lib

MAX_CONNECTIONS_PER_BACKEND = 64  # sum over all entries of the zone


@attrs.define(eq=False)
class _Candidate:
    """Waiting tasks of one coordinator and group that compete for slots.

    Attributes:
        holder: Incarnation of the coordinator that would hold the slots.
        count: Slots still wanted.
        rank: Order among the candidates; lower first.
        lease_s: Longest time a task may run on a slot, in s; used only for
            other coordinators.
        item: The request of another coordinator; None for local work.
    """

    holder: str
    group: tables_lib.Group
    count: int
    rank: float
    lease_s: float
    item: tables_lib.SlotRequestItem | None


def free_slots(
    tables: tables_lib.Tables, backend: tables_lib.Backend, now: float
) -> int:
    """Returns how many slots of a backend server may be assigned now.

    The result is negative while more slots are held than allowed.
    """
    if backend.owned_since is None or now < backend.grantable_at:
        return 0
    used = len(backend.held_slots) + sum(backend.remote_slot_counts.values())
    return health.allowed_slots(backend, now) - used


def owned_backends(tables: tables_lib.Tables) -> list[tables_lib.Backend]:
    """Returns the backend servers whose slots this entry brokers."""
    return tables.owned


def count_slots(tables: tables_lib.Tables, now: float) -> tuple[int, int]:
    """Returns the number of usable brokered slots and how many are free."""
    total = 0
    free = 0
    for backend in owned_backends(tables):
        total += health.allowed_slots(backend, now)
        free += max(0, free_slots(tables, backend, now))
    return total, free


def grantable_slots(tables: tables_lib.Tables, now: float) -> int:
    """Returns how many slots of the owned backend servers may be granted.

    A new owner may grant slots only after a grace period.
    """
    return sum(b.slots for b in owned_backends(tables) if now >= b.grantable_at)


def fits(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    group: tables_lib.Group,
) -> bool:
    """Returns whether a task fits the free resources of a backend server.

    The team must also be allowed to use the zone of the server.
    """
    kind = _kind_if_zone_allowed(tables, backend, group)
    if kind is None:
        return False
    return (
        backend.used_cpus + kind.cpus <= backend.cpus
        and backend.used_memory_mb + kind.memory_mb <= backend.memory_mb
        and backend.used_accelerators + kind.accelerators
        <= backend.accelerators
    )


def could_run(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    group: tables_lib.Group,
) -> bool:
    """Returns whether a task would fit the backend server if it were idle.

    The team must also be allowed to use the zone of the server.
    """
    kind = _kind_if_zone_allowed(tables, backend, group)
    if kind is None:
        return False
    return (
        kind.cpus <= backend.cpus
        and kind.memory_mb <= backend.memory_mb
        and kind.accelerators <= backend.accelerators
    )


def _kind_if_zone_allowed(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    group: tables_lib.Group,
) -> documents.Kind | None:
    """Returns the group's task kind if its team may use the zone."""
    document = tables.configuration.documents.get(group.team)
    if document is None:
        return None
    if document.zones and backend.zone not in document.zones:
        return None
    return document.kinds.get(group.kind)


def max_connections_per_backend(tables: tables_lib.Tables) -> int:
    """Returns how many connections this entry may open to a backend server.

    Each entry of the zone gets an equal part of the 64 connections of a
    backend server. The divisor is the configured maximum of entries, so the
    total stays within 64 even if the entries disagree on who is a member.
    """
    return max(
        1,
        MAX_CONNECTIONS_PER_BACKEND
        // tables.settings.placement.zone_entries_max,
    )


def allocate(tables: tables_lib.Tables, now: float, budget: int) -> list:
    """Assigns free slots to the candidates in the order of the policy.

    Grants for other coordinators are sent to them.

    Args:
        tables: The tables of this entry.
        now: Current time.
        budget: Maximum number of slots to assign in this call.

    Returns:
        Grants for the local coordinator.
    """
    local_grants: list[tables_lib.Grant] = []
    free_by_backend = _free_slots_by_backend(tables, now)
    if not free_by_backend:
        return local_grants
    candidates = _candidates(tables, now)
    grants_by_holder: dict[str, list[messages.GrantEntry]] = {}
    remaining_long_slots = _remaining_long_slots(tables, now)
    while candidates and free_by_backend and budget > 0:
        candidate = min(candidates, key=_sort_key(tables))
        backend = _pick_backend(tables, free_by_backend, candidate.group)
        blocked = candidate.group.is_long and remaining_long_slots <= 0
        if backend is None or blocked or _has_reached_quota(tables, candidate):
            candidates.remove(candidate)
            continue
        budget -= 1
        remaining_long_slots -= candidate.group.is_long
        free_by_backend[backend] -= 1
        if free_by_backend[backend] <= 0:
            del free_by_backend[backend]
        candidate.count -= 1
        if candidate.item is None:
            local_grants.append(_grant_to_self(tables, backend, candidate, now))
        else:
            entry = _grant_to_peer(tables, backend, candidate, now)
            grants_by_holder.setdefault(candidate.holder, []).append(entry)
            candidate.item.count -= 1
        if candidate.count <= 0:
            candidates.remove(candidate)
    if grants_by_holder:
        floor_rank = min((c.rank for c in candidates), default=math.inf)
        _send_grants(tables, grants_by_holder, floor_rank, now)
    return local_grants


def _free_slots_by_backend(
    tables: tables_lib.Tables, now: float
) -> dict[tables_lib.Backend, int]:
    result = {}
    for backend in owned_backends(tables):
        count = free_slots(tables, backend, now)
        if count > 0:
            result[backend] = count
    return result


def _candidates(tables: tables_lib.Tables, now: float) -> list[_Candidate]:
    result = [
        _Candidate(tables.my_id, want.group, want.count, want.rank, 0.0, None)
        for want in queues.slot_demand(tables)
    ]
    for holder, request in tables.slot_requests.items():
        for item in request.items:
            if item.count > 0:
                result.append(
                    _Candidate(
                        holder,
                        item.group,
                        item.count,
                        item.rank,
                        item.lease_s,
                        item,
                    )
                )
    return result


def _sort_key(tables: tables_lib.Tables):
    """Returns the key function that orders candidates; lower goes first.

    The policy `fifo` orders by rank alone. The others favour the team that
    holds the fewest slots relative to its weight.
    """
    if tables.settings.placement.policy == "fifo":
        return lambda candidate: candidate.rank
    weights = {}

    def key(candidate: _Candidate) -> tuple:
        team = candidate.group.team
        if team not in weights:
            document = tables.configuration.documents.get(team)
            weights[team] = document.weight if document else 1.0
        held = tables.team_usage(team).held
        used_share = held / weights[team]
        return used_share, candidate.rank

    return key


def _remaining_long_slots(tables: tables_lib.Tables, now: float) -> int:
    """Returns how many more slots may be assigned to long tasks.

    A task that has run past `long_task_s` counts as long whatever was
    expected of it. Only the policy `default` limits long tasks.
    """
    total = 0
    held_long = 0
    limit_s = tables.settings.placement.long_task_s
    for backend in owned_backends(tables):
        total += backend.slots
        for slot in backend.held_slots.values():
            if slot.group.is_long or now - slot.issued_at > limit_s:
                held_long += 1
    if tables.settings.placement.policy != "default":
        return total
    share = tables.settings.placement.long_slots_share
    return max(1, int(total * share)) - held_long


def _has_reached_quota(
    tables: tables_lib.Tables, candidate: _Candidate
) -> bool:
    """Returns whether the candidate's team has used up its slot quota here.

    The quota is split over the brokers in proportion to their slots; only
    this broker's part is compared.
    """
    document = tables.configuration.documents.get(candidate.group.team)
    if document is None or not document.quota_slots:
        return False
    owned_slots = sum(b.slots for b in owned_backends(tables))
    quota = document.quota_slots * owned_slots / max(1, tables.total_slots)
    held = tables.team_usage(candidate.group.team).held
    return held >= max(1, round(quota))


def _pick_backend(
    tables: tables_lib.Tables,
    free_by_backend: dict[tables_lib.Backend, int],
    group: tables_lib.Group,
) -> tables_lib.Backend | None:
    """Returns the fitting backend server with the best score, or None.

    The score is the number of free slots divided by the slowdown.
    """
    best = None
    best_score = 0.0
    for backend, count in free_by_backend.items():
        score = count / backend.health.slowdown
        if score > best_score and fits(tables, backend, group):
            best = backend
            best_score = score
    return best


def _grant_to_self(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    candidate: _Candidate,
    now: float,
) -> tables_lib.Grant:
    forever = float("inf")
    slot = slots.assign(
        tables, backend, tables.my_id, candidate.group, now, forever, forever
    )
    return tables_lib.Grant(
        tables.my_id,
        slot.seq,
        backend.backend_id,
        candidate.group,
        float("inf"),
        False,
    )


def _grant_to_peer(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    candidate: _Candidate,
    now: float,
) -> messages.GrantEntry:
    request = tables.slot_requests[candidate.holder]
    ttl_s = tables.settings.placement.grant_ttl_ms / 1000
    use_until = request.sent_at + (now - request.received_at) + ttl_s
    slot = slots.assign(
        tables,
        backend,
        candidate.holder,
        candidate.group,
        now,
        use_until,
        ttl_s + candidate.lease_s,
    )
    peer = tables.peers.get(candidate.holder)
    if peer:
        peer.sent_grant_seq = slot.seq
    tables.counters["grants_given"] += 1
    return messages.GrantEntry(
        slot.seq,
        backend.backend_id,
        candidate.group.team,
        candidate.group.kind,
        candidate.group.is_long,
        int(candidate.lease_s * 1000),
    )


def _send_grants(
    tables: tables_lib.Tables,
    grants_by_holder: dict[str, list[messages.GrantEntry]],
    floor_rank: float,
    now: float,
) -> None:
    relative_floor_rank = queues.relative_rank(tables, floor_rank, now)
    _, free = count_slots(tables, now)
    for holder, entries in grants_by_holder.items():
        request = tables.slot_requests[holder]
        waited_ms = int((now - request.received_at) * 1000)
        message = messages.GrantMessage(
            tables.my_id,
            request.sent_at,
            waited_ms,
            free,
            entries,
            relative_floor_rank,
        )
        tables.actions.append(actions.SendMessage(holder, message))
        tables.counters["messages_grant"] += 1


def receive_slot_request(
    tables: tables_lib.Tables, message: messages.AskMessage, now: float
) -> None:
    """Replaces the slot request of a coordinator.

    Grants that the coordinator had not received when it sent the request
    are subtracted, so that crossing messages lead to no surplus grants.
    """
    peer = tables.peers.get(message.sender)
    if peer:
        peer.load.free = message.free
        peer.load.due_work_s = message.due
        peer.load.waiting = message.waiting
    items = []
    in_flight: dict[tables_lib.Group, int] = {}
    for entry in message.entries:
        group = tables.group(entry.team, entry.kind, entry.is_long)
        if group not in in_flight:
            in_flight[group] = _count_grants_after(
                tables, message.sender, group, message.last_seq
            )
        already_granted = min(entry.count, in_flight[group])
        in_flight[group] -= already_granted
        count = entry.count - already_granted
        if count > 0:
            rank = queues.absolute_rank(tables, entry.rank, now)
            items.append(
                tables_lib.SlotRequestItem(
                    group, count, rank, entry.lease_ms / 1000
                )
            )
    if items:
        tables.slot_requests[message.sender] = tables_lib.SlotRequest(
            message.sender, now, message.sent_at, items
        )
    else:
        tables.slot_requests.pop(message.sender, None)


def _count_grants_after(
    tables: tables_lib.Tables, holder: str, group: tables_lib.Group, seq: int
) -> int:
    """Returns how many slots a holder has in a group above number `seq`."""
    peer = tables.peers.get(holder)
    if peer is None or peer.sent_grant_seq <= seq:
        return 0
    return sum(
        slot.seq > seq and slot.holder == holder and slot.group is group
        for slot in tables.held_slots.values()
    )


def receive_release(
    tables: tables_lib.Tables, message: messages.ReleaseMessage, now: float
) -> None:
    """Frees slots that a coordinator releases and updates server health."""
    peer = tables.peers.get(message.sender)
    if peer:
        peer.load.free = message.free
    for entry in message.entries:
        slot = tables.held_slots.get(entry.seq)
        if slot is None or slot.holder != message.sender:
            continue
        backend = tables.backends[slot.backend_id]
        slots.free(tables, backend, entry.seq)
        reason = tables_lib.ReleaseReason(entry.reason)
        if reason == tables_lib.ReleaseReason.UNUSED:
            tables.counters["grants_unused"] += 1
        run_s = entry.run_ms / 1000
        expected_s = entry.expected_ms / 1000
        health.record_outcome(tables, backend, reason, run_s, expected_s, now)
