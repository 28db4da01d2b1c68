"""Orders of the placer and what comes back, as typed messages.

The shell carries out each order through the adapter of the platform and
reports the result to `placer.Placer`.
"""

import enum

import attrs

from acacialine import zonetables


class StartOutcome(enum.Enum):
    """What the answer to a start proves."""

    STARTED = "started"
    NOT_STARTED = "not_started"  # an explicit refusal, or nothing was sent
    NO_ROOM = "no_room"
    OLD_NUMBER = "old_number"
    FENCED = "fenced"  # another owner has a higher epoch
    UNHEALTHY = "unhealthy"  # refused by a backend server that is not well
    OTHER_LIFE = "other_life"
    UNKNOWN = "unknown"  # no answer: it may be carried out now or later


@attrs.frozen
class StartRun:
    """Start a run."""

    run: zonetables.Run


@attrs.frozen
class StopRun:
    """Stop a run, or make its late start impossible."""

    run: zonetables.Run


@attrs.frozen
class AnswerJob:
    """Tell the entries that wait how a job ended.

    Attributes:
        retry_after_s: When to come back; only for a job that has not run.
    """

    origins: tuple
    job_id: str
    verdict: zonetables.Verdict
    reason: str
    retry_after_s: float = 0.0


@attrs.frozen
class LogDecision:
    """Write one line of the log."""

    event: int
    fields: dict


Order = StartRun | StopRun | AnswerJob | LogDecision


@attrs.frozen
class RunningRow:
    """One run that a backend server lists as running."""

    key: zonetables.TaskKey
    number: int
    percent: int


@attrs.frozen
class EndedRow:
    """One run that a backend server lists as ended.

    Attributes:
        sequence: Number of the end within the server's life, from 1.
    """

    sequence: int
    key: zonetables.TaskKey
    number: int
    kind: zonetables.EndKind


@attrs.frozen
class Observation:
    """One look at a backend server, which lists all that it runs.

    Attributes:
        life: Start of its present life, in ms since 1970.
        clock_ms: Its steady clock when it answered.
    """

    life: int
    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
