"""Fakes of the users' platform: its store and its backend servers.

They speak the platform's protocol over HTTP, inject the faults that tests ask
for and record what they receive.
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
from acacialine import orders
from acacialine import zonetables
from acacialine.platform import serverclient
from acacialine.tools import fakeservers
from acacialine.tools import http

HEARTBEAT_INTERVAL_S = 0.3  # between records of a backend server
RUN_CHECK_INTERVAL_S = 0.005  # between checks for ended runs
MAX_POLL_WAIT_S = 2.0
LATE_REQUEST_DELAY_S = 2.0  # after which a late request is executed
MAX_LEASE_S = 1.0  # `maxHoldMs` of the platform
SLOW_STORE_DELAY_S = 0.4  # a hundred times the delay of the platform's store


@attrs.define(eq=False)
class FakeStore:
    """Fake of the platform's log, with keyed topics of one partition.

    Attributes:
        topics: Key and value of each record, by topic.
        fault: `down` answers 503, `silent` does not answer, `lossy` executes
            writes without an answer, `slow` answers late; empty for none.
        first_offsets: First retained offset of each topic.
    """

    topics: dict[str, list[tuple[str, bytes]]] = attrs.field(factory=dict)
    fault: str = ""
    first_offsets: dict[str, int] = attrs.field(factory=dict)
    calls: int = 0
    _appended: trio.Event = attrs.field(factory=trio.Event)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        self.topics.setdefault(topic, []).append((key, value))
        self._appended.set()
        self._appended = trio.Event()

    def compact(self) -> None:
        """Drops all records but the newest of each key."""
        self.first_offsets = {
            name: len(kept) for name, kept in self.topics.items()
        }

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        body = await http.read_body(receive)
        self.calls += 1
        if self.fault == "slow":
            await trio.sleep(SLOW_STORE_DELAY_S)
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
                await http.reply_json(send, 200, _newest_content(records))
            case "/acacialine/log-read":
                start = int(query["from"])
                if start < self.first_offsets.get(query["topic"], 0):
                    content = {"first": self.first_offsets[query["topic"]]}
                    await http.reply_json(send, 410, content)
                    return
                wait_s = int(query.get("waitMs", 0)) / 1000
                with trio.move_on_after(wait_s):
                    while len(records) <= start:
                        await self._appended.wait()
                await http.reply(send, 200, _encode_page(records, start))
            case _:
                await http.reply(send, 404)

    def _append(self, topic: str, body: bytes) -> None:
        content = body[4:]
        key_end = 1 + content[0]
        self.put(topic, content[1:key_end].decode(), content[key_end:])


def _newest_content(records: list[tuple[str, bytes]]) -> dict:
    newest = {key: value for key, value in records}
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
        for key, value in newest.items()
        if value
    ]
    return {"items": items, "hasMore": False, "endOffset": len(records)}


def _encode_page(records: list[tuple[str, bytes]], start: int) -> bytes:
    parts = [struct.pack(">QQ", len(records), 0)]
    for key, value in records[start:]:
        name = key.encode()
        content = bytes([len(name)]) + name + value
        parts.append(struct.pack(">I", len(content)) + content)
    return b"".join(parts)


@attrs.define(eq=False)
class FakeServerEndpoint:
    """Serves one fake backend server over HTTP.

    Attributes:
        next_request_outcome: Called once per start or stop request, returns
            what happens to it: `lost answer` executes it without an answer,
            `lost` ignores it, `late` executes it seconds later without an
            answer, `outliving` the same, also in a later incarnation,
            `unwell` answers 503; empty for no fault.
        next_poll_outcome: The same per poll, `outliving` or empty.
        next_late_delay_s: Called once per `outliving` request, returns the time
            after which it is executed.
        is_unresponsive: Whether it answers no request.
        is_cut_off_from: Returns whether requests with a fencing token are lost.
        reaches_store: Whether its records arrive at the store.
        start_times: Times of the starts, without `outliving` ones.
        polls: Number of polls.
    """

    fake_server: fakeservers.FakeServer
    zone: str
    address: tuple[str, int]
    store: FakeStore
    next_request_outcome: collections.abc.Callable[[], str] = str
    next_poll_outcome: collections.abc.Callable[[], str] = str
    next_late_delay_s: collections.abc.Callable[[], float] = lambda: (
        LATE_REQUEST_DELAY_S
    )
    is_unresponsive: bool = False
    is_cut_off_from: collections.abc.Callable[[int], bool] = lambda token: False
    reaches_store: bool = True
    state: str = "ready"
    start_times: list[float] = attrs.field(factory=list)
    polls: int = 0
    _incarnation: int = attrs.field(factory=lambda: round(time.time() * 1000))
    _seq: int = 0
    _polls_of_incarnation: int = 0
    _incarnation_of_client: dict[object, int] = attrs.field(factory=dict)

    async def run_heartbeat(self) -> None:
        """Writes the record of the server at regular intervals."""
        while True:
            self.announce()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def announce(self) -> None:
        """Writes the server's record, unless a fault prevents it."""
        if self.is_unresponsive or self.store.fault or not self.reaches_store:
            return
        self._seq += 1
        record = {
            "service": "desk",
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.fake_server.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a"],
            "seq": self._seq,
            "born": self._incarnation,
        }
        self.store.put(
            "keyed.servers", self.fake_server.id, msgspec.json.encode(record)
        )

    def expire(self) -> None:
        """Cuts the server off from the store, which removes its record."""
        self.reaches_store = False
        self.store.put("keyed.servers", self.fake_server.id, b"")

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        # A connection ends with the incarnation of the server that accepted it.
        incarnation = self._incarnation_of_client.setdefault(
            scope.get("client"), self._incarnation
        )
        body = await http.read_body(receive)
        if self.is_unresponsive or incarnation != self._incarnation:
            await trio.sleep_forever()
        content = msgspec.json.decode(body)
        if self.is_cut_off_from(content["fencingToken"]):
            await trio.sleep_forever()
        match scope["path"]:
            case "/acacialine/hold":
                await self._handle_poll(content, send)
            case "/acacialine/run-start":
                await self._handle_request(content, send, self._execute_start)
            case "/acacialine/run-stop":
                await self._handle_request(content, send, self._execute_stop)
            case _:
                await http.reply(send, 404)

    async def _handle_request(self, content: dict, send, execute) -> None:
        outcome = self.next_request_outcome()
        if outcome == "unwell":
            await http.reply(send, 503)
            return
        if outcome == "late":
            trio.lowlevel.spawn_system_task(
                self._execute_late, content, execute
            )
        elif outcome == "outliving":
            self._execute_in_any_incarnation(content, execute)
        elif outcome != "lost":
            status, reason = execute(content)
        if outcome:
            await trio.sleep_forever()
        answer = {"clockMs": self._clock_ms(), "born": self._incarnation}
        if reason:
            answer["reason"] = reason
        await http.reply_json(send, status, answer)

    async def _execute_late(self, content: dict, execute) -> None:
        incarnation = self._incarnation
        await trio.sleep(LATE_REQUEST_DELAY_S)
        if incarnation == self._incarnation:
            execute(content)

    def _execute_in_any_incarnation(self, content: dict, execute) -> None:
        """Executes a request seconds later, unless the server is then down."""
        incarnation = self._incarnation
        delay_s = self.next_late_delay_s()

        async def execute_late() -> None:
            await trio.sleep(delay_s)
            if self.is_unresponsive:
                return
            server = self.fake_server
            lease_was_until = max(server.lease_until, clock.now())
            start_count = len(self.start_times)
            result = execute(content)
            del self.start_times[start_count:]
            longer_s = max(0.0, server.lease_until - lease_was_until)
            server.server_pool.log(
                f"{server.id} late {execute.__name__} {delay_s=:.3f} "
                f"sent_to={incarnation} executed_by={self._incarnation} "
                f"polls_before={self._polls_of_incarnation} "
                f"runs={len(server.runs)} {longer_s=:.3f} {result} {content}"
            )

        trio.lowlevel.spawn_system_task(execute_late)

    def crash(self, down_s: float = 0.0) -> None:
        """Makes the server a new incarnation without state.

        Its clock starts anew, after the time for which it is down.
        """
        self.fake_server.crash()
        self.fake_server.clock_origin = clock.now() + down_s
        self._seq = self._polls_of_incarnation = 0
        self._incarnation = max(
            self._incarnation + 1, round((time.time() + down_s) * 1000)
        )

    def _execute_start(self, content: dict) -> tuple[int, str]:
        key = serverclient.decode_task_key(content["task"])
        now = clock.now()
        server_pool = self.fake_server.server_pool
        server_pool.job_cpu.setdefault(
            key.job_id, _cpu_in_spec(content["spec"])
        )
        server_pool.job_length_s.setdefault(
            key.job_id, _length_in_spec(content["spec"])
        )
        run_id = _RunId(key, content["run"])
        lease_until = self._lease_until(content)
        outcome = self.fake_server.start(
            run_id, content["fencingToken"], lease_until, now
        )
        reasons = {"fenced": "fence", "old_number": "old"}
        if outcome == orders.StartOutcome.STARTED:
            self.start_times.append(now)
            return 200, ""
        return 409, reasons.get(outcome.value, "late")

    def _execute_stop(self, content: dict) -> tuple[int, str]:
        key = serverclient.decode_task_key(content["task"])
        run_id = _RunId(key, content["run"])
        epoch = content["fencingToken"]
        if self.fake_server.stop(run_id, epoch, clock.now()):
            return 200, ""
        return 409, "fence"

    def _execute_poll(
        self, content: dict, lease_until: float | None = None
    ) -> orders.PollResult | None:
        if lease_until is None:
            lease_until = self._lease_until(content)
        return self.fake_server.poll(
            content["fencingToken"],
            content.get("ackedThrough", 0),
            lease_until,
            clock.now(),
        )

    async def _handle_poll(self, content: dict, send) -> None:
        self.polls += 1
        if self.next_poll_outcome() == "outliving":
            self._execute_in_any_incarnation(content, self._execute_poll)
            await trio.sleep_forever()
        self._polls_of_incarnation += 1
        incarnation = self._incarnation
        answer_by = clock.now() + min(
            content.get("waitMs", 0) / 1000, MAX_POLL_WAIT_S
        )
        lease_until = self._lease_until(content)
        while True:
            poll_result = self._execute_poll(content, lease_until)
            if (
                poll_result is None
                or poll_result.ended
                or clock.now() >= answer_by
            ):
                break
            await trio.sleep(RUN_CHECK_INTERVAL_S)
            if incarnation != self._incarnation:
                await trio.sleep_forever()  # it has ended with its server
        answer = {"clockMs": self._clock_ms(), "born": self._incarnation}
        if poll_result is None:
            answer["reason"] = "fence"
            await http.reply_json(send, 409, answer)
            return
        answer["running"] = [
            [str(run.key), run.number, "", run.percent, 0]
            for run in poll_result.running
        ]
        answer["endedRuns"] = [
            [
                ended_run.sequence,
                str(ended_run.key),
                ended_run.number,
                ended_run.kind.value,
                "",
            ]
            for ended_run in poll_result.ended
        ]
        await http.reply_json(send, 200, answer)

    def _lease_until(self, content: dict) -> float:
        """Returns when the lease that a request carries ends."""
        deadline_s = content.get("deadlineMs", 0) / 1000
        return min(
            self.fake_server.clock_origin + deadline_s,
            clock.now() + MAX_LEASE_S,
        )

    def _clock_ms(self) -> int:
        return round((clock.now() - self.fake_server.clock_origin) * 1000)


@attrs.frozen
class _RunId:
    """Identifies a run in a start or stop, in place of a `zonetables.Run`."""

    key: zonetables.TaskKey
    number: int


def new_spec(cpu: int, length_s: float) -> str:
    """Returns a task's spec for a fake backend server."""
    return f"{cpu} {length_s}"


def _cpu_in_spec(spec: str) -> int:
    return int(spec.split()[0])


def _length_in_spec(spec: str) -> float:
    return float(spec.split()[1])
