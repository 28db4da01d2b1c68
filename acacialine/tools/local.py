"""A whole installation in one process, for the demo and quick tests."""

import contextlib
import pathlib

import attrs
import trio

from acacialine import clock
from acacialine import configlog
from acacialine import entry as entry_lib
from acacialine import settings as settings_lib
from acacialine.tools import backend as backend_tool
from acacialine.tools import http
from acacialine.tools import layout as layout_lib
from acacialine.tools import platform as platform_tool

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@attrs.define(eq=False)
class Local:
    """The running parts."""

    layout: layout_lib.Layout
    platform: platform_tool.PlatformStandin
    backends: dict[str, backend_tool.BackendStandin]
    entries: dict[str, entry_lib.Entry]
    extra: dict[str, dict[str, object]]
    nursery: trio.Nursery

    async def start_entry(
        self,
        plan: layout_lib.EntryPlan,
        extra: dict[str, dict[str, object]] | None = None,
    ) -> entry_lib.Entry:
        """Starts one entry with further settings."""
        merged = {s: dict(v) for s, v in self.extra.items()}
        for section, values in (extra or {}).items():
            merged.setdefault(section, {}).update(values)
        url = "http://" + layout_lib.text_of(self.layout.platform)
        text = layout_lib.settings_text(plan, url, merged)
        entry = entry_lib.new_entry(settings_lib.read_settings(text, plan.name))
        self.entries[plan.name] = entry
        await self.nursery.start(entry.run)
        return entry

    def publish(self, team: str, text: str, base: int = 0) -> int:
        """Appends a document to the log without further ado."""
        change = configlog.Change(f"{team}-{base}", team, base, text, "local")
        record = configlog.Record(change=change)
        return self.platform.append("config", configlog.encode_record(record))

    async def wait_ready(self) -> None:
        """Waits until every backend server has a granting broker."""
        with trio.fail_after(READY_TIMEOUT_S):
            while not self._is_ready():
                await trio.sleep(READY_POLL_S)

    def _is_ready(self) -> bool:
        now = clock.now()
        granting = 0
        for entry in self.entries.values():
            if (
                not entry.tables.configuration.documents
                and self.platform.streams
            ):
                return False
            if len(entry.tables.peers) < len(self.entries) - 1:
                return False
            granting += sum(
                b.owned_since is not None and now >= b.grantable_at
                for b in entry.tables.backends.values()
            )
        return granting == len(self.backends)


@contextlib.asynccontextmanager
async def running(
    layout: layout_lib.Layout,
    extra: dict[str, dict[str, object]] | None = None,
    idle_s: float = 30.0,
    first: int | None = None,
):
    """Runs a layout for the length of a block.

    Args:
        layout: What to run.
        extra: Further settings of the entries, by section.
        idle_s: Idle limit of the backend servers' connections.
        first: Number of entries to start; all by default.
    """
    platform = platform_tool.PlatformStandin()
    for vm in layout_lib.vms_of(layout):
        platform.set_vm(vm)
    async with trio.open_nursery() as nursery:
        local = Local(layout, platform, {}, {}, extra or {}, nursery)
        app = platform_tool.new_asgi_app(platform)
        await nursery.start(http.new_server(app, layout.platform))
        for plan in layout.backends:
            standin = backend_tool.BackendStandin(plan.name)
            local.backends[plan.name] = standin
            app = backend_tool.new_asgi_app(standin)
            await nursery.start(http.new_server(app, plan.address, idle_s))
        for plan in layout.entries[:first]:
            await local.start_entry(plan)
        yield local
        nursery.cancel_scope.cancel()
