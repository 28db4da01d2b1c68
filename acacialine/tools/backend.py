"""Fake backend server with a journal of the starts and ends of tasks.

A task runs for the `run_ms` of its JSON payload. `POST /behaviour` changes the
behaviour of the server.
"""

import math
import pathlib

import attrs
import msgspec
import trio

from acacialine import clock
from acacialine.tools import http

DEFAULT_RUN_MS = 50.0


@attrs.frozen
class JournalEntry:
    """One line of the journal.

    Attributes:
        event: `start`, `end`, `stop` or `refuse`.
        at: Time of the event, in s.
        running: Number of tasks that run after the event.
        run_ms: For `start`: planned run time of the task.
    """

    event: str
    task: str
    kind: str
    at: float
    running: int
    backend: str = ""
    run_ms: float = 0.0


@attrs.define
class Behaviour:
    """How the fake backend server behaves.

    Attributes:
        slowdown: Factor on every run time.
        fail_status: If not 0, status with which it answers every start at once.
        hang: Tasks run until their lease ends or they are stopped.
        refuse: Answers every start with 503 and `Not-Run: 1`.
        crash_503: Answers every start with 503 without `Not-Run`.
        reset_after_start: Closes the connection after the task instead of
            answering.
        enforce_slots: Refuses starts beyond its number of slots.
    """

    slowdown: float = 1.0
    fail_status: int = 0
    hang: bool = False
    refuse: bool = False
    crash_503: bool = False
    reset_after_start: bool = False
    enforce_slots: bool = True


@attrs.frozen
class Payload:
    """The fields of a task's payload that the fake backend server uses.

    Attributes:
        mark: Text that the answer repeats.
    """

    run_ms: float = DEFAULT_RUN_MS
    mark: str = ""


@attrs.define(eq=False)
class FakeBackend:
    """State of a fake backend server.

    Attributes:
        journal_path: File of the journal; empty to keep it in memory.
        journal: Journal in memory, used without a file.
        running: Cancel scopes of running tasks by task id.
    """

    name: str
    slots: int = 8
    journal_path: str = ""
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    journal: list[JournalEntry] = attrs.field(factory=list)
    running: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    _journal_file: object = None

    def record_event(
        self, event: str, task: str, kind: str, run_ms: float = 0.0
    ) -> None:
        """Appends a line to the journal, unbuffered so that a kill keeps it."""
        entry = JournalEntry(
            event,
            task,
            kind,
            clock.now(),
            len(self.running),
            self.name,
            run_ms,
        )
        if not self.journal_path:
            self.journal.append(entry)
            return
        if self._journal_file is None:
            path = pathlib.Path(self.journal_path)
            self._journal_file = path.open("ab", buffering=0)  # noqa: SIM115
        self._journal_file.write(msgspec.json.encode(entry) + b"\n")


def new_asgi_app(fake_backend: FakeBackend):
    """Returns the ASGI application of a fake backend server."""

    async def app(scope, receive, send):
        method, path = scope["method"], scope["path"]
        if method == "POST" and path.startswith("/run/"):
            await _handle_start(
                scope, receive, send, path.removeprefix("/run/")
            )
        elif method == "DELETE" and path.startswith("/run/"):
            await _handle_stop(send, path.removeprefix("/run/"))
        elif method == "POST" and path == "/behaviour":
            body = await http.read_body(receive)
            fake_backend.behaviour = msgspec.json.decode(body, type=Behaviour)
            await http.reply_json(send, 200, fake_backend.behaviour)
        elif path == "/journal":
            await http.reply_json(send, 200, fake_backend.journal)
        else:
            await http.reply_json(send, 404, {})

    async def _handle_start(scope, receive, send, kind):
        headers = dict(scope["headers"])
        task = headers.get(b"task-id", b"").decode()
        behaviour = fake_backend.behaviour
        is_full = len(fake_backend.running) >= fake_backend.slots
        if behaviour.refuse or (is_full and behaviour.enforce_slots):
            fake_backend.record_event("refuse", task, kind)
            refusal_headers = ((b"not-run", b"1"), (b"task-id", task.encode()))
            await http.reply(send, 503, b"{}", refusal_headers)
            return
        task_scope = trio.CancelScope()
        fake_backend.running[task] = task_scope
        payload = _decode_payload(await http.read_body(receive))
        run_ms = payload.run_ms * behaviour.slowdown
        fake_backend.record_event("start", task, kind, run_ms)
        lease_s = int(headers.get(b"lease-ms", b"0")) / 1000 or math.inf
        event = "end"
        try:
            with task_scope:
                if not await _run_task(behaviour, run_ms / 1000, lease_s):
                    event = "stop"
            if task_scope.cancelled_caught:
                event = "stop"
        finally:
            fake_backend.running.pop(task, None)
            fake_backend.record_event(event, task, kind)
        await _send_answer(send, behaviour, task, kind, payload, event)

    async def _run_task(behaviour, run_s, lease_s):
        """Waits for the run time; returns False if the lease ended first."""
        if behaviour.fail_status or behaviour.crash_503:
            return True
        if behaviour.hang:
            run_s = math.inf
        with trio.move_on_after(lease_s) as lease_scope:
            await trio.sleep(run_s)
        return not lease_scope.cancelled_caught

    async def _send_answer(send, behaviour, task, kind, payload, event):
        if behaviour.reset_after_start:
            raise ConnectionResetError("reset_after_start is set")
        status = behaviour.fail_status or 200
        if behaviour.crash_503:
            status = 503
        if event == "stop":
            status = 499
        content = {
            "task": task,
            "kind": kind,
            "mark": payload.mark,
            "by": fake_backend.name,
        }
        body = msgspec.json.encode(content)
        await http.reply(send, status, body, ((b"task-id", task.encode()),))

    async def _handle_stop(send, task):
        scope = fake_backend.running.get(task)
        if scope:
            scope.cancel()
        await http.reply_json(send, 200 if scope else 404, {})

    return app


def _decode_payload(body: bytes) -> Payload:
    try:
        return msgspec.json.decode(body, type=Payload)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Payload()
