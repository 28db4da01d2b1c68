"""Soak test: runs real dispatchers under a plan of faults, checks invariants.

Only what clients and backend servers observe is checked. Invariants with a
time bound are checked where no fault occurred for a while, the others always.
"""

import collections
import functools
import math
import pathlib
import random
import signal
import tempfile

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine import zonetables
from acacialine.tools import fakeservers
from acacialine.tools import soakplan
from acacialine.tools import zonecluster

RECOVERY_S = 3.0  # after a fault, until invariants with a time bound hold again
CONFIG_APPLY_S = 2.0  # from a change until every dispatcher applies it
DRAIN_EFFECT_S = 2.0  # from a `draining` record until no more tasks start
RETRY_DELAY_S = 1.3  # after no answer, until a client resends the job
MAX_ATTEMPTS = 3
SETTLE_S = 4.0  # after the last fault, until every dispatcher serves
OUTAGE_SETTLE_S = 12.0  # the same after outages of zones
STOP_GRACE_S = 6.0
TARGET_LATENCY_MS = 1000  # short enough that a crowded zone refuses jobs
# Share of the grace period of a stop after which the platform's rules allow
# requests in progress to be cut off.
CUT_OFF_SHARE = 5 / 6
# Requests sent so shortly before a stopped process exits may be cut off.
EXIT_CUT_S = 0.2
CRASHING_SHARE = 0.01  # of jobs with a task that crashes its servers
RESIZED_CPUS = (0, 7000, 14000, 24000)  # capacities of a resized server
CLIENT_ABORT_SHARE = 0.05  # of jobs whose client disconnects before the answer
# Clients of a soak with outages. They leave at their deadline.
OUTAGE_DEADLINE_MS = 1500
PROXIED_SHARE = 0.4  # of requests whose link to the entry may be cut
LATE_COPY_SHARE = 0.08  # of answered jobs whose request arrives once more
LATE_COPY_MAX_S = 8.0
TURNED_AWAY_SHARE = 0.35  # of the entries, by a store that serves the others
TURN_AWAY_S = 3.0  # time for which it turns an entry away in the same way
OUTAGE_PAUSE_GAP_S = 0.5  # longest time between the pauses of two entries
# What a flaky backend server does with a request, and the weights; see
# `FakeServerEndpoint.next_request_outcome`.
FLAKY_OUTCOMES = (
    ("", "lost", "lost answer", "late", "unwell"),
    (80, 5, 5, 5, 5),
)
# The same for one that restarts before late requests arrive.
OUTLIVED_OUTCOMES = (("", "outliving"), (85, 15))
LATE_REQUEST_S = (2.0, 12.0)  # shortest and longest delay of these
OUTLIVED_DOWN_MAX_S = 1.0
FaultKind = soakplan.FaultKind
# What an outage of several dispatchers does to each of them.
_KIND_BY_OUTAGE = {
    FaultKind.ZONE_PAUSE: FaultKind.PAUSE,
    FaultKind.ZONE_POWER: FaultKind.KILL,
    FaultKind.POWER: FaultKind.KILL,
    FaultKind.ROLLING_STOP: FaultKind.STOP,
}
# After these a client lacks the outcome of its job and sends the job again. The
# first three mean that no HTTP answer arrived.
_UNKNOWN_STATUSES = (
    zonecluster.CUT_OFF,
    zonecluster.NO_ANSWER,
    zonecluster.NOT_CONNECTED,
    502,
    504,
)


@attrs.frozen
class Size:
    """Number of processes and rates of a soak."""

    zones: int = 2
    dispatchers_per_zone: int = 2
    servers_per_zone: int = 3
    jobs_per_s: float = 12.0
    faults_per_s: float = 0.8
    mutant: str = ""  # name of the mutation of the dispatchers, see `mutants`
    # Number of entries in each zone; none is spared, and zones have outages.
    entries_by_zone: tuple[int, ...] = ()

    @property
    def has_outages(self) -> bool:
        """Whether faults spare nothing and last longer than clients wait."""
        return bool(self.entries_by_zone)

    @property
    def entry_counts(self) -> tuple[int, ...]:
        """Number of entries in each zone."""
        return self.entries_by_zone or (self.dispatchers_per_zone,) * self.zones


def new_outage_size(entries_by_zone: tuple[int, ...], mutant: str = "") -> Size:
    """Returns the size of a soak with zones of different sizes."""
    return Size(
        jobs_per_s=24.0,
        faults_per_s=0.5,
        mutant=mutant,
        entries_by_zone=entries_by_zone,
    )


