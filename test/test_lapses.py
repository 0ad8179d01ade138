"""Which removals from the list are held back, and for how long."""

import unittest

from berylhollow import endpoint_directory

RETURN_MS = 2300
HEARTBEAT_MS = 1200
NEEDED = 4
"""Entries that span two whole heartbeats, 2.4 s, with one in between."""


class LapsesTest(unittest.TestCase):
    def setUp(self):
        self.lapses = endpoint_directory.Lapses(RETURN_MS, HEARTBEAT_MS)
        self.lapses.returned(10_000)
        self.lapses.hold_back('i-1', 100)

    def write(self, name, *offsets):
        for offset in offsets:
            self.lapses.wrote(name, offset)

    def test_heartbeats_of_another_prove_a_removal(self):
        self.write('i-2', 101, 103, 105)
        self.assertEqual([], self.lapses.end_holds(10_000))
        self.write('i-2', 107)
        self.assertEqual(['i-1'], self.lapses.end_holds(10_000))

    def test_entries_of_many_prove_nothing(self):
        """After an outage all endpoints write at once, each an entry or two.

        Counted together they would pass for seconds.
        """
        for number in range(2, 12):
            self.write(f'i-{number}', 100 + number, 200 + number)
        self.assertEqual([], self.lapses.end_holds(10_000))

    def test_entries_before_a_removal_do_not_count(self):
        self.lapses.hold_back('i-3', 106)
        self.write('i-2', 107, 109, 111, 113)
        self.lapses.hold_back('i-4', 114)
        self.assertEqual(['i-1', 'i-3'], self.lapses.end_holds(10_000))

    def test_endpoint_that_writes_again_is_not_removed(self):
        self.assertTrue(self.lapses.wrote('i-1', 101))
        self.assertEqual([], self.lapses.end_holds(20_000))

    def test_clock_ends_a_hold_without_others(self):
        self.assertEqual([], self.lapses.end_holds(12_299))
        self.assertEqual(['i-1'], self.lapses.end_holds(12_300))

    def test_without_a_heartbeat_only_the_clock_decides(self):
        lapses = endpoint_directory.Lapses(RETURN_MS)
        lapses.returned(10_000)
        lapses.hold_back('i-1', 100)
        for offset in range(101, 120):
            lapses.wrote('i-2', offset)
        self.assertEqual([], lapses.end_holds(12_299))
