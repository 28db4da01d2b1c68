"""Copies of requests that arrive after their job was answered or cancelled.

Whole dispatchers on a virtual clock: two of zone a, one of which runs its
placer, and the placer of zone b. Their messages are encoded, but delivered
without a network. Their backend servers confirm each start.
"""

import tracemalloc
import unittest
from unittest import mock

import attrs
import msgspec

from acacialine import clock
from acacialine import codec
from acacialine import dispatcher as dispatcher_lib
from acacialine import dispatchsettings
from acacialine import errors
from acacialine import httpserver
from acacialine import jobfates
from acacialine import links
from acacialine import messages
from acacialine import orders
from acacialine import peering
from acacialine import placer as placer_lib
from acacialine import placerhost
from acacialine.platform import ingress
from acacialine.platform import records
from acacialine.tests import zonebuilders as build

JOB = "00000000000000aa"
OLD, NEW = "desk", "annex"
TICK_S = 0.02
CANCEL_S = 3.0  # cancel_ms of the platform, its smallest value
PROBE_AGE_S = 0.3  # of the last confirmation of other zones
SETTINGS = """
[dispatcher]
name = {name}
zone = {zone}
zones = zone-a,zone-b
caller_address = 127.0.0.1:1
ready_address = 127.0.0.1:2
peer_address = 127.0.0.1:{port}
peer_keys = test
[store]
address = 127.0.0.1:1
"""
NAMES = ("a1", "a2", "b1")


def configuration(version, **services):
    """Returns a configuration with the service of each queue."""
    document = {
        "version": version,
        "routes": [
            {
                "name": name,
                "service": service,
                "host": "desk.example",
                "pathPrefix": f"/{name}/",
                "maxAttempts": 2,
                "stretch": 1.6,
                "targetLatencyMs": 10000,
            }
            for name, service in services.items()
        ],
    }
    return records.decode_configuration(msgspec.json.encode(document))


class Exchange:
    """A request of a client, and the answer that it got."""

    max_age_s = 0.0

    def __init__(self, method, path, content, deadline_ms):
        headers = {b"host": b"desk.example", b"deadline-ms": deadline_ms}
        body = msgspec.json.encode(content)
        self.request = httpserver.Request(method, path, headers, body)
        self.on_disconnect = None
        self.status = None
        self.body = b""

    def answer(self, status, body=b"", headers=(), close=False):
        if self.status is None:
            self.status, self.body = status, body

    def is_client_gone(self):
        return False

    def discard_body(self):
        self.request = attrs.evolve(self.request, body=b"")

    @property
    def result(self):
        """The status and the state of the job; None before the answer."""
        if self.status is None:
            return None
        state = msgspec.json.decode(self.body)["state"] if self.body else ""
        return self.status, state


class Host(placerhost.PlacerHost):
    """A placer whose backend servers carry out each order at once.

    They report no runs, and their leases are renewed with each tick.
    """

    def __init__(self, placer, dispatcher):
        super().__init__(placer, 1, dispatcher=dispatcher)
        self.started = []
        self.stopped = []

    def tick(self, now):
        for server in self.placer.tables.servers.values():
            if server.runs:
                server.lease_until = now + 0.5
        super().tick(now)

    def _execute(self, order):
        match order:
            case orders.StartRun(run):
                now = clock.now()
                self.started.append((now, run))
                self.placer.runs.handle_start_result(
                    run, orders.StartOutcome.STARTED, now
                )
            case orders.StopRun(run):
                if run not in self.stopped:  # stops are repeated
                    self.stopped.append(run)
            case _:
                super()._execute(order)


class Outbox:
    """The way from one dispatcher to another, on one link."""

    def __init__(self, network, deliver):
        self._network = network
        self._deliver = deliver

    def post(self, message):
        return self.post_frame(peering.encode_frame(message))

    def post_frame(self, frame):
        if not self._network.is_cut:
            message = codec.decode(frame[links.LENGTH_BYTES :]).message
            self._network.under_way.append(lambda: self._deliver(message))
        return True


