"""The dispatcher daemon: carries out what intake, placer and ownership decide.

One trio loop serves callers, peers, backend servers and the store. Each
entry VM runs one dispatcher; one of each availability zone is the placer.
"""

import functools
import random
import time

import attrs
import hypercorn.trio
import trio

from acacialine import asgi
from acacialine import clock
from acacialine import dialling as dialling_lib
from acacialine import dispatchsettings
from acacialine import errors
from acacialine import eventlog
from acacialine import events
from acacialine import ids
from acacialine import intake as intake_lib
from acacialine import links
from acacialine import messages
from acacialine import meters as meters_lib
from acacialine import ownership as ownership_lib
from acacialine import peering
from acacialine import placer as placer_lib
from acacialine import placerhost
from acacialine import routes
from acacialine import storereader
from acacialine.platform import ingress

TICK_S = 0.02  # while requests are open
IDLE_TICK_S = 0.1
COSTLY_TICK_S = 0.0003  # of a zone with many servers
TICK_REST = 4.0  # times its cost until the next tick after a costly one
CALLER_IDLE_S = 60.0
PAUSE_S = 0.4  # a gap between ticks after which this process was paused
HOUSEKEEPING_S = 0.5
LAG_SMOOTHING = 0.4
LAG_LIMIT_S = 0.05  # average lateness; an idle loop is under 2 ms late
SLOW_S = 5.0  # for which a late loop leaves the zone to others
STOP_READY_S = 2.2  # the balancer needs two misses a second apart
REFUSE_S = 0.25  # before the exit; longer than a cut that counts as lost
STOP_MARGIN_S = 0.7  # before the process would be killed


