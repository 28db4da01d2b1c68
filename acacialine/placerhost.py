"""Runs a placer and executes its orders on the backend servers.

Orders and polls are sent at once and report by callbacks. Each backend server
on which something runs has one long poll in flight; `tick` sends those that are
due later and ends calls whose time limit has passed.
"""

import heapq
import itertools
import math

import attrs
import trio

from acacialine import clock
from acacialine import doubtfulruns
from acacialine import errors
from acacialine import events
from acacialine import httppool as httppool_lib
from acacialine import jobfates
from acacialine import leases
from acacialine import messages
from acacialine import orders as orders_lib
from acacialine import placer as placer_lib
from acacialine import prometheusmetrics as prometheusmetrics_lib
from acacialine import resources
from acacialine import schedule
from acacialine import serverhealth
from acacialine import zoneruns
from acacialine import zonetables
from acacialine.platform import serverclient

# Delay of a poll that only acknowledges ended runs.
ACKNOWLEDGE_POLL_DELAY_S = 0.5
# Interval between polls of an incarnation that the store does not list yet.
UNANNOUNCED_POLL_INTERVAL_S = 0.3
# Longest wait of a poll while polls are lost: the end of a run whose listing is
# lost is seen only after it.
LOSSY_POLL_WAIT_S = 0.06
# Longest wait of a poll that renews no leases: the next one is to renew them as
# soon as it may.
MIN_POLL_WAIT_S = 0.06
QUICK_LISTINGS = 4  # listings without a response that are repeated at once
# Longest wait after a takeover for the list of servers if the known one is old.
LIST_WAIT_S = 1.0
POLL_RETRY_S = 0.1
POLL_RETRY_MAX_S = 0.8
FENCED_POLL_RETRY_S = 0.1
FREE_SLOTS_MAX_AGE_S = 0.05  # heartbeats report a count at most this old
SILENCE_LOG_INTERVAL_S = 1.0  # between log lines about one silent server
# Bounds of what a dispatcher may submit; far above what any does.
MAX_TASKS = 100_000
MAX_HANDOVERS = 10_000
MAX_NUMBER = 1e9  # of a time in s or a factor
# Jobs count as unattended after this time, which two ticks of a busy process
# and the confirmation of other zones take.
UNATTENDED_S = 0.25
# Demand of a task that is assumed until the first job arrives.
DEFAULT_DEMAND = resources.Resources(cpu=7000)


@attrs.define(eq=False)
class ServerPoller:
    """Polling of one backend server.

    Attributes:
        in_flight: Whether a poll was sent and has not ended.
        not_before: Earliest time of the next poll after a failure.
        acknowledge_at: When to poll an idle server that still lists ended
            runs; infinite if not known yet.
        retry_s: Delay after the next failure.
        polled_seq: `last_ended_seq` when the poll in flight was sent.
        polled_at: When that poll was sent.
        silence_logged_at: When the log last said that the server is silent.
        listing_sent_at: When the listing in flight was sent; minus infinity if
            none is.
        failed_listings: Number of listings in a row without a response.
        due_at: When `tick` next looks at it; infinite if not scheduled.
    """

    client: serverclient.ServerClient
    in_flight: bool = False
    not_before: float = 0.0
    acknowledge_at: float = math.inf
    retry_s: float = POLL_RETRY_S
    polled_seq: int = 0
    polled_at: float = 0.0
    silence_logged_at: float = -math.inf
    listing_sent_at: float = -math.inf
    failed_listings: int = 0
    due_at: float = math.inf


