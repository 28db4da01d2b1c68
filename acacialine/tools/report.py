"""Computes and plots the figures of benchmark runs."""

import attrs
import hdrh.histogram

from acacialine.tools import checker
from acacialine.tools import workload

RATIO_SCALE = 1000  # histogram value of a ratio of 1.0
MAX_SCALED_RATIO = 1000 * RATIO_SCALE
MAX_TIME_US = 3_600_000_000
MAX_SHORT_TASK_MS = 1000.0
LATE_SLACK_S = 0.0


@attrs.define
class Figures:
    """The figures of one policy.

    Attributes:
        response_ratio_mean: Response time of a job divided by the ideal.
        wasted_ratio: Returned grants, starts that did not happen and expired
            leases, per start.
        crest_goodput_ratio: Work of jobs answered in time during the load peak,
            divided by what all slots could have done.
        refusal_ms_p99: Response time of a refusal, without the delay of the
            client's network.
        late_answers: Complete answers after the deadline.
        hol_ratio_p99: Head-of-line blocking: p99 response time of short jobs
            with long jobs divided by that without.
        in_time_ratio: Share of the jobs answered complete in time.
        quota_in_time_ratio: The same for the team within its quota.
        untouched_in_time_ratio: The same for jobs sent to entries that were
            neither killed nor suspended.
        cpu_ms_per_task: CPU time of the entries per task start.
        violations: Number of violations by invariant.
    """

    jobs: int = 0
    complete: int = 0
    refused: int = 0
    failed: int = 0
    unknown: int = 0
    none: int = 0
    response_ratio_mean: float = 0.0
    response_ratio_p50: float = 0.0
    response_ratio_p99: float = 0.0
    wasted_ratio: float = 0.0
    crest_goodput_ratio: float = 0.0
    refusal_ms_p99: float = 0.0
    late_answers: int = 0
    hol_ratio_p99: float = 0.0
    in_time_ratio: float = 0.0
    quota_in_time_ratio: float = 0.0
    untouched_in_time_ratio: float = 0.0
    cpu_ms_per_task: float = 0.0
    violations: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class Report:
    """The figures of every policy and the runs they were computed from."""

    policies: dict[str, Figures]
    runs: dict
    phases: list[workload.Phase]


def figures(
    run_record,
    ideal_finish: dict[int, float],
    phases: list[workload.Phase],
    network_s: float,
) -> Figures:
    """Computes the figures of one run.

    Args:
        run_record: Record of the run.
        ideal_finish: Ideal finish time of each complete job, by job number.
        phases: Offered load over time.
        network_s: Network delay of a client's round trip.
    """
    result = Figures(jobs=len(run_record.sent))
    for sent in run_record.sent:
        name = "refused" if sent.outcome == "not_run" else sent.outcome
        setattr(result, name, getattr(result, name) + 1)
    _set_response_ratios(result, run_record, ideal_finish, network_s)
    _set_cost_ratios(result, run_record)
    _set_peak_goodput(result, run_record, phases)
    _set_refusal_time(result, run_record, network_s)
    _set_in_time_ratios(result, run_record)
    violations = checker.check(
        run_record.journal,
        [client_record(sent) for sent in run_record.sent],
        run_record.leaving_notices,
        run_record.offsets,
    )
    for violation in violations:
        count = result.violations.get(violation.invariant, 0)
        result.violations[violation.invariant] = count + 1
    return result


def client_record(sent) -> checker.ClientRecord:
    """Converts a submitted job to the checker's record."""
    return checker.ClientRecord(
        sent.submission_id,
        f"m{sent.job.number}",
        sent.outcome,
        sent.marks,
        len(sent.job.run_ms),
        sent.at,
        sent.answered_at,
        sent.job.deadline_s,
    )


def is_in_time(sent) -> bool:
    """Returns whether a job was answered complete by its deadline."""
    spent_s = sent.answered_at - sent.at
    return sent.outcome == "complete" and spent_s <= sent.job.deadline_s


def _set_response_ratios(result, run_record, ideal_finish, network_s) -> None:
    ratios = hdrh.histogram.HdrHistogram(1, MAX_SCALED_RATIO, 3)
    total = 0.0
    count = 0
    for sent in run_record.sent:
        finish = ideal_finish.get(sent.job.number)
        if finish is None:
            continue
        ideal_s = finish - sent.at + network_s
        ratio = (sent.answered_at - sent.at) / ideal_s
        ratios.record_value(round(ratio * RATIO_SCALE))
        total += ratio
        count += 1
    if count:
        result.response_ratio_mean = round(total / count, 4)
        p50 = ratios.get_value_at_percentile(50) / RATIO_SCALE
        p99 = ratios.get_value_at_percentile(99) / RATIO_SCALE
        result.response_ratio_p50 = p50
        result.response_ratio_p99 = p99


