"""Real processes behind the fault proxy: no promise is broken."""

import random
import signal
import unittest

import msgspec
import trio

from acacialine import client as client_lib
from acacialine import clock
from acacialine import errors
from acacialine.tests import support
from acacialine.tools import backend as backend_tool
from acacialine.tools import checker
from acacialine.tools import faultproxy
from acacialine.tools import layout as layout_lib
from acacialine.tools import processes

DEADLINE_S = 4.0


class Load:
    """Callers that submit marked jobs and record every answer."""

    def __init__(self, parts, seed: int = 1):
        self.parts = parts
        self.random = random.Random(seed)
        self.records: list[checker.CallerRecord] = []
        self.results: list[client_lib.Result] = []

    def _urls(self) -> list[str]:
        callers = self.parts.callers().values()
        urls = [f"http://{layout_lib.text_of(a)}" for a in callers]
        self.random.shuffle(urls)
        return urls

    async def one_job(self, number: int, tasks: int, run_ms: float) -> None:
        """Submits one job by the client library and records it."""
        mark = f"mark-{number}"
        client = client_lib.Client(self._urls(), support.TOKEN)
        payload = {"run_ms": run_ms, "mark": mark}
        sent_at = clock.now()
        result = await client.submit(
            [{"payload": payload}] * tasks, "quick", DEADLINE_S
        )
        self.results.append(result)
        self._record(mark, tasks, sent_at, result)
        await client.aclose()

    def _record(self, mark, tasks, sent_at, result) -> None:
        marks = None
        if result.outcome == errors.Outcome.COMPLETE:
            marks = [entry["mark"] for entry in result.results]
        self.records.append(
            checker.CallerRecord(
                result.submission_id,
                mark,
                result.outcome.value,
                marks,
                tasks,
                sent_at,
                clock.now(),
                DEADLINE_S,
            )
        )

    async def run(self, jobs: int, over_s: float) -> None:
        """Submits jobs at random times, open loop."""
        async with trio.open_nursery() as nursery:
            for number in range(jobs):
                tasks = self.random.choice((1, 1, 3, 12))
                run_ms = self.random.choice((10, 30, 120))
                nursery.start_soon(self.one_job, number, tasks, run_ms)
                await trio.sleep(self.random.expovariate(jobs / over_s))

    async def resubmit_everywhere(self, text: str, body: bytes) -> None:
        """Sends copies of one submission to every entry at once."""
        async with trio.open_nursery() as nursery:
            for address in self.parts.callers().values():
                nursery.start_soon(self._copy, address, text, body)

    async def _copy(self, address, text: str, body: bytes) -> None:
        caller = support.Client(address)
        sent_at = clock.now()
        answer = {}
        with trio.move_on_after(DEADLINE_S + 1):
            try:
                _, _, content = await caller.request(
                    "POST", "/v1/jobs", body, Submission_Id=text
                )
                answer = msgspec.json.decode(content)
            except Exception:  # noqa: BLE001
                answer = {}
        request = msgspec.json.decode(body)
        mark = request["tasks"][0]["payload"]["mark"]
        marks = None
        if answer.get("outcome") == "complete":
            marks = [r["result"]["mark"] for r in answer["results"]]
        self.records.append(
            checker.CallerRecord(
                text,
                mark,
                answer.get("outcome", "none"),
                marks,
                len(request["tasks"]),
                sent_at,
                clock.now(),
                DEADLINE_S,
            )
        )


def job_body(mark: str, tasks: int = 6, run_ms: float = 150) -> bytes:
    task = {"payload": {"run_ms": run_ms, "mark": mark}}
    return msgspec.json.encode(
        {"kind": "quick", "deadline_ms": 4000, "tasks": [task] * tasks}
    )


