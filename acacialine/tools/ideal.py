"""The ideal: a clairvoyant central queue over all slots."""

import heapq

import attrs


@attrs.frozen
class IdealJob:
    """A job with its recorded run times, in s."""

    number: int
    at: float
    run_s: tuple[float, ...]


def finish_times(jobs: list[IdealJob], slots: int) -> dict[int, float]:
    """Returns when each job would finish, by its number.

    A free slot takes the longest task of the job with the least remaining
    work; nothing waits for a message, and every run time is known.
    """
    arrivals = sorted(jobs, key=lambda j: j.at)
    waiting: list[tuple[float, int, list[float]]] = []
    left = {j.number: len(j.run_s) for j in jobs}
    finished: dict[int, float] = {}
    running: list[tuple[float, int]] = []
    index = 0
    now = 0.0
    while index < len(arrivals) or waiting or running:
        while waiting and len(running) < slots:
            work, number, tasks = heapq.heappop(waiting)
            run_s = tasks.pop()
            heapq.heappush(running, (now + run_s, number))
            if tasks:
                heapq.heappush(waiting, (work - run_s, number, tasks))
        next_end = running[0][0] if running else float("inf")
        next_at = arrivals[index].at if index < len(arrivals) else float("inf")
        now = min(next_end, next_at)
        while running and running[0][0] <= now:
            _, number = heapq.heappop(running)
            left[number] -= 1
            if left[number] == 0:
                finished[number] = now
        while index < len(arrivals) and arrivals[index].at <= now:
            job = arrivals[index]
            heapq.heappush(
                waiting, (sum(job.run_s), job.number, sorted(job.run_s))
            )
            index += 1
    return finished
