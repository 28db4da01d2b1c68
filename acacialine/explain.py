"""The story of one job, read from the logs of all entries."""

import collections.abc
import re

import attrs

_LINE = re.compile(
    r"(?P<time>\d\d:\d\d:\d\d\.\d{3}) [IW] E(?P<number>\d+) (?P<name>\w+)"
    r" at=(?P<at>\S+) ?(?P<fields>.*)$"
)
_FIELD = re.compile(r'(\w+)=("(?:[^"])*"|\S*)')

# The last decisive event names the cause; later entries go first.
_CAUSES = {
    "zone_job_refused": "refused before any task started: {reason}",
    "zone_job_failed": "failed: {reason}",
    "request_rejected": "rejected at the entry: {reason}",
    "request_abandoned": "its caller left before the answer",
    "request_failed": "answered {status}: {reason}",
    "zone_job_completed": "completed {age_ms} ms after its arrival",
}
_TROUBLES = {
    "zone_run_stalled": "a run stood still on {server}",
    "zone_run_doubtful": "a start on {server} had no answer",
    "zone_run_not_started": "{server} refused a start ({outcome})",
    "zone_run_ended": "a run on {server} ended {how}",
    "request_target_lost": "its placer {placer} was lost",
    "request_redirected": "zone {zone} still ran it from an earlier try",
    "zone_job_kept": "it ran on after its deadline",
    "zone_job_cancelled": "its runs were stopped: {reason}",
}


@attrs.frozen
class Line:
    """One event that names the job."""

    time: str
    entry: str
    event: str
    fields: dict[str, str]


@attrs.frozen
class Story:
    """All events of one job in order, and what they show."""

    job_id: str
    lines: list[Line]
    cause: str
    troubles: list[str]


def parse_line(text: str) -> Line | None:
    """Reads one line of a log; None for any other text."""
    match = _LINE.search(text)
    if match is None:
        return None
    fields = {k: v.strip('"') for k, v in _FIELD.findall(match["fields"])}
    return Line(match["time"], match["at"], match["name"], fields)


def explain(job_id: str, texts: collections.abc.Iterable[str]) -> Story:
    """Collects what the logs say of a job or a task of it."""
    job_id = job_id.partition(".")[0]
    lines = []
    for text in texts:
        if job_id not in text:
            continue
        line = parse_line(text)
        if line is not None and _names(line, job_id):
            lines.append(line)
    lines.sort(key=lambda line: line.time)
    cause = "no event names this job"
    if lines:
        cause = "no event decides it: it was still open, or lines were dropped"
    troubles = []
    for line in lines:
        if line.event in _CAUSES:
            cause = _fill(_CAUSES[line.event], line)
        elif line.event in _TROUBLES:
            troubles.append(_fill(_TROUBLES[line.event], line))
    return Story(job_id, lines, cause, troubles)


def _names(line: Line, job_id: str) -> bool:
    task_job = line.fields.get("task", "").partition(".")[0]
    return job_id in (line.fields.get("job"), task_job)


def _fill(template: str, line: Line) -> str:
    return re.sub(r"\{(\w+)\}", lambda m: line.fields.get(m[1], "?"), template)


def format_story(story: Story) -> str:
    """Formats a story for a terminal."""
    rows = [f"job {story.job_id}"]
    for line in story.lines:
        pairs = " ".join(
            f"{k}={v}" for k, v in line.fields.items() if k != "job"
        )
        rows.append(f"  {line.time}  {line.entry}  {line.event}  {pairs}")
    for trouble in dict.fromkeys(story.troubles):
        rows.append(f"trouble: {trouble}")
    rows.append(f"cause: {story.cause}")
    return "\n".join(rows)
