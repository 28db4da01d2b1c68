"""Runs a whole installation in one process, for the demo and quick tests."""

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
EXAMPLES_DIR = pathlib.Path(__file__).parents[2] / "examples"


@attrs.define(eq=False)
class LocalInstallation:
    """The running fakes and entries.

    Attributes:
        backends: Fake backend servers by name.
        entries: Entries by name.
        extra_settings: Settings of all entries, by section, that are added to
            those of the layout.
        nursery: Runs the servers and entries.
    """

    layout: layout_lib.Layout
    platform: platform_tool.FakePlatform
    backends: dict[str, backend_tool.FakeBackend]
    entries: dict[str, entry_lib.Entry]
    extra_settings: dict[str, dict[str, object]]
    nursery: trio.Nursery

    async def start_entry(
        self,
        plan: layout_lib.EntryPlan,
        extra_settings: dict[str, dict[str, object]] | None = None,
    ) -> entry_lib.Entry:
        """Starts one entry, with further settings by section."""
        sections = {s: dict(v) for s, v in self.extra_settings.items()}
        for section, values in (extra_settings or {}).items():
            sections.setdefault(section, {}).update(values)
        url = "http://" + layout_lib.format_address(self.layout.platform)
        text = layout_lib.settings_text(plan, url, sections)
        entry = entry_lib.new_entry(settings_lib.read_settings(text, plan.name))
        self.entries[plan.name] = entry
        await self.nursery.start(entry.run)
        return entry

    def publish(self, team: str, text: str, base: int = 0) -> int:
        """Appends an unvalidated document to the log and returns its offset.

        Args:
            team: Name of the team.
            text: The document.
            base: Version that the change is based on; 0 for a new team.
        """
        change = configlog.Change(f"{team}-{base}", team, base, text, "local")
        record = configlog.Record(change=change)
        return self.platform.append("config", configlog.encode_record(record))

    async def wait_ready(self) -> None:
        """Waits until entries are connected and all slots can be granted."""
        with trio.fail_after(READY_TIMEOUT_S):
            while not self._is_ready():
                await trio.sleep(READY_POLL_S)

    def _is_ready(self) -> bool:
        now = clock.now()
        grantable_count = 0
        for entry in self.entries.values():
            if (
                not entry.tables.configuration.documents
                and self.platform.streams
            ):
                return False
            if len(entry.tables.peers) < len(self.entries) - 1:
                return False
            grantable_count += sum(
                b.owned_since is not None and now >= b.grantable_at
                for b in entry.tables.backends.values()
            )
        return grantable_count == len(self.backends)


@contextlib.asynccontextmanager
async def running(
    layout: layout_lib.Layout,
    extra_settings: dict[str, dict[str, object]] | None = None,
    idle_s: float = 30.0,
    entries_to_start: int | None = None,
):
    """Runs an installation and yields it; it may not be ready yet.

    Args:
        layout: Entries, backend servers and their addresses.
        extra_settings: Further settings of all entries, by section.
        idle_s: Idle timeout of connections to the backend servers.
        entries_to_start: Number of entries to start; all by default.
    """
    fake_platform = platform_tool.FakePlatform()
    for vm in layout_lib.new_vm_list(layout):
        fake_platform.set_vm(vm)
    async with trio.open_nursery() as nursery:
        installation = LocalInstallation(
            layout, fake_platform, {}, {}, extra_settings or {}, nursery
        )
        app = platform_tool.new_asgi_app(fake_platform)
        await nursery.start(http.new_server(app, layout.platform))
        for plan in layout.backends:
            fake_backend = backend_tool.FakeBackend(plan.name)
            installation.backends[plan.name] = fake_backend
            app = backend_tool.new_asgi_app(fake_backend)
            await nursery.start(http.new_server(app, plan.address, idle_s))
        for plan in layout.entries[:entries_to_start]:
            await installation.start_entry(plan)
        yield installation
        nursery.cancel_scope.cancel()
