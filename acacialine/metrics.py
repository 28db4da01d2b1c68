"""Counters, gauges and timings sent to statsd."""

import collections.abc

import attrs
import statsd

from acacialine import events
from acacialine import settings as settings_lib
from acacialine import tables as tables_lib


@attrs.define(eq=False)
class Metrics:
    """Sends metrics of one entry; does nothing without an address."""

    client: statsd.StatsClient | None
    _sent: dict[str, int] = attrs.field(factory=dict)

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
        """Sends what has changed since the last report, in one packet."""
        if not self.client:
            return
        slots, free = capacity(tables, now)
        with self.client.pipeline() as pipe:
            for name, value in tables.counters.items():
                change = value - self._sent.get(name, 0)
                if change:
                    pipe.incr(name, change)
                    self._sent[name] = value
            pipe.gauge("slots", slots)
            pipe.gauge("slots_free", free)
            pipe.gauge("jobs", len(tables.jobs))
            pipe.gauge("queued_bytes", tables.queued_bytes)
            pipe.gauge("config_offset", tables.fold.offset)
            pipe.gauge("peers", len(tables.peers))


def new_metrics(settings: settings_lib.LogSettings) -> Metrics:
    """Creates the metrics client that the settings name."""
    if not settings.statsd:
        return Metrics(None)
    host, _, port = settings.statsd.rpartition(":")
    client = statsd.StatsClient(host, int(port), settings.statsd_prefix)
    return Metrics(client)
