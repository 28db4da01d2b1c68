"""Who is the placer of a zone, under silence, cuts and clock steps."""

import unittest

from acacialine import ownership

WALL_S = 1_790_000_000.0


def new(member_id="a", started=1.0, since=0.0):
    return ownership.Ownership(member_id, started, since)


class OwnershipTest(unittest.TestCase):
    def hear(self, owner, member_id, now, started=2.0, claim=0, ready=True):
        owner.hear(member_id, started, claim, ready, now)

    def decide(self, owner, now, wall_s=WALL_S):
        return owner.decide(now, wall_s, 5)

    def test_the_oldest_entry_claims_after_the_start(self):
        older, younger = new("a", 1.0), new("b", 2.0)
        self.assertIsNone(self.decide(older, 0.5))
        for now in (1.0, 1.3):
            self.hear(older, "b", now, 2.0)
            self.hear(younger, "a", now, 1.0)
        self.assertIsNone(self.decide(younger, 1.3))
        self.assertIs(self.decide(older, 1.3), ownership.Role.PLACER)
        self.assertEqual(older.placer(1.3), "a")

    def test_an_entry_alone_in_its_zone_claims(self):
        owner = new()
        self.assertIs(self.decide(owner, 1.3), ownership.Role.PLACER)

    def test_a_live_claim_is_followed_whoever_is_older(self):
        owner = new("a", 1.0)
        self.hear(owner, "b", 1.2, 2.0, claim=77)
        self.assertIsNone(self.decide(owner, 1.3))
        self.assertEqual(owner.placer(1.3), "b")

    def test_of_two_claims_the_higher_epoch_stays(self):
        owner = new()
        self.decide(owner, 1.3)
        self.hear(owner, "b", 1.4, claim=owner.epoch + 1)
        self.assertIs(self.decide(owner, 1.4), ownership.Role.FOLLOWER)
        self.assertEqual(owner.epoch, 0)

    def test_a_refused_connection_buries_the_placer_at_once(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        self.hear(owner, "c", 2.0, started=3.0)
        owner.members["b"].refused = True
        self.assertIs(self.decide(owner, 2.1), ownership.Role.PLACER)
        self.assertGreater(owner.epoch, 77)

    def test_a_silent_placer_is_replaced_after_a_while(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        self.hear(owner, "c", 2.5, started=3.0)
        self.assertIsNone(self.decide(owner, 2.5))
        self.hear(owner, "c", 2.7, started=3.0)
        self.assertIs(self.decide(owner, 2.7), ownership.Role.PLACER)

    def test_an_entry_that_hears_nobody_waits_before_it_claims(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        self.assertIsNone(self.decide(owner, 3.0))
        self.assertIsNone(self.decide(owner, 5.0))
        self.assertIs(self.decide(owner, 5.6), ownership.Role.PLACER)

    def test_an_entry_that_is_cut_off_believes_the_claim_in_the_store(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        self.decide(owner, 3.0)
        owner.stored_claim = (78, 5.5)
        self.assertIsNone(self.decide(owner, 6.0))
        self.assertIs(self.decide(owner, 9.0), ownership.Role.PLACER)

    def test_an_entry_that_reaches_others_claims_at_once(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        owner.stored_claim = (77, 2.5)  # the silent placer's own
        self.assertIsNone(self.decide(owner, 2.65))
        self.assertTrue(owner.seeks_evidence)
        owner.connected_at = 2.8
        self.assertIs(self.decide(owner, 2.81), ownership.Role.PLACER)

    def test_a_fenced_entry_that_reaches_nobody_stays_away(self):
        owner = new()
        self.hear(owner, "b", 2.0)
        self.decide(owner, 3.0)
        self.assertIs(self.decide(owner, 6.0), ownership.Role.PLACER)
        owner.fenced(6.5)
        for now in (7.6, 9.5, 12.0):
            self.assertIsNone(self.decide(owner, now))

    def test_epochs_rise_though_the_time_of_day_falls(self):
        owner = new()
        self.decide(owner, 1.3)
        first = owner.epoch
        owner.connected_at = 1.4
        owner.fenced(1.5)
        self.assertIsNone(self.decide(owner, 1.6))
        self.decide(owner, 3.0, WALL_S - 3600)
        self.assertGreater(owner.epoch, first)
        self.assertLessEqual(owner.epoch, ownership.EPOCH_MAX)

    def test_a_stopping_placer_waits_for_a_successor(self):
        owner = new()
        self.decide(owner, 1.3)
        owner.is_candidate = False
        self.assertIsNone(self.decide(owner, 1.4))
        self.hear(owner, "b", 1.5)
        self.assertIs(self.decide(owner, 1.6), ownership.Role.FOLLOWER)

    def test_what_others_hear_keeps_from_claiming(self):
        owner = new()
        self.hear(owner, "c", 2.0, started=3.0)
        owner.hear_of("b", 77, 2.0)
        self.assertIsNone(self.decide(owner, 2.1))
        self.hear(owner, "c", 2.5, started=3.0)
        self.assertIs(self.decide(owner, 2.5), ownership.Role.PLACER)
        self.assertGreater(owner.epoch, 77)

    def test_own_evidence_of_a_death_goes_before_what_others_say(self):
        owner = new()
        self.hear(owner, "b", 2.0, claim=77)
        self.hear(owner, "c", 2.0, started=3.0)
        owner.members["b"].refused = True
        owner.hear_of("b", 77, 2.1)
        self.assertIs(self.decide(owner, 2.1), ownership.Role.PLACER)


if __name__ == "__main__":
    unittest.main()
