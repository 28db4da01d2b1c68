"""Actions that the core returns and the entry executes."""

import attrs

from acacialine import events
from acacialine import tables as tables_lib


@attrs.frozen(eq=False)
class StartTask:
    """Sends the start request of a recorded attempt.

    Attributes:
        grant: The granted slot that the task runs on.
        attempt: Number of the attempt, from 1.
    """

    task: tables_lib.Task
    grant: tables_lib.Grant
    attempt: int


@attrs.frozen(eq=False)
class StopTask:
    """Stops an attempt in flight whose answer is no longer needed."""

    task: tables_lib.Task
    attempt: int


@attrs.frozen(eq=False)
class FinishJob:
    """Delivers the final answer of a job to the waiting requests."""

    job: tables_lib.Job


@attrs.frozen(eq=False)
class Send:
    """Sends a message to a peer."""

    peer_id: str
    message: object


@attrs.frozen(eq=False)
class LogEvent:
    """Writes an event to the log and counts it in the metrics."""

    event: events.Event
    fields: dict


@attrs.frozen(eq=False)
class LogDecision:
    """Writes a routing or placement decision to the log, if enabled."""

    event: events.Event
    fields: dict


Action = StartTask | StopTask | FinishJob | Send | LogEvent | LogDecision


def log_event(tables: tables_lib.Tables, event: events.Event, **fields) -> None:
    """Appends a `LogEvent` to the actions."""
    tables.actions.append(LogEvent(event, fields))


def log_decision(
    tables: tables_lib.Tables, event: events.Event, **fields
) -> None:
    """Appends a `LogDecision` to the actions."""
    tables.actions.append(LogDecision(event, fields))
