"""Tests of the notices that a gateway keeps of its endpoints."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test.hosted import test_gateway_direct


class NoticeTest(test_gateway_direct.DirectTestCase):
    def configure(self):
        super().configure()
        self.list_instances(test_gateway_direct.plain('i-1', '10.0.0.1:80'))

    def receive_notice(self, rate_per_s=None, sent_ms=0, **changes):
        notice = events.EndpointNotice(rate_per_s=rate_per_s, **changes)
        event = events.NoticeReceived(sent_ms + 10, 'i-1', sent_ms, notice)
        return self.feed(event)

    def log_texts(self):
        return [line.text for line in self.of_type(effects.Log)]

    def rate(self):
        return self.state.endpoints['i-1'].notice.rate_per_s

    def test_changes_are_logged_once(self):
        notices = [(2.0, 1), (2.0, 2), (3.0, 3), (None, 4), (None, 5)]
        log_texts = []
        for rate, sent_ms in notices:
            self.receive_notice(rate, sent_ms)
            log_texts += self.log_texts()
        named = 'endpoint names a rate limit'
        ended = 'endpoint ends its rate limit'
        self.assertEqual([named, named, ended], log_texts)

    def test_older_answer_does_not_restore_a_limit(self):
        self.receive_notice(2.0, sent_ms=100)
        self.receive_notice(None, sent_ms=300)
        self.receive_notice(2.0, sent_ms=200)
        self.assertIsNone(self.rate())

    def test_malformed_notice_keeps_the_limit(self):
        self.receive_notice(2.0, sent_ms=100)
        for sent_ms in (200, 300):
            self.receive_notice(sent_ms=sent_ms, malformed=('Limit: x',))
        self.assertEqual([], self.log_texts())
        self.assertEqual(2.0, self.rate())

    def test_valid_fields_of_a_malformed_notice_apply(self):
        self.receive_notice(leaving=True, malformed=('Limit: x',))
        self.assertIn('endpoint says that it leaves', self.log_texts())

    def test_entry_that_expires_and_returns_keeps_its_limit(self):
        """Entries of live endpoints expire in outages of the store.

        Guards against an endpoint that is sent more than its rate limit
        because it was off the list for a moment.
        """
        self.receive_notice(2.0, sent_ms=100)
        self.list_instances()
        self.assertNotIn('i-1', self.state.endpoints)
        self.list_instances(test_gateway_direct.plain('i-1', '10.0.0.1:80'))
        self.assertEqual(2.0, self.rate())
        self.send_request(at_ms=200)
        self.assertEqual([], self.offers())

    def restart_unlisted(self, rate_before=None):
        """Let a run be cut off by the crash of the start that is listed.

        The start has named ``rate_before`` as its rate limit.
        """
        self.send_request(at_ms=50)
        name, offer = self.offered()
        self.receive_notice(rate_before, sent_ms=51)
        lost = messages.Failed(
            offer.attempt_id, errors.Kind.ENGINE_RESTARTED, errors.Ran.UNKNOWN
        )
        self.receive(lost, 62, name)

    def list_new_start(self, at_ms):
        row = test_gateway_direct.plain('i-1@2', '10.0.0.1:80')
        self.list_instances(row, at_ms=at_ms)
        return self.state.endpoints['i-1@2'].notice.rate_per_s

    def test_limit_of_a_new_start_that_is_not_listed_yet(self):
        """Guards against an endpoint that is sent more than its rate limit.

        The answer that named the limit was taken for one of the start before,
        which had named the same limit or none.
        """
        for rate_before in (None, 2.0):
            self.setUp()
            self.restart_unlisted(rate_before)
            self.receive_notice(2.0, sent_ms=100)
            self.assertEqual(2.0, self.list_new_start(200))
            self.send_request(at_ms=210)
            self.assertEqual([], self.offers())

    def test_limit_that_a_new_start_has_ended_is_not_kept(self):
        """Guards against a limit that its endpoint has taken back."""
        self.restart_unlisted()
        self.receive_notice(2.0, sent_ms=100)
        self.receive_notice(None, sent_ms=120)
        self.assertIsNone(self.list_new_start(200))

    def test_new_incarnation_has_no_notice(self):
        self.receive_notice(2.0, sent_ms=100)
        self.list_instances(test_gateway_direct.plain('i-1@2', '10.0.0.1:80'))
        self.assertIsNone(self.state.endpoints['i-1@2'].notice.rate_per_s)
