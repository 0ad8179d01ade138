"""Tests of routing: queue at a holder, replicate or load."""

import unittest

from berylhollow import policy
from berylhollow.policy import _baselines
from berylhollow.policy import _router
from test.policy import fleets

ROUTER = _router.PredictedTime()
FAVOUR_LOAD_STALL = policy.Weights(load_stall=4.0, batch_efficiency=1.0)
FAVOUR_BATCHING = policy.Weights(load_stall=1.0, batch_efficiency=4.0)


def choose(fleet, **changes):
    return ROUTER.choose(fleets.query(**changes), fleet)


class HolderTest(unittest.TestCase):
    def test_holder_is_preferred_to_an_idle_endpoint(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('holder'), ready=('holder',)
        )
        self.assertEqual('holder', choose(fleet))

    def test_running_load_is_shared(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('loading'), pending=('loading',)
        )
        self.assertEqual('loading', choose(fleet))

    def test_long_queue_gets_a_replica_in_another_domain(self):
        """All requests for a newly popular adapter queue at one endpoint.

        Other endpoints are idle meanwhile. This happens if a holder is
        preferred however long its queue is.
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
    def test_load_goes_where_the_victim_is_worth_least(self):
        fleet = fleets.fleet(
            fleets.view('hot', victim_value=1.0), fleets.view('cold')
        )
        self.assertEqual('cold', choose(fleet, weights=FAVOUR_LOAD_STALL))

    def test_load_avoids_endpoints_with_every_slot_in_use(self):
        fleet = fleets.fleet(
            fleets.view('full', evictable=False), fleets.view('free')
        )
        self.assertEqual('free', choose(fleet))

    def test_batch_weight_favours_busy_endpoints(self):
        fleet = fleets.fleet(
            fleets.view('idle'), fleets.view('busy', in_flight=2)
        )
        self.assertEqual('busy', choose(fleet, weights=FAVOUR_BATCHING))
        stalls_only = policy.Weights(1.0, 0.0)
        self.assertEqual('idle', choose(fleet, weights=stalls_only))

    def test_first_of_the_rendezvous_order_at_equal_cost(self):
        fleet = fleets.fleet(fleets.view('b'), fleets.view('a'))
        self.assertEqual('b', choose(fleet))

    def test_none_without_endpoints(self):
        self.assertIsNone(choose(fleets.fleet()))


class NoAdapterTest(unittest.TestCase):
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

    def test_each_baseline_follows_its_rule(self):
        self.assertEqual('idle', self.choose(_baselines.LeastLoaded()))
        self.assertEqual('busy', self.choose(_baselines.HolderLeastLoaded()))
        self.assertEqual('busy', self.choose(_baselines.StaticHash()))
        random = _baselines.RandomChoice()
        self.assertEqual('idle', self.choose(random, seed=0.9))
