"""Waiting tasks of the own jobs, ordered for placement."""

import collections
import heapq

import attrs

from acacialine import tables as tables_lib

TIERS = 3  # jobs of a group whose ranks are told apart
URGENCY_S = 0.1  # interval of the search for urgent jobs
URGENT_FACTOR = 2.0
URGENT_MARGIN_S = 0.5
URGENT_RANK = -1e6  # before all work that is not urgent
AGEING = 12.0  # slot-seconds of remaining work that one second of age offsets


@attrs.define(eq=False)
class Wanted:
    """Slots that the own queue wants for one group and rank.

    Attributes:
        rank: Rank of the best job it is for; lower first.
    """

    group: tables_lib.Group
    count: int
    rank: float


def rank_of(tables: tables_lib.Tables, job: tables_lib.Job) -> float:
    """Returns a job's rank: least remaining work first, with ageing.

    Every job ages at the same pace, so the time of acceptance alone carries
    the ageing and ranks need no refresh as time passes.
    """
    if tables.settings.placement.policy != "default":
        return job.accepted_at
    if job.is_urgent:
        return URGENT_RANK + AGEING * job.deadline
    return job.work_s + AGEING * job.accepted_at


def run_urgency(tables: tables_lib.Tables, slots: int, now: float) -> None:
    """Brings forward the jobs whose time to the deadline runs out.

    Least remaining work first starves a large job for as long as smaller
    ones come; the accepted ones among those must still end in time.
    """
    if now < tables.urgency_check_at:
        return
    tables.urgency_check_at = now + URGENCY_S
    for job in tables.jobs.values():
        if job.is_urgent or not any(job.waiting.values()):
            continue
        longest_s = max(q[0].expected_s for q in job.waiting.values() if q)
        needed_s = URGENT_FACTOR * (longest_s + job.work_s / max(1, slots))
        if job.deadline - now < needed_s + URGENT_MARGIN_S:
            job.is_urgent = True
            for group, queue in job.waiting.items():
                if queue:
                    _push(tables, group, job)


def relative_rank(tables: tables_lib.Tables, rank: float, now: float) -> float:
    """Turns a rank into one that another entry's clock can read."""
    if tables.settings.placement.policy != "default":
        return rank - now
    return rank - AGEING * now


def absolute_rank(tables: tables_lib.Tables, rank: float, now: float) -> float:
    """Reverses `relative_rank` with the own clock."""
    if tables.settings.placement.policy != "default":
        return rank + now
    return rank + AGEING * now


def add_job(tables: tables_lib.Tables, job: tables_lib.Job) -> None:
    """Queues every task of an accepted job."""
    for task in job.tasks:
        queue = job.waiting.get(task.group)
        if queue is None:
            queue = job.waiting[task.group] = collections.deque()
        queue.append(task)
    for group, queue in job.waiting.items():
        tables.waiting[group] = tables.waiting.get(group, 0) + len(queue)
        _push(tables, group, job)


def _push(
    tables: tables_lib.Tables, group: tables_lib.Group, job: tables_lib.Job
) -> None:
    tables.next_heap_seq += 1
    entry = (rank_of(tables, job), tables.next_heap_seq, job)
    heapq.heappush(tables.queues.setdefault(group, []), entry)


def requeue(
    tables: tables_lib.Tables, task: tables_lib.Task, now: float
) -> None:
    """Queues a task again after an attempt that did not start."""
    if task.not_before > now:
        tables.next_heap_seq += 1
        entry = (task.not_before, tables.next_heap_seq, task)
        heapq.heappush(tables.delayed_tasks, entry)
        return
    queue = task.job.waiting.setdefault(task.group, collections.deque())
    queue.appendleft(task)
    tables.waiting[task.group] = tables.waiting.get(task.group, 0) + 1
    _push(tables, task.group, task.job)


