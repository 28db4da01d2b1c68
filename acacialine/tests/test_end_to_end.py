"""End-to-end tests of a whole installation in one process, over sockets."""

import unittest

import msgspec
import trio

from acacialine import client as client_lib
from acacialine import errors
from acacialine.tests import support
from acacialine.tools import layout as layout_lib


class EndToEndTest(unittest.TestCase):
    def test_job_runs_over_zones_and_answers_whole(self):
        support.run(self._check_job_over_two_zones)

    async def _check_job_over_two_zones(self):
        async with support.running_installation(
            ["a", "b"], [2, 1], [2, 1]
        ) as local:
            caller = support.Client(local.layout.entries[0].caller)
            status, body = await caller.submit(60, run_ms=30, mark="m")
            self.assertEqual(status, 200, body)
            self.assertEqual(body["outcome"], "complete")
            self.assertEqual(
                [r["index"] for r in body["results"]], list(range(60))
            )
            self.assertEqual(
                {r["result"]["mark"] for r in body["results"]}, {"m"}
            )
            starts = [
                record.task
                for backend in local.backends.values()
                for record in backend.journal
                if record.event == "start"
            ]
            self.assertEqual(len(starts), 60)
            self.assertEqual(len(set(starts)), 60)

    def test_requests_are_checked(self):
        support.run(self._check_request_validation)

    async def _check_request_validation(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            address = local.layout.entries[0].caller
            caller = support.Client(address)
            cases = [
                (b"{", 400, "invalid_request"),
                (b'{"tasks":[]}', 400, "invalid_request"),
                (b'{"kind":"none","tasks":[{},{}]}', 400, "invalid_request"),
                (b'{"kind":"huge","tasks":[{}]}', 422, "unsatisfiable"),
                (
                    b'{"kind":"quick","tasks":[' + b"{}," * 1600 + b"{}]}",
                    413,
                    "too_many_tasks",
                ),
                (b"x" * 3_000_000, 413, "body_too_large"),
            ]
            for body, expected_status, code in cases:
                status, _, content = await caller.request(
                    "POST", "/v1/jobs", body
                )
                answer = msgspec.json.decode(content)
                self.assertEqual(
                    (status, answer["code"]), (expected_status, code)
                )
                self.assertEqual(answer["outcome"], "not_run")
            _, _, content = await caller.request(
                "POST", "/v1/jobs", cases[2][0]
            )
            self.assertEqual(len(msgspec.json.decode(content)["findings"]), 2)
            unauthorized_caller = support.Client(address, "wrong")
            status, body = await unauthorized_caller.submit()
            self.assertEqual((status, body["outcome"]), (401, "not_run"))
            journal = next(iter(local.backends.values())).journal
            self.assertEqual(journal, [])

    def test_jobs_are_hidden_from_other_teams(self):
        support.run(self._check_team_isolation)

    async def _check_team_isolation(self):
        async with support.running_installation(["a"], [2], [1]) as local:
            first_plan, second_plan = local.layout.entries
            caller = support.Client(first_plan.caller)
            submission_id = f"{await caller.prefix()}/k1"
            status, _ = await caller.submit(submission_id=submission_id)
            self.assertEqual(status, 200)
            for address in (first_plan.caller, second_plan.caller):
                own_caller = support.Client(address)
                status, _, _ = await own_caller.request(
                    "GET", f"/v1/jobs/{submission_id}"
                )
                self.assertEqual(status, 200)
                other_caller = support.Client(address, support.OTHER_TOKEN)
                for method in ("GET", "DELETE"):
                    status, _, _ = await other_caller.request(
                        method, f"/v1/jobs/{submission_id}"
                    )
                    self.assertEqual(status, 404)

    def test_connections_close_before_health_changes(self):
        support.run(self._check_connections_close_first)

    async def _check_connections_close_first(self):
        extra = {"stop": {"close_first_s": 1.0, "unhealthy_s": 0.2}}
        async with support.running_installation(
            ["a"], [2], [1], extra
        ) as local:
            plan = local.layout.entries[0]
            caller = support.Client(plan.caller)
            local.entries[plan.name].stop()
            await trio.sleep(0.1)
            status, _, _ = await caller.request("GET", "/health")
            self.assertEqual(status, 200)
            status, headers, _ = await caller.request(
                "POST", "/v1/tasks/quick", b"{}"
            )
            self.assertEqual((status, headers["connection"]), (200, "close"))
            await trio.sleep(1.0)
            status, _, _ = await caller.request("GET", "/health")
            self.assertEqual(status, 503)

    def test_a_draining_entry_issues_no_prefix(self):
        support.run(self._check_prefix_while_stopping)

    async def _check_prefix_while_stopping(self):
        async with support.running_installation(["a"], [2], [2]) as local:
            # A job whose id names an entry that exits before answering ends
            # with the outcome `unknown`, so a draining entry issues no ids.
            stopping_plan, live_plan = local.layout.entries[:2]
            entry = local.entries[stopping_plan.name]
            entry.core.tables.draining = True
            caller = support.Client(stopping_plan.caller)
            status, _, _ = await caller.request("GET", "/v1/coordinator")
            self.assertEqual(status, 503)
            urls = [
                f"http://{layout_lib.format_address(plan.caller)}"
                for plan in (stopping_plan, live_plan)
            ]
            client = client_lib.Client(urls, support.TOKEN)
            result = await client.submit([{"payload": {"run_ms": 1}}], "quick")
            await client.aclose()
            self.assertIs(result.outcome, errors.Outcome.COMPLETE)
            other_entry_id = local.entries[live_plan.name].core.tables.my_id
            self.assertTrue(result.submission_id.startswith(other_entry_id))

    def test_one_task_with_a_raw_body(self):
        support.run(self._check_raw_body)

    async def _check_raw_body(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            caller = support.Client(local.layout.entries[0].caller)
            status, headers, body = await caller.request(
                "POST", "/v1/tasks/quick", b'{"mark":"raw"}'
            )
            self.assertEqual(status, 200)
            self.assertEqual(headers["outcome"], "complete")
            self.assertEqual(msgspec.json.decode(body)["mark"], "raw")


if __name__ == "__main__":
    unittest.main()
