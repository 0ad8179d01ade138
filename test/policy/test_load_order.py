"""Tests of the order of loads and of requests that are given up."""

import unittest

from berylhollow import policy
from berylhollow.policy import _baselines
from berylhollow.policy import _load_order
from test.policy import fleets

INTERVAL_MS = 500


def plan(*wants, order=None):
    policy_part = order or _load_order.MostServed()
    return policy_part.plan(wants, INTERVAL_MS, policy.Weights())


def names(load_plan):
    return [want.adapter.adapter for want in load_plan.order]


class MostServedTest(unittest.TestCase):
    def test_most_waiting_requests_first(self):
        one = fleets.want('one', [9000], oldest_wait_ms=5000)
        three = fleets.want('three', [9000] * 3)
        self.assertEqual(['three', 'one'], names(plan(one, three)))

    def test_values_are_in_descending_order(self):
        found = plan(fleets.want('b', [9000]), fleets.want('a', [9000] * 2))
        self.assertGreater(found.values[0], found.values[1])

    def test_requests_that_would_be_late_do_not_count(self):
        late = fleets.want('late', [9000], waiting=9)
        timely = fleets.want('timely', [9000, 9000])
        self.assertEqual(['timely', 'late'], names(plan(late, timely)))

    def test_equal_counts_are_ordered_by_age_then_by_slack(self):
        young = fleets.want('a', [1000])
        old = fleets.want('b', [9000], oldest_wait_ms=4000)
        urgent = fleets.want('c', [500])
        self.assertEqual(['b', 'c', 'a'], names(plan(young, old, urgent)))

    def test_priorities_go_first(self):
        plain = fleets.want('plain', [9000])
        caller = fleets.want('caller', [9000], priority=5)
        adapter = fleets.want('adapter', [9000], adapter_priority=2)
        found = names(plan(plain, caller, adapter))
        self.assertEqual(['adapter', 'caller', 'plain'], found)

    def test_cold_adapter_whose_load_would_be_too_late_is_given_up(self):
        """A request that can't be served waits ten seconds for its refusal.

        Other adapters are worth more, so that its load can't begin in time.
        Without giving up, the caller has no answer until the deadline.
        """
        ahead = [fleets.want(f'a{x}', [9000] * 2) for x in range(3)]
        found = plan(*ahead, fleets.want('cold', [1400]))
        self.assertNotIn('cold', names(found))
        (given_up,) = found.late_loads
        self.assertEqual('cold', given_up.adapter.adapter)
        self.assertEqual(1500, given_up.wait_ms)

    def test_adapter_in_demand_is_not_given_up(self):
        ahead = [fleets.want(f'a{x}', [9000] * 2) for x in range(3)]
        found = plan(*ahead, fleets.want('warm', [1400], rate=1.0))
        self.assertIn('warm', names(found))
        self.assertEqual((), found.late_loads)

    def test_only_the_late_requests_of_an_adapter_are_given_up(self):
        ahead = [fleets.want(f'a{x}', [9000] * 3) for x in range(3)]
        found = plan(*ahead, fleets.want('cold', [1400, 8000]))
        self.assertIn('cold', names(found))
        self.assertEqual(1, len(found.late_loads))

    def test_baseline_gives_nothing_up(self):
        wants = [fleets.want('a', [0]), fleets.want('b', [], waiting=1)]
        found = plan(*wants, order=_baselines.OldestFirst())
        self.assertEqual(['a', 'b'], names(found))
        self.assertEqual((), found.late_loads)
