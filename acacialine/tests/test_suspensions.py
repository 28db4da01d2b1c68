"""Processes that are suspended for longer than a client takes to retry."""

import functools
import pathlib
import signal
import tempfile
import unittest
from unittest import mock

import trio

from acacialine import clientlimits
from acacialine import clock
from acacialine import httpserver
from acacialine import intake
from acacialine import routes
from acacialine.platform import ingress
from acacialine.tests import support
from acacialine.tests import zonebuilders as build
from acacialine.tools import zonecluster

DEADLINE_MS = 1500
RETRANSMIT_S = 1.3  # retransmitMs of the platform
# The clients of the first SENDING_S have sent their jobs again when it ends.
SUSPENDED_S = 3.6
SENDING_S = 0.3
LARGE_CPU = 2_000_000  # of a server that runs all jobs at once
JOB_BODY = b'{"spec":"","steps":[{"count":1}],"bestEffort":true}'
JOB_REQUEST = (
    b"POST /p/00000000000000aa HTTP/1.1\r\nHost: x\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(JOB_BODY), JOB_BODY)
)


class SuspensionsTest(unittest.TestCase):
    """Zone b has one dispatcher, which is suspended while jobs are sent."""

    def run_scenario(self, scenario, servers):
        async def main():
            with tempfile.TemporaryDirectory() as directory:
                async with trio.open_nursery() as nursery:
                    cluster = zonecluster.Cluster(
                        nursery,
                        pathlib.Path(directory),
                        deadline_ms=DEADLINE_MS,
                        client_extra_wait_s=0.0,
                    )
                    try:
                        await cluster.start(servers, {"a1": "a", "b1": "b"})
                        await self.wait_for_placers(cluster)
                        await trio.sleep(1.0)  # until zones know each other
                        await scenario(cluster)
                        self.assertEqual(cluster.fake_servers.violations, [])
                        for server in cluster.servers:
                            if server.zone == "b":
                                self.assertEqual(server.start_times, [])
                    finally:
                        cluster.close()
                        nursery.cancel_scope.cancel()

        trio.run(main)

    async def wait_for_placers(self, cluster):
        """Waits until both placers know all servers of their zone."""
        zones = [server.zone for server in cluster.servers]
        with trio.fail_after(20):
            for name in cluster.processes:
                while cluster.read_log(name).count(
                    " E820 zone_server_listed "
                ) < zones.count(name[0]):
                    await trio.sleep(0.05)

    async def send_while_suspended(self, cluster, run_client, count):
        """Suspends b1 and runs clients meanwhile."""
        process = cluster.processes["b1"]
        process.send_signal(signal.SIGSTOP)
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(run_client, cluster, f"{index:016x}")
                await trio.sleep(SENDING_S / count)
            await trio.sleep(SUSPENDED_S - SENDING_S)
            process.send_signal(signal.SIGCONT)

    async def resend_elsewhere(self, cluster, job_id):
        submit = functools.partial(
            cluster.submit, job_id=job_id, count=1, length_s=1.2
        )
        if await submit("b1") == zonecluster.NO_ANSWER:
            await trio.sleep(RETRANSMIT_S)
            await submit("a1")

    def test_a_resumed_entry_starts_no_job_that_its_client_sent_elsewhere(self):
        async def scenario(cluster):
            for zone in ("a", "b"):
                await cluster.add_server(f"large-{zone}", zone, LARGE_CPU)
            await trio.sleep(1.0)  # until the placers have listed them
            await self.send_while_suspended(cluster, self.resend_elsewhere, 150)

        self.run_scenario(scenario, ["a", "b"])

    def test_a_resumed_placer_starts_no_job_that_its_entry_took_back(self):
        async def send_once(cluster, job_id):
            await cluster.submit("a1", job_id, count=1, length_s=1.4)

        async def scenario(cluster):
            await self.send_while_suspended(cluster, send_once, 6)
            await trio.sleep(1.0)
            self.assertIn("request_target_lost", cluster.read_log("a1"))

        self.run_scenario(scenario, ["a"] + ["b"] * 3)


class LateInputTest(unittest.TestCase):
    def serve(self, dispatcher, run_client):
        """Runs a client of a server that passes jobs to a dispatcher."""
        dispatcher.is_refusing = False
        dispatcher.now = clock.now
        route = routes.Route(build.queue(), "x", "/p/", 1.5)
        dispatcher.configuration.find_route.return_value = route
        dispatcher.configuration.version = 1

        async def main():
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            async with trio.open_nursery() as nursery:
                server = httpserver.Server(
                    ingress.Ingress(dispatcher).handle,
                    lambda: 1000,
                    self.fail,
                    nursery,
                    clientlimits.new_unlimited_budget(),
                    clientlimits.RequestLimits,
                )
                serve = functools.partial(server.serve, [listener])
                await run_client(
                    listener.socket.getsockname(),
                    functools.partial(nursery.start_soon, serve),
                )
                nursery.cancel_scope.cancel()

        support.run(main, seconds=10)
        dispatcher.configuration.find_route.assert_called()

    def test_a_request_whose_client_has_left_is_not_submitted(self):
        dispatcher = mock.Mock()

        async def run_client(address, start_server):
            async with await trio.open_tcp_stream(*address) as stream:
                await stream.send_all(JOB_REQUEST)
            start_server()
            await trio.sleep(0.1)

        self.serve(dispatcher, run_client)
        dispatcher.intake.receive.assert_not_called()

    def hands_over(self, idle_s):
        """Returns whether a job is handed over whose client leaves at once.

        Args:
            idle_s: How long its connection was idle before the request.
        """
        requests = intake.Intake("a")
        placer = intake.PlacerInfo("p", "a", 1, 4, clock.now())
        requests.placers = {"a": placer}

        async def run_client(address, start_server):
            start_server()
            async with await trio.open_tcp_stream(*address) as stream:
                await trio.sleep(idle_s)
                await stream.send_all(JOB_REQUEST)
                await trio.sleep(0.01)
                requests.tick(clock.now())
            await trio.sleep(0.05)
            requests.tick(clock.now())

        self.serve(mock.Mock(intake=requests), run_client)
        new_orders = requests.take_orders()
        return any(isinstance(o, intake.HandOverJob) for o in new_orders)

    def test_a_request_that_may_be_late_waits_for_the_end_of_its_client(self):
        self.assertFalse(self.hands_over(idle_s=1.4))
        self.assertTrue(self.hands_over(idle_s=0.0))

    def test_a_job_read_after_a_suspension_waits_for_broken_links(self):
        placer = build.placer()
        (server,) = placer.tables.servers.values()
        placer.handle_process_pause(3.6)
        build.poll_idle(placer, server, 3.61)
        placer.submit(build.submission(), "dispatcher", 3.62)
        placer.tick(3.63)
        self.assertEqual(build.starts(placer.take_orders()), [])
        placer.remove_origin("dispatcher", False, 3.65)
        for now in (3.8, 4.0, 4.2):
            build.poll_idle(placer, server, now)
            placer.tick(now)
            self.assertEqual(build.starts(placer.take_orders()), [])

    def test_a_job_read_after_a_short_pause_starts_at_once(self):
        placer = build.placer()
        (server,) = placer.tables.servers.values()
        placer.handle_process_pause(3.6, 0.6)
        build.poll_idle(placer, server, 3.61)
        placer.submit(build.submission(), "dispatcher", 3.62)
        placer.tick(3.63)
        self.assertEqual(len(build.starts(placer.take_orders())), 2)


if __name__ == "__main__":
    unittest.main()
