"""Configuration: races, outages, lost answers, snapshots and peers."""

import unittest

import msgspec
import trio

from acacialine import configlog
from acacialine import errors
from acacialine import messages
from acacialine import platforms
from acacialine import publisher
from acacialine.tests import support
from acacialine.tools import layout as layout_lib

IN_FORCE_S = 7.0


def record(change_id: str, base: int, **service) -> str:
    text = support.document_text(**service)
    change = configlog.Change(change_id, "alpha", base, text)
    return configlog.encode_record(configlog.Record(change=change))


class FoldTest(unittest.TestCase):
    def setUp(self):
        self.fold = configlog.Fold()

    def test_the_first_change_on_a_version_wins(self):
        self.assertTrue(self.fold.apply(1, record("a", 0)))
        self.assertTrue(self.fold.apply(2, record("b", 1, weight=2)))
        self.assertFalse(self.fold.apply(3, record("c", 1, weight=3)))
        self.assertEqual(self.fold.documents["alpha"].weight, 2)
        self.assertIn("change b", self.fold.rejection_of("c").reason)

    def test_lower_offsets_are_ignored(self):
        self.fold.apply(5, record("a", 0))
        self.assertFalse(self.fold.apply(4, record("b", 5, weight=2)))
        self.assertEqual(self.fold.offset, 5)
        self.assertEqual(self.fold.documents["alpha"].weight, 1)

    def test_a_duplicate_changes_nothing(self):
        self.fold.apply(1, record("a", 0))
        self.assertFalse(self.fold.apply(2, record("a", 0)))
        self.assertIsNone(self.fold.rejection_of("a"))

    def test_an_invalid_document_is_rejected_everywhere(self):
        change = configlog.Change("x", "alpha", 0, "[service]\n")
        text = configlog.encode_record(configlog.Record(change=change))
        self.assertFalse(self.fold.apply(1, text))
        self.assertIn("invalid", self.fold.rejection_of("x").reason)

    def test_a_snapshot_gives_the_same_fold(self):
        self.fold.apply(1, record("a", 0))
        self.fold.apply(2, record("b", 1, weight=2))
        data = msgspec.json.encode(self.fold.snapshot())
        other = configlog.Fold()
        self.assertTrue(
            other.adopt(msgspec.json.decode(data, type=configlog.Snapshot))
        )
        self.assertEqual(other.documents, self.fold.documents)
        self.assertFalse(other.apply(2, record("z", 0, weight=9)))
        for fold in (self.fold, other):
            fold.apply(3, record("c", 2, weight=3))
        self.assertEqual(other.documents, self.fold.documents)

    def test_an_older_snapshot_is_not_adopted(self):
        self.fold.apply(1, record("a", 0))
        old = self.fold.snapshot()
        self.fold.apply(2, record("b", 1, weight=2))
        self.assertFalse(self.fold.adopt(old))
        self.assertEqual(self.fold.documents["alpha"].weight, 2)

    def test_garbage_in_the_log_is_passed_over(self):
        self.assertFalse(self.fold.apply(1, "{garbage"))
        self.assertTrue(self.fold.apply(2, record("a", 0)))


