"""Fake backend servers that obey the platform's rules and check ours.

They know no network: the property tests call them under a virtual clock, and
`zonestandin` serves them over HTTP.
"""

import attrs

from acacialine import orders
from acacialine import zonetables

STOP_S = 0.05  # a backend server takes as long for a stop


@attrs.define(eq=False)
class FakeRun:
    """A run on a fake backend server."""

    key: zonetables.TaskKey
    number: int
    cpu: int
    ends_at: float
    stopping_at: float | None = None


@attrs.define(eq=False)
class FakeServer:
    """A backend server that obeys the platform's rules and checks ours.

    It starts whatever it is told, as one that does not guard its capacity.
    """

    id: str
    cpu: int
    world: "FakeWorld"
    epoch: int = 0
    lease_until: float = 0.0
    runs: dict = attrs.field(factory=dict)
    highest: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    ends: int = 0

    def crash(self) -> None:
        """Ends all runs and forgets every epoch and number."""
        for run in self.runs.values():
            self.world.note_end(run)
        self.runs.clear()
        self.highest.clear()
        self.ended.clear()
        self.ends = self.epoch = 0

    def settle(self, now: float) -> None:
        """Ends what is due by the time."""
        for run_id, run in list(self.runs.items()):
            if now > self.lease_until:
                self._end(run_id, zonetables.EndKind.LAPSED)
            elif run.stopping_at is not None and (
                now >= run.stopping_at + STOP_S
            ):
                self._end(run_id, zonetables.EndKind.STOPPED)
            elif now >= run.ends_at:
                failing = run.key.job_id in self.world.failing
                kind = zonetables.EndKind
                self._end(run_id, kind.FAILED if failing else kind.DONE)

    def _end(self, run_id, kind: zonetables.EndKind) -> None:
        run = self.runs.pop(run_id)
        self.ends += 1
        self.ended.append(orders.EndedRow(self.ends, run.key, run.number, kind))
        self.world.note_end(run)

    def start(
        self, run: zonetables.Run, epoch: int, until: float, now: float
    ) -> orders.StartOutcome:
        """Carries out a start order that arrives now."""
        self.settle(now)
        if epoch < self.epoch:
            return orders.StartOutcome.FENCED
        self.epoch = epoch
        if now > until:
            return orders.StartOutcome.NOT_STARTED
        if (run.key, run.number) in self.runs:
            return orders.StartOutcome.STARTED
        if run.number <= self.highest.get(run.key, 0):
            return orders.StartOutcome.OLD_NUMBER
        self.highest[run.key] = run.number
        self.lease_until = max(self.lease_until, until)
        length_s = self.world.length_s(run.key)
        cpu = self.world.cpu_of[run.key.job_id]
        fake = FakeRun(run.key, run.number, cpu, now + length_s)
        self.world.note_start(self, fake)
        self.runs[(run.key, run.number)] = fake
        return orders.StartOutcome.STARTED

    def stop(self, run: zonetables.Run, epoch: int, now: float) -> bool:
        """Carries out a stop order that arrives now."""
        self.settle(now)
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        self.highest[run.key] = max(self.highest.get(run.key, 0), run.number)
        found = self.runs.get((run.key, run.number))
        if found is not None and found.stopping_at is None:
            found.stopping_at = now
        return True

    def look(
        self, epoch: int, acknowledged: int, until: float, now: float
    ) -> orders.Observation | None:
        """Lists runs and renews the lease; None for a lower epoch."""
        self.settle(now)
        if epoch < self.epoch:
            return None
        self.epoch = epoch
        self.ended = [e for e in self.ended if e.sequence > acknowledged]
        if self.runs:
            self.lease_until = max(self.lease_until, until)
        running = tuple(
            orders.RunningRow(r.key, r.number, 50) for r in self.runs.values()
        )
        return orders.Observation(
            1, round(now * 1000), running, tuple(self.ended)
        )


@attrs.define(eq=False)
class FakeWorld:
    """All fake backend servers, and the rules that they see broken."""

    cpu_of: dict[str, int] = attrs.field(factory=dict)
    lengths: dict[str, float] = attrs.field(factory=dict)
    servers: dict[str, FakeServer] = attrs.field(factory=dict)
    failing: set = attrs.field(factory=set)
    live: dict = attrs.field(factory=dict)
    started: set = attrs.field(factory=set)
    broken: list[str] = attrs.field(factory=list)

    def add(self, server_id: str, cpu: int) -> FakeServer:
        """Adds a backend server."""
        self.servers[server_id] = FakeServer(server_id, cpu, self)
        return self.servers[server_id]

    def length_s(self, key: zonetables.TaskKey) -> float:
        """Returns how long the task takes."""
        return self.lengths.get(key.job_id, 0.1)

    def note_start(self, where: FakeServer, run: FakeRun) -> None:
        """Checks a start against capacity and other runs of the task."""
        used = sum(r.cpu for r in where.runs.values()) + run.cpu
        if used > where.cpu:
            self.broken.append(f"LIMIT {run.key} on {where.id}: {used}")
        if self.live.get(run.key):
            self.broken.append(f"TWICE {run.key} on {where.id}")
        self.live[run.key] = self.live.get(run.key, 0) + 1
        self.started.add(run.key.job_id)

    def note_end(self, run: FakeRun) -> None:
        """Notes that a run is over."""
        self.live[run.key] -= 1
