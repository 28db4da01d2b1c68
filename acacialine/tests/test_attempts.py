"""Tests of the task state machine: retries, retry budget, stale reports."""

import unittest

from acacialine import attempts
from acacialine import submissions
from acacialine import tables as tables_lib
from acacialine.tests import network as network_lib

NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED
UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        self.net = network_lib.Network(1, 1)
        self.core = self.net.nodes[0].core
        self.tables = self.core.tables
        submission_id = f"{submissions.prefix(self.tables)}/k"
        self.net.submit(0, submission_id, 1, b"body")
        self.net.step(0.001)
        self.attempt = self.net.attempts[0]
        self.task = self.attempt.action.task

    def _finish(self, outcome, attempt_number=None):
        action = self.attempt.action
        attempts.finish(
            self.tables,
            self.task,
            attempt_number or action.attempt,
            outcome,
            None,
            "refused",
            self.net.now,
        )

    def test_a_retry_waits_for_a_jittered_backoff(self):
        self._finish(NOT_STARTED)
        wait_s = self.task.not_before - self.net.now
        self.assertGreaterEqual(wait_s, 0.5 * attempts.RETRY_BASE_DELAY_S)
        self.assertLessEqual(wait_s, 1.5 * attempts.RETRY_BASE_DELAY_S)
        self.assertEqual(self.task.state, tables_lib.TaskState.WAITING)

    def test_without_budget_a_retry_waits_longer(self):
        self.tables.retry_tokens = 0.0
        self._finish(NOT_STARTED)
        wait_s = self.task.not_before - self.net.now
        self.assertGreaterEqual(
            wait_s, 0.5 * attempts.RETRY_DELAY_WITHOUT_BUDGET_S
        )

    def test_each_start_adds_its_share_of_a_retry_token(self):
        self.tables.retry_tokens = 0.0
        attempts._add_retry_tokens(self.tables)
        share = self.tables.settings.placement.retry_share
        self.assertEqual(self.tables.retry_tokens, share)

    def test_an_unknown_outcome_is_never_retried_even_if_idempotent(self):
        job = self.task.job
        self.assertTrue(job.idempotent)
        self._finish(UNKNOWN)
        self.assertEqual(self.task.state, tables_lib.TaskState.UNKNOWN)
        self.assertEqual(job.answer.outcome, "failed")
        self.net.step(2.0)
        self.assertEqual(self.task.attempts, 1)

    def test_reports_on_attempts_that_are_not_current_are_ignored(self):
        self._finish(NOT_STARTED)
        self._finish(UNKNOWN)
        self._finish(UNKNOWN, attempt_number=7)
        self.assertIsNone(self.task.job.answer)


if __name__ == "__main__":
    unittest.main()
