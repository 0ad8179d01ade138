"""Tests of the gateway's reducer: one request and its attempts."""

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
            self.open(name)

    def open(self, name, incarnation='i1', at_ms=0):
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
    def test_answer_is_relayed_whole(self):
        peer, attempt_id = self.arrive()
        self.begin_answer(peer, attempt_id)
        self.assertEqual(1, len(self.of_type(effects.BeginAnswer)))
        self.receive(messages.End(attempt_id, 3), peer=peer)
        (complete,) = self.of_type(effects.CompleteAnswer)
        self.assertEqual(3, complete.count)
        self.feed(events.AnswerRelayed(1, 'r1', attempt_id, 200))
        self.assertEqual({}, self.state.requests)

    def test_refused_attempt_goes_to_another_endpoint(self):
        peer, attempt_id = self.arrive(key='k')
        refused = messages.Failed(
            attempt_id, errors.Kind.LEAVING, errors.Ran.NOT_RUN
        )
        self.receive(refused, peer=peer)
        (send,) = self.of_type(effects.Send)
        self.assertNotEqual(peer, send.peer)
        self.assertNotEqual(attempt_id, send.message.attempt_id)

    def test_link_to_a_leaving_endpoint_is_closed_once_it_owes_nothing(self):
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

    def test_unknown_outcome_is_not_tried_again(self):
        """A booking is made twice.

        A caller books with a key; the endpoint's connection breaks after it
        took the booking, and a second attempt makes another one. Cause: an
        unknown outcome taken for "not run".
        """
        peer, attempt_id = self.arrive(key='k')
        unknown = messages.Failed(
            attempt_id, errors.Kind.ENDPOINT_FAILED, errors.Ran.UNKNOWN
        )
        self.receive(unknown, peer=peer)
        self.assertEqual([], self.of_type(effects.Send))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)

    def test_late_word_of_an_older_attempt_is_dropped(self):
        """A caller gets the answer of an attempt that was given up.

        The first sidecar refuses, a second attempt begins; then the first
        one's link delivers a stale head. Cause: frames matched by request
        instead of by attempt.
        """
        peer, attempt_id = self.arrive()
        refused = messages.Failed(
            attempt_id, errors.Kind.OVERLOADED, errors.Ran.NOT_RUN
        )
        self.receive(refused, peer=peer)
        self.begin_answer(peer, attempt_id)
        self.assertEqual([], self.effects)

    def test_broken_link_is_resumed_at_the_same_process(self):
        peer, attempt_id = self.arrive(key='k')
        self.feed(events.LinkClosed(10, peer))
        self.open(peer, at_ms=20)
        (resume,) = self.of_type(effects.ResumeAnswer)
        self.assertEqual(attempt_id, resume.attempt_id)

    def test_replaced_sidecar_leaves_the_outcome_unknown(self):
        """A porting order runs twice after its sidecar was replaced.

        The link breaks, a new process opens at the address and knows
        nothing of the attempt; offering it again would run it a second
        time. Cause: a new incarnation taken for the old one.
        """
        peer, _ = self.arrive(key='k')
        self.feed(events.LinkClosed(10, peer))
        self.open(peer, incarnation='i2', at_ms=20)
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)
        self.assertEqual([], self.of_type(effects.Send))

    def test_forgotten_attempt_does_not_count_as_not_run(self):
        """A booking is made twice after a gateway was paused for minutes.

        The gateway offers it and is paused; the sidecar runs it, the link
        breaks before the answer, and the ended attempt is forgotten. Woken
        up, the gateway resumes, hears "never seen", and offers it again.
        """
        peer, attempt_id = self.arrive(key='k', deadline_ms=900_000)
        self.feed(events.LinkClosed(100_000, peer))
        self.open(peer, at_ms=100_001)
        never_seen = messages.Failed(
            attempt_id, errors.Kind.ENDPOINT_UNREACHABLE, errors.Ran.NOT_RUN
        )
        self.receive(never_seen, at_ms=100_002, peer=peer)
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.OUTCOME_UNKNOWN, answer.kind)
        self.assertIs(errors.Ran.UNKNOWN, answer.ran)

    def test_deadline_gives_the_final_answer_at_once(self):
        self.arrive()
        self.feed(events.Ticked(builders.DEADLINE_MS))
        (answer,) = self.of_type(effects.AnswerError)
        self.assertIs(errors.Kind.DEADLINE_EXCEEDED, answer.kind)
        self.assertEqual(1, len(self.sent(messages.Cancel)))

    def test_stop_waits_for_the_requests_in_flight(self):
        peer, attempt_id = self.arrive()
        self.feed(events.StopRequested(1))
        self.assertEqual([], self.of_type(effects.Exit))
        self.begin_answer(peer, attempt_id)
        self.feed(events.AnswerRelayed(2, 'r1', attempt_id, 200))
        self.feed(events.Ticked(3))
        self.assertEqual([effects.Exit(0)], self.of_type(effects.Exit))