class Link:
    """An open link; `accepted` is its other end."""

    is_open = True
    is_refused = False
    heartbeat_at = 0.0

    def __init__(self, network, sender, receiver):
        self._receiver = receiver
        self.address = receiver.settings.dispatcher.advertised_address
        self.peer_id = receiver.my_id
        self.zone = receiver.zone
        reply = Outbox(network, lambda m: sender.hub.on_message(self, m, False))
        self.accepted = peering.AcceptedLink(sender.my_id, reply, 0.0)
        outbox = Outbox(
            network, lambda m: receiver.hub.on_request(self.accepted, m, False)
        )
        self.post, self.post_frame = outbox.post, outbox.post_frame

    @property
    def heartbeat(self):
        return self._receiver._build_zone_state()


class Network:
    """Three dispatchers, their links and a virtual clock.

    Attributes:
        is_cut: Whether messages between dispatchers are lost.
        under_way: Messages that arrive next.
    """

    def __init__(self):
        self.now = 100.0
        self.is_cut = False
        self.under_way = []
        self.dispatchers = {}
        for port, name in enumerate(NAMES, 3):
            text = SETTINGS.format(name=name, zone=f"zone-{name[0]}", port=port)
            settings = dispatchsettings.read_settings(text, "test")
            self.dispatchers[name] = dispatcher_lib.new_dispatcher(settings)
        self.dispatchers["a1"].ownership.epoch = 1
        self.dispatchers["b1"].ownership.epoch = 1
        self.hosts = {name: self.add_placer(name) for name in ("a1", "b1")}
        for sender in self.dispatchers.values():
            for receiver in self.dispatchers.values():
                if sender is not receiver:
                    link = Link(self, sender, receiver)
                    sender.hub.dialled_links[link.address] = link
        self.apply_configuration(configuration(1, work=OLD))
        self.advance(0.1)

    def add_placer(self, name):
        dispatcher = self.dispatchers[name]
        host = placerhost.new_placer_host(dispatcher, 1, None, self.now)
        placer = Host(host.placer, dispatcher)
        servers = [
            build.server(f"{name}-{service}", zone=dispatcher.zone)
            for service in (OLD, NEW)
        ]
        for server, service in zip(servers, (OLD, NEW), strict=True):
            server.service = service
        runs = placer.placer.runs
        runs.apply_servers(servers, self.now)
        for server in placer.placer.tables.servers.values():
            runs.apply_poll(
                server, orders.PollResult(1, 1, (), ()), self.now, self.now
            )
        runs.is_list_current, runs.awaits_list = True, False
        dispatcher.placer_host = placer
        return placer

    def move_placer(self, source, target):
        """Makes another dispatcher of the zone its placer."""
        self.dispatchers[source].placer_host = None
        self.dispatchers[source].ownership.epoch = 0
        self.dispatchers[target].ownership.epoch = 2
        self.hosts[target] = self.add_placer(target)

    def apply_configuration(self, config, *names):
        for name in names or NAMES:
            reader = self.dispatchers[name].store_reader
            reader._apply_configuration(config, "test")

    def advance(self, seconds):
        """Lets some time pass; a message takes less than a tick."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            for dispatcher in self.dispatchers.values():
                dispatcher._tick(self.now)
            while self.under_way:
                taken, self.under_way[:] = list(self.under_way), []
                for deliver in taken:
                    deliver()
            for dispatcher in self.dispatchers.values():
                dispatcher._tick(self.now)

    def send(
        self, name, method, job_id=JOB, queue="work", handled_s=0.1, **step
    ):
        """Sends a request of a client and lets it be handled."""
        step = {"count": 2, "cpu": 7000, "estimateMs": 100} | step
        content = {"spec": "s", "steps": [step], "bestEffort": True}
        exchange = Exchange(method, f"/{queue}/{job_id}", content, b"20000")
        ingress.Ingress(self.dispatchers[name]).handle(exchange)
        self.advance(handled_s)
        return exchange

    def starts_of(self, job_id=JOB):
        """Returns the time and the run of each start of a job."""
        return [
            (at, run)
            for host in self.hosts.values()
            for at, run in host.started
            if run.key.job_id == job_id
        ]

    def stops_of(self, job_id=JOB):
        """Returns the runs of a job that were stopped."""
        return [
            run
            for host in self.hosts.values()
            for run in host.stopped
            if run.key.job_id == job_id
        ]

    def complete(self, name, job_id=JOB):
        """Completes the tasks of a job at a placer."""
        placer = self.hosts[name].placer
        job = placer.tables.jobs[job_id]
        for run in list(job.runs.values()):
            job.runs.pop(run.key.index)
            placer.tables.remove_run(run, self.now)
        for index in range(job.step.count):
            placer.mark_task_done(job, index, self.now)
        self.advance(0.1)


class DispatchersTestCase(unittest.TestCase):
    def setUp(self):
        cls = dispatcher_lib.Dispatcher
        for patcher in (
            mock.patch.object(clock, "now", lambda: self.now()),
            mock.patch.object(cls, "_update_ownership"),
            mock.patch.object(cls, "log"),
        ):
            patcher.start()
            self.addCleanup(patcher.stop)
        self.network = None
        self.network = Network()

    def now(self):
        return self.network.now if self.network else 100.0


class CancelTest(DispatchersTestCase):
    """DELETE at a dispatcher that doesn't hold the job, and late copies."""

    def test_a_job_of_another_dispatcher_is_cancelled(self):
        # Guards against review/2: 410, while the job runs on.
        network = self.network
        for number, name in enumerate(("a1", "a2", "b1")):
            job_id = f"{number:016x}"
            post = network.send("a1", "POST", job_id)
            runs = [run for _, run in network.starts_of(job_id)]
            self.assertEqual(len(runs), 2)
            delete = network.send(name, "DELETE", job_id)
            self.assertEqual(delete.status, 200, name)
            self.assertEqual(network.stops_of(job_id), runs, name)
            self.assertEqual(post.result, (200, "failed"), name)
            for run in runs:
                network.hosts["a1"].placer.tables.remove_run(run, network.now)

    def test_a_job_that_waits_for_capacity_is_cancelled_elsewhere(self):
        network = self.network
        network.send("a1", "POST", "00000000000000bb")
        waiting = network.send("a1", "POST")
        self.assertEqual(network.starts_of(), [])
        self.assertEqual(network.send("b1", "DELETE").status, 200)
        self.assertEqual(waiting.result, (200, "failed"))
        network.complete("a1", "00000000000000bb")
        network.advance(1.0)
        self.assertEqual(network.starts_of(), [])

    def test_a_kept_job_is_cancelled_at_any_dispatcher(self):
        # Its request was answered 504, so no dispatcher has it open.
        network = self.network
        network.send("a1", "POST")
        job = network.hosts["a1"].placer.tables.jobs[JOB]
        network.dispatchers["a1"].intake.requests.clear()
        job.origins.clear()
        job.kept_until = job.orphaned_at = network.now + 2.0
        self.assertEqual(network.send("a1", "DELETE").status, 200)
        self.assertEqual(len(network.stops_of()), 2)

    def test_cancelling_one_copy_ends_the_job_for_all_who_wait(self):
        network = self.network
        first = network.send("a1", "POST")
        second = network.send("a2", "POST")
        self.assertEqual(network.send("a1", "DELETE").status, 200)
        self.assertEqual(len(network.stops_of()), 2)
        self.assertEqual(first.result, (200, "failed"))
        self.assertEqual(second.result, (200, "failed"))

    def test_a_job_that_no_placer_has_is_gone(self):
        self.assertEqual(self.network.send("a2", "DELETE").status, 410)

    def test_the_answer_is_open_while_a_placer_does_not_reply(self):
        # A 410 would say that the job does not exist.
        network = self.network
        network.send("a1", "POST")
        network.is_cut = True
        delete = network.send("b1", "DELETE")
        self.assertIsNone(delete.status)
        network.advance(1.0)
        self.assertEqual(delete.status, 504)

    def test_a_placer_that_takes_over_meanwhile_is_asked_too(self):
        network = self.network
        network.is_cut = True
        delete = network.send("b1", "DELETE")
        network.is_cut = False
        network.move_placer("a1", "a2")
        network.advance(0.1)
        self.assertEqual(delete.status, 410)
        self.assertEqual(
            network.dispatchers["a2"].fate_sharing.fates.get(JOB),
            jobfates.Fate.CANCELLED,
        )

    def test_a_copy_that_is_under_way_starts_nothing(self):
        # The first request was lost with its connection; its retry arrives
        # after the cancellation.
        network = self.network
        network.send("a2", "DELETE")
        for name in NAMES:
            post = network.send(name, "POST")
            self.assertEqual(post.result, (200, "failed"), name)
        self.assertEqual(network.starts_of(), [])

    def test_a_late_copy_of_a_cancelled_job_starts_nothing(self):
        # Guards against review/3: all tasks started again 4 s later.
        network = self.network
        network.send("a1", "POST")
        self.assertEqual(network.send("a1", "DELETE").status, 200)
        cancelled_at = network.now
        network.advance(CANCEL_S + 1.0)
        for name in NAMES:
            post = network.send(name, "POST")
            # Some of its tasks have run, so 503 would be wrong.
            self.assertEqual(post.result, (200, "failed"), name)
        network.advance(1.0)
        late = [at for at, _ in network.starts_of() if at > cancelled_at]
        self.assertEqual(late, [])

    def test_a_successor_knows_a_cancelled_job(self):
        network = self.network
        network.send("a1", "POST")
        network.send("b1", "DELETE")
        network.advance(0.5)
        network.move_placer("a1", "a2")
        network.advance(0.1)
        network.send("a2", "POST")
        self.assertEqual(network.hosts["a2"].started, [])

    def test_a_zone_that_was_not_asked_ends_its_copy(self):
        # a2 and b1 can't reach each other; a1 tells b1.
        network = self.network
        network.send("b1", "POST")
        a2, b1 = network.dispatchers["a2"], network.dispatchers["b1"]
        del a2.hub.dialled_links[b1.settings.dispatcher.advertised_address]
        network.send("a2", "DELETE")
        network.advance(0.5)
        self.assertEqual(len(network.stops_of()), 2)


