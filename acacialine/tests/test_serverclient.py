"""What the client of a backend server concludes from failed requests."""

import unittest

import trio

from acacialine import clock
from acacialine import httppool
from acacialine import leases
from acacialine import orders
from acacialine.platform import serverclient
from acacialine.tests import support
from acacialine.tests import zonebuilders as build
from acacialine.tools import ports


async def poll(server, may_extend_leases=True):
    """Polls a backend server; returns the error that ended the poll."""
    observer = build.ServerObserver()
    observer.may_extend_leases = lambda: may_extend_leases
    async with trio.open_nursery() as nursery:
        client = serverclient.ServerClient(
            server, 1, 1.0, observer, httppool.Deadlines(), nursery
        )
        client.poll(0.0)
        with trio.fail_after(5):
            while not observer.poll_errors:
                await trio.sleep(0.005)
        client.close()
    (error,) = observer.poll_errors
    return error


class FailedPollTest(unittest.TestCase):
    def test_a_poll_that_was_not_sent_extends_no_lease(self):
        (unused_port,) = ports.reserve(1)
        placer = build.placer(build.server(address=("127.0.0.1", unused_port)))
        (server,) = placer.tables.servers.values()
        now = clock.now()
        leases.observe_clock(server, 1000, now)
        placer.submit(build.submission(), "entry", now)
        placer.tick(now)
        server.lease_until = now + 0.5

        async def scenario():
            error = await poll(server)
            self.assertEqual(server.lease_until, now + 0.5)
            self.assertIsInstance(error, serverclient.RefusedError)

        support.run(scenario)

    def test_a_poll_carries_no_lease_while_a_successor_may_exist(self):
        async def scenario():
            requests = []

            async def answer(stream):
                requests.append(await stream.receive_some(65536))

            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = listeners[0].socket.getsockname()
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                placer = build.placer(build.server(address=address))
                (server,) = placer.tables.servers.values()
                leases.observe_clock(server, 1000, clock.now())
                placer.submit(build.submission(), "entry", clock.now())
                placer.tick(clock.now())
                for may_extend in (True, False):
                    await poll(server, may_extend)
                nursery.cancel_scope.cancel()
            has_lease = [b"deadlineMs" in r for r in requests]
            self.assertEqual(has_lease, [True, False])

        support.run(scenario)

    def test_status_421_tells_that_a_server_was_replaced(self):
        async def answer(stream):
            await stream.receive_some(65536)
            await stream.send_all(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
            )

        async def scenario():
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = listeners[0].socket.getsockname()
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                error = await poll(build.server(address=address))
                self.assertIsInstance(error, serverclient.ReplacedError)
                nursery.cancel_scope.cancel()

        support.run(scenario)

    def test_an_outdated_421_does_not_tell_that_a_server_was_replaced(self):
        async def scenario():
            placer = build.placer()
            (server,) = placer.tables.servers.values()

            async def answer(stream):
                await stream.receive_some(65536)
                now = clock.now()
                restarted = orders.PollResult(2, 10, (), ())
                placer.runs.apply_poll(server, restarted, now, now)
                await stream.send_all(
                    b"HTTP/1.1 421 Misdirected Request\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )

            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                server.address = listeners[0].socket.getsockname()
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                error = await poll(server)
                self.assertNotIsInstance(error, serverclient.ReplacedError)
                nursery.cancel_scope.cancel()

        support.run(scenario)


if __name__ == "__main__":
    unittest.main()
