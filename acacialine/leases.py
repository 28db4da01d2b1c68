"""Leases of runs, computed on the clocks of their backend servers.

A backend server kills its runs when their lease expires on its own monotonic
clock. That clock is known only from its responses, and may be slow.
"""

import attrs

from acacialine import zonetables

SLOWEST_CLOCK_RATE = 0.98  # the platform allows monotonic clocks 2% slow


@attrs.frozen
class Lease:
    """The end of a lease on two clocks.

    Attributes:
        deadline_ms: End in ms on the monotonic clock of the backend server.
        until: Time on the clock of this process at which that end has
            certainly passed.
    """

    deadline_ms: int
    until: float


def observe_clock(server: zonetables.Server, clock_ms: int, now: float) -> None:
    """Records the clock of a backend server when its response arrives."""
    server.clock_ms = clock_ms
    server.clock_at = now


def new_lease(server: zonetables.Server, length_s: float, now: float) -> Lease:
    """Returns a lease of length_s that begins now."""
    elapsed_s = now - server.clock_at
    ahead_s = elapsed_s + length_s
    return Lease(
        server.clock_ms + round(ahead_s * 1000),
        server.clock_at + ahead_s / SLOWEST_CLOCK_RATE,
    )
