"""Tests of the log sink's budget and non-blocking writes, and of `explain`."""

import os
import unittest

from click import testing

from acacialine import __main__ as main_lib
from acacialine import explain
from acacialine import logsink


class SinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_a_full_pipe_does_not_block_and_drops_are_counted(self):
        sink = logsink.Sink(self.writer)
        for _ in range(20):
            sink._lines_left = logsink.MAX_LINES_PER_S
            sink._bytes_left = logsink.MAX_BYTES_PER_S
            for _ in range(300):
                sink.put("x" * 200, True)
        self.assertGreater(sink.dropped, 0)
        self.assertLessEqual(len(sink._buffer), logsink.MAX_BUFFER_BYTES)

    def test_priority_lines_have_a_reserved_share_of_the_budget(self):
        sink = logsink.Sink(self.writer)
        for _ in range(logsink.MAX_LINES_PER_S):
            sink.put("ordinary", False)
        before = sink.dropped
        self.assertGreater(before, 0)
        sink.put("failure", True)
        self.assertEqual(sink.dropped, before)

    def test_dropped_lines_are_reported(self):
        reported = []
        sink = logsink.Sink(self.writer, on_dropped=reported.append)
        for _ in range(2 * logsink.MAX_LINES_PER_S):
            sink.put("x", False)
        sink.report_dropped()
        self.assertEqual(reported, [sink.dropped])

    def test_put_does_not_raise_after_the_reader_closes(self):
        reader, writer = os.pipe()
        sink = logsink.Sink(writer)
        os.close(reader)
        sink.put("x", True)
        os.close(writer)


class ExplainTest(unittest.TestCase):
    LINES = (
        " 2.1 front-1 08:35:52.235 I E840 request_handed_over at=front-1"
        " job=00000000000000aa placer=p1\n",
        "08:35:52.500 W E813 zone_run_stalled at=front-2"
        " task=00000000000000aa.0.0.1 server=i-7\n",
        "08:35:52.300 I E800 zone_job_accepted at=front-2"
        " job=00000000000000aa\n",
        "08:35:53.000 W E804 zone_job_failed at=front-2"
        ' job=00000000000000aa reason="task failed"\n',
        "08:35:53.000 W E804 zone_job_failed at=front-2 job=bb reason=x\n",
        "noise 00000000000000aa\n",
    )

    def test_the_timeline_is_in_order_and_has_the_cause(self):
        timeline = explain.explain("00000000000000aa.0.0.1", self.LINES)
        self.assertEqual(
            [line.event for line in timeline.lines],
            [
                "request_handed_over",
                "zone_job_accepted",
                "zone_run_stalled",
                "zone_job_failed",
            ],
        )
        self.assertEqual(timeline.cause, "failed: task failed")
        self.assertEqual(timeline.troubles, ["a run stalled on i-7"])
        self.assertIn("cause: failed", explain.format_timeline(timeline))

    def test_the_command_refuses_an_empty_job_id(self):
        for job_id in ("", " ", ".0.0.1"):
            result = testing.CliRunner().invoke(
                main_lib.cli, ["explain", job_id], input="a line\n"
            )
            self.assertEqual(result.exit_code, 2, msg=job_id)
            self.assertIn("must not be empty", result.output)

    def test_an_unknown_job_has_no_lines(self):
        self.assertEqual(explain.explain("cc", self.LINES).lines, [])


if __name__ == "__main__":
    unittest.main()
