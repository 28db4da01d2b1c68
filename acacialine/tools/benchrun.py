"""Runs a seeded workload over an installation of real processes."""

import collections
import collections.abc
import random
import re

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine.tools import backend as backend_tool
from acacialine.tools import checker
from acacialine.tools import faultplan
from acacialine.tools import ideal
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib
from acacialine.tools import processes
from acacialine.tools import report as report_lib
from acacialine.tools import startcost
from acacialine.tools import workload

ENTRIES_PER_ZONE = 2
BACKENDS_PER_ZONE = 8
ZONE_DELAY_S = 0.0014
CLIENT_DELAY_S = 0.001
SETTLE_S = 1.0
GRACE_S = 2.0  # after a job's deadline, for an answer that is late
LONG_SHARE = 0.05


@attrs.frozen
class Plan:
    """What one command line asks for."""

    deployment: str
    scenario: str
    policies: tuple[str, ...]
    seconds: float
    seed: int
    proxied: bool = False


@attrs.define
class Sent:
    """What became of one job, as its caller saw it.

    Attributes:
        at: When it should have been sent, by the clock.
        answered_at: When its answer was whole; 0 if it never came.
    """

    plan: workload.JobPlan
    submission_id: str
    at: float
    entry: str
    answered_at: float = 0.0
    outcome: str = "none"
    code: str = ""
    marks: list[str] | None = None


@attrs.define(eq=False)
class Loader:
    """Sends jobs at their times, whatever the answers do."""

    installation: processes.Installation
    deployment: workload.Deployment
    sent: list[Sent] = attrs.field(factory=list)
    prefixes: dict[str, str] = attrs.field(factory=dict)
    _pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)

    async def open(self) -> None:
        """Learns each entry's prefix."""
        for name, address in self.installation.client_addresses().items():
            pool = httpcore.AsyncConnectionPool(
                max_connections=None, keepalive_expiry=5.0, retries=0
            )
            self._pools[name] = pool
            url = f"http://{layout_lib.text_of(address)}/v1/coordinator"
            response = await pool.request("GET", url)
            content = msgspec.json.decode(response.content)
            self.prefixes[name] = content["prefix"]

    async def aclose(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def run(self, jobs: list[workload.JobPlan], tag: str) -> None:
        """Sends all jobs, open loop, and waits for their answers."""
        names = sorted(self._pools)
        begin = clock.now()
        async with trio.open_nursery() as nursery:
            for job in jobs:
                wait_s = begin + job.at - clock.now()
                if wait_s > 0:
                    await trio.sleep(wait_s)
                name = names[job.entry % len(names)]
                if name not in self.installation.processes:
                    alive = [
                        n for n in names if n in self.installation.processes
                    ]
                    name = alive[job.entry % len(alive)]
                text = f"{self.prefixes[name]}/{tag}-{job.number}"
                sent = Sent(job, text, begin + job.at, name)
                self.sent.append(sent)
                nursery.start_soon(self._one, sent)

    async def _one(self, sent: Sent) -> None:
        body = _body_of(sent)
        token = next(
            t.token for t in self.deployment.teams if t.name == sent.plan.team
        )
        headers = {
            "Authorization": f"Bearer {token}",
            "Submission-Id": sent.submission_id,
            "Deadline-Ms": str(round(sent.plan.deadline_s * 1000)),
        }
        address = self.installation.client_addresses()[sent.entry]
        url = f"http://{layout_lib.text_of(address)}/v1/jobs"
        with trio.move_on_after(sent.plan.deadline_s + GRACE_S):
            try:
                response = await self._pools[sent.entry].request(
                    "POST", url, headers=headers, content=body
                )
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ):
                return
            if _is_gone(response):
                # The first copy went nowhere: it may go under the new prefix.
                self._renew(sent, response)
                headers["Submission-Id"] = sent.submission_id
                try:
                    response = await self._pools[sent.entry].request(
                        "POST", url, headers=headers, content=body
                    )
                except (
                    httpcore.NetworkError,
                    httpcore.ProtocolError,
                    httpcore.TimeoutException,
                ):
                    return
            sent.answered_at = clock.now()
            _read_answer(sent, response.content)

    def _renew(self, sent: Sent, response: httpcore.Response) -> None:
        """Takes the prefix of the entry that answered."""
        answer = msgspec.json.decode(response.content)
        self.prefixes[sent.entry] = answer["prefix"]
        key = sent.submission_id.partition("/")[2]
        sent.submission_id = f"{answer['prefix']}/{key}"


def _is_gone(response: httpcore.Response) -> bool:
    if response.status != 503:
        return False
    answer = msgspec.json.decode(response.content)
    return answer.get("code") == "coordinator_gone"


def _body_of(sent: Sent) -> bytes:
    plan = sent.plan
    mark = f"m{plan.number}"
    tasks = [
        {"payload": {"run_ms": run, "mark": mark}, "declared_ms": declared}
        for run, declared in zip(plan.run_ms, plan.declared_ms, strict=True)
    ]
    return msgspec.json.encode({"kind": plan.kind, "tasks": tasks})


def _read_answer(sent: Sent, content: bytes) -> None:
    answer = msgspec.json.decode(content)
    sent.outcome = answer.get("outcome", "none")
    sent.code = answer.get("code", "")
    if sent.outcome == "complete":
        sent.marks = [r["result"]["mark"] for r in answer["results"]]


