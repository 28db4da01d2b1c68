"""Plan of where and when waiting tasks start, by their sizes.

Load: tasks of about half a server with a spread (6 to 10 of 16 cores) on
servers of different speeds, arriving faster than they fit. Slots of one size
are wrong then: two tasks of 8.5 cores don't share a server of 16, and a slow
server ends a task up to 2.7 times as late as a fast one. The plan plays tasks
onto the free resources of servers and the expected ends of their runs.
"""

import heapq
import itertools

import attrs

from acacialine import resources as resources_lib
from acacialine import schedule
from acacialine import serverhealth
from acacialine import zonetables

# Waiting tasks that are planned one by one; the work of all others delays the
# forecast by its share of the capacity. Bounds the CPU time of a forecast.
MAX_PLANNED_TASKS = 160
MAX_RESERVED_TASKS = 16  # of the job for which servers are reserved
SPREAD_FACTOR = 1.25  # mean absolute error to standard deviation


@attrs.define(eq=False)
class _Hole:
    """Free resources of one server in the plan.

    Attributes:
        at: Since when they are free.
    """

    server: zonetables.Server
    slowness: float
    at: float
    cpu: int
    memory_mb: int
    gpu: int

    def fits(self, demand: resources_lib.Resources, label: str) -> bool:
        """Returns whether a task fits here."""
        return (
            demand.cpu <= self.cpu
            and demand.memory_mb <= self.memory_mb
            and demand.gpu <= self.gpu
            and (not label or label in self.server.labels)
        )


@attrs.frozen
class PlannedTask:
    """Where and when a task is planned to start and end."""

    server: zonetables.Server
    start: float
    end: float


@attrs.define(eq=False)
class Plan:
    """Free resources over time of the servers of one service.

    Attributes:
        capacity_cpu: CPU of all its servers, free or not.
    """

    now: float
    capacity_cpu: int
    _holes: list[_Hole]
    _releases: list[tuple]
    _numbers: itertools.count

    def count_free(self, demand: resources_lib.Resources, label: str) -> int:
        """Returns how many tasks of a demand fit now."""
        count = 0
        for hole in self._holes:
            if hole.at <= self.now and hole.fits(demand, label):
                free = resources_lib.Resources(
                    hole.cpu, hole.memory_mb, hole.gpu
                )
                count += schedule.count_slots(free, demand)
        return count

    def place(
        self,
        count: int,
        demand: resources_lib.Resources,
        label: str,
        duration_s: float,
    ) -> list[PlannedTask]:
        """Plans equal tasks, each where it ends first of what is free soonest.

        Returns fewer tasks than asked for if no server can ever take more.
        """
        planned = []
        holes = [hole for hole in self._holes if hole.fits(demand, label)]
        while len(planned) < count:
            best = None
            best_end = 0.0
            for hole in holes:
                end = hole.at + duration_s * hole.slowness
                if best is None or end < best_end:
                    best, best_end = hole, end
            if best is None:
                best = self._next_hole(demand, label)
                if best is None:
                    break
                best_end = best.at + duration_s * best.slowness
                holes.append(best)
            best.cpu -= demand.cpu
            best.memory_mb -= demand.memory_mb
            best.gpu -= demand.gpu
            if not best.fits(demand, label):
                holes.remove(best)
            heapq.heappush(
                self._releases,
                (best_end, next(self._numbers), best, demand),
            )
            planned.append(PlannedTask(best.server, best.at, best_end))
        return planned

    def _next_hole(
        self, demand: resources_lib.Resources, label: str
    ) -> _Hole | None:
        """Returns the first hole that a task fits into as runs end."""
        releases = self._releases
        while releases:
            end, _, hole, released = heapq.heappop(releases)
            hole.cpu += released.cpu
            hole.memory_mb += released.memory_mb
            hole.gpu += released.gpu
            if end > hole.at:
                hole.at = end
            if hole.fits(demand, label):
                return hole
        return None


@attrs.define(eq=False)
class Reservation:
    """Servers that are kept for the most urgent job that can't start now.

    Attributes:
        tasks: Where its tasks are to start, by id of the server.
    """

    job: zonetables.Job
    tasks: dict[str, list[PlannedTask]]

    def admits(
        self,
        server: zonetables.Server,
        demand: resources_lib.Resources,
        latest_end: float,
        now: float,
    ) -> bool:
        """Returns whether a less urgent task may start on a server now.

        It may if it ends before the reserved tasks start, or fits beside them.

        Args:
            server: The server.
            demand: Demand of the task.
            latest_end: When the task ends at the latest, with the spread of
                the estimates of its queue.
            now: The current time.
        """
        reserved = self.tasks.get(server.id)
        if not reserved:
            return True
        start = min(task.start for task in reserved)
        if latest_end <= start:
            return True
        start = max(task.start for task in reserved)
        free = server.free
        for run in server.runs.values():
            if schedule.expected_end(run, now) <= start:
                free = free + run.demand
        reserved_demand = self.job.step.demand
        for _ in reserved:
            free = free - reserved_demand
        return demand.fits(free)


