"""Admission control: decides whether a zone accepts a job."""

import attrs

from acacialine import fairshare
from acacialine import lookahead
from acacialine import placementpolicy
from acacialine import schedule
from acacialine import zonetables

# Accepted lateness when as many tasks wait as there are slots. It is negative
# because more urgent jobs will still arrive and start first.
FULL_LATE_SHARE = -0.25
# The same with the forecast by sizes, reached when the waiting tasks demand
# SIZED_FULL_SHARE of the CPU. A margin of 0.25, reached at the whole CPU, let
# more jobs wait than could be served beside more urgent arrivals (trial on the
# bursts of tests/contentionload.py: 0.65 to 0.79 in target instead of 0.75 to
# 0.84).
SIZED_FULL_LATE_SHARE = -0.4
SIZED_FULL_SHARE = 0.5
RETRY_AFTER_MIN_S = 1.0  # the Retry-After header has whole seconds
RETRY_AFTER_MAX_S = 10.0


@attrs.define(eq=False)
class Admission:
    """Accepts or refuses jobs of one zone; used by its placer.

    Attributes:
        late_share: Share of its objective by which a job may be predicted
            late and still be accepted while no task waits.
        shares: Shares of queues and zones of clients; None without any.
        policy: What the placer does when more work arrives than fits.
        free_slots_elsewhere: Largest number of free slots that another zone
            reports.
        total_slots: Slots of the zone, free or not, for tasks of the size of
            the last job.
        total_cpu: CPU of the servers that may run the last job, free or not.
    """

    tables: zonetables.ZoneTables
    late_share: float
    policy: placementpolicy.PlacementPolicy = attrs.field(
        factory=placementpolicy.PlacementPolicy
    )
    shares: fairshare.FairShares | None = None
    free_slots_elsewhere: int = 0
    total_slots: int = 1
    total_cpu: int = 1

    def admit(
        self, job: zonetables.Job, is_spilled: bool, now: float
    ) -> "Decision":
        """Returns whether a job is accepted, with the forecast for it."""
        if self.policy.measures_demand:
            self.shares.record_arrival(job, now)
        servers = self._servers_for(job)
        forecast = self.new_forecast(job, now)
        if not servers and (
            self.tables.is_list_known
            or (not is_spilled and self.free_slots_elsewhere >= job.step.count)
        ):
            return Decision("unservable", forecast)
        if not servers:
            # The list of servers is still unread; the job waits for it.
            return Decision("", forecast)
        if now < job.not_before and self._ends_late(job, job.not_before):
            end = max(forecast.end or now, job.not_before + job.estimate_s)
            return Decision("overloaded", attrs.evolve(forecast, end=end))
        if not all(server.runs_listed for server in servers):
            # Free capacity is unknown right after a takeover.
            return Decision("", forecast)
        if job.deadline_at - now < job.estimate_s:
            return Decision("deadline", forecast)
        self.total_slots = forecast.slots
        self.total_cpu = sum(server.capacity.cpu for server in servers)
        reason = self._refusal_reason(job, forecast, is_spilled)
        return Decision(reason, forecast)

    def _ends_late(self, job: zonetables.Job, start: float) -> bool:
        """Returns whether a job that starts then ends too late."""
        latest_end = self.latest_end(job, self.queue_fullness(job.debt_step))
        return start + job.estimate_s > min(latest_end, job.deadline_at)

    def new_forecast(
        self, job: zonetables.Job, now: float
    ) -> schedule.Forecast:
        """Forecasts a job as the policy asks for."""
        if self.policy.sized_forecast:
            return lookahead.new_forecast(self.tables, job, now)
        return schedule.new_forecast(self.tables, job, now)

    def is_servable(self, job: zonetables.Job) -> bool:
        """Returns whether a listed server could run the tasks of a job."""
        return bool(self._servers_for(job))

    def _servers_for(self, job: zonetables.Job) -> list[zonetables.Server]:
        return [
            server
            for server in self.tables.servers.values()
            if server.is_in_store and may_ever_run(server, job)
        ]

    def _refusal_reason(
        self,
        job: zonetables.Job,
        forecast: schedule.Forecast,
        is_spilled: bool,
    ) -> str:
        if forecast.end is None:
            # No server responds at present; another zone may have one that
            # does. A spilled job has already been refused by another zone.
            return "" if is_spilled else "unservable"
        if self.policy.fair_share and self.shares.exceeds_share(job):
            self.tables.counters["contention.refused_over_share"] += 1
            return "overloaded"
        latest_end = self.latest_end(job, self.queue_fullness(job.debt_step))
        if forecast.end <= min(latest_end, job.deadline_at):
            return ""
        if not is_spilled and self.free_slots_elsewhere >= job.step.count:
            return "overloaded"  # its dispatcher then tries the other zone
        if forecast.starts_now is not None:
            return "" if forecast.starts_now else "overloaded"
        has_free_slot = forecast.free_slots > self.count_waiting_tasks()
        return "" if has_free_slot else "overloaded"

    def count_waiting_tasks(self) -> int:
        """Returns the number of tasks that wait for a slot."""
        return sum(len(j.waiting) for j in self.tables.jobs.values())

    def queue_fullness(self, debt_step: int = 0) -> float:
        """Returns how full the queue is, 0 to 1.

        Counts waiting tasks as a share of all slots, or with the forecast by
        sizes their CPU as a share of SIZED_FULL_SHARE of all CPU. Jobs of
        competitors with more debt don't count, as they start later.
        """
        if self.policy.sized_forecast:
            waiting_cpu = sum(
                len(j.waiting) * j.step.demand.cpu
                for j in self.tables.jobs.values()
                if j.debt_step <= debt_step
            )
            full_cpu = SIZED_FULL_SHARE * self.total_cpu
            return min(1.0, waiting_cpu / max(1.0, full_cpu))
        return min(1.0, self.count_waiting_tasks() / max(1, self.total_slots))

    def latest_end(self, job: zonetables.Job, queue_fullness: float) -> float:
        """Returns the latest predicted end at which a job is still accepted.

        The fuller the queue, the less lateness is accepted, because a late
        job then makes others late.
        """
        objective_s = job.objective_at - job.arrived_at
        full_late_share = FULL_LATE_SHARE
        if self.policy.sized_forecast:
            full_late_share = SIZED_FULL_LATE_SHARE
        accepted_share = self.late_share + queue_fullness * (
            full_late_share - self.late_share
        )
        return job.objective_at + accepted_share * objective_s


