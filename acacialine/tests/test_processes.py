"""Tests real processes under injected faults: every invariant holds."""

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
# For tests in which no job may be refused: admission refuses a job if the slots
# that are left can't finish it by its deadline, which depends on the machine.
LONG_DEADLINE_S = 30.0


class LoadGenerator:
    """Clients that submit marked jobs and record every answer."""

    def __init__(
        self, installation, seed: int = 1, deadline_s: float = DEADLINE_S
    ):
        self.installation = installation
        self.deadline_s = deadline_s
        self.random = random.Random(seed)
        self.records: list[checker.ClientRecord] = []
        self.results: list[client_lib.Result] = []

    def _urls(self) -> list[str]:
        addresses = self.installation.client_addresses().values()
        urls = [f"http://{layout_lib.format_address(a)}" for a in addresses]
        self.random.shuffle(urls)
        return urls

    async def submit_job(self, number: int, tasks: int, run_ms: float) -> None:
        """Submits one job by the client library and records its result."""
        mark = f"mark-{number}"
        client = client_lib.Client(self._urls(), support.TOKEN)
        payload = {"run_ms": run_ms, "mark": mark}
        sent_at = clock.now()
        result = await client.submit(
            [{"payload": payload}] * tasks, "quick", self.deadline_s
        )
        self.results.append(result)
        self._record_result(mark, tasks, sent_at, result)
        await client.aclose()

    def _record_result(self, mark, tasks, sent_at, result) -> None:
        marks = None
        if result.outcome == errors.Outcome.COMPLETE:
            marks = [entry["mark"] for entry in result.results]
        self.records.append(
            checker.ClientRecord(
                result.submission_id,
                mark,
                result.outcome.value,
                marks,
                tasks,
                sent_at,
                clock.now(),
                self.deadline_s,
            )
        )

    async def run(self, jobs: int, duration_s: float) -> None:
        """Submits jobs at random times, whether or not earlier ones ended."""
        async with trio.open_nursery() as nursery:
            for number in range(jobs):
                tasks = self.random.choice((1, 1, 3, 12))
                run_ms = self.random.choice((10, 30, 120))
                nursery.start_soon(self.submit_job, number, tasks, run_ms)
                await trio.sleep(self.random.expovariate(jobs / duration_s))

    async def submit_to_all_entries(
        self, submission_id: str, body: bytes
    ) -> None:
        """Sends copies of one submission to all entries at the same time."""
        async with trio.open_nursery() as nursery:
            for address in self.installation.client_addresses().values():
                nursery.start_soon(
                    self._submit_copy, address, submission_id, body
                )

    async def _submit_copy(
        self, address, submission_id: str, body: bytes
    ) -> None:
        client = support.Client(address)
        sent_at = clock.now()
        answer = {}
        with trio.move_on_after(DEADLINE_S + 1):
            try:
                _, _, content = await client.request(
                    "POST", "/v1/jobs", body, Submission_Id=submission_id
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
            checker.ClientRecord(
                submission_id,
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

    def _assert_invariants(self, installation, load) -> None:
        journal = checker.read_journals(installation.journals())
        violations = checker.check(journal, load.records)
        self.assertEqual(violations, [])
        self.assertGreater(len(journal), 0)

    def _outcome_share(self, load, outcome: errors.Outcome) -> float:
        found = sum(r.outcome == outcome for r in load.results)
        return found / len(load.results)

    def test_backend_link_faults(self):
        """Each fault of the proxy on the links to the backend servers."""
        support.run(self._backend_link_faults, seconds=120)

    async def _backend_link_faults(self):
        async with self._running() as installation:
            for fault in faultproxy.Fault:
                load = LoadGenerator(installation)
                for route in installation.backend_routes.values():
                    route.reset_connections()
                    route.fault, route.faults_left = fault, 3
                await load.run(20, 0.8)
                for route in installation.backend_routes.values():
                    route.fault = faultproxy.Fault.NONE
                with self.subTest(fault=fault):
                    self._assert_invariants(installation, load)
                    complete = self._outcome_share(
                        load, errors.Outcome.COMPLETE
                    )
                    outcomes = [r.outcome.value for r in load.results]
                    self.assertGreater(complete, 0.3, outcomes)
                if fault == faultproxy.Fault.NONE:
                    self.assertEqual(complete, 1.0)
                if fault == faultproxy.Fault.REFUSE:
                    # The proxy accepts the connection before it resets it, so
                    # the entry can't rule out that the task started.
                    self.assertNotIn(
                        errors.Outcome.NOT_RUN,
                        {r.outcome for r in load.results},
                    )

    def test_client_link_faults(self):
        """Clients that lose an answer resubmit to every entry."""
        support.run(self._client_link_faults, seconds=120)

    async def _client_link_faults(self):
        async with self._running() as installation:
            for fault in (
                faultproxy.Fault.RESET_AFTER_BODY,
                faultproxy.Fault.SWALLOW_REPLY,
                faultproxy.Fault.RESET_MID_REPLY,
                faultproxy.Fault.RESET_MID_BODY,
            ):
                load = LoadGenerator(installation, 2)
                for route in installation.client_routes.values():
                    route.fault, route.faults_left = fault, 4
                await load.run(20, 0.8)
                for route in installation.client_routes.values():
                    route.fault = faultproxy.Fault.NONE
                with self.subTest(fault=fault):
                    self._assert_invariants(installation, load)

    def test_kill_and_suspend_with_resubmission_storm(self):
        """Entries and backend servers are killed or suspended under load.

        Meanwhile, copies of the same submissions are sent to every entry.
        """
        support.run(self._kill_and_suspend, seconds=150)

    async def _kill_and_suspend(self):
        async with self._running(("a", "b"), (3, 1), (2, 1)) as installation:
            load = LoadGenerator(installation, 3)
            names = [e.name for e in installation.layout.entries]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 60, 5.0)
                nursery.start_soon(
                    self._resubmission_storm, installation, load, names[0]
                )
                await trio.sleep(0.6)
                installation.send_signal(names[1], signal.SIGSTOP)
                installation.send_signal("a-backend-1", signal.SIGSTOP)
                await trio.sleep(1.2)
                installation.send_signal(names[1], signal.SIGCONT)
                installation.send_signal("a-backend-1", signal.SIGCONT)
                await trio.sleep(0.4)
                installation.kill(names[0])
                installation.kill("a-backend-2")
                await trio.sleep(1.0)
                installation.start_entry(installation.entry_plan(names[0]))
                plan = installation.layout.backends[1]
                installation.start_backend(plan)
            self._assert_invariants(installation, load)
            outcomes = {r.outcome for r in load.records}
            self.assertIn("complete", outcomes)
            # After the faults, every job completes again.
            await installation.wait_ready()
            after = LoadGenerator(installation, 4)
            await after.run(20, 1.0)
            self._assert_invariants(installation, after)
            self.assertEqual(
                self._outcome_share(after, errors.Outcome.COMPLETE), 1.0
            )

    async def _resubmission_storm(self, installation, load, name: str) -> None:
        """Sends each of 8 submissions to every entry, 3 times in a row."""
        address = installation.client_addresses()[name]
        prefix = await support.Client(address).prefix()
        for number in range(8):
            submission_id = f"{prefix}/storm-{number}"
            body = job_body(f"storm-{number}")
            for _ in range(3):
                await load.submit_to_all_entries(submission_id, body)
                await trio.sleep(0.05)

    def test_graceful_stop_answers_every_job(self):
        support.run(self._graceful_stop, seconds=120)

    async def _graceful_stop(self):
        async with self._running(("a",), (3,), (2,)) as installation:
            name = installation.layout.entries[0].name
            address = installation.client_addresses()[name]
            client = support.Client(address)
            prefix = await client.prefix()
            answers = []

            async def submit(number: int) -> None:
                submission_id = f"{prefix}/stop-{number}"
                answers.append(
                    await client.submit(
                        4, submission_id, run_ms=700, mark=f"m{number}"
                    )
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(submit, number)
                await trio.sleep(0.25)
                self.assertEqual(await installation.stop(name), 0)
            self.assertEqual([status for status, _ in answers], [200] * 4)
            # The successor replays the answers of the stopped coordinator.
            other = support.Client(
                installation.client_addresses()[
                    installation.layout.entries[1].name
                ]
            )
            status, body = await other.submit(
                4, f"{prefix}/stop-1", run_ms=700, mark="m1"
            )
            self.assertEqual(status, 200)
            self.assertEqual(body["results"][0]["result"]["mark"], "m1")
            journal = checker.read_journals(installation.journals())
            self.assertEqual(checker.check(journal, []), [])

    def test_rolling_restart_fails_no_job(self):
        """Every entry is stopped and restarted in turn, under load."""
        support.run(self._rolling_restart, seconds=150)

    async def _rolling_restart(self):
        async with self._running(("a", "b"), (2, 2), (2, 2)) as installation:
            load = LoadGenerator(installation, 7, LONG_DEADLINE_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 200, 12.0)
                for plan in installation.layout.entries:
                    await trio.sleep(0.5)
                    self.assertEqual(await installation.stop(plan.name), 0)
                    installation.start_entry(plan)
                    await installation.wait_ready()
            self._assert_invariants(installation, load)
            failed = [
                r for r in load.results if r.outcome != errors.Outcome.COMPLETE
            ]
            self.assertEqual(failed, [])
            self.assertEqual(len(load.results), 200)

    def test_leaving_backend_gets_no_new_tasks(self):
        support.run(self._leaving_backend, seconds=120)

    async def _leaving_backend(self):
        async with self._running(("a",), (2,), (3,)) as installation:
            load = LoadGenerator(installation, 5, LONG_DEADLINE_S)
            vm = next(v for v in installation.vms() if v.vm_id == "a-backend-1")
            leaving_notices = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run, 120, 5.0)
                await trio.sleep(1.0)
                await installation.platform_request(
                    "PUT", "/control/vms", support.leaving(vm)
                )
                leaving_notices.append(
                    checker.LeavingNotice(vm.vm_id, clock.now())
                )
            journal = checker.read_journals(installation.journals())
            earlier_events = [e for e in journal if e.backend == vm.vm_id]
            self.assertGreater(len(earlier_events), 0)
            self.assertEqual(
                checker.check(journal, load.records, leaving_notices), []
            )
            self.assertEqual(
                self._outcome_share(load, errors.Outcome.COMPLETE), 1.0
            )

    def test_failing_backend_is_quarantined(self):
        support.run(self._failing_backend, seconds=120)

    async def _failing_backend(self):
        async with self._running(("a",), (2,), (3,)) as installation:
            behaviour = backend_tool.Behaviour(fail_status=500)
            await installation.set_behaviour("a-backend-1", behaviour)
            load = LoadGenerator(installation, 6)
            await load.run(120, 5.0)
            self._assert_invariants(installation, load)
            journal = checker.read_journals(installation.journals())
            starts = [
                e
                for e in journal
                if e.backend == "a-backend-1" and e.event == "start"
            ]
            # Each of its brokers quarantines it after 4 failures in a row.
            self.assertLessEqual(len(starts), 16)


if __name__ == "__main__":
    unittest.main()
