"""Stateful property tests of the core; `make fuzz` runs them longer."""

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
    """Submissions, faults and time in any order."""

    zones: tuple[str, ...] = ("zone-a",)

    def __init__(self):
        super().__init__()
        self.net = network_lib.Network(NODES, 2, self.zones)
        self.texts: list[str] = []
        self.refuse_next = 0
        self.net.on_start = self._refuses

    def _refuses(self) -> bool:
        self.refuse_next -= 1
        return self.refuse_next >= 0

    @stateful.rule(
        node=st.integers(0, NODES - 1),
        via=st.integers(0, NODES - 1),
        count=st.integers(1, 30),
    )
    def submit_new(self, node, via, count):
        prefix = submissions.prefix(self.net.nodes[node].core.tables)
        text = f"{prefix}/k{len(self.texts)}"
        self.texts.append(text)
        self.net.submit(via, text, count, b"body")

    @stateful.rule(
        pick=st.integers(0, 1000),
        via=st.integers(0, NODES - 1),
        count=st.integers(1, 30),
        body=st.sampled_from([b"body", b"body", b"other"]),
    )
    def submit_again(self, pick, via, count, body):
        if self.texts:
            text = self.texts[pick % len(self.texts)]
            self.net.submit(via, text, count, body)

    @stateful.rule(steps=st.integers(0, 6))
    def resubmission_storm(self, steps):
        for _ in range(steps):
            self.net.step(0.2)
        for text in self.texts[-12:]:
            for via in range(NODES):
                self.net.submit(via, text, 3, b"body")

    @stateful.rule(
        node=st.integers(0, NODES - 1), what=st.sampled_from(["crash", "old"])
    )
    def forget_and_resubmit(self, node, what):
        for _ in range(3):
            self.net.step(0.1)
        for attempt in list(self.net.attempts):
            self.net.finish(attempt, "ok")
        if what == "crash":
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
        how=st.sampled_from(["ok", "ok", "failed", "lost"]),
    )
    def finish_attempts(self, count, how):
        for attempt in self.net.attempts[:count]:
            self.net.finish(attempt, how)

    @stateful.rule(count=st.integers(1, 5))
    def refuse_starts(self, count):
        self.refuse_next = count

    @stateful.rule(
        fault=st.sampled_from(
            ["lose", "cut", "heal", "crash", "pause", "leave"]
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
            case "lose":
                net.lose(node, other)
            case "cut":
                net.cut.add(frozenset((node, other)))
            case "heal":
                net.cut.clear()
            case "crash":
                net.crash(node)
            case "pause":
                net.nodes[node].paused_until = net.now + seconds
            case "leave":
                net.show_vms(core, frozenset({f"b{other % 2}"}))

    @stateful.invariant()
    def promises_hold(self):
        self.net.check()

    @stateful.invariant()
    def slots_are_bounded(self):
        # Two brokers that cannot hear each other each keep to the slots.
        for backend_id, peak in self.net.peak.items():
            assert peak <= NODES * SLOTS, f"{backend_id}: {peak}"


class TwoZonesMachine(Machine):
    """The same with relays between two zones."""

    zones = ("zone-a", "zone-b")


SETTINGS = hypothesis.settings(
    max_examples=2000 if FUZZ else 40,
    stateful_step_count=80 if FUZZ else 40,
    derandomize=not FUZZ,
    deadline=None,
    database=None,
    print_blob=True,
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


class SlotsWithoutDisagreementTest(unittest.TestCase):
    """While all entries hear each other, slots are exact."""

    def test_slots_are_exact(self):
        for seed in range(5):
            net = network_lib.Network(NODES, 2)
            rng = random.Random(seed)
            for number in range(300):
                via = rng.randrange(NODES)
                prefix = submissions.prefix(net.nodes[via].core.tables)
                if rng.random() < 0.3:
                    text = f"{prefix}/k{number}"
                    net.submit(via, text, rng.randrange(1, 20), b"body")
                net.step(0.01)
                for attempt in list(net.attempts):
                    if rng.random() < 0.2:
                        net.finish(attempt, "ok")
                net.check()
            self.assertGreater(sum(net.starts.values()), 100)
            self.assertLessEqual(max(net.peak.values()), SLOTS)


del Machine, TwoZonesMachine

if __name__ == "__main__":
    unittest.main()
