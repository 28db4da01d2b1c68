"""When clients of refused jobs come back, and in which order they are served.

Load: a burst of some seconds that is refused in part. Told the same time, the
refused clients come back together and are refused again; served as newcomers,
one may be refused again and again.
"""

import math

import attrs

from acacialine import zonetables

SLOT_S = 1.0  # the Retry-After header has whole seconds
SLOTS = 10  # as long as the longest Retry-After
# Share of the room that is offered to returning jobs in any case, as a burst
# may end before the forecast shows it.
MIN_OFFERED_SHARE = 0.1
EARLY_S = 0.1  # a client's clock and its connection may be that early
LATE_S = 2.0  # a client that comes later than this is a newcomer
MAX_REFUSED = 4096  # remembered jobs; about 0.5 MB


@attrs.frozen
class Refusal:
    """A refused job whose client is expected back.

    Attributes:
        first_arrived_at: When its client first sent it.
        return_at: When its client was told to come back.
    """

    first_arrived_at: float
    return_at: float


@attrs.define(eq=False)
class Returns:
    """Refused jobs of one zone; used by its placer.

    Attributes:
        refusals: Jobs that were refused a short time ago, by id.
    """

    refusals: dict[str, Refusal] = attrs.field(factory=dict)
    # Work in core-seconds that was told to return, by number of the slot.
    _booked: dict[int, float] = attrs.field(factory=dict)

    def book(
        self,
        job: zonetables.Job,
        room_cores: float,
        demand_cores: float,
        shortest_s: float,
        now: float,
    ) -> float:
        """Returns the time in whole s after which a client is to return.

        It is the first slot whose free room the returning work doesn't exceed,
        or the least booked one.

        Args:
            job: The refused job.
            room_cores: Work that the servers can do, in core-seconds a second.
            demand_cores: Recent demand, in the same unit.
            shortest_s: Shortest time to tell.
            now: The current time.
        """
        step = job.step
        work = step.count * step.demand.cpu * job.estimate_s / 1000
        free = max(room_cores - demand_cores, room_cores * MIN_OFFERED_SHARE)
        current = int(now / SLOT_S)
        self._booked = {
            slot: booked
            for slot, booked in self._booked.items()
            if slot >= current
        }
        first = max(1, math.ceil(shortest_s / SLOT_S))
        slots = range(min(first, SLOTS), SLOTS + 1)
        chosen = min(slots, key=lambda s: self._booked.get(current + s, 0.0))
        for slot in slots:
            if self._booked.get(current + slot, 0.0) + work <= free * SLOT_S:
                chosen = slot
                break
        number = current + chosen
        self._booked[number] = self._booked.get(number, 0.0) + work
        retry_after_s = chosen * SLOT_S
        known = self.refusals.pop(job.id, None)
        first_arrived_at = job.arrived_at
        if known is not None:
            first_arrived_at = min(first_arrived_at, known.first_arrived_at)
        self.refusals[job.id] = Refusal(first_arrived_at, now + retry_after_s)
        if len(self.refusals) > MAX_REFUSED:
            del self.refusals[next(iter(self.refusals))]
        return retry_after_s

    def take(self, job_id: str, now: float) -> float | None:
        """Returns when a job first arrived whose client comes when told.

        Returns None for a job that was not refused, and for one whose client
        comes too early or too late.
        """
        refusal = self.refusals.get(job_id)
        if refusal is None:
            return None
        if not -EARLY_S <= now - refusal.return_at <= LATE_S:
            return None
        return refusal.first_arrived_at

    def drop_expired(self, now: float) -> None:
        """Removes the jobs whose clients have not come in time.

        Times of return are not in the order of the table.
        """
        expired = [
            job_id
            for job_id, refusal in self.refusals.items()
            if now - refusal.return_at > LATE_S
        ]
        for job_id in expired:
            del self.refusals[job_id]
