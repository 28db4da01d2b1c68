"""Placement policy `random`, a baseline without coordination of entries."""

from acacialine import attempts
from acacialine import broker
from acacialine import queues
from acacialine import slots
from acacialine import tables as tables_lib


def place(tables: tables_lib.Tables, now: float, max_starts: int) -> None:
    """Starts waiting tasks on backend servers chosen at random.

    The load of a backend server and its other coordinators are ignored; only
    this entry's connections to it are limited.

    Args:
        tables: The tables of this entry.
        now: Current time.
        max_starts: Most tasks to start in this call.
    """
    available_backends = [
        b for b in tables.backends.values() if b.is_listed and not b.is_leaving
    ]
    connection_limit = broker.max_connections_per_backend(tables)
    for demand in queues.slot_demand(tables):
        for _ in range(min(demand.count, max_starts)):
            eligible_backends = [
                b
                for b in available_backends
                if len(b.held_slots) < connection_limit
                and broker.could_run(tables, b, demand.group)
            ]
            if not eligible_backends:
                break
            max_starts -= 1
            backend = tables.random.choice(eligible_backends)
            task = queues.take_task(tables, demand.group)
            grant = _grant_slot(tables, backend, demand.group, now)
            attempts.start(tables, task, grant, now)


def _grant_slot(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    group: tables_lib.Group,
    now: float,
) -> tables_lib.Grant:
    no_limit = float("inf")
    slot = slots.assign(
        tables, backend, tables.my_id, group, now, no_limit, no_limit
    )
    return tables_lib.Grant(
        tables.my_id,
        slot.seq,
        backend.backend_id,
        group,
        no_limit,
        False,
    )
