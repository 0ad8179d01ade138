"""Figures of a replay against values worked out by hand."""

import unittest

from berylhollow.replay import _statistics


class DistributionTest(unittest.TestCase):
    def test_total_and_percentiles(self):
        found = _statistics.distribution(range(1, 101))
        self.assertEqual(
            found, _statistics.Distribution(5050, 50.5, 50, 95, 99, 100)
        )

    def test_nothing_is_all_zero(self):
        found = _statistics.distribution([])
        self.assertEqual(found, _statistics.Distribution(0, 0.0, 0, 0, 0, 0))


class FairnessTest(unittest.TestCase):
    def test_equal_shares_are_fair(self):
        self.assertEqual(_statistics.jain_fairness([0.5, 0.5, 0.5]), 1.0)

    def test_one_that_has_all_of_four(self):
        self.assertEqual(_statistics.jain_fairness([1, 0, 0, 0]), 0.25)

    def test_nothing_to_share_is_fair(self):
        self.assertEqual(_statistics.jain_fairness([]), 1.0)
        self.assertEqual(_statistics.jain_fairness([0, 0]), 1.0)
