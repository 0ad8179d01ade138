"""A gateway gives its configuration record to sidecars and asks for one."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import stream_parts
from berylhollow.util import addresses
from test.hosted import test_outdated
from test import platform_builders as builders

PEER = addresses.sidecar_peer(test_outdated.MODEL_ENDPOINT)
ASKED_MS = test_outdated.HEARD_MS + 500


def kept_record(revision, stated=None):
    """Return a record as a sidecar kept it."""
    record = builders.configuration_record(revision)
    data = stream_parts.compress_record(record)
    return messages.KeptRecord(stated or revision, len(record), data)


class KeptRecordTest(test_outdated.OutdatedTestCase):
    """Its own revision is 7, and a sidecar knows of 9."""

    def tick(self, at_ms):
        self.feed(events.Ticked(at_ms, 0.5))
        return self.sent(messages.RecordWanted)

    def warnings(self):
        return [log.text for log in self.of_type(effects.Log) if log.warning]

    def test_record_is_asked_for_when_it_is_overdue(self):
        self.assertEqual([], self.tick(test_outdated.HEARD_MS + 100))
        self.assertEqual([messages.RecordWanted(7)], self.tick(ASKED_MS))
        self.assertEqual([], self.tick(ASKED_MS + 50))
        self.assertEqual(1, len(self.tick(ASKED_MS + 300)))

    def test_kept_record_comes_into_force(self):
        """Guards against refusals after the log lost its newest version."""
        self.receive(kept_record(9), ASKED_MS, PEER)
        self.assertEqual(9, self.state.revision)
        self.assertTrue(self.is_served(ASKED_MS + 5000))

    def test_kept_record_proves_no_keys(self):
        """Guards against a revoked key that a record passed on still has."""
        proven_ms = self.state.follower.keys_age_ms(ASKED_MS)
        self.receive(kept_record(9), ASKED_MS, PEER)
        self.assertEqual(proven_ms, self.state.follower.keys_age_ms(ASKED_MS))

    def test_older_record_changes_nothing(self):
        self.receive(kept_record(6), ASKED_MS, PEER)
        self.assertEqual(7, self.state.revision)

    def test_record_of_another_revision_is_reported(self):
        """Guards against a process that states a number it does not have."""
        self.receive(kept_record(6, stated=9), ASKED_MS, PEER)
        self.assertEqual(7, self.state.revision)
        self.assertEqual(
            ['kept record is of another revision'], self.warnings()
        )

    def test_corrupt_record_changes_nothing(self):
        for kept in (
            messages.KeptRecord(9, 5, b'x'),
            messages.KeptRecord(9, 1, stream_parts.compress_record(b'long')),
            messages.KeptRecord(9, 2**40, stream_parts.compress_record(b'')),
            messages.KeptRecord(9, -1, stream_parts.compress_record(b'')),
        ):
            with self.subTest(kept=kept):
                self.receive(kept, ASKED_MS, PEER)
                self.assertEqual(7, self.state.revision)
                self.assertEqual(['kept record is corrupt'], self.warnings())

    def test_record_in_force_is_sent_to_a_sidecar_that_lacks_it(self):
        self.receive(messages.RecordWanted(6), ASKED_MS, PEER)
        (sent,) = self.sent(messages.KeptRecord)
        self.assertEqual(7, sent.revision)
        self.receive(messages.RecordWanted(7), ASKED_MS, PEER)
        self.assertEqual([], self.sent(messages.KeptRecord))
