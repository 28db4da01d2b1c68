"""Whether a zone accepts a job: functions over the tables of its placer."""

import attrs

from acacialine import schedule
from acacialine import zonetables

# Accepted lateness with as many tasks waiting as there are places: less than
# none, since more urgent jobs will still come and go first.
FULL_LATE_SHARE = -0.25
RETRY_AFTER_MIN_S = 1.0  # Retry-After has whole seconds
RETRY_AFTER_MAX_S = 10.0


@attrs.define(eq=False)
class Admission:
    """Accepts or refuses jobs of one zone.

    Attributes:
        late_share: Share of its objective by which a job may be predicted
            late and still be accepted, while nothing waits.
        usual_places: Places of the zone for tasks of the usual size.
        free_elsewhere: Most free places that another zone reports.
    """

    tables: zonetables.ZoneTables
    late_share: float
    free_elsewhere: int = 0
    usual_places: int = 1

    def decide(
        self, job: zonetables.Job, is_spilled: bool, now: float
    ) -> "Decision":
        """Returns whether a job is refused, why, and what was expected."""
        step = job.step
        fitting = [
            s
            for s in self.tables.servers.values()
            if s.present
            and s.service == job.queue.service
            and step.demand.fits(s.capacity)
            and (not step.label or step.label in s.labels)
        ]
        outlook = schedule.new_outlook(self.tables, job, now)
        if not fitting:
            return Decision("unservable", outlook)
        if not all(s.listed for s in fitting):
            # Right after a takeover; room is not known yet.
            return Decision("", outlook)
        if job.deadline_at - now < job.estimate_s:
            return Decision("deadline", outlook)
        self.usual_places = outlook.places
        reason = self._reason_to_refuse(job, outlook, is_spilled)
        return Decision(reason, outlook)

    def _reason_to_refuse(
        self,
        job: zonetables.Job,
        outlook: schedule.Outlook,
        is_spilled: bool,
    ) -> str:
        if outlook.end is None:
            # No server answers at present; another zone may have some.
            return "" if is_spilled else "unservable"
        latest = self.latest_end(job, self.fullness())
        if outlook.end <= min(latest, job.deadline_at):
            return ""
        if not is_spilled and self.free_elsewhere >= job.step.count:
            return "overloaded"  # its entry then asks the other zone
        has_place = outlook.free_places > self.waiting_tasks()
        return "" if has_place else "overloaded"

    def waiting_tasks(self) -> int:
        """Returns how many tasks wait for a place."""
        return sum(len(j.waiting) for j in self.tables.jobs.values())

    def fullness(self) -> float:
        """Returns waiting tasks as a share of all places, 0 to 1."""
        return min(1.0, self.waiting_tasks() / max(1, self.usual_places))

    def latest_end(self, job: zonetables.Job, fullness: float) -> float:
        """Returns until when an end is still worth the room it takes.

        The fuller the queue, the less lateness is accepted, because a late
        job then makes others late.
        """
        objective_s = job.objective_at - job.arrived_at
        share = self.late_share + fullness * (FULL_LATE_SHARE - self.late_share)
        return job.objective_at + share * objective_s


@attrs.frozen
class Decision:
    """Whether a job is accepted.

    Attributes:
        reason: Why it is refused; empty if it is accepted.
        outlook: What the zone could do for it.
    """

    reason: str
    outlook: schedule.Outlook


def retry_after_s(
    job: zonetables.Job, outlook: schedule.Outlook, now: float
) -> float:
    """Returns when the work ahead has drained, spread over returns."""
    wait_s = (outlook.end or now) - now
    # Spreads callers by their id: those refused together return apart.
    spread = int(job.id[-2:] or "0", 16) / 255 if _is_hex(job.id) else 0.5
    wait_s = wait_s * (1 + spread)
    return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)


def _is_hex(text: str) -> bool:
    return len(text) >= 2 and all(c in "0123456789abcdef" for c in text[-2:])
