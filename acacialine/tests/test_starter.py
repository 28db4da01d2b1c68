"""Tests that replies on reused connections must name their task.

A late reply to an earlier request could otherwise be taken for the reply to
the current one.
"""

import unittest

import trio

from acacialine import starter
from acacialine import tables as tables_lib
from acacialine.tests import support

NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED
ANSWERED = tables_lib.AttemptOutcome.ANSWERED
UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN


class StarterTest(unittest.TestCase):
    def _start_tasks(self, replies: list[bytes]) -> tuple[list, int]:
        """Starts one task per reply; returns outcomes and connection count."""
        result = []
        support.run(self._start_against_server, replies, result)
        return result[0], result[1]

    async def _start_against_server(self, replies, result):
        pending_replies = iter(replies)
        connection_count = 0

        async def reply_to_requests(stream):
            nonlocal connection_count
            connection_count += 1
            while await stream.receive_some(65536):
                await stream.send_all(next(pending_replies))

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listeners[0].socket.getsockname()
            nursery.start_soon(
                trio.serve_listeners, reply_to_requests, listeners
            )
            connections = starter.BackendConnections(host, port, 1.0, 5.0, 8)
            outcomes = []
            for index in range(len(replies)):
                no_expiry = float("inf")
                start = starter.Start(
                    f"t{index}", "k", b"{}", no_expiry, support.now() + 5, 5.0
                )
                outcomes.append((await connections.start(start)).outcome)
            result.extend([outcomes, connection_count])
            nursery.cancel_scope.cancel()

    def _reply(self, status_line: str, task_id: str = "") -> bytes:
        task_id_header = f"Task-Id: {task_id}\r\n" if task_id else ""
        return (
            f"HTTP/1.1 {status_line}\r\n{task_id_header}"
            "Content-Length: 0\r\n\r\n"
        ).encode()

    def test_a_connection_is_reused_only_if_replies_name_their_task(self):
        with_task_id = [self._reply("200 OK", f"t{n}") for n in range(3)]
        self.assertEqual(self._start_tasks(with_task_id), ([ANSWERED] * 3, 1))
        without_task_id = [self._reply("200 OK")] * 3
        self.assertEqual(
            self._start_tasks(without_task_id), ([ANSWERED] * 3, 3)
        )

    def test_a_refusal_without_task_id_on_a_reused_connection_is_unknown(self):
        refusal = self._reply("503 Busy\r\nNot-Run: 1")
        first = self._reply("200 OK", "t0")
        self.assertEqual(
            self._start_tasks([first, refusal])[0], [ANSWERED, UNKNOWN]
        )
        self.assertEqual(self._start_tasks([refusal])[0], [NOT_STARTED])


if __name__ == "__main__":
    unittest.main()
