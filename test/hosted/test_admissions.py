"""Tests of a gateway that asks sidecars for the admission of prompts."""

import random

from berylhollow import effects
from berylhollow import errors
from berylhollow import events
from berylhollow import messages
from berylhollow import metrics
from berylhollow.util import addresses
from test.hosted import test_gateway_direct as direct
from test import platform_builders as builders

ADDRESSES = {'i-1': '10.0.0.1:80', 'i-2': '10.0.0.2:80'}
PEERS = {x: addresses.sidecar_peer(ADDRESSES[x]) for x in ADDRESSES}
NAMES = {peer: name for name, peer in PEERS.items()}
ADAPTER = messages.AdapterVersion(builders.adapter_name(), '1')
TOKENS = 2000
TICK_MS = 50


class AdmissionTestCase(direct.DirectTestCase):
    """Two endpoints of a paced service, of which i-1 holds the adapter."""

    tokens_per_event = 4

    def configure(self):
        self.history = []
        self.now_ms = 10
        route = builders.route(Kind='safe', MaxAttempts=2)
        engine = {'Stride': self.tokens_per_event}
        record = builders.configuration_record(routes=[route], engine=engine)
        self.publish(record)
        self.list_rows()
        for peer in PEERS.values():
            self.open_link(peer, events.Role.ENDPOINT)
        self.hold('i-1')

    def feed(self, *given):
        done = super().feed(*given)
        if hasattr(self, 'history'):
            self.history += self.of_type(effects.Send)
        for count in self.of_type(effects.Count):
            metrics.check(count.name, dict(count.attributes))
        return done

    def list_rows(self, leaving=''):
        rows = [
            direct.direct_instance(
                name, address, adapters=(ADAPTER,), leaving=name == leaving
            )
            for name, address in ADDRESSES.items()
        ]
        self.list_instances(*rows, at_ms=self.now_ms)

    def hold(self, *names):
        for name, address in ADDRESSES.items():
            held = (ADAPTER,) if name in names else ()
            self.report(address, *held, at_ms=self.now_ms)

    def tick_to(self, end_ms):
        """Tick up to ``end_ms`` and keep the effects of all ticks."""
        kept = []
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            kept += self.feed(events.Ticked(self.now_ms, 0.5))
        self.effects = kept

    def send(self, *_, **changes):
        values = {'adapter': 'a3', 'prompt_tokens': TOKENS} | changes
        self.send_request(direct.MODEL_PATH, self.now_ms, **values)

    def told(self, message_type):
        """Return what sidecars were sent until now, by endpoint."""
        return [
            (NAMES[x.peer], x.message)
            for x in self.history
            if isinstance(x.message, message_type)
        ]

    def asked(self):
        """Return the endpoints whose sidecars were asked, in order."""
        return [name for name, _ in self.told(messages.AdmissionWanted)]

    def ended(self):
        """Return where admissions ended, and whether answers had begun."""
        ended = self.told(messages.AdmissionEnded)
        return [(name, message.begun) for name, message in ended]

    def tell(self, message, name='i-1'):
        self.receive(message, self.now_ms, PEERS[name])

    def grant(self, name='i-1'):
        self.tell(messages.AdmissionGranted(f'r{self.sent_count}'), name)

    def queue(self, wait_ms, name='i-1'):
        request_id = f'r{self.sent_count}'
        self.tell(messages.AdmissionQueued(request_id, wait_ms), name)

    def begin_answer(self, status=200):
        """Let the endpoint answer the last offer; return its answer's data."""
        peer, offer = self.offered()
        started = messages.Started(offer.attempt_id, status, (), offer.adapter)
        self.receive(started, self.now_ms, peer)
        return peer, messages.Data(offer.attempt_id, 0, b'x')

    def relay_answer(self, longest_gap_ms=0):
        peer, data = self.begin_answer()
        self.receive(data, self.now_ms, peer)
        self.receive(messages.End(data.attempt_id, 1), self.now_ms, peer)
        relayed = events.AnswerRelayed(
            self.now_ms,
            f'r{self.sent_count}',
            data.attempt_id,
            200,
            longest_gap_ms=longest_gap_ms,
        )
        self.feed(relayed)


