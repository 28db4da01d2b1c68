"""Election of the placer under silence, network partitions and clock steps."""

import unittest

from acacialine import ownership

WALL_S = 1_790_000_000.0


def new_ownership(member_id="a", started=1.0, started_at=0.0):
    return ownership.Ownership(member_id, started, started_at)


class OwnershipTest(unittest.TestCase):
    def record_heartbeat(
        self, local, member_id, now, started=2.0, claim=0, is_candidate=True
    ):
        local.record_heartbeat(member_id, started, claim, is_candidate, now)

    def decide(self, local, now, wall_s=WALL_S):
        return local.decide(now, wall_s, 5)

    def test_the_oldest_dispatcher_claims_after_startup(self):
        older, younger = new_ownership("a", 1.0), new_ownership("b", 2.0)
        self.assertIsNone(self.decide(older, 0.5))
        for now in (1.0, 1.3):
            self.record_heartbeat(older, "b", now, 2.0)
            self.record_heartbeat(younger, "a", now, 1.0)
        self.assertIsNone(self.decide(younger, 1.3))
        self.assertIs(self.decide(older, 1.3), ownership.Role.PLACER)
        self.assertEqual(older.placer(1.3), "a")

    def test_a_single_dispatcher_in_its_zone_claims(self):
        local = new_ownership()
        self.assertIs(self.decide(local, 1.3), ownership.Role.PLACER)

    def test_a_live_claim_is_followed_even_by_an_older_dispatcher(self):
        local = new_ownership("a", 1.0)
        self.record_heartbeat(local, "b", 1.2, 2.0, claim=77)
        self.assertIsNone(self.decide(local, 1.3))
        self.assertEqual(local.placer(1.3), "b")

    def test_of_two_claims_the_higher_epoch_wins(self):
        local = new_ownership()
        self.decide(local, 1.3)
        self.record_heartbeat(local, "b", 1.4, claim=local.epoch + 1)
        self.assertIs(self.decide(local, 1.4), ownership.Role.FOLLOWER)
        self.assertEqual(local.epoch, 0)

    def test_a_placer_that_refuses_connections_is_replaced_at_once(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.record_heartbeat(local, "c", 2.0, started=3.0)
        local.members["b"].refuses_connections = True
        self.assertIs(self.decide(local, 2.1), ownership.Role.PLACER)
        self.assertGreater(local.epoch, 77)

    def test_a_silent_placer_is_replaced_after_the_heartbeat_timeout(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.record_heartbeat(local, "c", 2.5, started=3.0)
        self.assertIsNone(self.decide(local, 2.5))
        self.record_heartbeat(local, "c", 2.7, started=3.0)
        self.assertIs(self.decide(local, 2.7), ownership.Role.PLACER)

    def test_a_resumed_dispatcher_hears_the_placer_before_it_claims(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        local.handle_process_pause(2.8)
        self.assertIsNone(self.decide(local, 2.8))
        local.last_contact_at = 2.81  # another zone was heard first
        self.assertIsNone(self.decide(local, 2.82))
        self.record_heartbeat(local, "b", 2.83, claim=77)
        self.assertIsNone(self.decide(local, 3.2))
        self.assertEqual(local.placer(3.2), "b")

    def test_an_isolated_dispatcher_waits_before_it_claims(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.assertIsNone(self.decide(local, 3.0))
        self.assertIsNone(self.decide(local, 5.0))
        self.assertIs(self.decide(local, 5.6), ownership.Role.PLACER)

    def test_a_dispatcher_that_was_isolated_before_waits_again(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.assertIsNone(self.decide(local, 3.0))
        local.last_contact_at = 4.0
        for now in (4.1, 4.5, 5.0):
            self.record_heartbeat(local, "b", now, claim=77)
            self.assertIsNone(self.decide(local, now))
        for now in (5.7, 8.0):
            self.assertIsNone(self.decide(local, now))
        self.assertIs(self.decide(local, 8.3), ownership.Role.PLACER)

    def test_an_isolated_dispatcher_respects_a_newer_claim_in_the_store(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.decide(local, 3.0)
        local.stored_claim = (78, 5.5)
        self.assertIsNone(self.decide(local, 6.0))
        self.assertIs(self.decide(local, 9.0), ownership.Role.PLACER)

    def test_a_dispatcher_that_reaches_the_store_claims_at_once(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        local.stored_claim = (77, 2.5)  # the claim of the silent placer
        self.assertIsNone(self.decide(local, 2.65))
        self.assertTrue(local.awaits_connectivity_proof)
        local.last_contact_at = 2.8
        self.assertIs(self.decide(local, 2.81), ownership.Role.PLACER)

    def test_a_fenced_isolated_dispatcher_does_not_claim_again_soon(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0)
        self.decide(local, 3.0)
        self.assertIs(self.decide(local, 6.0), ownership.Role.PLACER)
        local.step_down_fenced(6.5)
        for now in (7.6, 9.5, 12.0):
            self.assertIsNone(self.decide(local, now))

    def test_epochs_increase_although_the_wall_clock_goes_back(self):
        local = new_ownership()
        self.decide(local, 1.3)
        first = local.epoch
        local.last_contact_at = 1.4
        local.step_down_fenced(1.5)
        self.assertIsNone(self.decide(local, 1.6))
        self.decide(local, 3.0, WALL_S - 3600)
        self.assertGreater(local.epoch, first)
        self.assertLessEqual(local.epoch, ownership.EPOCH_MAX)

    def test_a_stopping_placer_waits_for_a_successor(self):
        local = new_ownership()
        self.decide(local, 1.3)
        local.is_candidate = False
        self.assertIsNone(self.decide(local, 1.4))
        self.record_heartbeat(local, "b", 1.5)
        self.assertIs(self.decide(local, 1.6), ownership.Role.FOLLOWER)

    def test_the_weight_of_a_member_is_the_one_it_reported_last(self):
        local = new_ownership()
        local.record_heartbeat("b", 2.0, 0, True, 1.0, weight=1.0)
        local.record_heartbeat("b", 2.0, 0, True, 1.2, weight=2.5)
        self.assertEqual(local.members["b"].weight, 2.5)

    def test_a_relayed_claim_prevents_claiming(self):
        local = new_ownership()
        self.record_heartbeat(local, "c", 2.0, started=3.0)
        local.record_relayed_claim("b", 77, 2.0)
        self.assertIsNone(self.decide(local, 2.1))
        self.record_heartbeat(local, "c", 2.5, started=3.0)
        self.assertIs(self.decide(local, 2.5), ownership.Role.PLACER)
        self.assertGreater(local.epoch, 77)

    def test_a_refused_connection_outweighs_a_relayed_claim(self):
        local = new_ownership()
        self.record_heartbeat(local, "b", 2.0, claim=77)
        self.record_heartbeat(local, "c", 2.0, started=3.0)
        local.members["b"].refuses_connections = True
        local.record_relayed_claim("b", 77, 2.1)
        self.assertIs(self.decide(local, 2.1), ownership.Role.PLACER)

    def test_a_dispatcher_that_starts_waits_for_those_not_heard_yet(self):
        local = new_ownership()
        local.awaits_members = True
        for now in (0.8, 2.4):
            self.assertIsNone(self.decide(local, now))
        local.awaits_members = False
        self.assertIs(self.decide(local, 2.4), ownership.Role.PLACER)

    def test_a_dispatcher_that_starts_waits_for_a_limited_time(self):
        local = new_ownership()
        local.awaits_members = True
        self.assertIs(
            self.decide(local, ownership.ISOLATED_WAIT_S), ownership.Role.PLACER
        )

    def test_one_that_has_just_read_the_list_lets_an_older_one_read_it(self):
        local = new_ownership("a", 5.0)
        self.record_heartbeat(local, "b", 3.0, 1.0)
        self.assertIsNone(self.decide(local, 3.0))
        local.server_count = 9
        read_at = 3.0
        for age_s, role in ((0.2, None), (0.6, None), (0.8, "placer")):
            now = read_at + age_s
            self.record_heartbeat(local, "b", now, 1.0)
            decided = self.decide(local, now)
            self.assertEqual(decided and decided.value, role)


if __name__ == "__main__":
    unittest.main()
