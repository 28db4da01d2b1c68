"""Plays a soak: real dispatchers under a plan of faults, and what must hold.

Only what callers and backend servers see is judged. Rules with a time bound
hold where nothing struck for a while; the others hold always.
"""

import collections
import functools
import pathlib
import random
import signal
import tempfile

import attrs
import httpcore
import trio

from acacialine import clock
from acacialine.tools import soakplan
from acacialine.tools import zoneplace

CALM_S = 3.0  # after a fault, before rules with a time bound hold again
IN_FORCE_S = 2.0  # from a change to its effect at every entry
DRAINED_S = 2.0  # from `draining` to the last new task
RETRANSMIT_S = 1.3  # after no answer, until a caller sends the job again
RETRIES_MAX = 3
SETTLE_S = 4.0  # after the last fault, until every entry serves
GRACE_S = 6.0
# Who is still at work then may be cut off, by the platform's rules.
LAST_SHARE = 5 / 6
EXIT_S = 0.2  # before the exit of a stopped entry, in which cuts may happen
LEAVE_SHARE = 0.05  # of callers who go before their answer
FLAKY = (("", "lost", "lost answer", "late", "unwell"), (80, 5, 5, 5, 5))
Kind = soakplan.Kind
_UNKNOWN = (
    zoneplace.CUT_OFF,
    zoneplace.NO_ANSWER,
    zoneplace.NOT_CONNECTED,
    502,
    504,
)


@attrs.frozen
class Size:
    """How much of everything a soak runs."""

    zones: int = 2
    entries: int = 2  # in each zone
    servers: int = 3  # in each zone
    jobs_per_s: float = 12.0
    faults_per_s: float = 0.8
    mutant: str = ""  # rule that the entries break


