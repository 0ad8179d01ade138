"""How long keys are used without a new proof, on a virtual clock.

Guards against the use of a revoked key by a gateway that can't know of the
revocation: it is cut off, was suspended, reads late, or starts with an older
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


class KeyProofTestCase(unittest.TestCase):
    """A follower that has read a configuration with a key at 100 ms."""

    def setUp(self):
        self.follower = routes.RouteFollower(
            STREAM, platform.decode_configuration_record, BOUND_MS
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

    def checks_at(self, at_ms):
        """Return the checks that a tick begins."""
        done = self.follower.tick(at_ms, [], [], '')
        return [e for e in done if isinstance(e, effects.CheckLog)]

    def valid_until_ms(self):
        """Return when keys stop being valid without another read."""
        at_ms = 0
        while self.follower.are_keys_proven(at_ms):
            at_ms += 10
        return at_ms

    def accepts_key(self, key=KEY):
        view = self.follower.current
        head = events.RequestHead(
            builders.HOST, '/lohu930/x', workspaces.digest(key), 0
        )
        return isinstance(view.workspace(head), workspaces.Workspace)


class AgeTest(KeyProofTestCase):
    def test_keys_expire_before_the_bound_after_their_read(self):
        until_ms = self.valid_until_ms() - 100
        self.assertLess(until_ms, BOUND_MS)
        self.assertGreater(until_ms, 0.9 * BOUND_MS)

    def test_proof_counts_from_the_beginning_of_its_read(self):
        """The store holds a read, so its answer arrives late.

        The answer does not show a revocation made right after the read began.
        """
        before_ms = self.valid_until_ms()
        self.read(begun_ms=2000, at_ms=4000)
        self.assertEqual(before_ms + 1900, self.valid_until_ms())

    def test_part_from_another_gateway_is_no_proof(self):
        """A part forwarded by another gateway may have been delayed."""
        before_ms = self.valid_until_ms()
        self.read(begun_ms=None, at_ms=3000)
        self.assertEqual(before_ms, self.valid_until_ms())

    def test_incomplete_read_is_no_proof(self):
        before_ms = self.valid_until_ms()
        self.read(begun_ms=3000, at_ms=3000, whole=False)
        self.assertEqual(before_ms, self.valid_until_ms())

    def test_late_answer_does_not_make_a_proof_older(self):
        self.read(begun_ms=3000, at_ms=3010)
        until_ms = self.valid_until_ms()
        self.read(begun_ms=1000, at_ms=3020)
        self.assertEqual(until_ms, self.valid_until_ms())

    def test_without_a_bound_keys_are_always_used(self):
        follower = routes.RouteFollower(
            STREAM, platform.decode_configuration_record
        )
        follower.start(0)
        follower.handle(self.event((self.record(7), 0), from_offset=None))
        self.assertTrue(follower.are_keys_proven(1_000_000))
        self.assertEqual(
            [],
            [
                effect
                for effect in follower.tick(1_000_000, [], [], '')
                if isinstance(effect, effects.CheckLog)
            ],
        )


class CheckTest(KeyProofTestCase):
    def test_proof_is_renewed_in_time_for_one_read_that_fails(self):
        due_ms = 100 + int(BOUND_MS * _key_proof.CHECK_AGE_FRACTION)
        self.assertEqual([], self.checks_at(due_ms - 10))
        self.assertEqual(
            [effects.CheckLog(STREAM, self.end)], self.checks_at(due_ms)
        )
        self.assertEqual([], self.checks_at(due_ms + 10))
        failed = events.LogChecked(due_ms + 1000, STREAM, None)
        self.follower.handle(failed)
        again_ms = due_ms + 1000 + _key_proof.CHECK_RETRY_MS
        self.assertEqual(1, len(self.checks_at(again_ms)))
        self.check(begun_ms=again_ms, at_ms=again_ms + 5)
        self.assertTrue(self.follower.are_keys_proven(again_ms + 4000))

    def test_expiry_and_renewal_of_the_proof_are_logged_once(self):
        texts = []
        for at_ms in range(0, 9000, 50):
            done = self.follower.tick(at_ms, [], [], '')
            texts += [e.text for e in done if isinstance(e, effects.Log)]
            if at_ms == 7000:
                self.check(begun_ms=at_ms, at_ms=at_ms)
        self.assertEqual(
            ['keys can not be proven', 'keys are proven again'], texts
        )

    def test_check_without_an_answer_is_begun_again(self):
        self.checks_at(2100)
        at_ms = 2100 + _key_proof.CHECK_TIMEOUT_MS
        self.assertEqual(1, len(self.checks_at(at_ms)))

    def test_check_applies_records_and_begins_no_other_read(self):
        self.end = 2
        done = self.check(
            (self.record(8, 'k2'), 1), begun_ms=2100, at_ms=2110, from_offset=1
        )
        self.assertFalse(self.accepts_key())
        self.assertTrue(self.accepts_key('k2'))
        self.assertEqual([], done)

    def test_routes_without_workspaces_are_not_checked(self):
        record = builders.configuration_record(8)
        self.end = 2
        self.read((record, 1), begun_ms=200, at_ms=200, from_offset=1)
        self.assertEqual([], self.checks_at(60_000))


class OlderCopyTest(KeyProofTestCase):
    """The log is restored from a copy made before the newest version."""

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

    def restore_log(self, at_ms=1000):
        """Feed a read of the new era and then its newest records."""
        self.read(begun_ms=at_ms, at_ms=at_ms, era=1, from_offset=3)
        self.read(
            (self.record(7), 0),
            begun_ms=at_ms + 10,
            at_ms=at_ms + 20,
            era=1,
            from_offset=None,
        )

    def test_routes_in_force_never_go_back(self):
        self.restore_log()
        self.assertEqual(9, self.follower.current.revision)
        self.assertFalse(self.accepts_key())

    def test_newest_records_are_read_again_from_a_lower_offset(self):
        done = self.read(begun_ms=1000, at_ms=1000, era=1, from_offset=3)
        self.assertIn(effects.ReadNewest(STREAM), done)
        self.restore_log()
        self.assertEqual(1, self.follower.next_offset)

    def test_read_of_an_old_offset_does_not_hide_what_lies_before_it(self):
        """Two reads are in flight when the log is restored.

        The second is answered from an offset of the old era. If that became
        the next offset, the records below it would never be read.
        """
        self.read(begun_ms=1000, at_ms=1000, era=1, from_offset=3)
        self.end = 5
        self.read(begun_ms=1000, at_ms=1010, era=1, from_offset=3)
        self.assertIsNone(self.follower.next_offset)

    def test_answer_of_the_previous_era_is_ignored(self):
        self.restore_log()
        self.end = 8
        self.read(begun_ms=1100, at_ms=1100, era=0, from_offset=3)
        self.assertEqual(1, self.follower.next_offset)

    def test_keys_are_not_proven_by_a_copy_that_may_lack_a_revocation(self):
        """A key is revoked, then the restored log lacks that for two seconds.

        A read of the older copy must not count as a proof of the key.
        """
        before_ms = self.valid_until_ms()
        self.restore_log()
        self.check(begun_ms=1500, at_ms=1510, era=1)
        self.assertEqual(before_ms, self.valid_until_ms())

    def test_keys_are_proven_once_the_operators_have_written_again(self):
        self.restore_log()
        self.end = 2
        self.check(
            (self.record(9, 'k2'), 1),
            begun_ms=1600,
            at_ms=1610,
            era=1,
            from_offset=1,
        )
        self.assertTrue(self.follower.are_keys_proven(1600 + 4000))

    def test_keys_are_proven_after_the_rewrite_time(self):
        self.restore_log()
        begun_ms = 1020 + _key_proof.LOG_REWRITE_MS
        self.check(begun_ms=begun_ms, at_ms=begun_ms + 10, era=1)
        self.assertTrue(self.follower.are_keys_proven(begun_ms + 4000))
