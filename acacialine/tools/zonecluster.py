"""Runs dispatcher processes against a fake platform, on loopback.

The links of dispatchers to the store, to backend servers and to each other run
through fault proxies; clients connect to dispatchers directly or through one.
"""

import collections
import contextlib
import datetime
import functools
import pathlib
import random
import resource
import subprocess
import sys
import time

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import httppool
from acacialine.tools import fakeservers
from acacialine.tools import faultproxy
from acacialine.tools import http
from acacialine.tools import ports as ports_lib
from acacialine.tools import zonestandin

HOST = "desk.example"
STARTUP_TIMEOUT_S = 30.0
DEADLINE_MS = 3000
# Clients wait so long after the deadline, since a busy machine answers late.
CLIENT_EXTRA_WAIT_S = 2.0
CUT_OFF = 0  # status: the connection ended without an answer
NO_ANSWER = -1  # status: no answer until the client's timeout
NOT_CONNECTED = -2  # status: could not connect, so nothing was sent
SETTINGS_TEMPLATE = """
[dispatcher]
name = {name}
zone = {zone}
caller_address = 127.0.0.1:{client}
ready_address = 127.0.0.1:{ready}
peer_address = 127.0.0.1:{peer}
peer_advertise = 127.0.0.1:{advertised}
metrics_address = 127.0.0.1:{metrics}
seeds = {seeds}
peer_keys = test
{limits}
[store]
address = 127.0.0.1:{store}
[placement]
balance_zones = {balance_zones}
[stop]
grace_s = {grace_s}
"""


@attrs.frozen
class Ports:
    """Ports of one dispatcher and of the proxies around it."""

    client: int
    ready: int
    peer: int
    metrics: int
    peer_proxy: int
    store_proxy: int
    client_proxy: int


@attrs.define
class Exchange:
    """One request of a client and its result.

    Attributes:
        status: 200 if the job completed, 500 if it failed, another HTTP status,
            CUT_OFF, NO_ANSWER or NOT_CONNECTED.
        version: Newest configuration when the request was sent.
        is_proxied: Whether it was sent through the fault proxy for clients,
            which accepts connections also while the dispatcher refuses them.
    """

    dispatcher: str
    job_id: str
    prefix: str
    sent_at: float
    version: int
    is_proxied: bool = False
    status: int = NO_ANSWER
    ended_at: float = 0.0


