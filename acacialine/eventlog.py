"""Writes the numbered events of a dispatcher as lines to standard output.

A line has the form `TIME LEVEL E<number> <name> at=<source> key=value ...`,
where TIME is the time of day in UTC. docs/EVENTS.md lists the events.
"""

import functools
import logging as python_logging
import time

from absl import logging

from acacialine import events
from acacialine import log
from acacialine import logsink

# Written at warning level and from the reserved share of the log budget.
_PRIORITY_EVENTS = frozenset(
    {
        events.Event.ZONE_JOB_REFUSED,
        events.Event.ZONE_JOB_FAILED,
        events.Event.ZONE_JOB_CANCELLED,
        events.Event.ZONE_RUN_NOT_STARTED,
        events.Event.ZONE_RUN_DOUBTFUL,
        events.Event.ZONE_RUN_STALLED,
        events.Event.ZONE_RUN_ENDED,
        events.Event.ZONE_SERVER_REBORN,
        events.Event.ZONE_SERVER_AVOIDED,
        events.Event.ZONE_SERVER_SILENT,
        events.Event.ZONE_SERVER_SUSPECTED,
        events.Event.ZONE_SERVER_LOSSY,
        events.Event.ZONE_CAPACITY_IN_DOUBT,
        events.Event.ZONE_OWNED,
        events.Event.ZONE_RESIGNED,
        events.Event.ZONE_FENCED,
        events.Event.ZONE_JOB_RESUMED,
        events.Event.ZONE_JOB_OVERLAPS,
        events.Event.ZONE_RUN_DUPLICATE,
        events.Event.REQUEST_TARGET_LOST,
        events.Event.REQUEST_FAILED,
        events.Event.REQUEST_REJECTED,
        events.Event.REQUEST_ABANDONED,
        events.Event.REQUEST_OUTLIVED,
        events.Event.STORE_LOST,
        events.Event.STORE_REGAINED,
        events.Event.STORE_RECORD_IGNORED,
        events.Event.ROUTES_IN_FORCE,
        events.Event.PEER_DISCONNECTED,
        events.Event.PEER_REJECTED,
        events.Event.LOG_DROPPED,
        events.Event.LOOP_PAUSED,
        events.Event.UNEXPECTED_ERROR,
        events.Event.CLIENTS_LIMITED,
        events.Event.SETTINGS_RELOADED,
        events.Event.SETTINGS_REJECTED,
        events.Event.DISPATCHER_STARTED,
        events.Event.DISPATCHER_STOPPING,
        events.Event.DISPATCHER_STOPPED,
    }
)


class _SinkHandler(python_logging.Handler):
    """Passes the records of absl's logger to the sink."""

    def __init__(self, sink: logsink.Sink):
        super().__init__()
        self._sink = sink

    def emit(self, record: python_logging.LogRecord) -> None:
        is_priority = record.levelno >= python_logging.WARNING
        line = _format_line(record.created, is_priority, record.getMessage())
        self._sink.put(line, is_priority)


@functools.lru_cache(maxsize=2)
def _format_second(second: int) -> str:
    """Formats the time of day of a time in whole s since 1970, in UTC."""
    return time.strftime("%H:%M:%S", time.gmtime(second))


def _format_line(created: float, is_priority: bool, text: str) -> str:
    second = int(created)
    milliseconds = int((created - second) * 1000)
    level = "W" if is_priority else "I"
    return f"{_format_second(second)}.{milliseconds:03d} {level} {text}"


class EventLog:
    """Writes the events of one process, named by `source`.

    Events go to the sink directly, as a record of absl's logger costs several
    times as much. Lines over the budget of the sink are dropped and counted.
    """

    def __init__(self, source: str, sink: logsink.Sink):
        self._source = source
        self.sink = sink
        sink.on_dropped = self._log_dropped

    def event(self, event: events.Event, **fields) -> None:
        """Writes one event with its fields."""
        is_priority = event in _PRIORITY_EVENTS
        text = log.format_event(event, self._source, fields)
        self.sink.put(_format_line(time.time(), is_priority, text), is_priority)

    def flush(self) -> None:
        """Writes buffered lines and reports dropped ones."""
        self.sink.flush()
        self.sink.report_dropped()

    def _log_dropped(self, count: int) -> None:
        self.event(events.Event.LOG_DROPPED, lines=count)


def new_event_log(source: str, fd: int = 1) -> EventLog:
    """Returns an event log that writes to a file descriptor.

    Replaces the handlers of absl's logger, so that its records go there too.
    """
    sink = logsink.Sink(fd, is_batched=True)
    logger = logging.get_absl_logger()
    logger.handlers = [_SinkHandler(sink)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return EventLog(source, sink)
