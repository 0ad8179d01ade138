"""Tests of the assignment of tasks to processes."""

import collections
import unittest

from berylhollow import configuration
from berylhollow.configuration import _hash_assignment

NAMES = [f'g{number}' for number in range(20)]


class RankingTest(unittest.TestCase):
    def test_order_of_the_list_does_not_matter(self):
        chosen = _hash_assignment.choose('task', NAMES, 3)
        self.assertEqual(
            chosen, _hash_assignment.choose('task', NAMES[::-1], 3)
        )
        self.assertEqual(len(set(chosen)), 3)

    def test_removing_a_name_keeps_the_other_choices(self):
        first, *others = _hash_assignment.choose('task', NAMES, 3)
        remaining = [name for name in NAMES if name != first]
        self.assertEqual(
            _hash_assignment.choose('task', remaining, 3)[:2], others
        )


class RingTest(unittest.TestCase):
    def ring(self, names):
        ring = configuration.Ring()
        ring.update(names)
        return ring

    def test_updated_ring_equals_a_new_one(self):
        ring = self.ring(NAMES[:15])
        ring.update(NAMES[5:])
        self.assertEqual(ring.points, self.ring(NAMES[5:]).points)

    def test_keys_are_spread_evenly_over_two_owners_each(self):
        ring = self.ring(NAMES)
        owned = collections.Counter()
        for number in range(1000):
            owners = ring.owners(f's{number}', 2)
            self.assertEqual(len(set(owners)), 2)
            owned.update(owners)
        self.assertLess(max(owned.values()), 3 * 2 * 1000 / len(NAMES))

    def test_ring_with_fewer_names_than_owners(self):
        self.assertEqual(self.ring([]).owners('s', 2), [])
        self.assertEqual(self.ring(['g']).owners('s', 2), ['g'])
