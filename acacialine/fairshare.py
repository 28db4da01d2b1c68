"""Fair shares of a zone's servers when more work arrives than fits.

Load: one queue, or the clients of one zone, send several times their share for
some seconds. Without shares their jobs fill the servers and the queue, and the
others' jobs, which alone would be served, miss their targets.

Competitors are the zones of the clients, and the queues within each of them. A
competitor has a rate: what it would get of the room if it demanded everything,
beside the recent demand of the others, divided in proportion to their usual
demands within bounds. It earns credit in core-seconds at that rate, bounded,
and spends it on its accepted jobs. One that demands more than its rate, or
whose credit is spent, is over its share: its waiting jobs go after those of
others, the more the greater its debt, and its new jobs are refused if they
would take room that the others need. Credit for a second lets the usual
variation pass; while there is room for all nothing is refused or reordered.
"""

import math

import attrs

from acacialine import serverhealth
from acacialine import zonetables

REFRESH_INTERVAL_S = 0.02
# Time over which offered work is averaged; shorter than a wave of 11 s, and
# longer than the time between the jobs of a queue with few of them.
DEMAND_WINDOW_S = 2.0
MIN_AGE_S = 0.5  # first jobs count as offered over this time
USUAL_WINDOW_S = 30.0  # of the usual demand, by which the room is divided
CONTENDED_WINDOW_S = 300.0  # the same while more is demanded than fits
WEIGHT_MIN = 0.5  # bounds of a weight / the mean of all
WEIGHT_MAX = 2.0
DEMAND_HEADROOM = 1.3  # for the variation of the others' demand
ROOM_SHARE = 0.9  # of the CPU; tasks of half a server leave holes
MAX_CREDIT_S = 1.0  # bound of the credit, as time of the rate
MAX_DEBT_S = 0.25  # the same of the debt
DEBT_STEP_CORE_S = 8.0  # jobs whose competitors' debts differ less are equal
OVER_FACTOR = 1.5  # of the rate; few wide jobs vary by half of their mean
REPORT_INTERVAL_S = 1.0
FORGET_S = 30.0  # a competitor without jobs is dropped after this time
MAX_COMPETITORS = 512  # in all; the others count as one


@attrs.frozen
class Key:
    """Names a competitor.

    Attributes:
        zone: Zone of the clients.
        queue: A queue in that zone; None for all of the zone.
    """

    service: str
    zone: str
    queue: str | None = None


@attrs.define
class Competitor:
    """Demand and use of one competitor; CPU is in millicores.

    Attributes:
        since: When its first job arrived.
        offered_core_s: Offered work, decaying over DEMAND_WINDOW_S.
        offered_at: When that was last updated.
        usual_cpu: Demand over USUAL_WINDOW_S, without bursts.
        occupied_cpu: CPU of its tasks that run or wait.
        needed_cpu: What it is expected to need, bounded by its rate.
        rate_cpu: CPU that it may use on average; infinite without others.
        credit_core_s: Work that it may start beyond that; negative for a debt.
        reported_at: When it was last reported to be over its share.
        demands_more: Whether its recent demand exceeds its rate.
    """

    since: float
    offered_core_s: float = 0.0
    offered_at: float = 0.0
    usual_cpu: float = 0.0
    occupied_cpu: int = 0
    needed_cpu: float = 0.0
    rate_cpu: float = math.inf
    credit_core_s: float = 0.0
    demands_more: bool = False
    reported_at: float = -1e9

    @property
    def is_over(self) -> bool:
        """Whether it is over its share."""
        return self.demands_more or self.credit_core_s < 0

    def offer(self, core_s: float, now: float) -> None:
        """Adds offered work."""
        self.offered_core_s = self._decayed_core_s(now) + core_s
        self.offered_at = now

    def demand_cpu(self, now: float) -> float:
        """Returns the recent demand in millicores."""
        age_s = max(MIN_AGE_S, now - self.since)
        window_s = DEMAND_WINDOW_S * -math.expm1(-age_s / DEMAND_WINDOW_S)
        return 1000 * self._decayed_core_s(now) / window_s

    def _decayed_core_s(self, now: float) -> float:
        age_s = max(0.0, now - self.offered_at)
        return self.offered_core_s * math.exp(-age_s / DEMAND_WINDOW_S)

    def learn(
        self,
        demand_cpu: float,
        is_contended: bool,
        elapsed_s: float,
        now: float,
    ) -> None:
        """Updates the usual demand, slowly while more is demanded than fits."""
        window_s = min(USUAL_WINDOW_S, max(now - self.since, elapsed_s))
        if is_contended:
            window_s = CONTENDED_WINDOW_S
        self.usual_cpu += (demand_cpu - self.usual_cpu) * elapsed_s / window_s

    def update(self, rate_cpu: float, elapsed_s: float, now: float) -> None:
        """Sets the rate and earns credit for a time."""
        self.rate_cpu = rate_cpu
        self.demands_more = self.demand_cpu(now) > OVER_FACTOR * rate_cpu
        self.needed_cpu = min(self.demand_cpu(now) * DEMAND_HEADROOM, rate_cpu)
        if rate_cpu == math.inf:
            self.credit_core_s = max(0.0, self.credit_core_s)
            return
        rate = rate_cpu / 1000
        credit = self.credit_core_s + rate * elapsed_s
        self.credit_core_s = min(
            max(credit, -rate * MAX_DEBT_S), rate * MAX_CREDIT_S
        )


