"""Tests configuration updates under conflicts, outages and lost responses."""

import unittest

import msgspec
import trio

from acacialine import configlog
from acacialine import configreader
from acacialine import errors
from acacialine import messages
from acacialine import operators
from acacialine import platforms
from acacialine import publisher
from acacialine.tests import support
from acacialine.tools import layout as layout_lib

APPLY_TIMEOUT_S = 7.0


def encoded_change(change_id: str, base: int, **service) -> str:
    text = support.document_text(**service)
    change = configlog.Change(change_id, "alpha", base, text)
    return configlog.encode_record(configlog.Record(change=change))


class ConfigFoldTest(unittest.TestCase):
    def setUp(self):
        self.configuration = configlog.Configuration()

    def test_first_change_to_a_version_wins(self):
        self.assertTrue(self.configuration.apply(1, encoded_change("a", 0)))
        self.assertTrue(
            self.configuration.apply(2, encoded_change("b", 1, weight=2))
        )
        self.assertFalse(
            self.configuration.apply(3, encoded_change("c", 1, weight=3))
        )
        self.assertEqual(self.configuration.documents["alpha"].weight, 2)
        self.assertIn("change b", self.configuration.rejection_of("c").reason)

    def test_lower_offsets_are_ignored(self):
        self.configuration.apply(5, encoded_change("a", 0))
        self.assertFalse(
            self.configuration.apply(4, encoded_change("b", 5, weight=2))
        )
        self.assertEqual(self.configuration.offset, 5)
        self.assertEqual(self.configuration.documents["alpha"].weight, 1)

    def test_duplicate_change_has_no_effect(self):
        self.configuration.apply(1, encoded_change("a", 0))
        self.assertFalse(self.configuration.apply(2, encoded_change("a", 0)))
        self.assertIsNone(self.configuration.rejection_of("a"))

    def test_invalid_document_is_rejected(self):
        change = configlog.Change("x", "alpha", 0, "[service]\n")
        text = configlog.encode_record(configlog.Record(change=change))
        self.assertFalse(self.configuration.apply(1, text))
        self.assertIn("invalid", self.configuration.rejection_of("x").reason)

    def test_adopting_a_snapshot_gives_the_same_configuration(self):
        self.configuration.apply(1, encoded_change("a", 0))
        self.configuration.apply(2, encoded_change("b", 1, weight=2))
        data = msgspec.json.encode(self.configuration.snapshot())
        other = configlog.Configuration()
        self.assertTrue(
            other.adopt(msgspec.json.decode(data, type=configlog.Snapshot))
        )
        self.assertEqual(other.documents, self.configuration.documents)
        self.assertFalse(other.apply(2, encoded_change("z", 0, weight=9)))
        for configuration in (self.configuration, other):
            configuration.apply(3, encoded_change("c", 2, weight=3))
        self.assertEqual(other.documents, self.configuration.documents)

    def test_an_older_snapshot_is_not_adopted(self):
        self.configuration.apply(1, encoded_change("a", 0))
        old = self.configuration.snapshot()
        self.configuration.apply(2, encoded_change("b", 1, weight=2))
        self.assertFalse(self.configuration.adopt(old))
        self.assertEqual(self.configuration.documents["alpha"].weight, 2)

    def test_malformed_record_is_ignored(self):
        self.assertFalse(self.configuration.apply(1, "{garbage"))
        self.assertTrue(self.configuration.apply(2, encoded_change("a", 0)))


class PagedPlatform(platforms.Platform):
    """A log whose reads return one record each, without a network."""

    def __init__(self, first: int, texts: list[str]):
        self.first = first
        self.texts = texts

    async def append(self, stream, text):
        raise NotImplementedError

    async def list_vms(self):
        raise NotImplementedError

    async def read(self, stream, start, wait_ms):
        await trio.sleep(0)
        start = max(start, self.first)
        end = self.first + len(self.texts)
        texts = self.texts[start - self.first :][:1]
        records = [platforms.LogRecord(start, text) for text in texts]
        return platforms.LogPage(records, self.first, end)


