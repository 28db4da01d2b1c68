"""HTTP server: slow, endless, malformed and pipelined requests."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import trio

from acacialine import clock
from acacialine import httpserver
from acacialine.tests import support

POST = b"POST /jobs/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
GET = b"GET /a%20b?c=d HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED = (
    b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"
)
MAX_BODY_BYTES = 1000


class ServerCase(unittest.TestCase):
    """Runs a server whose requests are recorded and answered by a test."""

    def setUp(self):
        self.exchanges = []
        self.errors = []
        self.disconnects = []

    def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.answer(200, exchange.request.path.encode())

    def handle_later(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.disconnects.append(exchange)

    def run_scenario(self, scenario, handler=None):
        async def main():
            async with trio.open_nursery() as nursery:
                self.server = httpserver.Server(
                    handler or self.handle,
                    lambda: MAX_BODY_BYTES,
                    self.errors.append,
                    nursery,
                )
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                self.address = listeners[0].socket.getsockname()
                nursery.start_soon(self.server.serve, listeners)
                await scenario()
                nursery.cancel_scope.cancel()

        support.run(main, seconds=20)

    async def connect(self):
        return await trio.open_tcp_stream(*self.address)

    async def read_until_close(self, stream, seconds=3.0):
        data = b""
        with trio.fail_after(seconds):
            while chunk := await stream.receive_some(65536):
                data += chunk
        return data

    async def exchange(self, *parts):
        """Sends bytes and closes the sending side; returns the answers."""
        async with await self.connect() as stream:
            for part in parts:
                await stream.send_all(part)
                await trio.sleep(0.005)
            await stream.send_eof()
            return await self.read_until_close(stream)

    async def wait_for_requests(self, count):
        with trio.fail_after(3):
            while len(self.exchanges) < count:
                await trio.sleep(0.005)


class RequestsTest(ServerCase):
    def test_requests_of_each_form_are_passed_on(self):
        async def scenario():
            for data in (POST, GET, CHUNKED):
                answers = await self.exchange(data)
                self.assertTrue(answers.startswith(b"HTTP/1.1 200 OK\r\n"))
            answers = await self.exchange(*(bytes([b]) for b in POST))
            self.assertIn(b"200 OK", answers)

        self.run_scenario(scenario)
        requests = [e.request for e in self.exchanges]
        self.assertEqual(
            [(r.method, r.path, r.body) for r in requests],
            [
                ("POST", "/jobs/a", b"{}"),
                ("GET", "/a b", b""),
                ("POST", "/c", b"{}"),
                ("POST", "/jobs/a", b"{}"),
            ],
        )
        self.assertEqual(requests[0].headers[b"host"], b"x")

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario():
            answers = await self.exchange(GET + POST + GET + CHUNKED)
            self.assertEqual(answers.count(b"200 OK"), 4)
            order = [answers.index(p) for p in (b"/a b", b"/jobs/a", b"/c")]
            self.assertEqual(order, sorted(order))

        self.run_scenario(scenario)

    def test_a_later_request_waits_for_the_answer_to_the_first(self):
        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(POST + GET)
                await self.wait_for_requests(1)
                await trio.sleep(0.05)
                self.assertEqual(len(self.exchanges), 1)
                self.exchanges[0].answer(200, b"first")
                await self.wait_for_requests(2)
                self.exchanges[1].answer(200, b"second", close=True)
                data = await self.read_until_close(stream)
                self.assertLess(data.index(b"first"), data.index(b"second"))
                self.assertIn(b"connection: close", data)

        self.run_scenario(scenario, self.handle_later)

    def test_a_client_that_leaves_is_noticed(self):
        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(POST)
                await self.wait_for_requests(1)
            with trio.fail_after(3):
                while not self.disconnects:
                    await trio.sleep(0.005)
            self.exchanges[0].answer(200)  # has no effect

        self.run_scenario(scenario, self.handle_later)
        self.assertEqual(self.disconnects, self.exchanges)

    def test_an_expected_continue_is_sent(self):
        async def scenario():
            head, _, body = POST.partition(b"\r\n\r\n")
            async with await self.connect() as stream:
                await stream.send_all(
                    head + b"\r\nExpect: 100-continue\r\n\r\n"
                )
                self.assertIn(b"100 Continue", await stream.receive_some(999))
                await stream.send_all(body)
                self.assertIn(b"200 OK", await stream.receive_some(999))

        self.run_scenario(scenario)

    def test_connections_close_as_http_asks(self):
        async def scenario():
            closing = POST.replace(b"Host: x", b"Connection: close")
            old = GET.replace(b"HTTP/1.1", b"HTTP/1.0")
            upgrade = b"Connection: upgrade\r\nUpgrade: h2c"
            upgrading = GET.replace(b"Host: x", upgrade)
            for data in (closing, old, upgrading):
                async with await self.connect() as stream:
                    await stream.send_all(data)
                    answer = await self.read_until_close(stream)
                    self.assertIn(b"200 OK", answer)
                    self.assertIn(b"connection: close", answer)

        self.run_scenario(scenario)

    def test_a_large_answer_to_a_slow_reader_arrives_whole(self):
        body = b"x" * 3_000_000

        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(GET)
                await trio.sleep(0.2)
                data = await self.read_until_close(stream, 10)
                self.assertEqual(len(data.partition(b"\r\n\r\n")[2]), len(body))

        self.run_scenario(
            scenario, lambda exchange: exchange.answer(200, body, close=True)
        )


class RefusalsTest(ServerCase):
    def refuse(self, data, status):
        """Checks that data is refused and other connections are served."""

        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(data)
                answers = await self.read_until_close(stream)
                self.assertTrue(
                    answers.startswith(b"HTTP/1.1 %d " % status), answers[:60]
                )
                self.assertIn(b"connection: close", answers)
            answers = await self.exchange(POST)
            self.assertIn(b"200 OK", answers)

        self.run_scenario(scenario)
        self.assertEqual(len(self.exchanges), 1)

    def test_malformed_requests_get_400(self):
        for data in (
            b"\x16\x03\x01 a TLS hello",
            b"POST /x HTTP/1.1\r\nContent-Length: -4\r\n\r\n",
            b"POST /x HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n"
            b"\r\n{}",
            b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"GET /x HTTP/1.1\r\nbroken header\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n",
        ):
            with self.subTest(data=data):
                self.setUp()
                self.refuse(data, 400)

    def test_requests_over_the_limits_are_refused(self):
        big = b"x" * (MAX_BODY_BYTES + 1)
        announced = b"POST /x HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"
        chunks = (
            b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"%x\r\n%s\r\n" % (len(big), big)
        )
        endless_head = b"GET /x HTTP/1.1\r\nA: " + b"a" * (64 << 10)
        many_headers = b"GET /x HTTP/1.1\r\n" + b"A: b\r\n" * 20_000
        for data, status in (
            (announced, 413),
            (announced + big, 413),
            (chunks, 413),
            (endless_head, 431),
            (many_headers, 431),
        ):
            with self.subTest(status=status, size=len(data)):
                self.setUp()
                self.refuse(data, status)

    def test_a_malformed_request_does_not_lose_the_answer_before_it(self):
        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(POST + b"nonsense\r\n\r\n")
                await self.wait_for_requests(1)
                self.exchanges[0].answer(200, b"first")
                data = await self.read_until_close(stream)
                self.assertLess(data.index(b"first"), data.index(b" 400 "))

        self.run_scenario(scenario, self.handle_later)

    def test_too_many_pipelined_requests_close_the_connection(self):
        async def scenario():
            async with await self.connect() as stream:
                await stream.send_all(GET * 40)
                data = await self.read_until_close(stream)
                self.assertEqual(data, b"")

        self.run_scenario(scenario, self.handle_later)
        self.assertEqual(len(self.disconnects), 1)

    def test_slow_requests_and_idle_connections_are_closed(self):
        async def scenario():
            slow, idle = await self.connect(), await self.connect()
            await slow.send_all(POST[:-1])
            await trio.sleep(0.05)
            now = clock.now()
            self.server.sweep(now + httpserver.REQUEST_TIMEOUT_S - 1)
            self.assertEqual(len(self.server._connections), 2)
            self.server.sweep(now + httpserver.REQUEST_TIMEOUT_S + 1)
            self.assertEqual(await self.read_until_close(slow), b"")
            self.server.sweep(now + httpserver.IDLE_TIMEOUT_S + 1)
            self.assertEqual(await self.read_until_close(idle), b"")

        self.run_scenario(scenario)

    def test_a_client_that_does_not_read_is_closed(self):
        async def scenario():
            with mock.patch.object(httpserver, "WRITE_TIMEOUT_S", 0.2):
                async with await self.connect() as stream:
                    await stream.send_all(GET)
                    with trio.fail_after(5):
                        while not self.exchanges or self.server._connections:
                            await trio.sleep(0.02)

        def answer_much(exchange):
            self.exchanges.append(exchange)
            exchange.answer(200, b"x" * 30_000_000)

        self.run_scenario(scenario, answer_much)

    def test_an_error_of_the_handler_ends_its_request_only(self):
        def handler(exchange):
            if exchange.request.method == "GET":
                raise KeyError("unexpected")
            self.handle(exchange)

        async def scenario():
            self.assertIn(b" 500 ", await self.exchange(GET))
            self.assertIn(b" 200 ", await self.exchange(POST))

        self.run_scenario(scenario, handler)
        self.assertEqual(len(self.errors), 1)

    @hypothesis.settings(
        max_examples=support.FUZZ_EXAMPLES, deadline=None, database=None
    )
    @hypothesis.seed(20261204)
    @hypothesis.given(
        data=strategies.data(),
        requests=strategies.lists(
            strategies.sampled_from((POST, GET, CHUNKED)), max_size=3
        ),
    )
    def test_any_bytes_are_answered_or_refused(self, data, requests):
        stream = bytearray(b"".join(requests))
        for _ in range(data.draw(strategies.integers(0, 4))):
            at = data.draw(strategies.integers(0, len(stream)))
            junk = data.draw(strategies.binary(max_size=6))
            stream[at : at + data.draw(strategies.integers(0, 4))] = junk
        server = httpserver.Server(
            self.handle, lambda: MAX_BODY_BYTES, self.errors.append, None
        )
        connection = httpserver._Connection(server, mock.Mock())
        connection._socket.send = len
        with mock.patch("trio.lowlevel.notify_closing"):
            while stream and not connection._is_discarding:
                size = data.draw(strategies.integers(1, 60))
                connection._receive(bytes(stream[:size]))
                del stream[:size]
        self.assertEqual(self.errors, [])


if __name__ == "__main__":
    unittest.main()
