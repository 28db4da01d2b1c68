"""A dispatcher is stopped with SIGTERM while a job that it took waits for room."""

import asyncio
import pathlib
import signal
import sys

CASE_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE_DIR.parent / "standins-2"))
import standin  # noqa: E402

JOB_S = 3.2
DEADLINE_MS = 20000
JOBS = 3
STOP_AFTER_S = 0.5


async def play(cluster):
    """Sends three jobs that fit one after the other, then stops the dispatcher."""
    await cluster.start(
        ["a", "a"],
        [("a", {"cpu": 8000})],
        stretch=4.0,
        targetLatencyMs=2000,
    )
    front = cluster.dispatchers[0]
    record = cluster.record
    jobs = {}
    sent_at = {}
    for number in range(JOBS):
        job_id = standin.new_job_id()
        sent_at[job_id] = record.now()
        jobs[job_id] = asyncio.create_task(
            cluster.submit(
                front, job_id, JOB_S, DEADLINE_MS, label=f"job {number}"
            )
        )
        await asyncio.sleep(0.1)
    await asyncio.sleep(STOP_AFTER_S)
    term_at = record.now()
    if standin.TROUBLE:
        front.signal(signal.SIGTERM)
    results = {}
    cut_at = {}
    for job_id, task in jobs.items():
        results[job_id], _, _ = await task
        cut_at[job_id] = record.now()
    violations = []
    worker = cluster.workers[0]
    for job_id, status in results.items():
        if status != 0:
            continue
        started = [t for t, task, _ in worker.starts if task.startswith(job_id)]
        is_at_work = any(t < term_at + standin.GRACE_S for t in started)
        if is_at_work:
            record(f"{job_id}: cut while its worker was at work: excused")
            continue
        violations.append(
            f"LOST: {job_id} was sent {term_at - sent_at[job_id]:.1f} s before"
            " SIGTERM, no task of it had started, and its connection ended"
            " without an answer"
        )
    return violations


standin.main(CASE_DIR, play)
