"""Submission ids: attaching to jobs, answer replay, tombstones and epochs.

Only the coordinator named in an id may start the tasks of the submission.
Epochs bound what it must remember: an id of a closed epoch is never started,
so its tombstone can be dropped.
"""

import attrs

from acacialine import actions
from acacialine import answers
from acacialine import errors
from acacialine import events
from acacialine import ids
from acacialine import tables as tables_lib

# Memory of a retained answer besides its body.
RETAINED_ANSWER_OVERHEAD_BYTES = 600


@attrs.frozen(eq=False)
class NewSubmission:
    """The id is unused; the submission may be admitted here."""


@attrs.frozen(eq=False)
class Attach:
    """The job of the id is running here; the request waits for its answer."""

    job: tables_lib.Job


@attrs.frozen(eq=False)
class Answered:
    """The final answer to the request is known."""

    answer: tables_lib.JobAnswer


@attrs.frozen(eq=False)
class Forward:
    """Another live entry coordinates the id; the request is forwarded."""

    peer_id: str


Resolution = NewSubmission | Attach | Answered | Forward


def prefix(tables: tables_lib.Tables) -> str:
    """Returns the prefix of the ids that this entry issues now."""
    return f"{tables.incarnation}.{tables.epoch}"


def tombstone_key(team: str, submission_id: str) -> bytes:
    """Returns the key of the tombstone of a team's submission."""
    return ids.digest(team.encode(), submission_id.encode())


def resolve(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes | None,
) -> Resolution:
    """Decides how this entry handles a request for an id.

    Args:
        tables: The tables of this entry.
        team: The authenticated team.
        submission: The parsed id.
        digest: Digest of the body; None for requests without one.
    """
    submission_id = str(submission)
    job = tables.jobs.get((team, submission_id))
    if job:
        if digest is not None and job.digest != digest:
            return Answered(_digest_mismatch_answer(submission_id))
        return Attach(job)
    retained = tables.retained_answers.get((team, submission_id))
    if retained:
        if digest is not None and retained.digest not in (b"", digest):
            return Answered(_digest_mismatch_answer(submission_id))
        return Answered(retained.answer)
    coordinator = str(submission.coordinator)
    if coordinator in tables.inherited_tombstones:
        return _resolve_inherited(tables, team, coordinator, submission_id)
    if submission.coordinator != tables.incarnation:
        return _resolve_remote(tables, submission.coordinator, submission_id)
    return _resolve_local(tables, team, submission, digest)


def _resolve_local(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes | None,
) -> Resolution:
    submission_id = str(submission)
    if submission.epoch < tables.oldest_epoch:
        return Answered(_id_too_old_answer(tables, submission_id))
    if submission.epoch > tables.epoch:
        return Answered(
            answers.error_answer(
                400,
                errors.Outcome.UNKNOWN,
                errors.Code.ID_NOT_ISSUED,
                "the epoch of this id has not been issued",
                submission_id=submission_id,
                prefix=prefix(tables),
            )
        )
    tombstones = tables.tombstones.get(submission.epoch, {})
    tombstone = tombstones.get(tombstone_key(team, submission_id))
    if tombstone is None:
        return NewSubmission()
    if digest is not None and tombstone.digest not in (b"", digest):
        return Answered(_digest_mismatch_answer(submission_id))
    return Answered(_result_expired_answer(submission_id, tombstone))


def _resolve_inherited(
    tables: tables_lib.Tables, team: str, coordinator: str, submission_id: str
) -> Resolution:
    tombstone = tables.inherited_tombstones[coordinator].get(
        tombstone_key(team, submission_id)
    )
    if tombstone:
        return Answered(_result_expired_answer(submission_id, tombstone))
    return Answered(coordinator_gone_answer(tables, submission_id))


def _resolve_remote(
    tables: tables_lib.Tables, coordinator: ids.Incarnation, submission_id: str
) -> Resolution:
    peer = tables.peers.get(str(coordinator))
    if peer is None:
        return Answered(coordinator_gone_answer(tables, submission_id))
    if peer.state == "left" and peer.successor in tables.peers:
        return Forward(peer.successor)
    if peer.state in ("dead", "left"):
        return Answered(coordinator_gone_answer(tables, submission_id))
    return Forward(peer.id)


def coordinator_gone_answer(
    tables: tables_lib.Tables, submission_id: str
) -> tables_lib.JobAnswer:
    """Builds the answer for an id whose coordinator is unavailable.

    The request was not forwarded, so a client that sent it exactly once may
    send it again under the prefix in the answer.
    """
    return answers.error_answer(
        503,
        errors.Outcome.UNKNOWN,
        errors.Code.COORDINATOR_GONE,
        "the coordinator of this id is gone",
        submission_id=submission_id,
        prefix=prefix(tables),
    )


