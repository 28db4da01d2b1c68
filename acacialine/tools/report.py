"""Figures of a bench run, and their plots."""

import attrs
import hdrh.histogram

from acacialine.tools import checker
from acacialine.tools import workload

RATIO_SCALE = 1000  # a ratio of 1.0 in the histogram
MAX_RATIO = 1000 * RATIO_SCALE
MAX_MICROSECONDS = 3_600_000_000
SHORT_MS = 1000.0
LATE_SLACK_S = 0.0


@attrs.define
class Figures:
    """The measures of the brief for one policy.

    Attributes:
        response_ratio_mean: Job response divided by the ideal.
        wasted_ratio: Messages that led to no start, per start.
        crest_goodput_ratio: Work answered in time during the swing divided
            by what the slots could have done.
        refusal_ms_p99: Time of a refusal, without the caller's network.
        late_answers: Complete answers after the deadline.
        hol_ratio_p99: Short p99 with long work divided by without.
        in_time_ratio: Jobs answered complete in time, of all.
        quota_in_time_ratio: The same for the team within its quota.
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
    """Figures of every policy, and the runs they come from."""

    policies: dict[str, Figures]
    runs: dict
    phases: list[workload.Phase]


def figures(
    measured,
    ideal_finish: dict[int, float],
    phases: list[workload.Phase],
    network_s: float,
) -> Figures:
    """Computes the figures of one run."""
    result = Figures(jobs=len(measured.sent))
    for sent in measured.sent:
        name = "refused" if sent.outcome == "not_run" else sent.outcome
        setattr(result, name, getattr(result, name) + 1)
    _response(result, measured, ideal_finish, network_s)
    _waste(result, measured)
    _crest(result, measured, phases)
    _refusals(result, measured, network_s)
    _in_time(result, measured)
    found = checker.check(
        measured.journal,
        [record_of(sent) for sent in measured.sent],
        measured.leavings,
        measured.offsets,
    )
    for violation in found:
        count = result.violations.get(violation.promise, 0)
        result.violations[violation.promise] = count + 1
    return result


def record_of(sent) -> checker.CallerRecord:
    """Returns what the checker needs of a job."""
    return checker.CallerRecord(
        sent.submission_id,
        f"m{sent.plan.number}",
        sent.outcome,
        sent.marks,
        len(sent.plan.run_ms),
        sent.at,
        sent.answered_at,
        sent.plan.deadline_s,
    )


def in_time(sent) -> bool:
    """Returns whether a job was answered complete by its deadline."""
    spent_s = sent.answered_at - sent.at
    return sent.outcome == "complete" and spent_s <= sent.plan.deadline_s


def _response(result, measured, ideal_finish, network_s) -> None:
    ratios = hdrh.histogram.HdrHistogram(1, MAX_RATIO, 3)
    total = 0.0
    count = 0
    for sent in measured.sent:
        finish = ideal_finish.get(sent.plan.number)
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


def _waste(result, measured) -> None:
    counters = measured.counters
    wasted = (
        counters["grants_returned"]
        + counters["not_started"]
        + counters["leases_lapsed"]
    )
    starts = max(1, counters["starts"])
    result.wasted_ratio = round(wasted / starts, 4)
    result.cpu_ms_per_task = round(1000 * measured.cpu_s / starts, 3)


def _crest(result, measured, phases) -> None:
    """Counts work of jobs in time that was done during the swing."""
    start, end = workload.crest_span(phases)
    start, end = measured.begin + start, measured.begin + end
    good = {s.submission_id for s in measured.sent if in_time(s)}
    began: dict[str, float] = {}
    done_s = 0.0
    for entry in measured.journal:
        if entry.event == "start":
            began[entry.task] = entry.at
        elif entry.event == "end" and entry.task in began:
            if entry.task.rpartition("#")[0] not in good:
                continue
            span = min(entry.at, end) - max(began[entry.task], start)
            done_s += max(0.0, span)
    capacity_s = workload.SLOTS * (end - start)
    result.crest_goodput_ratio = round(done_s / capacity_s, 4)


def _refusals(result, measured, network_s) -> None:
    times = hdrh.histogram.HdrHistogram(1, MAX_MICROSECONDS, 3)
    count = 0
    for sent in measured.sent:
        if sent.outcome == "not_run":
            spent_s = max(0.0, sent.answered_at - sent.at - network_s)
            times.record_value(max(1, round(spent_s * 1e6)))
            count += 1
    if count:
        p99 = times.get_value_at_percentile(99) / 1000
        result.refusal_ms_p99 = round(p99, 2)


def _in_time(result, measured) -> None:
    result.late_answers = sum(
        s.outcome == "complete" and not in_time(s) for s in measured.sent
    )
    result.in_time_ratio = _share(measured.sent)
    quota = [s for s in measured.sent if s.plan.team == "baekdu"]
    if len(quota) != len(measured.sent):
        result.quota_in_time_ratio = _share(quota)
    untouched = [s for s in measured.sent if s.entry not in measured.touched]
    result.untouched_in_time_ratio = _share(untouched)


def _share(sent: list) -> float:
    return round(sum(map(in_time, sent)) / max(1, len(sent)), 4)


def short_ratio(longer, without) -> float:
    """Returns the p99 of short jobs with long work divided by without."""
    both = []
    for measured in (longer, without):
        times = hdrh.histogram.HdrHistogram(1, MAX_MICROSECONDS, 3)
        for sent in measured.sent:
            short = len(sent.plan.run_ms) == 1
            if short and sent.plan.run_ms[0] <= SHORT_MS and sent.marks:
                spent_s = sent.answered_at - sent.at
                times.record_value(max(1, round(spent_s * 1e6)))
        both.append(times.get_value_at_percentile(99))
    return round(both[0] / max(1, both[1]), 4)


def plot(report: Report, path: str) -> None:
    """Draws work in time per second over the swing; needs matplotlib."""
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
    for policy, measured in report.runs.items():
        axes.plot(*_work_per_second(measured, at), label=policy)
    axes.set_xlabel("time (s)")
    axes.set_ylabel("work in time ÷ capacity")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def _work_per_second(measured, seconds: float):
    good = {s.submission_id for s in measured.sent if in_time(s)}
    buckets = [0.0] * (int(seconds) + 1)
    began: dict[str, float] = {}
    for entry in measured.journal:
        if entry.event == "start":
            began[entry.task] = entry.at
        elif entry.event == "end" and entry.task in began:
            index = int(entry.at - measured.begin)
            text = entry.task.rpartition("#")[0]
            if text in good and 0 <= index < len(buckets):
                buckets[index] += entry.at - began[entry.task]
    values = [b / workload.SLOTS for b in buckets]
    return list(range(len(values))), values