class LateCopyTest(DispatchersTestCase):
    """Copies of requests that were answered."""

    def test_copies_in_all_zones_get_the_answer_again(self):
        # Guards against review/4: two zones ran the job again 7 s later.
        network = self.network
        network.send("a1", "POST")
        network.complete("a1")
        started = network.starts_of()
        network.advance(7.0)
        copies = [network.send(name, "POST") for name in NAMES]
        network.advance(1.0)
        for copy in copies:
            self.assertEqual(copy.result, (200, "completed"))
        self.assertEqual(network.starts_of(), started)

    def test_copies_of_a_failed_job_get_the_answer_again(self):
        network = self.network
        post = network.send("a1", "POST")
        network.hosts["a1"].placer.give_up_job(JOB, network.now)
        network.advance(0.5)
        self.assertEqual(post.result, (200, "failed"))
        started = network.starts_of()
        copies = [network.send(name, "POST") for name in NAMES]
        for copy in copies:
            self.assertEqual(copy.result, (200, "failed"))
        self.assertEqual(network.starts_of(), started)

    def test_a_stopping_dispatcher_refuses_no_job_that_has_run(self):
        # A 503 would say that none of its tasks ran.
        network = self.network
        network.send("a1", "POST")
        network.complete("a1")
        network.dispatchers["a1"].is_refusing = True
        copy = network.send("a1", "POST")
        self.assertEqual(copy.result, (200, "completed"))
        other = network.send("a1", "POST", "00000000000000bb")
        self.assertEqual(other.status, 503)

    def test_a_successor_answers_copies(self):
        network = self.network
        network.send("b1", "POST")
        network.complete("b1")
        network.advance(0.5)  # b1 tells a1, which tells its candidates
        network.advance(0.5)
        network.move_placer("a1", "a2")
        copy = network.send("a1", "POST")
        self.assertEqual(copy.result, (200, "completed"))
        self.assertEqual(network.hosts["a2"].started, [])

    def test_a_zone_that_was_cut_off_is_told_later(self):
        network = self.network
        network.is_cut = True
        network.send("b1", "POST")
        network.complete("b1")
        network.advance(0.5)
        network.is_cut = False
        a1, b1 = network.dispatchers["a1"], network.dispatchers["b1"]
        address = a1.settings.dispatcher.advertised_address
        link = b1.hub.dialled_links.pop(address)
        network.advance(0.1)
        b1.hub.dialled_links[address] = link
        network.advance(0.1)
        self.assertEqual(
            a1.fate_sharing.fates.get(JOB), jobfates.Fate.COMPLETED
        )

    def test_a_candidate_that_joins_is_told(self):
        network = self.network
        a1, a2 = network.dispatchers["a1"], network.dispatchers["a2"]
        a1.fate_sharing.fates.record(JOB, jobfates.Fate.COMPLETED, network.now)
        (link,) = [
            k for k in a1.hub.dialled_links.values() if k.peer_id == a2.my_id
        ]
        a1._on_link_opened(link)
        network.advance(0.1)
        self.assertEqual(
            a2.fate_sharing.fates.get(JOB), jobfates.Fate.COMPLETED
        )

    def test_a_copy_that_runs_elsewhere_ends_with_the_answer(self):
        # Both zones got the job before either had told the other.
        network = self.network
        network.send("a1", "POST")
        copy = network.send("b1", "POST")
        network.complete("a1")
        network.advance(0.5)
        self.assertEqual(copy.result, (200, "completed"))
        self.assertEqual(len(network.stops_of()), 2)

    def test_a_new_job_causes_no_message_between_zones(self):
        network = self.network
        sent = []
        for link in network.dispatchers["a1"].hub.dialled_links.values():
            link.post = link.post_frame = sent.append
        network.send("a1", "POST")
        self.assertEqual(len(network.starts_of()), 2)
        self.assertEqual(sent, [])

    def test_jobs_that_end_are_told_in_one_message(self):
        network = self.network
        for number in range(1, 5):
            job_id = f"{number:016x}"
            network.send("a1", "POST", job_id)
            network.complete("a1", job_id)
        network.advance(1.0)
        frames = []
        for link in network.dispatchers["a1"].hub.dialled_links.values():
            link.post_frame = frames.append
        for number in range(5, 9):
            job_id = f"{number:016x}"
            network.hosts["a1"].placer.submit(
                build.submission(job_id, queue=build.queue(service=OLD)),
                network.dispatchers["a1"],
                network.now,
            )
            job = network.hosts["a1"].placer.tables.jobs[job_id]
            for index in range(2):
                network.hosts["a1"].placer.mark_task_done(
                    job, index, network.now
                )
        network.advance(1.0)
        self.assertEqual(len(frames), 2)  # to the candidate and to zone b
        for frame in frames:
            message = codec.decode(frame[links.LENGTH_BYTES :]).message
            self.assertEqual(len(message.completed), 4 * 8)


