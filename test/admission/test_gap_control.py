"""The limit of a batch follows the gaps that callers see."""

import unittest

from berylhollow import admission

ALLOWED_MS = 400


class GapControlTest(unittest.TestCase):
    def setUp(self):
        self.gaps = admission.GapControl()
        self.at_ms = 0

    def record(self, gap_ms, times=1, limited=True):
        for _ in range(times):
            self.at_ms += 400
            if limited:
                self.gaps.note_limited()
            self.gaps.record(gap_ms, ALLOWED_MS, self.at_ms)
        return self.gaps.factor

    def test_limit_that_prevents_nothing_rises(self):
        """Guards against reading time lost at an engine with small chunks."""
        self.assertGreater(self.record(180, times=30), 7)

    def test_gap_near_the_allowed_one_lowers_the_limit(self):
        """Guards against late answers at an endpoint that has turned slow."""
        self.record(180, times=10)
        raised = self.gaps.factor
        self.assertLess(self.record(341), raised)
        self.assertEqual(0.5, self.record(900, times=20))

    def test_limit_that_held_nothing_back_stays(self):
        """Guards against a limit that has risen without being tried."""
        self.assertEqual(1.0, self.record(180, times=30, limited=False))

    def test_gap_between_the_bounds_changes_nothing(self):
        self.assertEqual(1.0, self.record(300, times=30))

    def test_longest_gap_of_all_gateways_counts(self):
        """Guards against a good report that hides a bad one before it."""
        self.record(180)
        for gap_ms in (350, 100):
            self.gaps.record(gap_ms, ALLOWED_MS, self.at_ms + 10)
        factor = self.gaps.factor
        self.assertLess(self.record(0), factor)

    def test_report_without_an_answer_says_nothing(self):
        self.assertEqual(1.0, self.record(0, times=30))
