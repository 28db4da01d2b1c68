"""Measures the CPU time of a placer per start, under loads of two sizes.

A zone of two dispatcher processes on loopback: jobs go to the one that is not
the placer, so the placer gets them over its link. The slope between the two
loads is the cost of a start, without what the placer spends while idle.
"""

import math
import pathlib
import random
import tempfile

import attrs
import trio

from acacialine import clock
from acacialine.tools import startcost
from acacialine.tools import zonecluster

TASKS_PER_JOB = 4
TASK_S = 0.1
SETTLE_S = 2.0
SEED = 1


@attrs.frozen
class PlacerCost:
    """CPU time of a placer and of another dispatcher of its zone.

    Attributes:
        servers: Number of backend servers.
        idle_ms_per_s: CPU time of the placer without jobs, in ms a second.
        other_idle_ms_per_s: The same of the other dispatcher.
        ms_per_start: Slope of the placer's CPU time over the starts, in ms.
        other_ms_per_job: The same of the other dispatcher over the jobs.
        starts_per_s: Starts a second under the larger load.
        polls_per_start: Polls of backend servers per start under that load.
    """

    servers: int
    idle_ms_per_s: float
    other_idle_ms_per_s: float
    ms_per_start: float
    other_ms_per_job: float
    starts_per_s: float
    polls_per_start: float


@attrs.frozen
class _Sample:
    """What was spent and done in an interval; CPU times in s."""

    placer_s: float
    other_s: float
    starts: int
    polls: int


async def measure(
    servers: int, starts_per_s: tuple[float, float], seconds: float
) -> PlacerCost:
    """Runs the zone idle and under both loads."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            cluster = zonecluster.Cluster(nursery, pathlib.Path(folder))
            try:
                await cluster.start(
                    ["a"] * servers, {"a1": "a", "a2": "a"}, proxied=False
                )
                await trio.sleep(SETTLE_S)
                idle, low, high = [
                    await _sample(cluster, rate, seconds)
                    for rate in (0.0, *starts_per_s)
                ]
            finally:
                cluster.close()
                nursery.cancel_scope.cancel()
    starts = high.starts - low.starts
    jobs = starts / TASKS_PER_JOB
    return PlacerCost(
        servers,
        round(1000 * idle.placer_s / seconds, 2),
        round(1000 * idle.other_s / seconds, 2),
        round(1000 * (high.placer_s - low.placer_s) / starts, 3),
        round(1000 * (high.other_s - low.other_s) / jobs, 3),
        round(high.starts / seconds, 1),
        round(high.polls / high.starts, 2),
    )


async def _sample(
    cluster: zonecluster.Cluster, starts_per_s: float, seconds: float
) -> _Sample:
    placer = cluster.find_placer("a")
    (other,) = set(cluster.dispatchers) - {placer}
    before = _read(cluster, placer, other)
    async with trio.open_nursery() as nursery:
        if starts_per_s:
            nursery.start_soon(
                _send_load, cluster, other, starts_per_s, seconds
            )
        await trio.sleep(seconds)
    after = _read(cluster, placer, other)
    return _Sample(
        *(
            y - x
            for x, y in zip(
                attrs.astuple(before), attrs.astuple(after), strict=True
            )
        )
    )


def _read(cluster: zonecluster.Cluster, placer: str, other: str) -> _Sample:
    return _Sample(
        startcost.cpu_s(cluster.processes[placer].pid),
        startcost.cpu_s(cluster.processes[other].pid),
        sum(len(s.start_times) for s in cluster.servers),
        sum(s.polls for s in cluster.servers),
    )


async def _send_load(
    cluster: zonecluster.Cluster,
    dispatcher: str,
    starts_per_s: float,
    seconds: float,
) -> None:
    rng = random.Random(SEED)
    jobs_per_s = starts_per_s / TASKS_PER_JOB
    next_at = clock.now()
    end = next_at + seconds
    async with trio.open_nursery() as nursery:
        while next_at < end:
            await trio.sleep(max(0.0, next_at - clock.now()))
            next_at += -math.log(1 - rng.random()) / jobs_per_s
            job_id = f"{rng.getrandbits(64):016x}"
            nursery.start_soon(
                cluster.submit, dispatcher, job_id, TASKS_PER_JOB, TASK_S
            )