class GrantTest(AdmissionTestCase):
    def test_request_is_sent_in_the_event_of_its_grant(self):
        """Guards against a grant that is used late, while others wait."""
        self.send()
        self.assertEqual([], self.offers())
        terms = messages.AdmissionWanted('r1', TOKENS, 1, '', 1000, 400, 4)
        self.assertEqual([('i-1', terms)], self.told(type(terms)))
        self.grant()
        self.assertEqual('i-1', self.offered()[0])

    def test_only_the_first_event_of_an_answer_tells_that_it_has_begun(self):
        """Guards against the next batch being sent while this one is read."""
        self.send()
        self.grant()
        peer, data = self.begin_answer()
        self.assertEqual([], self.ended())
        self.receive(data, 30, peer)
        self.receive(messages.End(data.attempt_id, 1), 40, peer)
        self.feed(events.AnswerRelayed(50, 'r1', data.attempt_id, 200))
        self.assertEqual([('i-1', True)], self.ended())

    def test_longest_gap_of_answers_is_told_once(self):
        """Guards against a limit that never follows what callers see."""
        for gap_ms in (120, 350):
            self.send()
            self.grant()
            self.relay_answer(gap_ms)
        self.tick_to(3000)
        demands = self.told(messages.AdapterDemands)
        gaps = [x.longest_gap_ms for name, x in demands if name == 'i-1']
        self.assertEqual([350], [gap_ms for gap_ms in gaps if gap_ms])

    def test_urgent_requests_count_more_in_the_demand(self):
        """Guards against loads that are ordered by counts alone."""
        self.hold()
        for priority in (0, 2):
            route = builders.route(Kind='safe', Priority=priority)
            record = builders.configuration_record(
                8 + priority, routes=[route], engine={'Stride': 4}
            )
            self.publish(record)
            self.send()
        self.tick_to(600)
        entries = [
            entry
            for _, message in self.told(messages.AdapterDemands)
            for entry in message.entries
            if entry.waiting == 2
        ]
        self.assertEqual({4}, {entry.urgency for entry in entries})

    def test_answer_without_an_event_ends_the_admission(self):
        """Guards against a grant that counts until it expires after 3 s."""
        self.send()
        self.grant()
        peer, data = self.begin_answer()
        self.receive(messages.End(data.attempt_id, 0), 40, peer)
        self.assertEqual([('i-1', False)], self.ended())
        self.send()
        self.grant()
        peer, data = self.begin_answer(status=400)
        self.receive(data, 50, peer)
        self.assertEqual([('i-1', False)] * 2, self.ended())

    def test_failed_attempt_is_admitted_again_elsewhere(self):
        """Guards against a retry that is sent without admission."""
        self.hold('i-1', 'i-2')
        self.send()
        self.grant(*self.asked())
        self.fail_attempt(errors.Kind.OVERLOADED, at_ms=20)
        self.assertEqual([(*self.asked(), False)], self.ended())
        self.tick_to(200)
        self.assertEqual([], self.offers())
        self.assertEqual({'i-1', 'i-2'}, set(self.asked()))

    def test_suspect_takes_its_permit_after_the_grant(self):
        """Guards against a permit that others wait for while this one waits.

        While others like it run, it does not keep the grant either.
        """
        self.tell(messages.RunLost('f', 'i-9', False))
        self.send(fingerprint='f')
        self.assertEqual([], self.told(messages.ProbeWanted))
        self.grant()
        ((asked, _),) = self.told(messages.ProbeWanted)
        self.assertEqual([], self.ended())
        self.tell(messages.ProbeAnswered('f', False), asked)
        self.assertEqual([('i-1', False)], self.ended())
        self.tick_to(100)
        self.grant()
        self.grant_permit(self.now_ms)
        self.assertEqual('i-1', self.offered()[0])
        self.send(fingerprint='f')
        self.grant()
        self.assertEqual([('i-1', False)] * 2, self.ended())

    def test_granted_request_goes_before_those_that_wait(self):
        """Guards against a grant that a rate limit holds back for others."""
        self.send()
        self.send()
        notice = events.EndpointNotice(rate_per_s=1.0)
        self.feed(events.NoticeReceived(10, 'i-1', 10, notice))
        self.state.endpoints['i-1'].loan.own_level = 1.0
        self.grant()
        self.assertEqual('i-1', self.offered()[0])


