"""Leases of runs, reckoned on the clocks of their backend servers.

A backend server kills what it runs when its lease passes on its own steady
clock. That clock is known only from its answers, and may run slow.
"""

import attrs

from acacialine import zonetables

SLOWEST_CLOCK = 0.98  # the platform allows a steady clock 2% behind


@attrs.frozen
class Lease:
    """A time on a backend server's clock and its latest local time.

    Attributes:
        deadline_ms: On the steady clock of the backend server.
        until: When it has passed for certain, on the clock of this process.
    """

    deadline_ms: int
    until: float


def observe_clock(server: zonetables.Server, clock_ms: int, now: float) -> None:
    """Notes the clock of a backend server at the receipt of its answer."""
    server.clock_ms = clock_ms
    server.clock_at = now


def new_lease(server: zonetables.Server, length_s: float, now: float) -> Lease:
    """Returns a lease that begins now."""
    elapsed_s = now - server.clock_at
    ahead_s = elapsed_s + length_s
    return Lease(
        server.clock_ms + round(ahead_s * 1000),
        server.clock_at + ahead_s / SLOWEST_CLOCK,
    )