def new_size(processes: int, mutant: str = "") -> Size:
    """Returns a size with so many dispatchers, and load in proportion."""
    zones = 2
    dispatchers_per_zone = max(2, processes // zones)
    return Size(
        zones,
        dispatchers_per_zone,
        servers_per_zone=3 * max(1, dispatchers_per_zone // 4),
        jobs_per_s=12.0 * max(1, dispatchers_per_zone // 4),
        faults_per_s=0.8 * max(1, dispatchers_per_zone // 4),
        mutant=mutant,
    )


@attrs.define
class FaultInterval:
    """Time in which a fault affects a target.

    Attributes:
        ended_at: Infinite until the fault has ended.
    """

    kind: FaultKind
    target: str
    started_at: float
    ended_at: float = math.inf


@attrs.define
class SoakResult:
    """Result of one soak.

    Attributes:
        findings: Violated invariants, as `RULE: details`.
        answers: Number of requests by status, as in `zonecluster.Exchange`.
    """

    seed: int
    findings: list[str] = attrs.field(factory=list)
    answers: collections.Counter = attrs.field(factory=collections.Counter)


@attrs.define(eq=False)
class Soak:
    """Runs the traffic and faults of one plan and checks the invariants.

    Attributes:
        stopping: Dispatchers that a fault has stopped and not yet restarted.
    """

    cluster: zonecluster.Cluster
    plan: soakplan.Plan
    size: Size
    fault_intervals: list[FaultInterval] = attrs.field(factory=list)
    stopping: set[str] = attrs.field(factory=set)
    findings: list[str] = attrs.field(factory=list)
    _random: random.Random = attrs.field(init=False)
    _removed_routes: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _completed_stops: dict[str, list[FaultInterval]] = attrs.field(factory=dict)
    _drains: list[tuple[str, float]] = attrs.field(factory=list)
    _hold_count: collections.Counter = attrs.field(factory=collections.Counter)
    _zone_cuts: collections.Counter = attrs.field(factory=collections.Counter)
    # Dispatchers learn of another capacity from the store only, so resizes and
    # a store that does not serve all exclude each other until these times.
    _resized_until: float = -math.inf
    _partial_until: float = -math.inf

    def __attrs_post_init__(self):
        self._random = random.Random(self.plan.seed + 1)

    async def run(self) -> None:
        """Sends traffic and injects the faults, then checks the invariants."""
        started_at = clock.now()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_jobs)
            for fault in self.plan.faults:
                await trio.sleep(max(0.0, started_at + fault.at - clock.now()))
                nursery.start_soon(self._inject, fault)
        await trio.sleep(OUTAGE_SETTLE_S if self.size.has_outages else SETTLE_S)
        await self._check_recovery()
        self._check_invariants()

    # Clients

    async def _send_jobs(self) -> None:
        dispatchers = list(self.cluster.dispatchers)
        end = clock.now() + self.plan.seconds
        max_connections = 2000 if self.size.has_outages else 10
        async with (
            httpcore.AsyncConnectionPool(max_connections) as pool,
            trio.open_nursery() as nursery,
        ):
            while clock.now() < end:
                job_id = f"{self._random.getrandbits(64):016x}"
                dispatcher = self._random.choice(dispatchers)
                nursery.start_soon(self._run_client, pool, job_id, dispatcher)
                pause_s = self._random.expovariate(self.size.jobs_per_s)
                await trio.sleep(pause_s)

    async def _run_client(self, pool, job_id: str, dispatcher: str) -> None:
        """Sends a job and resends it until the outcome is known."""
        rng = random.Random(job_id)
        count = rng.choice((1, 2, 2, 3))
        length_s = rng.choices((0.05, 0.2, 0.8, 4.0), (60, 30, 8, 2))[0]
        if random.Random(f"crash-{job_id}").random() < CRASHING_SHARE:
            self.cluster.fake_servers.crashing_tasks.add(
                zonetables.TaskKey(job_id, 0, 0, 0)
            )
        if rng.random() < CLIENT_ABORT_SHARE:
            with trio.move_on_after(length_s * rng.random()):
                await self.cluster.submit(dispatcher, job_id, count, length_s)
            return
        proxied_share = PROXIED_SHARE if self.size.has_outages else 0.0
        for _ in range(MAX_ATTEMPTS):
            # The pool reuses connections, since a stopping dispatcher still
            # serves connections that are already open.
            status = await self.cluster.submit(
                dispatcher,
                job_id,
                count,
                length_s,
                pool=pool,
                is_proxied=rng.random() < proxied_share,
            )
            if status == 200 and self.size.has_outages:
                await self._send_late_copy(job_id, count, length_s)
            if status not in _UNKNOWN_STATUSES:
                return
            if status != zonecluster.NOT_CONNECTED:
                await trio.sleep(RETRY_DELAY_S)
            dispatcher = rng.choice(list(self.cluster.dispatchers))

    async def _send_late_copy(
        self, job_id: str, count: int, length_s: float
    ) -> None:
        """Sends the request of some answered jobs once more, to any entry."""
        rng = random.Random(f"late-{job_id}")
        if rng.random() < LATE_COPY_SHARE:
            await trio.sleep(rng.uniform(0.5, LATE_COPY_MAX_S))
            name = rng.choice(list(self.cluster.dispatchers))
            await self.cluster.submit(name, job_id, count, length_s)

    # Faults

    async def _inject(self, fault: soakplan.Fault) -> None:
        interval = FaultInterval(fault.kind, fault.target, clock.now())
        self.fault_intervals.append(interval)
        match fault.kind:
            case FaultKind.KILL | FaultKind.STOP | FaultKind.PAUSE:
                await self._signal_dispatcher(fault)
            case FaultKind.PEER_CUT | FaultKind.PEER_DEAF | FaultKind.PEER_MUTE:
                route = self.cluster.peer_routes[fault.target]
                await self._hold_route(route, fault)
            case FaultKind.PEER_RESET:
                self.cluster.peer_routes[fault.target].reset_connections()
            case FaultKind.STORE_CUT:
                route = self.cluster.store_routes[fault.target]
                await self._hold_route(route, fault)
            case FaultKind.CLIENT_CUT:
                route = self.cluster.client_routes[fault.target]
                await self._hold_route(route, fault)
            case (
                FaultKind.ZONE_PAUSE
                | FaultKind.ZONE_POWER
                | FaultKind.POWER
                | FaultKind.ROLLING_STOP
            ):
                await self._signal_dispatchers(fault)
            case FaultKind.ZONE_CUT:
                await self._cut_zone(fault)
            case (
                FaultKind.SERVER_CUT
                | FaultKind.SERVER_MUTE
                | FaultKind.SERVER_SPLIT
            ):
                route = self.cluster.server_routes[fault.target]
                await self._hold_route(route, fault)
            case FaultKind.SERVER_RESET:
                self.cluster.server_routes[fault.target].reset_connections()
            case (
                FaultKind.SERVER_CRASH
                | FaultKind.SERVER_DOWN
                | FaultKind.SERVER_RESIZE
                | FaultKind.SERVER_DRAIN
                | FaultKind.SERVER_FLAKY
                | FaultKind.SERVER_EXPIRED
                | FaultKind.SERVER_OUTLIVED
            ):
                await self._inject_server_fault(fault)
            case FaultKind.STORE_PARTIAL:
                await self._turn_some_away(fault)
            case FaultKind.STORE_FORGETS:
                self.cluster.store.compact()
            case FaultKind.CHANGE:
                self._publish_change()
            case _:
                name = fault.kind.removeprefix("store_")
                self.cluster.store.fault = name
                await trio.sleep(fault.duration_s)
                self.cluster.store.fault = ""
        interval.ended_at = clock.now()

    async def _signal_dispatcher(self, fault: soakplan.Fault) -> None:
        name = fault.target
        process = self.cluster.processes[name]
        if not self.cluster.is_running(name) or name in self.stopping:
            return
        if fault.kind == FaultKind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(fault.duration_s)
            process.send_signal(signal.SIGCONT)
            return
        self.stopping.add(name)
        if fault.kind == FaultKind.KILL:
            process.kill()
            await trio.sleep(fault.duration_s)
        else:
            process.send_signal(signal.SIGCONT)
            process.terminate()
            await self._await_exit(name, process)
        process.wait()
        self.cluster.start_process(name)
        self.stopping.discard(name)

    async def _signal_dispatchers(self, fault: soakplan.Fault) -> None:
        """Signals all dispatchers of a zone, or of all zones."""
        names = [
            name
            for name, zone in self.cluster.dispatchers.items()
            if fault.target in (zone, "")
        ]
        self._random.shuffle(names)
        kind = _KIND_BY_OUTAGE[fault.kind]
        async with trio.open_nursery() as nursery:
            for name in names:
                single = attrs.evolve(fault, kind=kind, target=name)
                if fault.kind == FaultKind.ROLLING_STOP:
                    await self._inject(single)
                    continue
                nursery.start_soon(self._inject, single)
                if fault.kind == FaultKind.ZONE_PAUSE:
                    gap_s = self._random.uniform(0, OUTAGE_PAUSE_GAP_S)
                    await trio.sleep(gap_s)

    async def _cut_zone(self, fault: soakplan.Fault) -> None:
        """Cuts a zone off from the other zones and the store."""
        self._zone_cuts[fault.target] += 1
        self._hold_links_of_cut_zones()
        async with trio.open_nursery() as nursery:
            for name, zone in self.cluster.dispatchers.items():
                if zone == fault.target:
                    single = attrs.evolve(
                        fault, kind=FaultKind.STORE_CUT, target=name
                    )
                    nursery.start_soon(self._inject, single)
        self._zone_cuts[fault.target] -= 1
        self._hold_links_of_cut_zones()

    def _hold_links_of_cut_zones(self) -> None:
        zones = self.cluster.dispatchers
        for name, route in self.cluster.peer_routes.items():
            route.hold_diallers(
                frozenset(
                    self.cluster.ports[other].peer_proxy
                    for other, zone in zones.items()
                    if zone != zones[name]
                    and (self._zone_cuts[zone] or self._zone_cuts[zones[name]])
                )
            )

    async def _await_exit(self, name: str, process) -> None:
        started_at = clock.now()
        with trio.move_on_after(STOP_GRACE_S):
            while process.poll() is None:
                await trio.sleep(0.01)
        if process.poll() is None:
            process.kill()
            return
        interval = FaultInterval(FaultKind.STOP, name, started_at, clock.now())
        self._completed_stops.setdefault(name, []).append(interval)

    async def _hold_route(self, route, fault: soakplan.Fault) -> None:
        """Holds bytes of a route; a later hold of the route replaces it."""
        directions = {
            FaultKind.PEER_DEAF: (True,),
            FaultKind.PEER_MUTE: (False,),
            FaultKind.SERVER_MUTE: (False,),
        }.get(fault.kind, (True, False))
        self._hold_count[route.listen] += 1
        hold_number = self._hold_count[route.listen]
        open_only = fault.kind == FaultKind.SERVER_SPLIT
        route.hold(*directions, open_only=open_only)
        await trio.sleep(fault.duration_s)
        if self._hold_count[route.listen] == hold_number:
            route.hold()

    async def _inject_server_fault(self, fault: soakplan.Fault) -> None:
        (server,) = [
            s for s in self.cluster.servers if s.fake_server.id == fault.target
        ]
        match fault.kind:
            case FaultKind.SERVER_CRASH:
                server.crash()
                # The connections of a process end with it.
                self.cluster.server_routes[fault.target].reset_connections()
            case FaultKind.SERVER_EXPIRED:
                if not self._begin_partial_fault(fault.duration_s):
                    return
                server.expire()
                await trio.sleep(fault.duration_s)
                server.reaches_store = True
            case FaultKind.SERVER_DOWN:
                await self.cluster.crash_server(fault.target, fault.duration_s)
            case FaultKind.SERVER_OUTLIVED:
                await self._restart_before_requests(server, fault.duration_s)
            case FaultKind.SERVER_RESIZE:
                await self._resize_server(server, fault.duration_s)
            case FaultKind.SERVER_DRAIN:
                server.state = "draining"
                server.announce()
                announced_at = clock.now()
                await trio.sleep(fault.duration_s)
                server.state = "ready"
                self._drains.append((server.fake_server.id, announced_at))
                late_starts = [
                    t
                    for t in server.start_times
                    if announced_at + DRAIN_EFFECT_S < t < clock.now()
                ]
                if late_starts and self._is_fault_free(
                    "", announced_at, clock.now()
                ):
                    self._add_finding(
                        "DRAIN",
                        f"{server.fake_server.id} {len(late_starts)} starts",
                    )
            case _:
                server.next_request_outcome = lambda: self._random.choices(
                    *FLAKY_OUTCOMES
                )[0]
                await trio.sleep(fault.duration_s)
                server.next_request_outcome = str

    async def _restart_before_requests(self, server, duration_s: float) -> None:
        """Delays requests to a server, and restarts it before they arrive."""
        rng = self._random
        server.next_late_delay_s = lambda: rng.uniform(*LATE_REQUEST_S)
        server.next_request_outcome = server.next_poll_outcome = lambda: (
            rng.choices(*OUTLIVED_OUTCOMES)[0]
        )
        await trio.sleep(duration_s)
        server.next_request_outcome = server.next_poll_outcome = str
        await self.cluster.crash_server(
            server.fake_server.id, rng.uniform(0.0, OUTLIVED_DOWN_MAX_S)
        )

    def _begin_partial_fault(self, duration_s: float) -> bool:
        """Returns whether the store may stop serving all for some time."""
        if clock.now() < self._resized_until:
            return False
        self._partial_until = max(
            self._partial_until, clock.now() + duration_s + RECOVERY_S
        )
        return True

    async def _turn_some_away(self, fault: soakplan.Fault) -> None:
        """Lets the store turn some entries away, in ways that change."""
        if not self._begin_partial_fault(fault.duration_s):
            return
        turned_away = [
            name
            for name in self.cluster.dispatchers
            if self._random.random() < TURNED_AWAY_SHARE
        ]
        ends_at = clock.now() + fault.duration_s
        while clock.now() < ends_at:
            for name in turned_away:
                how = self._random.choice(("busy", "reset", "silent"))
                self.cluster.turn_away(name, how)
            await trio.sleep(min(TURN_AWAY_S, max(0, ends_at - clock.now())))
        for name in turned_away:
            self.cluster.turn_away(name, "")

    async def _resize_server(self, server, duration_s: float) -> None:
        """Changes the capacity of a backend server and changes it back."""
        if clock.now() < self._partial_until:
            return
        self._resized_until = max(
            self._resized_until,
            clock.now() + duration_s + fakeservers.RESIZE_GRACE_S,
        )
        fake_server = server.fake_server
        cpu = fake_server.cpu
        fake_server.resize(self._random.choice(RESIZED_CPUS), clock.now())
        server.announce()
        await trio.sleep(duration_s)
        fake_server.resize(cpu, clock.now())
        server.announce()

    def _publish_change(self) -> None:
        version = self.cluster.version + 3
        if version > 6:
            self._removed_routes[f"/extra-{version - 3}/"] = (
                version,
                clock.now(),
            )
        self.cluster.publish("/jobs/", f"/extra-{version}/")
        self.cluster.nursery.start_soon(self._check_change_applied, version)

    async def _check_change_applied(self, version: int) -> None:
        """Checks that dispatchers without faults serve the new version."""
        await trio.sleep(CONFIG_APPLY_S)
        for name in self.cluster.dispatchers:
            if self.cluster.version != version or name in self.stopping:
                return
            sent_at = clock.now()
            job_id = f"{self._random.getrandbits(64):016x}"
            prefix = f"/extra-{version}/"
            status = await self.cluster.submit(
                name, job_id, 1, 0.05, prefix=prefix
            )
            if status == 404 and self._is_fault_free(
                name, sent_at, clock.now()
            ):
                self._add_finding("CONFIG", f"{name} answers 404 for {prefix}")

    # Checks

    def _add_finding(self, rule: str, text: str) -> None:
        self.findings.append(f"{rule}: {text}")

    def _is_fault_free(
        self, dispatcher: str, started_at: float, ended_at: float
    ) -> bool:
        """Returns whether no fault affected a dispatcher or the store.

        The time checked runs from RECOVERY_S before `started_at` to `ended_at`.
        With an empty `dispatcher`, faults of all targets count.
        """
        recent_faults = [
            interval
            for interval in self.fault_intervals
            if interval.target in (dispatcher, "") or not dispatcher
            if interval.kind != FaultKind.CHANGE
            if interval.started_at < ended_at
            and interval.ended_at > started_at - RECOVERY_S
        ]
        has_open_fault = dispatcher in self.stopping or self.cluster.store.fault
        return not recent_faults and not has_open_fault

    async def _check_recovery(self) -> None:
        for name in self.cluster.dispatchers:
            job_id = f"{self._random.getrandbits(64):016x}"
            status = await self.cluster.submit(name, job_id)
            if status != 200:
                self._add_finding(
                    "RECOVER", f"{name} answers {status} after the last fault"
                )
        for name in self.cluster.dispatchers:
            if not self.cluster.is_running(name):
                code = self.cluster.processes[name].returncode
                self._add_finding(
                    "EXIT", f"{name} exited unexpectedly with {code}"
                )

    def _check_invariants(self) -> None:
        server_pool = self.cluster.fake_servers
        for violation in server_pool.violations:
            self._add_finding("SERVER", violation)
        statuses_by_job = collections.defaultdict(list)
        for exchange in self.cluster.exchanges:
            statuses_by_job[exchange.job_id].append(exchange.status)
        for job_id, statuses in statuses_by_job.items():
            all_refused = all(s in (429, 503) for s in statuses)
            if all_refused and job_id in server_pool.started_jobs:
                self._add_finding(
                    "REFUSED", f"{job_id} ran but was refused: {statuses}"
                )
        for exchange in self.cluster.exchanges:
            self._check_exchange(exchange)

    def _check_exchange(self, exchange: zonecluster.Exchange) -> None:
        """Adds findings if a request lost its answer without a valid cause.

        LOST: only a planned stop can have cut it off. ANSWER: it got no HTTP
        answer although no fault occurred around it.
        """
        name = exchange.dispatcher
        if (
            exchange.status == zonecluster.CUT_OFF
            and not exchange.is_proxied
            and self._is_cut_by_planned_stop(exchange)
        ):
            self._add_finding(
                "LOST", f"{exchange.job_id} at {name} cut off by a planned stop"
            )
        is_fault_free = not any(
            interval.started_at < exchange.ended_at
            and interval.ended_at > exchange.sent_at - RECOVERY_S
            for interval in self.fault_intervals
            if interval.kind != FaultKind.CHANGE
        )
        if self.size.has_outages:
            return  # these clients leave at their deadline
        if is_fault_free and exchange.status in _UNKNOWN_STATUSES[:3]:
            self._add_finding(
                "ANSWER", f"{exchange.job_id} at {name}: {exchange.status}"
            )

    def _is_cut_by_planned_stop(self, exchange: zonecluster.Exchange) -> bool:
        """Returns whether only a planned stop can have cut a request off.

        The stop must have ended early in its grace period, and no other fault
        may have affected the dispatcher.
        """
        stops = [
            stop
            for stop in self._completed_stops.get(exchange.dispatcher, ())
            if exchange.sent_at < stop.ended_at - EXIT_CUT_S
            and exchange.sent_at > stop.ended_at - STOP_GRACE_S
            and exchange.ended_at < stop.ended_at + 1.0
            and stop.ended_at - stop.started_at < STOP_GRACE_S * CUT_OFF_SHARE
        ]
        other_faults = [
            interval
            for interval in self.fault_intervals
            if interval.target == exchange.dispatcher
            and interval.kind != FaultKind.STOP
            if interval.started_at < exchange.ended_at
            and interval.ended_at > exchange.sent_at - RECOVERY_S
        ]
        return bool(stops) and not other_faults


async def run_with_logs(
    seed: int, seconds: float, size: Size, log_dir: pathlib.Path
) -> SoakResult:
    """Runs one seed; leaves the dispatchers' logs in a directory."""
    counts = size.entry_counts
    zones = [f"zone-{n}" for n in range(len(counts))]
    entries = {
        f"{zone}-entry-{n}": zone
        for zone, count in zip(zones, counts, strict=True)
        for n in range(count)
    }
    servers = [zone for zone in zones for _ in range(size.servers_per_zone)]
    server_zones = {f"i-{n}": zone for n, zone in enumerate(servers)}
    new_plan = (
        soakplan.new_outage_plan if size.has_outages else soakplan.new_plan
    )
    plan = new_plan(seed, seconds, entries, server_zones, size.faults_per_s)
    async with trio.open_nursery() as nursery:
        cluster = zonecluster.Cluster(
            nursery,
            log_dir,
            mutant=size.mutant,
            grace_s=STOP_GRACE_S,
            target_latency_ms=TARGET_LATENCY_MS,
        )
        if size.has_outages:
            cluster.deadline_ms = OUTAGE_DEADLINE_MS
            cluster.client_extra_wait_s = 0.0
            cluster.balances_zones = bool(seed % 2)
        soak = Soak(cluster, plan, size)
        try:
            await cluster.start(servers, entries)
            await soak.run()
        finally:
            cluster.close()
            nursery.cancel_scope.cancel()
    return SoakResult(seed, soak.findings, cluster.status_counts)


def run(seed: int, seconds: float, size: Size) -> SoakResult:
    """Runs one seed; keeps the logs only if there are findings."""
    log_dir = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    result = trio.run(
        functools.partial(run_with_logs, seed, seconds, size, log_dir)
    )
    if result.findings:
        (log_dir / "findings.txt").write_text("\n".join(result.findings))
        result.findings.append(f"logs in {log_dir}")
    else:
        for path in log_dir.iterdir():
            path.unlink()
        log_dir.rmdir()
    return result
