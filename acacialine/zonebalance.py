"""Balance between zones: which zone runs a job that its own can't in time.

The load addressed: one zone of three or four gets 2 to 2.4 times its usual load
for 3 to 8 s, or loses a third of its backend servers, while the others have
room. A job waits about 0.1 s at most, so reports that are 0.4 to 0.8 s old send
it to zones that have filled up meanwhile.

The placer of each zone summarizes it in a few numbers (`Summarizer`). Each
dispatcher predicts from them where a job would end, and counts what it has sent
to a zone since the summary was made (`Balancer`). This module does no I/O. All
times are in s on the clock of `clock.now`; CPU is in millicores.
"""

import bisect
import collections.abc
import math

import attrs

from acacialine import schedule
from acacialine import serverhealth
from acacialine import zonetables

HORIZONS_S = (0.05, 0.15, 0.4)  # of the numbers about the near future
HOLE_STEPS = 32  # size classes of free capacity up to the largest server
MAX_SERVICES = 32  # in one summary; more are left out
MAX_CPU = 2**40  # bound of received numbers, in millicores
MAX_COUNT = 2**16 - 1  # of servers in one size class
# A zone is under pressure below the first share of free CPU, until it has had
# more than the second for PRESSURE_HOLD_S. Summaries are sent meanwhile.
PRESSURE_FREE_SHARE = 0.05
RELIEF_FREE_SHARE = 0.12
PRESSURE_HOLD_S = 0.3
# A zone whose urgent tasks found no room within this time gets no moved job.
# With half of it, two overloaded zones exchange more jobs.
FULL_HOLD_S = 0.4
# Summaries are at least this far apart, as bytes between zones are priced.
SUMMARY_INTERVAL_S = 0.08
# An unchanged summary is repeated, since an older one is trusted less.
REPEAT_INTERVAL_S = 0.25
CHANGE_SHARE = 0.08  # of the usable CPU; smaller changes are not sent
# Free capacity counts fully up to the first age, as an unchanged summary is
# repeated only then, and not at all at the second.
TRUSTED_AGE_S = REPEAT_INTERVAL_S
MAX_AGE_S = 0.7
# The way to another zone and back: 1.8 to 2.8 ms and handling at both ends.
WIRE_DELAY_S = 0.004
# A job is moved only if it then ends earlier by this share of its objective
# and at least by this time, else errors of the forecast would move demand.
ADVANTAGE_SHARE = 0.15
ADVANTAGE_MIN_S = 0.01
# What was sent to a zone counts for so long, or until a summary includes it.
PROMISE_S = 0.3


