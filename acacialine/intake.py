"""Open requests of clients and the placers that run their jobs.

A dispatcher keeps each request until it is answered and hands its job over to
one placer at a time. If that placer is lost, its runs of the job may continue.
The job then goes only to the placer's successor, which lists these runs, or
waits until all their leases have expired.
"""

import collections.abc
import enum
import math

import attrs

from acacialine import cancellations as cancellations_lib
from acacialine import evacuation
from acacialine import events
from acacialine import jobfates
from acacialine import leases
from acacialine import placer as placer_lib
from acacialine import zonebalance
from acacialine import zonetables

DEADLINE_MARGIN_S = 0.04  # for the answer to reach its client in time
# The placer gets an earlier deadline, so that it can report what ran.
PLACER_MARGIN_S = 0.02
# How long a request waits for a placer of the local zone before it is handed
# over to another zone.
LOCAL_PLACER_WAIT_S = 0.25
# A job of any size may be spilled to a zone with this many free slots.
SPILL_FREE_SLOTS = 4
# With balancing, other zones that a job may try after refusals.
MAX_OTHER_ZONES = 2
REPORT_MAX_AGE_S = 1.5  # older reports of free slots are ignored
DEFAULT_RETRY_AFTER_S = 1.0  # if no placer predicts when slots become free
# All placers must have confirmed a kept job by then, else it is cancelled.
KEEP_CONFIRM_TIMEOUT_S = 0.2
# A cancellation is lost if its placer is lost within this time.
CANCEL_SETTLED_S = 1.0


