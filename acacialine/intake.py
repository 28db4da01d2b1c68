"""Requests of callers on their way to a placer and back.

An entry keeps each request until it has an answer and hands its job to one
placer at a time. A job that may still run at a placer which was lost goes
only to that placer's successor, which sees its runs, or waits until every
lease of it has lapsed.
"""

import collections.abc
import enum

import attrs

from acacialine import events
from acacialine import placer as placer_lib
from acacialine import zoneruns
from acacialine import zonetables

DEADLINE_MARGIN_S = 0.04  # for the answer to reach its caller in time
PLACER_MARGIN_S = 0.02  # the placer gives up first and says what ran
NO_PLACER_WAIT_S = 0.25  # for a placer of the own zone before another zone
SPILL_PLACES = 4  # free places that make another zone worth a try
REPORT_FRESH_S = 1.5  # age up to which another zone's room counts
RETRY_AFTER_S = 1.0  # where no placer says when room is expected


class AnswerKind(enum.Enum):
    """What a caller is told."""

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
class Target:
    """A placer that can take jobs.

    Attributes:
        peer_id: The entry; the own id for this one.
        epoch: Its claim.
        free_tasks: Places that it reported.
        reported_at: When it did.
    """

    peer_id: str
    zone: str
    epoch: int
    free_tasks: int
    reported_at: float


@attrs.define(eq=False)
class Request:
    """One job that callers wait for at this entry.

    Attributes:
        target: The placer that has it now.
        lost_at: When the placer that had it was lost; None if none was.
        handed_before: Whether any placer may have started a task of it.
        notify: Called once with the answer.
    """

    submission: placer_lib.Submission
    received_at: float
    deadline_at: float
    notify: list[collections.abc.Callable[[Answer], None]]
    target: Target | None = None
    lost_at: float | None = None
    lost_zone: str = ""
    handovers: int = 0
    was_spilled: bool = False
    not_before: float = 0.0


@attrs.frozen
class HandOver:
    """Order: send a job to a placer."""

    target: Target
    submission: placer_lib.Submission


@attrs.frozen
class Withdraw:
    """Order: tell a placer that nobody waits for a job any more."""

    peer_id: str
    job_id: str
    reason: str


@attrs.frozen
class Keep:
    """Order: let a job run on at its placer after its deadline."""

    peer_id: str
    job_id: str


@attrs.frozen
class Announce:
    """Order: tell a placer which zone runs a job on."""

    peer_id: str
    job_id: str
    zone: str


@attrs.frozen
class Log:
    """Order: write one line."""

    event: events.Event
    fields: dict


