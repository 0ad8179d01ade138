"""Tests of who does what for the fleet."""

import collections
import unittest

from berylhollow import configuration
from berylhollow.configuration import _ranking

NAMES = [f'g{number}' for number in range(20)]


class RankingTest(unittest.TestCase):
    def test_order_of_the_list_does_not_matter(self):
        chosen = _ranking.chosen('task', NAMES, 3)
        self.assertEqual(chosen, _ranking.chosen('task', NAMES[::-1], 3))
        self.assertEqual(len(set(chosen)), 3)

    def test_one_that_leaves_is_replaced_and_the_others_stay(self):
        first, *others = _ranking.chosen('task', NAMES, 3)
        remaining = [name for name in NAMES if name != first]
        self.assertEqual(_ranking.chosen('task', remaining, 3)[:2], others)


class RingTest(unittest.TestCase):
    def ring(self, names):
        ring = configuration.Ring()
        ring.update(names)
        return ring

    def test_updated_ring_is_as_a_new_one(self):
        ring = self.ring(NAMES[:15])
        ring.update(NAMES[5:])
        self.assertEqual(ring.points, self.ring(NAMES[5:]).points)

    def test_every_key_has_two_owners_and_no_name_has_most(self):
        ring = self.ring(NAMES)
        owned = collections.Counter()
        for number in range(1000):
            owners = ring.owners(f's{number}', 2)
            self.assertEqual(len(set(owners)), 2)
            owned.update(owners)
        self.assertLess(max(owned.values()), 3 * 2 * 1000 / len(NAMES))

    def test_few_names_or_none(self):
        self.assertEqual(self.ring([]).owners('s', 2), [])
        self.assertEqual(self.ring(['g']).owners('s', 2), ['g'])
