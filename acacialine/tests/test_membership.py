"""Membership: incarnations, silence, rendezvous and the VM list."""

import unittest

import attrs

from acacialine import ids
from acacialine import membership
from acacialine import messages
from acacialine import platforms
from acacialine.tests import support


def beat(sender: ids.Incarnation, number: int = 1, **changes):
    values = {
        "sender": str(sender),
        "name": "n",
        "zone": "zone-a",
        "state": "live",
        "beat": number,
        "sent_at": 0.0,
        "config_offset": 1,
        "successor": "",
        "caller_address": "x:1",
        "last_seq": 0,
        "slots": 8,
        "free": 8,
        "work_s": 0.0,
        "waiting": 0,
    }
    return messages.Heartbeat(**{**values, **changes})


OLD = ids.Incarnation("10.0.0.9", 7000, "1" * 16)
NEW = ids.Incarnation("10.0.0.9", 7000, "2" * 16)


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.core = support.new_core()
        self.tables = self.core.tables

    def _known(self):
        return set(self.tables.peers)

    def test_a_silent_peer_may_come_back(self):
        self.core.receive(str(OLD), beat(OLD), 0.0)
        membership.run_detection(self.tables, 1.0)
        self.assertEqual(self._known(), set())
        self.core.receive(str(OLD), beat(OLD, 2), 1.1)
        self.assertEqual(self._known(), {str(OLD)})

    def test_a_replaced_incarnation_never_comes_back(self):
        self.core.receive(str(OLD), beat(OLD), 0.0)
        self.core.receive(str(NEW), beat(NEW), 0.1)
        self.core.receive(str(OLD), beat(OLD, 9), 0.2)
        self.assertEqual(self._known(), {str(NEW)})

    def test_late_news_of_an_old_incarnation_does_not_displace_a_new(self):
        self.core.receive(str(NEW), beat(NEW), 0.0)
        self.core.receive(str(OLD), beat(OLD), 0.1)
        third = ids.Incarnation("10.0.0.8", 7000, "3" * 16)
        report = messages.MemberReport(str(OLD), "n", "zone-a", "live", 1, 0)
        self.core.receive(str(third), beat(third, members=[report]), 0.2)
        self.assertEqual(self._known(), {str(NEW), str(third)})

    def test_a_message_of_another_sender_is_dropped(self):
        self.core.receive(str(OLD), beat(NEW), 0.0)
        self.assertEqual(self._known(), set())

    def test_rendezvous_moves_only_the_share_of_the_lost(self):
        members = [f"m{i}" for i in range(7)]
        keys = [f"b{i}" for i in range(200)]
        before = {k: membership.rendezvous(k, members) for k in keys}
        after = {k: membership.rendezvous(k, members[1:]) for k in keys}
        moved = {k for k in keys if before[k] != after[k]}
        self.assertEqual(moved, {k for k in keys if before[k] == "m0"})
        self.assertGreater(len(moved), 10)

    def test_leaving_from_either_side_wins_and_is_never_undone(self):
        vms = platforms.VmList([support.vm("b1"), support.vm("b2")])
        self.core.apply_vms(vms, 0.0)
        news = messages.BackendReport("b1", True)
        self.core.receive(str(OLD), beat(OLD, backends=[news]), 0.1)
        self.core.apply_vms(vms, 0.2)
        gone = attrs.evolve(support.vm("b2"), state="leaving")
        self.core.apply_vms(platforms.VmList([support.vm("b1"), gone]), 0.3)
        self.core.apply_vms(vms, 0.4)
        leaving = {
            b.backend_id: b.leaving for b in self.tables.backends.values()
        }
        self.assertEqual(leaving, {"b1": True, "b2": True})

    def test_a_new_broker_waits_before_it_grants(self):
        self.core.apply_vms(platforms.VmList([support.vm("b1")]), 5.0)
        backend = self.tables.backends["b1"]
        self.assertGreater(backend.grants_from, 5.0)


if __name__ == "__main__":
    unittest.main()
