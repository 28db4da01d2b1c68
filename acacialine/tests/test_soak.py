"""Tests that soak plans are reproducible and a short soak has no findings."""

import unittest

from acacialine.tools import soak
from acacialine.tools import soakplan

SECONDS = 8.0
ENTRIES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
SERVERS = {"i-0": "a", "i-1": "a", "i-2": "b", "i-3": "b"}


def plan(seed, seconds=60.0):
    return soakplan.new_plan(seed, seconds, ENTRIES, SERVERS, 2.0)


def outage_plan(seed):
    return soakplan.new_outage_plan(seed, 60.0, ENTRIES, SERVERS, 2.0)


class SoakPlanTest(unittest.TestCase):
    def test_a_seed_always_gives_the_same_plan(self):
        self.assertEqual(plan(1), plan(1))
        self.assertNotEqual(plan(1), plan(2))

    def test_each_zone_keeps_an_entry_and_a_server_without_faults(self):
        targets = {f.target for seed in range(20) for f in plan(seed).faults}
        self.assertLessEqual(targets, {"a2", "b2", "i-1", "i-3", ""})

    def test_plans_contain_every_kind_of_fault(self):
        kinds = {f.kind for seed in range(20) for f in plan(seed).faults}
        self.assertEqual(
            kinds,
            set(soakplan.FaultKind)
            - {
                *soakplan.OUTAGE_KINDS,
                *soakplan.PARTIAL_KINDS,
                soakplan.FaultKind.SERVER_OUTLIVED,
            },
        )

    def test_outage_plans_strike_every_entry_and_server(self):
        faults = [f for seed in range(20) for f in outage_plan(seed).faults]
        self.assertEqual({f.kind for f in faults}, set(soakplan.FaultKind))
        targets = {f.target for f in faults}
        self.assertLessEqual({*ENTRIES, *SERVERS, "a", "b"}, targets)


class SoakTest(unittest.TestCase):
    def test_a_short_soak_has_no_findings(self):
        result = soak.run(1, SECONDS, soak.Size(jobs_per_s=8.0))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.answers[200], 20)

    def test_a_short_soak_with_outages_has_no_findings(self):
        result = soak.run(303, SECONDS, soak.new_outage_size((2, 1)))
        self.assertEqual(result.findings, [])
        self.assertGreater(result.answers[200], 20)


if __name__ == "__main__":
    unittest.main()
