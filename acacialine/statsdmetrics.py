"""Counters and gauges of an entry, sent to statsd."""

import collections.abc

import attrs
import statsd

from acacialine import events
from acacialine import settings as settings_lib
from acacialine import tables as tables_lib


@attrs.define(eq=False)
class StatsdMetrics:
    """Sends the metrics of one entry; does nothing without a client."""

    client: statsd.StatsClient | None
    _last_reported: dict[str, int] = attrs.field(factory=dict)

    def event(self, event: events.Event) -> None:
        """Counts a numbered event."""
        if self.client:
            self.client.incr(f"event.{event.name.lower()}")

    def report(
        self,
        tables: tables_lib.Tables,
        capacity: collections.abc.Callable,
        now: float,
    ) -> None:
        """Sends gauges and the counters' increases since the last report.

        Metrics of one report share one packet.

        Args:
            tables: State of the entry.
            capacity: Returns the total and the free slots, given `tables`
                and `now`.
            now: Time of the report.
        """
        if not self.client:
            return
        slots, free = capacity(tables, now)
        with self.client.pipeline() as pipe:
            for name, value in tables.counters.items():
                increase = value - self._last_reported.get(name, 0)
                if increase:
                    pipe.incr(name, increase)
                    self._last_reported[name] = value
            pipe.gauge("slots", slots)
            pipe.gauge("slots_free", free)
            pipe.gauge("jobs", len(tables.jobs))
            pipe.gauge("queued_bytes", tables.queued_bytes)
            pipe.gauge("config_offset", tables.configuration.offset)
            pipe.gauge("peers", len(tables.peers))


def new_metrics(settings: settings_lib.LogSettings) -> StatsdMetrics:
    """Returns metrics that go to the statsd address in the settings, if any."""
    if not settings.statsd:
        return StatsdMetrics(None)
    host, _, port = settings.statsd.rpartition(":")
    client = statsd.StatsClient(host, int(port), settings.statsd_prefix)
    return StatsdMetrics(client)
