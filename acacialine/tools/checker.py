"""Checks invariants on journals of backend servers and records of clients."""

import collections
import collections.abc
import pathlib

import attrs
import msgspec

from acacialine.tools import backend as backend_tool

# A leaving backend server may still get starts for this long.
LEAVING_GRACE_S = 2.0


@attrs.frozen
class ClientRecord:
    """One job request of a client and its answer.

    Attributes:
        submission_id: Submission id of the request.
        mark: Text in the payload of each task, which each result repeats.
        outcome: `complete`, `failed`, `not_run`, `unknown` or `none`.
        results: Marks of the results, in order; None unless complete.
        tasks: Number of tasks in the job.
        sent_at: Time of sending, in s.
        answered_at: Time at which the whole answer had arrived, in s.
        deadline_s: Time from sending to the deadline of the job.
    """

    submission_id: str
    mark: str
    outcome: str
    results: list[str] | None
    tasks: int
    sent_at: float
    answered_at: float
    deadline_s: float


@attrs.frozen
class Violation:
    """An invariant that does not hold, and where."""

    invariant: str
    detail: str


@attrs.frozen
class LeavingNotice:
    """The time at which a backend server was listed as leaving."""

    backend: str
    at: float


@attrs.frozen
class OffsetReading:
    """The configuration offset in force at an entry at one time."""

    incarnation: str
    at: float
    offset: int


def read_journals(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[backend_tool.JournalEntry]:
    """Reads journals; skips malformed lines, such as a truncated last one.

    Killing a backend server can truncate the line that it writes.
    """
    result = []
    for path in paths:
        if not path.exists():
            continue
        for line in path.read_bytes().splitlines():
            try:
                entry = msgspec.json.decode(
                    line, type=backend_tool.JournalEntry
                )
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            result.append(entry)
    return result


def check(
    journal: list[backend_tool.JournalEntry],
    records: list[ClientRecord],
    leaving_notices: list[LeavingNotice] | None = None,
    offsets: list[OffsetReading] | None = None,
    slots: int = 8,
) -> list[Violation]:
    """Returns all violations.

    Args:
        journal: Events of all backend servers.
        records: Requests and answers of all clients.
        leaving_notices: Backend servers listed as leaving.
        offsets: Configuration offsets read from the entries.
        slots: Slots of each backend server.
    """
    return [
        *_repeated_starts(journal),
        *_false_not_run_answers(journal, records),
        *_wrong_results(records),
        *_contradicting_answers(records),
        *_starts_after_leaving(journal, leaving_notices or []),
        *_starts_over_slots(journal, slots),
        *_decreasing_offsets(offsets or []),
    ]


def _repeated_starts(journal) -> list[Violation]:
    """Finds tasks that were started more than once."""
    counts = collections.Counter(e.task for e in journal if e.event == "start")
    return [
        Violation("start_once", f"{task} started {count} times")
        for task, count in counts.items()
        if count > 1
    ]


def _false_not_run_answers(journal, records) -> list[Violation]:
    """Finds jobs answered as not run of which a task was started."""
    started = {e.task.rpartition("#")[0] for e in journal if e.event == "start"}
    return [
        Violation("not_run", f"{r.submission_id} was started")
        for r in records
        if r.outcome == "not_run" and r.submission_id in started
    ]


def _wrong_results(records) -> list[Violation]:
    """Finds complete answers that lack results or hold those of others."""
    result = []
    for record in records:
        if record.outcome != "complete":
            continue
        if record.results is None or len(record.results) != record.tasks:
            detail = f"{record.submission_id}: results are missing"
            result.append(Violation("whole_answer", detail))
        elif set(record.results) != {record.mark}:
            detail = f"{record.submission_id}: results of another job"
            result.append(Violation("own_answer", detail))
    return result


def _contradicting_answers(records) -> list[Violation]:
    """Finds submission ids with different final outcomes."""
    outcomes_by_id = collections.defaultdict(set)
    for record in records:
        if record.outcome in ("complete", "failed", "not_run"):
            outcomes_by_id[record.submission_id].add(record.outcome)
    return [
        Violation("one_answer", f"{submission_id}: {sorted(outcomes)}")
        for submission_id, outcomes in outcomes_by_id.items()
        if len(outcomes) > 1
    ]


def _starts_after_leaving(journal, leaving_notices) -> list[Violation]:
    announced_at = {notice.backend: notice.at for notice in leaving_notices}
    return [
        Violation("leaving", f"{e.backend} started {e.task} after leaving")
        for e in journal
        if e.event == "start"
        and e.backend in announced_at
        and e.at > announced_at[e.backend] + LEAVING_GRACE_S
    ]


def _starts_over_slots(journal, slots: int) -> list[Violation]:
    return [
        Violation("slots", f"{e.backend} ran {e.running} tasks at once")
        for e in journal
        if e.event == "start" and e.running > slots
    ]


def _decreasing_offsets(offsets) -> list[Violation]:
    last_offsets: dict[str, int] = {}
    result = []
    for reading in sorted(offsets, key=lambda r: r.at):
        last_offset = last_offsets.get(reading.incarnation, 0)
        if reading.offset < last_offset:
            detail = (
                f"{reading.incarnation}: from {last_offset} to {reading.offset}"
            )
            result.append(Violation("config_reverted", detail))
        last_offsets[reading.incarnation] = reading.offset
    return result
