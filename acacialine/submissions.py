"""Submission ids: attach, replay, tombstones and epochs.

Only the process named in an id may start its tasks. What it may forget is
bounded by epochs: an id of a closed epoch is never started.
"""

import attrs

from acacialine import actions
from acacialine import answers
from acacialine import errors
from acacialine import events
from acacialine import ids
from acacialine import tables as tables_lib

KEPT_OVERHEAD_BYTES = 600  # memory of a kept answer besides its body


@attrs.frozen(eq=False)
class Fresh:
    """The id was never seen and may be admitted here."""


@attrs.frozen(eq=False)
class Attach:
    """The submission is running here."""

    job: tables_lib.Job


@attrs.frozen(eq=False)
class Answered:
    """The answer is already final."""

    answer: tables_lib.JobAnswer


@attrs.frozen(eq=False)
class Forward:
    """Another live entry is responsible for the id."""

    peer_id: str


Resolution = Fresh | Attach | Answered | Forward


def prefix(tables: tables_lib.Tables) -> str:
    """Returns the prefix of ids that this entry issues now."""
    return f"{tables.me}.{tables.epoch}"


def tombstone_key(team: str, submission_id: str) -> bytes:
    """Returns the key of a tombstone."""
    return ids.digest(team.encode(), submission_id.encode())


def resolve(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes | None,
) -> Resolution:
    """Decides what a request for an id means here.

    Args:
        tables: The tables of this entry.
        team: The team that the caller proved to be.
        submission: The parsed id.
        digest: Digest of the body; None for requests without one.
    """
    text = str(submission)
    job = tables.jobs.get((team, text))
    if job:
        if digest is not None and job.digest != digest:
            return Answered(_mismatch(text))
        return Attach(job)
    kept = tables.kept.get((team, text))
    if kept:
        if digest is not None and kept.digest not in (b"", digest):
            return Answered(_mismatch(text))
        return Answered(kept.answer)
    coordinator = str(submission.coordinator)
    if coordinator in tables.inherited_tombstones:
        return _resolve_adopted(tables, team, coordinator, text)
    if submission.coordinator != tables.me:
        return _resolve_elsewhere(tables, submission.coordinator, text)
    return _resolve_own(tables, team, submission, digest)


def _resolve_own(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes | None,
) -> Resolution:
    text = str(submission)
    if submission.epoch < tables.oldest_epoch:
        return Answered(_too_old(tables, text))
    if submission.epoch > tables.epoch:
        return Answered(
            answers.error(
                400,
                errors.Outcome.UNKNOWN,
                errors.Code.ID_NOT_ISSUED,
                "the epoch of this id has not been issued",
                submission_id=text,
                prefix=prefix(tables),
            )
        )
    stones = tables.tombstones.get(submission.epoch, {})
    stone = stones.get(tombstone_key(team, text))
    if stone is None:
        return Fresh()
    if digest is not None and stone.digest not in (b"", digest):
        return Answered(_mismatch(text))
    return Answered(_expired(text, stone))


def _resolve_adopted(
    tables: tables_lib.Tables, team: str, coordinator: str, text: str
) -> Resolution:
    stone = tables.inherited_tombstones[coordinator].get(
        tombstone_key(team, text)
    )
    if stone:
        return Answered(_expired(text, stone))
    return Answered(gone(tables, text))


def _resolve_elsewhere(
    tables: tables_lib.Tables, coordinator: ids.Incarnation, text: str
) -> Resolution:
    peer = tables.peers.get(str(coordinator))
    if peer is None:
        return Answered(gone(tables, text))
    if peer.state == "left" and peer.successor in tables.peers:
        return Forward(peer.successor)
    if peer.state in ("dead", "left"):
        return Answered(gone(tables, text))
    return Forward(peer.id)


def gone(tables: tables_lib.Tables, text: str) -> tables_lib.JobAnswer:
    """Builds the answer for an id whose coordinator is gone.

    The request was not handed on, so a caller that sent it exactly once may
    send it again under the prefix given.
    """
    return answers.error(
        503,
        errors.Outcome.UNKNOWN,
        errors.Code.COORDINATOR_GONE,
        "the coordinator of this id is gone",
        submission_id=text,
        prefix=prefix(tables),
    )


