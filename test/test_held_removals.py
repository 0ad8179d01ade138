"""Which removals from the list are held back, and for how long."""

import unittest

from berylhollow import endpoint_directory

REMOVAL_HOLD_MS = 2300
HEARTBEAT_MS = 1200
WRITES_NEEDED = 4
"""Entries needed: two whole heartbeats (2.4 s), and one extra write."""


class HeldRemovalsTest(unittest.TestCase):
    def setUp(self):
        self.held_removals = endpoint_directory.HeldRemovals(
            REMOVAL_HOLD_MS, HEARTBEAT_MS
        )
        self.held_removals.restart_holds(10_000)
        self.held_removals.hold_back('i-1', 100)

    def write(self, name, *offsets):
        for offset in offsets:
            self.held_removals.record_write(name, offset)

    def test_heartbeats_of_one_other_endpoint_confirm_a_removal(self):
        self.write('i-2', 101, 103, 105)
        self.assertEqual([], self.held_removals.pop_released(10_000))
        self.write('i-2', 107)
        self.assertEqual(['i-1'], self.held_removals.pop_released(10_000))

    def test_single_entries_of_many_endpoints_confirm_nothing(self):
        """After an outage all endpoints write an entry or two at once.

        Counted together they would look like seconds of heartbeats.
        """
        for number in range(2, 12):
            self.write(f'i-{number}', 100 + number, 200 + number)
        self.assertEqual([], self.held_removals.pop_released(10_000))

    def test_entries_before_a_removal_do_not_count(self):
        self.held_removals.hold_back('i-3', 106)
        self.write('i-2', 107, 109, 111, 113)
        self.held_removals.hold_back('i-4', 114)
        self.assertEqual(
            ['i-1', 'i-3'], self.held_removals.pop_released(10_000)
        )

    def test_endpoint_that_writes_again_is_not_removed(self):
        self.assertTrue(self.held_removals.record_write('i-1', 101))
        self.assertEqual([], self.held_removals.pop_released(20_000))

    def test_hold_ends_by_the_clock_without_other_entries(self):
        self.assertEqual([], self.held_removals.pop_released(12_299))
        self.assertEqual(['i-1'], self.held_removals.pop_released(12_300))

    def test_without_heartbeat_ms_only_the_clock_counts(self):
        held_removals = endpoint_directory.HeldRemovals(REMOVAL_HOLD_MS)
        held_removals.restart_holds(10_000)
        held_removals.hold_back('i-1', 100)
        for offset in range(101, 120):
            held_removals.record_write('i-2', offset)
        self.assertEqual([], held_removals.pop_released(12_299))
