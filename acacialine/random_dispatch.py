"""The baseline policy `random`: blind, every entry for itself."""

from acacialine import attempts
from acacialine import broker
from acacialine import queues
from acacialine import slots
from acacialine import tables as tables_lib


def place(tables: tables_lib.Tables, now: float, budget: int) -> None:
    """Starts waiting tasks on backend servers chosen at random."""
    usable = [b for b in tables.backends.values() if b.listed and not b.leaving]
    limit = broker.connections_per_backend(tables)
    for want in queues.wanted(tables):
        for _ in range(min(want.count, budget)):
            fitting = [
                b
                for b in usable
                if len(b.held) < limit
                and broker.could_run(tables, b, want.group)
            ]
            if not fitting:
                break
            budget -= 1
            backend = tables.random.choice(fitting)
            task = queues.take(tables, want.group)
            grant = _grant(tables, backend, want.group, now)
            attempts.start(tables, task, grant, now)


def _grant(
    tables: tables_lib.Tables,
    backend: tables_lib.Backend,
    group: tables_lib.Group,
    now: float,
) -> tables_lib.Grant:
    forever = float("inf")
    slot = slots.hold(
        tables, backend, tables.my_id, group, now, forever, forever
    )
    return tables_lib.Grant(
        tables.my_id,
        slot.seq,
        backend.backend_id,
        group,
        forever,
        False,
    )
