"""Crashes of backend servers, counted against the tasks that ran there."""

import collections.abc

import attrs

from acacialine import events
from acacialine import losses as losses_lib
from acacialine import orders as orders_lib
from acacialine import zonetables


@attrs.define(eq=False)
class CrashRecorder:
    """Counts the crashes of backend servers against the tasks they ran.

    Used by `zoneruns.Runs`, which ends the runs.

    Attributes:
        resumed_at: When this process resumed after it had been suspended.
            Meanwhile a successor may have seen the end of any run.
    """

    _tables: zonetables.ZoneTables
    _min_lease_s: float
    _emit: collections.abc.Callable[[orders_lib.Order], None]
    _give_up_job: collections.abc.Callable[[str, float], None]
    resumed_at: float = -1e9

    def record(
        self, server: zonetables.Server, evidence: str, now: float
    ) -> None:
        """Records that a backend server has crashed with its runs.

        They end with their leases all the same, unless the evidence is a later
        incarnation at the address of the server. A draining server exits as
        planned.
        """
        if server.draining:
            return
        if not server.has_crashed:
            server.has_crashed = True
            self._log(
                events.Event.ZONE_SERVER_CRASHED,
                server=server.id,
                evidence=evidence,
                runs=len(server.runs),
            )
        for run in list(server.runs.values()):
            self._count_loss(run, now)

    def _count_loss(self, run: zonetables.Run, now: float) -> None:
        """Counts the crash of the server of a run, at most once a run.

        A run that was told to stop or whose lease may have ended was perhaps
        gone before.
        """
        is_certain = run.confirmed_at is not None
        renewed_at = run.renewed_at if is_certain else run.sent_at
        if (
            run.is_loss_counted
            or not run.may_have_started
            or (is_certain and run.stop_sent_at is not None)
            or now - renewed_at > self._min_lease_s
            or renewed_at < self.resumed_at
        ):
            return
        run.is_loss_counted = True
        server = run.server
        server.lost_tasks.append((run.key, is_certain))
        counted = self._tables.losses.add(
            run.key.job_id, run.key.index, is_certain, now
        )
        self._apply_losses(run.key, server, counted, now)

    def retract(self, server: zonetables.Server, now: float) -> None:
        """Takes back the losses of a server that responds again.

        Its incarnation is the same, so it has not crashed: the path to it was
        cut. Losses that a restart proves have been taken from the list.
        """
        if not server.lost_tasks and not server.has_crashed:
            return
        for key, is_certain in server.lost_tasks:
            self._tables.losses.retract(key.job_id, key.index, is_certain, now)
        server.lost_tasks.clear()
        server.has_crashed = False
        for run in server.runs.values():
            run.is_loss_counted = False

    def _apply_losses(
        self,
        key: zonetables.TaskKey,
        server: zonetables.Server,
        counted: losses_lib.TaskLosses,
        now: float,
    ) -> None:
        """Shares the losses of a task and gives it up if they are too many."""
        self._log(
            events.Event.ZONE_TASK_LOST,
            task=key,
            server=server.id,
            crashes=counted.crashes,
            uncertain=counted.uncertain,
            given_up=int(counted.is_given_up),
        )
        self._emit(orders_lib.ShareLosses(key, counted))
        if counted.is_given_up:
            self._give_up_job(key.job_id, now)

    def _log(self, event: events.Event, **fields) -> None:
        self._emit(orders_lib.LogDecision(event, fields))
