"""Tests of membership: incarnations, timeouts, rendezvous and the VM list."""

import unittest

import attrs

from acacialine import ids
from acacialine import membership
from acacialine import messages
from acacialine import platforms
from acacialine.tests import support

OLD = ids.Incarnation("10.0.0.9", 7000, "1" * 16)
NEW = ids.Incarnation("10.0.0.9", 7000, "2" * 16)


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.core = support.new_core()
        self.tables = self.core.tables

    def _peer_ids(self):
        return set(self.tables.peers)

    def test_a_silent_peer_may_return(self):
        self.core.receive(str(OLD), support.new_heartbeat(OLD), 0.0)
        membership.detect_dead_peers(self.tables, 1.0)
        self.assertEqual(self._peer_ids(), set())
        self.core.receive(str(OLD), support.new_heartbeat(OLD, 2), 1.1)
        self.assertEqual(self._peer_ids(), {str(OLD)})

    def test_a_replaced_incarnation_never_returns(self):
        self.core.receive(str(OLD), support.new_heartbeat(OLD), 0.0)
        self.core.receive(str(NEW), support.new_heartbeat(NEW), 0.1)
        self.core.receive(str(OLD), support.new_heartbeat(OLD, 9), 0.2)
        self.assertEqual(self._peer_ids(), {str(NEW)})

    def test_a_late_report_of_an_old_incarnation_is_ignored(self):
        self.core.receive(str(NEW), support.new_heartbeat(NEW), 0.0)
        self.core.receive(str(OLD), support.new_heartbeat(OLD), 0.1)
        third = ids.Incarnation("10.0.0.8", 7000, "3" * 16)
        report = messages.MemberReport(str(OLD), "n", "zone-a", "live", 1, 0)
        self.core.receive(
            str(third), support.new_heartbeat(third, members=[report]), 0.2
        )
        self.assertEqual(self._peer_ids(), {str(NEW), str(third)})

    def test_a_message_of_another_sender_is_dropped(self):
        self.core.receive(str(OLD), support.new_heartbeat(NEW), 0.0)
        self.assertEqual(self._peer_ids(), set())

    def test_rendezvous_moves_only_the_keys_of_a_removed_member(self):
        members = [f"m{i}" for i in range(7)]
        keys = [f"b{i}" for i in range(200)]
        before = {k: membership.rendezvous(k, members) for k in keys}
        after = {k: membership.rendezvous(k, members[1:]) for k in keys}
        moved = {k for k in keys if before[k] != after[k]}
        self.assertEqual(moved, {k for k in keys if before[k] == "m0"})
        self.assertGreater(len(moved), 10)

    def test_leaving_by_report_or_vm_list_is_never_undone(self):
        vms = platforms.VmList([support.vm("b1"), support.vm("b2")])
        self.core.apply_vms(vms, 0.0)
        report = messages.BackendReport("b1", True)
        self.core.receive(
            str(OLD), support.new_heartbeat(OLD, backends=[report]), 0.1
        )
        self.core.apply_vms(vms, 0.2)
        leaving_vm = attrs.evolve(support.vm("b2"), state="leaving")
        self.core.apply_vms(
            platforms.VmList([support.vm("b1"), leaving_vm]), 0.3
        )
        self.core.apply_vms(vms, 0.4)
        leaving = {
            b.backend_id: b.is_leaving for b in self.tables.backends.values()
        }
        self.assertEqual(leaving, {"b1": True, "b2": True})

    def test_a_new_broker_waits_before_it_grants(self):
        self.core.apply_vms(platforms.VmList([support.vm("b1")]), 5.0)
        backend = self.tables.backends["b1"]
        self.assertGreater(backend.grantable_at, 5.0)


class GrantsTest(unittest.TestCase):
    def test_a_grant_that_arrives_twice_is_used_once(self):
        # A broker sends a message again if its write failed.
        core = support.new_core()
        tables = core.tables
        core.receive(str(OLD), support.new_heartbeat(OLD), 0.0)
        entry = messages.GrantEntry(1, "b1", "alpha", "quick", False, 1000)
        message = messages.GrantMessage(str(OLD), 0.0, 0, 0, [entry])
        for _ in range(2):
            core.receive(str(OLD), message, 0.1)
        self.assertEqual(len(tables.ready_grants), 1)


if __name__ == "__main__":
    unittest.main()
