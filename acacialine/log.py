"""Structured log lines on stderr: `E<number> <name> at=<source> key=value ...`.

`eventlog` formats events alike, but writes them to standard output.
"""

import re

from absl import flags
from absl import logging

from acacialine import events

_WARNING_EVENTS = frozenset(
    {
        events.Event.CLOCK_JUMP,
        events.Event.TASK_UNKNOWN,
        events.Event.BACKEND_QUARANTINED,
        events.Event.PEER_DEAD,
        events.Event.PEER_REJECTED,
        events.Event.CONFIG_REJECTED,
        events.Event.PLATFORM_DOWN,
        events.Event.LOOP_BLOCKED,
    }
)

_EVENT_TEXTS = {e: f"E{e.value} {e.name.lower()}" for e in events.Event}
_QUOTED_CHARACTERS = re.compile('[ "\n=]')


class Logger:
    """Writes the numbered events of one process, named by `source`.

    Attributes:
        decisions: Whether `decision` writes its events.
    """

    def __init__(self, source: str, decisions: bool = True):
        self._source = source
        self.decisions = decisions

    def event(self, event: events.Event, **fields) -> None:
        """Writes one event with its fields."""
        line = format_event(event, self._source, fields)
        if event in _WARNING_EVENTS:
            logging.warning("%s", line)
        else:
            logging.info("%s", line)

    def decision(self, event: events.Event, **fields) -> None:
        """Writes one routing or placement decision, unless disabled."""
        if self.decisions:
            logging.info("%s", format_event(event, self._source, fields))


def format_event(event: events.Event, source: str, fields: dict) -> str:
    """Formats an event as one line of key=value pairs."""
    pairs = " ".join([f"{k}={_format_value(v)}" for k, v in fields.items()])
    return f"{_EVENT_TEXTS[event]} at={source} {pairs}"


def _format_value(value) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text or _QUOTED_CHARACTERS.search(text):
        return '"' + text.replace('"', "'").replace("\n", "\\n") + '"'
    return text


def configure_logging(verbose: bool = True) -> None:
    """Sets absl's logger up to write log lines to stderr."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    logging.set_stderrthreshold(logging.INFO)