@attrs.define(eq=False)
class PlacerHost:
    """The placer of this zone and its connections to backend servers.

    The dispatcher creates one when it becomes the placer and closes it when
    it stops being the placer.

    Attributes:
        epoch: Epoch of the claim to the zone; the fencing token of orders.
        is_fenced: Whether a backend server obeys a higher epoch.
    """

    placer: placer_lib.Placer
    epoch: int
    is_fenced: bool = False
    _dispatcher: object = None
    _nursery: trio.Nursery = None
    _deadlines: httppool_lib.Deadlines = attrs.field(
        factory=httppool_lib.Deadlines
    )
    _due_pollers: list[tuple[float, int, ServerPoller]] = attrs.field(
        factory=list
    )
    _due_numbers: itertools.count = attrs.field(factory=itertools.count)
    _pollers: dict[str, ServerPoller] = attrs.field(factory=dict)
    _last_demand: resources.Resources = DEFAULT_DEMAND
    _is_closed: bool = False
    _is_zone_empty: bool = False
    _reported_counts: dict[str, int] = attrs.field(factory=dict)
    _cached_free_slots: int = 0
    _cached_free_slots_at: float = -1e9

    @property
    def is_busy(self) -> bool:
        """Whether jobs or runs are open."""
        tables = self.placer.tables
        return bool(tables.jobs) or any(s.runs for s in tables.servers.values())

    def submit(
        self,
        submission: placer_lib.Submission,
        origin,
        client_zone: str = "",
        sent_at: float = math.inf,
    ) -> None:
        """Submits a job; `origin.post` receives the verdict.

        Args:
            submission: The job.
            origin: Session of the dispatcher that submits it.
            client_zone: Zone of that dispatcher; empty if unknown.
            sent_at: When it sent the job; infinite if unknown.
        """
        self._last_demand = submission.step.demand
        self.placer.submit(
            submission,
            origin,
            clock.now(),
            client_zone,
            min(sent_at, self._dispatcher.inputs_read_until),
        )
        if submission.handovers:
            self._dispatcher.store_reader.request_servers()
        self._dispatcher.wake()

    def cancel(self, job_id: str, origin, reason: str) -> None:
        """Removes an origin from a job; the job ends with its last origin."""
        self.placer.cancel(job_id, origin, reason, clock.now())
        self._dispatcher.wake()

    def cancel_for_all(self, job_id: str) -> bool:
        """Ends a job that a client cancelled; returns whether it was open."""
        was_open = self.placer.cancel_for_all(job_id, clock.now())
        self._dispatcher.wake()
        return was_open

    def apply_fates(self, fates: dict[bytes, jobfates.Fate]) -> None:
        """Records how jobs ended at other placers; ends those open here."""
        self.placer.apply_fates(fates, clock.now())

    def keep_job(self, job_id: str, origin, is_confirmed: bool) -> None:
        """Keeps a job running past its deadline for its client's retry."""
        self.placer.keep_job(job_id, origin, is_confirmed, clock.now())

    def record_remote_job(self, job_id: str, zone: str) -> None:
        """Records that another zone keeps running a job."""
        self.placer.record_remote_job(job_id, zone, clock.now())

    def confirm_open_jobs(self, number: int, zone: str) -> None:
        """Records that the placer of another zone knows jobs that run here."""
        self.placer.notices.confirm(number, zone)

    def handle_new_placer(self) -> None:
        """Handles that another zone has a new placer."""
        self.placer.notices.handle_new_placer()

    def record_heard(self, origin, sent_at: float = math.inf) -> None:
        """Records a heartbeat of a dispatcher.

        It may have been sent at any time since the inputs of this process were
        last read, or earlier if a broken path held it up. Other messages prove
        nothing of the clients that wait: one that was paused may send them
        before it reads that these have left.

        Args:
            origin: The session of the dispatcher.
            sent_at: When it sent the heartbeat; infinite if unknown.
        """
        self.placer.record_heard(
            origin, min(sent_at, self._dispatcher.inputs_read_until)
        )

    def knows_jobs(self) -> bool:
        """Returns whether a successor that is told all knows all jobs.

        A placer that no server obeys yet may have to learn of others.
        """
        return self.placer.runs.is_obeyed and not self.placer.may_lack_jobs(
            clock.now()
        )

    def set_suspect(self, origin, is_suspect: bool) -> None:
        """Records whether a dispatcher may be lost."""
        self.placer.set_suspect(origin, is_suspect, clock.now())

    def remove_origin(self, origin, is_silent: bool) -> None:
        """Removes a dispatcher whose link has ended from all jobs."""
        self.placer.remove_origin(origin, is_silent, clock.now())

    def count_pending_jobs(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started."""
        return sum(
            1
            for job in self.placer.tables.jobs.values()
            if job.queue.name == queue and job.first_start_at is None
        )

    def free_slots(self) -> int:
        """Returns how many tasks like those of the last job could start now.

        The tasks that already wait are subtracted.
        """
        now = clock.now()
        if self.placer.last_start_at is not None:
            return 0  # the zone is evacuated
        if now - self._cached_free_slots_at > FREE_SLOTS_MAX_AGE_S:
            self._cached_free_slots_at = now
            self._cached_free_slots = self._count_free_slots(now)
        return self._cached_free_slots

    def _count_free_slots(self, now: float) -> int:
        tables = self.placer.tables
        waiting = sum(len(j.waiting) for j in tables.jobs.values())
        services = {s.service for s in tables.servers.values()}
        free = 0
        for service in services:
            times = schedule.slot_free_times(
                tables, service, self._last_demand, "", now
            )
            free += sum(1 for t in times if t <= now)
        return max(0, free - waiting)

    def set_evacuation(self, last_start_at: float | None) -> None:
        """Records the begin or the end of the evacuation of the zone.

        After the end the records of the servers are read again before long,
        as they say which of them are cold.
        """
        self.placer.set_evacuation(last_start_at)
        self._is_zone_empty = False
        if last_start_at is None:
            self._dispatcher.store_reader.request_servers()

    def _log_if_empty(self, open_runs: int) -> None:
        """Logs when no run is left in an evacuated zone."""
        if (
            self.placer.last_start_at is None
            or not self.placer.runs.all_runs_known
        ):
            return
        is_empty = not open_runs
        if is_empty and not self._is_zone_empty:
            self._dispatcher.log(
                events.Event.ZONE_EMPTY,
                zone=self.placer.tables.zone,
                jobs=len(self.placer.tables.jobs),
            )
        self._is_zone_empty = is_empty

    def update_meters(
        self, meters: prometheusmetrics_lib.PrometheusMetrics
    ) -> None:
        """Updates the gauges and the run counter of the placer."""
        now = clock.now()
        tables = self.placer.tables
        counts = dict.fromkeys(("usable", "draining", "avoided"), 0)
        used = total = open_runs = silent_runs = lingering_runs = 0
        for server in tables.servers.values():
            open_runs += len(server.runs)
            if server.unresponsive_since is not None:
                silent_runs += len(server.runs)
            lingering_runs += sum(r.is_lingering for r in server.runs.values())
            if serverhealth.is_usable(server, now):
                counts["usable"] += 1
                used += server.used.cpu
                total += server.capacity.cpu
            elif server.draining:
                counts["draining"] += 1
            else:
                counts["avoided"] += 1
        for state, count in counts.items():
            meters.servers.labels(state).set(count)
        meters.server_cpu_millicores.labels("used").set(used)
        meters.server_cpu_millicores.labels("usable").set(total)
        meters.open_jobs.set(len(tables.jobs))
        meters.open_runs.set(open_runs)
        self._log_if_empty(open_runs)
        meters.silent_runs.set(silent_runs)
        doubtful_runs, doubtful_cpu = doubtfulruns.measure(tables)
        meters.doubtful_runs.set(doubtful_runs)
        meters.doubtful_cpu_millicores.set(doubtful_cpu)
        meters.lingering_runs.set(lingering_runs)
        meters.unattended_jobs.set(
            sum(
                bool(job.runs) and now - job.attended_until(now) > UNATTENDED_S
                for job in tables.jobs.values()
            )
        )
        meters.share_credit.clear()
        for key, competitor in self.placer.shares.competitors.items():
            meters.share_credit.labels(key.zone, key.queue or "all").set(
                competitor.credit_core_s
            )
        for name, value in tables.counters.items():
            kind, _, how = name.partition(".")
            if kind not in ("ended", "contention"):
                continue
            change = value - self._reported_counts.get(name, 0)
            self._reported_counts[name] = value
            if kind == "ended":
                meters.runs_ended.labels(how).inc(change)
            else:
                meters.contention.labels(how).inc(change)

    def resume_after_pause(self, pause_s: float) -> None:
        """Polls every backend server again before it starts any task.

        While the process was suspended, another placer may have taken over.
        """
        now = clock.now()
        self.placer.handle_process_pause(now, pause_s)
        for poller in self._pollers.values():
            self._poll_if_due(poller, now)

    def apply_servers(self, now: float) -> None:
        """Applies the list of backend servers that the store has."""
        announced = self._dispatcher.store_reader.servers_of(
            self._dispatcher.zone
        )
        tables = self.placer.tables
        servers = tables.servers
        known_ids = set(servers)
        tables.is_list_known = self._dispatcher.store_reader.has_list
        self.placer.runs.apply_servers(announced, now)
        learned_state = self._dispatcher.zone_handover.learned_state
        for server_id in servers.keys() - known_ids:
            learned_state.apply_to_server(servers[server_id], now)
        self.placer.refuse_unservable_jobs(now)
        for server_id, server in servers.items():
            poller = self._pollers.get(server_id)
            if poller is not None and (
                poller.client.server is not server
                or poller.client.address != server.address
            ):
                self._remove_poller(server_id)
                poller = None
            if poller is None:
                poller = self._add_poller(server)
            self._poll_if_due(poller, now)
        for server_id in list(self._pollers):
            if server_id not in servers:
                self._remove_poller(server_id)

    def record_list_read(self, sent_at: float) -> None:
        """Records that the list of servers was read by a request sent then."""
        reader = self._dispatcher.store_reader
        runs = self.placer.runs
        # The list may have lost a server on which the earlier owner started
        # tasks a moment before.
        runs.unknown_before = max(
            runs.unknown_before, _unknown_before(reader, runs.lease_times)
        )
        runs.list_sent_at = sent_at
        if sent_at >= self.placer.owned_since:
            runs.is_list_current = True
            runs.awaits_list = False
            self._dispatcher.wake()

    def _add_poller(self, server: zonetables.Server) -> ServerPoller:
        settings = self._dispatcher.settings.placement
        client = serverclient.ServerClient(
            server,
            self.epoch,
            settings.lease_ms / 1000,
            self,
            self._deadlines,
            self._nursery,
        )
        poller = ServerPoller(client)
        self._pollers[server.id] = poller
        return poller

    def _remove_poller(self, server_id: str) -> None:
        # Removed first, as its poll in flight reports that it failed.
        poller = self._pollers.pop(server_id)
        poller.due_at = math.inf  # `tick` skips what is scheduled for it
        poller.client.close()

    def next_limit_at(self) -> float:
        """Returns the next time limit of a request in flight."""
        return self._deadlines.next_at()

    def tick(self, now: float) -> None:
        """Runs a tick of the placer and executes its orders."""
        if self.placer.runs.awaits_list and (
            self._dispatcher.store_reader.is_store_down
            or now - self.placer.owned_since > LIST_WAIT_S
        ):
            self.placer.runs.awaits_list = False
        # Its clients may have left unseen while this process was paused.
        self.placer.record_heard(
            self._dispatcher, self._dispatcher.inputs_read_until
        )
        self._deadlines.check(now)
        if self.placer.runs.outliers.are_polls_lossy(now):
            self._list_overdue_runs(now)
        while self._due_pollers and self._due_pollers[0][0] <= now:
            due_at, _, poller = heapq.heappop(self._due_pollers)
            if due_at == poller.due_at:
                poller.due_at = math.inf
                self._poll_if_due(poller, now)
        self.placer.tick(now)
        if self.placer.has_more_starts:
            self._dispatcher.wake()
        announced_jobs = []
        for order in self.placer.take_orders():
            match order:
                case orders_lib.AnnounceJob(job_id):
                    announced_jobs.append(job_id)
                case _:
                    self._execute(order)
        if announced_jobs:
            self._dispatcher.job_sharing.announce_jobs(announced_jobs)

    def _execute(self, order: orders_lib.Order) -> None:
        match order:
            case orders_lib.StartRun(run):
                self._observe_first_start(run)
                self._start(run)
            case orders_lib.StopRun(run):
                poller = self._pollers.get(run.server.id)
                if poller is not None:
                    poller.client.stop(run)
            case orders_lib.AnswerJob():
                message = messages.JobVerdict(
                    order.job_id,
                    order.verdict.value,
                    order.reason,
                    order.retry_after_s,
                )
                for origin in order.origins:
                    origin.post(message)
            case orders_lib.ShareJob(job_id):
                self._dispatcher.job_sharing.share_job(job_id)
            case orders_lib.ShareFate(job_id, fate):
                outbox = self._dispatcher.fate_sharing.outbox
                outbox.add(job_id, fate, clock.now())
            case orders_lib.ShareOpenJobs(job_ids, number):
                self._dispatcher.fate_sharing.share_open_jobs(job_ids, number)
            case orders_lib.ShareLosses(key, task_losses):
                self._dispatcher.job_sharing.share_losses(key, task_losses)
            case orders_lib.LogDecision(event, fields):
                self._dispatcher.log(event, **fields)

    def _observe_first_start(self, run: zonetables.Run) -> None:
        job = run.job
        if job is not None and job.possible_starts == 1:
            meter = self._dispatcher.meters.first_start_seconds
            meter.labels(job.queue.name).observe(run.sent_at - job.arrived_at)

    def _start(self, run: zonetables.Run) -> None:
        """Starts a run on its backend server, and polls for its end."""
        poller = self._pollers.get(run.server.id)
        if poller is None:
            self.handle_start_outcome(run, orders_lib.StartOutcome.NOT_STARTED)
            return
        poller.client.start(run)
        self._poll_if_due(poller, clock.now())

    def may_extend_leases(self) -> bool:
        """See `serverclient.Observer`."""
        return self.placer.runs.may_extend_leases(clock.now())

    def handle_start_outcome(
        self, run: zonetables.Run, outcome: orders_lib.StartOutcome
    ) -> None:
        """See `serverclient.Observer`."""
        if self._is_closed:
            return
        if outcome == orders_lib.StartOutcome.FENCED:
            self._handle_fencing(run.server)
        self.placer.runs.handle_start_result(run, outcome, clock.now())
        if outcome != orders_lib.StartOutcome.STARTED:
            self._dispatcher.wake()

    def handle_stop_outcome(self, run: zonetables.Run, confirmed: bool) -> None:
        """See `serverclient.Observer`."""
        if self._is_closed:
            return
        now = clock.now()
        self.placer.runs.handle_stop_result(run, confirmed, now)
        poller = self._pollers.get(run.server.id)
        if poller is not None:
            poller.failed_listings = 0
            self._list_if_needed(poller, now)
            self._poll_if_due(poller, now)
        self._dispatcher.wake()

    def handle_unanswered_stop(self, run: zonetables.Run) -> None:
        """See `serverclient.Observer`."""
        if self._is_closed:
            return
        self.placer.runs.handle_unanswered_stop(run, clock.now())
        self._dispatcher.wake()

    def _list_if_needed(self, poller: ServerPoller, now: float) -> None:
        """Lists the runs of a server on which one is in doubt.

        The listing does not wait for the end of the poll in flight, which was
        sent before the stop of that run was confirmed.
        """
        server = poller.client.server
        if self._is_closed or not doubtfulruns.needs_listing(
            server, poller.listing_sent_at
        ):
            return
        poller.listing_sent_at = now
        poller.client.list_runs(now)

    def _list_overdue_runs(self, now: float) -> None:
        """Lists runs past their expected end, as the poll may be lost."""
        for poller in self._pollers.values():
            if (
                poller.listing_sent_at == -math.inf
                and doubtfulruns.may_have_missed_end(poller.client.server, now)
            ):
                poller.listing_sent_at = now
                poller.client.list_runs(now)

    def handle_listing_end(
        self,
        server: zonetables.Server,
        sent_at: float,
        error: Exception | None,
    ) -> None:
        """See `serverclient.Observer`."""
        poller = self._pollers.get(server.id)
        if self._is_closed or poller is None:
            return
        now = clock.now()
        if sent_at == poller.listing_sent_at:
            poller.listing_sent_at = -math.inf
        match error:
            case None:
                poller.failed_listings = 0
                return
            case serverclient.FencedError():
                self._handle_fencing(server)
                return
            case serverclient.OutdatedError():
                self._list_if_needed(poller, now)
                self._poll_if_due(poller, now)
                return
        self._record_poll_failure(poller, error, sent_at)
        poller.failed_listings += 1
        if poller.failed_listings < QUICK_LISTINGS and isinstance(
            error, serverclient.UnansweredError
        ):
            self._list_if_needed(poller, now)

    def _poll_if_due(self, poller: ServerPoller, now: float) -> None:
        """Sends a poll if none is in flight and one is due, else schedules it.

        A poll renews the lease of the runs and acknowledges their ends.
        """
        server = poller.client.server
        if poller.in_flight or self._is_closed:
            return
        due_at = poller.not_before
        wait_s = 0.0
        if server.runs_listed and doubtfulruns.may_run_tasks(server, now):
            settings = self._dispatcher.settings.placement
            lease_s = poller.client.lease_s
            lease_left_s = leases.attended_until(server, now) + lease_s - now
            wait_s = min(
                settings.look_wait_ms / 1000,
                max(MIN_POLL_WAIT_S, lease_left_s * leases.MAX_POLL_WAIT_SHARE),
            )
            runs = self.placer.runs
            if runs.outliers.are_polls_lossy(now):
                wait_s = min(wait_s, LOSSY_POLL_WAIT_S)
            if not runs.may_extend_leases(now):
                due_at = max(due_at, runs.resumed_at + zoneruns.RESUME_CHECK_S)
        elif server.runs_listed:
            if not server.must_acknowledge:
                return
            poller.acknowledge_at = min(
                poller.acknowledge_at, now + ACKNOWLEDGE_POLL_DELAY_S
            )
            due_at = max(due_at, poller.acknowledge_at)
        if now < due_at:
            self._schedule(poller, due_at)
            return
        poller.in_flight = True
        poller.due_at = poller.acknowledge_at = math.inf
        poller.polled_seq = server.last_ended_seq
        poller.polled_at = now
        poller.client.poll(wait_s)

    def _schedule(self, poller: ServerPoller, due_at: float) -> None:
        if due_at < poller.due_at:
            poller.due_at = due_at
            heapq.heappush(
                self._due_pollers, (due_at, next(self._due_numbers), poller)
            )

    def handle_poll_result(
        self,
        server: zonetables.Server,
        result: orders_lib.PollResult,
        sent_at: float,
    ) -> None:
        """See `serverclient.Observer`."""
        if self._is_closed:
            return
        was_listed = server.runs_listed
        version = server.version
        restarted_at = server.restarted_at
        silent_since = server.unresponsive_since
        was_obeyed = self.placer.runs.is_obeyed
        now = clock.now()
        self.placer.runs.apply_poll(server, result, sent_at, now)
        if self.placer.runs.is_obeyed and not was_obeyed:
            self._dispatcher.zone_handover.record_first_answer(self.placer, now)
        poller = self._pollers.get(server.id)
        if poller is not None and server.restarted_at > restarted_at:
            # The poll in flight may take long to fail.
            poller.listing_sent_at = now
            poller.client.list_runs(now)
        if (
            silent_since is not None
            and poller is not None
            and poller.silence_logged_at >= silent_since
        ):
            self._dispatcher.log(
                events.Event.ZONE_SERVER_RESPONSIVE,
                server=server.id,
                silent_ms=zonetables.milliseconds(now - silent_since),
                runs=len(server.runs),
            )
        if server.version != version or server.runs_listed != was_listed:
            self._dispatcher.wake()

    def handle_poll_end(
        self, server: zonetables.Server, error: Exception | None
    ) -> None:
        """See `serverclient.Observer`."""
        poller = self._pollers.get(server.id)
        if self._is_closed or poller is None:
            return
        now = clock.now()
        poller.in_flight = False
        match error:
            case None:
                poller.retry_s = POLL_RETRY_S
                poller.not_before = 0.0
                has_restarted = server.has_restarted_since(poller.polled_at)
                is_outdated = (
                    has_restarted
                    or poller.polled_at < self.placer.runs.resumed_at
                )
                if not server.runs_listed and not is_outdated:
                    poller.not_before = now + UNANNOUNCED_POLL_INTERVAL_S
                if (
                    server.last_ended_seq == poller.polled_seq
                    and not has_restarted
                ):
                    server.must_acknowledge = False
            case serverclient.OutdatedError():
                poller.retry_s = POLL_RETRY_S
                poller.not_before = 0.0
            case serverclient.FencedError():
                self._handle_fencing(server)
                poller.not_before = now + FENCED_POLL_RETRY_S
            case _:
                if self._record_poll_failure(poller, error, poller.polled_at):
                    if poller.retry_s == POLL_RETRY_S:
                        poller.client.list_runs(now)  # probe it at once
                    poller.not_before = now + poller.retry_s
                    poller.retry_s = min(poller.retry_s * 2, POLL_RETRY_MAX_S)
                else:
                    poller.not_before = 0.0
        self._poll_if_due(poller, now)

    def _record_poll_failure(
        self, poller: ServerPoller, error: Exception, polled_at: float
    ) -> bool:
        """Records that a poll failed; returns whether its server is silent."""
        server = poller.client.server
        now = clock.now()
        sent_at = None
        if isinstance(error, serverclient.UnansweredError):
            sent_at = polled_at
        if not self.placer.runs.record_poll_timeout(server, now, sent_at):
            return False
        match error:
            case serverclient.ReplacedError():
                self.placer.runs.record_replacement(server, now)
                self._dispatcher.wake()
            case serverclient.RefusedError():
                self.placer.runs.crashes.record(server, "refused", now)
                self._dispatcher.wake()
        if now - poller.silence_logged_at < SILENCE_LOG_INTERVAL_S:
            return True
        poller.silence_logged_at = now
        self._dispatcher.log(
            events.Event.ZONE_SERVER_SILENT,
            server=server.id,
            reason=str(error),
            silent_ms=zonetables.milliseconds(now - server.unresponsive_since),
            runs=len(server.runs),
            lease_left_ms=zonetables.milliseconds(
                max(0.0, server.lease_until - now)
            ),
        )
        return True

    def handle_fenced(self, server: zonetables.Server) -> None:
        """See `serverclient.Observer`."""
        if not self._is_closed:
            self._handle_fencing(server)

    def _handle_fencing(self, server: zonetables.Server) -> None:
        self.is_fenced = True
        self.placer.runs.handle_lost_ownership(server, clock.now())
        self._dispatcher.wake()

    def close(self) -> None:
        """Stops issuing orders and hands all jobs back to their origins.

        Runs continue; the next placer lists them.
        """
        self._is_closed = True
        for poller in self._pollers.values():
            poller.client.close()
        for job in self.placer.tables.jobs.values():
            for origin in job.origins:
                origin.post(messages.JobVerdict(job.id, "resigned", "", 0.0))


def new_placer_host(dispatcher, epoch: int, nursery: trio.Nursery, now: float):
    """Creates the placer of the dispatcher's zone and its host."""
    settings = dispatcher.settings.placement
    lease_times = leases.LeaseTimes(settings.lease_ms / 1000)
    placer = placer_lib.new_placer(
        dispatcher.zone, settings.late_share, now, lease_times, settings.policy
    )
    placer.runs.is_list_current = False
    placer.runs.list_sent_at = -math.inf
    placer.runs.awaits_list = (
        now - dispatcher.store_reader.servers_read_at
        > dispatcher.store_reader.removal_delay_s
    )
    placer.runs.unknown_before = _unknown_before(
        dispatcher.store_reader, lease_times
    )
    placer.tables.remote_jobs.update(dispatcher.job_sharing.remote_jobs)
    placer.tables.losses = dispatcher.job_sharing.losses
    placer.tables.fates = dispatcher.fate_sharing.fates
    return PlacerHost(placer, epoch, dispatcher=dispatcher, nursery=nursery)


def _unknown_before(store_reader, lease_times: leases.LeaseTimes) -> float:
    """Returns the time before which jobs may have unknown runs.

    These run on servers that have left the list, or that the first list lacked.
    """
    return (
        store_reader.server_removed_at
        + store_reader.removal_delay_s
        + lease_times.max_lease_s
    )


def encode_submission(
    submission: placer_lib.Submission,
) -> messages.SubmitJob:
    """Returns the message that submits a job to a placer."""
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
        submission.config_version,
        submission.joins_only,
    )


def decode_submission(
    message: messages.SubmitJob,
) -> placer_lib.Submission:
    """Returns the submission that a message contains.

    Raises:
        errors.PeerError: A number is out of its range.
    """
    numbers = (
        message.stretch,
        message.target_latency_s,
        message.estimate_s,
        message.age_s,
    )
    if not all(0 <= n <= MAX_NUMBER for n in numbers) or not (
        abs(message.left_s) <= MAX_NUMBER
        and 1 <= message.count <= MAX_TASKS
        and message.handovers <= MAX_HANDOVERS
    ):
        raise errors.PeerError(
            f"submission of {message.job_id} has a number out of range"
        )
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
        message.config_version,
        message.joins_only,
    )