def run_delayed(tables: tables_lib.Tables, now: float) -> None:
    """Queues the tasks whose backoff has passed."""
    while tables.delayed_tasks and tables.delayed_tasks[0][0] <= now:
        _, _, task = heapq.heappop(tables.delayed_tasks)
        waits = task.state == tables_lib.TaskState.WAITING
        if waits and task.job.answer is None:
            requeue(tables, task, now)


def drop_job(tables: tables_lib.Tables, job: tables_lib.Job) -> None:
    """Removes a finished job; its heap entries are skipped when met."""
    for group, queue in job.waiting.items():
        tables.waiting[group] -= len(queue)
        queue.clear()


def best(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> tables_lib.Job | None:
    """Returns the job whose task of the group goes next."""
    heap = tables.queues.get(group)
    while heap:
        job = heap[0][2]
        if job.answer is None and job.waiting.get(group):
            return job
        heapq.heappop(heap)
    return None


def take(
    tables: tables_lib.Tables, group: tables_lib.Group
) -> tables_lib.Task | None:
    """Removes and returns the next task of a group."""
    job = best(tables, group)
    if job is None:
        return None
    queue = job.waiting[group]
    task = queue.popleft()
    tables.waiting[group] -= 1
    heap = tables.queues[group]
    if queue:
        tables.next_heap_seq += 1
        entry = (rank_of(tables, job), tables.next_heap_seq, job)
        heapq.heapreplace(heap, entry)
    else:
        heapq.heappop(heap)
    return task


def take_best(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Task | None:
    """Takes the team's first task that a slot granted for a group can run.

    Grants are bound late: work that came after the ask, and goes first, may
    use the slot if it needs no more than what was granted.
    """
    group = _best_group(tables, granted)
    return take(tables, group) if group else None


def best_for(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Job | None:
    """Returns the job that `take_best` would take from."""
    group = _best_group(tables, granted)
    return best(tables, group) if group else None


def _best_group(
    tables: tables_lib.Tables, granted: tables_lib.Group
) -> tables_lib.Group | None:
    best_group = None
    best_rank = float("inf")
    for group, count in tables.waiting.items():
        if count <= 0 or not _may_use(tables, group, granted):
            continue
        job = best(tables, group)
        if job is not None and rank_of(tables, job) < best_rank:
            best_group = group
            best_rank = rank_of(tables, job)
    return best_group


def _may_use(
    tables: tables_lib.Tables,
    group: tables_lib.Group,
    granted: tables_lib.Group,
) -> bool:
    """Returns whether work of a group fits a slot granted for another."""
    if group is granted:
        return True
    if group.team != granted.team or (group.is_long and not granted.is_long):
        return False
    kinds = tables.fold.documents[group.team].kinds
    need, have = kinds.get(group.kind), kinds.get(granted.kind)
    if need is None or have is None:
        return False
    return (
        need.cpus <= have.cpus
        and need.memory_mb <= have.memory_mb
        and need.accelerators <= have.accelerators
    )


def wanted(tables: tables_lib.Tables) -> list[Wanted]:
    """Returns what the own queue wants.

    The first jobs of each group stand alone with their ranks, so that the
    rank of a small job does not pull a large one forward; the rest is one.
    """
    result = []
    for group, count in tables.waiting.items():
        if count > 0 and best(tables, group) is not None:
            result.extend(_wanted_of(tables, group, count))
    return result


def _wanted_of(
    tables: tables_lib.Tables, group: tables_lib.Group, count: int
) -> list[Wanted]:
    seen = set()
    result: list[Wanted] = []
    for _, _, job in heapq.nsmallest(2 * TIERS, tables.queues[group]):
        queue = job.waiting.get(group)
        if job.answer is not None or not queue or job in seen:
            continue
        seen.add(job)
        rank = rank_of(tables, job)
        if len(result) == TIERS:
            result.append(Wanted(group, count, rank))
            return result
        part = min(len(queue), count)
        result.append(Wanted(group, part, rank))
        count -= part
        if count <= 0:
            return result
    result[-1].count += count
    return result
