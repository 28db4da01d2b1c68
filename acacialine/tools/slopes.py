"""Measures how the cost of an entry grows with an installation and its load."""

import collections.abc
import pathlib
import re
import statistics

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import documents
from acacialine import platforms
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib
from acacialine.tools import processes
from acacialine.tools import startcost

MEASURE_S = 5.0
SETTLE_S = 3.0
ZONES = ("a", "b", "c")
TOKEN = "baekdu-demo-token"


@attrs.frozen
class Point:
    """The cost of one entry at one value of a variable.

    Attributes:
        cpu_percent: CPU use, in percent of one core.
        memory_mb: Resident memory.
        control_kb_s: Control messages sent, in KB/s.
    """

    variable: str
    value: float
    cpu_percent: float
    memory_mb: float
    control_kb_s: float


@attrs.frozen
class Fit:
    """A line fitted to one measure of the points of one variable.

    Attributes:
        measure: Name of the `Point` field.
        error: Standard deviation of the residuals.
    """

    variable: str
    measure: str
    intercept: float
    slope: float
    error: float


@attrs.frozen
class Slopes:
    """All points and the lines fitted to them."""

    points: list[Point]
    fits: list[Fit]


def fit(points: list[Point], variable: str, measure: str) -> Fit:
    """Fits a line by least squares."""
    varied_points = [p for p in points if p.variable == variable]
    xs = [p.value for p in varied_points]
    ys = [getattr(p, measure) for p in varied_points]
    line = statistics.linear_regression(xs, ys)
    residuals = [
        y - line.intercept - line.slope * x for x, y in zip(xs, ys, strict=True)
    ]
    return Fit(
        variable,
        measure,
        round(line.intercept, 4),
        round(line.slope, 6),
        round(statistics.pstdev(residuals), 4),
    )


def _memory_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1024


def _team_document(number: int) -> str:
    digest = documents.token_digest(f"token-{number}")
    return (
        f"[service]\nteam = team-{number}\nquota_starts = 1000\n"
        f"[tokens]\none = {digest}\n[kind work]\ndeclared_ms = 100\n"
    )


async def _measure(
    variable: str,
    value: float,
    *,
    entries: int = 2,
    zones: int = 1,
    backends: int = 2,
    teams: int = 0,
    rate: float = 0.0,
) -> Point:
    """Runs an installation and measures the cost of its first entry.

    Args:
        variable: Name of the quantity that is varied.
        value: Its value, for the returned point.
        entries: Entries per zone.
        zones: Number of zones.
        backends: Listed backend servers, if there is one zone; only 2 run.
        teams: Teams in addition to the one that submits jobs.
        rate: Task starts per second.
    """
    layout = layout_lib.new_layout(
        list(ZONES[:zones]), [entries] * zones, [2] * zones
    )
    texts = {
        "baekdu": (local_lib.EXAMPLES_DIR / "baekdu.ini").read_text(),
        **{f"team-{n}": _team_document(n) for n in range(teams)},
    }
    async with processes.running(
        layout, texts, {}, inject_faults=False
    ) as installation:
        for number in range(2, backends):
            await installation.platform_request(
                "PUT", "/control/vms", _idle_vm(number)
            )
        await trio.sleep(SETTLE_S)
        first = layout.entries[0]
        pid = installation.pid(first.name)
        async with trio.open_nursery() as nursery:
            if rate:
                nursery.start_soon(
                    _generate_load, installation, first.name, rate
                )
            await trio.sleep(1.0)
            used_cpu_s = startcost.cpu_s(pid)
            sent_bytes = await _control_bytes(installation, first)
            begin_at = clock.now()
            await trio.sleep(MEASURE_S)
            spent_s = clock.now() - begin_at
            used_cpu_s = startcost.cpu_s(pid) - used_cpu_s
            sent_bytes = await _control_bytes(installation, first) - sent_bytes
            nursery.cancel_scope.cancel()
        return Point(
            variable,
            value,
            round(100 * used_cpu_s / spent_s, 3),
            round(_memory_mb(pid), 2),
            round(sent_bytes / 1000 / spent_s, 3),
        )


def _idle_vm(number: int) -> platforms.Vm:
    """Returns a VM list entry of a backend server that does not run."""
    zone = f"far-{number % 11}"
    return platforms.Vm(f"idle-{number}", "backend", "127.0.0.1:9", zone)


async def _control_bytes(installation, plan) -> int:
    status = await installation.status(plan)
    return status.counters.get("control_bytes", 0) if status else 0


async def _generate_load(installation, name: str, rate: float) -> None:
    """Submits jobs of 10 tasks at a fixed rate of tasks per second.

    It doesn't wait for earlier jobs to end.
    """
    address = layout_lib.format_address(installation.client_addresses()[name])
    tasks = [{"payload": {"run_ms": 20}}] * 10
    body = msgspec.json.encode({"kind": "gate-check", "tasks": tasks})
    headers = {"Authorization": f"Bearer {TOKEN}"}

    async def submit(pool) -> None:
        await pool.request(
            "POST", f"http://{address}/v1/jobs", headers=headers, content=body
        )

    async with (
        httpcore.AsyncConnectionPool(retries=0) as pool,
        trio.open_nursery() as nursery,
    ):
        while True:
            nursery.start_soon(submit, pool)
            await trio.sleep(10 / rate)


async def measure(
    progress: collections.abc.Callable[[str], None],
) -> Slopes:
    """Measures while varying one quantity at a time, and fits lines."""
    variations: list[tuple[str, float, dict]] = []
    for count in (2, 4, 6):
        variations.append(("zone_entries", count, {"entries": count}))
    for zones in (1, 2, 3):
        variations.append(("zones", zones, {"zones": zones}))
    for count in (2, 290, 870):
        variations.append(("backends", count, {"backends": count}))
    for count in (0, 13, 26):
        variations.append(("teams", count, {"teams": count}))
    for rate in (40, 80, 160):
        variations.append(("starts_per_s", rate, {"rate": rate}))
    points = []
    for variable, value, changes in variations:
        point = await _measure(variable, value, **changes)
        progress(f"{point}")
        points.append(point)
    fits = [
        fit(points, variable, measure_name)
        for variable in dict.fromkeys(s[0] for s in variations)
        for measure_name in ("cpu_percent", "memory_mb", "control_kb_s")
    ]
    return Slopes(points, fits)
