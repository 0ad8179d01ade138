"""Tests of when a gateway opens its links: back-off, limit, addresses."""

from berylhollow import effects
from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from test import builders
from test import helper

ENDPOINT = events.Role.ENDPOINT
GATEWAY = events.Role.GATEWAY
NO_POLLING = {'instance_poll_ms': 1_000_000}


class LinkTestCase(helper.ReducerTestCase):
    def start(self, name='g1', count=1, **options):
        state = builders.gateway_state(name, **(NO_POLLING | options))
        self.begin(gateway.reduce, state)
        self.rows = [builders.instance(f'e{x}') for x in range(count)]
        return self.list()

    def list(self, at_ms=0):
        self.feed(events.InstancesListed(at_ms, tuple(self.rows)))
        return self.opened_peers()

    def opened_peers(self):
        return [effect.peer for effect in self.of_type(effects.OpenLink)]

    def tick(self, at_ms, seed=0.5):
        self.feed(events.Ticked(at_ms, seed))
        return self.opened_peers()


class LinkPacingTest(LinkTestCase):
    def refusals(self, until_ms, seed=0.5):
        """Refuse every link until ``until_ms``; return when each was tried."""
        self.feed(events.LinkRefused(0, 'e0'))
        tried_at_ms = []
        for at_ms in range(0, until_ms, 100):
            if self.tick(at_ms, seed):
                tried_at_ms.append(at_ms)
                self.feed(events.LinkRefused(at_ms, 'e0'))
        return tried_at_ms

    def test_retries_of_a_refused_link_back_off(self):
        """Guards against retries twice a second while a rack is down."""
        self.start()
        tried_at_ms = self.refusals(60_000)
        self.assertLess(len(tried_at_ms), 15)
        gaps = [
            b - a for a, b in zip(tried_at_ms, tried_at_ms[1:], strict=False)
        ]
        self.assertLessEqual(max(gaps), 12_100)

    def test_retries_differ_between_gateways(self):
        """Guards against all gateways linking at once to a rack that is up."""
        found = set()
        for number in range(10):
            self.start(f'g{number}')
            found.update(self.refusals(5000, seed=number / 10)[2:3])
        self.assertGreater(len(found), 3)

    def test_a_link_with_answers_in_flight_keeps_the_first_pause(self):
        """Guards against giving up answers when a link is down for 2 s."""
        self.start()
        self.open_link('e0', ENDPOINT)
        self.feed(events.RequestArrived(0, builders.request()))
        self.feed(events.LinkClosed(0, 'e0'))
        tried_at_ms = self.refusals(2900)
        self.assertGreater(len(tried_at_ms), 4)

    def test_links_opening_at_once_are_limited(self):
        """Guards against a burst of handshakes when a region comes back."""
        opened = self.start(count=100, links_opening=10)
        self.assertEqual(10, len(opened))
        self.open_link(opened[0], ENDPOINT)
        self.assertEqual(1, len(self.tick(100)))

    def test_gateways_begin_with_different_links(self):
        found = set()
        for seed in (0.1, 0.5, 0.9):
            self.start(count=100, links_opening=0)
            self.state.options = gateway.Options('g1', links_opening=5)
            found.update(self.tick(0, seed))
        self.assertEqual(15, len(found))

    def test_retries_of_refused_peers_back_off(self):
        self.start(count=0)
        self.rows = [builders.instance('g2', GATEWAY)]
        self.list()
        tries = 0
        for at_ms in range(0, 60_000, 100):
            if self.tick(at_ms):
                tries += 1
                self.feed(events.LinkRefused(at_ms, 'g2'))
        self.assertLess(tries, 16)
        self.assertGreater(tries, 4)

    def test_links_to_a_draining_endpoint_back_off(self):
        """Guards against constant new links to a sidecar that drains.

        A sidecar may drain for minutes. Without a back-off, each gateway
        closes its link and opens it again half a second later.
        """
        self.start()
        links_opened = 0
        for at_ms in range(0, 60_000, 100):
            self.state.endpoints['e0'].leaving = True
            if self.tick(at_ms):
                links_opened += 1
                self.open_link('e0', ENDPOINT, at_ms)
                self.state.endpoints['e0'].leaving = True
                self.tick(at_ms)
                self.feed(events.LinkClosed(at_ms, 'e0'))
        self.assertLess(links_opened, 16)


class AddressTest(LinkTestCase):
    def move(self):
        self.rows = [builders.instance('e0', address='127.0.0.1:moved')]
        self.list(at_ms=10)

    def test_a_moved_endpoint_finishes_requests_in_flight(self):
        """Guards against an answer cut off when its endpoint is replaced.

        The instance list shows the endpoint under a new address while the
        process at the old one still streams an answer. The link must stay
        open until the answer ends.
        """
        self.start()
        self.open_link('e0', ENDPOINT)
        self.feed(events.RequestArrived(0, builders.request()))
        (offer,) = self.sent(messages.Offer)
        self.move()
        self.assertEqual([], self.of_type(effects.CloseLink))
        self.receive(
            messages.Started(offer.attempt_id, 200, (), offer.adapter),
            20,
            'e0',
        )
        self.receive(messages.End(offer.attempt_id, 0), 30, 'e0')
        (done,) = self.of_type(effects.CompleteAnswer)
        self.feed(
            events.AnswerRelayed(40, done.request_id, done.attempt_id, 200)
        )
        self.tick(100)
        self.assertEqual(1, len(self.of_type(effects.CloseLink)))

    def test_a_moved_endpoint_gets_no_offer_at_its_old_address(self):
        self.start()
        self.open_link('e0', ENDPOINT)
        self.move()
        self.feed(events.RequestArrived(3000, builders.request()))
        self.assertEqual([], self.sent(messages.Offer))

    def test_the_new_address_is_linked_as_soon_as_the_old_one_is_closed(self):
        self.start()
        self.open_link('e0', ENDPOINT)
        self.move()
        self.feed(events.LinkClosed(20, 'e0'))
        self.tick(100)
        (effect,) = self.of_type(effects.OpenLink)
        self.assertEqual('127.0.0.1:moved', effect.address)
        self.open_link('e0', ENDPOINT, 110, 'i2')
        self.assertTrue(self.state.endpoints['e0'].is_usable)

    def test_a_link_opening_to_the_old_address_gets_no_work(self):
        self.start()
        self.move()
        self.open_link('e0', ENDPOINT)
        self.assertFalse(self.state.endpoints['e0'].is_usable)
