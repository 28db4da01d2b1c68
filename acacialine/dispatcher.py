"""The dispatcher daemon: executes what intake, placer and ownership decide.

One trio event loop serves clients, peers, backend servers and the store. Each
entry VM runs one dispatcher. One dispatcher of each availability zone is its
placer, which assigns all tasks of the zone to backend servers.
"""

import math
import random
import resource
import time
import traceback

import attrs
import trio

from acacialine import accepting
from acacialine import cancellations
from acacialine import clientlimits
from acacialine import clock
from acacialine import dispatchsettings
from acacialine import errors
from acacialine import evacuationrelay
from acacialine import eventlog
from acacialine import events
from acacialine import fatesharing
from acacialine import httpserver
from acacialine import ids
from acacialine import intake as intake_lib
from acacialine import jobsharing
from acacialine import leases
from acacialine import linkmanager as linkmanager_lib
from acacialine import links
from acacialine import messages
from acacialine import ownership as ownership_lib
from acacialine import peering
from acacialine import placer as placer_lib
from acacialine import placerhost
from acacialine import prometheusmetrics as prometheusmetrics_lib
from acacialine import routes
from acacialine import storereader
from acacialine import summaryexchange
from acacialine import zonehandover as zonehandover_lib
from acacialine.platform import ingress

BUSY_TICK_INTERVAL_S = 0.02  # while requests or runs are open
IDLE_TICK_INTERVAL_S = 0.1
# A change of the peers is looked at with the next tick, and what depends on the
# time at this interval.
PEERS_CHECK_INTERVAL_S = 0.02
# Ticks may take this share of the time; above it they pause, so that what
# arrives meanwhile is handled together.
MAX_TICK_SHARE = 0.25
TICK_BURST_S = 0.02  # of tick time that is spent without a pause
# A longer gap between ticks means that the process was suspended.
PROCESS_PAUSE_S = 0.4
# After a longer gap it is read which clients left meanwhile before any job is
# handed over: placers take a job as proof that its client waits.
LATE_TICK_S = IDLE_TICK_INTERVAL_S + peering.LATE_HEARTBEAT_S
HOUSEKEEPING_INTERVAL_S = 0.5
LAG_SMOOTHING = 0.4  # weight of the newest sample in the average lag
# A dispatcher whose event loop lags more than this on average is no candidate
# for placer. An idle event loop lags less than 2 ms.
MAX_AVERAGE_LAG_S = 0.05
# How long a dispatcher is no candidate for placer after excessive lag.
LAG_HOLDOFF_S = 5.0
# The load balancer removes a dispatcher after two failed checks 1 s apart.
UNREADY_WAIT_S = 2.2
# Where neither the settings nor the process have a limit of descriptors.
DEFAULT_MAX_FDS = 8192
# Time between two log lines on what the clients of an address were refused.
CLIENTS_LIMITED_INTERVAL_S = 5.0
# Time between two log lines on strangers at the address between dispatchers.
# The lines have the reserved share of the log budget.
PEER_REJECTED_INTERVAL_S = 0.5
MAX_REASON_CHARS = 200  # in the log; a peer may have written them
# Shortest time of refusing requests before the exit. The platform does not
# count a request as lost if it is cut off within 0.2 s of being sent.
MIN_REFUSING_S = 0.25
# The wait for open requests ends this long before the end of the grace period,
# when the process is killed.
KILL_MARGIN_S = 0.7
# Time before the exit in which the last answers and orders are sent.
FAREWELL_S = 0.1


