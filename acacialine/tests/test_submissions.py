"""Submissions over HTTP: retries, expired and foreign ids, cancellation."""

import unittest

import msgspec
import trio

from acacialine import submissions
from acacialine.tests import support
from acacialine.tools import backend as backend_tool

CONNECTIONS_PER_BACKEND = 64
ZONE_ENTRIES_MAX = 8
SLOTS_PER_BACKEND = 8


def started_task_ids(local) -> list[str]:
    return [
        record.task
        for backend in local.backends.values()
        for record in backend.journal
        if record.event == "start"
    ]


class DuplicateRequestTest(unittest.TestCase):
    def test_copies_attach_and_replay_at_every_entry(self):
        support.run(self._check_duplicates)

    async def _check_duplicates(self):
        async with support.running_installation(
            ["a", "b"], [2, 1], [1, 1]
        ) as local:
            callers = [
                support.Client(plan.caller) for plan in local.layout.entries
            ]
            submission_id = f"{await callers[0].prefix()}/copy"
            answers = []

            async def send(caller):
                answers.append(
                    await caller.submit(3, submission_id, run_ms=200)
                )

            async with trio.open_nursery() as nursery:
                for caller in callers * 2:
                    nursery.start_soon(send, caller)
            for caller in callers:
                await send(caller)
            bodies = {msgspec.json.encode(body) for _, body in answers}
            self.assertEqual({status for status, _ in answers}, {200})
            self.assertEqual((len(answers), len(bodies)), (9, 1))
            self.assertEqual(len(started_task_ids(local)), 3)
            for caller in callers:
                status, body = await caller.submit(4, submission_id)
                self.assertEqual(
                    (status, body["code"], body["outcome"]),
                    (409, "digest_mismatch", "unknown"),
                )
            self.assertEqual(len(started_task_ids(local)), 3)

    def test_old_future_foreign_and_bare_ids_never_start(self):
        support.run(self._check_ids_that_never_start)

    async def _check_ids_that_never_start(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            caller = support.Client(local.layout.entries[0].caller)
            tables = next(iter(local.entries.values())).tables
            old_prefix = await caller.prefix()
            await caller.submit(1, f"{old_prefix}/ran")
            for _ in range(tables.settings.submissions.epochs_kept + 1):
                submissions.advance_epoch(tables, support.now())
            tables.retained_answers.clear()
            prefix_without_epoch = old_prefix.rpartition(".")[0]
            foreign_prefix = prefix_without_epoch[:-16] + "0" * 16
            cases = [
                (f"{old_prefix}/ran", 410, "id_too_old", "unknown"),
                (f"{old_prefix}/never", 410, "id_too_old", "unknown"),
                (
                    f"{prefix_without_epoch}.999999/k",
                    400,
                    "id_not_issued",
                    "unknown",
                ),
                (f"{foreign_prefix}.0/k", 503, "coordinator_gone", "unknown"),
                ("bare-key", 409, "prefix_required", "not_run"),
                ("x/y/z", 400, "invalid_id", "not_run"),
            ]
            for text, status, code, outcome in cases:
                actual_status, body = await caller.submit(1, text)
                with self.subTest(text=text):
                    self.assertEqual(
                        (actual_status, body["code"], body["outcome"]),
                        (status, code, outcome),
                    )
            self.assertEqual(len(started_task_ids(local)), 1)

    def test_a_refused_id_is_never_run(self):
        support.run(self._check_refusal_is_final)

    async def _check_refusal_is_final(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            caller = support.Client(local.layout.entries[0].caller)
            submission_id = f"{await caller.prefix()}/refused"
            for _ in range(2):
                status, body = await caller.submit(
                    1, submission_id, kind="huge"
                )
                self.assertEqual((status, body["outcome"]), (422, "not_run"))
            status, _ = await caller.submit(1, submission_id)
            self.assertEqual(status, 409)
            self.assertEqual(started_task_ids(local), [])


class JobEndTest(unittest.TestCase):
    def test_delete_stops_what_runs_and_starts_no_more(self):
        support.run(self._check_delete)

    async def _check_delete(self):
        async with support.running_installation(["a"], [2], [1]) as local:
            first_caller, second_caller = (
                support.Client(p.caller) for p in local.layout.entries
            )
            submission_id = f"{await first_caller.prefix()}/gone"
            answers = []

            async def submit():
                answers.append(
                    await first_caller.submit(20, submission_id, run_ms=3000)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                with trio.fail_after(10):
                    while len(started_task_ids(local)) < SLOTS_PER_BACKEND:
                        await trio.sleep(0.01)
                started_count = len(started_task_ids(local))
                self.assertEqual(started_count, SLOTS_PER_BACKEND)
                status, _, _ = await second_caller.request(
                    "DELETE", f"/v1/jobs/{submission_id}"
                )
                self.assertEqual(status, 409)
            status, body = answers[0]
            self.assertEqual(
                (body["code"], body["outcome"]), ("cancelled", "failed")
            )
            self.assertEqual(len(body["started"]), started_count)
            with trio.fail_after(2):
                while any(b.running for b in local.backends.values()):
                    await trio.sleep(0.02)
            self.assertEqual(len(started_task_ids(local)), started_count)
            # The slots of the cancelled job are free again.
            status, _ = await second_caller.submit(8, run_ms=20)
            self.assertEqual(status, 200)

    def test_one_failed_task_ends_the_job_at_once(self):
        support.run(self._check_failed_task)

    async def _check_failed_task(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            backend = next(iter(local.backends.values()))
            backend.behaviour = backend_tool.Behaviour(fail_status=500)
            caller = support.Client(local.layout.entries[0].caller)
            status, body = await caller.submit(40)
            self.assertEqual(
                (status, body["code"], body["outcome"]),
                (502, "task_failed", "failed"),
            )
            self.assertNotIn("results", body)
            self.assertLess(len(started_task_ids(local)), 40)

    def test_the_deadline_is_answered_as_failed(self):
        support.run(self._check_deadline)

    async def _check_deadline(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            caller = support.Client(local.layout.entries[0].caller)
            status, body = await caller.submit(2, run_ms=3000, deadline_ms=300)
            self.assertEqual(
                (status, body["code"], body["outcome"]),
                (504, "deadline", "failed"),
            )
            self.assertEqual(body["started"], [0, 1])

    def test_a_duplicate_request_has_its_own_deadline(self):
        support.run(self._check_duplicate_deadline)

    async def _check_duplicate_deadline(self):
        async with support.running_installation(["a"], [2], [1]) as local:
            first_caller, second_caller = (
                support.Client(p.caller) for p in local.layout.entries
            )
            submission_id = f"{await first_caller.prefix()}/slow"
            job_request = {
                "kind": "quick",
                "tasks": [{"payload": {"run_ms": 900}}],
            }
            body = msgspec.json.encode(job_request)
            answers = []

            async def send(caller, deadline_ms):
                status, _, content = await caller.request(
                    "POST",
                    "/v1/jobs",
                    body,
                    Submission_Id=submission_id,
                    Deadline_Ms=deadline_ms,
                )
                answers.append((status, msgspec.json.decode(content)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, first_caller, "4000")
                await trio.sleep(0.1)
                nursery.start_soon(send, second_caller, "300")
            (status, duplicate_body), (first_status, full_body) = answers
            self.assertEqual(
                (status, duplicate_body["outcome"]), (504, "unknown")
            )
            self.assertEqual(
                (first_status, full_body["outcome"]), (200, "complete")
            )
            self.assertEqual(len(started_task_ids(local)), 1)

    def test_connections_stay_within_the_share(self):
        support.run(self._check_connection_limit)

    async def _check_connection_limit(self):
        async with support.running_installation(["a"], [3], [1]) as local:
            callers = [support.Client(p.caller) for p in local.layout.entries]
            connection_limit = CONNECTIONS_PER_BACKEND // ZONE_ENTRIES_MAX
            backend = next(iter(local.backends))
            peak_connections = dict.fromkeys(local.entries, 0)

            async def record_peaks():
                while True:
                    for name, entry in local.entries.items():
                        connections = entry.runner._connections.get(backend)
                        open_count = connections._open if connections else 0
                        peak_connections[name] = max(
                            peak_connections[name], open_count
                        )
                    await trio.sleep(0.001)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(record_peaks)
                async with trio.open_nursery() as load_nursery:
                    for caller in callers:
                        load_nursery.start_soon(caller.submit, 40)
                nursery.cancel_scope.cancel()
            self.assertGreater(max(peak_connections.values()), 0)
            self.assertLessEqual(
                max(peak_connections.values()), connection_limit
            )


if __name__ == "__main__":
    unittest.main()
