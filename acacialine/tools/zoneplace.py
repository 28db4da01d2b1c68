"""Dispatchers as processes between stand-ins of the platform, on loopback.

Every link runs through a fault proxy: callers to entries, entries to the
store, to backend servers and to each other.
"""

import collections
import contextlib
import functools
import pathlib
import random
import socket
import subprocess
import sys
import time

import attrs
import httpcore
import msgspec
import trio

from acacialine import channels
from acacialine import clock
from acacialine.tools import fakeservers
from acacialine.tools import faultproxy
from acacialine.tools import http
from acacialine.tools import zonestandin

HOST = "desk.example"
READY_S = 30.0
PORTS = (15000, 32000)  # Linux gives 32768 and above to outgoing ones
DEADLINE_MS = 3000
CALLER_PATIENCE_S = 2.0  # beyond the deadline, for a busy machine
CUT_OFF = 0  # the connection ended without an answer
NO_ANSWER = -1  # nothing came within the caller's patience
NOT_CONNECTED = -2  # nothing of the request was sent
SETTINGS = """
[dispatcher]
name = {name}
zone = {zone}
caller_address = 127.0.0.1:{caller}
ready_address = 127.0.0.1:{ready}
peer_address = 127.0.0.1:{peer}
peer_advertise = 127.0.0.1:{advertised}
metrics_address = 127.0.0.1:{metrics}
seeds = {seeds}
peer_keys = test
[store]
address = 127.0.0.1:{store}
[stop]
grace_s = {grace_s}
"""


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on.

    They lie below those that the kernel gives to outgoing connections, which
    could take one before its process listens.
    """
    rng = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = rng.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


@attrs.frozen
class Ports:
    """Where one entry listens, and the proxies before and behind it."""

    caller: int
    ready: int
    peer: int
    metrics: int
    peer_proxy: int
    store_proxy: int


@attrs.define
class Exchange:
    """One request of a caller and what came of it.

    Attributes:
        status: 200 completed, 500 failed, another HTTP status, or one of
            the constants below.
        version: Configuration that was the newest when it was sent.
    """

    entry: str
    job_id: str
    prefix: str
    sent_at: float
    version: int
    status: int = NO_ANSWER
    ended_at: float = 0.0


@attrs.define(eq=False)
class Place:
    """An installation: stand-ins in this process, entries as processes.

    Attributes:
        world: What the backend servers run, and the rules seen broken.
        entries: Zone of each entry, by name.
        exchanges: All requests of callers so far.
        published: When each version was published.
        mutant: Name of a rule that entries break, see `mutants`.
    """

    nursery: trio.Nursery
    folder: pathlib.Path
    world: fakeservers.FakeWorld = attrs.field(factory=fakeservers.FakeWorld)
    store: zonestandin.FakeStore = attrs.field(factory=zonestandin.FakeStore)
    servers: list[zonestandin.ServerStandin] = attrs.field(factory=list)
    entries: dict[str, str] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    ports: dict[str, Ports] = attrs.field(factory=dict)
    exchanges: list[Exchange] = attrs.field(factory=list)
    rejected: set[str] = attrs.field(factory=set)
    published: dict[int, float] = attrs.field(factory=dict)
    mutant: str = ""
    grace_s: float = 4.0
    version: int = 0
    target_latency_ms: int = 1000
    peer_routes: dict[str, faultproxy.Route] = attrs.field(factory=dict)
    store_routes: dict[str, faultproxy.Route] = attrs.field(factory=dict)
    server_routes: dict[str, faultproxy.Route] = attrs.field(factory=dict)
    _store_port: int = attrs.field(factory=lambda: free_ports(1)[0])

    @property
    def answers(self) -> collections.Counter:
        """How many requests ended with each status."""
        return collections.Counter(e.status for e in self.exchanges)

    async def start(self, servers: list[str], entries: dict[str, str]) -> None:
        """Starts servers, given by their zones, and entries until ready."""
        await self.nursery.start(
            http.new_server(self.store, ("127.0.0.1", self._store_port))
        )
        self.publish("/jobs/")
        for index, zone in enumerate(servers):
            await self.add_server(f"i-{index}", zone)
        self.entries = dict(entries)
        for name in entries:
            await self._add_entry(name)
        for name in entries:
            self.launch(name)
        self.nursery.start_soon(self._settle)
        with trio.fail_after(READY_S):
            for name in entries:
                await self.wait_ready(name)
            for zone in set(entries.values()):
                while self.placer(zone) is None:
                    await trio.sleep(0.05)

    async def _add_entry(self, name: str) -> None:
        ports = Ports(*free_ports(6))
        self.ports[name] = ports
        self.peer_routes[name] = await self._proxy(ports.peer_proxy, ports.peer)
        self.store_routes[name] = await self._proxy(
            ports.store_proxy, self._store_port
        )

    async def _proxy(self, listen: int, target: int) -> faultproxy.Route:
        route = faultproxy.Route(("127.0.0.1", listen), ("127.0.0.1", target))
        await self.nursery.start(functools.partial(faultproxy.serve, route))
        return route

    async def add_server(
        self, server_id: str, zone: str, cpu: int = 16000
    ) -> None:
        """Starts one more backend server."""
        port, proxied = free_ports(2)
        fake = self.world.add(server_id, cpu)
        standin = zonestandin.ServerStandin(
            fake, zone, ("127.0.0.1", proxied), self.store
        )
        self.server_routes[server_id] = await self._proxy(proxied, port)
        self.servers.append(standin)
        await self.nursery.start(http.new_server(standin, ("127.0.0.1", port)))
        self.nursery.start_soon(standin.beat)

    async def _settle(self) -> None:
        while True:
            for server in self.world.servers.values():
                server.settle(clock.now())
            await trio.sleep(zonestandin.SETTLE_S)

    def publish(self, *prefixes: str) -> None:
        """Publishes a configuration with these routes, one version on."""
        self.version += 3
        routes = [
            {
                "name": f"queue-{index}",
                "host": HOST,
                "pathPrefix": prefix,
                "timeoutMs": DEADLINE_MS,
                # What is refused shall not depend on a busy machine.
                "targetLatencyMs": self.target_latency_ms,
                "priority": 0,
                "service": "desk",
                "maxAttempts": 3,
                "stretch": 1.6,
            }
            for index, prefix in enumerate(prefixes)
        ]
        document = {"version": self.version, "routes": routes, "limits": {}}
        self.store.put("keyed.op", "config", msgspec.json.encode(document))
        self.published[self.version] = clock.now()

    def launch(self, name: str) -> None:
        """Starts the process of an entry."""
        ports = self.ports[name]
        seeds = [f"127.0.0.1:{p.peer_proxy}" for p in self.ports.values()]
        text = SETTINGS.format(
            name=name,
            zone=self.entries[name],
            caller=ports.caller,
            ready=ports.ready,
            peer=ports.peer,
            advertised=ports.peer_proxy,
            metrics=ports.metrics,
            seeds=" ".join(seeds[:3]),
            store=ports.store_proxy,
            grace_s=self.grace_s,
        )
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self._program(), "dispatcher", "-c", path],
                stdout=log,
                stderr=log,
            )

    def _program(self) -> list[str]:
        if self.mutant:
            module = "acacialine.tools.mutants"
            return [sys.executable, "-m", module, self.mutant]
        return [sys.executable, "-m", "acacialine"]

    def is_running(self, name: str) -> bool:
        """Returns whether the process of an entry has not ended."""
        return self.processes[name].poll() is None

    def log_of(self, name: str) -> str:
        """Returns what an entry has written so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def placer(self, zone: str) -> str | None:
        """Returns the entry of a zone that owned it last, and still runs."""
        found = []
        for name, its_zone in self.entries.items():
            if its_zone != zone or not self.is_running(name):
                continue
            lines = self.log_of(name).splitlines()
            owned = [n for n in lines if " zone_owned " in n]
            if owned:
                found.append((owned[-1], name))
        return max(found)[1] if found else None

    async def get(self, port: int, path: str) -> channels.Reply:
        """Makes one call to an entry."""
        calls = channels.Channels(("127.0.0.1", port), 0.5)
        try:
            return await calls.call("GET", path, b"", 1.0)
        finally:
            await calls.aclose()

    async def wait_ready(self, name: str) -> None:
        """Returns once an entry reports that it is ready."""
        while True:
            with contextlib.suppress(
                channels.NotSentError, channels.NoAnswerError
            ):
                reply = await self.get(
                    self.ports[name].ready, "/acacialine/readyz"
                )
                if reply.status == 200:
                    return
            await trio.sleep(0.05)

    async def submit(
        self,
        name: str,
        job_id: str,
        count: int = 2,
        length_s: float = 0.05,
        prefix: str = "/jobs/",
        pool: httpcore.AsyncConnectionPool | None = None,
    ) -> int:
        """Sends one job; returns the status as in `Exchange`."""
        exchange = Exchange(name, job_id, prefix, clock.now(), self.version)
        if pool is not None:
            await self._exchange(exchange, pool, count, length_s)
        else:
            async with httpcore.AsyncConnectionPool() as own:
                await self._exchange(exchange, own, count, length_s)
        exchange.ended_at = clock.now()
        self.exchanges.append(exchange)
        return exchange.status

    async def _exchange(
        self,
        exchange: Exchange,
        pool: httpcore.AsyncConnectionPool,
        count: int,
        length_s: float,
    ) -> None:
        step = {
            "count": count,
            "cpu": 7000,
            "memMb": 64,
            "estimateMs": round(length_s * 1000),
        }
        spec = zonestandin.new_spec(7000, length_s)
        body = {"spec": spec, "steps": [step], "bestEffort": True}
        port = self.ports[exchange.entry].caller
        try:
            with trio.fail_after(DEADLINE_MS / 1000 + CALLER_PATIENCE_S):
                response = await pool.request(
                    "POST",
                    f"http://127.0.0.1:{port}{exchange.prefix}{exchange.job_id}",
                    headers={"Host": HOST, "Deadline-Ms": str(DEADLINE_MS)},
                    content=msgspec.json.encode(body),
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            exchange.status = NOT_CONNECTED
            return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            exchange.status = CUT_OFF
            return
        except trio.TooSlowError:
            return
        exchange.status = response.status
        if response.status in (429, 503):
            self.rejected.add(exchange.job_id)
            retry = [
                v for k, v in response.headers if k.lower() == b"retry-after"
            ]
            if not retry or int(retry[0]) < 1:
                self.world.broken.append(f"no Retry-After {exchange}")
        if response.status == 200:
            state = msgspec.json.decode(response.content)["state"]
            exchange.status = 200 if state == "completed" else 500

    async def load(
        self, names: list[str], seconds: float, per_s: float, seed: int
    ) -> None:
        """Sends jobs at a steady rate and waits for their answers."""
        rng = random.Random(seed)
        end = time.monotonic() + seconds
        async with trio.open_nursery() as nursery:
            while time.monotonic() < end:
                job_id = f"{rng.getrandbits(64):016x}"
                name = rng.choice(names)
                nursery.start_soon(self.submit, name, job_id)
                await trio.sleep(rng.expovariate(per_s))

    def close(self) -> None:
        """Ends the processes that this place has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
