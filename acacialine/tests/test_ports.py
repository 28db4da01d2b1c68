"""Reservation of ports for the processes of tests."""

import errno
import socket
import unittest

import trio

from acacialine.tools import ports


class PortsTest(unittest.TestCase):
    def test_ports_are_distinct_over_several_calls(self):
        reserved = [port for _ in range(20) for port in ports.reserve(10)]
        self.assertEqual(len(set(reserved)), 200)

    def test_another_program_cannot_take_a_reserved_port(self):
        (port,) = ports.reserve(1)
        with socket.socket() as other, self.assertRaises(OSError) as caught:
            other.bind(("127.0.0.1", port))
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    def test_a_listener_can_use_a_reserved_port_again_and_again(self):
        (port,) = ports.reserve(1)

        async def listen_and_connect():
            listeners = await trio.open_tcp_listeners(port, host=ports.HOST)
            client = await trio.open_tcp_stream(ports.HOST, port)
            server = await listeners[0].accept()
            await client.send_all(b"x")
            self.assertEqual(await server.receive_some(1), b"x")
            for resource in (server, client, *listeners):
                await resource.aclose()

        for _ in range(3):
            trio.run(listen_and_connect)


if __name__ == "__main__":
    unittest.main()