def _mismatch(text: str) -> tables_lib.JobAnswer:
    return answers.error(
        409,
        errors.Outcome.UNKNOWN,
        errors.Code.DIGEST_MISMATCH,
        "this id was used with another body",
        submission_id=text,
    )


def _too_old(tables: tables_lib.Tables, text: str) -> tables_lib.JobAnswer:
    return answers.error(
        410,
        errors.Outcome.UNKNOWN,
        errors.Code.ID_TOO_OLD,
        "the epoch of this id is closed; whether it ran is not known",
        submission_id=text,
        prefix=prefix(tables),
    )


def _expired(text: str, stone: tables_lib.Tombstone) -> tables_lib.JobAnswer:
    if stone.outcome == errors.Outcome.NOT_RUN:
        return answers.error(
            503,
            errors.Outcome.NOT_RUN,
            errors.Code.RESULT_EXPIRED,
            "this submission was refused before and is not run",
            submission_id=text,
        )
    return answers.error(
        410,
        errors.Outcome.UNKNOWN,
        errors.Code.RESULT_EXPIRED,
        f"this submission ended as {stone.outcome}; its answer is not kept",
        submission_id=text,
    )


def bury(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes,
    answer: tables_lib.JobAnswer,
) -> None:
    """Records a final answer so that the id is never started again."""
    if submission.coordinator != tables.me:
        return
    if submission.epoch > tables.epoch:
        return
    text = str(submission)
    if submission.epoch >= tables.oldest_epoch:
        stones = tables.tombstones.setdefault(submission.epoch, {})
        stones[tombstone_key(team, text)] = tables_lib.Tombstone(
            digest, answer.outcome
        )
    keep(tables, tables_lib.KeptAnswer(team, text, digest, answer))
    _bound_tombstones(tables)


def keep(tables: tables_lib.Tables, kept: tables_lib.KeptAnswer) -> None:
    """Keeps an answer for replay, dropping the oldest beyond the bound."""
    limit = tables.settings.submissions.answer_bytes
    if len(kept.answer.body) > limit:
        return
    key = (kept.team, kept.submission_id)
    if key in tables.kept:
        return
    tables.kept[key] = kept
    tables.kept_bytes += _size_of(kept)
    while tables.kept_bytes > limit:
        _, dropped = tables.kept.popitem(last=False)
        tables.kept_bytes -= _size_of(dropped)


def _size_of(kept: tables_lib.KeptAnswer) -> int:
    return len(kept.answer.body) + KEPT_OVERHEAD_BYTES


def _bound_tombstones(tables: tables_lib.Tables) -> None:
    limit = tables.settings.submissions.tombstones
    while sum(len(s) for s in tables.tombstones.values()) > limit:
        if tables.oldest_epoch >= tables.epoch:
            advance_epoch(tables, tables.epoch_at)
        close_epoch(tables, tables.oldest_epoch)


def advance_epoch(tables: tables_lib.Tables, now: float) -> None:
    """Opens the next epoch and closes those no longer kept."""
    tables.epoch += 1
    tables.epoch_at = now
    actions.log_event(tables, events.Event.EPOCH_ADVANCED, epoch=tables.epoch)
    kept = tables.settings.submissions.epochs_kept
    while tables.oldest_epoch < tables.epoch - kept:
        close_epoch(tables, tables.oldest_epoch)


def close_epoch(tables: tables_lib.Tables, epoch: int) -> None:
    """Refuses all ids of an epoch that are not running or kept."""
    tables.oldest_epoch = max(tables.oldest_epoch, epoch + 1)
    tables.tombstones.pop(epoch, None)


def run_epochs(tables: tables_lib.Tables, now: float) -> None:
    """Advances the epoch when it is due."""
    if now - tables.epoch_at >= tables.settings.submissions.epoch_s:
        advance_epoch(tables, now)
