"""Slots of backend servers that this entry has given to holders.

A slot is free when its holder gives it back, when the holder's own report
shows that it cannot be in use, or when its lease has passed.
"""

from acacialine import documents
from acacialine import messages
from acacialine import tables as tables_lib

LEASE_MARGIN_S = 1.0  # time after a lease in which a stop may take effect


def hold(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    holder: str,
    group: tables_lib.Group,
    now: float,
    use_until: float,
    lease_s: float,
) -> tables_lib.HeldSlot:
    """Gives one slot of a backend server to a holder.

    Args:
        tables: The tables of this entry.
        backend: Where the slot is.
        holder: Incarnation of the coordinator.
        group: The work it is for.
        now: Current time.
        use_until: Time by the holder's clock after which it is not used.
        lease_s: Longest time a task may run on it, in s.
    """
    seq = tables.next_seq
    tables.next_seq += 1
    slot = tables_lib.HeldSlot(
        holder,
        seq,
        backend.backend_id,
        group,
        now,
        use_until,
        now + lease_s + LEASE_MARGIN_S,
        _kind_of(tables, group),
    )
    backend.held[seq] = slot
    tables.held[seq] = slot
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
    """Takes back a slot; unknown numbers are ignored."""
    slot = backend.held.pop(seq, None)
    if slot is None:
        return None
    tables.held.pop(seq, None)
    tables.team_usage(slot.group.team).held -= 1
    kind = slot.kind
    if kind:
        backend.used_cpus -= kind.cpus
        backend.used_memory_mb -= kind.memory_mb
        backend.used_accelerators -= kind.accelerators
    if not backend.held:
        backend.used_cpus = 0.0
        backend.used_memory_mb = 0.0
        backend.used_accelerators = 0
    return slot


def _kind_of(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> documents.Kind | None:
    document = tables.fold.documents.get(group.team)
    return document.kinds.get(group.kind) if document else None


def accept_relay(
    tables: tables_lib.Tables, sender: str, seq: int, backend_id: str
) -> tables_lib.Backend | None:
    """Accepts a relayed start under a grant, once.

    Returns:
        The backend server, or None if the start is refused.
    """
    backend = tables.backends.get(backend_id)
    slot = backend.held.get(seq) if backend else None
    if slot is None or slot.holder != sender or slot.used:
        return None
    if backend.leaving:
        return None
    slot.used = True
    return backend


def finish_relay(tables: tables_lib.Tables, seq: int, backend_id: str) -> None:
    """Lets the holder use the slot for another relayed start."""
    backend = tables.backends.get(backend_id)
    slot = backend.held.get(seq) if backend else None
    if slot is not None:
        slot.used = False


def reconcile(
    tables: tables_lib.Tables, beat: messages.Heartbeat, now: float
) -> None:
    """Compares the holder's own report with the slots given to it."""
    reported = set(beat.held_seqs)
    foreign: dict[str, int] = {}
    for report in beat.held:
        count = foreign.get(report.backend_id, 0)
        foreign[report.backend_id] = count + 1
    for slot in list(tables.held.values()):
        if slot.holder != beat.sender or slot.seq in reported:
            continue
        # Never received and past its use by the holder's own clock, or
        # received and no longer held: it cannot be used any more.
        if slot.seq <= beat.last_seq or beat.sent_at > slot.use_until:
            free(tables, tables.backends[slot.backend_id], slot.seq)
    for backend in tables.zone_backends:
        if backend.backend_id in foreign:
            backend.foreign[beat.sender] = foreign[backend.backend_id]
        else:
            backend.foreign.pop(beat.sender, None)


def holder_gone(tables: tables_lib.Tables, holder: str) -> None:
    """Forgets the ask of a dead holder; its slots stay until the lease."""
    tables.asks.pop(holder, None)
    for backend in tables.zone_backends:
        backend.foreign.pop(holder, None)


def run_leases(tables: tables_lib.Tables, now: float) -> None:
    """Frees slots whose lease has passed with nobody to report it."""
    late = [s for s in tables.held.values() if s.lease_until <= now]
    for slot in late:
        free(tables, tables.backends[slot.backend_id], slot.seq)
        tables.counters["leases_lapsed"] += 1