@attrs.define(eq=False)
class Dispatcher:
    """One running dispatcher.

    Attributes:
        intake: Requests of callers.
        host: The placer while this entry owns its zone.
        reader: Follows the store.
        dialling: Keeps the links to other entries.
        is_refusing: Whether a stop is so far that new requests could be cut
            off; they are refused as not run.
    """

    settings: dispatchsettings.Settings
    logger: eventlog.EventLog
    identity: links.Identity
    started: float
    is_stopping: bool = False
    is_refusing: bool = False
    intake: intake_lib.Intake = attrs.field(init=False)
    ownership: ownership_lib.Ownership = attrs.field(init=False)
    hub: peering.Hub = attrs.field(init=False)
    host: placerhost.PlacerHost | None = None
    reader: storereader.StoreReader = attrs.field(init=False)
    dialling: dialling_lib.Dialling = attrs.field(init=False)
    meters: meters_lib.Meters = attrs.field(factory=meters_lib.Meters)
    _nursery: trio.Nursery = attrs.field(init=False)
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _stop: trio.Event = attrs.field(factory=trio.Event)
    _random: random.Random = attrs.field(factory=random.Random)
    _last_tick: float = 0.0
    _lag_s: float = 0.0
    _slow_until: float = 0.0

    def __attrs_post_init__(self):
        now = clock.now()
        zone = self.settings.dispatcher.zone
        self.intake = intake_lib.Intake(zone)
        self.ownership = ownership_lib.Ownership(
            self.my_id,
            self.started,
            now,
            my_weight=self.settings.dispatcher.weight,
        )
        self.hub = peering.Hub(
            self.identity,
            self._own_state,
            self._on_message,
            self._on_request,
            self._on_session_closed,
            self._on_opened,
            self._on_closed,
            self._on_link_change,
        )
        self.reader = storereader.StoreReader(self)
        self.dialling = dialling_lib.Dialling(self)

    @property
    def my_id(self) -> str:
        """The incarnation of this process."""
        return str(self.identity.incarnation)

    @property
    def zone(self) -> str:
        """The availability zone of this entry."""
        return self.settings.dispatcher.zone

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force; None before the first."""
        return self.reader.configuration

    @property
    def is_ready(self) -> bool:
        """Whether new connections of callers are welcome."""
        if self.is_stopping or self.configuration is None:
            return False
        return bool(self.intake.targets)

    def now(self) -> float:
        """The time on the clock of all decisions."""
        return clock.now()

    def wake(self) -> None:
        """Makes the loop tick soon."""
        self._wake.set()

    def log(self, event: events.Event, **fields) -> None:
        """Writes one event."""
        self.logger.event(event, **fields)
        self.meters.events.labels(event.name.lower()).inc()

    def answered(
        self,
        submission: placer_lib.Submission,
        status: int,
        answer: intake_lib.Answer,
        took_s: float,
    ) -> None:
        """Writes and counts an answer to a caller."""
        queue = submission.queue.name
        self.meters.answers.labels(queue, status).inc()
        self.meters.answer_s.labels(queue).observe(took_s)
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

    def pending(self, queue: str) -> int:
        """Returns how many open jobs of a queue have not begun, as known."""
        if self.host is not None:
            return self.host.pending(queue)
        return sum(
            1
            for r in self.intake.requests.values()
            if r.submission.queue.name == queue and r.target is None
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs until a planned stop has ended."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._listen(nursery)
            nursery.start_soon(self._run_ticks)
            nursery.start_soon(self.dialling.run, nursery)
            nursery.start_soon(self._run_housekeeping)
            self.reader.start(nursery)
            self.log(events.Event.DISPATCHER_STARTED, zone=self.zone)
            task_status.started()
            await self._stop.wait()
            await self._stop_in_order()
            nursery.cancel_scope.cancel()
        self.log(events.Event.DISPATCHER_STOPPED)

    async def _listen(self, nursery: trio.Nursery) -> None:
        entry = self.settings.dispatcher
        host, port = entry.peer_address
        listeners = await trio.open_tcp_listeners(port, host=host)
        nursery.start_soon(
            functools.partial(trio.serve_listeners, self.hub.serve, listeners)
        )
        for app, address in (
            (ingress.Ingress(self), entry.caller_address),
            (ingress.Readiness(self), entry.ready_address),
            (self.meters, entry.metrics_address),
        ):
            config = asgi.new_config(address, CALLER_IDLE_S)
            await nursery.start(
                functools.partial(
                    hypercorn.trio.serve,
                    asgi.http_only(app),
                    config,
                    shutdown_trigger=trio.sleep_forever,
                )
            )

    # Ticks

    async def _run_ticks(self) -> None:
        while True:
            self._wake = trio.Event()
            begun = clock.now()
            self._tick(begun)
            took_s = clock.now() - begun
            if took_s > COSTLY_TICK_S:
                # What comes meanwhile is decided together.
                await trio.sleep(min(took_s * TICK_REST, TICK_S))
            busy = self.intake.requests or (self.host and self.host.is_busy)
            with trio.move_on_after(TICK_S if busy else IDLE_TICK_S):
                await self._wake.wait()

    def _tick(self, now: float) -> None:
        gap_s = now - self._last_tick
        if self._last_tick and gap_s > PAUSE_S:
            self.log(events.Event.LOOP_PAUSED, seconds=gap_s)
            if self.host is not None:
                self.host.look_again()
        self._last_tick = now
        self._decide_ownership(now)
        self.intake.zones = self.reader.directory.zones
        self.intake.update_targets(self._targets(now), now)
        self.intake.tick(now)
        for order in self.intake.take_orders():
            self._execute(order)
        if self.host is not None:
            self.host.placer.admission.free_elsewhere = max(
                (
                    t.free_tasks
                    for zone, t in self.intake.targets.items()
                    if zone != self.zone
                ),
                default=0,
            )
            self.host.tick(now)

    def _decide_ownership(self, now: float) -> None:
        for link in self.hub.peers.values():
            member = self.ownership.members.get(link.peer_id)
            if member is not None and link.is_refused:
                member.refused = True
        if self.ownership.seeks_evidence:
            self.reader.claim_changed()
        if self.host is not None and self.host.is_fenced:
            self.log(events.Event.ZONE_FENCED, epoch=self.ownership.epoch)
            self.ownership.fenced(now)
            self._resign("fenced")
        bits = self._random.getrandbits(ownership_lib.EPOCH_RANDOM_BITS)
        match self.ownership.decide(now, time.time(), bits):
            case ownership_lib.Role.PLACER:
                self._own(now)
            case ownership_lib.Role.FOLLOWER:
                self._resign("superseded")

    def _own(self, now: float) -> None:
        epoch = self.ownership.epoch
        self.log(events.Event.ZONE_OWNED, epoch=epoch, zone=self.zone)
        self.host = placerhost.new_host(self, epoch, self._nursery, now)
        self.host.apply_servers(now)
        self.reader.claim_changed()

    def _resign(self, reason: str) -> None:
        if self.host is None:
            return
        self.log(events.Event.ZONE_RESIGNED, reason=reason)
        self.host.close()
        self.host = None
        self.reader.claim_changed()

    def _targets(self, now: float) -> dict[str, intake_lib.Target]:
        """Returns the placer of each zone that can be reached."""
        found: dict[str, intake_lib.Target] = {}
        if self.host is not None:
            found[self.zone] = intake_lib.Target(
                self.my_id, self.zone, self.ownership.epoch, 0, now
            )
        for link in self.hub.peers.values():
            state = link.state
            if state is None or not state.claim:
                continue
            known = found.get(state.zone)
            if known is None or known.epoch < state.claim:
                found[state.zone] = intake_lib.Target(
                    state.sender,
                    state.zone,
                    state.claim,
                    state.free_tasks,
                    link.heard_at,
                )
        return found

    def _execute(self, order) -> None:
        match order:
            case intake_lib.HandOver(target, submission):
                if target.peer_id == self.my_id and self.host is not None:
                    self.host.submit(submission, self)
                    return
                link = self.hub.find(target.peer_id)
                if link is not None:
                    link.post(placerhost.encode_submission(submission))
            case intake_lib.Withdraw(peer_id, job_id, reason):
                if peer_id == self.my_id and self.host is not None:
                    self.host.cancel(job_id, self, reason)
                    return
                link = self.hub.find(peer_id)
                if link is not None:
                    link.post(messages.CancelJob(job_id, reason))
            case intake_lib.Keep(peer_id, job_id):
                if peer_id == self.my_id and self.host is not None:
                    self.host.keep(job_id)
                    return
                link = self.hub.find(peer_id)
                if link is not None:
                    link.post(messages.KeepJob(job_id))
            case intake_lib.Announce(peer_id, job_id, zone):
                if peer_id == self.my_id and self.host is not None:
                    self.host.note_foreign(job_id, zone)
                    return
                link = self.hub.find(peer_id)
                if link is not None:
                    link.post(messages.JobKept(job_id, zone))
            case intake_lib.Log(event, fields):
                self.log(event, **fields)

    def post(self, message: messages.JobVerdict) -> None:
        """Takes in the answer of the placer of this very process."""
        self._take_verdict(self.my_id, message)

    # Peers

    def _own_state(self, is_reply: bool) -> messages.ZoneState:
        free_tasks = self.host.room() if self.host is not None else 0
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
            self.ownership.claim_of(placer_id),
            is_reply,
            self.settings.dispatcher.weight,
        )

    def _hear(self, state: messages.ZoneState) -> None:
        """Learns who is there, also from others and without the store."""
        self.dialling.hear_of(state.sender, state.zone)
        if state.placer_id:
            self.dialling.hear_of(state.placer_id, state.zone)
        if state.zone != self.zone:
            self.ownership.connected_at = clock.now()
            return
        if state.sender == self.my_id:
            return
        if state.placer_id not in ("", self.my_id, state.sender):
            self.ownership.hear_of(
                state.placer_id, state.placer_claim, clock.now()
            )
        self.ownership.hear(
            state.sender,
            state.started,
            state.claim,
            state.is_candidate,
            clock.now(),
            state.weight,
        )

    def _on_message(
        self, link: peering.PeerLink, message: messages.Message
    ) -> None:
        match message:
            case messages.ZoneState():
                self._hear(message)
                version = (
                    self.configuration.version if self.configuration else 0
                )
                if message.config_version > version:
                    link.post(messages.RoutesCall(version))
            case messages.JobVerdict():
                self._take_verdict(link.peer_id, message)
            case messages.RoutesReply():
                self.reader.apply_from_peer(message, link.peer_id)

    def _take_verdict(self, peer_id: str, message: messages.JobVerdict) -> None:
        self.intake.verdict(
            peer_id,
            message.job_id,
            message.verdict,
            message.reason,
            message.retry_after_s,
            clock.now(),
        )
        self.wake()

    def _on_request(
        self, session: peering.Session, message: messages.Message
    ) -> None:
        match message:
            case messages.ZoneState():
                self._hear(message)
            case messages.SubmitJob() if self.host is not None:
                submission = placerhost.decode_submission(message)
                self.host.submit(submission, session.outbox)
            case messages.SubmitJob():
                session.outbox.post(
                    messages.JobVerdict(message.job_id, "moved", "", 0.0)
                )
            case messages.CancelJob(job_id, reason):
                if self.host is not None:
                    self.host.cancel(job_id, session.outbox, reason)
            case messages.KeepJob(job_id):
                if self.host is not None:
                    self.host.keep(job_id)
            case messages.JobKept(job_id, zone):
                if self.host is not None:
                    self.host.note_foreign(job_id, zone)
            case messages.RoutesCall(version):
                config = self.configuration
                if config is not None and config.version > version:
                    session.outbox.post(
                        messages.RoutesReply(config.version, config.document)
                    )
        self.wake()

    def _on_session_closed(self, session: peering.Session) -> None:
        if self.host is not None:
            self.host.drop_origin(session.outbox, not session.is_silent)
        self.wake()

    def _on_opened(self, link: peering.PeerLink) -> None:
        for member_id in list(self.ownership.members):
            member_address = ids.parse_incarnation(member_id).address
            if member_address == link.address and member_id != link.peer_id:
                self.ownership.forget(member_id)  # its process is gone
        self.log(
            events.Event.PEER_CONNECTED, peer=link.state.name, zone=link.zone
        )

    def _on_closed(self, link: peering.PeerLink, reason: str) -> None:
        self.log(
            events.Event.PEER_DISCONNECTED, peer=link.peer_id, reason=reason
        )
        self.wake()

    def _on_link_change(self, link: peering.PeerLink) -> None:
        self.wake()

    async def _run_housekeeping(self) -> None:
        """Keeps the gauges and writes what log readers did not take."""
        while True:
            due = clock.now() + HOUSEKEEPING_S
            await trio.sleep(HOUSEKEEPING_S)
            self._note_lag(max(0.0, clock.now() - due))
            self.meters.log_dropped.set(self.logger.sink.dropped)
            self.meters.epoch.set(self.ownership.epoch)
            if self.host is not None:
                self.host.report(self.meters)
            self.logger.flush()

    def _note_lag(self, lag_s: float) -> None:
        """A loop that runs late is a bad place for the whole zone's work."""
        self.meters.loop_lag_s.observe(lag_s)
        self._lag_s += LAG_SMOOTHING * (lag_s - self._lag_s)
        now = clock.now()
        if self._lag_s > LAG_LIMIT_S:
            self._slow_until = now + SLOW_S
        self.ownership.is_candidate = (
            not self.is_stopping
            and now >= self._slow_until
            and self.dialling.is_senior
        )

    # Settings

    def reload(self, text: str, source: str) -> None:
        """Takes in changed settings; what needs a new process is said."""
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
        kept = self.settings.dispatcher
        changed = attrs.evolve(
            settings,
            dispatcher=attrs.evolve(kept, seeds=settings.dispatcher.seeds),
        )
        needs_restart = changed.dispatcher != settings.dispatcher
        if settings.store.address != self.settings.store.address:
            self.reader.move(settings.store.address)
        self.settings = changed
        self.log(
            events.Event.SETTINGS_RELOADED, needs_restart=int(needs_restart)
        )

    # Stop

    def stop(self) -> None:
        """Begins a planned stop."""
        self._stop.set()

    async def _stop_in_order(self) -> None:
        """Goes out of rotation, finishes requests, gives the zone away."""
        grace_s = self.settings.stop.grace_s
        begun = clock.now()
        self.is_stopping = True
        self.ownership.is_candidate = False
        self.log(
            events.Event.DISPATCHER_STOPPING,
            requests=len(self.intake.requests),
        )
        await trio.sleep(min(STOP_READY_S, grace_s / 2))
        await self._await_requests(begun + grace_s / 2)
        # Callers may send on kept connections until the process is gone.
        self.is_refusing = True
        refusing_at = clock.now()
        await self.reader.leave()
        await self._await_requests(begun + grace_s - STOP_MARGIN_S)
        await trio.sleep(max(0.0, refusing_at + REFUSE_S - clock.now()))

    async def _await_requests(self, until: float) -> None:
        """Returns once no request is open, at the latest at a time."""
        while self.intake.requests and clock.now() < until:
            await trio.sleep(TICK_S)


def new_dispatcher(settings: dispatchsettings.Settings) -> Dispatcher:
    """Creates a dispatcher from its settings."""
    entry = settings.dispatcher
    me = ids.new_incarnation(*entry.dialled_address)
    return Dispatcher(
        settings,
        eventlog.new_event_log(entry.name),
        links.Identity(me, entry.peer_keys),
        time.time(),
    )
