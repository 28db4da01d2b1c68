"""Stand-in of the platform: append-only log with offsets, and VM list.

Faults are set with `POST /faults` and hold until the next one.
"""

import urllib.parse

import attrs
import msgspec
import trio

from acacialine import clock
from acacialine import platforms
from acacialine.tools import http

MAX_PAGE = 500  # records


@attrs.define
class Faults:
    """What goes wrong at the platform.

    Attributes:
        down: Refuses everything.
        slow_ms: Delay of each answer.
        lose_answers: Appends that take effect but are answered with 500.
        duplicate_appends: Appends that take effect twice.
        vm_lag_s: Age of the VM list that is shown.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    duplicate_appends: int = 0
    vm_lag_s: float = 0.0


@attrs.define
class _Entry:
    at: float
    text: str


@attrs.define
class _Stream:
    first: int = 1
    records: list[_Entry] = attrs.field(factory=list)
    grown: trio.Event = attrs.field(factory=trio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)


@attrs.define(eq=False)
class PlatformStandin:
    """State of the stand-in."""

    retention_s: float = 86400.0
    faults: Faults = attrs.field(factory=Faults)
    streams: dict[str, _Stream] = attrs.field(factory=dict)
    vms: dict[str, platforms.Vm] = attrs.field(factory=dict)
    _vm_history: list[tuple[float, list[platforms.Vm]]] = attrs.field(
        factory=list
    )

    def set_vm(self, vm: platforms.Vm) -> None:
        """Adds or replaces a VM."""
        self.vms[vm.vm_id] = vm
        self._note_vms()

    def remove_vm(self, vm_id: str) -> None:
        """Removes a VM."""
        self.vms.pop(vm_id, None)
        self._note_vms()

    def _note_vms(self) -> None:
        self._vm_history.append((clock.now(), list(self.vms.values())))
        del self._vm_history[:-1000]

    def shown_vms(self) -> list[platforms.Vm]:
        """Returns the list as old as the fault says."""
        limit = clock.now() - self.faults.vm_lag_s
        shown: list[platforms.Vm] = []
        for at, vms in self._vm_history:
            if at <= limit:
                shown = vms
        return shown

    def append(self, name: str, text: str) -> int:
        """Appends a record and returns its offset."""
        stream = self.streams.setdefault(name, _Stream())
        stream.records.append(_Entry(clock.now(), text))
        stream.grown.set()
        stream.grown = trio.Event()
        return stream.end - 1

    def trim(self, name: str) -> None:
        """Drops the records past retention."""
        stream = self.streams.setdefault(name, _Stream())
        limit = clock.now() - self.retention_s
        while stream.records and stream.records[0].at < limit:
            stream.records.pop(0)
            stream.first += 1

    async def read(
        self, name: str, start: int, wait_ms: int
    ) -> platforms.LogPage:
        """Returns records from an offset, waiting for the first."""
        stream = self.streams.setdefault(name, _Stream())
        if start >= stream.end and wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                await stream.grown.wait()
        self.trim(name)
        first = max(start, stream.first)
        chosen = stream.records[first - stream.first :][:MAX_PAGE]
        return platforms.LogPage(
            [
                platforms.LogRecord(offset, entry.text)
                for offset, entry in enumerate(chosen, start=first)
            ],
            stream.first,
            stream.end,
        )


def new_asgi_app(standin: PlatformStandin):
    """Returns the ASGI application of the stand-in."""

    async def app(scope, receive, send):
        body = await http.read_body(receive)
        path = scope["path"].strip("/").split("/")
        if scope["method"] == "POST" and path == ["faults"]:
            standin.faults = msgspec.json.decode(body, type=Faults)
            await http.reply_json(send, 200, standin.faults)
            return
        if path[0] == "control":
            await _control(scope["method"], path, body, send)
            return
        faults = standin.faults
        if faults.slow_ms:
            await trio.sleep(faults.slow_ms / 1000)
        if faults.down:
            await http.reply_json(send, 503, {"error": "down"})
            return
        await _serve(scope, path, body, send)

    async def _control(method, path, body, send):
        if method == "PUT":
            standin.set_vm(msgspec.json.decode(body, type=platforms.Vm))
        elif method == "DELETE":
            standin.remove_vm(path[2])
        await http.reply_json(send, 200, {})

    async def _serve(scope, path, body, send):
        match scope["method"], path:
            case "GET", ["vms"]:
                vms = platforms.VmList(standin.shown_vms())
                await http.reply_json(send, 200, vms)
            case "POST", ["log", name]:
                await _append(name, body, send)
            case "GET", ["log", name]:
                query = urllib.parse.parse_qs(scope["query_string"].decode())
                page = await standin.read(
                    name,
                    int(query.get("from", ["0"])[0]),
                    int(query.get("wait", ["0"])[0]),
                )
                await http.reply_json(send, 200, page)
            case _:
                await http.reply_json(send, 404, {})

    async def _append(name, body, send):
        offset = standin.append(name, body.decode())
        if standin.faults.duplicate_appends:
            standin.faults.duplicate_appends -= 1
            standin.append(name, body.decode())
        if standin.faults.lose_answers:
            standin.faults.lose_answers -= 1
            await http.reply_json(send, 500, {"error": "lost"})
            return
        await http.reply_json(send, 200, platforms.AppendResponse(offset))

    return app
