"""Malformed input at every door: a clear error, and nothing else is lost."""

import contextlib
import pathlib
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import trio

from acacialine import codec
from acacialine import directory
from acacialine import dispatchsettings
from acacialine import documents
from acacialine import errors
from acacialine import httppool
from acacialine import messages
from acacialine import orders
from acacialine import peering
from acacialine import placerhost
from acacialine import routes
from acacialine import zonetables
from acacialine.platform import ingress
from acacialine.platform import records
from acacialine.platform import serverclient
from acacialine.platform import store
from acacialine.tests import fuzzing
from acacialine.tests import support
from acacialine.tests import zonebuilders as build

ROOT = pathlib.Path(__file__).parents[2]
JOB_ID = "5c0e7a21d94b36f8"
JOB = {
    "spec": "text",
    "steps": [{"count": 4, "cpu": 500, "memMb": 64, "estimateMs": 90}],
    "bestEffort": True,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "nony24.example",
            "pathPrefix": "/lohu930/",
            "timeoutMs": 1000,
            "targetLatencyMs": 64,
            "priority": 0,
            "service": "desk",
            "maxAttempts": 2,
            "stretch": 1.6,
        }
    ],
    "limits": {"maxBodyBytes": 1000},
}
SERVER = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 1000,
}
POLL = {
    "clockMs": 1000,
    "born": 1,
    "running": [[f"{JOB_ID}.0.1.17", 2, "x", 41, 0]],
    "endedRuns": [[4, f"{JOB_ID}.0.1.9", 1, "done", ""]],
}
ENTRY = {
    "id": f"10.0.0.1-7101-{'a' * 16}",
    "name": "entry-1",
    "zone": "zone-a",
    "address": "10.0.0.1:7101",
    "started": 1.0,
    "claim": 0,
}
NEWEST = {
    "items": [{"key": "i-1", "value": "eyJhIjoxfQ==", "offset": 0}],
    "hasMore": False,
    "endOffset": 4,
}
ZONE_STATE = messages.ZoneState(
    "10.0.0.1-7101-" + "a" * 16, "n", "z", 1.0, 7, True, 1, 4, "", 0, 1.0
)
SUBMIT = placerhost.encode_submission(build.submission())

fuzz = hypothesis.settings(
    max_examples=support.FUZZ_EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ClientsTest(unittest.TestCase):
    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(body=fuzzing.broken_json(JOB))
    def test_bodies(self, body):
        queue = zonetables.Queue("q", "desk", 0, 1, 1.5, 0.1)
        route = routes.Route(queue, "h", "/p/", 1.5)
        try:
            submission = ingress.decode_submission(JOB_ID, body, route, 1.0)
        except (ingress.MalformedError, ingress.UnsupportedError):
            return
        # What is accepted can be sent to a placer, which can handle it.
        message = placerhost.encode_submission(submission)
        decoded = codec.decode(peering.encode_frame(message)[4:]).message
        submission = placerhost.decode_submission(decoded)
        placer = build.placer(build.server(service="desk"))
        placer.submit(submission, "origin", 0.0)
        for now in (0.0, 0.5, 2.0):
            placer.tick(now)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(header=strategies.binary(max_size=9))
    def test_deadlines(self, header):
        route = routes.Route(build.queue(), "h", "/p/", 1.5)
        with contextlib.suppress(ingress.MalformedError):
            left_s = ingress._time_left_s({b"deadline-ms": header}, route)
            self.assertTrue(0 < left_s <= ingress.MAX_DEADLINE_S)


class PeersTest(unittest.TestCase):
    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=strategies.data())
    def test_frames(self, data):
        message = data.draw(strategies.sampled_from((ZONE_STATE, SUBMIT)))
        frame = codec.encode(codec.Frame(0, message))
        frame = fuzzing.broken_bytes(data.draw, frame)
        try:
            decoded = codec.decode(frame).message
            if isinstance(decoded, messages.ZoneState):
                peering.check_heartbeat(decoded, decoded.sender)
            elif isinstance(decoded, messages.SubmitJob):
                self.check_submission(decoded)
        except errors.PeerError:
            pass

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(
        left_s=strategies.floats(),
        age_s=strategies.floats(),
        estimate_s=strategies.floats(),
        stretch=strategies.floats(),
        count=strategies.integers(0, 2**32 - 1),
        cpu=strategies.integers(0, 2**32 - 1),
    )
    def test_numbers_of_submissions(
        self, left_s, age_s, estimate_s, stretch, count, cpu
    ):
        values = {
            a.name: getattr(SUBMIT, a.name) for a in SUBMIT.__attrs_attrs__
        }
        values |= {
            "left_s": left_s,
            "age_s": age_s,
            "estimate_s": estimate_s,
            "stretch": stretch,
            "count": count,
            "cpu": cpu,
        }
        with contextlib.suppress(errors.PeerError):
            self.check_submission(messages.SubmitJob(**values))

    def check_submission(self, message):
        submission = placerhost.decode_submission(message)
        placer = build.placer()
        placer.submit(submission, "origin", 0.0)
        for now in (0.0, 0.5, 2.0):
            placer.tick(now)


