"""Runs an installation of real processes, for tests and benchmarks.

Entries reach backend servers and each other through proxies, and so do clients
that use the proxied addresses. The proxies run in the calling process if faults
are to be injected, else in processes of their own.
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
from acacialine.tools import ports as ports_lib
from acacialine.tools import proxyserver

READY_TIMEOUT_S = 40.0
READY_POLL_S = 0.1
STOP_TIMEOUT_S = 20.0


@attrs.define(eq=False)
class Installation:
    """The running processes and the proxy routes in front of them.

    Attributes:
        folder: Directory of settings, logs and journals.
        extra_settings: Settings of all entries, by section, that are added to
            those of the layout.
        zone_delay_s: Delay of each direction of peer links between zones.
        processes: Running processes by name.
        client_routes: Routes from clients to entries, by entry.
        peer_routes: Routes from entries to entries, by receiving entry.
        backend_routes: Routes from entries to backend servers, by server.
        partitions: Pairs of zones that cannot reach each other.
    """

    layout: layout_lib.Layout
    folder: pathlib.Path
    extra_settings: dict[str, dict[str, object]]
    zone_delay_s: float
    processes: dict[str, subprocess.Popen] = attrs.field(factory=dict)
    client_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    peer_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    backend_routes: dict[str, faultproxy.ProxyRoute] = attrs.field(factory=dict)
    partitions: set[frozenset[str]] = attrs.field(factory=set)
    generation: int = 0

    @property
    def platform_url(self) -> str:
        """Base URL of the fake platform."""
        return "http://" + layout_lib.format_address(self.layout.platform)

    def client_addresses(self) -> dict[str, tuple[str, int]]:
        """Returns the proxied client address of each entry, by name."""
        return {n: r.listen for n, r in self.client_routes.items()}

    def journals(self) -> list[pathlib.Path]:
        """Returns the paths of the journals of all backend servers."""
        return sorted(self.folder.glob("*.journal"))

    def pid(self, name: str) -> int:
        """Returns the process id of a running process."""
        return self.processes[name].pid

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a running process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str) -> int:
        """Stops a process with SIGTERM and returns its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        with trio.fail_after(STOP_TIMEOUT_S):
            while process.poll() is None:
                await trio.sleep(0.02)
        return process.returncode

    def _start(self, name: str, *arguments: str) -> None:
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "acacialine", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_proxies(self, client_delay_s: float) -> None:
        """Starts client and peer routes with delays in separate processes."""
        entries = self.layout.entries
        ports = iter(ports_lib.reserve(2 * len(entries)))
        client_specs, peer_specs = [], []
        zone_by_port = {}
        for plan in entries:
            client_address = ("127.0.0.1", next(ports))
            peer_address = ("127.0.0.1", next(ports))
            zone_by_port[peer_address[1]] = plan.zone
            self.client_routes[plan.name] = faultproxy.ProxyRoute(
                client_address, plan.caller
            )
            self.peer_routes[plan.name] = faultproxy.ProxyRoute(
                peer_address, plan.peer
            )
            client_specs.append(
                proxyserver.RouteSpec(
                    client_address, plan.caller, client_delay_s
                )
            )
            peer_specs.append(
                proxyserver.RouteSpec(
                    peer_address, plan.peer, self.zone_delay_s, plan.zone
                )
            )
        for name, routes in (("callers", client_specs), ("peers", peer_specs)):
            path = self.folder / f"proxy-{name}.json"
            spec = proxyserver.ProxySpec(routes, zone_by_port)
            path.write_bytes(msgspec.json.encode(spec))
            self._start(f"proxy-{name}", "standin", "proxy", str(path))

    def start_platform(self, retention_s: float = 86400.0) -> None:
        """Starts the fake platform with proxied addresses in its VM list."""
        vms_path = self.folder / "vms.json"
        vms_path.write_bytes(msgspec.json.encode(platforms.VmList(self.vms())))
        self._start(
            "platform",
            "standin",
            "platform",
            "--address",
            layout_lib.format_address(self.layout.platform),
            "--retention-s",
            str(retention_s),
            "--vms",
            str(vms_path),
        )

    def vms(self) -> list[platforms.Vm]:
        """Returns the VM list with the proxied addresses."""
        result = []
        for vm in layout_lib.new_vm_list(self.layout):
            routes = self.peer_routes
            if vm.role == "backend":
                routes = self.backend_routes
            if vm.vm_id in routes:
                address = layout_lib.format_address(routes[vm.vm_id].listen)
                vm = attrs.evolve(vm, address=address)
            result.append(vm)
        return result

    def start_backend(self, plan: layout_lib.BackendPlan) -> None:
        """Starts a backend server, which appends to its earlier journal."""
        self._start(
            plan.name,
            "standin",
            "backend",
            "--name",
            plan.name,
            "--address",
            layout_lib.format_address(plan.address),
            "--journal",
            str(self.folder / f"{plan.name}.journal"),
        )

    def start_entry(self, plan: layout_lib.EntryPlan, **overrides) -> None:
        """Starts an entry; `overrides` are keys of its [entry] section."""
        sections = {s: dict(v) for s, v in self.extra_settings.items()}
        advertised = layout_lib.format_address(
            self.peer_routes[plan.name].listen
        )
        entry_section = sections.setdefault("entry", {})
        entry_section["peer_advertise"] = advertised
        entry_section.update(overrides)
        path = self.folder / f"{plan.name}.ini"
        path.write_text(
            layout_lib.settings_text(plan, self.platform_url, sections)
        )
        self._start(plan.name, "entry", "-c", str(path))

    def entry_plan(self, name: str) -> layout_lib.EntryPlan:
        """Returns the layout's name, zone and addresses of an entry."""
        return next(e for e in self.layout.entries if e.name == name)

    def peer_link_delay_s(self, receiver: str, sender: str) -> float | None:
        """Returns the delay of a peer link in s; None if it is partitioned.

        Args:
            receiver: Name of the entry that accepts the connection.
            sender: Incarnation of the entry that opens the connection.
        """
        port = int(sender.rsplit("-", 2)[1])
        for name, route in self.peer_routes.items():
            if route.listen[1] == port:
                zones = {
                    self.entry_plan(name).zone,
                    self.entry_plan(receiver).zone,
                }
                if len(zones) == 1:
                    return 0.0
                is_partitioned = frozenset(zones) in self.partitions
                return None if is_partitioned else self.zone_delay_s
        return 0.0

    def partition_zones(self, one: str, other: str) -> None:
        """Partitions two zones and resets the open peer links of both."""
        self.partitions.add(frozenset((one, other)))
        for name, route in self.peer_routes.items():
            if self.entry_plan(name).zone in (one, other):
                route.reset_connections()

    def heal_partitions(self) -> None:
        """Ends all partitions and resets every open peer link."""
        self.partitions.clear()
        for route in self.peer_routes.values():
            route.reset_connections()

    async def status(self, plan: layout_lib.EntryPlan) -> admin.Status | None:
        """Returns the status of an entry; None if it doesn't answer in 1 s."""
        url = f"http://{layout_lib.format_address(plan.admin)}/admin/status"
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
        """Waits until every running entry sees all others and slots to grant.

        Raises:
            RuntimeError: The entries are not ready in time.
        """
        plans = [e for e in self.layout.entries if e.name in self.processes]
        with trio.move_on_after(READY_TIMEOUT_S):
            while not await self._is_ready(plans):
                await trio.sleep(READY_POLL_S)
            return
        raise RuntimeError(await self._describe_not_ready(plans))

    async def _describe_not_ready(self, plans) -> str:
        """Describes exited processes and the status of each entry."""
        lines = [
            f"{name} exited with {process.poll()}"
            for name, process in self.processes.items()
            if process.poll() is not None
        ]
        for plan in plans:
            status = await self.status(plan)
            if status is None:
                log_path = self.folder / f"{plan.name}.log"
                log_tail = log_path.read_text()[-500:]
                lines.append(f"{plan.name}: no answer; log: {log_tail}")
                continue
            entries = [(e.name, e.state, e.granting) for e in status.entries]
            lines.append(
                f"{plan.name}: config offset {status.config_offset},"
                f" entries (name, state, granting slots) {entries}"
            )
        return "\n".join(lines)

    async def _is_ready(self, plans) -> bool:
        """Returns whether entries see each other and may grant every slot."""
        slots = 0
        for plan in plans:
            status = await self.status(plan)
            if status is None or not status.config_offset:
                return False
            live = [e for e in status.entries if e.state == "live"]
            if len(live) != len(plans):
                return False
            slots += live[0].granting
        backends = [b for b in self.layout.backends if b.name in self.processes]
        return slots >= 8 * len(backends)

    async def platform_request(
        self, method: str, path: str, content: object = None
    ) -> bytes:
        """Sends a request to the fake platform and returns the response body.

        Args:
            method: HTTP method.
            path: Path of the URL.
            content: Object that is sent as JSON; None sends an empty body.
        """
        body = msgspec.json.encode(content) if content is not None else b""
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                method, self.platform_url + path, content=body
            )
        return response.content

    async def publish(self, team: str, text: str, base: int = 0) -> int:
        """Appends an unvalidated document to the log and returns its offset.

        Args:
            team: Name of the team.
            text: The document.
            base: Version that the change is based on; 0 for a new team.
        """
        change = configlog.Change(f"{team}-{base}", team, base, text, "test")
        record = configlog.encode_record(configlog.Record(change=change))
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                "POST",
                self.platform_url + "/log/config",
                content=record.encode(),
            )
        appended = msgspec.json.decode(
            response.content, type=platforms.AppendResponse
        )
        return appended.offset

    async def set_behaviour(self, backend: str, behaviour) -> None:
        """Sets the `Behaviour` of a fake backend server."""
        plan = next(b for b in self.layout.backends if b.name == backend)
        url = f"http://{layout_lib.format_address(plan.address)}/behaviour"
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            await pool.request(
                "POST", url, content=msgspec.json.encode(behaviour)
            )

    def kill_all(self) -> None:
        """Kills every running process, also suspended ones."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()


@contextlib.asynccontextmanager
async def running(
    layout: layout_lib.Layout,
    documents: dict[str, str],
    extra_settings: dict[str, dict[str, object]] | None = None,
    *,
    zone_delay_s: float = 0.0,
    client_delay_s: float = 0.0,
    retention_s: float = 86400.0,
    inject_faults: bool = True,
):
    """Runs an installation of processes and yields it once it is ready.

    Args:
        layout: Processes to run and their addresses.
        documents: Document of each team, by name.
        extra_settings: Further settings of all entries, by section.
        zone_delay_s: Delay of each direction of peer links between zones.
        client_delay_s: Delay of each direction between clients and entries.
        retention_s: Age at which the platform drops records of its logs.
        inject_faults: Whether the proxies run in this process, where they can
            inject faults; else they run in separate processes and only delay.
    """
    with tempfile.TemporaryDirectory(prefix="acacialine-") as folder:
        path = pathlib.Path(folder)
        installation = Installation(
            layout, path, extra_settings or {}, zone_delay_s
        )
        async with trio.open_nursery() as nursery:
            try:
                if inject_faults:
                    await _open_routes(nursery, installation, client_delay_s)
                else:
                    installation.start_proxies(client_delay_s)
                installation.start_platform(retention_s)
                for backend in layout.backends:
                    installation.start_backend(backend)
                await _wait_for_platform(installation)
                for team, text in documents.items():
                    await installation.publish(team, text)
                for entry in layout.entries:
                    installation.start_entry(entry)
                await installation.wait_ready()
                yield installation
            finally:
                installation.kill_all()
                nursery.cancel_scope.cancel()


async def _open_routes(
    nursery: trio.Nursery, installation: Installation, client_delay_s: float
) -> None:
    """Opens every route in this process, so that it can inject faults."""
    layout = installation.layout
    count = 2 * len(layout.entries) + len(layout.backends)
    ports = iter(ports_lib.reserve(count))

    async def open_route(target, **values) -> faultproxy.ProxyRoute:
        listen = ("127.0.0.1", next(ports))
        route = faultproxy.ProxyRoute(listen, target, **values)
        await nursery.start(faultproxy.serve, route)
        return route

    for entry in layout.entries:
        installation.client_routes[entry.name] = await open_route(
            entry.caller, delay_s=client_delay_s
        )
        installation.peer_routes[entry.name] = await open_route(
            entry.peer,
            delay_by_dialler=lambda sender, name=entry.name: (
                installation.peer_link_delay_s(name, sender)
            ),
        )
    for backend in layout.backends:
        installation.backend_routes[backend.name] = await open_route(
            backend.address
        )


async def _wait_for_platform(installation: Installation) -> None:
    """Waits until the fake platform answers requests."""
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            try:
                await installation.platform_request("GET", "/vms")
                return
            except (httpcore.NetworkError, httpcore.ProtocolError):
                await trio.sleep(READY_POLL_S)
