"""Proves the promises from journals and from what callers recorded."""

import collections
import collections.abc
import pathlib

import attrs
import msgspec

from acacialine.tools import backend as backend_tool

LEAVING_S = 2.0  # time after which a leaving backend server gets nothing


@attrs.frozen
class CallerRecord:
    """One request of a caller and its answer.

    Attributes:
        submission_id: The id the request was sent under.
        mark: What the caller put into each payload.
        outcome: `complete`, `failed`, `not_run`, `unknown` or `none`.
        results: Marks found in the results, in order; None if incomplete.
        tasks: Number of tasks in the job.
        sent_at: When it was sent, in s.
        answered_at: When the answer was whole, in s.
        deadline_s: Time allowed.
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
    """A broken promise."""

    promise: str
    detail: str


@attrs.frozen
class Leaving:
    """When the news of a leaving backend server came out."""

    backend: str
    at: float


@attrs.frozen
class OffsetReading:
    """The configuration offset in force at an entry at some time."""

    entry: str
    at: float
    offset: int


def read_journals(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[backend_tool.JournalEntry]:
    """Reads journals; a line cut off by a kill is passed over."""
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
    records: list[CallerRecord],
    leavings: list[Leaving] | None = None,
    offsets: list[OffsetReading] | None = None,
    slots: int = 8,
) -> list[Violation]:
    """Returns every broken promise."""
    return [
        *_started_twice(journal),
        *_false_not_run(journal, records),
        *_partial_or_foreign(records),
        *_contradictions(records),
        *_after_leaving(journal, leavings or []),
        *_over_slots(journal, slots),
        *_offsets_fell(offsets or []),
    ]


def _started_twice(journal) -> list[Violation]:
    counts = collections.Counter(e.task for e in journal if e.event == "start")
    return [
        Violation("start_once", f"{task} started {count} times")
        for task, count in counts.items()
        if count > 1
    ]


def _false_not_run(journal, records) -> list[Violation]:
    started = {e.task.rpartition("#")[0] for e in journal if e.event == "start"}
    return [
        Violation("not_run", f"{r.submission_id} was started")
        for r in records
        if r.outcome == "not_run" and r.submission_id in started
    ]


def _partial_or_foreign(records) -> list[Violation]:
    result = []
    for record in records:
        if record.outcome != "complete":
            continue
        if record.results is None or len(record.results) != record.tasks:
            detail = f"{record.submission_id}: answer is not whole"
            result.append(Violation("whole_answer", detail))
        elif set(record.results) != {record.mark}:
            detail = f"{record.submission_id}: answer of another caller"
            result.append(Violation("own_answer", detail))
    return result


def _contradictions(records) -> list[Violation]:
    """Finds ids with two different final answers."""
    final = collections.defaultdict(set)
    for record in records:
        if record.outcome in ("complete", "failed", "not_run"):
            final[record.submission_id].add(record.outcome)
    return [
        Violation("one_answer", f"{text}: {sorted(outcomes)}")
        for text, outcomes in final.items()
        if len(outcomes) > 1
    ]


def _after_leaving(journal, leavings) -> list[Violation]:
    news = {leaving.backend: leaving.at for leaving in leavings}
    return [
        Violation("leaving", f"{e.backend} got {e.task} after leaving")
        for e in journal
        if e.event == "start"
        and e.backend in news
        and e.at > news[e.backend] + LEAVING_S
    ]


def _over_slots(journal, slots: int) -> list[Violation]:
    return [
        Violation("slots", f"{e.backend} ran {e.running} at once")
        for e in journal
        if e.event == "start" and e.running > slots
    ]


def _offsets_fell(offsets) -> list[Violation]:
    newest: dict[str, int] = {}
    result = []
    for reading in sorted(offsets, key=lambda r: r.at):
        before = newest.get(reading.entry, 0)
        if reading.offset < before:
            detail = f"{reading.entry}: {before} to {reading.offset}"
            result.append(Violation("config_reverted", detail))
        newest[reading.entry] = reading.offset
    return result