def water_level(demands: list[tuple[float, float]], room: float) -> float:
    """Returns the level at which a room is divided among demands.

    Who demands less than the level times its weight gets its demand; infinite
    if all do.

    Args:
        demands: Each demand and its weight.
        room: What is divided.
    """
    left = room
    left_weight = sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda d: d[0] / d[1]):
        level = left / left_weight
        if demand > level * weight:
            return max(0.0, level)
        left -= demand
        left_weight -= weight
    return math.inf


def fair_rates(
    demands: list[float], weights: list[float], room: float
) -> list[float]:
    """Returns the rate of each competitor, given recent demands.

    It is what a competitor gets that demands everything, with headroom for the
    others; unlimited if there are no others.
    """
    if sum(demand > 0 for demand in demands) <= 1:
        return [math.inf] * len(demands)
    raised = [
        (demand * DEMAND_HEADROOM, weight)
        for demand, weight in zip(demands, weights, strict=True)
    ]
    rates = []
    for index, weight in enumerate(weights):
        everything = (math.inf, weight)
        level = water_level(
            [*raised[:index], everything, *raised[index + 1 :]], room
        )
        rates.append(level * weight)
    return rates


def fair_weights(usual_cpus: list[float]) -> list[float]:
    """Returns the weights of competitors with these usual demands.

    They are the usual demands within bounds around the mean, so that a burst of
    one costs the others nothing, nobody is shut out, and who sends much for
    long does not get everything.
    """
    mean = sum(usual_cpus) / len(usual_cpus) or 1.0
    return [
        min(max(cpu, mean * WEIGHT_MIN), mean * WEIGHT_MAX)
        for cpu in usual_cpus
    ]


