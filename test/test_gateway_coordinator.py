"""Tests of the load coordinator: permits within the store's limits."""

from berylhollow import events
from berylhollow import gateway
from berylhollow import messages
from test import builders
from test import helper


def load_wanted(instance='e1', name='a1', value=1.0):
    return messages.LoadWanted(
        instance,
        builders.SERVICE,
        builders.adapter(name),
        waiting=1,
        oldest_wait_ms=0,
        priority=0,
        value=value,
    )


class CoordinatorTest(helper.ReducerTestCase):
    def setUp(self):
        self.begin(gateway.reduce, builders.gateway_state())

    def want(self, instance, at_ms=0, value=1.0):
        self.receive(load_wanted(instance, value=value), at_ms, instance)

    def end(self, instance, permit, at_ms, loaded=True):
        ended = messages.LoadEnded(instance, permit, loaded)
        self.receive(ended, at_ms, instance)

    def granted(self):
        """Return the peers that got a permit from the last events."""
        return [
            item.peer
            for item in self.effects
            if isinstance(getattr(item, 'message', None), messages.LoadGranted)
        ]

    def test_loads_run_one_at_a_time_most_valuable_first(self):
        self.want('e1')
        self.assertEqual(['e1'], self.granted())
        self.want('e2', 10, value=1.0)
        self.assertEqual([], self.granted())
        self.assertEqual(1, len(self.sent(messages.LoadDeferred)))
        self.want('e3', 20, value=5.0)
        self.end('e1', 1, 400)
        self.assertEqual(['e3'], self.granted())

    def test_grants_do_not_exceed_the_rate(self):
        for number, at_ms in enumerate((0, 10, 20)):
            self.want(f'e{number}', at_ms)
            for permit in list(self.state.load_coordination.permits):
                self.end(f'e{number}', permit, at_ms + 5)
        self.assertEqual([], self.granted())
        self.feed(events.Ticked(300))
        self.assertEqual([], self.granted())
        self.feed(events.Ticked(600))
        self.assertEqual(['e2'], self.granted())

    def test_permit_of_a_dead_sidecar_lapses(self):
        """Guards against loads that all block because one sidecar died.

        The sidecar dies without giving its permit back, so permits must
        lapse.
        """
        self.want('e1')
        self.want('e2', 10)
        self.feed(events.Ticked(1400))
        self.want('e2', 1400)
        self.feed(events.Ticked(2800))
        self.assertEqual([], self.granted())
        self.want('e2', 2800)
        self.feed(events.Ticked(3000))
        self.assertEqual(['e2'], self.granted())

    def test_load_request_that_is_not_repeated_is_forgotten(self):
        self.want('e1')
        self.want('e2', 10)
        self.feed(events.Ticked(1600))
        self.end('e1', 1, 1700)
        self.assertEqual([], self.granted())

    def test_permit_of_an_earlier_coordinator_is_not_taken_for_a_new_one(self):
        """Guards against more loads at once than the store serves.

        The coordinator restarted and numbers its permits from 1 again, and a
        sidecar gives back the permit that the earlier start had granted.
        """
        self.want('e1')
        self.end('e2', 1, 400)
        self.want('e3', 500)
        self.assertEqual([], self.granted())
        self.assertEqual(1, len(self.state.load_coordination.permits))

    def test_permit_given_back_twice_counts_once(self):
        self.want('e1')
        self.end('e1', 1, 400)
        self.end('e1', 1, 401)
        self.want('e2', 402)
        self.want('e3', 403)
        self.assertEqual(1, len(self.state.load_coordination.permits))