class WaitTest(AdmissionTestCase):
    """A request was queued by the sidecar of i-1."""

    def configure(self):
        super().configure()
        self.send()
        self.queue(300)

    def test_waiting_prompt_keeps_its_adapter_and_is_logged(self):
        """Guards against an adapter that is evicted before the grant."""
        (logged,) = self.logged('request waits for admission')
        self.assertEqual(('i-1', 300), (logged['endpoint'], logged['wait_ms']))
        self.send(adapter=None)
        self.tick_to(TICK_MS)
        demands = dict(self.told(messages.AdapterDemands))['i-1']
        self.assertEqual([1], [entry.waiting for entry in demands.entries])
        self.assertEqual(TOKENS, demands.waiting_tokens)

    def test_first_use_of_an_adapter_is_told_while_loads_wait(self):
        """Guards against its eviction before the next regular report."""
        self.feed(events.CallerGone(20, 'r1'))
        wanted = (messages.AdapterVersion('other', '1'),)
        self.report(ADDRESSES['i-1'], ADAPTER, wanted=wanted)
        self.tick_to(1500)
        self.send(prompt_tokens=10)
        self.tick_to(1550)
        (demands,) = self.sent(messages.AdapterDemands)
        self.assertEqual([1], [entry.waiting for entry in demands.entries])

    def test_lost_grant_is_asked_for_anew(self):
        """Guards against a request that waits for ever for a lost grant."""
        self.tick_to(300 + 450)
        self.assertEqual(['i-1'], self.asked())
        self.tick_to(900)
        self.assertEqual((['i-1'] * 2, []), (self.asked(), self.ended()))

    def test_request_moves_to_an_endpoint_with_less_to_read(self):
        """Guards against an admission that is kept at both endpoints."""
        self.hold('i-1', 'i-2')
        self.report(ADDRESSES['i-1'], ADAPTER, waiting_tokens=50_000)
        self.tick_to(200)
        self.assertEqual(['i-1', 'i-2'], self.asked())
        self.assertEqual([('i-1', False)], self.ended())
        self.grant('i-1')
        self.assertEqual([], self.offers())
        self.assertEqual([('i-1', False)] * 2, self.ended())
        self.grant('i-2')
        self.assertEqual('i-2', self.offered()[0])

    def test_caller_that_leaves_ends_the_admission(self):
        """Guards against a grant that is kept for nobody."""
        self.feed(events.CallerGone(20, 'r1'))
        self.assertEqual([('i-1', False)], self.ended())
        self.grant()
        self.assertEqual([], self.offers())
        self.assertEqual([('i-1', False)] * 2, self.ended())

    def test_evicted_adapter_ends_the_admission(self):
        """Guards against a grant that is held while an adapter is loaded.

        The endpoint's next prompts would wait for the load. The request asks
        again with the report that the adapter is there.
        """
        only = direct.direct_instance(
            'i-1', ADDRESSES['i-1'], adapters=(ADAPTER,)
        )
        self.list_instances(only, at_ms=self.now_ms)
        for grants in (False, True):
            with self.subTest(grants=grants):
                self.history.clear()
                self.hold()
                if grants:
                    self.grant()
                else:
                    self.tick_to(self.now_ms + 150)
                self.assertEqual([], self.offers())
                self.assertEqual([('i-1', False)], self.ended())
                self.hold('i-1')
                self.assertEqual(['i-1'], self.asked())

    def test_sidecar_of_another_address_is_asked_anew(self):
        """Guards against a wait for the sidecar of a former address."""
        self.hold('i-1', 'i-2')
        moved = direct.direct_instance(
            'i-1', '10.0.0.3:80', adapters=(ADAPTER,)
        )
        self.list_instances(moved, at_ms=self.now_ms)
        self.tick_to(200)
        self.assertEqual('i-1', self.offered()[0])

    def test_sidecar_that_is_no_longer_used_is_not_waited_for(self):
        """Guards against a crash, or a wait, without the asked sidecar."""
        self.send()
        self.publish(at_ms=20)
        engine = {'Stride': 4, 'AdapterSlots': 0}
        record = builders.configuration_record(9, engine=engine)
        self.publish(record, at_ms=20, begun_ms=20)
        self.tick_to(250)
        self.assertEqual({}, self.state.sidecars)
        self.assertEqual(2, len(self.offers()))

    def test_removed_endpoint_keeps_the_backlog_of_the_last_one(self):
        """Guards against tokens taken off an endpoint they weren't sent to.

        A request that waits at an endpoint that is removed has no tokens
        anywhere; those it had were taken off where it was tried before.
        """
        self.hold('i-1', 'i-2')
        self.grant()
        self.fail_attempt(errors.Kind.LEAVING, at_ms=self.now_ms)
        self.assertEqual(['i-1', 'i-2'], self.asked())
        first = direct.direct_instance(
            'i-1', ADDRESSES['i-1'], adapters=(ADAPTER,)
        )
        self.list_instances(first, at_ms=self.now_ms)
        self.feed(events.CallerGone(self.now_ms, 'r1'))
        self.assertEqual(0, self.state.endpoints['i-1'].waiting_tokens)

    def test_request_is_sent_once_its_service_is_not_paced(self):
        """Guards against a wait for admission that nothing calls for."""
        self.publish(at_ms=20)
        record = builders.configuration_record(9, engine={'Stride': 1})
        self.publish(record, at_ms=20, begun_ms=20)
        self.tick_to(150)
        self.assertEqual('i-1', self.offered()[0])
        self.assertEqual([('i-1', False)], self.ended())

    def test_closed_link_lets_the_request_be_sent_at_once(self):
        """Guards against a wait for a sidecar that has ended."""
        self.feed(events.LinkClosed(20, PEERS['i-1']))
        self.assertEqual('i-1', self.offered()[0])
        self.assertEqual([], self.ended())

    def test_link_that_closes_after_the_grant_loses_no_end(self):
        """Guards against a grant that counts on at a sidecar that lives."""
        self.grant()
        peer, data = self.begin_answer()
        self.feed(events.LinkClosed(20, PEERS['i-1']))
        self.open_link(PEERS['i-1'], events.Role.ENDPOINT, 30)
        self.receive(data, 50, peer)
        self.assertEqual([('i-1', True)], self.ended())

    def test_leaving_endpoint_gets_nothing_new(self):
        """Guards against a grant that is used at an endpoint that leaves."""
        self.hold('i-1', 'i-2')
        self.list_rows(leaving='i-1')
        self.grant()
        self.assertEqual([], self.offers())
        self.assertEqual(['i-1', 'i-2'], self.asked())
        self.assertEqual([('i-1', False)], self.ended())


