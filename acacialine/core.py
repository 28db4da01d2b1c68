"""The decision logic of an entry: handles events and returns actions.

Each tick runs a fixed sequence of steps over the tables. Nothing here does
I/O; `entry` does it and executes the actions.
"""

import math

import attrs

from acacialine import actions
from acacialine import admission
from acacialine import attempts
from acacialine import broker
from acacialine import errors
from acacialine import ids
from acacialine import membership
from acacialine import messages
from acacialine import platforms
from acacialine import queues
from acacialine import random_dispatch
from acacialine import slotrequests
from acacialine import slots
from acacialine import submissions
from acacialine import tables as tables_lib

# A gap between ticks above this fraction of `dead_ms` is handled as a
# suspension of the process.
PAUSE_THRESHOLD_RATIO = 0.5


@attrs.define(eq=False)
class Core:
    """Makes all decisions of one entry; changes its tables."""

    tables: tables_lib.Tables

    def tick(self, now: float) -> list[actions.Action]:
        """Runs every step once and returns the actions to execute."""
        tables = self.tables
        tables.starts_last_tick = 0
        self._detect_pause(now)
        attempts.fail_expired_jobs(tables, now)
        queues.requeue_delayed_tasks(tables, now)
        slots.expire_leases(tables, now)
        membership.detect_dead_peers(tables, now)
        submissions.advance_due_epoch(tables, now)
        self._place_tasks(now)
        membership.send_due_heartbeats(tables, now)
        slotrequests.send_releases(tables, now)
        tables.last_tick_at = now
        return self.take_actions()

    def _detect_pause(self, now: float) -> None:
        detection_s = self.tables.settings.membership.dead_ms / 1000
        gap_s = now - self.tables.last_tick_at
        if gap_s > detection_s * PAUSE_THRESHOLD_RATIO:
            membership.handle_process_pause(self.tables, gap_s, now)

    def _place_tasks(self, now: float) -> None:
        tables = self.tables
        starts_left = tables.settings.placement.starts_per_tick
        if tables.settings.placement.policy == "random":
            random_dispatch.place(tables, now, starts_left)
            return
        zone_slot_count = admission.slots_in_zone(tables, now)
        queues.mark_urgent_jobs(tables, zone_slot_count, now)
        starts_left = slotrequests.use_grants(tables, now, starts_left)
        for grant in broker.allocate(tables, now, starts_left):
            task = queues.take_task(tables, grant.group)
            attempts.start(tables, task, grant, now)
        slotrequests.send_slot_requests(tables, now)

    def take_actions(self) -> list[actions.Action]:
        """Returns and clears the actions decided so far."""
        result = self.tables.actions
        self.tables.actions = []
        return result

    def has_unfinished_work(self, now: float) -> bool:
        """Returns whether the next tick should follow at once.

        That is the case if granted slots are unused, or if tasks wait and
        the last tick reached its limit of starts.
        """
        tables = self.tables
        if tables.ready_grants:
            return True
        if not any(count > 0 for count in tables.waiting_counts.values()):
            return False
        return bool(tables.starts_last_tick >= self._starts_per_tick)

    @property
    def _starts_per_tick(self) -> int:
        return self.tables.settings.placement.starts_per_tick

    def next_tick_due_at(self, now: float) -> float:
        """Returns the time of the next tick if no event occurs before."""
        tables = self.tables
        due_times = [
            tables.next_heartbeat_at,
            tables.next_zone_heartbeat_at,
            slotrequests.next_request_time(tables),
        ]
        if tables.deadlines:
            due_times.append(tables.deadlines[0][0])
        if tables.delayed_tasks:
            due_times.append(tables.delayed_tasks[0][0])
        for backend in broker.owned_backends(tables):
            available_at = max(
                backend.grantable_at,
                backend.health.blocked_until,
                backend.health.refused_until,
            )
            if available_at > now:
                due_times.append(available_at)
        return min(due_times, default=math.inf)

    def resolve(
        self, team: str, submission: ids.SubmissionId, digest: bytes | None
    ) -> submissions.Resolution:
        """Decides how this entry handles a request for an id."""
        return submissions.resolve(self.tables, team, submission, digest)

    def admit(
        self,
        draft: admission.PendingSubmission,
        job: tables_lib.Job,
        now: float,
    ) -> submissions.Resolution:
        """Admits or refuses a submission whose job has all its tasks."""
        return admission.admit(self.tables, draft, job, now)

    def cancel(self, job: tables_lib.Job, now: float) -> None:
        """Cancels a job at its client's request."""
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
        """Records the outcome of a start attempt."""
        attempts.finish_attempt(
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
        """Handles a message of an authenticated peer.

        A message that names another sender is dropped.
        """
        tables = self.tables
        if getattr(message, "sender", sender) != sender:
            return
        match message:
            case messages.Heartbeat():
                membership.receive_heartbeat(tables, message, now)
            case messages.AskMessage():
                if sender in tables.peers:
                    broker.receive_slot_request(tables, message, now)
            case messages.GrantMessage():
                slotrequests.receive_grants(tables, message, now)
            case messages.ReleaseMessage():
                broker.receive_release(tables, message, now)
            case messages.LeavingMessage():
                membership.receive_leaving(tables, message, now)

    def apply_vms(self, vms: platforms.VmList, now: float) -> None:
        """Applies the platform's list of VMs."""
        membership.apply_vms(self.tables, vms, now)


def new_core(tables: tables_lib.Tables) -> Core:
    """Creates a core that decides on the given tables."""
    return Core(tables)
