"""Where a request goes: hold, queue, replicate or load."""

import unittest

from berylhollow import policy
from berylhollow.policy import _baselines
from berylhollow.policy import _router
from test.policy import fleets

ROUTER = _router.PredictedTime()
STALLS = policy.Weights(load_stall=4.0, batch_efficiency=1.0)
BATCHES = policy.Weights(load_stall=1.0, batch_efficiency=4.0)


def choose(fleet, **changes):
    return ROUTER.choose(fleets.query(**changes), fleet)


class HolderTest(unittest.TestCase):
    def test_holder_before_an_idle_endpoint(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('holder'), ready=('holder',)
        )
        self.assertEqual('holder', choose(fleet))

    def test_load_under_way_is_shared(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('loading'), coming=('loading',)
        )
        self.assertEqual('loading', choose(fleet))

    def test_long_queue_gets_a_replica_in_another_domain(self):
        """Callers of one suddenly hot adapter wait on one engine.

        All requests go to the only holder while others idle. Cause: a
        holder is preferred whatever its queue.
        """
        fleet = fleets.fleet(
            fleets.view('holder', in_flight=40),
            fleets.view('near'),
            fleets.view('far', failure_domain='sul-b'),
            ready=('holder',),
        )
        self.assertEqual('far', choose(fleet))

    def test_short_queue_is_not_worth_a_load(self):
        fleet = fleets.fleet(
            fleets.view('holder', in_flight=5),
            fleets.view('idle'),
            ready=('holder',),
        )
        self.assertEqual('holder', choose(fleet))

    def test_queue_is_kept_when_loads_take_longer(self):
        fleet = fleets.fleet(
            fleets.view('holder', in_flight=16),
            fleets.view('idle'),
            ready=('holder',),
            load_ms=10_000.0,
        )
        self.assertEqual('holder', choose(fleet))


class LoadTest(unittest.TestCase):
    def test_where_the_victim_is_worth_least(self):
        fleet = fleets.fleet(
            fleets.view('hot', victim_value=1.0), fleets.view('cold')
        )
        self.assertEqual('cold', choose(fleet, weights=STALLS))

    def test_not_where_every_slot_is_in_use(self):
        fleet = fleets.fleet(
            fleets.view('full', evictable=False), fleets.view('free')
        )
        self.assertEqual('free', choose(fleet))

    def test_batch_weight_puts_runs_together(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('busy', in_flight=2)
        )
        self.assertEqual('busy', choose(fleet, weights=BATCHES))
        stalls_only = policy.Weights(1.0, 0.0)
        self.assertEqual('idle', choose(fleet, weights=stalls_only))

    def test_first_in_the_order_when_all_cost_the_same(self):
        fleet = fleets.fleet(fleets.view('b'), fleets.view('a'))
        self.assertEqual('b', choose(fleet))

    def test_nowhere(self):
        self.assertIsNone(choose(fleets.fleet()))


class PlainTest(unittest.TestCase):
    def test_least_loaded_of_a_sample(self):
        fleet = fleets.fleet(
            fleets.view('busy', in_flight=3), fleets.view('idle')
        )
        self.assertEqual('idle', choose(fleet, name=None))


class BaselineTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleets.fleet(
            fleets.view('busy', in_flight=3),
            fleets.view('idle'),
            ready=('busy',),
        )

    def choose(self, router, **changes):
        return router.choose(fleets.query(**changes), self.fleet)

    def test_each_follows_its_one_rule(self):
        self.assertEqual('idle', self.choose(_baselines.LeastLoaded()))
        self.assertEqual('busy', self.choose(_baselines.HolderLeastLoaded()))
        self.assertEqual('busy', self.choose(_baselines.StaticHash()))
        random = _baselines.RandomChoice()
        self.assertEqual('idle', self.choose(random, seed=0.9))
