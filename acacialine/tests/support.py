"""Builders of test data and helpers for integration tests."""

import contextlib
import os
import random

import attrs
import httpcore
import msgspec
import trio

from acacialine import clock
from acacialine import configlog
from acacialine import core as core_lib
from acacialine import ids
from acacialine import messages
from acacialine import platforms
from acacialine import settings as settings_lib
from acacialine import tables as tables_lib
from acacialine.tools import layout as layout_lib
from acacialine.tools import local as local_lib
from acacialine.tools import ports as ports_lib

FUZZ_EXAMPLES = int(os.environ.get("ACACIALINE_EXAMPLES", "200"))
TOKEN = "test-token"
OTHER_TOKEN = "other-token"
# Settings with short intervals, so that tests take little time.
FAST_SETTINGS = {
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
    """Returns a valid team document.

    Args:
        team: Name of the team.
        token: The team's bearer token.
        **service: Further settings of the `service` section.
    """
    from acacialine import documents

    service_lines = "\n".join(
        f"{key} = {value}" for key, value in service.items()
    )
    return (
        f"[service]\nteam = {team}\n{service_lines}\n"
        f"[tokens]\none = {documents.token_digest(token)}\n"
        "[kind quick]\ndeclared_ms = 20\ndeadline_ms = 5000\n"
        "[kind alert]\nidempotent = no\ndeclared_ms = 20\n"
        "[kind huge]\ncpus = 64\n"
    )


def entry_settings(**placement) -> settings_lib.Settings:
    """Returns the settings of one entry for tests of the core.

    Args:
        **placement: Settings of the `placement` section.
    """
    plan = layout_lib.EntryPlan(
        "entry-1",
        "zone-a",
        ("127.0.0.1", 1),
        ("127.0.0.1", 2),
        ("127.0.0.1", 3),
    )
    # Low limits, so that tests reach the eviction of answers and tombstones.
    submission_limits = {"answer_bytes": 1500, "tombstones": 24}
    sections = {
        **FAST_SETTINGS,
        "placement": placement,
        "submissions": submission_limits,
    }
    text = layout_lib.settings_text(plan, "http://127.0.0.1:9", sections)
    return settings_lib.read_settings(text, "test")


def new_core(number: int = 1, **placement) -> core_lib.Core:
    """Returns a core whose configuration holds the document of one team.

    Args:
        number: Seed of its random numbers; also sets its address.
        **placement: Settings of the `placement` section.
    """
    me = ids.Incarnation("10.0.0.1", 7000 + number, f"{number:016x}")
    tables = tables_lib.new_tables(me, entry_settings(**placement), 0.0, number)
    tables.random = random.Random(number)
    change = configlog.Change("c1", "alpha", 0, document_text())
    record = configlog.Record(change=change)
    tables.configuration.apply(1, configlog.encode_record(record))
    return core_lib.new_core(tables)


def leaving(listed: platforms.Vm) -> platforms.Vm:
    """Returns a copy of a VM with the state `leaving`."""
    return attrs.evolve(listed, state="leaving")


def vm(name: str, zone: str = "zone-a", **changes) -> platforms.Vm:
    """Returns a backend server as an item of the VM list."""
    fields = {"role": "backend", "address": "127.0.0.1:9", "zone": zone}
    return platforms.Vm(name, **{**fields, **changes})


def new_heartbeat(sender: ids.Incarnation, number: int = 1, **changes):
    """Returns the heartbeat of an entry with short names and 8 free slots."""
    values = {
        "sender": str(sender),
        "name": "n",
        "zone": "zone-a",
        "state": "live",
        "beat": number,
        "sent_at": 0.0,
        "config_offset": 1,
        "successor": "",
        "caller_address": "x:1",
        "last_seq": 0,
        "slots": 8,
        "free": 8,
        "work_s": 0.0,
        "waiting": 0,
    }
    return messages.Heartbeat(**{**values, **changes})


class Client:
    """A client of one entry, with the token of one team."""

    def __init__(self, address: tuple[str, int], token: str = TOKEN):
        self.url = f"http://{layout_lib.format_address(address)}"
        self.token = token

    async def request(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a new connection.

        Underscores in the names of `headers` become hyphens.

        Returns:
            Status, headers by lower-case name, and body.
        """
        request_headers = {"Authorization": f"Bearer {self.token}"}
        for name, value in headers.items():
            request_headers[name.replace("_", "-")] = value
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            response = await pool.request(
                method, self.url + path, headers=request_headers, content=body
            )
        response_headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, response_headers, response.content

    async def prefix(self) -> str:
        """Returns the prefix of the ids that the entry issues."""
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
        """Submits a job of identical tasks; returns status and body."""
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
async def running_installation(
    zones: list[str],
    entries: list[int],
    backends: list[int],
    extra: dict | None = None,
    idle_s: float = 30.0,
):
    """Runs an installation in this process and waits until it is ready.

    Args:
        zones: Names of the zones.
        entries: Number of entries in each zone.
        backends: Number of backend servers in each zone.
        extra: Settings by section, on top of `FAST_SETTINGS`.
        idle_s: Time after which backend servers close idle connections, in s.
    """
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
    """Runs a given layout; see `running_installation`.

    Args:
        layout: Addresses of everything that runs.
        extra: Settings by section, on top of `FAST_SETTINGS`.
        idle_s: As for `running_installation`.
        first: Number of entries to start; None for all.
    """
    merged = {
        section: dict(values) for section, values in FAST_SETTINGS.items()
    }
    for section, values in (extra or {}).items():
        merged.setdefault(section, {}).update(values)
    async with local_lib.running(layout, merged, idle_s, first) as local:
        local.publish("alpha", document_text())
        local.publish("beta", document_text("beta", OTHER_TOKEN))
        await local.wait_ready()
        yield local


def reserve_ports(count: int) -> list[int]:
    """Returns loopback ports on which nothing listens."""
    return ports_lib.reserve(count)


def run(function, *args, seconds: float = 60) -> None:
    """Runs an async test function with a time limit."""

    async def bounded():
        with trio.fail_after(seconds):
            await function(*args)

    trio.run(bounded)


def now() -> float:
    """Returns the current time of the clock that the code under test uses."""
    return clock.now()
