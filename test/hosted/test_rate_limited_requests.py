"""Tests of requests for which only rate-limited endpoints are left."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow.util import addresses
from test.hosted import test_gateway_direct

MODEL_ADDRESS = '10.0.0.9:80'
LENDER_PEER = addresses.sidecar_peer(MODEL_ADDRESS)
FIRST_ADDRESS = '10.0.0.1:80'
SECOND_ADDRESS = '10.0.0.2:80'


class RateLimitTest(test_gateway_direct.DirectTestCase):
    """A plain endpoint, ``i-1``, with a limit of one request a second."""

    def configure(self):
        super().configure()
        rows = (
            test_gateway_direct.direct_instance('i-9', MODEL_ADDRESS),
            test_gateway_direct.plain('i-1', FIRST_ADDRESS),
        )
        self.list_instances(*rows)
        self.feed(
            events.LinkOpened(0, LENDER_PEER, events.Role.ENDPOINT, 'lender#1')
        )
        self.send_notice(1.0)
        self.tick(50)

    def send_notice(self, rate_per_s, at_ms=0):
        notice = events.EndpointNotice(rate_per_s=rate_per_s)
        self.feed(events.NoticeReceived(at_ms, 'i-1', at_ms, notice))

    def tick(self, at_ms):
        return self.feed(events.Ticked(at_ms, 0.5))

    def rate_requests(self):
        return [
            effect.message
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.RateWanted)
        ]

    def send_loan(self, count, wait_ms=0, at_ms=0):
        return self.receive(
            messages.RateLent('i-1', count, wait_ms), at_ms, LENDER_PEER
        )

    def test_request_waits_for_the_lenders_answer(self):
        self.send_request(at_ms=100)
        self.assertEqual(
            [messages.RateWanted('i-1', 1.0, 1)], self.rate_requests()
        )
        self.assertEqual([], self.of_type(effects.AnswerError))
        self.send_loan(1, at_ms=105)
        self.assertEqual('i-1', self.offered()[0])

    def test_refusal_has_the_time_until_the_limit_allows_a_request(self):
        """Guards against requests that wait for the limit until too late."""
        self.send_request(at_ms=100)
        self.send_loan(0, wait_ms=700, at_ms=105)
        answer = self.answer()
        self.assertIs(errors.Kind.OVERLOADED, answer.kind)
        self.assertIs(errors.Ran.NOT_RUN, answer.ran)
        self.assertGreaterEqual(answer.retry_after_ms, 700)
        self.send_request(at_ms=110)
        self.assertGreaterEqual(self.answer().retry_after_ms, 695)

    def test_request_does_not_wait_long_for_a_silent_lender(self):
        self.send_request(at_ms=100)
        for at_ms in range(150, 500, 50):
            self.tick(at_ms)
            if self.of_type(effects.AnswerError):
                break
        self.assertLessEqual(at_ms, 400)

    def test_another_lender_is_asked_only_after_a_pause(self):
        """Guards against two lenders that lend the same rate at one time.

        Only this gateway's link to the lender breaks; the other gateways go
        on to borrow from it.
        """
        rows = [
            test_gateway_direct.direct_instance('i-9', MODEL_ADDRESS),
            test_gateway_direct.direct_instance('i-8', SECOND_ADDRESS),
            test_gateway_direct.plain('i-1', FIRST_ADDRESS),
        ]
        self.list_instances(*rows)
        other = addresses.sidecar_peer(SECOND_ADDRESS)
        self.feed(events.LinkOpened(60, other, events.Role.ENDPOINT, 's#1'))
        self.tick(100)
        lender = self.state.endpoints['i-1'].loan.lender
        self.feed(events.LinkClosed(150, lender))
        for at_ms in range(200, 1600, 50):
            self.tick(at_ms)
            self.send_request(at_ms=at_ms)
            self.assertEqual([], self.rate_requests())
        self.tick(1700)
        self.assertEqual(1, len(self.rate_requests()))

    def test_lender_is_asked_at_once_after_its_link_reopens(self):
        self.feed(events.LinkClosed(100, LENDER_PEER))
        self.tick(150)
        reopened = events.LinkOpened(
            200, LENDER_PEER, events.Role.ENDPOINT, 'l#1'
        )
        self.feed(reopened)
        self.tick(250)
        self.send_request(at_ms=300)
        self.assertEqual(1, len(self.rate_requests()))

    def test_endpoint_without_a_limit_is_preferred(self):
        self.list_instances(
            test_gateway_direct.direct_instance('i-9', MODEL_ADDRESS),
            test_gateway_direct.plain('i-1', FIRST_ADDRESS),
            test_gateway_direct.plain('i-2', SECOND_ADDRESS),
        )
        self.send_request(at_ms=100)
        self.assertEqual('i-2', self.offered()[0])

    def test_each_attempt_uses_a_loan(self):
        """Guards against retries that are sent without a loan."""
        self.send_request(at_ms=100)
        self.send_loan(1, at_ms=105)
        self.fail_attempt(errors.Kind.OVERLOADED, at_ms=120)
        self.send_request(at_ms=130)
        self.assertEqual([], self.offers())

    def test_new_sidecar_does_not_lower_the_gateway_count(self):
        """Guards against gateways that each use the whole rate.

        A sidecar that has just started has a link to only one gateway, and
        reports that number.
        """
        self.list_instances(
            test_gateway_direct.direct_instance('i-9', MODEL_ADDRESS),
            test_gateway_direct.direct_instance('i-8', SECOND_ADDRESS),
            test_gateway_direct.plain('i-1', FIRST_ADDRESS),
        )
        other = addresses.sidecar_peer(SECOND_ADDRESS)
        self.feed(events.LinkOpened(0, other, events.Role.ENDPOINT, 's#1'))
        self.report(MODEL_ADDRESS, gateways=21)
        self.report(SECOND_ADDRESS, gateways=1)
        self.assertEqual(21, self.state.gateways)

    def test_request_is_sent_once_the_limit_ends(self):
        self.send_request(at_ms=100)
        self.send_notice(None, at_ms=110)
        self.tick(160)
        self.assertEqual('i-1', self.offered()[0])

    def test_restarted_endpoint_has_no_limit(self):
        self.list_instances(
            test_gateway_direct.direct_instance('i-9', MODEL_ADDRESS),
            test_gateway_direct.plain('i-1@2', FIRST_ADDRESS),
        )
        self.send_request(at_ms=100)
        self.assertEqual('i-1@2', self.offered()[0])


class RestartTest(test_gateway_direct.DirectTestCase):
    """Gateways whose lists have different starts of a limited endpoint."""

    def ask(self, started_ms):
        """Return the loan that a gateway with a start in its list asks for.

        Returns it with the sidecar that is asked.
        """
        self.setUp()
        incarnation = messages.Incarnation('i-1', started_ms)
        name = str(incarnation)
        lenders = [f'10.0.1.{number}:80' for number in range(20)]
        self.list_instances(
            test_gateway_direct.plain(
                name, FIRST_ADDRESS, incarnation=incarnation
            ),
            *(
                test_gateway_direct.direct_instance(f'm-{address}', address)
                for address in lenders
            ),
        )
        for address in lenders:
            peer = addresses.sidecar_peer(address)
            self.open_link(peer, events.Role.ENDPOINT)
        notice = events.EndpointNotice(rate_per_s=3.0)
        self.feed(events.NoticeReceived(10, name, 10, notice))
        self.feed(events.Ticked(50, 0.5))
        self.send_request(at_ms=100)
        (asked,) = (
            effect
            for effect in self.of_type(effects.Send)
            if isinstance(effect.message, messages.RateWanted)
        )
        return asked

    def test_gateways_borrow_from_one_bucket_at_any_start(self):
        """Guards against twice the rate while lists differ.

        Both gateways reach the new start, which keeps its name and address.
        """
        asked = {self.ask(started_ms) for started_ms in range(1, 9)}
        self.assertEqual(1, len(asked), asked)

    def test_loan_for_a_name_is_of_the_start_that_asked(self):
        """Guards against answers that are taken for those of nobody."""
        asked = self.ask(9)
        lent = messages.RateLent(asked.message.endpoint, 1, 0)
        self.receive(lent, 105, asked.peer)
        self.assertEqual('i-1@9', self.offered()[0])
