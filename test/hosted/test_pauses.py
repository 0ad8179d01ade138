"""Endpoints that turn a request away and ask for a pause."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test.hosted import test_gateway_direct

FIRST = '10.0.0.1:80'
SECOND = '10.0.0.2:80'
ROWS = (
    test_gateway_direct.plain('i-1', FIRST),
    test_gateway_direct.plain('i-2', SECOND),
)


class PauseTest(test_gateway_direct.DirectTestCase):
    """Guards against requests that reach an endpoint in its pause."""

    def configure(self):
        super().configure()
        self.list(*ROWS)

    def pause(self, name, pause_ms, at_ms=110, sent_ms=100):
        notice = events.EndpointNotice(pause_ms=pause_ms)
        self.feed(events.NoticeReceived(at_ms, name, sent_ms, notice))

    def test_nothing_is_sent_until_the_end_of_the_pause(self):
        self.pause('i-1', 1500)
        for at_ms, names in ((200, {'i-2'}), (1600, {'i-2'})):
            self.assertEqual(names, self.chosen(at_ms))
        self.assertIn('i-1', self.chosen(1620))

    def test_later_answer_without_a_pause_ends_none(self):
        self.pause('i-1', 1500)
        self.pause('i-1', 0, at_ms=210, sent_ms=200)
        self.pause('i-1', 100, at_ms=220, sent_ms=90)
        self.assertEqual({'i-2'}, self.chosen(1000))

    def test_entry_that_lapses_and_returns_ends_no_pause(self):
        self.pause('i-1', 1500)
        self.list(ROWS[1], at_ms=150)
        self.list(*ROWS, at_ms=160)
        self.assertEqual({'i-2'}, self.chosen(1000))

    def test_new_start_has_asked_for_no_pause(self):
        self.pause('i-1', 1500)
        again = test_gateway_direct.plain('i-1@9', FIRST)
        self.list(again, ROWS[1], at_ms=150)
        self.assertIn('i-1@9', self.chosen(200))

    def test_callers_get_the_soonest_end_at_once_where_all_pause(self):
        self.pause('i-1', 3000)
        self.pause('i-2', 1000)
        self.ask(at_ms=300)
        answer = self.answer()
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertIs(errors.Kind.OVERLOADED, answer.kind)
        self.assertGreaterEqual(answer.retry_after_ms, 810)
        self.assertLess(answer.retry_after_ms, 1200)

    def test_last_refusal_brings_the_end_of_its_pause(self):
        self.list(ROWS[0])
        self.ask(at_ms=200)
        name, offer = self.offered()
        self.pause(name, 1000, at_ms=210, sent_ms=200)
        refused = messages.Failed(
            offer.attempt_id, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
        self.receive(refused, 210, name)
        self.feed(events.Ticked(500, 0.5))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertGreaterEqual(answer.retry_after_ms, 710)
