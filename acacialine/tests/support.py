"""Builders of test data and helpers of the integration tests."""

import contextlib
import random

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import configlog
from acacialine import core as core_lib
from acacialine import ids
from acacialine import platforms
from acacialine import settings as settings_lib
from acacialine import tables as tables_lib
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib

TOKEN = "test-token"
OTHER_TOKEN = "other-token"
FAST = {
    "membership": {
        "heartbeat_ms": 100,
        "zone_heartbeat_ms": 200,
        "dead_ms": 500,
    },
    "platform": {"poll_ms": 200, "vm_list_ms": 200, "timeout_ms": 500},
    "stop": {"unhealthy_s": 0.2},
    "log": {"decisions": "no"},
}


def document_text(team: str = "alpha", token: str = TOKEN, **service) -> str:
    """Returns a valid team document."""
    from acacialine import documents

    extra = "\n".join(f"{key} = {value}" for key, value in service.items())
    return (
        f"[service]\nteam = {team}\n{extra}\n"
        f"[tokens]\none = {documents.token_digest(token)}\n"
        "[kind quick]\ndeclared_ms = 20\ndeadline_ms = 5000\n"
        "[kind alert]\nidempotent = no\ndeclared_ms = 20\n"
        "[kind huge]\ncpus = 64\n"
    )


def entry_settings(**placement) -> settings_lib.Settings:
    """Returns settings of one entry for tests of the core."""
    plan = layout_lib.EntryPlan(
        "entry-1",
        "zone-a",
        ("127.0.0.1", 1),
        ("127.0.0.1", 2),
        ("127.0.0.1", 3),
    )
    # Small bounds, so that answers and tombstones are forgotten soon.
    kept = {"answer_bytes": 1500, "tombstones": 24}
    extra = {**FAST, "placement": placement, "submissions": kept}
    text = layout_lib.settings_text(plan, "http://127.0.0.1:9", extra)
    return settings_lib.read_settings(text, "test")


def new_core(number: int = 1, **placement) -> core_lib.Core:
    """Returns a core with one team's document in force."""
    me = ids.Incarnation("10.0.0.1", 7000 + number, f"{number:016x}")
    tables = tables_lib.new_tables(me, entry_settings(**placement), 0.0, number)
    tables.random = random.Random(number)
    change = configlog.Change("c1", "alpha", 0, document_text())
    record = configlog.Record(change=change)
    tables.fold.apply(1, configlog.encode_record(record))
    return core_lib.new_core(tables)


def leaving(listed: platforms.Vm) -> platforms.Vm:
    """Returns a VM of the list as leaving."""
    return attrs.evolve(listed, state="leaving")


def vm(name: str, zone: str = "zone-a", **changes) -> platforms.Vm:
    """Returns a backend server of the VM list."""
    values = {"role": "backend", "address": "127.0.0.1:9", "zone": zone}
    return platforms.Vm(name, **{**values, **changes})


class Caller:
    """A caller that records each answer it gets."""

    def __init__(self, address: tuple[str, int], token: str = TOKEN):
        self.url = f"http://{layout_lib.text_of(address)}"
        self.token = token

    async def request(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a connection of its own."""
        fields = {"Authorization": f"Bearer {self.token}"}
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                method, self.url + path, headers=fields, content=body
            )
        answered = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, answered, response.content

    async def prefix(self) -> str:
        """Returns the id prefix of the entry."""
        _, _, body = await self.request("GET", "/v1/coordinator")
        return msgspec.json.decode(body)["prefix"]

    async def submit(
        self,
        count: int = 1,
        submission_id: str | None = None,
        kind: str = "quick",
        deadline_ms: float = 4000,
        run_ms: float = 10,
        mark: str = "",
    ) -> tuple[int, dict]:
        """Submits a job of equal tasks and returns status and body."""
        task = {"payload": {"run_ms": run_ms, "mark": mark}}
        body = msgspec.json.encode(
            {"kind": kind, "deadline_ms": deadline_ms, "tasks": [task] * count}
        )
        headers = {"Submission_Id": submission_id} if submission_id else {}
        status, _, content = await self.request(
            "POST", "/v1/jobs", body, **headers
        )
        return status, msgspec.json.decode(content)


@contextlib.asynccontextmanager
async def installation(
    zones: list[str],
    entries: list[int],
    backends: list[int],
    extra: dict | None = None,
    idle_s: float = 30.0,
):
    """Runs an installation in this process and waits until it serves."""
    layout = layout_lib.new_layout(zones, entries, backends)
    async with running_layout(layout, extra, idle_s) as local:
        yield local


@contextlib.asynccontextmanager
async def running_layout(
    layout: layout_lib.Layout,
    extra: dict | None = None,
    idle_s: float = 30.0,
    first: int | None = None,
):
    """Runs a layout; see `installation`."""
    merged = {section: dict(values) for section, values in FAST.items()}
    for section, values in (extra or {}).items():
        merged.setdefault(section, {}).update(values)
    async with local_lib.running(layout, merged, idle_s, first) as local:
        local.publish("alpha", document_text())
        local.publish("beta", document_text("beta", OTHER_TOKEN))
        await local.wait_ready()
        yield local


def run(function, *args, seconds: float = 60) -> None:
    """Runs an async test with a bound on its time."""

    async def bounded():
        with trio.fail_after(seconds):
            await function(*args)

    trio.run(bounded)


def now() -> float:
    """Returns the clock of the product."""
    return clock.now()
