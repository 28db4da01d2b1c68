"""Submissions over HTTP: copies, old and foreign ids, cancelling."""

import unittest

import msgspec
import trio

from acacialine import submissions
from acacialine.tests import support
from acacialine.tools import backend as backend_tool

CONNECTIONS = 64
ZONE_ENTRIES_MAX = 8


def starts_of(local) -> list[str]:
    return [
        entry.task
        for standin in local.backends.values()
        for entry in standin.journal
        if entry.event == "start"
    ]


class CopiesTest(unittest.TestCase):
    def test_copies_attach_and_replay_at_every_entry(self):
        support.run(self._copies)

    async def _copies(self):
        async with support.installation(["a", "b"], [2, 1], [1, 1]) as local:
            callers = [
                support.Caller(plan.caller) for plan in local.layout.entries
            ]
            text = f"{await callers[0].prefix()}/copy"
            answers = []

            async def send(caller):
                answers.append(await caller.submit(3, text, run_ms=200))

            async with trio.open_nursery() as nursery:
                for caller in callers * 2:
                    nursery.start_soon(send, caller)
            for caller in callers:
                await send(caller)
            bodies = {msgspec.json.encode(body) for _, body in answers}
            self.assertEqual({status for status, _ in answers}, {200})
            self.assertEqual((len(answers), len(bodies)), (9, 1))
            self.assertEqual(len(starts_of(local)), 3)
            for caller in callers:
                status, body = await caller.submit(4, text)
                self.assertEqual(
                    (status, body["code"], body["outcome"]),
                    (409, "digest_mismatch", "unknown"),
                )
            self.assertEqual(len(starts_of(local)), 3)

    def test_old_future_foreign_and_bare_ids_never_start(self):
        support.run(self._never)

    async def _never(self):
        async with support.installation(["a"], [1], [1]) as local:
            caller = support.Caller(local.layout.entries[0].caller)
            tables = next(iter(local.entries.values())).tables
            old = await caller.prefix()
            await caller.submit(1, f"{old}/ran")
            for _ in range(tables.settings.submissions.epochs_kept + 1):
                submissions.advance_epoch(tables, support.now())
            tables.kept.clear()
            name = old.rpartition(".")[0]
            stranger = name[:-16] + "0" * 16
            cases = [
                (f"{old}/ran", 410, "id_too_old", "unknown"),
                (f"{old}/never", 410, "id_too_old", "unknown"),
                (f"{name}.999999/k", 400, "id_not_issued", "unknown"),
                (f"{stranger}.0/k", 503, "coordinator_gone", "unknown"),
                ("bare-key", 409, "prefix_required", "not_run"),
                ("x/y/z", 400, "invalid_id", "not_run"),
            ]
            for text, status, code, outcome in cases:
                got, body = await caller.submit(1, text)
                with self.subTest(text=text):
                    self.assertEqual(
                        (got, body["code"], body["outcome"]),
                        (status, code, outcome),
                    )
            self.assertEqual(len(starts_of(local)), 1)

    def test_a_refusal_stays_true(self):
        support.run(self._refusal)

    async def _refusal(self):
        async with support.installation(["a"], [1], [1]) as local:
            caller = support.Caller(local.layout.entries[0].caller)
            text = f"{await caller.prefix()}/refused"
            for _ in range(2):
                status, body = await caller.submit(1, text, kind="huge")
                self.assertEqual((status, body["outcome"]), (422, "not_run"))
            status, _ = await caller.submit(1, text)
            self.assertEqual(status, 409)
            self.assertEqual(starts_of(local), [])


