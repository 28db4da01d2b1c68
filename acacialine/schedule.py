"""Order among waiting jobs, and when a job would end.

Answers the load of a crest, where room for everybody does not exist: jobs
whose latest start comes first go first, and a job that would end too late
behind the work ahead of it is refused at its arrival.
"""

import collections.abc
import heapq
import sys

import attrs

from acacialine import judge
from acacialine import resources as resources_lib
from acacialine import zonetables

UNBOUNDED = sys.maxsize
OVERDUE_SHARE = 0.5  # of its expectation that an overdue run still takes


def task_s(tables: zonetables.ZoneTables, job: zonetables.Job) -> float:
    """Returns the expected duration of one task of a job, in s."""
    ratio = tables.estimate_ratio.get(job.queue.name, 1.0)
    return job.step.estimate_s * ratio


def rank(job: zonetables.Job, now: float) -> tuple:
    """Returns the key by which jobs are ordered; the lowest goes first.

    Jobs that can still meet their objective go by their latest start; the
    others come after all of these.
    """
    latest_start = job.objective_at - job.estimate_s
    return (latest_start < now, latest_start)


def in_order(
    jobs: collections.abc.Iterable[zonetables.Job], now: float
) -> list[zonetables.Job]:
    """Returns jobs in the order in which their tasks are started."""
    return sorted(jobs, key=lambda job: rank(job, now))


def expected_end(run: zonetables.Run, now: float) -> float:
    """Returns when a run is expected to end."""
    begun = run.confirmed_at or run.sent_at
    end = begun + run.expected_s
    if end > now:
        return end
    return now + run.expected_s * OVERDUE_SHARE


def slot_times(
    tables: zonetables.ZoneTables,
    service: str,
    demand: resources_lib.Resources,
    label: str,
    now: float,
) -> list[float]:
    """Returns when each place for a task of this demand becomes free."""
    times = []
    for server in tables.servers.values():
        if server.service != service or not judge.is_expected(server, now):
            continue
        if label and label not in server.labels:
            continue
        count = places(server.capacity, demand)
        idle = min(count, places(server.free, demand))
        first = max(now, server.avoid_until)
        times.extend([first] * idle)
        if idle < count:
            ends = sorted(
                expected_end(run, now) for run in server.runs.values()
            )
            times.extend(max(first, end) for end in ends[: count - idle])
    return times


def places(
    room: resources_lib.Resources, demand: resources_lib.Resources
) -> int:
    """Returns how many tasks of a demand fit into some room."""
    count = room.cpu // demand.cpu if demand.cpu else UNBOUNDED
    if demand.memory_mb:
        count = min(count, room.memory_mb // demand.memory_mb)
    if demand.gpu:
        count = min(count, room.gpu // demand.gpu)
    if count == UNBOUNDED:
        return 1  # of a task that needs nothing; its duration still counts
    return max(0, count)


@attrs.frozen
class Outlook:
    """What a zone can do for a job at one moment.

    Attributes:
        places: Places for tasks of its demand, taken ones included.
        free_places: Those that are free now.
        end: When the job would end behind the work that goes before it; None
            if no backend server can take its tasks at present.
    """

    places: int
    free_places: int
    end: float | None


def new_outlook(
    tables: zonetables.ZoneTables, job: zonetables.Job, now: float
) -> Outlook:
    """Plays the work that goes before a job onto the expected ends of runs."""
    step = job.step
    times = slot_times(tables, job.queue.service, step.demand, step.label, now)
    free = sum(1 for at in times if at <= now)
    end = _end_behind(tables, job, times, now) if times else None
    return Outlook(len(times), free, end)


def _end_behind(
    tables: zonetables.ZoneTables,
    job: zonetables.Job,
    times: list[float],
    now: float,
) -> float:
    heap = times
    heapq.heapify(heap)
    own_rank = rank(job, now)
    ahead = [
        other
        for other in tables.jobs.values()
        if other.waiting and other is not job and rank(other, now) < own_rank
    ]
    for other in in_order(ahead, now):
        duration_s = task_s(tables, other)
        for _ in other.waiting:
            heapq.heapreplace(heap, heap[0] + duration_s)
    end = now
    duration_s = task_s(tables, job)
    for _ in job.waiting:
        start = heap[0]
        heapq.heapreplace(heap, start + duration_s)
        end = max(end, start + job.estimate_s)
    return end
