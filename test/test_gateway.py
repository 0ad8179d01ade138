"""Tests of a request and its attempts in the gateway's reducer."""

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from berylhollow.standin import log
from test import builders
from test import helper


class GatewayTestCase(helper.ReducerTestCase):
    def setUp(self):
        self.begin(gateway.reduce, builders.gateway_state())
        self.feed(
            events.InstancesListed(
                0, (builders.instance('e1'), builders.instance('e2'))
            )
        )
        for name in ('e1', 'e2'):
            self.open_endpoint_link(name)

    def open_endpoint_link(self, name, incarnation='i1', at_ms=0):
        role = events.Role.ENDPOINT
        return self.feed(events.LinkOpened(at_ms, name, role, incarnation))

    def arrive(self, **changes):
        self.feed(events.RequestArrived(0, builders.request(**changes)))
        self.answer_log(log.LogModel())
        (send,) = self.of_type(effects.Send)
        return send.peer, send.message.attempt_id

    def begin_answer(self, peer, attempt_id):
        head = messages.Started(attempt_id, 200, (), builders.adapter())
        self.receive(head, peer=peer)


class RequestTest(GatewayTestCase):
    def test_complete_answer_is_relayed(self):
        peer, attempt_id = self.arrive()
        self.begin_answer(peer, attempt_id)
        self.assertEqual(1, len(self.of_type(effects.BeginAnswer)))
        self.receive(messages.End(attempt_id, 3), peer=peer)
        (complete,) = self.of_type(effects.CompleteAnswer)
        self.assertEqual(3, complete.count)
        self.feed(events.AnswerRelayed(1, 'r1', attempt_id, 200))
        self.assertEqual({}, self.state.requests)

    def test_refused_attempt_is_retried_at_another_endpoint(self):
        peer, attempt_id = self.arrive(key='k')
        refused = messages.Failed(
            attempt_id, errors.Kind.LEAVING, errors.Ran.NOT_RUN
        )
        self.receive(refused, peer=peer)
        (send,) = self.of_type(effects.Send)
        self.assertNotEqual(peer, send.peer)
        self.assertNotEqual(attempt_id, send.message.attempt_id)

    def test_link_to_a_leaving_endpoint_closes_after_its_last_answer(self):
        peer, attempt_id = self.arrive()
        self.begin_answer(peer, attempt_id)
        self.state.endpoints[peer].leaving = True
        self.feed(events.Ticked(10))
        self.assertEqual([], self.of_type(effects.CloseLink))
        self.feed(events.AnswerRelayed(20, 'r1', attempt_id, 200))
        self.feed(events.Ticked(30))
        self.assertEqual(
            [effects.CloseLink(peer)], self.of_type(effects.CloseLink)
        )
        self.feed(events.LinkClosed(40, peer), events.Ticked(50))
        self.assertEqual([], self.of_type(effects.OpenLink))

    def test_unknown_outcome_is_not_retried(self):
        """Guards against a booking that is made twice.

        The endpoint's connection breaks after it has accepted a booking with
        an idempotency key. If the unknown outcome is taken for "not run", a
        second attempt makes another booking.
        """
        peer, attempt_id = self.arrive(key='k')
        unknown = messages.Failed(
            attempt_id, errors.Kind.ENDPOINT_FAILED, errors.Ran.UNKNOWN
        )
        self.receive(unknown, peer=peer)
        self.assertEqual([], self.of_type(effects.Send))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)

    def test_late_message_of_an_older_attempt_is_dropped(self):
        """Guards against relaying the answer of an abandoned attempt.

        The first sidecar refuses and a second attempt begins. Then the first
        link delivers a stale head, which is relayed if frames are matched by
        request instead of by attempt.
        """
        peer, attempt_id = self.arrive()
        refused = messages.Failed(
            attempt_id, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
        self.receive(refused, peer=peer)
        self.begin_answer(peer, attempt_id)
        self.assertEqual([], self.effects)

    def test_attempt_is_resumed_at_the_same_process(self):
        peer, attempt_id = self.arrive(key='k')
        self.feed(events.LinkClosed(10, peer))
        self.open_endpoint_link(peer, at_ms=20)
        (resume,) = self.of_type(effects.ResumeAnswer)
        self.assertEqual(attempt_id, resume.attempt_id)

    def test_replaced_sidecar_makes_the_outcome_unknown(self):
        """Guards against an order that runs twice after a sidecar's restart.

        The link breaks, and a new process at the address knows nothing of the
        attempt. If the new incarnation is taken for the old one, the attempt
        is offered again and runs a second time.
        """
        peer, _ = self.arrive(key='k')
        self.feed(events.LinkClosed(10, peer))
        self.open_endpoint_link(peer, incarnation='i2', at_ms=20)
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)
        self.assertEqual([], self.of_type(effects.Send))

    def test_forgotten_attempt_does_not_count_as_not_run(self):
        """Guards against a booking that is made twice by a paused gateway.

        The gateway is paused for minutes after an offer. The sidecar runs the
        attempt, the link breaks before the answer, and the sidecar forgets
        the ended attempt. The gateway then tries to resume it, is told that
        it was never seen, and offers it again.
        """
        peer, attempt_id = self.arrive(key='k', deadline_ms=900_000)
        self.feed(events.LinkClosed(100_000, peer))
        self.open_endpoint_link(peer, at_ms=100_001)
        never_seen = messages.Failed(
            attempt_id, errors.Kind.ENDPOINT_UNREACHABLE, errors.Ran.NOT_RUN
        )
        self.receive(never_seen, at_ms=100_002, peer=peer)
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.OUTCOME_UNKNOWN, answer.kind)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)

    def test_exceeded_deadline_fails_the_request(self):
        self.arrive()
        self.feed(events.Ticked(builders.DEADLINE_MS))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.DEADLINE_EXCEEDED, answer.kind)
        self.assertEqual(1, len(self.sent(messages.Cancel)))

    def test_stop_waits_for_requests_in_flight(self):
        peer, attempt_id = self.arrive()
        self.feed(events.StopRequested(1))
        self.assertEqual([], self.of_type(effects.Exit))
        self.begin_answer(peer, attempt_id)
        self.feed(events.AnswerRelayed(2, 'r1', attempt_id, 200))
        self.feed(events.Ticked(3))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))