class DroppedRecordsTest(unittest.TestCase):
    """Reads of a log that has dropped its first records."""

    def setUp(self):
        configuration = configlog.Configuration()
        texts = [encoded_change("a", 0), encoded_change("b", 1, weight=2)]
        for offset, text in enumerate(texts, 1):
            configuration.apply(offset, text)
        record = configlog.Record(snapshot=configuration.snapshot())
        self.snapshot = configlog.encode_record(record)
        self.next_change = encoded_change("c", 2, weight=3)

    def read_once(self, platform, times):
        core = support.new_core()
        core.tables.configuration = configlog.Configuration()
        settings = core.tables.settings.platform
        reader = configreader.ConfigReader(core, platform, settings)

        async def main():
            for _ in range(times):
                await reader._read_once()

        trio.run(main)
        return core.tables.configuration

    def read_configuration(self, platform):
        return trio.run(publisher.read_configuration, platform, "config")[0]

    def test_a_snapshot_on_a_later_page_covers_the_dropped_records(self):
        platform = PagedPlatform(3, [self.next_change, self.snapshot])
        found = self.read_once(platform, 3)
        self.assertEqual(found.documents["alpha"].weight, 3)
        found = self.read_configuration(platform)
        self.assertEqual(found.documents["alpha"].weight, 3)

    def test_nothing_is_applied_without_a_covering_snapshot(self):
        platform = PagedPlatform(3, [self.next_change])
        with self.assertRaises(errors.PlatformError):
            self.read_once(platform, 1)
        with self.assertRaises(errors.PlatformError):
            self.read_configuration(platform)

    def test_a_snapshot_with_an_invalid_document_is_not_adopted(self):
        configuration = configlog.Configuration()
        configuration.apply(1, encoded_change("a", 0))
        broken = configlog.Version(2, "b", "[service]\n")
        snapshot = configlog.Snapshot(2, {"alpha": broken}, {})
        self.assertFalse(configuration.adopt(snapshot))
        self.assertEqual(configuration.offset, 1)
        self.assertEqual(configuration.documents["alpha"].weight, 1)


class SilentAdminClient:
    """An admin client whose entry never answers."""

    address = "127.0.0.1:9"

    async def status(self):
        await trio.sleep_forever()


class PublishResultTest(unittest.TestCase):
    def test_a_wait_that_times_out_is_no_success(self):
        lagging = trio.run(
            operators._wait_until_in_force, SilentAdminClient(), 3, 0.05
        )
        self.assertEqual(lagging, ["127.0.0.1:9"])

    def test_a_malformed_answer_to_an_append_leaves_the_result_open(self):
        platform = platforms.new_http_platform("http://127.0.0.1:9", 500)

        async def request(*args):
            await trio.sleep(0)
            return b"[]"

        platform._request = request
        with self.assertRaises(errors.PlatformError) as caught:
            trio.run(platform.append, "config", "text")
        self.assertTrue(caught.exception.may_have_applied)


