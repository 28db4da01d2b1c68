"""Links between dispatchers: framing, silence, heartbeats that lie."""

import contextlib
import functools
import unittest
from unittest import mock

import attrs
import trio

from acacialine import clock
from acacialine import codec
from acacialine import errors
from acacialine import ids
from acacialine import links
from acacialine import messages
from acacialine import peering
from acacialine import placerhost
from acacialine.tests import support
from acacialine.tests import zonebuilders as build

KEY = ("key",)


def new_state(sender, **changes):
    state = messages.ZoneState(
        sender, "n", "zone-a", 1.0, 0, True, 1, 4, "", 0, 1.0
    )
    return attrs.evolve(state, **changes)


class Node:
    """One side of a link, with its hub and what the hub reported."""

    def __init__(self, port):
        self.incarnation = ids.new_incarnation("127.0.0.1", port)
        self.state = new_state(str(self.incarnation))
        self.requests = []
        self.replies = []
        self.suspected = []
        self.closed = []
        self.rejected = []
        self.errors = []
        self.sessions = []
        self.fail_on = None
        self.hub = peering.Hub(
            links.Identity(self.incarnation, KEY),
            lambda: self.state,
            self._on_message,
            self._on_request,
            self.suspected.append,
            self.closed.append,
            lambda link: None,
            lambda link, reason: self.closed.append(reason),
            lambda link: None,
            self.rejected.append,
            lambda operation, error: self.errors.append(operation),
        )

    def _on_message(self, link, message, is_repeated):
        self.replies.append((message, is_repeated))

    def _on_request(self, session, message, is_repeated):
        if isinstance(message, self.fail_on or ()):
            raise KeyError("unexpected")
        self.sessions.append(session)
        self.requests.append((message, is_repeated))


class PeeringTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def main():
            (port,) = support.reserve_ports(1)
            acceptor, dialler = Node(port), Node(port + 1)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(
                    port, host="127.0.0.1"
                )
                serve = functools.partial(
                    trio.serve_listeners, acceptor.hub.serve, listeners
                )
                nursery.start_soon(serve)
                nursery.start_soon(acceptor.hub.run_silence_checks)
                dialler.hub.dial(("127.0.0.1", port), "zone-a", 0.05, nursery)
                (link,) = dialler.hub.dialled_links.values()
                with trio.fail_after(5):
                    while not link.is_open:
                        await trio.sleep(0.01)
                await scenario(acceptor, dialler, link)
                nursery.cancel_scope.cancel()

        support.run(main, seconds=20)

    async def wait_for(self, condition):
        with trio.fail_after(5):
            while not condition():
                await trio.sleep(0.01)

    def test_equal_heartbeats_are_marked_as_repeated(self):
        async def scenario(acceptor, dialler, link):
            await self.wait_for(lambda: len(acceptor.requests) > 3)
            self.assertFalse(acceptor.requests[0][1])
            self.assertTrue(acceptor.requests[-1][1])
            acceptor.state = new_state(str(acceptor.incarnation), claim=7)
            acceptor.hub.announce()
            await self.wait_for(lambda: link.heartbeat.claim == 7)
            changed = [r for m, r in dialler.replies if m.claim == 7]
            self.assertFalse(changed[0])

        self.run_scenario(scenario)

    def test_messages_in_both_directions_arrive_in_order(self):
        async def scenario(acceptor, dialler, link):
            jobs = [messages.KeepJob(f"{n:016x}", False) for n in range(500)]
            for job in jobs:
                self.assertTrue(link.post(job))
            verdict = messages.JobVerdict("a", "completed", "x" * 3000, 0.0)
            await self.wait_for(lambda: acceptor.sessions)
            outbox = acceptor.sessions[0].outbox
            for _ in range(1500):  # more than the socket takes at once
                self.assertTrue(outbox.post(verdict))
            await self.wait_for(
                lambda: [m for m, _ in acceptor.requests if m in jobs] == jobs
            )
            await self.wait_for(
                lambda: (
                    len([m for m, _ in dialler.replies if m == verdict]) == 1500
                )
            )

        self.run_scenario(scenario)

    def test_a_link_that_becomes_more_important_stays_open(self):
        # It was taken for silent, as its last reply was older than the limit of
        # the shorter interval: a restarted entry then took the zone from the
        # placer that it no longer heard (KNOWN-RED 41).
        async def scenario(acceptor, dialler, link):
            link.set_heartbeat_interval(0.8)
            await trio.sleep(0.1)  # the next heartbeat is due in 0.7 s
            link.set_heartbeat_interval(0.15)
            await trio.sleep(1.0)
            self.assertEqual(dialler.closed, [])

        self.run_scenario(scenario)

    def test_a_heartbeat_waits_after_a_pause(self):
        # It made placers renew the leases of clients that had left meanwhile,
        # before their end was read.
        async def report_after_reading(link):
            await trio.sleep(0.08)  # due while the process is paused
            await trio.sleep(0.02)
            link.post(messages.CancelJob("a", "caller left"))

        async def scenario(acceptor, dialler, link):
            await self.wait_for(lambda: len(acceptor.requests) > 3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(report_after_reading, link)
                await trio.sleep(0.01)
                acceptor.requests.clear()
                until = clock.now() + 0.2
                while clock.now() < until:
                    pass
                await self.wait_for(lambda: len(acceptor.requests) > 1)
            cancel = messages.CancelJob("a", "caller left")
            self.assertEqual(acceptor.requests[0][0], cancel)

        self.run_scenario(scenario)

    def test_a_heartbeat_that_is_held_up_is_dated_by_its_sender(self):
        async def scenario(acceptor, dialler, link):
            frame = dialler.hub.heartbeat_frame()
            ages = []
            acceptor.hub.on_request = lambda session, message, is_repeated: (
                ages.append(session.heard_at - session.sent_at)
            )
            link.post(placerhost.encode_submission(build.submission()))
            await trio.sleep(0.4)
            link.post_frame(frame)
            await self.wait_for(lambda: max(ages, default=0.0) > 0.3)
            self.assertLess(min(ages), 0.3)
            self.assertGreater(min(ages), -0.1)  # all are dated

        self.run_scenario(scenario)

    def test_messages_after_a_handshake_that_was_held_up_are_dated_closely(
        self,
    ):
        dial = links.dial
        delays_s = iter((0.5,))

        async def dial_slowly(identity, address):
            dialled = await dial(identity, address)
            await trio.sleep(next(delays_s, 0.0))
            return dialled

        async def scenario(acceptor, dialler, link):
            session = acceptor.sessions[-1]
            self.assertLess(session.heard_at - session.sent_at, 0.2)

        with mock.patch.object(links, "dial", dial_slowly):
            self.run_scenario(scenario)

    def test_a_heartbeat_of_another_sender_ends_the_link(self):
        async def scenario(acceptor, dialler, link):
            dialler.state = new_state("10.9.9.9-1-" + "c" * 16)
            await self.wait_for(lambda: acceptor.rejected)
            self.assertIn("10.9.9.9", acceptor.rejected[0])
            self.assertNotIn(dialler.state, [m for m, _ in acceptor.requests])

        self.run_scenario(scenario)

    def test_a_malformed_placer_id_ends_the_link(self):
        async def scenario(acceptor, dialler, link):
            acceptor.state = new_state(
                str(acceptor.incarnation), placer_id="nobody"
            )
            await self.wait_for(lambda: dialler.closed)
            self.assertIn("nobody", dialler.closed[0])

        self.run_scenario(scenario)

    def test_an_unexpected_error_ends_its_link_only(self):
        async def scenario(acceptor, dialler, link):
            acceptor.fail_on = messages.KeepJob
            link.post(messages.KeepJob("a", False))
            await self.wait_for(lambda: acceptor.errors)
            count = len(acceptor.requests)
            # The peer connects again and is served.
            await self.wait_for(lambda: len(acceptor.requests) > count)

        self.run_scenario(scenario)

    def test_a_silent_peer_is_noticed(self):
        async def scenario(acceptor, dialler, link):
            await self.wait_for(lambda: len(acceptor.requests) > 2)
            link.heartbeat_interval_s = 60.0
            await self.wait_for(lambda: acceptor.closed)
            (session,) = acceptor.closed
            self.assertTrue(session.is_silent)

        self.run_scenario(scenario)

    def test_a_link_that_carries_jobs_has_frequent_heartbeats(self):
        # Its silence must be noticed before a client sends its job again.
        async def scenario(acceptor, dialler, link):
            link.heartbeat_interval_s = 60.0
            await trio.sleep(0.1)
            count = len(acceptor.requests)
            link.post(placerhost.encode_submission(build.submission()))
            await self.wait_for(lambda: len(acceptor.requests) >= count + 2)
            await trio.sleep(2 * peering.SLOW_HEARTBEAT_INTERVAL_S + 0.3)
            self.assertGreaterEqual(len(acceptor.requests), count + 4)
            (session,) = set(acceptor.sessions)
            now = session.heard_at
            self.assertFalse(session.update_suspicion(now + 0.55))
            self.assertTrue(session.update_suspicion(now + 0.65))
            self.assertTrue(session.is_suspect)
            self.assertFalse(session.update_suspicion(now + 0.8))
            self.assertFalse(session.has_failed(now + 0.95))
            self.assertTrue(session.has_failed(now + 1.05))
            # The next message ends the suspicion.
            await self.wait_for(lambda: acceptor.suspected)
            self.assertFalse(session.is_suspect)

        self.run_scenario(scenario)

    def test_after_a_pause_of_this_process_no_peer_is_suspect(self):
        node = Node(1)
        session = peering.AcceptedLink("p1", mock.Mock(), heard_at=0.0)
        session.record_job(0.0)
        node.hub._sessions.add(session)
        times = [0.0, 0.15, 0.95]

        async def sleep(seconds):
            if len(times) == 1:
                raise LookupError  # ends the checks
            times.pop(0)

        with (
            mock.patch.object(peering.clock, "now", lambda: times[0]),
            mock.patch.object(peering.trio, "sleep", sleep),
            self.assertRaises(LookupError),
        ):
            trio.run(node.hub.run_silence_checks)
        self.assertEqual(node.suspected, [])

    def test_malformed_frames_end_the_link(self):
        async def scenario(acceptor, dialler, link):
            for frame in (b"\x00\x00\x00\x02zz", b"\xff\xff\xff\xff"):
                acceptor.rejected.clear()
                await self.wait_for(lambda: link.is_open)
                link.post_frame(frame)
                await self.wait_for(lambda: acceptor.rejected)

        self.run_scenario(scenario)


class FramesTest(unittest.TestCase):
    def test_frames_may_be_split_anywhere(self):
        state = new_state("10.0.0.1-1-" + "a" * 16)
        frame = peering.encode_frame(state)
        for size in range(1, 2 * len(frame)):
            link = peering.LinkSocket(mock.Mock(), b"")
            found = []
            data = frame * 3
            for start in range(0, len(data), size):
                link._received += data[start : start + size]
                found += link._take_frames()
            self.assertEqual(found, [frame[links.LENGTH_BYTES :]] * 3)

    def test_truncated_packed_frames_raise(self):
        frame = codec.encode(codec.Frame(0, new_state("x")))
        for end in range(len(frame)):
            with contextlib.suppress(errors.PeerError):
                codec.decode(frame[:end])


if __name__ == "__main__":
    unittest.main()
