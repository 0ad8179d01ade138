"""Tests of endpoints that refuse a request and ask for a pause."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from test.hosted import test_gateway_direct

FIRST = '10.0.0.1:80'
SECOND = '10.0.0.2:80'
INSTANCES = (
    test_gateway_direct.plain('i-1', FIRST),
    test_gateway_direct.plain('i-2', SECOND),
)


class PauseTest(test_gateway_direct.DirectTestCase):
    """Guards against requests sent to an endpoint during its pause."""

    def configure(self):
        super().configure()
        self.list_instances(*INSTANCES)

    def pause(self, name, pause_ms, at_ms=110, sent_ms=100):
        notice = events.EndpointNotice(pause_ms=pause_ms)
        self.feed(events.NoticeReceived(at_ms, name, sent_ms, notice))

    def test_no_request_is_sent_during_a_pause(self):
        self.pause('i-1', 1500)
        for at_ms, names in ((200, {'i-2'}), (1600, {'i-2'})):
            self.assertEqual(names, self.chosen_endpoints(at_ms))
        self.assertIn('i-1', self.chosen_endpoints(1620))

    def test_other_answers_do_not_shorten_a_pause(self):
        self.pause('i-1', 1500)
        self.pause('i-1', 0, at_ms=210, sent_ms=200)
        self.pause('i-1', 100, at_ms=220, sent_ms=90)
        self.assertEqual({'i-2'}, self.chosen_endpoints(1000))

    def test_pause_outlasts_a_gap_in_the_instance_list(self):
        self.pause('i-1', 1500)
        self.list_instances(INSTANCES[1], at_ms=150)
        self.list_instances(*INSTANCES, at_ms=160)
        self.assertEqual({'i-2'}, self.chosen_endpoints(1000))

    def test_restarted_endpoint_is_not_paused(self):
        self.pause('i-1', 1500)
        restarted = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(restarted, INSTANCES[1], at_ms=150)
        self.assertIn('i-1@9', self.chosen_endpoints(200))

    def test_pause_of_a_new_start_that_is_not_listed_yet(self):
        """Guards against requests within a pause that a new start asked for.

        Its answer was taken for one of the start before, which had cut off a
        run, and its entry in the list then had no pause.
        """
        self.list_instances(INSTANCES[0])
        self.send_request(at_ms=50)
        kind = errors.Kind.ENGINE_RESTARTED
        self.fail_attempt(kind, errors.Ran.UNKNOWN, at_ms=60)
        self.pause('i-1', 1500)
        restarted = test_gateway_direct.plain('i-1@9', FIRST)
        self.list_instances(restarted, INSTANCES[1], at_ms=150)
        self.assertEqual({'i-2'}, self.chosen_endpoints(1000))
        self.assertIn('i-1@9', self.chosen_endpoints(1620))

    def test_refusal_has_the_soonest_end_if_all_endpoints_pause(self):
        self.pause('i-1', 3000)
        self.pause('i-2', 1000)
        self.send_request(at_ms=300)
        answer = self.answer()
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertIs(errors.Kind.OVERLOADED, answer.kind)
        self.assertGreaterEqual(answer.retry_after_ms, 810)
        self.assertLess(answer.retry_after_ms, 1200)

    def test_refusal_has_the_end_of_the_last_pause(self):
        self.list_instances(INSTANCES[0])
        self.send_request(at_ms=200)
        name, offer = self.offered()
        self.pause(name, 1000, at_ms=210, sent_ms=200)
        refused = messages.Failed(
            offer.attempt_id, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
        self.receive(refused, 210, name)
        self.feed(events.Ticked(500, 0.5))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertGreaterEqual(answer.retry_after_ms, 710)
