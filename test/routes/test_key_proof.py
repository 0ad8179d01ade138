"""How long keys are believed: on a virtual clock, whatever becomes of reads.

Guards against a key that is used after it was taken away, by a gateway that
can't know: it is cut off, stood still, hears late, or starts into an older
configuration.
"""

import unittest

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import platform
from berylhollow import routes
from berylhollow.routes import _key_proof
from berylhollow import workspaces
from test import platform_builders as builders

STREAM = platform.CONFIGURATION_STREAM
BOUND_MS = 5000
KEY = 'k1'


class ProofTestCase(unittest.TestCase):
    """A follower that has read a configuration with a key at 100 ms."""

    def setUp(self):
        self.follower = routes.RouteFollower(
            STREAM, platform.decode_news, BOUND_MS
        )
        self.follower.start(0)
        self.end = 1
        self.read(
            (self.record(7), 0), begun_ms=100, at_ms=110, from_offset=None
        )

    def record(self, version, *keys):
        entry = builders.workspace('w', *(keys or (KEY,)))
        return builders.configuration_record(version, workspaces=[entry])

    def event(self, *records, begun_ms=None, at_ms=0, **changes):
        entries = tuple(
            messages.LogEntry(offset, 0, data) for data, offset in records
        )
        values = {'from_offset': self.end} | changes
        return events.LogRead(
            at_ms,
            STREAM,
            entries,
            0,
            self.end,
            begun_ms=begun_ms,
            **values,
        )

    def read(self, *records, **changes):
        return self.follower.handle(self.event(*records, **changes))

    def check(self, *records, at_ms, **changes):
        event = self.event(*records, at_ms=at_ms, **changes)
        return self.follower.handle(events.LogChecked(at_ms, STREAM, event))

    def wanted(self, at_ms):
        """Return the checks that are wanted at a tick."""
        done = self.follower.tick(at_ms, [], [], '')
        return [e for e in done if isinstance(e, effects.CheckLog)]

    def holds_until(self):
        """Return for how long keys are used without another read."""
        at_ms = 0
        while self.follower.keys_hold(at_ms):
            at_ms += 10
        return at_ms

    def knows(self, key=KEY):
        view = self.follower.current
        head = events.RequestHead(
            builders.HOST, '/lohu930/x', workspaces.digest(key), 0
        )
        return isinstance(view.workspace(head), workspaces.Workspace)


class AgeTest(ProofTestCase):
    def test_keys_end_before_the_bound_on_the_read_that_showed_them(self):
        until_ms = self.holds_until() - 100
        self.assertLess(until_ms, BOUND_MS)
        self.assertGreater(until_ms, 0.9 * BOUND_MS)

    def test_proof_counts_from_the_beginning_of_its_read(self):
        """A read is held by the store, and its answer comes late.

        A key that was taken away right after it began is not in it.
        """
        before_ms = self.holds_until()
        self.read(begun_ms=2000, at_ms=4000)
        self.assertEqual(before_ms + 1900, self.holds_until())

    def test_what_others_tell_proves_nothing(self):
        """A part is told by another gateway and was delayed on the way."""
        before_ms = self.holds_until()
        self.read(begun_ms=None, at_ms=3000)
        self.assertEqual(before_ms, self.holds_until())

    def test_part_of_what_the_log_holds_proves_nothing(self):
        before_ms = self.holds_until()
        self.read(begun_ms=3000, at_ms=3000, whole=False)
        self.assertEqual(before_ms, self.holds_until())

    def test_late_answer_does_not_make_a_proof_older(self):
        self.read(begun_ms=3000, at_ms=3010)
        until_ms = self.holds_until()
        self.read(begun_ms=1000, at_ms=3020)
        self.assertEqual(until_ms, self.holds_until())

    def test_without_a_bound_keys_are_always_used(self):
        follower = routes.RouteFollower(STREAM, platform.decode_news)
        follower.start(0)
        follower.handle(self.event((self.record(7), 0), from_offset=None))
        self.assertTrue(follower.keys_hold(1_000_000))
        self.assertEqual(
            [],
            [
                effect
                for effect in follower.tick(1_000_000, [], [], '')
                if isinstance(effect, effects.CheckLog)
            ],
        )