class OpenJobsTest(DispatchersTestCase):
    """Copies of requests whose job still runs in another zone."""

    def lose_zone_a(self):
        """Lets both dispatchers of zone a stand still."""
        network = self.network
        network.is_cut = True
        for name in ("a1", "a2"):
            dispatcher = network.dispatchers.pop(name)
            address = dispatcher.settings.dispatcher.advertised_address
            del network.dispatchers["b1"].hub.dialled_links[address]

    def test_a_copy_joins_the_job_in_the_zone_that_runs_it(self):
        # The client saw its connection break, its first dispatcher did not.
        network = self.network
        network.send("a1", "POST")
        started = network.starts_of()
        network.advance(0.3)
        copy = network.send("b1", "POST")
        network.advance(0.5)
        self.assertEqual(network.starts_of(), started)
        network.complete("a1")
        self.assertEqual(copy.result, (200, "completed"))

    def test_a_job_of_a_lost_zone_waits_for_its_leases(self):
        # Guards against review/1: both dispatchers of a zone stood still within
        # half a second, and another zone started the job beside its runs.
        network = self.network
        network.send("a1", "POST")
        network.advance(0.3)
        self.lose_zone_a()
        lost_at = network.now
        network.advance(0.5)
        copy = network.send("b1", "POST")
        network.advance(6.0)
        started_at = [at for at, _ in network.hosts["b1"].started]
        self.assertEqual(len(started_at), 2)
        lease_s = build.LEASE_TIMES.max_lease_s
        self.assertGreater(min(started_at), lost_at + lease_s)
        network.complete("b1")
        self.assertEqual(copy.result, (200, "completed"))

    def test_a_new_job_does_not_wait_for_a_lost_zone(self):
        network = self.network
        network.send("a1", "POST")
        network.advance(0.3)
        self.lose_zone_a()
        network.send("b1", "POST", "00000000000000bb")
        self.assertEqual(len(network.starts_of("00000000000000bb")), 2)

    def test_a_successor_treats_a_running_job_as_handed_over(self):
        # Guards against entry 21 of KNOWN-RED.txt: the successor did not reach
        # a server that still ran the task, and started it on another one.
        network = self.network
        network.send("a1", "POST")
        network.advance(0.3)
        self.assertIn(JOB, network.dispatchers["a2"].job_sharing.remote_jobs)

    def test_other_zones_confirm_a_running_job(self):
        # Its leases may be renewed past its deadline only if they know of it.
        network = self.network
        network.send("a1", "POST")
        network.advance(0.3)
        job = network.hosts["a1"].placer.tables.jobs[JOB]
        job.deadline_at = network.now - 0.3
        self.assertGreater(
            job.attended_until(network.now), network.now - PROBE_AGE_S
        )
        network.is_cut = True
        cut_at = network.now
        network.advance(0.5)
        self.assertLessEqual(job.attended_until(network.now), cut_at)
        network.advance(2.5)
        self.assertLess(job.known_until, network.now)

    def test_a_new_placer_of_another_zone_confirms_anew(self):
        network = self.network
        network.send("a1", "POST")
        network.advance(0.3)
        notices = network.hosts["a1"].placer.notices
        notices.handle_new_placer()
        job = network.hosts["a1"].placer.tables.jobs[JOB]
        self.assertLess(job.known_until, network.now)
        network.advance(0.2)
        self.assertGreater(job.known_until, network.now)

    def test_a_zone_that_is_cut_off_confirms_nothing(self):
        network = self.network
        network.is_cut = True
        network.send("a1", "POST")
        network.advance(0.3)
        job = network.hosts["a1"].placer.tables.jobs[JOB]
        self.assertLess(job.known_until, network.now)

    def test_a_message_is_dated_before_a_pause_of_its_reader(self):
        # Else leases are renewed for a client that left meanwhile.
        network = self.network
        network.send("a2", "POST")
        paused_at = network.now
        network.now += 0.35
        a1, a2 = network.dispatchers["a1"], network.dispatchers["a2"]
        (link,) = [
            link
            for link in a2.hub.dialled_links.values()
            if link.peer_id == a1.my_id
        ]
        link.post(messages.KeepJob(JOB, False))
        for deliver in network.under_way:
            deliver()
        job = a1.placer_host.placer.tables.jobs[JOB]
        self.assertEqual(job.origins, set())
        self.assertLessEqual(job.attended_until(network.now), paused_at)

    def test_a_job_is_handed_over_after_a_pause_only_if_its_client_waits(self):
        network = self.network
        leaver = network.send("a2", "POST", handled_s=0.0)
        network.send("a2", "POST", "00000000000000bb", handled_s=0.0)
        network.now += 0.3
        network.advance(TICK_S)
        leaver.on_disconnect()
        network.advance(0.2)
        self.assertEqual(network.starts_of(JOB), [])
        self.assertEqual(len(network.starts_of("00000000000000bb")), 2)

    def test_a_submission_does_not_prove_that_other_clients_wait(self):
        network = self.network
        network.is_cut = True  # no zone confirms the job
        placer = network.hosts["a1"].placer
        link = network.dispatchers["a2"].hub.dialled_links
        origin = next(iter(link.values())).accepted.outbox
        for job_id in (JOB, "00000000000000bb"):
            job = build.submission(
                job_id,
                queue=build.queue(service=OLD),
                step=build.step(1),
                left_s=9.0,
            )
            network.hosts["a1"].submit(job, origin)
            network.advance(0.5)
        first, second = placer.tables.jobs.values()
        self.assertLess(first.attended_until(network.now), network.now - 0.9)
        self.assertGreater(
            second.attended_until(network.now), network.now - 0.6
        )

    def test_short_jobs_are_not_announced(self):
        network = self.network
        for number in range(1, 5):
            job_id = f"{number:016x}"
            placer = network.hosts["a1"].placer
            placer.submit(
                build.submission(job_id, queue=build.queue(service=OLD)),
                network.dispatchers["a1"],
                network.now,
            )
            network.advance(0.06)
            network.complete("a1", job_id)
        self.assertEqual(network.dispatchers["b1"].job_sharing.remote_jobs, {})


