"""Leases of runs, computed on the clocks of their backend servers.

A backend server kills its runs when their lease expires on its own monotonic
clock. That clock is known only from its responses, and may be slow.
"""

import attrs

from acacialine import zonetables

SLOWEST_CLOCK_RATE = 0.98  # monotonic clocks may run 2% slow on the platform


# Time by which a backend server has certainly killed the runs of an expired
# lease.
KILL_S = 0.2
# Margin for the delay of the order or poll that renews a lease.
RENEWAL_MARGIN_S = 0.08
# Time after which clients of the platform send a job again that got no answer.
RESUBMIT_S = 1.3
# Time after which a run of an earlier owner is stopped unless a dispatcher
# has handed over its job.
ADOPTION_TIMEOUT_S = 0.25
# Longest wait of a poll for the end of a run, as a share of the lease that the
# next poll renews.
MAX_POLL_WAIT_SHARE = 0.4
# Margin for the delay of the poll from which an owner learns of its successor.
FENCING_MARGIN_S = 0.1
NEVER_ATTENDED = -1e9


@attrs.frozen
class LeaseTimes:
    """Times that follow from the length of the leases, in s.

    Attributes:
        length_s: Length of each lease; all owners use the same.
        resubmit_s: Time after which clients send a job again, to any zone.
    """

    length_s: float = 1.0
    resubmit_s: float = RESUBMIT_S

    @property
    def max_lease_s(self) -> float:
        """Time after which a lease has ended, also on the slowest clock."""
        return self.length_s / SLOWEST_CLOCK_RATE + RENEWAL_MARGIN_S

    @property
    def min_lease_s(self) -> float:
        """Time for which a lease lasts for certain after its request."""
        return self.length_s - RENEWAL_MARGIN_S

    @property
    def max_unattended_s(self) -> float:
        """Time for which a run may go on after its job was last attended.

        Its client is back after `resubmit_s`. Where leases are longer than that
        they set the limit.
        """
        return max(self.resubmit_s - RENEWAL_MARGIN_S, self.max_lease_s)

    @property
    def superseded_owner_s(self) -> float:
        """Time after which all runs of an owner with a successor have ended.

        It may be alive and renew leases on backend servers that the successor
        doesn't reach, until its polls of the others show that it is fenced.
        """
        return (
            self.length_s * MAX_POLL_WAIT_SHARE
            + FENCING_MARGIN_S
            + self.max_lease_s
        )

    @property
    def lost_owner_s(self) -> float:
        """Time after which the leases that a lost owner gave have ended.

        Leases that others extend are announced by the placer that extends them.
        A successor of an earlier release may list a run just before its lease
        ends, renew the lease until the adoption timeout and then lose the
        backend server.
        """
        return 2 * self.max_lease_s + ADOPTION_TIMEOUT_S


@attrs.frozen
class Lease:
    """The end of a lease on two clocks.

    Attributes:
        deadline_ms: End in ms on the monotonic clock of the backend server.
        ends_by: Time on the clock of this process by which the lease has
            certainly ended, also on the slowest allowed clock.
    """

    deadline_ms: int
    ends_by: float


def observe_clock(
    server: zonetables.Server, server_clock_ms: int, now: float
) -> None:
    """Records the clock of a backend server when its response arrives."""
    server.server_clock_ms = server_clock_ms
    server.clock_at = now


def new_lease(
    server: zonetables.Server, length_s: float, since: float
) -> Lease:
    """Returns a lease of length_s that counts from `since`."""
    elapsed_s = since - server.clock_at
    ahead_s = elapsed_s + length_s
    return Lease(
        server.server_clock_ms + round(ahead_s * 1000),
        server.clock_at + ahead_s / SLOWEST_CLOCK_RATE,
    )


def record_lease(server: zonetables.Server, lease: Lease | None) -> None:
    """Records that a request with a lease, if any, may reach its server."""
    if lease is not None:
        server.lease_until = max(server.lease_until, lease.ends_by)


def needs_lease(server: zonetables.Server, now: float) -> bool:
    """Returns whether the leases of a server are to be renewed.

    They are while any of its runs has a job, but not before the stops of all
    others are confirmed.
    """
    return attended_until(server, now) > NEVER_ATTENDED and any(
        run.job is not None for run in server.runs.values()
    )


def ends_by(server: zonetables.Server) -> float:
    """Returns when the leases of a server end, with those not sent yet.

    A lease holds for all runs of a server and never shortens, so a run that
    starts there may last until then, whatever its own lease.
    """
    started = (run.not_after for run in server.runs.values())
    return max(server.lease_until, server.unsent_lease_until, *started)


def attended_until(server: zonetables.Server, now: float) -> float:
    """Returns from when a lease that a server gets now is to count.

    A lease holds for all runs of a server, so renewing it for one lets another
    go on whose client may be about to send its job to another zone. It counts
    from when the jobs of all runs were last attended: nobody then has to
    withdraw it in time, not even this process. No lease is to be given beside a
    run without a job before its stop is confirmed: it is not known when its
    client last waited, also if a dispatcher may yet hand its job over.
    """
    until = now
    for run in server.runs.values():
        if run.job is not None:
            until = min(until, run.job.attended_until(now))
        elif run.stop_confirmed_at is None:
            return NEVER_ATTENDED
    return until