class PlatformOutageTest(unittest.TestCase):
    """Runs real entries and a fake platform in one process."""

    def _platform_url(self, local) -> str:
        return "http://" + layout_lib.format_address(local.layout.platform)

    async def _publish(self, local, base=None, **service):
        platform = platforms.new_http_platform(self._platform_url(local), 500)
        try:
            return await publisher.publish(
                platform,
                "config",
                support.document_text(**service),
                "alpha.ini",
                base=base,
            )
        finally:
            await platform.aclose()

    async def _wait_until_applied(self, entries, weight: float) -> None:
        with trio.fail_after(APPLY_TIMEOUT_S):
            while any(
                e.tables.configuration.documents["alpha"].weight != weight
                for e in entries
            ):
                await trio.sleep(0.02)

    def test_publish_with_a_lost_response_is_confirmed_by_reading_the_log(self):
        support.run(self._check_lost_response)

    async def _check_lost_response(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            local.platform.faults.lose_answers = 1
            first_change = await self._publish(local, weight=2)
            local.platform.faults.duplicate_appends = 1
            second_change = await self._publish(local, weight=3)
            self.assertGreater(second_change.offset, first_change.offset)
            await self._wait_until_applied(local.entries.values(), 3)
            stored_records = local.platform.streams["config"].records
            occurrences = sum(
                first_change.change_id in r.text for r in stored_records
            )
            self.assertEqual(occurrences, 1)

    def test_one_concurrent_publish_wins_and_the_other_gets_the_reason(self):
        support.run(self._check_concurrent_publishes)

    async def _check_concurrent_publishes(self):
        async with support.running_installation(
            ["a", "b"], [1, 1], [1, 1]
        ) as local:
            results = []

            async def publish_weight(weight):
                try:
                    await self._publish(local, base=1, weight=weight)
                    results.append((weight, None))
                except errors.ConflictError as error:
                    results.append((weight, str(error)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(publish_weight, 5)
                nursery.start_soon(publish_weight, 6)
            accepted_weights = [w for w, reason in results if reason is None]
            rejection_reasons = [r for _, r in results if r is not None]
            self.assertEqual(
                (len(accepted_weights), len(rejection_reasons)), (1, 1)
            )
            self.assertIn("accepted first", rejection_reasons[0])
            await self._wait_until_applied(
                local.entries.values(), accepted_weights[0]
            )

    def test_zone_partitioned_from_the_platform_updates_from_peers(self):
        support.run(self._check_partitioned_zone)

    async def _check_partitioned_zone(self):
        async with support.running_installation(
            ["a", "b"], [1, 1], [1, 1]
        ) as local:
            partitioned_entry = list(local.entries.values())[1]
            partitioned_entry.config.platform = platforms.new_http_platform(
                "http://127.0.0.1:9", 200
            )
            await self._publish(local, weight=4)
            await self._wait_until_applied(local.entries.values(), 4)
            self.assertFalse(partitioned_entry.config.is_platform_up)

    def test_entry_starts_from_a_peer_during_a_platform_outage(self):
        support.run(self._check_start_during_outage)

    async def _check_start_during_outage(self):
        layout = layout_lib.new_layout(["a"], [2], [1])
        async with support.running_layout(layout, first=1) as local:
            await self._publish(local, weight=7)
            await self._wait_until_applied(local.entries.values(), 7)
            local.platform.faults.down = True
            plan, first = layout.entries[1], layout.entries[0]
            entry = await local.start_entry(
                plan,
                {"entry": {"peers": layout_lib.format_address(first.peer)}},
            )
            with trio.fail_after(APPLY_TIMEOUT_S):
                while "alpha" not in entry.tables.configuration.documents:
                    await trio.sleep(0.02)
            await self._wait_until_applied([entry], 7)

    def test_snapshot_preserves_configuration_beyond_retention(self):
        support.run(self._check_snapshot_beyond_retention)

    async def _check_snapshot_beyond_retention(self):
        extra = {"platform": {"retention_s": 2}}
        layout = layout_lib.new_layout(["a"], [2], [1])
        async with support.running_layout(layout, extra, first=1) as local:
            local.platform.retention_s = 2.0
            await self._publish(local, weight=8)
            await self._wait_until_applied(local.entries.values(), 8)
            with trio.fail_after(15):
                while local.platform.streams["config"].first <= 3:
                    await trio.sleep(0.1)
                    local.platform.trim("config")
            entry = await local.start_entry(layout.entries[1], {})
            # The entry has no configured peers: it finds them in the VM list
            # and reads the log.
            with trio.fail_after(APPLY_TIMEOUT_S):
                while "alpha" not in entry.tables.configuration.documents:
                    await trio.sleep(0.02)
            await self._wait_until_applied(local.entries.values(), 8)
            configuration = entry.tables.configuration
            self.assertGreaterEqual(configuration.offset, 3)

    def test_entry_serves_jobs_while_the_platform_is_down_or_slow(self):
        support.run(self._check_platform_down_and_slow)

    async def _check_platform_down_and_slow(self):
        async with support.running_installation(["a"], [2], [1]) as local:
            local.platform.faults.down = True
            client = support.Client(local.layout.entries[0].caller)
            await trio.sleep(0.6)
            status, _ = await client.submit(5)
            self.assertEqual(status, 200)
            with self.assertRaises(errors.PlatformError):
                await self._publish(local, base=1, weight=2)
            local.platform.faults.down = False
            local.platform.faults.slow_ms = 300
            await self._publish(local, weight=3)
            await self._wait_until_applied(local.entries.values(), 3)

    def test_outdated_peer_reply_does_not_revert_the_configuration(self):
        support.run(self._check_outdated_peer_reply)

    async def _check_outdated_peer_reply(self):
        async with support.running_installation(["a"], [1], [1]) as local:
            entry = next(iter(local.entries.values()))
            old = entry.config.answer_config_call(messages.ConfigCall(0))
            await self._publish(local, weight=2)
            await self._wait_until_applied([entry], 2)
            self.assertFalse(entry.config.adopt_from_peer(old))
            self.assertEqual(
                entry.tables.configuration.documents["alpha"].weight, 2
            )


if __name__ == "__main__":
    unittest.main()
