"""Tells other dispatchers of jobs that may run here and of lost runs.

A client may send its job again to any zone, and a candidate may succeed the
placer, so both must know where runs of a job may go on.
"""

import collections

import attrs

from acacialine import clock
from acacialine import jobfates
from acacialine import losses as losses_lib
from acacialine import messages
from acacialine import peering
from acacialine import placer as placer_lib
from acacialine import zonetables


@attrs.define(eq=False)
class JobSharing:
    """What one dispatcher tells others of jobs, and has been told.

    Uses `hub`, `intake`, `placer_host` and `zone` of its dispatcher.

    Attributes:
        remote_jobs: Jobs that the placer of this zone told the candidates of,
            by id; used if this dispatcher becomes the placer, or does again.
        losses: Lost runs of recent jobs, of all zones; the placer in this
            process shares it.
    """

    _dispatcher: object
    remote_jobs: dict[str, zonetables.RemoteJob] = attrs.field(factory=dict)
    losses: losses_lib.LossTable = attrs.field(factory=losses_lib.LossTable)

    def share_job(self, job_id: str) -> None:
        """Tells the candidates of this zone of a job that may run here.

        This dispatcher is one of them: it may lose the zone and own it again.
        """
        self.record_remote_job(job_id, self._dispatcher.zone)
        self._relay_kept_job(job_id, self._dispatcher.zone)

    def announce_jobs(self, job_ids: list[str]) -> None:
        """Tells the placers of all zones of jobs that may run here.

        They are many after a takeover, so each is encoded once and all are
        written to a link together.
        """
        for job_id in job_ids:
            self.record_remote_job(job_id, self._dispatcher.zone)
        to_candidates, to_other_zones = (
            b"".join(
                peering.encode_frame(
                    messages.JobKept(job_id, self._dispatcher.zone, is_relayed)
                )
                for job_id in job_ids
            )
            for is_relayed in (True, False)
        )
        for link in self._dispatcher.hub.dialled_links.values():
            if link.is_open:
                is_candidate = link.heartbeat.zone == self._dispatcher.zone
                link.post_frame(
                    to_candidates if is_candidate else to_other_zones
                )

    def _relay_kept_job(self, job_id: str, zone: str) -> None:
        message = messages.JobKept(job_id, zone, True)
        for link in self._dispatcher.hub.dialled_links.values():
            if link.is_open and link.heartbeat.zone == self._dispatcher.zone:
                link.post(message)

    def record_remote_job(self, job_id: str, zone: str) -> None:
        """Records that a zone may run a job, for the next placer here."""
        now = clock.now()
        zonetables.drop_expired_remote_jobs(self.remote_jobs, now)
        zonetables.record_remote_job(
            self.remote_jobs,
            job_id,
            zone,
            now
            + placer_lib.KEPT_JOB_S
            + self._dispatcher.intake.lease_times.lost_owner_s,
            now,
        )

    def new_open_jobs_messages(self) -> list[messages.EndedJobs]:
        """Returns the messages that tell a candidate of all known jobs."""
        zonetables.drop_expired_remote_jobs(self.remote_jobs, clock.now())
        ids_by_zone = collections.defaultdict(list)
        for job_id, remote in self.remote_jobs.items():
            for zone in remote.ends_by_zone:
                ids_by_zone[zone].append(job_id)
        return [
            jobfates.new_open_jobs_message(job_ids, zone, True)
            for zone, job_ids in ids_by_zone.items()
        ]

    def receive_kept_job(self, message: messages.JobKept) -> None:
        """Records where a job may run, here and at the other candidates."""
        self.record_remote_job(message.job_id, message.zone)
        if self._dispatcher.placer_host is None:
            return
        self._dispatcher.placer_host.record_remote_job(
            message.job_id, message.zone
        )
        if not message.is_relayed:
            self._relay_kept_job(message.job_id, message.zone)

    def share_losses(
        self, key: zonetables.TaskKey, task_losses: losses_lib.TaskLosses
    ) -> None:
        """Tells all linked dispatchers of the losses of a task."""
        message = messages.TaskLost(
            key.job_id,
            key.index,
            task_losses.crashes,
            task_losses.uncertain,
            False,
        )
        for link in self._dispatcher.hub.dialled_links.values():
            if link.is_open:
                link.post(message)

    def receive_losses(self, message: messages.TaskLost) -> None:
        """Records the losses of a task, here and at the other candidates."""
        now = clock.now()
        self.losses.drop_expired(now)
        self.losses.merge(
            message.job_id,
            message.index,
            losses_lib.TaskLosses(message.crashes, message.uncertain),
            now,
        )
        if self._dispatcher.placer_host is None or message.is_relayed:
            return
        relayed = attrs.evolve(message, is_relayed=True)
        for link in self._dispatcher.hub.dialled_links.values():
            if link.is_open and link.heartbeat.zone == self._dispatcher.zone:
                link.post(relayed)
