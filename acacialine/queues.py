"""The waiting tasks of this entry's jobs, in their order of placement."""

import collections
import heapq

import attrs

from acacialine import tables as tables_lib

DISTINCT_RANK_JOBS = 3  # jobs per group that `slot_demand` lists separately
URGENCY_CHECK_INTERVAL_S = 0.1
# A job is urgent if its time to the deadline is below this multiple of the
# time that it needs, plus a margin.
URGENT_FACTOR = 2.0
URGENT_MARGIN_S = 0.5
URGENT_RANK = -1e6  # rank offset that puts urgent jobs before all others
# Slot-seconds of remaining work that one second of age offsets.
AGEING_RATE = 12.0


@attrs.define(eq=False)
class SlotDemand:
    """Number of slots that the queue needs for one group and rank.

    Attributes:
        rank: Rank of the first job that needs them; lower first.
    """

    group: tables_lib.Group
    count: int
    rank: float


def job_rank(tables: tables_lib.Tables, job: tables_lib.Job) -> float:
    """Returns a job's rank: least remaining work first, with ageing.

    All jobs age at the same rate, so the time of arrival accounts for the
    ageing and ranks do not change as time passes. Urgent jobs come first, in
    the order of their deadlines. Other policies than `default` rank by the
    time of arrival.
    """
    if tables.settings.placement.policy != "default":
        return job.arrived_at
    if job.is_urgent:
        return URGENT_RANK + AGEING_RATE * job.deadline
    return job.work_s + AGEING_RATE * job.arrived_at


def mark_urgent_jobs(
    tables: tables_lib.Tables, slot_count: int, now: float
) -> None:
    """Marks the jobs that may miss their deadline and ranks them first.

    Ordering by least remaining work starves a large job while smaller ones
    keep arriving, but an accepted job must meet its deadline.

    Args:
        tables: The tables of this entry.
        slot_count: Slots that can work on a job at once.
        now: Current time.
    """
    if now < tables.urgency_check_at:
        return
    tables.urgency_check_at = now + URGENCY_CHECK_INTERVAL_S
    for job in tables.jobs.values():
        if job.is_urgent or not any(job.waiting.values()):
            continue
        longest_s = max(q[0].expected_s for q in job.waiting.values() if q)
        needed_s = URGENT_FACTOR * (longest_s + job.work_s / max(1, slot_count))
        if job.deadline - now < needed_s + URGENT_MARGIN_S:
            job.is_urgent = True
            for group, queue in job.waiting.items():
                if queue:
                    _push_job(tables, group, job)


def relative_rank(tables: tables_lib.Tables, rank: float, now: float) -> float:
    """Returns a rank relative to now, for an entry with another clock."""
    if tables.settings.placement.policy != "default":
        return rank - now
    return rank - AGEING_RATE * now


def absolute_rank(tables: tables_lib.Tables, rank: float, now: float) -> float:
    """Converts a rank relative to now, as sent by a peer, to a local rank.

    Inverts `relative_rank`.
    """
    if tables.settings.placement.policy != "default":
        return rank + now
    return rank + AGEING_RATE * now


def add_job(tables: tables_lib.Tables, job: tables_lib.Job) -> None:
    """Queues every task of an accepted job."""
    for task in job.tasks:
        queue = job.waiting.get(task.group)
        if queue is None:
            queue = job.waiting[task.group] = collections.deque()
        queue.append(task)
    for group, queue in job.waiting.items():
        tables.waiting_counts[group] = tables.waiting_counts.get(
            group, 0
        ) + len(queue)
        _push_job(tables, group, job)


def _push_job(
    tables: tables_lib.Tables, group: tables_lib.Group, job: tables_lib.Job
) -> None:
    tables.next_heap_seq += 1
    entry = (job_rank(tables, job), tables.next_heap_seq, job)
    heapq.heappush(tables.queues.setdefault(group, []), entry)


def requeue(
    tables: tables_lib.Tables, task: tables_lib.Task, now: float
) -> None:
    """Queues a task again, at once or after its backoff."""
    if task.not_before > now:
        tables.next_heap_seq += 1
        entry = (task.not_before, tables.next_heap_seq, task)
        heapq.heappush(tables.delayed_tasks, entry)
        return
    queue = task.job.waiting.setdefault(task.group, collections.deque())
    queue.appendleft(task)
    tables.waiting_counts[task.group] = (
        tables.waiting_counts.get(task.group, 0) + 1
    )
    _push_job(tables, task.group, task.job)


