"""Numbered events of a dispatcher as lines on standard output.

One format: `TIME LEVEL E<number> <name> at=<entry> key=value ...`, where TIME
is the time of day in UTC. docs/EVENTS.md is the catalogue.
"""

import datetime
import logging as python_logging

from absl import logging

from acacialine import events
from acacialine import log
from acacialine import logsink

_FAILURES = frozenset(
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
        events.Event.ZONE_OWNED,
        events.Event.ZONE_RESIGNED,
        events.Event.ZONE_FENCED,
        events.Event.REQUEST_FAILED,
        events.Event.REQUEST_REJECTED,
        events.Event.REQUEST_ABANDONED,
        events.Event.STORE_LOST,
        events.Event.STORE_REGAINED,
        events.Event.STORE_RECORD_IGNORED,
        events.Event.ROUTES_IN_FORCE,
        events.Event.PEER_DISCONNECTED,
        events.Event.LOG_DROPPED,
        events.Event.LOOP_PAUSED,
        events.Event.SETTINGS_RELOADED,
        events.Event.SETTINGS_REJECTED,
        events.Event.DISPATCHER_STARTED,
        events.Event.DISPATCHER_STOPPING,
        events.Event.DISPATCHER_STOPPED,
    }
)


class _SinkHandler(python_logging.Handler):
    """Hands records of absl's logger to the sink."""

    def __init__(self, sink: logsink.Sink):
        super().__init__()
        self._sink = sink

    def emit(self, record: python_logging.LogRecord) -> None:
        at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        time_text = at.strftime("%H:%M:%S.%f")[:-3]
        is_failure = record.levelno >= python_logging.WARNING
        level = "W" if is_failure else "I"
        line = f"{time_text} {level} {record.getMessage()}"
        self._sink.put(line, is_failure)


class EventLog:
    """Writes events of one process; drops beyond the budget are counted."""

    def __init__(self, source: str, sink: logsink.Sink):
        self._source = source
        self.sink = sink
        sink.on_dropped = self._dropped

    def event(self, event: events.Event, **fields) -> None:
        """Writes one event with its fields."""
        line = log.format_event(event, self._source, fields)
        if event in _FAILURES:
            logging.warning("%s", line)
        else:
            logging.info("%s", line)

    def flush(self) -> None:
        """Writes what the reader did not take before; tells of drops."""
        self.sink.flush()
        self.sink.tell_dropped()

    def _dropped(self, count: int) -> None:
        self.event(events.Event.LOG_DROPPED, lines=count)


def new_event_log(source: str, fd: int = 1) -> EventLog:
    """Creates the log of this process on a file descriptor."""
    sink = logsink.Sink(fd)
    logger = logging.get_absl_logger()
    logger.handlers = [_SinkHandler(sink)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return EventLog(source, sink)