@attrs.define(eq=False)
class Dispatcher:
    """One running dispatcher.

    Attributes:
        started: Start of the process, in s since 1970.
        is_stopping: Whether a graceful shutdown has begun.
        is_refusing: Whether new requests are refused as not run, because the
            process may exit before they end.
        intake: Open requests of clients.
        placer_host: Runs the placer while this dispatcher owns its zone, else
            None.
        store_reader: Follows the store.
        link_manager: Maintains the links to other dispatchers.
        job_sharing: Tells other dispatchers of jobs and of lost runs.
        zone_handover: Passes state of the placer to the candidates.
        evacuation_relay: The evacuated zones, and their relay to peers.
        fate_sharing: Tells other dispatchers how jobs ended, and learns it.
        summary_exchange: Exchanges summaries with other zones.
        inputs_read_until: Time of a tick since which all sockets were read.
            What is read now was sent after it, however long this process was
            paused in between.
    """

    settings: dispatchsettings.Settings
    logger: eventlog.EventLog
    identity: links.Identity
    started: float
    is_stopping: bool = False
    is_refusing: bool = False
    inputs_read_until: float = 0.0
    intake: intake_lib.Intake = attrs.field(init=False)
    ownership: ownership_lib.Ownership = attrs.field(init=False)
    hub: peering.Hub = attrs.field(init=False)
    placer_host: placerhost.PlacerHost | None = None
    store_reader: storereader.StoreReader = attrs.field(init=False)
    link_manager: linkmanager_lib.LinkManager = attrs.field(init=False)
    meters: prometheusmetrics_lib.PrometheusMetrics = attrs.field(
        factory=prometheusmetrics_lib.PrometheusMetrics
    )
    job_sharing: jobsharing.JobSharing = attrs.field(init=False)
    zone_handover: zonehandover_lib.ZoneHandover = attrs.field(init=False)
    evacuation_relay: evacuationrelay.EvacuationRelay = attrs.field(init=False)
    fate_sharing: fatesharing.FateSharing = attrs.field(init=False)
    summary_exchange: summaryexchange.SummaryExchange = attrs.field(init=False)
    _nursery: trio.Nursery = attrs.field(init=False)
    _wake_event: trio.Event = attrs.field(factory=trio.Event)
    _stop_requested: trio.Event = attrs.field(factory=trio.Event)
    _random: random.Random = attrs.field(factory=random.Random)
    budgets: clientlimits.Budgets = attrs.field(init=False)
    _http_servers: list[httpserver.Server] = attrs.field(factory=list)
    # When the refusals at an address were logged, and their counts then.
    _limits_logged: dict[str, tuple[float, dict[str, int]]] = attrs.field(
        factory=dict
    )
    _rejected_peer_lines: clientlimits.LineLimit = attrs.field(
        factory=lambda: clientlimits.LineLimit(PEER_REJECTED_INTERVAL_S)
    )
    _last_tick_at: float = 0.0
    _is_intake_late: bool = False
    _intake_waits_until: float = 0.0
    _tick_budget_s: float = TICK_BURST_S
    _tick_budget_at: float = 0.0
    _peers_checked_at: float = -math.inf
    _average_lag_s: float = 0.0
    _lagging_until: float = 0.0

    def __attrs_post_init__(self):
        now = clock.now()
        zone = self.settings.dispatcher.zone
        self.fate_sharing = fatesharing.FateSharing(self)
        self.intake = intake_lib.Intake(
            zone,
            lease_times=leases.LeaseTimes(
                self.settings.placement.lease_ms / 1000
            ),
            fates=self.fate_sharing.fates,
        )
        self.ownership = ownership_lib.Ownership(
            self.my_id,
            self.started,
            now,
            my_weight=self.settings.dispatcher.weight,
        )
        self.budgets = clientlimits.new_budgets(
            self.settings.dispatcher.memory_mb, self._max_fds()
        )
        self.hub = peering.Hub(
            self.identity,
            self._build_zone_state,
            self._on_message,
            self._on_request,
            self._on_suspicion_changed,
            self._on_session_closed,
            self._on_link_opened,
            self._on_link_closed,
            self._on_link_change,
            self._on_peer_rejected,
            self.log_unexpected,
            strangers=self.budgets.peers,
        )
        self.job_sharing = jobsharing.JobSharing(self)
        self.evacuation_relay = evacuationrelay.EvacuationRelay(self)
        self.store_reader = storereader.StoreReader(self)
        self.link_manager = linkmanager_lib.LinkManager(self)
        self.zone_handover = zonehandover_lib.ZoneHandover(self)
        self.summary_exchange = summaryexchange.SummaryExchange(self)

    @property
    def my_id(self) -> str:
        """The incarnation of this process, as text."""
        return str(self.identity.incarnation)

    @property
    def zone(self) -> str:
        """The availability zone of this dispatcher."""
        return self.settings.dispatcher.zone

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force; None until one has been read."""
        return self.store_reader.configuration

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new client connections."""
        if self.is_stopping or self.configuration is None:
            return False
        return bool(self.intake.placers)

    def now(self) -> float:
        """The current time on the monotonic clock, in s."""
        return clock.now()

    def wake(self) -> None:
        """Schedules a tick without waiting for the end of the interval."""
        self._wake_event.set()

    def log(self, event: events.Event, **fields) -> None:
        """Logs and counts one event."""
        self.logger.event(event, **fields)
        self.meters.count_event(event)

    def record_answer(
        self,
        submission: placer_lib.Submission,
        status: int,
        answer: intake_lib.Answer,
        took_s: float,
    ) -> None:
        """Logs and counts an answer to a client."""
        queue = submission.queue.name
        self.meters.answers.labels(queue, status).inc()
        self.meters.answer_seconds.labels(queue).observe(took_s)
        event = events.Event.REQUEST_ANSWERED
        if answer.kind != intake_lib.AnswerKind.COMPLETED:
            event = events.Event.REQUEST_FAILED
        if answer.kind == intake_lib.AnswerKind.NOT_RUN:
            self.meters.refusals.labels(answer.reason).inc()
        self.log(
            event,
            job=submission.job_id,
            status=status,
            outcome=answer.kind.value,
            reason=answer.reason,
            took_ms=round(took_s * 1000),
        )

    def count_pending_jobs(self, queue: str) -> int:
        """Returns how many open jobs of a queue are not known to have started.

        The placer counts all jobs of its zone; other dispatchers count their
        own requests that no placer has.
        """
        if self.placer_host is not None:
            return self.placer_host.count_pending_jobs(queue)
        return sum(
            1
            for r in self.intake.requests.values()
            if r.submission.queue.name == queue and r.placer is None
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serves until `stop` is called, then shuts down gracefully."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._listen(nursery)
            self.ownership.started_at = clock.now()
            nursery.start_soon(self._run_ticks)
            nursery.start_soon(self.link_manager.run, nursery)
            nursery.start_soon(self.hub.run_silence_checks)
            nursery.start_soon(self._run_housekeeping)
            self.store_reader.start(nursery)
            self.log(events.Event.DISPATCHER_STARTED, zone=self.zone)
            task_status.started()
            await self._stop_requested.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()
        self.log(events.Event.DISPATCHER_STOPPED)

    async def _listen(self, nursery: trio.Nursery) -> None:
        settings = self.settings.dispatcher
        host, port = settings.peer_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        budgets = self.budgets
        nursery.start_soon(
            accepting.serve_listeners,
            self.hub.serve_stranger,
            listeners,
            budgets.peers,
        )
        clients = ingress.Ingress(self)
        for handler, max_body_bytes, address, budget in (
            (
                clients.handle,
                clients.max_body_bytes,
                settings.caller_address,
                budgets.clients,
            ),
            (
                ingress.Readiness(self).handle,
                int,
                settings.ready_address,
                budgets.ready,
            ),
            (
                self.meters.handle,
                int,
                settings.metrics_address,
                budgets.metrics,
            ),
        ):
            server = httpserver.Server(
                handler,
                max_body_bytes,
                self._log_handler_error,
                nursery,
                budget,
                clients.request_limits,
            )
            self._http_servers.append(server)
            host, port = address
            listeners = await trio.open_tcp_listeners(port, host=host)
            nursery.start_soon(server.serve, listeners)

    def _max_fds(self) -> float:
        """Returns how many descriptors this process may open."""
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if limit == resource.RLIM_INFINITY:
            limit = DEFAULT_MAX_FDS
        return min(limit, self.settings.dispatcher.max_fds or limit)

    def _log_handler_error(self, error: Exception) -> None:
        self.log_unexpected("request", error)

    def log_unexpected(self, operation: str, error: BaseException) -> None:
        """Logs an error that ends one operation but not the process."""
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        frames = traceback.extract_tb(error.__traceback__)
        place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
        self.log(
            events.Event.UNEXPECTED_ERROR,
            operation=operation,
            error=repr(error),
            place=place,
        )

    # Event loop

    async def _run_ticks(self) -> None:
        while True:
            self._wake_event = trio.Event()
            started_at = clock.now()
            self._tick(started_at)
            self.logger.sink.flush()
            pause_s = self._tick_pause_s(started_at, clock.now())
            if pause_s:
                await trio.sleep(pause_s)
            busy = self.intake.is_busy or (
                self.placer_host and self.placer_host.is_busy
            )
            wait_s = BUSY_TICK_INTERVAL_S if busy else IDLE_TICK_INTERVAL_S
            if self.placer_host is not None:
                limit_s = self.placer_host.next_limit_at() - clock.now()
                wait_s = max(0.0, min(wait_s, limit_s))
            with trio.move_on_after(wait_s):
                await self._wake_event.wait()

    def _tick_pause_s(self, started_at: float, ended_at: float) -> float:
        """Returns the pause after a tick that keeps to MAX_TICK_SHARE."""
        elapsed_s = started_at - self._tick_budget_at
        self._tick_budget_at = started_at
        self._tick_budget_s = min(
            TICK_BURST_S, self._tick_budget_s + elapsed_s * MAX_TICK_SHARE
        ) - (ended_at - started_at)
        if self._tick_budget_s >= 0:
            return 0.0
        return min(-self._tick_budget_s / MAX_TICK_SHARE, BUSY_TICK_INTERVAL_S)

    def _tick(self, now: float) -> None:
        gap_s = now - self._last_tick_at
        self.inputs_read_until = self._last_tick_at
        if self._last_tick_at and gap_s > PROCESS_PAUSE_S:
            self.log(events.Event.LOOP_PAUSED, seconds=gap_s)
            self.ownership.handle_process_pause(now)
            if self.placer_host is not None:
                self.placer_host.resume_after_pause(gap_s)
        if (
            self._last_tick_at
            and gap_s > LATE_TICK_S
            and not self._is_intake_late
        ):
            self._is_intake_late = True
            self._intake_waits_until = now + peering.LATE_HEARTBEAT_WAIT_S
        self._last_tick_at = now
        if self.placer_host is not None and self.placer_host.is_fenced:
            self.log(events.Event.ZONE_FENCED, epoch=self.ownership.epoch)
            self.ownership.step_down_fenced(now)
            self._give_up_ownership("fenced")
        if now >= self._peers_checked_at + PEERS_CHECK_INTERVAL_S:
            self._peers_checked_at = now
            self._update_ownership(now)
            self.intake.zones = self.store_reader.directory.zones.union(
                self.settings.dispatcher.zones
            )
            placers = self._reachable_placers(now)
            self.fate_sharing.update_placers(placers)
            self.intake.update_placers(placers, now)
        self.summary_exchange.tick(now)
        if now >= self._intake_waits_until:
            self._is_intake_late = False
            self.intake.tick(now)
        for order in self.intake.take_orders():
            self._execute(order)
        if self.placer_host is not None:
            self.placer_host.placer.admission.free_slots_elsewhere = max(
                (
                    placer.free_tasks
                    for zone, placer in self.intake.placers.items()
                    if zone != self.zone
                    and zone not in self.evacuation_relay.state.zones
                ),
                default=0,
            )
            self.placer_host.tick(now)
            self.fate_sharing.tick(now)

    def _wake_for_peers(self) -> None:
        """Schedules a tick that also looks at the peers."""
        self._peers_checked_at = -math.inf
        self.wake()

    def _update_ownership(self, now: float) -> None:
        """Starts or closes the placer as the ownership of the zone changes."""
        for link in self.hub.dialled_links.values():
            member = self.ownership.members.get(link.peer_id)
            if member is not None and link.is_refused:
                member.refuses_connections = True
        if self.ownership.awaits_connectivity_proof:
            self.store_reader.request_record_write()
        self.ownership.server_count = self.store_reader.server_count
        self.ownership.awaits_members = self.link_manager.awaits_peers(now)
        random_bits = self._random.getrandbits(ownership_lib.EPOCH_RANDOM_BITS)
        match self.ownership.decide(now, time.time(), random_bits):
            case ownership_lib.Role.PLACER:
                self._take_ownership(now)
            case ownership_lib.Role.FOLLOWER:
                self._give_up_ownership("superseded")

    def _take_ownership(self, now: float) -> None:
        """Starts the placer of the zone in this process."""
        epoch = self.ownership.epoch
        self.log(events.Event.ZONE_OWNED, epoch=epoch, zone=self.zone)
        self.placer_host = placerhost.new_placer_host(
            self, epoch, self._nursery, now
        )
        if self.zone in self.evacuation_relay.state.zones:
            self.evacuation_relay.apply_to_placer()
        self.placer_host.apply_servers(now)
        self.zone_handover.begin_ownership(self.placer_host, now)
        self.fate_sharing.share_known_jobs()
        self.store_reader.request_servers()
        self.store_reader.request_record_write()
        self.hub.announce()

    def _give_up_ownership(self, reason: str) -> None:
        """Closes the placer if it runs in this process."""
        if self.placer_host is None:
            return
        self.log(events.Event.ZONE_RESIGNED, reason=reason)
        if self.placer_host.knows_jobs():
            self.zone_handover.predecessors.record_told(
                self.placer_host.epoch, clock.now()
            )
        self.placer_host.close()
        self.placer_host = None
        self.fate_sharing.handle_resignation(clock.now())
        self.store_reader.request_record_write()
        self.hub.announce()

    def _reachable_placers(
        self, now: float
    ) -> dict[str, intake_lib.PlacerInfo]:
        """Returns the placer of each zone that has a reachable one."""
        placers: dict[str, intake_lib.PlacerInfo] = {}
        if self.placer_host is not None:
            placers[self.zone] = intake_lib.PlacerInfo(
                self.my_id, self.zone, self.ownership.epoch, 0, now
            )
        for link in self.hub.dialled_links.values():
            state = link.heartbeat
            if state is None or not state.claim:
                continue
            known = placers.get(state.zone)
            if known is None or known.epoch < state.claim:
                placers[state.zone] = intake_lib.PlacerInfo(
                    state.sender,
                    state.zone,
                    state.claim,
                    state.free_tasks,
                    link.heartbeat_at,
                )
        return placers

    def _execute(self, order) -> None:
        """Executes one order of the intake."""
        match order:
            case intake_lib.HandOverJob(placer, submission):
                if (
                    placer.peer_id == self.my_id
                    and self.placer_host is not None
                ):
                    self.placer_host.submit(submission, self, self.zone)
                    return
                link = self.hub.find_open_link(placer.peer_id)
                if link is not None:
                    link.post(placerhost.encode_submission(submission))
            case intake_lib.CancelJob(peer_id, job_id, reason):
                if peer_id == self.my_id and self.placer_host is not None:
                    self.placer_host.cancel(job_id, self, reason)
                    return
                link = self.hub.find_open_link(peer_id)
                if link is not None:
                    link.post(messages.CancelJob(job_id, reason))
            case cancellations.AskToCancel(peer_id, job_id):
                if peer_id == self.my_id and self.placer_host is not None:
                    was_open = self.placer_host.cancel_for_all(job_id)
                    self.intake.cancellations.receive_reply(
                        peer_id, job_id, was_open, clock.now()
                    )
                    return
                link = self.hub.find_open_link(peer_id)
                if link is not None:
                    link.post(messages.CancelCall(job_id))
            case intake_lib.KeepJob(peer_id, job_id, is_confirmed):
                if peer_id == self.my_id and self.placer_host is not None:
                    self._keep_job(job_id, self, is_confirmed)
                    return
                link = self.hub.find_open_link(peer_id)
                if link is not None:
                    link.post(messages.KeepJob(job_id, is_confirmed))
            case intake_lib.AnnounceKeptJob(peer_id, job_id, zone):
                message = messages.JobKept(job_id, zone, False)
                if peer_id == self.my_id and self.placer_host is not None:
                    self.job_sharing.receive_kept_job(message)
                    self.intake.confirm_kept_job(peer_id, job_id)
                    self.wake()
                    return
                link = self.hub.find_open_link(peer_id)
                if link is not None:
                    link.post(message)
            case intake_lib.LogEvent(event, fields):
                self.log(event, **fields)
            case intake_lib.CountMove(zone, reason, age_s):
                self.meters.moved_jobs.labels(zone, reason).inc()
                if age_s is not None:
                    self.meters.summary_age_seconds.observe(age_s)

    def post(self, message: messages.JobVerdict) -> None:
        """Receives a verdict of the placer in this process.

        The dispatcher acts as the origin of the jobs that it submits to its
        own placer.
        """
        self._receive_verdict(self.my_id, message)

    def _keep_job(self, job_id: str, origin, is_confirmed: bool) -> None:
        """Keeps a job running at the placer in this process."""
        self.placer_host.keep_job(job_id, origin, is_confirmed)
        self.job_sharing.share_job(job_id)

    # Peers

    def _build_zone_state(self) -> messages.ZoneState:
        """Returns a heartbeat of this dispatcher."""
        free_tasks = (
            self.placer_host.free_slots() if self.placer_host is not None else 0
        )
        config = self.configuration
        placer_id = self.ownership.placer(clock.now()) or ""
        return messages.ZoneState(
            self.my_id,
            self.settings.dispatcher.name,
            self.zone,
            self.started,
            self.ownership.epoch,
            self.ownership.is_candidate,
            config.version if config else 0,
            free_tasks,
            placer_id,
            self.ownership.epoch_of(placer_id),
            self.settings.dispatcher.weight,
            self.store_reader.server_count,
            self.store_reader.list_offset,
            self.placer_host is not None and self.placer_host.knows_jobs(),
        )

    def _receive_zone_state(self, state: messages.ZoneState) -> None:
        """Records the sender of a heartbeat and the placer that it names.

        Peers are thus found even when the store is unavailable.
        """
        self.link_manager.add_peer(state.sender, state.zone)
        if state.placer_id:
            self.link_manager.add_peer(state.placer_id, state.zone)
        if state.zone != self.zone:
            self.ownership.last_contact_at = clock.now()
            return
        if state.sender == self.my_id:
            return
        if state.placer_id not in ("", self.my_id, state.sender):
            self.ownership.record_relayed_claim(
                state.placer_id, state.placer_claim, clock.now()
            )
        self.ownership.record_heartbeat(
            state.sender,
            state.started,
            state.claim,
            state.is_candidate,
            clock.now(),
            state.weight,
            state.server_count,
        )
        self.zone_handover.record_heartbeat(state, clock.now())

    def _on_message(
        self,
        link: peering.PeerLink,
        message: messages.Message,
        is_repeated: bool,
    ) -> None:
        """Handles a message on a link that this dispatcher opened."""
        match message:
            case messages.ZoneState():
                self._receive_zone_state(message)
                version = (
                    self.configuration.version if self.configuration else 0
                )
                if message.config_version > version:
                    link.post(messages.RoutesCall(version))
                if not is_repeated:
                    self._wake_for_peers()
            case messages.JobVerdict():
                self._receive_verdict(link.peer_id, message)
            case messages.KeptConfirmed(job_id):
                self.intake.confirm_kept_job(link.peer_id, job_id)
                self.wake()
            case messages.OpenJobsConfirmed():
                self.fate_sharing.receive_confirmation(link.peer_id, message)
            case messages.CancelReply(job_id, was_open):
                self.intake.cancellations.receive_reply(
                    link.peer_id, job_id, was_open, clock.now()
                )
            case messages.RoutesReply():
                self.store_reader.apply_from_peer(message, link.peer_id)
            case messages.EvacuationState():
                self.evacuation_relay.receive(message, link.post)
            case messages.ZoneSummary():
                self.summary_exchange.receive(message)

    def _receive_verdict(
        self, peer_id: str, message: messages.JobVerdict
    ) -> None:
        self.intake.receive_verdict(
            peer_id,
            message.job_id,
            message.verdict,
            message.reason,
            message.retry_after_s,
            clock.now(),
        )
        self.wake()

    def _on_request(
        self,
        session: peering.AcceptedLink,
        message: messages.Message,
        is_repeated: bool,
    ) -> None:
        """Handles a message on a link that a peer opened."""
        match message:
            case messages.ZoneState():
                if self.placer_host is not None:
                    self.placer_host.record_heard(
                        session.outbox, session.sent_at
                    )
                session.zone = message.zone
                self._receive_zone_state(message)
                self.zone_handover.record_told(session, message)
                if (
                    self.evacuation_relay.state.zones
                    and not session.knows_evacuations
                ):
                    session.knows_evacuations = True
                    session.outbox.post(self.evacuation_relay.build_state())
                if not is_repeated:
                    self._wake_for_peers()
                return
            case messages.EvacuationState():
                self.evacuation_relay.receive(message, session.outbox.post)
            case messages.ZoneSummary():
                self.summary_exchange.receive(message)
                return
            case messages.SubmitJob() if self.placer_host is not None:
                submission = placerhost.decode_submission(message)
                self.placer_host.submit(
                    submission, session.outbox, session.zone, session.sent_at
                )
            case messages.SubmitJob():
                session.outbox.post(
                    messages.JobVerdict(message.job_id, "moved", "", 0.0)
                )
            case messages.CancelJob(job_id, reason):
                if self.placer_host is not None:
                    self.placer_host.cancel(job_id, session.outbox, reason)
            case messages.KeepJob(job_id, is_confirmed):
                if self.placer_host is not None:
                    self._keep_job(job_id, session.outbox, is_confirmed)
            case messages.JobKept(job_id):
                self.job_sharing.receive_kept_job(message)
                if self.placer_host is not None and not message.is_relayed:
                    session.outbox.post(messages.KeptConfirmed(job_id))
            case messages.TaskLost():
                self.job_sharing.receive_losses(message)
            case messages.LearnedState():
                self.zone_handover.receive_report(message)
                return
            case messages.ServerList():
                self.zone_handover.receive_list(message)
            case messages.EndedJobs():
                if self.fate_sharing.receive(message):
                    session.outbox.post(
                        messages.OpenJobsConfirmed(message.number)
                    )
            case messages.CancelCall(job_id):
                was_open = self.fate_sharing.receive_cancel_call(job_id)
                session.outbox.post(messages.CancelReply(job_id, was_open))
            case messages.RoutesCall(version):
                config = self.configuration
                if config is not None and config.version > version:
                    session.outbox.post(
                        messages.RoutesReply(config.version, config.document)
                    )
        self.wake()

    def _on_suspicion_changed(self, session: peering.AcceptedLink) -> None:
        if self.placer_host is not None:
            self.placer_host.set_suspect(session.outbox, session.is_suspect)
            self.wake()

    def _on_session_closed(self, session: peering.AcceptedLink) -> None:
        if self.placer_host is not None:
            self.placer_host.remove_origin(session.outbox, session.is_silent)
        self.wake()

    def _on_link_opened(self, link: peering.PeerLink) -> None:
        for member_id in list(self.ownership.members):
            member_address = ids.parse_incarnation(member_id).address
            if member_address == link.address and member_id != link.peer_id:
                # A new process has this address, so the old one has exited.
                self.ownership.forget(member_id)
        self.fate_sharing.handle_new_link(link)
        self.log(
            events.Event.PEER_CONNECTED,
            peer=link.heartbeat.name,
            zone=link.zone,
        )
        if self.evacuation_relay.state.zones:
            link.post(self.evacuation_relay.build_state())
        self.link_manager.request_update()
        self._wake_for_peers()

    def _on_link_closed(self, link: peering.PeerLink, reason: str) -> None:
        self.log(
            events.Event.PEER_DISCONNECTED, peer=link.peer_id, reason=reason
        )
        self.link_manager.request_update()
        self._wake_for_peers()

    def _on_link_change(self, link: peering.PeerLink) -> None:
        self.link_manager.request_update()
        self._wake_for_peers()

    def _on_peer_rejected(self, reason: str) -> None:
        limit = self._rejected_peer_lines
        if not limit.allows(clock.now()):
            self.meters.count_event(events.Event.PEER_REJECTED)
            return
        self.log(
            events.Event.PEER_REJECTED,
            reason=reason[:MAX_REASON_CHARS],
            unlogged=limit.unlogged,
        )
        limit.unlogged = 0

    async def _run_housekeeping(self) -> None:
        """Updates the gauges and flushes buffered log lines periodically."""
        was_late = False
        while True:
            due = clock.now() + HOUSEKEEPING_INTERVAL_S
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            lag_s = max(0.0, clock.now() - due)
            self._record_lag(lag_s)
            self.meters.log_dropped.set(self.logger.sink.dropped)
            self.meters.epoch.set(self.ownership.epoch)
            fates = self.fate_sharing.fates
            fates.drop_expired(clock.now())
            self.meters.job_fates.set(len(fates))
            # After a pause of this process, what has arrived is read first.
            is_late = lag_s > HOUSEKEEPING_INTERVAL_S and not was_late
            was_late = is_late
            if not is_late:
                for server in self._http_servers:
                    server.sweep(clock.now())
            self._report_client_limits(clock.now())
            self.zone_handover.send_report(clock.now())
            if self.placer_host is not None:
                self.placer_host.update_meters(self.meters)
            self.logger.flush()

    def _report_client_limits(self, now: float) -> None:
        """Updates the metrics of the budgets and logs new refusals."""
        for address, budget in self.budgets.by_address().items():
            self.meters.update_budget(address, budget)
            counts = {c.value: n for c, n in budget.counts.items()}
            logged_at, logged = self._limits_logged.get(address, (-1e9, {}))
            if counts == logged or now < logged_at + CLIENTS_LIMITED_INTERVAL_S:
                continue
            self._limits_logged[address] = now, counts
            news = {c: n - logged.get(c, 0) for c, n in counts.items()}
            self.log(
                events.Event.CLIENTS_LIMITED,
                address=address,
                connections=len(budget.accounts),
                held_kb=budget.held_bytes >> 10,
                **{f"for_{c}": n for c, n in news.items() if n},
            )

    def _record_lag(self, lag_s: float) -> None:
        """Averages the event loop's lag and updates the candidacy for placer.

        A dispatcher with a lagging loop would delay every task of the zone,
        so it is no candidate for placer until the lag has been low for
        LAG_HOLDOFF_S.
        """
        self.meters.loop_lag_seconds.observe(lag_s)
        self._average_lag_s += LAG_SMOOTHING * (lag_s - self._average_lag_s)
        now = clock.now()
        if self._average_lag_s > MAX_AVERAGE_LAG_S:
            self._lagging_until = now + LAG_HOLDOFF_S
        self.ownership.is_candidate = (
            not self.is_stopping
            and now >= self._lagging_until
            and self.link_manager.is_senior
        )

    # Settings

    def reload(self, text: str, source: str) -> None:
        """Applies changed settings and logs whether a restart is needed.

        In section [dispatcher] only `seeds` applies without a restart, and
        `lease_ms` of section [placement] needs one.
        Invalid settings are logged and ignored.
        """
        try:
            settings = dispatchsettings.read_settings(text, source)
        except errors.FindingsError as error:
            self.log(
                events.Event.SETTINGS_REJECTED,
                findings="; ".join(str(f) for f in error.findings),
            )
            return
        if settings == self.settings:
            return
        current = self.settings.dispatcher
        changed = attrs.evolve(
            settings,
            dispatcher=attrs.evolve(current, seeds=settings.dispatcher.seeds),
            # Leases of the earlier length are out until a restart.
            placement=attrs.evolve(
                settings.placement, lease_ms=self.settings.placement.lease_ms
            ),
        )
        needs_restart = (changed.dispatcher, changed.placement) != (
            settings.dispatcher,
            settings.placement,
        )
        if settings.store.address != self.settings.store.address:
            self.store_reader.set_store_address(settings.store.address)
        self.settings = changed
        self.log(
            events.Event.SETTINGS_RELOADED, needs_restart=int(needs_restart)
        )

    # Shutdown

    def stop(self) -> None:
        """Requests a graceful shutdown."""
        self._stop_requested.set()

    async def _shut_down(self) -> None:
        """Shuts down within the grace period.

        Fails the readiness check, gives up the zone, waits for open requests,
        leaves the directory and answers the requests that are still open.
        """
        grace_s = self.settings.stop.grace_s
        started_at = clock.now()
        self.is_stopping = True
        self.ownership.is_candidate = False
        self.log(
            events.Event.DISPATCHER_STOPPING,
            requests=len(self.intake.requests),
        )
        await trio.sleep(min(UNREADY_WAIT_S, grace_s / 2))
        await self._wait_for_requests(started_at + grace_s / 2)
        # Clients may send on keep-alive connections until the process exits.
        self.is_refusing = True
        refusing_at = clock.now()
        await self.store_reader.remove_own_record()
        await self._wait_for_requests(started_at + grace_s - KILL_MARGIN_S)
        await trio.sleep(max(0.0, refusing_at + MIN_REFUSING_S - clock.now()))
        self.intake.answer_all(clock.now())
        self.wake()
        await trio.sleep(FAREWELL_S)
        self.intake.answer_all(clock.now())

    async def _wait_for_requests(self, until: float) -> None:
        """Returns when no client waits, at the latest at `until`."""
        while self.intake.has_waiting_clients and clock.now() < until:
            await trio.sleep(BUSY_TICK_INTERVAL_S)


def new_dispatcher(settings: dispatchsettings.Settings) -> Dispatcher:
    """Creates a dispatcher from its settings."""
    own = settings.dispatcher
    incarnation = ids.new_incarnation(*own.advertised_address)
    return Dispatcher(
        settings,
        eventlog.new_event_log(own.name),
        links.Identity(incarnation, own.peer_keys),
        time.time(),
    )
