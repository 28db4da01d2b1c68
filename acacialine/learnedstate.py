"""What a placer has learned of its zone, kept by the candidates to succeed it.

Answers the load right after a placer is lost in a zone whose backend servers
differ in speed: without this state its successor expects the same duration on
all of them. Old knowledge decays, so that a server whose load has changed since
is not misjudged for long.
"""

import collections.abc
import math

import attrs

from acacialine import messages
from acacialine import zonetables

# Age at which half of a deviation from the expected speed is still assumed.
HALF_LIFE_S = 30.0
MAX_AGE_S = 300.0  # older state is dropped
# Smallest change of a factor that is reported; runs spread more than that.
MIN_REPORTED_CHANGE = 0.05
# Bounds of a received factor; the same as those of `serverhealth`.
MIN_FACTOR = 0.25
MAX_FACTOR = 8.0


@attrs.frozen
class _ReportedValue:
    """A reported value and the number of the report that first had it."""

    value: object
    report_number: int


@attrs.define(eq=False)
class Reporter:
    """Builds the reports of one placer to the candidates of its zone.

    A receiver gets all values first, then those that have changed. An empty
    report only shows that the others are current.
    """

    zone: str
    _values: dict[tuple[str, str], _ReportedValue] = attrs.field(factory=dict)
    _report_number: int = 0
    _sent_numbers: dict[collections.abc.Hashable, int] = attrs.field(
        factory=dict
    )

    def update(self, tables: zonetables.ZoneTables) -> None:
        """Reads the current values from the tables of the placer."""
        self._report_number += 1
        current: dict[tuple[str, str], object] = {}
        for server in tables.servers.values():
            if server.incarnation:
                current["server", server.id] = messages.ServerKnowledge(
                    server.id,
                    server.incarnation,
                    server.slowness,
                    server.failure_rate,
                )
        for name, ratio in tables.estimate_ratio.items():
            current["queue", name] = messages.QueueKnowledge(name, ratio)
        for key, value in current.items():
            known = self._values.get(key)
            if known is None or _differs(known.value, value):
                self._values[key] = _ReportedValue(value, self._report_number)
        for key in self._values.keys() - current.keys():
            del self._values[key]

    def report_for(
        self, receiver: collections.abc.Hashable
    ) -> messages.LearnedState:
        """Returns the values that a receiver has not got since `update`."""
        sent_number = self._sent_numbers.get(receiver, 0)
        self._sent_numbers[receiver] = self._report_number
        changed = [
            v.value
            for v in self._values.values()
            if v.report_number > sent_number
        ]
        return messages.LearnedState(
            self.zone,
            [v for v in changed if isinstance(v, messages.ServerKnowledge)],
            [v for v in changed if isinstance(v, messages.QueueKnowledge)],
        )

    def retain_receivers(
        self, receivers: collections.abc.Collection[collections.abc.Hashable]
    ) -> None:
        """Forgets all other receivers; they get all values if they return."""
        for receiver in self._sent_numbers.keys() - set(receivers):
            del self._sent_numbers[receiver]


def _differs(old, new) -> bool:
    """Returns whether a value has changed enough to be reported again."""
    match old, new:
        case messages.ServerKnowledge(), messages.ServerKnowledge():
            return (
                old.incarnation != new.incarnation
                or _factor_differs(old.slowness, new.slowness)
                or abs(old.failure_rate - new.failure_rate)
                >= MIN_REPORTED_CHANGE
            )
        case _:
            return _factor_differs(old.estimate_ratio, new.estimate_ratio)


def _factor_differs(old: float, new: float) -> bool:
    return abs(new / old - 1) >= MIN_REPORTED_CHANGE


@attrs.define(eq=False)
class LearnedState:
    """The state of the placer of the local zone, as it was last reported.

    Attributes:
        reported_at: When the last report arrived, which shows that values that
            it does not repeat are current.
    """

    reported_at: float = -math.inf
    _servers: dict[str, messages.ServerKnowledge] = attrs.field(factory=dict)
    _queues: dict[str, messages.QueueKnowledge] = attrs.field(factory=dict)

    def record_report(self, report: messages.LearnedState, now: float) -> None:
        """Adds the values of a report."""
        if now - self.reported_at > MAX_AGE_S:
            self._servers.clear()
            self._queues.clear()
        self.reported_at = now
        self._servers.update((s.id, s) for s in report.servers)
        self._queues.update((q.name, q) for q in report.queues)

    def retain_servers(
        self, server_ids: collections.abc.Collection[str]
    ) -> None:
        """Forgets the servers that are not in the list any more."""
        for server_id in self._servers.keys() - set(server_ids):
            del self._servers[server_id]

    def knows(self, server: zonetables.Server, now: float) -> bool:
        """Returns whether this incarnation of a server is known."""
        known = self._servers.get(server.id)
        return (
            known is not None
            and now - self.reported_at <= MAX_AGE_S
            and server.announced_incarnation in (0, known.incarnation)
        )

    def apply_to_server(self, server: zonetables.Server, now: float) -> None:
        """Sets the speed and failure rate of a server, if they are known."""
        if not self.knows(server, now):
            return
        known = self._servers[server.id]
        server.slowness = self._faded_factor(known.slowness, now)
        if 0 <= known.failure_rate <= 1:
            server.failure_rate = known.failure_rate * self._weight(now)

    def apply_to_queues(
        self, tables: zonetables.ZoneTables, now: float
    ) -> None:
        """Sets the estimate ratios of the queues."""
        if now - self.reported_at > MAX_AGE_S:
            return
        for name, known in self._queues.items():
            tables.estimate_ratio[name] = self._faded_factor(
                known.estimate_ratio, now
            )

    def _weight(self, now: float) -> float:
        """Returns how much of a deviation still counts, 0 to 1."""
        return 0.5 ** (max(0.0, now - self.reported_at) / HALF_LIFE_S)

    def _faded_factor(self, factor: float, now: float) -> float:
        if not math.isfinite(factor):
            return 1.0
        factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
        return factor ** self._weight(now)