class StoreTest(unittest.TestCase):
    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=fuzzing.broken_json(CONFIG))
    def test_configurations(self, data):
        with contextlib.suppress(ValueError):
            config = records.decode_configuration(data)
            config.find_route("nony24.example", "/lohu930/" + JOB_ID)
            for route in config.by_prefix.values():
                submission = ingress.decode_submission(
                    JOB_ID, msgspec.json.encode(JOB), route, 1.0
                )
                peering.encode_frame(placerhost.encode_submission(submission))
                ingress._time_left_s({}, route)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=fuzzing.broken_json(SERVER))
    def test_servers(self, data):
        with contextlib.suppress(ValueError):
            server = records.decode_server("i-1", data, 0.0)
            placer = build.placer(server)
            submission = build.submission(
                queue=build.queue(service=server.service)
            )
            placer.submit(submission, "origin", 0.0)
            placer.tick(0.0)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=fuzzing.broken_json(ENTRY))
    def test_entries(self, data):
        found = directory.Directory()
        with contextlib.suppress(ValueError):
            found.apply(ENTRY["id"], data, 0.0)
        for record in found.records.values():
            self.assertEqual(record.peer_address, ("10.0.0.1", 7101))

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(body=fuzzing.broken_json(NEWEST))
    def test_newest_records(self, body):
        client = store.Store(None, lambda name, outcome: None)

        async def call(*args):
            await trio.lowlevel.checkpoint()
            return body if not calls.append(args) and len(calls) < 3 else b"{}"

        calls = []
        with (
            contextlib.suppress(errors.PlatformError),
            mock.patch.object(store.Store, "_call", call),
        ):
            latest = trio.run(client.read_latest, "keyed.servers")
            for record in latest.records:
                self.assertIsInstance(record.key, str)
                self.assertIsInstance(record.value, bytes)
            self.assertIsInstance(latest.next_offset, int)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=strategies.data())
    def test_pages(self, data):
        page = b"\x00" * 16 + b"\x00\x00\x00\x05\x01kabc" * 2
        with contextlib.suppress(errors.PlatformError):
            store._decode_page(fuzzing.broken_bytes(data.draw, page), 0)


class BackendServersTest(unittest.TestCase):
    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(body=fuzzing.broken_json(POLL))
    def test_poll_responses(self, body):
        try:
            result = serverclient._decode_poll_response(body)
        except ValueError:
            return
        placer = build.placer()
        placer.submit(build.submission(JOB_ID), "origin", 0.0)
        placer.tick(0.0)
        (server,) = placer.tables.servers.values()
        placer.runs.apply_poll(server, result, 0.1, 0.1)
        for now in (0.1, 0.5, 2.0):
            placer.tick(now)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(
        status=strategies.integers(200, 599),
        body=fuzzing.broken_json({"clockMs": 1000, "reason": "fence"}),
    )
    def test_answers_to_orders(self, status, body):
        outcome = serverclient._start_outcome(httppool.Reply(status, body, {}))
        self.assertIsInstance(outcome, orders.StartOutcome)


class SettingsTest(unittest.TestCase):
    def check(self, data, path, read):
        text = (ROOT / path).read_bytes()
        changed = fuzzing.broken_bytes(data.draw, text).decode(errors="replace")
        with contextlib.suppress(errors.FindingsError):
            read(changed, "test")

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=strategies.data())
    def test_dispatcher_settings(self, data):
        self.check(data, "deploy/entry.ini", dispatchsettings.read_settings)

    @fuzz
    @hypothesis.seed(20261204)
    @hypothesis.given(data=strategies.data())
    def test_documents(self, data):
        self.check(data, "examples/baekdu.ini", documents.read_document)


if __name__ == "__main__":
    unittest.main()
