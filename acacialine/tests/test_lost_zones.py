"""Runs that live on after their zone has lost all its dispatchers.

Their clients send the jobs again to dispatchers that know nothing of them.
"""

import functools
import pathlib
import signal
import tempfile
import unittest

import trio

from acacialine import clock
from acacialine.tools import zonecluster

RETRANSMIT_S = 1.3  # retransmitMs of the platform
DEADLINE_MS = 8000
SETTLING_S = 2.5
LEFT_AFTER_S = 0.1
EPOCH_DISTANCE = 1 << 17  # between fencing tokens of two claims
LATE_S = 4.0  # for which a late request is on its way
JOB = "00000000000000ab"
NEIGHBOUR = "00000000000000cd"
SHORT_NEIGHBOUR = "00000000000000ef"


class LostZonesTest(unittest.TestCase):
    """Each server runs two tasks; their ends are set by the tests."""

    def run_scenario(
        self, scenario, servers, dispatchers, deadline_ms=DEADLINE_MS
    ):
        async def main():
            with tempfile.TemporaryDirectory() as directory:
                async with trio.open_nursery() as nursery:
                    cluster = zonecluster.Cluster(
                        nursery,
                        pathlib.Path(directory),
                        deadline_ms=deadline_ms,
                    )
                    try:
                        await cluster.start(servers, dispatchers)
                        await self.wait_for_lists(cluster)
                        await self.wait_until_settled(cluster)
                        with trio.move_on_after(12) as scope:
                            await scenario(cluster)
                        log = self.describe(cluster)
                        self.assertEqual(
                            cluster.fake_servers.violations, [], log
                        )
                        self.assertFalse(scope.cancelled_caught, log)
                    finally:
                        cluster.close()
                        nursery.cancel_scope.cancel()

        trio.run(main)

    def describe(self, cluster):
        """Returns the lines of the logs that tell of the jobs and placers."""
        words = (JOB, NEIGHBOUR, SHORT_NEIGHBOUR, " zone_", " late ")
        lines = [
            f"{line[:13]}{name} {line[13:]}"
            for name in (*cluster.processes, "servers")
            for line in cluster.read_log(name).splitlines()
            if any(word in line for word in words)
        ]
        return "\n".join(["", *sorted(lines)])

    async def wait_for_lists(self, cluster):
        """Waits until the placers know all servers of their zone."""
        zones = [server.zone for server in cluster.servers]
        with trio.fail_after(20):
            for zone in set(zones):
                placer = cluster.find_placer(zone)
                while cluster.read_log(placer).count(
                    " E820 zone_server_listed "
                ) < zones.count(zone):
                    await trio.sleep(0.05)

    async def wait_until_settled(self, cluster):
        """Waits until no placer has changed for a while.

        On a busy machine several dispatchers claim a zone at the start. The
        zones learn of each other meanwhile.
        """

        def count_claims():
            logs = map(cluster.read_log, cluster.processes)
            return sum(log.count(" E830 zone_owned ") for log in logs)

        claim_count = 0
        with trio.fail_after(20):
            while claim_count != count_claims():
                claim_count = count_claims()
                await trio.sleep(SETTLING_S)

    async def wait_for_line(self, cluster, name, *words):
        """Waits for a line of a log that contains all of these words."""
        while not any(
            all(word in line for word in words)
            for line in cluster.read_log(name).splitlines()
        ):
            await trio.sleep(0.005)

    async def start_job(self, cluster, name, job, length_s, **kwargs):
        """Sends a job and waits until it runs."""
        self.send_job(cluster, name, job, length_s, **kwargs)
        while job not in cluster.fake_servers.started_jobs:
            await trio.sleep(0.002)

    def send_job(self, cluster, name, job, length_s, **kwargs):
        submit = functools.partial(
            cluster.submit,
            name,
            job,
            length_s=length_s,
            **{"count": 1, **kwargs},
        )
        cluster.nursery.start_soon(submit)

    def find_server(self, cluster, job):
        """Returns the server on which a job runs."""
        (server_id,) = [
            server.id
            for server in cluster.fake_servers.servers.values()
            if any(run.key.job_id == job for run in server.runs.values())
        ]
        return server_id

    def end_runs(self, cluster, job):
        """Ends the runs of a job now."""
        for server in cluster.fake_servers.servers.values():
            for run in server.runs.values():
                if run.key.job_id == job:
                    run.ends_at = clock.now()

    def lose_entry(self, cluster, name):
        """Suspends a dispatcher and resets the connections of its clients."""
        cluster.processes[name].send_signal(signal.SIGSTOP)
        cluster.client_routes[name].reset_connections()

    def cut_off(self, cluster, name):
        """Cuts a dispatcher off from all others."""
        cluster.peer_routes[name].hold(True, False)
        for other in set(cluster.dispatchers) - {name}:
            route = cluster.peer_routes[other]
            port = cluster.ports[name].peer_proxy
            route.hold_diallers(route.held_diallers | {port})

    def reconnect(self, cluster, name):
        """Ends what `cut_off` began."""
        cluster.peer_routes[name].hold()
        for other in set(cluster.dispatchers) - {name}:
            route = cluster.peer_routes[other]
            port = cluster.ports[name].peer_proxy
            route.hold_diallers(route.held_diallers - {port})

    async def send_again(self, cluster, name, lost_at, length_s):
        """Sends the job again and waits until it ran."""
        await trio.sleep_until(lost_at + RETRANSMIT_S)
        await self.wait_for_line(cluster, name, " E820 zone_server_listed ")
        status = await cluster.submit(name, JOB, 1, length_s)
        self.assertEqual(status, 200)

    def test_a_job_that_starts_late_gets_the_lease_of_its_neighbour(self):
        async def scenario(cluster):
            placer = cluster.find_placer("a")
            (entry,) = {"a1", "a2"} - {placer}
            await self.start_job(cluster, placer, NEIGHBOUR, 4.0)
            await self.start_job(cluster, placer, SHORT_NEIGHBOUR, 1.5)
            self.send_job(cluster, entry, JOB, 1.5, is_proxied=True)
            await self.wait_for_line(cluster, placer, " E800 ", JOB)
            self.lose_entry(cluster, entry)
            lost_at = trio.current_time()
            await trio.sleep(0.45)
            self.end_runs(cluster, SHORT_NEIGHBOUR)
            with trio.move_on_at(lost_at + 0.6):
                while JOB not in cluster.fake_servers.started_jobs:
                    await trio.sleep(0.002)
            cluster.processes[placer].kill()
            await self.send_again(cluster, "b1", lost_at, 1.5)

        self.run_scenario(
            scenario, ["a", "b"], {"a1": "a", "a2": "a", "b1": "b"}
        )

    async def lose_entry_and_placer(self, cluster, placer, entry):
        """Loses an entry, then its placer just before it ends the job.

        Returns:
            When the entry was lost.
        """
        self.lose_entry(cluster, entry)
        lost_at = trio.current_time()
        await trio.sleep_until(lost_at + 0.75)
        self.end_runs(cluster, NEIGHBOUR)  # its placer then renews the leases
        await trio.sleep_until(lost_at + 0.85)
        cluster.processes[placer].kill()
        return lost_at

    def test_a_job_whose_other_zone_is_lost_after_it_was_told_of_it(self):
        async def scenario(cluster):
            placer = cluster.find_placer("a")
            (entry,) = {"a1", "a2"} - {placer}
            other_placer = cluster.find_placer("b")
            (successor,) = {"b1", "b2"} - {other_placer}
            self.cut_off(cluster, successor)
            cluster.processes[successor].send_signal(signal.SIGSTOP)
            await self.start_job(cluster, placer, NEIGHBOUR, 4.0)
            await self.start_job(cluster, entry, JOB, 3.0, is_proxied=True)
            await trio.sleep(0.4)  # until zone b has confirmed the notice
            cluster.processes[other_placer].kill()
            cluster.processes[successor].send_signal(signal.SIGCONT)
            lost_at = await self.lose_entry_and_placer(cluster, placer, entry)
            await self.send_again(cluster, successor, lost_at, 3.0)

        self.run_scenario(
            scenario,
            ["a", "b"],
            {"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
        )

    def run_own_zone_lost(self, prepare):
        """Loses zone a but for a server and a dispatcher that knows no jobs.

        Args:
            prepare: Called with the cluster and that dispatcher, while it is
                cut off from all others and from the store.
        """

        async def scenario(cluster):
            placer = cluster.find_placer("a")
            entry, successor = sorted({"a1", "a2", "a3"} - {placer})
            self.cut_off(cluster, successor)
            cluster.turn_away(successor, "silent")
            await prepare(cluster, successor)
            # Three of four places are taken, so the job has a neighbour.
            await self.start_job(cluster, placer, NEIGHBOUR, 4.0, count=3)
            await self.start_job(cluster, entry, JOB, 3.0, is_proxied=True)
            await trio.sleep(0.4)  # until zone b has confirmed the notice
            cluster.processes[successor].send_signal(signal.SIGCONT)
            lost_at = await self.lose_entry_and_placer(cluster, placer, entry)
            cluster.server_routes[self.find_server(cluster, JOB)].hold(
                True, False
            )
            cluster.turn_away(successor, "")
            await self.send_again(cluster, successor, lost_at, 3.0)

        self.run_scenario(
            scenario,
            ["a", "a", "b"],
            {"a1": "a", "a2": "a", "a3": "a", "b1": "b"},
        )

    async def start_before_late_request(self, cluster, send_late):
        """Starts a job just before a request reaches its restarted server.

        Args:
            cluster: A zone of one server and one dispatcher, and maybe others.
            send_late: Called with the cluster and that server; returns when a
                request is sent that the server executes LATE_S later.
        """
        server = cluster.servers[0]
        server_id = server.fake_server.id
        server.next_late_delay_s = lambda: LATE_S
        await self.start_job(cluster, "a1", NEIGHBOUR, 0.8)
        await trio.sleep(0.3)  # until polls renew the lease
        await send_late(cluster, server)
        arrives_at = trio.current_time() + LATE_S
        await trio.sleep(0.2)  # until what got no response is resolved
        await cluster.crash_server(server_id, 0.1)
        await self.wait_for_line(cluster, "a1", " E821 ", server_id)
        await trio.sleep_until(arrives_at - 0.9)
        await self.start_job(cluster, "a1", JOB, 2.2)

    def run_late_request(self, send_late):
        """Loses the zone of that job."""

        async def scenario(cluster):
            await self.start_before_late_request(cluster, send_late)
            cluster.processes["a1"].kill()
            await self.send_again(cluster, "b1", trio.current_time(), 2.2)
            self.check_late_request(cluster)

        self.run_scenario(scenario, ["a", "b"], {"a1": "a", "b1": "b"})

    def run_late_request_cut_off(self, send_late):
        """Cuts the server of that job off."""

        async def scenario(cluster):
            await self.start_before_late_request(cluster, send_late)
            cluster.server_routes["i-0"].hold(True, False)
            await cluster.add_server("i-1", "a")
            while not any(
                exchange.job_id == JOB for exchange in cluster.exchanges
            ):
                await trio.sleep(0.01)
            self.check_late_request(cluster)

        self.run_scenario(scenario, ["a"], {"a1": "a"})

    def check_late_request(self, cluster):
        """Checks that the late request found a run in the new incarnation."""
        lines = cluster.read_log("servers").splitlines()
        (line,) = [line for line in lines if " i-0 late " in line]
        self.assertIn(" runs=1 ", line)

    async def poll_late(self, _, server):
        outcomes = iter(("outliving",))
        server.next_poll_outcome = lambda: next(outcomes, "")
        poll_count = server.polls
        while server.polls == poll_count:
            await trio.sleep(0.002)

    async def start_late(self, cluster, server):
        outcomes = iter(("outliving",))
        server.next_request_outcome = lambda: next(outcomes, "")
        self.send_job(cluster, "a1", SHORT_NEIGHBOUR, 0.1)
        await self.wait_for_line(cluster, "a1", " E812 ", SHORT_NEIGHBOUR)

    def test_a_late_poll_keeps_no_run_of_the_next_incarnation_alive(self):
        self.run_late_request(self.poll_late)

    def test_a_late_start_keeps_no_run_of_the_next_incarnation_alive(self):
        self.run_late_request(self.start_late)

    def test_a_late_poll_keeps_no_run_alive_that_is_cut_off(self):
        self.run_late_request_cut_off(self.poll_late)

    def test_a_late_start_keeps_no_run_alive_that_is_cut_off(self):
        self.run_late_request_cut_off(self.start_late)

    def test_a_restarted_server_that_can_not_answer_starts_no_task_late(self):
        async def scenario(cluster):
            server = cluster.servers[0]
            server.next_late_delay_s = lambda: LATE_S
            outcomes = iter(("outliving", ""))  # of a start and its stop
            server.next_request_outcome = lambda: next(outcomes, "unwell")
            self.send_job(cluster, "a1", JOB, 5.0)
            await self.wait_for_line(cluster, "a1", " E812 ", JOB)
            arrives_at = trio.current_time() + LATE_S
            await cluster.add_server("i-1", "a")
            while JOB not in cluster.fake_servers.started_jobs:
                await trio.sleep(0.002)
            cluster.server_routes["i-0"].hold(False)
            await cluster.crash_server("i-0", 0.1)
            await trio.sleep_until(arrives_at + 0.5)

        self.run_scenario(scenario, ["a"], {"a1": "a"})

    def test_no_task_starts_elsewhere_while_its_cut_off_server_kills_it(self):
        async def scenario(cluster):
            await self.start_job(cluster, "a1", JOB, 7.0)
            await trio.sleep(
                3.6
            )  # until only the connection of its polls is open
            cluster.server_routes["i-0"].hold(True, False)
            await cluster.add_server("i-1", "a")
            while not cluster.servers[1].start_times:
                await trio.sleep(0.002)

        self.run_scenario(scenario, ["a"], {"a1": "a"})

    async def await_both_answers(self, cluster):
        while len(cluster.exchanges) < 2:
            await trio.sleep(0.01)

    def test_a_client_that_returns_to_a_cut_off_zone_unseen_runs_no_task_twice(
        self,
    ):
        async def scenario(cluster):
            cluster.fake_servers.job_length_s[JOB] = 6.0
            await self.start_job(cluster, "a1", JOB, 1.0)
            left_at = trio.current_time() + LEFT_AFTER_S
            self.cut_off(cluster, "b1")
            cluster.turn_away("b1", "silent")
            await trio.sleep_until(left_at + RETRANSMIT_S)
            self.send_job(cluster, "b1", JOB, 1.0)
            await self.await_both_answers(cluster)

        self.run_scenario(
            scenario,
            ["a", "b", "c"],
            {"a1": "a", "b1": "b", "c1": "c"},
            deadline_ms=1500,
        )

    def test_a_client_that_left_unseen_before_its_request_was_read(self):
        async def scenario(cluster):
            (entry,) = {"a1", "a2"} - {cluster.find_placer("a")}
            cluster.fake_servers.job_length_s[JOB] = 3.0
            cluster.processes[entry].send_signal(signal.SIGSTOP)
            sent_at = trio.current_time()
            self.send_job(cluster, entry, JOB, 1.0)
            await trio.sleep_until(sent_at + RETRANSMIT_S - 0.05)
            cluster.processes[entry].send_signal(signal.SIGCONT)
            await trio.sleep_until(sent_at + LEFT_AFTER_S + RETRANSMIT_S)
            self.send_job(cluster, "b1", JOB, 1.0)
            await self.await_both_answers(cluster)

        self.run_scenario(
            scenario,
            ["a", "b"],
            {"a1": "a", "a2": "a", "b1": "b"},
            deadline_ms=1500,
        )

    def test_a_job_whose_own_zone_is_lost_but_for_a_new_dispatcher(self):
        async def restart(cluster, successor):
            cluster.processes[successor].kill()
            cluster.processes[successor].wait()
            cluster.start_process(successor)
            await trio.sleep(2.0)  # until it runs

        self.run_own_zone_lost(restart)

    def test_a_job_whose_own_zone_is_lost_but_for_a_suspended_dispatcher(self):
        async def suspend(cluster, successor):
            cluster.processes[successor].send_signal(signal.SIGSTOP)

        self.run_own_zone_lost(suspend)

    def test_a_dispatcher_that_owned_its_zone_while_cut_off_takes_over_jobs(
        self,
    ):
        # Its polls reach the servers one after the other, the idle one first.
        async def scenario(cluster):
            placer = cluster.find_placer("a")
            (isolated,) = {"a1", "a2"} - {placer}
            epoch = max(s.fake_server.epoch for s in cluster.servers)
            for server in cluster.servers:
                server.is_cut_off_from = lambda token: (
                    token > epoch + EPOCH_DISTANCE
                )
            self.cut_off(cluster, isolated)
            cluster.turn_away(isolated, "silent")
            await self.wait_for_line(cluster, isolated, " E830 zone_owned ")
            await trio.sleep(2.0)  # until it holds no jobs for earlier owners
            await self.start_job(cluster, placer, JOB, 5.0)
            log = cluster.read_log(isolated)
            while cluster.read_log(isolated).count(" E824 ") == log.count(
                " E824 "
            ):
                await trio.sleep(0.005)
            await trio.sleep(0.5)  # until shortly before it polls again
            busy_id = self.find_server(cluster, JOB)
            busy, idle = sorted(
                cluster.servers, key=lambda s: s.fake_server.id != busy_id
            )
            idle.is_cut_off_from = lambda token: False
            self.reconnect(cluster, isolated)
            cluster.turn_away(isolated, "")
            await self.wait_for_line(cluster, isolated, " E825 ")
            await trio.sleep(0.1)
            busy.is_cut_off_from = lambda token: False
            await trio.sleep(2.0)

        self.run_scenario(scenario, ["a", "a"], {"a1": "a", "a2": "a"})


if __name__ == "__main__":
    unittest.main()
