"""Replies on kept connections must name their task."""

import unittest

import trio

from acacialine import starter
from acacialine import tables as tables_lib
from acacialine.tests import support

NOT_STARTED = tables_lib.AttemptOutcome.NOT_STARTED
ANSWERED = tables_lib.AttemptOutcome.ANSWERED
UNKNOWN = tables_lib.AttemptOutcome.UNKNOWN


class StarterTest(unittest.TestCase):
    def _run(self, replies: list[bytes]) -> tuple[list, int]:
        """Starts a task for each reply; returns outcomes and connections."""
        result = []
        support.run(self._serve, replies, result)
        return result[0], result[1]

    async def _serve(self, replies, result):
        left = iter(replies)
        connections = 0

        async def serve(stream):
            nonlocal connections
            connections += 1
            while await stream.receive_some(65536):
                await stream.send_all(next(left))

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            host, port = listeners[0].socket.getsockname()
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            backend = starter.BackendConnections(host, port, 1.0, 5.0, 8)
            outcomes = []
            for number in range(len(replies)):
                forever = float("inf")
                start = starter.Start(
                    f"t{number}", "k", b"{}", forever, support.now() + 5, 5.0
                )
                outcomes.append((await backend.start(start)).outcome)
            result.extend([outcomes, connections])
            nursery.cancel_scope.cancel()

    def _reply(self, head: str, task: str = "") -> bytes:
        echo = f"Task-Id: {task}\r\n" if task else ""
        return f"HTTP/1.1 {head}\r\n{echo}Content-Length: 0\r\n\r\n".encode()

    def test_a_connection_is_kept_only_for_replies_that_name_the_task(self):
        named = [self._reply("200 OK", f"t{n}") for n in range(3)]
        self.assertEqual(self._run(named), ([ANSWERED] * 3, 1))
        bare = [self._reply("200 OK")] * 3
        self.assertEqual(self._run(bare), ([ANSWERED] * 3, 3))

    def test_a_late_refusal_on_a_kept_connection_proves_nothing(self):
        refusal = self._reply("503 Busy\r\nNot-Run: 1")
        first = self._reply("200 OK", "t0")
        self.assertEqual(self._run([first, refusal])[0], [ANSWERED, UNKNOWN])
        self.assertEqual(self._run([refusal])[0], [NOT_STARTED])


if __name__ == "__main__":
    unittest.main()
