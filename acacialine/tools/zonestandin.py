"""Stand-ins of the users' platform: its store and its backend servers.

They speak the platform's dialect over HTTP, inject faults that tests ask for,
and keep what they saw in journals.
"""

import base64
import collections.abc
import struct
import time
import urllib.parse

import attrs
import msgspec
import trio

from acacialine import clock
from acacialine import zonetables
from acacialine.platform import serverclient
from acacialine.tools import fakeservers
from acacialine.tools import http

BEAT_S = 0.3  # between records of a backend server
SETTLE_S = 0.005  # how exactly runs end
LOOK_MAX_S = 2.0
LATE_S = 2.0  # after which a late order is carried out
SLOW_S = 0.4  # a hundred times as long as the platform's store


@attrs.define(eq=False)
class FakeStore:
    """The platform's log, with keyed topics of one partition.

    Attributes:
        fault: `down` answers 503, `silent` does not answer, `lossy` carries
            writes out without an answer, `slow` answers late; empty for none.
        first: First retained offset of each topic.
    """

    topics: dict[str, list[tuple[str, bytes]]] = attrs.field(factory=dict)
    fault: str = ""
    first: dict[str, int] = attrs.field(factory=dict)
    calls: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        self.topics.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = trio.Event()

    def forget(self) -> None:
        """Drops all records but the newest of each key."""
        self.first = {name: len(kept) for name, kept in self.topics.items()}

    async def __call__(self, scope, receive, send) -> None:
        """Serves one call."""
        body = await http.read_body(receive)
        self.calls += 1
        if self.fault == "slow":
            await trio.sleep(SLOW_S)
        if self.fault == "silent":
            await trio.sleep_forever()
        if self.fault == "down":
            await http.reply(send, 503)
            return
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        records = self.topics.setdefault(query["topic"], [])
        match scope["path"]:
            case "/acacialine/log-append":
                self._append(query["topic"], body)
                if self.fault == "lossy":
                    await trio.sleep_forever()
                offset = len(records)
                content = {"offset": offset - 1, "endOffset": offset}
                await http.reply_json(send, 200, content)
            case "/acacialine/log-newest":
                await http.reply_json(send, 200, _newest(records))
            case "/acacialine/log-read":
                start = int(query["from"])
                if start < self.first.get(query["topic"], 0):
                    content = {"first": self.first[query["topic"]]}
                    await http.reply_json(send, 410, content)
                    return
                wait_s = int(query.get("waitMs", 0)) / 1000
                with trio.move_on_after(wait_s):
                    while len(records) <= start:
                        await self._changed.wait()
                await http.reply(send, 200, _page(records, start))
            case _:
                await http.reply(send, 404)

    def _append(self, topic: str, body: bytes) -> None:
        content = body[4:]
        end = 1 + content[0]
        self.put(topic, content[1:end].decode(), content[end:])


def _newest(records: list[tuple[str, bytes]]) -> dict:
    newest = {key: value for key, value in records}
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
        for key, value in newest.items()
        if value
    ]
    return {"items": items, "hasMore": False, "endOffset": len(records)}


def _page(records: list[tuple[str, bytes]], start: int) -> bytes:
    parts = [struct.pack(">QQ", len(records), 0)]
    for key, value in records[start:]:
        name = key.encode()
        content = bytes([len(name)]) + name + value
        parts.append(struct.pack(">I", len(content)) + content)
    return b"".join(parts)


