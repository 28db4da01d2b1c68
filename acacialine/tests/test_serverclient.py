"""What the client of a backend server records of the leases it requests."""

import unittest

import trio

from acacialine import clock
from acacialine import httppool
from acacialine import leases
from acacialine.platform import serverclient
from acacialine.tests import support
from acacialine.tests import zonebuilders as build
from acacialine.tools import ports


class ServerLeaseTest(unittest.TestCase):
    def poll(self, placer, server):
        """Polls a backend server until the poll has ended."""

        async def scenario():
            observer = build.ServerObserver()
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

    def test_a_poll_that_was_not_sent_extends_no_lease(self):
        (unused_port,) = ports.reserve(1)
        placer = build.placer(build.server(address=("127.0.0.1", unused_port)))
        (server,) = placer.tables.servers.values()
        now = clock.now()
        leases.observe_clock(server, 1000, now)
        placer.submit(build.submission(), "entry", now)
        placer.tick(now)
        server.lease_until = now + 0.5
        self.poll(placer, server)
        self.assertEqual(server.lease_until, now + 0.5)


if __name__ == "__main__":
    unittest.main()