class AnswerKind(enum.Enum):
    """Outcome of a request, as its client is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Answer:
    """The answer to one request."""

    kind: AnswerKind
    reason: str
    retry_after_s: float = 0.0


@attrs.frozen
class PlacerInfo:
    """A reachable placer.

    Attributes:
        peer_id: Incarnation of its dispatcher, which may be this one.
        epoch: Epoch of its claim to the zone.
        free_tasks: How many tasks it can start now, as it last reported.
        reported_at: When its newest heartbeat, which reports that, arrived.
    """

    peer_id: str
    zone: str
    epoch: int
    free_tasks: int
    reported_at: float


@attrs.frozen
class LostPlacer:
    """A placer that was lost and whose runs of a job may continue.

    Attributes:
        epoch: Epoch of its claim; 0 if it is not known.
        lost_at: When it was lost.
    """

    zone: str
    epoch: int
    lost_at: float


@attrs.define(eq=False)
class Request:
    """One job that clients of this dispatcher wait for.

    Attributes:
        submission: The job as received; a placer gets it with its current
            age, remaining time and handovers.
        callbacks: Called once with the answer, one for each waiting client.
        placer: The placer that has it now; None if none has.
        lost_placer: The last placer that was lost, or the one to which it was
            redirected; None if neither happened.
        handovers: How many earlier placers may have started tasks of it.
        was_spilled: Whether it was sent to another zone for lack of slots.
        not_before: Earliest time of the next handover.
        refused_zones: Zones that refused it because they are evacuated.
        full_zones: Zones that refused it for lack of capacity; only recorded
            while demand is balanced between zones.
    """

    submission: placer_lib.Submission
    received_at: float
    deadline_at: float
    callbacks: list[collections.abc.Callable[[Answer], None]]
    placer: PlacerInfo | None = None
    lost_placer: LostPlacer | None = None
    handovers: int = 0
    was_spilled: bool = False
    not_before: float = 0.0
    refused_zones: frozenset[str] = frozenset()
    full_zones: frozenset[str] = frozenset()


@attrs.define(eq=False)
class KeptJob:
    """A job that runs on after its clients were answered 504.

    Its client may send it again to any zone, so its placer may renew its leases
    only once the placers of all other zones know of it.

    Attributes:
        placer: The placer that runs it.
        others: The placers of the other zones, by zone.
        unconfirmed: Zones whose placers have not confirmed that they know.
        confirm_until: When all must have confirmed.
        until: When its placer ends it.
    """

    placer: PlacerInfo
    others: dict[str, PlacerInfo]
    unconfirmed: set[str]
    confirm_until: float
    until: float


@attrs.frozen
class CancelledJob:
    """A job whose cancellation was sent to its placer a short time ago."""

    placer: PlacerInfo
    cancelled_at: float


@attrs.frozen
class HandOverJob:
    """Order to send a job to a placer."""

    placer: PlacerInfo
    submission: placer_lib.Submission


@attrs.frozen
class CancelJob:
    """Order to cancel a job at a placer."""

    peer_id: str
    job_id: str
    reason: str


@attrs.frozen
class KeepJob:
    """Order to tell a placer that the clients of its job were answered 504.

    Attributes:
        is_confirmed: Whether all zones know of the job, so that its placer may
            keep it running past its deadline.
    """

    peer_id: str
    job_id: str
    is_confirmed: bool


@attrs.frozen
class AnnounceKeptJob:
    """Order to tell a placer which other zone may run a job."""

    peer_id: str
    job_id: str
    zone: str


@attrs.frozen
class CountMove:
    """Order to count a job that goes to another zone.

    Attributes:
        age_s: Age of the summary by which it was chosen; None without one.
    """

    zone: str
    reason: str
    age_s: float | None


@attrs.frozen
class LogEvent:
    """Order to log an event."""

    event: events.Event
    fields: dict


@attrs.define(eq=False)
class Intake:
    """The open requests of one dispatcher.

    Decides what happens to them; its dispatcher executes the orders from
    `take_orders`.

    Attributes:
        zone: The availability zone of this dispatcher.
        requests: The open requests by job id.
        placers: The reachable placers by zone.
        zones: The zones that have dispatchers, reachable or not; empty if
            not known yet.
        evacuated_zones: The zones that start no tasks, as they are evacuated.
        lease_times: Times that follow from the length of the leases.
        fates: How jobs ended that this dispatcher knows of.
        cancellations: Cancellations that placers are being told of.
        balancer: Chooses zones by their summaries; None if demand is not
            balanced between zones.
    """

    zone: str
    requests: dict[str, Request] = attrs.field(factory=dict)
    placers: dict[str, PlacerInfo] = attrs.field(factory=dict)
    zones: frozenset[str] = frozenset()
    evacuated_zones: frozenset[str] = frozenset()
    lease_times: leases.LeaseTimes = attrs.field(factory=leases.LeaseTimes)
    fates: jobfates.JobFates = attrs.field(factory=jobfates.JobFates)
    cancellations: cancellations_lib.Cancellations = attrs.field(init=False)
    balancer: zonebalance.Balancer | None = None
    _orders: list = attrs.field(factory=list)
    _kept_jobs: dict[str, KeptJob] = attrs.field(factory=dict)
    _cancelled_jobs: dict[str, CancelledJob] = attrs.field(factory=dict)
    _unsettled_jobs: dict[str, LostPlacer] = attrs.field(factory=dict)
    _spilled_tasks: dict[str, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.cancellations = cancellations_lib.Cancellations(
            lambda order: self._orders.append(order), self._log
        )

    @property
    def is_busy(self) -> bool:
        """Whether a tick may be due soon."""
        return bool(self.requests or self._kept_jobs or self.cancellations)

    @property
    def has_waiting_clients(self) -> bool:
        """Whether a client waits for an answer."""
        return bool(self.requests) or self.cancellations.has_waiting_clients

    def take_orders(self) -> list:
        """Returns and clears the orders that the dispatcher is to execute."""
        taken, self._orders = self._orders, []
        return taken

    def receive(
        self,
        submission: placer_lib.Submission,
        notify: collections.abc.Callable[[Answer], None],
        now: float,
        not_before: float = 0.0,
    ) -> None:
        """Adds a request; a repeated one joins the open request of its job.

        If the job has ended, it is answered as before. One that was cancelled
        may have run in part, so it is not refused as not run.

        Args:
            submission: The job.
            notify: Called once with the answer.
            now: The time.
            not_before: Earliest time of its handover to a placer.
        """
        request = self.requests.get(submission.job_id)
        if request is not None:
            request.callbacks.append(notify)
            self._log(events.Event.REQUEST_JOINED, job=submission.job_id)
            self._follow_newer_queue(request, submission, now)
            return
        fate = self.fates.get(submission.job_id)
        if fate is not None:
            self._repeat_answer(submission.job_id, fate, notify)
            return
        deadline_at = now + submission.left_s - DEADLINE_MARGIN_S
        request = Request(
            submission, now, deadline_at, [notify], not_before=not_before
        )
        self.requests[submission.job_id] = request
        # If its placer keeps the job, it goes on for this request.
        self._kept_jobs.pop(submission.job_id, None)
        unsettled = self._unsettled_jobs.pop(submission.job_id, None)
        if unsettled is not None:
            request.handovers = 1
            request.lost_placer = unsettled

    def _follow_newer_queue(
        self, request: Request, submission: placer_lib.Submission, now: float
    ) -> None:
        """Moves an open request to the queue of a newer configuration."""
        known = request.submission
        if submission.config_version <= known.config_version:
            return
        request.submission = attrs.evolve(
            known,
            queue=submission.queue,
            config_version=submission.config_version,
        )
        if request.placer is not None and submission.queue != known.queue:
            self._submit(request, now, joins_only=True)

    def _repeat_answer(
        self,
        job_id: str,
        fate: jobfates.Fate,
        notify: collections.abc.Callable[[Answer], None],
    ) -> None:
        """Answers a request whose job has ended."""
        self._log(events.Event.REQUEST_REPEATED, job=job_id, fate=fate.value)
        match fate:
            case jobfates.Fate.COMPLETED:
                notify(Answer(AnswerKind.COMPLETED, "answered"))
            case jobfates.Fate.FAILED:
                notify(Answer(AnswerKind.FAILED, "answered"))
            case jobfates.Fate.CANCELLED:
                notify(Answer(AnswerKind.FAILED, "cancelled"))

    def remove_client(
        self,
        job_id: str,
        notify: collections.abc.Callable[[Answer], None],
        now: float,
    ) -> None:
        """Removes a client that left; cancels its job if no other waits."""
        request = self.requests.get(job_id)
        if request is None or notify not in request.callbacks:
            return
        request.callbacks.remove(notify)
        if not request.callbacks:
            self._cancel_at_placer(request, "caller left", now)
            self._record_if_unsettled(request)
            self._announce_spilled_job(request)
            self._log(
                events.Event.REQUEST_ABANDONED,
                job=job_id,
                age_ms=round((now - request.received_at) * 1000),
            )
            del self.requests[job_id]

    def _announce_spilled_job(self, request: Request) -> None:
        """Tells the local placer where a job ran whose clients have left.

        Otherwise it would treat the job as one that never ran if the client
        sends it again. While the zone is evacuated or demand is balanced, the
        job may go to any other zone then, so their placers are told too.
        """
        assigned = request.placer
        if assigned is None or assigned.zone == self.zone:
            return
        may_go_anywhere = self.balancer is not None or self._is_evacuated(
            request, self.zone
        )
        for zone, placer in self.placers.items():
            if zone == self.zone or (may_go_anywhere and zone != assigned.zone):
                self._orders.append(
                    AnnounceKeptJob(
                        placer.peer_id,
                        request.submission.job_id,
                        assigned.zone,
                    )
                )

    def cancel_for_all(
        self,
        job_id: str,
        notify: collections.abc.Callable[[cancellations_lib.Outcome], None],
        now: float,
    ) -> None:
        """Cancels a job wherever it is open, as a client asks.

        Args:
            job_id: The job.
            notify: Called once with the outcome: at once if the job is open
                here, else when the placers have replied.
            now: The current time.
        """
        self.fates.record(job_id, jobfates.Fate.CANCELLED, now)
        was_open = self.cancel(job_id, now)
        self.cancellations.add(job_id, was_open, notify, now)

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancels a job that is open here; returns whether it was."""
        request = self.requests.get(job_id)
        if request is None:
            return False
        self._cancel_at_placer(request, "cancelled", now)
        kind = AnswerKind.FAILED
        if request.placer is None and not request.handovers:
            kind = AnswerKind.NOT_RUN
        answer = Answer(kind, "cancelled", DEFAULT_RETRY_AFTER_S)
        self._answer(request, answer, now)
        return True

    def update_placers(
        self, placers: dict[str, PlacerInfo], now: float
    ) -> None:
        """Replaces the reachable placers, by zone.

        A request loses its placer when that one is no longer among them.
        """
        for request in self.requests.values():
            assigned = request.placer
            if assigned is None:
                continue
            if not is_same_placer(assigned, placers.get(assigned.zone)):
                self._record_placer_loss(request, now)
        self._update_unsettled_jobs(placers, now)
        # A newer report of a zone already counts the tasks spilled there.
        self._spilled_tasks = {
            zone: count
            for zone, count in self._spilled_tasks.items()
            if zone in placers
            and zone in self.placers
            and placers[zone].reported_at == self.placers[zone].reported_at
        }
        self.placers = placers
        self.cancellations.update_placers(
            {zone: (p.peer_id, p.epoch) for zone, p in placers.items()},
            self.zones,
            now,
        )

    def _update_unsettled_jobs(
        self, placers: dict[str, PlacerInfo], now: float
    ) -> None:
        """Tells new placers of the unsettled jobs, and drops settled ones."""
        for job_id, cancelled in list(self._cancelled_jobs.items()):
            placer = cancelled.placer
            if now - cancelled.cancelled_at > CANCEL_SETTLED_S:
                del self._cancelled_jobs[job_id]
            elif not is_same_placer(placer, placers.get(placer.zone)):
                del self._cancelled_jobs[job_id]
                lost = LostPlacer(placer.zone, placer.epoch, now)
                self._record_unsettled(job_id, lost)
        for job_id, unsettled in list(self._unsettled_jobs.items()):
            if now - unsettled.lost_at > self.lease_times.lost_owner_s:
                del self._unsettled_jobs[job_id]
        for zone, placer in placers.items():
            if is_same_placer(placer, self.placers.get(zone)):
                continue
            for job_id, unsettled in self._unsettled_jobs.items():
                self._orders.append(
                    AnnounceKeptJob(placer.peer_id, job_id, unsettled.zone)
                )

    def _record_if_unsettled(self, request: Request) -> None:
        """Records the job of an ended request that no placer has."""
        if request.placer is None and request.lost_placer is not None:
            self._record_unsettled(
                request.submission.job_id, request.lost_placer
            )

    def _record_unsettled(self, job_id: str, lost: LostPlacer) -> None:
        """Tells all placers where runs of a job may continue.

        Its client may send it again to any of them.
        """
        self._unsettled_jobs[job_id] = lost
        for placer in self.placers.values():
            self._orders.append(
                AnnounceKeptJob(placer.peer_id, job_id, lost.zone)
            )

    def _record_placer_loss(self, request: Request, now: float) -> None:
        """Separates a request from a placer that may have started its tasks."""
        lost = request.placer
        self._orders.append(
            CancelJob(lost.peer_id, request.submission.job_id, "handed on")
        )
        self._log(
            events.Event.REQUEST_TARGET_LOST,
            job=request.submission.job_id,
            placer=lost.peer_id,
            epoch=lost.epoch,
            age_ms=round((now - request.received_at) * 1000),
        )
        request.placer = None
        request.handovers += 1
        request.lost_placer = LostPlacer(lost.zone, lost.epoch, now)

    def tick(self, now: float) -> None:
        """Answers expired requests and hands over those without a placer.

        Also cancels kept jobs that a zone may not know of.
        """
        for job_id in list(self._kept_jobs):
            self._check_kept_job(job_id, now)
        self.cancellations.tick(now)
        for request in list(self.requests.values()):
            if now >= request.deadline_at:
                self._expire(request, now)
            elif request.placer is None and now >= request.not_before:
                self._hand_over(request, now)

    def answer_all(self, now: float) -> None:
        """Answers all clients that wait, as this dispatcher is about to exit.

        Jobs of which a task may have started end now, before their clients
        send them again.
        """
        self.cancellations.end_all(now)
        for request in list(self.requests.values()):
            kind = AnswerKind.UNKNOWN
            if request.placer is None and not request.handovers:
                kind = AnswerKind.NOT_RUN
            self._cancel_at_placer(request, "stopping", now)
            self._record_if_unsettled(request)
            self._announce_spilled_job(request)
            self._answer(
                request, Answer(kind, "stopping", DEFAULT_RETRY_AFTER_S), now
            )

    def _expire(self, request: Request, now: float) -> None:
        """Answers a request whose deadline has passed."""
        if request.placer is None and not request.handovers:
            answer = Answer(
                AnswerKind.NOT_RUN, "no placer in time", DEFAULT_RETRY_AFTER_S
            )
        else:
            self._keep_running(request, now)
            answer = Answer(AnswerKind.UNKNOWN, "deadline")
        self._answer(request, answer, now)

    def _keep_running(self, request: Request, now: float) -> None:
        """Keeps an expired job running for the client's retry after a 504.

        The retry may arrive in any zone and would run the job a second time
        if that zone did not know of it. The job is cancelled unless all zones
        are known and their placers confirm in time that they know of it.
        """
        assigned = request.placer
        if assigned is None:
            self._record_if_unsettled(request)
            return
        if not self.zones or not self.zones <= self.placers.keys():
            self._cancel_at_placer(request, "deadline", now)
            return
        job_id = request.submission.job_id
        self._orders.append(KeepJob(assigned.peer_id, job_id, False))
        others = {
            zone: placer
            for zone, placer in self.placers.items()
            if zone != assigned.zone
        }
        for placer in others.values():
            self._orders.append(
                AnnounceKeptJob(placer.peer_id, job_id, assigned.zone)
            )
        self._kept_jobs[job_id] = KeptJob(
            assigned,
            others,
            set(others),
            now + KEEP_CONFIRM_TIMEOUT_S,
            now + placer_lib.KEPT_JOB_S,
        )
        self._keep_if_confirmed(job_id)

    def confirm_kept_job(self, peer_id: str, job_id: str) -> None:
        """Records that a placer of another zone knows of a kept job."""
        kept = self._kept_jobs.get(job_id)
        if kept is None or not kept.unconfirmed:
            return
        kept.unconfirmed -= {
            zone for zone, p in kept.others.items() if p.peer_id == peer_id
        }
        self._keep_if_confirmed(job_id)

    def _keep_if_confirmed(self, job_id: str) -> None:
        kept = self._kept_jobs[job_id]
        if not kept.unconfirmed:
            self._orders.append(KeepJob(kept.placer.peer_id, job_id, True))

    def _check_kept_job(self, job_id: str, now: float) -> None:
        """Cancels a kept job if the placer of another zone may not know of it.

        It may have lost the message, or another one may have taken over.
        """
        kept = self._kept_jobs[job_id]
        if now >= kept.until:
            del self._kept_jobs[job_id]
            return
        is_unknown = kept.unconfirmed and now >= kept.confirm_until
        if is_unknown or any(
            not is_same_placer(placer, self.placers.get(zone))
            for zone, placer in kept.others.items()
        ):
            del self._kept_jobs[job_id]
            self._orders.append(
                CancelJob(kept.placer.peer_id, job_id, "zone may not know")
            )

    def _hand_over(self, request: Request, now: float) -> None:
        """Hands a job over to a placer, if a suitable one is reachable.

        Until the leases of a lost placer have expired, only its successor is
        suitable.
        """
        local = self.placers.get(self.zone)
        lost = request.lost_placer
        any_zone_allowed = (
            lost is None or now - lost.lost_at > self.lease_times.lost_owner_s
        )
        if any_zone_allowed:
            if self._is_evacuated(request, self.zone):
                self._evacuate(request, DEFAULT_RETRY_AFTER_S, now)
            elif local is not None:
                if not self._move_surplus(request, now):
                    self._hand_over_to(request, local, now)
            elif now - request.received_at >= LOCAL_PLACER_WAIT_S:
                other = self._placer_with_free_slots(request, 0, now)
                if other is not None:
                    self._hand_over_to(request, other, now)
            return
        successor = self.placers.get(lost.zone)
        # A placer of an earlier epoch may have listed the servers before the
        # lost one started tasks there.
        if successor is not None and successor.epoch >= lost.epoch:
            self._hand_over_to(request, successor, now)

    def _demand(
        self, request: Request, now: float
    ) -> zonebalance.Demand | None:
        """Returns what a job needs; None if zones can't be compared for it."""
        if self.balancer is None:
            return None
        return zonebalance.new_demand(
            request.submission,
            now - request.received_at,
            request.deadline_at - now - PLACER_MARGIN_S,
        )

    def _move_surplus(self, request: Request, now: float) -> bool:
        """Sends a new job to another zone if its own can't end it in time.

        Returns:
            Whether it was sent. A job that any zone may have or had is not.
        """
        if request.handovers or request.was_spilled or request.full_zones:
            return False
        demand = self._demand(request, now)
        if demand is None:
            return False
        zones = self._other_placers(request, now).keys()
        choice = self.balancer.choose_first(demand, zones, now)
        if choice is None:
            return False
        self._record_move(request, choice.zone, "own_late", choice)
        self._hand_over_to(request, self.placers[choice.zone], now)
        return True

    def _record_move(
        self,
        request: Request,
        zone: str,
        reason: str,
        choice: zonebalance.Choice | None,
    ) -> None:
        """Logs and counts a job that goes to another zone."""
        fields = {"own_ms": -1, "there_ms": -1, "summary_age_ms": -1}
        if choice is not None:
            fields["there_ms"] = zonetables.milliseconds(choice.end_s)
            fields["summary_age_ms"] = zonetables.milliseconds(choice.age_s)
            if math.isfinite(choice.own_end_s):
                fields["own_ms"] = zonetables.milliseconds(choice.own_end_s)
        self._log(
            events.Event.REQUEST_MOVED,
            job=request.submission.job_id,
            queue=request.submission.queue.name,
            zone=zone,
            reason=reason,
            **fields,
        )
        self._orders.append(
            CountMove(zone, reason, choice.age_s if choice else None)
        )

    def _try_next_zone(self, request: Request, now: float) -> bool:
        """Sends a job that zones refused as full to the next one.

        It is the zone where it ends first by the summaries, else the one with
        the most free slots among those without a summary, else its own zone
        if that has not refused it yet.

        Returns:
            Whether there was one, within its time.
        """
        request.full_zones |= {request.placer.zone}
        left_s = request.deadline_at - now - PLACER_MARGIN_S
        if left_s < request.submission.step.estimate_s:
            return False
        placer = choice = None
        if len(request.full_zones - {self.zone}) < MAX_OTHER_ZONES:
            placer, choice = self._choose_after_refusal(request, now)
        if placer is None and not (
            self.zone in request.full_zones
            or self._is_evacuated(request, self.zone)
        ):
            placer = self.placers.get(self.zone)
        if placer is None:
            return False
        request.was_spilled = True
        self._count_spilled(placer.zone, request.submission.step.count)
        self._record_move(request, placer.zone, "refused", choice)
        self._hand_over_to(request, placer, now)
        return True

    def _choose_after_refusal(
        self, request: Request, now: float
    ) -> tuple[PlacerInfo | None, zonebalance.Choice | None]:
        """Returns the placer of another zone that has not refused a job."""
        zones = self._other_placers(request, now).keys() - request.full_zones
        summarized = frozenset()
        demand = self._demand(request, now)
        if demand is not None:
            choice = self.balancer.choose_after_refusal(demand, zones, now)
            if choice is not None:
                return self.placers[choice.zone], choice
            summarized = frozenset(
                zone for zone in zones if self.balancer.knows(zone, now)
            )
        placer = self._placer_with_free_slots(
            request,
            min(request.submission.step.count, SPILL_FREE_SLOTS),
            now,
            request.full_zones | summarized,
        )
        return placer, None

    def _is_evacuated(self, request: Request, zone: str) -> bool:
        """Returns whether a zone starts no task of a job."""
        return zone in self.evacuated_zones or zone in request.refused_zones

    def _evacuate(
        self, request: Request, retry_after_s: float, now: float
    ) -> None:
        """Hands a job over to another zone that is not evacuated.

        Without such a zone a job that has not run is answered at once; one of
        which a task may have started waits for a zone within its time.
        """
        count = request.submission.step.count
        free_slots = {
            zone: placer.free_tasks - self._spilled_tasks.get(zone, 0)
            for zone, placer in self._other_placers(request, now).items()
        }
        job_id = request.submission.job_id
        zone = evacuation.choose_zone(job_id, count, free_slots)
        if zone is not None:
            self._count_spilled(zone, count)
            self._hand_over_to(request, self.placers[zone], now)
        elif not request.handovers:
            kind = AnswerKind.NOT_RUN
            self._answer(
                request, Answer(kind, evacuation.REASON, retry_after_s), now
            )

    def _other_placers(
        self, request: Request, now: float
    ) -> dict[str, PlacerInfo]:
        """Returns the placers of the other zones that may take a job."""
        return {
            zone: placer
            for zone, placer in self.placers.items()
            if zone != self.zone
            and not self._is_evacuated(request, zone)
            and now - placer.reported_at <= REPORT_MAX_AGE_S
        }

    def _count_spilled(self, zone: str, count: int) -> None:
        """Counts tasks sent to a zone until its next report of free slots."""
        self._spilled_tasks[zone] = self._spilled_tasks.get(zone, 0) + count

    def _hand_over_to(
        self, request: Request, placer: PlacerInfo, now: float
    ) -> None:
        """Assigns a request to a placer and orders its job to be sent there."""
        request.placer = placer
        demand = self._demand(request, now)
        if demand is not None:
            self.balancer.promise(placer.zone, demand, now)
        submission = self._submit(request, now)
        self._log(
            events.Event.REQUEST_HANDED_OVER,
            job=submission.job_id,
            queue=submission.queue.name,
            placer=placer.peer_id,
            epoch=placer.epoch,
            zone=placer.zone,
            report_age_ms=round((now - placer.reported_at) * 1000),
            left_ms=round(submission.left_s * 1000),
            spilled=int(request.was_spilled),
        )

    def _submit(
        self, request: Request, now: float, joins_only: bool = False
    ) -> placer_lib.Submission:
        """Orders the job of a request to be sent to its placer."""
        submission = attrs.evolve(
            request.submission,
            age_s=now - request.received_at,
            left_s=request.deadline_at - now - PLACER_MARGIN_S,
            handovers=request.handovers,
            is_spilled=request.was_spilled,
            joins_only=joins_only,
        )
        self._orders.append(HandOverJob(request.placer, submission))
        return submission

    def receive_verdict(
        self,
        peer_id: str,
        job_id: str,
        verdict: str,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Handles a placer's verdict on a job; ignores other senders."""
        request = self.requests.get(job_id)
        if request is None or request.placer is None:
            return
        if request.placer.peer_id != peer_id:
            return
        match verdict:
            case zonetables.Verdict.COMPLETED.value:
                self._answer(request, Answer(AnswerKind.COMPLETED, reason), now)
            case zonetables.Verdict.FAILED.value:
                self._answer(request, Answer(AnswerKind.FAILED, reason), now)
            case zonetables.Verdict.NOT_RUN.value:
                self._handle_not_run(request, reason, retry_after_s, now)
            case zonetables.Verdict.ELSEWHERE.value:
                self._redirect(request, reason, now)
            case "resigned":
                # The placer may have started tasks; its successor lists them.
                self._record_placer_loss(request, now)
            case _:
                # "moved": the peer is no placer and has not taken the job.
                request.placer = None
                request.not_before = now + 0.01

    def _redirect(self, request: Request, zone: str, now: float) -> None:
        """Sends a job to the zone that may still run it."""
        self._log(
            events.Event.REQUEST_REDIRECTED,
            job=request.submission.job_id,
            zone=zone,
            age_ms=round((now - request.received_at) * 1000),
        )
        request.placer = None
        request.handovers += 1
        request.lost_placer = LostPlacer(zone, 0, now)
        self._hand_over(request, now)

    def _handle_not_run(
        self, request: Request, reason: str, retry_after_s: float, now: float
    ) -> None:
        """Spills a job that did not run to another zone, or answers it.

        A job is spilled at most once, if its placer was overloaded or cannot
        serve it and another zone has free slots; while demand is balanced
        between zones, at most MAX_OTHER_ZONES times. It may then still leave
        zones that are evacuated, each of them once.
        """
        if reason == evacuation.REASON:
            request.refused_zones |= {request.placer.zone}
            request.placer = None
            if request.was_spilled or self._is_evacuated(request, self.zone):
                self._evacuate(request, retry_after_s, now)
            else:
                self._hand_over(request, now)
            return
        is_full = reason in ("overloaded", "unservable")
        if self.balancer is not None:
            if is_full and self._try_next_zone(request, now):
                return
        elif not request.was_spilled and is_full:
            count = request.submission.step.count
            other = self._placer_with_free_slots(
                request, min(count, SPILL_FREE_SLOTS), now
            )
            if other is not None:
                request.was_spilled = True
                self._count_spilled(other.zone, count)
                self._hand_over_to(request, other, now)
                return
        kind = AnswerKind.NOT_RUN
        self._answer(request, Answer(kind, reason, retry_after_s), now)

    def _placer_with_free_slots(
        self,
        request: Request,
        min_free_slots: int,
        now: float,
        excluded_zones: frozenset[str] = frozenset(),
    ) -> PlacerInfo | None:
        """Returns the placer of another zone with the most free slots.

        Tasks that were spilled there are subtracted from its report. Returns
        None if no zone that is not evacuated has `min_free_slots`.
        """
        best = None
        best_free_slots = min_free_slots - 1
        for zone, placer in self._other_placers(request, now).items():
            if zone in excluded_zones:
                continue
            free_slots = placer.free_tasks - self._spilled_tasks.get(zone, 0)
            if free_slots > best_free_slots:
                best, best_free_slots = placer, free_slots
        return best

    def _cancel_at_placer(
        self, request: Request, reason: str, now: float
    ) -> None:
        if request.placer is not None:
            self._cancelled_jobs[request.submission.job_id] = CancelledJob(
                request.placer, now
            )
            self._orders.append(
                CancelJob(
                    request.placer.peer_id, request.submission.job_id, reason
                )
            )

    def _answer(self, request: Request, answer: Answer, now: float) -> None:
        """Removes a request and passes the answer to its clients."""
        job_id = request.submission.job_id
        self.requests.pop(job_id, None)
        match answer.kind:
            case AnswerKind.COMPLETED:
                self.fates.record(job_id, jobfates.Fate.COMPLETED, now)
            case AnswerKind.FAILED:
                self.fates.record(job_id, jobfates.Fate.FAILED, now)
        for notify in request.callbacks:
            notify(answer)

    def _log(self, event: events.Event, **fields) -> None:
        self._orders.append(LogEvent(event, fields))


def is_same_placer(first: PlacerInfo, second: PlacerInfo | None) -> bool:
    """Returns whether both are the same claim of the same dispatcher."""
    return second is not None and (first.peer_id, first.epoch) == (
        second.peer_id,
        second.epoch,
    )
