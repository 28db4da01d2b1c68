"""What one task start costs an entry, beside a bare httpcore loop."""

import os
import pathlib
import statistics
import time

import attrs
import httpcore
import msgspec
import trio

from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib
from acacialine.tools import processes

TOKEN = "baekdu-demo-token"
TASKS_PER_JOB = 100
JOBS = 30
WARM_UP_JOBS = 5
BARE_REQUESTS = 2000
LONE_TASKS = 300
CONCURRENCY = 8
RUN_MS = 1
EXTRA = {"log": {"decisions": "yes"}}


@attrs.frozen
class StartCost:
    """Figures of one run.

    Attributes:
        entry_cpu_ms: CPU time of the entry per task of a job of 100.
        bare_cpu_ms: CPU time of the bare loop per request.
        ratio: The first divided by the second.
        lone_task_added_ms_p50: Median latency added to a lone task.
    """

    entry_cpu_ms: float
    bare_cpu_ms: float
    ratio: float
    lone_task_ms_p50: float
    direct_ms_p50: float
    lone_task_added_ms_p50: float


def cpu_s(pid: int) -> float:
    """Returns the CPU time a process has used, in s."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def measure() -> StartCost:
    """Runs the comparison once."""
    layout = layout_lib.new_layout(["a"], [1], [1])
    text = (local_lib.EXAMPLES / "baekdu.ini").read_text()
    async with processes.running(
        layout, {"baekdu": text}, EXTRA
    ) as installation:
        backend = "http://" + layout_lib.text_of(layout.backends[0].address)
        entry = "http://" + layout_lib.text_of(layout.entries[0].caller)
        bare_ms = await _bare_loop(backend)
        entry_ms = await _jobs(entry, installation.pid(layout.entries[0].name))
        lone_ms = await _lone(f"{entry}/v1/tasks/gate-check")
        direct_ms = await _lone(f"{backend}/run/gate-check")
    return StartCost(
        round(entry_ms, 3),
        round(bare_ms, 3),
        round(entry_ms / bare_ms, 3),
        round(lone_ms, 3),
        round(direct_ms, 3),
        round(lone_ms - direct_ms, 3),
    )


def _payload() -> bytes:
    return msgspec.json.encode({"run_ms": RUN_MS, "mark": "x" * 100})


async def _bare_loop(backend: str) -> float:
    """Returns the CPU ms per request of a plain httpcore loop."""
    numbers = iter(range(BARE_REQUESTS))

    async def worker(pool) -> None:
        for number in numbers:
            headers = {
                "Content-Type": "application/json",
                "Task-Id": f"bare-{number}",
                "Lease-Ms": "10000",
                "Deadline-Ms": "10000",
            }
            response = await pool.request(
                "POST",
                backend + "/run/bare",
                headers=headers,
                content=_payload(),
            )
            if response.status != 200:
                raise RuntimeError(f"backend answered {response.status}")

    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        before = time.process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(worker, pool)
        spent_s = time.process_time() - before
    return 1000 * spent_s / BARE_REQUESTS


async def _jobs(entry: str, pid: int) -> float:
    """Returns the CPU ms of the entry per task of jobs of 100."""
    task = {"payload": msgspec.Raw(_payload())}
    body = msgspec.json.encode(
        {"kind": "gate-check", "tasks": [task] * TASKS_PER_JOB}
    )
    headers = {"Authorization": f"Bearer {TOKEN}", "Deadline-Ms": "30000"}
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        before = 0.0
        for number in range(WARM_UP_JOBS + JOBS):
            if number == WARM_UP_JOBS:
                before = cpu_s(pid)
            response = await pool.request(
                "POST", entry + "/v1/jobs", headers=headers, content=body
            )
            if response.status != 200:
                raise RuntimeError(f"entry answered {response.content!r}")
    return 1000 * (cpu_s(pid) - before) / (JOBS * TASKS_PER_JOB)


async def _lone(url: str) -> float:
    """Returns the median latency of single requests, in ms."""
    times = []
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        for number in range(LONE_TASKS):
            headers = {
                "Authorization": f"Bearer {TOKEN}",
                "Content-Type": "application/json",
                "Task-Id": f"lone-{number}",
            }
            before = time.perf_counter()
            response = await pool.request(
                "POST", url, headers=headers, content=_payload()
            )
            times.append(time.perf_counter() - before)
            if response.status != 200:
                raise RuntimeError(f"answered {response.content!r}")
    return 1000 * statistics.median(times)
