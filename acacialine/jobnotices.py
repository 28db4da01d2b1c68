"""What a placer tells others of its jobs, so that none runs a second time.

The placers of the other zones and the candidates of its own are told how jobs
ended, and which jobs run. See docs/design/job-fates.md.
"""

import collections.abc
import math

import attrs

from acacialine import events
from acacialine import jobfates
from acacialine import orders as orders_lib
from acacialine import zonetables

# Others are told of a job that has run for OPEN_JOB_AGE_S, and again after each
# OPEN_JOB_REPEAT_S. A placer that is lost beside the dispatcher of a job must
# have told them before. Jobs that end sooner cost nothing.
OPEN_JOB_AGE_S = 0.1
OPEN_JOB_REPEAT_S = 1.0  # below `placer.KEPT_JOB_S`, for which they know of it
OPEN_JOBS_INTERVAL_S = 0.1
# While others know of jobs, they are asked at this interval whether they live.
PROBE_INTERVAL_S = 0.2
# For how long after a notice the other zones certainly know of its jobs, less
# the longest lease.
KNOWN_JOB_S = 2.0
_FATES_BY_VERDICT = {
    zonetables.Verdict.COMPLETED: jobfates.Fate.COMPLETED,
    zonetables.Verdict.FAILED: jobfates.Fate.FAILED,
}
# A cancelled job may have run in part, so it is not refused as not run.
VERDICTS_BY_FATE = {
    jobfates.Fate.COMPLETED: zonetables.Verdict.COMPLETED,
    jobfates.Fate.FAILED: zonetables.Verdict.FAILED,
    jobfates.Fate.CANCELLED: zonetables.Verdict.FAILED,
}
REASONS_BY_FATE = {
    jobfates.Fate.COMPLETED: "answered",
    jobfates.Fate.FAILED: "answered",
    jobfates.Fate.CANCELLED: "cancelled",
}


@attrs.frozen
class OpenJobsNotice:
    """A notice of running jobs that not all other zones have confirmed.

    Attributes:
        unconfirmed_zones: Zones whose placers have not confirmed it.
    """

    job_ids: tuple[str, ...]
    sent_at: float
    unconfirmed_zones: set[str]


@attrs.define(eq=False)
class JobNotices:
    """The notices of one placer. Emits the orders that send them.

    Attributes:
        other_zones: The other zones that have dispatchers; None if it is not
            known which these are.
    """

    _tables: zonetables.ZoneTables
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    other_zones: frozenset[str] | None = None
    _open_jobs_shared_at: float = -1e9
    _sent_at: float = -1e9
    _last_number: int = 0
    _unconfirmed: dict[int, OpenJobsNotice] = attrs.field(factory=dict)

    def record_acceptance(self, job: zonetables.Job) -> None:
        """Marks a new job as known if there is no other zone to tell."""
        if self.other_zones is not None and not self.other_zones:
            job.known_until = math.inf

    def record_fate(self, job_id: str, fate: jobfates.Fate, now: float) -> None:
        """Records how a job ended here, and tells others."""
        self._tables.fates.record(job_id, fate, now, is_local=True)
        self._emit(orders_lib.ShareFate(job_id, fate))

    def record_verdict(
        self, job_id: str, verdict: zonetables.Verdict | None, now: float
    ) -> None:
        """Records a verdict that is final, unless the fate is known."""
        fate = _FATES_BY_VERDICT.get(verdict)
        if fate is None:
            return
        known = self._tables.fates.get(job_id)
        if known is None or jobfates.replaces(fate, known):
            self.record_fate(job_id, fate, now)

    def repeat_answer(self, job_id: str, origin) -> bool:
        """Answers a job as before if its fate is known.

        Returns:
            Whether it is.
        """
        fate = self._tables.fates.get(job_id)
        if fate is None:
            return False
        self._emit(
            orders_lib.LogDecision(
                events.Event.ZONE_JOB_REPEATED,
                {"job": job_id, "fate": fate.value},
            )
        )
        self._emit(
            orders_lib.AnswerJob(
                (origin,),
                job_id,
                VERDICTS_BY_FATE[fate],
                REASONS_BY_FATE[fate],
            )
        )
        return True

    def share_open_jobs(self, now: float) -> None:
        """Tells others of the jobs that run here, from time to time."""
        if now - self._open_jobs_shared_at < OPEN_JOBS_INTERVAL_S:
            return
        self._open_jobs_shared_at = now
        due = []
        for job in self._tables.jobs.values():
            started_at = job.first_start_at
            if (
                job.possible_starts
                and now - job.shared_at >= OPEN_JOB_REPEAT_S
                and (started_at is None or now - started_at >= OPEN_JOB_AGE_S)
            ):
                job.shared_at = now
                due.append(job.id)
        if due or self._must_probe(now):
            self._send_open_jobs(tuple(due), now)

    def _must_probe(self, now: float) -> bool:
        """Returns whether to send a notice without jobs, for its confirmation.

        What the other zones know lasts as long as their placers.
        """
        return (
            bool(self.other_zones)
            and now - self._sent_at >= PROBE_INTERVAL_S
            and any(now < j.known_until for j in self._tables.jobs.values())
        )

    def _send_open_jobs(self, job_ids: tuple[str, ...], now: float) -> None:
        self._sent_at = now
        self._last_number += 1
        self._emit(orders_lib.ShareOpenJobs(job_ids, self._last_number))
        self._drop_expired(now)
        if self.other_zones is None:
            return
        notice = OpenJobsNotice(job_ids, now, set(self.other_zones))
        self._unconfirmed[self._last_number] = notice
        self._record_if_confirmed(self._last_number)

    def confirm(self, number: int, zone: str) -> None:
        """Records that the placer of another zone knows the jobs of a notice.

        Args:
            number: Number of the notice.
            zone: The zone of that placer.
        """
        notice = self._unconfirmed.get(number)
        if notice is not None:
            heard_at = self._tables.zones_heard_at
            heard_at[zone] = max(heard_at.get(zone, -1e9), notice.sent_at)
            notice.unconfirmed_zones.discard(zone)
            self._record_if_confirmed(number)

    def _record_if_confirmed(self, number: int) -> None:
        notice = self._unconfirmed[number]
        if notice.unconfirmed_zones:
            return
        del self._unconfirmed[number]
        for job_id in notice.job_ids:
            job = self._tables.jobs.get(job_id)
            if job is not None:
                until = notice.sent_at + KNOWN_JOB_S
                job.known_until = max(job.known_until, until)

    def _drop_expired(self, now: float) -> None:
        while self._unconfirmed:
            number = next(iter(self._unconfirmed))
            if now - self._unconfirmed[number].sent_at < KNOWN_JOB_S:
                return
            del self._unconfirmed[number]

    def update_zones(self, other_zones: frozenset[str] | None) -> None:
        """Replaces the other zones; a new one knows of no job."""
        if other_zones != self.other_zones:
            self.other_zones = other_zones
            self._tables.zones_heard_at.clear()
            self.handle_new_placer()

    def handle_new_placer(self) -> None:
        """Tells all zones again, as one has a placer that may not know."""
        self._unconfirmed.clear()
        for job in self._tables.jobs.values():
            job.known_until = job.shared_at = -1e9


def new_job_notices(
    tables: zonetables.ZoneTables,
    emit: collections.abc.Callable[[orders_lib.Order], None],
    owned_since: float,
) -> JobNotices:
    """Creates the notices of a placer that owns its zone since some time.

    No number is used by an earlier placer of the same process, whose notices
    may yet be confirmed.
    """
    return JobNotices(tables, emit, last_number=round(owned_since * 1000))
