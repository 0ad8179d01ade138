"""Members found for a key by consistent hashing."""

import unittest

from berylhollow.util import hash_ring

KEYS = [number.to_bytes(4, 'big') for number in range(400)]


class RingTest(unittest.TestCase):
    def test_every_process_finds_the_same_members(self):
        """Guards against gateways that ask other sidecars than were told."""
        one = hash_ring.HashRing(['a', 'b', 'c', 'd'])
        other = hash_ring.HashRing(['d', 'c', 'b', 'a'])
        for key in KEYS:
            self.assertEqual(one.first(key, 2), other.first(key, 2))
            self.assertEqual(2, len(set(one.first(key, 2))))

    def test_lost_member_moves_only_its_own_keys(self):
        """Guards against a loss that makes all streams unknown."""
        before = hash_ring.HashRing(['a', 'b', 'c', 'd'])
        after = hash_ring.HashRing(['a', 'b', 'c'])
        for key in KEYS:
            kept = [name for name in before.first(key, 4) if name != 'd']
            self.assertEqual(tuple(kept), after.first(key, 3))

    def test_fewer_members_than_asked_for(self):
        self.assertEqual((), hash_ring.HashRing([]).first(b'k', 2))
        self.assertEqual(('a',), hash_ring.HashRing(['a']).first(b'k', 2))