class ProcessesTest(unittest.TestCase):
    def _running(self, zones=("a", "b"), entries=(2, 1), backends=(2, 1)):
        layout = layout_lib.new_layout(
            list(zones), list(entries), list(backends)
        )
        documents = {"alpha": support.document_text()}
        extra = {**support.FAST_SETTINGS, "log": {"decisions": "yes"}}
        return processes.running(layout, documents, extra)

    def _assert_promises(self, parts, load) -> None:
        journal = checker.read_journals(parts.journals())
        violations = checker.check(journal, load.records)
        self.assertEqual(violations, [])
        self.assertGreater(len(journal), 0)

    def _share(self, load, outcome: errors.Outcome) -> float:
        found = sum(r.outcome == outcome for r in load.results)
        return found / len(load.results)

    def test_backend_faults_on_the_way(self):
        """Each fault of the link to a backend server, one after another."""
        support.run(self._backend_faults, seconds=120)

    async def _backend_faults(self):
        async with self._running() as parts:
            for fault in faultproxy.Fault:
                load = Load(parts)
                for route in parts.backend_routes.values():
                    route.reset_connections()
                    route.fault, route.count = fault, 3
                await load.run(20, 0.8)
                for route in parts.backend_routes.values():
                    route.fault = faultproxy.Fault.NONE
                with self.subTest(fault=fault):
                    self._assert_promises(parts, load)
                    complete = self._share(load, errors.Outcome.COMPLETE)
                    self.assertGreater(complete, 0.3)
                if fault == faultproxy.Fault.NONE:
                    self.assertEqual(complete, 1.0)
                if fault == faultproxy.Fault.REFUSE:
                    # The connection was made, so the task may have started.
                    self.assertNotIn(
                        errors.Outcome.NOT_RUN,
                        {r.outcome for r in load.results},
                    )

    def test_caller_faults_and_resubmission(self):
        """Callers whose answers are lost resubmit to every entry."""
        support.run(self._caller_faults, seconds=120)

    async def _caller_faults(self):
        async with self._running() as parts:
            for fault in (
                faultproxy.Fault.RESET_AFTER_BODY,
                faultproxy.Fault.SWALLOW_REPLY,
                faultproxy.Fault.RESET_MID_REPLY,
                faultproxy.Fault.RESET_MID_BODY,
            ):
                load = Load(parts, 2)
                for route in parts.caller_routes.values():
                    route.fault, route.count = fault, 4
                await load.run(20, 0.8)
                for route in parts.caller_routes.values():
                    route.fault = faultproxy.Fault.NONE
                with self.subTest(fault=fault):
                    self._assert_promises(parts, load)

    def test_kill_and_pause_with_resubmission_storm(self):
        """Coordinator, broker and backend server die or freeze."""
        support.run(self._kill_and_pause, seconds=150)

    async def _kill_and_pause(self):
        async with self._running(("a", "b"), (3, 1), (2, 1)) as parts:
            load = Load(parts, 3)
            names = [e.name for e in parts.layout.entries]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 60, 5.0)
                nursery.start_soon(self._storm, parts, load, names[0])
                await trio.sleep(0.6)
                parts.signal(names[1], signal.SIGSTOP)
                parts.signal("a-backend-1", signal.SIGSTOP)
                await trio.sleep(1.2)
                parts.signal(names[1], signal.SIGCONT)
                parts.signal("a-backend-1", signal.SIGCONT)
                await trio.sleep(0.4)
                parts.kill(names[0])
                parts.kill("a-backend-2")
                await trio.sleep(1.0)
                parts.start_entry(parts.plan_of(names[0]))
                plan = parts.layout.backends[1]
                parts.start_backend(plan)
            self._assert_promises(parts, load)
            final = {r.outcome for r in load.records}
            self.assertIn("complete", final)
            # The installation serves as before.
            await parts.wait_ready()
            after = Load(parts, 4)
            await after.run(20, 1.0)
            self._assert_promises(parts, after)
            self.assertEqual(self._share(after, errors.Outcome.COMPLETE), 1.0)

    async def _storm(self, parts, load, name: str) -> None:
        """Copies of the same submissions go to every entry all the time."""
        address = parts.callers()[name]
        prefix = await support.Client(address).prefix()
        for number in range(8):
            text = f"{prefix}/storm-{number}"
            body = job_body(f"storm-{number}")
            for _ in range(3):
                await load.resubmit_everywhere(text, body)
                await trio.sleep(0.05)

    def test_planned_stop_cuts_off_nothing(self):
        support.run(self._planned_stop, seconds=120)

    async def _planned_stop(self):
        async with self._running(("a",), (3,), (2,)) as parts:
            name = parts.layout.entries[0].name
            address = parts.callers()[name]
            caller = support.Client(address)
            prefix = await caller.prefix()
            answers = []

            async def submit(number: int) -> None:
                text = f"{prefix}/stop-{number}"
                answers.append(
                    await caller.submit(4, text, run_ms=700, mark=f"m{number}")
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(submit, number)
                await trio.sleep(0.25)
                self.assertEqual(await parts.stop(name), 0)
            self.assertEqual([status for status, _ in answers], [200] * 4)
            # The successor replays the answers of the stopped coordinator.
            other = support.Client(
                parts.callers()[parts.layout.entries[1].name]
            )
            status, body = await other.submit(
                4, f"{prefix}/stop-1", run_ms=700, mark="m1"
            )
            self.assertEqual(status, 200)
            self.assertEqual(body["results"][0]["result"]["mark"], "m1")
            journal = checker.read_journals(parts.journals())
            self.assertEqual(checker.check(journal, []), [])

    def test_rolling_replacement_fails_no_job(self):
        """Every entry is replaced, one after another, under load."""
        support.run(self._rolling, seconds=150)

    async def _rolling(self):
        async with self._running(("a", "b"), (2, 2), (2, 2)) as parts:
            load = Load(parts, 7)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 200, 12.0)
                for plan in parts.layout.entries:
                    await trio.sleep(0.5)
                    self.assertEqual(await parts.stop(plan.name), 0)
                    parts.start_entry(plan)
                    await parts.wait_ready()
            self._assert_promises(parts, load)
            failed = [
                r for r in load.results if r.outcome != errors.Outcome.COMPLETE
            ]
            self.assertEqual(failed, [])
            self.assertEqual(len(load.results), 200)

    def test_leaving_backend_gets_no_new_work(self):
        support.run(self._leaving, seconds=120)

    async def _leaving(self):
        async with self._running(("a",), (2,), (3,)) as parts:
            load = Load(parts, 5)
            vm = next(v for v in parts.vms() if v.vm_id == "a-backend-1")
            leavings = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 120, 5.0)
                await trio.sleep(1.0)
                await parts.platform_request(
                    "PUT", "/control/vms", support.leaving(vm)
                )
                leavings.append(checker.Leaving(vm.vm_id, clock.now()))
            journal = checker.read_journals(parts.journals())
            before = [e for e in journal if e.backend == vm.vm_id]
            self.assertGreater(len(before), 0)
            self.assertEqual(checker.check(journal, load.records, leavings), [])
            self.assertEqual(self._share(load, errors.Outcome.COMPLETE), 1.0)

    def test_black_hole_backend_is_quarantined(self):
        support.run(self._black_hole, seconds=120)

    async def _black_hole(self):
        async with self._running(("a",), (2,), (3,)) as parts:
            behaviour = backend_tool.Behaviour(fail_status=500)
            await parts.behave("a-backend-1", behaviour)
            load = Load(parts, 6)
            await load.run(120, 5.0)
            self._assert_promises(parts, load)
            journal = checker.read_journals(parts.journals())
            taken = [
                e
                for e in journal
                if e.backend == "a-backend-1" and e.event == "start"
            ]
            # Quarantine after 4 failures in a row at each of its brokers.
            self.assertLessEqual(len(taken), 16)


if __name__ == "__main__":
    unittest.main()
