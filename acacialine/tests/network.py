"""A few cores with a virtual clock, lossy links and fake backend servers."""

import collections

import attrs
import msgspec

from acacialine import actions
from acacialine import admission
from acacialine import errors
from acacialine import ids
from acacialine import requests
from acacialine import slots
from acacialine import submissions
from acacialine import tables as tables_lib
from acacialine.tests import support

OK = tables_lib.BackendAnswer(200, b"{}", "application/json")
FAILED = tables_lib.BackendAnswer(500, b"{}", "application/json")


@attrs.define(eq=False)
class Attempt:
    """A start that the fake backend servers know of."""

    node: "Node"
    action: actions.StartTask
    backend_id: str
    began: bool
    stopped: bool = False


@attrs.define(eq=False)
class Node:
    """One entry: its core, or the next incarnation of it."""

    number: int
    core: object
    generation: int = 0
    paused_until: float = 0.0

    @property
    def id(self) -> str:
        return self.core.tables.my_id


@attrs.define(eq=False)
class Network:
    """Everything the property tests drive and check."""

    count: int = 2
    backends: int = 2
    zones: tuple[str, ...] = ("zone-a",)
    now: float = 0.0
    nodes: list[Node] = attrs.field(factory=list)
    links: dict[tuple[str, str], collections.deque] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )
    cut: set[frozenset[int]] = attrs.field(factory=set)
    starts: collections.Counter = attrs.field(factory=collections.Counter)
    attempts: list[Attempt] = attrs.field(factory=list)
    answers: dict[str, set] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    refused_ids: set[str] = attrs.field(factory=set)
    peak: collections.Counter = attrs.field(factory=collections.Counter)
    on_start: object = None

    def __attrs_post_init__(self):
        for number in range(self.count):
            self.nodes.append(Node(number, self._boot(number, 0)))
        for _ in range(80):
            self.step(0.05)

    def _boot(self, number: int, generation: int):
        core = support.new_core(number + 1)
        tables = core.tables
        nonce = f"{generation:08x}{number:08x}"
        tables.me = ids.Incarnation("10.0.0.1", 7000 + number, nonce)
        zone = self.zones[number % len(self.zones)]
        entry = attrs.evolve(
            tables.settings.entry, zone=zone, name=f"n{number}"
        )
        tables.settings = attrs.evolve(tables.settings, entry=entry)
        tables.epoch_at = tables.last_tick_at = self.now
        self.show_vms(core)
        return core

    def show_vms(self, core, leaving: frozenset[str] = frozenset()) -> None:
        vms = [
            support.vm(
                f"b{i}",
                self.zones[i % len(self.zones)],
                state="leaving" if f"b{i}" in leaving else "live",
            )
            for i in range(self.backends)
        ]
        core.apply_vms(support.platforms.VmList(vms), self.now)

    def node_of(self, node_id: str) -> Node | None:
        for node in self.nodes:
            if node.id == node_id:
                return node
        return None

    def step(self, seconds: float) -> None:
        """Lets time pass, ticks every core and delivers all messages."""
        self.now += seconds
        for attempt in list(self.attempts):
            # A backend server ends a task when its lease has passed.
            if attempt.action.task.job.deadline < self.now:
                self.finish(attempt, "lost")
        for node in self.nodes:
            if node.paused_until <= self.now:
                self._introduce(node)
                self.tick(node)
        self.deliver()

    def _introduce(self, node: Node) -> None:
        """Does what the discovery of the shell does."""
        from acacialine import membership

        known = {p.incarnation.address for p in node.core.tables.peers.values()}
        for other in self.nodes:
            address = other.core.tables.me.address
            if other is node or address in known or self._is_cut(node, other):
                continue
            peer = tables_lib.Peer(other.core.tables.me, "", "")
            beat = membership.heartbeat_for(node.core.tables, peer, self.now)
            self.links[(node.id, other.id)].append(beat)

    def _is_cut(self, one: Node, other: Node) -> bool:
        return frozenset((one.number, other.number)) in self.cut

    def tick(self, node: Node) -> None:
        for action in node.core.tick(self.now):
            self._execute(node, action)

    def _execute(self, node: Node, action) -> None:
        match action:
            case actions.StartTask():
                self._start(node, action)
            case actions.StopTask(task, number):
                for attempt in self.attempts:
                    same = attempt.action.task is task
                    if same and attempt.action.attempt == number:
                        attempt.stopped = True
            case actions.FinishJob(job):
                self.record(job.submission_id, job.answer)
            case actions.Send(peer_id, message):
                self.links[(node.id, peer_id)].append(message)

    def _start(self, node: Node, action: actions.StartTask) -> None:
        """Begins an attempt as the shell would: late grants never start."""
        grant = action.grant
        late = self.now >= min(grant.use_until, action.task.job.deadline)
        refuses = self.on_start() if self.on_start else False
        began = not late and not refuses
        if began and grant.relayed:
            began = self._relay(node, action)
        if began:
            self.starts[action.task.task_id] += 1
        attempt = Attempt(node, action, grant.backend_id, began)
        self.attempts.append(attempt)
        # Tasks of dead coordinators run on; only the backend server knows
        # of them, and refuses beyond its slots.
        running = sum(
            a.began and self.node_of(a.node.id) is a.node
            for a in self.attempts
            if a.backend_id == grant.backend_id
        )
        peak = self.peak[grant.backend_id]
        self.peak[grant.backend_id] = max(peak, running)

    def _relay(self, node: Node, action: actions.StartTask) -> bool:
        other = self.node_of(action.grant.broker)
        if other is None or self._is_cut(node, other):
            return False
        accepted = slots.accept_relay(
            other.core.tables,
            node.id,
            action.grant.seq,
            action.grant.backend_id,
        )
        return accepted is not None

    def deliver(self) -> None:
        for (sender, receiver), queue in list(self.links.items()):
            source = self.node_of(sender)
            target = self.node_of(receiver)
            if target is None:
                queue.clear()
                continue
            if source and self._is_cut(source, target):
                continue
            if target.paused_until > self.now:
                continue
            while queue:
                target.core.receive(sender, queue.popleft(), self.now)

    def lose(self, one: int, other: int) -> None:
        """Loses what is on its way between two nodes."""
        for pair in ((one, other), (other, one)):
            key = (self.nodes[pair[0]].id, self.nodes[pair[1]].id)
            self.links[key].clear()

    def finish(self, attempt: Attempt, how: str) -> None:
        """Ends an attempt as a backend server or the network would."""
        self.attempts.remove(attempt)
        if self.node_of(attempt.node.id) is not attempt.node:
            return
        if attempt.action.task.job.answer is None and attempt.stopped:
            how = "lost"
        grant = attempt.action.grant
        other = self.node_of(grant.broker)
        if grant.relayed and other:
            slots.finish_relay(other.core.tables, grant.seq, grant.backend_id)
        outcome = tables_lib.AttemptOutcome.ANSWERED
        answer = OK if how == "ok" else FAILED
        reason = ""
        if not attempt.began:
            outcome = tables_lib.AttemptOutcome.NOT_STARTED
            answer, reason = None, "refused"
        elif how == "lost":
            outcome = tables_lib.AttemptOutcome.UNKNOWN
            answer, reason = None, "reset"
        attempt.node.core.finish_attempt(
            attempt.action, outcome, answer, reason, self.now
        )

    def crash(self, number: int) -> None:
        """Kills a node; a new incarnation takes its address."""
        old = self.nodes[number]
        core = self._boot(number, old.generation + 1)
        self.nodes[number] = Node(number, core, old.generation + 1)

    def submit(self, number: int, text: str, count: int, body: bytes) -> None:
        """Sends a submission to a node, which may forward it once."""
        node = self.nodes[number]
        tables = node.core.tables
        submission = ids.parse_submission_id(text)
        digest = ids.digest(body)
        found = node.core.resolve("alpha", submission, digest)
        if isinstance(found, submissions.Forward):
            other = self.node_of(found.peer_id)
            if other is None or self._is_cut(node, other):
                return
            node, tables = other, other.core.tables
            found = node.core.resolve("alpha", submission, digest)
        if isinstance(found, submissions.Fresh):
            found = self._admit(node, submission, count, digest)
        if isinstance(found, submissions.Answered):
            self.record(text, found.answer)
        del tables

    def _admit(self, node, submission, count, digest):
        tables = node.core.tables
        document = tables.fold.documents["alpha"]
        task = requests.TaskRequest(msgspec.Raw(b"{}"))
        request = requests.JobRequest([task] * count, "quick")
        draft = admission.Draft(
            submission, digest, request, document, 3000, self.now, 100
        )
        job = admission.new_job(tables, draft)
        while not admission.add_tasks(tables, draft, job, 2):
            pass
        return node.core.admit(draft, job, self.now)

    def record(self, text: str, answer: tables_lib.JobAnswer) -> None:
        if answer.code == errors.Code.DIGEST_MISMATCH:
            return
        if answer.outcome == errors.Outcome.NOT_RUN:
            self.refused_ids.add(text)
        if answer.outcome != errors.Outcome.UNKNOWN:
            self.answers[text].add(answer.outcome)

    def check(self) -> None:
        """Raises AssertionError if a promise is broken."""
        for task_id, count in self.starts.items():
            assert count <= 1, f"{task_id} started {count} times"
            text = task_id.rpartition("#")[0]
            assert text not in self.refused_ids, f"{text} was not run"
        for text, outcomes in self.answers.items():
            assert len(outcomes) <= 1, f"{text} answered as {outcomes}"
        for node in self.nodes:
            for backend in node.core.tables.backends.values():
                own = len(backend.held)
                assert own <= backend.slots, f"{backend.backend_id}: {own}"