def _set_cost_ratios(result, run_record) -> None:
    counters = run_record.counters
    wasted = (
        counters["grants_returned"]
        + counters["not_started"]
        + counters["leases_lapsed"]
    )
    starts = max(1, counters["starts"])
    result.wasted_ratio = round(wasted / starts, 4)
    result.cpu_ms_per_task = round(1000 * run_record.cpu_s / starts, 3)


def _set_peak_goodput(result, run_record, phases) -> None:
    """Sets the share of capacity that served jobs in time at the load peak."""
    start, end = workload.peak_span(phases)
    start, end = run_record.start_at + start, run_record.start_at + end
    in_time_ids = {s.submission_id for s in run_record.sent if is_in_time(s)}
    started_at: dict[str, float] = {}
    work_s = 0.0
    for entry in run_record.journal:
        if entry.event == "start":
            started_at[entry.task] = entry.at
        elif entry.event == "end" and entry.task in started_at:
            if entry.task.rpartition("#")[0] not in in_time_ids:
                continue
            overlap_s = min(entry.at, end) - max(started_at[entry.task], start)
            work_s += max(0.0, overlap_s)
    capacity_s = workload.TOTAL_SLOTS * (end - start)
    result.crest_goodput_ratio = round(work_s / capacity_s, 4)


def _set_refusal_time(result, run_record, network_s) -> None:
    times = hdrh.histogram.HdrHistogram(1, MAX_TIME_US, 3)
    count = 0
    for sent in run_record.sent:
        if sent.outcome == "not_run":
            spent_s = max(0.0, sent.answered_at - sent.at - network_s)
            times.record_value(max(1, round(spent_s * 1e6)))
            count += 1
    if count:
        p99 = times.get_value_at_percentile(99) / 1000
        result.refusal_ms_p99 = round(p99, 2)


def _set_in_time_ratios(result, run_record) -> None:
    result.late_answers = sum(
        s.outcome == "complete" and not is_in_time(s) for s in run_record.sent
    )
    result.in_time_ratio = _in_time_ratio(run_record.sent)
    quota_team_jobs = [s for s in run_record.sent if s.job.team == "baekdu"]
    if len(quota_team_jobs) != len(run_record.sent):
        result.quota_in_time_ratio = _in_time_ratio(quota_team_jobs)
    unaffected = [
        s for s in run_record.sent if s.entry not in run_record.affected_entries
    ]
    result.untouched_in_time_ratio = _in_time_ratio(unaffected)


def _in_time_ratio(sent: list) -> float:
    return round(sum(map(is_in_time, sent)) / max(1, len(sent)), 4)


def short_job_p99_ratio(with_long, without_long) -> float:
    """Returns the p99 response time of short jobs with long jobs over without.

    Short jobs have one task of at most MAX_SHORT_TASK_MS.
    """
    p99s_us = []
    for run_record in (with_long, without_long):
        times = hdrh.histogram.HdrHistogram(1, MAX_TIME_US, 3)
        for sent in run_record.sent:
            is_single_task = len(sent.job.run_ms) == 1
            if (
                is_single_task
                and sent.job.run_ms[0] <= MAX_SHORT_TASK_MS
                and sent.marks
            ):
                spent_s = sent.answered_at - sent.at
                times.record_value(max(1, round(spent_s * 1e6)))
        p99s_us.append(times.get_value_at_percentile(99))
    return round(p99s_us[0] / max(1, p99s_us[1]), 4)


def plot(report: Report, path: str) -> None:
    """Plots offered load and work of jobs in time; needs matplotlib."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4))
    at = 0.0
    times, loads = [], []
    for phase in report.phases:
        times += [at, at + phase.seconds]
        loads += [phase.load_from, phase.load_to]
        at += phase.seconds
    axes.plot(times, loads, "k--", label="offered load ÷ capacity")
    for policy, run_record in report.runs.items():
        axes.plot(*_work_per_second(run_record, at), label=policy)
    axes.set_xlabel("time (s)")
    axes.set_ylabel("work in time ÷ capacity")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def _work_per_second(run_record, seconds: float):
    """Returns seconds of the run and the share of capacity used in each.

    Only tasks of jobs in time count, in the second in which they end.
    """
    in_time_ids = {s.submission_id for s in run_record.sent if is_in_time(s)}
    buckets = [0.0] * (int(seconds) + 1)
    started_at: dict[str, float] = {}
    for entry in run_record.journal:
        if entry.event == "start":
            started_at[entry.task] = entry.at
        elif entry.event == "end" and entry.task in started_at:
            index = int(entry.at - run_record.start_at)
            submission_id = entry.task.rpartition("#")[0]
            if submission_id in in_time_ids and 0 <= index < len(buckets):
                buckets[index] += entry.at - started_at[entry.task]
    values = [b / workload.TOTAL_SLOTS for b in buckets]
    return list(range(len(values))), values
