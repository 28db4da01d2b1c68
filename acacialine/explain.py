"""Reconstructs the timeline of one job from the logs of all dispatchers."""

import collections.abc
import re

import attrs

_LINE_PATTERN = re.compile(
    r"(?P<time>\d\d:\d\d:\d\d\.\d{3}) [IW] E(?P<number>\d+) (?P<name>\w+)"
    r" at=(?P<at>\S+) ?(?P<fields>.*)$"
)
_FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"])*"|\S*)')

# Cause of a job's outcome by event; the last such event in time decides.
_CAUSE_TEMPLATES = {
    "zone_job_refused": "refused before any task started: {reason}",
    "zone_job_failed": "failed: {reason}",
    "request_rejected": "rejected by the dispatcher: {reason}",
    "request_abandoned": "the client disconnected before the answer",
    "request_failed": "answered {status}: {reason}",
    "zone_job_completed": "completed {age_ms} ms after its arrival",
}
# Events that delayed or disturbed a job without deciding its outcome.
_TROUBLE_TEMPLATES = {
    "zone_run_stalled": "a run stalled on {server}",
    "zone_run_doubtful": "a start request to {server} was not answered",
    "zone_run_not_started": "{server} refused a start ({outcome})",
    "zone_run_ended": "a run on {server} ended {how}",
    "zone_task_lost": "{server} was lost under it ({crashes} crashes so far)",
    "zone_run_lingering": "a run on {server} went on without a job",
    "zone_job_elsewhere": "zone {zone} may still run it",
    "request_target_lost": "placer {placer} was lost",
    "request_redirected": "zone {zone} still ran it from an earlier attempt",
    "zone_job_kept": "it kept running after its deadline",
    "zone_job_cancelled": "its runs were stopped: {reason}",
    "zone_job_repeated": "it came again after it had ended: {fate}",
    "zone_job_rerouted": "its waiting tasks moved from {was} to {service}",
    "request_repeated": "it came again after it had ended: {fate}",
    "request_cancelled": "a client cancelled it, which found it {outcome}",
}


@attrs.frozen
class LoggedEvent:
    """One event parsed from a log.

    Attributes:
        time: Time of day in UTC, as in the log.
        entry: Name of the dispatcher that logged it.
        fields: Its key=value pairs.
    """

    time: str
    entry: str
    event: str
    fields: dict[str, str]


@attrs.frozen
class JobTimeline:
    """The events of one job in order of time, with the cause of its outcome.

    `explain --json` prints the fields under their own names.

    Attributes:
        cause: Why the job ended as it did, or that no event says so.
        troubles: What delayed or disturbed the job without deciding it.
    """

    job_id: str
    lines: list[LoggedEvent]
    cause: str
    troubles: list[str]


def parse_line(text: str) -> LoggedEvent | None:
    """Parses one log line; returns None for any other text."""
    match = _LINE_PATTERN.search(text)
    if match is None:
        return None
    fields = {
        k: v.strip('"') for k, v in _FIELD_PATTERN.findall(match["fields"])
    }
    return LoggedEvent(match["time"], match["at"], match["name"], fields)


def job_id_of(name: str) -> str:
    """Returns the id of a job from that id or the name of one of its tasks."""
    return name.strip().partition(".")[0]


def explain(
    job_id: str, log_lines: collections.abc.Iterable[str]
) -> JobTimeline:
    """Builds the timeline of a job from the log lines that mention it.

    Args:
        job_id: Id of the job, or of one of its tasks.
        log_lines: Lines of all logs, in any order.
    """
    job_id = job_id_of(job_id)
    lines = []
    for log_line in log_lines:
        if job_id not in log_line:
            continue
        line = parse_line(log_line)
        if line is not None and _concerns_job(line, job_id):
            lines.append(line)
    lines.sort(key=lambda line: line.time)
    cause = "no event mentions this job"
    if lines:
        cause = "no final event: the job is open, or log lines were dropped"
    troubles = []
    for line in lines:
        if line.event in _CAUSE_TEMPLATES:
            cause = _fill_template(_CAUSE_TEMPLATES[line.event], line)
        elif line.event in _TROUBLE_TEMPLATES:
            troubles.append(
                _fill_template(_TROUBLE_TEMPLATES[line.event], line)
            )
    return JobTimeline(job_id, lines, cause, troubles)


def _concerns_job(line: LoggedEvent, job_id: str) -> bool:
    job_of_task = line.fields.get("task", "").partition(".")[0]
    return job_id in (line.fields.get("job"), job_of_task)


def _fill_template(template: str, line: LoggedEvent) -> str:
    return re.sub(r"\{(\w+)\}", lambda m: line.fields.get(m[1], "?"), template)


def format_timeline(timeline: JobTimeline) -> str:
    """Formats a timeline for a terminal."""
    rows = [f"job {timeline.job_id}"]
    for line in timeline.lines:
        pairs = " ".join(
            f"{k}={v}" for k, v in line.fields.items() if k != "job"
        )
        rows.append(f"  {line.time}  {line.entry}  {line.event}  {pairs}")
    for trouble in dict.fromkeys(timeline.troubles):
        rows.append(f"trouble: {trouble}")
    rows.append(f"cause: {timeline.cause}")
    return "\n".join(rows)
