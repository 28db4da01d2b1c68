"""Stand-in of a backend server, with a journal of every start.

A task runs for `run_ms` of its JSON payload. Behaviour is changed with
`POST /behaviour`.
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
        running: Tasks running after the event.
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
    """How the backend server acts.

    Attributes:
        slowdown: Factor on every run time.
        fail_status: Status of every answer at once, if not 0.
        hang: Never answers.
        refuse: Answers every start with 503 and `Not-Run: 1`.
        crash_503: Answers every start with 503 without `Not-Run`.
        reset_after_start: Cuts the connection after the start.
        enforce_slots: Refuses starts beyond its slots.
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
    """What the stand-in reads of a task's payload."""

    run_ms: float = DEFAULT_RUN_MS
    mark: str = ""


@attrs.define(eq=False)
class BackendStandin:
    """State of the stand-in."""

    name: str
    slots: int = 8
    journal_path: str = ""
    behaviour: Behaviour = attrs.field(factory=Behaviour)
    journal: list[JournalEntry] = attrs.field(factory=list)
    running: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    _file: object = None

    def note(
        self, event: str, task: str, kind: str, run_ms: float = 0.0
    ) -> None:
        """Writes a line of the journal, at once."""
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
        if self._file is None:
            path = pathlib.Path(self.journal_path)
            self._file = path.open("ab", buffering=0)  # noqa: SIM115
        self._file.write(msgspec.json.encode(entry) + b"\n")


def new_asgi_app(standin: BackendStandin):
    """Returns the ASGI application of the stand-in."""

    async def app(scope, receive, send):
        method, path = scope["method"], scope["path"]
        if method == "POST" and path.startswith("/run/"):
            await _run(scope, receive, send, path.removeprefix("/run/"))
        elif method == "DELETE" and path.startswith("/run/"):
            await _stop(send, path.removeprefix("/run/"))
        elif method == "POST" and path == "/behaviour":
            body = await http.read_body(receive)
            standin.behaviour = msgspec.json.decode(body, type=Behaviour)
            await http.reply_json(send, 200, standin.behaviour)
        elif path == "/journal":
            await http.reply_json(send, 200, standin.journal)
        else:
            await http.reply_json(send, 404, {})

    async def _run(scope, receive, send, kind):
        headers = dict(scope["headers"])
        task = headers.get(b"task-id", b"").decode()
        behaviour = standin.behaviour
        full = len(standin.running) >= standin.slots
        if behaviour.refuse or (full and behaviour.enforce_slots):
            standin.note("refuse", task, kind)
            refused = ((b"not-run", b"1"), (b"task-id", task.encode()))
            await http.reply(send, 503, b"{}", refused)
            return
        scope_of_task = trio.CancelScope()
        standin.running[task] = scope_of_task
        payload = _payload_of(await http.read_body(receive))
        run_ms = payload.run_ms * behaviour.slowdown
        standin.note("start", task, kind, run_ms)
        lease_s = int(headers.get(b"lease-ms", b"0")) / 1000 or math.inf
        event = "end"
        try:
            with scope_of_task:
                if not await _work(behaviour, run_ms / 1000, lease_s):
                    event = "stop"
            if scope_of_task.cancelled_caught:
                event = "stop"
        finally:
            standin.running.pop(task, None)
            standin.note(event, task, kind)
        await _answer(send, behaviour, task, kind, payload, event)

    async def _work(behaviour, run_s, lease_s):
        """Works for a time; False if the lease ended first."""
        if behaviour.fail_status or behaviour.crash_503:
            return True
        if behaviour.hang:
            run_s = math.inf
        with trio.move_on_after(lease_s) as lease:
            await trio.sleep(run_s)
        return not lease.cancelled_caught

    async def _answer(send, behaviour, task, kind, payload, event):
        if behaviour.reset_after_start:
            raise ConnectionResetError("as the behaviour says")
        status = behaviour.fail_status or 200
        if behaviour.crash_503:
            status = 503
        if event == "stop":
            status = 499
        content = {
            "task": task,
            "kind": kind,
            "mark": payload.mark,
            "by": standin.name,
        }
        body = msgspec.json.encode(content)
        await http.reply(send, status, body, ((b"task-id", task.encode()),))

    async def _stop(send, task):
        scope = standin.running.get(task)
        if scope:
            scope.cancel()
        await http.reply_json(send, 200 if scope else 404, {})

    return app


def _payload_of(body: bytes) -> Payload:
    try:
        return msgspec.json.decode(body, type=Payload)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return Payload()
