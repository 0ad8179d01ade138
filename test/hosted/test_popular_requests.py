"""Requests that many callers send alike, and endpoints lost from outside."""

import unittest

from berylhollow import errors
from test.hosted import crash_fleet
from test.hosted import stream_fleet

LOST_MS = 5000
SETTLED_MS = 500
"""From this time after a loss on, requests must be served."""

UNTIL_MS = 14_000
SERVED_SHARE = 0.95
ONE_BODY = 'one body'


def outcomes(lost):
    """Return those of requests after some of six endpoints were lost."""
    setup = crash_fleet.Setup(endpoints=6, model=True, run_ms=1500)
    fleet = crash_fleet.CrashFleet(setup)
    fleet.send_each(25, UNTIL_MS, crash_fleet.INNOCENT, ONE_BODY)
    fleet.at(LOST_MS, fleet.lose_endpoints, lost)
    fleet.run_until(UNTIL_MS + 5000)
    return [x for x in fleet.outcomes if x.arrived_ms >= LOST_MS + SETTLED_MS]


class OneBodyStreams(stream_fleet.StreamFleet):
    """Streams whose requests all have one body."""

    def fingerprint(self, stream):
        return ONE_BODY


class PopularRequestTest(unittest.TestCase):
    def test_loss_of_one_endpoint_refuses_few(self):
        """Guards against a loss that is held against what runs elsewhere."""
        found = outcomes(lost=1)
        served = [x for x in found if x.kind is None]
        self.assertGreaterEqual(len(served), SERVED_SHARE * len(found))

    def test_loss_of_two_endpoints_suspects_few(self):
        """Guards against two losses at once taken for those of a culprit.

        Requests that meet a lost endpoint before its entry goes are not
        counted.
        """
        found = outcomes(lost=2)
        suspects = [x for x in found if x.kind is errors.Kind.SUSPECT]
        self.assertLessEqual(len(suspects), (1 - SERVED_SHARE) * len(found))

    def test_channels_that_are_reset_end_few_streams(self):
        """Guards against resets that are held against a popular request.

        No endpoint is lost.
        """
        fleet = OneBodyStreams(max_tries=4)
        fleet.run_until(3000)
        fleet.begin_streams(60)
        fleet.run_until(3600)
        for wait_ms in (0, 900):
            fleet.run_until(3600 + wait_ms)
            for name in fleet.gateways:
                fleet.reset_channels(name, 0.7)
        fleet.run_until(20_000)
        complete = [x for x in fleet.streams if x.complete]
        self.assertGreaterEqual(len(complete), SERVED_SHARE * 60)
