"""For which dispatchers one waits after its start before it claims its zone."""

import types
import unittest

from acacialine import directory
from acacialine import linkmanager

OWN_ID = "127.0.0.1-7000-0000000000000001"
PEER_ID = "127.0.0.1-7001-0000000000000002"
PEER_ADDRESS = ("127.0.0.1", 7001)


def new_record(dispatcher_id, address, zone="zone-a", started=1.0):
    return directory.EntryRecord(
        dispatcher_id, "e", zone, f"{address[0]}:{address[1]}", started, 0
    )


def new_link(is_open=False, is_unreachable=False):
    return types.SimpleNamespace(
        is_open=is_open, is_unreachable=lambda now: is_unreachable
    )


class AwaitedPeersTest(unittest.TestCase):
    def setUp(self):
        settings = types.SimpleNamespace(
            weight=1.0, advertised_address=("127.0.0.1", 7000)
        )
        self.dispatcher = types.SimpleNamespace(
            my_id=OWN_ID,
            started=2.0,
            zone="zone-a",
            settings=types.SimpleNamespace(dispatcher=settings),
            store_reader=types.SimpleNamespace(directory=directory.Directory()),
            ownership=types.SimpleNamespace(members={}),
            hub=types.SimpleNamespace(dialled_links={}),
        )
        self.manager = linkmanager.LinkManager(self.dispatcher)

    def list(self, *records):
        known = self.dispatcher.store_reader.directory.records
        known.update({r.id: r for r in records})

    def list_peer(self):
        self.list(
            new_record(OWN_ID, ("127.0.0.1", 7000)),
            new_record(PEER_ID, PEER_ADDRESS),
        )

    def test_the_directory_is_awaited(self):
        self.assertTrue(self.manager.awaits_peers(1.0))
        self.list(new_record(OWN_ID, ("127.0.0.1", 7000)))
        self.assertFalse(self.manager.awaits_peers(1.0))

    def test_a_listed_peer_is_awaited_until_its_link_is_open(self):
        self.list_peer()
        self.assertTrue(self.manager.awaits_peers(1.0))
        self.dispatcher.hub.dialled_links[PEER_ADDRESS] = new_link()
        self.assertTrue(self.manager.awaits_peers(1.0))
        self.dispatcher.hub.dialled_links[PEER_ADDRESS] = new_link(True)
        self.assertFalse(self.manager.awaits_peers(1.0))

    def test_a_peer_that_has_dialled_is_not_awaited(self):
        self.list_peer()
        self.dispatcher.ownership.members[PEER_ID] = types.SimpleNamespace(
            weight=1.0, started=1.0
        )
        self.assertFalse(self.manager.awaits_peers(1.0))

    def test_a_peer_that_cannot_be_reached_is_not_awaited(self):
        self.list_peer()
        self.dispatcher.hub.dialled_links[PEER_ADDRESS] = new_link(False, True)
        self.assertFalse(self.manager.awaits_peers(1.0))

    def test_peers_of_other_zones_are_not_awaited(self):
        self.list(
            new_record(OWN_ID, ("127.0.0.1", 7000)),
            new_record(PEER_ID, PEER_ADDRESS, "zone-b"),
        )
        self.assertFalse(self.manager.awaits_peers(1.0))

    def test_peers_that_start_later_are_not_awaited(self):
        self.list(new_record(OWN_ID, ("127.0.0.1", 7000)))
        self.assertFalse(self.manager.awaits_peers(1.0))
        self.list_peer()
        self.assertFalse(self.manager.awaits_peers(1.2))


if __name__ == "__main__":
    unittest.main()
