"""What a dispatcher tells the others of the jobs at its placer."""

import types
import unittest

import attrs

from acacialine import clock
from acacialine import codec
from acacialine import dispatcher as dispatcher_lib
from acacialine import dispatchsettings
from acacialine import intake
from acacialine import jobfates
from acacialine import links
from acacialine import messages
from acacialine import peering
from acacialine import placerhost
from acacialine.tests import zonebuilders as build

JOB = "00000000000000aa"
OTHER_ID = "127.0.0.1-9-00000000000000a2"
SETTINGS = """
[dispatcher]
name = a1
zone = zone-a
caller_address = 127.0.0.1:1
ready_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
peer_keys = test
[store]
address = 127.0.0.1:1
"""


class FakeLink:
    """An open link to a dispatcher of a zone."""

    is_open = True

    def __init__(self, zone):
        self.peer_id = f"peer-of-{zone}"
        self.heartbeat = types.SimpleNamespace(zone=zone, claim=0)
        self.posted = []

    def post(self, message):
        self.posted.append(message)

    def post_frame(self, frames):
        while frames:
            end = links.LENGTH_BYTES + int.from_bytes(
                frames[: links.LENGTH_BYTES], "big"
            )
            frame, frames = frames[links.LENGTH_BYTES : end], frames[end:]
            self.posted.append(codec.decode(frame).message)