class NewerConfigurationTest(DispatchersTestCase):
    """Copies and cancellations under a newer configuration."""

    def start_long_job(self):
        """Submits a job of which four tasks wait for the two that run."""
        network = self.network
        network.send("a1", "POST", count=4)
        services = [run.server.service for _, run in network.starts_of()]
        self.assertEqual(services, [OLD, OLD])

    def services_after_a_copy_at(self, name, copies=1):
        network = self.network
        self.start_long_job()
        network.apply_configuration(configuration(2, work=NEW), name)
        for _ in range(copies):
            network.send(name, "POST", count=4)
        placer = network.hosts["a1"].placer
        for _, run in network.starts_of():
            if run.server.service == OLD:
                placer.tables.remove_run(run, network.now)
                placer.tables.jobs[JOB].runs.pop(run.key.index)
                placer.mark_task_done(
                    placer.tables.jobs[JOB], run.key.index, network.now
                )
        network.advance(0.2)
        return [run.server.service for _, run in network.starts_of()]

    def test_waiting_tasks_follow_a_copy_at_the_same_dispatcher(self):
        # Guards against review/5 where the request is still open: tasks that
        # wait started at the service of the older configuration.
        services = self.services_after_a_copy_at("a1")
        self.assertEqual(services, [OLD, OLD, NEW, NEW])

    def test_waiting_tasks_follow_a_copy_at_another_dispatcher(self):
        # Guards against review/5: the retry joined the job at the placer.
        services = self.services_after_a_copy_at("a2", copies=2)
        self.assertEqual(services, [OLD, OLD, NEW, NEW])

    def test_a_copy_under_an_older_configuration_changes_nothing(self):
        network = self.network
        network.apply_configuration(configuration(2, work=NEW), "a1")
        network.send("a1", "POST", count=4)
        network.send("a2", "POST", count=4)
        services = {run.server.service for _, run in network.starts_of()}
        self.assertEqual(services, {NEW})
        job = network.hosts["a1"].placer.tables.jobs[JOB]
        self.assertEqual(job.queue.service, NEW)

    def test_a_job_that_was_refused_meanwhile_does_not_start(self):
        # The refusal is under way to the dispatcher when a copy joins there.
        network = self.network
        placer = network.hosts["a1"].placer
        submission = build.submission(joins_only=True)
        placer.submit(submission, "dispatcher", network.now)
        network.advance(0.2)
        self.assertEqual(network.starts_of(), [])

    def test_a_waiting_job_that_the_new_service_cannot_run_is_refused(self):
        network = self.network
        network.send("a1", "POST", "00000000000000bb")
        first = network.send("a1", "POST")
        network.apply_configuration(configuration(2, work="none"))
        network.send("a1", "POST")
        network.advance(0.2)
        self.assertEqual(first.status, 503)
        self.assertEqual(network.starts_of(), [])

    def test_a_job_whose_route_was_dropped_can_be_cancelled(self):
        # Guards against entry 30 of KNOWN-RED.txt: 404, and the job runs on.
        network = self.network
        for number, name in enumerate(NAMES):
            job_id = f"{number:016x}"
            network.apply_configuration(
                configuration(2 * number + 2, work=OLD, other=OLD)
            )
            post = network.send("a1", "POST", job_id)
            network.apply_configuration(
                configuration(2 * number + 3, other=OLD)
            )
            runs = [run for _, run in network.starts_of(job_id)]
            self.assertEqual(len(runs), 2)
            self.assertEqual(network.send(name, "DELETE", job_id).status, 200)
            self.assertEqual(network.stops_of(job_id), runs)
            self.assertEqual(post.result, (200, "failed"))
            self.assertEqual(network.send(name, "POST", job_id).status, 404)
            for run in runs:
                network.hosts["a1"].placer.tables.remove_run(run, network.now)

    def test_other_requests_of_a_dropped_route_are_not_found(self):
        network = self.network
        network.apply_configuration(configuration(2, other=OLD))
        for method in ("POST", "GET", "DELETE"):
            self.assertEqual(network.send("a1", method).status, 404, method)
        delete = network.send("a1", "DELETE", queue="never")
        self.assertEqual(delete.status, 404)

    def test_routes_that_return_are_dropped_no_more(self):
        first = configuration(1, work=OLD, other=OLD)
        second = configuration(2, other=OLD).after(first)
        self.assertIsNotNone(
            second.find_dropped_route("desk.example", f"/work/{JOB}")
        )
        third = configuration(3, work=NEW).after(second)
        self.assertIsNone(
            third.find_dropped_route("desk.example", f"/work/{JOB}")
        )
        self.assertIsNotNone(
            third.find_dropped_route("desk.example", f"/other/{JOB}")
        )


