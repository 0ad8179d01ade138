"""A gateway's requests where every endpoint left names a rate limit."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct

MODEL = '10.0.0.9:80'
LENDER = addresses.beside(MODEL)
FIRST = '10.0.0.1:80'
SECOND = '10.0.0.2:80'


class RoomTest(test_gateway_direct.DirectTestCase):
    """One plain endpoint, ``i-1``, that takes one request a second."""

    def configure(self):
        super().configure()
        rows = (
            test_gateway_direct.row('i-9', MODEL),
            test_gateway_direct.plain('i-1', FIRST),
        )
        self.list(*rows)
        self.feed(
            events.LinkOpened(0, LENDER, events.Role.ENDPOINT, 'lender#1')
        )
        self.say(1.0)
        self.tick(50)

    def say(self, rate_per_s, at_ms=0):
        notice = events.EndpointNotice(rate_per_s=rate_per_s)
        self.feed(events.NoticeReceived(at_ms, 'i-1', at_ms, notice))

    def tick(self, at_ms):
        return self.feed(events.Ticked(at_ms, 0.5))

    def wanted(self):
        return [
            effect.message
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.RateWanted)
        ]

    def lend(self, count, wait_ms=0, at_ms=0):
        return self.receive(
            messages.RateLent('i-1', count, wait_ms), at_ms, LENDER
        )

    def test_request_waits_for_the_lender_alone(self):
        self.ask(at_ms=100)
        self.assertEqual([messages.RateWanted('i-1', 1.0, 1)], self.wanted())
        self.assertEqual([], self.of_type(effects.AnswerError))
        self.lend(1, at_ms=105)
        self.assertEqual('i-1', self.offered()[0])

    def test_refused_at_once_with_the_time_at_which_there_is_room(self):
        """Guards against requests that wait for room until they are late."""
        self.ask(at_ms=100)
        self.lend(0, wait_ms=700, at_ms=105)
        answer = self.answer()
        self.assertIs(errors.Kind.OVERLOADED, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreaterEqual(answer.retry_after_ms, 700)
        self.ask(at_ms=110)
        self.assertGreaterEqual(self.answer().retry_after_ms, 695)

    def test_silent_lender_is_not_waited_for(self):
        self.ask(at_ms=100)
        for at_ms in range(150, 500, 50):
            self.tick(at_ms)
            if self.of_type(effects.AnswerError):
                break
        self.assertLessEqual(at_ms, 400)

    def test_another_lender_is_asked_only_after_a_pause(self):
        """Guards against two lenders that lend for the same moment.

        The link to the lender breaks at this gateway alone; the others go on
        with it.
        """
        rows = [
            test_gateway_direct.row('i-9', MODEL),
            test_gateway_direct.row('i-8', SECOND),
            test_gateway_direct.plain('i-1', FIRST),
        ]
        self.list(*rows)
        other = addresses.beside(SECOND)
        self.feed(events.LinkOpened(60, other, events.Role.ENDPOINT, 's#1'))
        self.tick(100)
        lender = self.state.endpoints['i-1'].loan.lender
        self.feed(events.LinkClosed(150, lender))
        for at_ms in range(200, 1600, 50):
            self.tick(at_ms)
            self.ask(at_ms=at_ms)
            self.assertEqual([], self.wanted())
        self.tick(1700)
        self.assertEqual(1, len(self.wanted()))

    def test_lender_whose_link_is_open_again_is_asked_at_once(self):
        self.feed(events.LinkClosed(100, LENDER))
        self.tick(150)
        again = events.LinkOpened(200, LENDER, events.Role.ENDPOINT, 'l#1')
        self.feed(again)
        self.tick(250)
        self.ask(at_ms=300)
        self.assertEqual(1, len(self.wanted()))

    def test_endpoint_without_a_limit_is_taken(self):
        self.list(
            test_gateway_direct.row('i-9', MODEL),
            test_gateway_direct.plain('i-1', FIRST),
            test_gateway_direct.plain('i-2', SECOND),
        )
        self.ask(at_ms=100)
        self.assertEqual('i-2', self.offered()[0])

    def test_each_attempt_counts(self):
        """Guards against repeats that are sent without a loan."""
        self.ask(at_ms=100)
        self.lend(1, at_ms=105)
        self.fail_attempt(errors.Kind.OVERLOADED, at_ms=120)
        self.ask(at_ms=130)
        self.assertEqual([], self.offers())

    def test_sidecar_that_starts_anew_does_not_make_few_gateways(self):
        """Guards against gateways that take the whole rate, each alone.

        A sidecar that has just started has a link to one gateway.
        """
        self.list(
            test_gateway_direct.row('i-9', MODEL),
            test_gateway_direct.row('i-8', SECOND),
            test_gateway_direct.plain('i-1', FIRST),
        )
        other = addresses.beside(SECOND)
        self.feed(events.LinkOpened(0, other, events.Role.ENDPOINT, 's#1'))
        self.report(MODEL, gateways=21)
        self.report(SECOND, gateways=1)
        self.assertEqual(21, self.state.gateways)

    def test_end_of_the_limit_ends_the_wait(self):
        self.ask(at_ms=100)
        self.say(None, at_ms=110)
        self.tick(160)
        self.assertEqual('i-1', self.offered()[0])

    def test_new_start_of_the_endpoint_has_no_limit(self):
        self.list(
            test_gateway_direct.row('i-9', MODEL),
            test_gateway_direct.plain('i-1@2', FIRST),
        )
        self.ask(at_ms=100)
        self.assertEqual('i-1@2', self.offered()[0])
