"""Demand estimates, evictions by them, and rendezvous orders."""

import unittest

from berylhollow.policy import _baselines
from berylhollow.policy import _demand
from berylhollow.policy import _eviction
from berylhollow.policy import _rendezvous
from test import builders
from test.policy import fleets

CONSTANT_MS = 60_000


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = _demand.DecayedDemand(CONSTANT_MS, most_adapters=4)

    def ask(self, name, every_ms, until_ms, from_ms=0):
        for at_ms in range(from_ms, until_ms, every_ms):
            self.demand.note(builders.adapter(name), at_ms)

    def rate(self, name, at_ms):
        return self.demand.rate(builders.adapter(name), at_ms)

    def test_steady_rate_is_found(self):
        self.ask('a', 500, 600_000)
        self.assertAlmostEqual(2.0, self.rate('a', 600_000), delta=0.05)

    def test_flip_is_followed_within_a_minute(self):
        """Yesterday's favourite keeps its slot from today's.

        It was asked for once a second for an hour; then another is. The new
        one must be worth more before a minute has passed.
        """
        self.ask('old', 1000, 3_600_000)
        self.ask('new', 1000, 3_650_000, 3_600_000)
        self.assertGreater(
            self.rate('new', 3_650_000), self.rate('old', 3_650_000)
        )

    def test_pause_does_not_forget_a_favourite(self):
        self.ask('favourite', 1000, 600_000)
        self.ask('once', 1000, 615_001, 615_000)
        self.assertGreater(
            self.rate('favourite', 620_000), self.rate('once', 620_000)
        )

    def test_memory_is_bounded_and_keeps_the_most_asked(self):
        self.ask('favourite', 100, 10_000)
        for number in range(50):
            self.ask(f'a{number}', 1, 10_001 + number, 10_000 + number)
        self.assertLessEqual(len(self.demand.counts), 4)
        self.assertGreater(self.rate('favourite', 10_100), 1.0)


class EvictionTest(unittest.TestCase):
    def test_least_demand_goes_first_however_recent(self):
        eviction = _eviction.LeastDemand()
        favourite = fleets.held('a', rate=0.5, used_ms=1000)
        recent = fleets.held('b', rate=0.1, used_ms=9000)
        self.assertGreater(
            eviction.value(favourite, 9000), eviction.value(recent, 9000)
        )

    def test_equals_do_not_evict_each_other(self):
        eviction = _eviction.LeastDemand()
        self.assertFalse(eviction.worth_it(0.5, 0.4))
        self.assertTrue(eviction.worth_it(0.9, 0.4))

    def test_baseline_evicts_the_least_recent(self):
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

    def test_one_that_goes_moves_only_its_own_keys(self):
        before = self.owners(self.members)
        after = self.owners(self.members[1:])
        moved = {key for key in self.keys if before[key] != after[key]}
        own = {key for key in self.keys if before[key] == self.members[0]}
        self.assertEqual(own, moved)

    def test_order_of_members_does_not_matter(self):
        self.assertEqual(
            self.owners(self.members), self.owners(self.members[::-1])
        )
