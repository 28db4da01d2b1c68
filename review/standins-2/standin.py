"""Stand-ins of the platform: store, backend servers, clients, dispatchers.

They follow the users' pages, use the standard library only, and run in one
process on the real clock. The dispatchers are separate processes, started with
the command of the deploy file and settings rendered from its template.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
PREFIX = "/jobs/"
BEAT_S = 1.5
# Bounds of a small deployment, as the settings file names them.
MAX_HOLD_S = 1.0
STOP_S = 0.02  # stopTimeoutMs is 50
GRACE_S = 6
ANSWER_S = 0.004  # of the store
MEMORY_MB = 300
MAX_FDS = 4100
CORES = "2"
CPU_SHARE = "0.537"


class Record:
    """What was sent, answered and run, in the order of events."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._start = time.monotonic()

    def now(self):
        """Returns the time in s since the start of the record."""
        return time.monotonic() - self._start

    def __call__(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")


def free_port(ip):
    """Returns a port of a loopback address that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


async def serve_http(ip, port, handler):
    """Serves HTTP requests; `handler` returns a status and a body, or None.

    None leaves the request without an answer.
    """

    async def serve(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                reply = await handler(method, target, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                status, content = reply
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%s"
                    % (status, len(content), content)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except (KeyError, ValueError, IndexError):
            pass  # a malformed request ends its connection
        finally:
            writer.close()

    return await asyncio.start_server(serve, ip, port, backlog=512)


class Store:
    """The platform's log; keyed topics of one partition."""

    def __init__(self):
        self.topics = {}
        self._appended = asyncio.Event()

    def put(self, topic, key, value):
        """Appends a record of a keyed topic; returns its offset."""
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        self._appended.set()
        self._appended = asyncio.Event()
        return len(log) - 1

    async def handle(self, method, target, headers, body):
        """Serves one call."""
        await asyncio.sleep(ANSWER_S)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        log = self.topics.setdefault(query.get("topic", ""), [])
        match path:
            case "/acacialine/log-append":
                position, offset = 0, len(log)
                while position + 4 <= len(body):
                    (size,) = struct.unpack_from(">I", body, position)
                    record = body[position + 4 : position + 4 + size]
                    position += 4 + size
                    end = 1 + record[0]
                    self.put(
                        query["topic"], record[1:end].decode(), record[end:]
                    )
                return 200, {"offset": offset, "endOffset": len(log)}
            case "/acacialine/log-newest":
                newest = {}
                for offset, (key, value) in enumerate(log):
                    newest[key] = (offset, value)
                items = [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in sorted(newest.items())
                    if value and key > query.get("after", "")
                ]
                return 200, {
                    "items": items[:500],
                    "hasMore": len(items) > 500,
                    "endOffset": len(log),
                }
            case "/acacialine/log-read":
                start = int(query["from"])
                until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
                while len(log) <= start and time.monotonic() < until:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(
                            self._appended.wait(), until - time.monotonic()
                        )
                parts = [struct.pack(">QQ", len(log), 0)]
                size = 0
                for key, value in log[start:]:
                    content = bytes([len(key.encode())]) + key.encode() + value
                    size += len(content)
                    if size > int(query.get("maxKb", 1024)) << 10:
                        break
                    parts.append(struct.pack(">I", len(content)) + content)
                return 200, b"".join(parts)
        return 404, {}


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, job_s, now):
        self.task = task
        self.number = number
        self.length_s = job_s
        self.started_at = now
        self.stopping_at = None