def new_reservation(
    tables: zonetables.ZoneTables, job: zonetables.Job, now: float
) -> Reservation:
    """Reserves the servers on which the tasks of a job would start soonest."""
    plan = new_plan(tables, job.queue.service, now)
    planned = plan.place(
        min(MAX_RESERVED_TASKS, len(job.waiting)),
        job.step.demand,
        job.step.label,
        job.estimate_s,
    )
    tasks = {}
    for task in planned:
        tasks.setdefault(task.server.id, []).append(task)
    return Reservation(job, tasks)


def latest_task_end(
    tables: zonetables.ZoneTables,
    job: zonetables.Job,
    server: zonetables.Server,
    now: float,
) -> float:
    """Returns when a task that starts on a server now ends at the latest.

    The spread of the estimates of its queue is added SPREAD_FACTOR times.
    """
    spread = tables.estimate_spread.get(
        job.queue.name, serverhealth.SPREAD_INITIAL
    )
    factor = 1 + SPREAD_FACTOR * spread
    return now + job.estimate_s * serverhealth.slowness(server, now) * factor


def find_earlier_end(
    tables: zonetables.ZoneTables,
    job: zonetables.Job,
    end: float,
    now: float,
) -> PlannedTask | None:
    """Returns the task of a job that ends first if it waits for a server.

    Returns None if none ends before the given time.
    """
    best = None
    demand = job.step.demand
    for server in tables.servers.values():
        duration_s = job.estimate_s * serverhealth.slowness(server, now)
        if now + duration_s >= end or not demand.fits(server.capacity):
            continue
        if server.service != job.queue.service or (
            job.step.label and job.step.label not in server.labels
        ):
            continue
        if not serverhealth.is_usable(server, now) or server.isolated_runs:
            continue
        free = server.free
        at = now
        ends = sorted(
            (schedule.expected_end(run, now), number, run.demand)
            for number, run in enumerate(server.runs.values())
        )
        for run_end, _, released in ends:
            if demand.fits(free) or run_end + duration_s >= end:
                break
            free = free + released
            at = run_end
        if demand.fits(free) and at + duration_s < end:
            end = at + duration_s
            best = PlannedTask(server, at, end)
    return best


def new_plan(tables: zonetables.ZoneTables, service: str, now: float) -> Plan:
    """Returns a plan of the servers of a service with what runs there."""
    holes = []
    releases = []
    numbers = itertools.count()
    capacity_cpu = 0
    for server in tables.servers.values():
        if server.service != service or not serverhealth.is_usable_soon(
            server, now
        ):
            continue
        capacity_cpu += server.capacity.cpu
        # A server with an isolated run takes other tasks after its end.
        free = server.free
        if server.isolated_runs:
            free = free - server.capacity
        at = server.avoid_until
        hole = _Hole(
            server,
            serverhealth.slowness(server, now),
            at if at > now else now,
            free.cpu,
            free.memory_mb,
            free.gpu,
        )
        holes.append(hole)
        for run in server.runs.values():
            end = schedule.expected_end(run, now)
            releases.append((end, next(numbers), hole, run.demand))
            if run.is_isolated:
                releases.append((end, next(numbers), hole, server.capacity))
    heapq.heapify(releases)
    return Plan(now, capacity_cpu, holes, releases, numbers)


def new_forecast(
    tables: zonetables.ZoneTables, job: zonetables.Job, now: float
) -> schedule.Forecast:
    """Forecasts a job behind all more urgent ones, by the sizes of tasks.

    Without waiting work and with free slots for the whole job it is the same
    as `schedule.new_forecast`, which costs less.
    """
    own_key = schedule.urgency_key(job, now)
    service = job.queue.service
    more_urgent = []
    has_waiting = False
    for other in tables.jobs.values():
        if not other.waiting or other is job:
            continue
        if other.queue.service != service:
            continue
        has_waiting = True
        key = schedule.urgency_key(other, now)
        if key <= own_key:  # of equal ones the earlier starts first
            more_urgent.append((key, other.arrived_at, other.id, other))
    if not has_waiting:
        forecast = schedule.new_forecast(tables, job, now)
        if forecast.free_slots >= len(job.waiting):
            return forecast
    plan = new_plan(tables, service, now)
    step = job.step
    free_slots = plan.count_free(step.demand, step.label)
    slots = max(
        free_slots,
        plan.capacity_cpu // step.demand.cpu if step.demand.cpu else 1,
    )
    more_urgent.sort()
    left = MAX_PLANNED_TASKS
    unplanned_core_s = 0.0
    for _, _, _, other in more_urgent:
        duration_s = schedule.expected_task_s(tables, other)
        demand = other.step.demand
        count = min(left, len(other.waiting))
        left -= count
        plan.place(count, demand, other.step.label, duration_s)
        if count < len(other.waiting):
            unplanned_core_s += (
                (len(other.waiting) - count) * duration_s * demand.cpu
            )
    delay_s = unplanned_core_s / max(1, plan.capacity_cpu)
    planned = plan.place(
        len(job.waiting), step.demand, step.label, job.estimate_s
    )
    if len(planned) < len(job.waiting):
        return schedule.Forecast(slots, free_slots, None)
    end = max((task.end for task in planned), default=now) + delay_s
    starts_now = not delay_s and all(task.start <= now for task in planned)
    return schedule.Forecast(slots, free_slots, end, starts_now)
