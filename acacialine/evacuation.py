"""Evacuation of zones: which zones may start no task, and since when.

The operator's records in the store say which zones are evacuated. The offset
up to which they were read is the version of this state. Dispatchers relay it
to each other, so it also reaches those that do not reach the store. This
module does no I/O; all times are in s on the clock of `clock.now`.
"""

import collections.abc
import hashlib
import math

import attrs

REASON = "evacuated"  # of jobs that are answered as not run
# Started jobs may start their other tasks for this long after the evacuation
# was learned; clients wait about 1.6 s for a job.
MAX_CONTINUED_S = 2.0
# From the last start until nothing may start any more: a late order, and a
# relayed age that grew on its way.
START_MARGIN_S = 1.0
# Open jobs of an evacuated zone are announced to the other zones again at this
# interval; an announcement is valid for more than twice as long.
ANNOUNCE_INTERVAL_S = 1.5
MAX_AGE_S = 1e6  # greatest age that is relayed


@attrs.frozen
class Change:
    """A zone whose evacuation has begun or ended.

    Attributes:
        age_s: Longest time since the store may have accepted the record that
            began the evacuation; infinite if not known.
    """

    zone: str
    is_evacuated: bool
    age_s: float


@attrs.frozen
class _Evacuation:
    """The evacuation of one zone.

    Attributes:
        since: Earliest time at which the store may have accepted the record;
            infinitely early if not known.
        learned_at: When this dispatcher learned of it.
    """

    since: float
    learned_at: float


@attrs.define(eq=False)
class Evacuations:
    """The evacuated zones as far as one dispatcher knows.

    Attributes:
        offset: Offset of the operator's records up to which they are known;
            -1 before the first state.
        zones: The evacuated zones.
    """

    offset: int = -1
    zones: frozenset[str] = frozenset()
    _by_zone: dict[str, _Evacuation] = attrs.field(factory=dict)

    def apply(
        self,
        offset: int,
        since_by_zone: collections.abc.Mapping[str, float],
        now: float,
    ) -> list[Change]:
        """Applies a state unless its offset is not higher.

        An evacuation that is known already keeps its times.

        Args:
            offset: Version of the state.
            since_by_zone: All evacuated zones, each with the earliest time at
                which its evacuation may have begun.
            now: The current time.

        Returns:
            The zones whose evacuation has begun or ended.
        """
        if offset <= self.offset:
            return []
        self.offset = offset
        if since_by_zone.keys() == self.zones:
            return []
        changes = [
            Change(zone, False, now - self._by_zone.pop(zone).since)
            for zone in sorted(self.zones - since_by_zone.keys())
        ]
        for zone in sorted(since_by_zone.keys() - self.zones):
            since = since_by_zone[zone]
            self._by_zone[zone] = _Evacuation(since, now)
            changes.append(Change(zone, True, now - since))
        self.zones = frozenset(self._by_zone)
        return changes

    def ages_s(self, now: float) -> dict[str, float]:
        """Returns the evacuated zones, each with its age to relay."""
        return {
            zone: min(max(0.0, now - evacuation.since), MAX_AGE_S)
            for zone, evacuation in self._by_zone.items()
        }

    def last_start_at(self, zone: str, evacuate_s: float) -> float | None:
        """Returns until when jobs of a zone that have started go on starting.

        Args:
            zone: The zone.
            evacuate_s: Time after the record was accepted from which nothing
                may start in the zone.

        Returns:
            None if the zone is not evacuated.
        """
        evacuation = self._by_zone.get(zone)
        if evacuation is None:
            return None
        return min(
            evacuation.learned_at + MAX_CONTINUED_S,
            evacuation.since + evacuate_s - START_MARGIN_S,
        )


@attrs.define(eq=False)
class RecordTracker:
    """Follows the records of evacuated zones as they are read from the store.

    The pages of the newest records are no snapshot: a page may contain records
    from after the offset at which reading goes on. The zones are thus complete
    only once everything up to the end of the last page was read.

    Attributes:
        zones: The evacuated zones up to the offset that was read.
        settled_offset: Offset from which on `zones` is complete.
        current_at: When the last request was sent whose response reached the
            end of the records. What came later was accepted later.
    """

    zones: set[str] = attrs.field(factory=set)
    settled_offset: int = 0
    current_at: float = -math.inf

    def restart(self, settled_offset: int) -> None:
        """Begins with a new list of the newest records."""
        self.zones = set()
        self.settled_offset = settled_offset

    def record(self, zone: str, is_evacuated: bool) -> None:
        """Records one write or removal, in the order of the offsets."""
        if is_evacuated:
            self.zones.add(zone)
        else:
            self.zones.discard(zone)

    def since_by_zone(self, offset: int) -> dict[str, float] | None:
        """Returns the state up to an offset; None if it is not complete."""
        if offset < self.settled_offset:
            return None
        return dict.fromkeys(self.zones, self.current_at)


def choose_zone(
    job_id: str, count: int, free_slots_by_zone: dict[str, int]
) -> str | None:
    """Returns the zone that takes a job of an evacuated zone.

    Among the zones that have room for it the choice depends on the job alone,
    so that a repeated request of it arrives at the same placer, which joins it
    to the first. Without such a zone it is the one with the most free slots,
    whose placer knows whether the job can wait there.

    Args:
        job_id: The job.
        count: Number of its tasks.
        free_slots_by_zone: Free slots of each zone that may take it.
    """
    roomy = [z for z, free in free_slots_by_zone.items() if free >= count]
    if roomy:
        return max(roomy, key=lambda zone: _rank(job_id, zone))
    return max(free_slots_by_zone, key=free_slots_by_zone.get, default=None)


def _rank(job_id: str, zone: str) -> bytes:
    """Returns a value that orders zones differently for each job."""
    return hashlib.blake2b(f"{job_id}/{zone}".encode(), digest_size=8).digest()
