"""Exchange of the fates of jobs, and of running jobs, between dispatchers.

Sends what the placer in this process has to tell, and receives what the placers
of other zones and of the local zone tell. See docs/design/job-fates.md.
"""

import collections.abc
import math

import attrs

from acacialine import clock
from acacialine import intake as intake_lib
from acacialine import jobfates
from acacialine import messages
from acacialine import peering


@attrs.define(eq=False)
class FateSharing:
    """What one dispatcher tells others of jobs, and learns from them.

    It uses `zone`, `hub`, `intake`, `placer_host`, `meters` and
    `job_sharing` of the dispatcher.

    Attributes:
        fates: How recent jobs ended, of all zones while this dispatcher is a
            candidate or the placer; its intake and its placer share it.
        outbox: What the placer in this process is yet to tell.
        resigned_at: When this dispatcher last ceased to be the placer.
    """

    _dispatcher: object
    fates: jobfates.JobFates = attrs.field(factory=jobfates.JobFates)
    outbox: jobfates.Outbox = attrs.field(factory=jobfates.Outbox)
    resigned_at: float = -math.inf

    def tick(self, now: float) -> None:
        """Sends the fates that are due."""
        if self.outbox.is_due(now):
            self.send_fates()

    def handle_resignation(self, now: float) -> None:
        """Sends the rest of what the placer in this process has to tell."""
        self.resigned_at = now
        self.send_fates()

    def send_fates(self) -> None:
        """Tells the other zones and the candidates how jobs ended."""
        to_zones, to_candidates = self.outbox.take()
        self._post(self._links_to_other_placers(), to_zones, False)
        self._post(self._links_to_candidates(), to_candidates, True)

    def share_open_jobs(self, job_ids: tuple[str, ...], number: int) -> None:
        """Tells the candidates and the other zones of jobs that run here.

        Args:
            job_ids: The jobs; the other zones confirm an empty list as well.
            number: Number by which the other zones confirm it.
        """
        zone = self._dispatcher.zone
        for job_id in job_ids:
            # This dispatcher may lose the zone and own it again.
            self._dispatcher.job_sharing.record_remote_job(job_id, zone)
        for is_relayed, to_links in (
            (True, self._links_to_candidates()),
            (False, self._links_to_other_placers()),
        ):
            if to_links and (job_ids or not is_relayed):
                message = jobfates.new_open_jobs_message(
                    job_ids, zone, is_relayed, 0 if is_relayed else number
                )
                _post_to_all(to_links, message)

    def update_placers(
        self, placers: collections.abc.Mapping[str, intake_lib.PlacerInfo]
    ) -> None:
        """Tells new placers of other zones how the jobs of this zone ended.

        Batches may have been lost with their link or their predecessor. They
        are told of the cancelled jobs of all zones, as all dispatchers of
        their own may have been restarted.

        Args:
            placers: The reachable placers by zone, which the intake does not
                know yet.
        """
        dispatcher = self._dispatcher
        if dispatcher.placer_host is None:
            return
        zones = dispatcher.intake.zones
        dispatcher.placer_host.placer.notices.update_zones(
            zones - {dispatcher.zone} if zones else None
        )
        for zone, placer in placers.items():
            known = dispatcher.intake.placers.get(zone)
            if zone == dispatcher.zone or intake_lib.is_same_placer(
                placer, known
            ):
                continue
            dispatcher.placer_host.handle_new_placer()
            link = dispatcher.hub.find_open_link(placer.peer_id)
            if link is not None:
                self._post([link], self.fates.shared_fates(), False)

    def receive_confirmation(
        self, peer_id: str, confirmation: messages.OpenJobsConfirmed
    ) -> None:
        """Records that the placer of another zone knows jobs that run here."""
        dispatcher = self._dispatcher
        if dispatcher.placer_host is None:
            return
        for zone, placer in dispatcher.intake.placers.items():
            if placer.peer_id == peer_id:
                dispatcher.placer_host.confirm_open_jobs(
                    confirmation.number, zone
                )

    def handle_new_link(self, link: peering.PeerLink) -> None:
        """Tells a candidate all that this placer knows, or knew.

        A placer that stops resigns as soon as it hears a candidate, which may
        be before its own link to that candidate is open.
        """
        dispatcher = self._dispatcher
        is_informed = (
            dispatcher.placer_host is not None
            or clock.now() - self.resigned_at < jobfates.RETENTION_S
        )
        if is_informed and link.heartbeat.zone == dispatcher.zone:
            self._post([link], self.fates.all_fates(), True)
            self._post_known_jobs([link])

    def share_known_jobs(self) -> None:
        """Tells the candidates of running jobs, as this is the placer now."""
        self._post_known_jobs(self._links_to_candidates())

    def _post_known_jobs(self, to_links: list[peering.PeerLink]) -> None:
        for message in self._dispatcher.job_sharing.new_open_jobs_messages():
            _post_to_all(to_links, message)

    def receive(self, message: messages.EndedJobs) -> bool:
        """Records what a placer tells; relays it to the candidates.

        Returns:
            Whether running jobs in it are to be confirmed.

        Raises:
            errors.PeerError: The message is malformed.
        """
        now = clock.now()
        host = self._dispatcher.placer_host
        fates = jobfates.decode_message(message)
        open_jobs = jobfates.decode_open_jobs(message)
        for job_id in open_jobs:
            self._dispatcher.job_sharing.record_remote_job(job_id, message.zone)
            if host is not None:
                host.record_remote_job(job_id, message.zone)
        if host is None:
            for key, fate in fates.items():
                self.fates.record_key(key, fate, now)
            return False
        host.apply_fates(fates)
        if message.is_relayed:
            return False
        self.outbox.relay(fates, now)
        if open_jobs:
            relayed = attrs.evolve(
                message,
                completed=b"",
                failed=b"",
                cancelled=b"",
                is_relayed=True,
                number=0,
            )
            _post_to_all(self._links_to_candidates(), relayed)
        return message.number > 0

    def receive_cancel_call(self, job_id: str) -> bool:
        """Ends a job that a client cancelled; returns whether it was open."""
        host = self._dispatcher.placer_host
        if host is not None:
            return host.cancel_for_all(job_id)
        self.fates.record(job_id, jobfates.Fate.CANCELLED, clock.now())
        return False

    def _links_to_candidates(self) -> list[peering.PeerLink]:
        """Returns the open links to the other candidates of this zone."""
        dispatcher = self._dispatcher
        return [
            link
            for link in dispatcher.hub.dialled_links.values()
            if link.is_open and link.heartbeat.zone == dispatcher.zone
        ]

    def _links_to_other_placers(self) -> list[peering.PeerLink]:
        """Returns the open links to the placers of the other zones."""
        dispatcher = self._dispatcher
        return [
            link
            for link in dispatcher.hub.dialled_links.values()
            if link.is_open
            and link.heartbeat.zone != dispatcher.zone
            and link.heartbeat.claim
        ]

    def _post(
        self,
        to_links: list[peering.PeerLink],
        fates: dict[bytes, jobfates.Fate],
        is_relayed: bool,
    ) -> None:
        if not to_links or not fates:
            return
        kind = "candidates" if is_relayed else "zones"
        meter = self._dispatcher.meters.fates_sent.labels(kind)
        meter.inc(len(fates) * len(to_links))
        for message in jobfates.new_messages(fates, is_relayed):
            _post_to_all(to_links, message)


def _post_to_all(
    to_links: list[peering.PeerLink], message: messages.EndedJobs
) -> None:
    """Sends a message, which is encoded once, on several links."""
    frame = peering.encode_frame(message)
    for link in to_links:
        link.post_frame(frame)
