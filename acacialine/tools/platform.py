"""Fake platform: append-only log streams with offsets, and the VM list.

`POST /faults` replaces the injected faults; `PUT` and `DELETE` requests below
`/control/vms` change the VM list.
"""

import urllib.parse

import attrs
import msgspec
import trio

from acacialine import clock
from acacialine import platforms
from acacialine.tools import http

MAX_PAGE_RECORDS = 500


@attrs.define
class Faults:
    """Faults that the fake platform injects.

    Attributes:
        down: Whether all requests but changes of faults and VMs get 503.
        slow_ms: Delay of each answer.
        lose_answers: Number of the next appends that take effect but are
            answered with 500.
        duplicate_appends: Number of the next appends that take effect twice.
        vm_lag_s: Age of the VM list that is returned.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    duplicate_appends: int = 0
    vm_lag_s: float = 0.0


@attrs.define
class _StoredRecord:
    """A record of a log, with the time of its append in s."""

    at: float
    text: str


@attrs.define
class _Stream:
    """One log.

    Attributes:
        first: Offset of the oldest record that is retained.
        appended: Set, and replaced by a new event, at each append.
    """

    first: int = 1
    records: list[_StoredRecord] = attrs.field(factory=list)
    appended: trio.Event = attrs.field(factory=trio.Event)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)


@attrs.define(eq=False)
class FakePlatform:
    """Logs, VM list and faults of the fake platform.

    Attributes:
        retention_s: Age at which `trim` drops records.
        streams: Logs by name.
    """

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
        self._record_vm_list()

    def remove_vm(self, vm_id: str) -> None:
        """Removes a VM."""
        self.vms.pop(vm_id, None)
        self._record_vm_list()

    def _record_vm_list(self) -> None:
        self._vm_history.append((clock.now(), list(self.vms.values())))
        del self._vm_history[:-1000]

    def visible_vms(self) -> list[platforms.Vm]:
        """Returns the VM list as it was `vm_lag_s` ago."""
        visible_at = clock.now() - self.faults.vm_lag_s
        visible: list[platforms.Vm] = []
        for at, vms in self._vm_history:
            if at <= visible_at:
                visible = vms
        return visible

    def append(self, name: str, text: str) -> int:
        """Appends a record and returns its offset."""
        stream = self.streams.setdefault(name, _Stream())
        stream.records.append(_StoredRecord(clock.now(), text))
        stream.appended.set()
        stream.appended = trio.Event()
        return stream.end - 1

    def trim(self, name: str) -> None:
        """Drops the records of a log that are older than the retention."""
        stream = self.streams.setdefault(name, _Stream())
        oldest_kept_at = clock.now() - self.retention_s
        while stream.records and stream.records[0].at < oldest_kept_at:
            stream.records.pop(0)
            stream.first += 1

    async def read(
        self, name: str, start: int, wait_ms: int
    ) -> platforms.LogPage:
        """Returns one page of records from an offset on.

        If there is none yet, waits up to `wait_ms` for the next append.
        """
        stream = self.streams.setdefault(name, _Stream())
        if start >= stream.end and wait_ms:
            with trio.move_on_after(wait_ms / 1000):
                await stream.appended.wait()
        self.trim(name)
        first = max(start, stream.first)
        page_records = stream.records[first - stream.first :][:MAX_PAGE_RECORDS]
        return platforms.LogPage(
            [
                platforms.LogRecord(offset, record.text)
                for offset, record in enumerate(page_records, start=first)
            ],
            stream.first,
            stream.end,
        )


def new_asgi_app(fake_platform: FakePlatform):
    """Returns the ASGI application of the fake platform."""

    async def app(scope, receive, send):
        body = await http.read_body(receive)
        path = scope["path"].strip("/").split("/")
        if scope["method"] == "POST" and path == ["faults"]:
            fake_platform.faults = msgspec.json.decode(body, type=Faults)
            await http.reply_json(send, 200, fake_platform.faults)
            return
        if path[0] == "control":
            await _change_vm_list(scope["method"], path, body, send)
            return
        faults = fake_platform.faults
        if faults.slow_ms:
            await trio.sleep(faults.slow_ms / 1000)
        if faults.down:
            await http.reply_json(send, 503, {"error": "down"})
            return
        await _serve_request(scope, path, body, send)

    async def _change_vm_list(method, path, body, send):
        if method == "PUT":
            fake_platform.set_vm(msgspec.json.decode(body, type=platforms.Vm))
        elif method == "DELETE":
            fake_platform.remove_vm(path[2])
        await http.reply_json(send, 200, {})

    async def _serve_request(scope, path, body, send):
        match scope["method"], path:
            case "GET", ["vms"]:
                vms = platforms.VmList(fake_platform.visible_vms())
                await http.reply_json(send, 200, vms)
            case "POST", ["log", name]:
                await _append_record(name, body, send)
            case "GET", ["log", name]:
                query = urllib.parse.parse_qs(scope["query_string"].decode())
                page = await fake_platform.read(
                    name,
                    int(query.get("from", ["0"])[0]),
                    int(query.get("wait", ["0"])[0]),
                )
                await http.reply_json(send, 200, page)
            case _:
                await http.reply_json(send, 404, {})

    async def _append_record(name, body, send):
        offset = fake_platform.append(name, body.decode())
        if fake_platform.faults.duplicate_appends:
            fake_platform.faults.duplicate_appends -= 1
            fake_platform.append(name, body.decode())
        if fake_platform.faults.lose_answers:
            fake_platform.faults.lose_answers -= 1
            await http.reply_json(send, 500, {"error": "lost"})
            return
        await http.reply_json(send, 200, platforms.AppendResponse(offset))

    return app