def new_size(processes: int, mutant: str = "") -> Size:
    """Returns the size with as many entries; the load grows with them."""
    zones = 2
    entries = max(2, processes // zones)
    return Size(
        zones,
        entries,
        servers=3 * max(1, entries // 4),
        jobs_per_s=12.0 * max(1, entries // 4),
        faults_per_s=0.8 * max(1, entries // 4),
        mutant=mutant,
    )


@attrs.frozen
class Span:
    """When a fault touched something."""

    kind: Kind
    target: str
    began: float
    ended: float


@attrs.define
class Verdict:
    """What a soak found.

    Attributes:
        findings: Broken promises, each with its place.
        answers: Requests by status.
    """

    seed: int
    findings: list[str] = attrs.field(factory=list)
    answers: collections.Counter = attrs.field(factory=collections.Counter)


@attrs.define(eq=False)
class Soak:
    """One run of one plan."""

    place: zoneplace.Place
    plan: soakplan.Plan
    size: Size
    spans: list[Span] = attrs.field(factory=list)
    stopping: set[str] = attrs.field(factory=set)
    findings: list[str] = attrs.field(factory=list)
    _random: random.Random = attrs.field(init=False)
    _dropped: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    _stops: dict[str, list[Span]] = attrs.field(factory=dict)
    _drains: list[tuple[str, float]] = attrs.field(factory=list)
    _held: collections.Counter = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self):
        self._random = random.Random(self.plan.seed + 1)

    async def run(self) -> None:
        """Plays traffic and faults, then checks."""
        began = clock.now()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_jobs)
            for fault in self.plan.faults:
                await trio.sleep(max(0.0, began + fault.at - clock.now()))
                nursery.start_soon(self._strike, fault)
        await trio.sleep(SETTLE_S)
        await self._check_recovery()
        self._check_rules()

    # Callers

    async def _send_jobs(self) -> None:
        entries = list(self.place.entries)
        end = clock.now() + self.plan.seconds
        async with (
            httpcore.AsyncConnectionPool() as pool,
            trio.open_nursery() as nursery,
        ):
            while clock.now() < end:
                job_id = f"{self._random.getrandbits(64):016x}"
                home = self._random.choice(entries)
                nursery.start_soon(self._call, pool, job_id, home)
                pause_s = self._random.expovariate(self.size.jobs_per_s)
                await trio.sleep(pause_s)

    async def _call(self, pool, job_id: str, home: str) -> None:
        """Sends a job until it has an answer, as callers do."""
        rng = random.Random(job_id)
        count = rng.choice((1, 2, 2, 3))
        length_s = rng.choices((0.05, 0.2, 0.8, 4.0), (60, 30, 8, 2))[0]
        if rng.random() < LEAVE_SHARE:
            with trio.move_on_after(length_s * rng.random()):
                await self.place.submit(home, job_id, count, length_s)
            return
        for _ in range(RETRIES_MAX):
            # A stopped entry still serves whoever keeps a connection to it.
            status = await self.place.submit(
                home, job_id, count, length_s, pool=pool
            )
            if status not in _UNKNOWN:
                return
            if status != zoneplace.NOT_CONNECTED:
                await trio.sleep(RETRANSMIT_S)
            home = rng.choice(list(self.place.entries))

    # Faults

    async def _strike(self, fault: soakplan.Fault) -> None:
        began = clock.now()
        match fault.kind:
            case Kind.KILL | Kind.STOP | Kind.PAUSE:
                await self._signal(fault)
            case Kind.PEER_CUT | Kind.PEER_DEAF | Kind.PEER_MUTE:
                route = self.place.peer_routes[fault.target]
                await self._hold(route, fault)
            case Kind.PEER_RESET:
                self.place.peer_routes[fault.target].reset_all()
            case Kind.STORE_CUT:
                route = self.place.store_routes[fault.target]
                await self._hold(route, fault)
            case Kind.SERVER_CUT | Kind.SERVER_MUTE:
                route = self.place.server_routes[fault.target]
                await self._hold(route, fault)
            case Kind.SERVER_RESET:
                self.place.server_routes[fault.target].reset_all()
            case Kind.SERVER_CRASH | Kind.SERVER_DRAIN | Kind.SERVER_FLAKY:
                await self._trouble_server(fault)
            case Kind.STORE_FORGETS:
                self.place.store.forget()
            case Kind.CHANGE:
                self._change()
            case _:
                name = fault.kind.removeprefix("store_")
                self.place.store.fault = name
                await trio.sleep(fault.for_s)
                self.place.store.fault = ""
        self.spans.append(Span(fault.kind, fault.target, began, clock.now()))

    async def _signal(self, fault: soakplan.Fault) -> None:
        name = fault.target
        process = self.place.processes[name]
        if not self.place.is_running(name) or name in self.stopping:
            return
        if fault.kind == Kind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(fault.for_s)
            process.send_signal(signal.SIGCONT)
            return
        self.stopping.add(name)
        if fault.kind == Kind.KILL:
            process.kill()
            await trio.sleep(fault.for_s)
        else:
            process.send_signal(signal.SIGCONT)
            process.terminate()
            await self._await_exit(name, process)
        process.wait()
        self.place.launch(name)
        self.stopping.discard(name)

    async def _await_exit(self, name: str, process) -> None:
        began = clock.now()
        with trio.move_on_after(GRACE_S):
            while process.poll() is None:
                await trio.sleep(0.01)
        if process.poll() is None:
            process.kill()
            return
        span = Span(Kind.STOP, name, began, clock.now())
        self._stops.setdefault(name, []).append(span)

    async def _hold(self, route, fault: soakplan.Fault) -> None:
        """Holds bytes back; a later hold of the same route replaces it."""
        directions = {
            Kind.PEER_DEAF: (True,),
            Kind.PEER_MUTE: (False,),
            Kind.SERVER_MUTE: (False,),
        }.get(fault.kind, (True, False))
        self._held[route.listen] += 1
        number = self._held[route.listen]
        route.hold(*directions)
        await trio.sleep(fault.for_s)
        if self._held[route.listen] == number:
            route.hold()

    async def _trouble_server(self, fault: soakplan.Fault) -> None:
        (server,) = [s for s in self.place.servers if s.fake.id == fault.target]
        match fault.kind:
            case Kind.SERVER_CRASH:
                server.crash()
                # A process takes its connections with it.
                self.place.server_routes[fault.target].reset_all()
            case Kind.SERVER_DRAIN:
                server.state = "draining"
                server.announce()
                told_at = clock.now()
                await trio.sleep(fault.for_s)
                server.state = "ready"
                self._drains.append((server.fake.id, told_at))
                late = [
                    t
                    for t in server.starts_at
                    if told_at + DRAINED_S < t < clock.now()
                ]
                if late and self._is_calm("", told_at, clock.now()):
                    self._find("DRAIN", f"{server.fake.id} {len(late)} starts")
            case _:
                server.fate = lambda: self._random.choices(*FLAKY)[0]
                await trio.sleep(fault.for_s)
                server.fate = str

    def _change(self) -> None:
        version = self.place.version + 3
        if version > 6:
            self._dropped[f"/extra-{version - 3}/"] = (version, clock.now())
        self.place.publish("/jobs/", f"/extra-{version}/")
        self.place.nursery.start_soon(self._probe_change, version)

    async def _probe_change(self, version: int) -> None:
        """Asks every calm entry for the routes of a change in force."""
        await trio.sleep(IN_FORCE_S)
        for name in self.place.entries:
            if self.place.version != version or name in self.stopping:
                return
            sent_at = clock.now()
            job_id = f"{self._random.getrandbits(64):016x}"
            prefix = f"/extra-{version}/"
            status = await self.place.submit(
                name, job_id, 1, 0.05, prefix=prefix
            )
            if status == 404 and self._is_calm(name, sent_at, clock.now()):
                self._find("CONFIG", f"{name} does not know {prefix}")

    # Checks

    def _find(self, rule: str, text: str) -> None:
        self.findings.append(f"{rule}: {text}")

    def _is_calm(self, entry: str, began: float, ended: float) -> bool:
        """Whether nothing struck an entry or the store from CALM_S before."""
        struck = [
            s
            for s in self.spans
            if s.target in (entry, "") or not entry
            if s.kind != Kind.CHANGE
            if s.began < ended and s.ended > began - CALM_S
        ]
        open_faults = entry in self.stopping or self.place.store.fault
        return not struck and not open_faults

    async def _check_recovery(self) -> None:
        for name in self.place.entries:
            job_id = f"{self._random.getrandbits(64):016x}"
            status = await self.place.submit(name, job_id)
            if status != 200:
                self._find("RECOVER", f"{name} answers {status} after the end")
        for name in self.place.entries:
            if not self.place.is_running(name):
                code = self.place.processes[name].returncode
                self._find("EXIT", f"{name} ended by itself with {code}")

    def _check_rules(self) -> None:
        world = self.place.world
        for broken in world.broken:
            self._find("SERVER", broken)
        asked = collections.defaultdict(list)
        for exchange in self.place.exchanges:
            asked[exchange.job_id].append(exchange.status)
        for job_id, statuses in asked.items():
            all_refused = all(s in (429, 503) for s in statuses)
            if all_refused and job_id in world.started:
                self._find("REFUSED", f"{job_id} has run: {statuses}")
        for exchange in self.place.exchanges:
            self._check_exchange(exchange)

    def _check_exchange(self, exchange: zoneplace.Exchange) -> None:
        name = exchange.entry
        if exchange.status == zoneplace.CUT_OFF and self._is_planned_cut(
            exchange
        ):
            self._find("LOST", f"{exchange.job_id} at {name} in a planned stop")
        calm = not any(
            s.began < exchange.ended_at and s.ended > exchange.sent_at - CALM_S
            for s in self.spans
            if s.kind != Kind.CHANGE
        )
        if calm and exchange.status in _UNKNOWN[:3]:
            self._find(
                "ANSWER", f"{exchange.job_id} at {name}: {exchange.status}"
            )

    def _is_planned_cut(self, exchange: zoneplace.Exchange) -> bool:
        """Whether a request was cut off by nothing but a planned stop."""
        stops = [
            stop
            for stop in self._stops.get(exchange.entry, ())
            if exchange.sent_at < stop.ended - EXIT_S
            and exchange.sent_at > stop.ended - GRACE_S
            and exchange.ended_at < stop.ended + 1.0
            and stop.ended - stop.began < GRACE_S * LAST_SHARE
        ]
        others = [
            s
            for s in self.spans
            if s.target == exchange.entry and s.kind != Kind.STOP
            if s.began < exchange.ended_at
            and s.ended > exchange.sent_at - CALM_S
        ]
        return bool(stops) and not others


async def play(
    seed: int, seconds: float, size: Size, folder: pathlib.Path
) -> Verdict:
    """Plays one seed; logs of the entries stay in the folder."""
    zones = [f"zone-{n}" for n in range(size.zones)]
    entries = {
        f"{zone}-entry-{n}": zone for zone in zones for n in range(size.entries)
    }
    servers = [zone for zone in zones for _ in range(size.servers)]
    server_zones = {f"i-{n}": zone for n, zone in enumerate(servers)}
    plan = soakplan.new_plan(
        seed, seconds, entries, server_zones, size.faults_per_s
    )
    async with trio.open_nursery() as nursery:
        place = zoneplace.Place(
            nursery, folder, mutant=size.mutant, grace_s=GRACE_S
        )
        soak = Soak(place, plan, size)
        try:
            await place.start(servers, entries)
            await soak.run()
        finally:
            place.close()
            nursery.cancel_scope.cancel()
    return Verdict(seed, soak.findings, place.answers)


def run(seed: int, seconds: float, size: Size) -> Verdict:
    """Plays one seed; keeps the logs only if it found something."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    verdict = trio.run(functools.partial(play, seed, seconds, size, folder))
    if verdict.findings:
        (folder / "findings.txt").write_text("\n".join(verdict.findings))
        verdict.findings.append(f"logs in {folder}")
    else:
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    return verdict
