"""Scheduling of the polls of backend servers."""

import types
import unittest
from unittest import mock

from acacialine import clock
from acacialine import doubtfulruns
from acacialine import orders
from acacialine import placerhost
from acacialine.tests import zonebuilders as build

UNKNOWN = orders.StartOutcome.UNKNOWN


class FakeClient:
    """A client of a backend server that records its polls."""

    def __init__(self, server, *args):
        self.server = server
        self.address = server.address
        self.lease_s = 1.0
        self.polls = []
        self.listings = []
        self.is_closed = False

    def poll(self, wait_s):
        self.polls.append(wait_s)

    def list_runs(self, sent_at):
        self.listings.append(sent_at)

    def close(self):
        self.is_closed = True


class PlacerHostTest(unittest.TestCase):
    def setUp(self):
        placement = types.SimpleNamespace(lease_ms=1000, look_wait_ms=400)
        dispatcher = mock.Mock()
        dispatcher.settings = types.SimpleNamespace(placement=placement)
        dispatcher.store_reader.is_store_down = False
        self.placer = build.placer()
        (self.server,) = self.placer.tables.servers.values()
        self.host = placerhost.PlacerHost(
            self.placer, 7, dispatcher=dispatcher, nursery=None
        )
        patcher = mock.patch.object(
            placerhost.serverclient, "ServerClient", FakeClient
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.poller = self.host._add_poller(self.server)

    def test_an_idle_server_is_polled_only_to_acknowledge_its_ends(self):
        self.host._poll_if_due(self.poller, 1.0)
        self.assertEqual(self.poller.client.polls, [])
        self.server.must_acknowledge = True
        self.host._poll_if_due(self.poller, 1.0)
        self.host.tick(1.1)
        self.assertEqual(self.poller.client.polls, [])
        self.host.tick(1.0 + placerhost.ACKNOWLEDGE_POLL_DELAY_S)
        self.assertEqual(self.poller.client.polls, [0.0])

    def test_a_poll_scheduled_for_a_removed_client_is_not_sent(self):
        # Incident inc-7fb9: it was sent on the closed client, and its failure
        # counted against the new client of the server.
        self.server.must_acknowledge = True
        self.host._poll_if_due(self.poller, 1.0)
        self.host._remove_poller(self.server.id)
        successor = self.host._add_poller(self.server)
        self.host.tick(9.0)
        self.assertTrue(self.poller.client.is_closed)
        self.assertEqual(self.poller.client.polls, [])
        self.assertEqual(successor.client.polls, [])

    def test_the_first_list_after_a_takeover_has_unknown_runs(self):
        reader = self.host._dispatcher.store_reader
        reader.removal_delay_s = 2.4
        reader.server_removed_at = 5.0
        self.host.record_list_read(5.0)
        self.assertGreater(self.placer.runs.unknown_before, 8.4)

    def test_a_late_first_answer_after_a_takeover_counts_as_such(self):
        self.placer.runs.is_obeyed = False
        self.placer.owned_since = -5.0
        self.assertFalse(self.host.knows_jobs())
        reader = self.host._dispatcher.store_reader
        reader.removal_delay_s, reader.server_removed_at = 2.4, -9.0
        self.host.record_list_read(4.0)
        self.assertEqual(self.placer.obeyed_since, 0.0)
        result = orders.PollResult(1, 1000, (), ())
        handle = self.host._dispatcher.zone_handover.record_first_answer
        with mock.patch.object(clock, "now", lambda: 5.0):
            self.host.handle_poll_result(self.server, result, 5.0)
        self.assertEqual(self.placer.obeyed_since, 5.0)
        with mock.patch.object(clock, "now", lambda: 6.0):
            self.host.handle_poll_result(self.server, result, 6.0)
        self.assertEqual(self.placer.obeyed_since, 5.0)
        handle.assert_called_once_with(self.placer, 5.0)
        self.assertTrue(self.host.knows_jobs())

    def test_a_server_lost_from_the_list_after_a_takeover_has_unknown_runs(
        self,
    ):
        # Suspected in hunt ab7c9c96: the successor of a stopped placer started
        # a task beside the run on a server whose record had lapsed.
        reader = self.host._dispatcher.store_reader
        reader.removal_delay_s = 2.4
        reader.first_listed_at = -9.0
        for removed_at in (-9.0, 0.3):
            reader.server_removed_at = removed_at
            self.host.record_list_read(0.4)
        self.assertGreater(self.placer.runs.unknown_before, 0.3)

    def test_after_a_pause_a_server_is_polled_again_without_a_delay(self):
        self.host._poll_if_due(self.poller, 1.0)  # nothing to poll
        with mock.patch.object(placerhost.clock, "now", return_value=1.0):
            self.server.runs_listed = False
            self.host._poll_if_due(self.poller, 1.0)
        with mock.patch.object(placerhost.clock, "now", return_value=2.0):
            self.host.resume_after_pause(1.0)
            # The response to the poll of 1.0 shows nothing.
            self.host.handle_poll_end(self.server, None)
        self.assertEqual(self.poller.client.polls, [0.0, 0.0])

    def test_after_a_pause_the_poll_that_renews_a_lease_waits(self):
        placer = self.placer
        placer.submit(build.submission(), "dispatcher", 1.0)
        placer.tick(1.0)
        placer.handle_process_pause(2.0)
        placer.tables.servers["i-2"] = build.server("i-2")  # gives no answer
        self.server.runs_listed = True
        self.host._poll_if_due(self.poller, 2.01)
        self.assertEqual(self.poller.client.polls, [])
        self.host._poll_if_due(self.poller, 2.11)
        self.assertEqual(self.poller.client.polls, [0.4])

    def test_one_poll_is_in_flight_at_a_time(self):
        self.server.runs_listed = False
        for _ in range(3):
            self.host._poll_if_due(self.poller, 1.0)
        self.assertEqual(self.poller.client.polls, [0.0])

    def lose_start(self):
        """Starts a run that gets no response; returns it."""
        self.placer.submit(
            build.submission(step=build.step(1)), "dispatcher", 1.0
        )
        self.placer.tick(1.0)
        (run,) = build.starts(self.placer.take_orders())
        self.server.lease_until = run.not_after = 9.0
        self.poller.in_flight = True
        self.handle(1.02, self.host.handle_start_outcome, run, UNKNOWN)
        return run

    def handle(self, now, handler, *args):
        with mock.patch.object(placerhost.clock, "now", return_value=now):
            handler(*args)

    def test_a_listing_follows_a_confirmed_stop_at_once(self):
        run = self.lose_start()
        self.assertEqual(self.poller.client.listings, [])
        self.handle(1.021, self.host.handle_stop_outcome, run, True)
        self.assertEqual(self.poller.client.listings, [1.021])
        result = orders.PollResult(1, 2000, (), ())
        self.handle(
            1.022, self.host.handle_poll_result, self.server, result, 1.021
        )
        self.handle(
            1.022, self.host.handle_listing_end, self.server, 1.021, None
        )
        self.assertEqual(self.server.used.cpu, 0)
        self.assertTrue(self.poller.in_flight)  # the long poll goes on
        self.assertEqual(self.poller.client.listings, [1.021])

    def test_a_restarted_server_is_listed_and_polled_at_once(self):
        self.poller.in_flight = True
        self.poller.retry_s = placerhost.POLL_RETRY_MAX_S
        result = orders.PollResult(2, 10, (), ())
        self.handle(
            1.0, self.host.handle_poll_result, self.server, result, 0.99
        )
        self.assertEqual(self.poller.client.listings, [1.0])
        error = placerhost.serverclient.OutdatedError("it has restarted")
        self.handle(1.001, self.host.handle_poll_end, self.server, error)
        self.assertEqual(self.poller.client.polls, [0.0])
        self.assertFalse(self.server.is_put_aside)

    def test_an_idle_server_is_polled_while_it_may_start_a_run_late(self):
        run = self.lose_start()
        self.placer.tables.remove_run(run, 1.1)
        self.server.late_starts[run.id] = run
        for now in (2.0, 1.0 + doubtfulruns.MAX_ORDER_DELAY_S):
            self.poller.in_flight = False
            self.host._poll_if_due(self.poller, now)
        self.assertEqual(len(self.poller.client.polls), 1)

    def test_a_listing_without_a_response_is_repeated_a_few_times(self):
        run = self.lose_start()
        self.handle(1.021, self.host.handle_stop_outcome, run, True)
        error = placerhost.serverclient.UnansweredError("no response in time")
        now = 1.021
        for _ in range(9):
            self.handle(
                now + 0.02,
                self.host.handle_listing_end,
                self.server,
                now,
                error,
            )
            now += 0.02
        self.assertEqual(
            len(self.poller.client.listings), placerhost.QUICK_LISTINGS
        )

    def test_a_lost_poll_of_a_server_that_is_well_is_repeated_at_once(self):
        self.server.runs_listed = False
        self.host._poll_if_due(self.poller, 1.0)
        self.server.heard_at = 1.1
        error = placerhost.serverclient.UnansweredError("no response in time")
        self.handle(1.5, self.host.handle_poll_end, self.server, error)
        self.assertEqual(self.poller.client.polls, [0.0, 0.0])
        self.assertEqual(self.poller.client.listings, [])
        self.assertIsNone(self.server.unresponsive_since)

    def test_a_server_that_looks_silent_is_probed_at_once(self):
        self.server.runs_listed = False
        self.host._poll_if_due(self.poller, 1.0)
        error = placerhost.serverclient.UnansweredError("no response in time")
        self.handle(1.5, self.host.handle_poll_end, self.server, error)
        self.assertEqual(self.poller.client.polls, [0.0])
        self.assertEqual(self.poller.client.listings, [1.5])
        self.assertTrue(self.server.is_put_aside)


if __name__ == "__main__":
    unittest.main()
