"""Order of waiting jobs and forecast of when a job would end.

When the load exceeds the capacity, jobs with the earliest latest start are
served first, and admission refuses a job on arrival if the forecast shows that
it would end too late behind the more urgent work.
"""

import collections.abc
import heapq
import sys

import attrs

from acacialine import resources as resources_lib
from acacialine import serverhealth
from acacialine import zonetables

UNLIMITED = sys.maxsize
# Runs on one server, however little they demand: each takes memory here, and a
# poll lists them all.
MAX_RUNS_PER_SERVER = 256
# Remaining time that is assumed for an overdue run / its expected duration.
OVERDUE_REMAINING_SHARE = 0.5
# Expected time from a stop order until its run has certainly ended: a backend
# server takes up to 50 ms to stop one.
STOP_S = 0.06
_ENDING = (zonetables.RunState.DOUBTFUL, zonetables.RunState.STOPPING)


def expected_task_s(
    tables: zonetables.ZoneTables, job: zonetables.Job
) -> float:
    """Returns the expected duration of one task of a job, in s."""
    ratio = tables.estimate_ratio.get(job.queue.name, 1.0)
    return job.step.estimate_s * ratio


def urgency_key(job: zonetables.Job, now: float) -> tuple:
    """Returns the sort key of a job; the job with the lowest starts first.

    Jobs that can still meet their objective come first. They are ordered by the
    priority of their queues if the settings ask for it, by the debts of their
    competitors under contention, and by their latest start time, which is
    earlier for one whose client came back when it was told.
    """
    latest_start = job.objective_at - job.estimate_s
    return (
        latest_start < now,
        job.priority_rank,
        job.debt_step,
        latest_start - job.seniority_s,
    )


def sort_by_urgency(
    jobs: collections.abc.Iterable[zonetables.Job], now: float
) -> list[zonetables.Job]:
    """Returns jobs in the order in which their tasks are started."""
    return sorted(jobs, key=lambda job: urgency_key(job, now))


def expected_end(run: zonetables.Run, now: float) -> float:
    """Returns when a run is expected to end."""
    end = undelayed_end(run)
    if end > now:
        return end
    if run.state in _ENDING:
        return now + STOP_S
    return now + run.expected_s * OVERDUE_REMAINING_SHARE


def slot_free_times(
    tables: zonetables.ZoneTables,
    service: str,
    demand: resources_lib.Resources,
    label: str,
    now: float,
) -> list[float]:
    """Returns when each slot for a task of this demand becomes free.

    Slots of servers that are not usable at present or very soon are left out.
    """
    free_times = []
    for server in tables.servers.values():
        if server.service != service or not serverhealth.is_usable_soon(
            server, now
        ):
            continue
        if label and label not in server.labels:
            continue
        slots = server.slot_cache
        if (
            slots is None
            or slots.version != server.version
            or slots.demand != demand
        ):
            slots = server.slot_cache = _compute_slots(server, demand)
        available_at = max(now, server.avoid_until)
        if slots.free_count:
            free_times.extend([available_at] * slots.free_count)
        if slots.busy_count:
            ends = slots.ends
            if ends and ends[0] <= now:
                # Overdue runs end later than expected.
                ends = _slot_ends(server, lambda run: expected_end(run, now))
            for end in ends[: slots.busy_count]:
                free_times.append(end if end > available_at else available_at)
    return free_times


@attrs.frozen
class _Slots:
    """Slots of one backend server for tasks of one demand.

    Attributes:
        version: Version of the server for which they were computed.
        free_count: Number of free slots.
        busy_count: Number of slots that become free at the end of runs.
        ends: Expected ends of the runs that free slots, earliest first, if
            none is overdue.
    """

    version: int
    demand: resources_lib.Resources
    free_count: int
    busy_count: int
    ends: list[float]