class Worker:
    """One backend server: its runs, their lease and its record.

    A task's `spec` begins with its length in s.
    """

    def __init__(self, name, zone, store, record, cpu=16000, mem_mb=65536):
        self.id = name
        self.zone = zone
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.state = "ready"
        self.service = "desk"
        self.labels = ["a", "r-1"]
        self.born = int(time.time() * 1000)
        self.running = {}
        self.ended = []
        self.dropped = 0  # ends that need not be listed again
        self.seen = 0  # highest fencing token
        self.lease_until = 0.0
        self.barred = {}  # task: highest run that was stopped or ended
        self.starts = []  # (time, task, run)
        self.ends = []  # (time, task, run, how)
        self.changed = asyncio.Event()
        # Returns after how many s an order is carried out, without an answer.
        self.late_s = None
        self.orders = 0
        self.unanswered = 0
        self._store = store
        self._record = record
        self._seq = 0
        self._clock_start = time.monotonic()
        self.address = ""

    def clock_ms(self):
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self._clock_start) * 1000) + 1000

    def announce(self):
        """Writes the worker's record to the store."""
        self._seq += 1
        content = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._seq,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb},
            "labels": self.labels,
        }
        self._store.put("keyed.servers", self.id, json.dumps(content).encode())

    async def run(self, ip, port):
        """Serves the worker until cancelled."""
        self.address = f"{ip}:{port}"
        self.server = await serve_http(ip, port, self.handle)
        self.announce()
        asyncio.create_task(self._beat())
        asyncio.create_task(self._end_runs())

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self.announce()

    def _end(self, run, how):
        del self.running[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.ended.append(
            [self.dropped + len(self.ended) + 1, run.task, run.number, how, ""]
        )
        self.ends.append((self._record.now(), run.task, run.number, how))
        self._record(f"{self.id} ended {run.task} run {run.number}: {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _end_runs(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for run in list(self.running.values()):
                if run.stopping_at is not None and now >= run.stopping_at:
                    self._end(run, "stopped")
                elif now >= run.started_at + run.length_s:
                    self._end(run, "done")
                elif now >= self.lease_until:
                    self._end(run, "lapsed")

    def _extend(self, content):
        deadline_ms = content.get("deadlineMs")
        if deadline_ms is not None:
            left_s = min((deadline_ms - self.clock_ms()) / 1000, MAX_HOLD_S)
            self.lease_until = max(
                self.lease_until, time.monotonic() + left_s
            )

    def _reply(self, **content):
        return {"clockMs": self.clock_ms(), "born": self.born, **content}

    async def handle(self, method, target, headers, body):
        """Serves one call."""
        late_s = self.late_s(target) if self.late_s is not None else 0
        self.orders += 1
        if late_s:
            self.unanswered += 1
            self._record(f"{self.id} leaves {target} unanswered: {body.decode()}")
            asyncio.create_task(self._execute_late(late_s, target, headers, body))
            return None
        return await self._execute(target, headers, body)

    async def _execute_late(self, late_s, target, headers, body):
        born = self.born
        await asyncio.sleep(late_s)
        if born == self.born:
            await self._execute(target, headers, body)

    async def _execute(self, target, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, self._reply()
        content = json.loads(body or b"{}")
        token = content.get("fencingToken", 0)
        if token < self.seen:
            return 409, self._reply(reason="fence")
        self.seen = token
        match target:
            case "/acacialine/run-start":
                return self._start(content)
            case "/acacialine/run-stop":
                task, number = content["task"], content["run"]
                self.barred[task] = max(self.barred.get(task, 0), number)
                run = self.running.get(task)
                if run is not None and run.number == number:
                    run.stopping_at = run.stopping_at or (
                        time.monotonic() + STOP_S
                    )
                return 200, self._reply()
            case "/acacialine/hold":
                self._extend(content)
                through = content.get("ackedThrough", 0)
                while self.ended and self.ended[0][0] <= through:
                    self.ended.pop(0)
                    self.dropped += 1
                until = time.monotonic() + content.get("waitMs", 0) / 1000
                while not self.ended and time.monotonic() < until:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(
                            self.changed.wait(), until - time.monotonic()
                        )
                now = time.monotonic()
                running = [
                    [
                        run.task,
                        run.number,
                        "",
                        min(
                            99, int(100 * (now - run.started_at) / run.length_s)
                        ),
                        0,
                    ]
                    for run in self.running.values()
                ]
                return 200, self._reply(
                    running=running, endedRuns=self.ended[:500]
                )
        return 404, {}

    def _start(self, content):
        task, number = content["task"], content["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, self._reply()
        if number <= self.barred.get(task, 0):
            self._extend(content)
            return 409, self._reply(reason="old")
        if content["deadlineMs"] <= self.clock_ms():
            return 409, self._reply(reason="late")
        length_s = float(content["spec"].split()[0])
        self._extend(content)
        self.running[task] = Run(task, number, length_s, time.monotonic())
        self.starts.append((self._record.now(), task, number))
        self._record(f"{self.id} started {task} run {number}")
        return 200, self._reply()


class PeerProxy:
    """A proxy in front of the peer port of one dispatcher.

    A cut is silent: what one side sends is held until the cut has healed.
    Within a zone all passes: the handshake names the dialler.
    """

    def __init__(self, cluster, dispatcher):
        self._cluster = cluster
        self._dispatcher = dispatcher

    async def serve(self):
        """Serves the advertised address."""
        await asyncio.start_server(
            self._handle, self._dispatcher.ip, self._cluster.proxy_port
        )

    async def _handle(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._dispatcher.ip, self._cluster.peer_port
            )
        except OSError:
            writer.close()
            return
        dialler = []

        async def pump(source, sink, finds_dialler):
            try:
                while data := await source.read(65536):
                    if finds_dialler and not dialler:
                        dialler.extend(self._find_dialler(data))
                    if dialler and dialler[0].zone != self._dispatcher.zone:
                        await self._cluster.zones_linked.wait()
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()

        await asyncio.gather(
            pump(reader, target_writer, True),
            pump(target_reader, writer, False),
        )

    def _find_dialler(self, data):
        for dispatcher in self._cluster.dispatchers:
            if f"{dispatcher.ip}-{self._cluster.proxy_port}-".encode() in data:
                return [dispatcher]
        return []


class Dispatcher:
    """One dispatcher process with settings of a small deployment."""

    def __init__(self, cluster, name, zone, ip):
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.stopping = False  # since SIGTERM, until it is ready again
        self.log_path = cluster.work_dir / f"{name}.log"

    def _settings(self):
        cluster = self.cluster
        text = (ROOT / "deploy/entry.ini").read_text()
        zones = sorted({d.zone for d in cluster.dispatchers})
        seeds = [
            f"{d.ip}:{cluster.seed_port}" for d in cluster.dispatchers[:3]
        ]
        values = {
            "{{nodeName}}": self.name,
            "{{zone}}": self.zone,
            "{{listen.front}}": f"{self.ip}:{cluster.front_port}",
            "{{listen.ready}}": f"{self.ip}:{cluster.ready_port}",
            "{{listen.control}}": f"{self.ip}:{cluster.peer_port}",
            "{{ip}}": self.ip,
            "{{limits.cores}}": CORES,
            "{{limits.cpuShare}}": CPU_SHARE,
            "{{seeds}}": ",".join(seeds),
            "{{#zones}}{{@}} {{/zones}}": " ".join(zones),
            "{{platform.address}}": cluster.store_address,
            "{{bounds.maxHoldMs}}": str(int(MAX_HOLD_S * 1000)),
            "{{bounds.graceS}}": str(GRACE_S),
        }
        for field, value in values.items():
            text = text.replace(field, value)
        assert "{{" not in text, text
        if cluster.proxy_port:
            text = text.replace(
                "peer_keys",
                f"peer_advertise = {self.ip}:{cluster.proxy_port}\npeer_keys",
            )
        return text

    def start(self):
        """Starts the process with the command of the deploy file."""
        settings = self.cluster.work_dir / f"{self.name}.ini"
        settings.write_text(self._settings())
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.cluster.work_dir),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "ACACIALINE_NODE_FILE": str(settings),
            "ACACIALINE_MEMORY_MB": str(MEMORY_MB),
            "ACACIALINE_MAX_FDS": str(MAX_FDS),
            "ACACIALINE_EVACUATE_MS": "",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "acacialine", "dispatcher"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.cluster.record(f"{self.name} starts, process {self.process.pid}")

    def signal(self, number):
        """Sends a signal to the process."""
        self.cluster.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Returns the resident memory of the process."""
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    def log_text(self):
        """Returns what the process has logged."""
        return self.log_path.read_text(errors="replace")


class Cluster:
    """A store, workers and dispatchers on loopback addresses."""

    def __init__(self, case_dir):
        self.record = Record(pathlib.Path(case_dir) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.work_dir = pathlib.Path(self.temporary.name)
        self.store = Store()
        self.workers = []
        self.dispatchers = []
        self.version = 0
        # Addresses that other plays on the machine are unlikely to use.
        self._net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        self._next_ip = 1
        self.front_port, self.ready_port, self.peer_port = (
            free_port(f"{self._net}.1") for _ in range(3)
        )
        self.store_address = ""
        self.proxy_port = 0  # of the proxies between dispatchers, if any
        self.zones_linked = asyncio.Event()
        self.zones_linked.set()

    @property
    def seed_port(self):
        """The port at which dispatchers reach each other."""
        return self.proxy_port or self.peer_port

    def use_proxies(self):
        """Puts a proxy in front of each dispatcher; call it before `start`."""
        self.proxy_port = free_port(f"{self._net}.1")

    def cut_zones(self):
        """Cuts all zones off from each other; clients and store reach them."""
        self.record("the zones are cut off from each other")
        self.zones_linked.clear()

    def heal_zones(self):
        """Ends the cut."""
        self.record("the zones reach each other again")
        self.zones_linked.set()

    def new_ip(self):
        """Returns an unused loopback address."""
        ip = f"{self._net}.{self._next_ip}"
        self._next_ip += 1
        return ip

    def publish(self, **route):
        """Publishes a configuration with one route."""
        self.version += 3
        route = {
            "name": "queue-a",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": "desk",
            "timeoutMs": 60000,
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 1.6,
            "targetLatencyMs": 60,
        } | route
        document = {
            "version": self.version,
            "routes": [route],
            "services": [{"name": route["service"], "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record(f"configuration {self.version} is confirmed")

    async def start(self, zones, workers, **route):
        """Starts all; `zones` names the zone of each dispatcher.

        Args:
            zones: Zone of each dispatcher.
            workers: Zone and arguments of each worker.
            route: Fields of the route that differ from the defaults.
        """
        ip = self.new_ip()
        port = free_port(ip)
        self.store_address = f"{ip}:{port}"
        await serve_http(ip, port, self.store.handle)
        self.publish(**route)
        for number, (zone, options) in enumerate(workers):
            worker = Worker(
                f"worker-{number}", zone, self.store, self.record, **options
            )
            ip = self.new_ip()
            await worker.run(ip, free_port(ip))
            self.workers.append(worker)
        for number, zone in enumerate(zones):
            name = f"front-{zone}-{number}"
            self.dispatchers.append(
                Dispatcher(self, name, zone, self.new_ip())
            )
        for dispatcher in self.dispatchers:
            if self.proxy_port:
                await PeerProxy(self, dispatcher).serve()
        for dispatcher in self.dispatchers:
            dispatcher.start()
        for dispatcher in self.dispatchers:
            await self.wait_ready(dispatcher)
        # The pages let traffic start 12 s after the machines; what matters is
        # that placers are settled.
        await asyncio.sleep(3.0)

    async def stop_in_turn(self, gap_s, restart_s=1.0, order=None):
        """Stops all dispatchers in turn and starts each again.

        Each gets SIGTERM, and SIGKILL if it has not ended after the grace
        period. It is started again after a short delay.
        """

        async def stop(dispatcher):
            dispatcher.stopping = True
            dispatcher.signal(signal.SIGTERM)
            until = time.monotonic() + GRACE_S
            while dispatcher.is_running and time.monotonic() < until:
                await asyncio.sleep(0.01)
            if dispatcher.is_running:
                dispatcher.signal(signal.SIGKILL)
                dispatcher.process.wait()
            self.record(f"{dispatcher.name} has ended")
            await asyncio.sleep(restart_s)
            dispatcher.start()
            await self.wait_ready(dispatcher)
            dispatcher.stopping = False

        tasks = []
        for dispatcher in order or self.dispatchers:
            tasks.append(asyncio.create_task(stop(dispatcher)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)

    async def wait_ready(self, dispatcher, within_s=20.0):
        """Waits until a dispatcher is ready."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            status, _, _ = await self.request(
                dispatcher, "GET", "/acacialine/readyz", port=self.ready_port
            )
            if status == 200:
                self.record(f"{dispatcher.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{dispatcher.name} is not ready")

    async def request(
        self,
        dispatcher,
        method,
        path,
        body=None,
        deadline_ms=None,
        port=None,
        patience_s=30.0,
        label="",
    ):
        """Sends one request on a new connection.

        Returns:
            Status, headers and body. The status is 0 if the connection ended
            without an answer, -1 if there was none in time and -2 if there was
            no connection.
        """
        say = self.record if label else (lambda text: None)
        try:
            reader, writer = await asyncio.open_connection(
                dispatcher.ip, port or self.front_port
            )
        except OSError as error:
            say(f"{label}: no connection to {dispatcher.name}: {error!r}")
            return -2, {}, b""
        try:
            content = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            if body is not None:
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(content)}\r\n"
            if deadline_ms is not None:
                head += f"Deadline-Ms: {deadline_ms}\r\n"
            writer.write(head.encode() + b"\r\n" + content)
            say(f"{label}: {method} {path} sent to {dispatcher.name}")
            first, headers, reply = await asyncio.wait_for(
                read_message(reader), patience_s
            )
            status = int(first.split(" ")[1])
            say(f"{label}: answer {status} {reply.decode()}")
            return status, headers, reply
        except asyncio.TimeoutError:
            say(f"{label}: no answer in {patience_s} s")
            return -1, {}, b""
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            say(f"{label}: the connection ended without an answer")
            return 0, {}, b""
        finally:
            writer.close()

    async def submit(
        self, dispatcher, job_id, length_s, deadline_ms, label="", **step
    ):
        """Sends a job of one step; returns as `request`."""
        step = {
            "count": 1,
            "cpu": 7000,
            "memMb": 64,
            "estimateMs": int(length_s * 1000),
        } | step
        body = {"spec": f"{length_s}", "steps": [step], "bestEffort": True}
        return await self.request(
            dispatcher,
            "POST",
            PREFIX + job_id,
            body,
            deadline_ms,
            patience_s=deadline_ms / 1000 + 1.0,
            label=label,
        )

    def close(self):
        """Ends all processes that were started."""
        for dispatcher in self.dispatchers:
            if dispatcher.is_running:
                dispatcher.process.send_signal(signal.SIGCONT)
                dispatcher.process.kill()
            if dispatcher.process is not None:
                dispatcher.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for dispatcher in self.dispatchers:
                target = pathlib.Path(keep) / dispatcher.log_path.name
                target.write_bytes(dispatcher.log_path.read_bytes())
        self.temporary.cleanup()


class Channel:
    """A keep-alive connection of a client to one dispatcher.

    Clients keep an open connection until it is closed.
    """

    def __init__(self, cluster, dispatcher):
        self.dispatcher = dispatcher
        self._cluster = cluster
        self._reader = None
        self._writer = None

    @property
    def is_open(self):
        """Whether another request may be sent on it."""
        return self._writer is not None

    async def open(self):
        """Opens it; returns whether that succeeded."""
        try:
            self._reader, self._writer = await asyncio.open_connection(
                self.dispatcher.ip, self._cluster.front_port
            )
        except OSError:
            return False
        return True

    def close(self):
        """Closes it."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def call(self, method, path, body=None, deadline_ms=None, label=""):
        """Sends a request and waits for its answer.

        Returns:
            The status, or 0 if the connection ended without an answer, and
            the time in s that it took.
        """
        say = self._cluster.record if label else (lambda text: None)
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        content = b"" if body is None else json.dumps(body).encode()
        head += f"Content-Length: {len(content)}\r\n"
        if deadline_ms is not None:
            head += f"Deadline-Ms: {deadline_ms}\r\n"
        sent_at = time.monotonic()
        try:
            self._writer.write(head.encode() + b"\r\n" + content)
            first, headers, _ = await read_message(self._reader)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            took_s = time.monotonic() - sent_at
            say(
                f"{label}: {method} {path} at {self.dispatcher.name}: the"
                f" connection ended without an answer after {took_s:.3f} s"
            )
            self.close()
            return 0, took_s
        took_s = time.monotonic() - sent_at
        status = int(first.split(" ")[1])
        say(
            f"{label}: {method} {path} at {self.dispatcher.name}: answer"
            f" {status} after {took_s:.3f} s"
        )
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, took_s


class CannotRunError(Exception):
    """The case could not run."""


def new_job_id():
    """Returns an id as clients choose them."""
    return f"{random.getrandbits(64):016x}"


def main(case_dir, play):
    """Plays a case and exits with its result.

    `play` is a coroutine function that gets the cluster and returns the text
    of each violation.
    """

    async def run():
        cluster = Cluster(case_dir)
        try:
            async with asyncio.timeout(113):
                return cluster.record, await play(cluster)
        except BaseException as error:
            cluster.record(f"the case could not run: {error!r}")
            raise
        finally:
            cluster.close()

    try:
        record, violations = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError, AssertionError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in violations:
        record(f"BROKEN: {text}")
        print(f"broken: {text}")
    if not violations:
        record("the rule held")
        print("held")
    sys.exit(1 if violations else 0)
