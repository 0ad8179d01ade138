"""Tests of demand estimates, eviction and rendezvous hashing."""

import unittest

from berylhollow.policy import _baselines
from berylhollow.policy import _demand
from berylhollow.policy import _eviction
from berylhollow.policy import _rendezvous
from test import builders
from test.policy import fleets

TIME_CONSTANT_MS = 60_000


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = _demand.DecayedDemand(TIME_CONSTANT_MS, max_adapters=4)

    def request(self, name, every_ms, until_ms, from_ms=0):
        for at_ms in range(from_ms, until_ms, every_ms):
            self.demand.record_request(builders.adapter(name), at_ms)

    def rate(self, name, at_ms):
        return self.demand.rate(builders.adapter(name), at_ms)

    def test_steady_rate_is_estimated(self):
        self.request('a', 500, 600_000)
        self.assertAlmostEqual(2.0, self.rate('a', 600_000), delta=0.05)

    def test_change_of_demand_is_followed_within_a_minute(self):
        """An adapter that is no longer requested keeps its slot too long.

        One adapter is requested once a second for an hour, then another one
        is. The new one must be worth more before a minute has passed.
        """
        self.request('old', 1000, 3_600_000)
        self.request('new', 1000, 3_650_000, 3_600_000)
        self.assertGreater(
            self.rate('new', 3_650_000), self.rate('old', 3_650_000)
        )

    def test_short_pause_keeps_a_popular_adapter_ahead(self):
        self.request('popular', 1000, 600_000)
        self.request('once', 1000, 615_001, 615_000)
        self.assertGreater(
            self.rate('popular', 620_000), self.rate('once', 620_000)
        )

    def test_memory_is_bounded_and_keeps_the_most_requested(self):
        self.request('popular', 100, 10_000)
        for number in range(50):
            self.request(f'a{number}', 1, 10_001 + number, 10_000 + number)
        self.assertLessEqual(len(self.demand.counts), 4)
        self.assertGreater(self.rate('popular', 10_100), 1.0)


class EvictionTest(unittest.TestCase):
    def test_least_demand_is_evicted_first_even_if_recent(self):
        eviction = _eviction.LeastDemand()
        popular = fleets.held('a', rate=0.5, used_ms=1000)
        recent = fleets.held('b', rate=0.1, used_ms=9000)
        self.assertGreater(
            eviction.value(popular, 9000), eviction.value(recent, 9000)
        )

    def test_adapters_of_similar_value_do_not_evict_each_other(self):
        eviction = _eviction.LeastDemand()
        self.assertFalse(eviction.should_evict(0.5, 0.4))
        self.assertTrue(eviction.should_evict(0.9, 0.4))

    def test_baseline_evicts_the_least_recently_used(self):
        eviction = _baselines.LeastRecentlyUsed()
        old = fleets.held('a', rate=9.0, used_ms=1000)
        recent = fleets.held('b', used_ms=9000)
        self.assertLess(
            eviction.value(old, 9000), eviction.value(recent, 9000)
        )


class RendezvousTest(unittest.TestCase):
    members = [f'endpoint-{number}' for number in range(20)]
    keys = [f'lora-{number}' for number in range(1000)]

    def owners(self, members):
        digests = {name: _rendezvous.digest(name) for name in members}
        return {
            key: _rendezvous.top(_rendezvous.digest(key), digests, 1)[0]
            for key in self.keys
        }

    def test_keys_are_spread_evenly(self):
        owners = list(self.owners(self.members).values())
        counts = [owners.count(name) for name in self.members]
        self.assertGreater(min(counts), 25)
        self.assertLess(max(counts), 85)

    def test_member_that_leaves_moves_only_its_own_keys(self):
        before = self.owners(self.members)
        after = self.owners(self.members[1:])
        moved = {key for key in self.keys if before[key] != after[key]}
        own = {key for key in self.keys if before[key] == self.members[0]}
        self.assertEqual(own, moved)

    def test_order_of_members_does_not_matter(self):
        self.assertEqual(
            self.owners(self.members), self.owners(self.members[::-1])
        )