class OutageTest(unittest.TestCase):
    """Real entries and a stand-in of the platform in one process."""

    def _url(self, local) -> str:
        return "http://" + layout_lib.text_of(local.layout.platform)

    async def _publish(self, local, base=None, **service):
        platform = platforms.new_http_platform(self._url(local), 500)
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

    async def _in_force(self, entries, weight: float) -> None:
        with trio.fail_after(IN_FORCE_S):
            while any(
                e.tables.fold.documents["alpha"].weight != weight
                for e in entries
            ):
                await trio.sleep(0.02)

    def test_a_lost_answer_is_settled_by_reading_back(self):
        support.run(self._lost)

    async def _lost(self):
        async with support.installation(["a"], [1], [1]) as local:
            local.platform.faults.lose_answers = 1
            done = await self._publish(local, weight=2)
            local.platform.faults.duplicate_appends = 1
            again = await self._publish(local, weight=3)
            self.assertGreater(again.offset, done.offset)
            await self._in_force(local.entries.values(), 3)
            texts = local.platform.streams["config"].records
            count = sum(done.change_id in r.text for r in texts)
            self.assertEqual(count, 1)

    def test_racing_operators_one_wins_and_the_other_learns_why(self):
        support.run(self._race)

    async def _race(self):
        async with support.installation(["a", "b"], [1, 1], [1, 1]) as local:
            results = []

            async def operator(weight):
                try:
                    await self._publish(local, base=1, weight=weight)
                    results.append((weight, None))
                except errors.ConflictError as error:
                    results.append((weight, str(error)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(operator, 5)
                nursery.start_soon(operator, 6)
            won = [w for w, reason in results if reason is None]
            lost = [r for _, r in results if r is not None]
            self.assertEqual((len(won), len(lost)), (1, 1))
            self.assertIn("accepted first", lost[0])
            await self._in_force(local.entries.values(), won[0])

    def test_a_zone_cut_from_the_platform_learns_from_peers(self):
        support.run(self._cut)

    async def _cut(self):
        async with support.installation(["a", "b"], [1, 1], [1, 1]) as local:
            cut = list(local.entries.values())[1]
            cut.config.platform = platforms.new_http_platform(
                "http://127.0.0.1:9", 200
            )
            await self._publish(local, weight=4)
            await self._in_force(local.entries.values(), 4)
            self.assertFalse(cut.config.is_up)

    def test_an_entry_boots_from_a_peer_during_an_outage(self):
        support.run(self._boot)

    async def _boot(self):
        layout = layout_lib.new_layout(["a"], [2], [1])
        async with support.running_layout(layout, first=1) as local:
            await self._publish(local, weight=7)
            await self._in_force(local.entries.values(), 7)
            local.platform.faults.down = True
            plan, first = layout.entries[1], layout.entries[0]
            entry = await local.start_entry(
                plan, {"entry": {"peers": layout_lib.text_of(first.peer)}}
            )
            with trio.fail_after(IN_FORCE_S):
                while "alpha" not in entry.tables.fold.documents:
                    await trio.sleep(0.02)
            await self._in_force([entry], 7)

    def test_a_snapshot_outlives_retention(self):
        support.run(self._retention)

    async def _retention(self):
        extra = {"platform": {"retention_s": 2}}
        layout = layout_lib.new_layout(["a"], [2], [1])
        async with support.running_layout(layout, extra, first=1) as local:
            local.platform.retention_s = 2.0
            await self._publish(local, weight=8)
            await self._in_force(local.entries.values(), 8)
            with trio.fail_after(15):
                while local.platform.streams["config"].first <= 3:
                    await trio.sleep(0.1)
                    local.platform.trim("config")
            entry = await local.start_entry(layout.entries[1], {})
            # It is told of no peer but by the list, and reads the log.
            with trio.fail_after(IN_FORCE_S):
                while "alpha" not in entry.tables.fold.documents:
                    await trio.sleep(0.02)
            await self._in_force(local.entries.values(), 8)
            fold = entry.tables.fold
            self.assertGreaterEqual(fold.offset, 3)

    def test_slow_and_down_platform_keeps_serving(self):
        support.run(self._down)

    async def _down(self):
        async with support.installation(["a"], [2], [1]) as local:
            local.platform.faults.down = True
            caller = support.Caller(local.layout.entries[0].caller)
            await trio.sleep(0.6)
            status, _ = await caller.submit(5)
            self.assertEqual(status, 200)
            with self.assertRaises(errors.PlatformError):
                await self._publish(local, base=1, weight=2)
            local.platform.faults.down = False
            local.platform.faults.slow_ms = 300
            await self._publish(local, weight=3)
            await self._in_force(local.entries.values(), 3)

    def test_an_old_reply_of_a_peer_never_reverts(self):
        support.run(self._old_reply)

    async def _old_reply(self):
        async with support.installation(["a"], [1], [1]) as local:
            entry = next(iter(local.entries.values()))
            old = entry.config.reply_to(messages.ConfigCall(0))
            await self._publish(local, weight=2)
            await self._in_force([entry], 2)
            self.assertFalse(entry.config.adopt_from_peer(old))
            self.assertEqual(entry.tables.fold.documents["alpha"].weight, 2)


if __name__ == "__main__":
    unittest.main()
