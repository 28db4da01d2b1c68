"""Fault proxy between a client and a server of the test."""

import functools
import unittest

import trio

from acacialine.tests import support
from acacialine.tools import faultproxy
from acacialine.tools import ports

SETTLING_S = 0.1


class HeldRouteTest(unittest.TestCase):
    def run_scenario(self, scenario):
        """Runs a scenario with a route and both ends of its connection."""
        listen_port, target_port = ports.reserve(2)
        route = faultproxy.ProxyRoute(
            ("127.0.0.1", listen_port), ("127.0.0.1", target_port)
        )

        async def main():
            (listener,) = await trio.open_tcp_listeners(
                target_port, host="127.0.0.1"
            )
            async with trio.open_nursery() as nursery, listener:
                await nursery.start(functools.partial(faultproxy.serve, route))
                client = await trio.open_tcp_stream(*route.listen)
                async with client, await listener.accept() as server:
                    await scenario(route, client, server)
                nursery.cancel_scope.cancel()

        support.run(main, seconds=5)

    async def receives_nothing(self, stream):
        with trio.move_on_after(SETTLING_S) as scope:
            await stream.receive_some()
        return scope.cancelled_caught

    def test_a_held_route_holds_the_end_of_a_connection(self):
        async def scenario(route, client, server):
            route.hold(True, False)
            await client.aclose()
            self.assertTrue(await self.receives_nothing(server))
            route.hold()
            self.assertEqual(await server.receive_some(), b"")

        self.run_scenario(scenario)

    def test_a_held_route_delivers_what_came_before_the_end(self):
        async def scenario(route, client, server):
            route.hold(True, False)
            await client.send_all(b"request")
            await client.aclose()
            self.assertTrue(await self.receives_nothing(server))
            route.hold()
            self.assertEqual(await server.receive_some(), b"request")
            self.assertEqual(await server.receive_some(), b"")

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