@attrs.define(eq=False)
class ServerStandin:
    """One backend server over HTTP.

    Attributes:
        fate: Returns the fate of an order: `lost answer`, `lost`, `unwell`,
            `late` (carried out seconds later) or empty; called once for each.
        is_dark: Whether it answers nothing.
    """

    fake: fakeservers.FakeServer
    zone: str
    address: tuple[str, int]
    store: FakeStore
    fate: collections.abc.Callable[[], str] = str
    is_dark: bool = False
    state: str = "ready"
    starts_at: list[float] = attrs.field(factory=list)
    _born: int = attrs.field(factory=lambda: round(time.time() * 1000))
    _seq: int = 0
    _life_of: dict[object, int] = attrs.field(factory=dict)

    async def beat(self) -> None:
        """Writes its record again and again."""
        while True:
            self.announce()
            await trio.sleep(BEAT_S)

    def announce(self) -> None:
        """Writes its record, unless the store or this server is away."""
        if self.is_dark or self.store.fault:
            return
        self._seq += 1
        record = {
            "service": "desk",
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.fake.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a"],
            "seq": self._seq,
            "born": self._born,
        }
        self.store.put(
            "keyed.servers", self.fake.id, msgspec.json.encode(record)
        )

    async def __call__(self, scope, receive, send) -> None:
        """Serves one order."""
        # A connection reaches the life that accepted it and no other.
        life = self._life_of.setdefault(scope.get("client"), self._born)
        body = await http.read_body(receive)
        if self.is_dark or life != self._born:
            await trio.sleep_forever()
        content = msgspec.json.decode(body)
        match scope["path"]:
            case "/acacialine/hold":
                await self._look(content, send)
            case "/acacialine/run-start":
                await self._order(content, send, self._start)
            case "/acacialine/run-stop":
                await self._order(content, send, self._stop)
            case _:
                await http.reply(send, 404)

    async def _order(self, content: dict, send, carry_out) -> None:
        fate = self.fate()
        if fate == "unwell":
            await http.reply(send, 503)
            return
        if fate == "late":
            trio.lowlevel.spawn_system_task(
                self._carry_out_late, content, carry_out
            )
        elif fate != "lost":
            status, reason = carry_out(content)
        if fate:
            await trio.sleep_forever()
        answer = {"clockMs": self._clock_ms(), "born": self._born}
        if reason:
            answer["reason"] = reason
        await http.reply_json(send, status, answer)

    async def _carry_out_late(self, content: dict, carry_out) -> None:
        born = self._born
        await trio.sleep(LATE_S)
        if born == self._born:
            carry_out(content)

    def crash(self) -> None:
        """Begins a new life that knows nothing of the one before."""
        self.fake.crash()
        self._born = max(self._born + 1, round(time.time() * 1000))

    def _start(self, content: dict) -> tuple[int, str]:
        key = serverclient.decode_task(content["task"])
        now = clock.now()
        world = self.fake.world
        world.cpu_of.setdefault(key.job_id, _cpu_of(content["spec"]))
        world.lengths.setdefault(key.job_id, _length_of(content["spec"]))
        order = _Order(key, content["run"])
        until = content["deadlineMs"] / 1000
        outcome = self.fake.start(order, content["fencingToken"], until, now)
        reasons = {"fenced": "fence", "old_number": "old"}
        if outcome.value == "started":
            self.starts_at.append(now)
            return 200, ""
        return 409, reasons.get(outcome.value, "late")

    def _stop(self, content: dict) -> tuple[int, str]:
        key = serverclient.decode_task(content["task"])
        order = _Order(key, content["run"])
        epoch = content["fencingToken"]
        if self.fake.stop(order, epoch, clock.now()):
            return 200, ""
        return 409, "fence"

    async def _look(self, content: dict, send) -> None:
        end = clock.now() + min(content.get("waitMs", 0) / 1000, LOOK_MAX_S)
        until = content.get("deadlineMs", 0) / 1000
        while True:
            seen = self.fake.look(
                content["fencingToken"],
                content.get("ackedThrough", 0),
                until,
                clock.now(),
            )
            if seen is None or seen.ended or clock.now() >= end:
                break
            await trio.sleep(SETTLE_S)
        answer = {"clockMs": self._clock_ms(), "born": self._born}
        if seen is None:
            answer["reason"] = "fence"
            await http.reply_json(send, 409, answer)
            return
        answer["running"] = [
            [str(r.key), r.number, "", r.percent, 0] for r in seen.running
        ]
        answer["endedRuns"] = [
            [e.sequence, str(e.key), e.number, e.kind.value, ""]
            for e in seen.ended
        ]
        await http.reply_json(send, 200, answer)

    def _clock_ms(self) -> int:
        return round(clock.now() * 1000)


@attrs.frozen
class _Order:
    key: zonetables.TaskKey
    number: int


def new_spec(cpu: int, length_s: float) -> str:
    """Returns a spec that tells a stand-in what its task does."""
    return f"{cpu} {length_s}"


def _cpu_of(spec: str) -> int:
    return int(spec.split()[0])


def _length_of(spec: str) -> float:
    return float(spec.split()[1])