class SharedJobsTest(unittest.TestCase):
    def setUp(self):
        settings = dispatchsettings.read_settings(SETTINGS, "test")
        self.dispatcher = dispatcher_lib.new_dispatcher(settings)
        self.links = {z: FakeLink(z) for z in ("zone-a", "zone-b", "zone-c")}
        self.dispatcher.hub.dialled_links.update(self.links)

    def test_announced_jobs_are_known_to_all_zones(self):
        jobs = [JOB, "00000000000000bb"]
        self.dispatcher.job_sharing.announce_jobs(jobs)
        for zone, link in self.links.items():
            is_relayed = zone == "zone-a"
            expected = [messages.JobKept(j, "zone-a", is_relayed) for j in jobs]
            self.assertEqual(link.posted, expected)
        self.assertIn(
            "zone-a", self.dispatcher.job_sharing.remote_jobs[JOB].ends_by_zone
        )

    def test_a_suspect_link_reaches_the_placer(self):
        placer = build.placer()
        self.dispatcher.placer_host = placerhost.PlacerHost(placer, 1)
        session = peering.AcceptedLink("b1", outbox=object(), heard_at=0.0)
        placer.submit(build.submission(), session.outbox, 0.0)
        placer.tick(0.0)
        placer.take_orders()
        for is_suspect in (True, False):
            session.is_suspect = is_suspect
            self.dispatcher.hub.on_suspicion_changed(session)
            new_orders = placer.take_orders()
            announced = [JOB] if is_suspect else []
            self.assertEqual(build.announced(new_orders), announced)

    def test_held_up_messages_are_dated_by_their_sender(self):
        dispatcher = self.dispatcher
        host = placerhost.PlacerHost(build.placer(), 1, dispatcher=dispatcher)
        now = dispatcher.inputs_read_until = clock.now()
        session = peering.AcceptedLink("a2", object(), now, sent_at=now - 0.7)
        session.heartbeat_count = 2
        state = attrs.evolve(
            dispatcher._build_zone_state(), sender=OTHER_ID, knows_jobs=True
        )
        job = placerhost.encode_submission(build.submission(JOB))
        for placer_host in (host, None):
            dispatcher.placer_host = placer_host
            dispatcher.hub.on_request(session, state, True)
            dispatcher.placer_host = host
            dispatcher.hub.on_request(session, job, False)
        tables = host.placer.tables
        for date in (
            tables.origins_heard_at[session.outbox],
            tables.jobs[JOB].heard_until,
            dispatcher.zone_handover.predecessors.told_at,
        ):
            self.assertEqual(date, session.sent_at)

    def test_a_candidate_that_is_linked_after_the_resignation_knows_fates(self):
        # A placer that stopped resigned some ms before its link to a candidate
        # opened, which then did not know of cancelled jobs (review/10).
        self.dispatcher.placer_host = placerhost.PlacerHost(build.placer(), 1)
        fates = self.dispatcher.fate_sharing.fates
        fates.record(JOB, jobfates.Fate.CANCELLED, clock.now())
        self.dispatcher._give_up_ownership("superseded")
        for link in self.links.values():
            link.posted.clear()
            self.dispatcher.fate_sharing.handle_new_link(link)
        (message,) = self.links["zone-a"].posted
        self.assertEqual(
            jobfates.decode_message(message),
            {jobfates.encode_key(JOB): jobfates.Fate.CANCELLED},
        )
        self.assertEqual(self.links["zone-b"].posted, [])

    def test_a_candidate_that_is_linked_later_knows_the_running_jobs(self):
        self.dispatcher.placer_host = placerhost.PlacerHost(build.placer(), 1)
        self.dispatcher.job_sharing.record_remote_job(JOB, "zone-b")
        for link in self.links.values():
            self.dispatcher.fate_sharing.handle_new_link(link)
        (message,) = self.links["zone-a"].posted
        self.assertEqual(message.zone, "zone-b")
        self.assertEqual(jobfates.decode_open_jobs(message), [JOB])
        self.assertEqual(self.links["zone-b"].posted, [])

    def test_candidates_are_told_of_running_jobs_by_a_new_placer(self):
        self.dispatcher.job_sharing.record_remote_job(JOB, "zone-b")
        self.dispatcher.fate_sharing.share_known_jobs()
        (message,) = self.links["zone-a"].posted
        self.assertEqual(jobfates.decode_open_jobs(message), [JOB])
        self.assertEqual(self.links["zone-b"].posted, [])

    def knows_jobs(self, superseded_epoch):
        """Returns whether this dispatcher knows all jobs as a new placer.

        It has not listed the runs of its servers yet.
        """
        host = placerhost.PlacerHost(build.placer(), 7)
        self.server = host.placer.tables.servers["i-1"]
        self.server.runs_listed = False
        self.dispatcher.ownership.superseded_epoch = superseded_epoch
        self.dispatcher.zone_handover.begin_ownership(host, clock.now())
        self.dispatcher.placer_host = host
        return host.knows_jobs()

    def test_the_first_placer_of_a_zone_knows_all_jobs(self):
        reader = self.dispatcher.store_reader
        self.assertFalse(self.knows_jobs(0))
        reader.is_directory_read = True
        self.assertTrue(self.knows_jobs(0))
        reader.is_store_down = True
        self.assertFalse(self.knows_jobs(0))

    def heartbeat(self, claim, knows_jobs, age_s=0.0):
        """Lets the second heartbeat of a placer of this zone arrive."""
        self.dispatcher.placer_host = None
        self.dispatcher.inputs_read_until = clock.now() - age_s
        session = peering.AcceptedLink("a2", outbox=object(), heard_at=0.0)
        session.heartbeat_count = 2
        state = attrs.evolve(
            self.dispatcher._build_zone_state(),
            sender=OTHER_ID,
            claim=claim,
            knows_jobs=knows_jobs,
        )
        self.dispatcher.hub.on_request(session, state, True)

    def test_a_placer_knows_the_jobs_that_the_last_one_told_it(self):
        self.dispatcher.store_reader.is_directory_read = True
        self.heartbeat(5, True)
        self.assertTrue(self.knows_jobs(5))
        self.assertFalse(self.knows_jobs(6))

    def test_a_placer_that_knows_no_jobs_tells_none(self):
        self.heartbeat(5, False)
        self.assertFalse(self.knows_jobs(5))
        self.dispatcher._give_up_ownership("superseded")
        self.assertFalse(self.knows_jobs(7))

    def test_a_placer_that_was_silent_may_have_had_other_jobs(self):
        for age_s, are_local in ((1.5, True), (4.0, False)):
            self.heartbeat(5, True, age_s=age_s)
            self.assertFalse(self.knows_jobs(5))
            self.server.runs_listed = True
            self.assertEqual(
                self.dispatcher.placer_host.knows_jobs(), are_local
            )

    def test_a_placer_waits_for_leases_from_when_the_last_one_had_ended(self):
        ended_at = clock.now() - 0.5
        links_by_address = self.dispatcher.hub.dialled_links
        for peer_id, is_refused, has_ended in (
            (OTHER_ID, False, False),
            ("127.0.0.1-9-00000000000000a3", False, True),
            ("", True, True),
        ):
            links_by_address["127.0.0.1", 9] = types.SimpleNamespace(
                is_open=not is_refused,
                is_refused=is_refused,
                peer_id=peer_id,
                found_at=ended_at,
                heartbeat=types.SimpleNamespace(zone="zone-b", claim=0),
            )
            self.dispatcher.ownership.record_claim(OTHER_ID, 5)
            self.assertFalse(self.knows_jobs(5))
            placer = self.dispatcher.placer_host.placer
            lease_end = ended_at + placer.lease_times.max_lease_s
            waits_for_lease = placer.unknown_jobs_until == lease_end
            self.assertEqual(waits_for_lease, has_ended)

    def test_a_new_placer_learns_what_clients_cancelled_in_any_zone(self):
        # A zone whose dispatchers were restarted in turn, without a moment in
        # which two of them were linked, forgot cancelled jobs (review/10).
        self.dispatcher.placer_host = placerhost.PlacerHost(build.placer(), 1)
        fates = self.dispatcher.fate_sharing.fates
        fates.record(JOB, jobfates.Fate.CANCELLED, clock.now())
        fates.record("00000000000000bb", jobfates.Fate.FAILED, clock.now())
        link = self.links["zone-b"]
        placer = intake.PlacerInfo(link.peer_id, "zone-b", 5, 0, 0.0)
        self.dispatcher.fate_sharing.update_placers({"zone-b": placer})
        (message,) = link.posted
        self.assertEqual(
            jobfates.decode_message(message),
            {jobfates.encode_key(JOB): jobfates.Fate.CANCELLED},
        )

    def test_a_shared_job_is_known_if_its_placer_owns_the_zone_again(self):
        self.dispatcher.job_sharing.share_job(JOB)
        self.assertEqual(self.links["zone-b"].posted, [])
        self.assertIn(
            "zone-a", self.dispatcher.job_sharing.remote_jobs[JOB].ends_by_zone
        )


if __name__ == "__main__":
    unittest.main()