def may_ever_run(server: zonetables.Server, job: zonetables.Job) -> bool:
    """Returns whether an idle backend server could run the tasks of a job."""
    step = job.step
    return (
        server.service == job.queue.service
        and step.demand.fits(server.capacity)
        and (not step.label or step.label in server.labels)
    )


@attrs.frozen
class Decision:
    """The decision about one job.

    Attributes:
        reason: Code of the reason for a refusal; empty if accepted.
        forecast: When the zone would complete the job.
    """

    reason: str
    forecast: schedule.Forecast


def compute_retry_after_s(
    job: zonetables.Job, forecast: schedule.Forecast, now: float
) -> float:
    """Returns the delay in s after which the client of a refused job retries.

    It is one to two times the predicted time to complete the job, bounded to
    RETRY_AFTER_MIN_S and RETRY_AFTER_MAX_S.
    """
    wait_s = (forecast.end or now) - now
    # The jitter depends on the job id: clients refused at the same time retry
    # at different times.
    jitter = int(job.id[-2:] or "0", 16) / 255 if _is_hex(job.id) else 0.5
    wait_s = wait_s * (1 + jitter)
    return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)


def _is_hex(text: str) -> bool:
    return len(text) >= 2 and all(c in "0123456789abcdef" for c in text[-2:])