class EndTest(unittest.TestCase):
    def test_delete_stops_what_runs_and_starts_no_more(self):
        support.run(self._delete)

    async def _delete(self):
        async with support.installation(["a"], [2], [1]) as local:
            first, second = (
                support.Caller(p.caller) for p in local.layout.entries
            )
            text = f"{await first.prefix()}/gone"
            answers = []

            async def submit():
                answers.append(await first.submit(20, text, run_ms=3000))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit)
                await trio.sleep(0.4)
                started = len(starts_of(local))
                status, _, _ = await second.request(
                    "DELETE", f"/v1/jobs/{text}"
                )
                self.assertEqual(status, 409)
            status, body = answers[0]
            self.assertEqual(
                (body["code"], body["outcome"]), ("cancelled", "failed")
            )
            self.assertEqual(len(body["started"]), started)
            with trio.fail_after(2):
                while any(b.running for b in local.backends.values()):
                    await trio.sleep(0.02)
            self.assertEqual(len(starts_of(local)), started)
            # Its slots are free again.
            status, _ = await second.submit(8, run_ms=20)
            self.assertEqual(status, 200)

    def test_one_failed_task_ends_the_job_at_once(self):
        support.run(self._failed)

    async def _failed(self):
        async with support.installation(["a"], [1], [1]) as local:
            standin = next(iter(local.backends.values()))
            standin.behaviour = backend_tool.Behaviour(fail_status=500)
            caller = support.Caller(local.layout.entries[0].caller)
            status, body = await caller.submit(40)
            self.assertEqual(
                (status, body["code"], body["outcome"]),
                (502, "task_failed", "failed"),
            )
            self.assertNotIn("results", body)
            self.assertLess(len(starts_of(local)), 40)

    def test_the_deadline_is_answered_as_failed(self):
        support.run(self._deadline)

    async def _deadline(self):
        async with support.installation(["a"], [1], [1]) as local:
            caller = support.Caller(local.layout.entries[0].caller)
            status, body = await caller.submit(2, run_ms=3000, deadline_ms=300)
            self.assertEqual(
                (status, body["code"], body["outcome"]),
                (504, "deadline", "failed"),
            )
            self.assertEqual(body["started"], [0, 1])

    def test_a_copy_keeps_its_own_deadline(self):
        support.run(self._copy_deadline)

    async def _copy_deadline(self):
        async with support.installation(["a"], [2], [1]) as local:
            first, second = (
                support.Caller(p.caller) for p in local.layout.entries
            )
            text = f"{await first.prefix()}/slow"
            task = {"kind": "quick", "tasks": [{"payload": {"run_ms": 900}}]}
            body = msgspec.json.encode(task)
            answers = []

            async def send(caller, deadline_ms):
                status, _, content = await caller.request(
                    "POST",
                    "/v1/jobs",
                    body,
                    Submission_Id=text,
                    Deadline_Ms=deadline_ms,
                )
                answers.append((status, msgspec.json.decode(content)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, first, "4000")
                await trio.sleep(0.1)
                nursery.start_soon(send, second, "300")
            (status, copy), (last, whole) = answers
            self.assertEqual((status, copy["outcome"]), (504, "unknown"))
            self.assertEqual((last, whole["outcome"]), (200, "complete"))
            self.assertEqual(len(starts_of(local)), 1)

    def test_connections_stay_within_the_share(self):
        support.run(self._connections)

    async def _connections(self):
        async with support.installation(["a"], [3], [1]) as local:
            callers = [support.Caller(p.caller) for p in local.layout.entries]
            share = CONNECTIONS // ZONE_ENTRIES_MAX
            backend = next(iter(local.backends))
            peaks = dict.fromkeys(local.entries, 0)

            async def watch():
                while True:
                    for name, entry in local.entries.items():
                        found = entry.runner._connections.get(backend)
                        count = found._open if found else 0
                        peaks[name] = max(peaks[name], count)
                    await trio.sleep(0.001)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                async with trio.open_nursery() as load:
                    for caller in callers:
                        load.start_soon(caller.submit, 40)
                nursery.cancel_scope.cancel()
            self.assertGreater(max(peaks.values()), 0)
            self.assertLessEqual(max(peaks.values()), share)


if __name__ == "__main__":
    unittest.main()
