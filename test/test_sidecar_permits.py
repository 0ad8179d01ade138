"""A sidecar's permits to load, and its own pace without a coordinator."""

from berylhollow import effects
from berylhollow import events
from berylhollow import messages
from berylhollow import policy
from berylhollow import sidecar
from test import builders
from test import helper

SILENCE_MS = 1500
INTERVAL_MS = 500
NOT_DONE = events.Certainty.NOT_DONE


class PermitTestCase(helper.ReducerTestCase):
    def setUp(self):
        state = builders.sidecar_state(
            coordinator_silence_ms=SILENCE_MS, load_interval_ms=INTERVAL_MS
        )
        self.begin(sidecar.reduce, state)
        self.feed(events.Appended(0, 'takeovers', 'x', 6))
        self.feed(builders.engine_status(slots=2))

    def ask(self, name, at_ms=0, peer='g1'):
        offer = builders.offer(f'{name}.1', adapter=builders.adapter(name))
        self.receive(offer, at_ms, peer)

    def grant(self, permit=1, at_ms=0, peer='g1', name='a1'):
        message = messages.LoadGranted(builders.adapter(name), permit, 3000)
        self.receive(message, at_ms, peer)

    def loads(self):
        return [x.adapter.adapter for x in self.of_type(effects.LoadAdapter)]

    def order_id(self):
        (order,) = self.of_type(effects.LoadAdapter)
        return order.order_id

    def refuse_load(self, order_id, at_ms, reason):
        self.feed(events.LoadFailed(at_ms, order_id, NOT_DONE, reason))

    def ended(self):
        return [(x.permit, x.loaded) for x in self.sent(messages.LoadEnded)]


class PermitTest(PermitTestCase):
    def setUp(self):
        super().setUp()
        self.open_link('g1', events.Role.GATEWAY)

    def test_load_waits_for_a_permit_and_gives_it_back(self):
        self.ask('a1')
        self.assertEqual([], self.loads())
        (wanted,) = self.sent(messages.LoadWanted)
        self.assertEqual('a1', wanted.adapter.adapter)
        self.grant(7, 5)
        self.assertEqual(['a1'], self.loads())
        self.feed(events.LoadSucceeded(400, self.order_id(), 'epoch-1'))
        self.assertEqual([(7, True)], self.ended())

    def test_permit_serves_what_is_wanted_most_by_now(self):
        self.ask('a1')
        self.receive(messages.Cancel('a1.1'), 3, 'g1')
        self.ask('a2', 4)
        self.grant(1, 5, name='a1')
        self.assertEqual(['a2'], self.loads())

    def test_permit_that_nobody_needs_goes_back_at_once(self):
        self.ask('a1')
        self.receive(messages.Cancel('a1.1'), 3, 'g1')
        self.grant(1, 5)
        self.assertEqual([], self.loads())
        self.assertEqual([(1, False)], self.ended())

    def test_second_permit_goes_back_at_once(self):
        """Two gateways believe that they coordinate; both grant."""
        self.ask('a1')
        self.grant(1, 5)
        self.ask('a2', 6)
        self.grant(2, 7)
        self.grant(3, 8, 'g2')
        self.assertEqual([], self.loads())
        self.assertEqual([(3, False)], self.ended())

    def test_silent_coordinator_is_done_without(self):
        """Cold adapters stay cold after a gateway hung.

        The gateway that all sidecars agree on is paused; its links are
        still up. Cause: waiting for a permit without end.
        """
        self.ask('a1')
        self.feed(events.Ticked(SILENCE_MS - 1))
        self.assertEqual([], self.loads())
        self.feed(events.Ticked(SILENCE_MS))
        self.assertEqual(['a1'], self.loads())

    def test_coordinator_that_defers_is_waited_for(self):
        self.ask('a1')
        adapter = builders.adapter('a1')
        for at_ms in range(0, 2 * SILENCE_MS, 500):
            self.receive(messages.LoadDeferred(adapter, 900), at_ms, 'g1')
            self.feed(events.Ticked(at_ms))
            self.assertEqual([], self.loads())

    def test_a_hanging_load_does_not_hold_up_the_others(self):
        self.ask('a1')
        self.grant(1, 0)
        self.ask('a2', 100)
        self.grant(2, 4000)
        self.assertEqual([], self.loads())
        self.grant(3, 6000)
        self.assertEqual(['a2'], self.loads())


class OwnPaceTest(PermitTestCase):
    def test_one_load_an_interval_with_jitter(self):
        self.ask('a1')
        self.assertEqual(['a1'], self.loads())
        self.feed(events.LoadSucceeded(100, self.order_id(), 'epoch-1'))
        self.ask('a2', 110)
        self.assertEqual([], self.loads())
        self.feed(events.Ticked(INTERVAL_MS, 0.5))
        self.assertEqual(['a2'], self.loads())

    def test_refusal_by_the_store_widens_the_interval(self):
        self.ask('a1')
        self.refuse_load(self.order_id(), 10, events.LoadFailure.RATE)
        self.feed(events.Ticked(INTERVAL_MS + 10))
        self.assertEqual([], self.loads())
        self.feed(events.Ticked(2 * INTERVAL_MS + 10))
        self.assertEqual(['a1'], self.loads())

    def test_adapter_that_fails_does_not_hold_up_the_others(self):
        self.ask('a1')
        self.refuse_load(self.order_id(), 10, events.LoadFailure.WEIGHTS)
        self.ask('a2', 20)
        self.feed(events.Ticked(INTERVAL_MS))
        self.assertEqual(['a2'], self.loads())


class AgreementTest(PermitTestCase):
    def test_all_sidecars_agree_whichever_order_links_opened(self):
        gateways = [f'g{number}' for number in range(5)]
        asked = set()
        for order in (gateways, gateways[::-1]):
            self.setUp()
            for name in order:
                self.open_link(name, events.Role.GATEWAY)
            self.ask('a1')
            asked |= {
                x.peer
                for x in self.of_type(effects.Send)
                if isinstance(x.message, messages.LoadWanted)
            }
        self.assertEqual({policy.rendezvous.highest('loads', gateways)}, asked)
