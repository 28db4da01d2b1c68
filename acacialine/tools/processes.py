"""An installation of real processes, for tests and the bench.

Entries reach backend servers and each other through the fault proxy of the
calling process; so do callers who use the proxied addresses.
"""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile

import attrs
import httpcore
import msgspec
import trio

from acacialine import admin
from acacialine import configlog
from acacialine import platforms
from acacialine.tools import faultproxy
from acacialine.tools import layout as layout_lib
from acacialine.tools import proxyserver

READY_TIMEOUT_S = 40.0
READY_POLL_S = 0.1
STOP_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class Processes:
    """The running processes and the routes in front of them.

    Attributes:
        callers: Proxied address of each entry for callers, by name.
        caller_routes: Routes from callers to entries, by entry.
        peer_routes: Routes from entries to entries, by receiving entry.
        backend_routes: Routes from entries to backend servers.
    """

    layout: layout_lib.Layout
    folder: pathlib.Path
    extra: dict[str, dict[str, object]]
    zone_delay_s: float
    running: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    caller_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    peer_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    backend_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    generation: int = 0

    @property
    def platform_url(self) -> str:
        """Where the platform stand-in is."""
        return "http://" + layout_lib.text_of(self.layout.platform)

    def callers(self) -> dict[str, tuple[str, int]]:
        """Returns the proxied caller address of each entry."""
        return {n: r.listen for n, r in self.caller_routes.items()}

    def journals(self) -> list[pathlib.Path]:
        """Returns the paths of all journals."""
        return sorted(self.folder.glob("*.journal"))

    def pid(self, name: str) -> int:
        """Returns the id of a running process."""
        return self.running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that was started here."""
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process at once."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str) -> int:
        """Stops a process in order and returns its exit code."""
        process = self.running.pop(name)
        process.terminate()
        with trio.fail_after(STOP_TIMEOUT_S):
            while process.poll() is None:
                await trio.sleep(0.02)
        return process.returncode

    def _start(self, name: str, *arguments: str) -> None:
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as output:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "acacialine", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_proxies(self, caller_delay_s: float) -> None:
        """Starts the routes with delays only, in processes of their own."""
        entries = self.layout.entries
        ports = iter(layout_lib.free_ports(2 * len(entries)))
        callers, peers = [], []
        zone_by_port = {}
        for plan in entries:
            caller = ("127.0.0.1", next(ports))
            peer = ("127.0.0.1", next(ports))
            zone_by_port[peer[1]] = plan.zone
            self.caller_routes[plan.name] = faultproxy.ProxyRoute(
                caller, plan.caller
            )
            self.peer_routes[plan.name] = faultproxy.ProxyRoute(peer, plan.peer)
            callers.append(
                proxyserver.RouteSpec(caller, plan.caller, caller_delay_s)
            )
            peers.append(
                proxyserver.RouteSpec(
                    peer, plan.peer, self.zone_delay_s, plan.zone
                )
            )
        for name, routes in (("callers", callers), ("peers", peers)):
            path = self.folder / f"proxy-{name}.json"
            spec = proxyserver.ProxySpec(routes, zone_by_port)
            path.write_bytes(msgspec.json.encode(spec))
            self._start(f"proxy-{name}", "standin", "proxy", str(path))

    def start_platform(self, retention_s: float = 86400.0) -> None:
        """Starts the platform with the proxied addresses in its list."""
        vms_path = self.folder / "vms.json"
        vms_path.write_bytes(msgspec.json.encode(platforms.VmList(self.vms())))
        self._start(
            "platform",
            "standin",
            "platform",
            "--address",
            layout_lib.text_of(self.layout.platform),
            "--retention-s",
            str(retention_s),
            "--vms",
            str(vms_path),
        )

    def vms(self) -> list[platforms.Vm]:
        """Returns the VM list with the proxied addresses."""
        result = []
        for vm in layout_lib.vms_of(self.layout):
            routes = self.peer_routes
            if vm.role == "backend":
                routes = self.backend_routes
            if vm.vm_id in routes:
                address = layout_lib.text_of(routes[vm.vm_id].listen)
                vm = attrs.evolve(vm, address=address)
            result.append(vm)
        return result

    def start_backend(self, plan: layout_lib.BackendPlan) -> None:
        """Starts a backend server; its journal survives restarts."""
        self._start(
            plan.name,
            "standin",
            "backend",
            "--name",
            plan.name,
            "--address",
            layout_lib.text_of(plan.address),
            "--journal",
            str(self.folder / f"{plan.name}.journal"),
        )

    def start_entry(self, plan: layout_lib.EntryPlan, **changes) -> None:
        """Starts an entry; `changes` are keys of its [entry] section."""
        extra = {s: dict(v) for s, v in self.extra.items()}
        advertised = layout_lib.text_of(self.peer_routes[plan.name].listen)
        entry = extra.setdefault("entry", {})
        entry["peer_advertise"] = advertised
        entry.update(changes)
        path = self.folder / f"{plan.name}.ini"
        path.write_text(
            layout_lib.settings_text(plan, self.platform_url, extra)
        )
        self._start(plan.name, "entry", "-c", str(path))

    def plan_of(self, name: str) -> layout_lib.EntryPlan:
        """Returns the plan of an entry."""
        return next(e for e in self.layout.entries if e.name == name)

    def delay_between(self, receiver: str, sender: str) -> float | None:
        """Returns the delay of a peer link; None if it is cut.

        Args:
            receiver: Name of the dialled entry.
            sender: Incarnation of the dialling entry.
        """
        port = int(sender.rsplit("-", 2)[1])
        for name, route in self.peer_routes.items():
            if route.listen[1] == port:
                zones = {self.plan_of(name).zone, self.plan_of(receiver).zone}
                if len(zones) == 1:
                    return 0.0
                cut = frozenset(zones) in self.cut
                return None if cut else self.zone_delay_s
        return 0.0

    def cut_zones(self, one: str, other: str) -> None:
        """Cuts two zones off from each other, open links included."""
        self.cut.add(frozenset((one, other)))
        for name, route in self.peer_routes.items():
            if self.plan_of(name).zone in (one, other):
                route.reset_connections()

    def heal_zones(self) -> None:
        """Lets all zones reach each other again."""
        self.cut.clear()
        for route in self.peer_routes.values():
            route.reset_connections()

    async def status(self, plan: layout_lib.EntryPlan) -> admin.Status | None:
        """Returns the status of an entry; None if it does not answer."""
        url = f"http://{layout_lib.text_of(plan.admin)}/admin/status"
        try:
            with trio.fail_after(1.0):
                async with httpcore.AsyncConnectionPool(retries=0) as pool:
                    response = await pool.request("GET", url)
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            trio.TooSlowError,
        ):
            return None
        return msgspec.json.decode(response.content, type=admin.Status)

    async def wait_ready(self) -> None:
        """Waits until every running entry sees all others and slots."""
        plans = [e for e in self.layout.entries if e.name in self.running]
        with trio.move_on_after(READY_TIMEOUT_S):
            while not await self._is_ready(plans):
                await trio.sleep(READY_POLL_S)
            return
        raise RuntimeError(await self._why_not_ready(plans))

    async def _why_not_ready(self, plans) -> str:
        """Describes an installation that does not get ready."""
        lines = [
            f"{name} exited with {process.poll()}"
            for name, process in self.running.items()
            if process.poll() is not None
        ]
        for plan in plans:
            status = await self.status(plan)
            if status is None:
                log_path = self.folder / f"{plan.name}.log"
                tail = log_path.read_text()[-500:]
                lines.append(f"{plan.name}: no answer; log: {tail}")
                continue
            seen = [(e.name, e.state, e.granting) for e in status.entries]
            lines.append(f"{plan.name}: {status.config_offset} {seen}")
        return "\n".join(lines)

    async def _is_ready(self, plans) -> bool:
        slots = 0
        for plan in plans:
            status = await self.status(plan)
            if status is None or not status.config_offset:
                return False
            live = [e for e in status.entries if e.state == "live"]
            if len(live) != len(plans):
                return False
            slots += live[0].granting
        backends = [b for b in self.layout.backends if b.name in self.running]
        return slots >= 8 * len(backends)

    async def platform_request(
        self, method: str, path: str, content: object = None
    ) -> bytes:
        """Talks to the platform stand-in."""
        body = msgspec.json.encode(content) if content is not None else b""
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                method, self.platform_url + path, content=body
            )
        return response.content

    async def publish(self, team: str, text: str, base: int = 0) -> int:
        """Appends a document to the log without further ado."""
        change = configlog.Change(f"{team}-{base}", team, base, text, "test")
        record = configlog.encode_record(configlog.Record(change=change))
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                "POST",
                self.platform_url + "/log/config",
                content=record.encode(),
            )
        answer = msgspec.json.decode(
            response.content, type=platforms.AppendResponse
        )
        return answer.offset

    async def behave(self, backend: str, behaviour) -> None:
        """Changes how a backend server acts."""
        plan = next(b for b in self.layout.backends if b.name == backend)
        url = f"http://{layout_lib.text_of(plan.address)}/behaviour"
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            await pool.request(
                "POST", url, content=msgspec.json.encode(behaviour)
            )

    def end(self) -> None:
        """Ends every process that was started here."""
        for process in self.running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()


@contextlib.asynccontextmanager
async def running(
    layout: layout_lib.Layout,
    documents: dict[str, str],
    extra: dict[str, dict[str, object]] | None = None,
    *,
    zone_delay_s: float = 0.0,
    caller_delay_s: float = 0.0,
    retention_s: float = 86400.0,
    faults: bool = True,
):
    """Runs an installation of processes for the length of a block."""
    with tempfile.TemporaryDirectory(prefix="acacialine-") as folder:
        path = pathlib.Path(folder)
        parts = Processes(layout, path, extra or {}, zone_delay_s)
        async with trio.open_nursery() as nursery:
            try:
                if faults:
                    await _open_routes(nursery, parts, caller_delay_s)
                else:
                    parts.start_proxies(caller_delay_s)
                parts.start_platform(retention_s)
                for backend in layout.backends:
                    parts.start_backend(backend)
                await _wait_platform(parts)
                for team, text in documents.items():
                    await parts.publish(team, text)
                for entry in layout.entries:
                    parts.start_entry(entry)
                await parts.wait_ready()
                yield parts
            finally:
                parts.end()
                nursery.cancel_scope.cancel()


async def _open_routes(
    nursery: trio.Nursery, parts: Processes, caller_delay_s: float
) -> None:
    """Opens every route in this process, where faults can be injected."""
    layout = parts.layout
    count = 2 * len(layout.entries) + len(layout.backends)
    ports = iter(layout_lib.free_ports(count))

    async def open_route(target, **values) -> faultproxy.ProxyRoute:
        listen = ("127.0.0.1", next(ports))
        route = faultproxy.ProxyRoute(listen, target, **values)
        await nursery.start(faultproxy.serve, route)
        return route

    for entry in layout.entries:
        parts.caller_routes[entry.name] = await open_route(
            entry.caller, delay_s=caller_delay_s
        )
        parts.peer_routes[entry.name] = await open_route(
            entry.peer,
            rule=lambda sender, name=entry.name: parts.delay_between(
                name, sender
            ),
        )
    for backend in layout.backends:
        parts.backend_routes[backend.name] = await open_route(backend.address)


async def _wait_platform(parts: Processes) -> None:
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            try:
                await parts.platform_request("GET", "/vms")
                return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await trio.sleep(READY_POLL_S)