class CheckTest(ProofTestCase):
    def test_proof_is_renewed_in_time_for_one_read_that_fails(self):
        due_ms = 100 + int(BOUND_MS * _key_proof.CHECK_SHARE)
        self.assertEqual([], self.wanted(due_ms - 10))
        self.assertEqual(
            [effects.CheckLog(STREAM, self.end)], self.wanted(due_ms)
        )
        self.assertEqual([], self.wanted(due_ms + 10))
        failed = events.LogChecked(due_ms + 1000, STREAM, None)
        self.follower.handle(failed)
        again_ms = due_ms + 1000 + _key_proof.RETRY_MS
        self.assertEqual(1, len(self.wanted(again_ms)))
        self.check(begun_ms=again_ms, at_ms=again_ms + 5)
        self.assertTrue(self.follower.keys_hold(again_ms + 4000))

    def test_end_and_return_of_the_proof_are_logged_once(self):
        told = []
        for at_ms in range(0, 9000, 50):
            done = self.follower.tick(at_ms, [], [], '')
            told += [e.text for e in done if isinstance(e, effects.Log)]
            if at_ms == 7000:
                self.check(begun_ms=at_ms, at_ms=at_ms)
        self.assertEqual(
            ['keys can not be proven', 'keys are proven again'], told
        )

    def test_check_that_is_never_answered_is_made_again(self):
        self.wanted(2100)
        at_ms = 2100 + _key_proof.LOST_CHECK_MS
        self.assertEqual(1, len(self.wanted(at_ms)))

    def test_check_brings_news_and_reads_on_as_before(self):
        self.end = 2
        done = self.check(
            (self.record(8, 'k2'), 1), begun_ms=2100, at_ms=2110, from_offset=1
        )
        self.assertFalse(self.knows())
        self.assertTrue(self.knows('k2'))
        self.assertEqual([], done)

    def test_routes_without_workspaces_are_not_checked(self):
        record = builders.configuration_record(8)
        self.end = 2
        self.read((record, 1), begun_ms=200, at_ms=200, from_offset=1)
        self.assertEqual([], self.wanted(60_000))


class OlderCopyTest(ProofTestCase):
    """The log comes back from a copy of before the newest version."""

    def setUp(self):
        super().setUp()
        self.end = 3
        self.read(
            (self.record(9, 'k2'), 2),
            begun_ms=200,
            at_ms=210,
            from_offset=1,
        )
        self.end = 1

    def come_back(self, at_ms=1000):
        """Read of the new era, and then its newest records."""
        self.read(begun_ms=at_ms, at_ms=at_ms, era=1, from_offset=3)
        self.read(
            (self.record(7), 0),
            begun_ms=at_ms + 10,
            at_ms=at_ms + 20,
            era=1,
            from_offset=None,
        )

    def test_what_is_in_force_never_goes_back(self):
        self.come_back()
        self.assertEqual(9, self.follower.current.revision)
        self.assertFalse(self.knows())

    def test_newest_records_are_read_anew_from_a_lower_offset(self):
        done = self.read(begun_ms=1000, at_ms=1000, era=1, from_offset=3)
        self.assertIn(effects.ReadNewest(STREAM), done)
        self.come_back()
        self.assertEqual(1, self.follower.next_offset)

    def test_read_of_an_old_offset_does_not_hide_what_lies_before_it(self):
        """Two reads are under way when the log comes back.

        The second is answered from an offset of before: taken for the end of
        what is known, the records below it would never be read.
        """
        self.read(begun_ms=1000, at_ms=1000, era=1, from_offset=3)
        self.end = 5
        self.read(begun_ms=1000, at_ms=1010, era=1, from_offset=3)
        self.assertIsNone(self.follower.next_offset)

    def test_answer_of_the_era_before_changes_nothing(self):
        self.come_back()
        self.end = 8
        self.read(begun_ms=1100, at_ms=1100, era=0, from_offset=3)
        self.assertEqual(1, self.follower.next_offset)

    def test_keys_are_not_proven_by_a_copy_that_may_lack_a_revocation(self):
        """A key is taken away, then the log forgets it for two seconds.

        Read from the older copy, the key would count as newly proven.
        """
        before_ms = self.holds_until()
        self.come_back()
        self.check(begun_ms=1500, at_ms=1510, era=1)
        self.assertEqual(before_ms, self.holds_until())

    def test_keys_are_proven_once_the_operators_have_written_again(self):
        self.come_back()
        self.end = 2
        self.check(
            (self.record(9, 'k2'), 1),
            begun_ms=1600,
            at_ms=1610,
            era=1,
            from_offset=1,
        )
        self.assertTrue(self.follower.keys_hold(1600 + 4000))

    def test_keys_are_proven_after_the_time_for_writing_again(self):
        self.come_back()
        begun_ms = 1020 + _key_proof.REWRITE_MS
        self.check(begun_ms=begun_ms, at_ms=begun_ms + 10, era=1)
        self.assertTrue(self.follower.keys_hold(begun_ms + 4000))
