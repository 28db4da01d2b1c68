"""What the client of a backend server concludes from failed requests."""

import json
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
            # Until it fails, no task may rely on the shorter lease.
            self.assertGreater(leases.ends_by(server), now + 0.9)
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

    def test_a_refused_older_token_tells_of_no_other_owner(self):
        async def scenario():
            placer = build.placer()
            (server,) = placer.tables.servers.values()

            async def answer(stream):
                await stream.receive_some(65536)
                server.raise_token(clock.now())
                await stream.send_all(
                    b"HTTP/1.1 409 Conflict\r\nContent-Length: 18\r\n\r\n"
                    b'{"reason":"fence"}'
                )

            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                server.address = listeners[0].socket.getsockname()
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                error = await poll(server)
                self.assertIsInstance(error, serverclient.PollError)
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


class FakeBackend:
    """A backend server that answers as told, with the times of requests.

    Attributes:
        delays_s: Delay of the response by path; infinite for none.
        connections: Number of connections that were opened.
        bodies: Path and content of each request.
    """

    def __init__(self):
        self.delays_s = {}
        self.connections = 0
        self.bodies = []

    async def serve(self, stream):
        self.connections += 1
        while True:
            data = await stream.receive_some(65536)
            if not data:
                return
            head, _, body = data.partition(b"\r\n\r\n")
            path = head.split()[1].decode().rpartition("/")[2]
            self.bodies.append((path, body))
            await trio.sleep(self.delays_s.get(path, 0.0))
            answer = b'{"clockMs": 1000, "born": 1}'
            await stream.send_all(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                % (len(answer), answer)
            )


class UnansweredOrderTest(unittest.TestCase):
    def play(self, scenario):
        """Runs a scenario with a client of a fake backend server."""

        async def run():
            backend = FakeBackend()
            deadlines = httppool.Deadlines()
            observer = build.ServerObserver()
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                address = listeners[0].socket.getsockname()
                nursery.start_soon(
                    trio.serve_listeners, backend.serve, listeners
                )
                nursery.start_soon(self.check_deadlines, deadlines)
                placer = build.placer(build.server(address=address))
                (server,) = placer.tables.servers.values()
                now = clock.now()
                leases.observe_clock(server, 1000, now)
                placer.submit(build.submission(), "entry", now)
                placer.tick(now)
                run, _ = build.starts(placer.take_orders())
                client = serverclient.ServerClient(
                    server, 1, 1.0, observer, deadlines, nursery
                )
                with trio.fail_after(5):
                    await scenario(backend, client, observer, run)
                client.close()
                nursery.cancel_scope.cancel()

        support.run(run)

    async def check_deadlines(self, deadlines):
        while True:
            deadlines.check(clock.now())
            await trio.sleep(0.002)

    async def wait_for(self, condition):
        while not condition():
            await trio.sleep(0.002)

    def outcomes(self, observer):
        return [outcome for _, outcome in observer.outcomes]

    def test_a_late_response_still_counts_and_keeps_its_connection(self):
        # New connections are priced, and a late start runs all the same.
        async def scenario(backend, client, observer, run):
            backend.delays_s["run-start"] = 0.15
            client.start(run)
            await self.wait_for(lambda: len(observer.outcomes) == 2)
            self.assertEqual(
                self.outcomes(observer),
                [orders.StartOutcome.UNKNOWN, orders.StartOutcome.STARTED],
            )
            client.stop(run)
            await self.wait_for(lambda: observer.stops)
            self.assertEqual(backend.connections, 1)
            self.assertEqual(observer.stops, [(run, True)])

        self.play(scenario)

    def test_a_lost_start_is_reported_once_and_costs_one_connection(self):
        async def scenario(backend, client, observer, run):
            backend.delays_s["run-start"] = 9.0
            client.start(run)
            await self.wait_for(lambda: observer.outcomes)
            client.stop(run)
            await self.wait_for(lambda: observer.stops)
            await trio.sleep(serverclient.START_TIMEOUT_S)
            self.assertEqual(
                self.outcomes(observer), [orders.StartOutcome.UNKNOWN]
            )
            self.assertEqual(observer.stops, [(run, True)])
            self.assertEqual(backend.connections, 2)

        self.play(scenario)

    async def start_after_idle_time(self, backend, client, observer, run, job):
        """Starts a run on a server whose clock was read long ago.

        Args:
            backend: The fake backend server.
            client: Its client.
            observer: The observer of the client.
            run: The run.
            job: The job of the run once the clock has been read again.

        Returns:
            The deadlines of the start requests, on the clock of the server.
        """

        def observe(polled, result, sent_at):
            leases.observe_clock(polled, result.server_clock_ms, clock.now())
            run.job = job

        observer.handle_poll_result = observe
        client.server.clock_at -= 600.0
        client.start(run)
        await self.wait_for(lambda: observer.outcomes)
        return [
            json.loads(body)["deadlineMs"]
            for path, body in backend.bodies
            if path == "run-start"
        ]

    def test_the_lease_of_a_start_is_no_longer_after_a_long_idle_time(self):
        async def scenario(backend, client, observer, run):
            (deadline_ms,) = await self.start_after_idle_time(
                backend, client, observer, run, run.job
            )
            self.assertLessEqual(deadline_ms, 2000)
            self.assertLess(leases.ends_by(client.server), clock.now() + 1.1)

        self.play(scenario)

    def test_a_job_that_ends_while_its_start_waits_gets_no_longer_lease(self):
        async def scenario(backend, client, observer, run):
            deadlines_ms = await self.start_after_idle_time(
                backend, client, observer, run, None
            )
            self.assertLessEqual(max(deadlines_ms, default=0), 2000)

        self.play(scenario)

    def test_a_listing_does_not_wait_for_the_poll_in_flight(self):
        async def scenario(backend, client, observer, run):
            backend.delays_s["hold"] = 0.0
            client.poll(0.0)
            await self.wait_for(lambda: observer.poll_errors)
            backend.delays_s["hold"] = 0.4
            client.poll(0.4)
            await trio.sleep(0.02)
            backend.delays_s["hold"] = 0.0
            client.list_runs(clock.now())
            with trio.fail_after(0.2):
                await self.wait_for(lambda: observer.listing_errors)
            self.assertEqual(observer.listing_errors, [None])
            self.assertEqual(len(observer.poll_errors), 1)
            # A listing renews no lease.
            self.assertNotIn(b"deadlineMs", backend.bodies[-1][1])

        self.play(scenario)

    def test_a_server_that_answers_slowly_gets_a_connection(self):
        async def scenario(backend, client, observer, run):
            backend.delays_s["hold"] = 0.15
            while not observer.polls:
                client.poll(0.0)
                count = len(observer.poll_errors)
                await self.wait_for(
                    lambda n=count: len(observer.poll_errors) > n
                )
            self.assertLess(len(observer.poll_errors), 6)

        self.play(scenario)

    def test_an_attempt_to_reach_a_silent_server_renews_no_lease(self):
        # Repeated stops would keep the runs of a frozen server for ever.
        async def scenario(backend, client, observer, run):
            client.server.unresponsive_since = clock.now()
            client.server.lease_until = 0.0
            client.stop(run)
            await self.wait_for(lambda: observer.stops)
            self.assertEqual(client.server.lease_until, 0.0)
            self.assertNotIn(b"deadlineMs", backend.bodies[0][1])

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