@attrs.define(eq=False)
class Intake:
    """The open requests of one entry.

    Attributes:
        targets: The placer of each zone that can be reached.
        zones: The zones that have entries, reachable or not.
    """

    zone: str
    requests: dict[str, Request] = attrs.field(factory=dict)
    targets: dict[str, Target] = attrs.field(factory=dict)
    zones: frozenset[str] = frozenset()
    _orders: list = attrs.field(factory=list)
    _spilled: dict[str, int] = attrs.field(factory=dict)

    def take_orders(self) -> list:
        """Returns the orders collected since the last call."""
        taken, self._orders = self._orders, []
        return taken

    def receive(
        self,
        submission: placer_lib.Submission,
        notify: collections.abc.Callable[[Answer], None],
        now: float,
    ) -> None:
        """Takes in a request; the same job again joins the first one."""
        request = self.requests.get(submission.job_id)
        if request is not None:
            request.notify.append(notify)
            self._log(events.Event.REQUEST_JOINED, job=submission.job_id)
            return
        deadline_at = now + submission.left_s - DEADLINE_MARGIN_S
        self.requests[submission.job_id] = Request(
            submission, now, deadline_at, [notify]
        )

    def leave(
        self,
        job_id: str,
        notify: collections.abc.Callable[[Answer], None],
    ) -> None:
        """A caller has left; its job ends when no other one waits."""
        request = self.requests.get(job_id)
        if request is None or notify not in request.notify:
            return
        request.notify.remove(notify)
        if not request.notify:
            self._withdraw(request, "caller left")
            self._log(events.Event.REQUEST_ABANDONED, job=job_id)
            del self.requests[job_id]

    def cancel(self, job_id: str) -> bool:
        """Cancels a job; returns whether it was known."""
        request = self.requests.get(job_id)
        if request is None:
            return False
        self._withdraw(request, "cancelled")
        kind = AnswerKind.FAILED
        if request.target is None and not request.handovers:
            kind = AnswerKind.NOT_RUN
        self._answer(request, Answer(kind, "cancelled", RETRY_AFTER_S))
        return True

    def update_targets(self, targets: dict[str, Target], now: float) -> None:
        """Takes in the present placer of each zone that can be reached."""
        for request in self.requests.values():
            held = request.target
            if held is None:
                continue
            present = targets.get(held.zone)
            if present is None or (present.peer_id, present.epoch) != (
                held.peer_id,
                held.epoch,
            ):
                self._lose_target(request, now)
        self.targets = targets
        self._spilled = {
            zone: count
            for zone, count in self._spilled.items()
            if zone in targets
            and targets[zone].reported_at == self._reported(zone)
        }

    def _reported(self, zone: str) -> float:
        target = self.targets.get(zone)
        return target.reported_at if target else 0.0

    def _lose_target(self, request: Request, now: float) -> None:
        held = request.target
        self._orders.append(
            Withdraw(held.peer_id, request.submission.job_id, "handed on")
        )
        self._log(
            events.Event.REQUEST_TARGET_LOST,
            job=request.submission.job_id,
            placer=held.peer_id,
            epoch=held.epoch,
            age_ms=round((now - request.received_at) * 1000),
        )
        request.target = None
        request.handovers += 1
        request.lost_at = now
        request.lost_zone = held.zone

    def tick(self, now: float) -> None:
        """Answers what is over time and hands over what has no placer."""
        for request in list(self.requests.values()):
            if now >= request.deadline_at:
                self._expire(request)
            elif request.target is None and now >= request.not_before:
                self._hand_over(request, now)

    def _expire(self, request: Request) -> None:
        if request.target is None and not request.handovers:
            answer = Answer(
                AnswerKind.NOT_RUN, "no placer in time", RETRY_AFTER_S
            )
        else:
            self._let_run_on(request)
            answer = Answer(AnswerKind.UNKNOWN, "deadline")
        self._answer(request, answer)

    def _let_run_on(self, request: Request) -> None:
        """Keeps what runs for the caller, who asks again after a 504.

        The next try may come to any zone. It must find the job, or run it
        a second time beside the first; so without a word to all zones the
        runs are stopped.
        """
        held = request.target
        if held is None:
            return
        if not self.zones <= self.targets.keys():
            self._withdraw(request, "deadline")
            return
        job_id = request.submission.job_id
        self._orders.append(Keep(held.peer_id, job_id))
        for target in self.targets.values():
            if target.zone != held.zone:
                self._orders.append(Announce(target.peer_id, job_id, held.zone))

    def _hand_over(self, request: Request, now: float) -> None:
        own = self.targets.get(self.zone)
        lapsed = (
            request.lost_at is None
            or now - request.lost_at > zoneruns.UNOWNED_S
        )
        if lapsed:
            if own is not None:
                self._send(request, own, now)
            elif now - request.received_at >= NO_PLACER_WAIT_S:
                other = self._zone_with_room(0, now)
                if other is not None:
                    self._send(request, other, now)
            return
        successor = self.targets.get(request.lost_zone)
        if successor is not None:
            self._send(request, successor, now)

    def _send(self, request: Request, target: Target, now: float) -> None:
        request.target = target
        submission = attrs.evolve(
            request.submission,
            age_s=now - request.received_at,
            left_s=request.deadline_at - now - PLACER_MARGIN_S,
            handovers=request.handovers,
            is_spilled=request.was_spilled,
        )
        self._orders.append(HandOver(target, submission))
        self._log(
            events.Event.REQUEST_HANDED_OVER,
            job=submission.job_id,
            queue=submission.queue.name,
            placer=target.peer_id,
            epoch=target.epoch,
            zone=target.zone,
            report_age_ms=round((now - target.reported_at) * 1000),
            left_ms=round(submission.left_s * 1000),
            spilled=int(request.was_spilled),
        )

    def verdict(
        self,
        peer_id: str,
        job_id: str,
        verdict: str,
        reason: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Takes in what a placer says of a job."""
        request = self.requests.get(job_id)
        if request is None or request.target is None:
            return
        if request.target.peer_id != peer_id:
            return
        match verdict:
            case zonetables.Verdict.COMPLETED.value:
                self._answer(request, Answer(AnswerKind.COMPLETED, reason))
            case zonetables.Verdict.FAILED.value:
                self._answer(request, Answer(AnswerKind.FAILED, reason))
            case zonetables.Verdict.NOT_RUN.value:
                self._not_run(request, reason, retry_after_s, now)
            case zonetables.Verdict.ELSEWHERE.value:
                self._redirect(request, reason, now)
            case "resigned":
                # Its orders may have started tasks; its successor sees them.
                self._lose_target(request, now)
            case _:
                # It is not the placer any more and has not taken the job.
                request.target = None
                request.not_before = now + 0.01

    def _redirect(self, request: Request, zone: str, now: float) -> None:
        """Sends a job to the zone that may still run it."""
        self._log(
            events.Event.REQUEST_REDIRECTED,
            job=request.submission.job_id,
            zone=zone,
            age_ms=round((now - request.received_at) * 1000),
        )
        request.target = None
        request.handovers += 1
        request.lost_at = now
        request.lost_zone = zone
        self._hand_over(request, now)

    def _not_run(
        self, request: Request, reason: str, retry_after_s: float, now: float
    ) -> None:
        if not request.was_spilled and reason in ("overloaded", "unservable"):
            count = request.submission.step.count
            other = self._zone_with_room(min(count, SPILL_PLACES), now)
            if other is not None:
                request.was_spilled = True
                spilled = self._spilled.get(other.zone, 0)
                self._spilled[other.zone] = spilled + count
                self._send(request, other, now)
                return
        kind = AnswerKind.NOT_RUN
        self._answer(request, Answer(kind, reason, retry_after_s))

    def _zone_with_room(self, count: int, now: float) -> Target | None:
        """Returns the placer of another zone with the most room."""
        best = None
        best_room = count - 1
        for zone, target in self.targets.items():
            if zone == self.zone:
                continue
            if now - target.reported_at > REPORT_FRESH_S:
                continue
            room = target.free_tasks - self._spilled.get(zone, 0)
            if room > best_room:
                best, best_room = target, room
        return best

    def _withdraw(self, request: Request, reason: str) -> None:
        if request.target is not None:
            self._orders.append(
                Withdraw(
                    request.target.peer_id, request.submission.job_id, reason
                )
            )

    def _answer(self, request: Request, answer: Answer) -> None:
        self.requests.pop(request.submission.job_id, None)
        for notify in request.notify:
            notify(answer)

    def _log(self, event: events.Event, **fields) -> None:
        self._orders.append(Log(event, fields))
