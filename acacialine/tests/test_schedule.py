"""What the placer keeps up to date, against its plain recomputation."""

import unittest

import hypothesis
from hypothesis import strategies

from acacialine import resources
from acacialine import schedule
from acacialine import serverhealth
from acacialine.tests import support
from acacialine.tests import test_placer_properties
from acacialine.tests import zonebuilders as build

DEMANDS = (resources.Resources(5000, 64), resources.Resources(7000, 64))
SERVICE = "closure-desk"


def plain_slot_free_times(tables, demand, now):
    """Returns what `schedule.slot_free_times` does, without its cache."""
    free_times = []
    for server in tables.servers.values():
        if not serverhealth.is_usable_soon(server, now):
            continue
        count = schedule.count_slots(server.capacity, demand)
        free_count = min(count, schedule.count_slots(server.free, demand))
        available_at = max(now, server.avoid_until)
        free_times += [available_at] * free_count
        ends = sorted(
            schedule.expected_end(run, now) for run in server.runs.values()
        )
        free_times += [
            max(available_at, end) for end in ends[: count - free_count]
        ]
    return free_times


class CheckedSimulation(test_placer_properties.Simulation):
    """Compares what each owner keeps with its recomputation as time passes."""

    def advance(self, seconds):
        super().advance(seconds)
        for owner in self.owners:
            tables = owner.placer.tables
            for server in tables.servers.values():
                runs = server.runs.values()
                assert server.unclaimed_runs == sum(
                    r.is_unclaimed for r in runs
                )
                assert server.free == server.capacity - server.used
            for demand in DEMANDS:
                kept = schedule.slot_free_times(
                    tables, SERVICE, demand, "", self.now
                )
                plain = plain_slot_free_times(tables, demand, self.now)
                assert sorted(kept) == sorted(plain), (kept, plain)


class ScheduleTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=support.FUZZ_EXAMPLES // 20, deadline=None, database=None
    )
    @hypothesis.seed(20261204)
    @hypothesis.given(
        seed=strategies.integers(0, 2**32),
        fault_rate=strategies.sampled_from((0.0, 0.1)),
    )
    def test_kept_slots_equal_their_recomputation(self, seed, fault_rate):
        CheckedSimulation(seed, fault_rate).run()


class ShrunkenServerTest(unittest.TestCase):
    def test_the_first_ends_on_a_shrunken_server_free_no_slot(self):
        placer = build.placer(build.server(cpu=21000))
        job = build.submission(step=build.step(3), left_s=9.0)
        placer.submit(job, "dispatcher", 0.0)
        placer.tick(0.0)
        runs = build.starts(placer.take_orders())
        for number, run in enumerate(runs, 1):
            run.expected_s = 0.1 * number
        server = runs[0].server
        for cpu, slots in ((21000, (0.1, 0.2, 0.3)), (14000, (0.2, 0.3))):
            server.resize(resources.Resources(cpu, 32768))
            free_times = schedule.slot_free_times(
                placer.tables, SERVICE, build.step().demand, "", 0.01
            )
            for free_at, expected in zip(free_times, slots, strict=True):
                self.assertAlmostEqual(free_at, expected)


if __name__ == "__main__":
    unittest.main()
