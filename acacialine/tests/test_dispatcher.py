"""What a dispatcher tells the others of the jobs at its placer."""

import types
import unittest

from acacialine import dispatcher as dispatcher_lib
from acacialine import dispatchsettings
from acacialine import messages

JOB = "00000000000000aa"
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
        self.heartbeat = types.SimpleNamespace(zone=zone)
        self.posted = []

    def post(self, message):
        self.posted.append(message)


class SharedJobsTest(unittest.TestCase):
    def setUp(self):
        settings = dispatchsettings.read_settings(SETTINGS, "test")
        self.dispatcher = dispatcher_lib.new_dispatcher(settings)
        self.links = {z: FakeLink(z) for z in ("zone-a", "zone-b", "zone-c")}
        self.dispatcher.hub.dialled_links.update(self.links)

    def test_an_announced_job_is_known_to_all_zones(self):
        self.dispatcher.announce_job(JOB)
        for zone, link in self.links.items():
            is_relayed = zone == "zone-a"
            expected = messages.JobKept(JOB, "zone-a", is_relayed)
            self.assertEqual(link.posted, [expected])

    def test_a_shared_job_is_known_if_its_placer_owns_the_zone_again(self):
        self.dispatcher.share_job(JOB)
        self.assertEqual(self.links["zone-b"].posted, [])
        self.assertEqual(self.dispatcher.remote_jobs[JOB].zone, "zone-a")


if __name__ == "__main__":
    unittest.main()
