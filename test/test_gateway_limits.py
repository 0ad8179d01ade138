"""Tests of the gateway's limits, retry budgets and outlier ejection."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import manifest
from berylhollow import messages
from test import builders
from test import helper


class LimitTestCase(helper.ReducerTestCase):
    def start(self, endpoints=3, **options):
        self.begin(gateway.reduce, builders.gateway_state(**options))
        names = [f'e{number}' for number in range(endpoints)]
        rows = tuple(builders.instance(name) for name in names)
        self.feed(events.InstancesListed(0, rows))
        for name in names:
            role = events.Role.ENDPOINT
            self.feed(events.LinkOpened(0, name, role, 'i1'))

    def send(self, number, at_ms=0, **changes):
        request = builders.request(f'r{number}', **changes)
        return self.feed(events.RequestArrived(at_ms, request))

    def refuse_last(self, kind=errors.Kind.ENDPOINT_FAILED, at_ms=0):
        (send,) = [
            item
            for item in self.of_type(effects.Send)
            if isinstance(item.message, messages.Offer)
        ]
        failed = messages.Failed(
            send.message.attempt_id, kind, errors.Ran.NOT_RUN
        )
        self.receive(failed, at_ms, send.peer)
        return send.peer

    def answered(self):
        return [item.kind for item in self.of_type(effects.AnswerError)]


class CallerLimitTest(LimitTestCase):
    def test_caller_over_its_rate_is_told_when_to_come_back(self):
        self.start(caller_rate_per_s=10, caller_burst=2)
        for number in range(3):
            self.send(number)
        self.assertEqual([errors.Kind.CALLER_LIMIT], self.answered())
        (answer,) = self.of_type(effects.AnswerError)
        self.assertGreater(answer.retry_after_ms, 0)
        self.send(4, at_ms=1000)
        self.assertEqual([], self.answered())

    def test_caller_limit_does_not_affect_other_callers(self):
        self.start(caller_in_flight=1)
        self.send(1)
        self.send(2)
        self.assertEqual([errors.Kind.CALLER_LIMIT], self.answered())
        self.send(3, caller='caller-2')
        self.assertEqual([], self.answered())

    def test_declared_limits_are_shared_by_the_gateways(self):
        self.start(caller_in_flight=100)
        self.state.follower.current.limits = manifest.Limits(in_flight=4)
        peer = builders.instance('g2', events.Role.GATEWAY)
        rows = tuple(x.instance for x in self.state.endpoints.values())
        self.feed(events.InstancesListed(0, (*rows, peer)))
        for number in range(3):
            self.send(number)
        self.assertEqual([errors.Kind.CALLER_LIMIT], self.answered())

    def test_ended_request_no_longer_counts_as_in_flight(self):
        self.start(caller_in_flight=1, adapter_in_flight=1)
        self.send(1)
        self.feed(events.CallerGone(1, 'r1'))
        self.send(2)
        self.assertEqual([], self.answered())

    def test_idle_callers_are_removed(self):
        """Guards against a gateway whose memory grows without bound.

        A caller sends each request under another name, and the limits of
        every name were kept for ever.
        """
        self.start()
        for number in range(50):
            self.send(number, caller=f'caller-{number}')
            self.feed(events.CallerGone(1, f'r{number}'))
        self.feed(events.Ticked(130_000))
        self.assertEqual(0, len(self.state.callers))
        self.assertEqual(0, len(self.state.retry_budgets))


class RetryBudgetTest(LimitTestCase):
    def test_retries_are_a_share_of_the_traffic(self):
        """Guards against goodput that falls while the offered load rises.

        Without a retry budget a request that all endpoints refuse goes to each
        in turn, so that refusing it takes three times the work.
        """
        self.start(eject_failures=10_000)
        offer_count = 0
        for number in range(200):
            self.send(number)
            while self.sent(messages.Offer):
                offer_count += 1
                self.refuse_last()
        self.assertLessEqual(offer_count, 200 + 200 * 0.1 + 10)
        self.assertGreater(offer_count, 200)

    def test_refusal_by_a_leaving_endpoint_needs_no_retry_budget(self):
        self.start(retry_reserve=0, retry_share=0)
        self.send(1)
        self.refuse_last(errors.Kind.LEAVING)
        self.assertEqual(1, len(self.sent(messages.Offer)))

    def test_requests_of_a_lost_endpoint_are_tried_again(self):
        """Half of the requests failed when one of three endpoints died.

        All requests in flight there are lost at once, which is more than the
        reserve of the retry budget. The lost endpoint was treated like an
        overloaded one.
        """
        self.start(retry_reserve=1, retry_share=0)
        offered = []
        for number in range(30):
            self.send(number)
            offered += self.of_type(effects.Send)
        lost_endpoint = offered[0].peer
        self.feed(events.LinkClosed(10, lost_endpoint))
        self.feed(events.Ticked(10 + self.state.options.resume_ms))
        lost = [send for send in offered if send.peer == lost_endpoint]
        self.assertGreater(len(lost), 1)
        self.assertEqual(len(lost), len(self.sent(messages.Offer)))

    def test_busy_endpoint_is_tried_again_after_a_pause(self):
        self.start()
        self.send(1)
        self.refuse_last(errors.Kind.OVERLOADED)
        self.assertEqual([], self.sent(messages.Offer))
        self.feed(events.Ticked(200))
        self.assertEqual(1, len(self.sent(messages.Offer)))

    def test_engine_that_restarted_is_tried_again_when_its_sidecar_knows(self):
        """A request arrives before the only engine's restart is noticed.

        The engine refuses it as not run. Its caller got that error at once,
        as there was no other endpoint to try.
        """
        self.start()
        self.send(1)
        (first,) = self.of_type(effects.Send)
        for name in [n for n in self.state.endpoints if n != first.peer]:
            self.feed(events.LinkClosed(0, name))
        self.feed(
            events.MessageReceived(
                0,
                first.peer,
                messages.Failed(
                    first.message.attempt_id,
                    errors.Kind.ENGINE_RESTARTED,
                    errors.Ran.NOT_RUN,
                ),
            )
        )
        self.assertEqual([], self.sent(messages.Offer))
        self.feed(events.Ticked(1000))
        (retried,) = [
            send
            for send in self.of_type(effects.Send)
            if isinstance(send.message, messages.Offer)
        ]
        self.assertEqual(first.peer, retried.peer)


class EjectionTest(LimitTestCase):
    def test_endpoint_that_fails_fast_is_ejected(self):
        """Most requests of a service failed with one faulty endpoint.

        It fails at once, so it always has free capacity, which was taken for
        health: it was sent most requests.
        """
        self.start(eject_failures=3, attempts=1)
        faulty = None
        for number in range(20):
            self.send(number)
            (send,) = self.of_type(effects.Send)
            faulty = faulty or send.peer
            if send.peer == faulty:
                self.refuse_last()
        self.assertTrue(self.state.endpoints[faulty].ejected_until_ms)
        self.assertNotEqual(faulty, send.peer)
        self.feed(events.Ticked(10_000))
        self.assertTrue(self.state.endpoints[faulty].is_usable_at(10_000))

    def test_at_most_half_of_the_endpoints_are_ejected(self):
        self.start(eject_failures=1, attempts=1)
        for number in range(20):
            self.send(number)
            self.refuse_last()
        ejected = [
            endpoint
            for endpoint in self.state.endpoints.values()
            if not endpoint.is_usable_at(0)
        ]
        self.assertEqual(1, len(ejected))
