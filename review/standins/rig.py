"""Stand-ins of the platform, its backend servers and clients, for the cases.

The store and the backend servers follow the page on the protocol. Dispatchers
are started as separate processes with the command of the deploy file. Only the
standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONES = ("north", "middle", "south")

# Limits of the small deployments (bounds of the settings file), in s.
MAX_LEASE_S = 1.0  # maxHoldMs
STOP_S = 0.05  # stopTimeoutMs
CANCEL_S = 3.0  # cancel_ms
CONFIG_S = 2.0  # configApplyMs
ACK_S = 4.0  # ackTimeoutMs
RETRANSMIT_S = 1.3  # retransmitMs
BEAT_S = 1.5  # heartbeatMs

MAX_CASE_S = 110  # a case may take 120 s

# Below the range from which the system takes the ports of clients.
_PORTS = (15000, 32000)
_reserved_ports = set()


# Each case has a loopback address of its own, so cases can run side by side.
ADDRESS = "127.{}.{}.{}".format(*(random.randrange(1, 255) for _ in range(3)))


def free_port() -> int:
    """Returns a free port that was not returned before."""
    while True:
        port = random.randrange(*_PORTS)
        if port in _reserved_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((ADDRESS, port))
            except OSError:
                continue
        _reserved_ports.add(port)
        return port


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self.started_at = time.monotonic()
        self.lines = []
        self._path = path

    def add(self, text: str) -> None:
        """Adds a line with the time since the start."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def save(self) -> None:
        """Writes the record to its file."""
        self._path.write_text("\n".join(self.lines) + "\n")


# HTTP


async def read_message(reader: asyncio.StreamReader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


_ENDED = (
    OSError,
    EOFError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)
NO_ANSWER = object()  # returned by a handler that never answers


async def serve_http(handler, address):
    """Serves HTTP; `handler(method, target, headers, body)` returns a reply.

    The reply is a status and a body, or NO_ANSWER.
    """

    async def serve_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                reply = await handler(method, target, headers, body)
                if reply is NO_ANSWER:
                    await reader.read()
                    return
                status, content = reply
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%s"
                    % (status, len(content), content)
                )
                await writer.drain()
        except _ENDED:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, *address)


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Makes one call on a new connection; returns status and body.

    Returns (0, b"") if the connection breaks and (-1, b"") without an answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, content = await read_message(reader)
            return int(first.split(" ")[1]), content
    except TimeoutError:
        return -1, b""
    except _ENDED:
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# The store


class Store:
    """The log of the platform, with the calls that dispatchers use."""

    def __init__(self):
        self.topics = {}
        self._appended = asyncio.Event()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record to a keyed topic."""
        self.topics.setdefault(topic, []).append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()

    async def handle(self, method, target, headers, body):
        """Serves one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if url.path == "/acacialine/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b""
            position = 0
            while position < len(body):
                (length,) = struct.unpack_from(">I", body, position)
                content = body[position + 4 : position + 4 + length]
                key_end = 1 + content[0]
                self.put(topic, content[1:key_end].decode(), content[key_end:])
                position += 4 + length
            end = len(records)
            return 200, _json({"offset": end - 1, "endOffset": end})
        if url.path == "/acacialine/log-newest":
            newest = {key: value for key, value in records}
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": 0}
                for k, v in sorted(newest.items())
                if v
            ]
            items = [i for i in items if i["key"] > query.get("after", "")]
            more = len(items) > 500
            page = {
                "items": items[:500],
                "hasMore": more,
                "endOffset": len(records),
            }
            return 200, _json(page)
        if url.path == "/acacialine/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while len(records) <= start and time.monotonic() < until:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._appended.wait(), until - time.monotonic()
                    )
            parts = [struct.pack(">QQ", len(records), 0)]
            for key, value in records[start:]:
                name = key.encode()
                content = bytes([len(name)]) + name + value
                parts.append(struct.pack(">I", len(content)) + content)
            return 200, b"".join(parts)
        return 404, b""


def _json(content) -> bytes:
    return json.dumps(content).encode()


# Backend servers


class Run:
    """One run of a task on a backend server."""

    def __init__(self, task, number, work_s, cpu):
        self.task = task
        self.number = number
        self.cpu = cpu
        self.work_s = work_s
        self.started_at = time.monotonic()
        self.ends_at = self.started_at + work_s
        self.stops_at = None

    @property
    def percent(self) -> int:
        """Progress of the run."""
        elapsed_s = time.monotonic() - self.started_at
        return min(99, int(100 * elapsed_s / max(self.work_s, 1e-3)))


