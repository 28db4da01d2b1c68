"""Simulates ideal scheduling, the reference for measured response times.

It has one central queue for all slots, no network delay and known run times.
"""

import heapq

import attrs


@attrs.frozen
class IdealJob:
    """A job with its submission time and recorded run times, in s."""

    number: int
    at: float
    run_s: tuple[float, ...]


def finish_times(jobs: list[IdealJob], slots: int) -> dict[int, float]:
    """Returns the finish time of each job, by job number.

    A free slot takes the longest task of the job with the least remaining
    work.
    """
    arrivals = sorted(jobs, key=lambda j: j.at)
    waiting: list[tuple[float, int, list[float]]] = []
    tasks_left = {j.number: len(j.run_s) for j in jobs}
    finished: dict[int, float] = {}
    running: list[tuple[float, int]] = []
    index = 0
    now = 0.0
    while index < len(arrivals) or waiting or running:
        while waiting and len(running) < slots:
            work_s, number, tasks = heapq.heappop(waiting)
            run_s = tasks.pop()
            heapq.heappush(running, (now + run_s, number))
            if tasks:
                heapq.heappush(waiting, (work_s - run_s, number, tasks))
        next_end = running[0][0] if running else float("inf")
        next_arrival = (
            arrivals[index].at if index < len(arrivals) else float("inf")
        )
        now = min(next_end, next_arrival)
        while running and running[0][0] <= now:
            _, number = heapq.heappop(running)
            tasks_left[number] -= 1
            if tasks_left[number] == 0:
                finished[number] = now
        while index < len(arrivals) and arrivals[index].at <= now:
            job = arrivals[index]
            heapq.heappush(
                waiting, (sum(job.run_s), job.number, sorted(job.run_s))
            )
            index += 1
    return finished