def _compute_slots(
    server: zonetables.Server, demand: resources_lib.Resources
) -> _Slots:
    count = count_slots(server.capacity, demand)
    free_count = min(
        count,
        count_slots(server.free, demand),
        max(0, MAX_RUNS_PER_SERVER - len(server.runs)),
    )
    if server.isolated_runs:
        free_count = 0
    ends = []
    if free_count < count:
        ends = _slot_ends(server, undelayed_end)
    return _Slots(server.version, demand, free_count, count - free_count, ends)


def _slot_ends(
    server: zonetables.Server,
    run_end: collections.abc.Callable[[zonetables.Run], float],
) -> list[float]:
    """Returns when the runs of a server end that free slots, earliest first.

    If the capacity has shrunk below what is used, the first ends only bring the
    server back within it.
    """
    runs = sorted(server.runs.values(), key=run_end)
    free = server.free
    skipped = 0
    while not resources_lib.NO_RESOURCES.fits(free) and skipped < len(runs):
        free = free + runs[skipped].demand
        skipped += 1
    return [run_end(run) for run in runs[skipped:]]


def undelayed_end(run: zonetables.Run) -> float:
    """Returns when a run is expected to end if it is not overdue.

    One that is being stopped, or whose start got no response, occupies its
    capacity until its stop is confirmed and its end or absence is listed.
    """
    if run.state in _ENDING and run.stop_sent_at is not None:
        return run.stop_sent_at + STOP_S
    return (run.confirmed_at or run.sent_at) + run.expected_s


def count_slots(
    capacity: resources_lib.Resources, demand: resources_lib.Resources
) -> int:
    """Returns how many tasks of a demand fit into a capacity."""
    count = capacity.cpu // demand.cpu if demand.cpu else UNLIMITED
    if demand.memory_mb:
        count = min(count, capacity.memory_mb // demand.memory_mb)
    if demand.gpu:
        count = min(count, capacity.gpu // demand.gpu)
    if count == UNLIMITED:
        return 1  # a task without demand still occupies a slot in the forecast
    return min(max(0, count), MAX_RUNS_PER_SERVER)


@attrs.frozen
class Forecast:
    """Prediction for a job that arrives at a zone.

    Attributes:
        slots: Number of slots for tasks of its demand, free or not.
        free_slots: Number of slots that are free now.
        end: When the job would end after all more urgent work; None if no
            backend server can take its tasks at present.
        starts_now: Whether all its tasks can start now, after the more urgent
            work; None if that was not planned.
    """

    slots: int
    free_slots: int
    end: float | None
    starts_now: bool | None = None


def new_forecast(
    tables: zonetables.ZoneTables, job: zonetables.Job, now: float
) -> Forecast:
    """Forecasts a job from the expected ends of runs and more urgent jobs."""
    step = job.step
    free_times = slot_free_times(
        tables, job.queue.service, step.demand, step.label, now
    )
    free_slots = sum(1 for at in free_times if at <= now)
    end = _predict_end(tables, job, free_times, now) if free_times else None
    return Forecast(len(free_times), free_slots, end)


def _predict_end(
    tables: zonetables.ZoneTables,
    job: zonetables.Job,
    free_times: list[float],
    now: float,
) -> float:
    """Predicts when a job ends.

    Assigns the tasks of more urgent jobs, then its own, to the slots that
    become free first.
    """
    slot_heap = free_times
    heapq.heapify(slot_heap)
    own_key = urgency_key(job, now)
    more_urgent = [
        other
        for other in tables.jobs.values()
        if other.waiting
        and other is not job
        and urgency_key(other, now) < own_key
    ]
    for other in sort_by_urgency(more_urgent, now):
        duration_s = expected_task_s(tables, other)
        for _ in other.waiting:
            heapq.heapreplace(slot_heap, slot_heap[0] + duration_s)
    end = now
    duration_s = expected_task_s(tables, job)
    for _ in job.waiting:
        start = slot_heap[0]
        heapq.heapreplace(slot_heap, start + duration_s)
        end = max(end, start + job.estimate_s)
    return end
