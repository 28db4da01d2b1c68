"""Runs a seeded workload on an installation of real processes."""

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
WARM_UP_PAUSE_S = 1.0
LATE_ANSWER_WAIT_S = 2.0  # how long clients wait after a job's deadline
LONG_JOB_SHARE = 0.05


@attrs.frozen
class Options:
    """Options of one benchmark command.

    Attributes:
        policies: Placement policies that are compared.
        seconds: Duration of the workload of each run.
    """

    deployment: str
    scenario: str
    policies: tuple[str, ...]
    seconds: float
    seed: int
    proxied: bool = False


@attrs.define
class SentJob:
    """One submitted job and its answer, as the client saw them.

    Attributes:
        at: Planned time of submission, on the monotonic clock.
        entry: Name of the entry that it is sent to.
        answered_at: Time at which the whole answer had arrived; 0 if none came.
        marks: Marks of the results if the job is complete, else None.
    """

    job: workload.JobSpec
    submission_id: str
    at: float
    entry: str
    answered_at: float = 0.0
    outcome: str = "none"
    code: str = ""
    marks: list[str] | None = None


@attrs.define(eq=False)
class LoadGenerator:
    """Submits jobs at their planned times, whether or not others have ended.

    Attributes:
        sent: Jobs submitted so far.
        prefixes: Submission id prefix of each entry, by name.
    """

    installation: processes.Installation
    deployment: workload.Deployment
    sent: list[SentJob] = attrs.field(factory=list)
    prefixes: dict[str, str] = attrs.field(factory=dict)
    _pools: dict[str, httpcore.AsyncConnectionPool] = attrs.field(factory=dict)

    async def open(self) -> None:
        """Opens connection pools and asks each entry for its id prefix."""
        for name, address in self.installation.client_addresses().items():
            pool = httpcore.AsyncConnectionPool(
                max_connections=None, keepalive_expiry=5.0, retries=0
            )
            self._pools[name] = pool
            url = f"http://{layout_lib.format_address(address)}/v1/coordinator"
            response = await pool.request("GET", url)
            content = msgspec.json.decode(response.content)
            self.prefixes[name] = content["prefix"]

    async def aclose(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def run(self, jobs: list[workload.JobSpec], tag: str) -> None:
        """Submits all jobs and waits for their answers.

        Args:
            jobs: Jobs in the order of their times.
            tag: Start of the client's part of each submission id.
        """
        names = sorted(self._pools)
        start_at = clock.now()
        async with trio.open_nursery() as nursery:
            for job in jobs:
                wait_s = start_at + job.at - clock.now()
                if wait_s > 0:
                    await trio.sleep(wait_s)
                name = names[job.entry_choice % len(names)]
                if name not in self.installation.processes:
                    running_names = [
                        n for n in names if n in self.installation.processes
                    ]
                    name = running_names[job.entry_choice % len(running_names)]
                submission_id = f"{self.prefixes[name]}/{tag}-{job.number}"
                sent = SentJob(job, submission_id, start_at + job.at, name)
                self.sent.append(sent)
                nursery.start_soon(self._submit, sent)

    async def _submit(self, sent: SentJob) -> None:
        body = _request_body(sent)
        token = next(
            t.token for t in self.deployment.teams if t.name == sent.job.team
        )
        headers = {
            "Authorization": f"Bearer {token}",
            "Submission-Id": sent.submission_id,
            "Deadline-Ms": str(round(sent.job.deadline_s * 1000)),
        }
        address = self.installation.client_addresses()[sent.entry]
        url = f"http://{layout_lib.format_address(address)}/v1/jobs"
        with trio.move_on_after(sent.job.deadline_s + LATE_ANSWER_WAIT_S):
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
            if _is_coordinator_gone(response):
                # The rejected request started nothing, so the job can be
                # submitted again under the new prefix.
                self._update_prefix(sent, response)
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
            _record_answer(sent, response.content)

    def _update_prefix(
        self, sent: SentJob, response: httpcore.Response
    ) -> None:
        """Adopts the prefix from a response, for this job and later ones."""
        answer = msgspec.json.decode(response.content)
        self.prefixes[sent.entry] = answer["prefix"]
        client_key = sent.submission_id.partition("/")[2]
        sent.submission_id = f"{answer['prefix']}/{client_key}"


def _is_coordinator_gone(response: httpcore.Response) -> bool:
    if response.status != 503:
        return False
    answer = msgspec.json.decode(response.content)
    return answer.get("code") == "coordinator_gone"


def _request_body(sent: SentJob) -> bytes:
    job = sent.job
    mark = f"m{job.number}"
    tasks = [
        {"payload": {"run_ms": run, "mark": mark}, "declared_ms": declared}
        for run, declared in zip(job.run_ms, job.declared_ms, strict=True)
    ]
    return msgspec.json.encode({"kind": job.kind, "tasks": tasks})


def _record_answer(sent: SentJob, content: bytes) -> None:
    """Records outcome, error code and marks of an answer."""
    answer = msgspec.json.decode(content)
    sent.outcome = answer.get("outcome", "none")
    sent.code = answer.get("code", "")
    if sent.outcome == "complete":
        sent.marks = [r["result"]["mark"] for r in answer["results"]]


@attrs.define
class RunRecord:
    """Everything recorded during one run of one policy.

    Attributes:
        counters: Event counters of all entries, as increments during the run.
        cpu_s: CPU time that the entries used during the run.
        start_at: Start of the workload, on the monotonic clock.
        affected_entries: Entries that were killed or suspended.
    """

    sent: list[SentJob]
    journal: list[backend_tool.JournalEntry]
    counters: collections.Counter
    cpu_s: float
    start_at: float
    leaving_notices: list[checker.LeavingNotice]
    offsets: list[checker.OffsetReading]
    affected_entries: set[str]


async def _team_documents(deployment: workload.Deployment) -> dict[str, str]:
    result = {}
    for team in deployment.teams:
        text = (local_lib.EXAMPLES_DIR / team.example).read_text()
        for key, value in team.service.items():
            text = re.sub(
                rf"^{key} = .*$", f"{key} = {value}", text, flags=re.M
            )
        result[team.name] = text
    return result


async def run_once(
    options: Options, policy: str, jobs: list[workload.JobSpec]
) -> RunRecord:
    """Runs the jobs under one policy on a fresh installation."""
    deployment = workload.DEPLOYMENTS[options.deployment]
    zones = list(deployment.zones)
    layout = layout_lib.new_layout(
        zones,
        [ENTRIES_PER_ZONE] * len(zones),
        [BACKENDS_PER_ZONE] * len(zones),
    )
    extra = {"placement": {"policy": policy}, "log": {"decisions": "yes"}}
    async with processes.running(
        layout,
        await _team_documents(deployment),
        extra,
        zone_delay_s=ZONE_DELAY_S,
        client_delay_s=CLIENT_DELAY_S,
        inject_faults=options.scenario == "faults",
    ) as installation:
        load_generator = LoadGenerator(installation, deployment)
        await load_generator.open()
        await load_generator.run(
            _warm_up_jobs(deployment, options.seed), "warm"
        )
        await trio.sleep(WARM_UP_PAUSE_S)
        load_generator.sent.clear()
        cpu_before_s = _entries_cpu_s(installation)
        counters_before = await _sum_counters(installation)
        start_at = clock.now()
        fault_plan = faultplan.FaultPlan(
            installation, options.seed, options.seconds
        )
        async with trio.open_nursery() as nursery:
            if options.scenario == "faults":
                nursery.start_soon(fault_plan.run)
            await load_generator.run(jobs, "job")
        counters = await _sum_counters(installation)
        counters.subtract(counters_before)
        spent_s = _entries_cpu_s(installation) - cpu_before_s
        await load_generator.aclose()
        journal = [
            e
            for e in checker.read_journals(installation.journals())
            if "/job-" in e.task
        ]
    return RunRecord(
        load_generator.sent,
        journal,
        counters,
        spent_s,
        start_at,
        fault_plan.leaving_notices,
        fault_plan.offsets,
        fault_plan.affected_entries,
    )


def _warm_up_jobs(
    deployment: workload.Deployment, seed: int
) -> list[workload.JobSpec]:
    """Returns a light load that opens connections and feeds estimates."""
    phases = [workload.Phase(3.0, 0.3, 0.3)]
    return workload.generate(deployment, phases, seed + 1000)


def _entries_cpu_s(installation: processes.Installation) -> float:
    names = [
        e.name
        for e in installation.layout.entries
        if e.name in installation.processes
    ]
    return sum(startcost.cpu_s(installation.pid(name)) for name in names)


async def _sum_counters(
    installation: processes.Installation,
) -> collections.Counter:
    total: collections.Counter = collections.Counter()
    for entry in installation.layout.entries:
        if entry.name in installation.processes:
            status = await installation.status(entry)
            if status:
                total.update(status.counters)
    return total


def _ideal_finish_times(run_record: RunRecord) -> dict[int, float]:
    """Returns the ideal finish time of each complete job, by job number.

    The run times are those that the backend servers recorded.
    """
    started: dict[str, float] = {}
    run_s: dict[str, list[float]] = collections.defaultdict(list)
    for entry in run_record.journal:
        if entry.event == "start":
            started[entry.task] = entry.at
        elif entry.event == "end" and entry.task in started:
            submission_id = entry.task.rpartition("#")[0]
            run_s[submission_id].append(entry.at - started[entry.task])
    jobs = [
        ideal.IdealJob(s.job.number, s.at, tuple(run_s[s.submission_id]))
        for s in run_record.sent
        if s.outcome == "complete" and run_s[s.submission_id]
    ]
    return ideal.finish_times(jobs, workload.TOTAL_SLOTS)


async def run(
    options: Options, progress: collections.abc.Callable[[str], None]
) -> report_lib.Report:
    """Runs the same jobs under every policy and returns the report."""
    deployment = workload.DEPLOYMENTS[options.deployment]
    phases = workload.new_phases(options.scenario, options.seconds)
    policies = {}
    runs = {}
    for policy in options.policies:
        jobs = workload.generate(deployment, phases, options.seed)
        progress(f"{policy}: {len(jobs)} jobs over {options.seconds:g} s")
        run_record = await run_once(options, policy, jobs)
        nonzero = {k: v for k, v in sorted(run_record.counters.items()) if v}
        progress(f"{policy}: counters {nonzero}")
        policy_figures = report_lib.figures(
            run_record,
            _ideal_finish_times(run_record),
            phases,
            2 * CLIENT_DELAY_S,
        )
        if options.scenario == "long-work":
            jobs_with_long = workload.generate(
                deployment, phases, options.seed, LONG_JOB_SHARE
            )
            progress(f"{policy}: running again with long jobs")
            long_run_record = await run_once(options, policy, jobs_with_long)
            policy_figures.hol_ratio_p99 = report_lib.short_job_p99_ratio(
                long_run_record, run_record
            )
        policies[policy] = policy_figures
        runs[policy] = run_record
    return report_lib.Report(policies, runs, phases)


def shuffled(names: list[str], seed: int) -> list[str]:
    """Returns names in a seeded random order."""
    result = sorted(names)
    random.Random(seed).shuffle(result)
    return result