class NoAnswerTest(AdmissionTestCase):
    def assert_sent(self, reason):
        (logged,) = self.logged('request is sent without admission')
        self.assertEqual(reason, logged['reason'])
        self.assertEqual(1, len(self.offers()))

    def test_silent_sidecar_is_not_waited_for_again(self):
        """Guards against a sidecar that is frozen, or too old to answer."""
        self.send()
        self.tick_to(110)
        self.assertEqual([], self.offers())
        self.tick_to(160)
        self.assert_sent('no answer')
        self.assertEqual([('i-1', False)], self.ended())
        self.send()
        self.assert_sent('silent')
        self.now_ms += 2000
        self.send()
        self.assertEqual([], self.offers())
        self.tick_to(self.now_ms + 200)
        self.assert_sent('no answer')
        self.feed(events.LinkClosed(self.now_ms, PEERS['i-1']))
        self.open_link(PEERS['i-1'], events.Role.ENDPOINT, self.now_ms)
        self.hold('i-1')
        self.send()
        self.assertEqual([], self.offers())

    def test_gateway_that_stalled_takes_no_sidecar_for_silent(self):
        """Guards against a burst without admission after each stall.

        What the sidecars answered meanwhile has not been read yet.
        """
        self.send()
        self.now_ms += 400
        self.feed(events.Ticked(self.now_ms, 0.5))
        self.assertEqual([], self.offers())
        self.queue(100)
        self.tick_to(600)
        self.assertEqual([], self.offers())
        self.assertEqual(['i-1'], self.asked())

    def test_sidecar_without_link_or_report_is_not_asked(self):
        """Guards against a wait for a sidecar that can't answer."""
        self.feed(events.LinkClosed(20, PEERS['i-1']))
        self.send()
        self.assert_sent('no link')
        self.open_link(PEERS['i-1'], events.Role.ENDPOINT, 30)
        self.send()
        self.assert_sent('no report')


