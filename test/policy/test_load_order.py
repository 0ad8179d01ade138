"""Which adapter is loaded next, and what is given up."""

import unittest

from berylhollow import policy
from berylhollow.policy import _baselines
from berylhollow.policy import _load_order
from test.policy import fleets

INTERVAL_MS = 500


def plan(*wants, order=None):
    chosen = order or _load_order.MostServed()
    return chosen.plan(wants, INTERVAL_MS, policy.Weights())


def names(found):
    return [want.adapter.adapter for want in found.order]


class MostServedTest(unittest.TestCase):
    def test_most_waiting_requests_first(self):
        one = fleets.want('one', [9000], oldest_wait_ms=5000)
        three = fleets.want('three', [9000] * 3)
        self.assertEqual(['three', 'one'], names(plan(one, three)))

    def test_values_are_comparable_and_fall(self):
        found = plan(fleets.want('b', [9000]), fleets.want('a', [9000] * 2))
        self.assertGreater(found.values[0], found.values[1])

    def test_requests_that_would_be_late_do_not_count(self):
        late = fleets.want('late', [9000], waiting=9)
        timely = fleets.want('timely', [9000, 9000])
        self.assertEqual(['timely', 'late'], names(plan(late, timely)))

    def test_equal_ones_by_age_then_by_slack(self):
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

    def test_cold_adapter_whose_turn_is_too_late_is_given_up(self):
        """A receptionist waits ten seconds to be told no.

        Others wait for adapters that are worth more, and its turn could not
        come in time. Cause: no word until the deadline.
        """
        ahead = [fleets.want(f'a{x}', [9000] * 2) for x in range(3)]
        found = plan(*ahead, fleets.want('cold', [1400]))
        self.assertNotIn('cold', names(found))
        (given_up,) = found.given_up
        self.assertEqual('cold', given_up.adapter.adapter)
        self.assertEqual(1500, given_up.wait_ms)

    def test_wanted_adapter_gathers_requests_instead(self):
        ahead = [fleets.want(f'a{x}', [9000] * 2) for x in range(3)]
        found = plan(*ahead, fleets.want('warm', [1400], rate=1.0))
        self.assertIn('warm', names(found))
        self.assertEqual((), found.given_up)

    def test_only_the_late_requests_of_an_adapter_are_given_up(self):
        ahead = [fleets.want(f'a{x}', [9000] * 3) for x in range(3)]
        found = plan(*ahead, fleets.want('cold', [1400, 8000]))
        self.assertIn('cold', names(found))
        self.assertEqual(1, len(found.given_up))

    def test_baseline_gives_nothing_up(self):
        wants = [fleets.want('a', [0]), fleets.want('b', [], waiting=1)]
        found = plan(*wants, order=_baselines.OldestFirst())
        self.assertEqual(['a', 'b'], names(found))
        self.assertEqual((), found.given_up)
