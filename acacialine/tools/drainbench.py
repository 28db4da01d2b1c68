"""Measures draining behind a load balancer that misroutes connections.

Ilyevsky, "Simulacra and Network Virtualization" (Mux, 2021), reports that a
provider's load balancer sent packets of established flows to another server
when the health of their server changed. The fake load balancer here resets a
share of the established connections of an entry once it reports unhealthy.
"""

import collections.abc
import functools
import random

import attrs
import httpcore
import trio

from acacialine.tools import faultproxy
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib
from acacialine.tools import ports as ports_lib

TOKEN = "baekdu-demo-token"
RESET_SHARE = 0.5
CLIENTS = 24
RUN_MS = 150
HEALTH_POLL_S = 0.1
DRAIN_AT_S = 1.5
RUN_S = 5.0


@attrs.define(eq=False)
class LoadBalancer:
    """Distributes connections over healthy entries in turn.

    When an entry becomes unhealthy, it resets a share of its connections.

    Attributes:
        healthy: Result of the last health check of each entry, by name.
        connections: Open connections of each entry: route and client stream.
        misrouted: Number of connections that were reset.
    """

    layout: layout_lib.Layout
    address: tuple[str, int]
    random: random.Random
    healthy: dict[str, bool] = attrs.field(factory=dict)
    connections: dict[str, set] = attrs.field(factory=dict)
    misrouted: int = 0
    _connection_count: int = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        for plan in self.layout.entries:
            self.healthy[plan.name] = True
            self.connections[plan.name] = set()
        async with trio.open_nursery() as nursery:
            for plan in self.layout.entries:
                nursery.start_soon(self._poll_health, plan)
            listeners = await trio.open_tcp_listeners(
                self.address[1], host=self.address[0]
            )
            await trio.serve_listeners(
                self._serve, listeners, task_status=task_status
            )

    async def _poll_health(self, plan: layout_lib.EntryPlan) -> None:
        url = f"http://{layout_lib.format_address(plan.caller)}/health"
        while True:
            healthy = False
            try:
                async with httpcore.AsyncConnectionPool(retries=0) as pool:
                    response = await pool.request("GET", url)
                    healthy = response.status == 200
            except (httpcore.NetworkError, httpcore.ProtocolError):
                healthy = False
            if self.healthy[plan.name] and not healthy:
                self._reset_connections(plan.name)
            self.healthy[plan.name] = healthy
            await trio.sleep(HEALTH_POLL_S)

    def _reset_connections(self, name: str) -> None:
        """Resets a random share of the connections of an entry."""
        for route, stream in list(self.connections[name]):
            if self.random.random() < RESET_SHARE:
                self.misrouted += 1
                route.open_connections.add(stream)
                route.reset_connections()

    async def _serve(self, client: trio.SocketStream) -> None:
        """Forwards one connection to the next healthy entry."""
        plans = [p for p in self.layout.entries if self.healthy[p.name]]
        if not plans:
            await client.aclose()
            return
        self._connection_count += 1
        plan = plans[self._connection_count % len(plans)]
        route = faultproxy.ProxyRoute(self.address, plan.caller)
        connection = (route, client)
        self.connections[plan.name].add(connection)
        try:
            await faultproxy.serve_connection(route, client)
        finally:
            self.connections[plan.name].discard(connection)


@attrs.frozen
class DrainResult:
    """Requests of clients while one entry was drained.

    Attributes:
        order: Whether the entry first reports unhealthy or first closes
            connections.
        sent: Requests sent.
        answered: Requests answered with 200.
        lost: Requests whose connection failed.
        misrouted: Connections that the load balancer reset.
    """

    order: str
    sent: int
    answered: int
    lost: int
    misrouted: int


async def _run_client(url: str, counts: dict, until: float) -> None:
    """Sends tasks one after another on one keep-alive connection."""
    headers = {"Authorization": f"Bearer {TOKEN}"}
    body = b'{"run_ms":%d}' % RUN_MS
    async with httpcore.AsyncConnectionPool(
        max_connections=1, retries=0
    ) as pool:
        while trio.current_time() < until:
            counts["sent"] += 1
            try:
                response = await pool.request(
                    "POST", url, headers=headers, content=body
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                counts["lost"] += 1
                continue
            counts["answered"] += response.status == 200


async def _run(order: str, close_first_s: float, seed: int) -> DrainResult:
    layout = layout_lib.new_layout(["a"], [3], [4])
    extra = {
        "stop": {"unhealthy_s": 1.0, "close_first_s": close_first_s},
        "log": {"decisions": "no"},
    }
    port = ports_lib.reserve(1)[0]
    counts = {"sent": 0, "answered": 0, "lost": 0}
    async with local_lib.running(layout, extra) as local:
        text = (local_lib.EXAMPLES_DIR / "baekdu.ini").read_text()
        local.publish("baekdu", text)
        await local.wait_ready()
        load_balancer = LoadBalancer(
            layout, ("127.0.0.1", port), random.Random(seed)
        )
        await local.nursery.start(load_balancer.run)
        url = f"http://127.0.0.1:{port}/v1/tasks/gate-check"
        until = trio.current_time() + RUN_S
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(_run_client, url, counts, until)
            await trio.sleep(DRAIN_AT_S)
            local.entries[layout.entries[0].name].stop()
        return DrainResult(order, **counts, misrouted=load_balancer.misrouted)


async def measure(
    seeds: collections.abc.Iterable[int],
) -> list[DrainResult]:
    """Runs both orders with each seed."""
    result = []
    for seed in seeds:
        for order, seconds in (("unhealthy first", 0.0), ("close first", 0.5)):
            run = functools.partial(_run, order, seconds, seed)
            result.append(await run())
    return result
