"""Stateful property tests of the core; `make fuzz` runs them longer.

Hypothesis drives a simulated network of entries with submissions, faults and
time in any order. After each step, no task may have started twice, no refused
submission may have started and no broker may exceed its slots.
"""

import os
import random
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from acacialine import submissions
from acacialine.tests import network as network_lib

FUZZ = bool(os.environ.get("ACACIALINE_FUZZ"))
SLOTS = 8
NODES = 3


class Machine(stateful.RuleBasedStateMachine):
    """Entries of one zone under submissions and faults in any order."""

    zones: tuple[str, ...] = ("zone-a",)

    def __init__(self):
        super().__init__()
        self.net = network_lib.Network(NODES, 2, self.zones)
        self.submission_ids: list[str] = []
        self.remaining_refusals = 0
        self.net.refuse_start = self._refuse_start

    def _refuse_start(self) -> bool:
        self.remaining_refusals -= 1
        return self.remaining_refusals >= 0

    @stateful.rule(
        node=st.integers(0, NODES - 1),
        via=st.integers(0, NODES - 1),
        count=st.integers(1, 30),
    )
    def submit_new(self, node, via, count):
        prefix = submissions.prefix(self.net.nodes[node].core.tables)
        submission_id = f"{prefix}/k{len(self.submission_ids)}"
        self.submission_ids.append(submission_id)
        self.net.submit(via, submission_id, count, b"body")

    @stateful.rule(
        pick=st.integers(0, 1000),
        via=st.integers(0, NODES - 1),
        count=st.integers(1, 30),
        body=st.sampled_from([b"body", b"body", b"other"]),
    )
    def submit_again(self, pick, via, count, body):
        if self.submission_ids:
            submission_id = self.submission_ids[pick % len(self.submission_ids)]
            self.net.submit(via, submission_id, count, body)

    @stateful.rule(steps=st.integers(0, 6))
    def resubmission_storm(self, steps):
        for _ in range(steps):
            self.net.step(0.2)
        for submission_id in self.submission_ids[-12:]:
            for via in range(NODES):
                self.net.submit(via, submission_id, 3, b"body")

    @stateful.rule(
        node=st.integers(0, NODES - 1), cause=st.sampled_from(["crash", "old"])
    )
    def forget_and_resubmit(self, node, cause):
        for _ in range(3):
            self.net.step(0.1)
        for attempt in list(self.net.attempts):
            self.net.finish(attempt, "ok")
        if cause == "crash":
            self.net.crash(node)
        else:
            tables = self.net.nodes[node].core.tables
            for _ in range(tables.settings.submissions.epochs_kept + 1):
                submissions.advance_epoch(tables, self.net.now)
        self.resubmission_storm(6)

    @stateful.rule(
        steps=st.integers(1, 12), seconds=st.sampled_from([0.005, 0.05, 0.2])
    )
    def pass_time(self, steps, seconds):
        for _ in range(steps):
            self.net.step(seconds)

    @stateful.rule(
        count=st.integers(1, 10),
        result=st.sampled_from(["ok", "ok", "failed", "lost"]),
    )
    def finish_attempts(self, count, result):
        for attempt in self.net.attempts[:count]:
            self.net.finish(attempt, result)

    @stateful.rule(count=st.integers(1, 5))
    def refuse_starts(self, count):
        self.remaining_refusals = count

    @stateful.rule(
        fault=st.sampled_from(
            ["drop_messages", "partition", "heal", "crash", "pause", "leave"]
        ),
        node=st.integers(0, NODES - 1),
        other=st.integers(1, NODES - 1),
        seconds=st.floats(0.1, 3.0),
    )
    def fault(self, fault, node, other, seconds):
        net = self.net
        other = (node + other) % NODES
        core = net.nodes[node].core
        match fault:
            case "drop_messages":
                net.drop_messages(node, other)
            case "partition":
                net.partitions.add(frozenset((node, other)))
            case "heal":
                net.partitions.clear()
            case "crash":
                net.crash(node)
            case "pause":
                net.nodes[node].paused_until = net.now + seconds
            case "leave":
                net.apply_vm_list(core, frozenset({f"b{other % 2}"}))

    @stateful.invariant()
    def invariants_hold(self):
        self.net.check_invariants()

    @stateful.invariant()
    def slots_are_bounded(self):
        # Brokers that cannot reach each other may each assign all slots.
        for backend_id, peak in self.net.peak_running.items():
            assert peak <= NODES * SLOTS, f"{backend_id}: {peak}"


class TwoZonesMachine(Machine):
    """Entries of two zones, with starts relayed between the zones."""

    zones = ("zone-a", "zone-b")


SETTINGS = hypothesis.settings(
    max_examples=2000 if FUZZ else 40,
    stateful_step_count=80 if FUZZ else 40,
    derandomize=not FUZZ,
    deadline=None,
    database=None,
    print_blob=True,
    # Examples are shrunk and explained only when fuzzing.
    phases=list(hypothesis.Phase)[: 6 if FUZZ else 3],
    suppress_health_check=list(hypothesis.HealthCheck),
)
if FUZZ:
    _SEED = int(os.environ.get("ACACIALINE_SEED", random.randrange(1 << 32)))
    print(f"fuzz seed: ACACIALINE_SEED={_SEED}")
    Machine = hypothesis.seed(_SEED)(Machine)
    TwoZonesMachine = hypothesis.seed(_SEED)(TwoZonesMachine)

OneZoneTest = Machine.TestCase
OneZoneTest.settings = SETTINGS
TwoZonesTest = TwoZonesMachine.TestCase
TwoZonesTest.settings = SETTINGS


class SlotsWithoutFaultsTest(unittest.TestCase):
    """Without faults no backend server runs more tasks than it has slots."""

    def test_slots_are_never_exceeded(self):
        for seed in range(5):
            net = network_lib.Network(NODES, 2)
            rng = random.Random(seed)
            for number in range(300):
                via = rng.randrange(NODES)
                prefix = submissions.prefix(net.nodes[via].core.tables)
                if rng.random() < 0.3:
                    submission_id = f"{prefix}/k{number}"
                    net.submit(
                        via, submission_id, rng.randrange(1, 20), b"body"
                    )
                net.step(0.01)
                for attempt in list(net.attempts):
                    if rng.random() < 0.2:
                        net.finish(attempt, "ok")
                net.check_invariants()
            self.assertGreater(sum(net.start_counts.values()), 100)
            self.assertLessEqual(max(net.peak_running.values()), SLOTS)


del Machine, TwoZonesMachine

if __name__ == "__main__":
    unittest.main()
