"""What the client of a backend server concludes from failed requests."""

import unittest

import trio

from acacialine import clock
from acacialine import httppool
from acacialine import leases
from acacialine.platform import serverclient
from acacialine.tests import support
from acacialine.tests import zonebuilders as build
from acacialine.tools import ports


class FailedPollTest(unittest.TestCase):
    def poll(self, server):
        """Polls a backend server; returns what its client observed."""
        observer = build.ServerObserver()

        async def scenario():
            async with trio.open_nursery() as nursery:
                client = serverclient.ServerClient(
                    server, 1, 1.0, observer, httppool.Deadlines(), nursery
                )
                client.poll(0.0)
                with trio.fail_after(5):
                    while not observer.poll_errors:
                        await trio.sleep(0.005)
                client.close()

        support.run(scenario)
        return observer

    def test_a_poll_that_was_not_sent_extends_no_lease(self):
        (unused_port,) = ports.reserve(1)
        placer = build.placer(build.server(address=("127.0.0.1", unused_port)))
        (server,) = placer.tables.servers.values()
        now = clock.now()
        leases.observe_clock(server, 1000, now)
        placer.submit(build.submission(), "entry", now)
        placer.tick(now)
        server.lease_until = now + 0.5
        observer = self.poll(server)
        self.assertEqual(server.lease_until, now + 0.5)
        (error,) = observer.poll_errors
        self.assertIsInstance(error, serverclient.RefusedError)

    def test_status_421_tells_that_a_server_was_replaced(self):
        async def answer(stream):
            await stream.receive_some(65536)
            await stream.send_all(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )

        async def scenario():
            observer = build.ServerObserver()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                server = build.server(address=listeners[0].socket.getsockname())
                client = serverclient.ServerClient(
                    server, 1, 1.0, observer, httppool.Deadlines(), nursery
                )
                client.poll(0.0)
                with trio.fail_after(5):
                    while not observer.poll_errors:
                        await trio.sleep(0.005)
                client.close()
                nursery.cancel_scope.cancel()
            (error,) = observer.poll_errors
            self.assertIsInstance(error, serverclient.ReplacedError)

        support.run(scenario)


if __name__ == "__main__":
    unittest.main()