def _digest_mismatch_answer(submission_id: str) -> tables_lib.JobAnswer:
    return answers.error_answer(
        409,
        errors.Outcome.UNKNOWN,
        errors.Code.DIGEST_MISMATCH,
        "this id was used with another body",
        submission_id=submission_id,
    )


def _id_too_old_answer(
    tables: tables_lib.Tables, submission_id: str
) -> tables_lib.JobAnswer:
    return answers.error_answer(
        410,
        errors.Outcome.UNKNOWN,
        errors.Code.ID_TOO_OLD,
        "the epoch of this id is closed; whether it ran is not known",
        submission_id=submission_id,
        prefix=prefix(tables),
    )


def _result_expired_answer(
    submission_id: str, tombstone: tables_lib.Tombstone
) -> tables_lib.JobAnswer:
    if tombstone.outcome == errors.Outcome.NOT_RUN:
        return answers.error_answer(
            503,
            errors.Outcome.NOT_RUN,
            errors.Code.RESULT_EXPIRED,
            "this submission was refused before and is not run",
            submission_id=submission_id,
        )
    return answers.error_answer(
        410,
        errors.Outcome.UNKNOWN,
        errors.Code.RESULT_EXPIRED,
        f"this submission ended as {tombstone.outcome}; its answer is not kept",
        submission_id=submission_id,
    )


def record_answer(
    tables: tables_lib.Tables,
    team: str,
    submission: ids.SubmissionId,
    digest: bytes,
    answer: tables_lib.JobAnswer,
) -> None:
    """Records a final answer so that its id is never started again.

    Ids of other coordinators and of future epochs are ignored.
    """
    if submission.coordinator != tables.incarnation:
        return
    if submission.epoch > tables.epoch:
        return
    submission_id = str(submission)
    if submission.epoch >= tables.oldest_epoch:
        tombstones = tables.tombstones.setdefault(submission.epoch, {})
        tombstones[tombstone_key(team, submission_id)] = tables_lib.Tombstone(
            digest, answer.outcome
        )
    retain_answer(
        tables, tables_lib.RetainedAnswer(team, submission_id, digest, answer)
    )
    _limit_tombstones(tables)


def retain_answer(
    tables: tables_lib.Tables, retained: tables_lib.RetainedAnswer
) -> None:
    """Stores an answer for replay; drops the oldest above `answer_bytes`."""
    limit = tables.settings.submissions.answer_bytes
    if len(retained.answer.body) > limit:
        return
    key = (retained.team, retained.submission_id)
    if key in tables.retained_answers:
        return
    tables.retained_answers[key] = retained
    tables.retained_answer_bytes += _size_of(retained)
    while tables.retained_answer_bytes > limit:
        _, dropped = tables.retained_answers.popitem(last=False)
        tables.retained_answer_bytes -= _size_of(dropped)


def _size_of(retained: tables_lib.RetainedAnswer) -> int:
    return len(retained.answer.body) + RETAINED_ANSWER_OVERHEAD_BYTES


def _limit_tombstones(tables: tables_lib.Tables) -> None:
    """Closes the oldest epochs while there are too many tombstones."""
    limit = tables.settings.submissions.tombstones
    while sum(len(s) for s in tables.tombstones.values()) > limit:
        if tables.oldest_epoch >= tables.epoch:
            advance_epoch(tables, tables.epoch_started_at)
        _close_epoch(tables, tables.oldest_epoch)


def advance_epoch(tables: tables_lib.Tables, now: float) -> None:
    """Opens the next epoch and closes those beyond `epochs_kept`."""
    tables.epoch += 1
    tables.epoch_started_at = now
    actions.log_event(tables, events.Event.EPOCH_ADVANCED, epoch=tables.epoch)
    epochs_kept = tables.settings.submissions.epochs_kept
    while tables.oldest_epoch < tables.epoch - epochs_kept:
        _close_epoch(tables, tables.oldest_epoch)


def _close_epoch(tables: tables_lib.Tables, epoch: int) -> None:
    """Drops the tombstones of an epoch.

    From then on its ids are refused unless their job is running or their
    answer is retained.
    """
    tables.oldest_epoch = max(tables.oldest_epoch, epoch + 1)
    tables.tombstones.pop(epoch, None)


def advance_due_epoch(tables: tables_lib.Tables, now: float) -> None:
    """Advances the epoch once it has lasted `epoch_s` seconds."""
    if now - tables.epoch_started_at >= tables.settings.submissions.epoch_s:
        advance_epoch(tables, now)
