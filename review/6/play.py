"""A zone is cut off while a worker carries out stops late and unanswered."""

import asyncio
import os
import pathlib
import sys

CASE_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE_DIR.parent / "standins-2"))
import standin  # noqa: E402

ROUNDS = 3
CUT_S = 5.5  # zone_cut of the site file: 5.5 to 6.5
LATE_S = 3.0  # applied_late: 2 to 12
DEADLINE_MS = 1500
RESEND_S = 1.3  # retransmitMs
CPU = 6800
OTHER_S = 6.0  # of another job on the same worker
JOB_S = 5.0  # 0.76 s times the tail of the site file, 7
ORDINARY_S = 0.05
ORDINARY_CPU = 500
ORDINARY_INTERVAL_S = 0.025
MAX_SHARE = 0.055  # of the orders left unanswered: applied_late of the site file
# `TROUBLE=cut` and `TROUBLE=late` play one of the two alone.
TROUBLE = os.environ.get("TROUBLE", "1")


def find_overlaps(workers):
    """Returns the runs of one task that were at work at the same time."""
    runs = {}
    for worker in workers:
        ends = {(task, run): at for at, task, run, _ in worker.ends}
        for at, task, run in worker.starts:
            end = ends.get((task, run), float("inf"))
            runs.setdefault(task, []).append((at, end, worker.id, run))
    overlaps = []
    for task, times in runs.items():
        times.sort()
        for (_, end, first, run), (at, end_2, second, run_2) in zip(
            times, times[1:]
        ):
            if at < end:
                overlaps.append(
                    f"TWICE: {task}: run {run} on {first} and run {run_2} on"
                    f" {second} for {min(end, end_2) - at:.2f} s"
                )
    return overlaps


def count_orders(cluster):
    """Returns how many orders the workers got, and left unanswered."""
    return (
        sum(worker.orders for worker in cluster.workers),
        sum(worker.unanswered for worker in cluster.workers),
    )


async def send_job(cluster, entries):
    """Sends a job; after a 504 or no answer again, to the next dispatcher."""
    job_id = standin.new_job_id()
    for dispatcher in entries:
        status, _, _ = await cluster.submit(
            dispatcher,
            job_id,
            JOB_S,
            DEADLINE_MS,
            label="client",
            cpu=CPU,
            estimateMs=760,
        )
        if status not in (0, -1, -2, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def send_ordinary_jobs(cluster):
    """Sends small jobs in both zones, so that orders are given all the time."""
    while True:
        for dispatcher in cluster.dispatchers:
            task = cluster.submit(
                dispatcher,
                standin.new_job_id(),
                ORDINARY_S,
                DEADLINE_MS,
                cpu=ORDINARY_CPU,
            )
            asyncio.create_task(task)
            await asyncio.sleep(ORDINARY_INTERVAL_S)


async def play(cluster):
    """Plays the series of events a few times."""
    cluster.use_proxies()
    await cluster.start(
        ["a", "a", "b", "b"], [("a", {}), ("b", {})], targetLatencyMs=3000
    )
    worker = cluster.workers[0]
    traffic = asyncio.create_task(send_ordinary_jobs(cluster))
    for _ in range(ROUNDS):
        orders, unanswered = count_orders(cluster)
        if TROUBLE in ("1", "cut"):
            cluster.cut_zones()
        if TROUBLE in ("1", "late"):
            worker.late_s = lambda path: LATE_S * path.endswith("/run-stop")
        other = asyncio.create_task(
            cluster.submit(
                cluster.dispatchers[1],
                standin.new_job_id(),
                OTHER_S,
                10000,
                label="other client",
                cpu=CPU,
            )
        )
        await asyncio.sleep(0.3)
        job = asyncio.create_task(
            send_job(cluster, [cluster.dispatchers[0], cluster.dispatchers[2]])
        )
        await asyncio.sleep(CUT_S - 0.3)
        worker.late_s = None
        cluster.heal_zones()
        orders_now, unanswered_now = count_orders(cluster)
        share = (unanswered_now - unanswered) / (orders_now - orders)
        cluster.record(f"share of orders left unanswered: {share:.3f}")
        if share > MAX_SHARE:
            raise standin.CannotRunError(f"share of late orders is {share}")
        await other
        await job
        await asyncio.sleep(6.0)
    traffic.cancel()
    return find_overlaps(cluster.workers)


standin.main(CASE_DIR, play)
