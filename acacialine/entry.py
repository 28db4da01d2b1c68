"""The entry daemon: executes the actions that the core returns.

One trio event loop runs the client API, the admin API, the peer listener,
the platform pollers and the core's ticks.
"""

import functools
import signal

import attrs
import hypercorn.trio
import trio

from acacialine import actions
from acacialine import admin
from acacialine import asgi
from acacialine import broker
from acacialine import clock
from acacialine import configreader
from acacialine import core as core_lib
from acacialine import errors
from acacialine import events
from acacialine import frontend as frontend_lib
from acacialine import handover as handover_lib
from acacialine import ids
from acacialine import keys
from acacialine import links
from acacialine import log
from acacialine import membership
from acacialine import messages
from acacialine import peercalls
from acacialine import platforms
from acacialine import runner as runner_lib
from acacialine import settings as settings_lib
from acacialine import statsdmetrics as statsdmetrics_lib
from acacialine import tables as tables_lib

DISCOVERY_INTERVAL_S = 0.5
HOUSEKEEPING_INTERVAL_S = 0.5
CLIENT_KEEP_ALIVE_S = 60.0
DRAIN_POLL_INTERVAL_S = 0.02
LOOP_BLOCKED_THRESHOLD_S = 0.05  # a longer tick is logged as LOOP_BLOCKED
MAX_SLEEP_S = 1.0  # longest wait between two ticks


