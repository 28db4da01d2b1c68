"""Runs a placer: carries out its orders at the backend servers.

One task for each backend server looks at what runs there; one task for each
order waits for its answer.
"""

import attrs
import trio

from acacialine import clock
from acacialine import events
from acacialine import judge
from acacialine import messages
from acacialine import meters as meters_lib
from acacialine import orders as orders_lib
from acacialine import placer as placer_lib
from acacialine import resources
from acacialine import schedule
from acacialine import zonetables
from acacialine.platform import serverclient

ACKNOWLEDGE_S = 0.5  # for a look that only acknowledges ends
UNANNOUNCED_LOOK_S = 0.3  # at a life that the store has not named yet
REMOVED_S = 3.0  # two reads of the list by a follower, and a lease
RETRY_LOOK_S = 0.1
RETRY_LOOK_MAX_S = 0.8
ROOM_KEPT_S = 0.05  # every heartbeat tells of it
TYPICAL_DEMAND = resources.Resources(cpu=7000)  # until a job was seen


@attrs.define(eq=False)
class ServerTask:
    """What the host keeps for one backend server."""

    client: serverclient.ServerClient
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    wake: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class PlacerHost:
    """The placer of this zone and its connections to backend servers.

    Attributes:
        is_fenced: Whether a backend server obeys a higher epoch.
    """

    placer: placer_lib.Placer
    epoch: int
    is_fenced: bool = False
    _dispatcher: object = None
    _nursery: trio.Nursery = None
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _tasks: dict[str, ServerTask] = attrs.field(factory=dict)
    _usual: resources.Resources = TYPICAL_DEMAND
    _closed: bool = False
    _reported: dict[str, int] = attrs.field(factory=dict)
    _room: int = 0
    _room_at: float = -1e9

    @property
    def is_busy(self) -> bool:
        """Whether jobs or runs are open."""
        tables = self.placer.tables
        return bool(tables.jobs) or any(s.runs for s in tables.servers.values())

    def submit(self, submission: placer_lib.Submission, origin) -> None:
        """Takes a job in; the answer goes to origin.post."""
        self._usual = submission.step.demand
        self.placer.submit(submission, origin, clock.now())
        self._dispatcher.wake()

    def cancel(self, job_id: str, origin, reason: str) -> None:
        """Forgets that somebody waits for a job."""
        self.placer.cancel(job_id, origin, reason, clock.now())
        self._dispatcher.wake()

    def keep(self, job_id: str) -> None:
        """Lets a job run on after its deadline."""
        self.placer.keep(job_id, clock.now())

    def note_foreign(self, job_id: str, zone: str) -> None:
        """Notes that another zone runs a job on."""
        self.placer.note_foreign(job_id, zone, clock.now())

    def drop_origin(self, origin, may_return: bool) -> None:
        """Forgets an entry whose link is over."""
        self.placer.drop_origin(origin, may_return, clock.now())

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not begun."""
        return sum(
            1
            for job in self.placer.tables.jobs.values()
            if job.queue.name == queue and job.first_start_at is None
        )

    def room(self) -> int:
        """Returns how many tasks of the usual size could start now."""
        now = clock.now()
        if now - self._room_at > ROOM_KEPT_S:
            self._room_at = now
            self._room = self._count_room(now)
        return self._room

    def _count_room(self, now: float) -> int:
        tables = self.placer.tables
        waiting = sum(len(j.waiting) for j in tables.jobs.values())
        services = {s.service for s in tables.servers.values()}
        free = 0
        for service in services:
            times = schedule.slot_times(tables, service, self._usual, "", now)
            free += sum(1 for t in times if t <= now)
        return max(0, free - waiting)

    def report(self, meters: meters_lib.Meters) -> None:
        """Sets the gauges of the placer."""
        now = clock.now()
        tables = self.placer.tables
        counts = dict.fromkeys(("usable", "draining", "avoided"), 0)
        used = total = 0
        for server in tables.servers.values():
            if judge.is_usable(server, now):
                counts["usable"] += 1
                used += server.used.cpu
                total += server.capacity.cpu
            elif server.draining:
                counts["draining"] += 1
            else:
                counts["avoided"] += 1
        for state, count in counts.items():
            meters.servers.labels(state).set(count)
        meters.cpu.labels("used").set(used)
        meters.cpu.labels("usable").set(total)
        meters.open_jobs.set(len(tables.jobs))
        for name, value in tables.counters.items():
            kind, _, how = name.partition(".")
            if kind == "ended":
                change = value - self._reported.get(name, 0)
                self._reported[name] = value
                meters.runs.labels(how).inc(change)

    def look_again(self) -> None:
        """After a pause, looks at every server before it starts anything."""
        self.placer.resume(clock.now())
        for task in self._tasks.values():
            task.wake.set()

    def apply_servers(self, now: float) -> None:
        """Takes in the servers of this zone that the store names."""
        found = self._dispatcher.store_reader.servers_of(self._dispatcher.zone)
        self.placer.runs.apply_servers(found, now)
        servers = self.placer.tables.servers
        for server_id, server in servers.items():
            task = self._tasks.get(server_id)
            if task is None or task.client.server is not server:
                if task is not None:
                    task.scope.cancel()
                self._add_task(server)
            elif not server.listed:
                task.wake.set()
        for server_id in list(self._tasks):
            if server_id not in servers:
                self._tasks.pop(server_id).scope.cancel()

    def _add_task(self, server: zonetables.Server) -> None:
        settings = self._dispatcher.settings.placement
        client = serverclient.ServerClient(
            server, self.epoch, settings.lease_ms / 1000, self._observe
        )
        task = ServerTask(client)
        self._tasks[server.id] = task
        self._nursery.start_soon(self._run_looks, task)

    def tick(self, now: float) -> None:
        """Lets the placer decide and carries out its orders."""
        self.placer.tick(now)
        for order in self.placer.take_orders():
            self._execute(order)

    def _execute(self, order: orders_lib.Order) -> None:
        match order:
            case orders_lib.StartRun(run):
                self._measure_first_start(run)
                self._nursery.start_soon(self._start, run)
            case orders_lib.StopRun(run):
                self._nursery.start_soon(self._stop, run)
            case orders_lib.AnswerJob():
                message = messages.JobVerdict(
                    order.job_id,
                    order.verdict.value,
                    order.reason,
                    order.retry_after_s,
                )
                for origin in order.origins:
                    origin.post(message)
            case orders_lib.LogDecision(event, fields):
                self._dispatcher.log(event, **fields)

    def _measure_first_start(self, run: zonetables.Run) -> None:
        job = run.job
        if job is not None and job.possible_starts == 1:
            meter = self._dispatcher.meters.first_start_s
            meter.labels(job.queue.name).observe(run.sent_at - job.arrived_at)

    async def _start(self, run: zonetables.Run) -> None:
        task = self._tasks.get(run.server.id)
        if task is None or self._closed:
            outcome = orders_lib.StartOutcome.NOT_STARTED
        else:
            task.wake.set()
            outcome = await task.client.start(run)
        if self._closed:
            return
        if outcome == orders_lib.StartOutcome.FENCED:
            self._fenced(run.server)
        self.placer.runs.start_result(run, outcome, clock.now())
        if task is not None:
            task.wake.set()
        self._dispatcher.wake()

    async def _stop(self, run: zonetables.Run) -> None:
        task = self._tasks.get(run.server.id)
        if task is None or self._closed:
            return
        confirmed = await task.client.stop(run)
        if not self._closed:
            self.placer.runs.stop_result(run, confirmed, clock.now())
            task.wake.set()
            self._dispatcher.wake()

    async def _run_looks(self, task: ServerTask) -> None:
        """Looks at one server while anything runs there."""
        settings = self._dispatcher.settings.placement
        server = task.client.server
        retry_s = RETRY_LOOK_S
        with task.scope:
            while not self._closed:
                wait_s = settings.look_wait_ms / 1000
                if not server.listed:
                    wait_s = 0.0
                elif not server.runs:
                    task.wake = trio.Event()
                    pause_s = (
                        ACKNOWLEDGE_S
                        if server.has_unacknowledged
                        else float("inf")
                    )
                    with trio.move_on_after(pause_s):
                        await task.wake.wait()
                        continue
                    wait_s = 0.0
                acknowledged = server.acknowledged
                try:
                    await task.client.look(wait_s)
                except serverclient.FencedError:
                    self._fenced(server)
                    await trio.sleep(RETRY_LOOK_S)
                except serverclient.LookError as error:
                    self._look_failed(server, error)
                    await trio.sleep(retry_s)
                    retry_s = min(retry_s * 2, RETRY_LOOK_MAX_S)
                else:
                    retry_s = RETRY_LOOK_S
                    if server.acknowledged == acknowledged:
                        server.has_unacknowledged = False
                    if not server.listed:
                        await trio.sleep(UNANNOUNCED_LOOK_S)
                self._dispatcher.wake()

    def _look_failed(self, server: zonetables.Server, error: Exception) -> None:
        if server.silent_since is None:
            self._dispatcher.log(
                events.Event.ZONE_SERVER_SILENT,
                server=server.id,
                reason=str(error),
            )
        self.placer.runs.server_silent(server, clock.now())

    def _fenced(self, server: zonetables.Server) -> None:
        self.is_fenced = True
        self.placer.runs.lost_ownership(server, clock.now())
        self._dispatcher.wake()

    def _observe(
        self,
        client: serverclient.ServerClient,
        seen: orders_lib.Observation,
        asked_at: float,
    ) -> None:
        if not self._closed:
            self.placer.runs.observe(client.server, seen, asked_at, clock.now())
            self._dispatcher.wake()

    def close(self) -> None:
        """Gives no more orders; the next owner lists what runs."""
        self._closed = True
        for task in self._tasks.values():
            task.scope.cancel()
        for job in self.placer.tables.jobs.values():
            for origin in job.origins:
                origin.post(messages.JobVerdict(job.id, "resigned", "", 0.0))


def new_host(dispatcher, epoch: int, nursery: trio.Nursery, now: float):
    """Creates the host of a new owner of the dispatcher's zone."""
    settings = dispatcher.settings.placement
    placer = placer_lib.new_placer(dispatcher.zone, settings.late_share, now)
    # Runs of an earlier owner lapse a second after it loses a server.
    removed_s = now - dispatcher.store_reader.removed_at
    placer.runs.is_list_certain = removed_s > REMOVED_S
    return PlacerHost(placer, epoch, dispatcher=dispatcher, nursery=nursery)


def encode_submission(
    submission: placer_lib.Submission,
) -> messages.SubmitJob:
    """Turns a submission into a message."""
    queue = submission.queue
    step = submission.step
    return messages.SubmitJob(
        submission.job_id,
        queue.name,
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_latency_s,
        submission.spec,
        step.count,
        step.demand.cpu,
        step.demand.memory_mb,
        step.demand.gpu,
        step.estimate_s,
        step.label,
        submission.age_s,
        submission.left_s,
        submission.handovers,
        submission.is_spilled,
    )


def decode_submission(
    message: messages.SubmitJob,
) -> placer_lib.Submission:
    """Turns a message into a submission."""
    queue = zonetables.Queue(
        message.queue,
        message.service,
        message.priority,
        message.max_attempts,
        message.stretch,
        message.target_latency_s,
    )
    demand = resources.Resources(message.cpu, message.memory_mb, message.gpu)
    step = zonetables.Step(
        message.count, demand, message.estimate_s, message.label
    )
    return placer_lib.Submission(
        message.job_id,
        queue,
        message.spec,
        step,
        message.age_s,
        message.left_s,
        message.handovers,
        message.is_spilled,
    )
