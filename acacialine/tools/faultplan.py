"""Injects a seeded schedule of faults during a benchmark run."""

import random
import signal

import attrs
import trio

from acacialine import clock
from acacialine.tools import backend as backend_tool
from acacialine.tools import checker
from acacialine.tools import platform as platform_tool
from acacialine.tools import processes

OFFSET_POLL_S = 0.3


@attrs.define(eq=False)
class FaultPlan:
    """Faults at equal intervals over a run; some still last when others start.

    Attributes:
        affected_entries: Names of entries that were killed or suspended.
        leaving_notices: Backend servers that were listed as leaving.
        offsets: Configuration offsets read from the entries.
    """

    installation: processes.Installation
    seed: int
    seconds: float
    affected_entries: set[str] = attrs.field(factory=set)
    leaving_notices: list[checker.LeavingNotice] = attrs.field(factory=list)
    offsets: list[checker.OffsetReading] = attrs.field(factory=list)

    async def run(self) -> None:
        """Injects each fault once, into processes drawn by the seed."""
        rng = random.Random(self.seed)
        entries = [e.name for e in self.installation.layout.entries]
        backends = [b.name for b in self.installation.layout.backends]
        rng.shuffle(entries)
        rng.shuffle(backends)
        steps = [
            lambda: self._kill_entry(entries[0]),
            lambda: self._suspend_entry(entries[1], 1.0),
            lambda: self._fail_every_task(backends[0]),
            lambda: self._slow_down_backend(backends[1]),
            lambda: self._list_as_leaving(backends[2]),
            lambda: self._kill_backend(backends[3]),
            self._stop_platform,
            self._partition_first_zone,
        ]
        interval_s = self.seconds / (len(steps) + 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_offsets, nursery)
            for step in steps:
                await trio.sleep(interval_s)
                nursery.start_soon(step)
            await trio.sleep(interval_s)
            nursery.cancel_scope.cancel()

    async def _poll_offsets(self, _nursery) -> None:
        """Records the configuration offset of every entry until cancelled."""
        while True:
            for plan in self.installation.layout.entries:
                if plan.name not in self.installation.processes:
                    continue
                status = await self.installation.status(plan)
                if status:
                    incarnation = status.entries[0].incarnation
                    self.offsets.append(
                        checker.OffsetReading(
                            incarnation, clock.now(), status.config_offset
                        )
                    )
            await trio.sleep(OFFSET_POLL_S)

    async def _kill_entry(self, name: str) -> None:
        self.affected_entries.add(name)
        self.installation.kill(name)
        await trio.sleep(1.0)
        self.installation.start_entry(self.installation.entry_plan(name))

    async def _suspend_entry(self, name: str, seconds: float) -> None:
        self.affected_entries.add(name)
        self.installation.send_signal(name, signal.SIGSTOP)
        with trio.CancelScope(shield=True):
            await trio.sleep(seconds)
        self.installation.send_signal(name, signal.SIGCONT)

    async def _fail_every_task(self, name: str) -> None:
        await self.installation.set_behaviour(
            name, backend_tool.Behaviour(fail_status=500)
        )

    async def _slow_down_backend(self, name: str) -> None:
        await self.installation.set_behaviour(
            name, backend_tool.Behaviour(slowdown=3.0)
        )

    async def _list_as_leaving(self, name: str) -> None:
        vm = next(v for v in self.installation.vms() if v.vm_id == name)
        leaving = attrs.evolve(vm, state="leaving")
        await self.installation.platform_request("PUT", "/control/vms", leaving)
        self.leaving_notices.append(checker.LeavingNotice(name, clock.now()))

    async def _kill_backend(self, name: str) -> None:
        self.installation.kill(name)

    async def _stop_platform(self) -> None:
        """Lets the platform answer 503 for 2 s and with a delay after that."""
        down = platform_tool.Faults(down=True)
        await self.installation.platform_request("POST", "/faults", down)
        await trio.sleep(2.0)
        up = platform_tool.Faults(slow_ms=300)
        await self.installation.platform_request("POST", "/faults", up)

    async def _partition_first_zone(self) -> None:
        zones = sorted({e.zone for e in self.installation.layout.entries})
        for other in zones[1:]:
            self.installation.partition_zones(zones[0], other)
        await trio.sleep(2.0)
        self.installation.heal_partitions()
