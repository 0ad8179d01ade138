"""The configuration record that a sidecar keeps."""

from berylhollow import events
from berylhollow import messages
from test.loader import loader_helper

RECORD = messages.KeptRecord(9, 4, b'data')


class KeptRecordTest(loader_helper.LoaderTestCase):
    def demand(self, revision, at_ms=0, peer=loader_helper.PEER, **changes):
        values = {'shares_reads': True} | changes
        self.send_demands(at_ms=at_ms, peer=peer, revision=revision, **values)
        return self.sent(messages.RecordWanted)

    def test_newer_record_is_asked_for_once(self):
        self.assertEqual([messages.RecordWanted(0)], self.demand(9))
        self.open_link('g2', events.Role.GATEWAY)
        self.assertEqual([], self.demand(9, at_ms=100, peer='g2'))

    def test_lost_answer_is_asked_for_again(self):
        self.demand(9)
        self.assertEqual(1, len(self.demand(9, at_ms=1000)))

    def test_sidecar_that_relays_nothing_keeps_nothing(self):
        self.assertEqual([], self.demand(9, shares_reads=False))

    def test_kept_record_is_sent_to_a_gateway_that_lacks_it(self):
        """Guards against a version that only a number is left of."""
        self.receive(RECORD, peer=loader_helper.PEER)
        self.assertEqual([], self.demand(9))
        self.receive(messages.RecordWanted(7), peer='g2')
        self.assertEqual([RECORD], self.sent(messages.KeptRecord))
        self.receive(messages.RecordWanted(9), peer='g2')
        self.assertEqual([], self.sent(messages.KeptRecord))

    def test_older_and_oversized_records_are_not_kept(self):
        self.receive(RECORD, peer=loader_helper.PEER)
        large = messages.KeptRecord(10, 1, bytes(300 * 1024))
        for record in (messages.KeptRecord(8, 4, b'data'), large):
            self.receive(record, peer=loader_helper.PEER)
            self.assertEqual(RECORD, self.state.kept_record)