class TooLateTest(AdmissionTestCase):
    def test_request_goes_to_another_holder_of_its_adapter(self):
        """Guards against a refusal while another endpoint has room."""
        self.hold('i-1', 'i-2')
        self.send()
        self.queue(-1, *self.asked())
        self.assertEqual({'i-1', 'i-2'}, set(self.asked()))
        self.tick_to(150)
        self.assertEqual(2, len(self.asked()))

    def test_request_that_no_sidecar_admits_in_time_is_refused_at_once(self):
        """Guards against a request that is held until its deadline passes."""
        for wait_ms, retry_after_ms in ((-1, 500), (2600, 3250)):
            self.send()
            self.queue(wait_ms)
            refused = effects.AnswerError(
                f'r{self.sent_count}',
                errors.Kind.OVERLOADED,
                errors.Ran.NOT_RUN,
                retry_after_ms,
            )
            self.assertEqual(refused, self.answer())
        self.assertEqual([('i-1', False)] * 2, self.ended())

    def test_full_queue_says_nothing_of_the_wait(self):
        """Guards against callers who return at once to a busy service."""
        self.hold('i-1', 'i-2')
        self.send()
        for wait_ms in (-1, 2600):
            self.queue(wait_ms, self.asked()[-1])
        self.assertEqual(3250, self.answer().retry_after_ms)