@attrs.define(eq=False)
class Cluster:
    """A fake platform in this process and dispatchers as child processes.

    Attributes:
        fake_servers: What the backend servers run, and the violations that
            they detect.
        dispatchers: Zone of each dispatcher, by name.
        exchanges: All requests of clients so far.
        refused_jobs: Ids of jobs answered 429 or 503.
        published: When each configuration version was published.
        mutant: Name of a mutation of the dispatchers, see `mutants`.
        memory_mb: Setting of the dispatchers; empty for its default.
        max_fds: Setting of the dispatchers, and the limit of their processes;
            0 for none.
        target_latency_ms: Latency that clients accept. By default it is so
            long that no job is refused because it would end late.
        deadline_ms: Time that clients give to a request.
        client_extra_wait_s: How much longer they wait for its answer.
        balances_zones: Whether demand is balanced between zones.
        peer_routes: Proxy in front of each dispatcher's peer port.
        store_routes: Proxy from each dispatcher to the store.
        client_routes: Proxy from clients to each dispatcher.
        server_routes: Proxy in front of each backend server.
    """

    nursery: trio.Nursery
    work_dir: pathlib.Path
    fake_servers: fakeservers.FakeServerPool = attrs.field(
        factory=fakeservers.FakeServerPool
    )
    store: zonestandin.FakeStore = attrs.field(factory=zonestandin.FakeStore)
    servers: list[zonestandin.FakeServerEndpoint] = attrs.field(factory=list)
    dispatchers: dict[str, str] = attrs.field(factory=dict)
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    ports: dict[str, Ports] = attrs.field(factory=dict)
    exchanges: list[Exchange] = attrs.field(factory=list)
    refused_jobs: set[str] = attrs.field(factory=set)
    published: dict[int, float] = attrs.field(factory=dict)
    mutant: str = ""
    memory_mb: str = ""
    max_fds: int = 0
    grace_s: float = 4.0
    version: int = 0
    target_latency_ms: int = 60000
    deadline_ms: int = DEADLINE_MS
    client_extra_wait_s: float = CLIENT_EXTRA_WAIT_S
    balances_zones: bool = False
    peer_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    store_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    client_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    server_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    _store_port: int = attrs.field(factory=lambda: ports_lib.reserve(1)[0])
    _busy_store_port: int = attrs.field(factory=lambda: ports_lib.reserve(1)[0])

    @property
    def status_counts(self) -> collections.Counter:
        """Number of requests by status."""
        return collections.Counter(e.status for e in self.exchanges)

    async def start(
        self,
        servers: list[str],
        entries: dict[str, str],
        proxied: bool = True,
    ) -> None:
        """Starts servers and dispatchers and waits until all are ready.

        Args:
            servers: Zone of each server; names are i-0, i-1, ...
            entries: Zone of each dispatcher, by name.
            proxied: Whether a fault proxy runs in front of each server.
        """
        self.fake_servers.log = self._log_server_event
        await self.nursery.start(
            http.new_server(self.store, ("127.0.0.1", self._store_port))
        )
        await self.nursery.start(
            http.new_server(
                zonestandin.FakeStore(fault="down"),
                ("127.0.0.1", self._busy_store_port),
            )
        )
        self.publish("/jobs/")
        for index, zone in enumerate(servers):
            await self.add_server(f"i-{index}", zone, proxied=proxied)
        self.dispatchers = dict(entries)
        for name in entries:
            await self._add_dispatcher(name)
        for name in entries:
            self.start_process(name)
        self.nursery.start_soon(self._end_due_runs)
        with trio.fail_after(STARTUP_TIMEOUT_S):
            for name in entries:
                await self.wait_ready(name)
            for zone in set(entries.values()):
                while self.find_placer(zone) is None:
                    await trio.sleep(0.05)

    async def _add_dispatcher(self, name: str) -> None:
        ports = Ports(*ports_lib.reserve(7))
        self.ports[name] = ports
        self.peer_routes[name] = await self._start_proxy(
            ports.peer_proxy, ports.peer
        )
        # Reading the name of the dialler allows holding its links only.
        self.peer_routes[name].delay_by_dialler = lambda _: 0.0
        self.store_routes[name] = await self._start_proxy(
            ports.store_proxy, self._store_port
        )
        self.client_routes[name] = await self._start_proxy(
            ports.client_proxy, ports.client
        )

    def turn_away(self, name: str, how: str) -> None:
        """Lets the store turn a dispatcher away, or serve it again.

        Args:
            name: The dispatcher.
            how: `busy` (503), `reset` or `silent`; empty to serve it.
        """
        route = self.store_routes[name]
        port = self._busy_store_port if how == "busy" else self._store_port
        route.target = ("127.0.0.1", port)
        route.fault = (
            faultproxy.Fault.REFUSE if how == "reset" else faultproxy.Fault.NONE
        )
        route.hold(*((True, False) if how == "silent" else ()))
        if how != "silent":
            route.reset_connections()

    async def _start_proxy(
        self, listen: int, target: int
    ) -> faultproxy.ProxyRoute:
        route = faultproxy.ProxyRoute(
            ("127.0.0.1", listen), ("127.0.0.1", target)
        )
        await self.nursery.start(functools.partial(faultproxy.serve, route))
        return route

    async def add_server(
        self, server_id: str, zone: str, cpu: int = 16000, proxied: bool = True
    ) -> None:
        """Adds a fake backend server, behind a fault proxy if `proxied`."""
        port, proxy_port = ports_lib.reserve(2)
        announced_port = proxy_port if proxied else port
        fake_server = self.fake_servers.add(server_id, cpu)
        endpoint = zonestandin.FakeServerEndpoint(
            fake_server, zone, ("127.0.0.1", announced_port), self.store
        )
        if proxied:
            self.server_routes[server_id] = await self._start_proxy(
                proxy_port, port
            )
        fake_server.on_crash_due = functools.partial(
            self.nursery.start_soon,
            self.crash_server,
            server_id,
            self.fake_servers.down_s,
        )
        self.servers.append(endpoint)
        await self.nursery.start(http.new_server(endpoint, ("127.0.0.1", port)))
        self.nursery.start_soon(endpoint.run_heartbeat)

    async def crash_server(self, server_id: str, down_s: float) -> None:
        """Crashes a proxied backend server, which restarts after some time.

        Meanwhile its address refuses connections.
        """
        (server,) = [s for s in self.servers if s.fake_server.id == server_id]
        route = self.server_routes[server_id]
        server.is_unresponsive = True
        route.set_listening(False)
        server.crash(down_s)
        await trio.sleep(down_s)
        server.is_unresponsive = False
        route.set_listening(True)

    def _log_server_event(self, text: str) -> None:
        """Writes a line beside the logs of the dispatchers."""
        at = datetime.datetime.now(datetime.UTC).strftime("%H:%M:%S.%f")
        with (self.work_dir / "servers.log").open("a") as log:
            log.write(f"{at[:12]} {text}\n")

    async def _end_due_runs(self) -> None:
        while True:
            for server in self.fake_servers.servers.values():
                server.end_due_runs(clock.now())
            await trio.sleep(zonestandin.RUN_CHECK_INTERVAL_S)

    def publish(self, *prefixes: str) -> None:
        """Publishes a new configuration version with one route per prefix."""
        self.version += 3
        routes = [
            {
                "name": f"queue-{index}",
                "host": HOST,
                "pathPrefix": prefix,
                "timeoutMs": self.deadline_ms,
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

    def start_process(self, name: str) -> None:
        """Writes the settings of a dispatcher and starts its process."""
        ports = self.ports[name]
        seeds = [f"127.0.0.1:{p.peer_proxy}" for p in self.ports.values()]
        text = SETTINGS_TEMPLATE.format(
            name=name,
            zone=self.dispatchers[name],
            client=ports.client,
            ready=ports.ready,
            peer=ports.peer,
            advertised=ports.peer_proxy,
            metrics=ports.metrics,
            seeds=" ".join(seeds[:3]),
            store=ports.store_proxy,
            grace_s=self.grace_s,
            limits=f"memory_mb = {self.memory_mb}\n"
            f"max_fds = {self.max_fds or ''}",
            balance_zones="yes" if self.balances_zones else "no",
        )
        path = self.work_dir / f"{name}.ini"
        path.write_text(text)
        with (self.work_dir / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*self._command(), "dispatcher", "-c", path],
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors if self.max_fds else None,
            )

    def _limit_descriptors(self) -> None:
        """Limits the descriptors of a dispatcher; runs in its process."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

    def _command(self) -> list[str]:
        if self.mutant:
            module = "acacialine.tools.mutants"
            return [sys.executable, "-m", module, self.mutant]
        return [sys.executable, "-m", "acacialine"]

    def is_running(self, name: str) -> bool:
        """Returns whether the process of a dispatcher is running."""
        return self.processes[name].poll() is None

    def read_log(self, name: str) -> str:
        """Returns the log of a dispatcher so far."""
        return (self.work_dir / f"{name}.log").read_text(errors="replace")

    def find_placer(self, zone: str) -> str | None:
        """Returns the running dispatcher of a zone that owned it last."""
        owners = []
        for name, dispatcher_zone in self.dispatchers.items():
            if dispatcher_zone != zone or not self.is_running(name):
                continue
            lines = self.read_log(name).splitlines()
            owned_lines = [line for line in lines if " zone_owned " in line]
            if owned_lines:
                owners.append((owned_lines[-1], name))
        return max(owners)[1] if owners else None

    async def get(self, port: int, path: str) -> httppool.Reply:
        """Sends a GET request to a port of a dispatcher."""
        pool = httppool.ConnectionPool(("127.0.0.1", port), 0.5)
        try:
            return await pool.call("GET", path, b"", 1.0)
        finally:
            await pool.aclose()

    async def wait_ready(self, name: str) -> None:
        """Returns once a dispatcher reports that it is ready."""
        while True:
            with contextlib.suppress(
                httppool.NotSentError, httppool.NoAnswerError
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
        is_proxied: bool = False,
    ) -> int:
        """Sends one job of `count` equal tasks.

        Args:
            name: Dispatcher to send it to.
            job_id: Id of the job.
            count: Number of tasks.
            length_s: Duration of each task.
            prefix: Path prefix of the route.
            pool: Connections to use; without it, a new one for this request.
            is_proxied: See `Exchange`.

        Returns:
            The status, as in `Exchange`.
        """
        exchange = Exchange(
            name, job_id, prefix, clock.now(), self.version, is_proxied
        )
        if pool is not None:
            await self._send_request(exchange, pool, count, length_s)
        else:
            async with httpcore.AsyncConnectionPool() as single_use_pool:
                await self._send_request(
                    exchange, single_use_pool, count, length_s
                )
        exchange.ended_at = clock.now()
        self.exchanges.append(exchange)
        return exchange.status

    async def _send_request(
        self,
        exchange: Exchange,
        pool: httpcore.AsyncConnectionPool,
        count: int,
        length_s: float,
    ) -> None:
        """Sends the request of an exchange and records its status."""
        step = {
            "count": count,
            "cpu": 7000,
            "memMb": 64,
            "estimateMs": round(length_s * 1000),
        }
        spec = zonestandin.new_spec(7000, length_s)
        body = {"spec": spec, "steps": [step], "bestEffort": True}
        ports = self.ports[exchange.dispatcher]
        port = ports.client_proxy if exchange.is_proxied else ports.client
        wait_s = self.deadline_ms / 1000 + self.client_extra_wait_s
        try:
            with trio.fail_after(wait_s):
                response = await pool.request(
                    "POST",
                    f"http://127.0.0.1:{port}{exchange.prefix}{exchange.job_id}",
                    headers={
                        "Host": HOST,
                        "Deadline-Ms": str(self.deadline_ms),
                    },
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
            self.refused_jobs.add(exchange.job_id)
            retry_after = [
                v for k, v in response.headers if k.lower() == b"retry-after"
            ]
            if not retry_after or int(retry_after[0]) < 1:
                self.fake_servers.violations.append(
                    f"no Retry-After in {exchange}"
                )
        if response.status == 200:
            state = msgspec.json.decode(response.content)["state"]
            exchange.status = 200 if state == "completed" else 500

    async def send_load(
        self, names: list[str], seconds: float, per_s: float, seed: int
    ) -> None:
        """Sends jobs to random dispatchers and waits for the answers.

        The intervals are exponential, with `per_s` jobs a second on average.
        """
        rng = random.Random(seed)
        end = time.monotonic() + seconds
        async with trio.open_nursery() as nursery:
            while time.monotonic() < end:
                job_id = f"{rng.getrandbits(64):016x}"
                name = rng.choice(names)
                nursery.start_soon(self.submit, name, job_id)
                await trio.sleep(rng.expovariate(per_s))

    def close(self) -> None:
        """Kills the dispatcher processes that still run."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
