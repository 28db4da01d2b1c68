"""Slots of backend servers that this broker has assigned to coordinators.

A slot becomes free when its holder releases it, when a heartbeat of the
holder shows that it cannot be in use, or when its lease expires.
"""

from acacialine import documents
from acacialine import messages
from acacialine import tables as tables_lib

LEASE_MARGIN_S = 1.0  # for the backend server to stop a task after its lease


def assign(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    holder: str,
    group: tables_lib.Group,
    now: float,
    use_until: float,
    lease_s: float,
) -> tables_lib.HeldSlot:
    """Assigns one slot of a backend server to a coordinator.

    Args:
        tables: The tables of this entry.
        backend: The backend server that has the slot.
        holder: Incarnation of the coordinator.
        group: The group of tasks that the slot is for.
        now: Current time.
        use_until: Time on the holder's clock after which no task may start
            on the slot.
        lease_s: Longest time a task may run on the slot, in s.

    Returns:
        The assigned slot with a new number.
    """
    seq = tables.next_grant_seq
    tables.next_grant_seq += 1
    slot = tables_lib.HeldSlot(
        holder,
        seq,
        backend.backend_id,
        group,
        now,
        use_until,
        now + lease_s + LEASE_MARGIN_S,
        _task_kind(tables, group),
    )
    backend.held_slots[seq] = slot
    tables.held_slots[seq] = slot
    tables.team_usage(group.team).held += 1
    kind = slot.kind
    if kind:
        backend.used_cpus += kind.cpus
        backend.used_memory_mb += kind.memory_mb
        backend.used_accelerators += kind.accelerators
    return slot


def free(
    tables: tables_lib.Tables, backend: tables_lib.Backend, seq: int
) -> tables_lib.HeldSlot | None:
    """Frees a slot and returns it; returns None for an unknown number."""
    slot = backend.held_slots.pop(seq, None)
    if slot is None:
        return None
    tables.held_slots.pop(seq, None)
    tables.team_usage(slot.group.team).held -= 1
    kind = slot.kind
    if kind:
        backend.used_cpus -= kind.cpus
        backend.used_memory_mb -= kind.memory_mb
        backend.used_accelerators -= kind.accelerators
    if not backend.held_slots:
        backend.used_cpus = 0.0
        backend.used_memory_mb = 0.0
        backend.used_accelerators = 0
    return slot


def _task_kind(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> documents.Kind | None:
    document = tables.configuration.documents.get(group.team)
    return document.kinds.get(group.kind) if document else None


def accept_relay(
    tables: tables_lib.Tables, sender: str, seq: int, backend_id: str
) -> tables_lib.Backend | None:
    """Marks a granted slot as used by a relayed start.

    Returns:
        The backend server, or None if the start is refused: the sender does
        not hold the slot, the slot is in use or the server is leaving.
    """
    backend = tables.backends.get(backend_id)
    slot = backend.held_slots.get(seq) if backend else None
    if slot is None or slot.holder != sender or slot.relay_in_progress:
        return None
    if backend.is_leaving:
        return None
    slot.relay_in_progress = True
    return backend


def finish_relay(tables: tables_lib.Tables, seq: int, backend_id: str) -> None:
    """Allows another relayed start on a slot after one has ended."""
    backend = tables.backends.get(backend_id)
    slot = backend.held_slots.get(seq) if backend else None
    if slot is not None:
        slot.relay_in_progress = False


def reconcile(
    tables: tables_lib.Tables, heartbeat: messages.Heartbeat, now: float
) -> None:
    """Frees the slots that a coordinator's heartbeat shows as unused.

    Also records how many slots it holds from other brokers on each backend
    server.
    """
    reported = set(heartbeat.held_seqs)
    counts_by_backend: dict[str, int] = {}
    for report in heartbeat.held:
        count = counts_by_backend.get(report.backend_id, 0)
        counts_by_backend[report.backend_id] = count + 1
    for slot in list(tables.held_slots.values()):
        if slot.holder != heartbeat.sender or slot.seq in reported:
            continue
        # The holder received the grant and no longer has it, or it never
        # received the grant and its clock is past the grant's expiry.
        # Either way no task can start on the slot any more.
        if slot.seq <= heartbeat.last_seq or heartbeat.sent_at > slot.use_until:
            free(tables, tables.backends[slot.backend_id], slot.seq)
    for backend in tables.local_backends:
        if backend.backend_id in counts_by_backend:
            backend.remote_slot_counts[heartbeat.sender] = counts_by_backend[
                backend.backend_id
            ]
        else:
            backend.remote_slot_counts.pop(heartbeat.sender, None)


def remove_holder(tables: tables_lib.Tables, holder: str) -> None:
    """Removes the slot request and remote slot counts of a dead coordinator.

    Its slots stay assigned until their leases expire, because its tasks may
    still be running.
    """
    tables.slot_requests.pop(holder, None)
    for backend in tables.local_backends:
        backend.remote_slot_counts.pop(holder, None)


def expire_leases(tables: tables_lib.Tables, now: float) -> None:
    """Frees slots whose lease has expired without a release."""
    expired = [s for s in tables.held_slots.values() if s.lease_until <= now]
    for slot in expired:
        free(tables, tables.backends[slot.backend_id], slot.seq)
        tables.counters["leases_lapsed"] += 1