@attrs.frozen
class ServiceSummary:
    """The capacity of one zone for one service.

    Attributes:
        largest_cpu: Capacity of the largest usable server.
        holes: Number of usable servers by size class; a server in class n has
            at least n / HOLE_STEPS of `largest_cpu` free.
        soon_cpu: CPU of the runs that are expected to end within each of
            HORIZONS_S.
        waiting_cpu: CPU of the waiting tasks whose latest start is within
            each of HORIZONS_S, and of all that can still meet their objective.
        waiting_core_s: Core-seconds of the latter.
        usable_cpu: Capacity of the usable servers.
        slowness: Mean slowness of the servers with free capacity, or of all
            usable ones if none has any.
        task_cpu: Mean demand of the tasks that run or wait; 0 without any.
    """

    name: str
    largest_cpu: int
    holes: tuple[int, ...]
    soon_cpu: tuple[int, ...]
    waiting_cpu: tuple[int, ...]
    waiting_core_s: float
    usable_cpu: int
    slowness: float
    task_cpu: int = 0

    @property
    def free_cpu(self) -> int:
        """Free CPU of the usable servers, rounded down."""
        return sum(n * self._hole_cpu(c) for c, n in enumerate(self.holes))

    @property
    def fitting_cpu(self) -> int:
        """Free CPU that tasks of the mean size can use."""
        if not self.task_cpu:
            return self.free_cpu
        return self.free_slots(self.task_cpu) * self.task_cpu

    def _hole_cpu(self, size_class: int) -> int:
        return size_class * self.largest_cpu // HOLE_STEPS

    def free_slots(self, cpu: int) -> int:
        """Returns how many tasks of a size fit now, ignoring what waits."""
        return sum(
            count * (self._hole_cpu(size_class) // cpu)
            for size_class, count in enumerate(self.holes)
        )

    def wait_s(self, cpu: int, count: int, ahead_cpu: float, trust: float):
        """Returns the time until the last task of a job could start.

        Args:
            cpu: Demand of each task.
            count: Number of tasks.
            ahead_cpu: CPU of the tasks that start before them.
            trust: Share of the free capacity that counts.

        Returns:
            None if the zone has no usable server for the tasks.
        """
        if self.usable_cpu < cpu or not self.holes:
            return None
        needed = count + ahead_cpu / cpu
        points = [(0.0, self.free_slots(cpu) * trust)]
        for horizon_s, soon_cpu in zip(HORIZONS_S, self.soon_cpu, strict=True):
            points.append((horizon_s, points[0][1] + soon_cpu / cpu))
        if needed <= points[0][1]:
            return 0.0
        for (from_s, before), (to_s, after) in zip(
            points, points[1:], strict=False
        ):
            if needed <= after:
                share = (needed - before) / (after - before)
                return from_s + share * (to_s - from_s)
        # Further on capacity returns as it does up to the last horizon; where
        # nothing ends until then, all of it is assumed to return once a second.
        last_s, last = points[-1]
        rate = (last - points[0][1]) / last_s or self.usable_cpu / cpu
        return last_s + (needed - last) / rate


@attrs.frozen
class Summary:
    """The state of a zone as its placer last summarized it.

    Attributes:
        epoch: Epoch of the placer's claim.
        version: Number of the summary among those of its placer.
        made_at: When it was made, as estimated from its age on arrival.
        is_pressed: Whether the zone is under pressure.
        is_full: Whether urgent tasks of the zone itself find no room.
        services: The summary of each service.
    """

    zone: str
    epoch: int
    version: int
    made_at: float
    is_pressed: bool
    is_full: bool
    services: dict[str, ServiceSummary]


@attrs.frozen
class Demand:
    """What a job needs.

    Attributes:
        service: Service of the backend servers.
        cpu: CPU of each task.
        count: Number of tasks.
        estimate_s: Declared duration of a task.
        objective_s: Time until its clients want the answer.
        left_s: Time until they stop waiting.
    """

    service: str
    cpu: int
    count: int
    estimate_s: float
    objective_s: float
    left_s: float


@attrs.frozen
class Choice:
    """A zone that takes a job.

    Attributes:
        own_end_s: Time until the job would end in its own zone; infinite if
            not known.
        end_s: Time until it would end in this one.
        age_s: Age of the summary that says so.
    """

    zone: str
    own_end_s: float
    end_s: float
    age_s: float


def new_demand(submission, age_s: float, left_s: float) -> Demand | None:
    """Returns the demand of a job; None if summaries don't describe it."""
    step = submission.step
    demand = step.demand
    if step.label or demand.gpu or demand.cpu <= 0:
        return None
    queue = submission.queue
    objective_s = queue.stretch * step.estimate_s + queue.target_latency_s
    return Demand(
        queue.service,
        demand.cpu,
        step.count,
        step.estimate_s,
        objective_s - age_s,
        left_s,
    )


def _summarize_service(
    name: str,
    servers: list[zonetables.Server],
    jobs: list[zonetables.Job],
    now: float,
) -> ServiceSummary:
    """Summarizes the usable servers and the waiting jobs of one service."""
    usable_cpu = sum(s.capacity.cpu for s in servers)
    largest_cpu = max((s.capacity.cpu for s in servers), default=0)
    holes = [0] * (HOLE_STEPS + 1)
    soon_cpu = [0] * len(HORIZONS_S)
    free_cpu = 0
    weighted_slowness = 0.0
    demands = []
    for server in servers:
        free = max(0, server.free.cpu)
        if server.isolated_runs or server.unclaimed_runs:
            free = 0
        if largest_cpu:
            holes[min(free * HOLE_STEPS // largest_cpu, HOLE_STEPS)] += 1
        free_cpu += free
        weighted_slowness += free * serverhealth.slowness(server, now)
        for run in server.runs.values():
            demands.append(run.demand.cpu)
            left_s = schedule.expected_end(run, now) - now
            index = bisect.bisect_left(HORIZONS_S, left_s)
            if index < len(HORIZONS_S):
                soon_cpu[index] += run.demand.cpu
    if free_cpu:
        slowness = weighted_slowness / free_cpu
    elif servers:
        total = sum(serverhealth.slowness(s, now) for s in servers)
        slowness = total / len(servers)
    else:
        slowness = 1.0
    waiting_cpu = [0] * (len(HORIZONS_S) + 1)
    waiting_core_s = 0.0
    for job in jobs:
        latest_start = job.objective_at - job.estimate_s
        if latest_start < now:
            continue  # it starts after all that can still meet their targets
        demands.extend([job.step.demand.cpu] * len(job.waiting))
        cpu = len(job.waiting) * job.step.demand.cpu
        waiting_cpu[bisect.bisect_left(HORIZONS_S, latest_start - now)] += cpu
        waiting_core_s += cpu / 1000 * job.estimate_s
    return ServiceSummary(
        name,
        largest_cpu,
        tuple(min(count, MAX_COUNT) for count in holes),
        _cumulate(soon_cpu),
        _cumulate(waiting_cpu),
        waiting_core_s,
        usable_cpu,
        slowness,
        sum(demands) // len(demands) if demands else 0,
    )


def _cumulate(values: list[int]) -> tuple[int, ...]:
    total = 0
    sums = []
    for value in values:
        total += value
        sums.append(total)
    return tuple(sums)


@attrs.define(eq=False)
class Summarizer:
    """Summarizes a zone and decides when a summary is sent; used by its placer.

    Attributes:
        is_pressed: Whether the zone is under pressure.
    """

    zone: str
    epoch: int
    is_pressed: bool = False
    _version: int = 0
    _made_at: float = -math.inf
    _pressed_at: float = -math.inf
    _full_at: float = -math.inf
    _sent: Summary | None = None

    def update(
        self,
        tables: zonetables.ZoneTables,
        is_peer_pressed: bool,
        is_evacuated: bool,
        now: float,
    ) -> Summary | None:
        """Returns a summary if one is to be sent now.

        Args:
            tables: The tables of the placer.
            is_peer_pressed: Whether another zone is under pressure.
            is_evacuated: Whether nothing starts in the zone.
            now: The current time.
        """
        if now - self._made_at < SUMMARY_INTERVAL_S:
            return None
        self._made_at = now
        services = _summarize(tables, is_evacuated, now)
        was_pressed = self.is_pressed
        self._update_pressure(services, now)
        if not (self.is_pressed or was_pressed or is_peer_pressed):
            self._sent = None
            return None
        summary = Summary(
            self.zone,
            self.epoch,
            self._version + 1,
            now,
            self.is_pressed,
            is_evacuated or self._is_full(now),
            services,
        )
        if self._sent is not None and not _has_changed(self._sent, summary):
            return None
        self._version = summary.version
        self._sent = summary
        return summary

    def _update_pressure(
        self, services: dict[str, ServiceSummary], now: float
    ) -> None:
        for service in services.values():
            # Fragments that no task fits into would hide a full zone.
            fitting_cpu = service.fitting_cpu
            free_cpu = fitting_cpu - service.waiting_cpu[-1]
            share = PRESSURE_FREE_SHARE
            if self.is_pressed:
                share = RELIEF_FREE_SHARE
            if free_cpu < share * service.usable_cpu:
                self._pressed_at = now
            if service.waiting_cpu[-1] > fitting_cpu + service.soon_cpu[0]:
                self._full_at = now
        # The last summary of a zone under pressure must not call it full.
        self.is_pressed = (
            now - self._pressed_at <= PRESSURE_HOLD_S or self._is_full(now)
        )

    def _is_full(self, now: float) -> bool:
        return now - self._full_at <= FULL_HOLD_S


def _summarize(
    tables: zonetables.ZoneTables, is_evacuated: bool, now: float
) -> dict[str, ServiceSummary]:
    servers: dict[str, list] = {}
    jobs: dict[str, list] = {}
    for server in tables.servers.values():
        usable = servers.setdefault(server.service, [])
        if serverhealth.is_usable(server, now) and not is_evacuated:
            usable.append(server)
    for job in tables.jobs.values():
        if job.waiting:
            jobs.setdefault(job.queue.service, []).append(job)
    return {
        name: _summarize_service(name, usable, jobs.get(name, []), now)
        for name, usable in sorted(servers.items())[:MAX_SERVICES]
    }


def _has_changed(sent: Summary, summary: Summary) -> bool:
    """Returns whether a summary differs enough from the last one sent."""
    if (
        summary.made_at - sent.made_at >= REPEAT_INTERVAL_S
        or sent.services.keys() != summary.services.keys()
        or sent.is_pressed != summary.is_pressed
        or sent.is_full != summary.is_full
    ):
        return True
    for name, service in summary.services.items():
        before = sent.services[name]
        change = max(
            abs(service.usable_cpu - before.usable_cpu),
            abs(service.free_cpu - before.free_cpu),
            abs(service.waiting_cpu[-1] - before.waiting_cpu[-1]),
        )
        if change > CHANGE_SHARE * service.usable_cpu:
            return True
    return False


@attrs.frozen
class _Promise:
    """Tasks sent to a zone."""

    service: str
    cpu: int
    made_at: float


@attrs.define(eq=False)
class Balancer:
    """Chooses zones for the jobs of one dispatcher.

    Attributes:
        zone: The zone of the dispatcher.
        sharers: Number of dispatchers of this zone. Clients are spread over
            them, so each is assumed to have sent as much as this one.
        summaries: The newest summary of each zone.
    """

    zone: str
    sharers: int = 1
    summaries: dict[str, Summary] = attrs.field(factory=dict)
    _promises: dict[str, list[_Promise]] = attrs.field(factory=dict)

    def record(self, summary: Summary) -> bool:
        """Records a summary; returns whether it is newer than the known one."""
        known = self.summaries.get(summary.zone)
        if known is not None and (known.epoch, known.version) >= (
            summary.epoch,
            summary.version,
        ):
            return False
        self.summaries[summary.zone] = summary
        return True

    def is_peer_pressed(self, now: float) -> bool:
        """Returns whether another zone is under pressure."""
        return any(
            summary.is_pressed
            and zone != self.zone
            and now - summary.made_at <= MAX_AGE_S
            for zone, summary in self.summaries.items()
        )

    def knows(self, zone: str, now: float) -> bool:
        """Returns whether there is a recent summary of a zone."""
        summary = self.summaries.get(zone)
        return summary is not None and now - summary.made_at <= MAX_AGE_S

    def promise(self, zone: str, demand: Demand, now: float) -> None:
        """Counts a job that was sent to a zone."""
        kept = self._valid_promises(zone, now)
        kept.append(_Promise(demand.service, demand.cpu * demand.count, now))
        self._promises[zone] = kept

    def _valid_promises(self, zone: str, now: float) -> list[_Promise]:
        """Returns the promises that no summary of the zone includes yet."""
        summary = self.summaries.get(zone)
        included_until = now - PROMISE_S
        if summary is not None:
            included_until = max(included_until, summary.made_at - WIRE_DELAY_S)
        return [
            p
            for p in self._promises.get(zone, [])
            if p.made_at > included_until
        ]

    def end_s(self, zone: str, demand: Demand, now: float) -> float | None:
        """Returns the time until a job would end in a zone.

        Returns:
            None if no summary is recent enough, or no server takes the job.
        """
        if not self.knows(zone, now):
            return None
        summary = self.summaries[zone]
        service = summary.services.get(demand.service)
        if service is None:
            return None
        age_s = now - summary.made_at
        trust = 1.0
        if age_s > TRUSTED_AGE_S:
            trust -= (age_s - TRUSTED_AGE_S) / (MAX_AGE_S - TRUSTED_AGE_S)
        slack_s = demand.objective_s - demand.estimate_s
        if slack_s < 0:
            ahead_cpu = service.waiting_cpu[-1]
        else:
            ahead_cpu = service.waiting_cpu[
                bisect.bisect_left(HORIZONS_S, slack_s)
            ]
        promised_cpu = self.sharers * sum(
            p.cpu
            for p in self._valid_promises(zone, now)
            if p.service == demand.service
        )
        wait_s = service.wait_s(
            demand.cpu, demand.count, ahead_cpu + promised_cpu, trust
        )
        if wait_s is None:
            return None
        wire_s = 0.0 if zone == self.zone else WIRE_DELAY_S
        return wait_s + demand.estimate_s * service.slowness + wire_s

    def choose_first(
        self,
        demand: Demand,
        zones: collections.abc.Iterable[str],
        now: float,
    ) -> Choice | None:
        """Returns the other zone to which a new job is sent at once.

        Only the surplus goes: jobs that would miss their objective in their
        own zone and meet it in another one. Zones that have a surplus
        themselves take none, so that demand is not exchanged.

        Args:
            demand: The job.
            zones: The other zones that may take it.
            now: The current time.

        Returns:
            None if its own zone gets it.
        """
        own_end_s = self.end_s(self.zone, demand, now)
        if own_end_s is None or own_end_s <= demand.objective_s:
            return None
        best = self._choose(
            demand,
            [z for z in zones if not self._is_full(z)],
            min(demand.objective_s, demand.left_s),
            own_end_s,
            now,
        )
        advantage_s = max(
            ADVANTAGE_MIN_S, ADVANTAGE_SHARE * max(0.0, demand.objective_s)
        )
        if best is None or own_end_s - best.end_s < advantage_s:
            return None
        return best

    def choose_after_refusal(
        self,
        demand: Demand,
        zones: collections.abc.Iterable[str],
        now: float,
    ) -> Choice | None:
        """Returns the zone where a refused job ends first, and in its time."""
        return self._choose(demand, zones, demand.left_s, math.inf, now)

    def _is_full(self, zone: str) -> bool:
        summary = self.summaries.get(zone)
        return summary is not None and summary.is_full

    def _choose(
        self,
        demand: Demand,
        zones: collections.abc.Iterable[str],
        limit_s: float,
        own_end_s: float,
        now: float,
    ) -> Choice | None:
        """Returns the zone where a job ends first, not later than a limit."""
        best = None
        for zone in sorted(zones):
            end_s = self.end_s(zone, demand, now)
            if end_s is None or end_s > limit_s:
                continue
            if best is None or end_s < best.end_s:
                age_s = now - self.summaries[zone].made_at
                best = Choice(zone, own_end_s, end_s, age_s)
        return best