@attrs.define
class Measured:
    """Everything recorded of one run of one policy."""

    sent: list[Sent]
    journal: list[backend_tool.JournalEntry]
    counters: collections.Counter
    cpu_s: float
    begin: float
    leavings: list[checker.Leaving]
    offsets: list[checker.OffsetReading]
    touched: set[str]


async def _documents(deployment: workload.Deployment) -> dict[str, str]:
    result = {}
    for team in deployment.teams:
        text = (local_lib.EXAMPLES / team.example).read_text()
        for key, value in team.service.items():
            text = re.sub(
                rf"^{key} = .*$", f"{key} = {value}", text, flags=re.M
            )
        result[team.name] = text
    return result


async def run_once(
    plan: Plan, policy: str, jobs: list[workload.JobPlan]
) -> Measured:
    """Runs the jobs under one policy on a fresh installation."""
    deployment = workload.DEPLOYMENTS[plan.deployment]
    zones = list(deployment.zones)
    layout = layout_lib.new_layout(
        zones,
        [ENTRIES_PER_ZONE] * len(zones),
        [BACKENDS_PER_ZONE] * len(zones),
    )
    extra = {"placement": {"policy": policy}, "log": {"decisions": "yes"}}
    async with processes.running(
        layout,
        await _documents(deployment),
        extra,
        zone_delay_s=ZONE_DELAY_S,
        client_delay_s=CLIENT_DELAY_S,
        inject_faults=plan.scenario == "faults",
    ) as installation:
        loader = Loader(installation, deployment)
        await loader.open()
        await loader.run(_warm_up(deployment, plan.seed), "warm")
        await trio.sleep(SETTLE_S)
        loader.sent.clear()
        before_cpu = _cpu(installation)
        before = await _counters(installation)
        begin = clock.now()
        faults = faultplan.FaultPlan(installation, plan.seed, plan.seconds)
        async with trio.open_nursery() as nursery:
            if plan.scenario == "faults":
                nursery.start_soon(faults.run)
            await loader.run(jobs, "job")
        counters = await _counters(installation)
        counters.subtract(before)
        spent_s = _cpu(installation) - before_cpu
        await loader.aclose()
        journal = [
            e
            for e in checker.read_journals(installation.journals())
            if "/job-" in e.task
        ]
    return Measured(
        loader.sent,
        journal,
        counters,
        spent_s,
        begin,
        faults.leavings,
        faults.offsets,
        faults.touched,
    )


def _warm_up(
    deployment: workload.Deployment, seed: int
) -> list[workload.JobPlan]:
    """Returns a little load with which connections and estimates begin."""
    phases = [workload.Phase(3.0, 0.3, 0.3)]
    return workload.generate(deployment, phases, seed + 1000)


def _cpu(installation: processes.Installation) -> float:
    names = [
        e.name
        for e in installation.layout.entries
        if e.name in installation.processes
    ]
    return sum(startcost.cpu_s(installation.pid(name)) for name in names)


async def _counters(
    installation: processes.Installation,
) -> collections.Counter:
    total: collections.Counter = collections.Counter()
    for entry in installation.layout.entries:
        if entry.name in installation.processes:
            status = await installation.status(entry)
            if status:
                total.update(status.counters)
    return total


def _ideal_finish(measured: Measured) -> dict[int, float]:
    """Returns the ideal finish of each complete job, by its number."""
    started: dict[str, float] = {}
    run_s: dict[str, list[float]] = collections.defaultdict(list)
    for entry in measured.journal:
        if entry.event == "start":
            started[entry.task] = entry.at
        elif entry.event == "end" and entry.task in started:
            text = entry.task.rpartition("#")[0]
            run_s[text].append(entry.at - started[entry.task])
    jobs = [
        ideal.IdealJob(s.plan.number, s.at, tuple(run_s[s.submission_id]))
        for s in measured.sent
        if s.outcome == "complete" and run_s[s.submission_id]
    ]
    return ideal.finish_times(jobs, workload.SLOTS)


async def run(
    plan: Plan, progress: collections.abc.Callable[[str], None]
) -> report_lib.Report:
    """Runs every policy on the same jobs and reports."""
    deployment = workload.DEPLOYMENTS[plan.deployment]
    phases = workload.phases_of(plan.scenario, plan.seconds)
    policies = {}
    runs = {}
    for policy in plan.policies:
        jobs = workload.generate(deployment, phases, plan.seed)
        progress(f"{policy}: {len(jobs)} jobs over {plan.seconds:g} s")
        measured = await run_once(plan, policy, jobs)
        shown = {k: v for k, v in sorted(measured.counters.items()) if v}
        progress(f"{policy}: counters {shown}")
        figures = report_lib.figures(
            measured, _ideal_finish(measured), phases, 2 * CLIENT_DELAY_S
        )
        if plan.scenario == "long-work":
            mixed = workload.generate(deployment, phases, plan.seed, LONG_SHARE)
            progress(f"{policy}: the same with long work")
            longer = await run_once(plan, policy, mixed)
            figures.hol_ratio_p99 = report_lib.short_ratio(longer, measured)
        policies[policy] = figures
        runs[policy] = measured
    return report_lib.Report(policies, runs, phases)


def shuffled(names: list[str], seed: int) -> list[str]:
    """Returns names in a seeded random order."""
    result = sorted(names)
    random.Random(seed).shuffle(result)
    return result
