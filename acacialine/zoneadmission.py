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

    def reason_to_refuse(
        self, job: zonetables.Job, is_spilled: bool, now: float
    ) -> str:
        """Returns why a job is refused; empty if it is accepted."""
        step = job.step
        fitting = [
            s
            for s in self.tables.servers.values()
            if s.present
            and s.service == job.queue.service
            and step.demand.fits(s.capacity)
            and (not step.label or step.label in s.labels)
        ]
        if not fitting:
            return "unservable"
        if not all(s.listed for s in fitting):
            return ""  # right after a takeover; room is not known yet
        if job.deadline_at - now < job.estimate_s:
            return "deadline"
        self.usual_places = len(
            schedule.slot_times(
                self.tables, job.queue.service, step.demand, step.label, now
            )
        )
        end = schedule.predicted_end(self.tables, job, now)
        if end is None:
            # No server answers at present; another zone may have some.
            return "" if is_spilled else "unservable"
        if end <= min(self.latest_end(job), job.deadline_at):
            return ""
        if not is_spilled and self.free_elsewhere >= step.count:
            return "overloaded"  # its entry then asks the other zone
        return "" if self._has_place(job, now) else "overloaded"

    def _has_place(self, job: zonetables.Job, now: float) -> bool:
        """Returns whether a task could start now, ahead of none waiting."""
        return self.free_places(job, now) > self.waiting_tasks()

    def free_places(self, job: zonetables.Job, now: float) -> int:
        """Returns how many tasks of a job could start now if none waited."""
        step = job.step
        times = schedule.slot_times(
            self.tables, job.queue.service, step.demand, step.label, now
        )
        return sum(1 for at in times if at <= now)

    def waiting_tasks(self) -> int:
        """Returns how many tasks wait for a place."""
        return sum(len(j.waiting) for j in self.tables.jobs.values())

    def latest_end(self, job: zonetables.Job) -> float:
        """Returns until when an end is still worth the room it takes.

        The fuller the queue, the less lateness is accepted, because a late
        job then makes others late.
        """
        objective_s = job.objective_at - job.arrived_at
        fullness = min(1.0, self.waiting_tasks() / max(1, self.usual_places))
        share = self.late_share + fullness * (FULL_LATE_SHARE - self.late_share)
        return job.objective_at + share * objective_s

    def retry_after_s(self, job: zonetables.Job, now: float) -> float:
        """Returns when the work ahead has drained, spread over returns."""
        end = schedule.predicted_end(self.tables, job, now)
        wait_s = (end or now) - now
        # Spreads callers by their id: those refused together return apart.
        spread = int(job.id[-2:] or "0", 16) / 255 if _is_hex(job.id) else 0.5
        wait_s = wait_s * (1 + spread)
        return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)


def _is_hex(text: str) -> bool:
    return len(text) >= 2 and all(c in "0123456789abcdef" for c in text[-2:])
