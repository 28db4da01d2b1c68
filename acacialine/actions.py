"""Actions that decisions return and the shell carries out."""

import attrs

from acacialine import events
from acacialine import tables as tables_lib


@attrs.frozen(eq=False)
class StartTask:
    """Starts a recorded attempt on a backend server.

    Attributes:
        use_until: Time after which it must not be sent any more.
    """

    task: tables_lib.Task
    grant: tables_lib.Grant
    attempt: int


@attrs.frozen(eq=False)
class StopTask:
    """Stops an attempt in flight whose answer nobody waits for."""

    task: tables_lib.Task
    attempt: int


@attrs.frozen(eq=False)
class FinishJob:
    """Hands the final answer of a job to those who wait for it."""

    job: tables_lib.Job


@attrs.frozen(eq=False)
class Send:
    """Sends a message to a peer."""

    peer_id: str
    message: object


@attrs.frozen(eq=False)
class LogEvent:
    """Writes a numbered event."""

    event: events.Event
    fields: dict


@attrs.frozen(eq=False)
class LogDecision:
    """Writes a routing or placement decision."""

    event: events.Event
    fields: dict


Action = StartTask | StopTask | FinishJob | Send | LogEvent | LogDecision


def log_event(tables: tables_lib.Tables, event: events.Event, **fields) -> None:
    """Appends a `LogEvent`."""
    tables.actions.append(LogEvent(event, fields))


def log_decision(
    tables: tables_lib.Tables, event: events.Event, **fields
) -> None:
    """Appends a `LogDecision`."""
    tables.actions.append(LogDecision(event, fields))
