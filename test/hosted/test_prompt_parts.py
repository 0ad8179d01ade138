"""How many endpoints a bad part of prompts may end, and what that costs."""

import itertools
import unittest

from test.hosted import crash_fleet
from test.hosted import prompt_fleet

SIZES = ((4, 7), (8, 12))


class PromptBoundTest(unittest.TestCase):
    """Requests with a bad part keep coming, at any gateway, none like another.

    Few of them reach endpoints, and sound requests that share their first part
    keep beginning.
    """

    def check(self, disturb=None, changes=None, **prompts):
        for (gateways, endpoints), seed in itertools.product(SIZES, (1, 2)):
            with self.subTest(gateways=gateways, seed=seed, **prompts):
                setup = crash_fleet.Setup(
                    gateways=gateways,
                    endpoints=endpoints,
                    model=True,
                    seed=seed,
                    **(changes or {}),
                )
                fleet = prompt_fleet.PromptFleet(
                    setup, prompt_fleet.Prompts(**prompts)
                )
                if disturb is not None:
                    disturb(fleet)
                fleet.play()
                self.assertLessEqual(
                    fleet.late_runs(), prompt_fleet.MAX_LATE_RUNS
                )
                self.assertGreaterEqual(
                    fleet.sound_share(), prompt_fleet.LEAST_SHARE
                )

    def test_bad_second_part_ends_few_endpoints(self):
        """Guards against requests that are only known as a whole."""
        for culprit_ms in (100, 400, 2500):
            self.check(culprit_ms=culprit_ms)

    def test_bad_part_of_two_ends_few_endpoints(self):
        """Guards against a search that needs many kinds of requests."""
        self.check(firsts=1, seconds=2)

    def test_bad_first_part_ends_few_endpoints(self):
        """Guards against a search that blames each second part instead."""
        self.check(bad_first=True)
        self.check(firsts=1, seconds=9, bad_first=True)

    def test_two_bad_parts_end_few_endpoints(self):
        """Guards against a search for one part that explains all ends."""
        self.check(bad=2)
