"""Orders that the placer gives and the results that it receives.

`placerhost.PlacerHost` carries out each order through
`platform.serverclient` and reports the result to `placer.Placer`.
"""

import enum

import attrs

from acacialine import jobfates
from acacialine import losses as losses_lib
from acacialine import zonetables


class StartOutcome(enum.Enum):
    """What the response to a start order proves."""

    STARTED = "started"
    NOT_STARTED = "not_started"  # refused for any other reason, or never sent
    NO_CAPACITY = "no_room"  # the backend server lacks free capacity
    OLD_NUMBER = "old_number"  # a run with this or a higher number was ordered
    FENCED = "fenced"  # another owner has a higher epoch
    UNHEALTHY = "unhealthy"  # overloaded or unreachable
    WRONG_INSTANCE = "other_life"  # not the expected instance (status 421)
    UNKNOWN = "unknown"  # no response: the run may start now or later


@attrs.frozen
class StartRun:
    """Order: start a run."""

    run: zonetables.Run


@attrs.frozen
class StopRun:
    """Order: stop a run, or prevent its start if that is still to come."""

    run: zonetables.Run


@attrs.frozen
class AnswerJob:
    """Order: tell the dispatchers that wait how a job ended.

    Attributes:
        origins: Sessions of these dispatchers.
        reason: Code of the reason; the zone for Verdict.ELSEWHERE.
        retry_after_s: Delay before the client retries; only for a job that
            was not run.
    """

    origins: tuple
    job_id: str
    verdict: zonetables.Verdict
    reason: str
    retry_after_s: float = 0.0


@attrs.frozen
class ShareJob:
    """Order: tell the candidates of the zone of a job that may have run.

    If one of them succeeds this placer and the job is sent again, it must not
    treat the job as one that never ran.
    """

    job_id: str


@attrs.frozen
class AnnounceJob:
    """Order: tell the placers of all zones of a job whose runs may go on.

    Its job has ended, no job has claimed them, or the dispatcher that waits may
    be lost. The client may send the job again to any zone, which must not start
    it beside these runs.
    """

    job_id: str


@attrs.frozen
class ShareFate:
    """Order: tell the other zones and the candidates how a job ended.

    A copy of its request may arrive at any of them.
    """

    job_id: str
    fate: jobfates.Fate


@attrs.frozen
class ShareOpenJobs:
    """Order: tell all zones of open jobs whose tasks run here.

    If their dispatcher and this placer are lost within a short time, nobody
    else could tell them before the clients send the jobs again.

    Attributes:
        job_ids: The jobs.
        number: Number by which the other zones confirm that they know of them.
    """

    job_ids: tuple[str, ...]
    number: int


@attrs.frozen
class ShareLosses:
    """Order: tell other dispatchers of the losses of a task.

    A later owner of this zone, or the placer of another zone, may get its job.
    """

    key: zonetables.TaskKey
    losses: losses_lib.TaskLosses


@attrs.frozen
class LogDecision:
    """Order: write one line to the log."""

    event: int
    fields: dict


Order = (
    StartRun
    | StopRun
    | AnswerJob
    | ShareJob
    | AnnounceJob
    | ShareFate
    | ShareOpenJobs
    | ShareLosses
    | LogDecision
)


@attrs.frozen
class RunningRow:
    """One run that a backend server lists as running.

    Attributes:
        number: Number of the run among the runs of its task.
        percent: Progress of the run.
    """

    key: zonetables.TaskKey
    number: int
    percent: int


@attrs.frozen
class EndedRow:
    """One run that a backend server lists as ended.

    Attributes:
        sequence: Number of the end within the server's incarnation, from 1.
        number: Number of the run among the runs of its task.
        kind: How it ended.
    """

    sequence: int
    key: zonetables.TaskKey
    number: int
    kind: zonetables.EndKind


@attrs.frozen
class PollResult:
    """The response to a poll of a backend server.

    Attributes:
        incarnation: Incarnation of the server: start of its process in ms since
            1970.
        server_clock_ms: Its monotonic clock when it responded.
        running: All runs that it executes.
        ended: Ends that the placer has not acknowledged.
    """

    incarnation: int
    server_clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
