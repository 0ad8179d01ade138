"""What a gateway keeps of what endpoints say of themselves."""

from berylhollow import effects
from berylhollow import events
from test.hosted import test_gateway_direct


class NoticeTest(test_gateway_direct.DirectTestCase):
    def configure(self):
        super().configure()
        self.list(test_gateway_direct.plain('i-1', '10.0.0.1:80'))

    def say(self, rate_per_s=None, sent_ms=0, **changes):
        notice = events.EndpointNotice(rate_per_s=rate_per_s, **changes)
        event = events.NoticeReceived(sent_ms + 10, 'i-1', sent_ms, notice)
        return self.feed(event)

    def lines(self):
        return [line.text for line in self.of_type(effects.Log)]

    def rate(self):
        return self.state.endpoints['i-1'].notice.rate_per_s

    def test_changes_are_logged_once(self):
        said = [(2.0, 1), (2.0, 2), (3.0, 3), (None, 4), (None, 5)]
        lines = []
        for rate, sent_ms in said:
            self.say(rate, sent_ms)
            lines += self.lines()
        named = 'endpoint names a rate limit'
        ended = 'endpoint ends its rate limit'
        self.assertEqual([named, named, ended], lines)

    def test_older_answer_does_not_bring_a_limit_back(self):
        self.say(2.0, sent_ms=100)
        self.say(None, sent_ms=300)
        self.say(2.0, sent_ms=200)
        self.assertIsNone(self.rate())

    def test_what_is_not_understood_changes_nothing(self):
        self.say(2.0, sent_ms=100)
        for sent_ms in (200, 300):
            self.say(sent_ms=sent_ms, malformed=('Limit: x',))
        self.assertEqual([], self.lines())
        self.assertEqual(2.0, self.rate())

    def test_other_words_count_beside_what_is_not_understood(self):
        self.say(leaving=True, malformed=('Limit: x',))
        self.assertIn('endpoint says that it leaves', self.lines())

    def test_entry_that_lapses_and_returns_ends_no_limit(self):
        """Entries lapse in outages of the store while endpoints live.

        Guards against an endpoint that gets more than it takes because it
        was off the list for a moment.
        """
        self.say(2.0, sent_ms=100)
        self.list()
        self.assertNotIn('i-1', self.state.endpoints)
        self.list(test_gateway_direct.plain('i-1', '10.0.0.1:80'))
        self.assertEqual(2.0, self.rate())
        self.ask(at_ms=200)
        self.assertEqual([], self.offers())

    def test_new_start_has_said_nothing(self):
        self.say(2.0, sent_ms=100)
        self.list(test_gateway_direct.plain('i-1@2', '10.0.0.1:80'))
        self.assertIsNone(self.state.endpoints['i-1@2'].notice.rate_per_s)
