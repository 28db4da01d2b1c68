"""Compares the cost of a task start to that of a bare httpcore loop."""

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
MEASURED_JOBS = 30
WARM_UP_JOBS = 5
BARE_REQUESTS = 2000
SINGLE_TASKS = 300
CONCURRENCY = 8
RUN_MS = 1
EXTRA_SETTINGS = {"log": {"decisions": "yes"}}


@attrs.frozen
class StartCost:
    """Costs of a task start in CPU time and latency.

    Attributes:
        entry_cpu_ms: CPU time of the entry per task of a job of 100.
        bare_cpu_ms: CPU time of the bare loop per request.
        ratio: `entry_cpu_ms` divided by `bare_cpu_ms`.
        lone_task_ms_p50: Median latency of a single task through the entry.
        direct_ms_p50: Median latency of a single task sent to the backend
            server directly.
        lone_task_added_ms_p50: Difference of these medians.
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
    """Runs an entry and a backend server and measures the costs."""
    layout = layout_lib.new_layout(["a"], [1], [1])
    text = (local_lib.EXAMPLES_DIR / "baekdu.ini").read_text()
    async with processes.running(
        layout, {"baekdu": text}, EXTRA_SETTINGS
    ) as installation:
        backend = "http://" + layout_lib.format_address(
            layout.backends[0].address
        )
        entry = "http://" + layout_lib.format_address(layout.entries[0].caller)
        bare_ms = await _bare_loop_cpu_ms(backend)
        entry_ms = await _entry_cpu_ms(
            entry, installation.pid(layout.entries[0].name)
        )
        lone_ms = await _single_task_ms(f"{entry}/v1/tasks/gate-check")
        direct_ms = await _single_task_ms(f"{backend}/run/gate-check")
    return StartCost(
        round(entry_ms, 3),
        round(bare_ms, 3),
        round(entry_ms / bare_ms, 3),
        round(lone_ms, 3),
        round(direct_ms, 3),
        round(lone_ms - direct_ms, 3),
    )


def _payload() -> bytes:
    """Returns the JSON payload of one task of RUN_MS."""
    return msgspec.json.encode({"run_ms": RUN_MS, "mark": "x" * 100})


async def _bare_loop_cpu_ms(backend: str) -> float:
    """Returns the CPU time per request of a plain httpcore loop, in ms."""
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
                raise RuntimeError(f"backend server answered {response.status}")

    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        before = time.process_time()
        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENCY):
                nursery.start_soon(worker, pool)
        spent_s = time.process_time() - before
    return 1000 * spent_s / BARE_REQUESTS


async def _entry_cpu_ms(entry: str, pid: int) -> float:
    """Returns the CPU time of the entry per task of jobs of 100, in ms."""
    task = {"payload": msgspec.Raw(_payload())}
    body = msgspec.json.encode(
        {"kind": "gate-check", "tasks": [task] * TASKS_PER_JOB}
    )
    headers = {"Authorization": f"Bearer {TOKEN}", "Deadline-Ms": "30000"}
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        before = 0.0
        for number in range(WARM_UP_JOBS + MEASURED_JOBS):
            if number == WARM_UP_JOBS:
                before = cpu_s(pid)
            response = await pool.request(
                "POST", entry + "/v1/jobs", headers=headers, content=body
            )
            if response.status != 200:
                raise RuntimeError(f"entry answered {response.content!r}")
    return 1000 * (cpu_s(pid) - before) / (MEASURED_JOBS * TASKS_PER_JOB)


async def _single_task_ms(url: str) -> float:
    """Returns the median latency of single requests, in ms."""
    times = []
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        for number in range(SINGLE_TASKS):
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
                raise RuntimeError(f"{url} answered {response.content!r}")
    return 1000 * statistics.median(times)