@attrs.define(eq=False)
class Entry:
    """One running entry process: its core, servers and background tasks.

    Attributes:
        core: Makes all decisions; does no I/O.
        frontend: Serves client requests.
        config: Reads the team documents from the configuration log.
        runner: Runs start attempts.
        peer_calls: Sends request-reply calls to peers.
        handover: Transfers answers and tombstones at a graceful shutdown.
        entry_vms: Entry VMs in the platform's newest VM list.
        is_ready: Whether discovery has tried every known address once.
    """

    settings: settings_lib.Settings
    core: core_lib.Core
    logger: log.Logger
    platform: platforms.HttpPlatform
    identity: links.Identity
    metrics: statsdmetrics_lib.StatsdMetrics
    frontend: frontend_lib.Frontend = attrs.field(init=False)
    config: configreader.ConfigReader = attrs.field(init=False)
    runner: runner_lib.Runner = attrs.field(init=False)
    peer_calls: peercalls.PeerCalls = attrs.field(init=False)
    handover: handover_lib.Handover = attrs.field(init=False)
    entry_vms: list[platforms.Vm] = attrs.field(factory=list)
    is_ready: bool = False
    _control_links: dict[str, links.ControlLink] = attrs.field(factory=dict)
    _wake_event: trio.Event = attrs.field(factory=trio.Event)
    _stop_event: trio.Event = attrs.field(factory=trio.Event)
    _nursery: trio.Nursery = attrs.field(init=False)
    _refused_connection_counts: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.peer_calls = peercalls.PeerCalls(self.core, self.identity)
        self.frontend = frontend_lib.Frontend(
            self.core, self.wake, self.peer_calls.forward
        )
        self.config = configreader.ConfigReader(
            self.core, self.platform, self.settings.platform
        )
        self.runner = runner_lib.Runner(self.core, self.peer_calls, self.wake)
        self.handover = handover_lib.Handover(self.core, self.peer_calls)

    @property
    def tables(self) -> tables_lib.Tables:
        """The tables of this entry."""
        return self.core.tables

    def wake(self) -> None:
        """Makes the core tick without waiting for its next timer."""
        self._wake_event.set()

    def stop(self) -> None:
        """Begins the graceful shutdown; `run` returns when it is complete."""
        self._stop_event.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs the entry until its graceful shutdown is complete."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.runner.nursery = nursery
            await self._listen(nursery)
            nursery.start_soon(self._run_core)
            nursery.start_soon(self.config.run)
            nursery.start_soon(
                self.config.run_peer_updates, self.peer_calls.pool
            )
            nursery.start_soon(self.config.run_snapshots)
            nursery.start_soon(self._poll_vm_list)
            nursery.start_soon(self._discover_peers)
            nursery.start_soon(self._run_housekeeping)
            self._log(events.Event.ENTRY_STARTED, zone=self.tables.zone)
            task_status.started()
            await self._stop_event.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()
        await self.platform.aclose()
        self._log(events.Event.ENTRY_STOPPED)

    def _log(self, event: events.Event, **fields) -> None:
        self.logger.event(event, **fields)

    async def _listen(self, nursery: trio.Nursery) -> None:
        entry_settings = self.settings.entry
        host, port = entry_settings.peer_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(
            functools.partial(trio.serve_listeners, self._serve_peer, listeners)
        )
        app = frontend_lib.new_asgi_app(
            self.frontend, self.settings.submissions.max_body_bytes
        )
        await self._serve_http(nursery, app, entry_settings.caller_address)
        admin_app = admin.new_asgi_app(self)
        await self._serve_http(nursery, admin_app, entry_settings.admin_address)

    async def _serve_http(
        self, nursery: trio.Nursery, app, address: tuple[str, int]
    ) -> None:
        config = asgi.new_hypercorn_config(address, CLIENT_KEEP_ALIVE_S)
        if self.settings.tls.certificate:
            config.certfile = self.settings.tls.certificate
            config.keyfile = self.settings.tls.key
        await nursery.start(
            functools.partial(
                hypercorn.trio.serve,
                app,
                config,
                shutdown_trigger=trio.sleep_forever,
            )
        )

    async def _run_core(self) -> None:
        """Ticks the core on wake-ups and timers.

        Ticks with remaining work follow each other at once, with a
        checkpoint in between so that other tasks can run.
        """
        while True:
            self._wake_event = trio.Event()
            now = clock.now()
            for action in self.core.tick(now):
                self._execute(action)
            spent_s = clock.now() - now
            if spent_s > LOOP_BLOCKED_THRESHOLD_S:
                self._log(events.Event.LOOP_BLOCKED, seconds=spent_s)
            if self.core.has_unfinished_work(now):
                await trio.lowlevel.checkpoint()
                continue
            sleep_s = self.core.next_tick_due_at(now) - clock.now()
            with trio.move_on_after(min(max(sleep_s, 0), MAX_SLEEP_S)):
                await self._wake_event.wait()

    def _execute(self, action: actions.Action) -> None:
        match action:
            case actions.StartTask():
                self.runner.start(action)
            case actions.StopTask():
                self.runner.stop(action)
            case actions.FinishJob(job):
                self.frontend.finish_job(job)
            case actions.SendMessage(peer_id, message):
                self._send(peer_id, message)
            case actions.LogEvent(event, fields):
                self.logger.event(event, **fields)
                self.metrics.event(event)
            case actions.LogDecision(event, fields):
                self.logger.decision(event, **fields)

    def _send(self, peer_id: str, message: messages.Message) -> None:
        peer = self.tables.peers.get(peer_id)
        if peer is None:
            return
        link = self._control_links.get(peer_id)
        if link is None:
            link = links.ControlLink(
                self.identity,
                peer_id,
                peer.incarnation.address,
                self._on_connection_refused,
                self._count_control_bytes,
            )
            self._control_links[peer_id] = link
            self._nursery.start_soon(link.run)
        link.post(message)

    def _count_control_bytes(self, count: int) -> None:
        self.tables.counters["control_bytes"] += count

    def _on_connection_refused(self, peer_id: str) -> None:
        """Marks a peer as dead once its address refuses two connections.

        A peer heard of within the last heartbeat interval is kept.
        """
        peer = self.tables.peers.get(peer_id)
        count = self._refused_connection_counts.get(peer_id, 0) + 1
        if count == 1:
            self._log(events.Event.PEER_LINK_DOWN, peer=peer_id)
        self._refused_connection_counts[peer_id] = count
        if peer is None or peer.state == "left" or count < 2:
            return
        now = clock.now()
        heartbeat_s = self.settings.membership.heartbeat_ms / 1000
        if now - peer.last_known_at > heartbeat_s:
            membership.remove_dead_peer(self.tables, peer, "refused", now)
            self.wake()

    async def _serve_peer(self, stream: trio.SocketStream) -> None:
        await links.serve_link(
            stream, self.identity, self._handle_message, self._on_peer_rejected
        )

    def _on_peer_rejected(self, reason: str) -> None:
        self.tables.counters["peers_rejected"] += 1
        self._log(events.Event.PEER_REJECTED, reason=reason)

    async def _handle_message(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        match message:
            case messages.ConfigCall():
                return self.config.answer_config_call(message)
            case messages.ForwardCall():
                return await self.peer_calls.serve_forward(
                    message, self.frontend
                )
            case messages.RelayCall():
                return await self.runner.serve_relay(sender, message)
            case messages.StopCall():
                await self.runner.serve_stop(message)
                return messages.Acknowledged()
            case messages.HandoverCall():
                self.handover.receive(sender, message)
                self.wake()
                return messages.Acknowledged()
        self.core.receive(sender, message, clock.now())
        self.wake()
        return None

    async def _poll_vm_list(self) -> None:
        interval_s = self.settings.platform.vm_list_ms / 1000
        while True:
            try:
                vms = await self.platform.list_vms()
            except errors.PlatformError:
                await trio.sleep(interval_s)
                continue
            self.entry_vms = [v for v in vms.vms if v.role == "entry"]
            self.core.apply_vms(vms, clock.now())
            self.wake()
            jitter = 0.8 + 0.4 * self.tables.random.random()
            await trio.sleep(interval_s * jitter)

    async def _discover_peers(self) -> None:
        """Connects to entries that are not yet in the peer table."""
        while True:
            for address in self._unknown_addresses():
                try:
                    await self._introduce(address)
                except errors.PeerError:
                    continue
                except trio.BrokenResourceError:
                    continue
            self.is_ready = True
            await trio.sleep(
                DISCOVERY_INTERVAL_S * (0.5 + self.tables.random.random())
            )

    def _unknown_addresses(self) -> list[tuple[str, int]]:
        """Returns the addresses of entries that are not in the peer table.

        Of each remote zone, at most `zone_fanout` listed VMs are considered.
        """
        known_addresses = {
            p.incarnation.address for p in self.tables.peers.values()
        }
        known_addresses.add(self.tables.incarnation.address)
        candidates = list(self.settings.entry.peers)
        per_zone: dict[str, int] = {}
        for vm in self.entry_vms:
            host, _, port = vm.address.rpartition(":")
            count = per_zone.get(vm.zone, 0)
            is_local = vm.zone == self.tables.zone
            if is_local or count < self.settings.membership.zone_fanout:
                per_zone[vm.zone] = count + 1
                candidates.append((host, int(port)))
        return [
            a for a in dict.fromkeys(candidates) if a not in known_addresses
        ]

    async def _introduce(self, address: tuple[str, int]) -> None:
        """Sends a heartbeat to the entry at an address.

        The id of that entry is known only once the connection is open.
        """
        pool = links.CallPool(self.identity, "", address)
        peer_id = await pool.send_to_address(
            functools.partial(self._introduction_heartbeat, address)
        )
        if peer_id == self.tables.my_id:
            return
        self.tables.counters["introductions"] += 1

    def _introduction_heartbeat(
        self, address: tuple[str, int], peer_id: str
    ) -> messages.Heartbeat:
        new_peer = tables_lib.Peer(ids.parse_incarnation(peer_id), "", "")
        return membership.build_heartbeat(self.tables, new_peer, clock.now())

    async def _run_housekeeping(self) -> None:
        """Closes idle connections and links of departed peers; reports metrics.

        Runs every `HOUSEKEEPING_INTERVAL_S`.
        """
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self.runner.close_idle()
            for peer_id in list(self._control_links):
                peer = self.tables.peers.get(peer_id)
                if peer is None or peer.state == "left":
                    self._control_links.pop(peer_id).close()
                    await self.peer_calls.drop(peer_id)
                    self._refused_connection_counts.pop(peer_id, None)
            self.metrics.report(self.tables, broker.count_slots, clock.now())

    async def _shut_down(self) -> None:
        """Drains this entry, hands its answers over and notifies the peers.

        Connections close first, then health checks fail, then new jobs are
        refused while those in flight may still finish.
        """
        tables = self.tables
        stop_settings = self.settings.stop
        tables.closing_connections = True
        await trio.sleep(stop_settings.close_first_s)
        tables.draining = True
        tables.successor = membership.choose_successor(tables)
        membership.assign_backends(tables, clock.now())
        tables.next_heartbeat_at = tables.next_zone_heartbeat_at = 0.0
        self.wake()
        self._log(
            events.Event.ENTRY_DRAINING, successor=tables.successor or "none"
        )
        await trio.sleep(stop_settings.unhealthy_s)
        tables.refusing_jobs = True
        with trio.move_on_after(stop_settings.finish_s):
            while self.frontend.in_flight or self.runner.is_busy:
                await trio.sleep(DRAIN_POLL_INTERVAL_S)
        successor = await self.handover.send()
        leaving = messages.LeavingMessage(tables.my_id, successor)
        for peer in membership.live_peers(tables):
            self._send(peer.id, leaving)
        await trio.sleep(HOUSEKEEPING_INTERVAL_S / 2)


def new_entry(settings: settings_lib.Settings) -> Entry:
    """Creates an entry from its settings; `Entry.run` starts it."""
    log_settings = settings.log
    incarnation = ids.new_incarnation(*settings.entry.advertised_address)
    identity = links.Identity(
        incarnation,
        settings.entry.peer_keys,
        keys.peer_server_context(settings.tls),
        keys.peer_client_context(settings.tls),
    )
    tables = tables_lib.new_tables(incarnation, settings, clock.now())
    return Entry(
        settings,
        core_lib.new_core(tables),
        log.Logger(settings.entry.name, log_settings.decisions),
        platforms.new_http_platform(
            settings.platform.url, settings.platform.timeout_ms
        ),
        identity,
        statsdmetrics_lib.new_metrics(log_settings),
    )


async def run_until_signal(entry: Entry) -> None:
    """Runs an entry; SIGTERM or SIGINT begins its graceful shutdown."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_stop_on_signal, signals, entry)
            await entry.run()
            nursery.cancel_scope.cancel()


async def _stop_on_signal(signals, entry: Entry) -> None:
    async for _ in signals:
        entry.stop()
