"""Tests of load permits, and of local pacing without a coordinator."""

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

    def request_adapter(self, name, at_ms=0, peer='g1'):
        offer = builders.offer(f'{name}.1', adapter=builders.adapter(name))
        self.receive(offer, at_ms, peer)

    def grant(self, permit=1, at_ms=0, peer='g1', name='a1'):
        message = messages.LoadGranted(builders.adapter(name), permit, 3000)
        self.receive(message, at_ms, peer)

    def ordered_adapters(self):
        return [x.adapter.adapter for x in self.of_type(effects.LoadAdapter)]

    def order_id(self):
        (order,) = self.of_type(effects.LoadAdapter)
        return order.order_id

    def refuse_load(self, order_id, at_ms, reason):
        self.feed(events.LoadFailed(at_ms, order_id, NOT_DONE, reason))

    def ended_permits(self):
        return [(x.permit, x.loaded) for x in self.sent(messages.LoadEnded)]


class PermitTest(PermitTestCase):
    def setUp(self):
        super().setUp()
        self.open_link('g1', events.Role.GATEWAY)

    def test_load_waits_for_a_permit_and_returns_it(self):
        self.request_adapter('a1')
        self.assertEqual([], self.ordered_adapters())
        (wanted,) = self.sent(messages.LoadWanted)
        self.assertEqual('a1', wanted.adapter.adapter)
        self.grant(7, 5)
        self.assertEqual(['a1'], self.ordered_adapters())
        self.feed(events.LoadSucceeded(400, self.order_id(), 'epoch-1'))
        self.assertEqual([(7, True)], self.ended_permits())

    def test_permit_is_used_for_the_currently_wanted_adapter(self):
        self.request_adapter('a1')
        self.receive(messages.Cancel('a1.1'), 3, 'g1')
        self.request_adapter('a2', 4)
        self.grant(1, 5, name='a1')
        self.assertEqual(['a2'], self.ordered_adapters())

    def test_unneeded_permit_is_returned_at_once(self):
        self.request_adapter('a1')
        self.receive(messages.Cancel('a1.1'), 3, 'g1')
        self.grant(1, 5)
        self.assertEqual([], self.ordered_adapters())
        self.assertEqual([(1, False)], self.ended_permits())

    def test_second_permit_is_returned_at_once(self):
        """Two gateways act as load coordinator and both grant a permit."""
        self.request_adapter('a1')
        self.grant(1, 5)
        self.request_adapter('a2', 6)
        self.grant(2, 7)
        self.grant(3, 8, 'g2')
        self.assertEqual([], self.ordered_adapters())
        self.assertEqual([(3, False)], self.ended_permits())

    def test_loads_go_on_without_a_silent_coordinator(self):
        """Guards against waiting for a permit without a timeout.

        The coordinator is paused while its links stay up, and no adapter
        would be loaded any more.
        """
        self.request_adapter('a1')
        self.feed(events.Ticked(SILENCE_MS - 1))
        self.assertEqual([], self.ordered_adapters())
        self.feed(events.Ticked(SILENCE_MS))
        self.assertEqual(['a1'], self.ordered_adapters())

    def test_load_waits_for_a_coordinator_that_defers(self):
        self.request_adapter('a1')
        adapter = builders.adapter('a1')
        for at_ms in range(0, 2 * SILENCE_MS, 500):
            self.receive(messages.LoadDeferred(adapter, 900), at_ms, 'g1')
            self.feed(events.Ticked(at_ms))
            self.assertEqual([], self.ordered_adapters())

    def test_hanging_load_does_not_block_the_others(self):
        self.request_adapter('a1')
        self.grant(1, 0)
        self.request_adapter('a2', 100)
        self.grant(2, 4000)
        self.assertEqual([], self.ordered_adapters())
        self.grant(3, 6000)
        self.assertEqual(['a2'], self.ordered_adapters())


class LocalPacingTest(PermitTestCase):
    def test_one_load_per_interval_with_jitter(self):
        self.request_adapter('a1')
        self.assertEqual(['a1'], self.ordered_adapters())
        self.feed(events.LoadSucceeded(100, self.order_id(), 'epoch-1'))
        self.request_adapter('a2', 110)
        self.assertEqual([], self.ordered_adapters())
        self.feed(events.Ticked(INTERVAL_MS, 0.5))
        self.assertEqual(['a2'], self.ordered_adapters())

    def test_refusal_by_the_weight_store_widens_the_interval(self):
        self.request_adapter('a1')
        self.refuse_load(self.order_id(), 10, events.LoadFailure.RATE)
        self.feed(events.Ticked(INTERVAL_MS + 10))
        self.assertEqual([], self.ordered_adapters())
        self.feed(events.Ticked(2 * INTERVAL_MS + 10))
        self.assertEqual(['a1'], self.ordered_adapters())

    def test_failed_adapter_does_not_block_the_others(self):
        self.request_adapter('a1')
        self.refuse_load(self.order_id(), 10, events.LoadFailure.WEIGHTS)
        self.request_adapter('a2', 20)
        self.feed(events.Ticked(INTERVAL_MS))
        self.assertEqual(['a2'], self.ordered_adapters())


class CoordinatorChoiceTest(PermitTestCase):
    def test_choice_does_not_depend_on_the_order_of_links(self):
        gateways = [f'g{number}' for number in range(5)]
        asked = set()
        for order in (gateways, gateways[::-1]):
            self.setUp()
            for name in order:
                self.open_link(name, events.Role.GATEWAY)
            self.request_adapter('a1')
            asked |= {
                x.peer
                for x in self.of_type(effects.Send)
                if isinstance(x.message, messages.LoadWanted)
            }
        self.assertEqual({policy.rendezvous.highest('loads', gateways)}, asked)
