"""The core of an entry: events go in, one tick decides, actions come out.

Each tick is a fixed sequence of systems over the tables. Nothing here does
input or output; the shell in `entry` does.
"""

import math

import attrs

from acacialine import actions
from acacialine import admission
from acacialine import asks
from acacialine import attempts
from acacialine import broker
from acacialine import errors
from acacialine import ids
from acacialine import membership
from acacialine import messages
from acacialine import platforms
from acacialine import queues
from acacialine import random_dispatch
from acacialine import slots
from acacialine import submissions
from acacialine import tables as tables_lib

PAUSE_SHARE = 0.5  # part of the detection time that counts as a pause


@attrs.define(eq=False)
class Core:
    """The decisions of one entry over its tables."""

    tables: tables_lib.Tables

    def tick(self, now: float) -> list[actions.Action]:
        """Runs every system once and returns what is to be done."""
        tables = self.tables
        tables.starts_last_tick = 0
        self._check_pause(now)
        attempts.run_deadlines(tables, now)
        queues.run_delayed(tables, now)
        slots.run_leases(tables, now)
        membership.run_detection(tables, now)
        submissions.run_epochs(tables, now)
        self._place(now)
        membership.run_heartbeats(tables, now)
        asks.send_releases(tables, now)
        tables.last_tick_at = now
        return self.take_actions()

    def _check_pause(self, now: float) -> None:
        limit_s = self.tables.settings.membership.dead_ms / 1000
        gap_s = now - self.tables.last_tick_at
        if gap_s > limit_s * PAUSE_SHARE:
            membership.after_pause(self.tables, gap_s, now)

    def _place(self, now: float) -> None:
        tables = self.tables
        budget = tables.settings.placement.starts_per_tick
        if tables.settings.placement.policy == "random":
            random_dispatch.place(tables, now, budget)
            return
        zone_slots = admission.slots_in_zone(tables, now)
        queues.run_urgency(tables, zone_slots, now)
        budget = asks.use_grants(tables, now, budget)
        for grant in broker.allocate(tables, now, budget):
            task = queues.take(tables, grant.group)
            attempts.start(tables, task, grant, now)
        asks.plan(tables, now)

    def take_actions(self) -> list[actions.Action]:
        """Returns and clears the actions decided so far."""
        result = self.tables.actions
        self.tables.actions = []
        return result

    def has_more(self, now: float) -> bool:
        """Returns whether a tick left work because its budget ran out."""
        tables = self.tables
        if tables.ready:
            return True
        if not any(count > 0 for count in tables.waiting.values()):
            return False
        return bool(tables.starts_last_tick >= self._budget)

    @property
    def _budget(self) -> int:
        return self.tables.settings.placement.starts_per_tick

    def next_timer(self, now: float) -> float:
        """Returns the time at which the next tick is due without events."""
        tables = self.tables
        due = [tables.beat_at, tables.zone_beat_at, asks.next_due(tables)]
        if tables.deadlines:
            due.append(tables.deadlines[0][0])
        if tables.delayed:
            due.append(tables.delayed[0][0])
        for backend in broker.owned(tables):
            wake = max(
                backend.grants_from,
                backend.health.blocked_until,
                backend.health.refused_until,
            )
            if wake > now:
                due.append(wake)
        return min(due, default=math.inf)

    def resolve(
        self, team: str, submission: ids.SubmissionId, digest: bytes | None
    ) -> submissions.Resolution:
        """Decides what a request for an id means here."""
        return submissions.resolve(self.tables, team, submission, digest)

    def admit(
        self, draft: admission.Draft, job: tables_lib.Job, now: float
    ) -> submissions.Resolution:
        """Admits or refuses a submission whose job has been built."""
        return admission.admit(self.tables, draft, job, now)

    def cancel(self, job: tables_lib.Job, now: float) -> None:
        """Cancels a job at its caller's wish."""
        code = errors.Code.CANCELLED
        attempts.fail_job(self.tables, job, code, "cancelled", now)

    def finish_attempt(
        self,
        start: actions.StartTask,
        outcome: tables_lib.AttemptOutcome,
        answer: tables_lib.BackendAnswer | None,
        reason: str,
        now: float,
    ) -> None:
        """Takes in how an attempt ended."""
        attempts.finish(
            self.tables,
            start.task,
            start.attempt,
            outcome,
            answer,
            reason,
            now,
        )

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        """Takes in a message of an authenticated peer."""
        tables = self.tables
        if getattr(message, "sender", sender) != sender:
            return
        match message:
            case messages.Heartbeat():
                membership.receive_heartbeat(tables, message, now)
            case messages.AskMessage():
                if sender in tables.peers:
                    broker.receive_ask(tables, message, now)
            case messages.GrantMessage():
                asks.receive_grants(tables, message, now)
            case messages.ReleaseMessage():
                broker.receive_release(tables, message, now)
            case messages.LeavingMessage():
                membership.receive_leaving(tables, message, now)

    def apply_vms(self, vms: platforms.VmList, now: float) -> None:
        """Takes in the platform's list of VMs."""
        membership.apply_vms(self.tables, vms, now)


def new_core(tables: tables_lib.Tables) -> Core:
    """Creates the core over tables."""
    return Core(tables)
