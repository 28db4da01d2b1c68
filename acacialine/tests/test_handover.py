"""Handover of answers at a stop, while the successors change."""

import unittest

import trio

from acacialine import handover
from acacialine import ids
from acacialine import links
from acacialine.tests import support


class RemovingPool:
    """Call links to a peer that is removed during each call."""

    def __init__(self, tables, peer_id):
        self._tables = tables
        self._peer_id = peer_id

    async def call(self, message):
        await trio.sleep(0)
        self._tables.peers.pop(self._peer_id)
        raise links.NoReplyError("the peer closed the link")


class RemovingPeerCalls:
    """Peer calls during which each called peer is removed."""

    def __init__(self, tables):
        self._tables = tables

    def pool(self, peer_id):
        return RemovingPool(self._tables, peer_id)


class HandoverTest(unittest.TestCase):
    def test_a_successor_may_be_removed_during_the_handover(self):
        # Guards against a KeyError that ended the stop without a handover.
        core = support.new_core()
        tables = core.tables
        for number in (2, 3):
            peer = ids.Incarnation("10.0.0.9", 7000 + number, "1" * 16)
            core.receive(str(peer), support.new_heartbeat(peer), 1.0)
        self.assertEqual(len(tables.peers), 2)
        sender = handover.Handover(core, RemovingPeerCalls(tables))
        self.assertEqual(trio.run(sender.send), "")
        self.assertEqual(tables.peers, {})


if __name__ == "__main__":
    unittest.main()