@attrs.define(eq=False)
class FairShares:
    """Shares of the competitors of one zone; used by its placer.

    Attributes:
        competitors: Known competitors, by key.
    """

    _tables: zonetables.ZoneTables
    competitors: dict[Key, Competitor] = attrs.field(factory=dict)
    _rooms: dict[str, float] = attrs.field(factory=dict)
    _refreshed_at: float = -1e9

    def record_arrival(self, job: zonetables.Job, now: float) -> None:
        """Records the work of a job that arrives, accepted or not."""
        core_s = _work_core_s(job)
        for key in self._keys(job):
            competitor = self.competitors.get(key)
            if competitor is None:
                competitor = self.competitors[key] = Competitor(now)
            competitor.offer(core_s, now)

    def record_acceptance(self, job: zonetables.Job) -> None:
        """Charges an accepted job to its competitors."""
        core_s = _work_core_s(job)
        cpu = len(job.waiting) * job.step.demand.cpu
        for key in self._keys(job):
            competitor = self.competitors.get(key)
            if competitor is not None:
                competitor.occupied_cpu += cpu
                if competitor.rate_cpu < math.inf:
                    competitor.credit_core_s -= core_s
        self._set_debt(job)

    def demand_cores(self, service: str, now: float) -> float:
        """Returns the recent demand for a service, in cores."""
        return sum(
            competitor.demand_cpu(now) / 1000
            for key, competitor in self.competitors.items()
            if key.service == service and key.queue is None
        )

    def room_cores(self, service: str, now: float) -> float:
        """Returns how much work a service can do, in cores."""
        self._update_rooms(now)
        return self._rooms.get(service, 0.0) / 1000

    def exceeds_share(self, job: zonetables.Job) -> bool:
        """Returns whether a new job would take what others are to get."""
        cpu = len(job.waiting) * job.step.demand.cpu
        for key in self._keys(job):
            competitor = self.competitors.get(key)
            if competitor is None or not competitor.is_over:
                continue
            if competitor.credit_core_s >= 0 and not competitor.occupied_cpu:
                # A wide job of short tasks may take more than the rate for a
                # moment; in a small zone it would never start otherwise.
                continue
            if cpu > self._spare_cpu(key):
                return True
        return False

    def _spare_cpu(self, key: Key) -> float:
        """Returns the room that the others of a group don't need, now or soon.

        The group are all zones, or all queues of all zones. Nothing is kept for
        those that are over their shares too.
        """
        spare = self._rooms.get(key.service, 0.0)
        for other_key, other in self.competitors.items():
            if other_key.service != key.service or (
                (other_key.queue is None) != (key.queue is None)
            ):
                continue
            if other_key == key or other.is_over:
                spare -= other.occupied_cpu
            else:
                spare -= max(other.occupied_cpu, other.needed_cpu)
        return spare

    def refresh(self, now: float) -> list[Key]:
        """Updates rates and credits, and the order of the open jobs.

        Returns the competitors that are over their shares, each at most once
        in REPORT_INTERVAL_S.
        """
        elapsed_s = now - self._refreshed_at
        if elapsed_s < REFRESH_INTERVAL_S:
            return []
        elapsed_s = min(elapsed_s, 1.0)
        self._refreshed_at = now
        self._update_rooms(now)
        self._count_occupied()
        zones = {}
        queues = {}
        for key, competitor in self.competitors.items():
            if key.queue is None:
                zones.setdefault(key.service, []).append(competitor)
            else:
                group = queues.setdefault((key.service, key.zone), [])
                group.append(competitor)
        for service, group in zones.items():
            room = self._rooms.get(service, 0.0)
            _update_group(group, room, elapsed_s, now)
        for (service, zone), group in queues.items():
            room = self._rooms.get(service, 0.0)
            whole = self.competitors.get(Key(service, zone))
            if whole is not None:
                room = min(room, whole.rate_cpu)
            _update_group(group, room, elapsed_s, now)
        for job in self._tables.jobs.values():
            self._set_debt(job)
        self._drop_unused(now)
        return self._take_reports(now)

    def _take_reports(self, now: float) -> list[Key]:
        reported = []
        for key, competitor in self.competitors.items():
            if not competitor.is_over:
                continue
            if now - competitor.reported_at >= REPORT_INTERVAL_S:
                competitor.reported_at = now
                reported.append(key)
        return reported

    def _update_rooms(self, now: float) -> None:
        """Computes how much work each service can do, in millicores."""
        self._rooms = rooms = {}
        for server in self._tables.servers.values():
            if serverhealth.is_usable_soon(server, now):
                room = server.capacity.cpu * ROOM_SHARE / server.slowness
                rooms[server.service] = rooms.get(server.service, 0.0) + room

    def _count_occupied(self) -> None:
        for competitor in self.competitors.values():
            competitor.occupied_cpu = 0
        for job in self._tables.jobs.values():
            cpu = (len(job.runs) + len(job.waiting)) * job.step.demand.cpu
            for key in self._keys(job):
                competitor = self.competitors.get(key)
                if competitor is not None:
                    competitor.occupied_cpu += cpu

    def _set_debt(self, job: zonetables.Job) -> None:
        step = 0
        for key in self._keys(job):
            competitor = self.competitors.get(key)
            if competitor is not None and competitor.is_over:
                debt = max(0.0, -competitor.credit_core_s)
                step = max(step, 1 + int(debt / DEBT_STEP_CORE_S))
        job.debt_step = step

    def _keys(self, job: zonetables.Job) -> tuple[Key, ...]:
        if job.competitors is None:
            service = job.queue.service
            zone = job.client_zone
            keys = (Key(service, zone), Key(service, zone, job.queue.name))
            if len(self.competitors) >= MAX_COMPETITORS and not all(
                key in self.competitors for key in keys
            ):
                keys = (Key(service, "other"), Key(service, "other", "other"))
            job.competitors = keys
        return job.competitors

    def _drop_unused(self, now: float) -> None:
        unused = [
            key
            for key, competitor in self.competitors.items()
            if not competitor.occupied_cpu
            and now - competitor.offered_at > FORGET_S
        ]
        for key in unused:
            del self.competitors[key]


def _work_core_s(job: zonetables.Job) -> float:
    step = job.step
    return step.count * step.demand.cpu * job.estimate_s / 1000


def _update_group(
    group: list[Competitor], room: float, elapsed_s: float, now: float
) -> None:
    demands = [competitor.demand_cpu(now) for competitor in group]
    is_contended = sum(demands) > room
    for competitor, demand in zip(group, demands, strict=True):
        competitor.learn(demand, is_contended, elapsed_s, now)
    weights = fair_weights([competitor.usual_cpu for competitor in group])
    rates = fair_rates(demands, weights, room)
    for competitor, rate in zip(group, rates, strict=True):
        competitor.update(rate, elapsed_s, now)
