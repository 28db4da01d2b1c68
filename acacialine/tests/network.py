"""A simulated network of cores for the property tests.

It has a virtual clock, message queues that can lose or hold back messages,
and fake backend servers.
"""

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
    """A start attempt at the fake backend servers.

    Attributes:
        started: Whether the task started; otherwise it was refused.
        stopped: Whether the core has ordered the attempt to stop.
    """

    node: "Node"
    action: actions.StartTask
    backend_id: str
    started: bool
    stopped: bool = False


@attrs.define(eq=False)
class Node:
    """One entry of the network; a crash replaces it by a new incarnation."""

    number: int
    core: object
    generation: int = 0
    paused_until: float = 0.0

    @property
    def id(self) -> str:
        return self.core.tables.my_id


@attrs.define(eq=False)
class Network:
    """The entries, the links between them and the fake backend servers.

    Attributes:
        partitions: Pairs of node numbers that cannot reach each other.
        start_counts: How often each task has started, by task id.
        attempts: The attempts that have not ended.
        outcomes_by_submission: Outcomes that a submission was answered with.
        peak_running: Most tasks that live coordinators ran at once, by
            backend server.
        refuse_start: Returns whether the next start is refused.
    """

    node_count: int = 2
    backend_count: int = 2
    zones: tuple[str, ...] = ("zone-a",)
    now: float = 0.0
    nodes: list[Node] = attrs.field(factory=list)
    message_queues: dict[tuple[str, str], collections.deque] = attrs.field(
        factory=lambda: collections.defaultdict(collections.deque)
    )
    partitions: set[frozenset[int]] = attrs.field(factory=set)
    start_counts: collections.Counter = attrs.field(factory=collections.Counter)
    attempts: list[Attempt] = attrs.field(factory=list)
    outcomes_by_submission: dict[str, set] = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    refused_ids: set[str] = attrs.field(factory=set)
    peak_running: collections.Counter = attrs.field(factory=collections.Counter)
    refuse_start: object = None

    def __attrs_post_init__(self):
        for number in range(self.node_count):
            self.nodes.append(Node(number, self._new_core(number, 0)))
        for _ in range(80):
            self.step(0.05)

    def _new_core(self, number: int, generation: int):
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
        self.apply_vm_list(core)
        return core

    def apply_vm_list(
        self, core, leaving: frozenset[str] = frozenset()
    ) -> None:
        vms = [
            support.vm(
                f"b{i}",
                self.zones[i % len(self.zones)],
                state="leaving" if f"b{i}" in leaving else "live",
            )
            for i in range(self.backend_count)
        ]
        core.apply_vms(support.platforms.VmList(vms), self.now)

    def node_of(self, node_id: str) -> Node | None:
        for node in self.nodes:
            if node.id == node_id:
                return node
        return None

    def step(self, seconds: float) -> None:
        """Advances the clock, ticks every core and delivers all messages."""
        self.now += seconds
        for attempt in list(self.attempts):
            # A backend server ends a task when its lease expires, which is
            # at the job's deadline here.
            if attempt.action.task.job.deadline < self.now:
                self.finish(attempt, "lost")
        for node in self.nodes:
            if node.paused_until <= self.now:
                self._send_first_heartbeats(node)
                self.tick(node)
        self.deliver()

    def _send_first_heartbeats(self, node: Node) -> None:
        """Sends a heartbeat to each unknown node, as entry discovery does."""
        from acacialine import membership

        known = {p.incarnation.address for p in node.core.tables.peers.values()}
        for other in self.nodes:
            address = other.core.tables.me.address
            if (
                other is node
                or address in known
                or self._is_partitioned(node, other)
            ):
                continue
            peer = tables_lib.Peer(other.core.tables.me, "", "")
            heartbeat = membership.heartbeat_for(
                node.core.tables, peer, self.now
            )
            self.message_queues[(node.id, other.id)].append(heartbeat)

    def _is_partitioned(self, first: Node, second: Node) -> bool:
        return frozenset((first.number, second.number)) in self.partitions

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
                self.record_answer(job.submission_id, job.answer)
            case actions.Send(peer_id, message):
                self.message_queues[(node.id, peer_id)].append(message)

    def _start(self, node: Node, action: actions.StartTask) -> None:
        """Runs an attempt as the entry does; an expired grant never starts."""
        grant = action.grant
        expired = self.now >= min(grant.use_until, action.task.job.deadline)
        is_refused = self.refuse_start() if self.refuse_start else False
        started = not expired and not is_refused
        if started and grant.relayed:
            started = self._relay(node, action)
        if started:
            self.start_counts[action.task.task_id] += 1
        attempt = Attempt(node, action, grant.backend_id, started)
        self.attempts.append(attempt)
        # Tasks of crashed coordinators are not counted: they keep running,
        # and only the backend server, which enforces its slots, knows them.
        running = sum(
            a.started and self.node_of(a.node.id) is a.node
            for a in self.attempts
            if a.backend_id == grant.backend_id
        )
        peak = self.peak_running[grant.backend_id]
        self.peak_running[grant.backend_id] = max(peak, running)

    def _relay(self, node: Node, action: actions.StartTask) -> bool:
        other = self.node_of(action.grant.broker)
        if other is None or self._is_partitioned(node, other):
            return False
        accepted = slots.accept_relay(
            other.core.tables,
            node.id,
            action.grant.seq,
            action.grant.backend_id,
        )
        return accepted is not None

    def deliver(self) -> None:
        for (sender, receiver), queue in list(self.message_queues.items()):
            source = self.node_of(sender)
            target = self.node_of(receiver)
            if target is None:
                queue.clear()
                continue
            if source and self._is_partitioned(source, target):
                continue
            if target.paused_until > self.now:
                continue
            while queue:
                target.core.receive(sender, queue.popleft(), self.now)

    def drop_messages(self, first: int, second: int) -> None:
        """Drops the messages in flight between two nodes."""
        for pair in ((first, second), (second, first)):
            key = (self.nodes[pair[0]].id, self.nodes[pair[1]].id)
            self.message_queues[key].clear()

    def finish(self, attempt: Attempt, result: str) -> None:
        """Ends an attempt: "ok", "failed", or "lost" for no reply."""
        self.attempts.remove(attempt)
        if self.node_of(attempt.node.id) is not attempt.node:
            return
        if attempt.action.task.job.answer is None and attempt.stopped:
            result = "lost"
        grant = attempt.action.grant
        other = self.node_of(grant.broker)
        if grant.relayed and other:
            slots.finish_relay(other.core.tables, grant.seq, grant.backend_id)
        outcome = tables_lib.AttemptOutcome.ANSWERED
        answer = OK if result == "ok" else FAILED
        reason = ""
        if not attempt.started:
            outcome = tables_lib.AttemptOutcome.NOT_STARTED
            answer, reason = None, "refused"
        elif result == "lost":
            outcome = tables_lib.AttemptOutcome.UNKNOWN
            answer, reason = None, "reset"
        attempt.node.core.finish_attempt(
            attempt.action, outcome, answer, reason, self.now
        )

    def crash(self, number: int) -> None:
        """Replaces a node by a new incarnation with the same address."""
        old = self.nodes[number]
        core = self._new_core(number, old.generation + 1)
        self.nodes[number] = Node(number, core, old.generation + 1)

    def submit(
        self, number: int, submission_id: str, count: int, body: bytes
    ) -> None:
        """Sends a submission to a node, which forwards it at most once."""
        node = self.nodes[number]
        tables = node.core.tables
        submission = ids.parse_submission_id(submission_id)
        digest = ids.digest(body)
        resolution = node.core.resolve("alpha", submission, digest)
        if isinstance(resolution, submissions.Forward):
            other = self.node_of(resolution.peer_id)
            if other is None or self._is_partitioned(node, other):
                return
            node, tables = other, other.core.tables
            resolution = node.core.resolve("alpha", submission, digest)
        if isinstance(resolution, submissions.Fresh):
            resolution = self._admit(node, submission, count, digest)
        if isinstance(resolution, submissions.Answered):
            self.record_answer(submission_id, resolution.answer)
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

    def record_answer(
        self, submission_id: str, answer: tables_lib.JobAnswer
    ) -> None:
        if answer.code == errors.Code.DIGEST_MISMATCH:
            return
        if answer.outcome == errors.Outcome.NOT_RUN:
            self.refused_ids.add(submission_id)
        if answer.outcome != errors.Outcome.UNKNOWN:
            self.outcomes_by_submission[submission_id].add(answer.outcome)

    def check_invariants(self) -> None:
        """Raises AssertionError if an invariant is violated."""
        for task_id, count in self.start_counts.items():
            assert count <= 1, f"{task_id} started {count} times"
            submission_id = task_id.rpartition("#")[0]
            assert submission_id not in self.refused_ids, (
                f"{submission_id} was not run"
            )
        for submission_id, outcomes in self.outcomes_by_submission.items():
            assert len(outcomes) <= 1, f"{submission_id} answered as {outcomes}"
        for node in self.nodes:
            for backend in node.core.tables.backends.values():
                own = len(backend.held)
                assert own <= backend.slots, f"{backend.backend_id}: {own}"