def requeue_delayed_tasks(tables: tables_lib.Tables, now: float) -> None:
    """Queues the tasks whose backoff has passed."""
    while tables.delayed_tasks and tables.delayed_tasks[0][0] <= now:
        _, _, task = heapq.heappop(tables.delayed_tasks)
        is_waiting = task.state == tables_lib.TaskState.WAITING
        if is_waiting and task.job.answer is None:
            requeue(tables, task, now)


def drop_job(tables: tables_lib.Tables, job: tables_lib.Job) -> None:
    """Removes the waiting tasks of a finished job.

    Its heap entries remain and are skipped later.
    """
    for group, queue in job.waiting.items():
        tables.waiting_counts[group] -= len(queue)
        queue.clear()


def first_job(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> tables_lib.Job | None:
    """Returns the job of lowest rank that has a waiting task of a group."""
    heap = tables.queues.get(group)
    while heap:
        job = heap[0][2]
        if job.answer is None and job.waiting.get(group):
            return job
        heapq.heappop(heap)
    return None


def take_task(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> tables_lib.Task | None:
    """Removes and returns the next waiting task of a group."""
    job = first_job(tables, group)
    if job is None:
        return None
    queue = job.waiting[group]
    task = queue.popleft()
    tables.waiting_counts[group] -= 1
    heap = tables.queues[group]
    if queue:
        tables.next_heap_seq += 1
        entry = (job_rank(tables, job), tables.next_heap_seq, job)
        heapq.heapreplace(heap, entry)
    else:
        heapq.heappop(heap)
    return task


def take_task_for_grant(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Task | None:
    """Removes and returns the team's first task that fits a granted slot.

    A grant is bound to a task only here: a task that was queued after the
    slot request, and ranks first, may use the slot if it needs no more than
    what was granted.
    """
    group = _first_usable_group(tables, granted)
    return take_task(tables, group) if group else None


def first_job_for_grant(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Job | None:
    """Returns the job that `take_task_for_grant` would take from."""
    group = _first_usable_group(tables, granted)
    return first_job(tables, group) if group else None


def _first_usable_group(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Group | None:
    first_group = None
    lowest_rank = float("inf")
    for group, count in tables.waiting_counts.items():
        if count <= 0 or not _fits_grant(tables, group, granted):
            continue
        job = first_job(tables, group)
        if job is not None and job_rank(tables, job) < lowest_rank:
            first_group = group
            lowest_rank = job_rank(tables, job)
    return first_group


def _fits_grant(
    tables: tables_lib.Tables,
    group: tables_lib.Group,
    granted: tables_lib.Group,
) -> bool:
    """Returns whether tasks of a group may use a slot granted for another.

    The team must be the same, a long task needs a grant for long tasks, and
    the required resources must not exceed those of the granted kind.
    """
    if group is granted:
        return True
    if group.team != granted.team or (group.is_long and not granted.is_long):
        return False
    kinds = tables.configuration.documents[group.team].kinds
    required, available = kinds.get(group.kind), kinds.get(granted.kind)
    if required is None or available is None:
        return False
    return (
        required.cpus <= available.cpus
        and required.memory_mb <= available.memory_mb
        and required.accelerators <= available.accelerators
    )


def slot_demand(tables: tables_lib.Tables) -> list[SlotDemand]:
    """Returns the slots that the waiting tasks need.

    The first `DISTINCT_RANK_JOBS` jobs of each group are listed separately,
    so that the rank of a small job does not move a large one forward; the
    remaining tasks of the group share one entry.
    """
    result = []
    for group, count in tables.waiting_counts.items():
        if count > 0 and first_job(tables, group) is not None:
            result.extend(_group_demand(tables, group, count))
    return result


def _group_demand(
    tables: tables_lib.Tables, group: tables_lib.Group, remaining: int
) -> list[SlotDemand]:
    seen_jobs = set()
    result: list[SlotDemand] = []
    for _, _, job in heapq.nsmallest(
        2 * DISTINCT_RANK_JOBS, tables.queues[group]
    ):
        queue = job.waiting.get(group)
        if job.answer is not None or not queue or job in seen_jobs:
            continue
        seen_jobs.add(job)
        rank = job_rank(tables, job)
        if len(result) == DISTINCT_RANK_JOBS:
            result.append(SlotDemand(group, remaining, rank))
            return result
        part_count = min(len(queue), remaining)
        result.append(SlotDemand(group, part_count, rank))
        remaining -= part_count
        if remaining <= 0:
            return result
    result[-1].count += remaining
    return result