class JobFatesTest(unittest.TestCase):
    """The table of fates and their messages."""

    def test_fates_are_kept_for_a_limited_time(self):
        fates = jobfates.JobFates()
        fates.record(JOB, jobfates.Fate.COMPLETED, 0.0)
        fates.drop_expired(jobfates.RETENTION_S)
        self.assertIs(fates.get(JOB), jobfates.Fate.COMPLETED)
        fates.drop_expired(jobfates.RETENTION_S + jobfates.GENERATION_S)
        self.assertIsNone(fates.get(JOB))
        self.assertEqual(len(fates), 0)

    def test_a_completion_replaces_a_cancellation_but_not_the_reverse(self):
        for first, second, expected in (
            ("CANCELLED", "COMPLETED", "COMPLETED"),
            ("COMPLETED", "CANCELLED", "COMPLETED"),
            ("FAILED", "CANCELLED", "FAILED"),
            ("CANCELLED", "FAILED", "CANCELLED"),
        ):
            fates = jobfates.JobFates()
            fates.record(JOB, jobfates.Fate[first], 0.0)
            fates.record(JOB, jobfates.Fate[second], 20.0)
            self.assertIs(fates.get(JOB), jobfates.Fate[expected])

    def test_the_table_is_bounded_in_number_and_memory(self):
        # 6,500 jobs a second in all zones; a process has 128 MB for all.
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        fates = jobfates.JobFates()
        for number in range(2 * jobfates.MAX_FATES):
            fates.record(
                f"{number:016x}", jobfates.Fate.COMPLETED, number / 6500, True
            )
        self.assertLessEqual(len(fates), jobfates.MAX_FATES)
        self.assertLess(tracemalloc.get_traced_memory()[0], 64 << 20)
        newest = f"{2 * jobfates.MAX_FATES - 1:016x}"
        self.assertIsNotNone(fates.get(newest))

    def test_fates_are_kept_for_their_time_at_the_planned_rate(self):
        fates = jobfates.JobFates()
        rate = 6500
        seconds = int(jobfates.RETENTION_S)
        for number in range(rate * seconds):
            fates.record(
                f"{number:016x}", jobfates.Fate.COMPLETED, number / rate
            )
        self.assertIsNotNone(fates.get(f"{0:016x}"))

    def test_messages_hold_eight_bytes_for_each_job(self):
        fates = {
            number.to_bytes(8, "big"): list(jobfates.Fate)[number % 3]
            for number in range(1, 10_001)
        }
        built = jobfates.new_messages(fates, False)
        self.assertEqual(len(built), 3)
        decoded = {}
        for message in built:
            data = codec.encode(codec.Frame(0, message))
            self.assertLess(len(data), 4096 * 9)
            decoded |= jobfates.decode_message(codec.decode(data).message)
        self.assertEqual(decoded, fates)

    def test_malformed_messages_are_rejected(self):
        message = messages.EndedJobs(b"1234567", b"", b"", False)
        with self.assertRaises(errors.PeerError):
            jobfates.decode_message(message)

    def test_ids_that_are_not_hexadecimal_are_not_kept(self):
        fates = jobfates.JobFates()
        for job_id in ("", "aa", "z" * 16, "a " * 8, "ab" * 8 + "0"):
            fates.record(job_id, jobfates.Fate.COMPLETED, 0.0)
            self.assertIsNone(fates.get(job_id))
        self.assertEqual(len(fates), 0)

    def test_a_placer_answers_a_job_that_it_is_handed_after_its_end(self):
        # The placer of the job was lost with its answer under way.
        placer = build.placer()
        placer.apply_fates(
            {jobfates.encode_key(JOB): jobfates.Fate.COMPLETED}, 0.0
        )
        placer.submit(build.submission(handovers=1), "dispatcher", 0.1)
        placer.tick(0.1)
        new_orders = placer.take_orders()
        self.assertEqual(build.starts(new_orders), [])
        (answer,) = build.answers(new_orders)
        self.assertEqual(answer.verdict.value, "completed")

    def test_a_job_that_was_refused_may_come_again(self):
        placer = placer_lib.new_placer("zone-a", 0.3, 0.0)
        for now in (0.0, 1.0):
            placer.submit(build.submission(), "dispatcher", now)
            (answer,) = build.answers(placer.take_orders())
            self.assertEqual(answer.reason, "unservable")
        self.assertEqual(len(placer.tables.fates), 0)


if __name__ == "__main__":
    unittest.main()