class AnyOrderTest(AdmissionTestCase):
    """Events in random order, with a model of what the sidecars hold."""

    def setUp(self):
        self.held = {}
        self.sent_attempts = []
        super().setUp()

    def feed(self, *given):
        """Feed an event and follow the admissions that it changes."""
        done = super().feed(*given)
        self.sent_attempts += self.offers()
        for effect in self.of_type(effects.Send):
            message = effect.message
            if isinstance(message, messages.AdmissionWanted):
                self.held[effect.peer, message.request_id] = False
            elif isinstance(message, messages.AdmissionEnded):
                # Raises KeyError if the admission was ended before.
                del self.held[effect.peer, message.request_id]
        return done

    def tick(self, rng):
        self.feed(events.Ticked(self.now_ms, 0.5))

    def respond(self, rng):
        """Grant or queue what a sidecar was asked for."""
        waiting = [key for key, granted in self.held.items() if not granted]
        if waiting:
            peer, request_id = rng.choice(waiting)
            message = messages.AdmissionQueued(
                request_id, rng.choice((-1, 50, 200, 4900))
            )
            if rng.random() < 0.5:
                self.held[peer, request_id] = True
                message = messages.AdmissionGranted(request_id)
            self.receive(message, self.now_ms, peer)

    def run_attempt(self, rng):
        """Let an endpoint begin, continue, end or fail an attempt."""
        if self.sent_attempts:
            peer, offer = rng.choice(self.sent_attempts)
            attempt = offer.attempt_id
            kind = rng.choice((errors.Kind.OVERLOADED, errors.Kind.LEAVING))
            outcomes = (
                messages.Started(attempt, 200, (), offer.adapter),
                messages.Data(attempt, 0, b'x'),
                messages.End(attempt, 1),
                messages.Failed(attempt, kind, errors.Ran.NOT_RUN),
            )
            self.receive(rng.choice(outcomes), self.now_ms, peer)

    def lose_link(self, rng):
        """Close a sidecar's link, which drops its queue, and open it again."""
        lost = rng.choice(list(NAMES))
        for peer, request_id in list(self.held):
            if peer == lost and not self.held[peer, request_id]:
                del self.held[peer, request_id]
        self.feed(events.LinkClosed(self.now_ms, lost))
        self.open_link(lost, events.Role.ENDPOINT, self.now_ms)

    def change_holders(self, rng):
        self.hold(*rng.choice((['i-1'], ['i-2'], ['i-1', 'i-2'])))

    def leave(self, rng):
        """Let a caller go, or seldom an endpoint."""
        for request_id in list(self.state.requests)[:1]:
            self.feed(events.CallerGone(self.now_ms, request_id))
        if rng.random() < 0.05:
            self.list_rows(leaving=rng.choice(list(ADDRESSES)))

    def test_each_admission_is_ended_once(self):
        """Guards against grants that are kept, or ended twice, on any path."""
        deeds = [self.tick, self.send, self.respond, self.run_attempt] * 4
        deeds += [self.lose_link, self.change_holders, self.leave]
        for seed in range(30):
            self.setUp()
            rng = random.Random(seed)
            for _ in range(400):
                self.now_ms += rng.choice((1, 5, 40))
                rng.choice(deeds)(rng)
            for request_id in list(self.state.requests):
                self.feed(events.CallerGone(self.now_ms, request_id))
            self.assertEqual({}, self.held, f'seed {seed}')
            for endpoint in self.state.endpoints.values():
                self.assertEqual(0, endpoint.waiting_tokens, f'seed {seed}')


class UnpacedTest(AdmissionTestCase):
    """A service whose engine keeps the gap by itself."""

    tokens_per_event = 1

    def test_gaps_are_not_told(self):
        """Guards against other messages where nothing calls for them."""
        self.send()
        self.relay_answer(350)
        self.tick_to(3000)
        demands = self.told(messages.AdapterDemands)
        self.assertEqual({0}, {x.longest_gap_ms for _, x in demands})

    def test_messages_are_those_from_before_admissions(self):
        """Guards against a change where the configuration calls for none.

        The expected messages were recorded before admissions were added.
        """
        self.history.clear()
        self.send()
        peer, data = self.begin_answer()
        self.receive(data, 20, peer)
        self.receive(messages.End(data.attempt_id, 1), 20, peer)
        self.feed(events.AnswerRelayed(30, 'r1', data.attempt_id, 200))
        self.send()
        self.fail_attempt(errors.Kind.OVERLOADED, at_ms=40)
        self.tick_to(300)
        self.hold('i-2')
        self.tick_to(400)
        self.send()
        self.feed(events.LinkClosed(410, PEERS['i-2']))
        self.feed(events.CallerGone(420, 'r3'))
        self.tick_to(900)
        found = [(x.peer, type(x.message).__name__) for x in self.history]
        expected = [
            ('i-1', 'Offer'),
            ('i-1', 'Offer'),
            (PEERS['i-2'], 'AdapterDemands'),
            ('i-2', 'Offer'),
            ('i-2', 'Offer'),
            ('i-2', 'Cancel'),
        ]
        self.assertEqual(expected, found)