class Worker:
    """A sound backend server.

    The duration of a task is part of its specification: `work_ms=N`.

    Attributes:
        history: All runs so far: task, number, start, end (None while it
            runs), how it ended.
    """

    def __init__(self, name, zone, service, store, record, cpu=16000):
        self.name = name
        self.zone = zone
        self.service = service
        self.address = (ADDRESS, free_port())
        self.cpu = cpu
        self.history = []
        self._store = store
        self._record = record
        self._boot = time.monotonic()
        self._born = round(time.time() * 1000)
        self._seq = 0
        self._fence = 0
        self._lease_until_ms = 0
        self._running = {}
        self._ended = []
        self._ended_count = 0
        self._highest = {}
        self._changed = asyncio.Event()

    async def start(self):
        """Begins to serve and to report."""
        await serve_http(self._handle, self.address)
        tasks = [self._report(), self._work()]
        self._tasks = [asyncio.create_task(t) for t in tasks]

    async def _report(self):
        while True:
            self._seq += 1
            entry = {
                "service": self.service,
                "address": "{}:{}".format(*self.address),
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._seq,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
                "labels": ["a", "r1-1"],
                "born": self._born,
            }
            self._store.put("keyed.servers", self.name, _json(entry))
            await asyncio.sleep(BEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for run in list(self._running.values()):
                if run.stops_at is not None and now >= run.stops_at:
                    self._end(run, "stopped")
                elif now >= run.ends_at:
                    self._end(run, "done")
                elif self._clock_ms() > self._lease_until_ms:
                    self._end(run, "lapsed")

    def _end(self, run, how):
        del self._running[run.task]
        self._ended_count += 1
        self._ended.append(
            [self._ended_count, run.task, run.number, how, ""]
        )
        self._set_highest(run.task, run.number)
        for entry in self.history:
            if entry["run"] is run:
                entry["end"] = time.monotonic()
                entry["how"] = how
        self._record.add(f"{self.name} ends {run.task} run {run.number} {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_highest(self, task, number):
        self._highest[task] = max(self._highest.get(task, 0), number)

    def _clock_ms(self) -> int:
        return round((time.monotonic() - self._boot) * 1000)

    def _renew(self, deadline_ms):
        longest = self._clock_ms() + round(MAX_LEASE_S * 1000)
        deadline = min(deadline_ms, longest)
        self._lease_until_ms = max(self._lease_until_ms, deadline)

    def _reply(self, status, **fields):
        fields |= {"clockMs": self._clock_ms(), "born": self._born}
        return status, _json(fields)

    async def _handle(self, method, target, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return self._reply(421)
        if target == "/healthz":
            return self._reply(200)
        content = json.loads(body)
        token = content.get("fencingToken", 0)
        if token < self._fence:
            return self._reply(409, reason="fence")
        self._fence = token
        match target:
            case "/acacialine/run-start":
                return self._start(content)
            case "/acacialine/run-stop":
                return self._stop(content)
            case "/acacialine/hold":
                return await self._hold(content)
        return 404, b""

    def _start(self, content):
        task, number = content["task"], content["run"]
        running = self._running.get(task)
        if running is not None and running.number == number:
            self._renew(content["deadlineMs"])
            return self._reply(200)
        if content["deadlineMs"] < self._clock_ms():
            return self._reply(409, reason="late")
        self._renew(content["deadlineMs"])
        if number <= self._highest.get(task, 0) or running is not None:
            return self._reply(409, reason="old")
        work_ms = int(re.search(r"work_ms=(\d+)", content["spec"])[1])
        run = Run(task, number, work_ms / 1000, 0)
        self._running[task] = run
        self.history.append(
            {
                "run": run,
                "task": task,
                "number": number,
                "start": run.started_at,
                "end": None,
                "how": "",
                "worker": self.name,
                "service": self.service,
                "spec": content["spec"],
            }
        )
        self._record.add(f"{self.name} starts {task} run {number}")
        return self._reply(200)

    def _stop(self, content):
        task, number = content["task"], content["run"]
        run = self._running.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S / 2
        self._set_highest(task, number)
        return self._reply(200)

    async def _hold(self, content):
        if content.get("deadlineMs"):
            self._renew(content["deadlineMs"])
        acked = content.get("ackedThrough", 0)
        self._ended = [row for row in self._ended if row[0] > acked]
        wait_s = min(content.get("waitMs", 0), 2000) / 1000
        if wait_s and not self._ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        running = [
            [run.task, run.number, "", run.percent, 1000]
            for run in self._running.values()
        ]
        return self._reply(200, running=running, endedRuns=self._ended[:500])


# The proxy


class Proxy:
    """Forwards connections; resets those that begin while `resets` > 0.

    Attributes:
        resets: Number of connections that are reset once their first bytes
            have arrived, before any is forwarded.
    """

    def __init__(self, target):
        self.address = (ADDRESS, free_port())
        self.target = target
        self.resets = 0

    async def start(self):
        """Begins to listen."""
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        first = await reader.read(65536)
        if self.resets > 0:
            self.resets -= 1
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        back_writer.write(first)
        await asyncio.gather(
            _pump(reader, back_writer), _pump(back_reader, writer)
        )


async def _pump(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


# Dispatchers


class Dispatcher:
    """One dispatcher process, started as the deploy file says."""

    def __init__(self, rig, name, zone):
        self.rig = rig
        self.name = name
        self.zone = zone
        self.front = (ADDRESS, free_port())
        self.ready = (ADDRESS, free_port())
        self.control = (ADDRESS, free_port())
        self.metrics = (ADDRESS, free_port())
        self.process = None

    def start(self):
        """Writes the settings file and starts the process."""
        rig = self.rig
        path = rig.folder / f"{self.name}.toml"
        path.write_text(_fill_template(self))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["ACACIALINE_NODE_FILE"] = str(path)
        with (rig.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "acacialine", "dispatcher"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        rig.record.add(f"{self.name} ({self.zone}) is started")

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process."""
        self.rig.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self) -> str:
        """Returns the log so far."""
        path = self.rig.folder / f"{self.name}.log"
        return path.read_text(errors="replace")


def _fill_template(dispatcher) -> str:
    """Returns the settings, made from the template of the deploy file."""
    rig = dispatcher.rig
    zones = sorted({d.zone for d in rig.dispatchers})
    values = {
        "nodeName": dispatcher.name,
        "zone": dispatcher.zone,
        "listen.front": "{}:{}".format(*dispatcher.front),
        "listen.ready": "{}:{}".format(*dispatcher.ready),
        "listen.control": "{}:{}".format(*dispatcher.control),
        "limits.cores": "2",
        "limits.cpuShare": "0.537",
        "seeds": ",".join(
            "{}:{}".format(*d.control) for d in rig.dispatchers[:3]
        ),
        "platform.address": "{}:{}".format(*rig.store_address),
        "bounds.maxHoldMs": str(round(MAX_LEASE_S * 1000)),
        "bounds.graceS": "6",
    }
    text = (REPOSITORY / "deploy" / "entry.ini").read_text()
    text = re.sub(r"{{#zones}}.*?{{/zones}}", " ".join(zones), text)
    # The port of the metrics is fixed in the template.
    text = text.replace("{{ip}}:9464", "{}:{}".format(*dispatcher.metrics))
    return re.sub(r"{{([\w.]+)}}", lambda match: values[match[1]], text)


# A small deployment


class Rig:
    """A store, backend servers and dispatchers on loopback addresses."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store()
        self.store_address = (ADDRESS, free_port())
        self.dispatchers = []
        self.workers = []
        self._version = 4

    def add_dispatcher(self, name, zone):
        """Adds a dispatcher, which is started by `start`."""
        self.dispatchers.append(Dispatcher(self, name, zone))
        return self.dispatchers[-1]

    def add_worker(self, name, zone, service):
        """Adds a backend server, which is started by `start`."""
        worker = Worker(name, zone, service, self.store, self.record)
        self.workers.append(worker)
        return worker

    def publish(self, services: dict[str, str]) -> None:
        """Writes the next configuration: the service of each queue."""
        self._version += 3
        routes = [
            {
                "name": queue,
                "host": HOST,
                "pathPrefix": f"/{queue}/",
                "service": service,
                "kind": "non_idempotent",
                "timeoutMs": 20000,
                "targetLatencyMs": 20000,
                "maxAttempts": 2,
                "priority": 0,
                "stretch": 1.6,
            }
            for queue, service in services.items()
        ]
        names = sorted({w.service for w in self.workers})
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConns": 64,
                    "enforcesCapacity": False,
                }
                for name in names
            ],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", _json(document))
        self.record.add(f"version {self._version} is confirmed: {services}")

    def add_zones(self, names, services) -> None:
        """Adds two dispatchers a zone, and two servers of each service."""
        for zone in names:
            for number in (1, 2):
                self.add_dispatcher(f"{zone}-{number}", zone)
                for service in services:
                    name = f"w-{zone}-{service}-{number}"
                    self.add_worker(name, zone, service)

    async def start(self, services) -> bool:
        """Starts all parts; returns whether they became ready."""
        await serve_http(self.store.handle, self.store_address)
        self.publish(services)
        for worker in self.workers:
            await worker.start()
        for dispatcher in self.dispatchers:
            dispatcher.start()
        until = time.monotonic() + 30
        for dispatcher in self.dispatchers:
            while True:
                status, _ = await call(
                    dispatcher.ready, "GET", "/acacialine/readyz", _HOSTS, b"", 1
                )
                if status == 200:
                    break
                if time.monotonic() > until:
                    self.record.add(f"{dispatcher.name} is not ready in time")
                    return False
                await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        return True

    async def submit(
        self, dispatcher, queue, job_id, count, work_ms, deadline_ms, **fields
    ):
        """Sends a job and returns the status and state of its answer.

        `via` is the address of a proxy in front of the dispatcher, `wait_s`
        how long the client waits; all other keywords are fields of the step.
        """
        wait_s = fields.pop("wait_s", deadline_ms / 1000 + 0.5)
        address = fields.pop("via", dispatcher.front)
        spec = f"work_ms={work_ms}"
        step = {"count": count, "cpu": 6800, "memMb": 64}
        step["estimateMs"] = fields.pop("estimate_ms", work_ms)
        step |= fields
        job = {"spec": spec, "steps": [step], "bestEffort": True}
        headers = (*_HOSTS, ("Deadline-Ms", deadline_ms))
        self.record.add(f"client sends POST {job_id} to {dispatcher.name}")
        status, body = await call(
            address,
            "POST",
            f"/{queue}/{job_id}",
            headers,
            _json(job),
            wait_s,
        )
        text = body.decode()
        self.record.add(f"client gets {status} {text} for POST {job_id}")
        return status, text

    async def cancel(self, address, name, queue, job_id):
        """Sends DELETE for a job and returns the status of the answer."""
        self.record.add(f"client sends DELETE {job_id} to {name}")
        status, _ = await call(
            address, "DELETE", f"/{queue}/{job_id}", _HOSTS, b"", 2
        )
        self.record.add(f"client gets {status} for DELETE {job_id}")
        return status

    def runs_of(self, job_id):
        """Returns the runs of a job on all backend servers."""
        return [
            entry
            for worker in self.workers
            for entry in worker.history
            if entry["task"].startswith(job_id + ".")
        ]

    def close(self):
        """Kills the dispatchers that still run."""
        for dispatcher in self.dispatchers:
            process = dispatcher.process
            if process is not None:
                if process.poll() is None:
                    process.kill()
                process.wait()


_HOSTS = (("Host", HOST),)


def has_trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def _exit_on_signal(number, _frame):
    raise SystemExit(number)


def main(case, case_folder: str) -> None:
    """Runs a case and exits with its result.

    `case(rig)` returns 1 if the rule was broken, 0 if it held and 2 if the case
    couldn't run.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    record = Record(pathlib.Path(case_folder) / "record.txt")
    record.add(f"trouble: {int(has_trouble())}")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    rig = Rig(folder, record)
    result = 2
    try:
        loop = asyncio.new_event_loop()
        result = loop.run_until_complete(
            asyncio.wait_for(case(rig), MAX_CASE_S)
        )
    except TimeoutError:
        record.add("the case took too long")
    except Exception:
        record.add(traceback.format_exc())
    finally:
        rig.close()
        if os.environ.get("KEEP_LOGS"):
            record.add("the logs of the dispatchers are kept")
            print(f"logs are in {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
        result_text = {0: "the rule held", 1: "the rule was broken"}
        record.add(result_text.get(result, "the case could not run"))
        record.save()
        sys.stdout.flush()
        # Connections that are still open need no orderly end.
        os._exit(result)
